package evaluator

import "math"

// tally holds the calls of both versions in one period and the number of hits
// among them. A hit is a failed call or a slow one, depending on the measure.
type tally struct {
	newHits, newCalls float64
	oldHits, oldCalls float64
}

// test is a sequential test of the hypothesis that the new version's share of hits
// exceeds the old version's by more than is allowed.
type test interface {
	// add adds the tallies of one period, one for each stratum. Strata may
	// differ in their share of hits. A period adds at most the value most.
	add(strata []tally, allowed, most float64)
	// value returns the natural logarithm of the evidence.
	value() float64
}

// rollbackThreshold is the value from which the new version counts as bad. Under
// the null hypothesis, the expected time to a false alarm of one test is at least
// exp(rollbackThreshold) periods, regardless of the old version and the data
// centre. In 1,000 runs of a version exactly at the limits, the tests rolled back
// 0.3%. With 1e5 it was 0.1%, but the median time to detect a fault on one route
// was 43 s instead of 33 s.
var rollbackThreshold = math.Log(1e4)

// hitOdds are the alternative hypotheses: how many times more likely than allowed
// a call to the new version is a hit. High odds detect outright faults, and low
// odds small increases.
var hitOdds = [...]float64{2, 5, 16, 128, 1024}

// missOdds are the alternative hypotheses for the calls that were no hits. They
// matter when nearly all traffic goes to the new version: the few good calls of
// the old version are then stronger evidence than the many failed calls of the
// new one.
var missOdds = [...]float64{4, 32, 1024}

// maxLogRatio bounds the exponents, so that the sum of the likelihood ratios stays
// finite.
const maxLogRatio = 600

const alternatives = len(hitOdds) + len(missOdds)

// logOdds holds the logarithms of hitOdds and missOdds.
var logOdds = func() (logs [alternatives]float64) {
	for nn, od := range hitOdds {
		logs[nn] = math.Log(od)
	}
	for nn, od := range missOdds {
		logs[len(hitOdds)+nn] = math.Log(od)
	}
	return logs
}()

// mixture is a sequential test with a mixture of likelihood ratios that restart at
// one (an e-detector).
//
// If the versions are equal, each hit of a period belongs to the new version with
// a probability equal to that version's share of the calls, whatever the common
// share of hits is. The likelihood ratio for odds w is
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
	hasBoth := false
	for _, ta := range strata {
		if ta.newCalls > 0 && ta.oldCalls > 0 {
			ta.addLogRatios(&sum, allowed)
			hasBoth = true
		}
	}
	if !hasBoth {
		return
	}
	for nn, ratio := range sum {
		// Restarting at one lets a fault that appears late count immediately,
		// however long the version was good before.
		mi.logs[nn] = max(mi.logs[nn], 0) + min(ratio, most)
	}
}

// addLogRatios adds the logarithmic likelihood ratios of the tally to sum.
func (ta tally) addLogRatios(sum *[alternatives]float64, allowed float64) {
	share := ta.newCalls / (ta.newCalls + ta.oldCalls)
	hits := ta.newHits + ta.oldHits + allowed*ta.oldCalls
	for nn, od := range hitOdds {
		sum[nn] += ta.newHits*logOdds[nn] - hits*math.Log1p((od-1)*share)
	}
	oldMisses := ta.oldCalls - ta.oldHits
	misses := ta.newCalls - ta.newHits + oldMisses + allowed*ta.newCalls
	for nn, od := range missOdds {
		at := len(hitOdds) + nn
		sum[at] += oldMisses*logOdds[at] - misses*math.Log1p((od-1)*(1-share))
	}
}

// value implements test.
func (mi *mixture) value() float64 {
	sum := 0.0
	for _, lo := range mi.logs {
		sum += math.Exp(min(lo, maxLogRatio))
	}
	return math.Log(sum / float64(alternatives))
}
