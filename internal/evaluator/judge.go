package evaluator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

const (
	// maxRoutes bounds the routes compared separately. A service has at most 100.
	maxRoutes = 128
	// maxColdTime is how long calls to cold targets are left out of the
	// comparison if most calls of the new version go to cold targets. Without a
	// limit, a version that is cold under every load would never be judged.
	maxColdTime = time.Minute
	// maxColdErrorIncrease is the allowed increase of the error share on cold
	// targets. The node of a cold target limits its load, so most of its calls
	// should succeed.
	maxColdErrorIncrease = 0.5
	// lowTrafficCalls is the number of calls in about a minute below which a
	// service counts as one with little traffic.
	lowTrafficCalls = 10
	// lowTrafficFailures is the number of consecutive failures that rolls back
	// the new version of a service with little traffic. Such a service has too
	// few calls for the likelihood ratio.
	lowTrafficFailures = 2
	// firstFailures is the number of failures that rolls back the new version if
	// no call to it has succeeded in the data centre. canaryFirstFailures is the
	// same while no data centre has passed the first step. One failed call is
	// weak evidence in general, but not if it is the first one: a version that
	// fails every call is far more frequent than a good version whose first call
	// fails. The share of good versions rolled back this way is at most
	// maxFalseRollbacks.
	firstFailures       = 2
	canaryFirstFailures = 1
	maxFalseRollbacks   = 0.01
	// firstFailureWait is how long a success is awaited after a single failed
	// first call. Without the wait, 0.4% of good versions were rolled back. With
	// a much longer one, calls would fail for more than 5 s.
	firstFailureWait = time.Second
	// minBaselineCalls is the number of calls to the old version from which its
	// error share is considered known.
	minBaselineCalls = 50
	// baselineErrorIncrease is the increase of the old version's recent error
	// share over its usual one that prevents an advance.
	baselineErrorIncrease = 0.02

	// shortDecay and longDecay are the decay factors per period of one second.
	shortDecay = 0.9   // about 10 s
	longDecay  = 0.985 // about a minute
)

// measure is a quantity in which the versions are compared.
type measure int

const (
	errorShare measure = iota
	slowQuartile
	slowTail
	measureCount
)

var measureNames = [measureCount]string{"errors", "upper quartile latency", "tail latency"}

// tailShares are the shares of the old version's calls that lie above the latency
// thresholds. At the median (0.5), hits are too frequent for the Poisson bound:
// in 300 runs a version twice as slow then got up to 2.9% of the calls, against
// 1.5% at the upper quartile.
var tailShares = [measureCount]float64{slowQuartile: 0.25, slowTail: 0.1}

// maxPeriodEvidence bounds what one period adds to a test. The calls within one
// second are not independent: without a bound, pauses of single targets for a
// second rolled back 21% of 300 good versions. With the bounds, a rollback takes
// two bad seconds of errors or four of latency. Bounding the likelihood ratio
// does not raise the rate of false alarms.
var maxPeriodEvidence = [measureCount]float64{errorShare: 6, slowQuartile: 3, slowTail: 3}

// judge compares the two versions on each route and overall.
type judge struct {
	ro      checker.Rollout
	newTest func() test

	routes  map[string]*routeJudge
	overall [measureCount]test
	// coldTest compares the cold calls of the new version with the warm ones
	// of the old.
	coldTest test

	// recentOld and usualOld are the failures and calls of the old version with
	// shortDecay and longDecay. minute is that of both versions with longDecay.
	recentOld, usualOld, minute decayedCount
	coldMinute                  decayedCount // hits are cold calls of the new version
	coldSince                   time.Time
	consecutiveFailures         int // of the new version
	failingSince                time.Time
	succeeded                   bool // a call to the new version has succeeded
	strata                      [measureCount][]tally
	routeNames                  []string // the routes in order
	strongest                   finding
}

// finding is the value of a test, with the route and the measure of the test. The
// route is empty for a test over all routes.
type finding struct {
	value          float64
	route, measure string
}

// decayedCount is a count with exponential decay.
type decayedCount struct {
	hits, calls float64
}

func (dc *decayedCount) add(factor float64, hits, calls uint64) {
	dc.hits = dc.hits*factor + float64(hits)
	dc.calls = dc.calls*factor + float64(calls)
}

func (dc *decayedCount) share() float64 { return dc.hits / max(dc.calls, 1) }

// routeJudge compares the versions on one route.
type routeJudge struct {
	period [armCount]counts
	// pastLatencies and pastCalls are the decayed counts of the old version's
	// successful calls in past periods, by latency and in total.
	pastLatencies [bucketCount]float64
	pastCalls     float64
	tests         [measureCount]test
}

// counts holds the calls of one version in one period.
type counts struct {
	calls, failures         uint64
	coldCalls, coldFailures uint64
	latencies               [bucketCount]uint32
}

func newJudge(ro checker.Rollout, newTest func() test) judge {
	ju := judge{ro: ro, newTest: newTest, routes: map[string]*routeJudge{}, coldTest: newTest()}
	for me := range measureCount {
		ju.overall[me] = newTest()
	}
	return ju
}

// merge adds a sample to the current period.
func (ju *judge) merge(sa Sample) {
	if sa.Arm >= armCount {
		return
	}
	ro := ju.routes[sa.Route]
	if ro == nil {
		if len(ju.routes) >= maxRoutes {
			return
		}
		ro = &routeJudge{}
		for me := range measureCount {
			ro.tests[me] = ju.newTest()
		}
		ju.routes[sa.Route] = ro
		ju.routeNames = slices.Sorted(maps.Keys(ju.routes))
	}
	ro.period[sa.Arm].add(sa)
}

func (co *counts) add(sa Sample) {
	co.calls += uint64(sa.Calls)
	co.failures += uint64(min(sa.Failures, sa.Calls))
	co.coldCalls += uint64(sa.ColdCalls)
	co.coldFailures += uint64(min(sa.ColdFailures, sa.ColdCalls))
	for _, lc := range sa.Latencies {
		co.latencies[min(lc.Bucket, bucketCount-1)] += lc.Calls
	}
}

// total is the sum of one version's counts over all routes, without latencies.
type total struct {
	calls, failures, coldCalls, coldFailures uint64
}

// closePeriod adds the period to the tests and returns its totals.
func (ju *judge) closePeriod(now time.Time) [armCount]total {
	sums := ju.sum()
	ju.updateCounts(sums, now)
	if sums == ([armCount]total{}) {
		return sums
	}
	excludeCold := !ju.coldTooLong(now)
	for me := range measureCount {
		ju.strata[me] = ju.strata[me][:0]
	}
	for _, name := range ju.routeNames {
		ju.closeRoute(ju.routes[name], excludeCold)
	}
	for me := range measureCount {
		ju.overall[me].add(ju.strata[me], ju.allowed(me), maxPeriodEvidence[me])
	}
	ju.coldTest.add([]tally{{
		newHits: float64(sums[New].coldFailures), newCalls: float64(sums[New].coldCalls),
		oldHits: float64(sums[Old].failures), oldCalls: float64(sums[Old].calls),
	}}, maxColdErrorIncrease, maxPeriodEvidence[errorShare])
	ju.strongest = ju.strongestFinding()
	return sums
}

func (ju *judge) sum() [armCount]total {
	var sums [armCount]total
	for _, ro := range ju.routes {
		for ar := range armCount {
			sums[ar].calls += ro.period[ar].calls
			sums[ar].failures += ro.period[ar].failures
			sums[ar].coldCalls += ro.period[ar].coldCalls
			sums[ar].coldFailures += ro.period[ar].coldFailures
		}
	}
	return sums
}

// updateCounts adds the period to the decayed counts and the run of failures.
func (ju *judge) updateCounts(sums [armCount]total, now time.Time) {
	older, newer := sums[Old], sums[New]
	ju.recentOld.add(shortDecay, older.failures, older.calls)
	ju.usualOld.add(longDecay, older.failures, older.calls)
	ju.minute.add(longDecay, older.failures+newer.failures, older.calls+newer.calls)
	ju.coldMinute.add(longDecay, newer.coldCalls, newer.calls+newer.coldCalls)
	if ju.coldMinute.share() <= 0.5 {
		ju.coldSince = time.Time{}
	} else if ju.coldSince.IsZero() {
		ju.coldSince = now
	}
	switch {
	case newer.calls > newer.failures || newer.coldCalls > newer.coldFailures:
		ju.consecutiveFailures, ju.succeeded = 0, true
	case newer.failures > 0:
		if ju.consecutiveFailures == 0 {
			ju.failingSince = now
		}
		ju.consecutiveFailures += int(newer.failures)
	}
}

// cold reports whether most recent calls of the new version went to cold targets.
func (ju *judge) cold() bool { return !ju.coldSince.IsZero() }

func (ju *judge) coldTooLong(now time.Time) bool {
	return !ju.coldSince.IsZero() && now.Sub(ju.coldSince) > maxColdTime
}

// oldVersionDegraded reports whether the old version fails more than usual, which
// indicates a problem of the data centre.
func (ju *judge) oldVersionDegraded() bool {
	return ju.recentOld.hits >= 5 &&
		ju.recentOld.share() > ju.usualOld.share()+baselineErrorIncrease
}

// allowed returns the increase of the share of hits under the null hypothesis. It
// is half of the increase that counts as a fault, so that a version at the limit
// can be told from one within it.
func (ju *judge) allowed(me measure) float64 {
	if me == errorShare {
		return ju.ro.MaxErrorIncrease / 2
	}
	return 0
}

// latencyFactor returns the factor of the latency under the null hypothesis.
func (ju *judge) latencyFactor() float64 { return 1 + (ju.ro.MaxLatencyFactor-1)/2 }

// closeRoute adds the period of one route to its tests and to the strata of the
// overall tests. Calls to cold targets are left out if excludeCold is set.
func (ju *judge) closeRoute(ro *routeJudge, excludeCold bool) {
	older, newer := &ro.period[Old], &ro.period[New]
	if older.calls+newer.calls+older.coldCalls+newer.coldCalls == 0 {
		return
	}
	if !excludeCold {
		newer.calls += newer.coldCalls
		newer.failures += newer.coldFailures
	}
	if newer.calls > 0 && older.calls > 0 {
		ju.addTally(ro, errorShare, tally{
			newHits: float64(newer.failures), newCalls: float64(newer.calls),
			oldHits: float64(older.failures), oldCalls: float64(older.calls),
		})
		for me := slowQuartile; me < measureCount; me++ {
			if ta, ok := ro.slowCalls(tailShares[me], ju.latencyFactor()); ok {
				ju.addTally(ro, me, ta)
			}
		}
	}
	ro.updatePastLatencies()
	ro.period = [armCount]counts{}
}

func (ju *judge) addTally(ro *routeJudge, me measure, ta tally) {
	ro.tests[me].add([]tally{ta}, ju.allowed(me), maxPeriodEvidence[me])
	ju.strata[me] = append(ju.strata[me], ta)
}

// minLatencies is the number of past calls of the old version from which a latency
// threshold is determined.
const minLatencies = 20

// slowCalls counts the calls above a latency threshold, which is multiplied by
// factor for the new version. At most the given share of the old version's past
// calls lies above the threshold. The threshold must not depend on the calls that
// it classifies.
func (ro *routeJudge) slowCalls(share, factor float64) (tally, bool) {
	if ro.pastCalls < minLatencies {
		return tally{}, false
	}
	above, bucket := 0.0, bucketCount-1
	for bucket > 0 && above+ro.pastLatencies[bucket] <= share*ro.pastCalls {
		above += ro.pastLatencies[bucket]
		bucket--
	}
	oldFrom := bucket + 1
	newFrom := bucketAtLeast(time.Duration(float64(bucketLow(oldFrom)) * factor))
	var ta tally
	ta.newHits, ta.newCalls = ro.period[New].above(newFrom)
	ta.oldHits, ta.oldCalls = ro.period[Old].above(oldFrom)
	return ta, ta.newCalls > 0 && ta.oldCalls > 0
}

// above returns the number of calls in the buckets starting at from, and the
// number of all calls.
func (co *counts) above(from int) (hits, calls float64) {
	for bu, nn := range co.latencies {
		calls += float64(nn)
		if bu >= from {
			hits += float64(nn)
		}
	}
	return hits, calls
}

func (ro *routeJudge) updatePastLatencies() {
	ro.pastCalls = 0
	for bu, calls := range ro.period[Old].latencies {
		ro.pastLatencies[bu] = ro.pastLatencies[bu]*longDecay + float64(calls)
		ro.pastCalls += ro.pastLatencies[bu]
	}
}

// strongestFinding returns the finding of the test with the greatest value.
func (ju *judge) strongestFinding() finding {
	top := finding{value: ju.coldTest.value(), measure: "errors on cold targets"}
	for me := range measureCount {
		if value := ju.overall[me].value(); value > top.value {
			top = finding{value: value, measure: measureNames[me]}
		}
	}
	for _, name := range ju.routeNames {
		for me := range measureCount {
			if value := ju.routes[name].tests[me].value(); value > top.value {
				top = finding{value: value, route: name, measure: measureNames[me]}
			}
		}
	}
	return top
}

// description returns the measure and the route of the finding.
func (fi finding) description() string {
	if fi.route == "" {
		return fi.measure + " overall"
	}
	return fmt.Sprintf("%s on route %q", fi.measure, fi.route)
}

// lowTraffic reports whether the service has little traffic in the data centre.
func (ju *judge) lowTraffic() bool { return ju.minute.calls < lowTrafficCalls }

// rollbackReason returns why the new version is bad, or the empty string. With
// first, one failed call is enough if it is the first one. With untested, one
// failure is enough until a call has succeeded: the data centre has passed the
// last step with too few calls to judge the version.
func (ju *judge) rollbackReason(first, untested bool, now time.Time) string {
	switch {
	case ju.strongest.value >= rollbackThreshold:
		return fmt.Sprintf("%s: logarithmic likelihood ratio %.1f",
			ju.strongest.description(), ju.strongest.value)
	case ju.failedFirstCalls(first, now):
		return fmt.Sprintf("errors: every call so far failed (%d)", ju.consecutiveFailures)
	case ju.consecutiveFailures >= lowTrafficFailures && ju.lowTraffic(),
		untested && ju.consecutiveFailures > 0 && !ju.succeeded:
		return fmt.Sprintf("errors: %d calls in a row failed", ju.consecutiveFailures)
	}
	return ""
}

// failedFirstCalls reports whether every call to the new version so far failed
// while the error share of the old version shows that the data centre is not the
// cause.
func (ju *judge) failedFirstCalls(first bool, now time.Time) bool {
	if ju.succeeded || ju.consecutiveFailures == 0 || ju.usualOld.calls < minBaselineCalls {
		return false
	}
	share := ju.usualOld.share()
	if ju.recentOld.share() > share+baselineErrorIncrease {
		return false
	}
	if ju.consecutiveFailures >= firstFailures && share*share <= maxFalseRollbacks {
		return true
	}
	return first && share <= maxFalseRollbacks && ju.coldMinute.hits == 0 &&
		ju.consecutiveFailures >= canaryFirstFailures &&
		now.Sub(ju.failingSince) >= firstFailureWait
}
