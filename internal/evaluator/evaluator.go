// Package evaluator decides on rollouts from the outcomes of calls.
//
// A [Collector] counts the calls of one node, a [Splitter] assigns calls to
// the old or the new version, and an [Evaluation] compares the two versions in
// one data centre and decides whether the move advances, holds or is taken
// back. The package does no I/O, starts no goroutine and reads no clock.
package evaluator

import (
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Arm is the side of a comparison that a call was assigned to.
type Arm uint8

// The arms.
const (
	// Old is the version that serves until the move is done.
	Old Arm = iota
	// New is the version that the move leads to.
	New
	armCount
)

// String returns the arm's name.
func (ar Arm) String() string {
	if ar == New {
		return "new"
	}
	return "old"
}

// Key identifies the calls that are counted together.
type Key struct {
	Service    checker.Service
	Route      string
	Move       checker.MoveID
	DataCentre checker.DataCentre
	Arm        Arm
}

// Observation is the outcome of one call during a move. Rejections that did
// not run are not observations.
type Observation struct {
	Key
	// Failed says that the call ran and failed, or may have run without an answer.
	Failed bool
	// Latency is the time to the complete response.
	Latency time.Duration
	// Cold says that the target was warming up.
	Cold bool
}

// Sample is the count of calls of one key over a period.
type Sample struct {
	Key
	// Calls is the number of calls to warm targets, and Failures how many failed.
	Calls, Failures uint32
	// ColdCalls is the number of calls to cold targets, and ColdFailures how
	// many failed. They are not part of Calls.
	ColdCalls, ColdFailures uint32
	// Latencies counts the successful calls to warm targets by latency.
	Latencies []LatencyCount
}

// LatencyCount is the number of calls in one latency bucket.
type LatencyCount struct {
	Bucket uint8
	Calls  uint32
}

// Kind is the kind of a decision.
type Kind uint8

// The kinds of decisions.
const (
	// Hold leaves the move where it is.
	Hold Kind = iota
	// Advance moves the data centre to Decision.Step.
	Advance
	// TakeBack takes the whole move back.
	TakeBack
	// Passed says that the data centre has held the last step; Decision.Step
	// is one above the last step.
	Passed
)

// String returns the kind's name.
func (ki Kind) String() string {
	return [...]string{"hold", "advance", "takeBack", "passed"}[ki]
}

// Decision is what an evaluation decides.
type Decision struct {
	Kind Kind
	// Step is the step after the decision: 0 is no traffic, n is the nth share.
	Step int
	// Reason says why, for the log and for operators.
	Reason string
	// Evidence is what the decision rests on.
	Evidence Evidence
}

// Evidence summarises the calls compared in the current step.
type Evidence struct {
	// NewCalls and OldCalls are the calls to warm targets.
	NewCalls, OldCalls uint64
	// NewFailures and OldFailures are those that failed.
	NewFailures, OldFailures uint64
	// ColdCalls are the calls to cold targets of the new version.
	ColdCalls uint64
	// Statistic is the greatest logarithmic likelihood ratio against the new
	// version, and Route and Measure where it stands.
	Statistic      float64
	Route, Measure string
}

// Config describes the move that an Evaluation judges in one data centre.
type Config struct {
	Move       checker.MoveID
	DataCentre checker.DataCentre
	Rollout    checker.Rollout
}

// Standing is what is known about the move apart from its calls.
type Standing struct {
	// Step is the greatest step known for the data centre.
	Step int
	// Open says that the stage order lets the data centre start (see [Open]).
	Open bool
	// Ready says that the new version has a live target in the data centre.
	Ready bool
	// First says that no data centre has passed its first step yet.
	First bool
	// Out says that the data centre takes no part, as operators have taken it
	// out or it has no endpoint of the service. It then holds.
	Out bool
	// Deadline is the wall time by which the move must be done; zero means none.
	Deadline time.Time
	// Ended says that the move is done, taken back or superseded.
	Ended bool
}
