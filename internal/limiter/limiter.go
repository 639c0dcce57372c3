// Package limiter limits the concurrency of one target.
//
// A [Limiter] runs in the node alongside the target. Its limit starts at the
// initial concurrency and grows while the target handles the load. It shrinks
// when latency rises, calls fail or the target sheds load, and falls back to
// the initial concurrency when the target becomes cold. A Limiter is safe for
// concurrent use.
package limiter

import "time"

// Config holds the settings of a [Limiter].
type Config struct {
	// Slots is the number of calls that the target can execute concurrently; at
	// least 1.
	Slots int
	// Connections is the number of connections that the target accepts; zero
	// means no limit.
	Connections int
	// Initial is the concurrency limit of a target that has just started.
	Initial int
	// Max is the maximum concurrency limit; zero means Slots.
	Max int
	// WarmTime is the time after which a target without signs of overload is no
	// longer cold; zero means 30 s.
	WarmTime time.Duration
	// QueueTime is the maximum wait for a free slot; zero means no queue.
	QueueTime time.Duration
}

// Status is how an admitted call ended.
type Status uint8

const (
	// OK is a complete response.
	OK Status = iota
	// Failed is an error response, a broken connection or a timeout.
	Failed
	// Shed is a response by which the target sheds load.
	Shed
	// Cancelled is a call whose end is not attributable to the target, such as
	// one whose caller disconnected before the deadline; its latency is ignored.
	// A call whose deadline passed is Failed.
	Cancelled
)

// Result is the result of an admitted call.
type Result struct {
	// Status is how the call ended.
	Status Status
	// Route names the kind of call. Latencies are compared within a route only,
	// so that a change of the traffic mix does not look like overload.
	Route string
	// Latency is the time from sending the call to the target to the end of
	// the response.
	Latency time.Duration
	// Late is the part of Latency during which the node itself waited for a
	// processor. It is not attributable to the target.
	Late time.Duration
}

// Hint is a report from the health and load endpoints of the target.
type Hint struct {
	// Healthy says that the health endpoint reported healthy.
	Healthy bool
	// InFlight is the number of calls in flight that the target reported.
	InFlight int
	// Slots is the number of slots that the target reported; zero if unknown.
	Slots int
	// Age is the age of the report.
	Age time.Duration
}
