package evaluator

import "time"

// Tally is the input of a test.
type Tally = tally

// PublicTest is a sequential test that other packages can implement.
type PublicTest interface {
	Add(strata []Tally, allowed, most float64)
	Value() float64
}

type foreignTest struct{ PublicTest }

func (ft foreignTest) add(strata []tally, allowed, most float64) {
	ft.Add(strata, allowed, most)
}

func (ft foreignTest) value() float64 { return ft.Value() }

// NewEvaluationWith returns an evaluation that uses another test.
func NewEvaluationWith(co Config, now time.Time, newTest func() PublicTest) *Evaluation {
	return newEvaluation(co, now, func() test { return foreignTest{newTest()} })
}

// SumTallies adds two tallies.
func SumTallies(ta, tb Tally) Tally {
	return Tally{
		newHits: ta.newHits + tb.newHits, newCalls: ta.newCalls + tb.newCalls,
		oldHits: ta.oldHits + tb.oldHits, oldCalls: ta.oldCalls + tb.oldCalls,
	}
}

// TallyCounts returns the fields of a tally.
func TallyCounts(ta Tally) (newHits, newCalls, oldHits, oldCalls float64) {
	return ta.newHits, ta.newCalls, ta.oldHits, ta.oldCalls
}
