package limiter

import (
	"math"
	"time"
)

const (
	// windowSamples is the least number of results that a window compares.
	// With 16 exponentially distributed latencies the mean exceeds latencyRise
	// by chance in about 2% of the windows.
	windowSamples = 16
	// earlySamples is the number of results after which a window may already
	// show that the target went cold.
	earlySamples = 5
	// latencyRise is the ratio to the reference latency that counts as overload.
	latencyRise = 1.6
	// latencyJump is the ratio to the reference latency that counts as cold.
	latencyJump = 3
	// sampleCap bounds the ratio of one sample, so that one outlier alone
	// cannot reach latencyJump in a window.
	sampleCap = 8
	// latencyFloor bounds the reference that a rise is compared with. Pauses of
	// a busy VM of a few milliseconds multiply the latency of a fast target
	// without any overload.
	latencyFloor = 3 * time.Millisecond
	// failureRise is the increase of the failure share that counts as overload.
	failureRise = 0.2
	// failureJump is the increase of the failure share that counts as cold.
	failureJump = 0.6
	// failureRate is the weight of one window in the usual failure share.
	failureRate = 0.2
	// downRate and upRate are the weights of one sample in the reference
	// latency. A rise is followed slowly, so that overload does not become the
	// reference; at the initial limit it is followed as fast as a fall.
	downRate = 0.03
	upRate   = 0.003
	// shrinkFactor applies to the limit on a rise. When the target itself
	// refuses a call, the calls in flight show its capacity, and shedFactor
	// applies to them.
	shrinkFactor = 0.7
	shedFactor   = 0.9
	// holdTime is the time without growth after overload; it doubles up to
	// maxHoldTime while growth leads to overload again.
	holdTime    = 500 * time.Millisecond
	maxHoldTime = 2 * time.Second
	// trialShrinks is the number of decreases after which a latency or failure
	// share that has stayed above trialGain of its value is taken to have a
	// cause other than load. Two decreases halve the latency of a target whose
	// latency is proportional to its load.
	trialShrinks = 2
	trialGain    = 0.8
	// defaultWarmTime is the default of Config.WarmTime.
	defaultWarmTime = 30 * time.Second
	// probeSamples is the number of results of a probe at half the limit,
	// probeGain the ratio of latencies below which the load was the cause.
	probeSamples = 8
	probeGain    = 0.7
	// probeRange is the multiple of the initial limit up to which a decrease
	// leads to a probe, probeTime the least time between two.
	probeRange = 1.5
	probeTime  = 5 * time.Second
	// hintAge is the age at which a hint counts half.
	hintAge = time.Second
	// hintTrustLoss applies to the weight of the next hints with each alarming
	// one, so that a report which is always wrong halves the limit three times
	// at most. Confirmed alarms and good reports restore the weight.
	hintTrustLoss = 0.9
	hintTrustGain = 0.01
	// hintEase is how far full suspicion lowers the thresholds.
	hintEase = 0.3
	// hintWeight is the weight of one fresh hint in the suspicion.
	hintWeight = 0.5
	// maxRoutes bounds the routes with a reference of their own.
	maxRoutes = 128
)

// control adapts the limit.
type control struct {
	initial, bound float64
	warmTime       time.Duration
	limit          float64
	cold           bool
	coldSince      time.Time
	overloadAt     time.Time
	holdUntil      time.Time
	hold           time.Duration
	// typical is the average latency over all routes.
	typical time.Duration
	// failures is the usual failure share; below zero until it is known.
	failures float64
	settled  int
	// probing says that the limit is halved to learn the latency without load.
	probing     bool
	beforeProbe float64
	probedAt    time.Time
	trial       trial
	routes      map[string]*reference
	window      window
	// ignore is the number of results still to come from calls that were
	// admitted before the limit fell; they say nothing about the new limit.
	ignore int
	// suspicion is what the hints say about the target having gone cold, 0 to 1.
	suspicion float64
	// trust is the weight of the hints, which false alarms lower.
	trust float64
	// tracked says that the reported load has followed the calls in flight, so
	// that its drop to zero means something.
	tracked bool
	// idleHints is the number of fresh reports in a row of a load that dropped
	// to zero; two of them halve the limit.
	idleHints int
}

// reference is the usual latency of a route.
type reference struct {
	latency    float64
	sum, count float64
}

// trial records what the first of several decreases in a row was made for.
type trial struct {
	shrinks     int
	limit       float64
	ratio, fail float64
}

// window gathers results until there are enough to compare.
type window struct {
	good, bad int
	peak      int
	ratios    float64
	demand    bool
}

// reset returns to the state of a freshly started target.
func (co *control) reset(inFlight int) {
	*co = control{
		initial: co.initial, bound: co.bound, warmTime: co.warmTime,
		limit: co.initial, cold: true,
		hold: holdTime, routes: map[string]*reference{}, ignore: inFlight,
		typical: co.typical, failures: -1, trust: co.trust, probedAt: co.probedAt,
	}
}

// noteDemand records that the limit is in use; an unused limit does not grow.
func (co *control) noteDemand() { co.window.demand = true }

// learn takes in the end of a call. InFlight is the number of calls that remain.
func (co *control) learn(re Result, inFlight int, now time.Time) {
	if co.ignore > 0 {
		co.ignore--
		return
	}
	co.window.peak = max(co.window.peak, inFlight+1)
	switch re.Status {
	case Cancelled:
		return
	case OK:
		co.window.good++
		co.window.ratios += co.ratio(re)
	default:
		co.window.bad++
	}
	switch {
	case co.wentCold():
		if co.suspicion > 0 {
			co.trust = min(co.trust+1-hintTrustLoss, 1)
		}
		co.reset(inFlight)
		co.coldSince, co.overloadAt = now, now
	case re.Status == Shed:
		co.hold = holdTime // the target says where its limit is; no need to wait longer
		co.shrink(min(co.limit, float64(inFlight))*shedFactor, inFlight, now)
	case co.probing && co.window.good+co.window.bad >= probeSamples:
		co.endProbe(now)
	case float64(co.window.good+co.window.bad) >= max(windowSamples, 2*co.limit):
		co.compare(inFlight, now)
	}
}

// ratio returns the latency of the target relative to the reference of its
// route.
func (co *control) ratio(re Result) float64 {
	latency := float64(max(re.Latency-re.Late, 0))
	if co.typical == 0 {
		co.typical = re.Latency
	}
	co.typical += (re.Latency - co.typical) / 16
	ref := co.routes[re.Route]
	if ref == nil {
		if len(co.routes) >= maxRoutes {
			return 1
		}
		ref = &reference{}
		co.routes[re.Route] = ref
	}
	ref.sum += latency
	ref.count++
	if ref.latency <= 0 {
		return 1
	}
	if latency <= ref.latency {
		return latency / ref.latency
	}
	risen := latency / max(ref.latency, float64(latencyFloor))
	return min(max(risen, 1), sampleCap)
}

// wentCold reports whether the window shows a jump of latency or failures at a
// target whose limit had grown.
func (co *control) wentCold() bool {
	wi := &co.window
	if co.limit <= co.initial || wi.good+wi.bad < earlySamples || co.failures < 0 {
		return false
	}
	ease := co.ease()
	return co.failing(failureJump*ease) || wi.good >= earlySamples && wi.mean() > latencyJump*ease
}

// ease returns the factor by which the hints lower the thresholds.
func (co *control) ease() float64 { return 1 - hintEase*co.suspicion }

// failing reports whether the failure share of the window is above the usual
// one by more than the rise and than chance explains.
func (co *control) failing(rise float64) bool {
	if co.failures < 0 {
		return false
	}
	wi, usual := &co.window, co.failures
	all := float64(wi.good + wi.bad)
	excess := float64(wi.bad) - usual*all
	return excess > rise*all && excess > 3*math.Sqrt(usual*(1-usual)*all+1)
}

// share returns the share of failures in the window.
func (wi *window) share() float64 {
	return float64(wi.bad) / float64(max(wi.good+wi.bad, 1))
}

// mean returns the mean ratio of the window, 1 if it has none.
func (wi *window) mean() float64 {
	if wi.good == 0 {
		return 1
	}
	return wi.ratios / float64(wi.good)
}

// compare closes the window and adapts the limit.
func (co *control) compare(inFlight int, now time.Time) {
	wi := co.window
	ease := co.ease()
	overloaded := wi.mean() > 1+(latencyRise-1)*ease || co.failing(failureRise*ease)
	switch {
	case overloaded && co.otherCause():
		co.accept()
	case overloaded:
		co.adjust(upRate)
		co.try(now)
		co.shrink(min(co.limit, float64(wi.peak))*shrinkFactor, inFlight, now)
	default:
		co.adjust(co.rise())
		co.trial = trial{}
		co.settle()
		if wi.demand && !now.Before(co.holdUntil) {
			co.limit = min(co.limit+1, co.bound)
		}
	}
	co.window = window{}
}

// warm ends the cold state when the limit has grown or enough time has passed.
func (co *control) warm(now time.Time) {
	if !co.cold {
		return
	}
	if co.coldSince.IsZero() {
		co.coldSince = now
	}
	quiet := now.Sub(co.coldSince) >= co.warmTime && now.Sub(co.overloadAt) >= co.warmTime/2
	co.cold = co.limit < co.bound/2 && !quiet
}

// beginProbe halves a limit that fell back to about the initial one. A target
// that is overloaded even there would otherwise have its overload taken for
// its usual latency.
func (co *control) beginProbe(now time.Time) {
	co.probing = co.limit > 1 && co.limit <= probeRange*co.initial &&
		now.Sub(co.probedAt) >= probeTime
	if !co.probing {
		return
	}
	co.probedAt, co.beforeProbe = now, co.limit
	co.limit = max(1, co.limit/2)
}

// endProbe keeps the halved limit and its latency if the latency fell with it.
func (co *control) endProbe(now time.Time) {
	co.probing = false
	if co.window.good > 0 && co.window.mean() <= probeGain {
		co.adjust(1)
		co.overloadAt, co.holdUntil = now, now.Add(co.hold)
	} else {
		co.limit = co.beforeProbe
	}
	co.window = window{}
}

// rise returns the weight of a sample above the reference.
func (co *control) rise() float64 {
	if co.limit <= co.initial {
		return downRate
	}
	return upRate
}

// settle takes the failure share of the window into the usual one.
func (co *control) settle() {
	share := co.window.share()
	if co.failures < 0 {
		co.failures = share
	}
	co.settled++
	co.failures += max(failureRate, 1/float64(co.settled)) * (share - co.failures)
}

// try begins or continues a trial: whether a lower limit helps.
func (co *control) try(_ time.Time) {
	if co.trial.shrinks == 0 {
		wi := &co.window
		co.trial = trial{limit: co.limit, ratio: wi.mean(), fail: wi.share()}
	}
	co.trial.shrinks++
}

// otherCause reports whether the decreases of the trial did not help.
func (co *control) otherCause() bool {
	tr, wi := &co.trial, &co.window
	return tr.shrinks >= trialShrinks && wi.mean() >= trialGain*tr.ratio &&
		wi.share() >= trialGain*tr.fail
}

// accept takes the window as the new reference and restores the limit.
func (co *control) accept() {
	co.adjust(1)
	co.failures = co.window.share()
	co.limit = max(co.limit, co.trial.limit)
	co.trial = trial{}
}

// adjust moves the references towards the latencies of the window.
func (co *control) adjust(up float64) {
	for _, ref := range co.routes {
		if ref.count == 0 {
			continue
		}
		mean := ref.sum / ref.count
		rate := downRate
		if mean > ref.latency {
			rate = up
		}
		if ref.latency == 0 {
			ref.latency = mean
		}
		ref.latency += min(rate*ref.count, 1) * (mean - ref.latency)
		ref.sum, ref.count = 0, 0
	}
}

// shrink lowers the limit and stops its growth for a while.
func (co *control) shrink(limit float64, inFlight int, now time.Time) {
	if now.Sub(co.overloadAt) > 4*co.hold {
		co.hold = holdTime
	}
	co.limit = max(1, limit)
	co.beginProbe(now)
	co.overloadAt = now
	co.holdUntil = now.Add(co.hold)
	co.hold = min(2*co.hold, maxHoldTime)
	co.ignore = inFlight
	co.window = window{}
}

// hint takes in a report of the target. Reports that the own observations
// contradict lose their weight.
func (co *control) hint(hi Hint, inFlight int, now time.Time) {
	weight := hintWeight * float64(hintAge) / float64(hintAge+max(hi.Age, 0))
	co.tracked = co.tracked || hi.InFlight > 0
	idle := co.tracked && hi.InFlight == 0 && inFlight >= 2
	if !idle {
		co.idleHints = 0
	}
	if hi.Healthy && !idle {
		co.suspicion /= 2
		co.trust = min(co.trust+hintTrustGain, 1)
		return
	}
	co.suspicion += weight * (co.trust - co.suspicion)
	if idle && hi.Age <= hintAge {
		co.idleHints++
	}
	if co.idleHints >= 2 && co.trust > 0.5 && co.limit > co.initial {
		co.limit = max(co.initial, co.limit/2)
		co.holdUntil = now.Add(co.hold)
		co.suspicion, co.idleHints, co.tracked = 0, 0, false
	}
	co.trust *= hintTrustLoss
}
