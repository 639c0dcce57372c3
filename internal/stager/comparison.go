package stager

import "math"

const (
	// faultSigmas is the number of standard deviations by which the responses must
	// exceed the bound for a version to be faulty. It is high because each evaluation
	// is another statistical test.
	faultSigmas = 4.0
	// suspectSigmas is the corresponding number at which a rollout does not advance.
	suspectSigmas = 1.0
	// baseSigmas is the number of standard deviations that are added to the observed
	// share of the base version.
	baseSigmas = 2.0
	// baseFactor is the multiple of the base version's share that a good version may
	// have, in addition to a margin.
	baseFactor = 1.25
	// minBad is the minimum number of bad responses, minFailed that of failures and
	// minVerySlow that of very slow responses, for a version to be suspect.
	minBad      = 10
	minFailed   = 3
	minVerySlow = 4
	// badMargin is the margin for bad responses. Most of them are outliers, whose
	// number depends on the target and on its load.
	badMargin = 0.08
	// failedMargin is the margin for failures. fullFailedMargin applies while the new
	// version receives all requests, so that failures of everything that the service
	// depends on have no counterpart in the base version.
	failedMargin     = 0.01
	fullFailedMargin = 0.05
	// verySlowMargin is the margin for very slow responses.
	verySlowMargin = 0.01
	// blockedMargin is the margin for either if a node has stopped using the version.
	blockedMargin = 0.04
	// minBase is the number of recent responses of the base version below which its
	// total responses are used instead.
	minBase = 20
)

// comparison compares the responses of the new version, the candidate, with those of
// the base version.
type comparison struct {
	candidate, base Evidence
	// full reports whether the candidate receives all requests.
	full bool
}

// faulty reports whether the candidate is faulty, and why.
func (co *comparison) faulty() (string, bool) {
	return co.find(func(candidate, base Tally) bool {
		return co.worse(candidate, base, faultSigmas)
	})
}

// suspect reports whether the candidate may be faulty, and why.
func (co *comparison) suspect() (string, bool) {
	return co.find(func(candidate, base Tally) bool {
		return co.worse(candidate, base, suspectSigmas)
	})
}

// clearlySuspect is suspect without the slight outliers, of which load alone may
// cause many.
func (co *comparison) clearlySuspect() (string, bool) {
	return co.find(func(candidate, base Tally) bool {
		return co.clearlyWorse(candidate, base, suspectSigmas)
	})
}

// worse reports whether the candidate has more failures, very slow responses or bad
// responses in all than the base version, by the given number of standard deviations.
// Each kind is compared on its own, because the more frequent kinds of the base
// version would hide the others.
func (co *comparison) worse(candidate, base Tally, sigmas float64) bool {
	return co.clearlyWorse(candidate, base, sigmas) || moreBad(candidate, base, sigmas)
}

// clearlyWorse is worse for failures and very slow responses. The latter count only
// while the base version receives requests too: a burst that slows every target then
// shows in both.
func (co *comparison) clearlyWorse(candidate, base Tally, sigmas float64) bool {
	return co.failsMore(candidate, base, sigmas) ||
		!co.full && moreVerySlow(candidate, base, sigmas)
}

// find returns the first kind of responses for which worse reports true: the recent
// or all responses, overall or on one route.
func (co *comparison) find(worse func(candidate, base Tally) bool) (string, bool) {
	ca, ba := &co.candidate, &co.base
	if worse(Sum(ca.Recent), recentOrTotal(Sum(ba.Recent), Sum(ba.Total))) {
		return "recent responses", true
	}
	if worse(Sum(ca.Total), Sum(ba.Total)) {
		return "all responses", true
	}
	for route, ta := range ca.Recent {
		if worse(ta, recentOrTotal(ba.Recent[route], ba.Total[route])) {
			return "recent responses of route " + route, true
		}
	}
	for route, ta := range ca.Total {
		if worse(ta, ba.Total[route]) {
			return "all responses of route " + route, true
		}
	}
	return "", false
}

// recentOrTotal returns the recent tally, or the total if the recent one is too small.
func recentOrTotal(recent, total Tally) Tally {
	if recent.Requests < minBase {
		return total
	}
	return recent
}

// exposure returns the share of the requests since the start of the rollout that the
// candidate received.
func (co *comparison) exposure() float64 {
	number := Sum(co.candidate.Total).Requests
	return float64(number) / float64(max(number+Sum(co.base.Total).Requests, 1))
}

// blocked reports whether a node has stopped using the candidate for a reason that
// the base version does not share. Nodes judge their own target alone, while all
// versions may fail or have outliers, for example on starved processors.
func (co *comparison) blocked() bool {
	if co.candidate.Blocked == 0 {
		return false
	}
	ours, theirs := Sum(co.candidate.Total), Sum(co.base.Total)
	exceeds := func(count, baseCount int) bool {
		rate := float64(baseCount) / float64(max(theirs.Requests, 1))
		return float64(count) > (blockedMargin+baseFactor*rate)*float64(ours.Requests)
	}
	return exceeds(ours.Bad, theirs.Bad) || exceeds(ours.Failed, theirs.Failed)
}

// reasonForDelay returns why a rollout has not left its first step.
func (co *comparison) reasonForDelay() string {
	if reason, suspect := co.suspect(); suspect {
		return "suspicion: " + reason
	}
	return "too little evidence in time"
}

// failsMore reports whether the candidate has more failures than the base version, by
// the given number of standard deviations.
func (co *comparison) failsMore(candidate, base Tally, sigmas float64) bool {
	if candidate.Failed < minFailed {
		return false
	}
	margin := failedMargin
	if co.full {
		margin = fullFailedMargin
	}
	bound := tolerated(base.Failed, base.Requests, margin)
	return deviation(candidate.Failed, candidate.Requests, bound) > sigmas
}

// moreVerySlow reports whether the candidate has more very slow responses than the
// base version, by the given number of standard deviations.
func moreVerySlow(candidate, base Tally, sigmas float64) bool {
	if candidate.VerySlow < minVerySlow {
		return false
	}
	bound := tolerated(base.VerySlow, base.Requests, verySlowMargin)
	return deviation(candidate.VerySlow, candidate.Requests, bound) > sigmas
}

// moreBad reports whether the candidate has more bad responses than the base version,
// by the given number of standard deviations.
func moreBad(candidate, base Tally, sigmas float64) bool {
	if candidate.Bad < minBad {
		return false
	}
	bound := tolerated(base.Bad, base.Requests, badMargin)
	number := float64(candidate.Requests)
	return float64(candidate.Bad) > bound*number+sigmas*math.Sqrt(bound*(1-bound)*number)
}

// tolerated returns the share of responses of a kind that a good version may have if
// the base version has the given count.
func tolerated(count, requests int, margin float64) float64 {
	if requests == 0 {
		return margin
	}
	// Two responses of the kind and two others are added so that the estimate is not
	// overconfident for small samples.
	number := float64(requests) + 4
	rate := (float64(count) + 2) / number
	return min(margin+baseFactor*(rate+baseSigmas*math.Sqrt(rate*(1-rate)/number)), 1)
}

// deviation returns by how many standard deviations the count exceeds the one
// expected at the rate. It is the signed root of the log-likelihood ratio, which is
// accurate for small counts too.
func deviation(count, requests int, rate float64) float64 {
	kk, nn := float64(count), float64(requests)
	if kk <= nn*rate || rate >= 1 {
		return 0
	}
	ratio := kk * math.Log(kk/(nn*rate))
	if kk < nn {
		ratio += (nn - kk) * math.Log((nn-kk)/(nn*(1-rate)))
	}
	return math.Sqrt(2 * ratio)
}
