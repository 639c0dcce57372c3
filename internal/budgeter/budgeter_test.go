package budgeter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Unix(1_000_000, 0)

// The retries of all nodes, together with one call to the same service that each
// retried request makes, stay within the budget in every window.
func TestBudgetOverNodes(t *testing.T) {
	cf := Config{Ratio: 0.2, Allowance: 60, Window: 10 * time.Second}
	const nodes, seconds, perSecond = 12, 60, 30
	random := rand.New(rand.NewPCG(3, 4))
	budgets := make([]*Budget, nodes)
	for nn := range budgets {
		budgets[nn] = New(cf)
	}
	requests, retries := make([]float64, seconds*10), make([]float64, seconds*10)
	for tick := range seconds * 10 {
		now := epoch.Add(time.Duration(tick) * 100 * time.Millisecond)
		for _, bu := range budgets {
			for range perSecond / 10 {
				bu.Request(now)
				requests[tick]++
				re := Retry{Nodes: nodes, Calls: 1, LastAttempt: true}
				if random.Float64() < 0.6 && bu.Take(re, now) {
					retries[tick] += 2
				}
			}
		}
	}
	for from := 0; from+100 <= len(retries); from++ {
		var rq, rp float64
		for _, value := range requests[from : from+100] {
			rq += value
		}
		for _, value := range retries[from : from+100] {
			rp += value
		}
		assert.LessOrEqual(t, rp, cf.Ratio*rq+cf.Allowance, "window at tick %d", from)
	}
}

func TestRetriesExpire(t *testing.T) {
	bu := New(Config{Ratio: 0, Allowance: 20, Window: 10 * time.Second})
	taken := 0
	re := Retry{Nodes: 1, LastAttempt: true}
	for bu.Take(re, epoch) {
		taken++
	}
	assert.Equal(t, int(safetyFactor*20), taken)
	assert.False(t, bu.Take(re, epoch.Add(9*time.Second)))
	assert.True(t, bu.Take(re, epoch.Add(11*time.Second)))
}

// Requests that their client retries leave part of the budget to requests on their
// last attempt.
func TestReserveForLastTries(t *testing.T) {
	bu := New(Config{Ratio: 0, Allowance: 100, Window: 10 * time.Second})
	first, last := 0, 0
	for bu.Take(Retry{Nodes: 1}, epoch) {
		first++
	}
	for bu.Take(Retry{Nodes: 1, LastAttempt: true}, epoch) {
		last++
	}
	assert.InDelta(t, first, last, 1)
}

// The expected calls of a retried request count against the budget; an unknown
// number counts as more than one.
func TestCallsCount(t *testing.T) {
	count := func(calls float64) int {
		bu, taken := New(Config{Allowance: 100, Window: 10 * time.Second}), 0
		for bu.Take(Retry{Nodes: 1, Calls: calls, LastAttempt: true}, epoch) {
			taken++
		}
		return taken
	}
	assert.InDelta(t, 2*count(1), count(0), 1)
	assert.Less(t, count(-1), count(1))
	bu := New(Config{Allowance: 100, Window: 10 * time.Second})
	for range 100 {
		bu.CountRetry(epoch)
	}
	assert.False(t, bu.Take(Retry{Nodes: 1, LastAttempt: true}, epoch))
}

// A service sheds half of its requests, and a fifth of them are on their last
// attempt. With the reserve more of these succeed than without it.
func TestLastTriesUnderShedding(t *testing.T) {
	const seconds, perSecond, shed = 30, 200, 0.5
	served := func(last bool) (lastServed, lastOffered int) {
		bu := New(Config{Ratio: 0.2, Allowance: 10, Window: 10 * time.Second})
		random := rand.New(rand.NewPCG(8, 9))
		for nn := range seconds * perSecond {
			now := epoch.Add(time.Duration(nn) * time.Second / perSecond)
			bu.Request(now)
			final := random.Float64() < 0.2
			ok := random.Float64() >= shed
			if !ok && bu.Take(Retry{Nodes: 1, LastAttempt: final || !last}, now) {
				ok = random.Float64() >= shed
			}
			if final {
				lastOffered++
				if ok {
					lastServed++
				}
			}
		}
		return lastServed, lastOffered
	}
	with, offered := served(true)
	without, _ := served(false)
	assert.Greater(t, float64(with), 0.7*float64(offered))
	assert.Greater(t, float64(with), 1.2*float64(without))
}

// A service sheds most of its requests, and their retries exhaust its budget within
// seconds. Then its calling service fails too, which adds the calls of that service's
// retried requests. All retries together stay within the budget.
func TestBudgetOfCalledService(t *testing.T) {
	cf := Config{Ratio: 0.2, Allowance: 60, Window: 10 * time.Second}
	const nodes, seconds, perSecond, calls = 12, 40, 30, 1.4
	random := rand.New(rand.NewPCG(6, 7))
	callers, called := make([]*Budget, nodes), make([]*Budget, nodes)
	for nn := range nodes {
		callers[nn], called[nn] = New(cf), New(cf)
	}
	requests, retries := make([]float64, seconds*10), make([]float64, seconds*10)
	for tick := range seconds * 10 {
		now := epoch.Add(time.Duration(tick) * 100 * time.Millisecond)
		shed, callersShed := 0.0, 0.0
		if tick >= 200 && tick < 290 {
			shed = 0.6
		}
		if tick >= 240 && tick < 290 {
			callersShed = 0.6
		}
		call := func(node int, retried bool) {
			if retried {
				called[node].CountRetry(now)
				retries[tick]++
			} else {
				called[node].Request(now)
				requests[tick]++
			}
			re := Retry{Nodes: nodes, LastAttempt: true}
			if random.Float64() < shed && called[node].Take(re, now) {
				retries[tick]++
			}
		}
		for nn := range nodes {
			for range perSecond / 10 {
				callers[nn].Request(now)
				re := Retry{Nodes: nodes, Calls: calls, LastAttempt: true}
				retried := random.Float64() < callersShed && callers[nn].Take(re, now)
				for made := calls; made > 0; made-- {
					if random.Float64() < made {
						call(nn, false)
						if retried {
							call(random.IntN(nodes), true)
						}
					}
				}
			}
		}
	}
	for from := 0; from+100 <= len(retries); from++ {
		var rq, rp float64
		for at := from; at < from+100; at++ {
			rq, rp = rq+requests[at], rp+retries[at]
		}
		assert.LessOrEqual(t, rp, cf.Ratio*rq+cf.Allowance, "window at tick %d", from)
	}
}

// Guards against hedges that use what is left for retries of failures, and against
// nodes with few requests that may never hedge.
func TestHedgesLeaveBudget(t *testing.T) {
	count := func(bu *Budget, re Retry) (taken int) {
		for bu.Take(re, epoch) {
			taken++
		}
		return taken
	}
	bu := New(Config{Allowance: 100, Window: 10 * time.Second})
	assert.InDelta(t, hedgeShare*27.5, count(bu, Retry{Nodes: 1, Hedge: true}), 1)
	assert.InDelta(t, (1-hedgeShare)*27.5, count(bu, Retry{Nodes: 1}), 1)
	bu = New(Config{Allowance: 10, Window: 10 * time.Second})
	assert.Equal(t, 1, count(bu, Retry{Nodes: 1, Calls: 1.4, Hedge: true}))
}
