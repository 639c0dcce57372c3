package placer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// reportedTargets returns a placer that knows the given number of running requests at
// each of the targets.
func reportedTargets(seed uint64, targets []Target, running []int, now time.Time) *Placer {
	pl := New(rand.New(rand.NewPCG(seed, seed)))
	for nn, ta := range targets {
		pl.Begin(ta.ID, 0)
		pl.End(ta.ID, "r", &Report{
			Running: running[nn], Slots: ta.Slots,
			Work: 200 * time.Millisecond, Took: 200 * time.Millisecond,
		}, now)
	}
	return pl
}

// Guards against many nodes that choose the same target by the same report and fill it
// while others have free slots. With full knowledge each of the targets gets an equal
// share; the naive choice of the best sends nearly all requests to one.
func TestNodesDontCrowdAtOneTarget(t *testing.T) {
	const nodes = 400
	now := time.Unix(1_000, 0)
	targets := centreTargets("dc", 1, 10)
	running := []int{0, 3, 3, 3, 3, 3, 3, 3, 3, 12}
	re := Request{DataCentre: "dc", Route: "r", Objective: time.Second}
	counts := map[string]int{}
	for seed := range uint64(nodes) {
		ch, ok := reportedTargets(seed, targets, running, now).Pick(targets, re, now)
		assert.True(t, ok)
		counts[ch.Target.ID]++
	}
	assert.Less(t, counts["dc0"], nodes/2, "the best target")
	assert.Greater(t, counts["dc0"], nodes/10, "it gets more than its equal share")
	assert.Less(t, counts["dc9"], nodes/20, "the busiest target")
}

// Guards against a worse choice where few targets are known: the best of all is chosen.
func TestFewTargetsAreNotSampled(t *testing.T) {
	now := time.Unix(1_000, 0)
	targets := centreTargets("dc", 1, minPreferred-1)
	re := Request{DataCentre: "dc", Route: "r", Objective: time.Second}
	for seed := range uint64(50) {
		pl := reportedTargets(seed, targets, []int{0, 18, 18}, now)
		ch, _ := pl.Pick(targets, re, now)
		assert.Equal(t, "dc0", ch.Target.ID)
	}
}
