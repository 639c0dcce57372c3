package targetserver

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/pkg/checker"
)

// clock is a clock that tests advance.
type clock struct {
	mu sync.Mutex
	at time.Time
}

func (cl *clock) now() time.Time {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.at
}

func (cl *clock) advance(du time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.at = cl.at.Add(du)
}

func start(t *testing.T, se Settings) (*Server, *clock) {
	cl := &clock{at: time.Unix(1000, 0)}
	sv, err := New(se, cl.now)
	require.NoError(t, err)
	return sv, cl
}

func do(sv *Server, method, path, id, body string) (rec *httptest.ResponseRecorder) {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set(HeaderID, id)
	rec = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			rec.Code = 0 // the handler aborted the connection
		}
	}()
	sv.ServeHTTP(rec, req)
	return rec
}

// Guards against faults that apply at the wrong time or to the wrong calls.
func TestFaults(t *testing.T) {
	sv, cl := start(t, Settings{Slots: 4, ResponseBytes: 10})
	control := func(body string) {
		require.Equal(t, http.StatusOK, do(sv, http.MethodPost, "/control", "", body).Code)
	}
	call := func(path string) int { return do(sv, http.MethodPost, path, "id", "x").Code }
	require.Equal(t, http.StatusOK, call("/confirm"))
	control(`{"faults":[{"kind":"error"}]}`)
	require.Equal(t, http.StatusInternalServerError, call("/confirm"))
	control(`{"faults":[{"kind":"error","after":"10s"}]}`)
	require.Equal(t, http.StatusOK, call("/confirm"))
	cl.advance(10 * time.Second)
	require.Equal(t, http.StatusInternalServerError, call("/confirm"))
	control(`{"faults":[{"kind":"error","pathPrefix":"/scan"}]}`)
	require.Equal(t, http.StatusOK, call("/confirm"))
	require.Equal(t, http.StatusInternalServerError, call("/scan"))
	control(`{"faults":[{"kind":"error","aboveInFlight":1}]}`)
	require.Equal(t, http.StatusOK, call("/confirm"))
	require.True(t, sv.acquire(context.Background()))
	require.Equal(t, http.StatusInternalServerError, call("/confirm"))
	sv.release()
	control(`{"faults":[{"kind":"error","every":2}]}`)
	require.NotEqual(t, call("/confirm"), call("/confirm"))
	control(`{"faults":[{"kind":"reset"}]}`)
	require.Zero(t, call("/confirm"))
	control(`{"faults":[{"kind":"truncate"}]}`)
	require.Zero(t, call("/confirm"))
	control(`{"faults":[{"kind":"slow","delay":"1ms"}]}`)
	require.Equal(t, http.StatusOK, call("/confirm"))
	require.Equal(t, 4, sv.Settings().Slots, "fields absent from the body keep their values")
	for _, body := range []string{`{"faults":[{"kind":"odd"}]}`, `{"slots":0}`, `{"odd":1}`, `{"report":"odd"}`} {
		require.Equal(t, http.StatusBadRequest, do(sv, http.MethodPost, "/control", "", body).Code)
	}
}

// Guards against a cold target that handles full load, warms up while overloaded,
// or stays cold permanently.
func TestColdStart(t *testing.T) {
	sv, cl := start(t, Settings{
		Slots: 10, ColdTime: checker.Duration(10 * time.Second), ColdSlots: 1, ColdFactor: 5,
		WorkTime: checker.Duration(time.Millisecond),
	})
	work := func() time.Duration {
		_, du, _ := sv.begin("id", "/")
		return du
	}
	require.True(t, sv.acquire(context.Background()))
	require.Equal(t, time.Millisecond, work())
	cl.advance(9 * time.Second)
	require.True(t, sv.acquire(context.Background()))
	require.Equal(t, 5*time.Millisecond, work(), "two concurrent calls overload it")
	sv.release()
	cl.advance(9 * time.Second)
	require.Equal(t, 5*time.Millisecond, work(), "the warm-up has restarted")
	require.True(t, sv.Cold())
	cl.advance(time.Second)
	require.Equal(t, time.Millisecond, work())
	require.False(t, sv.Cold())
	sv.ResetWarmUp()
	require.True(t, sv.Cold())
}

// Guards against more concurrent calls than slots, and against leaked places in
// the queue.
func TestSlots(t *testing.T) {
	sv, _ := start(t, Settings{Slots: 1, Queue: 1})
	require.True(t, sv.acquire(context.Background()))
	ctx, cancel := context.WithCancel(context.Background())
	got := make(chan bool, 1)
	go func() { got <- sv.acquire(ctx) }()
	waiting := func() int {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		return len(sv.queued)
	}
	wait := func() {
		require.Eventually(t, func() bool { return waiting() == 1 }, 10*time.Second, time.Millisecond)
	}
	wait()
	require.False(t, sv.acquire(context.Background()), "the queue is full")
	cancel()
	require.False(t, <-got)
	go func() { got <- sv.acquire(context.Background()) }()
	wait()
	sv.release()
	require.True(t, <-got)
	sv.release()
	require.Zero(t, sv.InFlight())
	se := sv.Settings()
	se.Draining = true
	require.NoError(t, sv.Set(se))
	require.False(t, sv.acquire(context.Background()))
}

// Guards against reports that ignore the settings ReportLag and Report.
func TestReports(t *testing.T) {
	sv, cl := start(t, Settings{Slots: 5, ReportLag: checker.Duration(10 * time.Second)})
	load := func() int {
		var report struct{ InFlight, Slots int }
		require.NoError(t, json.Unmarshal(do(sv, http.MethodGet, "/load", "", "").Body.Bytes(), &report))
		require.Equal(t, 5, report.Slots)
		return report.InFlight
	}
	require.Zero(t, load())
	require.True(t, sv.acquire(context.Background()))
	cl.advance(time.Second)
	require.Zero(t, load(), "the report lags")
	cl.advance(10 * time.Second)
	require.Equal(t, 1, load())
	se := sv.Settings()
	for report, want := range map[string]int{"idle": 0, "full": 5, "": 1} {
		se.Report = report
		require.NoError(t, sv.Set(se))
		require.Equal(t, want, load())
	}
	for report, want := range map[string]int{"unhealthy": 503, "healthy": 200} {
		se.Report = report
		require.NoError(t, sv.Set(se))
		require.Equal(t, want, do(sv, http.MethodGet, "/health", "", "").Code)
	}
}

// Guards against executions that are not counted per ID.
func TestExecutions(t *testing.T) {
	sv, _ := start(t, Settings{Slots: 5})
	for _, id := range []string{"a", "b", "a"} {
		require.Equal(t, http.StatusOK, do(sv, http.MethodPost, "/confirm", id, "").Code)
	}
	var ex Executions
	require.NoError(t, json.Unmarshal(do(sv, http.MethodGet, "/executions?id=b", "", "").Body.Bytes(), &ex))
	require.Equal(t, Executions{Calls: 3, Count: 1, Repeated: map[string]int{"a": 2}}, ex)
}

// Guards against more connections than the limit, and against counting closed
// connections.
func TestConnections(t *testing.T) {
	sv, _ := start(t, Settings{Slots: 5, Connections: 1})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- sv.Serve(ln) }()
	get := func(client *http.Client) error {
		resp, err := client.Get("http://" + ln.Addr().String() + "/health")
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body) // keeps the connection reusable
		return err
	}
	first, second := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
	require.NoError(t, get(first))
	require.Error(t, get(second))
	first.CloseIdleConnections()
	require.Eventually(t, func() bool { return get(second) == nil }, 10*time.Second, time.Millisecond)
	require.NoError(t, sv.Close())
	require.ErrorIs(t, <-done, http.ErrServerClosed)
}
