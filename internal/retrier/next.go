package retrier

import (
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
)

const (
	// firstDelay is the wait before the second retry; it doubles with each
	// further one. The first retry goes to another target at once.
	firstDelay = 2 * time.Millisecond
	maxDelay   = 50 * time.Millisecond
	// hedgeFactor is the multiple of the usual time after which an attempt
	// counts as late. With exponentially distributed times, 5% are later.
	hedgeFactor = 3
	// hedgeReserve keeps tokens for retries of failures, which matter more
	// than late attempts.
	hedgeReserve = 2
)

// Next decides what follows a finished attempt. It withdraws from the budget
// when it allows another attempt, except after a refusal by a leaving node or
// one whose data centre is out.
func Next(at Attempt, bu *Budget, now time.Time) Decision {
	reason := check(at)
	if reason == Allowed && !fits(at, delay(at), now) {
		reason = NoTimeLeft
	}
	if reason == Allowed && !free(at) && !bu.withdraw(0, now) {
		reason = BudgetEmpty
	}
	if reason == Allowed {
		return Decision{Again: true, Delay: delay(at)}
	}
	return Decision{Mark: reason != Finished, Reason: reason}
}

// check applies the rules that need neither time nor budget.
func check(at Attempt) Reason {
	switch {
	case at.Outcome == Answered:
		return Finished
	case at.Outcome != NotRun && !at.Idempotent:
		return NotIdempotent
	case at.Marked:
		return RetriedBelow
	case permanent(at.Kind):
		return Permanent
	case at.Number >= at.MaxAttempts:
		return NoAttemptLeft
	}
	return Allowed
}

// free reports whether the retry costs no token. A leaving node, or one whose
// data centre is out, refuses without running anything, so retrying elsewhere
// adds no load to a target, and a planned change must not drop calls when the
// budget is empty.
func free(at Attempt) bool {
	planned := at.Kind == answerer.Draining || at.Kind == answerer.DataCentreOut
	return at.Outcome == NotRun && planned
}

// permanent reports whether another target would fail the call in the same way.
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

// delay returns the wait before the attempt that follows.
func delay(at Attempt) time.Duration {
	if at.Number <= 1 {
		return 0
	}
	return min(firstDelay<<min(at.Number-2, 10), maxDelay)
}

// fits reports whether another attempt can be expected to end by the deadline.
func fits(at Attempt, wait time.Duration, now time.Time) bool {
	return at.Deadline.Sub(now) > wait+at.Expected
}

// Hedge decides whether a late attempt of an idempotent call gets a second one
// beside it. It withdraws from the budget when it does. If the attempt is not
// late yet, the delay of the decision says when to ask again.
func Hedge(at Attempt, bu *Budget, now time.Time) Decision {
	late := hedgeFactor * at.Expected
	switch {
	case !at.HedgeAllowed || !at.Idempotent:
		return Decision{Reason: NotIdempotent}
	case at.Number >= at.MaxAttempts:
		return Decision{Reason: NoAttemptLeft}
	case at.Expected <= 0:
		return Decision{Reason: TooEarly}
	case !fits(at, max(0, late-at.Elapsed), now):
		return Decision{Reason: NoTimeLeft}
	case at.Elapsed < late:
		return Decision{Delay: late - at.Elapsed, Reason: TooEarly}
	case !bu.withdraw(hedgeReserve, now):
		return Decision{Reason: BudgetEmpty}
	}
	return Decision{Again: true}
}
