package stager

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(1_000_000, 0)

func order() Order {
	return Order{Service: "desk", Version: "v2", Duration: 15 * time.Second, Number: 7}
}

func move() Move {
	return Move{Order: 7, Service: "desk", Version: "v2", Base: "v1", State: Active}
}

// version is a new version under a simulated rollout.
type version struct {
	name string
	// bad draws whether a response is bad.
	bad func(rd *rand.Rand, elapsed time.Duration, share float64, route string) bool
}

// simulateRollout simulates a rollout of the version. It returns the final state, the
// share of all requests that the version received, and the time until the end.
func simulateRollout(seed uint64, ve version, baseBad float64) (Move, float64, time.Duration) {
	rd := rand.New(rand.NewPCG(seed, 1))
	candidate, base := NewCollector(), NewCollector()
	mo, or := move(), order()
	const perSecond, tick = 300, 100 * time.Millisecond
	total, exposed := 0, 0
	for elapsed := time.Duration(0); elapsed <= or.Duration; elapsed += tick {
		now := epoch.Add(elapsed)
		for range int(perSecond * tick.Seconds()) {
			route := []string{"scan", "confirm"}[rd.IntN(2)]
			total++
			if rd.Float64() < mo.Share() {
				exposed++
				candidate.Add(Response{
					Route: route, Failed: ve.bad(rd, elapsed, mo.Share(), route),
				}, now)
				continue
			}
			base.Add(Response{Route: route, Failed: rd.Float64() < baseBad}, now)
		}
		if elapsed%(400*time.Millisecond) != 0 {
			continue
		}
		var changed bool
		mo, changed = Decide(mo, or, elapsed, evidence(candidate, now), evidence(base, now), false)
		if changed && mo.State != Active {
			return mo, float64(exposed) / float64(perSecond*int(or.Duration.Seconds())), elapsed
		}
	}
	return mo, float64(exposed) / float64(total), or.Duration
}

func evidence(co *Collector, now time.Time) Evidence {
	ev := Evidence{Targets: 3}
	ev.Total, ev.Recent = co.Tallies(now)
	return ev
}

func constantShare(bad float64) func(*rand.Rand, time.Duration, float64, string) bool {
	return func(rd *rand.Rand, _ time.Duration, _ float64, _ string) bool {
		return rd.Float64() < bad
	}
}

func TestGoodVersionsComplete(t *testing.T) {
	for seed := range uint64(200) {
		mo, _, took := simulateRollout(seed, version{bad: constantShare(0.005)}, 0.005)
		assert.Equal(t, Complete, mo.State, "seed %d: %s", seed, mo.Reason)
		assert.LessOrEqual(t, took, 14*time.Second)
	}
}

// Guards against rolling back a version for failures of a service that both versions
// call: both fail equally often.
func TestSharedFailuresDoNotRollBack(t *testing.T) {
	for seed := range uint64(100) {
		mo, _, _ := simulateRollout(seed, version{bad: constantShare(0.3)}, 0.3)
		assert.Equal(t, Complete, mo.State, "seed %d: %s", seed, mo.Reason)
	}
}

func TestBadVersionsAreRolledBack(t *testing.T) {
	for _, ve := range []version{
		{"at once", constantShare(0.4)},
		{"late", func(rd *rand.Rand, el time.Duration, _ float64, _ string) bool {
			return el > 3*time.Second && rd.Float64() < 0.4
		}},
		{"under load", func(rd *rand.Rand, _ time.Duration, sh float64, _ string) bool {
			return sh > 0.2 && rd.Float64() < 0.4
		}},
		{"on one route", func(rd *rand.Rand, _ time.Duration, _ float64, route string) bool {
			return route == "scan" && rd.Float64() < 0.4
		}},
	} {
		for seed := range uint64(100) {
			mo, exposed, _ := simulateRollout(seed, ve, 0.005)
			assert.Equal(t, RolledBack, mo.State, "%s, seed %d", ve.name, seed)
			assert.Less(t, exposed, 0.1, "%s, seed %d", ve.name, seed)
		}
	}
}

// Guards against failures of the base version, here 15% of its requests, hiding a
// new version that fails more than half of its requests.
func TestBaseFailuresDoNotHideFault(t *testing.T) {
	for seed := range uint64(100) {
		mo, exposed, _ := simulateRollout(seed, version{bad: constantShare(0.55)}, 0.15)
		assert.Equal(t, RolledBack, mo.State, "seed %d", seed)
		assert.Less(t, exposed, 0.1, "seed %d", seed)
	}
}

// Before the last step each canary has at least the load that it will have after the
// rollout, once the share is at least that of one target.
func TestCanariesReceiveFullLoad(t *testing.T) {
	for _, targets := range []int{1, 2, 3, 4, 7, 44} {
		var ids []string
		for nn := range targets {
			ids = append(ids, fmt.Sprint("t", nn))
		}
		for _, st := range steps {
			chosen := Canaries("v2", st.share, ids)
			assert.NotEmpty(t, chosen)
			if st.share*float64(targets) < 1 {
				assert.Len(t, chosen, 1)
				continue
			}
			load := st.share / float64(len(chosen))
			assert.GreaterOrEqual(t, load, 1/float64(targets), "%d targets, %v", targets, st.share)
		}
		assert.Len(t, Canaries("v2", 1, ids), targets)
		assert.Equal(t, Canaries("v2", 0.25, ids), Canaries("v2", 0.25, ids))
	}
	assert.Empty(t, Canaries("v2", 0.05, nil))
}

func TestNoEvidenceRollsBack(t *testing.T) {
	mo, or := move(), order()
	_, changed := Decide(mo, or, 9*time.Second, Evidence{}, Evidence{}, false)
	assert.False(t, changed)
	mo, changed = Decide(mo, or, 12*time.Second, Evidence{}, Evidence{}, false)
	assert.True(t, changed)
	assert.Equal(t, RolledBack, mo.State)
}

// A rollout completes only when no request is running at the base version.
func TestCompleteWaitsForBase(t *testing.T) {
	mo, or := move(), order()
	mo.Step = len(steps) - 1
	_, changed := Decide(mo, or, 11*time.Second, Evidence{}, Evidence{Running: 1}, false)
	assert.False(t, changed)
	_, changed = Decide(mo, or, 11*time.Second, Evidence{}, Evidence{}, true)
	assert.False(t, changed, "a node has not responded")
	_, changed = Decide(mo, or, 10*time.Second, Evidence{}, Evidence{}, false)
	assert.False(t, changed, "before earliestCompletion")
	done, changed := Decide(mo, or, 11*time.Second, Evidence{}, Evidence{}, false)
	assert.True(t, changed)
	assert.Equal(t, Complete, done.State)
	done, changed = Decide(mo, or, 14*time.Second, Evidence{}, Evidence{Running: 1}, true)
	assert.True(t, changed, "the last step has ended")
	assert.Equal(t, Complete, done.State)
}

// A rollout that had no leader for a while neither skips a step nor shortens one.
func TestRolloutWithoutLeader(t *testing.T) {
	or := order()
	good := Evidence{Targets: 3, Total: map[string]Tally{"scan": {Requests: 40}}}
	mo, changed := Decide(move(), or, 7*time.Second, good, good, false)
	assert.True(t, changed)
	assert.Equal(t, 1, mo.Step)
	_, changed = Decide(mo, or, 7*time.Second+100*time.Millisecond, good, good, false)
	assert.False(t, changed, "the step has not lasted long enough to be observed")
	next, changed := Decide(mo, or, 9*time.Second, good, good, false)
	assert.True(t, changed)
	assert.Equal(t, 2, next.Step)
	late, changed := Decide(move(), or, 11*time.Second, good, good, false)
	assert.True(t, changed)
	assert.Equal(t, RolledBack, late.State, "too late for the remaining steps")
}

func TestSlowResponsesAreBad(t *testing.T) {
	for name, tc := range map[string]struct {
		re  Response
		bad int
	}{
		"quick":        {Response{Took: 100, Objective: 100}, 0},
		"slow":         {Response{Took: 150, Objective: 100}, 1},
		"cold":         {Response{Took: 900, Objective: 100, Cold: true}, 0},
		"no objective": {Response{Took: 900}, 0},
	} {
		co := NewCollector()
		co.Add(tc.re, epoch)
		total, _ := co.Tallies(epoch)
		assert.Equal(t, tc.bad, Sum(total).Bad, name)
	}
}

func TestRecentTalliesExpire(t *testing.T) {
	co := NewCollector()
	co.Add(Response{Route: "r", Failed: true}, epoch)
	_, recent := co.Tallies(epoch.Add(2 * time.Second))
	assert.Equal(t, 1, recent["r"].Bad)
	total, recent := co.Tallies(epoch.Add(4 * time.Second))
	assert.Empty(t, recent)
	assert.Equal(t, 1, total["r"].Bad)
}

func TestGuard(t *testing.T) {
	co := NewCollector()
	for range guardMinBad {
		assert.False(t, co.ShowsFault())
		co.Add(Response{Failed: true}, epoch)
	}
	assert.True(t, co.ShowsFault())
}

// Guards against a node that stops using a sound version because a sixth of its
// responses are outliers, as they are of the base version.
func TestGuardToleratesOutliers(t *testing.T) {
	for seed := range uint64(200) {
		rd := rand.New(rand.NewPCG(seed, 1))
		co := NewCollector()
		for nn := range 1000 {
			took := 100 * time.Millisecond
			if rd.Float64() < 1.0/6 {
				took = time.Second
			}
			co.Add(Response{Route: "r", Took: took}, epoch.Add(time.Duration(nn)*time.Millisecond))
			require.False(t, co.ShowsFault(), "seed %d, response %d", seed, nn)
		}
	}
}

// Guards against a rollout that goes on without evidence, because the nodes of its
// canaries have stopped using the version.
func TestBlockedCanariesStopRollout(t *testing.T) {
	or := order()
	total := map[string]Tally{"r": {Requests: 67, Bad: 14}}
	blocked := Evidence{Targets: 6, Blocked: 1, Total: total}
	base := Evidence{Targets: 6, Total: map[string]Tally{"r": {Requests: 3885, Bad: 450}}}
	mo := move()
	_, changed := Decide(mo, or, 7*time.Second, blocked, base, false)
	assert.False(t, changed, "no further step")
	late := move()
	late.Step, late.Elapsed = 1, 6*time.Second
	next, changed := Decide(late, or, 11500*time.Millisecond, blocked, base, false)
	assert.True(t, changed)
	assert.Equal(t, RolledBack, next.State)
	late.Step = len(steps) - 1
	next, changed = Decide(late, or, 9*time.Second, blocked, base, false)
	assert.True(t, changed, "at once while the old targets still run")
	assert.Equal(t, RolledBack, next.State)

	// On starved processors two fifths of the responses of both versions are outliers.
	shared := Evidence{
		Targets: 2, Blocked: 1, Total: map[string]Tally{"r": {Requests: 266, Bad: 106}},
	}
	base.Total = map[string]Tally{"r": {Requests: 725, Bad: 293}}
	_, changed = Decide(late, or, 9*time.Second, shared, base, false)
	assert.False(t, changed)
	next, _ = Decide(late, or, 14*time.Second, shared, base, false)
	assert.Equal(t, Complete, next.State, next.Reason)
}

func TestSelect(t *testing.T) {
	or := order()
	mo := move()
	counts := map[string]int{"v1": 3, "v2": 1}
	full := mo
	full.Step = len(steps) - 1
	complete, back := mo, mo
	complete.State, back.State = Complete, RolledBack
	older := complete
	older.Order, older.Version = 3, "v1"
	for name, tc := range map[string]struct {
		or     *Order
		mo     *Move
		counts map[string]int
		allows map[string]bool
	}{
		"no order":           {nil, nil, counts, map[string]bool{"v1": true, "v2": false}},
		"order alone":        {&or, nil, counts, map[string]bool{"v1": true, "v2": false}},
		"under way":          {&or, &mo, counts, map[string]bool{"v1": true, "v2": true, "v3": false}},
		"all traffic moved":  {&or, &full, counts, map[string]bool{"v1": false, "v2": true}},
		"complete":           {&or, &complete, counts, map[string]bool{"v1": false, "v2": true}},
		"complete, no order": {nil, &complete, counts, map[string]bool{"v1": false, "v2": true}},
		"rolled back":        {&or, &back, counts, map[string]bool{"v1": true, "v2": false}},
		"rolled back, more of it": {
			&or, &back, map[string]int{"v1": 1, "v2": 4}, map[string]bool{"v1": true, "v2": false},
		},
		"order after another": {&or, &older, counts, map[string]bool{"v1": true, "v2": false}},
	} {
		ve := Select(tc.or, tc.mo, tc.counts)
		for version, want := range tc.allows {
			assert.Equal(t, want, ve.Allows(version), "%s: %s", name, version)
		}
	}
}

func ExampleDecide() {
	mo := Move{Order: 7, Service: "desk", Version: "v2", Base: "v1", State: Active}
	or := Order{Service: "desk", Version: "v2", Duration: 15 * time.Second, Number: 7}
	candidate := Evidence{Targets: 3, Total: map[string]Tally{"scan": {Requests: 40, Bad: 15}}}
	base := Evidence{Targets: 6, Total: map[string]Tally{"scan": {Requests: 900, Bad: 2}}}
	mo, _ = Decide(mo, or, time.Second, candidate, base, false)
	fmt.Println(mo.State, mo.Share(), mo.Reason)
	// Output: rolledBack 0 all responses
}

// Records that another program left are not taken for rollouts. A step out of range
// used to end the process of each node that read the record.
func TestDecodeMoveRejects(t *testing.T) {
	sound := `{"order":7,"service":"desk","version":"v2","base":"v1","state":"active","step":1}`
	mo, err := DecodeMove([]byte(sound))
	require.NoError(t, err)
	assert.Equal(t, 0.25, mo.Share())
	for name, text := range map[string]string{
		"empty":            "",
		"nested deeply":    strings.Repeat("[", 100_000),
		"negative step":    strings.Replace(sound, `"step":1`, `"step":-1`, 1),
		"step too large":   strings.Replace(sound, `"step":1`, `"step":99`, 1),
		"step too large 2": strings.Replace(sound, `"step":1`, `"step":1e30`, 1),
		"unknown state":    strings.Replace(sound, "active", "resting", 1),
		"no state":         strings.Replace(sound, `"state":"active",`, "", 1),
		"no service":       strings.Replace(sound, "desk", "", 1),
		"long version":     strings.Replace(sound, "v2", strings.Repeat("v", 1000), 1),
		"negative time":    strings.Replace(sound, `"step":1`, `"elapsed":-1`, 1),
		"endless time":     strings.Replace(sound, `"step":1`, `"elapsed":9223372036854775807`, 1),
	} {
		_, err := DecodeMove([]byte(text))
		assert.Error(t, err, name)
	}
}

func FuzzDecodeMove(f *testing.F) {
	f.Add([]byte(`{"order":7,"service":"desk","version":"v2","base":"v1","state":"active","step":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if mo, err := DecodeMove(data); err == nil && (mo.Share() < 0 || mo.Share() > 1) {
			t.Fatalf("share %v of %+v", mo.Share(), mo)
		}
	})
}

// Replays a version that is bad under full load only, in a rollout whose leaders were
// restarted in turn, so that the last step began late. The first signs arrive a
// second after the step. The rollout must not complete on them.
func TestFaultAtLateLastStep(t *testing.T) {
	or := order()
	at := func(progress float64) time.Duration {
		return time.Duration(progress * float64(or.Duration))
	}
	evidence := func(requests, bad int) Evidence {
		ta := map[string]Tally{"r": {Requests: requests, Bad: bad}}
		return Evidence{Targets: 3, Total: ta, Recent: ta}
	}
	mo := move()
	mo.Step, mo.Elapsed = len(steps)-1, at(0.83)
	base := evidence(1000, 10)

	next, changed := Decide(mo, or, at(0.91), evidence(100, 2), base, false)
	assert.False(t, changed, "the step has lasted too short: %s", next.Reason)
	signs := evidence(60, 12)
	next, changed = Decide(mo, or, at(0.94), signs, base, false)
	assert.False(t, changed, "suspect: %s", next.Reason)
	next, changed = Decide(mo, or, at(0.96), signs, base, false)
	assert.True(t, changed)
	assert.Equal(t, RolledBack, next.State, next.Reason)
	next, _ = Decide(mo, or, at(0.96), evidence(200, 2), base, false)
	assert.Equal(t, Complete, next.State, "a sound version completes in time")
}
