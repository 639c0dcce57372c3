package evaluator

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/pkg/checker"
)

func testRollout() checker.Rollout {
	return checker.Rollout{
		Steps: []float64{0.01, 0.1, 1}, StepTime: checker.Duration(10 * time.Second),
		MinCalls: 20, MaxErrorIncrease: 0.01, MaxLatencyFactor: 2,
		QuietAfter: checker.Duration(time.Minute),
	}
}

// bench drives one evaluation second by second.
type bench struct {
	ev  *Evaluation
	st  Standing
	now time.Time
}

func newBench(st Standing) *bench {
	be := &bench{now: epoch, st: st}
	be.ev = NewEvaluation(Config{Move: 1, DataCentre: "lahore", Rollout: testRollout()}, epoch)
	return be
}

func sampleOf(arm Arm, calls, failures uint32, latency time.Duration) Sample {
	sa := Sample{Calls: calls, Failures: failures}
	sa.Key = Key{Service: "tag", Route: "scan", Move: 1, DataCentre: "lahore", Arm: arm}
	if calls > failures {
		lc := LatencyCount{Bucket: BucketOf(latency), Calls: calls - failures}
		sa.Latencies = []LatencyCount{lc}
	}
	return sa
}

// tick simulates one second with the samples.
func (be *bench) tick(samples ...Sample) Decision {
	be.now = be.now.Add(time.Second)
	be.ev.Stand(be.st, be.now)
	for _, sa := range samples {
		be.ev.Merge(sa, be.now)
	}
	return be.ev.Decide(be.now)
}

// until simulates seconds until the decision is not Hold, at most the given
// number. It returns the last decision and the number of seconds.
func (be *bench) until(most int, samples ...Sample) (Decision, int) {
	for nn := 1; ; nn++ {
		if de := be.tick(samples...); de.Kind != Hold || nn == most {
			return de, nn
		}
	}
}

const usual = 10 * time.Millisecond

// Guards against a move that advances before its step time or without enough
// calls, and against one that never completes.
func TestEvaluationGoodMove(t *testing.T) {
	be := newBench(Standing{Open: true, Ready: true})
	news, olds := sampleOf(New, 4, 0, usual), sampleOf(Old, 200, 1, usual)
	for step := 1; step <= 4; step++ {
		de, took := be.until(100, news, olds)
		require.Equal(t, step, de.Step, de.Reason)
		require.Equal(t, step == 4, de.Kind == Passed)
		require.GreaterOrEqual(t, took, 10)
		require.Less(t, took, 13)
	}
	require.Equal(t, Hold, be.tick().Kind)
}

// Guards against a first step before the stage order allows it, without a target
// of the new version, or in a data centre that takes no part.
func TestEvaluationStart(t *testing.T) {
	for _, tt := range []struct {
		name string
		st   Standing
		want Kind
	}{
		{"open", Standing{Open: true, Ready: true}, Advance},
		{"not open", Standing{Ready: true}, Hold},
		{"not ready", Standing{Open: true}, Hold},
		{"out", Standing{Open: true, Ready: true, Out: true}, Hold},
		{"ended", Standing{Open: true, Ready: true, Ended: true}, Hold},
		{"no time left", Standing{Deadline: epoch.Add(20 * time.Second)}, TakeBack},
	} {
		t.Run(tt.name, func(t *testing.T) {
			de, _ := newBench(tt.st).until(200, sampleOf(Old, 10, 0, usual))
			require.Equal(t, tt.want, de.Kind, de.Reason)
		})
	}
}

// Guards against faults that are not detected, and against rollbacks of good
// versions because of problems that the old version has too.
func TestEvaluationVerdicts(t *testing.T) {
	cold := sampleOf(New, 0, 0, 0)
	cold.ColdCalls, cold.ColdFailures = 4, 1
	coldBad := cold
	coldBad.ColdFailures = 4
	for _, tt := range []struct {
		name    string
		samples []Sample
		want    Kind
		reason  string
	}{
		{"equal", []Sample{sampleOf(New, 5, 0, usual), sampleOf(Old, 400, 2, usual)}, Hold, ""},
		{"fails", []Sample{sampleOf(New, 5, 3, usual), sampleOf(Old, 400, 2, usual)}, TakeBack, "errors"},
		{"both fail", []Sample{sampleOf(New, 5, 3, usual), sampleOf(Old, 400, 240, usual)}, Hold, ""},
		{"slow", []Sample{sampleOf(New, 5, 0, 3*usual), sampleOf(Old, 400, 0, usual)}, TakeBack, "latency"},
		{"slower within limits", []Sample{sampleOf(New, 5, 0, usual*13/10), sampleOf(Old, 400, 0, usual)}, Hold, ""},
		{"no old calls", []Sample{sampleOf(New, 5, 5, usual)}, Hold, ""},
		{"cold", []Sample{cold, sampleOf(Old, 400, 0, usual)}, Hold, ""},
		{"cold and failing", []Sample{coldBad, sampleOf(Old, 400, 0, usual)}, TakeBack, "cold"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			be := newBench(Standing{Open: true, Ready: true, Step: 1})
			warm := []Sample{sampleOf(New, 1, 0, usual), sampleOf(Old, 400, 0, usual)}
			be.tick(warm...)
			be.tick(warm...)
			var de Decision
			ticks := 7 // less than the step time
			if tt.want == TakeBack {
				ticks = 30
			}
			for range ticks {
				if de = be.tick(tt.samples...); de.Kind != Hold {
					break
				}
			}
			require.Equal(t, tt.want, de.Kind, de.Reason)
			require.Contains(t, de.Reason, tt.reason)
		})
	}
}

// Guards against a new version that is never judged because its targets stay cold.
func TestEvaluationPermanentlyCold(t *testing.T) {
	cold := sampleOf(New, 0, 0, 0)
	cold.ColdCalls, cold.ColdFailures = 10, 2
	be := newBench(Standing{Open: true, Ready: true, Step: 1})
	de, took := be.until(200, cold, sampleOf(Old, 100, 0, usual))
	require.Equal(t, TakeBack, de.Kind, de.Reason)
	require.Greater(t, took, int(maxColdTime/time.Second))
}

// Guards against a version that keeps getting calls after its first ones failed.
func TestEvaluationFirstCalls(t *testing.T) {
	olds := sampleOf(Old, 100, 0, usual)
	for _, tt := range []struct {
		name  string
		first bool
	}{
		{"no data centre has passed a step", true},
		{"another has", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			be := newBench(Standing{Open: true, Ready: true, Step: 1, First: tt.first})
			be.tick(olds)
			failed := sampleOf(New, 1, 1, usual)
			require.Equal(t, Hold, be.tick(olds, failed).Kind)
			if !tt.first {
				be.tick(olds)
				require.Equal(t, Hold, be.tick(olds).Kind)
				require.Equal(t, TakeBack, be.tick(olds, failed).Kind)
				return
			}
			require.Equal(t, TakeBack, be.tick(olds).Kind, "no successful call in a second")
		})
	}
}

// Guards against a rollback at the first calls, and against an advance, while the
// data centre has a problem that makes the old version fail too.
func TestEvaluationOldVersionDegraded(t *testing.T) {
	good := []Sample{sampleOf(Old, 100, 0, usual), sampleOf(New, 4, 0, usual)}
	be := newBench(Standing{Open: true, Ready: true, Step: 1, First: true})
	for range 20 {
		be.tick(good[0])
	}
	for range 3 {
		de := be.tick(sampleOf(Old, 100, 30, usual), sampleOf(New, 1, 1, usual))
		require.Equal(t, Hold, de.Kind, de.Reason)
	}

	be = newBench(Standing{Open: true, Ready: true, Step: 1})
	for range 9 {
		require.Equal(t, Hold, be.tick(good...).Kind)
	}
	for range 6 {
		de := be.tick(sampleOf(Old, 100, 30, usual), good[1])
		require.Equal(t, Hold, de.Kind)
		require.Regexp(t, "step time|old version fails more", de.Reason)
	}
}

// Guards against a service with little traffic that never advances, or advances
// although a call to the new version failed.
func TestEvaluationLowTraffic(t *testing.T) {
	be := newBench(Standing{Open: true, Ready: true, Step: 1})
	de, took := be.until(100)
	require.Equal(t, Advance, de.Kind)
	require.Equal(t, 61, took) // the step is known from the first second on

	be.tick(sampleOf(New, 1, 1, usual))
	de, took = be.until(300)
	require.Equal(t, Hold, de.Kind, "after %d s", took)
	be.tick(sampleOf(New, 1, 0, usual))
	require.Equal(t, 3, be.tick().Step)
	be.tick(sampleOf(New, 1, 1, usual))
	de = be.tick(sampleOf(New, 1, 1, usual))
	require.Equal(t, TakeBack, de.Kind)
}

// Guards against an evaluator that takes over and advances on calls that only its
// predecessor has counted.
func TestEvaluationTakesOver(t *testing.T) {
	be := newBench(Standing{Open: true, Ready: true, Step: 2})
	de, took := be.until(30, sampleOf(New, 5, 0, usual), sampleOf(Old, 400, 0, usual))
	require.Equal(t, Advance, de.Kind)
	require.Equal(t, 11, took)
	be = newBench(Standing{Open: true, Ready: true, Step: 2})
	de, _ = be.until(50, sampleOf(Old, 400, 0, usual))
	require.Equal(t, Hold, de.Kind, "no call to the new version was counted")
}

// Guards against steps that are shortened because the deadline is near, and
// against steps that are not lengthened if there is time.
func TestEvaluationDeadline(t *testing.T) {
	news, olds := sampleOf(New, 4, 0, usual), sampleOf(Old, 200, 1, usual)
	for _, tt := range []struct {
		name     string
		deadline time.Duration
		want     Kind
		took     int
	}{
		{"too near", 29 * time.Second, TakeBack, 1},
		{"just enough", 31 * time.Second, Advance, 11},
		{"ample", time.Hour, Advance, 21},
		{"none", 0, Advance, 11},
	} {
		t.Run(tt.name, func(t *testing.T) {
			st := Standing{Open: true, Ready: true, Step: 1}
			if tt.deadline > 0 {
				st.Deadline = epoch.Add(tt.deadline)
			}
			de, took := newBench(st).until(100, news, olds)
			require.Equal(t, tt.want, de.Kind, de.Reason)
			require.Equal(t, tt.took, took)
		})
	}
}

// Guards against a move that stays incomplete after its deadline: one data centre
// has passed the last step, and the others never do.
func TestEvaluationPassedTooLate(t *testing.T) {
	be := newBench(Standing{Open: true, Ready: true, Step: 4, Deadline: epoch.Add(time.Minute)})
	de, took := be.until(100)
	require.Equal(t, TakeBack, de.Kind)
	require.Equal(t, 61, took)
}

// Guards against data centres that start before the canary has passed its first
// step, and against a move that stops because the canary is unreachable.
func TestOpen(t *testing.T) {
	all := []checker.DataCentre{"lahore", "multan", "faisalabad"}
	canary, ok := Canary(9, all)
	require.True(t, ok)
	rest := slices.DeleteFunc(slices.Clone(all), func(dc checker.DataCentre) bool { return dc == canary })
	require.True(t, Open(9, canary, nil, all))
	require.False(t, Open(9, rest[0], map[checker.DataCentre]int{canary: 1}, all))
	require.True(t, Open(9, rest[0], map[checker.DataCentre]int{canary: 2}, all))
	next, _ := Canary(9, rest)
	require.True(t, Open(9, next, map[checker.DataCentre]int{canary: 1}, rest))
	chosen := map[checker.DataCentre]int{}
	for mo := range checker.MoveID(300) {
		dc, _ := Canary(mo, all)
		chosen[dc]++
	}
	for _, dc := range all {
		require.Greater(t, chosen[dc], 60)
	}
}

// Guards against a node that rolls back a move on weak evidence of its own, or does
// not on overwhelming evidence.
func TestOverwhelming(t *testing.T) {
	for _, tt := range []struct {
		name    string
		samples []Sample
		want    bool
	}{
		{"nothing", nil, false},
		{"few failures", []Sample{sampleOf(New, 3, 3, 0), sampleOf(Old, 200, 0, usual)}, false},
		{"many failures", []Sample{sampleOf(New, 30, 25, usual), sampleOf(Old, 200, 1, usual)}, true},
		{"both fail", []Sample{sampleOf(New, 30, 25, usual), sampleOf(Old, 200, 170, usual)}, false},
		{"small rise", []Sample{sampleOf(New, 300, 25, usual), sampleOf(Old, 300, 1, usual)}, false},
		{"no old calls", []Sample{sampleOf(New, 300, 300, usual)}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			reason, got := Overwhelming(testRollout(), tt.samples...)
			require.Equal(t, tt.want, got, reason)
			require.Equal(t, tt.want, reason != "")
		})
	}
}

// drawSample draws a sample, sometimes one that no correct node would send.
func drawSample(t *rapid.T) Sample {
	calls := uint32(rapid.IntRange(0, 30).Draw(t, "calls"))
	if rapid.Bool().Draw(t, "none") {
		calls = 0
	}
	failures := uint32(rapid.IntRange(0, 3).Draw(t, "failures"))
	latency := time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * time.Millisecond
	sa := sampleOf(Arm(rapid.IntRange(0, 2).Draw(t, "arm")), calls, min(failures, calls), latency)
	sa.Failures = failures
	sa.Route = rapid.SampledFrom([]string{"scan", "confirm"}).Draw(t, "route")
	sa.ColdCalls = uint32(rapid.SampledFrom([]int{0, 0, 0, 5}).Draw(t, "cold"))
	sa.ColdFailures = uint32(rapid.IntRange(0, 5).Draw(t, "cold failures"))
	if rapid.IntRange(0, 20).Draw(t, "stray") == 0 {
		sa.Move = 2
	}
	return sa
}

// Guards against steps that decrease and a move that advances after its rollback,
// whatever samples and steps are received or lost.
func TestEvaluationMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := asserter.Violations()
		be := newBench(Standing{Open: true, Ready: true})
		step, ended := 0, false
		for range rapid.IntRange(1, 200).Draw(t, "seconds") {
			be.st.Step = rapid.IntRange(0, 5).Draw(t, "known step")
			if rapid.IntRange(0, 3).Draw(t, "forget step") > 0 {
				be.st.Step = 0
			}
			be.st.Out = rapid.IntRange(0, 9).Draw(t, "out") == 0
			be.now = be.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Second)
			de := be.tick(drawSample(t), drawSample(t))
			require.GreaterOrEqual(t, de.Step, step)
			require.False(t, ended && de.Kind != Hold)
			step, ended = de.Step, ended || de.Kind == TakeBack
		}
		require.Equal(t, before, asserter.Violations())
	})
}
