package limiter

import (
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavastall/guavastall/internal/asserter"
)

// init sets a fixed seed for the property tests; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// naive is the reference model of admission. It lists the calls in flight and
// the queued calls, takes the current limit from the limiter, and computes the
// hard limit itself.
type naive struct {
	running, waiting []int
	hard             int
}

func (na *naive) admits(limit int) bool { return len(na.running) < min(limit, na.hard) }

// Guards, over random results and hints, against a limit above the hard limit or
// below 1, slots that leak or are acquired twice, calls that bypass the queue,
// and a wait beyond the deadline.
func TestAdmissionMatchesNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		before := asserter.Violations()
		cf := Config{
			Slots: rapid.IntRange(0, 12).Draw(rt, "slots"), Connections: rapid.IntRange(0, 12).Draw(rt, "connections"),
			Initial: rapid.IntRange(0, 6).Draw(rt, "initial"), Max: rapid.IntRange(0, 12).Draw(rt, "max"),
			QueueTime: time.Duration(rapid.IntRange(0, 50).Draw(rt, "queueTime")) * time.Millisecond,
		}
		li, na := New(cf), &naive{hard: max(cf.Slots, 1)}
		for _, bound := range []int{cf.Max, cf.Connections} {
			if bound > 0 {
				na.hard = min(na.hard, bound)
			}
		}
		require.Equal(rt, min(max(cf.Initial, 1), na.hard), li.Limit())
		now := start
		for nn := range rapid.IntRange(1, 400).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(rt, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 99).Draw(rt, "idle") == 0 {
				now = now.Add(2 * idleTime)
			}
			step(rt, li, na, nn, now)
			require.Equal(rt, len(na.running), li.InFlight())
			require.Equal(rt, len(na.waiting), li.Queued())
			require.True(rt, li.Limit() >= 1 && li.Limit() <= na.hard)
			require.LessOrEqual(rt, li.InFlight(), na.hard)
		}
		require.Equal(rt, before, asserter.Violations())
	})
}

func step(rt *rapid.T, li *Limiter, na *naive, id int, now time.Time) {
	switch rapid.IntRange(0, 9).Draw(rt, "step") {
	case 0, 1, 2, 3:
		got := li.TryAcquire(now)
		require.Equal(rt, len(na.waiting) == 0 && na.admits(li.Limit()), got)
		if got {
			na.running = append(na.running, id)
			return
		}
		remaining := time.Duration(rapid.IntRange(-5, 100).Draw(rt, "remaining")) * time.Millisecond
		if wait, ok := li.Enqueue(remaining, now); ok {
			require.True(rt, wait > 0 && wait <= li.config.QueueTime && wait <= remaining)
			require.Less(rt, len(na.waiting), li.Limit())
			na.waiting = append(na.waiting, id)
		}
	case 4, 5, 6:
		if len(na.running) > 0 {
			na.running = na.running[1:]
			li.Release(Result{
				Status: Status(rapid.IntRange(0, 3).Draw(rt, "status")), Route: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "route"),
				Latency: time.Duration(rapid.IntRange(0, 100).Draw(rt, "latency")) * time.Millisecond,
			}, now)
		}
	case 7:
		got := li.AcquireQueued(now)
		require.Equal(rt, len(na.waiting) > 0 && na.admits(li.Limit()), got)
		if got {
			na.running, na.waiting = append(na.running, na.waiting[0]), na.waiting[1:]
		}
	case 8:
		if len(na.waiting) > 0 {
			na.waiting = na.waiting[1:]
			li.Dequeue(now)
		}
	case 9:
		li.Observe(Hint{
			Healthy: rapid.Bool().Draw(rt, "healthy"), InFlight: rapid.IntRange(0, 2).Draw(rt, "inFlight"),
			Age: time.Duration(rapid.IntRange(-1, 5).Draw(rt, "age")) * time.Second,
		}, now)
	}
}

// runCalls runs rounds of calls that use the full limit and end with the result.
func runCalls(li *Limiter, re Result, calls int, now time.Time) time.Time {
	for range calls {
		now = now.Add(10 * time.Millisecond)
		taken := 0
		for li.TryAcquire(now) {
			taken++
		}
		for range taken {
			li.Release(re, now)
		}
	}
	return now
}

// Guards against a limit that stays low at a healthy target, a limit that stays
// high at a target that became cold, and a warm-up that never ends.
func TestColdAndWarm(t *testing.T) {
	good := Result{Latency: 10 * time.Millisecond}
	for _, tt := range []struct {
		name string
		give func(li *Limiter, now time.Time)
	}{
		{"latency jumps", func(li *Limiter, now time.Time) { runCalls(li, Result{Latency: 50 * time.Millisecond}, 1, now) }},
		{"failures jump", func(li *Limiter, now time.Time) { runCalls(li, Result{Status: Failed}, 1, now) }},
		{"restart", func(li *Limiter, now time.Time) { li.Restart(now) }},
		{"idle", func(li *Limiter, now time.Time) { li.TryAcquire(now.Add(10 * idleTime)) }},
		{"reported load drops to zero", func(li *Limiter, now time.Time) {
			for range 10 {
				li.TryAcquire(now)
			}
			li.Observe(Hint{Healthy: true, InFlight: 10}, now)
			for range 20 {
				li.Observe(Hint{Healthy: true}, now)
				li.Observe(Hint{Healthy: true}, now)
				li.Observe(Hint{Healthy: true, InFlight: 1}, now)
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			li := New(Config{Slots: 20, Initial: 2})
			require.True(t, li.Cold())
			now := runCalls(li, good, 200, start)
			require.Equal(t, 20, li.Limit())
			require.False(t, li.Cold())
			tt.give(li, now)
			require.Equal(t, 2, li.Limit())
		})
	}
	li := New(Config{Slots: 20, Initial: 2})
	now := start
	for nn := range 100 { // a call every 10 s
		now = now.Add(10 * time.Second)
		require.True(t, li.TryAcquire(now))
		li.Release(good, now)
		require.Equal(t, nn < 3, li.Cold(), "a target with few calls warms up by time")
	}
	require.Equal(t, 2, li.Limit(), "an unused limit does not grow")
}

// Guards against a health endpoint that always reports a failure and thereby
// keeps the suspicion high, and against an old report with the weight of a fresh
// one.
func TestHintsLoseWeight(t *testing.T) {
	fresh, old := New(Config{Slots: 20}), New(Config{Slots: 20})
	fresh.Observe(Hint{}, start)
	old.Observe(Hint{Age: 9 * time.Second}, start)
	require.InDelta(t, fresh.suspicion/10, old.suspicion, 1e-9)
	for range 50 {
		fresh.Observe(Hint{}, start)
	}
	require.Less(t, fresh.suspicion, 0.05)
}

// Guards against data races between callers, and against more calls in flight
// than the target has slots.
func TestConcurrentUse(t *testing.T) {
	before := asserter.Violations()
	li := New(Config{Slots: 4, Initial: 2, QueueTime: time.Millisecond})
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for nn := range 2000 {
				now := start.Add(time.Duration(nn) * time.Millisecond)
				if li.TryAcquire(now) {
					li.Observe(Hint{InFlight: 1}, now)
					li.Release(Result{Latency: time.Millisecond}, now)
				} else if _, ok := li.Enqueue(time.Second, now); ok {
					li.Dequeue(now)
				}
			}
		})
	}
	wg.Wait()
	require.Zero(t, li.InFlight())
	require.Zero(t, li.Queued())
	require.Equal(t, before, asserter.Violations())
}

func BenchmarkOfferDone(b *testing.B) {
	li := New(Config{Slots: 20, Initial: 20})
	now := time.Now()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if li.TryAcquire(now) {
				li.Release(Result{Route: "all", Latency: time.Millisecond}, now)
			}
		}
	})
}

// Guards against a fast target whose limit falls to the initial one because of
// occasional VM pauses of a few milliseconds.
func TestPausesOfAFastTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	li := New(Config{Slots: 20, Initial: 2})
	rnd := rand.New(rand.NewPCG(1, 1))
	for nn := range 20_000 {
		now = now.Add(time.Millisecond)
		taken := 0
		for taken < 10 && li.TryAcquire(now) {
			taken++
		}
		latency := time.Millisecond + time.Duration(rnd.IntN(300))*time.Microsecond
		if nn%100 < 2 {
			latency = 5 * time.Millisecond
		}
		for range taken {
			li.Release(Result{Status: OK, Route: "scan", Latency: latency}, now.Add(latency))
		}
		if nn > 2000 {
			require.Greater(t, li.Limit(), 2, "after %d ms", nn)
		}
	}
}

// runDelayedNode simulates a node on a machine without a free processor. A third of
// the calls end up to 40 ms late because the node is not scheduled, and the node
// underestimates that delay by up to a tenth. It returns the number of rejected
// calls and the number of all calls.
func runDelayedNode(li *Limiter, latency func() time.Duration) (refused, calls int) {
	rnd := rand.New(rand.NewPCG(1, 1))
	now := start
	for range 6000 {
		now = now.Add(15 * time.Millisecond)
		// Callers are delayed as well, so calls arrive in bursts.
		taken := 0
		for range 1 + rnd.IntN(3) {
			calls++
			if !li.TryAcquire(now) {
				refused++
				continue
			}
			taken++
		}
		for range taken {
			re := Result{Status: OK, Route: "scan", Latency: latency()}
			if rnd.IntN(3) == 0 {
				late := time.Duration(rnd.IntN(40_000)) * time.Microsecond
				re.Latency += late
				re.Late = late * time.Duration(90+rnd.IntN(11)) / 100
			}
			li.Release(re, now.Add(re.Latency))
		}
	}
	return refused, calls
}

// Guards against a limit that falls because the node itself is scheduled late,
// so that calls are rejected as overloaded at low load.
func TestLateSchedulingIsNoOverload(t *testing.T) {
	li := New(Config{Slots: 20, Initial: 3})
	refused, calls := runDelayedNode(li, func() time.Duration { return 2 * time.Millisecond })
	require.Zero(t, refused, "of %d calls", calls)
	require.GreaterOrEqual(t, li.Limit(), 3)
}

// Guards against overload that is not detected on a busy machine.
func TestOverloadBesideLateScheduling(t *testing.T) {
	li := New(Config{Slots: 20, Initial: 3})
	latency := func() time.Duration { return 5 * time.Millisecond }
	runDelayedNode(li, latency)
	li.mu.Lock()
	li.limit = 20 // the earlier capacity of the target
	li.mu.Unlock()
	runDelayedNode(li, func() time.Duration {
		return time.Duration(5+li.Limit()) * time.Millisecond
	})
	require.Less(t, li.Limit(), 10)
}
