package evaluator

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavastall/guavastall/pkg/checker"
)

var epoch = time.Unix(1_000_000_000, 0)

// exact is a reference implementation of the assignment. It counts the calls of
// all nodes and keeps the number of calls to the new version within one of the
// share.
type exact struct{ calls, news int }

func (ex *exact) assign(share float64) {
	ex.calls++
	if float64(ex.news)+1 <= share*float64(ex.calls) {
		ex.news++
	}
}

// Guards against many nodes that each round their share up, and against a node
// whose share drifts. The number of calls to the new version must stay close to
// the exact assignment, on each node and on all nodes together.
func TestSplitterNearExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 200).Draw(t, "nodes")
		share := rapid.Float64Range(0.0001, 1-ReferenceShare).Draw(t, "share")
		most := rapid.SampledFrom([]int{1, 2, 10, 100}).Draw(t, "calls of a node")
		equal := rapid.Bool().Draw(t, "equal calls")
		rd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var ex exact
		news, variance := 0, 0.0
		for rank := range nodes {
			var sp Splitter
			sp.SetRank(rank, nodes)
			own := 0
			calls := 1 + rd.IntN(most)
			if equal {
				calls = most
			}
			_, part := math.Modf(share * float64(calls))
			variance += part * (1 - part)
			for range calls {
				ex.assign(share)
				if sp.Assign(1, share, epoch) == New {
					news++
					own++
				}
			}
			require.InDelta(t, share*float64(calls), float64(own), 3)
		}
		// If all nodes have the same number of calls, the ranks balance the
		// rounding. Otherwise each node rounds its fraction of a call up or
		// down, and the sum must stay within four standard deviations.
		bound := 3 + 4*math.Sqrt(variance)
		switch {
		case most == 1:
			bound = 3
		case equal:
			bound = 7
		}
		require.InDelta(t, ex.news, news, bound+1)
	})
}

// Guards against a hundred nodes with one call each that all choose the same
// version.
func TestSplitterOneCallEach(t *testing.T) {
	for _, share := range []float64{0.005, 0.05, 0.25, 0.5} {
		news := 0
		for rank := range 100 {
			var sp Splitter
			sp.SetRank(rank, 100)
			if sp.Assign(1, share, epoch) == New {
				news++
			}
		}
		require.InDelta(t, 100*share, news, 1.5)
	}
}

// Guards against periodic traffic, such as a route that gets every other call,
// that is assigned to one version only.
func TestSplitterPeriodicTraffic(t *testing.T) {
	for _, period := range []int{2, 3, 4, 20, 200} {
		for _, share := range []float64{0.005, 0.05, 0.25, 0.5} {
			var sp Splitter
			calls, news := 0, 0
			for nn := range 20_000 * period {
				arm := sp.Assign(1, share, epoch)
				if nn%period == 0 {
					calls++
					if arm == New {
						news++
					}
				}
			}
			require.InDelta(t, share, float64(news)/float64(calls), 0.001, "period %d", period)
		}
	}
}

// Guards against a new version at share zero that gets more calls than probes, or
// gets probes before the first data centre has had calls.
func TestSplitterProbes(t *testing.T) {
	const nodes, rate, length = 20, 50, 600
	probes := make([]int, length)
	for rank := range nodes {
		var sp Splitter
		sp.SetRank(rank, nodes)
		for sec := range length {
			for range rate {
				if sp.Assign(1, 0, epoch.Add(time.Duration(sec)*time.Second)) == New {
					probes[sec]++
				}
			}
		}
	}
	total := 0
	for sec, count := range probes {
		total += count
		require.True(t, count == 0 || sec >= int(ProbeDelay/time.Second), "second %d", sec)
	}
	require.Positive(t, total)
	require.LessOrEqual(t, total, length/int(ProbeInterval/time.Second)+nodes)
	require.Less(t, float64(total), ProbeShare*nodes*rate*length)
}

// Guards against calls that are not counted when many goroutines use a splitter.
func TestSplitterConcurrent(t *testing.T) {
	var sp Splitter
	var news atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 5000 {
				if sp.Assign(7, 0.25, epoch) == New {
					news.Add(1)
				}
			}
		})
	}
	sp.Keep([]checker.MoveID{7})
	wg.Wait()
	require.InDelta(t, 10_000, news.Load(), 10)
	sp.Keep(nil)
	_, kept := sp.moves.Load(checker.MoveID(7))
	require.False(t, kept)
}

// Guards against a last step at which the old version gets no calls to compare
// with.
func TestSplitterReference(t *testing.T) {
	var sp Splitter
	olds := 0
	for range 10_000 {
		if sp.Assign(1, 1, epoch) == Old {
			olds++
		}
	}
	require.InDelta(t, ReferenceShare*10_000, olds, 5)
}

func BenchmarkSplitterAssign(b *testing.B) {
	var sp Splitter
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			sp.Assign(1, 0.05, epoch)
		}
	})
}
