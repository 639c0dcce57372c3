package stager

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// simulateSlowRollout simulates the rollout of a version that multiplies the time of
// part of its requests by the factor. The targets of both versions differ in speed,
// and the first steps use only one target of the new version. It returns the final
// state and the share of all requests that the version received.
func simulateSlowRollout(seed uint64, part, factor float64) (Move, float64) {
	rd := rand.New(rand.NewPCG(seed, 2))
	speeds := [...]float64{0.5, 1, 1, 1.5}
	const perSecond, tick, targets = 150, 100 * time.Millisecond, 7
	var candidate, base [targets]*Collector
	for nn := range targets {
		candidate[nn], base[nn] = NewCollector(), NewCollector()
	}
	first := rd.IntN(len(speeds))
	// took draws a time from a lognormal distribution with a mean of 160 ms at speed 1;
	// 1% of the times are five times longer.
	took := func(speed float64) time.Duration {
		const mean, sigma = 160, 0.47
		ms := mean * math.Exp(sigma*rd.NormFloat64()-sigma*sigma/2) / speed
		if rd.Float64() < 0.01 {
			ms *= 5
		}
		return time.Duration(ms * float64(time.Millisecond))
	}
	mo, or := move(), order()
	or.Duration = 16 * time.Second
	total, exposed := 0, 0
	for elapsed := time.Duration(0); elapsed <= or.Duration; elapsed += tick {
		now := epoch.Add(elapsed)
		for range int(perSecond * tick.Seconds()) {
			total++
			re := Response{Route: "r", Objective: 500 * time.Millisecond}
			if rd.Float64() >= mo.Share() {
				nn := rd.IntN(targets)
				re.Took = took(speeds[nn%len(speeds)])
				base[nn].Add(re, now)
				continue
			}
			exposed++
			used := max(int(mo.Share()*targets), 1)
			nn := rd.IntN(used)
			re.Took = took(speeds[(first+nn)%len(speeds)])
			if rd.Float64() < part {
				re.Took = time.Duration(factor * float64(re.Took))
			}
			candidate[nn].Add(re, now)
		}
		if elapsed%(600*time.Millisecond) != 0 {
			continue
		}
		mo, _ = Decide(mo, or, elapsed, merged(candidate[:], now), merged(base[:], now), false)
		if mo.State != Active {
			break
		}
	}
	return mo, float64(exposed) / float64(perSecond*int(or.Duration.Seconds()))
}

// merged returns the evidence of several collectors.
func merged(from []*Collector, now time.Time) Evidence {
	ev := Evidence{Targets: len(from), Total: map[string]Tally{}, Recent: map[string]Tally{}}
	for _, co := range from {
		total, recent := co.Tallies(now)
		Merge(ev.Total, total)
		Merge(ev.Recent, recent)
	}
	return ev
}

// exposureBound is the required bound on the share of requests that a faulty version
// may receive: a tenth plus 50 requests.
const exposureBound = 0.1 + 50.0/(150*16)

// A version that takes four times as long for 40% of its requests is rolled back
// within the bound, regardless of the speed of its first target.
func TestSlowVersionsAreRolledBack(t *testing.T) {
	for seed := range uint64(200) {
		mo, exposed := simulateSlowRollout(seed, 0.4, 4)
		assert.Equal(t, RolledBack, mo.State, "seed %d", seed)
		assert.Less(t, exposed, exposureBound, "seed %d", seed)
	}
}

// Guards against outliers of the base version that hide a new version of which one
// response in eight takes several times as long: such a version was completed.
func TestPartlySlowVersionsAreRolledBack(t *testing.T) {
	for _, tc := range []struct{ part, factor float64 }{{0.12, 5.5}, {0.2, 4}, {0.15, 8}} {
		for seed := range uint64(100) {
			mo, exposed := simulateSlowRollout(seed, tc.part, tc.factor)
			assert.Equal(t, RolledBack, mo.State, "%+v, seed %d", tc, seed)
			assert.Less(t, exposed, exposureBound, "%+v, seed %d", tc, seed)
		}
	}
}

// If all requests are slowed equally, there are no outliers; the version is detected
// because its responses exceed the objective.
func TestUniformlySlowVersionsAreRolledBack(t *testing.T) {
	for seed := range uint64(100) {
		mo, exposed := simulateSlowRollout(seed, 1, 6)
		assert.Equal(t, RolledBack, mo.State, "seed %d", seed)
		assert.Less(t, exposed, exposureBound, "seed %d", seed)
	}
}

func TestTargetsOfUnequalSpeedAreNoFault(t *testing.T) {
	rolledBack := 0
	for seed := range uint64(300) {
		if mo, _ := simulateSlowRollout(seed, 0, 1); mo.State == RolledBack {
			rolledBack++
		}
	}
	assert.LessOrEqual(t, rolledBack, 3, "of 300 good versions")
}
