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
	// reportAge is the age at which the average of the reports counts half.
	reportAge = 30 * time.Second
	// reportRate is the weight of one report in the average.
	reportRate = 0.2
	// penaltyTime is the time in which a rejection or failure loses its weight.
	penaltyTime = time.Second
	// maxPenalty bounds the weight of many rejections, so that a node that
	// recovered is used again within a few penaltyTimes.
	maxPenalty = 16
	// failurePenalty is the weight of a failure; a rejection weighs 1.
	failurePenalty = 4
	// latencyRate is the weight of one response in the average latency.
	latencyRate = 0.1
)

// Loads holds what this node knows of the load of each node. It outlives the
// tables.
type Loads struct {
	random atomic.Uint64
	start  atomic.Pointer[time.Time]
	mu     sync.RWMutex
	nodes  map[checker.NodeID]*load
}

// load is what is known of one node. Readers on the call path use the atomic
// fields without the lock; a mixed view of two updates only blurs an estimate.
type load struct {
	outstanding atomic.Int64
	// foreign is the number of calls of other nodes at the last report, and
	// usual its average over the reports as float64 bits.
	foreign atomic.Int64
	usual   atomic.Uint64
	// limit is the last reported limit; zero if there is none.
	limit atomic.Int64
	cold  atomic.Bool
	// reported and penalised are times since the start of the loads.
	reported  atomic.Int64
	penalised atomic.Int64
	// latency and penalty hold float64 bits.
	latency atomic.Uint64
	penalty atomic.Uint64
	mu      sync.Mutex
}

// NewLoads returns empty loads, whose random choices derive from the seed.
func NewLoads(seed uint64) *Loads {
	lo := &Loads{nodes: map[checker.NodeID]*load{}}
	lo.random.Store(mix(seed))
	return lo
}

// since returns the time since the first use, which keeps times comparable
// and small enough for an atomic integer.
func (lo *Loads) since(now time.Time) time.Duration {
	if start := lo.start.Load(); start != nil {
		return now.Sub(*start)
	}
	return now.Sub(lo.begin(now))
}

// begin sets the start unless another goroutine has set it. It is apart from
// since so that now is allocated on the first call only.
func (lo *Loads) begin(now time.Time) time.Time {
	lo.start.CompareAndSwap(nil, &now)
	return *lo.start.Load()
}

// draw returns the next random number.
func (lo *Loads) draw() uint64 {
	return mix(lo.random.Add(golden))
}

// node returns the load of a node, and adds it if it is new.
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

// Begin counts an attempt sent to the node. Each Begin is followed by one End.
func (lo *Loads) Begin(no checker.NodeID, _ time.Time) {
	lo.node(no).outstanding.Add(1)
}

// End counts the end of an attempt and takes in what its response reported.
func (lo *Loads) End(no checker.NodeID, re Report, now time.Time) {
	ld := lo.node(no)
	left := ld.outstanding.Add(-1)
	if left < 0 { // checked first, because the arguments of That are allocated
		asserter.That(false, "routerOutstanding", "%d calls outstanding at %v", left, no)
		ld.outstanding.Store(0)
		left = 0
	}
	own := max(left, 0)
	if !re.Rejected {
		own++ // the report still counts the call that it ends
	}
	ld.take(re, own, lo.since(now))
}

// Observe takes in a report that belongs to no attempt of this node, such as
// the state of the limiter of its own target.
func (lo *Loads) Observe(no checker.NodeID, re Report, now time.Time) {
	ld := lo.node(no)
	ld.take(re, max(ld.outstanding.Load(), 0), lo.since(now))
}

// Forget drops what is known of a node that has left and that the tables in
// use no longer hold.
func (lo *Loads) Forget(no checker.NodeID) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	delete(lo.nodes, no)
}

// take takes in a report; own is the number of own calls that it counts.
func (ld *load) take(re Report, own int64, at time.Duration) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if re.Limit > 0 {
		ld.limit.Store(int64(re.Limit))
		foreign := max(int64(re.InFlight)-own, 0)
		usual := math.Float64frombits(ld.usual.Load())
		if ld.reported.Load() == 0 {
			usual = float64(foreign)
		}
		usual += reportRate * (float64(foreign) - usual)
		ld.usual.Store(math.Float64bits(usual))
		ld.foreign.Store(foreign)
		ld.cold.Store(re.Cold)
		ld.reported.Store(int64(at))
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
	ld.penalised.Store(int64(at))
}

// foreignAt estimates the calls of other nodes. The last report describes the
// target for about as long as a call takes; beyond that the average is the
// better guess, and it fades as well.
func (ld *load) foreignAt(at time.Duration) float64 {
	age := float64(max(at-time.Duration(ld.reported.Load()), 0))
	usual := math.Float64frombits(ld.usual.Load())
	latency := math.Float64frombits(ld.latency.Load())
	if latency > 0 {
		usual += (float64(ld.foreign.Load()) - usual) * latency / (latency + age)
	}
	return usual * float64(reportAge) / (float64(reportAge) + age)
}

// penaltyAt returns the weight of recent rejections and failures.
func (ld *load) penaltyAt(at time.Duration) float64 {
	penalty := math.Float64frombits(ld.penalty.Load())
	if penalty == 0 {
		return 0
	}
	age := float64(at-time.Duration(ld.penalised.Load())) / float64(penaltyTime)
	if age <= 0 {
		return penalty
	}
	return penalty * math.Exp2(-age)
}

// golden is the increment of the splitmix64 sequence.
const golden = 0x9e3779b97f4a7c15

// mix is the output function of splitmix64.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

// unit maps a random number to the interval from 0 to 1, exclusive.
func unit(value uint64) float64 {
	return (float64(value>>11) + 0.5) / (1 << 53)
}
