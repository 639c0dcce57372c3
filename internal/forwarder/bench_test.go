package forwarder

import (
	"bytes"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

// bareHop passes calls on with net/http alone, as the measure for a node.
func bareHop(tb testing.TB, to netip.AddrPort) netip.AddrPort {
	tr := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	tb.Cleanup(tr.CloseIdleConnections)
	return serve(tb, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
		_, _ = io.Copy(w, resp.Body)
	}))
}

// BenchmarkHops compares calls over nodes with calls over bare net/http hops:
// 512 B up, 1 KiB down, one call after the other. The figures of allocations
// include those of caller and target, which "direct" shows alone.
func BenchmarkHops(b *testing.B) {
	_, target := startTarget(b, nil)
	bareOne := bareHop(b, target)
	last, first := startNode(b, options{target: target}), startNode(b, options{})
	last.setTable(nil, last.id)
	first.setTable(nil, last.id)
	for _, bb := range []struct {
		name string
		to   netip.AddrPort
	}{
		{"direct", target},
		{"bare one", bareOne},
		{"node one", last.caller},
		{"bare two", bareHop(b, bareOne)},
		{"node two", first.caller},
	} {
		b.Run(bb.name, func(b *testing.B) { benchmarkCalls(b, bb.to) })
	}
}

func benchmarkCalls(b *testing.B, to netip.AddrPort) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	body := bytes.Repeat([]byte{'x'}, 512)
	hist := hdrhistogram.New(1, int64(time.Minute), 3)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		began := time.Now()
		resp, err := client.Do(newRequest(b, http.MethodPost, to, "/confirm", "id", body))
		require.NoError(b, err)
		nn, err := io.Copy(io.Discard, resp.Body)
		require.NoError(b, err)
		require.NoError(b, resp.Body.Close())
		require.Equal(b, int64(1024), nn)
		_ = hist.RecordValue(int64(time.Since(began)))
	}
	b.StopTimer()
	b.ReportMetric(float64(hist.ValueAtQuantile(50))/1e6, "p50-ms")
	b.ReportMetric(float64(hist.ValueAtQuantile(99))/1e6, "p99-ms")
}
