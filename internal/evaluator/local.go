package evaluator

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/guavastall/guavastall/pkg/checker"
)

// overwhelmingIncrease is the least increase of the observed error share on which
// a node acts alone.
const overwhelmingIncrease = 0.1

// overwhelmingThreshold is far above rollbackThreshold, because every node tests
// its own calls every second.
var overwhelmingThreshold = math.Log(1e9)

// Overwhelming reports whether the calls of one node alone show that the new
// version is bad, and why. The samples are of one move and of one period, in
// which the share of the new version changed little.
func Overwhelming(ro checker.Rollout, samples ...Sample) (reason string, ok bool) {
	tallies := map[string]*tally{}
	for _, sa := range samples {
		ta := tallies[sa.Route]
		if ta == nil {
			ta = &tally{}
			tallies[sa.Route] = ta
		}
		calls, failures := float64(sa.Calls), float64(min(sa.Failures, sa.Calls))
		if sa.Arm == New {
			ta.newCalls, ta.newHits = ta.newCalls+calls, ta.newHits+failures
		} else {
			ta.oldCalls, ta.oldHits = ta.oldCalls+calls, ta.oldHits+failures
		}
	}
	all := make([]tally, 0, len(tallies))
	for _, route := range slices.Sorted(maps.Keys(tallies)) {
		ta := *tallies[route]
		all = append(all, ta)
		if reason, ok := overwhelming(ro, fmt.Sprintf("route %q", route), ta); ok {
			return reason, true
		}
	}
	return overwhelming(ro, "all routes", all...)
}

func overwhelming(ro checker.Rollout, where string, strata ...tally) (string, bool) {
	var mi mixture
	mi.add(strata, ro.MaxErrorIncrease, maxLogRatio)
	if mi.value() < overwhelmingThreshold {
		return "", false
	}
	var sum tally
	for _, ta := range strata {
		sum.newHits, sum.newCalls = sum.newHits+ta.newHits, sum.newCalls+ta.newCalls
		sum.oldHits, sum.oldCalls = sum.oldHits+ta.oldHits, sum.oldCalls+ta.oldCalls
	}
	rise := sum.newHits/sum.newCalls - sum.oldHits/sum.oldCalls
	if rise < overwhelmingIncrease {
		return "", false
	}
	return fmt.Sprintf("errors on %s at one node: new %.0f of %.0f, old %.0f of %.0f",
		where, sum.newHits, sum.newCalls, sum.oldHits, sum.oldCalls), true
}
