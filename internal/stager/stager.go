// Package stager decides how far a rollout that was ordered from outside has
// come: which share of a service's requests goes to the targets of the new
// version, when the rollout is complete and when it is rolled back.
//
// A rollout begins with a small share, so that a version whose fault shows at
// once or after some seconds does little harm, and grows in steps, so that one
// that fails under load is noticed before it has all of it.
package stager

import (
	"math"
	"time"
)

// Order asks for a rollout.
type Order struct {
	Service string
	Version string
	// Duration is the time within which the rollout is to be complete.
	Duration time.Duration
	// Number identifies the order; a later order has a greater one.
	Number uint64
}

// State is the state of a rollout.
type State string

// The states.
const (
	Active     State = "active"
	Complete   State = "complete"
	RolledBack State = "rolledBack"
)

// Move is the progress of a rollout, as the nodes agree on it in the store.
type Move struct {
	Order   uint64 `json:"order"`
	Service string `json:"service"`
	Version string `json:"version"`
	// Base is the version that the rollout starts from.
	Base  string `json:"base"`
	State State  `json:"state"`
	// Step counts the shares in use; see Share.
	Step int `json:"step"`
	// Elapsed is the time since the order when the step began.
	Elapsed time.Duration `json:"elapsed"`
	Reason  string        `json:"reason,omitempty"`
}

// step is one share and the part of the duration until which it lasts.
type step struct {
	share, until float64
}

// steps keep the first share below the tenth that a bad version may get of all
// requests, long enough for a fault that shows some seconds after the start,
// and leave a third of the duration for the old targets to finish their work.
var steps = []step{{0.05, 0.38}, {0.25, 0.5}, {0.5, 0.58}, {1, 0.9}}

// settled is the part of the duration until which the last step lasts at least.
const settled = 0.72

const (
	// minBad is the least number of bad responses that proves a fault.
	minBad = 10
	// badMargin is the share of bad responses that a good version may have beyond
	// baseFactor times that of the base version.
	badMargin  = 0.08
	baseFactor = 1.25
	// sigmas is how many standard deviations above the bound the bad responses
	// must be, because every look at the evidence is a test.
	sigmas = 4.0
	// suspicion is the same for a rollout not to advance, and suspicionEnd the part of
	// the duration after which one that cannot advance for it is rolled back.
	suspicion    = 1.0
	suspicionEnd = 0.75
	// baseSigmas is by how many standard deviations the share of bad responses of
	// the base version is taken to be higher than seen.
	baseSigmas = 2.0
	// minBase is the number of the base version's recent responses below which all
	// of them count instead.
	minBase = 20
	// minRequests is the evidence that the first step needs.
	minRequests = 20
	// dwell is the part of the duration that each step lasts at least, so that
	// its share is seen at work even if nobody led the rollout for a while.
	dwell = 0.08
	// giveUp is the part of the duration after which a rollout that is still at
	// its first step is rolled back: the time left does not suffice for the others.
	giveUp = 0.6
)

// Share returns the share of the service's requests for the new version.
func (mo *Move) Share() float64 {
	switch mo.State {
	case Complete:
		return 1
	case RolledBack:
		return 0
	}
	return steps[min(mo.Step, len(steps)-1)].share
}

// Full reports whether the base version gets nothing any more.
func (mo *Move) Full() bool {
	return mo.State == Complete || mo.State == Active && mo.Step >= len(steps)-1
}

// Tally counts responses.
type Tally struct {
	Requests int `json:"requests"`
	Bad      int `json:"bad"`
}

// Add adds another tally.
func (ta *Tally) Add(other Tally) {
	ta.Requests += other.Requests
	ta.Bad += other.Bad
}

// Evidence is what the nodes beside the targets of one version have seen.
type Evidence struct {
	// Targets is the number of targets that were heard of.
	Targets int
	// Running is the number of requests at them or before them.
	Running int
	// Total holds the tallies by route since the rollout began, Recent those of
	// the last seconds.
	Total, Recent map[string]Tally
}

// Decide returns the rollout's next state, and whether it differs. The evidence
// is that of the new and of the base version; missing says that a node beside a
// target of the base version has not answered.
func Decide(
	mo Move, or Order, elapsed time.Duration, fresh, base Evidence, missing bool,
) (Move, bool) {
	if mo.State != Active {
		return mo, false
	}
	if reason, bad := faulty(fresh, base, sigmas); bad {
		return finish(mo, RolledBack, elapsed, reason), true
	}
	duration := float64(max(or.Duration, time.Second))
	progress := float64(elapsed) / duration
	lasted := float64(elapsed-mo.Elapsed) / duration
	if mo.Full() {
		moved := base.Running == 0 && !missing && progress > settled
		if lasted >= dwell && (moved || progress > steps[len(steps)-1].until) {
			return finish(mo, Complete, elapsed, "all traffic moved"), true
		}
		return mo, false
	}
	if mo.Step == 0 && progress > giveUp {
		return finish(mo, RolledBack, elapsed, "too little evidence in time"), true
	}
	if progress < steps[mo.Step].until || lasted < dwell ||
		fresh.Targets == 0 || Sum(fresh.Total).Requests < minRequests {
		return mo, false
	}
	return advance(mo, elapsed, progress, fresh, base)
}

// advance takes the next step of a rollout whose time has come, unless the evidence
// makes its version suspect.
func advance(
	mo Move, elapsed time.Duration, progress float64, fresh, base Evidence,
) (Move, bool) {
	reason, suspect := faulty(fresh, base, suspicion)
	switch {
	case suspect && progress > suspicionEnd:
		return finish(mo, RolledBack, elapsed, "suspicion: "+reason), true
	case suspect:
		return mo, false
	}
	mo.Step++
	mo.Elapsed = elapsed
	return mo, true
}

func finish(mo Move, st State, elapsed time.Duration, reason string) Move {
	mo.State, mo.Elapsed, mo.Reason = st, elapsed, reason
	return mo
}

// faulty reports whether the new version is worse than the base version, on
// one route or on all, of late or in total, by the given standard deviations.
func faulty(fresh, base Evidence, sigmas float64) (string, bool) {
	if worse(Sum(fresh.Recent), usable(Sum(base.Recent), Sum(base.Total)), sigmas) {
		return "recent responses", true
	}
	if worse(Sum(fresh.Total), Sum(base.Total), sigmas) {
		return "all responses", true
	}
	for route, ta := range fresh.Recent {
		if worse(ta, usable(base.Recent[route], base.Total[route]), sigmas) {
			return "recent responses of route " + route, true
		}
	}
	for route, ta := range fresh.Total {
		if worse(ta, base.Total[route], sigmas) {
			return "all responses of route " + route, true
		}
	}
	return "", false
}

// usable returns the recent tally, or the total one if that is too small.
func usable(recent, total Tally) Tally {
	if recent.Requests < minBase {
		return total
	}
	return recent
}

// worse reports whether a version has more bad responses than those of the base
// version and chance explain, which the standard deviations bound.
func worse(fresh, base Tally, sigmas float64) bool {
	if fresh.Bad < minBad {
		return false
	}
	bound := badMargin
	if base.Requests > 0 {
		// The two of each kind keep small samples from looking certain.
		number := float64(base.Requests) + 4
		rate := (float64(base.Bad) + 2) / number
		bound += baseFactor * (rate + baseSigmas*math.Sqrt(rate*(1-rate)/number))
	}
	bound = min(bound, 1)
	number := float64(fresh.Requests)
	return float64(fresh.Bad) > bound*number+sigmas*math.Sqrt(bound*(1-bound)*number)
}

// Sum adds up tallies by route.
func Sum(tallies map[string]Tally) Tally {
	var total Tally
	for _, ta := range tallies {
		total.Add(ta)
	}
	return total
}
