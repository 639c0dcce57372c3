package loader

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/targetserver"
)

func serve(t *testing.T, handler http.Handler) netip.AddrPort {
	sv := httptest.NewServer(handler)
	t.Cleanup(sv.Close)
	return netip.MustParseAddrPort(sv.Listener.Addr().String())
}

// target starts a server that responds like a node in front of a target. The
// function damage alters the response.
func target(t *testing.T, damage func(http.Header, []byte) []byte) netip.AddrPort {
	sv, err := targetserver.New(targetserver.Settings{Slots: 100, ResponseBytes: 100}, time.Now)
	require.NoError(t, err)
	return serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		sv.ServeHTTP(rec, r)
		body := rec.Body.Bytes()
		if damage != nil {
			body = damage(rec.Header(), body)
		}
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		w.Header().Del("Content-Length")
		w.Header().Set("Guavastall-Outcome", "answered")
		w.Header().Set("Guavastall-Version", "v1")
		w.WriteHeader(rec.Code)
		_, _ = w.Write(body)
	}))
}

func run(t *testing.T, change func(*Config)) *Report {
	cf := Config{
		Service: "tag", Name: "run", Rate: 1000, Duration: 50 * time.Millisecond,
		Timeout: 5 * time.Second, BodyBytes: 512, Keyed: true,
	}
	change(&cf)
	lo, err := New(cf)
	require.NoError(t, err)
	re := lo.Run(context.Background())
	sum := re.Good + re.Failed + re.NotRun + re.Unknown + re.Broken + re.Mismatched + re.Unsent
	require.Equal(t, re.Due, sum, "each call is counted once")
	require.Equal(t, int64(50), re.Due)
	return re
}

// Guards against calls that are missing from the report, and against good calls
// counted as something else.
func TestGoodCalls(t *testing.T) {
	address := target(t, nil)
	re := run(t, func(cf *Config) { cf.Nodes = []netip.AddrPort{address} })
	require.Equal(t, re.Due, re.Good+re.Unsent)
	require.Equal(t, re.Good, re.Latency.TotalCount())
	require.Equal(t, re.Good, re.Versions["v1"])
	require.Positive(t, re.Good)
	require.LessOrEqual(t, re.P50, re.P99)
}

// Guards against counting a damaged response, or that of another request, as good.
func TestDamagedResponses(t *testing.T) {
	for name, damage := range map[string]func(http.Header, []byte) []byte{
		"id":          func(he http.Header, body []byte) []byte { he.Set(targetserver.HeaderID, "x"); return body },
		"request sum": func(he http.Header, body []byte) []byte { he.Set(targetserver.HeaderRequestSum, "0"); return body },
		"cut":         func(_ http.Header, body []byte) []byte { return body[:50] },
		"changed":     func(_ http.Header, body []byte) []byte { body[7] ^= 1; return body },
		"empty":       func(http.Header, []byte) []byte { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			address := target(t, damage)
			re := run(t, func(cf *Config) { cf.Nodes = []netip.AddrPort{address} })
			require.Zero(t, re.Good)
			require.Equal(t, re.Due, re.Mismatched+re.Unsent)
		})
	}
}

// Guards against outcomes counted as each other, and against a call that did not
// run and is not retried at another node.
func TestOutcomes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refused := netip.MustParseAddrPort(ln.Addr().String())
	require.NoError(t, ln.Close())
	reply := func(outcome, kind string, status int) netip.AddrPort {
		return serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Guavastall-Outcome", outcome)
			w.Header().Set("Guavastall-Error", kind)
			w.WriteHeader(status)
		}))
	}
	broken := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	good := target(t, nil)
	for _, tt := range []struct {
		name  string
		nodes []netip.AddrPort
		count func(*Report) int64
	}{
		{"refused", []netip.AddrPort{refused}, func(re *Report) int64 { return re.NotRun }},
		{"not run", []netip.AddrPort{reply("notRun", "overloaded", 503)}, func(re *Report) int64 { return re.NotRun }},
		{"unknown", []netip.AddrPort{reply("unknown", "outcomeUnknown", 502)}, func(re *Report) int64 { return re.Unknown }},
		{"failed", []netip.AddrPort{reply("answered", "", 500)}, func(re *Report) int64 { return re.Failed }},
		{"broken", []netip.AddrPort{broken}, func(re *Report) int64 { return re.Broken }},
		{"retried", []netip.AddrPort{refused, good}, func(re *Report) int64 { return re.Good }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			re := run(t, func(cf *Config) { cf.Nodes, cf.MaxRetries = tt.nodes, 50 })
			require.Equal(t, re.Due, tt.count(re)+re.Unsent)
			require.Positive(t, tt.count(re))
		})
	}
}

// Guards against accepting settings without a node, service, rate or duration.
func TestNewRefuses(t *testing.T) {
	node := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	for _, cf := range []Config{
		{Service: "tag", Rate: 1, Duration: 1},
		{Nodes: node, Rate: 1, Duration: 1},
		{Nodes: node, Service: "tag", Duration: 1},
		{Nodes: node, Service: "tag", Rate: 1},
	} {
		_, err := New(cf)
		require.Error(t, err)
	}
}

// Guards against a cancelled run that sends its remaining calls in a burst.
func TestCancelSendsNoBurst(t *testing.T) {
	address := target(t, nil)
	lo, err := New(Config{
		Nodes: []netip.AddrPort{address}, Service: "tag", Name: "run", Rate: 10,
		Duration: time.Hour, Timeout: time.Second, Keyed: true,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.LessOrEqual(t, lo.Run(ctx).Due, int64(1))
}
