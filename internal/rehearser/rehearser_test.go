package rehearser

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/evaluator"
	"github.com/guavastall/guavastall/pkg/checker"
)

// fixedPolicy is a policy that always returns the same plan.
type fixedPolicy struct{ plan Plan }

func (fi fixedPolicy) Decide(time.Time, []evaluator.Sample) Plan { return fi.plan }

// Guards against runs that differ for the same seed, and against results that
// depend on the number of workers.
func TestMeasureRepeats(t *testing.T) {
	policy := func(sc Scenario) Policy { return NewEvaluatorPolicy(sc, evaluator.NewEvaluation) }
	for _, cl := range Classes() {
		require.Equal(t, Measure(cl, 2, 1, policy), Measure(cl, 2, 3, policy), cl.Name)
	}
}

// Guards against draws whose rate, failures, latency or split between the versions
// differ from the scenario, which would invalidate every result.
func TestDraws(t *testing.T) {
	sc := Classes()[0].Scenario(0)
	sc.Deadline = 5 * time.Minute
	sc.Fault = &Fault{Errors: 0.2, Latency: 2}
	step := map[checker.DataCentre]int{}
	rate := 0.0
	for _, si := range sc.Sites {
		step[si.Name] = 3
		rate += si.Rate
	}
	re := Run(sc, fixedPolicy{Plan{Steps: step}})
	sent := rate * (sc.Deadline + time.Minute).Seconds()
	require.InEpsilon(t, sent, float64(re.Calls), 0.01)
	require.InEpsilon(t, 0.25*sent, float64(re.Exposed), 0.02)
	require.False(t, re.Done || re.TakenBack)

	rd := rand.New(rand.NewPCG(1, 1))
	for _, mean := range []float64{0.01, 0.9, 12, 300} {
		sum := 0.0
		for range 50_000 {
			sum += float64(poisson(rd, mean))
		}
		require.InDelta(t, mean, sum/50_000, 0.02+mean/200)
	}
	di, sa := newDistribution(20*time.Millisecond, 0.4), evaluator.Sample{}
	di.draw(rd, 100_000, 2, &sa)
	slower := uint32(0)
	for _, lc := range sa.Latencies {
		if lc.Bucket > evaluator.BucketOf(40*time.Millisecond) {
			slower += lc.Calls
		}
	}
	require.InDelta(t, 0.5, float64(slower)/float64(sa.Calls), 0.06, "one latency may share the bucket")
}
