package forwarder

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/targetserver"
	"github.com/guavastall/guavastall/pkg/checker"
)

// Guards against a version that seems slower because its calls cross to another
// node: the first node observes the target's time, not that of the way to it.
func TestObservedLatencyOfPeer(t *testing.T) {
	const taken = 7 * time.Millisecond
	for _, tt := range []struct {
		name, header string
		known        bool
	}{
		{"time of the target", taken.String(), true},
		{"negative", "-7ms", false},
		{"malformed", "soon", false},
		{"missing", "", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var clock atomic.Int64
			begun := time.Now()
			now := func() time.Time { return begun.Add(time.Duration(clock.Load())) }
			peer := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				clock.Add(int64(300 * time.Millisecond)) // the way and the wait
				w.Header().Set(headerHop, r.Header.Get(headerHop))
				w.Header().Set(headerOutcome, "answered")
				if tt.header != "" {
					w.Header().Set(headerTargetTime, tt.header)
				}
				w.WriteHeader(http.StatusOK)
			}))
			first := startNode(t, options{now: now})
			first.setTable(nil, peer)
			require.Equal(t, http.StatusOK, get(t, first.caller, "/scan", "a").status)
			eventually(t, func() bool { return len(first.observer.list()) == 1 }, "an observation")
			latency := first.observer.list()[0].Latency
			require.Equal(t, tt.known, latency == taken, "%v", latency)
		})
	}
}

// Guards against a target's time that includes the wait for admission at its node.
func TestTargetTimeWithoutWait(t *testing.T) {
	const wait = time.Minute
	var clock atomic.Int64
	begun := time.Now()
	now := func() time.Time { return begun.Add(time.Duration(clock.Load())) }
	_, address := startTarget(t, func(se *targetserver.Settings) {
		se.WorkTime = checker.Duration(time.Millisecond)
	})
	last := startNode(t, options{target: address, limit: 1, queue: true, now: now})
	first := startNode(t, options{now: now})
	for _, no := range []*node{first, last} {
		no.setTable(func(ta *testTable) {
			for nn := range ta.routes {
				ta.routes[nn].Timeout = checker.Duration(time.Hour)
			}
		}, last.id)
	}
	require.True(t, last.limiter.TryAcquire(now()))
	answers := make(chan answer, 1)
	go func() { answers <- get(t, first.caller, "/scan", "a") }()
	eventually(t, func() bool {
		last.limiter.mu.Lock()
		defer last.limiter.mu.Unlock()
		return last.limiter.queued == 1
	}, "the call waits")
	clock.Add(int64(wait))
	last.fw.admission.release(last.limiter.last)
	require.Equal(t, http.StatusOK, (<-answers).status)
	eventually(t, func() bool { return len(first.observer.list()) == 1 }, "an observation")
	require.Less(t, first.observer.list()[0].Latency, wait)
}
