package carrier

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/retrier"
	"github.com/guavastall/guavastall/internal/stripper"
)

const (
	// maxRetryPart is the part of the remaining time up to which clients wait
	// before they return.
	maxRetryPart = 1.0 / 3
	// minRetryAfter and defaultRetryAfter bound what refused clients are told.
	minRetryAfter     = 50 * time.Millisecond
	defaultRetryAfter = 250 * time.Millisecond
	// closedRetry is when clients of a node that leaves may come back: it starts
	// again within a second or two.
	closedRetry = time.Second
	// retrySpread spreads the return of clients that were refused together.
	retrySpread = 0.2
)

// finish answers the client.
func (ca *Carrier) finish(w http.ResponseWriter, rq *request, vi *View, rs *result) {
	took := ca.config.Now().Sub(rq.arrived)
	served := rs.outcome == retrier.Answered && rs.response.status < 400
	ca.metrics.request(rs, served, took)
	ca.event(!served, "request", rq, func() map[string]any {
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

// retryAfter formats when a refused client may return: when room is expected,
// within the time up to which clients wait, and not all at once.
func retryAfter(wait time.Duration, rq *request, now time.Time) string {
	if wait <= 0 {
		wait = defaultRetryAfter
	}
	wait = time.Duration(float64(wait) * (1 + retrySpread*rand.Float64()))
	if !rq.deadline.IsZero() {
		wait = min(wait, time.Duration(maxRetryPart*float64(rq.deadline.Sub(now))))
	}
	wait = max(wait, minRetryAfter)
	return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
}

// reject answers a request that could not be read.
func (ca *Carrier) reject(w http.ResponseWriter, id string, err error) {
	ki := answerer.KindOf(err)
	ca.event(true, "reject", &request{id: id}, func() map[string]any {
		return map[string]any{"kind": ki.String(), "detail": err.Error()}
	})
	if id != "" {
		w.Header()[ca.config.Names.RequestID] = []string{id}
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(ki.Answer().Status)
}

// writeResponse writes a target's response.
func writeResponse(w http.ResponseWriter, re *response) {
	header := w.Header()
	hop := stripper.Of(re.header)
	for name, values := range re.header {
		if !hop.Has(name) {
			header[name] = values
		}
	}
	if header["Content-Length"] == nil && bodyAllowed(re.status) {
		header["Content-Length"] = []string{strconv.Itoa(len(re.body))}
	}
	w.WriteHeader(re.status)
	_, err := w.Write(re.body)
	if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		panic(http.ErrAbortHandler) // the client is gone
	}
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
