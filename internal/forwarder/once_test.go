package forwarder

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/deduper"
	"github.com/guavastall/guavastall/internal/limiter"
	"github.com/guavastall/guavastall/internal/targetserver"
	"github.com/guavastall/guavastall/pkg/checker"
)

// asError is errors.As with a short name for use in conditions.
func asError(err error, target any) bool { return errors.As(err, target) }

// keyed makes a call with an idempotency key.
func keyed(t *testing.T, no *node, path, id, key string, resend bool) answer {
	req := newRequest(t, http.MethodPost, no.caller, path, id, []byte("x"))
	req.Header.Set(headerKey, key)
	if resend {
		req.Header.Set(headerResend, "true")
	}
	return do(req)
}

// Guards against a resend that executes the call again or gets a different
// response.
func TestResendGetsTheSameAnswer(t *testing.T) {
	target, address := startTarget(t, nil)
	owner := startNode(t, options{target: address})
	owner.setTable(nil, owner.id)
	first := startNode(t, options{})
	first.setTable(nil, owner.id)
	want := keyed(t, first, "/memory", "a", "k", false)
	require.Equal(t, http.StatusOK, want.status, want.body)
	for _, no := range []*node{first, owner} {
		for _, resend := range []bool{false, true} {
			got := keyed(t, no, "/memory", "b", "k", resend)
			require.Equal(t, "answered", got.outcome())
			require.Equal(t, want.body, got.body)
			require.Equal(t, "a", got.header.Get(targetserver.HeaderID))
			require.Equal(t, want.header.Get(targetserver.HeaderSum), got.header.Get(targetserver.HeaderSum))
		}
	}
	require.Equal(t, uint64(1), target.Calls())

	// Using the same key for a different request is an error of the caller.
	keyed(t, first, "/memory/other", "c", "k", false).requireError(t, answerer.DuplicateKey, "unknown")
	// After a restart of the owner, only the header identifies a resend.
	keyed(t, first, "/memory", "d", "lost", true).requireError(t, answerer.OutcomeUnknown, "unknown")
	require.Equal(t, uint64(1), target.Calls())
}

// Guards against a resend that is executed concurrently with the first call, and
// against a resend that waits past its deadline.
func TestResendWaits(t *testing.T) {
	target, address := startTarget(t, func(se *targetserver.Settings) {
		se.WorkTime = checker.Duration(100 * time.Millisecond)
	})
	no := startNode(t, options{target: address})
	no.setTable(nil, no.id)
	ctx, cancel := context.WithCancel(context.Background())
	left := make(chan answer, 1)
	go func() {
		req := newRequest(t, http.MethodPost, no.caller, "/memory", "a", []byte("x"))
		req.Header.Set(headerKey, "k")
		left <- do(req.WithContext(ctx))
	}()
	eventually(t, func() bool { return target.InFlight() == 1 }, "the call runs")
	cancel()
	require.Error(t, (<-left).err)
	req := newRequest(t, http.MethodPost, no.caller, "/memory", "b", []byte("x"))
	req.Header.Set(headerKey, "k")
	req.Header.Set(headerTimeout, "10ms")
	short := do(req)
	require.Contains(t, []string{answerer.DuplicateKey.String(), answerer.DeadlineExceeded.String()}, short.kind())
	require.Equal(t, "unknown", short.outcome())
	an := keyed(t, no, "/memory", "c", "k", true)
	require.Equal(t, string(targetserver.Body("a", 1024)), an.body)
	require.Equal(t, uint64(1), target.Calls())
}

// Guards against a key that remains blocked by a call that was not run, and
// against executing a call again after an unknown outcome.
func TestResendAfterFailure(t *testing.T) {
	target, address := startTarget(t, nil)
	no := startNode(t, options{target: address, limit: 1})
	no.setTable(func(ta *testTable) { ta.profile.Retries.MaxAttempts = 1 }, no.id)
	require.True(t, no.limiter.TryAcquire(time.Now()))
	keyed(t, no, "/memory", "a", "k", false).requireError(t, answerer.Overloaded, "notRun")
	no.limiter.mu.Lock()
	no.limiter.inFlight--
	no.limiter.mu.Unlock()
	require.Equal(t, "answered", keyed(t, no, "/memory", "a", "k", true).outcome())

	se := target.Settings()
	se.Faults = []targetserver.Fault{{Kind: targetserver.FaultReset}}
	require.NoError(t, target.Set(se))
	keyed(t, no, "/memory", "b", "q", false).requireError(t, answerer.OutcomeUnknown, "unknown")
	se.Faults = nil
	require.NoError(t, target.Set(se))
	keyed(t, no, "/memory", "b", "q", true).requireError(t, answerer.OutcomeUnknown, "unknown")
	require.Equal(t, 1, target.Executions("b"))
}

// Guards against a large response that is truncated, or replayed in part.
func TestLargeKeyedResponse(t *testing.T) {
	const size = maxResponseBytes * 3
	target, address := startTarget(t, func(se *targetserver.Settings) { se.ResponseBytes = size })
	no := startNode(t, options{target: address})
	no.setTable(nil, no.id)
	an := keyed(t, no, "/memory", "a", "k", false)
	require.NoError(t, an.err)
	require.Equal(t, string(targetserver.Body("a", size)), an.body)
	keyed(t, no, "/memory", "a", "k", true).requireError(t, answerer.DuplicateKey, "unknown")
	require.Equal(t, uint64(1), target.Calls())
}

// claimLog is a claim stream shared by nodes, with fault injection.
type claimLog struct {
	mu     sync.Mutex
	claims deduper.Claims
	// down makes appends fail; lose makes them fail after taking effect.
	down, lose bool
}

func (cl *claimLog) set(down, lose bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.down, cl.lose = down, lose
}

func (cl *claimLog) Claim(_ context.Context, _ checker.Service, key, attempt string) (bool, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.down {
		return false, errors.New("the log is unreachable")
	}
	err := cl.claims.Apply(cl.claims.Next(), deduper.Claim{Key: key, Attempt: attempt, Time: time.Now()})
	if err != nil || cl.lose {
		return false, errors.Join(err, errors.New("the response was lost"))
	}
	first, _ := cl.claims.First(key)
	return first.Attempt == attempt, nil
}

// Guards against two owners that execute the same call, a call that is executed
// without a claim, and a key that remains blocked after a lost response of the
// log although its call was not run. None of these is a failure of the target.
func TestClaims(t *testing.T) {
	target, address := startTarget(t, nil)
	log := &claimLog{}
	var nodes []*node
	for range 2 {
		no := startNode(t, options{target: address, claimer: log})
		no.setTable(func(ta *testTable) { ta.profile.Retries.MaxAttempts = 1 }, no.id)
		nodes = append(nodes, no)
	}
	old, now := nodes[0], nodes[1]
	want := keyed(t, old, "/log", "a", "k", false)
	require.Equal(t, "answered", want.outcome(), want.body)
	require.Equal(t, want.body, keyed(t, old, "/log", "a", "k", true).body)
	// Another node has become the owner, and the resend lacks the header.
	keyed(t, now, "/log", "a", "k", false).requireError(t, answerer.DuplicateKey, "unknown")
	require.Equal(t, 1, target.Executions("a"))

	log.set(true, false)
	keyed(t, old, "/log", "b", "b", false).requireError(t, answerer.PlatformUnavailable, "notRun")
	log.set(false, true)
	keyed(t, old, "/log", "c", "c", false).requireError(t, answerer.PlatformUnavailable, "notRun")
	log.set(false, false)
	for _, id := range []string{"b", "c"} {
		require.Zero(t, target.Executions(id))
		require.Equal(t, "answered", keyed(t, old, "/log", id, id, true).outcome())
		require.Equal(t, 1, target.Executions(id))
	}
	for _, no := range nodes {
		no.limiter.mu.Lock()
		require.NotContains(t, no.limiter.results, limiter.Failed)
		no.limiter.mu.Unlock()
		for _, ob := range no.observer.list() {
			require.False(t, ob.Failed)
		}
	}
	none := startNode(t, options{target: address})
	none.setTable(nil, none.id)
	keyed(t, none, "/log", "d", "d", false).requireError(t, answerer.PlatformUnavailable, "notRun")
}
