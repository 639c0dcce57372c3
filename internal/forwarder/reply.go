package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/internal/limiter"
	"github.com/guavastall/guavastall/internal/retrier"
	"github.com/guavastall/guavastall/internal/router"
	"github.com/guavastall/guavastall/internal/ticker"
)

// reply is the result of one attempt. If the outcome is Answered, the body has
// yet to be read. Every reply must be ended with finish or releaseSlot.
type reply struct {
	outcome retrier.Outcome
	// err is the error of a failed attempt; nil if the outcome is Answered.
	err error
	// marked says that the peer has already decided on retries of the failure.
	marked bool
	// resp is the response of an answered attempt.
	resp *http.Response
	// report is the load report of the response.
	report router.Report
	// local says that the attempt went to the target of this node.
	local bool
	// admitted says that the attempt holds a slot of the admission.
	admitted bool
	// late measures the scheduling delay of this node during the attempt.
	late *ticker.Span

	// targetTime is how long the target took to respond, without the wait for
	// admission, the way between the nodes and the scheduling delay of the
	// target's node. It ends when the header, and a small body, has been read,
	// which is at respondedAt. Both are zero if they are unknown.
	targetTime  time.Duration
	respondedAt time.Time

	endpoint router.Endpoint
	began    time.Time
	tracker  connTracker
	cancel   context.CancelFunc
	// atEOF says that the connection was read to the end of the response.
	atEOF bool
	// readAheadDone says that the complete response was read before it was
	// forwarded.
	readAheadDone bool
	// buffer holds a small body that was read ahead; data is its unread part.
	buffer *[copyBufferSize]byte
	data   []byte
}

// roundTrip sends the request and classifies connection errors. It reports
// whether a response header was received.
func (rp *reply) roundTrip(ctx context.Context, ca *call, po *pool, ho hop) bool {
	ho.to = po.address
	rp.tracker.trace.GotConn = rp.tracker.gotConn
	ctx = httptrace.WithClientTrace(ctx, &rp.tracker.trace)
	//nolint:bodyclose // abandon closes it
	resp, err := po.RoundTrip(ca.outgoing(ctx, ho, rp.began))
	if err == nil {
		rp.resp = resp
		if resp.Body == http.NoBody {
			rp.setEOF()
		}
		return true
	}
	peerClosed := ho.id != "" && rp.tracker.peerClosed()
	rp.outcome = retrier.NotRun
	if rp.tracker.end() && !peerClosed {
		rp.outcome = retrier.Unknown
	}
	switch {
	case peerClosed:
		rp.err = answerer.Wrap(err, answerer.Draining, "call "+ho.to)
	case ca.body.stream != nil && ca.body.stream.over.Load():
		rp.err = errTooLarge
	case ended(ctx):
		rp.err = contextError(ctx)
	case rp.outcome == retrier.NotRun:
		rp.err = answerer.Wrap(err, answerer.NoTarget, "connect to "+ho.to)
	default:
		rp.err = answerer.Wrap(err, answerer.OutcomeUnknown, "call "+ho.to)
	}
	return false
}

// framed reports whether the end of the response can be distinguished from a
// broken connection: it has a length, is chunked, or has no body.
func framed(resp *http.Response) bool {
	if resp.ContentLength >= 0 || resp.Body == http.NoBody {
		return true
	}
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}

// fromTarget classifies the response of the target.
func (rp *reply) fromTarget(ctx context.Context) {
	if rp.resp.StatusCode < http.StatusOK || !framed(rp.resp) {
		rp.abandon()
		rp.outcome = retrier.Unknown
		rp.err = answerer.New(answerer.OutcomeUnknown,
			"the target's response has no length or chunks, so its end cannot be told")
		return
	}
	rp.outcome = retrier.Answered
	rp.readAhead(ctx)
}

// readAhead reads a small body completely, so that a truncated response is
// detected while the attempt can still be retried or reported as unknown.
func (rp *reply) readAhead(ctx context.Context) {
	size := rp.resp.ContentLength
	rp.readAheadDone = rp.atEOF
	if rp.atEOF || size <= 0 || size > copyBufferSize {
		return
	}
	rp.buffer = buffers.Get().(*[copyBufferSize]byte)
	rp.data = rp.buffer[:size]
	if _, err := io.ReadFull(rp.resp.Body, rp.data); err != nil {
		rp.outcome = retrier.Unknown
		rp.err = answerer.Wrap(err, answerer.OutcomeUnknown, "read the response")
		if ended(ctx) {
			rp.err = contextError(ctx)
		}
		rp.abandon()
		return
	}
	rp.readAheadDone = true
	rp.setEOF()
}

// setEOF records that the response was read to its end.
func (rp *reply) setEOF() {
	rp.atEOF = true
	rp.tracker.responseRead()
}

// maxMessageBytes is the maximum size of an error body read from another node.
const maxMessageBytes = 4 << 10

// fromPeer classifies the response of the target's node.
func (rp *reply) fromPeer(ctx context.Context, id string, now func() time.Time) {
	head := rp.resp.Header
	closeNotice := rp.resp.StatusCode == http.StatusRequestTimeout && rp.resp.Close &&
		head.Get(headerError) == answerer.Draining.String()
	if echo := head.Get(headerHop); echo != id && !closeNotice {
		asserter.That(echo == "", "ownResponse", "response of call %q to call %q", echo, id)
		// The connection must not be reused, even if the response was read
		// completely, because responses no longer match their calls.
		rp.tracker.end()
		rp.abandon()
		rp.outcome = retrier.Unknown
		rp.err = answerer.New(answerer.OutcomeUnknown,
			"the peer's response does not belong to the call")
		return
	}
	parseLoad(head.Get(headerLoad), &rp.report)
	rp.outcome = retrier.ParseOutcome(head.Get(headerOutcome))
	if rp.outcome == retrier.Answered {
		if rp.resp.StatusCode >= http.StatusOK && framed(rp.resp) {
			rp.readAhead(ctx)
			rp.parseTargetTime(head.Get(headerTargetTime), now())
			return
		}
		rp.abandon()
		rp.outcome = retrier.Unknown
		rp.err = answerer.New(answerer.OutcomeUnknown, "the peer's response is not framed")
		return
	}
	ki, known := answerer.ParseKind(head.Get(headerError))
	if !known {
		ki = answerer.OutcomeUnknown
	}
	rp.marked = head.Get(headerRetried) == "true"
	rp.report.Rejected = ki == answerer.Overloaded || ki == answerer.Draining
	rp.err = answerer.New(ki, readMessage(rp))
	rp.abandon()
}

// abandon discards the rest of the response. The connection is not reused unless
// the response was read to its end.
func (rp *reply) abandon() {
	if rp.resp == nil {
		return
	}
	if !rp.atEOF {
		rp.tracker.end()
	}
	_ = rp.resp.Body.Close()
	if rp.buffer != nil {
		buffers.Put(rp.buffer)
		rp.buffer, rp.data = nil, nil
	}
}

// Read reads the body of the response and records its end.
func (rp *reply) Read(data []byte) (int, error) {
	if rp.buffer != nil {
		nn := copy(data, rp.data)
		rp.data = rp.data[nn:]
		if nn == 0 {
			return 0, io.EOF
		}
		return nn, nil
	}
	nn, err := rp.resp.Body.Read(data)
	if err == io.EOF {
		rp.setEOF()
	}
	return nn, err
}

// setTargetTime records how long the target of this node took to respond.
func (rp *reply) setTargetTime(now time.Time) {
	rp.targetTime = max(now.Sub(rp.began)-rp.late.Delay(now), 0)
	rp.respondedAt = now
}

// parseTargetTime reads the target's time from the response of its node. It
// ignores a header that is missing or malformed.
func (rp *reply) parseTargetTime(text string, now time.Time) {
	taken, err := time.ParseDuration(text)
	if err != nil || taken < 0 {
		return
	}
	rp.targetTime, rp.respondedAt = taken, now
}

// processingTime returns how long the target took for the complete response, as
// far as it is known. Versions are compared by it: calls to one version may reach
// local targets while those to the other cross to another node and wait there.
func (rp *reply) processingTime(now time.Time) time.Duration {
	switch {
	case rp.respondedAt.IsZero():
		return now.Sub(rp.began)
	case rp.readAheadDone:
		return rp.targetTime
	}
	return rp.targetTime + now.Sub(rp.respondedAt)
}

// ending classifies how an attempt ended.
type ending uint8

const (
	// complete is a complete response.
	complete ending = iota
	// broken is a failure of the target or of the connection to it.
	broken
	// neutral is an end that is not attributable to the target, such as a
	// disconnect of the caller.
	neutral
)

// failureEnding returns the ending of an attempt without a response to forward.
func (rp *reply) failureEnding() ending {
	switch answerer.KindOf(rp.err) {
	case answerer.Cancelled, answerer.TooLarge, answerer.BadRequest,
		answerer.PlatformUnavailable, answerer.DuplicateKey:
		return neutral
	}
	return broken
}

// releaseSlot releases the slot at the target of this node, if the attempt holds
// one, and reports the result to the limiter.
func (fw *Forwarder) releaseSlot(rp *reply, en ending) {
	if !rp.admitted {
		return
	}
	rp.admitted = false
	now := fw.config.Now()
	re := limiter.Result{Latency: now.Sub(rp.began), Status: limiter.Failed}
	if rp.late != nil {
		re.Late = rp.late.End(now)
	}
	switch {
	case en == neutral:
		re.Status = limiter.Cancelled
	case en == complete && rp.resp.StatusCode < http.StatusInternalServerError &&
		rp.resp.StatusCode != http.StatusTooManyRequests:
		re.Status = limiter.OK
	case en == complete && (rp.resp.StatusCode == http.StatusServiceUnavailable ||
		rp.resp.StatusCode == http.StatusTooManyRequests):
		re.Status = limiter.Shed
	}
	fw.admission.release(re)
}
