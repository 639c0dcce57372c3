package carrier

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/guavastall/guavastall/internal/admitter"
	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/placer"
	"github.com/guavastall/guavastall/internal/registrar"
	"github.com/guavastall/guavastall/internal/stager"
)

const (
	// unverifiedRetry is when a caller may try again at a target that has yet to
	// be verified; a health check takes some milliseconds.
	unverifiedRetry = 200 * time.Millisecond
	// badWeight is the weight of the newest request in the share of failed ones.
	badWeight = 0.05
	// firstSequences are the sequence numbers of a target that has just started;
	// one that is first heard of with a greater number may have been sent requests
	// by an earlier process of this node.
	firstSequences = 2
	// leastRestart is the least time between the end of a node's process and the
	// start of the next one, which loads the program and reads the settings.
	leastRestart = 250 * time.Millisecond
	// sweepTime is how often waiting requests are looked through.
	sweepTime = 50 * time.Millisecond
	// leavingRetry is when a caller may try again after a node or a target that
	// leaves refused it: others serve at once.
	leavingRetry = 50 * time.Millisecond
)

// waiter is the owner of a ticket.
type waiter struct {
	// turn gets nil on admission or the refusal.
	turn chan *result
}

// Gate admits requests to the target next to the node. It holds the facts that
// bind this target: its incarnation, whether it leaves, whether it is cold, and
// whether its data centre or version may get requests. It is safe for
// concurrent use.
type Gate struct {
	now  func() time.Time
	pool *pool
	// began is when this process began, and an earlier one had ended.
	began time.Time

	mu    sync.Mutex
	own   registrar.Own
	queue *admitter.Queue[*waiter]
	// verified says that the target at the address is the current incarnation,
	// and how long it stays cold, since the node last had a reason to doubt it.
	verified bool
	leaving  bool
	// ruled says that the rules are known.
	ruled bool
	// out and barred say that the data centre or the version gets nothing.
	out, barred bool
	collector   *stager.Collector
	guarded     bool
	// guard says that a rollout of the target's version is under way.
	guard bool
	bad   float64
	wake  *time.Timer
	// runs are the requests that the target works on, by ID, and pace is how fast.
	runs map[string]*run
	pace *admitter.Pace
}

// NewGate returns a gate for the target at the address.
func NewGate(target netip.AddrPort, now func() time.Time) *Gate {
	po := newPool(target, targetDialTimeout)
	po.maxIdle = maxIdle
	ga := &Gate{
		now: now, began: now(), pool: po, queue: admitter.New[*waiter](1),
		collector: stager.NewCollector(), runs: map[string]*run{},
		pace: new(admitter.Pace),
	}
	// An earlier process may have sent the target its cold rate until then.
	ga.queue.Hold(ga.began)
	ga.wake = time.AfterFunc(time.Hour, ga.advance)
	ga.wake.Stop()
	return ga
}

// Heartbeat takes a heartbeat of the target.
func (ga *Gate) Heartbeat(he registrar.Heartbeat) registrar.Verdict {
	now := ga.now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	before := ga.own.Current()
	verdict := ga.own.Heartbeat(he)
	if verdict == registrar.Stale {
		return verdict
	}
	if verdict == registrar.Changed {
		ga.queue.SetSlots(he.Slots)
		if before.ID != he.ID || !before.Born.Equal(he.Born) {
			ga.replaced()
			if ga.untouched(he, now) {
				ga.queue.Release()
			}
		}
		if ga.own.Current().State == registrar.Leaving {
			ga.refuseWaiting(answerer.Draining, "the target leaves")
		}
	}
	if he.ColdLeft > 0 {
		ga.queue.SetCold(now.Add(he.ColdLeft))
	}
	ga.verified = true
	ga.move(ga.queue.Advance(now))
	return verdict
}

// untouched reports whether no earlier process of this node can have sent the
// incarnation a request: it has just started, or has not been up for longer than
// this process. After a power loss both start together, and heartbeats are repeated
// until the node takes them.
func (ga *Gate) untouched(he registrar.Heartbeat, now time.Time) bool {
	return he.Sequence <= firstSequences ||
		now.Sub(he.Born) <= now.Sub(ga.began)+leastRestart
}

// replaced forgets what was known of the previous incarnation.
func (ga *Gate) replaced() {
	ga.collector = stager.NewCollector()
	ga.pace = new(admitter.Pace)
	ga.guarded = false
	ga.bad = 0
	ga.queue.Warm()
	ga.pool.drop()
}

// Depart notes that a target says it leaves. It reports whether that is the
// current one.
func (ga *Gate) Depart(id string) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if !ga.own.Leave(id, ga.now()) {
		return false
	}
	ga.refuseWaiting(answerer.Draining, "the target leaves")
	return true
}

// Restore takes over what an earlier process of the node published. The target
// gets nothing until it is verified.
func (ga *Gate) Restore(in registrar.Instance) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.own.Current().State == registrar.Unknown {
		ga.own.Restore(in)
		ga.queue.SetSlots(in.Slots)
	}
}

// Verify takes the answer of a health check.
func (ga *Gate) Verify(id string, coldLeft time.Duration) bool {
	now := ga.now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	cu := ga.own.Current()
	if cu.State == registrar.Unknown || cu.ID != id {
		return false
	}
	if coldLeft > 0 {
		ga.queue.SetCold(now.Add(coldLeft))
	}
	ga.verified = true
	ga.move(ga.queue.Advance(now))
	return true
}

// Doubt keeps requests from the target until it is verified: it may have ended,
// been replaced or turned cold.
func (ga *Gate) Doubt() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.verified = false
}

// Doubted reports whether the target needs a health check.
func (ga *Gate) Doubted() bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return !ga.verified && ga.own.Current().State == registrar.Ready
}

// Rules bind the target from outside.
type Rules struct {
	// Out says that operators have taken the data centre out.
	Out bool
	// Barred says that the target's version gets nothing, Guard that a rollout of
	// it is under way.
	Barred, Guard bool
	// ColdRate is the rate per second that the service's targets bear while cold.
	ColdRate float64
}

// Permit sets what binds the target. Before the first call it gets nothing.
func (ga *Gate) Permit(ru Rules) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	out, barred := ru.Out, ru.Barred
	ga.ruled = true
	ga.queue.SetColdRate(ru.ColdRate)
	if ga.out && !out {
		ga.verified = false // targets may be cold when their data centre returns
	}
	ga.out, ga.barred, ga.guard = out, barred, ru.Guard
	if out {
		ga.refuseWaiting(answerer.DataCentreOut, "the data centre is out")
	}
	if barred {
		ga.refuseWaiting(answerer.NoTarget, "the version gets no requests")
	}
}

// Leave refuses new requests because the node stops.
func (ga *Gate) Leave() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.leaving = true
	ga.refuseWaiting(answerer.Draining, "the node leaves")
}

// Current returns the target.
func (ga *Gate) Current() registrar.Instance {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.own.Current()
}

// Busy returns the numbers of requests at the target and before it.
func (ga *Gate) Busy() (running, waiting int) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.queue.Running(), ga.queue.Len()
}

// Tallies returns what the gate has seen of the target's responses.
func (ga *Gate) Tallies() (total, recent map[string]stager.Tally) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.collector.Tallies(ga.now())
}

// pass is the permission to send a request to the target.
type pass struct {
	ticket *admitter.Ticket[*waiter]
	// target is the incarnation that it holds for.
	target string
}

// enter takes a slot for the request, after a wait if need be. It returns a
// pass, which exit gives back, or a refusal.
func (ga *Gate) enter(
	ctx context.Context, rq *request, work time.Duration,
) (*pass, *result) {
	now := ga.now()
	ga.mu.Lock()
	if rs := ga.closed(rq); rs != nil {
		ga.mu.Unlock()
		return nil, rs
	}
	wa := &waiter{turn: make(chan *result, 1)}
	ti, verdict, change := ga.queue.Offer(rq.forQueue(work), wa, now)
	pa := &pass{ticket: ti, target: ga.own.Current().ID}
	ga.move(change)
	if verdict == admitter.Refused {
		wait := ga.queue.RetryAfter(ti.Rank, now)
		ga.mu.Unlock()
		return nil, refusal(answerer.Overloaded, "the wait would be too long", wait)
	}
	ga.arm(now)
	ga.mu.Unlock()
	if verdict == admitter.Admitted {
		return pa, nil
	}
	select {
	case rs := <-wa.turn:
		return pa, rs
	case <-ctx.Done():
	}
	ga.mu.Lock()
	left := ga.queue.Leave(ti)
	ga.mu.Unlock()
	if !left {
		if rs := <-wa.turn; rs == nil {
			ga.exit(pa, 0)
		}
	}
	return nil, refusal(answerer.Cancelled, "the client left", 0)
}

// forQueue returns what the queue needs to know of the request.
func (rq *request) forQueue(work time.Duration) admitter.Request {
	re := admitter.Request{
		Rank: rq.rank(), Returning: rq.returning, Work: work,
		Deadline: rq.deadline, Objective: rq.objective,
	}
	if rq.route != nil {
		re.Usual = rq.route.Objective
	}
	return re
}

// rank returns the rank of the request.
func (rq *request) rank() admitter.Rank {
	priority := 0
	if rq.route != nil {
		priority = rq.route.Priority
	}
	return admitter.RankOf(rq.inner, priority)
}

// closed returns a refusal if the target takes no requests now.
func (ga *Gate) closed(rq *request) *result {
	cu := ga.own.Current()
	switch {
	case ga.leaving:
		return refusal(answerer.Draining, "the node leaves", leavingRetry)
	case cu.State == registrar.Unknown:
		return refusal(answerer.NoTarget, "the target is not known yet", unverifiedRetry)
	case cu.State == registrar.Leaving:
		return refusal(answerer.Draining, "the target leaves", leavingRetry)
	case !ga.standsIn(rq, cu):
		return refusal(answerer.NoTarget, "another target runs here", leavingRetry)
	case ga.out:
		return refusal(answerer.DataCentreOut, "the data centre is out", leavingRetry)
	case ga.barred || ga.guarded:
		return refusal(answerer.NoTarget, "the version gets no requests", leavingRetry)
	case !ga.verified || !ga.ruled:
		return refusal(answerer.NoTarget, "the target is being verified", unverifiedRetry)
	}
	return nil
}

// standsIn reports whether the target may run a request that was meant for the
// given incarnation: it is that one, or has taken its place in the same service.
// After a power loss all first nodes still know the earlier incarnations. While
// a rollout of the target's version is under way, its share is kept instead.
func (ga *Gate) standsIn(rq *request, cu registrar.Instance) bool {
	if rq.target == cu.ID {
		return true
	}
	return rq.route != nil && !ga.guard && rq.route.Has(cu.Service)
}

// recheck is closed for a request that holds a pass already.
func (ga *Gate) recheck(rq *request, pa *pass) *result {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if pa.target != ga.own.Current().ID {
		return refusal(answerer.NoTarget, "the target was replaced", leavingRetry)
	}
	return ga.closed(rq)
}

// sending notes that the request of the pass is sent now.
func (ga *Gate) sending(pa *pass) {
	now := ga.now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.queue.Sent(pa.ticket, now)
}

// exit gives the slot back.
func (ga *Gate) exit(pa *pass, worked time.Duration) {
	now := ga.now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.move(ga.queue.Done(pa.ticket, worked, now))
	ga.arm(now)
}

// saw takes a response of the target as evidence.
func (ga *Gate) saw(re stager.Response) {
	now := ga.now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	re.Cold = ga.queue.Cold(now)
	ga.collector.Add(re, now)
	ga.guarded = ga.guarded || ga.guard && ga.collector.Guarded()
	sample := 0.0
	if re.Failed {
		sample = 1
	}
	ga.bad += badWeight * (sample - ga.bad)
}

// trouble returns the target and its load if other nodes should know of it, or nil.
func (ga *Gate) trouble() (string, *placer.Report) {
	now := ga.now()
	ga.mu.Lock()
	re := placer.Report{Slowness: ga.pace.Slowness(now)}
	target := ga.own.Current().ID
	ga.mu.Unlock()
	if target == "" || !re.Troubled() {
		return "", nil
	}
	return target, ga.load()
}

// load returns the load of the target.
func (ga *Gate) load() *placer.Report {
	now := ga.now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return &placer.Report{
		Running: ga.queue.Running(), Slots: ga.queue.Slots(), Work: ga.queue.Work(),
		Waits: ga.queue.Waits(now), Bad: ga.bad, Slowness: ga.pace.Slowness(now),
	}
}

// move tells the owners of tickets what became of them.
func (ga *Gate) move(ch admitter.Change[*waiter]) {
	for _, ti := range ch.Admitted {
		ti.Value.turn <- nil
	}
	for _, ti := range ch.Refused {
		wait := ga.queue.RetryAfter(ti.Rank, ga.now())
		ti.Value.turn <- refusal(answerer.Overloaded, "more urgent requests came", wait)
	}
}

func (ga *Gate) refuseWaiting(ki answerer.Kind, detail string) {
	for _, ti := range ga.queue.Clear() {
		ti.Value.turn <- refusal(ki, detail, leavingRetry)
	}
}

// arm sets the timer for waiting requests: for the cold rate, or to refuse those
// that a slow target leaves no time.
func (ga *Gate) arm(now time.Time) {
	if ga.queue.Len() == 0 {
		return
	}
	next := sweepTime
	if at, ok := ga.queue.NextStart(now); ok {
		next = min(next, max(at.Sub(now), time.Millisecond))
	}
	ga.wake.Reset(next)
}

func (ga *Gate) advance() {
	now := ga.now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.move(ga.queue.Advance(now))
	ga.arm(now)
}
