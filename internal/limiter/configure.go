package limiter

import "time"

// hardLimit returns the maximum concurrency that the configuration allows.
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

// warmTime returns the time without overload after which a target is warm.
func (cf Config) warmTime() time.Duration {
	if cf.WarmTime > 0 {
		return cf.WarmTime
	}
	return defaultWarmTime
}

// Configure applies a new configuration, such as that of a new profile. Calls in
// flight keep their slots. A limit that still equals the initial one is set to
// the new initial one; any other limit is only reduced to the new maximum.
func (li *Limiter) Configure(cf Config) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if cf == li.config {
		return
	}
	fresh := li.limit == li.initial
	li.config = cf
	li.hardLimit = cf.hardLimit()
	li.initial = float64(min(max(cf.Initial, 1), li.hardLimit))
	li.bound = float64(li.hardLimit)
	li.warmTime = cf.warmTime()
	if fresh {
		li.limit = li.initial
	}
	li.limit = min(li.limit, li.bound)
}
