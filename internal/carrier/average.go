package carrier

import (
	"maps"
	"time"

	"github.com/guavastall/guavastall/internal/matcher"
)

// The averages by route that a node learns, of its own target and of all.

// keepRoutes forgets the averages of routes that are no longer configured; the
// caller holds the lock.
func (ca *Carrier) keepRoutes(routes []*matcher.Route) {
	names := make(map[string]bool, len(routes))
	for _, ro := range routes {
		names[ro.Name] = true
	}
	ca.placer.KeepRoutes(names)
	keep(ca.usual, names)
	keep(ca.work, names)
	keep(ca.calls, names)
}

func keep[T any](averages map[string]T, routes map[string]bool) {
	maps.DeleteFunc(averages, func(route string, _ T) bool { return !routes[route] })
}

// averageWeight is the weight of the newest sample in the average work of a route
// and in the average calls of its runs.
const averageWeight = 0.1

// learn moves the average of the route by a sample; the first one is the average.
func learn[T ~int64 | ~float64](averages map[string]T, route string, sample T) {
	old, ok := averages[route]
	if !ok {
		old = sample
	}
	averages[route] = old + T(averageWeight*float64(sample-old))
}

// unknownWorkPart is the part of a route's objective that stands for the time of
// its requests at a target before the first one: operators leave room for a wait
// about as long.
const unknownWorkPart = 0.5

// expectedWork returns the expected time of the request at the own target.
func (ca *Carrier) expectedWork(rq *request) time.Duration {
	if rq.route == nil {
		return 0
	}
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if work, ok := ca.work[rq.route.Name]; ok {
		return work
	}
	return time.Duration(unknownWorkPart * float64(rq.route.Objective))
}

// addWork takes the time of a request of the route at the own target.
func (ca *Carrier) addWork(route string, took time.Duration) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	learn(ca.work, route, took)
}

// usualWork returns the average time of the route's requests at all targets.
func (ca *Carrier) usualWork(route string) time.Duration {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.placer.Work(route)
}

// knownWork is usualWork, but zero while the node has seen no response.
func (ca *Carrier) knownWork(route string) time.Duration {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.placer.Seen(route)
}

// sawCalls takes the number of calls of a run of the route.
func (ca *Carrier) sawCalls(route string, calls float64) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	learn(ca.calls, route, calls)
}

// expectedCalls returns the expected number of calls of a run of the route;
// negative if none has been seen.
func (ca *Carrier) expectedCalls(route string) float64 {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if calls, ok := ca.calls[route]; ok {
		return calls
	}
	return -1
}
