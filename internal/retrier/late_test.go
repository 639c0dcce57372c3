package retrier

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/budgeter"
)

const ms = time.Millisecond

// Guards against second attempts that the rules forbid, that start sooner than needed
// or too late to help, and against tokens withdrawn for attempts that are not made.
func TestHedgeLate(t *testing.T) {
	at := func(elapsed time.Duration, change func(*Late)) Late {
		la := Late{
			Allowed: true, Number: 1, MaxAttempts: 2, Elapsed: elapsed, After: 440 * ms,
			Second: 310 * ms, Free: true, Objective: 800*ms - elapsed, Deadline: 1200*ms - elapsed,
		}
		change(&la)
		return la
	}
	none := func(*Late) {}
	for name, tt := range map[string]struct {
		give Late
		want Decision
	}{
		"usual time":          {at(0, none), Decision{Delay: 490 * ms, Reason: TooEarly}},
		"late, but time left": {at(450*ms, none), Decision{Delay: 40 * ms, Reason: TooEarly}},
		"latest moment":       {at(490*ms, none), Decision{Again: true}},
		"timer is late":       {at(500*ms, none), Decision{Again: true}},
		"beyond objective":    {at(830*ms, none), Decision{Again: true}},
		"before the deadline": {at(885*ms, none), Decision{Again: true}},
		"no time left":        {at(895*ms, none), Decision{Reason: NoTimeLeft}},
		"no free slot": {
			at(490*ms, func(la *Late) { la.Free = false }),
			Decision{Delay: retryInterval, Reason: NoCapacity},
		},
		"other target slow": {
			at(490*ms, func(la *Late) { la.Second = 400 * ms }),
			Decision{Delay: 110 * ms, Reason: TooEarly},
		},
		"no gain in time":  {at(490*ms, func(la *Late) { la.Second = 600 * ms }), Decision{Reason: NoTimeLeft}},
		"not idempotent":   {at(490*ms, func(la *Late) { la.Allowed = false }), Decision{Reason: NotIdempotent}},
		"a repeat":         {at(490*ms, func(la *Late) { la.Repeat = true }), Decision{Reason: AlreadyDecided}},
		"no attempt left":  {at(490*ms, func(la *Late) { la.Number = 2 }), Decision{Reason: NoAttemptLeft}},
		"unknown times":    {at(490*ms, func(la *Late) { la.After = 0 }), Decision{Reason: TooEarly}},
		"deadline is near": {at(440*ms, func(la *Late) { la.Deadline = 340 * ms }), Decision{Again: true}},
	} {
		t.Run(name, func(t *testing.T) {
			asked := false
			got := HedgeLate(tt.give, func() bool { asked = true; return true })
			require.Equal(t, tt.want, got)
			require.Equal(t, tt.want.Again, asked)
			refused := HedgeLate(tt.give, func() bool { return false })
			require.Equal(t, tt.want.Again, refused.Reason == BudgetEmpty)
		})
	}
}

// tailTime draws a response time of which 3 in 100 are 7 times as long.
func tailTime(random *rand.Rand) time.Duration {
	took := 240 * math.Exp(0.3*random.NormFloat64())
	if random.Float64() < 0.03 {
		took *= 7
	}
	return time.Duration(took * float64(ms))
}

// policy decides on a second attempt. Only full knowledge uses the times of the first
// and the second attempt.
type policy func(la Late, first, second time.Duration, take func() bool) Decision

func fixedTime(after time.Duration) policy {
	return func(la Late, _, _ time.Duration, take func() bool) Decision {
		return Decision{Delay: after - la.Elapsed, Again: la.Elapsed >= after && take()}
	}
}

var policies = map[string]policy{
	"none":         func(Late, time.Duration, time.Duration, func() bool) Decision { return Decision{} },
	"fixed 300 ms": fixedTime(300 * ms),
	"fixed 400 ms": fixedTime(400 * ms),
	"late":         func(la Late, _, _ time.Duration, take func() bool) Decision { return HedgeLate(la, take) },
	"known": func(_ Late, first, second time.Duration, take func() bool) Decision {
		return Decision{Again: first > 800*ms && second <= 800*ms && take()}
	},
}

// replay runs the tail load. It returns the share of requests with a response within
// the objective, and the second attempts per request.
func replay(nodes int, take func(*budgeter.Budget, time.Time) bool, decide policy) (within, extra float64) {
	const requests, perMs = 40_000, 0.4
	random := rand.New(rand.NewPCG(5, 6))
	steps := make([][]func(now int), 2*requests/perMs) // by millisecond
	at := func(when int, step func(int)) { steps[when] = append(steps[when], step) }
	times, budgets := make([]Times, nodes), make([]*budgeter.Budget, nodes)
	for nn := range budgets {
		budgets[nn] = budgeter.New(budgeter.Config{Ratio: 0.2, Allowance: 170, Window: 10 * time.Second})
	}
	for nn := range requests {
		ti, bu, began := &times[nn%nodes], budgets[nn%nodes], int(float64(nn)/perMs)
		first, second, over := tailTime(random), tailTime(random), false
		end := func(now int) {
			if took := time.Duration(now-began) * ms; !over {
				over = true
				ti.Add(took)
				within += float64(min(1, max(0, (800*ms-took)/ms+1)))
			}
		}
		var ask func(int)
		ask = func(now int) {
			elapsed, wall := time.Duration(now-began)*ms, epoch.Add(time.Duration(now)*ms)
			if now == began {
				bu.Request(wall)
			}
			if over {
				return
			}
			de := decide(Late{
				Allowed: true, Number: 1, MaxAttempts: 2, Elapsed: elapsed, Free: true, After: ti.Late(),
				Second: ti.Second(), Objective: 800*ms - elapsed, Deadline: 1200*ms - elapsed,
			}, first, second, func() bool { return take(bu, wall) })
			if de.Again {
				extra++
				at(now+int(second/ms), end)
			} else if de.Delay > 0 {
				at(now+int(de.Delay/ms)+1, ask)
			}
		}
		at(began, ask)
		at(began+int(first/ms), end)
	}
	for now := range steps {
		for _, step := range steps[now] {
			step(now)
		}
	}
	return within / requests, extra / requests
}

// Guards against hedges that help less than those at a fixed time within the same
// budget, and against more of them than the budget allows.
func TestTailLoad(t *testing.T) {
	for _, tt := range []struct {
		nodes        int
		calls, least float64
	}{{1, 0, 0.988}, {1, 1.4, 0.978}, {65, 0, 0.980}, {65, 1.4, 0.976}} {
		within := map[string]float64{}
		for name, decide := range policies {
			free, freeExtra := replay(tt.nodes, func(*budgeter.Budget, time.Time) bool { return true }, decide)
			got, extra := replay(tt.nodes, func(bu *budgeter.Budget, now time.Time) bool {
				return bu.Take(budgeter.Retry{Nodes: tt.nodes, Calls: tt.calls, Hedge: true}, now)
			}, decide)
			t.Logf("%d nodes, %v calls, %-12s: within 800 ms %.4f, extra %.4f; without a budget %.4f, %.4f",
				tt.nodes, tt.calls, name, got, extra, free, freeExtra)
			within[name] = got
			require.LessOrEqual(t, extra*(1+tt.calls), 0.2*0.55*0.5+0.01)
		}
		require.Greater(t, within["late"], max(within["fixed 300 ms"], within["fixed 400 ms"], tt.least))
	}
}
