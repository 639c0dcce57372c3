package forwarder

import (
	"context"
	"net/http"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/recorder"
	"github.com/guavastall/guavastall/internal/retrier"
)

// servePeer handles a call from another node, as the last node of the call.
func (fw *Forwarder) servePeer(w http.ResponseWriter, r *http.Request) {
	fw.remote.count.Add(1)
	defer fw.remote.count.Add(-1)
	id, err := callID(r)
	if err != nil {
		fw.reject(w, nil, err)
		return
	}
	w.Header()[headerHop] = []string{id}
	ca, err := parseCall(r, fw.config.Now())
	if err != nil {
		fw.reject(w, nil, err)
		return
	}
	ca.id = id
	ca.limitTimeout(fw.config.MaxTimeout)
	ca.setDeadlines(w)
	if err := fw.checkTarget(ca); err != nil {
		fw.reject(w, ca, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), ca.deadline)
	defer cancel()
	if mode := r.Header.Get(headerOnce); mode != "" && ca.key != "" {
		fw.serveOnce(ctx, w, ca, mode)
		return
	}
	if err := ca.readBody(ctx, w, maxBodyBytes); err != nil {
		fw.reject(w, ca, err)
		return
	}
	rp := fw.attemptTarget(ctx, ca, hop{number: 1}, nil)
	if rp.outcome != retrier.Answered {
		fw.releaseSlot(rp, rp.failureEnding())
		fw.fail(w, ca, failure{err: rp.err, outcome: rp.outcome})
		return
	}
	w.Header()[headerTargetTime] = []string{rp.targetTime.String()}
	fw.relay(w, ca, rp, func(en ending) { fw.releaseSlot(rp, en) })
}

// maxBodyBytes is the maximum body size at the last node. The first node has
// already applied the limit of the service, and large bodies are streamed.
const maxBodyBytes = 1 << 32

// checkTarget returns an error if the target of this node cannot take the call,
// for example because the call is for another target that previously had this
// address.
func (fw *Forwarder) checkTarget(ca *call) error {
	if ca.deadline.Before(ca.started) {
		return errDeadline
	}
	if fw.config.Target == nil {
		return answerer.New(answerer.NoTarget, "this node has no target")
	}
	if fw.admission.isDraining() {
		return errDraining
	}
	if fw.admission.isOutOfService() {
		return errDataCentreOut
	}
	if ca.service != fw.config.Target.Service {
		return answerer.New(answerer.NoTarget,
			"the target of this node belongs to another service")
	}
	return nil
}

// attemptTarget admits the call and sends it to the target of this node. If claim
// is not nil, it is called after admission; if it returns an error, the call is
// not sent.
func (fw *Forwarder) attemptTarget(
	ctx context.Context, ca *call, ho hop, claim func(context.Context) error,
) *reply {
	rp := &reply{local: true, began: fw.config.Now()}
	if err := fw.admission.acquire(ctx, ca.deadline); err != nil {
		rp.outcome, rp.err = retrier.NotRun, err
		rp.report.Rejected = true
		fw.parts.Log.Record(recorder.Decision{
			Name: "admit", Result: answerer.KindOf(err).String(), Call: ca.id,
			Service: ca.service,
		})
		fw.setReportLoad(rp)
		return rp
	}
	rp.admitted = true
	if claim != nil {
		if err := claim(ctx); err != nil {
			rp.outcome, rp.err = retrier.NotRun, err
			return rp
		}
	}
	rp.began = fw.config.Now()
	rp.late = fw.ticker.Begin(rp.began)
	if rp.roundTrip(ctx, ca, fw.target, ho) {
		rp.fromTarget(ctx)
		rp.setTargetTime(fw.config.Now())
	}
	fw.setReportLoad(rp)
	return rp
}

// setReportLoad sets the report to the load of the target of this node.
func (fw *Forwarder) setReportLoad(rp *reply) {
	rp.report.InFlight = fw.parts.Limiter.InFlight()
	rp.report.Limit = fw.parts.Limiter.Limit()
	rp.report.Cold = fw.parts.Limiter.Cold()
}
