// Package budgeter implements retry budgets, which limit the retries to a service.
//
// The budget of a service applies to all nodes together. Each node computes its
// part without coordination: a ratio of the requests that it sent itself, plus an
// equal share of a fixed allowance.
package budgeter

import "time"

// Config is the budget of a service for all nodes together.
type Config struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Allowance is the number of additional retries that all nodes together may make
	// within a window.
	Allowance float64
	// Window is the length of the sliding window in which both are counted.
	Window time.Duration
}

const (
	// bucketCount is the number of buckets that the window is divided into.
	bucketCount = 20
	// safetyFactor is the fraction of the budget that a node uses. The rest covers
	// what it does not count: retries by earlier processes of restarted nodes, and
	// requests at the edges of the window.
	safetyFactor = 0.55
	// lastAttemptReserve is the fraction of the usable budget that is reserved for
	// requests whose client does not retry; the others get another attempt anyway.
	lastAttemptReserve = 0.5
	// hedgeShare is the fraction of what other retries of the same kind may use at
	// which hedges stop. The rest is left for retries of failures.
	hedgeShare = 0.5
	// defaultCalls is the expected number of calls of a request while it is unknown.
	defaultCalls = 2.0
)

// Retry describes a retry that a budget is asked for.
type Retry struct {
	// Nodes is the number of nodes that share the allowance.
	Nodes int
	// Calls is the expected number of calls that the request makes to other
	// services, where they count as retries. It is negative if unknown.
	Calls float64
	// LastAttempt reports whether the request is not retried by its client either.
	LastAttempt bool
	// Hedge reports whether the first attempt is still running.
	Hedge bool
}

// bucket counts the first attempts and the retries in one part of the window.
type bucket struct {
	number            int64
	requests, retries float64
}

// Budget is the part of a service's budget that one node uses. It is not safe for
// concurrent use.
type Budget struct {
	config  Config
	buckets [bucketCount]bucket
}

// New returns a Budget with the given configuration.
func New(cf Config) *Budget {
	return &Budget{config: cf}
}

// Request counts the first attempt of a request.
func (bu *Budget) Request(now time.Time) {
	bu.bucketAt(now).requests++
}

// Take withdraws a retry from the budget and reports whether the budget allowed
// it. If targets shed or fail more requests than the budget allows to retry, the
// reserved part of the budget goes to requests that have no other attempt.
func (bu *Budget) Take(re Retry, now time.Time) bool {
	var requests, retries float64
	newest := bu.bucketNumber(now)
	for nn := range bu.buckets {
		if newest-bu.buckets[nn].number < bucketCount {
			requests += bu.buckets[nn].requests
			retries += bu.buckets[nn].retries
		}
	}
	usable := safetyFactor *
		(bu.config.Ratio*requests + bu.config.Allowance/float64(max(re.Nodes, 1)))
	if !re.LastAttempt {
		usable *= 1 - lastAttemptReserve
	}
	calls := re.Calls
	if calls < 0 {
		calls = defaultCalls
	}
	// A node with few requests may make one hedge within a window where it could
	// retry a failure; its share of the budget is often less than two retries.
	if re.Hedge && retries > 0 {
		usable *= hedgeShare
	}
	if retries+1+calls > usable {
		return false
	}
	bu.bucketAt(now).retries += 1 + calls
	return true
}

// CountRetry counts a retry that was made without Take, such as a call made by a
// retried request.
func (bu *Budget) CountRetry(now time.Time) {
	bu.bucketAt(now).retries++
}

// bucketNumber returns the number of the bucket that covers the given time.
func (bu *Budget) bucketNumber(now time.Time) int64 {
	return now.UnixNano() / int64(bu.config.Window/bucketCount)
}

// bucketAt returns the bucket for the given time, and clears it if it still holds
// the counts of an earlier window.
func (bu *Budget) bucketAt(now time.Time) *bucket {
	number := bu.bucketNumber(now)
	bk := &bu.buckets[number%bucketCount]
	if bk.number != number {
		*bk = bucket{number: number}
	}
	return bk
}
