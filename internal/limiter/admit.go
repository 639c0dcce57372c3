package limiter

import (
	"sync"
	"time"

	"github.com/guavastall/guavastall/internal/asserter"
)

// idleTime is the time without calls after which a limit above the initial one
// is halved. After a minute without calls, the caches of the target may be cold,
// and its earlier capacity is no longer a good estimate.
const idleTime = time.Minute

// Limiter limits the concurrency of one target.
type Limiter struct {
	mu        sync.Mutex
	hardLimit int
	config    Config
	inFlight  int
	queued    int
	lastUsed  time.Time
	controller
}

// New returns a limiter for a target that has just started.
func New(cf Config) *Limiter {
	hard := cf.hardLimit()
	li := &Limiter{hardLimit: hard, config: cf}
	li.initial = float64(min(max(cf.Initial, 1), hard))
	li.bound = float64(hard)
	li.warmTime = cf.warmTime()
	li.hintTrust = 1
	li.reset(0)
	return li
}

// TryAcquire acquires a slot for a new call without waiting and reports whether it
// did. It fails if other calls are queued, because they come first. Each slot
// acquired must be released with Release.
func (li *Limiter) TryAcquire(now time.Time) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.decayIdle(now)
	li.updateCold(now)
	if li.queued > 0 {
		li.noteDemand()
		return false
	}
	return li.acquire(now)
}

// decayIdle lowers the limit of a target that has been idle.
func (li *Limiter) decayIdle(now time.Time) {
	for li.inFlight == 0 && !li.lastUsed.IsZero() && now.Sub(li.lastUsed) >= idleTime &&
		li.limit > li.initial {
		li.limit = max(li.initial, li.limit/2)
		li.lastUsed = li.lastUsed.Add(idleTime)
	}
}

// acquire acquires a slot if one is free.
func (li *Limiter) acquire(now time.Time) bool {
	if li.inFlight >= li.currentLimit() {
		li.noteDemand()
		return false
	}
	if !asserter.That(li.inFlight < li.hardLimit, "hardLimit",
		"%d calls in flight at a target with a limit of %d", li.inFlight, li.hardLimit) {
		return false
	}
	li.inFlight++
	li.lastUsed = now
	if li.inFlight >= li.currentLimit() {
		li.noteDemand()
	}
	return true
}

// currentLimit returns the limit as an integer.
func (li *Limiter) currentLimit() int {
	return min(max(int(li.limit), 1), li.hardLimit)
}

// Enqueue decides whether a call that TryAcquire rejected may wait for a slot. If
// so, it queues the call and returns the maximum wait; the wait must be ended with
// AcquireQueued or Dequeue. remaining is the time until the deadline of the call.
func (li *Limiter) Enqueue(remaining time.Duration, _ time.Time) (time.Duration, bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	limit := li.currentLimit()
	if li.config.QueueTime <= 0 || li.queued >= limit {
		return 0, false
	}
	wait := min(li.config.QueueTime, remaining-li.meanLatency)
	expected := li.meanLatency * time.Duration(li.queued+1+max(0, li.inFlight-limit)) /
		time.Duration(limit)
	if wait <= 0 || expected > wait {
		return 0, false
	}
	li.queued++
	return wait, true
}

// AcquireQueued acquires a slot for the oldest queued call and reports whether it
// did. The call is then no longer queued. It must be called after each Release
// until it returns false.
func (li *Limiter) AcquireQueued(now time.Time) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.queued == 0 || !li.acquire(now) {
		return false
	}
	li.queued--
	return true
}

// Dequeue removes a call from the queue that got no slot in time or whose caller
// disconnected.
func (li *Limiter) Dequeue(_ time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if asserter.That(li.queued > 0, "limiterQueue", "a call was removed from an empty queue") {
		li.queued--
	}
}

// Release releases a slot acquired by TryAcquire or AcquireQueued and records the
// result of the call.
func (li *Limiter) Release(re Result, now time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if !asserter.That(li.inFlight > 0, "limiterSlots", "a call without a slot ended") {
		return
	}
	li.inFlight--
	li.lastUsed = now
	li.recordResult(re, li.inFlight, now)
	li.updateCold(now)
}

// Observe records a report of the target. A report has less weight than the
// results of calls, and its weight decreases with its age.
func (li *Limiter) Observe(hi Hint, now time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.hint(hi, li.inFlight, now)
	li.updateCold(now)
}

// Restart resets the limiter to the state of a target that has just started.
// Calls in flight keep their slots.
func (li *Limiter) Restart(_ time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.reset(li.inFlight)
}

// Limit returns the current concurrency limit.
func (li *Limiter) Limit() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.currentLimit()
}

// InFlight returns the number of calls in flight.
func (li *Limiter) InFlight() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.inFlight
}

// Queued returns the number of calls waiting for a slot.
func (li *Limiter) Queued() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.queued
}

// Cold reports whether the target is warming up.
func (li *Limiter) Cold() bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.cold
}
