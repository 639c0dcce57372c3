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
	// unverifiedRetryAfter is when a caller may retry at a target that has not
	// been verified yet. A health check takes a few milliseconds.
	unverifiedRetryAfter = 200 * time.Millisecond
	// errorRateWeight is the weight of the newest request in the moving average
	// of the share of requests that the target failed or refused.
	errorRateWeight = 0.05
	// queueCheckInterval is how often waiting requests are checked.
	queueCheckInterval = 50 * time.Millisecond
	// drainingRetryAfter is when a caller may retry after a refusal by a draining
	// node or target. Other nodes can serve the request at once.
	drainingRetryAfter = 50 * time.Millisecond
)

// waiter is a request that waits for admission.
type waiter struct {
	// outcome receives nil on admission, or the refusal.
	outcome chan *result
}

// Gate admits requests to the local target. It tracks the restrictions on this
// target: its incarnation, whether it is draining or cold, and whether its data
// centre and version may receive requests. It is safe for concurrent use.
type Gate struct {
	now  func() time.Time
	pool *pool
	// startTime is when this process began. Any earlier process of the node had
	// ended by then.
	startTime time.Time

	mu    sync.Mutex
	local registrar.LocalTarget
	queue *admitter.Queue[*waiter]
	// verified is true if the target at the address is known to be the current
	// incarnation and its remaining cold time is known. It is reset when the node
	// has reason to doubt either.
	verified bool
	// checkRequired is true if only a health check can verify the target. A heartbeat
	// may have been sent seconds ago, before events that this process does not know of.
	checkRequired bool
	draining      bool
	// rulesKnown is true once SetRules has been called.
	rulesKnown bool
	// evacuated and versionBlocked are true if the data centre or the version
	// receives no requests.
	evacuated, versionBlocked bool
	collector                 *stager.Collector
	// faultDetected is true if the target has shown a fault of its version during
	// a rollout.
	faultDetected bool
	// rolloutActive is true while a rollout of the target's version is in
	// progress.
	rolloutActive bool
	errorRate     float64
	timer         *time.Timer
	// runs are the requests that the target is working on, by ID, and slowness
	// measures how much slower it is than other targets.
	runs     map[string]*run
	slowness *admitter.SlownessMeter
	// paces averages the paces that the target announces.
	paces admitter.PaceMeter
}

// NewGate returns a gate for the target at the given address.
func NewGate(target netip.AddrPort, now func() time.Time) *Gate {
	po := newPool(target, targetDialTimeout)
	po.maxIdle = targetMaxIdle
	ga := &Gate{
		now: now, startTime: now(), pool: po, queue: admitter.New[*waiter](1),
		collector: stager.NewCollector(), runs: map[string]*run{},
		slowness: new(admitter.SlownessMeter), checkRequired: true,
	}
	// An earlier process may have sent the target requests at the full cold rate
	// until startTime.
	ga.queue.Hold(ga.startTime)
	ga.timer = time.AfterFunc(time.Hour, ga.advanceQueue)
	ga.timer.Stop()
	return ga
}

// Rules are the external restrictions on the target.
type Rules struct {
	// Evacuated is true if operators have taken the data centre out of service.
	Evacuated bool
	// VersionBlocked is true if the target's version receives no requests, and
	// RolloutActive if a rollout of it is in progress.
	VersionBlocked, RolloutActive bool
	// ColdRate is the rate per second that the service's targets can sustain
	// while cold.
	ColdRate float64
}

// SetRules sets the restrictions on the target. The target receives no requests
// before the first call.
func (ga *Gate) SetRules(ru Rules) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	evacuated, blocked := ru.Evacuated, ru.VersionBlocked
	ga.rulesKnown = true
	ga.queue.SetColdRate(ru.ColdRate)
	if ga.evacuated && !evacuated {
		// Targets may be cold when their data centre returns to service.
		ga.verified, ga.checkRequired = false, true
	}
	ga.evacuated, ga.versionBlocked, ga.rolloutActive = evacuated, blocked, ru.RolloutActive
	if evacuated {
		ga.refuseWaiting(answerer.DataCentreOut, "the data centre is out")
	}
	if blocked {
		ga.refuseWaiting(answerer.NoTarget, "the version gets no requests")
	}
}

// Drain refuses new requests because the node is shutting down.
func (ga *Gate) Drain() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.draining = true
	ga.refuseWaiting(answerer.Draining, "the node leaves")
}

// Current returns the current target.
func (ga *Gate) Current() registrar.Instance {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.local.Current()
}

// RequestCounts returns the numbers of requests that run at the target and that
// wait for it.
func (ga *Gate) RequestCounts() (running, waiting int) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.queue.Running(), ga.queue.Len()
}

// Tallies returns the counts of the target's responses, in total and recent.
func (ga *Gate) Tallies() (total, recent map[string]stager.Tally) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.collector.Tallies(ga.now())
}

// VersionFaulty reports whether the gate refuses requests because the target has
// shown a fault of its version in a rollout that is still in progress.
func (ga *Gate) VersionFaulty() bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.rolloutActive && ga.faultDetected
}

// admission is the permission to send one request to the target.
type admission struct {
	ticket *admitter.Ticket[*waiter]
	// target is the incarnation that the permission is valid for.
	target string
}

// admit obtains a slot for the request, waiting if necessary. It returns an
// admission, which the caller must release, or a refusal. A hedge that would have to
// wait, or whose target is cold, is refused.
func (ga *Gate) admit(
	ctx context.Context, rq *request, work time.Duration,
) (*admission, *result) {
	now := ga.now()
	ga.mu.Lock()
	if rs := ga.checkAdmission(rq); rs != nil {
		ga.mu.Unlock()
		return nil, rs
	}
	// The first attempt of a hedged request is running, and others need the slot more. A
	// cold target is slow, and its rate is bounded.
	if rq.hedge && (ga.queue.Cold(now) || !ga.queue.Free(now)) {
		wait := ga.queue.Wait(rq.rank(), now)
		ga.mu.Unlock()
		return nil, refusal(answerer.Overloaded, "no free slot for a hedge", wait)
	}
	wa := &waiter{outcome: make(chan *result, 1)}
	ti, verdict, change := ga.queue.Offer(rq.forQueue(work), wa, now)
	ad := &admission{ticket: ti, target: ga.local.Current().ID}
	ga.notifyWaiters(change)
	if verdict == admitter.Refused {
		wait := ga.queue.RetryAfter(ti.Rank, now)
		ga.mu.Unlock()
		return nil, refusal(answerer.Overloaded, "the wait would be too long", wait)
	}
	ga.resetTimer(now)
	ga.mu.Unlock()
	if verdict == admitter.Admitted {
		return ad, nil
	}
	select {
	case rs := <-wa.outcome:
		return ad, rs
	case <-ctx.Done():
	}
	ga.mu.Lock()
	left := ga.queue.Leave(ti)
	ga.mu.Unlock()
	if !left {
		if rs := <-wa.outcome; rs == nil {
			ga.release(ad, 0)
		}
	}
	return nil, refusal(answerer.Cancelled, "the client left", 0)
}

// forQueue returns the properties of the request that the queue needs.
func (rq *request) forQueue(work time.Duration) admitter.Request {
	re := admitter.Request{
		Rank: rq.rank(), Retried: rq.returning, Work: work,
		Deadline: rq.deadline, Objective: rq.objective,
	}
	if rq.route != nil {
		re.Usual = rq.route.Objective
	}
	return re
}

func (rq *request) rank() admitter.Rank {
	priority := 0
	if rq.route != nil {
		priority = rq.route.Priority
	}
	return admitter.RankOf(rq.inner, priority)
}

// checkAdmission returns a refusal if the target accepts no requests now, and nil
// otherwise. The caller must hold ga.mu.
func (ga *Gate) checkAdmission(rq *request) *result {
	cu := ga.local.Current()
	switch {
	case ga.draining:
		return refusal(answerer.Draining, "the node leaves", drainingRetryAfter)
	case cu.State == registrar.Unknown:
		return refusal(answerer.NoTarget, "the target is not known yet", unverifiedRetryAfter)
	case cu.State == registrar.Leaving:
		return refusal(answerer.Draining, "the target leaves", drainingRetryAfter)
	case !ga.acceptsFor(rq, cu):
		return refusal(answerer.NoTarget, "another target runs here", drainingRetryAfter)
	case ga.evacuated:
		return refusal(answerer.DataCentreOut, "the data centre is out", drainingRetryAfter)
	case ga.versionBlocked || ga.rolloutActive && ga.faultDetected:
		return refusal(answerer.NoTarget, "the version gets no requests", drainingRetryAfter)
	case !ga.verified || !ga.rulesKnown:
		return refusal(answerer.NoTarget, "the target is being verified", unverifiedRetryAfter)
	}
	return nil
}

// acceptsFor reports whether the current target may run a request that was
// intended for the given incarnation: it is that incarnation, or has replaced it
// in the same service. After a power loss every first node still knows the
// earlier incarnations. During a rollout of its version a target accepts only its
// own requests, so that the version receives no more than its share.
func (ga *Gate) acceptsFor(rq *request, cu registrar.Instance) bool {
	if rq.target == cu.ID {
		return true
	}
	return rq.route != nil && !ga.rolloutActive && rq.route.HasService(cu.Service)
}

// recheckAdmission repeats checkAdmission for a request that already holds an
// admission. It also refuses the request if the target has been replaced.
func (ga *Gate) recheckAdmission(rq *request, ad *admission) *result {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ad.target != ga.local.Current().ID {
		return refusal(answerer.NoTarget, "the target was replaced", drainingRetryAfter)
	}
	return ga.checkAdmission(rq)
}

// markSent records that the admitted request is being sent.
func (ga *Gate) markSent(ad *admission) {
	now := ga.now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.queue.Sent(ad.ticket, now)
}

// release returns the admission's slot.
func (ga *Gate) release(ad *admission, worked time.Duration) {
	now := ga.now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.notifyWaiters(ga.queue.Done(ad.ticket, worked, now))
	ga.resetTimer(now)
}

// recordResponse records a response of the target.
func (ga *Gate) recordResponse(re stager.Response) {
	now := ga.now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	re.Cold = ga.queue.Cold(now)
	ga.collector.Add(re, now)
	ga.faultDetected = ga.faultDetected || ga.rolloutActive && ga.collector.ShowsFault()
	if !re.Cancelled {
		ga.addErrorSample(re.Failed)
	}
}

// recordShed records that the target refused a request although it had a free
// slot. Such a target seems idle and quick and would otherwise attract requests.
// It is not evidence against its version.
func (ga *Gate) recordShed() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.addErrorSample(true)
}

func (ga *Gate) addErrorSample(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	ga.errorRate += errorRateWeight * (sample - ga.errorRate)
}

// degradedLoad returns the target and its load if other nodes should be warned of
// it, and nil otherwise.
func (ga *Gate) degradedLoad() (string, *placer.Report) {
	now := ga.now()
	ga.mu.Lock()
	re := placer.Report{Slowness: ga.slowness.Slowness(now)}
	target := ga.local.Current().ID
	ga.mu.Unlock()
	if target == "" || !re.IsSlow() {
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
		Waits: ga.queue.Waits(now), FailureShare: ga.errorRate,
		Slowness: ga.slowness.Slowness(now), Pace: ga.paces.Pace(),
	}
}

// notifyWaiters reports a change of the queue to the requests that wait in it.
func (ga *Gate) notifyWaiters(ch admitter.Change[*waiter]) {
	for _, ti := range ch.Admitted {
		ti.Value.outcome <- nil
	}
	for _, ti := range ch.Refused {
		wait := ga.queue.RetryAfter(ti.Rank, ga.now())
		ti.Value.outcome <- refusal(answerer.Overloaded, "more urgent requests came", wait)
	}
}

func (ga *Gate) refuseWaiting(ki answerer.Kind, detail string) {
	for _, ti := range ga.queue.Clear() {
		ti.Value.outcome <- refusal(ki, detail, drainingRetryAfter)
	}
}

// resetTimer sets the timer for waiting requests: to admit them at the cold rate,
// or to refuse those that a slow target can no longer serve in time.
func (ga *Gate) resetTimer(now time.Time) {
	if ga.queue.Len() == 0 {
		return
	}
	next := queueCheckInterval
	if at, ok := ga.queue.NextStart(now); ok {
		next = min(next, max(at.Sub(now), time.Millisecond))
	}
	ga.timer.Reset(next)
}

func (ga *Gate) advanceQueue() {
	now := ga.now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.notifyWaiters(ga.queue.Advance(now))
	ga.resetTimer(now)
}
