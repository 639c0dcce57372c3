package carrier

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/pacer"
	"github.com/guavastall/guavastall/internal/retrier"
	"github.com/guavastall/guavastall/internal/stager"
)

// responseSlack is how long past the deadline a node waits for the target's
// response, because the target itself responds at the deadline.
const responseSlack = 60 * time.Millisecond

// Nodes returns the handler for requests from other nodes.
func (ca *Carrier) Nodes() http.Handler {
	return http.HandlerFunc(ca.serveNode)
}

// IsHop reports whether the request was forwarded by another node.
func (ca *Carrier) IsHop(r *http.Request) bool {
	return len(r.Header[headerHop]) > 0
}

// serveNode handles a request from another node at its last node.
func (ca *Carrier) serveNode(w http.ResponseWriter, r *http.Request) {
	now := ca.config.Now()
	vi := ca.view.Load()
	stopTimeout := limitBodyTime(w, r, now)
	rq, err := ca.parse(r, bodyLimit(vi), now)
	stopTimeout()
	defer rq.release()
	if err == nil {
		err = rq.decodeHop(r.Header.Get(headerHop), now)
	}
	if err != nil {
		ca.writeNodeResponse(r.Context(), w, r.Header.Get(ca.config.Names.RequestID),
			refusal(answerer.KindOf(err), err.Error(), 0), nil)
		return
	}
	rq.caller = r.Header.Get(ca.config.Names.Caller)
	if vi == nil {
		rs := refusal(answerer.NotReady, "no configuration yet", unverifiedRetryAfter)
		ca.writeNodeResponse(r.Context(), w, rq.id, rs, nil)
		return
	}
	rq.route = vi.match(rq.host, rq.uri)
	ca.applyWarnings(r.Header, now)
	ca.runForNode(w, r, rq)
}

// runForNode runs a request of another node and writes the response to it, if the
// response can leave in time.
func (ca *Carrier) runForNode(w http.ResponseWriter, r *http.Request, rq *request) {
	bytes := ca.expectedBytes(rq.routeName())
	large := rq.route != nil && ca.egress.large(bytes)
	var tr *pacer.Transfer
	var rs *result
	if large {
		tr, rs = ca.egress.admit(rq, bytes, ca.expectedProcessingTime(rq))
		defer func() { ca.egress.end(tr) }()
	}
	if rs == nil {
		rs = ca.runLocal(r.Context(), rq)
	} else {
		ca.recordLinkRefusal(rq, rs, bytes)
	}
	if large {
		w.Header()[headerLink] = []string{encodeLink(ca.egress.report())}
	}
	if tr == nil && rs.response != nil && ca.egress.large(float64(len(rs.response.body))) {
		tr = ca.egress.start(rq)
		defer func() { ca.egress.end(tr) }()
	}
	if text := ca.responseWarnings(rq, rs, tr != nil); text != "" {
		w.Header()[headerWarning] = []string{text}
	}
	ca.writeNodeResponse(r.Context(), w, rq.id, rs, tr)
}

func (ca *Carrier) recordLinkRefusal(rq *request, rs *result, bytes float64) {
	rs.report = ca.gate.load()
	ca.metrics.refusedLink.Inc(1)
	ca.logEvent(true, "refuse", rq, func() map[string]any {
		return map[string]any{
			"kind": rs.kind.String(), "detail": rs.detail, "target": rq.target,
			"bytes": int(bytes), "backlogMs": ca.egress.report().Wait.Milliseconds(),
			"retryMs": rs.retryAfter.Milliseconds(), "acceptLate": rq.acceptLate,
		}
	})
}

// runLocal admits the request to the local target and runs it.
func (ca *Carrier) runLocal(ctx context.Context, rq *request) *result {
	work := ca.expectedProcessingTime(rq)
	began := ca.config.Now()
	ad, rs := ca.gate.admit(ctx, rq, work)
	if rs != nil {
		rs.report = ca.gate.load()
		ca.metrics.refusedLocally.Inc(1)
		ca.logEvent(true, "refuse", rq, func() map[string]any {
			return map[string]any{
				"kind": rs.kind.String(), "detail": rs.detail, "target": rq.target,
				"waitedMs": ca.config.Now().Sub(began).Milliseconds(),
				"running":  rs.report.Running, "rank": rq.rank(),
				"expectedMs": rs.report.Waits[rq.rank()].Milliseconds(),
				"workMs":     work.Milliseconds(), "retryMs": rs.retryAfter.Milliseconds(),
				"pace": rs.report.Pace.Latest, "averagePace": rs.report.Pace.Average,
			}
		})
		return rs
	}
	started := ca.config.Now()
	rs = ca.runTarget(ctx, rq, ad)
	rs.report = ca.gate.load()
	rs.report.Calls = max(ca.expectedCalls(rq.routeName()), 0)
	if rs.outcome == retrier.Answered {
		rs.report.Took, rs.report.RunPace = ca.config.Now().Sub(started), rs.pace
	}
	return rs
}

// runTarget sends an admitted request to the target and releases its slot.
func (ca *Carrier) runTarget(ctx context.Context, rq *request, ad *admission) *result {
	if rs := ca.gate.recheckAdmission(rq, ad); rs != nil {
		ca.gate.release(ad, 0)
		return rs
	}
	na := &ca.config.Names
	began := ca.config.Now()
	left := rq.deadline.Sub(began)
	if left <= 0 {
		ca.gate.release(ad, 0)
		return refusal(answerer.DeadlineExceeded, "no time left at the target", 0)
	}
	startPace := ca.gate.pace().Pace
	ru := ca.gate.beginRun(rq, ca.observedProcessingTime(rq.routeName()))
	re, sent, err := ca.gate.pool.send(ctx, &exchange{
		id: rq.id, idHeader: na.RequestID, method: rq.method, uri: rq.uri, host: rq.host,
		header: rq.header, body: rq.body, deadline: rq.deadline.Add(responseSlack),
		beforeSend: func() { ca.gate.markSent(ad) }, lease: rq.lease,
		extra: [][2]string{
			{na.Timeout, milliseconds(left)}, {na.Expected, ad.target}, {na.Caller, rq.caller},
		},
	}, ca.config.Now)
	took := ca.config.Now().Sub(began)
	rs := ca.classify(ctx, re, sent, err)
	rs.pace = ca.recordPace(rs, re, ad, &startPace)
	calls := ca.gate.endRun(rq, ru, rs.outcome == retrier.Answered && !rs.failed())
	worked := took
	if rs.outcome != retrier.Answered {
		worked = 0
	}
	ca.gate.release(ad, worked)
	ca.recordOutcome(rq, rs, took)
	if rs.outcome == retrier.Answered {
		ca.recordCalls(rq.routeName(), float64(calls))
	}
	return rs
}

// classify converts the outcome of an exchange with the target to a result.
func (ca *Carrier) classify(ctx context.Context, re *response, sent bool, err error) *result {
	na := &ca.config.Names
	switch {
	case err != nil && !sent && ctx.Err() != nil:
		return refusal(answerer.Cancelled, err.Error(), 0)
	case err != nil && !sent:
		if errors.Is(err, errDial) {
			ca.gate.MarkUnverified()
		}
		return refusal(answerer.NoTarget, err.Error(), unverifiedRetryAfter)
	case err != nil:
		rs := &result{
			outcome: retrier.Unknown, kind: answerer.OutcomeUnknown, detail: err.Error(),
			reached: true,
		}
		switch {
		case ctx.Err() != nil:
			rs.kind = answerer.Cancelled
		case isTimeout(err):
			rs.kind = answerer.DeadlineExceeded
		default:
			rs.broken = true
		}
		return rs
	case re.status == http.StatusMisdirectedRequest:
		ca.gate.MarkUnverified()
		return &result{
			outcome: retrier.NotRun, kind: answerer.NoTarget, reached: true,
			detail: "another target answered", retryAfter: unverifiedRetryAfter,
		}
	case re.header.Get(na.NotRun) != "":
		return &result{
			outcome: retrier.NotRun, kind: answerer.Overloaded, reached: true,
			detail:     "the target refused with status " + strconv.Itoa(re.status),
			retryAfter: unverifiedRetryAfter,
		}
	case re.status < 300 && re.header.Get(na.Stamp) == "",
		len(re.header["Content-Encoding"]) > 0:
		return &result{
			outcome: retrier.Unknown, kind: answerer.OutcomeUnknown, reached: true,
			detail: "the response lacks the target's signature",
		}
	}
	return &result{outcome: retrier.Answered, response: re, reached: true}
}

func isTimeout(err error) bool {
	var te interface{ Timeout() bool }
	return errors.As(err, &te) && te.Timeout()
}

// recordOutcome records the outcome of a request at the target.
func (ca *Carrier) recordOutcome(rq *request, rs *result, took time.Duration) {
	if rs.outcome == retrier.NotRun {
		if rs.reached && rs.kind == answerer.Overloaded {
			ca.gate.recordShed()
		}
		ca.logEvent(true, "not run", rq, func() map[string]any {
			return map[string]any{"detail": rs.detail, "target": rq.target}
		})
		return
	}
	re := stager.Response{Took: took, Failed: rs.failed(), Broken: rs.broken}
	if rq.route != nil {
		re.Route, re.Objective = rq.route.Name, rq.route.Objective
	}
	if rs.outcome == retrier.Unknown {
		re.Failed = rs.kind == answerer.OutcomeUnknown
		ca.logEvent(true, "unknown", rq, func() map[string]any {
			return map[string]any{
				"kind": rs.kind.String(), "detail": rs.detail, "target": rq.target,
				"tookMs": took.Milliseconds(),
			}
		})
	} else {
		ca.metrics.targetLatency.Update(took.Microseconds())
		ca.recordProcessingTime(re.Route, took, rs.pace)
		ca.recordBytes(re.Route, len(rs.response.body))
		if rs.failed() {
			ca.logEvent(true, "target failed", rq, func() map[string]any {
				return map[string]any{
					"status": rs.response.status, "target": rq.target,
					"tookMs": took.Milliseconds(),
				}
			})
		}
	}
	re.Cancelled = rs.kind == answerer.Cancelled && rs.outcome == retrier.Unknown
	ca.gate.recordResponse(re)
}

// writeNodeResponse writes a result to the first node. The transfer is that of a
// large response and may be nil.
func (ca *Carrier) writeNodeResponse(
	ctx context.Context, w http.ResponseWriter, id string, rs *result, tr *pacer.Transfer,
) {
	header := w.Header()
	header["Date"] = nil
	header[ca.config.Names.RequestID] = []string{id}
	if rs.report != nil {
		header[headerLoad] = []string{encodeLoad(rs.report)}
	}
	if rs.outcome == retrier.Answered {
		ca.writeToNode(ctx, w, rs.response, tr)
		return
	}
	flags := ""
	switch {
	case rs.reached:
		flags = " " + flagReached
	case rs.linkFull:
		flags = " " + flagLinkFull
	}
	if rs.outcome == retrier.NotRun {
		header[headerRefused] = []string{
			rs.kind.String() + " " + milliseconds(rs.retryAfter) + flags,
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	header[headerUnknown] = []string{rs.kind.String()}
	w.WriteHeader(http.StatusBadGateway)
}
