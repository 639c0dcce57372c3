package placer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/admitter"
)

var epoch = time.Unix(1_000_000, 0)

func node(nn int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(nn)}), 80)
}

func target(nn int, dataCentre string) Target {
	return Target{ID: fmt.Sprint("t", nn), Node: node(nn), DataCentre: dataCentre, Slots: 10}
}

func newPlacer() *Placer {
	return New(rand.New(rand.NewPCG(1, 1)))
}

// newPlacers returns the placers of several nodes.
func newPlacers(rd *rand.Rand, count int) []*Placer {
	pls := make([]*Placer, count)
	for nn := range pls {
		pls[nn] = New(rand.New(rand.NewPCG(rd.Uint64(), 1)))
	}
	return pls
}

// targetsOf returns the given number of targets in one data centre.
func targetsOf(count int) []Target {
	targets := make([]Target, count)
	for nn := range targets {
		targets[nn] = target(nn, "a")
	}
	return targets
}

func request() Request {
	return Request{
		DataCentre: "a", Route: "r", Rank: admitter.First, Self: node(99),
		Objective: 400 * time.Millisecond,
	}
}

// waits returns the waits by rank, given in milliseconds.
func waits(ms ...int) [admitter.Ranks]time.Duration {
	var all [admitter.Ranks]time.Duration
	for ra := range all {
		all[ra] = time.Duration(ms[ra]) * time.Millisecond
	}
	return all
}

// report records a request at the target whose response carries the report.
func report(pl *Placer, ta Target, re Report, now time.Time) {
	pl.Begin(ta.ID, 0)
	if re.Slots == 0 {
		re.Slots = ta.Slots
	}
	pl.End(ta.ID, "r", &re, now)
}

func pick(t *testing.T, pl *Placer, targets []Target, re Request, now time.Time) string {
	t.Helper()
	ch, ok := pl.Pick(targets, re, now)
	require.True(t, ok)
	return ch.Target.ID
}

func TestStaysInDataCentreWhileObjectiveIsMet(t *testing.T) {
	pl := newPlacer()
	slow, fast := target(1, "a"), target(2, "b")
	for range 50 {
		report(pl, slow, Report{Work: 200 * time.Millisecond, Took: 200 * time.Millisecond}, epoch)
		report(pl, fast, Report{Work: 50 * time.Millisecond, Took: 50 * time.Millisecond}, epoch)
	}
	targets := []Target{slow, fast}
	assert.Equal(t, "t1", pick(t, pl, targets, request(), epoch),
		"slower, but within the objective")
	report(pl, slow, Report{Running: 10, Waits: waits(0, 400, 400, 400),
		Work: 200 * time.Millisecond}, epoch)
	assert.Equal(t, "t2", pick(t, pl, targets, request(), epoch), "a long queue")
}

func TestWaitsDependOnRank(t *testing.T) {
	pl := newPlacer()
	one, two := target(1, "a"), target(2, "a")
	report(pl, one, Report{Running: 10, Waits: waits(0, 0, 0, 400),
		Work: 100 * time.Millisecond}, epoch)
	report(pl, two, Report{Running: 10, Waits: waits(80, 80, 80, 80),
		Work: 100 * time.Millisecond}, epoch)
	re := request()
	assert.Equal(t, "t1", pick(t, pl, []Target{one, two}, re, epoch))
	re.Rank = admitter.Third
	assert.Equal(t, "t2", pick(t, pl, []Target{one, two}, re, epoch))
}

func TestAvoidsRefusingTarget(t *testing.T) {
	pl := newPlacer()
	targets := []Target{target(1, "a"), target(2, "a")}
	pl.Avoid("t1", admitter.Second, time.Second, epoch)
	re := request()
	re.Rank = admitter.Third
	for range 20 {
		assert.Equal(t, "t2", pick(t, pl, targets, re, epoch))
	}
	re.Rank = admitter.First
	seen := map[string]bool{}
	for range 50 {
		seen[pick(t, pl, targets, re, epoch)] = true
	}
	assert.True(t, seen["t1"], "more urgent requests may still be admitted")
}

func TestUnreachableNodes(t *testing.T) {
	pl := newPlacer()
	targets := []Target{target(1, "a"), target(2, "b")}
	pl.MarkUnreachable(node(1), "dc", epoch)
	assert.Equal(t, "t2", pick(t, pl, targets, request(), epoch))
	assert.Empty(t, pl.ProbesDue(epoch))
	assert.Equal(t, []netip.AddrPort{node(1)}, pl.ProbesDue(epoch.Add(minProbeDelay)))
	pl.MarkUnreachable(node(2), "dc", epoch)
	_, ok := pl.Pick(targets, request(), epoch)
	assert.False(t, ok, "no node is reachable")
	pl.MarkReachable(node(1))
	assert.Equal(t, "t1", pick(t, pl, targets, request(), epoch))
}

func TestTried(t *testing.T) {
	pl := newPlacer()
	re := request()
	re.Tried = []string{"t1"}
	_, ok := pl.Pick([]Target{target(1, "a")}, re, epoch)
	assert.False(t, ok)
}

func TestFailingTargetGetsLess(t *testing.T) {
	pl := newPlacer()
	bad, good := target(1, "a"), target(2, "b")
	report(pl, bad, Report{Work: 100 * time.Millisecond, FailureShare: 0.5}, epoch)
	report(pl, good, Report{Work: 100 * time.Millisecond}, epoch)
	assert.Equal(t, "t2", pick(t, pl, []Target{bad, good}, request(), epoch))
	assert.Equal(t, "t1", pick(t, pl, []Target{bad, good}, request(), epoch.Add(staleAge)),
		"a stale report does not exclude the target")
}

// With eight targets of unequal speed near their capacity, choosing by the expected
// response from load reports keeps queues shorter than choosing at random.
func TestUnequalTargets(t *testing.T) {
	speeds := []float64{0.5, 0.5, 1, 1, 1, 1, 1.5, 1.5}
	chosen := longestQueue(t, speeds, true)
	random := longestQueue(t, speeds, false)
	assert.Less(t, chosen, random/2)
}

// longestQueue simulates the load and returns the length of the longest queue,
// averaged over time.
func longestQueue(t *testing.T, speeds []float64, place bool) float64 {
	t.Helper()
	rd := rand.New(rand.NewPCG(7, 8))
	const placers, slots, perMs = 4, 10, 0.7 // the capacity is 800 per second
	pls := newPlacers(rd, placers)
	targets := targetsOf(len(speeds))
	type run struct{ target, placer, begun, took int }
	busy, waiting := make([]int, len(speeds)), make([][]run, len(speeds))
	ends := map[int][]run{}
	start := func(ru run, tick int) {
		busy[ru.target]++
		ru.took = int(100 / speeds[ru.target])
		ends[tick+ru.took] = append(ends[tick+ru.took], ru)
	}
	sum := 0.0
	const ticks = 10_000
	for tick := range ticks {
		now := epoch.Add(time.Duration(tick) * time.Millisecond)
		for _, ru := range ends[tick] {
			busy[ru.target]--
			if queue := waiting[ru.target]; len(queue) > 0 {
				waiting[ru.target] = queue[1:]
				start(queue[0], tick)
			}
			ahead := len(waiting[ru.target]) * int(100/speeds[ru.target]) / slots
			pls[ru.placer].End(targets[ru.target].ID, "r", &Report{
				Running: busy[ru.target], Slots: slots,
				Waits: waits(0, ahead, ahead, ahead),
				Work:  time.Duration(100/speeds[ru.target]) * time.Millisecond,
				Took:  time.Duration(ru.took) * time.Millisecond,
			}, now)
		}
		delete(ends, tick)
		if rd.Float64() < perMs {
			ru := run{target: rd.IntN(len(speeds)), placer: rd.IntN(placers), begun: tick}
			if place {
				ch, ok := pls[ru.placer].Pick(targets, request(), now)
				require.True(t, ok)
				for nn := range targets {
					if targets[nn].ID == ch.Target.ID {
						ru.target = nn
					}
				}
			}
			pls[ru.placer].Begin(targets[ru.target].ID, 0)
			if busy[ru.target] < slots {
				start(ru, tick)
			} else {
				waiting[ru.target] = append(waiting[ru.target], ru)
			}
		}
		longest := 0
		for _, queue := range waiting {
			longest = max(longest, len(queue))
		}
		sum += float64(longest)
	}
	return sum / ticks
}

// A large response goes to the target whose VM's link has room: to the local one,
// which needs no link, and else to the link with the least backlog.
func TestLargeResponsesFollowLinks(t *testing.T) {
	now := time.Unix(1_000, 0)
	self := netip.MustParseAddrPort("127.0.0.1:1")
	other := netip.MustParseAddrPort("127.0.0.2:1")
	third := netip.MustParseAddrPort("127.0.0.3:1")
	report := func(wait time.Duration) *Report {
		return &Report{
			Slots: 10, Work: 100 * time.Millisecond, Took: 100 * time.Millisecond,
			Link: &Link{Wait: wait, BytesPerSecond: 1.5e6},
		}
	}
	pl := New(rand.New(rand.NewPCG(1, 1)))
	for id, wait := range map[string]time.Duration{
		"full": 700 * time.Millisecond, "free": 0, "local": 700 * time.Millisecond,
	} {
		pl.Begin(id, 0)
		pl.End(id, "r", report(wait), now)
	}
	targets := []Target{
		{ID: "full", Node: other, DataCentre: "dc", Slots: 10},
		{ID: "free", Node: third, DataCentre: "dc", Slots: 10},
	}
	re := Request{
		DataCentre: "dc", Self: self, Route: "r", Objective: 800 * time.Millisecond, Bytes: 90_000,
	}
	for range 20 {
		ch, _ := pl.Pick(targets, re, now)
		assert.Equal(t, "free", ch.Target.ID)
	}
	local := append(targets, Target{ID: "local", Node: self, DataCentre: "dc", Slots: 10})
	for range 20 {
		ch, _ := pl.Pick(local, re, now)
		assert.Equal(t, "local", ch.Target.ID, "its response does not cross the link")
	}
	// This node's own requests count until the next report, and old news fades.
	for range 10 {
		pl.Begin("free", 90_000)
	}
	ch, _ := pl.Pick(targets, re, now.Add(staleAge))
	assert.Equal(t, "full", ch.Target.ID)
}

// Replays targets that all refuse about half of their requests: the least busy one
// is chosen, not the one whose share of refusals is least by chance. A target that
// alone refuses them gets none.
func TestCommonFailuresDontPlace(t *testing.T) {
	now := time.Unix(1_000, 0)
	re := Request{DataCentre: "dc", Route: "r", Objective: 300 * time.Millisecond}
	pick := func(shares, waits map[string]float64) string {
		pl := New(rand.New(rand.NewPCG(1, 1)))
		var targets []Target
		for _, id := range []string{"a", "b", "c"} {
			pl.Begin(id, 0)
			report := &Report{
				Slots: 10, Running: 5, Work: 100 * time.Millisecond,
				Took: 100 * time.Millisecond, FailureShare: shares[id],
			}
			for ra := range report.Waits {
				report.Waits[ra] = time.Duration(waits[id] * float64(time.Millisecond))
			}
			pl.End(id, "r", report, now)
			targets = append(targets, Target{ID: id, DataCentre: "dc", Slots: 10})
		}
		ch, _ := pl.Pick(targets, re, now)
		return ch.Target.ID
	}
	waits := map[string]float64{"a": 150, "b": 0, "c": 150}
	assert.Equal(t, "b", pick(map[string]float64{"a": 0.36, "b": 0.52, "c": 0.45}, waits))
	assert.NotEqual(t, "b", pick(map[string]float64{"a": 0, "b": 0.45, "c": 0}, waits))
}
