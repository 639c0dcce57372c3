package retrier

import (
	"math"
	"time"
)

const (
	// lateQuantile is the quantile of a route's response times beyond which an
	// attempt counts as late.
	lateQuantile = 0.95
	// lateMedians is the multiple of the median at which an attempt counts as late
	// even within lateQuantile, unless that is within minLateQuantile. Where more
	// than 1 in 20 attempts are slow, lateQuantile is one of the slow times.
	lateMedians     = 2.0
	minLateQuantile = 0.9
	// secondQuantile is the quantile of the route's response times within which a
	// second attempt is expected to respond. A higher one starts it earlier, which
	// hedges more requests whose first attempt is about to respond.
	secondQuantile = 0.8
	// gainFactor is how many times as long as a second attempt is expected to take
	// the first must have taken before it is hedged after the objective can no
	// longer be met. An attempt that is late is assumed to take as long again.
	gainFactor = 1.5
	// timerSlack is the fraction of a second attempt's expected time by which it may
	// start after the latest moment, because timers fire late on a busy machine.
	timerSlack = 0.125
	// retryInterval is the time after which to ask again if no other target has a
	// free slot.
	retryInterval = 50 * time.Millisecond
)

// Late describes the running first attempt of a request, for [HedgeLate].
type Late struct {
	// Allowed reports whether the route allows a second attempt of a request that
	// may have run, and Repeat whether the running attempt is a repeat itself.
	Allowed, Repeat bool
	// Number is the number of the running attempt, starting at 1, and MaxAttempts
	// bounds it.
	Number, MaxAttempts int
	// Elapsed is the time since the attempt began.
	Elapsed time.Duration
	// After is the time after which an attempt of the route is late, from
	// [Times.Late]; zero if unknown.
	After time.Duration
	// Second is the time within which a second attempt is expected to respond, and
	// Free whether it would start at once.
	Second time.Duration
	Free   bool
	// Objective and Deadline are the times left until the response loses part of
	// its value and until it loses all.
	Objective, Deadline time.Duration
}

// HedgeLate decides whether a second attempt of a request is started while the first
// is late. It starts as late as it can still meet the objective, so that most slow
// first attempts have responded by then. Once the objective cannot be met, it starts
// if it is expected to respond much sooner than the first and before the deadline.
// If Delay of the decision is positive, HedgeLate is to be called again after it. The
// function take withdraws the attempt from the budget and reports whether the budget
// allowed it; it is called last.
func HedgeLate(la Late, take func() bool) Decision {
	slack := time.Duration(timerSlack * float64(la.Second))
	limit := min(la.Objective, la.Deadline-slack)
	gainAt := time.Duration(gainFactor * float64(la.Second))
	reason := checkHedgeRules(la.Allowed, la.Number, la.MaxAttempts)
	switch {
	case reason != Allowed:
		return Decision{Reason: reason}
	case la.Repeat:
		return Decision{Reason: AlreadyDecided}
	case la.After <= 0 || la.Second <= 0:
		return Decision{Reason: TooEarly}
	case la.Deadline <= la.Second:
		return Decision{Reason: NoTimeLeft}
	}
	wait := max(la.After-la.Elapsed, limit-la.Second)
	if limit < la.Second-slack {
		wait = max(wait, gainAt-la.Elapsed)
	}
	switch {
	case la.Deadline-max(wait, 0) < la.Second:
		return Decision{Reason: NoTimeLeft}
	case wait > 0:
		return Decision{Delay: wait, Reason: TooEarly}
	case !la.Free:
		return Decision{Delay: retryInterval, Reason: NoCapacity}
	case !take():
		return Decision{Reason: BudgetEmpty}
	}
	return Decision{Again: true}
}

const (
	// minTimes is the number of response times without which their distribution
	// counts as unknown.
	minTimes = 30
	// maxTimes is the weight of all response times at which it is halved, so that
	// the distribution follows changes. At 500 samples, a share of 3 in 100 slow
	// times is rarely seen as more than 5 in 100.
	maxTimes = 1000
	// timeStep is the ratio of the bounds of a bucket, and minTime the upper bound
	// of the first one. The last bucket begins at 100 s.
	timeStep    = 1.1
	minTime     = time.Millisecond
	timeBuckets = 122
)

// Times is the distribution of a route's recent response times. It takes the same
// memory for any number of samples. It is not safe for concurrent use; the zero value
// is empty.
type Times struct {
	counts [timeBuckets]float32
	total  float32
}

// Add adds the time of an attempt. A cancelled attempt counts with the time that it
// had taken, which is beyond the quantiles that are asked for.
func (ti *Times) Add(took time.Duration) {
	if ti.total >= maxTimes {
		for nn := range ti.counts {
			ti.counts[nn] /= 2
		}
		ti.total /= 2
	}
	ti.counts[bucketOf(took)]++
	ti.total++
}

func bucketOf(took time.Duration) int {
	if took <= minTime {
		return 0
	}
	nn := math.Log(float64(took)/float64(minTime)) / math.Log(timeStep)
	return min(int(nn)+1, timeBuckets-1)
}

// Late returns the time after which an attempt is late; zero if it is unknown.
func (ti *Times) Late() time.Duration {
	if ti.total < minTimes {
		return 0
	}
	medians := time.Duration(lateMedians * float64(ti.quantile(0.5)))
	return max(min(ti.quantile(lateQuantile), medians), ti.quantile(minLateQuantile))
}

// Second returns the time within which a second attempt is expected to respond; zero
// if it is unknown.
func (ti *Times) Second() time.Duration {
	if ti.total < minTimes {
		return 0
	}
	return ti.quantile(secondQuantile)
}

// quantile returns a quantile, interpolated within its bucket.
func (ti *Times) quantile(share float32) time.Duration {
	left := share * ti.total
	for nn, count := range ti.counts {
		if left > count || count == 0 {
			left -= count
			continue
		}
		upper := float64(minTime) * math.Pow(timeStep, float64(nn))
		return time.Duration(upper * math.Pow(timeStep, float64(left/count)-1))
	}
	return time.Duration(float64(minTime) * math.Pow(timeStep, timeBuckets-1))
}
