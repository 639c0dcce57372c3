package carrier

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/matcher"
	"github.com/guavastall/guavastall/internal/placer"
)

// Clients that retry after a refusal have less time left than usual. Neither they
// nor single clients with timeouts of hours may change the estimate of the usual
// timeout.
func TestUsualTimeout(t *testing.T) {
	const full, back = 1500 * time.Millisecond, 1000 * time.Millisecond
	usual := time.Duration(0)
	for nn := range 2000 {
		left := full
		switch {
		case nn%100 == 50:
			left = 24 * time.Hour
		case nn%3 == 0:
			left = back
		}
		usual = stepQuantile(usual, left)
		if nn < 10 {
			continue
		}
		assert.Less(t, float64(back), returningFraction*float64(usual), "request %d", nn)
		assert.GreaterOrEqual(t, float64(full), returningFraction*float64(usual), "request %d", nn)
	}
}

// The estimate follows a change of clients' timeouts.
func TestUsualTimeoutFollowsChange(t *testing.T) {
	usual := 1500 * time.Millisecond
	for range 500 {
		usual = stepQuantile(usual, 600*time.Millisecond)
	}
	assert.Equal(t, 600*time.Millisecond, usual)
	for range 500 {
		usual = stepQuantile(usual, 1500*time.Millisecond)
	}
	assert.Equal(t, 1500*time.Millisecond, usual)
}

// An unreachable node stays unreachable when the view changes, even if its target
// is not in use. Otherwise the failed reader of a data centre is asked again
// after every change.
func TestViewKeepsUnreachableNodes(t *testing.T) {
	dead := netip.MustParseAddrPort("127.0.0.1:9")
	ca := New(Config{Now: time.Now}, openGate(), nil, metrics.NewRegistry())
	ca.SetView(&View{Nodes: []netip.AddrPort{dead}})
	ca.RecordProbe(dead, false)
	ca.SetView(&View{Nodes: []netip.AddrPort{dead}})
	assert.False(t, ca.Reachable(dead))
	ca.SetView(&View{})
	assert.True(t, ca.Reachable(dead), "a removed node is forgotten")
}

// The averages of removed routes are dropped, so that memory does not grow with
// every configuration.
func TestRoutesForgotten(t *testing.T) {
	ca := New(Config{Now: time.Now}, openGate(), nil, metrics.NewRegistry())
	config := func(name string) *View {
		return &View{Config: &matcher.Config{Routes: []*matcher.Route{{Name: name}}}}
	}
	ca.SetView(config("old"))
	ca.usualTimeout("old", time.Second)
	ca.recordProcessingTime("old", time.Second, 1)
	ca.recordCalls("old", 2)
	ca.SetView(config("old"))
	assert.Equal(t, 2.0, ca.expectedCalls("old"))
	ca.SetView(config("new"))
	assert.Negative(t, ca.expectedCalls("old"))
	assert.Empty(t, ca.usualTimeouts)
	assert.Empty(t, ca.processingTimes)
	assert.Empty(t, ca.usualTimes)
}

// After a restart no processing time is known. A request that could only start
// late is refused rather than run past its objective.
func TestExpectedProcessingTimeBeforeSamples(t *testing.T) {
	ca := New(Config{Now: time.Now}, openGate(), nil, metrics.NewRegistry())
	rq := &request{route: &matcher.Route{Name: "scan", Objective: 800 * time.Millisecond}}
	assert.Equal(t, 400*time.Millisecond, ca.expectedProcessingTime(rq))
	ca.recordProcessingTime("scan", 300*time.Millisecond, 0)
	assert.Equal(t, 300*time.Millisecond, ca.expectedProcessingTime(rq))
	assert.Zero(t, ca.expectedProcessingTime(&request{}))
}

func TestWarningsRoundTrip(t *testing.T) {
	all := []placer.Warning{
		{Target: "a", Age: 20 * time.Millisecond, Report: placer.Report{Slots: 9, Slowness: 4.5}},
		{Target: "b", Report: placer.Report{Slots: 18, FailureShare: 0.5, Running: 3}},
	}
	decode := func(text string) (found []placer.Warning) {
		for part := range strings.SplitSeq(text, ";") {
			target, rest, _ := strings.Cut(part, " ")
			if wa, ok := decodeWarning(target, rest); ok {
				found = append(found, wa)
			}
		}
		return found
	}
	assert.Equal(t, all, decode(string(appendWarnings(nil, all, ""))))
	assert.Equal(t, all[1:], decode(string(appendWarnings(nil, all, "a"))))
	assert.Empty(t, decode("a 1;; b x 1 2 3;c -1 "+encodeLoad(&placer.Report{})))
	assert.Empty(t, decode("a p120 130 5"), "nodes without paces skip them")
}

// Guards against a request that runs beside an earlier one because its route is
// idempotent, and is handled by a later configuration in which the route is not.
func TestConcurrentRequestKeepsView(t *testing.T) {
	ca := New(Config{Now: time.Now}, openGate(), nil, metrics.NewRegistry())
	view := func(kind matcher.Kind) *View {
		cf := &matcher.Config{
			Version:  1,
			Services: map[string]*matcher.Service{"desk": {Name: "desk", HealthPath: "/health"}},
			Routes: []*matcher.Route{{
				Name: "r", Host: "h", Prefix: "/", Kind: kind, Attempts: 1, Timeout: time.Second,
				Parts: []matcher.Part{{Service: "desk", Weight: 1}},
			}},
		}
		require.NoError(t, cf.Check())
		return &View{Config: cf}
	}
	request := func() *http.Request { return httptest.NewRequest(http.MethodGet, "http://h/a", nil) }
	idempotent, other := view(matcher.Idempotent), view(matcher.NonIdempotent)
	first, second := request(), request()
	assert.False(t, ca.MayRunConcurrently(first), "no configuration yet")
	first.RequestURI, second.RequestURI = "/a", "/a"
	ca.SetView(idempotent)
	assert.True(t, ca.MayRunConcurrently(first))
	ca.SetView(other)
	assert.Same(t, idempotent, ca.viewFor(first))
	assert.False(t, ca.MayRunConcurrently(second))
	assert.Same(t, other, ca.viewFor(second))
}
