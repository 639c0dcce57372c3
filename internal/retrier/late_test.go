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
	for name, tt := range map[string]struct {
		elapsed time.Duration
		change  func(*Late)
		want    Decision
	}{
		"usual time":          {0, nil, Decision{Delay: 490 * ms, Reason: TooEarly}},
		"late, but time left": {450 * ms, nil, Decision{Delay: 40 * ms, Reason: TooEarly}},
		"latest moment":       {490 * ms, nil, Decision{Again: true}},
		"timer is late":       {500 * ms, nil, Decision{Again: true}},
		"before the deadline": {885 * ms, nil, Decision{Again: true}},
		"no time left":        {895 * ms, nil, Decision{Reason: NoTimeLeft}},
		"no free slot":        {490 * ms, func(la *Late) { la.Free = false }, Decision{Delay: retryInterval, Reason: NoCapacity}},
		"other target slow":   {490 * ms, func(la *Late) { la.Second = 400 * ms }, Decision{Delay: 110 * ms, Reason: TooEarly}},
		"no gain in time":     {490 * ms, func(la *Late) { la.Second = 600 * ms }, Decision{Reason: NoTimeLeft}},
		"not idempotent":      {490 * ms, func(la *Late) { la.Allowed = false }, Decision{Reason: NotIdempotent}},
		"a repeat":            {490 * ms, func(la *Late) { la.Repeat = true }, Decision{Reason: AlreadyDecided}},
		"no attempt left":     {490 * ms, func(la *Late) { la.Number = 2 }, Decision{Reason: NoAttemptLeft}},
		"unknown times":       {490 * ms, func(la *Late) { la.After = 0 }, Decision{Reason: TooEarly}},
	} {
		la := Late{
			Allowed: true, Number: 1, MaxAttempts: 2, Elapsed: tt.elapsed, After: 440 * ms, Free: true,
			Second: 310 * ms, Objective: 800*ms - tt.elapsed, Deadline: 1200*ms - tt.elapsed,
		}
		if tt.change != nil {
			tt.change(&la)
		}
		asked := false
		require.Equal(t, tt.want, HedgeLate(la, func() bool { asked = true; return true }), name)
		require.Equal(t, tt.want.Again, asked, name)
		refused := HedgeLate(la, func() bool { return false })
		require.Equal(t, tt.want.Again, refused.Reason == BudgetEmpty, name)
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
		return Decision{Delay: after - la.Elapsed, Again: la.Allowed && la.Elapsed >= after && take()}
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

// replay runs the tail load on a number of nodes, whose requests make calls. It returns
// the share of requests with a response within the objective, and the second attempts
// per request.
func replay(nodes int, calls float64, limited bool, decide policy) (within, extra float64) {
	const perMs, objective, deadline = 0.4, 800 * ms, 1200 * ms
	requests := 40_000
	if testing.Short() {
		requests = 20_000
	}
	random := rand.New(rand.NewPCG(5, 6))
	steps := make([][]func(now int), int(2*float64(requests)/perMs)) // by millisecond
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
				within += float64(min(1, max(0, (objective-took)/ms+1)))
			}
		}
		var ask func(int)
		ask = func(now int) {
			if over {
				return // no decision is left
			}
			elapsed, wall := time.Duration(now-began)*ms, epoch.Add(time.Duration(now)*ms)
			if now == began {
				bu.Request(wall)
			}
			take := func() bool {
				return !limited || bu.Take(budgeter.Retry{Nodes: nodes, Calls: calls, Hedge: true}, wall)
			}
			de := decide(Late{
				Allowed: true, Number: 1, MaxAttempts: 2, Elapsed: elapsed, Free: true, After: ti.Late(),
				Second: ti.Second(), Objective: objective - elapsed, Deadline: deadline - elapsed,
			}, first, second, take)
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
	return within / float64(requests), extra / float64(requests)
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
			if testing.Short() && (name == "none" || name == "known") {
				continue // for comparison in the log only, as the runs without a budget
			}
			free, freeExtra := math.NaN(), math.NaN()
			if !testing.Short() {
				free, freeExtra = replay(tt.nodes, tt.calls, false, decide)
			}
			got, extra := replay(tt.nodes, tt.calls, true, decide)
			t.Logf("%d nodes, %v calls, %-12s: within 800 ms %.4f, extra %.4f; without a budget %.4f, %.4f",
				tt.nodes, tt.calls, name, got, extra, free, freeExtra)
			within[name] = got
			require.LessOrEqual(t, extra*(1+tt.calls), 0.2*0.55*0.5+0.01)
		}
		require.Greater(t, within["late"], max(within["fixed 300 ms"], within["fixed 400 ms"], tt.least))
	}
}
