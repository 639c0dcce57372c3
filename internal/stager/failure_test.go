package stager

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// routeLoad is the load of a route and the shares of the base version's responses
// that are slow or failed.
type routeLoad struct {
	name         string
	perSecond    float64
	slow, failed float64
}

// unevenLoad is the load of a service in which one route has many outliers, as
// they occur if its requests differ in size.
var unevenLoad = []routeLoad{
	{"lookup", 178, 0.05, 0}, {"view", 44, 0.01, 0.005}, {"archive", 44, 0.26, 0.002},
}

// fault draws whether a request to a target of the new version fails.
type fault func(rd *rand.Rand, elapsed time.Duration, route string) bool

// faultAt returns a fault of the given share of the requests of one route, or of all
// routes if it is empty, from the given time on.
func faultAt(route string, part float64, from time.Duration) fault {
	return func(rd *rand.Rand, elapsed time.Duration, ro string) bool {
		return elapsed >= from && (route == "" || route == ro) && rd.Float64() < part
	}
}

// failureRollout is a simulated rollout of a service whose base version has outliers.
type failureRollout struct {
	load    []routeLoad
	targets int
	// disturb draws whether a request fails at the target for a reason that is not
	// the version's.
	disturb func(rd *rand.Rand, elapsed time.Duration, version string, target int) bool
	fault   fault
	// burst multiplies the load and the slow responses of both versions for three
	// seconds.
	burst float64
}

// run simulates the rollout. It returns the last state and the share of all requests
// that the new version received.
func (fr *failureRollout) run(seed uint64) (Move, float64) {
	rd := rand.New(rand.NewPCG(seed, 3))
	collectors := map[string][]*Collector{}
	for _, version := range []string{"v1", "v2"} {
		for range fr.targets {
			collectors[version] = append(collectors[version], NewCollector())
		}
	}
	mo, or := move(), order()
	or.Duration = 16 * time.Second
	const tick = 100 * time.Millisecond
	total, exposed := 0, 0
	chosen := fr.canaries(mo)
	for elapsed := time.Duration(0); elapsed <= or.Duration; elapsed += tick {
		now := epoch.Add(elapsed)
		surge := 1.0
		if from := 5 * time.Second; fr.burst > 0 && elapsed >= from && elapsed < from+3*time.Second {
			surge = fr.burst
		}
		for _, rl := range fr.load {
			for range poisson(rd, rl.perSecond*surge*tick.Seconds()) {
				total++
				version, target := "v1", rd.IntN(fr.targets)
				if rd.Float64() < mo.Share() {
					version, target = "v2", chosen[rd.IntN(len(chosen))]
					exposed++
				}
				re := Response{Route: rl.name, Objective: 100, Took: 10}
				if rd.Float64() < rl.slow*surge {
					re.Took = 200
				}
				re.Failed = rd.Float64() < rl.failed ||
					fr.disturb != nil && fr.disturb(rd, elapsed, version, target) ||
					version == "v2" && fr.fault != nil && fr.fault(rd, elapsed, rl.name)
				collectors[version][target].Add(re, now)
			}
		}
		if mo.State == Active && elapsed%(600*time.Millisecond) == 0 {
			mo, _ = Decide(mo, or, elapsed, merged(collectors["v2"], now),
				merged(collectors["v1"], now), false)
			chosen = fr.canaries(mo)
		}
	}
	return mo, float64(exposed-50) / float64(total)
}

// canaries returns the targets of the new version that receive requests.
func (fr *failureRollout) canaries(mo Move) []int {
	ids := make([]string, fr.targets)
	for nn := range ids {
		ids[nn] = fmt.Sprint("t", nn)
	}
	var chosen []int
	for id := range Canaries(mo.Version, mo.Share(), ids) {
		chosen = append(chosen, slices.Index(ids, id))
	}
	slices.Sort(chosen)
	return chosen
}

// poisson draws a count with the given mean.
func poisson(rd *rand.Rand, mean float64) int {
	count := 0
	for sum := rd.ExpFloat64(); sum < mean; sum += rd.ExpFloat64() {
		count++
	}
	return count
}

// Guards against outliers of the base version that hide the failures of a new version
// on one route or overall: such a version was completed.
func TestOutliersDoNotHideFailures(t *testing.T) {
	for _, tc := range []struct {
		route string
		part  float64
		from  time.Duration
	}{
		{"archive", 0.2, 0},
		{"archive", 0.3, 6 * time.Second},
		{"view", 0.25, 3 * time.Second},
		{"lookup", 0.1, 0},
		{"lookup", 0.2, 6 * time.Second},
		{"", 0.07, 0},
		{"", 0.1, 6 * time.Second},
		{"", 0.5, 8 * time.Second},
	} {
		for seed := range uint64(100) {
			fr := failureRollout{
				load: unevenLoad, targets: 5, fault: faultAt(tc.route, tc.part, tc.from),
			}
			mo, exposed := fr.run(seed)
			assert.Equal(t, RolledBack, mo.State, "%+v, seed %d", tc, seed)
			assert.Less(t, exposed, 0.1, "%+v, seed %d", tc, seed)
		}
	}
}

// failAt returns a disturbance that fails a share of the requests to the first targets
// of a version, or of both if it is empty, for the given time.
func failAt(version string, targets int, part float64, from, until time.Duration) func(
	*rand.Rand, time.Duration, string, int) bool {
	return func(rd *rand.Rand, elapsed time.Duration, ve string, target int) bool {
		return (version == "" || version == ve) && target < targets &&
			elapsed >= from && elapsed < until && rd.Float64() < part
	}
}

// Guards against rolling back good versions for failures of their environment.
func TestGoodVersionsCompleteBesideFailures(t *testing.T) {
	const s = time.Second
	for name, fr := range map[string]failureRollout{
		"calm":                           {},
		"burst":                          {burst: 1.7},
		"failures of both versions":      {disturb: failAt("", 3, 0.05, 3*s, 7*s)},
		"many failures of both versions": {disturb: failAt("", 5, 0.3, 3*s, 7*s)},
		"failures of some targets":       {disturb: failAt("v2", 3, 0.03, 6*s, 10*s)},
		"failures at the last step":      {disturb: failAt("", 3, 0.05, 11*s, 16*s)},
	} {
		fr.load, fr.targets = unevenLoad, 5
		completed := 0
		for seed := range uint64(100) {
			if mo, _ := fr.run(seed); mo.State == Complete {
				completed++
			}
		}
		assert.GreaterOrEqual(t, completed, 95, "%s: of 100 good versions", name)
	}
}

// Guards against rolling back a good version because one of its targets crashes: all
// its connections break, which is one event.
func TestCrashIsOneFailure(t *testing.T) {
	co := NewCollector()
	for nn := range 18 {
		co.Add(Response{Route: "r", Failed: true, Broken: true},
			epoch.Add(time.Duration(nn)*time.Millisecond))
	}
	total, _ := co.Tallies(epoch)
	assert.Equal(t, Tally{Requests: 1, Bad: 1, Failed: 1}, total["r"])
	co.Add(Response{Route: "r", Failed: true, Broken: true}, epoch.Add(crashTime))
	co.Add(Response{Route: "r", Failed: true}, epoch.Add(crashTime))
	total, _ = co.Tallies(epoch)
	assert.Equal(t, Tally{Requests: 3, Bad: 3, Failed: 3}, total["r"])
}

// Guards against cancelled requests that count as good and quick responses, and against
// a version whose slow requests do not count because their clients give up.
func TestCancelledCountsIfSlow(t *testing.T) {
	co := NewCollector()
	for _, took := range []time.Duration{10, 2000} {
		co.Add(Response{Route: "r", Objective: 100, Took: took, Cancelled: true}, epoch)
	}
	total, _ := co.Tallies(epoch)
	assert.Equal(t, Tally{Requests: 1, Bad: 1}, total["r"])
	assert.Empty(t, co.quantiles["r"].first)
}

// Guards against failures that do not count because the base version has as many
// outliers, once a node has stopped using the new version and no more responses come.
func TestBlockedForFailures(t *testing.T) {
	mo := move()
	mo.Step, mo.Elapsed = len(steps)-1, 9*time.Second
	candidate := Evidence{
		Targets: 5, Blocked: 1,
		Total: map[string]Tally{"r": {Requests: 60, Bad: 14, Failed: 14}},
	}
	base := Evidence{Targets: 5, Total: map[string]Tally{"r": {Requests: 900, Bad: 200}}}
	next, _ := Decide(mo, order(), 10*time.Second, candidate, base, false)
	assert.Equal(t, RolledBack, next.State)
}
