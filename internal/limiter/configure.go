package limiter

import "time"

// hardLimit returns the number of calls that the bounds allow at most.
func (cf Config) hardLimit() int {
	hard := max(cf.Slots, 1)
	if cf.Max > 0 {
		hard = min(hard, cf.Max)
	}
	if cf.Connections > 0 {
		hard = min(hard, cf.Connections)
	}
	return hard
}

// warmTime returns the time after which a quiet target counts as warm.
func (cf Config) warmTime() time.Duration {
	if cf.WarmTime > 0 {
		return cf.WarmTime
	}
	return defaultWarmTime
}

// Configure puts other bounds into effect, such as those of a new profile. Calls
// in flight keep their slots. A limit that has not left the initial one moves
// to the new initial one; any other limit is only cut to the new bound.
func (li *Limiter) Configure(cf Config) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if cf == li.config {
		return
	}
	fresh := li.limit == li.initial
	li.config = cf
	li.hard = cf.hardLimit()
	li.initial = float64(min(max(cf.Initial, 1), li.hard))
	li.bound = float64(li.hard)
	li.warmTime = cf.warmTime()
	if fresh {
		li.limit = li.initial
	}
	li.limit = min(li.limit, li.bound)
}
