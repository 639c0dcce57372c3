package budgeter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Unix(1_000_000, 0)

// Repeats of all nodes together, and one call that each repeated run makes
// itself at the same service, stay within the budget in every window.
func TestBudgetOverNodes(t *testing.T) {
	cf := Config{Ratio: 0.2, Allowance: 60, Window: 10 * time.Second}
	const nodes, seconds, perSecond = 12, 60, 30
	random := rand.New(rand.NewPCG(3, 4))
	budgets := make([]*Budget, nodes)
	for nn := range budgets {
		budgets[nn] = New(cf)
	}
	requests, repeats := make([]float64, seconds*10), make([]float64, seconds*10)
	for tick := range seconds * 10 {
		now := epoch.Add(time.Duration(tick) * 100 * time.Millisecond)
		for _, bu := range budgets {
			for range perSecond / 10 {
				bu.Request(now)
				requests[tick]++
				if random.Float64() < 0.6 && bu.Take(nodes, now) {
					repeats[tick] += 2
				}
			}
		}
	}
	for from := 0; from+100 <= len(repeats); from++ {
		var rq, rp float64
		for _, value := range requests[from : from+100] {
			rq += value
		}
		for _, value := range repeats[from : from+100] {
			rp += value
		}
		assert.LessOrEqual(t, rp, cf.Ratio*rq+cf.Allowance, "window at tick %d", from)
	}
}

func TestBudgetForgets(t *testing.T) {
	bu := New(Config{Ratio: 0, Allowance: 20, Window: 10 * time.Second})
	taken := 0
	for bu.Take(1, epoch) {
		taken++
	}
	assert.Equal(t, 7, taken)
	assert.False(t, bu.Take(1, epoch.Add(9*time.Second)))
	assert.True(t, bu.Take(1, epoch.Add(11*time.Second)))
}
