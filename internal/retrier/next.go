package retrier

import (
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
)

const (
	// firstDelay is the delay before the second retry; it doubles with each further
	// retry up to maxDelay. The first retry is sent to another target without delay.
	firstDelay = 2 * time.Millisecond
	maxDelay   = 50 * time.Millisecond
	// hedgeFactor is the multiple of the expected time after which an attempt counts
	// as late. With exponentially distributed times, 5% of the attempts are late.
	hedgeFactor = 3
	// hedgeReserve is the number of tokens that hedges leave for retries of failures,
	// which are more important.
	hedgeReserve = 2
)

// Next decides whether a call is retried after a finished attempt. A retry takes a
// token from the budget, except after a refusal by a node that is leaving or whose
// data centre is out.
func Next(at Attempt, bu *Budget, now time.Time) Decision {
	reason := checkRules(at)
	if reason == Allowed && !fitsDeadline(at, delay(at), now) {
		reason = NoTimeLeft
	}
	if reason == Allowed && !needsNoToken(at) && !bu.withdraw(0, now) {
		reason = BudgetEmpty
	}
	if reason == Allowed {
		return Decision{Again: true, Delay: delay(at)}
	}
	return Decision{Mark: reason != Finished, Reason: reason}
}

// checkRules applies the rules that depend neither on the time nor on the budget.
func checkRules(at Attempt) Reason {
	switch {
	case at.Outcome == Answered:
		return Finished
	case at.Outcome != NotRun && !at.Idempotent:
		return NotIdempotent
	case at.Marked:
		return AlreadyDecided
	case permanent(at.Kind):
		return Permanent
	case at.Number >= at.MaxAttempts:
		return NoAttemptLeft
	}
	return Allowed
}

// needsNoToken reports whether the retry takes no token. A node that is leaving or
// whose data centre is out refuses calls without running them, so that a retry at
// another node adds no load to a target. Planned changes must not fail calls because
// the budget is empty.
func needsNoToken(at Attempt) bool {
	planned := at.Kind == answerer.Draining || at.Kind == answerer.DataCentreOut
	return at.Outcome == NotRun && planned
}

// permanent reports whether the call would fail in the same way at any other target.
func permanent(ki answerer.Kind) bool {
	switch ki {
	case answerer.BadRequest, answerer.TooLarge, answerer.UnknownService, answerer.NoRoute,
		answerer.DuplicateKey, answerer.Cancelled, answerer.Unauthorised,
		answerer.InvalidDocument, answerer.StaleRevision, answerer.PlatformUnavailable,
		answerer.NotFound:
		return true
	}
	return false
}

// delay returns the delay before the next attempt.
func delay(at Attempt) time.Duration {
	if at.Number <= 1 {
		return 0
	}
	return min(firstDelay<<min(at.Number-2, 10), maxDelay)
}

// fitsDeadline reports whether another attempt after the wait is expected to end
// before the deadline.
func fitsDeadline(at Attempt, wait time.Duration, now time.Time) bool {
	return at.Deadline.Sub(now) > wait+at.Expected
}

// Hedge decides whether a second attempt of an idempotent call is started while a
// late one is still running. A hedge takes a token from the budget. If the attempt
// is not late yet, Delay of the decision is the time after which to call Hedge again.
func Hedge(at Attempt, bu *Budget, now time.Time) Decision {
	late := hedgeFactor * at.Expected
	reason := checkHedgeRules(at.HedgeAllowed && at.Idempotent, at.Number, at.MaxAttempts)
	switch {
	case reason != Allowed:
		return Decision{Reason: reason}
	case at.Expected <= 0:
		return Decision{Reason: TooEarly}
	case !fitsDeadline(at, max(0, late-at.Elapsed), now):
		return Decision{Reason: NoTimeLeft}
	case at.Elapsed < late:
		return Decision{Delay: late - at.Elapsed, Reason: TooEarly}
	case !bu.withdraw(hedgeReserve, now):
		return Decision{Reason: BudgetEmpty}
	}
	return Decision{Again: true}
}

// checkHedgeRules applies the rules for hedges that depend neither on the time nor on
// the budget.
func checkHedgeRules(allowed bool, number, maxAttempts int) Reason {
	switch {
	case !allowed:
		return NotIdempotent
	case number >= maxAttempts:
		return NoAttemptLeft
	}
	return Allowed
}
