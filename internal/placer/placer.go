// Package placer balances load: it chooses the target of a request from the load
// reports of the targets.
//
// Where targets differ in speed, a request goes to the target that is expected to
// respond first. A request stays in its own data centre while a response is
// expected there well within the objective; if the data centre is overloaded, it
// may go to another one. Targets that fail part of their requests get fewer
// requests, and targets whose node is unreachable get none, until they recover.
package placer

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/guavastall/guavastall/internal/admitter"
)

const (
	// freshAge is the age up to which a load report has full weight. The weight
	// then falls linearly to zero at staleAge. A busy target reports several times
	// a second.
	freshAge = 500 * time.Millisecond
	staleAge = 3 * time.Second
	// staleSlownessAge is the age at which a target's reported slowness has no
	// weight. It is longer than staleAge so that a slow target is not rediscovered
	// at the cost of late requests.
	staleSlownessAge = 5 * time.Second
	// localFraction is the fraction of the objective within which a local response
	// must be expected for the request to stay in its own data centre
	// unconditionally.
	localFraction = 0.75
	// crossPenalty is the fraction of the objective by which the response from another
	// data centre must otherwise be expected sooner.
	crossPenalty = 0.25
	// smoothing is the weight of a new response in the average time of a route and in
	// the slowness of a target.
	smoothing = 0.1
	// localNodeBonus is the time saved if the node serves the request with its own
	// target: one network hop in each direction.
	localNodeBonus = 2 * time.Millisecond
	// jitter is the largest random cost, as a fraction of the work time. It spreads
	// the choices of nodes that have the same reports.
	jitter = 0.2
	// utilisationPenalty is the cost of a fully used target as a fraction of the work
	// time, because full targets respond more slowly.
	utilisationPenalty = 0.3
	// localPreference ranks targets within localFraction ahead of all others.
	localPreference = time.Hour
	// failurePenalty is the cost of a target that fails every request, in multiples of
	// the objective.
	failurePenalty = 3.0
	// commonFailureFactor is the multiple of the least share of failures up to which
	// a target counts as no worse than the others. Shares are averages of few
	// requests.
	commonFailureFactor = 1.5
	// minProbeDelay and maxProbeDelay bound the time until an unreachable node is
	// probed; it doubles with each failure.
	minProbeDelay = 250 * time.Millisecond
	maxProbeDelay = time.Second
	// defaultWork is the work time assumed without a report or sample.
	defaultWork = 100 * time.Millisecond
)

// Target is a candidate target for a request.
type Target struct {
	// ID identifies the incarnation of the target.
	ID         string
	Node       netip.AddrPort
	DataCentre string
	Slots      int
}

// Report is the load of a target as measured by its node.
type Report struct {
	Running, Slots int
	// Work is the average time of a request at the target.
	Work time.Duration
	// Waits are the expected waits of new requests by rank.
	Waits [admitter.Ranks]time.Duration
	// FailureShare is the share of recent requests that failed.
	FailureShare float64
	// Slowness is the ratio of the target's response time to that of other targets;
	// zero if unknown.
	Slowness float64
	// Took is the time that the request whose response carries this report spent at
	// the target; zero if the target did not respond.
	Took time.Duration
	// Calls is the average number of calls that a request of this route makes.
	Calls float64
	// Link is the state of the target VM's link, or nil if the response does not
	// tell.
	Link *Link
	// Pace is the pace that the target announced, and RunPace the pace during the
	// request whose response carries this report; zero if unknown.
	Pace    admitter.Pace
	RunPace float64
}

// Link is the state of the link over which a target's responses leave its VM.
type Link struct {
	// Wait is the time until another large response would begin to leave.
	Wait time.Duration
	// BytesPerSecond is the rate of the link; zero if it is no bottleneck.
	BytesPerSecond float64
}

// Request holds the properties of a request that the choice of its target depends
// on.
type Request struct {
	DataCentre string
	Route      string
	Rank       admitter.Rank
	// Self is the address of the node that makes the choice.
	Self netip.AddrPort
	// Objective is the remaining time within which the response has its full value.
	Objective time.Duration
	// Tried holds the IDs of the targets that were already tried.
	Tried []string
	// Bytes is the expected size of the response; zero if unknown.
	Bytes float64
}

// Choice is the result of [Placer.Pick].
type Choice struct {
	Target Target
	// Wait is the expected wait for a slot.
	Wait time.Duration
	// Age is the age of the report that Wait is based on; negative if there is none.
	Age time.Duration
	// Pace is the expected pace of the target; zero if it is unknown.
	Pace float64
}

// load is the load of a target as known to this node.
type load struct {
	report     Report
	reportedAt time.Time
	reported   bool
	// outstanding is the number of this node's requests at the target, and
	// sinceReport the number of those that began after the report.
	outstanding, sinceReport int
	// link is the last known state of the target VM's link, linkAt the time of
	// that report, and linkBytes the expected bytes of this node's requests since.
	link      Link
	linkAt    time.Time
	linkBytes float64
	// avoidUntil is the end of the back-off after a refusal, by rank.
	avoidUntil [admitter.Ranks]time.Time
	// slowness is the ratio of the target's response time to the average of the
	// route; zero if unknown.
	slowness float64
	// pace is the pace that the target announced, and local is true if the target is
	// in this node's data centre.
	pace admitter.Pace
	// queue is the newest state of the queue of a target with a known pace.
	queue QueueState
}

// nodeBackoff is the state of an unreachable node.
type nodeBackoff struct {
	dataCentre string
	failures   int
	probeAt    time.Time
}

// Placer chooses targets. It is not safe for concurrent use.
type Placer struct {
	random *rand.Rand
	loads  map[string]*load
	// targets and members are the targets and nodes of the latest call of Keep; nil
	// before the first.
	targets map[string]bool
	members map[netip.AddrPort]bool
	nodes   map[netip.AddrPort]*nodeBackoff
	// routes holds the average time at the target by route.
	routes map[string]time.Duration
	// usualTimes holds the average time at a target of the usual pace by route.
	usualTimes map[string]time.Duration
	// slowTargets holds the IDs of the targets for which [Report.IsSlow] was true of
	// the last report.
	slowTargets map[string]bool
	// pacedTargets holds the IDs of the targets of the own data centre whose pace is
	// known.
	pacedTargets map[string]bool
	// centres are the data centres with nodes that failed since the last response.
	centres map[string]*centre
	// options are those of the latest call of Pick. The slice is reused.
	options []option
}

// New returns a Placer that draws its jitter from random.
func New(random *rand.Rand) *Placer {
	return &Placer{
		random: random, loads: map[string]*load{}, nodes: map[netip.AddrPort]*nodeBackoff{},
		routes: map[string]time.Duration{}, slowTargets: map[string]bool{},
		centres: map[string]*centre{}, usualTimes: map[string]time.Duration{},
		pacedTargets: map[string]bool{},
	}
}

// Pick returns a target that is expected to respond soon, and whether there is one. It
// skips unreachable nodes until a probe succeeds, because a request that waits for a
// connection to such a node is lost.
func (pl *Placer) Pick(targets []Target, re Request, now time.Time) (Choice, bool) {
	common := commonFailureFactor * pl.commonFailureShare(targets, &re, now)
	paced := pl.anyPace(targets, re.Route, now)
	pl.options = pl.options[:0]
	best := 0
	for nn := range targets {
		ta := &targets[nn]
		if contains(re.Tried, ta.ID) || !pl.usable(ta, &re) {
			continue
		}
		op := pl.evaluate(ta, &re, common, paced, now)
		pl.options = append(pl.options, op)
		if op.cost < pl.options[best].cost {
			best = len(pl.options) - 1
		}
	}
	if len(pl.options) == 0 {
		return Choice{}, false
	}
	return pl.options[pl.sample(best, re.Objective)].Choice, true
}

func contains(tried []string, id string) bool {
	for _, other := range tried {
		if other == id {
			return true
		}
	}
	return false
}

// commonFailureShare returns the least share of failures among the candidates with
// a recent report. What all targets have in common says nothing about one of them:
// where all refuse half of their requests, load decides.
func (pl *Placer) commonFailureShare(targets []Target, re *Request, now time.Time) float64 {
	least, found := 0.0, false
	for nn := range targets {
		ta := &targets[nn]
		lo := pl.loads[ta.ID]
		if lo == nil || !lo.reported || now.Sub(lo.reportedAt) > freshAge ||
			contains(re.Tried, ta.ID) || !pl.usable(ta, re) {
			continue
		}
		if share := lo.report.FailureShare; !found || share < least {
			least, found = share, true
		}
	}
	return least
}

// evaluate returns the option of sending the request to the target. Failures up to the
// given share are common to all targets. Paced reports whether the pace of any is known.
func (pl *Placer) evaluate(
	ta *Target, re *Request, common float64, paced bool, now time.Time,
) option {
	var work, wait, transfer time.Duration
	used, failures := 0.0, 0.0
	age, pace := time.Duration(-1), 0.0
	if lo := pl.loads[ta.ID]; lo != nil {
		if _, _, at := lo.latestQueue(re.Rank); !at.IsZero() {
			age = now.Sub(at)
		}
		work, pace = pl.expectedWork(lo, re.Route, now)
		if pace > 0 && ta.DataCentre == re.DataCentre {
			pl.pacedTargets[ta.ID] = true
		}
		wait, used = lo.expectedWait(ta.Slots, re.Rank, now)
		if rest := lo.avoidUntil[re.Rank].Sub(now); rest > wait {
			wait = rest
		}
		failures = max(lo.failureShare(now)-common, 0)
		if ta.Node != re.Self {
			transfer = lo.transferTime(re.Bytes, wait+work, now)
		}
	} else {
		work = pl.Work(re.Route)
	}
	penalty := failurePenalty * failures * float64(max(re.Objective, work))
	expected := wait + work + transfer + time.Duration(penalty)
	cost := expected + time.Duration(utilisationPenalty*used*float64(work))
	if paced {
		cost += time.Duration(fullPenalty * max(used-fullThreshold, 0) * float64(work))
	}
	cost += time.Duration(jitter * pl.random.Float64() * float64(work))
	objective := max(re.Objective, 0)
	switch {
	case ta.Node == re.Self:
		cost -= localNodeBonus
	case ta.DataCentre != re.DataCentre:
		cost += time.Duration(crossPenalty * float64(objective))
	}
	preferred := ta.DataCentre == re.DataCentre &&
		float64(expected) <= localFraction*float64(objective)
	if preferred {
		cost -= localPreference
	}
	return option{
		Choice: Choice{Target: *ta, Wait: wait, Age: age, Pace: pace},
		cost:   cost, work: work, preferred: preferred,
	}
}

// Work returns the average time of the route's requests at their targets, or a
// default without a sample.
func (pl *Placer) Work(route string) time.Duration {
	if work := pl.MeasuredWork(route); work > 0 {
		return work
	}
	return defaultWork
}

// MeasuredWork is like [Placer.Work] but returns zero without a sample.
func (pl *Placer) MeasuredWork(route string) time.Duration {
	return pl.routes[route]
}

// addSample updates the averages of the route and the target with the time of one
// request.
func (pl *Placer) addSample(lo *load, route string, took time.Duration) {
	work := pl.routes[route]
	if work == 0 {
		work = took
	}
	ratio := float64(took) / float64(max(work, time.Millisecond))
	if lo.slowness == 0 {
		lo.slowness = 1
	}
	lo.slowness += smoothing * (ratio - lo.slowness)
	pl.routes[route] = work + time.Duration(smoothing*float64(took-work))
}

// load returns the entry of the target and creates it if necessary.
func (pl *Placer) load(id string) *load {
	lo := pl.loads[id]
	if lo == nil {
		lo = &load{}
		pl.loads[id] = lo
	}
	return lo
}

// Begin records that a request is sent to the target, with the expected size of
// its response.
func (pl *Placer) Begin(id string, bytes float64) {
	lo := pl.load(id)
	lo.outstanding++
	lo.sinceReport++
	lo.linkBytes += bytes
}

// End records the end of a request of the route at the target. The report is nil
// if the response carried none.
func (pl *Placer) End(id, route string, re *Report, now time.Time) {
	lo := pl.load(id)
	lo.outstanding--
	if re != nil {
		lo.report, lo.reportedAt, lo.reported, lo.sinceReport = *re, now, true, 0
		if re.Link != nil {
			lo.link, lo.linkAt, lo.linkBytes = *re.Link, now, 0
		}
		if re.Pace.Latest > 0 {
			lo.setPace(&re.Pace)
			lo.queue = re.Queue(now)
		}
		pl.updateSlow(id, re)
		lo.avoidUntil = [admitter.Ranks]time.Time{}
		if re.Took > 0 {
			pl.addSample(lo, route, re.Took)
			if re.RunPace > 0 {
				pl.addPacedSample(route, re.Took, re.RunPace)
			}
		}
	} else if lo.sinceReport > 0 {
		lo.sinceReport--
	}
}

// Avoid makes Pick treat a target that refused a request as busy for the given
// time, for requests of the same rank and less urgent ones.
func (pl *Placer) Avoid(id string, rank admitter.Rank, rest time.Duration, now time.Time) {
	lo := pl.load(id)
	for ra := rank; ra < admitter.Ranks; ra++ {
		lo.avoidUntil[ra] = now.Add(rest)
	}
}

// MarkUnreachable records that a node of the data centre could not be reached or did not
// respond. A node that has left is ignored, because it would be probed without end.
func (pl *Placer) MarkUnreachable(node netip.AddrPort, dataCentre string, now time.Time) {
	if pl.hasLeft(node) {
		return
	}
	pl.recordFailure(dataCentre, node, now)
	pl.backOff(node, dataCentre, now)
}

// MarkProbed records that a node is being probed. It is unreachable until it responds.
func (pl *Placer) MarkProbed(node netip.AddrPort, now time.Time) {
	if !pl.hasLeft(node) {
		pl.backOff(node, "", now)
	}
}

// backOff sets the time of the node's next probe. The data centre may be empty if the
// node is known to be unreachable.
func (pl *Placer) backOff(node netip.AddrPort, dataCentre string, now time.Time) {
	nb := pl.nodes[node]
	if nb == nil {
		nb = &nodeBackoff{dataCentre: dataCentre}
		pl.nodes[node] = nb
	}
	delay := min(minProbeDelay<<min(nb.failures, 8), maxProbeDelay)
	nb.failures++
	nb.probeAt = now.Add(delay)
}

// MarkReachable records that a node responded.
func (pl *Placer) MarkReachable(node netip.AddrPort) {
	if nb := pl.nodes[node]; nb != nil {
		pl.RecordResponse(nb.dataCentre)
		delete(pl.nodes, node)
	}
}

// ProbesDue returns the nodes that are due for a probe: unreachable ones and one of each
// data centre that counts as cut off.
func (pl *Placer) ProbesDue(now time.Time) []netip.AddrPort {
	pl.probeCentres(now)
	var due []netip.AddrPort
	for node, nb := range pl.nodes {
		if !now.Before(nb.probeAt) {
			due = append(due, node)
		}
	}
	return due
}

// Reachable reports whether the node may receive requests, that is, whether it is
// not waiting for a successful probe.
func (pl *Placer) Reachable(node netip.AddrPort) bool {
	_, unreachable := pl.nodes[node]
	return !unreachable
}

// known reports whether updates of the target are stored: it was kept, or it has
// outstanding requests. Otherwise updates of targets that have left would be passed on
// between nodes and stored again and again.
func (pl *Placer) known(id string) bool {
	return pl.targets == nil || pl.targets[id] || pl.loads[id] != nil
}

func (pl *Placer) hasLeft(node netip.AddrPort) bool {
	return pl.members != nil && !pl.members[node]
}

// Keep removes the state of all targets and nodes except the given ones. Targets
// with outstanding requests stay. The maps must not be changed afterwards.
func (pl *Placer) Keep(targets map[string]bool, nodes map[netip.AddrPort]bool) {
	for id, lo := range pl.loads {
		if !targets[id] && lo.outstanding == 0 {
			delete(pl.loads, id)
			delete(pl.slowTargets, id)
			delete(pl.pacedTargets, id)
		}
	}
	for node := range pl.nodes {
		if !nodes[node] {
			delete(pl.nodes, node)
		}
	}
	pl.keepCentres(nodes)
	pl.targets, pl.members = targets, nodes
}

// KeepRoutes removes the averages of all routes except the given ones.
func (pl *Placer) KeepRoutes(routes map[string]bool) {
	unknown := func(route string, _ time.Duration) bool { return !routes[route] }
	maps.DeleteFunc(pl.routes, unknown)
	maps.DeleteFunc(pl.usualTimes, unknown)
}
