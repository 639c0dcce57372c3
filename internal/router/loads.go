package router

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/pkg/checker"
)

const (
	// reportAge is the age at which the average of the reports has half weight.
	reportAge = 30 * time.Second
	// reportRate is the weight of one report in the moving average.
	reportRate = 0.2
	// penaltyTime is the half-life of the penalty for rejections and failures.
	penaltyTime = time.Second
	// maxPenalty limits the accumulated penalty, so that a node that has
	// recovered is used again within a few half-lives.
	maxPenalty = 16
	// failurePenalty is the penalty for a failure; that for a rejection is 1.
	failurePenalty = 4
	// latencyRate is the weight of one response in the average latency.
	latencyRate = 0.1
)

// Loads tracks the load of each node as known to this node. It is independent of
// the routing tables, which are replaced with each change.
type Loads struct {
	random atomic.Uint64
	start  atomic.Pointer[time.Time]
	mu     sync.RWMutex
	nodes  map[checker.NodeID]*load
}

// load is the known load of one node. Pick reads the atomic fields without the
// lock; reading fields of two different updates only makes an estimate less
// accurate.
type load struct {
	outstanding atomic.Int64
	// others is the number of calls of other nodes in the last report, and
	// meanOthers its moving average over the reports, as float64 bits.
	others     atomic.Int64
	meanOthers atomic.Uint64
	// limit is the last reported concurrency limit; zero if there is none.
	limit atomic.Int64
	cold  atomic.Bool
	// reportedAt and penalisedAt are durations since Loads.start.
	reportedAt  atomic.Int64
	penalisedAt atomic.Int64
	// latency and penalty hold float64 bits.
	latency atomic.Uint64
	penalty atomic.Uint64
	mu      sync.Mutex
}

// NewLoads returns empty loads. The seed initialises the random number generator
// of the picks that use them.
func NewLoads(seed uint64) *Loads {
	lo := &Loads{nodes: map[checker.NodeID]*load{}}
	lo.random.Store(splitMix64(seed))
	return lo
}

// since returns the time from the first use of the loads to now. Unlike a
// time.Time, the result fits into an atomic integer.
func (lo *Loads) since(now time.Time) time.Duration {
	if start := lo.start.Load(); start != nil {
		return now.Sub(*start)
	}
	return now.Sub(lo.begin(now))
}

// begin sets the start unless another goroutine has set it. It is separate from
// since so that now escapes to the heap on the first call only.
func (lo *Loads) begin(now time.Time) time.Time {
	lo.start.CompareAndSwap(nil, &now)
	return *lo.start.Load()
}

// draw returns the next random number.
func (lo *Loads) draw() uint64 {
	return splitMix64(lo.random.Add(splitMixIncrement))
}

// node returns the load of a node, adding the node if it is unknown.
func (lo *Loads) node(no checker.NodeID) *load {
	lo.mu.RLock()
	ld := lo.nodes[no]
	lo.mu.RUnlock()
	if ld != nil {
		return ld
	}
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if ld = lo.nodes[no]; ld == nil {
		ld = &load{}
		lo.nodes[no] = ld
	}
	return ld
}

// Begin records that an attempt is sent to the node. The caller must call End
// once for each Begin.
func (lo *Loads) Begin(no checker.NodeID, _ time.Time) {
	lo.node(no).outstanding.Add(1)
}

// End records the end of an attempt and the load report of its response.
func (lo *Loads) End(no checker.NodeID, re Report, now time.Time) {
	ld := lo.node(no)
	left := ld.outstanding.Add(-1)
	if left < 0 { // checked first because the arguments of That are heap allocated
		asserter.That(false, "routerOutstanding", "%d calls outstanding at %v", left, no)
		ld.outstanding.Store(0)
		left = 0
	}
	own := max(left, 0)
	if !re.Rejected {
		own++ // the report still includes the call that it ends
	}
	ld.update(re, own, lo.since(now))
}

// Observe records a load report that belongs to no attempt of this node, such as
// the state of the limiter of its own target.
func (lo *Loads) Observe(no checker.NodeID, re Report, now time.Time) {
	ld := lo.node(no)
	ld.update(re, max(ld.outstanding.Load(), 0), lo.since(now))
}

// Forget removes the load of a node that has left the mesh. No table in use may
// contain the node.
func (lo *Loads) Forget(no checker.NodeID) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	delete(lo.nodes, no)
}

// update records a load report; own is the number of calls of this node that the
// report includes.
func (ld *load) update(re Report, own int64, at time.Duration) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if re.Limit > 0 {
		ld.limit.Store(int64(re.Limit))
		others := max(int64(re.InFlight)-own, 0)
		mean := math.Float64frombits(ld.meanOthers.Load())
		if ld.reportedAt.Load() == 0 {
			mean = float64(others)
		}
		mean += reportRate * (float64(others) - mean)
		ld.meanOthers.Store(math.Float64bits(mean))
		ld.others.Store(others)
		ld.cold.Store(re.Cold)
		ld.reportedAt.Store(int64(at))
	}
	if re.Latency > 0 && !re.Rejected {
		old := math.Float64frombits(ld.latency.Load())
		next := float64(re.Latency)
		if old > 0 {
			next = old + latencyRate*(next-old)
		}
		ld.latency.Store(math.Float64bits(next))
	}
	weight := 0.0
	switch {
	case re.Failed:
		weight = failurePenalty
	case re.Rejected:
		weight = 1
	default:
		return
	}
	penalty := min(ld.penaltyAt(at)+weight, maxPenalty)
	ld.penalty.Store(math.Float64bits(penalty))
	ld.penalisedAt.Store(int64(at))
}

// othersAt estimates the number of calls of other nodes. The last report is
// accurate for about the duration of a call; after that, the average is the
// better estimate, and it decays as well.
func (ld *load) othersAt(at time.Duration) float64 {
	age := float64(max(at-time.Duration(ld.reportedAt.Load()), 0))
	mean := math.Float64frombits(ld.meanOthers.Load())
	latency := math.Float64frombits(ld.latency.Load())
	if latency > 0 {
		mean += (float64(ld.others.Load()) - mean) * latency / (latency + age)
	}
	return mean * float64(reportAge) / (float64(reportAge) + age)
}

// penaltyAt returns the decayed penalty for recent rejections and failures.
func (ld *load) penaltyAt(at time.Duration) float64 {
	penalty := math.Float64frombits(ld.penalty.Load())
	if penalty == 0 {
		return 0
	}
	age := float64(at-time.Duration(ld.penalisedAt.Load())) / float64(penaltyTime)
	if age <= 0 {
		return penalty
	}
	return penalty * math.Exp2(-age)
}

// splitMixIncrement is the increment of the splitmix64 sequence.
const splitMixIncrement = 0x9e3779b97f4a7c15

// splitMix64 is the output function of splitmix64.
func splitMix64(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

// uniform maps a random integer to the open interval (0, 1).
func uniform(value uint64) float64 {
	return (float64(value>>11) + 0.5) / (1 << 53)
}
