package carrier

import (
	"context"
	"time"

	"github.com/guavastall/guavastall/internal/placer"
)

// attempt sends the request to the target's node, or to the local target.
func (di *dispatch) attempt(ctx context.Context, ch placer.Choice) *result {
	di.rq.targetPace = ch.Pace
	began := di.beginAttempt(di.rq, ch.Target)
	rs := di.execute(ctx, di.rq, ch.Target)
	di.endAttempt(ch.Target, rs, began)
	return rs
}

// beginAttempt records the start of an attempt at the target and sets the fields of
// the request that depend on the target.
func (di *dispatch) beginAttempt(rq *request, ta placer.Target) time.Time {
	di.tried = append(di.tried, ta.ID)
	rq.target = ta.ID
	rq.sameDataCentre = ta.DataCentre == di.config.DataCentre
	di.mu.Lock()
	defer di.mu.Unlock()
	di.placer.Begin(ta.ID, di.responseBytes[rq.route.Name])
	return di.config.Now()
}

// execute sends the request to the target's node, or to the local target.
func (ca *Carrier) execute(ctx context.Context, rq *request, ta placer.Target) *result {
	if ta.Node == ca.config.Self {
		return ca.runLocal(ctx, rq)
	}
	return ca.runRemote(ctx, rq, ta)
}

// endAttempt records the result of an attempt at the target.
func (di *dispatch) endAttempt(ta placer.Target, rs *result, began time.Time) {
	di.recordAttempt(ta, rs)
	di.recordHedging(rs, began)
	if rs.report != nil && rs.reached && ta.Node != di.config.Self {
		di.recordCalls(di.rq.route.Name, rs.report.Calls)
	}
	if rs.response != nil && ta.Node != di.config.Self {
		di.recordBytes(di.rq.route.Name, len(rs.response.body))
	}
}
