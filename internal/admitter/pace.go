package admitter

import (
	"math"
	"time"
)

const (
	// paceTimeConstant is the time constant of the exponential decay of the averages.
	paceTimeConstant = 2 * time.Second
	// pacePrior is the number of on-time responses assumed in addition to the
	// observed ones, so that one long request does not make a target look slow.
	pacePrior = 4.0
	// maxSlowness bounds the slowness reported for a target that does not respond.
	maxSlowness = 100.0
)

// Pace measures how much slower a target is than others. Requests that exceed
// their expected time count while they still run, so that a target that becomes
// slow or stops responding is detected before these requests fill its slots. It is
// not safe for concurrent use; the zero value is ready to use.
type Pace struct {
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
func (pa *Pace) Begin(expected time.Duration, now time.Time) {
	pa.advance(now)
	pa.rate += perSecond(expected)
}

// End records the end of a request that began at the given time. A successful
// response counts as one. A request that failed or was cancelled by its client
// counts only for the fraction of the expected time that it ran, at most one,
// because failures of a target are measured elsewhere.
func (pa *Pace) End(expected time.Duration, good bool, began, now time.Time) {
	pa.advance(now)
	pa.rate = max(pa.rate-perSecond(expected), 0)
	if expected <= 0 {
		return
	}
	if good {
		pa.done++
		return
	}
	pa.done += min(now.Sub(began).Seconds()*perSecond(expected), 1)
}

// Slowness returns the ratio of the time that requests take at the target to the
// expected time.
func (pa *Pace) Slowness(now time.Time) float64 {
	pa.advance(now)
	return min((pa.spent+pacePrior)/(pa.done+pacePrior), maxSlowness)
}

func (pa *Pace) advance(now time.Time) {
	elapsed := now.Sub(pa.at)
	if pa.at.IsZero() || elapsed <= 0 {
		pa.at = now
		return
	}
	decay := math.Exp(-float64(elapsed) / float64(paceTimeConstant))
	pa.spent = pa.spent*decay + pa.rate*elapsed.Seconds()
	pa.done *= decay
	pa.at = now
}

// perSecond returns the number of requests of the expected time that complete in
// a second; zero if the time is unknown.
func perSecond(expected time.Duration) float64 {
	if expected <= 0 {
		return 0
	}
	return 1 / max(expected, time.Millisecond).Seconds()
}
