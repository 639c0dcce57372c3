package stager

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// slowRollout plays the rollout of a version that takes the factor of its time for a
// part of its requests. Its targets and those of the base version differ in speed;
// the first steps send all requests of the version to one of them.
func slowRollout(seed uint64, part, factor float64) (Move, float64) {
	rd := rand.New(rand.NewPCG(seed, 2))
	speeds := [...]float64{0.5, 1, 1, 1.5}
	const perSecond, tick, targets = 150, 100 * time.Millisecond, 7
	var fresh, base [targets]*Collector
	for nn := range targets {
		fresh[nn], base[nn] = NewCollector(), NewCollector()
	}
	first := rd.IntN(len(speeds))
	// took draws a lognormal time with a mean of 160 ms and a tail.
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
			fresh[nn].Add(re, now)
		}
		if elapsed%(600*time.Millisecond) != 0 {
			continue
		}
		mo, _ = Decide(mo, or, elapsed, gathered(fresh[:], now), gathered(base[:], now), false)
		if mo.State != Active {
			break
		}
	}
	return mo, float64(exposed) / float64(perSecond*int(or.Duration.Seconds()))
}

func gathered(from []*Collector, now time.Time) Evidence {
	ev := Evidence{Targets: len(from), Total: map[string]Tally{}, Recent: map[string]Tally{}}
	for _, co := range from {
		total, recent := co.Tallies(now)
		Merge(ev.Total, total)
		Merge(ev.Recent, recent)
	}
	return ev
}

// exposureBound is the users' bound on the share of requests of a bad version: a
// tenth and 50 requests.
const exposureBound = 0.1 + 50.0/(150*16)

// A version that takes four times as long for two fifths of its requests is rolled
// back within the bound, whatever the speed of its first target.
func TestSlowVersionsAreRolledBack(t *testing.T) {
	for seed := range uint64(200) {
		mo, exposed := slowRollout(seed, 0.4, 4)
		assert.Equal(t, RolledBack, mo.State, "seed %d", seed)
		assert.Less(t, exposed, exposureBound, "seed %d", seed)
	}
}

// All requests slowed alike leave no outliers; the objective shows them.
func TestUniformlySlowVersionsAreRolledBack(t *testing.T) {
	for seed := range uint64(100) {
		mo, exposed := slowRollout(seed, 1, 6)
		assert.Equal(t, RolledBack, mo.State, "seed %d", seed)
		assert.Less(t, exposed, exposureBound, "seed %d", seed)
	}
}

func TestTargetsOfUnequalSpeedAreNoFault(t *testing.T) {
	rolledBack := 0
	for seed := range uint64(300) {
		if mo, _ := slowRollout(seed, 0, 1); mo.State == RolledBack {
			rolledBack++
		}
	}
	assert.LessOrEqual(t, rolledBack, 3, "of 300 sound versions")
}
