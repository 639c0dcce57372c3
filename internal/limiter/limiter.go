// Package limiter limits the concurrency of one target.
//
// A [Limiter] belongs to the node next to the target. It starts at the initial
// concurrency, grows on evidence, shrinks when latency rises, the target sheds
// load or calls fail, and falls back to the initial concurrency when the
// target went cold. It is safe for concurrent use.
package limiter

import "time"

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
	// WarmTime is the time after which a target without signs of overload no
	// longer counts as cold; zero means 30 s.
	WarmTime time.Duration
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
	// Cancelled is a call whose caller left before the deadline; its latency
	// says nothing. A call that ran out of time is Failed.
	Cancelled
)

// Result is the end of an admitted call.
type Result struct {
	// Status is how the call ended.
	Status Status
	// Route names the kind of call. Latency is compared within a route only,
	// so that a change of the mix does not look like overload.
	Route string
	// Latency is the time from sending the call to the target to the end of
	// the response.
	Latency time.Duration
	// Late is the part of Latency for which the node itself waited for a
	// processor. It says nothing about the target.
	Late time.Duration
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
