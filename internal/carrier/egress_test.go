package carrier

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/matcher"
	"github.com/guavastall/guavastall/internal/pacer"
	"github.com/guavastall/guavastall/internal/placer"
)

// Guards against bodies that are mixed up, cut short or stuck when they share a
// link, and against one that is still sent when its receiver has left.
func TestEgressSharesLink(t *testing.T) {
	const bodies, size = 6, 300_000
	eg := newEgress(pacer.New(400e6), time.Now)
	var ended sync.WaitGroup
	ended.Add(bodies + 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer ended.Done()
		w.Header().Set("Content-Length", "300000")
		tr := eg.start(&request{deadline: time.Now().Add(10 * time.Second)})
		defer eg.end(tr)
		body := bytes.Repeat([]byte(r.URL.Path[1:]), size)
		_ = eg.write(r.Context(), w, body, tr)
	}))
	defer server.Close()

	ctx, cancel := context.WithCancel(t.Context())
	gone, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/x", nil)
	require.NoError(t, err)
	rs, err := http.DefaultClient.Do(gone)
	require.NoError(t, err)
	cancel()
	_ = rs.Body.Close()

	var clients sync.WaitGroup
	for nn := range bodies {
		clients.Go(func() {
			letter := string(rune('a' + nn))
			rs, err := http.Get(server.URL + "/" + letter)
			if !assert.NoError(t, err) {
				return
			}
			defer func() { _ = rs.Body.Close() }()
			body, err := io.ReadAll(rs.Body)
			assert.NoError(t, err)
			assert.Equal(t, size, len(body))
			assert.Equal(t, size, bytes.Count(body, []byte(letter)))
		})
	}
	clients.Wait()
	ended.Wait()
	assert.LessOrEqual(t, eg.report().Wait, time.Second)
	assert.Empty(t, eg.grants)
}

// Guards against a planned stop that cuts off a large response: the target has
// finished the request, but its body is still being sent.
func TestStopWaitsForLargeResponses(t *testing.T) {
	ca := New(Config{Now: time.Now, LinkRate: 1e6}, openGate(), nil, metrics.NewRegistry())
	assert.Zero(t, ca.InFlight())
	tr := ca.egress.start(&request{deadline: time.Now().Add(time.Second)})
	ca.egress.ready(tr, 1_000_000)
	assert.Equal(t, 1, ca.InFlight())
	ca.egress.end(tr)
	assert.Zero(t, ca.InFlight())
}

func TestEgressRefuses(t *testing.T) {
	now := time.Unix(1_000, 0)
	eg := newEgress(pacer.New(8e6), func() time.Time { return now })
	rq := &request{
		deadline: now.Add(4 * time.Second), objective: now.Add(800 * time.Millisecond),
		route: &matcher.Route{Name: "r", Objective: 800 * time.Millisecond},
	}
	var transfers []*pacer.Transfer
	for {
		tr, rs := eg.admit(rq, 100_000, 100*time.Millisecond)
		if rs != nil {
			assert.True(t, rs.linkFull)
			assert.Equal(t, answerer.Overloaded, rs.kind)
			assert.Positive(t, rs.retryAfter)
			break
		}
		transfers = append(transfers, tr)
	}
	assert.Len(t, transfers, 7, "100 kB take 108 ms")
	eg.end(transfers[0])
	_, rs := eg.admit(rq, 100_000, 100*time.Millisecond)
	assert.Nil(t, rs, "a response that is no longer wanted makes room")
}

func TestLinkHeader(t *testing.T) {
	li := placer.Link{Wait: 250 * time.Millisecond, BytesPerSecond: 1.5e6}
	assert.Equal(t, &li, decodeLink(encodeLink(li)))
	for _, text := range []string{"", "1", "1 x", "-1 5", "1 -5", "99999999999 1", "1 2 3"} {
		assert.Nil(t, decodeLink(text), text)
	}
}

// A request that every link refused goes to one of these targets again, which may
// then answer late, and only once.
func TestAcceptLateOnce(t *testing.T) {
	ca := New(Config{Now: time.Now}, openGate(), nil, metrics.NewRegistry())
	di := &dispatch{
		Carrier: ca, rq: &request{objective: time.Now()}, tried: []string{"a", "b", "c"},
		fullLinks: []string{"a", "c"}, placements: maxPlacements,
	}
	di.acceptLate()
	assert.True(t, di.rq.acceptLate)
	assert.Equal(t, []string{"b"}, di.tried)
	assert.Equal(t, maxPlacements-1, di.placements)
	di.tried, di.placements = []string{"a", "b", "c"}, maxPlacements
	di.acceptLate()
	assert.Equal(t, maxPlacements, di.placements)

	back := &request{}
	require.NoError(t, back.decodeHop(di.rq.encodeHop("t", time.Now()), time.Now()))
	assert.True(t, back.acceptLate)
}
