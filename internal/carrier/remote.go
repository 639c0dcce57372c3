package carrier

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/placer"
	"github.com/guavastall/guavastall/internal/retrier"
)

// runRemote sends the request to the target's node.
func (ca *Carrier) runRemote(ctx context.Context, rq *request, ta placer.Target) *result {
	na := &ca.config.Names
	now := ca.config.Now()
	extra := [][2]string{
		{na.Timeout, milliseconds(rq.deadline.Sub(now))}, {na.Caller, rq.caller},
		{headerHop, rq.encodeHop(ta.ID, now)},
	}
	if rq.sameDataCentre {
		if text := ca.requestWarnings(ta.ID); text != "" {
			extra = append(extra, [2]string{headerWarning, text})
		}
	}
	re, sent, err := ca.pool(ta.Node).send(ctx, &exchange{
		id: rq.id, idHeader: na.RequestID, method: rq.method, uri: rq.uri, host: rq.host,
		header: rq.header, body: rq.body, deadline: rq.deadline.Add(2 * responseSlack),
		extra: extra, lease: rq.lease,
	}, ca.config.Now)
	switch {
	case err != nil && !sent:
		if ctx.Err() != nil {
			return refusal(answerer.Cancelled, err.Error(), 0)
		}
		rs := refusal(answerer.NoTarget, err.Error(), 0)
		rs.nodeFailed = true
		return rs
	case err != nil:
		rs := &result{
			outcome: retrier.Unknown, kind: answerer.OutcomeUnknown, detail: err.Error(),
			reached: true,
		}
		switch {
		case ctx.Err() != nil:
			rs.kind = answerer.Cancelled
		case isTimeout(err) && !ca.config.Now().Before(rq.deadline):
			rs.kind = answerer.DeadlineExceeded
		default:
			rs.nodeFailed = true
		}
		return rs
	}
	own, runPace := ca.applyWarnings(re.header, ca.config.Now())
	rs := decodeNodeResponse(re)
	if rs.report != nil {
		rs.report.Pace, rs.report.RunPace = own, runPace
	}
	return rs
}

// decodeNodeResponse converts the response of another node to a result.
func decodeNodeResponse(re *response) *result {
	report := decodeLoad(re.header.Get(headerLoad))
	if report != nil {
		report.Link = decodeLink(re.header.Get(headerLink))
	}
	if text := re.header.Get(headerRefused); text != "" {
		parts := strings.Split(text, " ")
		rs := refusal(answerer.Overloaded, "the target's node refused", 0)
		rs.report = report
		if ki, ok := answerer.ParseKind(parts[0]); ok {
			rs.kind = ki
		}
		if len(parts) > 1 {
			if ms, err := strconv.Atoi(parts[1]); err == nil {
				rs.retryAfter = time.Duration(ms) * time.Millisecond
			}
		}
		if len(parts) > 2 {
			rs.reached = parts[2] == flagReached
			rs.linkFull = parts[2] == flagLinkFull
		}
		return rs
	}
	if text := re.header.Get(headerUnknown); text != "" {
		rs := &result{
			outcome: retrier.Unknown, kind: answerer.OutcomeUnknown, reached: true,
			detail: "the target's node does not know the outcome", report: report,
		}
		if ki, ok := answerer.ParseKind(text); ok {
			rs.kind = ki
		}
		return rs
	}
	delete(re.header, headerLoad)
	delete(re.header, headerLink)
	return &result{outcome: retrier.Answered, response: re, reached: true, report: report}
}
