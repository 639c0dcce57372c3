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

// reply is what came of one attempt. Its body, if the outcome is Answered, is
// still to be read; finish ends it in every case.
type reply struct {
	outcome retrier.Outcome
	// err has the kind of a failure; nil if the outcome is Answered.
	err error
	// marked says that the failure was already retried below.
	marked bool
	// resp is the response of an answered attempt.
	resp *http.Response
	// report is what the response says about the node's load.
	report router.Report
	// local says that the attempt went to the own target.
	local bool
	// admitted says that the attempt holds a slot of the gate.
	admitted bool
	// late measures how late the node is for a sent call.
	late *ticker.Span

	endpoint router.Endpoint
	began    time.Time
	watch    watch
	cancel   context.CancelFunc
	// atEOF says that the connection was read to the end of the response.
	atEOF bool
	// buffer holds a small body that was read ahead; data is what is left of it.
	buffer *[copyBytes]byte
	data   []byte
}

// roundTrip sends the request and sorts the failures of the connection. It
// reports whether a response head arrived.
func (rp *reply) roundTrip(ctx context.Context, ca *call, po *pool, ho hop) bool {
	ho.to = po.address
	rp.watch.trace.GotConn = rp.watch.gotConn
	ctx = httptrace.WithClientTrace(ctx, &rp.watch.trace)
	//nolint:bodyclose // abandon closes it
	resp, err := po.RoundTrip(ca.outgoing(ctx, ho, rp.began))
	if err == nil {
		rp.resp = resp
		if resp.Body == http.NoBody {
			rp.setEOF()
		}
		return true
	}
	left := ho.id != "" && rp.watch.left()
	rp.outcome = retrier.NotRun
	if rp.watch.seal() && !left {
		rp.outcome = retrier.Unknown
	}
	switch {
	case left:
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

// framed reports whether the end of the response can be told from a broken
// connection: it has a length, chunks, or no body at all.
func framed(resp *http.Response) bool {
	if resp.ContentLength >= 0 || resp.Body == http.NoBody {
		return true
	}
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}

// fromTarget sorts the response of the target.
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

// readAhead reads a small body whole, so that a response that breaks off on
// the way counts as unknown while something can still be done about it.
func (rp *reply) readAhead(ctx context.Context) {
	size := rp.resp.ContentLength
	if rp.atEOF || size <= 0 || size > copyBytes {
		return
	}
	rp.buffer = buffers.Get().(*[copyBytes]byte)
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
	rp.setEOF()
}

// setEOF notes that the response was read to its end.
func (rp *reply) setEOF() {
	rp.atEOF = true
	rp.watch.read()
}

// maxMessageBytes bounds the error body that is read from another node.
const maxMessageBytes = 4 << 10

// fromPeer sorts the response of the target's node.
func (rp *reply) fromPeer(ctx context.Context, id string) {
	head := rp.resp.Header
	farewell := rp.resp.StatusCode == http.StatusRequestTimeout && rp.resp.Close &&
		head.Get(headerError) == answerer.Draining.String()
	if echo := head.Get(headerHop); echo != id && !farewell {
		asserter.That(echo == "", "ownResponse", "response of call %q to call %q", echo, id)
		// The connection is out of step, even if the response was read whole.
		rp.watch.seal()
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

// abandon gives up what is left of the response. The connection is not used
// again unless the response was read to its end.
func (rp *reply) abandon() {
	if rp.resp == nil {
		return
	}
	if !rp.atEOF {
		rp.watch.seal()
	}
	_ = rp.resp.Body.Close()
	if rp.buffer != nil {
		buffers.Put(rp.buffer)
		rp.buffer, rp.data = nil, nil
	}
}

// Read reads the body of the response and notes its end.
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

// ending says how an attempt ended.
type ending uint8

const (
	// complete is a whole response.
	complete ending = iota
	// broken is a failure of the target or of the way to it.
	broken
	// blameless is an end that says nothing about the target, such as a caller
	// that left.
	blameless
)

// endOf returns the ending of an attempt that brought no response to pass on.
func (rp *reply) endOf() ending {
	switch answerer.KindOf(rp.err) {
	case answerer.Cancelled, answerer.TooLarge, answerer.BadRequest,
		answerer.PlatformUnavailable, answerer.DuplicateKey:
		return blameless
	}
	return broken
}

// leave gives back the slot at the own target.
func (fw *Forwarder) leave(rp *reply, en ending) {
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
	case en == blameless:
		re.Status = limiter.Cancelled
	case en == complete && rp.resp.StatusCode < http.StatusInternalServerError &&
		rp.resp.StatusCode != http.StatusTooManyRequests:
		re.Status = limiter.OK
	case en == complete && (rp.resp.StatusCode == http.StatusServiceUnavailable ||
		rp.resp.StatusCode == http.StatusTooManyRequests):
		re.Status = limiter.Shed
	}
	fw.gate.leave(re)
}
