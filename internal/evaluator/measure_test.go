package evaluator_test

import (
	"flag"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/internal/evaluator"
	"github.com/guavastall/guavastall/internal/rehearser"
	"github.com/guavastall/guavastall/pkg/checker"
)

// The full measurement is run with
// `go test ./internal/evaluator -run Measure -v -runs 1000 -baselineruns 1000`.
var (
	runs    = flag.Int("runs", 110, "seeded runs of each class of rollout")
	others  = flag.Int("baselineruns", 12, "seeded runs of each class under the baselines")
	only    = flag.String("class", "", "measure only the classes with this in their name")
	workers = flag.Int("workers", 4, "concurrent runs")
)

// policy is a named way to decide on rollouts.
type policy struct {
	name string
	make func(sc rehearser.Scenario) rehearser.Policy
}

func evaluatorPolicy(
	newEvaluation rehearser.NewEvaluation,
) func(rehearser.Scenario) rehearser.Policy {
	return func(sc rehearser.Scenario) rehearser.Policy {
		return rehearser.NewEvaluatorPolicy(sc, newEvaluation)
	}
}

// policies are the evaluator and the baselines it is compared with.
var policies = []policy{
	{"evaluator", evaluatorPolicy(evaluator.NewEvaluation)},
	{"timer", func(sc rehearser.Scenario) rehearser.Policy { return &timer{sc: sc} }},
	{"threshold", func(sc rehearser.Scenario) rehearser.Policy {
		return &timer{sc: sc, threshold: 0.05}
	}},
}

// timer is a baseline that advances every data centre by one step a minute. With a
// threshold, it rolls back the move if there were at least ten calls to the new
// version in the last ten seconds and more than that share of them failed.
type timer struct {
	sc        rehearser.Scenario
	threshold float64
	ticks     int
	window    [10][2]uint32
	plan      rehearser.Plan
}

const timerStep = 60

func (ti *timer) Decide(_ time.Time, samples []evaluator.Sample) rehearser.Plan {
	at := ti.ticks % len(ti.window)
	ti.window[at] = [2]uint32{}
	for _, sa := range samples {
		if sa.Arm == evaluator.New {
			ti.window[at][0] += sa.Calls + sa.ColdCalls
			ti.window[at][1] += sa.Failures + sa.ColdFailures
		}
	}
	var calls, failures uint32
	for _, pe := range ti.window {
		calls, failures = calls+pe[0], failures+pe[1]
	}
	step := min(1+ti.ticks/timerStep, len(ti.sc.Rollout.Steps))
	steps := map[checker.DataCentre]int{}
	for _, si := range ti.sc.Sites {
		steps[si.Name] = step
	}
	bad := ti.threshold > 0 && calls >= 10 && float64(failures) > ti.threshold*float64(calls)
	ti.plan = rehearser.Plan{
		Steps: steps, TakenBack: ti.plan.TakenBack || bad,
		Done: ti.ticks >= timerStep*len(ti.sc.Rollout.Steps),
	}
	ti.ticks++
	return ti.plan
}

// Guards against bad versions that get too many calls, against good versions that
// are rolled back or late, and against an evaluator no better than the baselines.
// The bounds are the targets of the design document.
func TestMeasure(t *testing.T) {
	t.Parallel()
	counts := map[string]int{"evaluator": *runs, "timer": *others, "threshold": *others}
	if testing.Short() {
		counts = map[string]int{"evaluator": 2, "timer": 1, "threshold": 1}
	}
	before := asserter.Violations()
	t.Log(rehearser.Header())
	for _, cl := range rehearser.Classes() {
		if !strings.Contains(cl.Name, *only) {
			continue
		}
		scores := map[string]*rehearser.Score{}
		for _, po := range policies {
			so := rehearser.Measure(cl, counts[po.name], *workers, po.make)
			scores[po.name] = so
			t.Log(so.Row(cl.Name, po.name))
		}
		t.Log("reasons:", scores["evaluator"].Reasons)
		requireTargets(t, cl, scores)
	}
	require.Equal(t, before, asserter.Violations())
}

func share(so *rehearser.Score) float64 { return float64(so.TakenBack) / float64(so.Runs) }

func requireTargets(t *testing.T, cl rehearser.Class, scores map[string]*rehearser.Score) {
	ours, plain := scores["evaluator"], scores["threshold"]
	switch {
	case cl.Name == rehearser.FailsOutright:
		require.Equal(t, ours.Runs, ours.TakenBack, cl.Name)
		require.Less(t, rehearser.Worst(ours.Share), 0.01, cl.Name)
		require.LessOrEqual(t, rehearser.Worst(ours.Reaction), 5*time.Second, cl.Name)
		require.Less(t, rehearser.Worst(ours.Share), rehearser.Worst(plain.Share), cl.Name)
	case cl.Bad:
		require.GreaterOrEqual(t, float64(ours.Caught), 0.99*float64(ours.Shown), cl.Name)
		require.Zero(t, scores["timer"].Caught, cl.Name)
	default:
		require.GreaterOrEqual(t, float64(ours.Done), 0.99*float64(ours.Runs), cl.Name)
		require.Less(t, float64(ours.TakenBack-ours.Late), 0.01*float64(ours.Runs), cl.Name)
		require.LessOrEqual(t, share(ours), share(plain), cl.Name)
	}
}

// Guards against too many calls to a version that fails every call if its service
// has little traffic. The bounds are those for all versions that fail every call.
func TestLowTrafficExposure(t *testing.T) {
	for _, cl := range rehearser.Classes() {
		if cl.Name != rehearser.FailsAtLowTraffic {
			continue
		}
		so := rehearser.Measure(cl, 20, *workers, policies[0].make)
		t.Log(rehearser.Header())
		t.Log(so.Row(cl.Name, "evaluator"))
		require.Less(t, rehearser.Worst(so.Share), 0.01)
		require.LessOrEqual(t, rehearser.Worst(so.Reaction), 5*time.Second)
	}
}
