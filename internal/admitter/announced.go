package admitter

import (
	"math"
	"time"
)

const (
	// paceTimeConstant is the time constant with which the expected pace approaches
	// the average. The pace of a target may change several times a second, so that the
	// latest one tells little about the time half a second later.
	paceTimeConstant = 500 * time.Millisecond
	// paceWindow is the time constant of the average pace. It is long against the
	// changes of the latest one.
	paceWindow = 20 * time.Second
	// maxPaceGap bounds the time for which one announcement counts in the average,
	// because an idle target announces nothing.
	maxPaceGap = 500 * time.Millisecond
	// initialPaceWeight is the time for which the first announcement counts in the
	// average.
	initialPaceWeight = 100 * time.Millisecond
	// maxPaceAge is the age from which an announced pace is no longer used.
	maxPaceAge = 30 * time.Second
)

// Pace is how long work takes at a target, as the target announced it: 1 stands for
// the usual time and 2 for twice that time. The zero value stands for an unknown pace.
type Pace struct {
	// Latest is the last announced pace, and Average the average over time.
	Latest, Average float64
	// At is the time of the last announcement.
	At time.Time
}

// Known reports whether the target has announced its pace recently.
func (pa *Pace) Known(now time.Time) bool {
	return pa.Latest > 0 && now.Sub(pa.At) < maxPaceAge
}

// Expected returns the expected pace during work that starts now and usually takes
// the given time: the latest pace, and the average for work that outlasts a
// disturbance or if the announcement is old.
func (pa *Pace) Expected(work time.Duration, now time.Time) float64 {
	ahead := max(now.Sub(pa.At), 0) + work/2
	weight := math.Exp(-float64(ahead) / float64(paceTimeConstant))
	return pa.Average + weight*(pa.Latest-pa.Average)
}

// Scale returns the expected time of work that starts now and usually takes the given
// time.
func (pa *Pace) Scale(work time.Duration, now time.Time) time.Duration {
	return time.Duration(pa.Expected(work, now) * float64(work))
}

// PaceMeter averages the paces that a target announces. It is not safe for concurrent
// use; the zero value is ready to use.
type PaceMeter struct {
	pace Pace
	// weight is the time that the average covers, at most paceWindow; zero if it has
	// to begin anew.
	weight time.Duration
}

// Add records an announced pace. While the target is cold, its paces say nothing
// about later ones, so that the average begins when it is warm.
func (pm *PaceMeter) Add(latest float64, cold bool, now time.Time) {
	pa := &pm.pace
	switch {
	case cold:
		pa.Average, pm.weight = latest, 0
	case pm.weight == 0:
		pa.Average, pm.weight = latest, initialPaceWeight
	default:
		step := min(max(now.Sub(pa.At), 0), maxPaceGap)
		pm.weight = min(pm.weight+step, paceWindow)
		sample := (pa.Latest + latest) / 2
		pa.Average += float64(step) / float64(pm.weight) * (sample - pa.Average)
	}
	pa.Latest, pa.At = latest, now
}

// Pace returns the latest and the average pace.
func (pm *PaceMeter) Pace() Pace { return pm.pace }
