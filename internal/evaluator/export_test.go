package evaluator

import "time"

// Test is a sequential test; the measurement compares several.
type Test = test

// Tally is the input of a Test.
type Tally = tally

// NewEvaluationWith returns an evaluation that uses another test.
func NewEvaluationWith(co Config, now time.Time, newTest func() Test) *Evaluation {
	return newEvaluation(co, now, newTest)
}
