package evaluator

import "time"

// Tally is the input of a test.
type Tally = tally

// PublicTest is a sequential test that the external test package can implement.
type PublicTest interface {
	Add(strata []Tally, allowed, most float64)
	Value() float64
}

type externalTest struct{ PublicTest }

func (et externalTest) add(strata []tally, allowed, most float64) {
	et.Add(strata, allowed, most)
}

func (et externalTest) value() float64 { return et.Value() }

// NewEvaluationWith returns an evaluation that uses the given test.
func NewEvaluationWith(co Config, now time.Time, newTest func() PublicTest) *Evaluation {
	return newEvaluation(co, now, func() test { return externalTest{newTest()} })
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
