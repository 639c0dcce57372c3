package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/recorder"
	"github.com/guavastall/guavastall/internal/retrier"
	"github.com/guavastall/guavastall/internal/router"
	"github.com/guavastall/guavastall/internal/sleeper"
	"github.com/guavastall/guavastall/pkg/checker"
)

// serveCaller handles a call from a caller, as the first node of the call.
func (fw *Forwarder) serveCaller(w http.ResponseWriter, r *http.Request) {
	inFlight := fw.callers.count.Add(1)
	defer fw.callers.count.Add(-1)
	ca, err := parseCall(r, fw.config.Now())
	if err != nil {
		fw.reject(w, nil, err)
		return
	}
	ca.id = fw.nextCall()
	if inFlight > int64(fw.config.MaxCalls) {
		fw.reject(w, ca, answerer.New(answerer.Overloaded,
			"the node has too many calls in flight"))
		return
	}
	table := fw.parts.Table()
	if table == nil {
		fw.reject(w, ca, answerer.New(answerer.NotReady, "the node has no configuration yet"))
		return
	}
	pl, err := table.Plan(router.Call{
		Service: ca.service, Method: r.Method, Path: r.URL.Path, Key: ca.key,
	}, ca.started)
	if err != nil {
		fw.reject(w, ca, err)
		return
	}
	ca.depth++
	ca.limitTimeout(time.Duration(pl.Route.Timeout))
	ca.setDeadlines(w)
	if !ca.deadline.After(ca.started) {
		fw.reject(w, ca, errDeadline)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), ca.deadline)
	defer cancel()
	if err := ca.readBody(ctx, w, pl.Profile.Limits.MaxBodyBytes); err != nil {
		fw.reject(w, ca, err)
		return
	}
	di := &dispatch{fw: fw, table: table, plan: &pl, call: ca}
	rp, fa := di.run(ctx)
	if rp == nil {
		fw.fail(w, ca, fa)
		return
	}
	if rp.cancel != nil {
		defer rp.cancel()
	}
	fw.relay(w, ca, rp, func(en ending) { di.finish(rp, en) })
}

// dispatch is the processing of a call at its first node, including all attempts.
type dispatch struct {
	fw    *Forwarder
	table Table
	plan  *router.Plan
	call  *call
	// tried holds the nodes to which an attempt was sent.
	tried []checker.NodeID
	// number is the number of attempts so far.
	number int
	// mayHaveRun says that an attempt without a response may have been executed.
	// The outcome of the call is then never "not run", whatever the outcome of
	// later attempts.
	mayHaveRun bool
}

// run makes attempts until one is answered or the retrier allows no more. It
// returns the reply of the answered attempt, or nil and the failure.
func (di *dispatch) run(ctx context.Context) (*reply, failure) {
	di.fw.parts.Retrier.First(di.plan)
	var last failure
	for {
		en, err := di.pick()
		if err != nil {
			if last.err == nil {
				last = failure{err: err, outcome: retrier.NotRun}
			}
			last.marked = true
			return nil, di.finalFailure(last)
		}
		rp := di.attempt(ctx, en)
		if rp.outcome == retrier.Answered {
			return rp, failure{}
		}
		di.finish(rp, rp.failureEnding())
		de := di.next(rp)
		last = failure{err: rp.err, outcome: rp.outcome, marked: de.Mark || rp.marked}
		if !de.Again || !di.call.body.replayable() || !sleeper.Sleep(ctx, de.Delay) {
			return nil, di.finalFailure(last)
		}
	}
}

// finalFailure derives the failure of the call from that of the last attempt.
func (di *dispatch) finalFailure(fa failure) failure {
	if di.mayHaveRun && fa.outcome == retrier.NotRun {
		fa.outcome = retrier.Unknown
		if answerer.KindOf(fa.err).Answer().NotRun {
			fa.err = answerer.Wrap(fa.err, answerer.OutcomeUnknown, "retry")
		}
	}
	return fa
}

// pick selects the endpoint for the next attempt. A call with an owned key must
// go to the owner, which may therefore be tried again.
func (di *dispatch) pick() (router.Endpoint, error) {
	tried := di.tried
	if di.plan.Owned {
		tried = nil
	}
	en, err := di.table.Pick(*di.plan, tried, di.fw.parts.Loads, di.fw.config.Now())
	if err != nil {
		di.fw.parts.Log.Record(recorder.Decision{
			Name: "pick", Result: answerer.KindOf(err).String(), Call: di.call.id,
			Service: di.plan.Service, Route: di.plan.Route.Name,
		})
	}
	return en, err
}

// next returns the retrier's decision after a failed attempt.
func (di *dispatch) next(rp *reply) retrier.Decision {
	if rp.outcome == retrier.Unknown {
		di.mayHaveRun = true
	}
	now := di.fw.config.Now()
	de := di.fw.parts.Retrier.Next(di.plan, retrier.Attempt{
		Outcome: rp.outcome, Kind: answerer.KindOf(rp.err), Marked: rp.marked,
		Number: di.number, MaxAttempts: di.plan.Profile.Retries.MaxAttempts,
		Idempotent: di.plan.Route.Idempotent, Deadline: di.call.deadline,
		Expected: di.fw.expectedLatency(di.plan.Service),
	}, now)
	result := "giveUp"
	if de.Again {
		result = "again"
	}
	di.fw.parts.Log.Record(recorder.Decision{
		Name: "retry", Result: result, Call: di.call.id, Service: di.plan.Service,
		Route: di.plan.Route.Name, Node: rp.endpoint.Node, Number: di.number,
		Detail: rp.err.Error(),
	})
	return de
}

// attempt makes one attempt, hedged if the route and the profile allow it.
func (di *dispatch) attempt(ctx context.Context, en router.Endpoint) *reply {
	di.number++
	di.tried = append(di.tried, en.Node)
	if di.plan.Profile.Routing.Hedge && di.plan.Route.Idempotent &&
		di.call.body.stream == nil {
		return di.hedged(ctx, en)
	}
	return di.send(ctx, en, hop{number: di.number})
}

// send sends one attempt to the endpoint. The caller must end it with finish.
func (di *dispatch) send(ctx context.Context, en router.Endpoint, ho hop) *reply {
	fw := di.fw
	now := fw.config.Now()
	fw.parts.Loads.Begin(en.Node, now)
	fw.parts.Log.Record(recorder.Decision{
		Name: "attempt", Result: "sent", Call: di.call.id, Service: di.plan.Service,
		Route: di.plan.Route.Name, Node: en.Node, Number: ho.number,
	})
	if di.plan.Owned {
		ho.once = di.plan.Route.Once
	}
	// The owner of a key sends the call to its own peer handler, so that only
	// that handler has to deal with idempotency keys.
	if en.Node == fw.config.Self && fw.config.Target != nil && ho.once == "" {
		rp := fw.attemptTarget(ctx, di.call, ho, nil)
		rp.endpoint = en
		return rp
	}
	rp := &reply{began: now, endpoint: en}
	ho.id = di.call.id
	if rp.roundTrip(ctx, di.call, fw.peer(en.Node), ho) {
		rp.fromPeer(ctx, di.call.id, fw.config.Now)
	} else if rp.outcome == retrier.Unknown &&
		answerer.KindOf(rp.err) == answerer.DeadlineExceeded {
		// The peer did not respond. Other idle connections to it may be broken
		// too, so make the next call open a new one.
		fw.peer(en.Node).CloseIdleConnections()
	}
	return rp
}

// finish ends an attempt: it releases the slot and reports the load and the
// observation.
func (di *dispatch) finish(rp *reply, en ending) {
	fw := di.fw
	fw.releaseSlot(rp, en)
	now := fw.config.Now()
	latency := now.Sub(rp.began)
	ob := Observation{
		Service: di.plan.Service, Route: di.plan.Route.Name, Move: di.plan.Move,
		Version: rp.endpoint.Version, Outcome: rp.outcome, Cold: rp.report.Cold,
		Cancelled: en == neutral, Latency: rp.processingTime(now),
	}
	switch en {
	case complete:
		rp.report.Latency = latency
		ob.Failed = rp.resp.StatusCode >= http.StatusInternalServerError
		fw.recordLatency(di.plan.Service, latency)
	case broken:
		rp.report.Failed = !rp.report.Rejected
		ob.Failed = true
		if rp.outcome == retrier.Answered {
			ob.Outcome = retrier.Unknown
		}
	case neutral:
	}
	fw.parts.Loads.End(rp.endpoint.Node, rp.report, now)
	fw.parts.Observer.Observe(ob)
}
