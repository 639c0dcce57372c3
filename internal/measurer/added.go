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

// Path is a path from the caller to the target and its measured latency.
type Path struct {
	Name string         `json:"name"`
	At   netip.AddrPort `json:"-"`
	// Latency summarises the calls of the rounds in which every call succeeded.
	Latency Times `json:"latency"`
	// AddedMedian and AddedP99 are the differences from the quantiles of the first
	// path.
	AddedMedian checker.Duration `json:"addedMedian"`
	AddedP99    checker.Duration `json:"addedP99"`
	// Failed counts the failed calls, and Failure is the first error. A round with a
	// failed call is excluded from the latency of all paths.
	Failed  int    `json:"failed"`
	Failure string `json:"failure,omitempty"`
}

// CompareLatency compares the latency of paths to the same target. Each round makes
// one call over every path, sequentially. The first path rotates from round to
// round, so that disturbances of the machine affect all paths equally.
func CompareLatency(
	ctx context.Context, paths []Path, service checker.Service,
	rate float64, span time.Duration,
) ([]Path, error) {
	client := &http.Client{
		Timeout:   requestTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
	}
	defer client.CloseIdleConnections()
	var (
		mu        sync.Mutex
		wg        sync.WaitGroup
		latencies = make([][]time.Duration, len(paths))
	)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for round := range int(rate * span.Seconds()) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ticker.C:
		}
		wg.Go(func() {
			times := make([]time.Duration, len(paths))
			errs := make([]error, len(paths))
			for nn := range paths {
				at := (round + nn) % len(paths)
				times[at], errs[at] = call(ctx, client, paths[at].At, service, round)
			}
			mu.Lock()
			defer mu.Unlock()
			if errors.Join(errs...) != nil {
				countFailures(paths, errs)
				return
			}
			for nn := range paths {
				latencies[nn] = append(latencies[nn], times[nn])
			}
		})
	}
	wg.Wait()
	for nn := range paths {
		pa, direct := &paths[nn], &paths[0]
		pa.Latency = NewTimes(latencies[nn])
		pa.AddedMedian = pa.Latency.Median - direct.Latency.Median
		pa.AddedP99 = pa.Latency.P99 - direct.Latency.P99
	}
	return paths, nil
}

// countFailures adds the failures of a round to the paths.
func countFailures(paths []Path, errs []error) {
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

// call makes one call and returns the time until its response was read completely.
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
		Rate: rate, Duration: span, Timeout: time.Second, MaxRetries: 2,
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
