// Package placer chooses the target of a request from what is known of the
// targets' load.
//
// It answers these load patterns. Targets of unequal speed: a request goes
// where its response is expected first. A data centre with less room than
// traffic: requests stay in their own data centre while their response is
// expected there well within the objective, then they cross. Targets that fail
// part of their requests, or whose node cannot be reached: they get less or
// nothing until they prove sound again.
package placer

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/guavastall/guavastall/internal/admitter"
)

const (
	// fullTrust is the age up to which a report counts in full; it then loses
	// weight until lostTrust. A busy target reports several times a second.
	fullTrust = 500 * time.Millisecond
	lostTrust = 3 * time.Second
	// lostPace is the age from which a target's reported pace counts for nothing;
	// until then it is not found out again by requests that come late.
	lostPace = 5 * time.Second
	// localPart is the part of the objective within which a response must be
	// expected for a request to stay in its own data centre whatever others offer.
	localPart = 0.75
	// crossing is the part of the objective by which a response from another data
	// centre must be expected sooner otherwise.
	crossing = 0.25
	// learnWeight is the weight of the newest response in the average time of a
	// route and in the slowness of a target.
	learnWeight = 0.1
	// ownBonus is the time that a request saves when the target is next to the
	// node: a hop in each direction.
	ownBonus = 2 * time.Millisecond
	// jitter spreads the choices of nodes that hold the same reports, as a part
	// of the work time.
	jitter = 0.2
	// fullness is the part of the work time that the last free slot of a target
	// counts as a wait: full targets slow down.
	fullness = 0.3
	// farAhead puts targets within localPart before all others.
	farAhead = time.Hour
	// badWeight is how many objectives a target that fails always is set back.
	badWeight = 3.0
	// firstRest and longestRest bound the time that an unreachable node gets
	// nothing; it doubles with each failure.
	firstRest   = 250 * time.Millisecond
	longestRest = time.Second
	// defaultWork stands for the work time of a target that has not reported.
	defaultWork = 100 * time.Millisecond
)

// Target is a target that a request may go to.
type Target struct {
	// ID names the incarnation of the target.
	ID         string
	Node       netip.AddrPort
	DataCentre string
	Slots      int
}

// Report is the load of a target as its node knows it.
type Report struct {
	Running, Slots int
	// Work is the average time of a request at the target.
	Work time.Duration
	// Waits are the expected waits of new requests by rank.
	Waits [admitter.Ranks]time.Duration
	// Bad is the recent share of failed requests.
	Bad float64
	// Slowness is how many times longer the target takes than others; zero if
	// unknown.
	Slowness float64
	// Took is the time that the request with this report spent at the target;
	// zero if it got no response.
	Took time.Duration
	// Calls is the average number of calls that a run of the request's route makes.
	Calls float64
}

// Request is what the choice depends on.
type Request struct {
	DataCentre string
	Route      string
	Rank       admitter.Rank
	// Own is the node that chooses.
	Own netip.AddrPort
	// Objective is the time left within which the response has its full value.
	Objective time.Duration
	// Tried are the targets that have been tried before.
	Tried []string
}

// Choice is the outcome of Pick.
type Choice struct {
	Target Target
	// Wait is the expected wait for a slot.
	Wait time.Duration
	// Age is how old the report is that the wait rests on; negative if none.
	Age time.Duration
}

// load is what this node knows of a target.
type load struct {
	report     Report
	reportedAt time.Time
	reported   bool
	// outstanding are this node's requests at the target; sinceReport are those
	// of them that began after the report.
	outstanding, sinceReport int
	// avoidUntil is set by refusals, for each rank.
	avoidUntil [admitter.Ranks]time.Time
	// slowness is the target's average time relative to that of the routes; zero
	// if unknown.
	slowness float64
}

// reach is what this node knows of another node.
type reach struct {
	failures int
	until    time.Time
}

// Placer chooses targets. It is not safe for concurrent use.
type Placer struct {
	random *rand.Rand
	loads  map[string]*load
	nodes  map[netip.AddrPort]*reach
	// routes holds the average time of a route's requests at targets.
	routes map[string]time.Duration
	// troubled are the targets whose last report shows trouble.
	troubled map[string]bool
}

// New returns a placer.
func New(random *rand.Rand) *Placer {
	return &Placer{
		random: random, loads: map[string]*load{}, nodes: map[netip.AddrPort]*reach{},
		routes: map[string]time.Duration{}, troubled: map[string]bool{},
	}
}

// Pick returns the target at which the response is expected first, and whether
// there is one. Nodes that cannot be reached are left out until a probe reaches
// them: a request that waits for a connection to one is lost.
func (pl *Placer) Pick(targets []Target, re Request, now time.Time) (Choice, bool) {
	var best Choice
	var least time.Duration
	found := false
	for nn := range targets {
		ta := &targets[nn]
		if wasTried(re.Tried, ta.ID) || !pl.Reachable(ta.Node) {
			continue
		}
		cost, ch := pl.cost(ta, &re, now)
		if !found || cost < least {
			best, least, found = ch, cost, true
		}
	}
	return best, found
}

func wasTried(tried []string, id string) bool {
	for _, other := range tried {
		if other == id {
			return true
		}
	}
	return false
}

func (pl *Placer) cost(ta *Target, re *Request, now time.Time) (time.Duration, Choice) {
	work := pl.Work(re.Route)
	wait, used, bad := time.Duration(0), 0.0, 0.0
	age := time.Duration(-1)
	if lo := pl.loads[ta.ID]; lo != nil {
		if lo.reported {
			age = now.Sub(lo.reportedAt)
		}
		work = time.Duration(lo.pace(now) * float64(work))
		wait, used = lo.expected(ta.Slots, re.Rank, now)
		if rest := lo.avoidUntil[re.Rank].Sub(now); rest > wait {
			wait = rest
		}
		bad = lo.bad(now)
	}
	expected := wait + work + time.Duration(badWeight*bad*float64(max(re.Objective, work)))
	cost := expected + time.Duration(fullness*used*float64(work))
	cost += time.Duration(jitter * pl.random.Float64() * float64(work))
	objective := max(re.Objective, 0)
	switch {
	case ta.Node == re.Own:
		cost -= ownBonus
	case ta.DataCentre != re.DataCentre:
		cost += time.Duration(crossing * float64(objective))
	}
	if ta.DataCentre == re.DataCentre &&
		float64(expected) <= localPart*float64(objective) {
		cost -= farAhead
	}
	return cost, Choice{Target: *ta, Wait: wait, Age: age}
}

// Work returns the average time of the route's requests at targets.
func (pl *Placer) Work(route string) time.Duration {
	if work := pl.Seen(route); work > 0 {
		return work
	}
	return defaultWork
}

// Seen is Work, but zero while there is no sample.
func (pl *Placer) Seen(route string) time.Duration {
	return pl.routes[route]
}

// learn takes the time of a request of the route at the target.
func (pl *Placer) learn(lo *load, route string, took time.Duration) {
	work := pl.routes[route]
	if work == 0 {
		work = took
	}
	ratio := float64(took) / float64(max(work, time.Millisecond))
	if lo.slowness == 0 {
		lo.slowness = 1
	}
	lo.slowness += learnWeight * (ratio - lo.slowness)
	pl.routes[route] = work + time.Duration(learnWeight*float64(took-work))
}

// expected returns the expected wait and the part of the slots in use.
func (lo *load) expected(
	slots int, rank admitter.Rank, now time.Time,
) (time.Duration, float64) {
	if slots < 1 {
		slots = 1
	}
	busy := float64(lo.outstanding)
	work, wait := defaultWork, time.Duration(0)
	if lo.reported {
		trust := lo.trust(now)
		busy = max(busy, trust*float64(lo.report.Running+lo.sinceReport))
		work = lo.report.Work
		wait = time.Duration(trust*float64(lo.report.Waits[rank])) - now.Sub(lo.reportedAt)
	}
	wait = max(wait, 0)
	if over := busy - float64(slots); over > 0 {
		wait += time.Duration(over * float64(work) / float64(slots))
	}
	return wait, min(busy/float64(slots), 1)
}

func (lo *load) bad(now time.Time) float64 {
	if !lo.reported {
		return 0
	}
	return lo.report.Bad * lo.trust(now)
}

// pace returns how many times longer the target is expected to take than others:
// as reported of a troubled one, or as the responses that this node got show.
func (lo *load) pace(now time.Time) float64 {
	seen := lo.slowness
	if seen == 0 {
		seen = 1
	}
	if !lo.reported || !lo.report.Troubled() {
		return seen
	}
	trust := fading(now.Sub(lo.reportedAt), lostPace)
	return trust*lo.report.Slowness + (1-trust)*seen
}

func (lo *load) trust(now time.Time) float64 {
	return fading(now.Sub(lo.reportedAt), lostTrust)
}

// fading returns the weight of a report of the age, which loses it at lost.
func fading(age, lost time.Duration) float64 {
	switch {
	case age <= fullTrust:
		return 1
	case age >= lost:
		return 0
	}
	return 1 - float64(age-fullTrust)/float64(lost-fullTrust)
}

func (pl *Placer) load(id string) *load {
	lo := pl.loads[id]
	if lo == nil {
		lo = &load{}
		pl.loads[id] = lo
	}
	return lo
}

// Begin notes that a request goes to the target.
func (pl *Placer) Begin(id string) {
	lo := pl.load(id)
	lo.outstanding++
	lo.sinceReport++
}

// End notes that a request of the route is back. The report is nil if the
// response held none.
func (pl *Placer) End(id, route string, re *Report, now time.Time) {
	lo := pl.load(id)
	lo.outstanding--
	if re != nil {
		lo.report, lo.reportedAt, lo.reported, lo.sinceReport = *re, now, true, 0
		pl.mark(id, re)
		lo.avoidUntil = [admitter.Ranks]time.Time{}
		if re.Took > 0 {
			pl.learn(lo, route, re.Took)
		}
	} else if lo.sinceReport > 0 {
		lo.sinceReport--
	}
}

// Avoid keeps requests of the rank and less urgent ones from a target that
// refused one, for a time.
func (pl *Placer) Avoid(id string, rank admitter.Rank, rest time.Duration, now time.Time) {
	lo := pl.load(id)
	for ra := rank; ra < admitter.Ranks; ra++ {
		lo.avoidUntil[ra] = now.Add(rest)
	}
}

// Unreachable notes that a node could not be reached.
func (pl *Placer) Unreachable(node netip.AddrPort, now time.Time) {
	re := pl.nodes[node]
	if re == nil {
		re = &reach{}
		pl.nodes[node] = re
	}
	rest := min(firstRest<<min(re.failures, 8), longestRest)
	re.failures++
	re.until = now.Add(rest)
}

// Reached notes that a node answered.
func (pl *Placer) Reached(node netip.AddrPort) {
	delete(pl.nodes, node)
}

// Due returns the unreachable nodes whose rest is over; they need a probe.
func (pl *Placer) Due(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	for node, re := range pl.nodes {
		if !now.Before(re.until) {
			due = append(due, node)
		}
	}
	return due
}

// Reachable reports whether the node is not waiting for a probe.
func (pl *Placer) Reachable(node netip.AddrPort) bool {
	_, lost := pl.nodes[node]
	return !lost
}

// Keep forgets all targets and nodes but the given ones.
func (pl *Placer) Keep(targets map[string]bool, nodes map[netip.AddrPort]bool) {
	for id, lo := range pl.loads {
		if !targets[id] && lo.outstanding == 0 {
			delete(pl.loads, id)
			delete(pl.troubled, id)
		}
	}
	for node := range pl.nodes {
		if !nodes[node] {
			delete(pl.nodes, node)
		}
	}
}

// KeepRoutes forgets what was learned of other routes.
func (pl *Placer) KeepRoutes(routes map[string]bool) {
	maps.DeleteFunc(pl.routes, func(route string, _ time.Duration) bool {
		return !routes[route]
	})
}
