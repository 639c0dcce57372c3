package evaluator

import (
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Evaluation judges one move in one data centre. It is not safe for
// concurrent use.
type Evaluation struct {
	co Config
	st Standing
}

// NewEvaluation returns an evaluation without evidence.
func NewEvaluation(co Config, _ time.Time) *Evaluation {
	return &Evaluation{co: co}
}

// Stand tells the evaluation what is known about the move apart from its calls.
func (ev *Evaluation) Stand(st Standing, _ time.Time) { ev.st = st }

// Merge adds the calls that a node reports.
func (ev *Evaluation) Merge(Sample, time.Time) {}

// Decide closes the period since the last decision and decides.
func (ev *Evaluation) Decide(time.Time) Decision {
	return Decision{Kind: Hold, Step: ev.st.Step, Reason: "no evidence"}
}

// Overwhelming reports whether a node's own calls alone show that the new
// version is bad, with the reason.
func Overwhelming(checker.Rollout, ...Sample) (reason string, ok bool) {
	return "", false
}
