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
	// maxCandidates is the maximum number of endpoints of one data centre that
	// a pick considers. In a larger group, it considers that many consecutive
	// endpoints from a random position.
	maxCandidates = 16
	// slowLatencyRatio is the ratio of the average latencies of two endpoints
	// above which the slower one is penalised. maxLatencyFactor limits that
	// penalty.
	slowLatencyRatio = 2
	maxLatencyFactor = 4
	// assumedWarmTime is the time since its start after which an endpoint that
	// has not reported any load to this node is assumed to be warm.
	assumedWarmTime = time.Minute
	// maxSelfPenalty is the penalty for recent rejections and failures above
	// which this node's own target is no longer preferred.
	maxSelfPenalty = 0.5
)

// Pick selects the endpoint for one attempt of a planned call, excluding the
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
	pi.rampRandom = pi.random
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
	return Endpoint{}, pl.noTargetError(len(tried))
}

// noTargetError returns the error for a call that no endpoint can serve.
func (pl *Plan) noTargetError(tried int) error {
	if tried == 0 && pl.route.dataCentreOut() {
		return answerer.New(answerer.DataCentreOut,
			fmt.Sprintf("the targets of service %q are in data centres taken out", pl.Service))
	}
	return answerer.New(answerer.NoTarget,
		fmt.Sprintf("service %q has no usable target besides the %d tried", pl.Service, tried))
}

// binding holds the load and start time of each entry of a table, by index.
type binding struct {
	loads   *Loads
	list    []*load
	started []time.Duration
}

// bind returns the binding of the table to the loads, creating it on first use.
func (ta *Table) bind(loads *Loads) *binding {
	if bi := ta.loads.Load(); bi != nil && bi.loads == loads {
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
	ta.loads.Store(bi)
	return bi
}

// picker holds the state of one call to [Table.Pick].
type picker struct {
	*binding
	plan   *Plan
	tried  []checker.NodeID
	now    time.Time
	at     time.Duration
	random uint64
	// rampRandom is constant within a pick, so that a data centre that is
	// ramping up is available in all steps of the pick or in none.
	rampRandom uint64
	candidates [maxCandidates]candidate
}

// candidate is an endpoint with its estimated load.
type candidate struct {
	entry *entry
	// capacity is the number of concurrent calls the endpoint can take; used is
	// the estimated number of calls in flight.
	capacity, used float64
	latency        float64
	penalty        float64
	// reliable says that the estimate is based on a report of a warm target.
	reliable bool
}

// draw returns the next random number, between 0 and 1, of this pick.
func (pi *picker) draw() float64 {
	pi.random += splitMixIncrement
	return uniform(splitMix64(pi.random))
}

func (pi *picker) pick(po *pool) *entry {
	if pi.plan.Owned {
		return pi.owner(po)
	}
	if pi.prefersSelf(po.self) {
		return po.self
	}
	for _, share := range [...]float64{pi.plan.Profile.Routing.LocalShare, 1} {
		for distance := range distanceCount {
			if gr := pi.group(po, distance, share); gr != nil {
				return pi.choose(gr)
			}
		}
	}
	// Every group seems full. Let the limiter of the target's node decide.
	if gr := pi.anyGroup(po); gr != nil {
		return pi.choose(gr)
	}
	return nil
}

func (pi *picker) prefersSelf(ey *entry) bool {
	if ey == nil || slices.Contains(pi.tried, ey.Node) || !pi.open(ey.group) {
		return false
	}
	cd := pi.candidate(ey)
	return cd.used < cd.capacity && cd.penalty <= maxSelfPenalty
}

// open reports whether this pick may use the data centre. A data centre that is
// ramping up is available to a growing share of the picks, which limits its
// traffic independently of what the nodes know about its load.
func (pi *picker) open(gr *group) bool {
	share := gr.ramp.at(pi.now)
	return share >= 1 || uniform(splitMix64(pi.rampRandom^gr.hash)) < share
}

// group returns a group at the distance whose use is below the given share of
// its capacity, or nil. Groups are selected in proportion to their free capacity.
func (pi *picker) group(po *pool, distance int, share float64) *group {
	var chosen *group
	var total float64
	for _, gr := range po.groups {
		if gr.distance != distance || !pi.open(gr) {
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

// anyGroup returns a group with an untried endpoint, or nil. Groups are selected
// in proportion to their capacity.
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

// scan fills pi.candidates with the untried endpoints of the group. It returns
// their number, capacity and use, the last two extrapolated to the whole group.
func (pi *picker) scan(gr *group) (int, float64, float64) {
	list := gr.entries
	first := 0
	if len(list) > maxCandidates {
		first = int(pi.random % uint64(len(list)))
	}
	var capacity, used float64
	count := 0
	for nn := range min(len(list), maxCandidates) {
		ey := list[(first+nn)%len(list)]
		if len(pi.tried) > 0 && slices.Contains(pi.tried, ey.Node) {
			continue
		}
		cd := &pi.candidates[count]
		*cd = pi.candidate(ey)
		capacity += cd.capacity
		used += cd.used
		count++
	}
	scale := float64(len(list)) / float64(min(len(list), maxCandidates))
	return count, capacity * scale, used * scale
}

// candidate estimates the load of an endpoint.
func (pi *picker) candidate(ey *entry) candidate {
	ld := pi.list[ey.index]
	cd := candidate{
		entry: ey, capacity: ey.initial, used: float64(max(ld.outstanding.Load(), 0)),
		latency: math.Float64frombits(ld.latency.Load()), penalty: ld.penaltyAt(pi.at),
	}
	reported := time.Duration(ld.reportedAt.Load())
	limit := ld.limit.Load()
	started := pi.started[ey.index]
	if limit <= 0 || reported < started {
		if pi.at-started >= assumedWarmTime {
			cd.capacity = ey.slots
		}
		return cd
	}
	cd.capacity = min(float64(limit), ey.slots)
	cd.reliable = !ld.cold.Load()
	cd.used += ld.othersAt(pi.at)
	return cd
}

// choose draws two endpoints of the group in proportion to their weights and
// returns the less loaded one, or nil if no untried endpoint was considered.
func (pi *picker) choose(gr *group) *entry {
	count, _, _ := pi.scan(gr)
	if count == 0 {
		return nil
	}
	candidates := pi.candidates[:count]
	var total float64
	for nn := range candidates {
		total += candidates[nn].weight()
	}
	ca := sample(candidates, pi.draw()*total)
	cb := sample(candidates, pi.draw()*total)
	if ca == cb || ca.preferredTo(cb) {
		return ca.entry
	}
	return cb.entry
}

// weight returns the weight of the candidate in a random draw. The square root
// of the capacity is subtracted because a target with few slots starts to queue
// at a lower utilisation than one with many. This lowered the 99th percentile
// of the queueing time in every simulated class.
func (cd *candidate) weight() float64 {
	return (cd.capacity - math.Sqrt(cd.capacity) + 0.5) / (1 + cd.penalty)
}

// sample returns the candidate at the position in the cumulative weights.
func sample(candidates []candidate, at float64) *candidate {
	for nn := range candidates {
		at -= candidates[nn].weight()
		if at < 0 {
			return &candidates[nn]
		}
	}
	return &candidates[len(candidates)-1]
}

// preferredTo reports whether cd, which was drawn first, is chosen over other.
// Unless cd is full, an unreliable other never wins over a reliable cd: if it
// won because it looks empty, every node would send it calls at the same time.
// Its share of the calls is therefore limited to the draws in which it comes
// first, which are in proportion to its limit.
func (cd *candidate) preferredTo(other *candidate) bool {
	fullA, fullB := cd.used >= cd.capacity, other.used >= other.capacity
	if fullA != fullB {
		return fullB
	}
	if cd.reliable && !other.reliable {
		return true
	}
	return cd.score(other) <= other.score(cd)
}

// score returns the expected utilisation after one more call, weighted by
// latency and penalty; lower is better. Latency counts only above
// slowLatencyRatio: below that, the calls in flight already reflect it, and
// counting it twice raised the 99th percentile of the queueing time by a tenth.
func (cd *candidate) score(other *candidate) float64 {
	factor := 1.0
	if other.latency > 0 {
		factor = min(max(cd.latency/other.latency/slowLatencyRatio, 1), maxLatencyFactor)
	}
	return (cd.used + 1) / cd.capacity * factor * (1 + cd.penalty)
}

// owner returns the untried endpoint that owns the call's key, by rendezvous
// hashing weighted with the slots. A data centre that is ramping up owns a
// growing share of the keys.
func (pi *picker) owner(po *pool) *entry {
	var best, fallback *entry
	bestScore, fallbackScore := math.Inf(1), math.Inf(1)
	for _, ey := range po.owners {
		if slices.Contains(pi.tried, ey.Node) {
			continue
		}
		score := -math.Log(uniform(splitMix64(pi.plan.keyHash^ey.hash))) / ey.slots
		if score < fallbackScore {
			fallback, fallbackScore = ey, score
		}
		share := ey.group.ramp.at(pi.now)
		if share < 1 && uniform(splitMix64(pi.plan.keyHash^ey.group.hash)) >= share {
			continue
		}
		if score < bestScore {
			best, bestScore = ey, score
		}
	}
	if best == nil {
		return fallback
	}
	return best
}
