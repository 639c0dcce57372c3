package forwarder

import (
	"bytes"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/assert"
)

// startPlainProxy starts a proxy that forwards calls with net/http alone, as the
// baseline for a node.
func startPlainProxy(tb testing.TB, to netip.AddrPort) netip.AddrPort {
	tr := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	tb.Cleanup(tr.CloseIdleConnections)
	return serve(tb, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Otherwise, the server may close the body while it is being forwarded.
		_ = http.NewResponseController(w).EnableFullDuplex()
		address := *r.URL
		address.Scheme, address.Host = "http", to.String()
		req := (&http.Request{
			Method: r.Method, URL: &address, Host: r.Host, Header: r.Header,
			Body: r.Body, ContentLength: r.ContentLength,
		}).WithContext(r.Context())
		resp, err := tr.RoundTrip(req)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = resp.Body.Close() }()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		if _, err := io.Copy(w, resp.Body); err != nil {
			tb.Errorf("bare hop: %v", err)
		}
	}))
}

// BenchmarkHops compares sequential calls through nodes with calls through plain
// net/http proxies, with a request of 512 B and a response of 1 KiB. The
// allocations include those of the caller and the target, which "direct" shows
// alone.
func BenchmarkHops(b *testing.B) {
	for _, pl := range benchTargets(b) {
		b.Run(pl.name, func(b *testing.B) { benchmarkCalls(b, pl.to, 1, 0) })
	}
}

// BenchmarkPaced makes calls at the load that the design specifies: 2,000 calls/s
// on 16 connections. Latency is measured from the time at which a call was due.
func BenchmarkPaced(b *testing.B) {
	for _, pl := range benchTargets(b) {
		b.Run(pl.name, func(b *testing.B) { benchmarkCalls(b, pl.to, 16, 2000) })
	}
}

// BenchmarkPairs makes one call to each target in turn, so that the noise of a
// shared machine affects all of them equally. Its time is that of a whole round.
func BenchmarkPairs(b *testing.B) {
	all := benchTargets(b)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	body := bytes.Repeat([]byte{'x'}, 512)
	hists := make([]*hdrhistogram.Histogram, len(all))
	for nn := range all {
		hists[nn] = hdrhistogram.New(1, int64(time.Minute), 3)
	}
	for b.Loop() {
		for nn, pl := range all {
			began := time.Now()
			resp, err := client.Do(newRequest(b, http.MethodPost, pl.to, "/confirm", "id", body))
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			_ = hists[nn].RecordValue(int64(time.Since(began)))
		}
	}
	for nn, pl := range all {
		name := strings.ReplaceAll(pl.name, " ", "-")
		b.ReportMetric(float64(hists[nn].ValueAtQuantile(50))/1e6, name+"-p50-ms")
		b.ReportMetric(float64(hists[nn].ValueAtQuantile(99))/1e6, name+"-p99-ms")
	}
}

// benchTarget is a destination of the calls in a benchmark.
type benchTarget struct {
	name string
	to   netip.AddrPort
}

func benchTargets(b *testing.B) []benchTarget {
	_, target := startTarget(b, nil)
	bareOne := startPlainProxy(b, target)
	last, first := startNode(b, options{target: target}), startNode(b, options{})
	last.setTable(nil, last.id)
	first.setTable(nil, last.id)
	return []benchTarget{
		{"direct", target},
		{"bare one", bareOne},
		{"node one", last.caller},
		{"bare two", startPlainProxy(b, bareOne)},
		{"node two", first.caller},
	}
}

// benchmarkCalls makes b.N calls on the given number of connections, at the given
// rate per second. At rate zero, each connection makes one call after the other.
func benchmarkCalls(b *testing.B, to netip.AddrPort, conns int, rate float64) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns}}
	defer client.CloseIdleConnections()
	body := bytes.Repeat([]byte{'x'}, 512)
	var mu sync.Mutex
	hist := hdrhistogram.New(1, int64(time.Minute), 3)
	var next atomic.Int64
	var open sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	start := time.Now()
	for range conns {
		open.Go(func() {
			for nn := next.Add(1); nn <= int64(b.N); nn = next.Add(1) {
				due := time.Now()
				if rate > 0 {
					due = start.Add(time.Duration(float64(nn) / rate * float64(time.Second)))
					time.Sleep(time.Until(due))
				}
				resp, err := client.Do(newRequest(b, http.MethodPost, to, "/confirm", "id", body))
				if !assert.NoError(b, err) {
					return
				}
				size, err := io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				assert.NoError(b, err)
				assert.Equal(b, int64(1024), size)
				took := int64(time.Since(due))
				mu.Lock()
				_ = hist.RecordValue(took)
				mu.Unlock()
			}
		})
	}
	open.Wait()
	b.StopTimer()
	b.ReportMetric(float64(hist.ValueAtQuantile(50))/1e6, "p50-ms")
	b.ReportMetric(float64(hist.ValueAtQuantile(99))/1e6, "p99-ms")
}
