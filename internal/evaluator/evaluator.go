// Package evaluator decides from the outcomes of calls whether a rollout
// proceeds.
//
// A [Collector] counts the calls of one node, a [Splitter] assigns calls to the
// old or the new version, and an [Evaluation] compares the two versions in one
// data centre and decides whether the move to the new version advances, holds or
// is rolled back. The package does no I/O, starts no goroutine and reads no
// clock.
package evaluator

import (
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Arm is the version that a call was assigned to.
type Arm uint8

// The arms.
const (
	// Old is the version that serves until the move is done.
	Old Arm = iota
	// New is the version that the move rolls out.
	New
	armCount
)

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

// Observation is the outcome of one call during a move. Calls that were rejected
// before they ran are not observed.
type Observation struct {
	Key
	// Failed reports whether the call ran and failed, or may have run without a
	// response.
	Failed bool
	// Latency is the time to the complete response.
	Latency time.Duration
	// Cold reports whether the target was warming up.
	Cold bool
}

// Sample holds the counts of the calls of one key in a period.
type Sample struct {
	Key
	// Calls is the number of calls to warm targets, and Failures the number of
	// those that failed.
	Calls, Failures uint32
	// ColdCalls is the number of calls to cold targets, and ColdFailures the
	// number of those that failed. Calls does not include them.
	ColdCalls, ColdFailures uint32
	// Latencies counts the successful calls to warm targets by latency.
	Latencies []LatencyCount
}

// LatencyCount is the number of calls in one latency bucket.
type LatencyCount struct {
	Bucket uint8
	Calls  uint32
}

// Kind is the kind of a Decision.
type Kind uint8

// The kinds of decisions.
const (
	// Hold stays at the current step.
	Hold Kind = iota
	// Advance advances the data centre to Decision.Step.
	Advance
	// TakeBack rolls back the move in all data centres.
	TakeBack
	// Passed reports that the data centre has completed the last step.
	// Decision.Step is one above the last step.
	Passed
)

func (ki Kind) String() string {
	return [...]string{"hold", "advance", "takeBack", "passed"}[ki]
}

// Decision is a decision of an Evaluation.
type Decision struct {
	Kind Kind
	// Step is the step after the decision. At step 0 the new version gets no
	// share of the traffic, and at step n the nth share of the rollout.
	Step int
	// Reason is shown in the log and to operators.
	Reason string
	// Evidence summarises the data behind the decision.
	Evidence Evidence
}

// Evidence summarises the calls compared in the current step.
type Evidence struct {
	// NewCalls and OldCalls are the calls to warm targets.
	NewCalls, OldCalls uint64
	// NewFailures and OldFailures are the calls to warm targets that failed.
	NewFailures, OldFailures uint64
	// ColdCalls are the calls to cold targets of the new version.
	ColdCalls uint64
	// Statistic is the greatest logarithmic likelihood ratio against the new
	// version. Route and Measure identify the test that it comes from.
	Statistic      float64
	Route, Measure string
}

// Config describes the move and the data centre of an Evaluation.
type Config struct {
	Move       checker.MoveID
	DataCentre checker.DataCentre
	Rollout    checker.Rollout
}

// Standing is the state of a move in one data centre.
type Standing struct {
	// Step is the greatest step known for the data centre.
	Step int
	// Open reports whether the stage order lets the data centre start (see
	// [Open]).
	Open bool
	// Ready reports whether the new version has a live target in the data
	// centre.
	Ready bool
	// First reports whether no data centre has passed its first step yet.
	First bool
	// Out reports whether the data centre takes no part in the move, because
	// operators have taken it out of service or it has no endpoint of the
	// service. The decision is then Hold.
	Out bool
	// Deadline is the wall clock time by which the move must be done. Zero means
	// none.
	Deadline time.Time
	// Ended reports whether the move is done, rolled back or superseded.
	Ended bool
}
