package carrier

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/pacer"
	"github.com/guavastall/guavastall/internal/retrier"
	"github.com/guavastall/guavastall/internal/stripper"
)

const (
	// maxRetryFraction is the largest fraction of the remaining time that clients
	// wait before they retry.
	maxRetryFraction = 1.0 / 3
	// minRetryAfter is the lower bound of the Retry-After header, and
	// defaultRetryAfter its value if the wait is unknown.
	minRetryAfter     = 50 * time.Millisecond
	defaultRetryAfter = 250 * time.Millisecond
	// shutdownRetryAfter is when clients of a node that is shutting down may
	// retry. The node starts again within a second or two.
	shutdownRetryAfter = time.Second
	// retryJitter spreads the retries of clients that were refused at the same
	// time.
	retryJitter = 0.2
)

// respond writes the result to the client.
func (ca *Carrier) respond(w http.ResponseWriter, rq *request, vi *View, rs *result) {
	took := ca.config.Now().Sub(rq.arrived)
	served := rs.outcome == retrier.Answered && rs.response.status < 400
	ca.metrics.recordRequest(rs, served, took)
	ca.logEvent(!served, "request", rq, func() map[string]any {
		return requestFields(rq, vi, rs, took)
	})
	if rs.outcome == retrier.Answered {
		writeResponse(w, rs.response)
		return
	}
	header := w.Header()
	header[ca.config.Names.RequestID] = []string{rq.id}
	an := rs.kind.Answer()
	status := an.Status
	if rs.kind == answerer.DeadlineExceeded && rs.outcome == retrier.NotRun {
		status = http.StatusServiceUnavailable
	}
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", retryAfter(rs.retryAfter, rq, ca.config.Now()))
	}
	header.Set("Content-Length", "0")
	w.WriteHeader(status)
}

// retryAfter formats the Retry-After header: the time until capacity is expected,
// bounded by the time that clients wait, with jitter so that they do not all
// retry at once.
func retryAfter(wait time.Duration, rq *request, now time.Time) string {
	if wait <= 0 {
		wait = defaultRetryAfter
	}
	wait = time.Duration(float64(wait) * (1 + retryJitter*rand.Float64()))
	if !rq.deadline.IsZero() {
		wait = min(wait, time.Duration(maxRetryFraction*float64(rq.deadline.Sub(now))))
	}
	wait = max(wait, minRetryAfter)
	return formatSeconds(wait)
}

func formatSeconds(wait time.Duration) string {
	return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
}

// reject answers a request that could not be parsed.
func (ca *Carrier) reject(w http.ResponseWriter, id string, err error) {
	ki := answerer.KindOf(err)
	ca.logEvent(true, "reject", &request{id: id}, func() map[string]any {
		return map[string]any{"kind": ki.String(), "detail": err.Error()}
	})
	if id != "" {
		w.Header()[ca.config.Names.RequestID] = []string{id}
	}
	if ki.Answer().Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", formatSeconds(defaultRetryAfter))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(ki.Answer().Status)
}

// writeResponse forwards a target's response to a client.
func writeResponse(w http.ResponseWriter, re *response) {
	writeHead(w, re)
	_, err := w.Write(re.body)
	if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		panic(http.ErrAbortHandler) // the client has disconnected
	}
}

// writeToNode forwards a target's response to another node, a large one as the
// link has room.
func (ca *Carrier) writeToNode(
	ctx context.Context, w http.ResponseWriter, re *response, tr *pacer.Transfer,
) {
	if tr == nil || len(re.body) == 0 {
		ca.egress.count(len(re.body) + typicalHeadBytes)
		writeResponse(w, re)
		return
	}
	writeHead(w, re)
	err := ca.egress.write(ctx, w, re.body, tr)
	if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		panic(http.ErrAbortHandler) // the first node has disconnected
	}
}

// typicalHeadBytes is the size of the head of a response between nodes.
const typicalHeadBytes = 300

// writeHead writes the status and the header of a target's response, without the headers
// that only nodes may set.
func writeHead(w http.ResponseWriter, re *response) {
	header := w.Header()
	hop := stripper.NewHopByHop(re.header)
	for name, values := range re.header {
		if !hop.Has(name) && !isNodeHeader(name) {
			header[name] = values
		}
	}
	if header["Content-Length"] == nil && bodyAllowed(re.status) {
		header["Content-Length"] = []string{strconv.Itoa(len(re.body))}
	}
	w.WriteHeader(re.status)
}

// isNodeHeader reports whether the header of a response is from a node. A target that
// set one could claim that a request has not run, so that it would run again.
func isNodeHeader(name string) bool {
	switch name {
	case headerLoad, headerWarning, headerRefused, headerUnknown, headerLink:
		return true
	}
	return false
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
