package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/deduper"
	"github.com/guavastall/guavastall/internal/retrier"
	"github.com/guavastall/guavastall/pkg/checker"
)

// Bounds of the memory for keys. A target of 20 slots answers some 75 calls/s,
// which is 45,000 keys in 10 minutes; the bytes stay far below the 64 MB of a
// node.
const (
	maxKeys          = 50_000
	maxResponseTotal = 8 << 20
	maxResponseBytes = 64 << 10
)

var (
	errDuplicate = answerer.New(answerer.DuplicateKey,
		"a call with this idempotency key has run; its response is not at hand")
	errKeyDoubt = answerer.New(answerer.OutcomeUnknown,
		"a call with this idempotency key may have run")
	errKeysFull = answerer.New(answerer.Overloaded,
		"the node remembers as many idempotency keys as it can")
	errClaims = answerer.New(answerer.PlatformUnavailable,
		"the claim for the idempotency key could not be appended")
)

// once is the shell of the deduper: it adds the lock and the waiting.
type once struct {
	claimer Claimer
	now     func() time.Time

	mu      sync.Mutex
	store   *deduper.Store
	waiting map[string]chan struct{}
}

func newOnce(cl Claimer, now func() time.Time) *once {
	return &once{
		claimer: cl, now: now, waiting: map[string]chan struct{}{},
		store: deduper.NewStore(deduper.Config{Keys: maxKeys, Bytes: maxResponseTotal}),
	}
}

// begin decides on a call; it waits while the key runs. The error for a wait
// that ended without a decision is of kind DuplicateKey.
func (on *once) begin(ctx context.Context, ca *call, fingerprint uint64) (deduper.Decision, error) {
	for {
		on.mu.Lock()
		ve := on.store.Begin(ca.key, fingerprint, ca.id, ca.resend, on.now())
		var ended chan struct{}
		switch ve.Action {
		case deduper.Run:
			on.waiting[ca.key] = make(chan struct{})
		case deduper.Wait:
			ended = on.waiting[ca.key]
		}
		on.mu.Unlock()
		if ended == nil {
			return ve, nil
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return ve, errDuplicate
		}
	}
}

// end reports the end of a call that ran, and wakes those that wait for it.
func (on *once) end(key string, report func(*deduper.Store, string, time.Time)) {
	on.mu.Lock()
	defer on.mu.Unlock()
	report(on.store, key, on.now())
	if ended := on.waiting[key]; ended != nil {
		close(ended)
		delete(on.waiting, key)
	}
}

// fingerprint tells different requests with one key apart.
func (ca *call) fingerprint() uint64 {
	var di xxhash.Digest
	di.Reset()
	_, _ = di.WriteString(ca.request.Method)
	_, _ = di.WriteString(" " + ca.request.URL.RequestURI() + "\n")
	_, _ = di.Write(ca.body.data)
	return di.Sum64()
}

// serveOnce serves a call with an idempotency key at the key's owner.
func (fw *Forwarder) serveOnce(
	ctx context.Context, w http.ResponseWriter, ca *call, mode string,
) {
	if err := ca.readBody(ctx, w, maxBodyBytes); err != nil {
		fw.reject(w, ca, err)
		return
	}
	ve, err := fw.once.begin(ctx, ca, ca.fingerprint())
	if err != nil {
		fw.fail(w, ca, failure{err: err, outcome: retrier.Unknown})
		return
	}
	switch ve.Action {
	case deduper.Run:
		fw.runOnce(w, ca, ve.Attempt, mode)
	case deduper.Replay:
		fw.replay(w, ve.Response)
	case deduper.Full:
		fw.reject(w, ca, errKeysFull)
	case deduper.Uncertain:
		fw.fail(w, ca, failure{err: errKeyDoubt, outcome: retrier.Unknown})
	default:
		fw.fail(w, ca, failure{err: errDuplicate, outcome: retrier.Unknown})
	}
}

// runOnce runs the call. It goes on when the caller leaves, until its deadline,
// so that a resend finds the response instead of an unknown outcome.
func (fw *Forwarder) runOnce(w http.ResponseWriter, ca *call, attempt, mode string) {
	ctx, cancel := context.WithDeadline(
		context.WithoutCancel(ca.request.Context()), ca.deadline)
	defer cancel()
	settled := false
	settle := func(report func(*deduper.Store, string, time.Time)) {
		if !settled {
			settled = true
			fw.once.end(ca.key, report)
		}
	}
	// A handler that ends in any other way leaves the outcome unknown.
	defer settle((*deduper.Store).Unknown)
	var claim func(context.Context) error
	if mode == checker.OnceLog {
		claim = func(ctx context.Context) error { return fw.claim(ctx, ca, attempt) }
	}
	rp := fw.attemptTarget(ctx, ca, hop{number: 1}, claim)
	if rp.outcome != retrier.Answered {
		fw.leave(rp, rp.endOf())
		outcome := rp.outcome
		switch {
		case answerer.KindOf(rp.err) == answerer.DuplicateKey:
			outcome = retrier.Unknown
			settle((*deduper.Store).AnsweredWithoutResponse)
		case outcome == retrier.NotRun:
			settle((*deduper.Store).NotRun)
		}
		fw.fail(w, ca, failure{err: rp.err, outcome: outcome})
		return
	}
	body, err := io.ReadAll(io.LimitReader(rp, maxResponseBytes+1))
	if err != nil {
		rp.abandon()
		fw.leave(rp, broken)
		fw.fail(w, ca, failure{
			err:     answerer.Wrap(err, answerer.OutcomeUnknown, "read the target's response"),
			outcome: retrier.Unknown,
		})
		return
	}
	if len(body) > maxResponseBytes {
		settle((*deduper.Store).AnsweredWithoutResponse)
		rp.atEOF = false
		rp.resp.Body = prefixed{io.MultiReader(bytes.NewReader(body), rp.resp.Body), rp.resp.Body}
		fw.relay(w, ca, rp, func(en ending) { fw.leave(rp, en) })
		return
	}
	re := fw.remember(rp, body)
	rp.abandon()
	fw.leave(rp, complete)
	settle(func(st *deduper.Store, key string, now time.Time) { st.Answered(key, re, now) })
	fw.replay(w, re)
}

// prefixed is a body of which the first part was read before.
type prefixed struct {
	io.Reader
	io.Closer
}

// claim appends the claim of a call. Unless its claim is the first, the call
// does not run.
func (fw *Forwarder) claim(ctx context.Context, ca *call, attempt string) error {
	if fw.parts.Claimer == nil {
		return errClaims
	}
	first, err := fw.parts.Claimer.Claim(ctx, ca.service, ca.key, attempt)
	if err != nil {
		return answerer.Wrap(err, answerer.PlatformUnavailable, "claim the idempotency key")
	}
	if !first {
		return errDuplicate
	}
	return nil
}

// remember returns the response in the form that resends get.
func (fw *Forwarder) remember(rp *reply, body []byte) deduper.Response {
	header := http.Header{}
	copyResponseHeader(header, rp.resp.Header, true)
	header[headerOutcome] = []string{retrier.Answered.String()}
	header[headerVersion] = []string{string(fw.config.Target.Version)}
	if rp.resp.StatusCode != http.StatusNoContent {
		header["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	return deduper.Response{Status: rp.resp.StatusCode, Header: header, Body: body}
}

// replay writes a remembered response.
func (fw *Forwarder) replay(w http.ResponseWriter, re deduper.Response) {
	header := w.Header()
	for name, values := range re.Header {
		header[name] = values
	}
	fw.setLoad(header)
	w.WriteHeader(re.Status)
	_, _ = w.Write(re.Body)
}
