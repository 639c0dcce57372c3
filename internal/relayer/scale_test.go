package relayer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/reducer"
)

// spreadOf runs until every node satisfies the condition and returns the
// virtual time it took, the greatest number of hops and the bytes per node
// beyond those of an idle network.
func spreadOf(wd *world, act func(), done func(vn *vnode) bool) (time.Duration, int, int) {
	bytes := func() int { return sumBytes(wd) }
	const settle = 8 * time.Second
	before := bytes()
	wd.run(settle)
	idle := bytes() - before
	start, before := wd.now, bytes()
	act()
	var took time.Duration
	for at := time.Duration(0); at < settle; at += time.Millisecond {
		wd.run(time.Millisecond)
		all := true
		for _, vn := range wd.nodes {
			all = all && done(vn)
		}
		if all && took == 0 {
			took = wd.now.Sub(start)
		}
	}
	hops := 0
	for _, vn := range wd.nodes {
		hops = max(hops, vn.hops)
	}
	return took, hops, (bytes() - before - idle) / len(wd.nodes)
}

func sumBytes(wd *world) int {
	sum := 0
	for _, vn := range wd.nodes {
		sum += vn.bytes
	}
	return sum
}

// Guards against news that takes longer, or costs more per node, the larger
// the fleet is.
func TestSpreadScales(t *testing.T) {
	sizes := []int{50, 100, 200, 750}
	if testing.Short() {
		sizes = []int{50, 100}
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			wd := newWorld(size, 9, 1, Config{})
			wd.append(encode(t, reducer.Record{ID: "a", Document: testDocument("v1", 65)}))
			wd.run(10 * time.Second)
			idleFrom := sumBytes(wd)
			wd.run(10 * time.Second)
			idle := float64(sumBytes(wd)-idleFrom) / 10 / float64(size)

			report := func(name string, act func(), done func(*vnode) bool) {
				took, hops, bytes := spreadOf(wd, act, done)
				t.Logf("%s: everywhere after %v, %d hops, %d B per node", name, took, hops, bytes)
				require.NotZero(t, took)
				require.LessOrEqual(t, took, time.Second)
				// Latencies vary more than they differ, so the fastest way is not the
				// shortest; 9 hops were seen with 750 nodes.
				require.LessOrEqual(t, hops, 12)
			}
			next := func(nn uint64) func(*vnode) bool {
				return func(vn *vnode) bool { return vn.rl.State().Next() == nn }
			}
			small := encode(t, reducer.Record{ID: "b", Base: 1, Choose: &reducer.Choose{Service: "service0", Version: "v2"}})
			report(fmt.Sprintf("record of %d B", len(small)), func() { wd.append(small) }, next(2))
			large := encode(t, reducer.Record{ID: "c", Base: 2, Document: testDocument("v3", 65)})
			report(fmt.Sprintf("record of %d B", len(large)), func() { wd.append(large) }, next(3))
			origin := wd.nodes[size-1]
			report("fact", func() {
				origin.hops = 0
				origin.rl.Join([]reducer.Fact{markOf("dc1", 1)}, wd.now)
				wd.act(origin)
			}, func(vn *vnode) bool { return len(vn.rl.State().Marks()) == 1 })
			t.Logf("idle: %.0f B/s per node", idle)
			t.Logf("full exchange with everyone: %d B per node and round",
				2*(size-1)*len(wd.nodes[0].rl.checkpoint()))
			require.Less(t, idle, 4000.0)
		})
	}
}

// Guards against news that a lost message holds up for long.
func TestSpreadWithLoss(t *testing.T) {
	for _, loss := range []float64{0.01, 0.1, 0.3} {
		wd := newWorld(100, 9, 1, Config{})
		wd.loss = loss
		wd.append(encode(t, reducer.Record{ID: "a", Document: testDocument("v1", 65)}))
		wd.run(20 * time.Second)
		wd.append(encode(t, reducer.Record{ID: "b", Base: 1, Document: testDocument("v2", 65)}))
		start := wd.now
		lacks := func(vn *vnode) bool { return vn.rl.State().Next() < 2 }
		for slices.ContainsFunc(wd.nodes, lacks) && wd.now.Sub(start) < time.Minute {
			wd.run(time.Millisecond)
		}
		t.Logf("%.0f%% of messages lost: everywhere after %v", loss*100, wd.now.Sub(start))
		require.Less(t, wd.now.Sub(start), 13*time.Second)
	}
}
