// Package loader generates load. It makes calls at a fixed rate, regardless of
// whether earlier ones have ended (open loop), and verifies that each response is
// complete and belongs to its request.
//
// Latency is measured from the scheduled start of a call, so that a stall adds to
// the latency of every call that it delays.
package loader

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"github.com/guavastall/guavastall/internal/targetserver"
	"github.com/guavastall/guavastall/pkg/checker"
)

// Config holds the settings of a run. Zero fields take defaults unless marked as
// required.
type Config struct {
	// Nodes holds the addresses to call in round-robin order; at least one is
	// required.
	Nodes []netip.AddrPort
	// Service is the called service; required.
	Service checker.Service
	// Method and Path are those of each call; POST and "/" by default.
	Method, Path string
	// Name is the prefix of each request ID. Concurrent runs need different names.
	Name string
	// Rate is the number of calls per second; required.
	Rate float64
	// Duration is the length of the run; required.
	Duration time.Duration
	// Timeout is the deadline of each call; 1 s by default.
	Timeout time.Duration
	// BodyBytes is the size of each request body.
	BodyBytes int
	// Keyed adds an idempotency key to each call.
	Keyed bool
	// MaxRetries is the maximum number of times that a call that did not run is
	// retried at the next node, as a caller with several addresses does.
	MaxRetries int
	// Workers bounds the calls in flight; 256 by default. A call that is due while
	// all workers are busy waits, which adds to its latency.
	Workers int
}

// Report is the result of a run.
type Report struct {
	// Due is the number of calls that were due, and Unsent the number of those not
	// sent because the run ended first.
	Due    int64 `json:"due"`
	Unsent int64 `json:"unsent"`
	// Good is the number of complete responses with a status below 500 that
	// belong to their request.
	Good int64 `json:"good"`
	// Failed is the number of answered calls with a status of 500 or above.
	Failed int64 `json:"failed"`
	// NotRun and Unknown are the numbers of calls that ended with the outcomes
	// "notRun" and "unknown", without a response of a target.
	NotRun  int64 `json:"notRun"`
	Unknown int64 `json:"unknown"`
	// Broken is the number of truncated or missing responses.
	Broken int64 `json:"broken"`
	// Mismatched is the number of responses that look complete but are damaged or
	// belong to another request.
	Mismatched int64 `json:"foreign"`
	// Overdue is the number of calls without a response 100 ms after their
	// deadline, measured from when they were sent.
	Overdue int64 `json:"overdue"`
	// Moved is the number of attempts sent to another node after "notRun".
	Moved int64 `json:"moved"`
	// Kinds counts calls by error kind, and Versions responses by target version.
	Kinds    map[string]int64 `json:"kinds"`
	Versions map[string]int64 `json:"versions"`
	// Latency holds the latencies of good calls in microseconds.
	Latency *hdrhistogram.Histogram `json:"-"`
	// P50, P99 and Max are computed from Latency.
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
	Max time.Duration `json:"max"`
}

// overdueTime is the time after its deadline from which a call counts as overdue.
const overdueTime = 100 * time.Millisecond

// Loader makes the calls of one run. Use [New].
type Loader struct {
	config   Config
	client   *http.Client
	body     []byte
	sum      string
	nextNode atomic.Uint64

	mu     sync.Mutex
	report Report
}

// New returns a loader. It returns an error if a required setting is missing.
func New(cf Config) (*Loader, error) {
	if len(cf.Nodes) == 0 || cf.Service == "" {
		return nil, errors.New("loader: nodes and service are required")
	}
	if !(cf.Rate > 0) || cf.Duration <= 0 {
		return nil, fmt.Errorf("loader: rate %v and duration %v must be above zero",
			cf.Rate, cf.Duration)
	}
	if cf.Method == "" {
		cf.Method = http.MethodPost
	}
	if cf.Path == "" {
		cf.Path = "/"
	}
	if cf.Timeout == 0 {
		cf.Timeout = time.Second
	}
	if cf.Workers == 0 {
		cf.Workers = 256
	}
	lo := &Loader{config: cf, body: bytes.Repeat([]byte{'x'}, cf.BodyBytes)}
	lo.sum = strconv.FormatUint(xxhash.Sum64(lo.body), 16)
	lo.client = &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: cf.Workers, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: cf.Timeout}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	lo.report = Report{
		Kinds: map[string]int64{}, Versions: map[string]int64{},
		Latency: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
	return lo, nil
}

// scheduledCall is a call and the time at which it is due.
type scheduledCall struct {
	number int64
	at     time.Time
}

// Run makes calls until the duration has elapsed or the context is done, waits for
// those in flight, and returns the report. It must be called only once.
func (lo *Loader) Run(ctx context.Context) *Report {
	defer lo.client.CloseIdleConnections()
	queue := make(chan scheduledCall, lo.config.Workers)
	var workers sync.WaitGroup
	for range lo.config.Workers {
		workers.Go(func() {
			for sc := range queue {
				lo.call(sc)
			}
		})
	}
	lo.schedule(ctx, queue)
	close(queue)
	workers.Wait()
	re := &lo.report
	micros := func(value int64) time.Duration { return time.Duration(value) * time.Microsecond }
	re.P50 = micros(re.Latency.ValueAtQuantile(50))
	re.P99 = micros(re.Latency.ValueAtQuantile(99))
	re.Max = micros(re.Latency.Max())
	return re
}

// schedule queues the calls when they are due. If the queue is full, a call is
// queued late but keeps its scheduled time.
func (lo *Loader) schedule(parent context.Context, queue chan<- scheduledCall) {
	ctx, cancel := context.WithTimeout(parent, lo.config.Duration)
	defer cancel()
	total := int64(lo.config.Rate * lo.config.Duration.Seconds())
	gap := float64(time.Second) / lo.config.Rate
	began := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for number := range total {
		at := began.Add(time.Duration(gap * float64(number)))
		if wait := time.Until(at); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if parent.Err() != nil {
			return // calls after a cancellation do not count as due
		}
		lo.report.Due++
		select {
		case queue <- scheduledCall{number, at}:
			continue
		default:
		}
		select {
		case queue <- scheduledCall{number, at}:
		case <-ctx.Done():
			lo.report.Unsent++
		}
	}
}

// result is the result of one attempt.
type result struct {
	outcome, kind, version   string
	good, mismatched, broken bool
	overdue                  bool
}

// call makes a call and retries it at other nodes if it did not run.
func (lo *Loader) call(sc scheduledCall) {
	id := lo.config.Name + "-" + strconv.FormatInt(sc.number, 10)
	moved := int64(0)
	re := lo.attempt(id)
	for re.outcome == "notRun" && moved < int64(lo.config.MaxRetries) {
		moved++
		re = lo.attempt(id)
	}
	latency := time.Since(sc.at)
	lo.mu.Lock()
	defer lo.mu.Unlock()
	rp := &lo.report
	rp.Moved += moved
	if re.overdue {
		rp.Overdue++
	}
	if re.kind != "" {
		rp.Kinds[re.kind]++
	}
	switch {
	case re.broken:
		rp.Broken++
	case re.mismatched:
		rp.Mismatched++
	case re.outcome == "notRun":
		rp.NotRun++
	case re.outcome != "answered":
		rp.Unknown++
	case !re.good:
		rp.Failed++
		rp.Versions[re.version]++
	default:
		rp.Good++
		rp.Versions[re.version]++
		_ = rp.Latency.RecordValue(max(1, latency.Microseconds()))
	}
}

// attempt sends the call to the next node in round-robin order.
func (lo *Loader) attempt(id string) result {
	cf := &lo.config
	node := cf.Nodes[lo.nextNode.Add(1)%uint64(len(cf.Nodes))]
	began := time.Now()
	// The node ends the call at the deadline; this timeout is for a node that is
	// down.
	ctx, cancel := context.WithTimeout(context.Background(), 2*cf.Timeout+overdueTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, cf.Method, "http://"+node.String()+cf.Path, nil)
	if err != nil {
		return result{broken: true}
	}
	if len(lo.body) > 0 {
		// Leaving GetBody unset keeps the client from retrying by itself.
		req.Body = io.NopCloser(bytes.NewReader(lo.body))
		req.ContentLength = int64(len(lo.body))
	}
	req.Host = string(cf.Service)
	req.Header.Set(targetserver.HeaderID, id)
	req.Header.Set("Guavastall-Timeout", cf.Timeout.String())
	if cf.Keyed {
		req.Header.Set("Idempotency-Key", id)
	}
	resp, err := lo.client.Do(req)
	if err != nil {
		return lo.classifyError(err, began)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	re := lo.check(resp, body, id)
	re.broken = err != nil
	re.overdue = time.Since(began) > cf.Timeout+overdueTime
	return re
}

// classifyError returns the result of an attempt without a response. If the
// connection could not be established, the call did not run.
func (lo *Loader) classifyError(err error, began time.Time) result {
	re := result{overdue: time.Since(began) > lo.config.Timeout+overdueTime}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		re.outcome, re.kind = "notRun", "refused"
		return re
	}
	re.broken = true
	return re
}

// check verifies that a response belongs to its request.
func (lo *Loader) check(resp *http.Response, body []byte, id string) result {
	head := resp.Header
	re := result{
		outcome: head.Get("Guavastall-Outcome"), kind: head.Get("Guavastall-Error"),
		version: head.Get("Guavastall-Version"),
	}
	if re.outcome != "answered" || resp.StatusCode >= http.StatusInternalServerError {
		return re
	}
	re.good = true
	want := targetserver.Body(id, len(body))
	re.mismatched = head.Get(targetserver.HeaderID) != id ||
		head.Get(targetserver.HeaderRequestSum) != lo.sum ||
		head.Get(targetserver.HeaderSum) != strconv.FormatUint(xxhash.Sum64(body), 16) ||
		!bytes.Equal(body, want)
	return re
}
