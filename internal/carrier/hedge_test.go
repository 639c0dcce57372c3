package carrier

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/budgeter"
	"github.com/guavastall/guavastall/internal/matcher"
	"github.com/guavastall/guavastall/internal/placer"
	"github.com/guavastall/guavastall/internal/retrier"
)

type noLog struct{}

func (noLog) Wants(string, bool, time.Time) bool { return true }
func (noLog) Event(Event)                        {}

// fakeNode is a target's node that answers after a delay, with a status or a refusal.
type fakeNode struct {
	delay   time.Duration
	status  int // zero: the connection breaks
	refuses bool

	arrivals  chan *http.Request
	cancelled chan struct{}
}

func (fn *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fn.arrivals <- r
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	select {
	case <-r.Context().Done():
		close(fn.cancelled)
		return
	case <-time.After(fn.delay):
	}
	switch {
	case fn.status == 0:
		panic(http.ErrAbortHandler)
	case fn.refuses:
		w.Header().Set(headerRefused, answerer.Overloaded.String()+" 10")
	}
	w.WriteHeader(fn.status)
	_, _ = w.Write(make([]byte, 100))
}

// hedgeCarrier returns a carrier that sends a request to the first node and hedges it
// to the second one, 80 ms later and 120 ms before its deadline.
func hedgeCarrier(t *testing.T, first, second *fakeNode) *dispatch {
	ca := New(Config{
		Names: Names{RequestID: "X-Id", Timeout: "X-Timeout", Caller: "X-Caller"}, Now: time.Now, DataCentre: "a",
		Budget: budgeter.Config{Ratio: 0.2, Allowance: 100, Window: 10 * time.Second},
	}, openGate(), noLog{}, metrics.NewRegistry())
	vi := &View{
		Config:  &matcher.Config{},
		Targets: map[string][]Target{},
	}
	for nn, fn := range []*fakeNode{first, second} {
		fn.arrivals, fn.cancelled = make(chan *http.Request, 3), make(chan struct{})
		server := httptest.NewServer(fn)
		t.Cleanup(server.Close)
		node := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		dc := string(rune('a' + nn)) // the first one is nearer
		vi.Targets["desk"] = append(vi.Targets["desk"], Target{Version: "v1", Target: placer.Target{
			ID: "t" + dc, Node: node, DataCentre: dc, Slots: 1,
		}})
	}
	rq := requestFor("")
	rq.method, rq.uri, rq.host, rq.lease = http.MethodGet, "/", "h", &lease{memory: ca.bodies}
	rq.header = http.Header{"X-Id": {rq.id}}
	rq.objective, rq.deadline = rq.arrived.Add(100*time.Millisecond), rq.arrived.Add(200*time.Millisecond)
	rq.route.Kind, rq.route.Attempts = matcher.Idempotent, 2
	he := &hedging{}
	for range 100 {
		he.times.Add(20 * time.Millisecond)
	}
	ca.hedging["r"] = he
	return &dispatch{Carrier: ca, rq: rq, view: vi}
}

// Guards against a late attempt whose hedge does not win, a loser that goes on running
// or is not recorded, a refusal of a request that may have run, and a hedge that is
// not allowed.
func TestHedge(t *testing.T) {
	const after, none = 110 * time.Millisecond, 0 // after the hedge has begun
	slow, quick := fakeNode{delay: time.Minute, status: 200}, fakeNode{status: 200}
	late, refuses := fakeNode{delay: after, status: 200}, fakeNode{delay: after, status: 503, refuses: true}
	for name, tc := range map[string]struct {
		first, second fakeNode
		change        func(*dispatch)
		outcome       retrier.Outcome
		// status is that of the response, hedges the number of hedges, and cancelled
		// the number of the node whose request is cancelled.
		status, hedges, cancelled int
	}{
		"hedge wins":     {slow, quick, nil, retrier.Answered, 200, 1, 1},
		"not late":       {quick, slow, nil, retrier.Answered, 200, 0, none},
		"first wins":     {late, slow, nil, retrier.Answered, 200, 1, 2},
		"first refuses":  {refuses, fakeNode{delay: after / 2, status: 200}, nil, retrier.Answered, 200, 1, none},
		"both fail":      {fakeNode{delay: after}, fakeNode{status: 500}, nil, retrier.Answered, 500, 1, none},
		"hedge breaks":   {refuses, fakeNode{}, nil, retrier.Unknown, none, 1, none},
		"both refuse":    {refuses, refuses, nil, retrier.NotRun, none, 1, none},
		"not idempotent": {slow, quick, func(di *dispatch) { di.rq.route.Kind = matcher.NonIdempotent }, retrier.Unknown, none, 0, none},
		"one attempt":    {slow, quick, func(di *dispatch) { di.rq.route.Attempts = 1 }, retrier.Unknown, none, 0, none},
		"a repeat":       {slow, quick, func(di *dispatch) { di.rq.repeat = true }, retrier.Unknown, none, 0, none},
		"budget empty":   {slow, quick, func(di *dispatch) { di.config.Budget.Allowance = 1 }, retrier.Unknown, none, 0, none},
		"no free slot":   {slow, quick, func(di *dispatch) { di.placer.Begin("tb", 0) }, retrier.Unknown, none, 0, none},
		"overload":       {slow, quick, func(di *dispatch) { di.hedging["r"].refusedAt = time.Now() }, retrier.Unknown, none, 0, none},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			di := hedgeCarrier(t, &tc.first, &tc.second)
			if tc.change != nil {
				tc.change(di)
			}
			rs := di.run(context.Background())
			require.Equal(t, tc.outcome, rs.outcome, rs.detail)
			if rs.response != nil {
				assert.Equal(t, tc.status, rs.response.status)
			}
			assert.Len(t, tc.first.arrivals, 1)
			assert.Len(t, tc.second.arrivals, tc.hedges)
			assert.EqualValues(t, tc.hedges, di.metrics.hedged.Count())
			if tc.cancelled != none {
				select {
				case <-[]*fakeNode{&tc.first, &tc.second}[tc.cancelled-1].cancelled:
				case <-time.After(500 * time.Millisecond):
					t.Error("the loser was not cancelled")
				}
				assert.EqualValues(t, 2-tc.cancelled, di.metrics.hedgeWon.Count())
				checkHop(t, <-tc.first.arrivals, <-tc.second.arrivals)
			}
			di.rq.release()
			assert.Zero(t, di.bodies.Used())
			for _, ta := range di.candidates() { // each attempt has ended once
				ou := di.placer.Outlook(placer.Choice{Target: ta}, di.forPlacer(time.Now()), time.Now())
				assert.Equal(t, name != "no free slot" || ta.ID == "ta", ou.Free)
			}
		})
	}
}

// checkHop checks that only the second attempt is a repeat, and that it gets the time
// that is left.
func checkHop(t *testing.T, first, second *http.Request) {
	flags := func(r *http.Request) string { return strings.Split(r.Header.Get(headerHop)+" ", " ")[2] }
	assert.NotContains(t, flags(first), string(flagRepeat))
	assert.Contains(t, flags(second), string(flagRepeat)+string(flagHedge))
	left, err := strconv.Atoi(second.Header.Get("X-Timeout"))
	require.NoError(t, err)
	assert.Less(t, left, 125)
}

// Guards against a hedge that waits for a slot at its target, because the first node
// did not know that the target has become busy.
func TestHedgeNeverWaits(t *testing.T) {
	ca := New(Config{Now: time.Now}, openGate(), noLog{}, metrics.NewRegistry())
	rq := requestFor("a")
	rq.hedge = true
	for range 2 {
		_, rs := ca.gate.admit(t.Context(), rq, time.Millisecond)
		require.Nil(t, rs)
	}
	_, rs := ca.gate.admit(t.Context(), rq, time.Millisecond)
	require.NotNil(t, rs)
	assert.Equal(t, answerer.Overloaded, rs.kind)
	ca.gate.Drain()
	_, rs = ca.gate.admit(t.Context(), rq, time.Millisecond)
	require.NotNil(t, rs)
	assert.Equal(t, answerer.Draining, rs.kind, "no capacity hides that the node leaves")
}

// Guards against a hedge that uses part of the bounded rate of a cold target.
func TestNoHedgeAtColdTarget(t *testing.T) {
	now := time.Now()
	ga := NewGate(netip.MustParseAddrPort("127.0.0.1:1"), func() time.Time { return now })
	ga.SetRules(Rules{ColdRate: 30})
	ga.Heartbeat(heartbeat("a", 1))
	ga.Verify("a", time.Minute)
	now = now.Add(5 * time.Second)
	ad, rs := admit(ga, "a")
	require.Nil(t, rs)
	ga.release(ad, 0)
	now = now.Add(5 * time.Second) // the rate allows another request
	rq := requestFor("a")
	rq.hedge = true
	_, rs = ga.admit(t.Context(), rq, time.Millisecond)
	require.NotNil(t, rs)
	assert.Equal(t, answerer.Overloaded, rs.kind)
}

// Guards against a second attempt of a request whose first one has just ended.
func TestNoHedgeAfterEnd(t *testing.T) {
	di := hedgeCarrier(t, &fakeNode{}, &fakeNode{status: 200})
	di.assignVersion(time.Now())
	ra := &race{dispatch: di, ended: make(chan *concurrent, 2), began: di.rq.arrived}
	ra.ended <- &concurrent{}
	time.Sleep(90 * time.Millisecond)
	assert.Zero(t, ra.hedge(t.Context()))
	assert.Zero(t, di.metrics.hedged.Count())
}

// Guards against ordinary requests that avoid a target because it had no free slot for
// a hedge.
func TestRefusedHedgeIsNoBackoff(t *testing.T) {
	first := &fakeNode{delay: 110 * time.Millisecond, status: 200}
	di := hedgeCarrier(t, first, &fakeNode{status: 503, refuses: true})
	rs := di.run(t.Context())
	require.Equal(t, retrier.Answered, rs.outcome)
	require.EqualValues(t, 1, di.metrics.hedged.Count())
	now := time.Now()
	rq := di.forPlacer(now)
	rq.Tried = []string{"ta"}
	ch, ok := di.placer.Pick(di.candidates(), rq, now)
	require.True(t, ok)
	assert.Zero(t, ch.Wait)
}

// Guards against cancelled attempts that count as good responses and hide the failures
// of their target.
func TestCancelledIsNoSuccess(t *testing.T) {
	ca := New(Config{Now: time.Now}, openGate(), noLog{}, metrics.NewRegistry())
	ca.gate.errorRate = 0.5
	lost := &result{outcome: retrier.Unknown, kind: answerer.Cancelled, reached: true}
	ca.recordOutcome(requestFor("a"), lost, 30*time.Millisecond)
	assert.InDelta(t, 0.5, ca.gate.load().FailureShare, 1e-9)
}

// deadlineRecorder records the read deadlines that a handler sets.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (dr *deadlineRecorder) SetReadDeadline(at time.Time) error {
	dr.deadlines = append(dr.deadlines, at)
	return nil
}

// Guards against a client that occupies connections of the nodes' server for ever with
// request bodies that it never completes.
func TestNodeBodyTime(t *testing.T) {
	ca := New(Config{Names: Names{RequestID: "X-Id"}, Now: time.Now}, openGate(), noLog{}, metrics.NewRegistry())
	dr := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("body"))
	r.Header.Set("X-Id", "1")
	ca.Nodes().ServeHTTP(dr, r)
	require.Len(t, dr.deadlines, 2)
	assert.WithinDuration(t, time.Now().Add(bodyTimeout), dr.deadlines[0], time.Second)
	assert.Zero(t, dr.deadlines[1])
}

// Guards against a refusal that hides that an earlier attempt may have run.
func TestStrongerResult(t *testing.T) {
	unknown, refused := &result{outcome: retrier.Unknown}, refusal(answerer.Overloaded, "", 0)
	assert.Same(t, unknown, stronger(unknown, refused))
	assert.Same(t, unknown, stronger(refused, unknown))
}
