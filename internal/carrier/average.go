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
	for _, averages := range []map[string]time.Duration{ca.usual, ca.work} {
		maps.DeleteFunc(averages, func(route string, _ time.Duration) bool {
			return !names[route]
		})
	}
	maps.DeleteFunc(ca.calls, func(route string, _ float64) bool { return !names[route] })
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

// workWeight is the weight of the newest sample in the average work of a route.
const workWeight = 0.1

func (ca *Carrier) addWork(route string, took time.Duration) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	old := ca.work[route]
	if old == 0 {
		old = took
	}
	ca.work[route] = old + time.Duration(workWeight*float64(took-old))
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

// callsWeight is the weight of the newest sample in the average calls of a run.
const callsWeight = 0.1

// sawCalls takes the number of calls of a run of the route.
func (ca *Carrier) sawCalls(route string, calls float64) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	old, ok := ca.calls[route]
	if !ok {
		old = calls
	}
	ca.calls[route] = old + callsWeight*(calls-old)
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
