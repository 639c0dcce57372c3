// Package prober polls the health and load endpoints of the target next to a
// node. What it learns are hints: the endpoints lag or mislead, so each hint
// says how old it is.
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

// Sink takes hints; *limiter.Limiter is one.
type Sink interface {
	Observe(limiter.Hint, time.Time)
}

// Config holds the settings of a [Prober]. Zero fields get defaults.
type Config struct {
	// Target is the address of the target; required.
	Target netip.AddrPort
	// Period is the mean time between probes; 1 s by default.
	Period time.Duration
	// Jitter is the share, 0 to 1, by which the time between two probes varies
	// both ways, so that nodes do not probe in step; 0.2 by default.
	Jitter float64
	// Timeout bounds a probe of both endpoints; 250 ms by default. A probe
	// takes about 6 ms.
	Timeout time.Duration
	// Now returns the current time; time.Now by default.
	Now func() time.Time
}

// Prober polls one target.
type Prober struct {
	config Config
	sink   Sink
	random *rand.Rand
	client *http.Client

	mu    sync.Mutex
	last  limiter.Hint
	taken time.Time
}

// maxLoadBytes bounds the body of /load.
const maxLoadBytes = 4 << 10

// New returns a prober that passes hints to the sink. It fails if the target
// is missing or the jitter is not a share. The random source is used by Run
// alone.
func New(cf Config, si Sink, random *rand.Rand) (*Prober, error) {
	if !cf.Target.IsValid() {
		return nil, errors.New("prober: no address of the target")
	}
	if cf.Jitter < 0 || cf.Jitter > 1 {
		return nil, fmt.Errorf("prober: jitter %v is not a share from 0 to 1", cf.Jitter)
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
		// One connection is kept; the target accepts a limited number.
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

// Run polls until the context ends. It returns nil then.
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
		timer.Reset(pr.pause())
	}
}

// pause returns the time until the next probe.
func (pr *Prober) pause() time.Duration {
	spread := 1 + pr.config.Jitter*(2*pr.random.Float64()-1)
	return time.Duration(float64(pr.config.Period) * spread)
}

// Probe asks the target once and passes the hint on. A target that does not
// answer in time is reported unhealthy. A probe that ends with the context
// gives no hint.
func (pr *Prober) Probe(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, pr.config.Timeout)
	defer cancel()
	asked := pr.config.Now()
	hint := limiter.Hint{}
	healthy, err := pr.health(limited)
	if err == nil {
		hint.Healthy = healthy
		pr.load(limited, &hint)
	}
	if ctx.Err() != nil {
		return
	}
	now := pr.config.Now()
	hint.Age = now.Sub(asked)
	pr.mu.Lock()
	pr.last, pr.taken = hint, asked
	pr.mu.Unlock()
	pr.sink.Observe(hint, now)
}

// Latest returns the last hint with its age at the time, and whether there is
// one.
func (pr *Prober) Latest(now time.Time) (limiter.Hint, bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	hint := pr.last
	hint.Age = now.Sub(pr.taken)
	return hint, !pr.taken.IsZero()
}

// health asks GET /health.
func (pr *Prober) health(ctx context.Context) (bool, error) {
	status, _, err := pr.get(ctx, "/health")
	return status == http.StatusOK, err
}

// load asks GET /load and adds what it reports. A report that is missing,
// malformed or impossible leaves the hint without a load.
func (pr *Prober) load(ctx context.Context, hint *limiter.Hint) {
	status, body, err := pr.get(ctx, "/load")
	if err != nil || status != http.StatusOK {
		return
	}
	hint.InFlight, hint.Slots = decodeLoad(body)
}

// decodeLoad reads the body of /load; zeros mean unknown.
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
