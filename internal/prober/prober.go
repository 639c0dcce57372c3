// Package prober polls the health and load endpoints of a node's local target.
// The endpoints can lag or report wrong values, so results are only hints, and
// each hint carries its age.
package prober

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/guavastall/guavastall/internal/limiter"
)

// Sink receives hints. It is implemented by *limiter.Limiter.
type Sink interface {
	Observe(limiter.Hint, time.Time)
}

// Config holds the settings of a [Prober]. Zero fields get defaults.
type Config struct {
	// Target is the address of the target. It is required.
	Target netip.AddrPort
	// Period is the mean time between probes. The default is 1 s.
	Period time.Duration
	// Jitter is the fraction, from 0 to 1, by which the time between two probes
	// varies in both directions, so that nodes do not probe in step. The default
	// is 0.2.
	Jitter float64
	// Timeout bounds a probe of both endpoints. The default is 250 ms; a probe
	// takes about 6 ms.
	Timeout time.Duration
	// Now returns the current time. The default is time.Now.
	Now func() time.Time
}

// Prober polls one target.
type Prober struct {
	config Config
	sink   Sink
	random *rand.Rand
	client *http.Client

	mu         sync.Mutex
	lastHint   limiter.Hint
	lastProbed time.Time
}

// maxLoadBytes bounds the body of a /load response.
const maxLoadBytes = 4 << 10

// New returns a prober that passes hints to the sink. It returns an error if the
// target is missing or the jitter is out of range. Only Run uses the random
// source.
func New(cf Config, si Sink, random *rand.Rand) (*Prober, error) {
	if !cf.Target.IsValid() {
		return nil, errors.New("prober: missing target address")
	}
	if cf.Jitter < 0 || cf.Jitter > 1 {
		return nil, fmt.Errorf("prober: jitter %v is not between 0 and 1", cf.Jitter)
	}
	if cf.Period == 0 {
		cf.Period = time.Second
	}
	if cf.Jitter == 0 {
		cf.Jitter = 0.2
	}
	if cf.Timeout == 0 {
		cf.Timeout = 250 * time.Millisecond
	}
	if cf.Now == nil {
		cf.Now = time.Now
	}
	return &Prober{
		config: cf, sink: si, random: random,
		// Keep a single connection because the target accepts a limited number.
		client: &http.Client{
			Transport: &http.Transport{
				MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}, nil
}

// Run polls the target until ctx is done, then returns nil.
func (pr *Prober) Run(ctx context.Context) error {
	defer pr.client.CloseIdleConnections()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		pr.Probe(ctx)
		timer.Reset(pr.nextInterval())
	}
}

// nextInterval returns the time until the next probe.
func (pr *Prober) nextInterval() time.Duration {
	spread := 1 + pr.config.Jitter*(2*pr.random.Float64()-1)
	return time.Duration(float64(pr.config.Period) * spread)
}

// Probe polls the target once and passes the hint to the sink. A target that does
// not respond within the timeout is reported as unhealthy. If ctx is done, Probe
// reports no hint.
func (pr *Prober) Probe(ctx context.Context) {
	tctx, cancel := context.WithTimeout(ctx, pr.config.Timeout)
	defer cancel()
	began := pr.config.Now()
	hint := limiter.Hint{}
	healthy, err := pr.health(tctx)
	if err == nil {
		hint.Healthy = healthy
		pr.load(tctx, &hint)
	}
	if ctx.Err() != nil {
		return
	}
	now := pr.config.Now()
	hint.Age = now.Sub(began)
	pr.mu.Lock()
	pr.lastHint, pr.lastProbed = hint, began
	pr.mu.Unlock()
	pr.sink.Observe(hint, now)
}

// Latest returns the most recent hint, with its age as of now, and whether there
// is one.
func (pr *Prober) Latest(now time.Time) (limiter.Hint, bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	hint := pr.lastHint
	hint.Age = now.Sub(pr.lastProbed)
	return hint, !pr.lastProbed.IsZero()
}

// health sends GET /health and reports whether the status is 200.
func (pr *Prober) health(ctx context.Context) (bool, error) {
	status, _, err := pr.get(ctx, "/health")
	return status == http.StatusOK, err
}

// load sends GET /load and adds the reported load to the hint. If the report is
// missing, malformed or out of range, the hint has no load.
func (pr *Prober) load(ctx context.Context, hint *limiter.Hint) {
	status, body, err := pr.get(ctx, "/load")
	if err != nil || status != http.StatusOK {
		return
	}
	hint.InFlight, hint.Slots = decodeLoad(body)
}

// decodeLoad parses the body of a /load response. Zeros mean unknown.
func decodeLoad(body []byte) (inFlight, slots int) {
	var report struct {
		InFlight int `json:"inFlight"`
		Slots    int `json:"slots"`
	}
	if json.Unmarshal(body, &report) != nil || report.InFlight < 0 || report.Slots < 0 {
		return 0, 0
	}
	return report.InFlight, report.Slots
}

func (pr *Prober) get(ctx context.Context, path string) (int, []byte, error) {
	url := "http://" + pr.config.Target.String() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := pr.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLoadBytes))
	return resp.StatusCode, body, err
}
