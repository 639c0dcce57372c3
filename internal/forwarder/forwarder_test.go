package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/targetserver"
	"github.com/guavastall/guavastall/pkg/checker"
)

// Guards against calls, with each kind of body, that do not pass one or two nodes
// unchanged and with their headers.
func TestCallThroughNodes(t *testing.T) {
	target, address := startTarget(t, nil)
	last := startNode(t, options{target: address})
	first := startNode(t, options{})
	first.setTable(nil, last.id)
	last.setTable(nil, last.id)
	for _, tt := range []struct {
		name, method, path string
		to                 netip.AddrPort
		body               int
	}{
		{"one hop", http.MethodGet, "/scan?a=1%2F2&b", last.caller, 0},
		{"two hops", http.MethodGet, "/scan?a=1", first.caller, 0},
		{"empty post", http.MethodPost, "/confirm", first.caller, 0},
		{"post", http.MethodPost, "/confirm", first.caller, 512},
		{"put at the bound of memory", http.MethodPut, "/confirm", first.caller, maxReplayBytes},
		{"streamed", http.MethodPost, "/confirm", first.caller, 3 << 20},
		{"head", http.MethodHead, "/scan", first.caller, 0},
		{"delete", http.MethodDelete, "/confirm", first.caller, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			body := bytes.Repeat([]byte{7}, tt.body)
			an := do(newRequest(t, tt.method, tt.to, tt.path, tt.name, body))
			require.NoError(t, an.err)
			require.Equal(t, http.StatusOK, an.status, an.body)
			require.Equal(t, "answered", an.outcome())
			require.Equal(t, "v1", an.header.Get(headerVersion))
			require.Equal(t, tt.name, an.header.Get(targetserver.HeaderID))
			require.Empty(t, an.header.Get(headerHop))
			require.Contains(t, an.header.Get(headerLoad), "/100")
			if tt.method != http.MethodHead {
				require.Equal(t, string(targetserver.Body(tt.name, 1024)), an.body)
			}
			require.Equal(t, 1, target.Executions(tt.name))
		})
	}
	eventually(t, func() bool { return len(first.observer.list()) == 7 }, "7 observations")
	for _, ob := range first.observer.list() {
		require.False(t, ob.Failed)
	}
	require.Zero(t, last.limiter.InFlight())
}

// Guards against forwarding hop-by-hop headers and headers that the sender must
// not set, and against dropping other headers.
func TestHeaders(t *testing.T) {
	var got http.Header
	var host string
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got, host = r.Header.Clone(), r.Host
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "1")
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("X-Public", "1")
		w.Header().Set(headerOutcome, "notRun")
		w.Header().Set(headerError, "overloaded")
		w.Header().Set(headerLoad, "0/999")
		w.Header().Set(headerRetried, "true")
	}))
	last := startNode(t, options{target: address})
	first := startNode(t, options{})
	first.setTable(nil, last.id)
	req := newRequest(t, http.MethodPost, first.caller, "/confirm", "a", []byte("x"))
	for name, value := range map[string]string{
		"Connection": "X-Secret, keep-alive", "X-Secret": "1", "Te": "trailers",
		"Proxy-Authorization": "a", "Upgrade": "websocket", "X-Kept": "1",
		headerKey: "k", headerXKey: "x", headerHop: "forged", headerOnce: "memory",
		headerDepth: "3", headerTimeout: "1s",
	} {
		req.Header.Set(name, value)
	}
	an := do(req)
	require.Equal(t, http.StatusOK, an.status, an.body)
	for _, name := range []string{
		"X-Secret", "Te", "Proxy-Authorization", "Upgrade", "Connection", headerHop, headerOnce,
	} {
		require.Empty(t, got.Get(name), name)
	}
	require.Equal(t, "1", got.Get("X-Kept"))
	require.Equal(t, "k", got.Get(headerKey))
	require.Equal(t, "x", got.Get(headerXKey))
	require.Equal(t, "4", got.Get(headerDepth))
	require.Equal(t, "tag", host)
	remaining, err := time.ParseDuration(got.Get(headerTimeout))
	require.NoError(t, err)
	require.Positive(t, remaining)
	require.LessOrEqual(t, remaining, time.Second)

	require.Equal(t, "answered", an.outcome(), "a target's own headers are not trusted")
	require.Empty(t, an.kind())
	require.Contains(t, an.header.Get(headerLoad), "/100")
	require.Equal(t, "true", an.header.Get(headerRetried))
	require.Equal(t, "1", an.header.Get("X-Public"))
	require.Empty(t, an.header.Get("X-Private"))
	require.Empty(t, an.header.Get("Keep-Alive"))
}

// Guards against invalid calls that reach a target, and against errors without a
// kind, an outcome or a message.
func TestRefusals(t *testing.T) {
	target, address := startTarget(t, nil)
	no := startNode(t, options{target: address})
	small := func(ta *testTable) { ta.profile.Limits.MaxBodyBytes = 1000 }
	no.setTable(small, no.id)
	for _, tt := range []struct {
		name   string
		change func(*http.Request)
		kind   answerer.Kind
	}{
		{"unknown service", func(r *http.Request) { r.Host = "other.mesh:80" }, answerer.UnknownService},
		{"dot segment", func(r *http.Request) { r.URL.Path = "/scan/../confirm" }, answerer.BadRequest},
		{"encoded dot segment", func(r *http.Request) {
			r.URL.Path, r.URL.RawPath = "/scan/../confirm", "/scan/%2e%2e/confirm"
		}, answerer.BadRequest},
		{"timeout", func(r *http.Request) { r.Header.Set(headerTimeout, "5") }, answerer.BadRequest},
		{"no time left", func(r *http.Request) { r.Header.Set(headerTimeout, "-1s") }, answerer.DeadlineExceeded},
		{"depth", func(r *http.Request) { r.Header.Set(headerDepth, "64") }, answerer.BadRequest},
		{"depth text", func(r *http.Request) { r.Header.Set(headerDepth, "x") }, answerer.BadRequest},
		{"key", func(r *http.Request) { r.Header.Set(headerKey, strings.Repeat("k", 257)) }, answerer.BadRequest},
		{"body", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001))), 1001
		}, answerer.TooLarge},
	} {
		t.Run(tt.name, func(t *testing.T) {
			req := newRequest(t, http.MethodPost, no.caller, "/confirm", "r", []byte("x"))
			tt.change(req)
			do(req).requireError(t, tt.kind, "notRun")
		})
	}
	require.Zero(t, target.Calls())

	// The size of a body of unknown length is known only while it is sent.
	req := newRequest(t, http.MethodPost, no.caller, "/confirm", "r", nil)
	req.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 200_000)))
	req.ContentLength = -1
	an := do(req)
	require.Equal(t, answerer.TooLarge.String(), an.kind())
	require.Equal(t, "unknown", an.outcome())

	no.table.Store(nil)
	post(t, no.caller, "/confirm", "r", nil).requireError(t, answerer.NotReady, "notRun")
}

// Guards against a call that reaches a target which has taken over the address of
// another service's target, and against calls from peers without an ID.
func TestPeerRefusals(t *testing.T) {
	target, address := startTarget(t, nil)
	no := startNode(t, options{target: address})
	req := newRequest(t, http.MethodPost, no.id, "/confirm", "r", nil)
	do(req).requireError(t, answerer.BadRequest, "notRun")
	req = newRequest(t, http.MethodPost, no.id, "/confirm", "r", nil)
	req.Header.Set(headerHop, "id")
	req.Header.Set(headerService, "ledger")
	do(req).requireError(t, answerer.NoTarget, "notRun")
	require.Zero(t, target.Calls())
}

// Guards against a call rejected by a full target that is not retried at another
// one, and against a retry when no untried endpoint is left.
func TestRejectedCallGoesElsewhere(t *testing.T) {
	target, address := startTarget(t, nil)
	full := startNode(t, options{target: address, limit: 1})
	free := startNode(t, options{target: address})
	require.True(t, full.limiter.TryAcquire(time.Now()))
	first := startNode(t, options{})
	first.setTable(nil, full.id, free.id)
	an := post(t, first.caller, "/confirm", "a", []byte("x"))
	require.Equal(t, "answered", an.outcome(), an.body)
	require.Equal(t, 1, target.Executions("a"))

	first.setTable(nil, full.id)
	an = post(t, first.caller, "/confirm", "b", []byte("x"))
	an.requireError(t, answerer.Overloaded, "notRun")
	require.Equal(t, "true", an.header.Get(headerRetried))
	require.Equal(t, "1/1", full.fw.loadText())
	require.Zero(t, target.Executions("b"))
}

func (fw *Forwarder) loadText() string {
	header := http.Header{}
	fw.setLoad(header)
	return header.Get(headerLoad)
}

// Guards against a call that waits for a slot and is never admitted, or that
// stays in the queue after its deadline.
func TestQueueAtTarget(t *testing.T) {
	_, address := startTarget(t, func(se *targetserver.Settings) {
		se.WorkTime = checker.Duration(20 * time.Millisecond)
	})
	no := startNode(t, options{target: address, limit: 1, queue: true})
	no.setTable(nil, no.id)
	answers := make(chan answer, 8)
	for range cap(answers) {
		go func() { answers <- post(t, no.caller, "/confirm", "a", nil) }()
	}
	for range cap(answers) {
		require.Equal(t, http.StatusOK, (<-answers).status)
	}
	require.True(t, no.limiter.TryAcquire(time.Now()))
	req := newRequest(t, http.MethodPost, no.caller, "/confirm", "b", nil)
	req.Header.Set(headerTimeout, "20ms")
	do(req).requireError(t, answerer.DeadlineExceeded, "notRun")
	no.limiter.mu.Lock()
	defer no.limiter.mu.Unlock()
	require.Zero(t, no.limiter.queued)
}

// Guards against an unlimited number of calls in flight at the first node.
func TestMaxCalls(t *testing.T) {
	_, address := startTarget(t, func(se *targetserver.Settings) {
		se.Faults = []targetserver.Fault{{Kind: targetserver.FaultHang}}
	})
	no := startNode(t, options{target: address, maxCalls: 1})
	no.setTable(nil, no.id)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan answer, 1)
	go func() {
		done <- do(newRequest(t, http.MethodPost, no.caller, "/confirm", "a", nil).WithContext(ctx))
	}()
	eventually(t, func() bool { callers, _ := no.fw.InFlight(); return callers == 1 }, "in flight")
	post(t, no.caller, "/confirm", "b", nil).requireError(t, answerer.Overloaded, "notRun")
	cancel()
	<-done
}

// startHedging starts a first node that hedges, a target that hangs with its node,
// and a healthy target with its node.
func startHedging(t *testing.T) (slow *targetserver.Server, first, stuck, good *node) {
	slow, slowAddress := startTarget(t, func(se *targetserver.Settings) {
		se.Faults = []targetserver.Fault{{Kind: targetserver.FaultHang}}
	})
	_, fastAddress := startTarget(t, nil)
	stuck = startNode(t, options{target: slowAddress})
	good = startNode(t, options{target: fastAddress})
	return slow, startNode(t, options{hedgeAfter: 5 * time.Millisecond}), stuck, good
}

// Guards against a slow attempt that is never hedged because no other endpoint
// was available at the first try.
func TestHedgeWaitsForEndpoint(t *testing.T) {
	_, first, stuck, good := startHedging(t)
	var picks atomic.Int64
	first.setTable(func(ta *testTable) {
		ta.profile.Routing.Hedge = true
		ta.full = func(en checker.NodeID) bool { return en == good.id && picks.Add(1) < 4 }
	}, stuck.id, good.id)
	an := get(t, first.caller, "/scan", "a")
	require.Equal(t, http.StatusOK, an.status, an.body)
}

// Guards against a hedge that does not start, a hedge of a call that is not
// idempotent, and a losing attempt that is not cancelled.
func TestHedge(t *testing.T) {
	slow, first, stuck, good := startHedging(t)
	hedge := func(ta *testTable) { ta.profile.Routing.Hedge = true }
	first.setTable(hedge, stuck.id, good.id)
	an := get(t, first.caller, "/scan", "a")
	require.Equal(t, http.StatusOK, an.status, an.body)
	require.Equal(t, string(targetserver.Body("a", 1024)), an.body)
	eventually(t, func() bool { return slow.InFlight() == 0 }, "the loser ends at its target")

	req := newRequest(t, http.MethodPost, first.caller, "/confirm", "b", nil)
	req.Header.Set(headerTimeout, "50ms")
	do(req).requireError(t, answerer.DeadlineExceeded, "unknown")
	require.Equal(t, 1, slow.Executions("b"))
}
