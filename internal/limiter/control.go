package limiter

import (
	"math"
	"time"
)

const (
	// windowSamples is the minimum number of results in a window. With 16
	// exponentially distributed latencies, the mean exceeds
	// overloadLatencyRatio by chance in about 2% of the windows.
	windowSamples = 16
	// minColdSamples is the minimum number of results in a window from which a
	// target can be detected as cold.
	minColdSamples = 5
	// overloadLatencyRatio is the ratio to the baseline latency that indicates
	// overload.
	overloadLatencyRatio = 1.6
	// coldLatencyRatio is the ratio to the baseline latency that indicates a cold
	// target.
	coldLatencyRatio = 3
	// maxSampleRatio is the maximum ratio counted for one sample, so that a single
	// outlier cannot raise the mean of a window to coldLatencyRatio.
	maxSampleRatio = 8
	// minBaselineLatency is the minimum baseline against which an increase in
	// latency is measured. On a busy VM, pauses of a few milliseconds multiply
	// the latency of a fast target without any overload.
	minBaselineLatency = 3 * time.Millisecond
	// overloadFailureIncrease is the increase of the failure rate that indicates
	// overload.
	overloadFailureIncrease = 0.2
	// coldFailureIncrease is the increase of the failure rate that indicates a cold
	// target.
	coldFailureIncrease = 0.6
	// failureWeight is the weight of one window in the baseline failure rate.
	failureWeight = 0.2
	// decreaseWeight and increaseWeight are the weights of one sample below and
	// above the baseline latency. The baseline follows increases slowly, so that
	// overload does not become the baseline. At the initial limit, it follows
	// them as fast as decreases.
	decreaseWeight = 0.03
	increaseWeight = 0.003
	// shrinkFactor multiplies the limit on overload. When the target itself
	// sheds a call, the number of calls in flight indicates its capacity, and
	// shedFactor multiplies that number.
	shrinkFactor = 0.7
	shedFactor   = 0.9
	// minGrowthPause is the time without growth after overload. It doubles up to
	// maxGrowthPause while growth leads to overload again.
	minGrowthPause = 500 * time.Millisecond
	maxGrowthPause = 2 * time.Second
	// trialShrinks is the number of decreases in a trial. If latency and failure
	// rate then still exceed trialGain of their values at its start, load is not
	// the cause. Two decreases halve the latency of a target whose latency is
	// proportional to its load.
	trialShrinks = 2
	trialGain    = 0.8
	// defaultWarmTime is the default of Config.WarmTime.
	defaultWarmTime = 30 * time.Second
	// probeSamples is the number of results in a probe at half the limit. If the
	// mean latency ratio falls to probeGain or below, load was the cause.
	probeSamples = 8
	probeGain    = 0.7
	// probeMaxFactor is the multiple of the initial limit up to which a decrease
	// starts a probe. probeInterval is the minimum time between probes.
	probeMaxFactor = 1.5
	probeInterval  = 5 * time.Second
	// hintAge is the age at which a hint has half its weight.
	hintAge = time.Second
	// hintTrustLoss multiplies the trust in hints on each alarming hint, so that
	// a target whose reports are always wrong halves the limit at most three
	// times. Confirmed alarms and healthy reports restore the trust.
	hintTrustLoss = 0.9
	hintTrustGain = 0.01
	// maxThresholdReduction is the fraction by which full suspicion lowers the
	// thresholds.
	maxThresholdReduction = 0.3
	// hintWeight is the weight of one fresh hint in the suspicion.
	hintWeight = 0.5
	// maxRoutes is the maximum number of routes with their own baseline.
	maxRoutes = 128
)

// controller adapts the limit to the results of calls and to hints.
type controller struct {
	initial, bound    float64
	warmTime          time.Duration
	limit             float64
	cold              bool
	coldSince         time.Time
	overloadAt        time.Time
	growthPausedUntil time.Time
	growthPause       time.Duration
	// meanLatency is the moving average of the latency over all routes.
	meanLatency time.Duration
	// baselineFailures is the usual failure rate; negative until it is known.
	baselineFailures float64
	healthyWindows   int
	// probing says that the limit is halved to measure the latency without load.
	probing     bool
	beforeProbe float64
	probedAt    time.Time
	trial       trial
	routes      map[string]*baseline
	window      window
	// staleResults is the number of outstanding results of calls that were
	// admitted before the limit fell; they are not evidence for the new limit.
	staleResults int
	// suspicion is the degree, 0 to 1, to which the hints indicate that the
	// target is cold.
	suspicion float64
	// hintTrust is the weight of the hints, 0 to 1. False alarms lower it.
	hintTrust float64
	// loadReported says that the target has reported a nonzero load, so that a drop
	// to zero is meaningful.
	loadReported bool
	// idleHints is the number of consecutive fresh hints of a load that dropped
	// to zero; two of them halve the limit.
	idleHints int
}

// baseline is the usual latency of a route, with the sum and the count of the
// latencies in the current window.
type baseline struct {
	latency    float64
	sum, count float64
}

// trial is a series of consecutive decreases. It records the limit, the latency
// ratio and the failure rate before the first one.
type trial struct {
	shrinks     int
	limit       float64
	ratio, fail float64
}

// window collects results until there are enough to evaluate.
type window struct {
	good, bad int
	peak      int
	ratios    float64
	demand    bool
}

// reset resets the controller to the state of a target that has just started.
func (co *controller) reset(inFlight int) {
	*co = controller{
		initial: co.initial, bound: co.bound, warmTime: co.warmTime,
		limit: co.initial, cold: true,
		growthPause: minGrowthPause, routes: map[string]*baseline{}, staleResults: inFlight,
		meanLatency: co.meanLatency, baselineFailures: -1, hintTrust: co.hintTrust,
		probedAt: co.probedAt,
	}
}

// noteDemand records that the limit is fully used. An unused limit does not grow.
func (co *controller) noteDemand() { co.window.demand = true }

// recordResult records the end of a call. inFlight is the number of calls still in
// flight.
func (co *controller) recordResult(re Result, inFlight int, now time.Time) {
	if co.staleResults > 0 {
		co.staleResults--
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
			co.hintTrust = min(co.hintTrust+1-hintTrustLoss, 1)
		}
		co.reset(inFlight)
		co.coldSince, co.overloadAt = now, now
	case re.Status == Shed:
		// The target has revealed its capacity, so a longer pause is not needed.
		co.growthPause = minGrowthPause
		co.shrink(min(co.limit, float64(inFlight))*shedFactor, inFlight, now)
	case co.probing && co.window.good+co.window.bad >= probeSamples:
		co.endProbe(now)
	case float64(co.window.good+co.window.bad) >= max(windowSamples, 2*co.limit):
		co.evaluateWindow(inFlight, now)
	}
}

// ratio returns the latency of a call relative to the baseline of its route.
func (co *controller) ratio(re Result) float64 {
	latency := float64(max(re.Latency-re.Late, 0))
	if co.meanLatency == 0 {
		co.meanLatency = re.Latency
	}
	co.meanLatency += (re.Latency - co.meanLatency) / 16
	ref := co.routes[re.Route]
	if ref == nil {
		if len(co.routes) >= maxRoutes {
			return 1
		}
		ref = &baseline{}
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
	ratio := latency / max(ref.latency, float64(minBaselineLatency))
	return min(max(ratio, 1), maxSampleRatio)
}

// wentCold reports whether latency or failures rose sharply in the window at a
// target whose limit had grown.
func (co *controller) wentCold() bool {
	wi := &co.window
	if co.limit <= co.initial || wi.good+wi.bad < minColdSamples || co.baselineFailures < 0 {
		return false
	}
	factor := co.thresholdFactor()
	return co.failuresIncreased(coldFailureIncrease*factor) ||
		wi.good >= minColdSamples && wi.mean() > coldLatencyRatio*factor
}

// thresholdFactor returns the factor that hints apply to the thresholds.
func (co *controller) thresholdFactor() float64 { return 1 - maxThresholdReduction*co.suspicion }

// failuresIncreased reports whether the failure rate of the window exceeds the
// baseline by more than the increase and by more than chance explains.
func (co *controller) failuresIncreased(increase float64) bool {
	if co.baselineFailures < 0 {
		return false
	}
	wi, usual := &co.window, co.baselineFailures
	all := float64(wi.good + wi.bad)
	excess := float64(wi.bad) - usual*all
	return excess > increase*all && excess > 3*math.Sqrt(usual*(1-usual)*all+1)
}

// share returns the failure rate of the window.
func (wi *window) share() float64 {
	return float64(wi.bad) / float64(max(wi.good+wi.bad, 1))
}

// mean returns the mean latency ratio of the window, or 1 if it has no latency.
func (wi *window) mean() float64 {
	if wi.good == 0 {
		return 1
	}
	return wi.ratios / float64(wi.good)
}

// evaluateWindow evaluates the window, adapts the limit and starts a new window.
func (co *controller) evaluateWindow(inFlight int, now time.Time) {
	wi := co.window
	factor := co.thresholdFactor()
	overloaded := wi.mean() > 1+(overloadLatencyRatio-1)*factor ||
		co.failuresIncreased(overloadFailureIncrease*factor)
	switch {
	case overloaded && co.trialFailed():
		co.acceptWindow()
	case overloaded:
		co.updateBaselines(increaseWeight)
		co.recordTrial(now)
		co.shrink(min(co.limit, float64(wi.peak))*shrinkFactor, inFlight, now)
	default:
		co.updateBaselines(co.increaseWeight())
		co.trial = trial{}
		co.updateBaselineFailures()
		if wi.demand && !now.Before(co.growthPausedUntil) {
			co.limit = min(co.limit+1, co.bound)
		}
	}
	co.window = window{}
}

// updateCold ends the cold state when the limit has grown or enough time has passed
// without overload.
func (co *controller) updateCold(now time.Time) {
	if !co.cold {
		return
	}
	if co.coldSince.IsZero() {
		co.coldSince = now
	}
	quiet := now.Sub(co.coldSince) >= co.warmTime && now.Sub(co.overloadAt) >= co.warmTime/2
	co.cold = co.limit < co.bound/2 && !quiet
}

// beginProbe halves a limit that has fallen to about the initial one. Otherwise,
// the latency of a target that is overloaded even at that limit would become
// its baseline.
func (co *controller) beginProbe(now time.Time) {
	co.probing = co.limit > 1 && co.limit <= probeMaxFactor*co.initial &&
		now.Sub(co.probedAt) >= probeInterval
	if !co.probing {
		return
	}
	co.probedAt, co.beforeProbe = now, co.limit
	co.limit = max(1, co.limit/2)
}

// endProbe keeps the halved limit and adopts its latency as the baseline if the
// latency fell with the limit. Otherwise, it restores the limit.
func (co *controller) endProbe(now time.Time) {
	co.probing = false
	if co.window.good > 0 && co.window.mean() <= probeGain {
		co.updateBaselines(1)
		co.overloadAt, co.growthPausedUntil = now, now.Add(co.growthPause)
	} else {
		co.limit = co.beforeProbe
	}
	co.window = window{}
}

// increaseWeight returns the weight of a sample above the baseline.
func (co *controller) increaseWeight() float64 {
	if co.limit <= co.initial {
		return decreaseWeight
	}
	return increaseWeight
}

// updateBaselineFailures updates the baseline failure rate with that of the
// window.
func (co *controller) updateBaselineFailures() {
	share := co.window.share()
	if co.baselineFailures < 0 {
		co.baselineFailures = share
	}
	co.healthyWindows++
	weight := max(failureWeight, 1/float64(co.healthyWindows))
	co.baselineFailures += weight * (share - co.baselineFailures)
}

// recordTrial starts or continues a trial of whether a lower limit helps.
func (co *controller) recordTrial(_ time.Time) {
	if co.trial.shrinks == 0 {
		wi := &co.window
		co.trial = trial{limit: co.limit, ratio: wi.mean(), fail: wi.share()}
	}
	co.trial.shrinks++
}

// trialFailed reports whether the decreases of the trial did not help, so that load
// is not the cause.
func (co *controller) trialFailed() bool {
	tr, wi := &co.trial, &co.window
	return tr.shrinks >= trialShrinks && wi.mean() >= trialGain*tr.ratio &&
		wi.share() >= trialGain*tr.fail
}

// acceptWindow adopts the window as the new baseline and restores the limit.
func (co *controller) acceptWindow() {
	co.updateBaselines(1)
	co.baselineFailures = co.window.share()
	co.limit = max(co.limit, co.trial.limit)
	co.trial = trial{}
}

// updateBaselines moves the baselines towards the latencies of the window.
func (co *controller) updateBaselines(increase float64) {
	for _, ref := range co.routes {
		if ref.count == 0 {
			continue
		}
		mean := ref.sum / ref.count
		rate := decreaseWeight
		if mean > ref.latency {
			rate = increase
		}
		if ref.latency == 0 {
			ref.latency = mean
		}
		ref.latency += min(rate*ref.count, 1) * (mean - ref.latency)
		ref.sum, ref.count = 0, 0
	}
}

// shrink lowers the limit and pauses its growth.
func (co *controller) shrink(limit float64, inFlight int, now time.Time) {
	if now.Sub(co.overloadAt) > 4*co.growthPause {
		co.growthPause = minGrowthPause
	}
	co.limit = max(1, limit)
	co.beginProbe(now)
	co.overloadAt = now
	co.growthPausedUntil = now.Add(co.growthPause)
	co.growthPause = min(2*co.growthPause, maxGrowthPause)
	co.staleResults = inFlight
	co.window = window{}
}

// hint records a report of the target. Each alarming hint lowers the trust in
// hints, so that alarms which the results of calls do not confirm lose weight.
func (co *controller) hint(hi Hint, inFlight int, now time.Time) {
	weight := hintWeight * float64(hintAge) / float64(hintAge+max(hi.Age, 0))
	co.loadReported = co.loadReported || hi.InFlight > 0
	idle := co.loadReported && hi.InFlight == 0 && inFlight >= 2
	if !idle {
		co.idleHints = 0
	}
	if hi.Healthy && !idle {
		co.suspicion /= 2
		co.hintTrust = min(co.hintTrust+hintTrustGain, 1)
		return
	}
	co.suspicion += weight * (co.hintTrust - co.suspicion)
	if idle && hi.Age <= hintAge {
		co.idleHints++
	}
	if co.idleHints >= 2 && co.hintTrust > 0.5 && co.limit > co.initial {
		co.limit = max(co.initial, co.limit/2)
		co.growthPausedUntil = now.Add(co.growthPause)
		co.suspicion, co.idleHints, co.loadReported = 0, 0, false
	}
	co.hintTrust *= hintTrustLoss
}
