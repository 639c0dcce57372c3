package evaluator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

const (
	// maxRoutes bounds the routes judged apart; a service has at most 100.
	maxRoutes = 128
	// coldTime is how long a version whose targets are mostly cold is excused.
	// A version that goes cold under every load would otherwise never be judged.
	coldTime = time.Minute
	// coldIncrease is the rise of the error share allowed on cold targets.
	// Their own node limits their load, so most of their calls succeed.
	coldIncrease = 0.5
	// quietCalls is the number of calls in about a minute below which a service
	// counts as one with little traffic.
	quietCalls = 10
	// quietFailures is how many calls of such a service must fail in a row at
	// the new version; the likelihood ratio needs more calls than it has.
	quietFailures = 2
	// firstFailures is how many of the first calls to the new version in a data
	// centre must all fail to take it back, and firstFailuresEver the same
	// while no data centre has passed the first step. One failed call is weak
	// evidence in general, but not when it is the first: a version that fails
	// every call is far more frequent than an error share of a good one. The
	// share of good versions taken back this way is at most rareShare.
	firstFailures     = 2
	firstFailuresEver = 1
	rareShare         = 0.01
	// firstWait is how long one failed first call waits for a good one. Without
	// it 0.4% of good versions were taken back; much longer, and calls would
	// fail for more than 5 s.
	firstWait = time.Second
	// minUsualCalls is the number of the old version's calls needed to know
	// its error share.
	minUsualCalls = 50
	// troubleIncrease is the rise of the old version's own error share over
	// its usual one that stops an advance.
	troubleIncrease = 0.02

	shortMemory = 0.9   // per period, about 10 s
	longMemory  = 0.985 // per period, about a minute
)

// measure is one way in which a version can be worse.
type measure int

const (
	failing measure = iota
	slowQuartile
	slowTail
	measureCount
)

var measureNames = [measureCount]string{"errors", "upper quartile latency", "tail latency"}

// tailShares are the shares of the old version's calls above the latencies
// that the new version is compared at. At the median (0.5) hits are too
// frequent for the Poisson bound: a version twice as slow then got up to 2.9%
// of the calls in 300 runs, and 1.5% at the upper quartile.
var tailShares = [measureCount]float64{slowQuartile: 0.25, slowTail: 0.1}

// mostInPeriod bounds what one period adds to a test. Calls of one second are
// not independent: without a bound, pauses of single targets for a second took
// back 21% of 300 good versions. The bounds ask for two bad seconds of errors and
// four of latency; a bounded likelihood ratio keeps the rate of false alarms.
var mostInPeriod = [measureCount]float64{failing: 6, slowQuartile: 3, slowTail: 3}

// judge compares the versions on every route and overall.
type judge struct {
	ro      checker.Rollout
	newTest func() test

	routes  map[string]*routeJudge
	overall [measureCount]test
	// coldTest compares the cold calls of the new version with the warm ones
	// of the old.
	coldTest test

	// recent and usual are the failures and calls of the old version in short
	// and long memory; minute those of both versions in long memory.
	recent, usual, minute memory
	coldMinute            memory // hits are cold calls of the new version
	coldSince             time.Time
	row                   int // failures of the new version in a row
	rowSince              time.Time
	succeeded             bool // a call to the new version has succeeded
	strata                [measureCount][]tally
	names                 []string // the routes in order
	top                   finding
}

// finding is the greatest value of the tests and where it stands.
type finding struct {
	value          float64
	route, measure string
}

// memory is an exponentially forgotten count.
type memory struct {
	hits, calls float64
}

func (me *memory) add(factor float64, hits, calls uint64) {
	me.hits = me.hits*factor + float64(hits)
	me.calls = me.calls*factor + float64(calls)
}

func (me *memory) share() float64 { return me.hits / max(me.calls, 1) }

// routeJudge compares the versions on one route.
type routeJudge struct {
	period [armCount]counts
	// usual counts the old version's latencies of past periods.
	usual      [bucketCount]float64
	usualCalls float64
	tests      [measureCount]test
}

// counts are the calls of one version in one period.
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
		ju.names = slices.Sorted(maps.Keys(ju.routes))
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

// total is the sum over the routes for one version, without latencies.
type total struct {
	calls, failures, coldCalls, coldFailures uint64
}

// closePeriod feeds the period to the tests and returns its totals.
func (ju *judge) closePeriod(now time.Time) [armCount]total {
	sums := ju.sum()
	ju.remember(sums, now)
	if sums == ([armCount]total{}) {
		return sums
	}
	excused := !ju.coldTooLong(now)
	for me := range measureCount {
		ju.strata[me] = ju.strata[me][:0]
	}
	for _, name := range ju.names {
		ju.closeRoute(ju.routes[name], excused)
	}
	for me := range measureCount {
		ju.overall[me].add(ju.strata[me], ju.allowed(me), mostInPeriod[me])
	}
	ju.coldTest.add([]tally{{
		newHits: float64(sums[New].coldFailures), newCalls: float64(sums[New].coldCalls),
		oldHits: float64(sums[Old].failures), oldCalls: float64(sums[Old].calls),
	}}, coldIncrease, mostInPeriod[failing])
	ju.top = ju.worst()
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

// remember updates what is known of the recent periods.
func (ju *judge) remember(sums [armCount]total, now time.Time) {
	older, newer := sums[Old], sums[New]
	ju.recent.add(shortMemory, older.failures, older.calls)
	ju.usual.add(longMemory, older.failures, older.calls)
	ju.minute.add(longMemory, older.failures+newer.failures, older.calls+newer.calls)
	ju.coldMinute.add(longMemory, newer.coldCalls, newer.calls+newer.coldCalls)
	if ju.coldMinute.share() <= 0.5 {
		ju.coldSince = time.Time{}
	} else if ju.coldSince.IsZero() {
		ju.coldSince = now
	}
	switch {
	case newer.calls > newer.failures || newer.coldCalls > newer.coldFailures:
		ju.row, ju.succeeded = 0, true
	case newer.failures > 0:
		if ju.row == 0 {
			ju.rowSince = now
		}
		ju.row += int(newer.failures)
	}
}

// cold reports whether most calls of the new version met cold targets.
func (ju *judge) cold() bool { return !ju.coldSince.IsZero() }

func (ju *judge) coldTooLong(now time.Time) bool {
	return !ju.coldSince.IsZero() && now.Sub(ju.coldSince) > coldTime
}

// trouble reports whether the old version itself fails more than usual, which
// points to the data centre.
func (ju *judge) trouble() bool {
	return ju.recent.hits >= 5 && ju.recent.share() > ju.usual.share()+troubleIncrease
}

// allowed returns the rise of the share of hits that counts as no difference.
// It is half of the rise that counts as a fault, so that a version at the
// limit is told apart from one within it.
func (ju *judge) allowed(me measure) float64 {
	if me == failing {
		return ju.ro.MaxErrorIncrease / 2
	}
	return 0
}

// latencyFactor returns the rise of the latency that counts as no difference.
func (ju *judge) latencyFactor() float64 { return 1 + (ju.ro.MaxLatencyFactor-1)/2 }

// closeRoute feeds the period of one route to its tests and collects it for
// the overall ones.
func (ju *judge) closeRoute(ro *routeJudge, excused bool) {
	older, newer := &ro.period[Old], &ro.period[New]
	if older.calls+newer.calls+older.coldCalls+newer.coldCalls == 0 {
		return
	}
	if !excused {
		newer.calls += newer.coldCalls
		newer.failures += newer.coldFailures
	}
	if newer.calls > 0 && older.calls > 0 {
		ju.addTally(ro, failing, tally{
			newHits: float64(newer.failures), newCalls: float64(newer.calls),
			oldHits: float64(older.failures), oldCalls: float64(older.calls),
		})
		for me := slowQuartile; me < measureCount; me++ {
			if ta, ok := ro.slowCalls(tailShares[me], ju.latencyFactor()); ok {
				ju.addTally(ro, me, ta)
			}
		}
	}
	ro.rememberLatencies()
	ro.period = [armCount]counts{}
}

func (ju *judge) addTally(ro *routeJudge, me measure, ta tally) {
	ro.tests[me].add([]tally{ta}, ju.allowed(me), mostInPeriod[me])
	ju.strata[me] = append(ju.strata[me], ta)
}

// minLatencies is the number of past calls of the old version needed to place
// a latency threshold.
const minLatencies = 20

// slowCalls counts the calls above a threshold, which for the new version is
// higher by the factor. The threshold leaves the given share of the old
// version's past calls above it; it must not depend on the calls it judges.
func (ro *routeJudge) slowCalls(share, factor float64) (tally, bool) {
	if ro.usualCalls < minLatencies {
		return tally{}, false
	}
	above, bucket := 0.0, bucketCount-1
	for bucket > 0 && above+ro.usual[bucket] <= share*ro.usualCalls {
		above += ro.usual[bucket]
		bucket--
	}
	oldFrom := bucket + 1
	newFrom := bucketAtLeast(time.Duration(float64(bucketLow(oldFrom)) * factor))
	var ta tally
	ta.newHits, ta.newCalls = ro.period[New].above(newFrom)
	ta.oldHits, ta.oldCalls = ro.period[Old].above(oldFrom)
	return ta, ta.newCalls > 0 && ta.oldCalls > 0
}

// above returns the calls in the buckets from the given one up, and all calls.
func (co *counts) above(from int) (hits, calls float64) {
	for bu, nn := range co.latencies {
		calls += float64(nn)
		if bu >= from {
			hits += float64(nn)
		}
	}
	return hits, calls
}

func (ro *routeJudge) rememberLatencies() {
	ro.usualCalls = 0
	for bu, calls := range ro.period[Old].latencies {
		ro.usual[bu] = ro.usual[bu]*longMemory + float64(calls)
		ro.usualCalls += ro.usual[bu]
	}
}

// worst returns the greatest value of the tests and where it stands.
func (ju *judge) worst() finding {
	top := finding{value: ju.coldTest.value(), measure: "errors on cold targets"}
	for me := range measureCount {
		if value := ju.overall[me].value(); value > top.value {
			top = finding{value: value, measure: measureNames[me]}
		}
	}
	for _, name := range ju.names {
		for me := range measureCount {
			if value := ju.routes[name].tests[me].value(); value > top.value {
				top = finding{value: value, route: name, measure: measureNames[me]}
			}
		}
	}
	return top
}

// where names the calls that the finding is about.
func (fi finding) where() string {
	if fi.route == "" {
		return fi.measure + " overall"
	}
	return fmt.Sprintf("%s on route %q", fi.measure, fi.route)
}

// quiet reports whether the service has little traffic here.
func (ju *judge) quiet() bool { return ju.minute.calls < quietCalls }

// verdict returns why the new version is bad, or nothing. first says that one
// failed call is enough if it is the first, and unseen the same for a data
// centre that passed the last step on too few calls to judge.
func (ju *judge) verdict(first, unseen bool, now time.Time) string {
	switch {
	case ju.top.value >= boundary:
		return fmt.Sprintf("%s: logarithmic likelihood ratio %.1f", ju.top.where(), ju.top.value)
	case ju.failedAtFirst(first, now):
		return fmt.Sprintf("errors: every call so far failed (%d)", ju.row)
	case ju.row >= quietFailures && ju.quiet(), unseen && ju.row > 0 && !ju.succeeded:
		return fmt.Sprintf("errors: %d calls in a row failed", ju.row)
	}
	return ""
}

// failedAtFirst reports whether the new version has failed every call, and the
// old version shows that this is not the data centre's fault.
func (ju *judge) failedAtFirst(first bool, now time.Time) bool {
	if ju.succeeded || ju.row == 0 || ju.usual.calls < minUsualCalls {
		return false
	}
	share := ju.usual.share()
	if ju.recent.share() > share+troubleIncrease {
		return false
	}
	if ju.row >= firstFailures && share*share <= rareShare {
		return true
	}
	return first && share <= rareShare && ju.coldMinute.hits == 0 &&
		ju.row >= firstFailuresEver && now.Sub(ju.rowSince) >= firstWait
}
