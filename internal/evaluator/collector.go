package evaluator

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
)

const (
	shardCount = 16
	// maxKeys bounds the keys counted between two drains, and thereby the memory,
	// as a cell takes about 1 KB. The design size is 65 services, which seldom
	// all move at once.
	maxKeys = 2048
)

// Collector counts the outcomes of calls between two drains. It is safe for
// concurrent use. The zero value is ready to use.
type Collector struct {
	shards  [shardCount]shard
	keys    atomic.Int64
	dropped atomic.Uint64
}

type shard struct {
	mu    sync.Mutex
	cells map[Key]*cell
	// The padding keeps the mutexes of two shards in different cache lines.
	_ [48]byte
}

// cell counts the calls of one key in one shard.
type cell struct {
	calls, failures         uint32
	coldCalls, coldFailures uint32
	latencies               [bucketCount]uint32
}

// Add counts a call. It drops the call if there are too many keys.
func (co *Collector) Add(ob Observation) {
	// Hashing the latency, which differs from call to call, distributes the
	// calls of one key over the shards without a shared counter.
	sh := &co.shards[uint64(ob.Latency)*goldenFraction>>60%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	ce := sh.cells[ob.Key]
	if ce == nil {
		if co.keys.Add(1) > maxKeys {
			co.keys.Add(-1)
			co.dropped.Add(1)
			return
		}
		if sh.cells == nil {
			sh.cells = map[Key]*cell{}
		}
		ce = &cell{}
		sh.cells[ob.Key] = ce
	}
	ce.add(ob)
}

func (ce *cell) add(ob Observation) {
	switch {
	case ob.Cold:
		ce.coldCalls++
		if ob.Failed {
			ce.coldFailures++
		}
	case ob.Failed:
		ce.calls++
		ce.failures++
	default:
		ce.calls++
		ce.latencies[BucketOf(ob.Latency)]++
	}
}

func (ce *cell) merge(other *cell) {
	ce.calls += other.calls
	ce.failures += other.failures
	ce.coldCalls += other.coldCalls
	ce.coldFailures += other.coldFailures
	for bu, calls := range other.latencies {
		ce.latencies[bu] += calls
	}
}

// Dropped returns the number of calls that were dropped because there were too
// many keys.
func (co *Collector) Dropped() uint64 { return co.dropped.Load() }

// Drain returns the calls since the last drain, sorted by key.
func (co *Collector) Drain() []Sample {
	total := map[Key]*cell{}
	for nn := range co.shards {
		sh := &co.shards[nn]
		sh.mu.Lock()
		cells := sh.cells
		sh.cells = nil
		sh.mu.Unlock()
		co.keys.Add(-int64(len(cells)))
		for key, ce := range cells {
			if sum := total[key]; sum != nil {
				sum.merge(ce)
			} else {
				total[key] = ce
			}
		}
	}
	list := make([]Sample, 0, len(total))
	for key, ce := range total {
		list = append(list, ce.sample(key))
	}
	slices.SortFunc(list, func(sa, sb Sample) int { return compareKeys(sa.Key, sb.Key) })
	return list
}

func (ce *cell) sample(key Key) Sample {
	sa := Sample{
		Key: key, Calls: ce.calls, Failures: ce.failures,
		ColdCalls: ce.coldCalls, ColdFailures: ce.coldFailures,
	}
	for bu, calls := range ce.latencies {
		if calls > 0 {
			sa.Latencies = append(sa.Latencies, LatencyCount{Bucket: uint8(bu), Calls: calls})
		}
	}
	return sa
}

func compareKeys(ka, kb Key) int {
	return cmp.Or(
		cmp.Compare(ka.Move, kb.Move),
		cmp.Compare(ka.Service, kb.Service),
		cmp.Compare(ka.DataCentre, kb.DataCentre),
		cmp.Compare(ka.Route, kb.Route),
		cmp.Compare(ka.Arm, kb.Arm),
	)
}
