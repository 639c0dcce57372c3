package acceptor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/connlimiter"
)

// generous bounds what a test waits for; no test depends on the machine's speed.
const generous = 20 * time.Second

// fixture is a server under test.
type fixture struct {
	*Server
	t       *testing.T
	address string
	// stop starts the graceful shutdown, and ended receives its end.
	stop  context.CancelFunc
	ended chan error
}

// start serves the handler until the end of the test. Requests may run concurrently
// unless their path begins with /once.
func start(t *testing.T, handler http.HandlerFunc, change func(*Config)) *fixture {
	t.Helper()
	return startLimited(t, handler, change, 100, 1<<30)
}

// startLimited is like start, with bounds on connections and unfinished heads.
func startLimited(
	t *testing.T, handler http.HandlerFunc, change func(*Config), maxConns int, maxHeads int64,
) *fixture {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	cf := Config{
		Concurrent:   func(r *http.Request) bool { return !strings.HasPrefix(r.URL.Path, "/once") },
		MaxPipelined: 8, MaxHeadBytes: 16 << 10, HeadMemory: 1 << 20,
		HeadTimeout: generous, IdleTimeout: generous, WriteTimeout: generous,
		StopTimeout: generous, Log: log, Metrics: metrics.NewRegistry(), Now: time.Now,
	}
	if change != nil {
		change(&cf)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	listener = connlimiter.New(listener, connlimiter.Config{
		Name: "clients", MaxConns: maxConns, MaxHeadMemory: maxHeads, Log: log,
		Metrics: cf.Metrics, Now: time.Now,
	})
	fi := &fixture{
		Server: New(cf, handler), t: t, address: listener.Addr().String(), stop: cancel,
		ended: make(chan error, 1),
	}
	go func() { fi.ended <- fi.Serve(ctx, listener) }()
	t.Cleanup(cancel)
	return fi
}

// released checks that no connection and no memory is left once the clients have gone.
func (fi *fixture) released() {
	fi.t.Helper()
	require.Eventually(fi.t, func() bool {
		return fi.connCount() == 0 && fi.memory.Used() == 0
	}, generous, time.Millisecond)
}

func (fi *fixture) counted(what event) int64 { return fi.events.counters[what].Count() }

// limited returns a counter of the listener.
func (fi *fixture) limited(name string) int64 {
	return metrics.GetOrRegisterCounter("clients."+name, fi.config.Metrics).Count()
}

func (fi *fixture) connCount() int {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	return len(fi.conns)
}

// client is a connection to the server.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (fi *fixture) dial() *client {
	fi.t.Helper()
	nc, err := net.Dial("tcp", fi.address)
	require.NoError(fi.t, err)
	fi.t.Cleanup(func() { _ = nc.Close() })
	require.NoError(fi.t, nc.SetDeadline(time.Now().Add(generous)))
	return &client{Conn: nc, t: fi.t, reader: bufio.NewReader(nc)}
}

// send sends text; the server may have closed the connection.
func (cl *client) send(text string) { _, _ = io.WriteString(cl.Conn, text) }

// get sends requests for the paths, all in one segment.
func (cl *client) get(paths ...string) {
	text := ""
	for _, path := range paths {
		text += "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"
	}
	cl.send(text)
}

// read reads a response and returns its body.
func (cl *client) read(method string) (*http.Response, string) {
	cl.t.Helper()
	rs, err := http.ReadResponse(cl.reader, &http.Request{Method: method})
	require.NoError(cl.t, err)
	body, err := io.ReadAll(rs.Body)
	require.NoError(cl.t, err)
	return rs, string(body)
}

// answer reads a response, checks its body and reports whether it closes the
// connection.
func (cl *client) answer(body string) (closes bool) {
	cl.t.Helper()
	rs, got := cl.read(http.MethodGet)
	require.Equal(cl.t, http.StatusOK, rs.StatusCode)
	require.Equal(cl.t, body, got)
	return rs.Close
}

// closed checks that the server closes the connection without sending more.
func (cl *client) closed() {
	cl.t.Helper()
	nn, err := cl.reader.Read(make([]byte, 1))
	require.Zero(cl.t, nn)
	require.Error(cl.t, err)
	require.NotErrorIs(cl.t, err, os.ErrDeadlineExceeded, "the connection stays open")
}

// echo answers with the path of the request.
func echo(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }

// wait waits for a signal of a handler.
func wait[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(generous):
		require.Fail(t, "no signal")
		panic("unreachable")
	}
}

// Guards against clients that take all connections: the one that has been idle longest
// is closed, none with a request in flight is, and a new one is refused otherwise.
func TestTooManyConnections(t *testing.T) {
	started, finish := make(chan string, 2), make(chan struct{})
	fi := startLimited(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			started <- r.URL.Path
			<-finish
		}
		echo(w, r)
	}, nil, 2, 1<<30)
	busy := fi.dial()
	busy.get("/slow")
	wait(t, started)
	idle := fi.dial()
	idle.get("/a")
	idle.answer("/a")
	second := fi.dial()
	second.get("/slow")
	wait(t, started)
	idle.closed()
	fi.dial().closed()
	refused := fi.limited("refusedConnections")
	assert.Equal(t, int64(1), fi.limited("closedConnections")-refused, "evicted")
	assert.Equal(t, int64(1), refused)
	close(finish)
	busy.answer("/slow")
	second.answer("/slow")
}

// Guards against a shutdown that cuts off requests that were read, keeps idle clients or
// loses the first request of a client that has just connected.
func TestGracefulStop(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	fi := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			started <- struct{}{}
			<-finish
		}
		echo(w, r)
	}, nil)
	idle, fresh, busy := fi.dial(), fi.dial(), fi.dial()
	idle.get("/a")
	idle.answer("/a")
	busy.get("/slow", "/once")
	wait(t, started)
	require.Eventually(t, func() bool { return fi.counted(requestPipelined) == 1 },
		generous, time.Millisecond)
	require.Eventually(t, func() bool { return fi.connCount() == 3 }, generous, time.Millisecond)
	fi.stop()
	idle.closed()
	fresh.get("/first")
	assert.True(t, fresh.answer("/first"))
	assert.Empty(t, fi.ended, "Serve returned before the response")
	close(finish)
	assert.True(t, busy.answer("/slow"), "the request behind it was not forwarded")
	busy.closed()
	_ = busy.Close()
	_ = fresh.Close()
	require.NoError(t, wait(t, fi.ended))
	fi.released()
}

// Guards against a shutdown that never ends because of a handler.
func TestStopTimeout(t *testing.T) {
	started := make(chan struct{})
	fi := start(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
	}, func(cf *Config) { cf.StopTimeout = 50 * time.Millisecond })
	cl := fi.dial()
	cl.get("/a")
	wait(t, started)
	fi.stop()
	require.NoError(t, wait(t, fi.ended))
	cl.closed()
	fi.released()
}

// Guards against idle connections that stay forever.
func TestIdleTimeout(t *testing.T) {
	fi := start(t, echo, func(cf *Config) { cf.IdleTimeout = 50 * time.Millisecond })
	cl := fi.dial()
	cl.get("/a")
	cl.answer("/a")
	cl.closed()
	fi.released()
}

// slowListener is a listener whose first Close ends some time after Accept has failed, as
// that of a TCP listener may. A second Close fails at once.
type slowListener struct {
	net.Listener
	closing, closed atomic.Bool
}

func (sl *slowListener) Close() error {
	if !sl.closing.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	err := sl.Listener.Close()
	time.Sleep(100 * time.Millisecond)
	sl.closed.Store(true)
	return err
}

// Guards against a server that returns before its listener is closed, so that the next
// process cannot listen at the address.
func TestListenerIsClosedAfterServe(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	slow := &slowListener{Listener: listener}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	server := New(Config{Metrics: metrics.NewRegistry(), Now: time.Now}, http.HandlerFunc(echo))
	go func() { ended <- server.Serve(ctx, slow) }()
	cancel()
	require.NoError(t, wait(t, ended))
	assert.True(t, slow.closed.Load())
}
