// Package limiter limits the concurrency of one target.
//
// A [Limiter] belongs to the node next to the target. It starts at the initial
// concurrency, grows on evidence, shrinks when latency rises, the target sheds
// load or calls fail, and falls back to the initial concurrency when the
// target went cold. It is safe for concurrent use.
package limiter

import (
	"sync"
	"time"
)

// Config bounds a [Limiter].
type Config struct {
	// Slots is the number of calls that the target can run at once; at least 1.
	Slots int
	// Connections is the number of connections that the target accepts; zero
	// is no bound.
	Connections int
	// Initial is the concurrency granted to a freshly started target.
	Initial int
	// Max bounds the concurrency of a warm target; zero means Slots.
	Max int
	// QueueTime is the longest wait for a free slot; zero means no queue.
	QueueTime time.Duration
}

// Status is how an admitted call ended.
type Status uint8

// The statuses.
const (
	// OK is a complete response.
	OK Status = iota
	// Failed is an error response, a broken connection or a timeout.
	Failed
	// Shed is a load-shedding response of the target.
	Shed
	// Cancelled is a call whose caller left; its latency says nothing.
	Cancelled
)

// Result is the end of an admitted call.
type Result struct {
	// Status is how the call ended.
	Status Status
	// Latency is the time from sending the call to the target to the end of
	// the response.
	Latency time.Duration
}

// Hint is a report of the target's health and load endpoints.
type Hint struct {
	// Healthy says that the health endpoint reported healthy.
	Healthy bool
	// InFlight is the number of calls in flight that the target reported.
	InFlight int
	// Slots is the number of slots that the target reported; zero if unknown.
	Slots int
	// Age is how old the report is.
	Age time.Duration
}

// Limiter limits the concurrency of one target.
type Limiter struct {
	mu       sync.Mutex
	config   Config
	inFlight int
	queued   int
}

// New returns a limiter for a freshly started target.
func New(cf Config) *Limiter {
	return &Limiter{config: cf}
}

// Offer takes a slot for a new call and reports whether it got one. Calls that
// already wait go first. Each slot taken is given back with Done.
func (li *Limiter) Offer(_ time.Time) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.queued > 0 || li.inFlight >= li.config.Initial {
		return false
	}
	li.inFlight++
	return true
}

// Enqueue decides whether a call that Offer refused waits for a slot. If so it
// returns the longest wait, and the caller ends the wait with Advance or Leave.
// Remaining is the time until the deadline of the call.
func (li *Limiter) Enqueue(remaining time.Duration, _ time.Time) (time.Duration, bool) {
	return 0, false
}

// Advance takes a slot for a waiting call, the oldest one, and reports whether
// it got one; the call then no longer waits. It is called after each Done.
func (li *Limiter) Advance(_ time.Time) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.queued == 0 || li.inFlight >= li.config.Initial {
		return false
	}
	li.queued--
	li.inFlight++
	return true
}

// Leave ends the wait of a call that got no slot in time or whose caller left.
func (li *Limiter) Leave(_ time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.queued--
}

// Done gives back a slot taken by Offer or Advance.
func (li *Limiter) Done(_ Result, _ time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.inFlight--
}

// Observe takes in a report of the target. It counts less than own
// observations, and less the older it is.
func (li *Limiter) Observe(_ Hint, _ time.Time) {}

// Restart returns to the state of a freshly started target; calls in flight
// keep their slots.
func (li *Limiter) Restart(_ time.Time) {}

// Limit returns the number of calls that may be in flight.
func (li *Limiter) Limit() int {
	return li.config.Initial
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
	return true
}
