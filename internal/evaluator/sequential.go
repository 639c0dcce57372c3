package evaluator

import "math"

// tally holds the calls of both versions in one period and how many of them
// were hits, that is failed or were slow.
type tally struct {
	newHits, newCalls float64
	oldHits, oldCalls float64
}

// test gathers evidence that the new version's share of hits exceeds the old
// version's by more than is allowed.
type test interface {
	// add takes the tallies of one period, one for each stratum. Strata may
	// differ in their share of hits. A period adds at most the value most.
	add(strata []tally, allowed, most float64)
	// value returns the evidence as a natural logarithm.
	value() float64
}

// boundary is the value from which the new version counts as bad. For a
// version within the null hypothesis the expected time to a false alarm of one
// test is at least exp(boundary) periods, whatever the old version and the
// data centre do. In 1,000 runs of a version exactly at the limits 0.3% were
// taken back by the tests; with 1e5 0.1%, but faults on one route were
// found after 43 s instead of 33 s in the median.
var boundary = math.Log(1e4)

// odds are the alternatives: how many times likelier a hit is, given a call,
// at the new version than is allowed. Outright faults are found by the great
// odds and small increases by the lesser ones.
var odds = [...]float64{2, 5, 16, 128, 1024}

// missOdds are the alternatives for the calls that were no hits. They matter
// when nearly all traffic is at the new version, as the few good calls of the
// old version then tell more than the many failed ones of the new.
var missOdds = [...]float64{4, 32, 1024}

// mostLog keeps the sum of the likelihood ratios finite.
const mostLog = 600

const alternatives = len(odds) + len(missOdds)

// logOdds holds the logarithms of odds and missOdds.
var logOdds = func() (logs [alternatives]float64) {
	for nn, od := range odds {
		logs[nn] = math.Log(od)
	}
	for nn, od := range missOdds {
		logs[len(odds)+nn] = math.Log(od)
	}
	return logs
}()

// mixture is a sequential test by a mixture of likelihood ratios that restart
// at one (an e-detector).
//
// Given the hits of a period, each of them belongs to the new version with the
// probability of its share of the calls if the versions are equal, whatever
// the common share of hits is. The likelihood ratio for odds w is
// w^newHits / (1+(w-1)q)^hits with q = newCalls/calls. Its expectation is at
// most one under the null hypothesis: for rare hits they are Poisson counts,
// for frequent ones the hypergeometric distribution is less dispersed than the
// binomial one. The allowed increase is credited to the old version as
// allowed*oldCalls extra hits, which keeps the expectation below one by
// Jensen's inequality.
type mixture struct {
	logs [alternatives]float64
}

// add implements test.
func (mi *mixture) add(strata []tally, allowed, most float64) {
	var sum [alternatives]float64
	compared := false
	for _, ta := range strata {
		if ta.newCalls > 0 && ta.oldCalls > 0 {
			ta.ratios(&sum, allowed)
			compared = true
		}
	}
	if !compared {
		return
	}
	for nn, ratio := range sum {
		// The restart at one lets a fault that appears late weigh at once,
		// however long the version was good before.
		mi.logs[nn] = max(mi.logs[nn], 0) + min(ratio, most)
	}
}

// ratios adds the logarithmic likelihood ratios of the period.
func (ta tally) ratios(sum *[alternatives]float64, allowed float64) {
	share := ta.newCalls / (ta.newCalls + ta.oldCalls)
	hits := ta.newHits + ta.oldHits + allowed*ta.oldCalls
	for nn, od := range odds {
		sum[nn] += ta.newHits*logOdds[nn] - hits*math.Log1p((od-1)*share)
	}
	oldMisses := ta.oldCalls - ta.oldHits
	misses := ta.newCalls - ta.newHits + oldMisses + allowed*ta.newCalls
	for nn, od := range missOdds {
		at := len(odds) + nn
		sum[at] += oldMisses*logOdds[at] - misses*math.Log1p((od-1)*(1-share))
	}
}

// value implements test.
func (mi *mixture) value() float64 {
	sum := 0.0
	for _, lo := range mi.logs {
		sum += math.Exp(min(lo, mostLog))
	}
	return math.Log(sum / float64(alternatives))
}
