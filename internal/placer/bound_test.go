package placer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/guavastall/guavastall/internal/admitter"
)

// Guards against failures of nodes that have left: together with one later failure they
// would make a data centre that responds count as cut off, and they would be probed.
func TestDepartedNodesDontSuspectDataCentre(t *testing.T) {
	now, pl := epoch, newPlacer()
	far := centreTargets("far", 1, 4)
	fail := func(nn int) { pl.recordFailure("far", far[nn].Node, now) }
	fail(0)
	pl.Keep(nil, map[netip.AddrPort]bool{far[1].Node: true, far[2].Node: true})
	fail(1)
	assert.False(t, pl.centres["far"].suspected())
	fail(2)
	re := Request{DataCentre: "near", Route: "r", Objective: time.Second}
	_, ok := pl.Pick(far[3:], re, now)
	assert.False(t, ok)
	pl.Keep(nil, map[netip.AddrPort]bool{far[1].Node: true, far[2].Node: true})
	assert.Empty(t, pl.ProbesDue(now.Add(time.Minute)))
	pl.MarkUnreachable(far[3].Node, "far", now)
	fail(3)
	assert.Empty(t, pl.ProbesDue(now.Add(time.Minute)), "an attempt ends after its node left")
	pl.Keep(nil, nil)
	assert.Empty(t, pl.centres)
}

// Guards against attempts in flight at failed nodes that keep delaying the probe of a
// data centre that is cut off.
func TestLateFailuresDontDelayProbe(t *testing.T) {
	now, pl := epoch, newPlacer()
	far := centreTargets("far", 1, 3)
	for nn := range far[:2] {
		pl.recordFailure("far", far[nn].Node, now)
	}
	pl.Pick(far, Request{DataCentre: "near", Route: "r", Objective: time.Second}, now)
	now = now.Add(minProbeDelay)
	pl.recordFailure("far", far[0].Node, now)
	assert.Len(t, pl.ProbesDue(now), 1)
}

// Guards against updates that bring back the state of targets that have left, or of ones
// that never existed: it would grow without bound and be passed on.
func TestNewsOfUnknownTargets(t *testing.T) {
	now, pl := epoch, newPlacer()
	pl.Keep(map[string]bool{"a": true}, nil)
	for _, id := range []string{"a", "b"} {
		pl.SetPace(TargetPace{Target: id, Pace: admitter.Pace{Latest: 1, Average: 1, At: now}})
		pl.Warn(Warning{Target: id, Report: Report{Slowness: slowThreshold}}, now)
	}
	assert.Len(t, pl.loads, 1)
	assert.Len(t, pl.Paces(nil, "", now), 1)
	assert.Len(t, pl.Warnings(now), 1)
}

// Guards against a request that is given up because the best of two random targets has
// no room in time, although others have.
func TestSampleHasRoom(t *testing.T) {
	targets := centreTargets("dc", 1, 12)
	re := Request{DataCentre: "dc", Route: "r", Objective: 250 * time.Millisecond}
	for seed := range uint64(100) {
		pl := reportedTargets(seed, targets, make([]int, 12), epoch)
		for _, ta := range targets[:9] {
			pl.Avoid(ta.ID, 0, time.Second, epoch)
		}
		ch, _ := pl.Pick(targets, re, epoch)
		assert.Zero(t, ch.Wait)
	}
}

// Guards against crowding at the targets without a pace where others of the service
// announce one: equally used targets get about equal shares of the requests.
func TestTargetsWithAndWithoutPace(t *testing.T) {
	const requests = 2000
	targets := centreTargets("dc", 1, 12)
	re := Request{DataCentre: "dc", Route: "r", Objective: 2 * time.Second}
	pl := New(rand.New(rand.NewPCG(1, 1)))
	for nn, ta := range targets {
		rp := Report{Running: 15, Slots: 18, Work: 200 * time.Millisecond, Took: 200 * time.Millisecond}
		if nn%2 == 0 {
			rp.RunPace, rp.Pace = 1, admitter.Pace{Latest: 1, Average: 1, At: epoch}
		}
		pl.Begin(ta.ID, 0)
		pl.End(ta.ID, "r", &rp, epoch)
	}
	paced := 0
	for range requests {
		ch, _ := pl.Pick(targets, re, epoch)
		if ch.Pace > 0 {
			paced++
		}
	}
	assert.InDelta(t, requests/2, paced, requests/10, fmt.Sprint(paced, " at targets with a pace"))
}
