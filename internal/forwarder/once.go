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

// Limits of the stored keys and responses. A target with 20 slots answers about
// 75 calls/s, which is 45,000 keys in 10 minutes. The bytes are far below the
// 64 MB of a node.
const (
	maxKeys          = 50_000
	maxResponseTotal = 8 << 20
	maxResponseBytes = 64 << 10
)

var (
	errDuplicate = answerer.New(answerer.DuplicateKey,
		"a call with this idempotency key has run; its response is not at hand")
	errKeyUncertain = answerer.New(answerer.OutcomeUnknown,
		"a call with this idempotency key may have run")
	errKeysFull = answerer.New(answerer.Overloaded,
		"the node remembers as many idempotency keys as it can")
	errClaims = answerer.New(answerer.PlatformUnavailable,
		"the claim for the idempotency key could not be appended")
)

// onceStore adds locking and waiting for running calls to deduper.Store.
type onceStore struct {
	claimer Claimer
	now     func() time.Time

	mu      sync.Mutex
	store   *deduper.Store
	waiting map[string]chan struct{}
}

func newOnceStore(cl Claimer, now func() time.Time) *onceStore {
	return &onceStore{
		claimer: cl, now: now, waiting: map[string]chan struct{}{},
		store: deduper.NewStore(deduper.Config{Keys: maxKeys, Bytes: maxResponseTotal}),
	}
}

// begin decides how to handle a call. It waits while a call with the same key is
// running. The error, if the context ends first, has kind DuplicateKey.
func (on *onceStore) begin(
	ctx context.Context, ca *call, fingerprint uint64,
) (deduper.Decision, error) {
	for {
		on.mu.Lock()
		de := on.store.Begin(ca.key, fingerprint, ca.id, ca.resend, on.now())
		var ended chan struct{}
		switch de.Action {
		case deduper.Run:
			on.waiting[ca.key] = make(chan struct{})
		case deduper.Wait:
			ended = on.waiting[ca.key]
		}
		on.mu.Unlock()
		if ended == nil {
			return de, nil
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return de, errDuplicate
		}
	}
}

// end records the end of a running call and wakes the calls that wait for it.
func (on *onceStore) end(key string, report func(*deduper.Store, string, time.Time)) {
	on.mu.Lock()
	defer on.mu.Unlock()
	report(on.store, key, on.now())
	if ended := on.waiting[key]; ended != nil {
		close(ended)
		delete(on.waiting, key)
	}
}

// fingerprint returns a hash that distinguishes different requests with the same
// key.
func (ca *call) fingerprint() uint64 {
	var di xxhash.Digest
	di.Reset()
	_, _ = di.WriteString(ca.request.Method)
	_, _ = di.WriteString(" " + ca.request.URL.RequestURI() + "\n")
	_, _ = di.Write(ca.body.data)
	return di.Sum64()
}

// serveOnce handles a call with an idempotency key at the owner of the key.
func (fw *Forwarder) serveOnce(
	ctx context.Context, w http.ResponseWriter, ca *call, mode string,
) {
	if err := ca.readBody(ctx, w, maxBodyBytes); err != nil {
		fw.reject(w, ca, err)
		return
	}
	de, err := fw.once.begin(ctx, ca, ca.fingerprint())
	if err != nil {
		fw.fail(w, ca, failure{err: err, outcome: retrier.Unknown})
		return
	}
	switch de.Action {
	case deduper.Run:
		fw.runOnce(w, ca, de.Attempt, mode)
	case deduper.Replay:
		fw.replay(w, de.Response)
	case deduper.Full:
		fw.reject(w, ca, errKeysFull)
	case deduper.Uncertain:
		fw.fail(w, ca, failure{err: errKeyUncertain, outcome: retrier.Unknown})
	default:
		fw.fail(w, ca, failure{err: errDuplicate, outcome: retrier.Unknown})
	}
}

// runOnce executes the call. It continues after the caller disconnects, until the
// deadline, so that a resend gets the response instead of an unknown outcome.
func (fw *Forwarder) runOnce(w http.ResponseWriter, ca *call, attempt, mode string) {
	ctx, cancel := context.WithDeadline(
		context.WithoutCancel(ca.request.Context()), ca.deadline)
	defer cancel()
	finished := false
	finish := func(report func(*deduper.Store, string, time.Time)) {
		if !finished {
			finished = true
			fw.once.end(ca.key, report)
		}
	}
	// If the handler returns or panics on any other path, the outcome is
	// unknown.
	defer finish((*deduper.Store).Unknown)
	var claim func(context.Context) error
	if mode == checker.OnceLog {
		claim = func(ctx context.Context) error { return fw.claim(ctx, ca, attempt) }
	}
	rp := fw.attemptTarget(ctx, ca, hop{number: 1}, claim)
	if rp.outcome != retrier.Answered {
		fw.releaseSlot(rp, rp.failureEnding())
		outcome := rp.outcome
		switch {
		case answerer.KindOf(rp.err) == answerer.DuplicateKey:
			outcome = retrier.Unknown
			finish((*deduper.Store).AnsweredWithoutResponse)
		case outcome == retrier.NotRun:
			finish((*deduper.Store).NotRun)
		}
		fw.fail(w, ca, failure{err: rp.err, outcome: outcome})
		return
	}
	w.Header()[headerTargetTime] = []string{rp.targetTime.String()}
	body, err := io.ReadAll(io.LimitReader(rp, maxResponseBytes+1))
	if err != nil {
		rp.abandon()
		fw.releaseSlot(rp, broken)
		fw.fail(w, ca, failure{
			err:     answerer.Wrap(err, answerer.OutcomeUnknown, "read the target's response"),
			outcome: retrier.Unknown,
		})
		return
	}
	if len(body) > maxResponseBytes {
		finish((*deduper.Store).AnsweredWithoutResponse)
		rp.atEOF = false
		rp.resp.Body = prefixedBody{
			io.MultiReader(bytes.NewReader(body), rp.resp.Body), rp.resp.Body,
		}
		fw.relay(w, ca, rp, func(en ending) { fw.releaseSlot(rp, en) })
		return
	}
	re := fw.storedResponse(rp, body)
	rp.abandon()
	fw.releaseSlot(rp, complete)
	finish(func(st *deduper.Store, key string, now time.Time) { st.Answered(key, re, now) })
	fw.replay(w, re)
}

// prefixedBody is a body whose first part has already been read.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// claim appends the claim of a call. It returns an error unless the claim is the
// first one for the key.
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

// storedResponse returns the response in the form that is stored and replayed.
func (fw *Forwarder) storedResponse(rp *reply, body []byte) deduper.Response {
	header := http.Header{}
	copyResponseHeader(header, rp.resp.Header, true)
	header[headerOutcome] = []string{retrier.Answered.String()}
	header[headerVersion] = []string{string(fw.config.Target.Version)}
	if rp.resp.StatusCode != http.StatusNoContent {
		header["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	return deduper.Response{Status: rp.resp.StatusCode, Header: header, Body: body}
}

// replay writes a stored response.
func (fw *Forwarder) replay(w http.ResponseWriter, re deduper.Response) {
	header := w.Header()
	for name, values := range re.Header {
		header[name] = values
	}
	fw.setLoad(header)
	w.WriteHeader(re.Status)
	_, _ = w.Write(re.Body)
}
