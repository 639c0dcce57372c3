// Package retrier decides whether a call gets another attempt.
//
// The outcome of an attempt is not run, answered or unknown. Not run is
// retried for every call, unknown only for idempotent ones, always inside the
// deadline, the number of attempts and a [Budget]. A failure that a node has
// decided on is marked, and no node above retries it again.
package retrier

import (
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
)

// Outcome is what is known of an attempt.
type Outcome uint8

// The outcomes. The zero value is the one that promises least.
const (
	// Unknown is an attempt that may or may not have run.
	Unknown Outcome = iota
	// NotRun is an attempt of which the target has seen no byte.
	NotRun
	// Answered is an attempt with a complete response of the target.
	Answered
)

// String returns the outcome's name in headers and logs.
func (ou Outcome) String() string {
	switch ou {
	case NotRun:
		return "notRun"
	case Answered:
		return "answered"
	default:
		return "unknown"
	}
}

// ParseOutcome returns the outcome with the given name; any other name is Unknown.
func ParseOutcome(name string) Outcome {
	switch name {
	case "notRun":
		return NotRun
	case "answered":
		return Answered
	default:
		return Unknown
	}
}

// Evidence is what a node saw of one attempt.
type Evidence struct {
	// BytesSent says that at least one byte of the call may have left this
	// node towards the next one.
	BytesSent bool
	// Complete says that a complete and matching response arrived.
	Complete bool
	// Reported is the outcome that the response of the next node carried. It
	// counts only if Complete is set.
	Reported Outcome
	// FromTarget says that the next hop is the target itself, which reports no
	// outcome: a complete response is then an answer.
	FromTarget bool
}

// Classify returns the outcome of an attempt.
func Classify(ev Evidence) Outcome {
	switch {
	case !ev.BytesSent:
		return NotRun
	case !ev.Complete:
		return Unknown
	case ev.FromTarget:
		return Answered
	default:
		return ev.Reported
	}
}

// Attempt is a finished attempt, or for Hedge a late one, of a call.
type Attempt struct {
	// Outcome is the outcome of the attempt.
	Outcome Outcome
	// Kind is the error kind that the attempt ended with, if it failed.
	Kind answerer.Kind
	// Marked says that a node below has already decided on retrying the failure.
	Marked bool
	// Number counts the attempts of the call at this node, from 1.
	Number int
	// MaxAttempts bounds Number.
	MaxAttempts int
	// Idempotent says that running the call twice does no harm.
	Idempotent bool
	// Deadline is when the call must be answered.
	Deadline time.Time
	// Expected is the usual time of an attempt, zero if unknown. A retry that
	// cannot be expected to end by the deadline is not made.
	Expected time.Duration
	// Elapsed is the time since a late attempt began. Only Hedge reads it.
	Elapsed time.Duration
	// HedgeAllowed is the profile's routing.hedge. Only Hedge reads it.
	HedgeAllowed bool
}

// Reason says why a decision was made.
type Reason uint8

// The reasons.
const (
	// Allowed is a decision for another attempt.
	Allowed Reason = iota
	// Finished is a call that has its answer.
	Finished
	// NotIdempotent is an unknown outcome of a call that must not run twice.
	NotIdempotent
	// RetriedBelow is a failure that a node below has decided on.
	RetriedBelow
	// NoAttemptLeft is a call that used up its attempts.
	NoAttemptLeft
	// NoTimeLeft is a call whose deadline is too near.
	NoTimeLeft
	// BudgetEmpty is a retry that the budget refused.
	BudgetEmpty
	// Permanent is a failure that another attempt would meet too.
	Permanent
	// TooEarly is an attempt that is not late enough to be hedged.
	TooEarly
)

// Decision is what happens after an attempt.
type Decision struct {
	// Again says that another attempt is made.
	Again bool
	// Delay is the wait before it.
	Delay time.Duration
	// Mark says that the failure goes to the caller with the mark that keeps
	// the nodes above from retrying it.
	Mark bool
	// Reason says why.
	Reason Reason
}
