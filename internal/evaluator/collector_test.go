package evaluator

import (
	"bytes"
	"encoding/gob"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// init fixes the seed of the randomised tests. The flag -rapid.seed on the
// command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Guards against buckets that overlap, leave gaps, or are too wide to distinguish
// a latency from one 15% higher.
func TestBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		latency := time.Duration(rapid.Int64Range(0, int64(17*time.Minute)).Draw(t, "latency"))
		bucket := int(BucketOf(latency))
		require.LessOrEqual(t, bucketLow(bucket), latency)
		require.Greater(t, bucketLow(bucket+1), latency)
		wide := bucketLow(bucket+1) - bucketLow(bucket)
		require.LessOrEqual(t, wide, max(bucketLow(bucket)/8, time.Microsecond))
		least := bucketAtLeast(latency)
		require.GreaterOrEqual(t, bucketLow(least), latency)
		require.Less(t, bucketLow(least-1), max(latency, 1))
	})
	require.EqualValues(t, bucketCount-1, BucketOf(time.Hour*1000))
	require.Zero(t, BucketOf(-time.Second))
}

// naiveCollector is a reference implementation of Collector without shards.
type naiveCollector map[Key]*cell

func (nc naiveCollector) add(ob Observation) {
	if nc[ob.Key] == nil {
		nc[ob.Key] = &cell{}
	}
	nc[ob.Key].add(ob)
}

// Guards against calls that are lost or counted twice when they are added while
// the collector is drained, and against samples that change when gob encodes and
// decodes them.
func TestCollectorConcurrent(t *testing.T) {
	const workers, calls = 8, 2000
	var co Collector
	var mu sync.Mutex
	naive := naiveCollector{}
	sum := map[Key]Sample{}
	drain := func() {
		var buf bytes.Buffer
		var list []Sample
		require.NoError(t, gob.NewEncoder(&buf).Encode(co.Drain()))
		require.NoError(t, gob.NewDecoder(&buf).Decode(&list))
		for _, sa := range list {
			had := sum[sa.Key]
			had.Calls, had.Failures = had.Calls+sa.Calls, had.Failures+sa.Failures
			had.ColdCalls += sa.ColdCalls
			had.ColdFailures += sa.ColdFailures
			for _, lc := range sa.Latencies {
				had.Latencies = addLatency(had.Latencies, lc)
			}
			sum[sa.Key] = had
		}
	}
	var wg sync.WaitGroup
	for nn := range workers {
		wg.Go(func() {
			rd := rand.New(rand.NewPCG(1, uint64(nn)))
			for range calls {
				ob := Observation{
					Key: Key{
						Service: "tag", Route: fmt.Sprint(rd.IntN(3)), Move: 1,
						DataCentre: "lahore", Arm: Arm(rd.IntN(2)),
					},
					Failed: rd.IntN(5) == 0, Cold: rd.IntN(4) == 0,
					Latency: time.Duration(rd.IntN(1e8)),
				}
				co.Add(ob)
				mu.Lock()
				naive.add(ob)
				mu.Unlock()
			}
		})
	}
	for range 20 {
		drain()
	}
	wg.Wait()
	drain()
	require.Len(t, sum, len(naive))
	for key, ce := range naive {
		want := ce.sample(key)
		require.ElementsMatch(t, want.Latencies, sum[key].Latencies)
		got := sum[key]
		got.Key, got.Latencies = want.Key, want.Latencies
		require.Equal(t, want, got)
	}
	require.Empty(t, co.Drain())
}

func addLatency(list []LatencyCount, lc LatencyCount) []LatencyCount {
	for nn := range list {
		if list[nn].Bucket == lc.Bucket {
			list[nn].Calls += lc.Calls
			return list
		}
	}
	return append(list, lc)
}

// Guards against memory that grows without bound with the number of keys between
// two drains.
func TestCollectorBound(t *testing.T) {
	var co Collector
	for nn := range maxKeys + 10 {
		co.Add(Observation{Key: Key{Route: fmt.Sprint(nn)}})
	}
	require.EqualValues(t, 10, co.Dropped())
	require.Len(t, co.Drain(), maxKeys)
	co.Add(Observation{Key: Key{Route: "after"}})
	require.Len(t, co.Drain(), 1)
}

func BenchmarkCollectorAdd(b *testing.B) {
	var co Collector
	b.RunParallel(func(pb *testing.PB) {
		ob := Observation{Key: Key{Service: "tag", Route: "scan", Move: 1, DataCentre: "lahore"}}
		for pb.Next() {
			ob.Latency += 977
			co.Add(ob)
		}
	})
}
