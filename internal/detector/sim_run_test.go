package detector

import (
	"encoding/binary"
	"flag"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavastall/guavastall/internal/asserter"
)

var fleetSize = flag.Int("fleet", 200, "number of nodes in the mass restart test")

// rendezvousHash returns the weight of a pair of nodes in rendezvous hashing.
func rendezvousHash(one, other int) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64(nil, uint64(one)<<32|uint64(other)))
}

// requireConverged requires that the fleet converges within limit, and returns
// the time it took.
func (si *sim) requireConverged(
	tb require.TestingT, limit time.Duration, what string,
) time.Duration {
	took, why := si.converge(limit)
	require.Empty(tb, why, "%s: not converged after %v", what, limit)
	require.Empty(tb, si.violation)
	return took
}

// resetBytes resets the byte counts of all nodes.
func (si *sim) resetBytes() {
	for _, no := range si.nodes {
		no.bytes = 0
	}
}

// meanAndMax returns the mean and the maximum byte count of a node.
func (si *sim) meanAndMax() (int, int) {
	total, most := 0, 0
	for _, no := range si.nodes {
		total += no.bytes
		most = max(most, no.bytes)
	}
	return total / len(si.nodes), most
}

// Guards against traffic that grows with the fleet, slow detection, false
// suspicions and tables that differ, at several fleet sizes. It logs the
// measurements.
func TestFleet(t *testing.T) {
	sizes := []int{50, 100, 200, 750}
	if testing.Short() {
		sizes = sizes[:2]
	}
	before := asserter.Violations()
	for _, count := range sizes {
		si := newSim(1, count, 9, Config{})
		si.startAll()
		si.runFor(5 * time.Second)
		si.resetBytes()
		si.runFor(20 * time.Second)
		mean, most := si.meanAndMax()
		t.Logf("%d nodes: %d B/s per node, busiest %d B/s, both directions", count, mean/20, most/20)
		require.Less(t, mean/20, 4000)
		require.Zero(t, si.suspicions, "suspicions without a failure")
		si.requireConverged(t, 0, "steady state")

		victim := si.nodes[3]
		si.stop(victim)
		t.Logf("  killed: dead everywhere after %v", si.requireConverged(t, 8*time.Second, "kill"))
		si.start(victim)
		t.Logf("  restarted: alive everywhere after %v",
			si.requireConverged(t, 10*time.Second, "restart"))
		victim.paused = true
		t.Logf("  paused: dead everywhere after %v", si.requireConverged(t, 10*time.Second, "pause"))
		victim.paused = false
		t.Logf("  resumed: alive everywhere after %v", si.requireConverged(t, 10*time.Second, "resume"))
		victim.de.Change(func(me *Member) { me.Draining = true }, si.now)
		t.Logf("  draining: known everywhere after %v",
			si.requireConverged(t, 1500*time.Millisecond, "change"))
	}
	requireNoViolations(t, before)
}

// Guards against tables that stay different, and against too much traffic, after
// a mass failure, a mass restart and a healed partition.
func TestMassRestart(t *testing.T) {
	count := *fleetSize
	if testing.Short() {
		count = 50
	}
	si := newSim(2, count, 9, Config{})
	si.startAll()
	si.runFor(5 * time.Second)
	var down []*simNode
	for nn, no := range si.nodes {
		if nn%5 != 0 {
			si.stop(no)
			down = append(down, no)
		}
	}
	t.Logf("80%% of %d killed: known everywhere after %v", count,
		si.requireConverged(t, 18*time.Second, "mass failure"))
	si.resetBytes()
	for _, no := range down {
		si.start(no)
	}
	took := si.requireConverged(t, 30*time.Second, "mass restart")
	mean, most := si.meanAndMax()
	t.Logf("restarted: all known after %v, %d bytes per node, busiest %d", took, mean, most)
	if count == 200 {
		require.Less(t, most, 250_000) // 515 KB without the limit for joining nodes
	}
	si.cut = func(from, to *simNode) bool { return (from.dc < "dc-4") != (to.dc < "dc-4") }
	si.runFor(60 * time.Second)
	for _, no := range si.nodes {
		for dc, co := range no.de.Counts() {
			if (dc < "dc-4") == (no.dc < "dc-4") {
				require.Equal(t, co.Known, co.Alive, "a node lost members on its own side of the partition")
			} else {
				require.Zero(t, co.Alive, "a node considers members on the other side alive")
			}
		}
	}
	si.cut = nil
	si.resetBytes()
	suspected, begun := 0, si.now
	for ok := false; !ok && si.now.Sub(begun) < time.Minute; ok, _ = si.converged() {
		si.runFor(tickTime)
		for _, no := range si.nodes {
			for _, en := range no.de.table.list {
				if en.state() != Alive && (en.DataCentre < "dc-4") == (no.dc < "dc-4") {
					suspected++
				}
			}
		}
	}
	si.requireConverged(t, 0, "healing")
	took = si.now.Sub(begun)
	perNode := float64(suspected) * tickTime.Seconds() / float64(count)
	t.Logf("healing: a node suspects members of its own side for %.1f s in total", perNode)
	require.Less(t, perNode, 6.0) // 17 s if it propagates suspicions of the other side
	mean, most = si.meanAndMax()
	t.Logf("partition of 60 s healed: all known after %v, %d bytes per node, busiest %d", took, mean, most)
}

// Guards against an isolated node that propagates the failures that it detected
// while it was isolated.
func TestCutOffNode(t *testing.T) {
	si := newSim(4, 60, 3, Config{})
	si.startAll()
	si.runFor(5 * time.Second)
	alone := si.nodes[7]
	si.cut = func(from, to *simNode) bool { return from == alone || to == alone }
	si.runFor(60 * time.Second)
	require.Less(t, alone.de.Counts()["dc-0"].Alive, 20, "an isolated node does not detect failures")
	si.cut = nil
	si.suspicions = 0
	si.requireConverged(t, 40*time.Second, "rejoin")
	require.LessOrEqual(t, si.suspicions, 2*len(si.nodes), "other members were suspected")
}

// Guards against live members that are declared dead because of message loss.
func TestLoss(t *testing.T) {
	si := newSim(5, 100, 3, Config{})
	si.startAll()
	si.loss = 0.05
	si.deaths = 0
	si.runFor(60 * time.Second)
	t.Logf("5%% loss each way for 60 s at 100 nodes: %d suspicions seen, %d deaths", si.suspicions, si.deaths)
	require.Zero(t, si.deaths)
	si.loss = 0
	si.requireConverged(t, 30*time.Second, "after loss")
}

// Guards against a node with heavy message loss that declares others dead, or
// causes many suspicions that they must refute.
func TestBadNetwork(t *testing.T) {
	runs := uint64(5)
	if testing.Short() {
		runs = 1
	}
	suspicions, deaths := 0, 0
	for seed := range runs {
		si := newSim(10+seed, 60, 3, Config{})
		si.startAll()
		si.runFor(2 * time.Second)
		bad := si.nodes[7]
		bad.loss = 0.6
		si.runFor(120 * time.Second)
		for _, no := range si.nodes {
			if no != bad {
				suspicions += int(no.de.Self().Incarnation & (1<<changeBits - 1))
				for _, me := range no.de.Members() {
					require.True(t, me.Node == bad.id || me.State < Dead)
				}
			}
		}
		deaths += bad.deaths
	}
	t.Logf("one node with 60%% loss for 120 s, %d runs: %d refutations of others, %d deaths at it", runs, suspicions, deaths)
	// 730 in 5 runs if the node suspects a member after one failed probe.
	require.Less(t, suspicions, 60*int(runs))
	// 2 in 5 runs if the node does not extend its suspicion timeout.
	require.Zero(t, deaths)
}

// drawFault injects a random fault.
func drawFault(rt *rapid.T, si *sim) {
	node := func(name string) *simNode {
		return si.nodes[rapid.IntRange(0, len(si.nodes)-1).Draw(rt, name)]
	}
	switch rapid.SampledFrom([]string{
		"stop", "restart", "pause", "resume", "loss", "oneWay", "bothWays", "mass", "change",
		"leave", "heal",
	}).Draw(rt, "fault") {
	case "stop":
		si.stop(node("node"))
	case "restart":
		no := node("node")
		si.stop(no)
		si.clock = time.Duration(rapid.IntRange(-3600, 60).Draw(rt, "clock")) * time.Second
		si.start(no)
	case "pause":
		node("node").paused = true
	case "resume":
		node("node").paused = false
	case "loss":
		si.loss = rapid.Float64Range(0, 0.3).Draw(rt, "loss")
	case "oneWay":
		dc := node("node").dc
		si.cut = func(from, to *simNode) bool { return from.dc == dc && to.dc != dc }
	case "bothWays":
		dc := node("node").dc
		si.cut = func(from, to *simNode) bool { return (from.dc == dc) != (to.dc == dc) }
	case "mass":
		for nn, no := range si.nodes {
			if nn%5 != 0 {
				si.stop(no)
				if rapid.Bool().Draw(rt, "returns") {
					si.start(no)
				}
			}
		}
	case "change":
		if no := node("node"); no.de != nil {
			no.de.Change(func(me *Member) { me.Slots++ }, si.now)
		}
	case "leave":
		if no := node("node"); no.de != nil && !no.paused {
			no.de.Leave(si.now)
			si.runFor(time.Second)
			si.stop(no)
		}
	case "heal":
		si.cut, si.loss = nil, 0
	}
}

// Guards against sequences of faults that make an incarnation decrease, that
// leave a live member dead or a dead one alive after the network has healed, or
// that keep a dead member beyond DeadRetention.
func TestRandomFaults(t *testing.T) {
	const deadRetention = 2 * time.Minute
	before := asserter.Violations()
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(2, 24).Draw(rt, "count")
		dcs := rapid.IntRange(1, 4).Draw(rt, "dcs")
		si := newSim(rapid.Uint64().Draw(rt, "seed"), count, dcs, Config{DeadRetention: deadRetention})
		if rapid.Bool().Draw(rt, "known") {
			si.startAll()
		} else {
			for _, no := range si.nodes {
				si.start(no)
			}
		}
		for range rapid.IntRange(1, 12).Draw(rt, "faults") {
			drawFault(rt, si)
			si.runFor(time.Duration(rapid.IntRange(1, 20_000).Draw(rt, "wait")) * time.Millisecond)
			require.Empty(rt, si.violation)
		}
		si.cut, si.loss = nil, 0
		for _, no := range si.nodes {
			no.paused = false
		}
		if si.nodes[0].de == nil { // nodes that know no member need a running seed
			si.start(si.nodes[0])
		}
		si.requireConverged(rt, 2*time.Minute, "after healing")
		si.runFor(deadRetention + 5*time.Second)
		for _, no := range si.up() {
			for _, me := range no.de.Members() {
				require.Less(rt, me.State, Dead, "%v still holds %v", no.id, me.Node)
			}
			require.Equal(rt, si.up()[0].de.Digest(), no.de.Digest())
		}
		requireNoViolations(rt, before)
	})
}
