package relayer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/reducer"
)

// measureSpread runs act, then the simulation until every node satisfies the
// condition. It returns the virtual time that took, the maximum number of hops
// and the bytes per node in excess of an idle network.
func measureSpread(sm *simulation, act func(), done func(vn *virtualNode) bool) (time.Duration, int, int) {
	bytes := func() int { return sumBytes(sm) }
	const settle = 8 * time.Second
	before := bytes()
	sm.run(settle)
	idle := bytes() - before
	start, before := sm.now, bytes()
	act()
	var took time.Duration
	for at := time.Duration(0); at < settle; at += time.Millisecond {
		sm.run(time.Millisecond)
		all := true
		for _, vn := range sm.nodes {
			all = all && done(vn)
		}
		if all && took == 0 {
			took = sm.now.Sub(start)
		}
	}
	hops := 0
	for _, vn := range sm.nodes {
		hops = max(hops, vn.hops)
	}
	return took, hops, (bytes() - before - idle) / len(sm.nodes)
}

func sumBytes(sm *simulation) int {
	sum := 0
	for _, vn := range sm.nodes {
		sum += vn.bytes
	}
	return sum
}

// Guards against the time to spread a record or fact, the hops or the idle
// traffic per node growing with the size of the fleet.
func TestSpreadScales(t *testing.T) {
	sizes := []int{50, 100, 200, 750}
	if testing.Short() {
		sizes = []int{50, 100}
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			sm := newSimulation(size, 9, 1, Config{})
			sm.append(encode(t, reducer.Record{ID: "a", Document: testDocument("v1", 65)}))
			sm.run(10 * time.Second)
			idleFrom := sumBytes(sm)
			sm.run(10 * time.Second)
			idle := float64(sumBytes(sm)-idleFrom) / 10 / float64(size)

			report := func(name string, act func(), done func(*virtualNode) bool) {
				took, hops, bytes := measureSpread(sm, act, done)
				t.Logf("%s: at all nodes after %v, %d hops, %d B per node", name, took, hops, bytes)
				require.NotZero(t, took)
				require.LessOrEqual(t, took, time.Second)
				// The jitter exceeds the difference between latencies, so the fastest
				// path is not the one with the fewest hops: 9 were seen with 750 nodes.
				require.LessOrEqual(t, hops, 12)
			}
			next := func(nn uint64) func(*virtualNode) bool {
				return func(vn *virtualNode) bool { return vn.rl.State().Next() == nn }
			}
			small := encode(t, reducer.Record{ID: "b", Base: 1, Choose: &reducer.Choose{Service: "service0", Version: "v2"}})
			report(fmt.Sprintf("record of %d B", len(small)), func() { sm.append(small) }, next(2))
			large := encode(t, reducer.Record{ID: "c", Base: 2, Document: testDocument("v3", 65)})
			report(fmt.Sprintf("record of %d B", len(large)), func() { sm.append(large) }, next(3))
			origin := sm.nodes[size-1]
			report("fact", func() {
				origin.hops = 0
				origin.rl.Join([]reducer.Fact{markOf("dc1", 1)}, sm.now)
				sm.sendPlanned(origin)
			}, func(vn *virtualNode) bool { return len(vn.rl.State().Marks()) == 1 })
			t.Logf("idle: %.0f B/s per node", idle)
			t.Logf("full exchange between all nodes: %d B per node and round",
				2*(size-1)*len(sm.nodes[0].rl.checkpoint()))
			require.Less(t, idle, 4000.0)
		})
	}
}

// Guards against lost messages delaying a record for long.
func TestSpreadWithLoss(t *testing.T) {
	for _, loss := range []float64{0.01, 0.1, 0.3} {
		sm := newSimulation(100, 9, 1, Config{})
		sm.loss = loss
		sm.append(encode(t, reducer.Record{ID: "a", Document: testDocument("v1", 65)}))
		sm.run(20 * time.Second)
		sm.append(encode(t, reducer.Record{ID: "b", Base: 1, Document: testDocument("v2", 65)}))
		start := sm.now
		lacks := func(vn *virtualNode) bool { return vn.rl.State().Next() < 2 }
		for slices.ContainsFunc(sm.nodes, lacks) && sm.now.Sub(start) < time.Minute {
			sm.run(time.Millisecond)
		}
		t.Logf("%.0f%% of messages lost: at all nodes after %v", loss*100, sm.now.Sub(start))
		require.Less(t, sm.now.Sub(start), 13*time.Second)
	}
}
