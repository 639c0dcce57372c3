package carrier

import (
	"maps"
	"time"

	"github.com/guavastall/guavastall/internal/matcher"
)

// This file holds the moving averages that a node keeps for each route, of its
// local target and of all targets.

// retainRoutes drops the averages of routes that are no longer configured. The
// caller must hold ca.mu.
func (ca *Carrier) retainRoutes(routes []*matcher.Route) {
	names := make(map[string]bool, len(routes))
	for _, ro := range routes {
		names[ro.Name] = true
	}
	ca.placer.KeepRoutes(names)
	retainKeys(ca.usualTimeouts, names)
	retainKeys(ca.processingTimes, names)
	retainKeys(ca.usualTimes, names)
	retainKeys(ca.callsPerRun, names)
	retainKeys(ca.responseBytes, names)
	retainKeys(ca.hedging, names)
}

func retainKeys[T any](averages map[string]T, routes map[string]bool) {
	maps.DeleteFunc(averages, func(route string, _ T) bool { return !routes[route] })
}

// averageWeight is the weight of the newest sample in the moving averages of a
// route's processing time, its calls per run and the size of its responses.
const averageWeight = 0.1

// updateAverage adds a sample to the route's exponential moving average. The
// first sample becomes the average.
func updateAverage[T ~int64 | ~float64](averages map[string]T, route string, sample T) {
	old, ok := averages[route]
	if !ok {
		old = sample
	}
	averages[route] = old + T(averageWeight*float64(sample-old))
}

// initialTimeFraction is the fraction of a route's objective that is assumed as
// the processing time of its requests at a target before the first sample.
// Operators set objectives that leave room for a wait about as long as the
// processing time.
const initialTimeFraction = 0.5

// expectedProcessingTime returns the expected processing time of the request at
// the local target, at the target's pace if it is known.
func (ca *Carrier) expectedProcessingTime(rq *request) time.Duration {
	if rq.route == nil {
		return 0
	}
	now := ca.config.Now()
	own := ca.gate.pace()
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if usual, ok := ca.usualTimes[rq.route.Name]; ok && own.Pace.Known(now) {
		return own.Pace.Scale(usual, now)
	}
	if work, ok := ca.processingTimes[rq.route.Name]; ok {
		return work
	}
	return time.Duration(initialTimeFraction * float64(rq.route.Objective))
}

// recordProcessingTime adds a sample of the route's processing time at the local
// target, which ran at the given pace; zero if it is unknown.
func (ca *Carrier) recordProcessingTime(route string, took time.Duration, pace float64) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	updateAverage(ca.processingTimes, route, took)
	if pace > 0 {
		updateAverage(ca.usualTimes, route, time.Duration(float64(took)/pace))
	}
}

// averageProcessingTime returns the average processing time of the route's
// requests across all targets.
func (ca *Carrier) averageProcessingTime(route string) time.Duration {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.placer.Work(route)
}

// observedProcessingTime is like averageProcessingTime, but returns zero until
// the node has seen a response. It includes the local target's pace if that is known,
// so that a target counts as slow only if it is slower than it announces.
func (ca *Carrier) observedProcessingTime(route string) time.Duration {
	now := ca.config.Now()
	own := ca.gate.pace()
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if work, ok := ca.placer.PacedWork(route, &own.Pace, now); ok {
		return work
	}
	return ca.placer.MeasuredWork(route)
}

// recordBytes adds a sample of the size of the route's responses.
func (ca *Carrier) recordBytes(route string, bytes int) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	updateAverage(ca.responseBytes, route, float64(bytes))
}

// expectedBytes returns the expected size of a response of the route; zero if no
// response has been observed.
func (ca *Carrier) expectedBytes(route string) float64 {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.responseBytes[route]
}

// recordCalls records the number of calls that a run of the route made.
func (ca *Carrier) recordCalls(route string, calls float64) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	updateAverage(ca.callsPerRun, route, calls)
}

// expectedCalls returns the expected number of calls that a run of the route
// makes, or a negative number if no run has been observed.
func (ca *Carrier) expectedCalls(route string) float64 {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if calls, ok := ca.callsPerRun[route]; ok {
		return calls
	}
	return -1
}
