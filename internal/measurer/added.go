package measurer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/guavastall/guavastall/internal/loader"
	"github.com/guavastall/guavastall/internal/targetserver"
	"github.com/guavastall/guavastall/pkg/checker"
)

// Path is one way from the caller to the target.
type Path struct {
	Name string         `json:"name"`
	At   netip.AddrPort `json:"-"`
	// Latency sums up the calls that were answered.
	Latency Times `json:"latency"`
	// AddedMedian and AddedP99 are the differences to the first path's quantiles.
	AddedMedian checker.Duration `json:"addedMedian"`
	AddedP99    checker.Duration `json:"addedP99"`
	// Failed counts the calls without a good answer. No path's latency counts
	// a round in which one failed. Failure is the first of them.
	Failed  int    `json:"failed"`
	Failure string `json:"failure,omitempty"`
}

// Added compares the latency of paths to the same target. Each round makes one
// call on every path, one after the other, and begins with another path than
// the round before, so that a disturbance of the machine meets all alike.
func Added(
	ctx context.Context, paths []Path, service checker.Service,
	rate float64, span time.Duration,
) ([]Path, error) {
	client := &http.Client{
		Timeout:   requestTime,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
	}
	defer client.CloseIdleConnections()
	var (
		mu   sync.Mutex
		open sync.WaitGroup
		took = make([][]time.Duration, len(paths))
	)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for round := range int(rate * span.Seconds()) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ticker.C:
		}
		open.Go(func() {
			times := make([]time.Duration, len(paths))
			errs := make([]error, len(paths))
			for nn := range paths {
				at := (round + nn) % len(paths)
				times[at], errs[at] = call(ctx, client, paths[at].At, service, round)
			}
			mu.Lock()
			defer mu.Unlock()
			if errors.Join(errs...) != nil {
				note(paths, errs)
				return
			}
			for nn := range paths {
				took[nn] = append(took[nn], times[nn])
			}
		})
	}
	open.Wait()
	for nn := range paths {
		pa, direct := &paths[nn], &paths[0]
		pa.Latency = NewTimes(took[nn])
		pa.AddedMedian = pa.Latency.Median - direct.Latency.Median
		pa.AddedP99 = pa.Latency.P99 - direct.Latency.P99
	}
	return paths, nil
}

// note counts the failures of a round.
func note(paths []Path, errs []error) {
	for nn, err := range errs {
		if err == nil {
			continue
		}
		paths[nn].Failed++
		if paths[nn].Failure == "" {
			paths[nn].Failure = err.Error()
		}
	}
}

// call makes one call and returns how long its whole response took.
func call(
	ctx context.Context, client *http.Client, at netip.AddrPort,
	service checker.Service, round int,
) (time.Duration, error) {
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+"/scan", nil)
	if err != nil {
		return 0, err
	}
	req.Host = string(service)
	req.Header.Set(targetserver.HeaderID, fmt.Sprintf("added-%d", round))
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("call at %v: status %d, error %q", at, resp.StatusCode,
			resp.Header.Get("Guavastall-Error"))
	}
	return time.Since(began), nil
}

// Load makes calls to the service through all nodes and returns the loader's
// report.
func (me *Measurer) Load(
	ctx context.Context, name string, service checker.Service, rate float64, span time.Duration,
) (*loader.Report, error) {
	cf := loader.Config{
		Service: service, Method: http.MethodGet, Path: "/scan", Name: name,
		Rate: rate, Duration: span, Timeout: time.Second, Elsewhere: 2,
	}
	for _, no := range me.deployment.Nodes {
		cf.Nodes = append(cf.Nodes, no.Callers)
	}
	lo, err := loader.New(cf)
	if err != nil {
		return nil, err
	}
	return lo.Run(ctx), nil
}
