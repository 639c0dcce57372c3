// Package retrier decides whether a call is retried or hedged.
//
// The outcome of an attempt is not run, answered or unknown. An attempt that did not
// run is retried for any call, one with an unknown outcome only for idempotent calls.
// Retries are limited by the deadline, the number of attempts and a [Budget]. A node
// marks a failure that it decided not to retry, and nodes closer to the caller do not
// retry a marked failure either.
//
// Where a few requests take several times as long as usual (tail latency), or a target
// hangs or has become slow, a second attempt is started while the first is running.
// [Hedge] decides by the expected time alone, [HedgeLate] by the distribution of a
// route's response times and by the time left to its objective.
package retrier

import (
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
)

// Outcome is the known outcome of an attempt.
type Outcome uint8

// Outcomes of an attempt. The zero value makes the weakest statement.
const (
	// Unknown means that the attempt may or may not have run.
	Unknown Outcome = iota
	// NotRun means that the target has received no byte of the attempt.
	NotRun
	// Answered means that the target sent a complete response.
	Answered
)

// String returns the name of the outcome as used in headers and logs.
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

// Evidence is what a node observed of an attempt.
type Evidence struct {
	// BytesSent reports whether at least one byte of the call may have been sent to
	// the next hop.
	BytesSent bool
	// Complete reports whether a complete response that matches the call was received.
	Complete bool
	// Reported is the outcome reported in the response of the next node. It is used
	// only if Complete is set.
	Reported Outcome
	// FromTarget reports whether the next hop is the target itself. A target reports
	// no outcome; its complete response means Answered.
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

// Attempt describes a finished attempt of a call or, for Hedge, a running one.
type Attempt struct {
	Outcome Outcome
	// Kind is the kind of the error, if the attempt failed.
	Kind answerer.Kind
	// Marked reports whether a node closer to the target has already decided not to
	// retry the failure.
	Marked bool
	// Number is the number of the attempt at this node, starting at 1.
	Number int
	// MaxAttempts bounds Number.
	MaxAttempts int
	// Idempotent reports whether the call may safely run more than once.
	Idempotent bool
	// Deadline is the time by which the call must be answered.
	Deadline time.Time
	// Expected is the expected duration of an attempt; zero if unknown. A retry that
	// is not expected to end before the deadline is not made.
	Expected time.Duration
	// Elapsed is the time since the attempt began. It is used only by Hedge.
	Elapsed time.Duration
	// HedgeAllowed is the setting routing.hedge of the profile. It is used only by
	// Hedge.
	HedgeAllowed bool
}

// Reason is the reason for a decision.
type Reason uint8

// Reasons for decisions.
const (
	// Allowed means that another attempt is made.
	Allowed Reason = iota
	// Finished means that the call has been answered.
	Finished
	// NotIdempotent means that the call may have run and must not run twice, or that
	// hedging is not allowed.
	NotIdempotent
	// AlreadyDecided means that a node closer to the target has already decided on
	// retrying the failure.
	AlreadyDecided
	// NoAttemptLeft means that the call has used all its attempts.
	NoAttemptLeft
	// NoTimeLeft means that another attempt is not expected to end before the deadline.
	NoTimeLeft
	// BudgetEmpty means that the budget did not allow the attempt.
	BudgetEmpty
	// Permanent means that another attempt would fail in the same way.
	Permanent
	// TooEarly means that the attempt is not late enough to be hedged.
	TooEarly
	// NoCapacity means that no other target would start the attempt at once.
	NoCapacity
)

// String returns the name of the reason as used in logs.
func (re Reason) String() string {
	return [...]string{
		Allowed: "allowed", Finished: "finished", NotIdempotent: "notIdempotent",
		AlreadyDecided: "alreadyDecided", NoAttemptLeft: "noAttemptLeft",
		NoTimeLeft: "noTimeLeft", BudgetEmpty: "budgetEmpty", Permanent: "permanent",
		TooEarly: "tooEarly", NoCapacity: "noCapacity",
	}[re]
}

// Decision is the result of [Next], [Hedge] or [HedgeLate].
type Decision struct {
	// Again reports whether another attempt is made.
	Again bool
	// Delay is the time to wait before it.
	Delay time.Duration
	// Mark reports whether the failure is returned with the mark that keeps nodes
	// closer to the caller from retrying it.
	Mark   bool
	Reason Reason
}
