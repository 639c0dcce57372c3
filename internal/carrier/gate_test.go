package carrier

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/admitter"
	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/matcher"
	"github.com/guavastall/guavastall/internal/placer"
	"github.com/guavastall/guavastall/internal/registrar"
	"github.com/guavastall/guavastall/internal/stager"
)

var born = time.UnixMilli(1_000_000)

func heartbeat(id string, sequence uint64) registrar.Heartbeat {
	return registrar.Heartbeat{
		ID: id, Service: "desk", Version: "v1", Slots: 2, Sequence: sequence, Born: born,
	}
}

// openGate returns a gate whose target accepts requests.
func openGate() *Gate {
	ga := NewGate(netip.MustParseAddrPort("127.0.0.1:1"), time.Now)
	ga.SetRules(Rules{ColdRate: 30})
	ga.Heartbeat(heartbeat("a", 1))
	ga.Verify("a", 0)
	return ga
}

func requestFor(target string) *request {
	now := time.Now()
	return &request{
		id: "1", target: target, arrived: now, deadline: now.Add(10 * time.Second),
		objective: now.Add(time.Second),
		route: &matcher.Route{
			Name: "r", Objective: time.Second, Parts: []matcher.Part{{Service: "desk", Weight: 1}},
		},
	}
}

func admit(ga *Gate, target string) (*admission, *result) {
	return ga.admit(context.Background(), requestFor(target), 10*time.Millisecond)
}

func TestGateRefuses(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*Gate)
		kind   answerer.Kind
	}{
		"node shuts down":   {func(ga *Gate) { ga.Drain() }, answerer.Draining},
		"target shuts down": {func(ga *Gate) { ga.DrainTarget("a") }, answerer.Draining},
		"target drains": {func(ga *Gate) {
			he := heartbeat("a", 2)
			he.Draining = true
			ga.Heartbeat(he)
		}, answerer.Draining},
		"data centre evacuated": {func(ga *Gate) {
			ga.SetRules(Rules{Evacuated: true})
		}, answerer.DataCentreOut},
		"version blocked": {func(ga *Gate) {
			ga.SetRules(Rules{VersionBlocked: true})
		}, answerer.NoTarget},
		"unverified": {func(ga *Gate) { ga.MarkUnverified() }, answerer.NoTarget},
		"data centre back in service, perhaps cold": {func(ga *Gate) {
			ga.SetRules(Rules{Evacuated: true})
			ga.SetRules(Rules{})
		}, answerer.NoTarget},
	} {
		ga := openGate()
		ad, rs := admit(ga, "a")
		require.Nil(t, rs, name)
		ga.release(ad, 0)
		tc.change(ga)
		_, rs = admit(ga, "a")
		require.NotNil(t, rs, name)
		assert.Equal(t, tc.kind, rs.kind, name)
		assert.Positive(t, rs.retryAfter, name)
	}
}

func TestGateBeforeRules(t *testing.T) {
	ga := NewGate(netip.MustParseAddrPort("127.0.0.1:1"), time.Now)
	he := heartbeat("a", 1)
	he.ColdLeft = time.Second
	ga.Heartbeat(he)
	_, rs := admit(ga, "a")
	assert.NotNil(t, rs, "the cold rate is not known yet")
}

// After a restart the target receives no requests until a health check identifies
// it.
func TestGateRestored(t *testing.T) {
	ga := NewGate(netip.MustParseAddrPort("127.0.0.1:1"), time.Now)
	ga.SetRules(Rules{})
	ga.Restore(registrar.Instance{Heartbeat: heartbeat("a", 7), State: registrar.Ready})
	_, rs := admit(ga, "a")
	require.NotNil(t, rs)
	assert.True(t, ga.NeedsVerification())
	assert.False(t, ga.Verify("b", 0))
	assert.True(t, ga.Verify("a", 0))
	_, rs = admit(ga, "a")
	assert.Nil(t, rs)
}

// Guards against a late heartbeat that a restarted node takes for the present state:
// the target that sent it may have left, or become cold, since.
func TestGateChecksTargetOfEarlierProcess(t *testing.T) {
	now := time.Unix(1_000, 0)
	late := heartbeat("a", 1)
	late.Born = now.Add(-time.Minute)
	ga := NewGate(netip.MustParseAddrPort("127.0.0.1:1"), func() time.Time { return now })
	ga.SetRules(Rules{})
	ga.Heartbeat(late)
	late.Sequence++
	ga.Heartbeat(late)
	_, rs := admit(ga, "a")
	require.NotNil(t, rs)
	assert.True(t, ga.NeedsVerification())
	require.True(t, ga.Verify("a", 0))
	_, rs = admit(ga, "a")
	require.Nil(t, rs)

	ga.MarkUnverified()
	late.Sequence++
	ga.Heartbeat(late)
	assert.False(t, ga.NeedsVerification(), "a target that this process has checked")
	ga.SetRules(Rules{Evacuated: true})
	ga.SetRules(Rules{})
	late.Sequence++
	ga.Heartbeat(late)
	assert.True(t, ga.NeedsVerification(), "it may have become cold meanwhile")

	fresh := heartbeat("b", 1)
	fresh.Born = now
	ga.Heartbeat(fresh)
	assert.False(t, ga.NeedsVerification(), "a target that has started since")
}

// Guards against a departure that is lost because a late heartbeat reaches the
// restarted node before the entry of its earlier process does.
func TestGateRestoresAfterHeartbeat(t *testing.T) {
	for name, tc := range map[string]struct {
		stored registrar.Instance
		want   registrar.State
		wantID string
	}{
		"departed": {
			registrar.Instance{Heartbeat: heartbeat("a", 5), State: registrar.Leaving},
			registrar.Leaving, "a",
		},
		"ready": {
			registrar.Instance{Heartbeat: heartbeat("a", 5), State: registrar.Ready},
			registrar.Ready, "a",
		},
		"departed before the restart": {
			registrar.Instance{
				Heartbeat: registrar.Heartbeat{ID: "z", Slots: 2, Born: born.Add(-time.Second)},
				State:     registrar.Leaving,
			},
			registrar.Ready, "a",
		},
		"replaced since the heartbeat": {
			registrar.Instance{
				Heartbeat: registrar.Heartbeat{ID: "b", Slots: 2, Born: born.Add(time.Second)},
				State:     registrar.Ready,
			},
			registrar.Ready, "b",
		},
	} {
		ga := NewGate(netip.MustParseAddrPort("127.0.0.1:1"), time.Now)
		ga.SetRules(Rules{})
		ga.Heartbeat(heartbeat("a", 4))
		ga.Restore(tc.stored)
		assert.Equal(t, tc.want, ga.Current().State, name)
		assert.Equal(t, tc.wantID, ga.Current().ID, name)
		ga.Heartbeat(heartbeat("a", 6))
		assert.Equal(t, tc.want, ga.Current().State, "%s, another late heartbeat", name)
		assert.Equal(t, tc.wantID, ga.Current().ID, name)
	}
}

// A restarted node sends a cold target nothing for one second from its own start
// on, unless the target has just started too: after a power loss each second
// counts.
func TestGateLimitsColdTargetAfterRestart(t *testing.T) {
	start := time.Unix(1_000, 0)
	earlier := heartbeat("a", 7)
	earlier.Born = start.Add(-time.Minute)
	restarted := func(he registrar.Heartbeat) (*Gate, *time.Time) {
		now := start
		ga := NewGate(netip.MustParseAddrPort("127.0.0.1:1"), func() time.Time { return now })
		now = now.Add(400 * time.Millisecond)
		ga.Restore(registrar.Instance{Heartbeat: earlier, State: registrar.Ready})
		he.ColdLeft = 3 * time.Second
		ga.Heartbeat(he)
		ga.SetRules(Rules{ColdRate: 10})
		return ga, &now
	}
	admitted := func(ga *Gate) bool {
		ga.mu.Lock()
		defer ga.mu.Unlock()
		return ga.queue.Wait(admitter.First, ga.now()) == 0
	}
	again := earlier
	again.Sequence++
	ga, now := restarted(again)
	assert.False(t, admitted(ga), "the earlier process may have used the rate")
	*now = start.Add(time.Second)
	assert.True(t, admitted(ga))

	fresh := heartbeat("b", 1)
	ga, _ = restarted(fresh)
	assert.True(t, admitted(ga), "a target that has just started")
	fresh.Sequence = 4
	fresh.Born = start.Add(-100 * time.Millisecond)
	ga, _ = restarted(fresh)
	assert.True(t, admitted(ga), "a target that started with the node")
	fresh.Born = start.Add(-time.Second)
	ga, _ = restarted(fresh)
	assert.False(t, admitted(ga), "a target that the earlier process may have known")
	fresh.Sequence = 2
	ga, _ = restarted(fresh)
	assert.False(t, admitted(ga), "its second heartbeat, the earlier process had the first")
	fresh.Sequence = 1
	ga, _ = restarted(fresh)
	assert.False(t, admitted(ga), "its first heartbeat, the acknowledgement was lost")
	ahead := fresh
	ahead.Born = start.Add(time.Second)
	ga, _ = restarted(ahead)
	assert.False(t, admitted(ga), "the clock was set back")
	fresh.Sequence = 4

	ga = NewGate(netip.MustParseAddrPort("127.0.0.1:1"), func() time.Time { return start })
	fresh.ColdLeft = 3 * time.Second
	ga.Heartbeat(fresh)
	ga.SetRules(Rules{ColdRate: 10})
	assert.False(t, admitted(ga), "nothing was restored")
}

// coldRestart is a node that is killed while its target is cold and starts again.
type coldRestart struct {
	// kill and start are the times from the start of the target, and heartbeat the
	// interval of its heartbeats.
	kill, start, heartbeat time.Duration
	// stored is true if the second process reads the entry of the first at once.
	stored bool
}

// starts returns the times, from the start of the target, at which a target with the
// cold rate is sent requests if there are always more of them.
func (cr coldRestart) starts(rate float64) []time.Duration {
	const step = 10 * time.Millisecond
	birth := time.Unix(1_000, 0)
	now := birth.Add(-time.Minute)
	newGate := func() *Gate {
		ga := NewGate(netip.MustParseAddrPort("127.0.0.1:1"), func() time.Time { return now })
		ga.SetRules(Rules{ColdRate: rate})
		return ga
	}
	ga := newGate()
	he := registrar.Heartbeat{ID: "a", Service: "desk", Slots: 100, Born: birth}
	var starts []time.Duration
	for elapsed := time.Duration(0); elapsed < 4*time.Second; elapsed += step {
		now = birth.Add(elapsed)
		up := elapsed < cr.kill || elapsed >= cr.start
		if elapsed == cr.start {
			ga = newGate()
			if cr.stored {
				ga.Restore(registrar.Instance{Heartbeat: he, State: registrar.Ready})
			}
		}
		if elapsed%cr.heartbeat == 0 {
			he.Sequence++
			he.ColdLeft = 5*time.Second - elapsed
			if up {
				ga.Heartbeat(he)
			}
		}
		if up && ga.NeedsVerification() && elapsed%(250*time.Millisecond) == 0 {
			ga.Verify("a", 5*time.Second-elapsed)
		}
		for up {
			rq := requestFor("a")
			rq.arrived, rq.deadline, rq.objective = now, now.Add(time.Nanosecond), now
			ad, rs := ga.admit(context.Background(), rq, time.Nanosecond)
			if rs != nil {
				break
			}
			ga.markSent(ad)
			ga.release(ad, 0)
			starts = append(starts, elapsed)
		}
	}
	return starts
}

// Guards against a cold target that gets its rate twice, from the process of its node
// that is killed and from the next one.
func TestColdRateAcrossRestart(t *testing.T) {
	const rate = 12
	for _, heartbeat := range []time.Duration{430, 870, 1500} {
		for kill := time.Duration(30); kill < 1500; kill += 90 {
			for gap := time.Duration(260); gap <= 760; gap += 100 {
				for _, stored := range []bool{false, true} {
					cr := coldRestart{
						kill: kill * time.Millisecond, start: (kill + gap) * time.Millisecond,
						heartbeat: heartbeat * time.Millisecond, stored: stored,
					}
					starts := cr.starts(rate)
					require.NotEmpty(t, starts)
					for nn, from := range starts {
						count := 0
						for _, at := range starts[nn:] {
							if at-from < time.Second {
								count++
							}
						}
						require.LessOrEqual(t, count, rate, "%+v, second from %s", cr, from)
					}
				}
			}
		}
	}
}

// A request for an earlier incarnation runs at the one that replaced it in the
// same service, unless a rollout of that one's version is in progress.
func TestGateAcceptsForReplacedTarget(t *testing.T) {
	ga := openGate()
	_, rs := admit(ga, "earlier")
	assert.Nil(t, rs)
	ga.SetRules(Rules{RolloutActive: true})
	_, rs = admit(ga, "earlier")
	assert.NotNil(t, rs)
	ga.SetRules(Rules{})
	rq := requestFor("earlier")
	rq.route.Parts[0].Service = "ledger"
	_, rs = ga.admit(context.Background(), rq, 0)
	assert.NotNil(t, rs, "another service")
}

// A waiting request is refused at once when the target drains, and leaves the
// queue when its client disconnects.
func TestGateWaiting(t *testing.T) {
	ga := openGate()
	for range 2 {
		_, rs := admit(ga, "a")
		require.Nil(t, rs)
	}
	refused := make(chan *result)
	go func() {
		_, rs := admit(ga, "a")
		refused <- rs
	}()
	waitFor(t, ga, 1)
	ga.DrainTarget("a")
	assert.Equal(t, answerer.Draining, (<-refused).kind)

	ga = openGate()
	for range 2 {
		_, rs := admit(ga, "a")
		require.Nil(t, rs)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, rs := ga.admit(ctx, requestFor("a"), 0)
		refused <- rs
	}()
	waitFor(t, ga, 1)
	cancel()
	assert.Equal(t, answerer.Cancelled, (<-refused).kind)
	waitFor(t, ga, 0)
}

func waitFor(t *testing.T, ga *Gate, waiting int) {
	t.Helper()
	require.Eventually(t, func() bool {
		_, count := ga.RequestCounts()
		return count == waiting
	}, 10*time.Second, time.Millisecond)
}

// During a rollout, a target that shows a fault of its version receives no more
// requests from its own node.
func TestGateRefusesFaultyVersion(t *testing.T) {
	ga := openGate()
	ga.SetRules(Rules{RolloutActive: true})
	for range 12 {
		ga.recordResponse(stager.Response{Route: "r", Failed: true})
	}
	_, rs := admit(ga, "a")
	require.NotNil(t, rs)
	total, _ := ga.Tallies()
	assert.Equal(t, stager.Tally{Requests: 12, Bad: 12, Failed: 12}, total["r"])
}

func TestLoadHeader(t *testing.T) {
	re := &placer.Report{
		Running: 3, Slots: 9, Work: 120 * time.Millisecond, FailureShare: 0.25,
		Took: 80 * time.Millisecond,
	}
	re.Waits[2] = 40 * time.Millisecond
	assert.Equal(t, re, decodeLoad(encodeLoad(re)))
	for _, text := range []string{"", "1 2", "a 1 1 1 1 1 1 1 1", "-1 1 1 1 1 1 1 1 1"} {
		assert.Nil(t, decodeLoad(text), text)
	}
}

func TestHopHeader(t *testing.T) {
	now := time.Unix(1000, 0)
	rq := &request{objective: now.Add(150 * time.Millisecond), inner: true, returning: true}
	var got request
	require.NoError(t, got.decodeHop(rq.encodeHop("t1", now), now))
	assert.Equal(t, "t1", got.target)
	assert.Equal(t, rq.objective, got.objective)
	assert.True(t, got.inner && got.returning)
	for _, text := range []string{"", "t1", "t1 x", "t1 1 i r"} {
		assert.Error(t, got.decodeHop(text, now), text)
	}
}

func FuzzDecodeHop(f *testing.F) {
	f.Add("t1 150 ir")
	f.Fuzz(func(_ *testing.T, text string) {
		var rq request
		_ = rq.decodeHop(text, time.Unix(1000, 0))
		_ = decodeLoad(text)
	})
}

// A target that refuses requests with free slots responds at once and has no load;
// it must not look better than one that works.
func TestGateReportsShedding(t *testing.T) {
	ga := openGate()
	for range 30 {
		ga.recordShed()
	}
	assert.Greater(t, ga.load().FailureShare, 0.5)
	assert.False(t, ga.faultDetected, "it is no evidence against a version")
	for range 60 {
		ga.recordResponse(stager.Response{Took: time.Millisecond})
	}
	assert.Less(t, ga.load().FailureShare, 0.1)
}

// A node refuses a new version on its own evidence only while the rollout is in
// progress. Afterwards no other version may be left.
func TestGateGuardsVersionDuringRollout(t *testing.T) {
	ga := openGate()
	ga.SetRules(Rules{RolloutActive: true})
	for range 20 {
		ga.recordResponse(stager.Response{Failed: true})
	}
	_, rs := admit(ga, "a")
	require.NotNil(t, rs)
	assert.True(t, ga.VersionFaulty())
	ga.SetRules(Rules{})
	_, rs = admit(ga, "a")
	assert.Nil(t, rs)
	assert.False(t, ga.VersionFaulty())
}
