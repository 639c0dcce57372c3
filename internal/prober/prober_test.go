package prober

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/limiter"
)

// sink records the hints it receives.
type sink struct {
	mu    sync.Mutex
	hints []limiter.Hint
}

func (si *sink) Observe(hint limiter.Hint, _ time.Time) {
	si.mu.Lock()
	defer si.mu.Unlock()
	si.hints = append(si.hints, hint)
}

func (si *sink) count() int {
	si.mu.Lock()
	defer si.mu.Unlock()
	return len(si.hints)
}

func serve(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	sv := httptest.NewServer(handler)
	t.Cleanup(sv.Close)
	return netip.MustParseAddrPort(sv.Listener.Addr().String())
}

// ticking returns a clock that advances by 3 ms on each call.
func ticking() func() time.Time {
	now := time.Unix(1000, 0)
	return func() time.Time {
		now = now.Add(3 * time.Millisecond)
		return now
	}
}

// Guards against misread reports: an error status taken as healthy, a malformed
// load taken as valid, or a hint without its age.
func TestProbe(t *testing.T) {
	for _, tt := range []struct {
		name   string
		health int
		load   string
		want   limiter.Hint
	}{
		{"valid", 200, `{"inFlight":3,"slots":20}`, limiter.Hint{Healthy: true, InFlight: 3, Slots: 20}},
		{"unhealthy", 503, `{"inFlight":3,"slots":20}`, limiter.Hint{InFlight: 3, Slots: 20}},
		{"redirect", 302, `{}`, limiter.Hint{}},
		{"malformed", 200, `{"inFlight":"3"}`, limiter.Hint{Healthy: true}},
		{"negative", 200, `{"inFlight":-3,"slots":20}`, limiter.Hint{Healthy: true}},
		{"oversized", 200, `{"inFlight":1,"slots":2` + string(make([]byte, 1<<20)), limiter.Hint{Healthy: true}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			address := serve(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/health" {
					w.Header().Set("Location", "/elsewhere")
					w.WriteHeader(tt.health)
					return
				}
				_, _ = io.WriteString(w, tt.load)
			})
			si := &sink{}
			pr, err := New(Config{Target: address, Now: ticking(), Timeout: 10 * time.Second}, si, nil)
			require.NoError(t, err)
			pr.Probe(context.Background())
			tt.want.Age = 3 * time.Millisecond
			require.Equal(t, []limiter.Hint{tt.want}, si.hints)
		})
	}
}

// Guards against an unresponsive target blocking the prober or counting as
// healthy, and against hints after the context is done.
func TestProbeWithoutAnswer(t *testing.T) {
	address := serve(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	si := &sink{}
	pr, err := New(Config{Target: address, Timeout: 20 * time.Millisecond}, si, nil)
	require.NoError(t, err)
	_, ok := pr.Latest(time.Now())
	require.False(t, ok)
	pr.Probe(context.Background())
	require.Len(t, si.hints, 1)
	require.False(t, si.hints[0].Healthy)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	pr.Probe(ctx)
	require.Len(t, si.hints, 1)
	hint, ok := pr.Latest(time.Now().Add(time.Hour))
	require.True(t, ok)
	require.GreaterOrEqual(t, hint.Age, time.Hour)
}

// Guards against a prober that stops on its own or keeps running after its
// context is done.
func TestRun(t *testing.T) {
	address := serve(t, func(http.ResponseWriter, *http.Request) {})
	si := &sink{}
	pr, err := New(Config{Target: address, Period: time.Millisecond}, si, rand.New(rand.NewPCG(1, 2)))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- pr.Run(ctx) }()
	require.Eventually(t, func() bool { return si.count() >= 3 }, 10*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, <-done)
}

// Guards against nodes probing in step and against intervals outside the jitter
// range.
func TestNextInterval(t *testing.T) {
	pr, err := New(Config{Target: netip.MustParseAddrPort("127.0.0.1:1")}, nil, rand.New(rand.NewPCG(1, 2)))
	require.NoError(t, err)
	seen := map[time.Duration]bool{}
	for range 1000 {
		pause := pr.nextInterval()
		require.GreaterOrEqual(t, pause, 800*time.Millisecond)
		require.LessOrEqual(t, pause, 1200*time.Millisecond)
		seen[pause] = true
	}
	require.Greater(t, len(seen), 900)
	_, err = New(Config{}, nil, nil)
	require.Error(t, err)
	_, err = New(Config{Target: netip.MustParseAddrPort("127.0.0.1:1"), Jitter: 2}, nil, nil)
	require.ErrorContains(t, err, "jitter 2")
}

// Guards against a panic or a negative load on malformed input.
func FuzzDecodeLoad(f *testing.F) {
	f.Add([]byte(`{"inFlight":3,"slots":20}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		inFlight, slots := decodeLoad(body)
		require.GreaterOrEqual(t, min(inFlight, slots), 0)
	})
}
