package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/internal/limiter"
	"github.com/guavastall/guavastall/internal/retrier"
	"github.com/guavastall/guavastall/internal/router"
	"github.com/guavastall/guavastall/internal/targetserver"
	"github.com/guavastall/guavastall/pkg/checker"
)

// TestMain fails the run if any test violated an invariant unexpectedly.
func TestMain(m *testing.M) {
	asserter.SetHandler(func(vi asserter.Violation) {
		fmt.Fprintf(os.Stderr, "invariant %s: %s\n", vi.Invariant, vi.Detail)
	})
	code := m.Run()
	if nn := asserter.Violations() - expectedViolations.Load(); nn != 0 && code == 0 {
		fmt.Fprintf(os.Stderr, "%d invariant violations\n", nn)
		code = 1
	}
	os.Exit(code)
}

// expectedViolations counts the violations that tests cause deliberately.
var expectedViolations atomic.Int64

// testTable matches routes by path and picks the first untried endpoint.
type testTable struct {
	endpoints []router.Endpoint
	routes    []checker.Route
	profile   checker.Profile
	// full reports whether an endpoint has no free capacity; nil means never.
	full func(checker.NodeID) bool
}

func (ta *testTable) Plan(ca router.Call, _ time.Time) (router.Plan, error) {
	if ca.Service != "tag" {
		return router.Plan{}, answerer.New(answerer.UnknownService, "service is not configured")
	}
	for nn := range ta.routes {
		if ro := &ta.routes[nn]; strings.HasPrefix(ca.Path, ro.PathPrefix) {
			return router.Plan{
				Service: ca.Service, Route: ro, Profile: &ta.profile, Version: "v1",
				Owned: ro.Once != "" && ca.Key != "",
			}, nil
		}
	}
	return router.Plan{}, answerer.New(answerer.NoRoute, "no route matches")
}

func (ta *testTable) Pick(
	_ router.Plan, tried []checker.NodeID, _ *router.Loads, _ time.Time,
) (router.Endpoint, error) {
	for _, en := range ta.endpoints {
		if !slices.Contains(tried, en.Node) && (ta.full == nil || !ta.full(en.Node)) {
			return en, nil
		}
	}
	return router.Endpoint{}, answerer.New(answerer.NoTarget, "no target left")
}

// testRetrier allows every valid retry without a budget, and hedges after
// hedgeAfter.
type testRetrier struct {
	hedgeAfter time.Duration
}

func (testRetrier) First(*router.Plan) {}

func (testRetrier) Next(_ *router.Plan, at retrier.Attempt, now time.Time) retrier.Decision {
	again := at.Outcome == retrier.NotRun || (at.Outcome == retrier.Unknown && at.Idempotent)
	again = again && !at.Marked && at.Number < at.MaxAttempts && now.Before(at.Deadline)
	return retrier.Decision{Again: again, Mark: !again}
}

func (tr testRetrier) Hedge(
	_ *router.Plan, at retrier.Attempt, _ time.Time,
) retrier.Decision {
	return retrier.Decision{Again: tr.hedgeAfter > 0 && at.Elapsed >= tr.hedgeAfter}
}

// testLimiter has a fixed limit and an optional queue in which calls wait until
// their deadline.
type testLimiter struct {
	mu                      sync.Mutex
	limit, inFlight, queued int
	queue                   bool
	results                 []limiter.Status
	last                    limiter.Result
}

func (li *testLimiter) TryAcquire(time.Time) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.queued > 0 || li.inFlight >= li.limit {
		return false
	}
	li.inFlight++
	return true
}

func (li *testLimiter) Enqueue(remaining time.Duration, _ time.Time) (time.Duration, bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.queue {
		li.queued++
	}
	return remaining, li.queue
}

func (li *testLimiter) AcquireQueued(time.Time) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.queued == 0 || li.inFlight >= li.limit {
		return false
	}
	li.queued--
	li.inFlight++
	return true
}

func (li *testLimiter) Dequeue(time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.queued--
}

func (li *testLimiter) Release(re limiter.Result, _ time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.inFlight--
	li.results = append(li.results, re.Status)
	li.last = re
}

func (li *testLimiter) Limit() int { return li.limit }

func (li *testLimiter) InFlight() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.inFlight
}

func (li *testLimiter) Cold() bool { return false }

// testObserver stores the observations.
type testObserver struct {
	mu  sync.Mutex
	all []Observation
}

func (to *testObserver) Observe(ob Observation) {
	to.mu.Lock()
	defer to.mu.Unlock()
	to.all = append(to.all, ob)
}

func (to *testObserver) list() []Observation {
	to.mu.Lock()
	defer to.mu.Unlock()
	return slices.Clone(to.all)
}

func listen(tb testing.TB) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	return ln
}

func addrOf(ln net.Listener) netip.AddrPort {
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// serve starts an HTTP server with the handler, as a fake target or peer.
func serve(tb testing.TB, handler http.Handler) netip.AddrPort {
	ln := listen(tb)
	server := &http.Server{Handler: handler} //nolint:gosec // a test's server
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	tb.Cleanup(func() {
		_ = server.Close()
		require.ErrorIs(tb, <-done, http.ErrServerClosed)
	})
	return addrOf(ln)
}

// options configures a test node.
type options struct {
	target     netip.AddrPort
	limit      int
	queue      bool
	claimer    Claimer
	hedgeAfter time.Duration
	maxCalls   int
	log        Log
	now        func() time.Time
}

// node is a forwarder with its two servers.
type node struct {
	fw             *Forwarder
	id             checker.NodeID
	caller         netip.AddrPort
	callers, peers *Server
	limiter        *testLimiter
	observer       *testObserver
	table          atomic.Pointer[testTable]
}

func startNode(tb testing.TB, op options) *node {
	peerLn, callerLn := listen(tb), listen(tb)
	no := &node{
		id: addrOf(peerLn), caller: addrOf(callerLn), observer: &testObserver{},
		limiter: &testLimiter{limit: op.limit, queue: op.queue},
	}
	if op.limit == 0 {
		no.limiter.limit = 100
	}
	cf := Config{Self: no.id, MaxCalls: op.maxCalls, Now: op.now}
	if op.target.IsValid() {
		cf.Target = &Target{Service: "tag", Version: "v1", Address: op.target}
	}
	var err error
	no.fw, err = New(cf, Parts{
		Table: func() Table {
			if ta := no.table.Load(); ta != nil {
				return ta
			}
			return nil
		},
		Loads: router.NewLoads(1), Limiter: no.limiter, Observer: no.observer,
		Retrier: testRetrier{op.hedgeAfter}, Claimer: op.claimer, Log: op.log,
	})
	require.NoError(tb, err)
	no.callers, no.peers = NewServer(no.fw.Callers(), nil), NewServer(no.fw.Peers(), nil)
	done := make(chan error, 2)
	go func() { done <- no.callers.Serve(callerLn) }()
	go func() { done <- no.peers.Serve(peerLn) }()
	tb.Cleanup(func() {
		_ = no.callers.Close()
		_ = no.peers.Close()
		no.fw.Close()
		require.NoError(tb, <-done)
		require.NoError(tb, <-done)
	})
	return no
}

// setTable makes the node route to the given nodes in order.
func (no *node) setTable(change func(*testTable), nodes ...checker.NodeID) {
	ta := &testTable{
		routes: []checker.Route{
			{Name: "scan", PathPrefix: "/scan", Idempotent: true, Timeout: checker.Duration(2 * time.Second)},
			{Name: "memory", PathPrefix: "/memory", Once: checker.OnceMemory, Timeout: checker.Duration(2 * time.Second)},
			{Name: "log", PathPrefix: "/log", Once: checker.OnceLog, Timeout: checker.Duration(2 * time.Second)},
			{Name: "confirm", PathPrefix: "/", Timeout: checker.Duration(2 * time.Second)},
		},
		profile: checker.Profile{
			Limits:  checker.Limits{MaxBodyBytes: 8 << 20},
			Retries: checker.Retries{BudgetRatio: 1, MaxAttempts: 3},
		},
	}
	for _, id := range nodes {
		ta.endpoints = append(ta.endpoints, router.Endpoint{Node: id, Service: "tag", Version: "v1"})
	}
	if change != nil {
		change(ta)
	}
	no.table.Store(ta)
}

// startTarget starts a test target.
func startTarget(tb testing.TB, change func(*targetserver.Settings)) (*targetserver.Server, netip.AddrPort) {
	se := targetserver.Settings{Version: "v1", Slots: 100, Queue: 100, ResponseBytes: 1024}
	if change != nil {
		change(&se)
	}
	sv, err := targetserver.New(se, time.Now)
	require.NoError(tb, err)
	ln := listen(tb)
	done := make(chan error, 1)
	go func() { done <- sv.Serve(ln) }()
	tb.Cleanup(func() {
		_ = sv.Close()
		require.ErrorIs(tb, <-done, http.ErrServerClosed)
	})
	return sv, addrOf(ln)
}

// answer is a completely read response.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (an answer) outcome() string { return an.header.Get(headerOutcome) }
func (an answer) kind() string    { return an.header.Get(headerError) }

// requireError checks that the answer is an error response with the kind and the
// outcome.
func (an answer) requireError(tb testing.TB, ki answerer.Kind, outcome string) {
	require.NoError(tb, an.err)
	require.Equal(tb, ki.String(), an.kind(), an.body)
	require.Equal(tb, outcome, an.outcome(), an.body)
	var eb errorBody
	require.NoError(tb, json.Unmarshal([]byte(an.body), &eb))
	require.Equal(tb, ki.String(), eb.Error)
	require.NotEmpty(tb, eb.Message)
}

// newRequest returns a request to the service "tag" with the given request ID.
func newRequest(tb testing.TB, method string, to netip.AddrPort, path, id string, body []byte) *http.Request {
	var rd io.Reader
	if body != nil {
		rd = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+to.String()+path, rd)
	require.NoError(tb, err)
	req.Host = "tag"
	req.Header.Set(targetserver.HeaderID, id)
	return req
}

// caller is an HTTP client that never resends a request.
var caller = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func do(req *http.Request) answer {
	resp, err := caller.Do(req)
	if err != nil {
		return answer{err: err, header: http.Header{}}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), err}
}

func get(tb testing.TB, to netip.AddrPort, path, id string) answer {
	return do(newRequest(tb, http.MethodGet, to, path, id, nil))
}

func post(tb testing.TB, to netip.AddrPort, path, id string, body []byte) answer {
	return do(newRequest(tb, http.MethodPost, to, path, id, body))
}

// eventually waits until the condition is true.
func eventually(tb testing.TB, condition func() bool, message string) {
	require.Eventually(tb, condition, 10*time.Second, time.Millisecond, message)
}
