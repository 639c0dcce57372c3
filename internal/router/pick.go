package router

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/pkg/checker"
)

const (
	// maxViewed bounds the endpoints of one data centre that a pick looks at;
	// of a larger group it looks at a random run of that length.
	maxViewed = 16
	// slowFactor is the ratio of the average latencies of two endpoints from
	// which the slower one is avoided, maxSlowness the greatest weight of that.
	slowFactor  = 2
	maxSlowness = 4
	// settledTime is the time since its start after which an endpoint that has
	// reported nothing to this node is taken to be warm.
	settledTime = time.Minute
	// maxSelfPenalty is the weight of recent rejections and failures above which
	// the own node is not preferred.
	maxSelfPenalty = 0.5
)

// Pick chooses the endpoint of one attempt of a planned call, leaving out the
// nodes already tried. The error has kind NoTarget or DataCentreOut.
func (ta *Table) Pick(
	pl Plan, tried []checker.NodeID, loads *Loads, now time.Time,
) (Endpoint, error) {
	if pl.table == nil || loads == nil {
		return Endpoint{}, answerer.New(answerer.Internal, "pick without a plan or loads")
	}
	pi := picker{
		binding: pl.table.bind(loads), plan: &pl, tried: tried, now: now,
		at: loads.since(now), random: loads.draw(),
	}
	pi.coin = pi.random
	for _, po := range [...]*pool{pl.pool, pl.fallback} {
		if !po.usable(pl.Owned) {
			continue
		}
		if ey := pi.pick(po); ey != nil {
			if ey.Draining || slices.Contains(pl.table.out, ey.DataCentre) {
				asserter.That(false, "noWorkForLeaving",
					"picked %v in %s, which is leaving or out", ey.Node, ey.DataCentre)
				continue
			}
			return ey.Endpoint, nil
		}
	}
	return Endpoint{}, pl.nothing(len(tried))
}

// nothing returns the error of a call without a target.
func (pl *Plan) nothing(tried int) error {
	if tried == 0 && pl.route.out() {
		return answerer.New(answerer.DataCentreOut,
			fmt.Sprintf("the targets of service %q are in data centres taken out", pl.Service))
	}
	return answerer.New(answerer.NoTarget,
		fmt.Sprintf("service %q has no usable target besides the %d tried", pl.Service, tried))
}

// binding resolves the loads of a table's entries.
type binding struct {
	loads   *Loads
	list    []*load
	started []time.Duration
}

// bind returns the binding to the loads. It is made on the first pick.
func (ta *Table) bind(loads *Loads) *binding {
	if bi := ta.bound.Load(); bi != nil && bi.loads == loads {
		return bi
	}
	bi := &binding{
		loads: loads, list: make([]*load, len(ta.entries)),
		started: make([]time.Duration, len(ta.entries)),
	}
	for nn, ey := range ta.entries {
		bi.list[nn] = loads.node(ey.Node)
		bi.started[nn] = math.MinInt64 / 2
		if !ey.Started.IsZero() {
			bi.started[nn] = loads.since(ey.Started)
		}
	}
	ta.bound.Store(bi)
	return bi
}

// picker is the work on one pick.
type picker struct {
	*binding
	plan   *Plan
	tried  []checker.NodeID
	now    time.Time
	at     time.Duration
	random uint64
	// coin stays the same within a pick, so that a returning data centre is
	// either present in all its steps or in none.
	coin  uint64
	views [maxViewed]view
}

// view is an endpoint as seen in one pick.
type view struct {
	entry *entry
	// capacity is the number of calls that it may run, used the estimate of
	// those it does.
	capacity, used float64
	latency        float64
	penalty        float64
	// certain says that the estimate rests on a report of a warm target.
	certain bool
}

// draw returns the next random number of this pick.
func (pi *picker) draw() float64 {
	pi.random += golden
	return unit(mix(pi.random))
}

func (pi *picker) pick(po *pool) *entry {
	if pi.plan.Owned {
		return pi.owner(po)
	}
	if pi.prefersSelf(po.self) {
		return po.self
	}
	for _, share := range [...]float64{pi.plan.Profile.Routing.LocalShare, 1} {
		for ring := range ringCount {
			if gr := pi.group(po, ring, share); gr != nil {
				return pi.choose(gr)
			}
		}
	}
	// Everything seems full: the target's node decides.
	if gr := pi.anyGroup(po); gr != nil {
		return pi.choose(gr)
	}
	return nil
}

func (pi *picker) prefersSelf(ey *entry) bool {
	if ey == nil || slices.Contains(pi.tried, ey.Node) || !pi.open(ey.group) {
		return false
	}
	vi := pi.view(ey)
	return vi.used < vi.capacity && vi.penalty <= maxSelfPenalty
}

// open reports whether this pick counts the data centre as present. A
// returning one is present for a growing share of the picks, which bounds its
// traffic whatever the nodes know of its load.
func (pi *picker) open(gr *group) bool {
	share := gr.ramp.at(pi.now)
	return share >= 1 || unit(mix(pi.coin^gr.hash)) < share
}

// group returns a group of the ring that is used below the share of its
// capacity, or nil. Groups are chosen in proportion to what they have left.
func (pi *picker) group(po *pool, ring int, share float64) *group {
	var chosen *group
	var total float64
	for _, gr := range po.groups {
		if gr.ring != ring || !pi.open(gr) {
			continue
		}
		_, capacity, used := pi.scan(gr)
		left := capacity*share - used
		if left <= 0 {
			continue
		}
		total += left
		if chosen == nil || pi.draw()*total < left {
			chosen = gr
		}
	}
	return chosen
}

// anyGroup returns a group with an untried endpoint in proportion to the
// capacity, or nil.
func (pi *picker) anyGroup(po *pool) *group {
	var chosen *group
	var total float64
	for _, gr := range po.groups {
		nn, capacity, _ := pi.scan(gr)
		if nn == 0 {
			continue
		}
		weight := capacity * max(gr.ramp.at(pi.now), 1e-6)
		total += weight
		if chosen == nil || pi.draw()*total < weight {
			chosen = gr
		}
	}
	return chosen
}

// scan views the untried endpoints of the group. It returns their number,
// capacity and use.
func (pi *picker) scan(gr *group) (int, float64, float64) {
	list := gr.entries
	first := 0
	if len(list) > maxViewed {
		first = int(pi.random % uint64(len(list)))
	}
	var capacity, used float64
	count := 0
	for nn := range min(len(list), maxViewed) {
		ey := list[(first+nn)%len(list)]
		if len(pi.tried) > 0 && slices.Contains(pi.tried, ey.Node) {
			continue
		}
		vi := &pi.views[count]
		*vi = pi.view(ey)
		capacity += vi.capacity
		used += vi.used
		count++
	}
	scale := float64(len(list)) / float64(min(len(list), maxViewed))
	return count, capacity * scale, used * scale
}

// view estimates the load of an endpoint.
func (pi *picker) view(ey *entry) view {
	ld := pi.list[ey.index]
	vi := view{
		entry: ey, capacity: ey.initial, used: float64(max(ld.outstanding.Load(), 0)),
		latency: math.Float64frombits(ld.latency.Load()), penalty: ld.penaltyAt(pi.at),
	}
	reported := time.Duration(ld.reported.Load())
	limit := ld.limit.Load()
	started := pi.started[ey.index]
	if limit <= 0 || reported < started {
		if pi.at-started >= settledTime {
			vi.capacity = ey.slots
		}
		return vi
	}
	vi.capacity = min(float64(limit), ey.slots)
	vi.certain = !ld.cold.Load()
	vi.used += ld.foreignAt(pi.at)
	return vi
}

// choose picks two endpoints of the group in proportion to their capacity and
// returns the less loaded one, or nil if it viewed tried ones only.
func (pi *picker) choose(gr *group) *entry {
	count, _, _ := pi.scan(gr)
	if count == 0 {
		return nil
	}
	views := pi.views[:count]
	var total float64
	for nn := range views {
		total += views[nn].weight()
	}
	va := sample(views, pi.draw()*total)
	vb := sample(views, pi.draw()*total)
	if va == vb || va.goesFirst(vb) {
		return va.entry
	}
	return vb.entry
}

// weight is the share of an endpoint in the draw. The root is subtracted
// because a target with few slots queues at a lower utilisation than one with
// many; it lowered the 99th percentile of queueing in every simulated class.
func (vi *view) weight() float64 {
	return (vi.capacity - math.Sqrt(vi.capacity) + 0.5) / (1 + vi.penalty)
}

// sample returns the view at the position in the sum of the weights.
func sample(views []view, at float64) *view {
	for nn := range views {
		at -= views[nn].weight()
		if at < 0 {
			return &views[nn]
		}
	}
	return &views[len(views)-1]
}

// goesFirst compares two views, of which vi was drawn first. An endpoint
// whose load is not certain never wins as the second: if it won for looking
// empty, every node would send it calls at the same time. It gets at most
// what it is drawn first for, which is in proportion to its limit.
func (vi *view) goesFirst(vb *view) bool {
	fullA, fullB := vi.used >= vi.capacity, vb.used >= vb.capacity
	if fullA != fullB {
		return fullB
	}
	if vi.certain && !vb.certain {
		return true
	}
	return vi.score(vb) <= vb.score(vi)
}

// score is the expected use after one more call. Latency counts only beyond
// slowFactor: below it the calls in flight already show it, and weighing it twice
// raised the 99th percentile of queueing by a tenth.
func (vi *view) score(other *view) float64 {
	factor := 1.0
	if other.latency > 0 {
		factor = min(max(vi.latency/other.latency/slowFactor, 1), maxSlowness)
	}
	return (vi.used + 1) / vi.capacity * factor * (1 + vi.penalty)
}

// owner returns the untried owner of the call's key by rendezvous hashing
// weighted with the slots. While a data centre returns, it owns a growing share
// of the keys.
func (pi *picker) owner(po *pool) *entry {
	var best, spare *entry
	bestScore, spareScore := math.Inf(1), math.Inf(1)
	for _, ey := range po.owners {
		if slices.Contains(pi.tried, ey.Node) {
			continue
		}
		score := -math.Log(unit(mix(pi.plan.keyHash^ey.hash))) / ey.slots
		if score < spareScore {
			spare, spareScore = ey, score
		}
		share := ey.group.ramp.at(pi.now)
		if share < 1 && unit(mix(pi.plan.keyHash^ey.group.hash)) >= share {
			continue
		}
		if score < bestScore {
			best, bestScore = ey, score
		}
	}
	if best == nil {
		return spare
	}
	return best
}
