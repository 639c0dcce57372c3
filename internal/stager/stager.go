// Package stager controls the progress of canary rollouts: which share of a
// service's requests goes to the new version, when the rollout is complete and when
// it is rolled back.
//
// A rollout starts with a small share, which limits the damage of a version that
// fails at once or within seconds. The share grows in steps, so that a version that
// fails under load is detected before it receives all requests.
package stager

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Order is an operator's request for a rollout.
type Order struct {
	Service string
	Version string
	// Duration is the time within which the rollout must complete.
	Duration time.Duration
	// Number identifies the order and increases with each order.
	Number uint64
}

// State is the state of a rollout.
type State string

// States of a rollout.
const (
	Active     State = "active"
	Complete   State = "complete"
	RolledBack State = "rolledBack"
)

// Move is the state of a rollout, which the nodes share through the store.
type Move struct {
	Order   uint64 `json:"order"`
	Service string `json:"service"`
	Version string `json:"version"`
	// Base is the version that the rollout starts from.
	Base  string `json:"base"`
	State State  `json:"state"`
	// Step is the index of the current step, which determines Share.
	Step int `json:"step"`
	// Elapsed is the time from the order to the start of the step or the end of the
	// rollout.
	Elapsed time.Duration `json:"elapsed"`
	Reason  string        `json:"reason,omitempty"`
}

// maxNameBytes and maxElapsed bound the values of a rollout's record.
const (
	maxNameBytes = 256
	maxElapsed   = 365 * 24 * time.Hour
)

// DecodeMove decodes and validates a rollout's record in JSON. Other programs may
// write to the store too, so nothing is taken for granted.
func DecodeMove(data []byte) (Move, error) {
	var mo Move
	if err := json.Unmarshal(data, &mo); err != nil {
		return Move{}, fmt.Errorf("decode rollout: %w", err)
	}
	switch {
	case mo.State != Active && mo.State != Complete && mo.State != RolledBack:
		return Move{}, fmt.Errorf("rollout with the unknown state %q", mo.State)
	case mo.Step < 0 || mo.Step >= len(steps):
		return Move{}, fmt.Errorf("rollout at step %d of %d", mo.Step, len(steps))
	case mo.Elapsed < 0 || mo.Elapsed > maxElapsed:
		return Move{}, fmt.Errorf("rollout that has lasted %s", mo.Elapsed)
	}
	for _, name := range []string{mo.Service, mo.Version, mo.Base} {
		if len(name) > maxNameBytes {
			return Move{}, fmt.Errorf("rollout with a name of %d bytes", len(name))
		}
	}
	if mo.Service == "" || mo.Version == "" {
		return Move{}, errors.New("rollout without service or version")
	}
	return mo, nil
}

// step is a share of the requests and the fraction of the duration at which the
// step ends.
type step struct {
	share, until float64
}

// steps starts below 10% because a faulty version may receive at most a tenth of all
// requests, and keeps the first share long enough to detect a fault that appears
// some seconds after the start. It leaves a third of the duration for the old
// targets to complete their requests.
var steps = []step{{0.05, 0.38}, {0.25, 0.5}, {0.5, 0.58}, {1, 0.9}}

// earliestCompletion is the fraction of the duration before which a rollout does not
// complete.
const earliestCompletion = 0.72

const (
	// suspectLimit is the fraction of the duration after which a rollout that is held
	// back by a suspicion is rolled back.
	suspectLimit = 0.75
	// maxSuspectExposure is the share of the requests of the whole rollout that a
	// version may receive while its failures or very slow responses are suspect.
	maxSuspectExposure = 0.07
	// minRequests is the number of responses of the new version without which a
	// rollout does not advance.
	minRequests = 20
	// minStepTime is the minimum fraction of the duration that each step lasts, so that
	// its share is observed even after a period in which no node led the rollout.
	minStepTime = 0.08
	// minLastStepTime is the same for the last step, which is the only one under full
	// load.
	minLastStepTime = 0.125
	// lastSuspectLimit is the fraction of the duration after which a rollout that is
	// suspect at its last step is rolled back.
	lastSuspectLimit = 0.95
	// firstStepLimit is the fraction of the duration after which a rollout that is still
	// at its first step is rolled back, because the remaining time is too short for
	// the other steps.
	firstStepLimit = 0.6
)

// Share returns the share of the service's requests that go to the new version.
func (mo *Move) Share() float64 {
	switch mo.State {
	case Complete:
		return 1
	case RolledBack:
		return 0
	}
	return steps[min(mo.Step, len(steps)-1)].share
}

// Full reports whether the new version receives all new requests.
func (mo *Move) Full() bool {
	return mo.State == Complete || mo.State == Active && mo.Step >= len(steps)-1
}

// Tally counts responses and the bad ones among them.
type Tally struct {
	Requests int `json:"requests"`
	// Bad counts the failures and the slow responses, Failed only the failures, and
	// VerySlow the responses that are far slower than others of the same target.
	Bad      int `json:"bad"`
	Failed   int `json:"failed"`
	VerySlow int `json:"verySlow"`
}

// Add adds other to ta.
func (ta *Tally) Add(other Tally) {
	ta.Requests += other.Requests
	ta.Bad += other.Bad
	ta.Failed += other.Failed
	ta.VerySlow += other.VerySlow
}

// Evidence is the observations of the nodes of all targets of one version.
type Evidence struct {
	// Targets is the number of targets with observations.
	Targets int
	// Running is the number of requests running or queued at these targets.
	Running int
	// Blocked is the number of these targets whose nodes have stopped using the
	// version on their own evidence. They contribute no further responses.
	Blocked int
	// Total holds the tallies by route since the rollout began, and Recent those of
	// the last few seconds.
	Total, Recent map[string]Tally
}

// Decide returns the next state of the rollout and whether it changed. The evidence
// is that of the new version, the candidate, and of the base version; missing
// reports whether the node of a target of the base version has not responded.
func Decide(
	mo Move, or Order, elapsed time.Duration, candidate, base Evidence, missing bool,
) (Move, bool) {
	if mo.State != Active {
		return mo, false
	}
	co := comparison{candidate: candidate, base: base, full: mo.Full()}
	if reason, bad := co.faulty(); bad {
		return finish(mo, RolledBack, elapsed, reason), true
	}
	duration := float64(max(or.Duration, time.Second))
	progress := float64(elapsed) / duration
	if co.exposure()*progress > maxSuspectExposure {
		if reason, suspect := co.clearlySuspect(); suspect {
			return finish(mo, RolledBack, elapsed, "suspicion: "+reason), true
		}
	}
	lasted := float64(elapsed-mo.Elapsed) / duration
	if mo.Full() {
		if co.blocked() {
			return finish(mo, RolledBack, elapsed, "a node found a fault under full load"), true
		}
		if lasted < minLastStepTime || !drained(base, missing, progress) {
			return mo, false
		}
		return complete(mo, elapsed, progress, &co)
	}
	if mo.Step == 0 && progress > firstStepLimit {
		return finish(mo, RolledBack, elapsed, co.reasonForDelay()), true
	}
	if progress < steps[mo.Step].until || lasted < minStepTime ||
		candidate.Targets == 0 || Sum(candidate.Total).Requests < minRequests {
		return mo, false
	}
	return advance(mo, elapsed, progress, &co)
}

// drained reports whether the old targets may stop: none of them has a request, or
// the last step has ended.
func drained(base Evidence, missing bool, progress float64) bool {
	return progress > steps[len(steps)-1].until ||
		base.Running == 0 && !missing && progress > earliestCompletion
}

// complete completes a rollout whose last step has ended, unless the evidence
// suggests a fault of the new version, such as one that shows only under full load.
// The old targets stop when the rollout is complete, so it is not undone afterwards.
func complete(mo Move, elapsed time.Duration, progress float64, co *comparison) (Move, bool) {
	reason, suspect := co.suspect()
	switch {
	case !suspect:
		return finish(mo, Complete, elapsed, "all traffic moved"), true
	case progress > lastSuspectLimit:
		return finish(mo, RolledBack, elapsed, "suspicion: "+reason), true
	}
	return mo, false
}

// advance moves a rollout whose step has ended to the next step, unless the evidence
// suggests a fault of the new version.
func advance(mo Move, elapsed time.Duration, progress float64, co *comparison) (Move, bool) {
	reason, suspect := co.suspect()
	if co.blocked() {
		reason, suspect = "a node found a fault", true
	}
	switch {
	case suspect && progress > suspectLimit:
		return finish(mo, RolledBack, elapsed, "suspicion: "+reason), true
	case suspect:
		return mo, false
	}
	mo.Step++
	mo.Elapsed = elapsed
	return mo, true
}

// finish returns the rollout in a final state.
func finish(mo Move, st State, elapsed time.Duration, reason string) Move {
	mo.State, mo.Elapsed, mo.Reason = st, elapsed, reason
	return mo
}

// Sum returns the sum of the tallies of all routes.
func Sum(tallies map[string]Tally) Tally {
	var total Tally
	for _, ta := range tallies {
		total.Add(ta)
	}
	return total
}
