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

// serveCaller serves a call from a caller: the first node of the call.
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
	jo := &journey{fw: fw, table: table, plan: &pl, call: ca}
	rp, fa := jo.run(ctx)
	if rp == nil {
		fw.fail(w, ca, fa)
		return
	}
	if rp.cancel != nil {
		defer rp.cancel()
	}
	fw.relay(w, ca, rp, func(en ending) { jo.finish(rp, en) })
}

// journey is a call at its first node, over all of its attempts.
type journey struct {
	fw    *Forwarder
	table Table
	plan  *router.Plan
	call  *call
	// tried holds the nodes that were sent an attempt.
	tried []checker.NodeID
	// number counts the attempts.
	number int
	// doubtful says that an attempt may have run without an answer. The call
	// as a whole is then not "not run", whatever later attempts say.
	doubtful bool
}

// run makes attempts until one is answered or the retrier gives up. It returns
// the answered one, or nil and the failure.
func (jo *journey) run(ctx context.Context) (*reply, failure) {
	jo.fw.parts.Retrier.First(jo.plan)
	var last failure
	for {
		en, err := jo.pick()
		if err != nil {
			if last.err == nil {
				last = failure{err: err, outcome: retrier.NotRun}
			}
			last.marked = true
			return nil, jo.conclude(last)
		}
		rp := jo.attempt(ctx, en)
		if rp.outcome == retrier.Answered {
			return rp, failure{}
		}
		jo.finish(rp, rp.endOf())
		de := jo.next(rp)
		last = failure{err: rp.err, outcome: rp.outcome, marked: de.Mark || rp.marked}
		if !de.Again || !jo.call.body.repeatable() || !sleeper.Sleep(ctx, de.Delay) {
			return nil, jo.conclude(last)
		}
	}
}

// conclude turns the failure of the last attempt into that of the call.
func (jo *journey) conclude(fa failure) failure {
	if jo.doubtful && fa.outcome == retrier.NotRun {
		fa.outcome = retrier.Unknown
		if answerer.KindOf(fa.err).Answer().NotRun {
			fa.err = answerer.Wrap(fa.err, answerer.OutcomeUnknown, "retry")
		}
	}
	return fa
}

// pick chooses the endpoint of the next attempt. The owner of a key is the only
// choice for its call and may be tried again.
func (jo *journey) pick() (router.Endpoint, error) {
	tried := jo.tried
	if jo.plan.Owned {
		tried = nil
	}
	en, err := jo.table.Pick(*jo.plan, tried, jo.fw.parts.Loads, jo.fw.config.Now())
	if err != nil {
		jo.fw.parts.Log.Record(recorder.Decision{
			Name: "pick", Result: answerer.KindOf(err).String(), Call: jo.call.id,
			Service: jo.plan.Service, Route: jo.plan.Route.Name,
		})
	}
	return en, err
}

// next asks the retrier what follows a failed attempt.
func (jo *journey) next(rp *reply) retrier.Decision {
	if rp.outcome == retrier.Unknown {
		jo.doubtful = true
	}
	now := jo.fw.config.Now()
	de := jo.fw.parts.Retrier.Next(jo.plan, retrier.Attempt{
		Outcome: rp.outcome, Kind: answerer.KindOf(rp.err), Marked: rp.marked,
		Number: jo.number, MaxAttempts: jo.plan.Profile.Retries.MaxAttempts,
		Idempotent: jo.plan.Route.Idempotent, Deadline: jo.call.deadline,
		Expected: jo.fw.expected(jo.plan.Service),
	}, now)
	result := "giveUp"
	if de.Again {
		result = "again"
	}
	jo.fw.parts.Log.Record(recorder.Decision{
		Name: "retry", Result: result, Call: jo.call.id, Service: jo.plan.Service,
		Route: jo.plan.Route.Name, Node: rp.endpoint.Node, Number: jo.number,
		Detail: rp.err.Error(),
	})
	return de
}

// attempt makes one attempt, with a hedge beside it where that is allowed.
func (jo *journey) attempt(ctx context.Context, en router.Endpoint) *reply {
	jo.number++
	jo.tried = append(jo.tried, en.Node)
	if jo.plan.Profile.Routing.Hedge && jo.plan.Route.Idempotent &&
		jo.call.body.stream == nil {
		return jo.hedged(ctx, en)
	}
	return jo.send(ctx, en, hop{number: jo.number})
}

// send makes one attempt at the endpoint. Each send ends with finish.
func (jo *journey) send(ctx context.Context, en router.Endpoint, ho hop) *reply {
	fw := jo.fw
	now := fw.config.Now()
	fw.parts.Loads.Begin(en.Node, now)
	fw.parts.Log.Record(recorder.Decision{
		Name: "attempt", Result: "sent", Call: jo.call.id, Service: jo.plan.Service,
		Route: jo.plan.Route.Name, Node: en.Node, Number: ho.number,
	})
	if jo.plan.Owned {
		ho.once = jo.plan.Route.Once
	}
	// The owner of a key calls itself through its peers' handler, so that
	// keys are looked after in one place.
	if en.Node == fw.config.Self && fw.config.Target != nil && ho.once == "" {
		rp := fw.attemptTarget(ctx, jo.call, ho, nil)
		rp.endpoint = en
		return rp
	}
	rp := &reply{began: now, endpoint: en}
	ho.id = jo.call.id
	if rp.roundTrip(ctx, jo.call, fw.peer(en.Node), ho) {
		rp.fromPeer(ctx, jo.call.id)
	} else if rp.outcome == retrier.Unknown &&
		answerer.KindOf(rp.err) == answerer.DeadlineExceeded {
		// The peer was silent. Its other connections may be dead too, so the
		// next call opens a fresh one.
		fw.peer(en.Node).CloseIdleConnections()
	}
	return rp
}

// finish ends an attempt: its slot, its load report and its evidence.
func (jo *journey) finish(rp *reply, en ending) {
	fw := jo.fw
	fw.leave(rp, en)
	now := fw.config.Now()
	latency := now.Sub(rp.began)
	ob := Observation{
		Service: jo.plan.Service, Route: jo.plan.Route.Name, Move: jo.plan.Move,
		Version: rp.endpoint.Version, Outcome: rp.outcome, Cold: rp.report.Cold,
		Cancelled: en == blameless, Latency: latency,
	}
	switch en {
	case complete:
		rp.report.Latency = latency
		ob.Failed = rp.resp.StatusCode >= http.StatusInternalServerError
		fw.learn(jo.plan.Service, latency)
	case broken:
		rp.report.Failed = !rp.report.Rejected
		ob.Failed = true
		if rp.outcome == retrier.Answered {
			ob.Outcome = retrier.Unknown
		}
	case blameless:
	}
	fw.parts.Loads.End(rp.endpoint.Node, rp.report, now)
	fw.parts.Observer.Observe(ob)
}
