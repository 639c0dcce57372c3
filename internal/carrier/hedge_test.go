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
			ID: "t" + dc, Node: node, DataCentre: dc, Slots: 2,
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
	const never = time.Minute
	slow, quick := fakeNode{delay: never, status: 200}, fakeNode{status: 200}
	nothing := func(*dispatch) {}
	for name, tc := range map[string]struct {
		first, second fakeNode
		change        func(*dispatch)
		outcome       retrier.Outcome
		status        int
		// arrivals are the requests at each node, and cancelled the node whose request
		// is cancelled.
		arrivals  [2]int
		cancelled int
	}{
		"hedge wins":    {slow, quick, nothing, retrier.Answered, 200, [2]int{1, 1}, 1},
		"not late":      {quick, slow, nothing, retrier.Answered, 200, [2]int{1, 0}, 0},
		"first wins":    {fakeNode{delay: 110 * time.Millisecond, status: 200}, slow, nothing, retrier.Answered, 200, [2]int{1, 1}, 2},
		"first refuses": {fakeNode{delay: 110 * time.Millisecond, status: 503, refuses: true}, fakeNode{delay: 60 * time.Millisecond, status: 200}, nothing, retrier.Answered, 200, [2]int{1, 1}, 0},
		"both fail":     {fakeNode{delay: 110 * time.Millisecond}, fakeNode{status: 500}, nothing, retrier.Answered, 500, [2]int{1, 1}, 0},
		"hedge breaks, first refuses": {
			fakeNode{delay: 110 * time.Millisecond, status: 503, refuses: true}, fakeNode{}, nothing, retrier.Unknown, 0, [2]int{1, 1}, 0,
		},
		"both refuse": {
			fakeNode{delay: 110 * time.Millisecond, status: 503, refuses: true}, fakeNode{status: 503, refuses: true}, nothing,
			retrier.NotRun, 0, [2]int{1, 1}, 0,
		},
		"not idempotent": {slow, quick, func(di *dispatch) { di.rq.route.Kind = matcher.NonIdempotent }, retrier.Unknown, 0, [2]int{1, 0}, 0},
		"one attempt":    {slow, quick, func(di *dispatch) { di.rq.route.Attempts = 1 }, retrier.Unknown, 0, [2]int{1, 0}, 0},
		"a repeat":       {slow, quick, func(di *dispatch) { di.rq.repeat = true }, retrier.Unknown, 0, [2]int{1, 0}, 0},
		"budget empty":   {slow, quick, func(di *dispatch) { di.config.Budget.Allowance = 1 }, retrier.Unknown, 0, [2]int{1, 0}, 0},
		"overload":       {slow, quick, func(di *dispatch) { di.hedging["r"].refusedAt = time.Now() }, retrier.Unknown, 0, [2]int{1, 0}, 0},
		"no free slot": {slow, quick, func(di *dispatch) {
			di.placer.Begin("tb", 0)
			di.placer.Begin("tb", 0)
		}, retrier.Unknown, 0, [2]int{1, 0}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			di := hedgeCarrier(t, &tc.first, &tc.second)
			tc.change(di)
			rs := di.run(context.Background())
			require.Equal(t, tc.outcome, rs.outcome, rs.detail)
			if tc.status > 0 {
				assert.Equal(t, tc.status, rs.response.status)
			}
			assert.Equal(t, tc.arrivals, [2]int{len(tc.first.arrivals), len(tc.second.arrivals)})
			for nn, fn := range []*fakeNode{&tc.first, &tc.second} {
				if tc.cancelled == nn+1 {
					select {
					case <-fn.cancelled:
					case <-time.After(500 * time.Millisecond):
						t.Error("the loser was not cancelled")
					}
				}
			}
			assert.EqualValues(t, tc.arrivals[1], di.metrics.hedged.Count())
			if name == "hedge wins" {
				assert.EqualValues(t, 1, di.metrics.hedgeWon.Count())
				assert.Equal(t, "tb", di.rq.target)
				checkHop(t, <-tc.first.arrivals, <-tc.second.arrivals)
			}
			di.rq.release()
			assert.Zero(t, di.bodies.used.Load())
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
	flags := func(r *http.Request) string { return strings.Join(strings.Split(r.Header.Get(headerHop), " ")[2:], "") }
	assert.NotContains(t, flags(first), string(flagRepeat))
	assert.Contains(t, flags(second), string(flagRepeat))
	left, err := strconv.Atoi(second.Header.Get("X-Timeout"))
	require.NoError(t, err)
	assert.Less(t, left, 125)
}

// Guards against a refusal that hides that an earlier attempt may have run.
func TestStrongerResult(t *testing.T) {
	unknown, refused := &result{outcome: retrier.Unknown}, refusal(answerer.Overloaded, "", 0)
	answered := &result{outcome: retrier.Answered, response: &response{status: 500}}
	assert.Same(t, unknown, stronger(unknown, refused))
	assert.Same(t, unknown, stronger(refused, unknown))
	assert.Same(t, answered, stronger(answered, unknown))
}
