package evaluator

import (
	"flag"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// naive is a reference implementation of Evaluation. It keeps all periods and
// computes each decision from all of them, without running sums.
type naive struct {
	co      Config
	st      Standing
	periods []naivePeriod
	since   time.Time
	first   int // first period of the step
	ended   bool
	// known caches the tallies of past periods, which do not change any more.
	known map[naiveKey]naiveTally
}

type naiveKey struct {
	period  int
	route   string
	measure measure
}

type naiveTally struct {
	tally
	ok bool
}

// tally returns the calls of a route in a period, counted for a measure.
func (na *naive) tally(nn int, route string, me measure) (tally, bool) {
	key := naiveKey{nn, route, me}
	got, ok := na.known[key]
	if !ok {
		got.tally, got.ok = na.newTally(nn, route, me)
		na.known[key] = got
	}
	return got.tally, got.ok
}

type naivePeriod struct {
	at     time.Time
	routes map[string]*[armCount]naiveCalls
}

type naiveCalls struct {
	calls, failures, cold, coldFailures float64
	latencies                           map[int]float64
}

func newNaivePeriod() naivePeriod {
	return naivePeriod{routes: map[string]*[armCount]naiveCalls{}}
}

func (pe naivePeriod) merge(sa Sample) {
	ro := pe.routes[sa.Route]
	if ro == nil {
		ro = &[armCount]naiveCalls{}
		pe.routes[sa.Route] = ro
	}
	ca := &ro[sa.Arm]
	ca.calls += float64(sa.Calls)
	ca.failures += float64(sa.Failures)
	ca.cold += float64(sa.ColdCalls)
	ca.coldFailures += float64(sa.ColdFailures)
	if ca.latencies == nil {
		ca.latencies = map[int]float64{}
	}
	for _, lc := range sa.Latencies {
		ca.latencies[int(lc.Bucket)] += float64(lc.Calls)
	}
}

// sum returns the sum of one arm over all routes.
func (pe naivePeriod) sum(ar Arm) (all naiveCalls) {
	for _, ro := range pe.routes {
		all.calls += ro[ar].calls
		all.failures += ro[ar].failures
		all.cold += ro[ar].cold
		all.coldFailures += ro[ar].coldFailures
	}
	return all
}

func (pe naivePeriod) active(route string) bool {
	ro := pe.routes[route]
	return ro != nil && ro[Old].calls+ro[New].calls+ro[Old].cold+ro[New].cold > 0
}

// decayed returns the sum of a value over the periods up to the given one, each
// weighted by its age.
func (na *naive) decayed(upTo int, factor float64, value func(naivePeriod) float64) float64 {
	sum := 0.0
	for nn := 0; nn <= upTo; nn++ {
		sum += value(na.periods[nn]) * math.Pow(factor, float64(upTo-nn))
	}
	return sum
}

func (na *naive) share(upTo int, factor float64, hits, calls func(naivePeriod) float64) float64 {
	return na.decayed(upTo, factor, hits) / max(na.decayed(upTo, factor, calls), 1)
}

func oldFailures(pe naivePeriod) float64 { return pe.sum(Old).failures }
func oldCalls(pe naivePeriod) float64    { return pe.sum(Old).calls }
func allCalls(pe naivePeriod) float64    { return pe.sum(Old).calls + pe.sum(New).calls }
func newCold(pe naivePeriod) float64     { return pe.sum(New).cold }
func newAll(pe naivePeriod) float64      { return pe.sum(New).calls + pe.sum(New).cold }

// coldFor returns how long most calls have gone to cold targets at the given
// period, and false if most go to warm ones.
func (na *naive) coldFor(upTo int) (time.Duration, bool) {
	from := upTo
	for from >= 0 && na.share(from, longDecay, newCold, newAll) > 0.5 {
		from--
	}
	if from == upTo {
		return 0, false
	}
	return na.periods[upTo].at.Sub(na.periods[from+1].at), true
}

func (na *naive) newTally(nn int, route string, me measure) (tally, bool) {
	pe := na.periods[nn]
	if !pe.active(route) {
		return tally{}, false
	}
	older, newer := pe.routes[route][Old], pe.routes[route][New]
	if cold, _ := na.coldFor(nn); cold > maxColdTime {
		newer.calls += newer.cold
		newer.failures += newer.coldFailures
	}
	if older.calls == 0 || newer.calls == 0 {
		return tally{}, false
	}
	if me == errorShare {
		return tally{newer.failures, newer.calls, older.failures, older.calls}, true
	}
	past := map[int]float64{}
	total, age := 0.0, 0
	for mm := nn - 1; mm >= 0; mm-- {
		if !na.periods[mm].active(route) {
			continue
		}
		for bu, calls := range na.periods[mm].routes[route][Old].latencies {
			past[bu] += calls * math.Pow(longDecay, float64(age))
			total += calls * math.Pow(longDecay, float64(age))
		}
		age++
	}
	if total < minLatencies {
		return tally{}, false
	}
	from := bucketCount
	for above := 0.0; from > 1 && above+past[from-1] <= tailShares[me]*total; from-- {
		above += past[from-1]
	}
	limit := time.Duration(float64(bucketLow(from)) * (1 + (na.co.Rollout.MaxLatencyFactor-1)/2))
	var ta tally
	for bu, calls := range older.latencies {
		ta.oldCalls += calls
		if bu >= from {
			ta.oldHits += calls
		}
	}
	for bu, calls := range newer.latencies {
		ta.newCalls += calls
		if bucketLow(bu) >= limit {
			ta.newHits += calls
		}
	}
	return ta, ta.oldCalls > 0 && ta.newCalls > 0
}

// ratio returns the logarithmic likelihood ratio of a tally. Each hit contributes
// the ratio of its probabilities under the two hypotheses.
func ratio(ta tally, odds, allowed float64, misses bool) float64 {
	share := ta.newCalls / (ta.newCalls + ta.oldCalls)
	favour, against := ta.newHits, ta.oldHits+allowed*ta.oldCalls
	if misses {
		share = 1 - share
		favour, against = ta.oldCalls-ta.oldHits, ta.newCalls-ta.newHits+allowed*ta.newCalls
	}
	other := odds * share / (odds*share + 1 - share)
	return favour*math.Log(other/share) + against*math.Log((1-other)/(1-share))
}

// value returns the evidence of a series of periods, each with its strata. For
// each alternative it uses the greatest sum over the last periods of any number.
func value(periods [][]tally, allowed, most float64) float64 {
	var series [][]tally
	for _, strata := range periods {
		if len(strata) > 0 {
			series = append(series, strata)
		}
	}
	mean := 0.0
	for nn := range alternatives {
		best, sum := math.Inf(-1), 0.0
		for mm := len(series) - 1; mm >= 0; mm-- {
			period := 0.0
			for _, ta := range series[mm] {
				if nn < len(hitOdds) {
					period += ratio(ta, hitOdds[nn], allowed, false)
				} else {
					period += ratio(ta, missOdds[nn-len(hitOdds)], allowed, true)
				}
			}
			sum += min(period, most)
			best = max(best, sum)
		}
		if len(series) == 0 {
			best = 0
		}
		mean += math.Exp(best) / float64(alternatives)
	}
	return math.Log(mean)
}

// worst returns the greatest value of the tests of a measure.
func (na *naive) worst(routes []string, me measure) float64 {
	allowed, most := 0.0, 3.0
	if me == errorShare {
		allowed, most = na.co.Rollout.MaxErrorIncrease/2, 6
	}
	top := math.Inf(-1)
	overall := make([][]tally, len(na.periods))
	for _, route := range routes {
		var series [][]tally
		for nn := range na.periods {
			if ta, ok := na.tally(nn, route, me); ok {
				series = append(series, []tally{ta})
				overall[nn] = append(overall[nn], ta)
			}
		}
		top = max(top, value(series, allowed, most))
	}
	return max(top, value(overall, allowed, most))
}

func (na *naive) coldValue() float64 {
	series := make([][]tally, len(na.periods))
	for nn, pe := range na.periods {
		older, newer := pe.sum(Old), pe.sum(New)
		if newer.cold > 0 && older.calls > 0 {
			series[nn] = []tally{{newer.coldFailures, newer.cold, older.failures, older.calls}}
		}
	}
	return value(series, maxColdErrorIncrease, 6)
}

// consecutiveFailures returns the number of failures of the new version since its
// last success, whether it ever succeeded, and when the failures began.
func (na *naive) consecutiveFailures() (failures float64, succeeded bool, since time.Time) {
	for nn := len(na.periods) - 1; nn >= 0; nn-- {
		newer := na.periods[nn].sum(New)
		if newer.calls > newer.failures || newer.cold > newer.coldFailures {
			return failures, true, since
		}
		failures += newer.failures
		if newer.failures > 0 {
			since = na.periods[nn].at
		}
	}
	return failures, false, since
}

// decide returns the kind of the decision, the step and the evidence.
func (na *naive) decide(routes []string) (Kind, int, float64) {
	now, last := na.periods[len(na.periods)-1].at, len(na.co.Rollout.Steps)
	top := na.coldValue()
	for me := range measureCount {
		top = max(top, na.worst(routes, me))
	}
	if na.ended {
		return Hold, na.st.Step, top
	}
	if na.bad(top) {
		na.ended = true
		return TakeBack, na.st.Step, top
	}
	if na.st.Out {
		return Hold, na.st.Step, top
	}
	stepTime := time.Duration(na.co.Rollout.StepTime)
	left := last + 1 - na.st.Step
	need := max(time.Duration(left)*stepTime-min(now.Sub(na.since), stepTime), 0)
	if !na.st.Deadline.IsZero() {
		if now.Add(need).After(na.st.Deadline) {
			na.ended = true
			return TakeBack, na.st.Step, top
		}
		spare := na.st.Deadline.Sub(na.since) / time.Duration(2*max(left, 1))
		if na.st.Step > 0 {
			stepTime = min(max(stepTime, spare), maxStepStretch*stepTime)
		}
	}
	if na.st.Step > last || now.Sub(na.since) < stepTime || top >= holdThreshold || !na.enough(now) {
		return Hold, na.st.Step, top
	}
	na.reach(na.st.Step+1, now)
	if na.st.Step > last {
		return Passed, na.st.Step, top
	}
	return Advance, na.st.Step, top
}

func (na *naive) bad(top float64) bool {
	end := len(na.periods) - 1
	usual := na.share(end, longDecay, oldFailures, oldCalls)
	recent := na.share(end, shortDecay, oldFailures, oldCalls)
	lowTraffic := na.decayed(end, longDecay, allCalls) < lowTrafficCalls
	failures, succeeded, since := na.consecutiveFailures()
	known := na.decayed(end, longDecay, oldCalls) >= minBaselineCalls &&
		recent <= usual+baselineErrorIncrease
	first := !succeeded && known && (failures >= 2 && usual*usual <= maxFalseRollbacks ||
		failures >= 1 && usual <= maxFalseRollbacks && na.st.First && na.st.Step == 1 &&
			na.decayed(end, longDecay, newCold) == 0 && na.periods[end].at.Sub(since) >= firstFailureWait)
	untested := lowTraffic && na.st.Step > len(na.co.Rollout.Steps) && failures >= 1 && !succeeded
	return top >= rollbackThreshold || first ||
		lowTraffic && failures >= lowTrafficFailures || untested
}

// enough reports whether the step has seen enough, or waited long enough.
func (na *naive) enough(now time.Time) bool {
	if na.st.Step == 0 {
		return na.st.Open && na.st.Ready
	}
	end := len(na.periods) - 1
	recent := na.share(end, shortDecay, oldFailures, oldCalls)
	if na.decayed(end, shortDecay, oldFailures) >= 5 &&
		recent > na.share(end, longDecay, oldFailures, oldCalls)+baselineErrorIncrease {
		return false
	}
	compared, quietSince := 0.0, na.since
	for _, pe := range na.periods[na.first:] {
		if pe.sum(Old).calls > 0 {
			compared += pe.sum(New).calls
		}
		if pe.sum(New).failures > 0 {
			quietSince = pe.at
		}
	}
	if compared >= float64(na.co.Rollout.MinCalls) {
		return true
	}
	_, cold := na.coldFor(end)
	failures, _, _ := na.consecutiveFailures()
	return !cold && failures == 0 && now.Sub(quietSince) >= time.Duration(na.co.Rollout.QuietAfter)
}

func (na *naive) reach(step int, now time.Time) {
	na.st.Step, na.since, na.first = step, now, len(na.periods)
}

func (na *naive) stand(st Standing, now time.Time) {
	st.Step = max(st.Step, na.st.Step)
	if st.Step > na.st.Step || st.Out {
		na.reach(st.Step, now)
	}
	na.st = st
}

var naiveRuns = flag.Int("naiveruns", 12, "runs against the reference implementation")

// Guards against decisions that differ from the formulas because of the running
// sums, the exponential decay, the restart of a step or the order of the rules.
func TestEvaluationAgainstNaive(t *testing.T) {
	t.Parallel()
	count, length := *naiveRuns, 150
	if testing.Short() {
		count = 2
	}
	routes := []string{"scan", "confirm"}
	kinds := map[Kind]int{}
	for seed := range count {
		rd := rand.New(rand.NewPCG(uint64(seed), 3))
		ro := testRollout()
		co := Config{Move: 1, DataCentre: "lahore", Rollout: ro}
		now := epoch
		ev, na := NewEvaluation(co, now), &naive{co: co, since: now, known: map[naiveKey]naiveTally{}}
		wl := newWorkload(rd)
		for range length {
			now = now.Add(time.Second)
			st := Standing{
				Open: rd.IntN(10) > 0, Ready: true, First: rd.IntN(2) == 0, Out: rd.IntN(100) == 0,
			}
			if seed%2 == 0 {
				st.Deadline = epoch.Add(100 * time.Second)
			}
			ev.Stand(st, now)
			na.stand(st, now)
			pe := newNaivePeriod()
			pe.at = now
			for _, sa := range wl.samples(rd, routes, na.st.Step) {
				ev.Merge(sa, now)
				pe.merge(sa)
			}
			na.periods = append(na.periods, pe)
			kind, step, top := na.decide(routes)
			de := ev.Decide(now)
			require.Equal(t, kind, de.Kind, "seed %d at %v: %s", seed, now.Sub(epoch), de.Reason)
			require.Equal(t, step, de.Step)
			if top < maxLogRatio-10 { // greater values are capped
				require.InDelta(t, top, de.Evidence.Statistic, 1e-6, "seed %d", seed)
			}
			kinds[de.Kind]++
			if kind == TakeBack && strings.HasPrefix(de.Reason, "deadline") {
				break
			}
		}
	}
	if !testing.Short() {
		for ki := Hold; ki <= Passed; ki++ {
			require.Positive(t, kinds[ki], "no run decided %v", ki)
		}
	}
}

// workload draws the calls for a comparison with the reference implementation.
type workload struct {
	rate, oldErrors, newErrors, cold float64
	slow                             time.Duration
}

func newWorkload(rd *rand.Rand) workload {
	pick := func(list ...float64) float64 { return list[rd.IntN(len(list))] }
	return workload{
		rate: pick(0.05, 2, 60), oldErrors: pick(0, 0.01, 0.2), newErrors: pick(0, 0, 0, 0.05, 0.5),
		cold: pick(0, 0, 0.3, 1), slow: time.Duration(pick(10, 10, 10, 30)) * time.Millisecond,
	}
}

func (wl workload) samples(rd *rand.Rand, routes []string, step int) []Sample {
	share := [...]float64{0.02, 0.1, 0.3, 0.9, 0.9}[step]
	var list []Sample
	for _, route := range routes {
		for _, sa := range []Sample{
			wl.draw(rd, Old, wl.rate*(1-share), wl.oldErrors, 0, 10*time.Millisecond),
			wl.draw(rd, New, wl.rate*share, wl.oldErrors+wl.newErrors, wl.cold, wl.slow),
		} {
			sa.Route = route
			list = append(list, sa)
		}
	}
	return list
}

func (wl workload) draw(
	rd *rand.Rand, arm Arm, rate, errors, cold float64, latency time.Duration,
) Sample {
	calls := int(rate)
	if rd.Float64() < rate-float64(calls) {
		calls++
	}
	var co Collector
	for range calls {
		co.Add(Observation{
			Failed: rd.Float64() < errors, Cold: rd.Float64() < cold,
			Latency: time.Duration(float64(latency) * (0.5 + rd.Float64())),
		})
	}
	sa := sampleOf(arm, 0, 0, 0)
	if list := co.Drain(); len(list) > 0 {
		key := sa.Key
		sa = list[0]
		sa.Key = key
	}
	return sa
}
