package evaluator_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/evaluator"
	"github.com/guavastall/guavastall/internal/rehearser"
)

// normal is the mixture sequential probability ratio test used in A/B testing. It
// assumes that the difference of the pooled shares is normally distributed, with
// a normal mixture over the alternatives. It restarts after normalWindow periods,
// because its sums would otherwise hide a fault that appears late.
type normal struct {
	sum     evaluator.Tally
	periods int
	best    float64
}

const (
	normalWindow = 60
	normalSpread = 0.1 // standard deviation of the alternatives
)

func (no *normal) Add(strata []evaluator.Tally, allowed, _ float64) {
	if no.periods == normalWindow {
		*no = normal{}
	}
	no.periods++
	for _, ta := range strata {
		no.sum = evaluator.SumTallies(no.sum, ta)
	}
	newHits, newCalls, oldHits, oldCalls := evaluator.TallyCounts(no.sum)
	if newCalls < 1 || oldCalls < 1 {
		return
	}
	newShare, oldShare := newHits/newCalls, oldHits/oldCalls
	pooled := (newHits + oldHits + 1) / (newCalls + oldCalls + 2)
	variance := pooled * (1 - pooled) * (1/newCalls + 1/oldCalls)
	spread := normalSpread * normalSpread
	rise := newShare - oldShare - allowed
	no.best = 0.5*math.Log(variance/(variance+spread)) +
		spread*rise*max(rise, 0)/(2*variance*(variance+spread))
}

func (no *normal) Value() float64 { return no.best }

// betting is a test by betting: the difference of the shares in each period is one
// bounded observation, and the wealth of a bettor on it is the evidence.
type betting struct {
	logs [3]float64
}

var bets = [3]float64{0.1, 0.4, 0.9}

func (be *betting) Add(strata []evaluator.Tally, allowed, _ float64) {
	var sum evaluator.Tally
	for _, ta := range strata {
		sum = evaluator.SumTallies(sum, ta)
	}
	newHits, newCalls, oldHits, oldCalls := evaluator.TallyCounts(sum)
	if newCalls < 1 || oldCalls < 1 {
		return
	}
	rise := newHits/newCalls - oldHits/oldCalls - allowed
	for nn, bet := range bets {
		be.logs[nn] = max(be.logs[nn], 0) + math.Log1p(bet*max(rise, -1)/(1+allowed))
	}
}

func (be *betting) Value() float64 {
	sum := 0.0
	for _, lo := range be.logs {
		sum += math.Exp(lo)
	}
	return math.Log(sum / float64(len(bets)))
}

// Guards against the use of a sequential test that is not the best of those
// compared: no alternative may expose fewer calls to bad versions than the mixture
// of likelihood ratios without more false rollbacks.
func TestAlternatives(t *testing.T) {
	if testing.Short() {
		t.Skip("repeats the measurement for each sequential test")
	}
	t.Parallel()
	tests := []policy{
		{"mixture", evaluatorPolicy(evaluator.NewEvaluation)},
		{"normal", evaluatorPolicy(func(co evaluator.Config, now time.Time) *evaluator.Evaluation {
			return evaluator.NewEvaluationWith(co, now, func() evaluator.PublicTest { return &normal{} })
		})},
		{"betting", evaluatorPolicy(func(co evaluator.Config, now time.Time) *evaluator.Evaluation {
			return evaluator.NewEvaluationWith(co, now, func() evaluator.PublicTest { return &betting{} })
		})},
	}
	t.Log(rehearser.Header())
	falsely, exposed := map[string]int{}, map[string]float64{}
	for _, cl := range rehearser.Classes() {
		for _, po := range tests {
			so := rehearser.Measure(cl, *others, *workers, po.make)
			t.Log(so.Row(cl.Name, po.name))
			if !cl.Bad {
				falsely[po.name] += so.TakenBack
			} else if cl.Name != rehearser.FailsAtLowTraffic {
				for _, share := range so.Share {
					exposed[po.name] += share / float64(so.Shown)
				}
			}
		}
	}
	t.Log("good versions rolled back:", falsely)
	t.Log("sum over the classes of the mean share of calls exposed:", exposed)
	for _, po := range tests[1:] {
		better := falsely[po.name] <= falsely["mixture"] && exposed[po.name] < exposed["mixture"]
		require.False(t, better, po.name)
	}
}
