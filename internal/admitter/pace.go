package admitter

import (
	"math"
	"time"
)

const (
	// slownessTimeConstant is the time constant of the exponential decay of the averages.
	slownessTimeConstant = 2 * time.Second
	// slownessPrior is the number of on-time responses assumed in addition to the
	// observed ones, so that one long request does not make a target look slow.
	slownessPrior = 4.0
	// maxSlowness bounds the slowness reported for a target that does not respond.
	maxSlowness = 100.0
)

// SlownessMeter measures how much slower a target is than others. Requests that
// exceed their expected time count while they still run, so that a target that
// becomes slow or stops responding is detected before these requests fill its
// slots. It is not safe for concurrent use; the zero value is ready to use.
type SlownessMeter struct {
	// rate is the sum of 1/expected seconds over the running requests.
	rate float64
	// spent is the total running time in multiples of the expected time, and done
	// the number of responses; both decay exponentially.
	spent, done float64
	// at is the time of the last update.
	at time.Time
}

// Begin records the start of a request that other targets answer in the expected
// time; zero means that the time is unknown.
func (sm *SlownessMeter) Begin(expected time.Duration, now time.Time) {
	sm.advance(now)
	sm.rate += perSecond(expected)
}

// End records the end of a request that began at the given time. A successful
// response counts as one. A request that failed or was cancelled by its client
// counts only for the fraction of the expected time that it ran, at most one,
// because failures of a target are measured elsewhere.
func (sm *SlownessMeter) End(expected time.Duration, good bool, began, now time.Time) {
	sm.advance(now)
	sm.rate = max(sm.rate-perSecond(expected), 0)
	if expected <= 0 {
		return
	}
	if good {
		sm.done++
		return
	}
	sm.done += min(now.Sub(began).Seconds()*perSecond(expected), 1)
}

// Slowness returns the ratio of the time that requests take at the target to the
// expected time.
func (sm *SlownessMeter) Slowness(now time.Time) float64 {
	sm.advance(now)
	return min((sm.spent+slownessPrior)/(sm.done+slownessPrior), maxSlowness)
}

func (sm *SlownessMeter) advance(now time.Time) {
	elapsed := now.Sub(sm.at)
	if sm.at.IsZero() || elapsed <= 0 {
		sm.at = now
		return
	}
	decay := math.Exp(-float64(elapsed) / float64(slownessTimeConstant))
	sm.spent = sm.spent*decay + sm.rate*elapsed.Seconds()
	sm.done *= decay
	sm.at = now
}

// perSecond returns the number of requests of the expected time that complete in
// a second; zero if the time is unknown.
func perSecond(expected time.Duration) float64 {
	if expected <= 0 {
		return 0
	}
	return 1 / max(expected, time.Millisecond).Seconds()
}
