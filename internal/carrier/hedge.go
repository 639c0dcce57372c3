package carrier

import (
	"context"
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/budgeter"
	"github.com/guavastall/guavastall/internal/matcher"
	"github.com/guavastall/guavastall/internal/placer"
	"github.com/guavastall/guavastall/internal/retrier"
)

// overloadPause is how long a route's requests are not hedged after a target refused
// one of them for lack of room. A service under overload has no room for a second
// attempt, and load reports may be older than that.
const overloadPause = time.Second

// hedging is what the node observed of a route that allows hedges.
type hedging struct {
	times retrier.Times
	// refusedAt is when a target last refused a request for lack of room.
	refusedAt time.Time
}

// hedgeable reports whether the route allows a second attempt beside the first.
func hedgeable(ro *matcher.Route) bool {
	return ro.Kind == matcher.Idempotent && ro.Attempts > 1
}

// hedgeDelay returns the time after which the next attempt may be late, and whether it
// may be hedged. An attempt that may not needs no goroutine.
func (di *dispatch) hedgeDelay(ch placer.Choice, now time.Time) (time.Duration, bool) {
	if !hedgeable(di.rq.route) || di.rq.repeat || di.reached > 0 {
		return 0, false
	}
	di.mu.Lock()
	defer di.mu.Unlock()
	he := di.hedging[di.rq.route.Name]
	if he == nil {
		return 0, false
	}
	// At a fast target an attempt is late earlier. At a slow one it is not later: the
	// request may do better elsewhere.
	di.lateScale = min(di.placer.Outlook(ch, di.forPlacer(now), now).Slowdown, 1)
	la := di.late(&he.times, now, now)
	// The budget is asked when the time has come, not now.
	de := retrier.HedgeLate(la, func() bool { return false })
	return de.Delay, de.Delay > 0
}

// late describes the running attempt and the second one at a usual target. The caller
// must hold ca.mu.
func (di *dispatch) late(times *retrier.Times, began, now time.Time) retrier.Late {
	return retrier.Late{
		Allowed: hedgeable(di.rq.route), Repeat: di.rq.repeat,
		Number: di.reached + 1, MaxAttempts: di.rq.route.Attempts,
		Elapsed: now.Sub(began), Second: times.Second(), Free: true,
		After:     time.Duration(di.lateScale * float64(times.Late())),
		Objective: di.rq.objective.Sub(now), Deadline: di.rq.deadline.Sub(now),
	}
}

// recordHedging records what an attempt showed about its route.
func (di *dispatch) recordHedging(rs *result, began time.Time) {
	ro := di.rq.route
	if !hedgeable(ro) {
		return
	}
	now := di.config.Now()
	di.mu.Lock()
	defer di.mu.Unlock()
	he := di.hedging[ro.Name]
	if he == nil {
		he = &hedging{}
		di.hedging[ro.Name] = he
	}
	switch {
	case rs.outcome == retrier.Answered && !rs.failed(),
		rs.outcome == retrier.Unknown && rs.kind == answerer.DeadlineExceeded,
		rs.overtaken:
		he.times.Add(now.Sub(began))
	case rs.outcome == retrier.NotRun && rs.kind == answerer.Overloaded:
		he.refusedAt = now
	}
}

// concurrent is an attempt that runs in a goroutine, on its own copy of the request.
type concurrent struct {
	rq     request
	target placer.Target
	began  time.Time
	cancel context.CancelFunc
	// result is set before the attempt is sent to the race.
	result *result
}

// race is a first attempt with at most one hedge. Its attempts share no state; only
// the goroutine of the dispatch uses the race and the dispatch.
type race struct {
	*dispatch
	// ended receives each attempt once. It has room for both, so that none blocks.
	ended   chan *concurrent
	running []*concurrent
	began   time.Time
	// reason is that of the last decision against a hedge.
	reason retrier.Reason
}

// race makes an attempt and, if it is late and the retrier allows it, a second one at
// another target. It returns the first good result and cancels the other attempt. If
// both fail, it returns the most informative result. The delay is the time after which
// the first attempt may be late.
func (di *dispatch) race(ctx context.Context, ch placer.Choice, delay time.Duration) *result {
	ra := &race{dispatch: di, ended: make(chan *concurrent, 2)}
	di.rq.targetPace = ch.Pace
	ra.start(ctx, ch.Target, false)
	ra.began = ra.running[0].began
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var failed *result
	for {
		select {
		case co := <-ra.ended:
			ra.end(co)
			if co.result.outcome == retrier.Answered && !co.result.failed() {
				ra.win(co)
				return co.result
			}
			failed = stronger(failed, co.result)
			if len(ra.running) == 0 {
				return failed
			}
		case <-timer.C:
			if delay := ra.hedge(ctx); delay > 0 {
				timer.Reset(delay)
			}
		}
	}
}

// start starts an attempt at the target.
func (ra *race) start(ctx context.Context, ta placer.Target, hedge bool) {
	ctx, cancel := context.WithCancel(ctx)
	co := &concurrent{rq: *ra.rq, target: ta, cancel: cancel}
	co.rq.hedge, co.rq.lease = hedge, &lease{memory: ra.bodies}
	co.began = ra.beginAttempt(&co.rq, ta)
	ra.rq.target = ta.ID
	ra.running = append(ra.running, co)
	go func() {
		co.result = ra.execute(ctx, &co.rq, ta)
		ra.ended <- co
	}()
}

// end records the result of an attempt and takes over its memory.
func (ra *race) end(co *concurrent) {
	co.cancel()
	for nn, other := range ra.running {
		if other == co {
			ra.running = append(ra.running[:nn], ra.running[nn+1:]...)
			break
		}
	}
	if co.result.response == nil {
		co.rq.lease.release()
	}
	ra.rq.lease.join(co.rq.lease)
	co.result.hedge = co.rq.hedge
	ra.endAttempt(co.target, co.result, co.began)
}

// win cancels the other attempt and waits for its end, which follows at once.
func (ra *race) win(winner *concurrent) {
	ra.rq.target, ra.rq.targetPace = winner.rq.target, winner.rq.targetPace
	if winner.rq.hedge {
		ra.metrics.hedgeWon.Inc(1)
	}
	for _, co := range ra.running {
		co.cancel()
	}
	for len(ra.running) > 0 {
		co := <-ra.ended
		co.result.overtaken = !co.rq.hedge && co.result.outcome == retrier.Unknown
		ra.end(co)
	}
}

// hedge starts a second attempt if the retrier allows it. It returns the time until
// the next try; zero means never.
func (ra *race) hedge(ctx context.Context) time.Duration {
	// If the timer and the end of the first attempt come together, the end decides.
	if ctx.Err() != nil || len(ra.ended) > 0 {
		return 0
	}
	if vi := ra.Carrier.view.Load(); vi != nil {
		ra.view = vi
	}
	now := ra.config.Now()
	targets := ra.candidates()
	ra.mu.Lock()
	he := ra.hedging[ra.rq.route.Name]
	if he == nil { // the route has been removed
		ra.mu.Unlock()
		return 0
	}
	la := ra.late(&he.times, ra.began, now)
	la.Free = false
	var ch placer.Choice
	if now.Sub(he.refusedAt) >= overloadPause {
		rq := ra.forPlacer(now)
		if ch, la.Free = ra.placer.Pick(targets, rq, now); la.Free {
			ou := ra.placer.Outlook(ch, rq, now)
			la.Second = time.Duration(ou.Slowdown*float64(la.Second)) + ou.Transfer
			la.Free = ou.Free
		}
	}
	re := budgeter.Retry{
		Nodes: len(ra.view.Nodes), Calls: -1, LastAttempt: ra.rq.returning, Hedge: true,
	}
	if calls, known := ra.callsPerRun[ra.rq.route.Name]; known {
		re.Calls = calls
	}
	de := retrier.HedgeLate(la, func() bool {
		return ra.budget(ra.part.Service).Take(re, now)
	})
	ra.mu.Unlock()
	ra.logHedge(&la, de, ch, re)
	if de.Again {
		ra.metrics.hedged.Inc(1)
		ra.rq.repeat, ra.rq.targetPace = true, ch.Pace
		ra.start(ctx, ch.Target, true)
		return 0
	}
	return de.Delay
}

// logHedge logs a decision, unless it repeats the last one of the request.
func (ra *race) logHedge(
	la *retrier.Late, de retrier.Decision, ch placer.Choice, re budgeter.Retry,
) {
	if !de.Again && (de.Reason == ra.reason || de.Reason == retrier.TooEarly) {
		return
	}
	ra.reason = de.Reason
	ra.logEvent(de.Again, "hedge", ra.rq, func() map[string]any {
		return map[string]any{
			"allowed": de.Again, "reason": de.Reason.String(), "service": ra.part.Service,
			"target": ra.rq.target, "second": ch.Target.ID, "waitMs": ch.Wait.Milliseconds(),
			"elapsedMs": la.Elapsed.Milliseconds(), "lateMs": la.After.Milliseconds(),
			"expectedMs": la.Second.Milliseconds(), "free": la.Free,
			"objectiveMs": la.Objective.Milliseconds(), "leftMs": la.Deadline.Milliseconds(),
			"last": re.LastAttempt, "calls": re.Calls,
		}
	})
}
