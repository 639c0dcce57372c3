package limiter

import (
	"sync"
	"time"

	"github.com/guavastall/guavastall/internal/asserter"
)

// idleTime is the time without calls after which a limit above the initial one
// is halved: what a target could do a minute ago says little about what it can
// do with cold caches.
const idleTime = time.Minute

// Limiter limits the concurrency of one target.
type Limiter struct {
	mu       sync.Mutex
	hard     int
	config   Config
	inFlight int
	queued   int
	lastUsed time.Time
	control
}

// New returns a limiter for a freshly started target.
func New(cf Config) *Limiter {
	hard := cf.hardLimit()
	li := &Limiter{hard: hard, config: cf}
	li.initial = float64(min(max(cf.Initial, 1), hard))
	li.bound = float64(hard)
	li.warmTime = cf.warmTime()
	li.trust = 1
	li.reset(0)
	return li
}

// Offer takes a slot for a new call and reports whether it got one. Calls that
// already wait go first. Each slot taken is given back with Done.
func (li *Limiter) Offer(now time.Time) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.rest(now)
	li.warm(now)
	if li.queued > 0 {
		li.noteDemand()
		return false
	}
	return li.take(now)
}

// rest lowers the limit of a target that had no call for a while.
func (li *Limiter) rest(now time.Time) {
	for li.inFlight == 0 && !li.lastUsed.IsZero() && now.Sub(li.lastUsed) >= idleTime &&
		li.limit > li.initial {
		li.limit = max(li.initial, li.limit/2)
		li.lastUsed = li.lastUsed.Add(idleTime)
	}
}

// take takes a slot if one is free.
func (li *Limiter) take(now time.Time) bool {
	if li.inFlight >= li.allowed() {
		li.noteDemand()
		return false
	}
	if !asserter.That(li.inFlight < li.hard, "hardLimit",
		"%d calls in flight at a target with a limit of %d", li.inFlight, li.hard) {
		return false
	}
	li.inFlight++
	li.lastUsed = now
	if li.inFlight >= li.allowed() {
		li.noteDemand()
	}
	return true
}

// allowed returns the limit as a whole number.
func (li *Limiter) allowed() int {
	return min(max(int(li.limit), 1), li.hard)
}

// Enqueue decides whether a call that Offer refused waits for a slot. If so it
// returns the longest wait, and the caller ends the wait with Advance or Leave.
// Remaining is the time until the deadline of the call.
func (li *Limiter) Enqueue(remaining time.Duration, _ time.Time) (time.Duration, bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	limit := li.allowed()
	if li.config.QueueTime <= 0 || li.queued >= limit {
		return 0, false
	}
	wait := min(li.config.QueueTime, remaining-li.typical)
	expected := li.typical * time.Duration(li.queued+1+max(0, li.inFlight-limit)) /
		time.Duration(limit)
	if wait <= 0 || expected > wait {
		return 0, false
	}
	li.queued++
	return wait, true
}

// Advance takes a slot for a waiting call, the oldest one, and reports whether
// it got one; the call then no longer waits. It is called after each Done until
// it returns false.
func (li *Limiter) Advance(now time.Time) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.queued == 0 || !li.take(now) {
		return false
	}
	li.queued--
	return true
}

// Leave ends the wait of a call that got no slot in time or whose caller left.
func (li *Limiter) Leave(_ time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if asserter.That(li.queued > 0, "limiterQueue", "a call left an empty queue") {
		li.queued--
	}
}

// Done gives back a slot taken by Offer or Advance.
func (li *Limiter) Done(re Result, now time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if !asserter.That(li.inFlight > 0, "limiterSlots", "a call ended that had no slot") {
		return
	}
	li.inFlight--
	li.lastUsed = now
	li.learn(re, li.inFlight, now)
	li.warm(now)
}

// Observe takes in a report of the target. It counts less than own
// observations, and less the older it is.
func (li *Limiter) Observe(hi Hint, now time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.hint(hi, li.inFlight, now)
	li.warm(now)
}

// Restart returns to the state of a freshly started target; calls in flight
// keep their slots.
func (li *Limiter) Restart(_ time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.reset(li.inFlight)
}

// Limit returns the number of calls that may be in flight.
func (li *Limiter) Limit() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.allowed()
}

// InFlight returns the number of calls in flight.
func (li *Limiter) InFlight() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.inFlight
}

// Queued returns the number of calls that wait for a slot.
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
