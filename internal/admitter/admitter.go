// Package admitter implements admission control for a target: it decides which
// request runs next, which wait and which are refused.
//
// A [Queue] handles three load patterns. When requests exceed the target's
// slots, they wait in the queue instead of in the target, the most urgent first.
// A request that would wait too long is refused at once, with the time after
// which a slot is expected to be free. While the target is cold, requests start
// no faster than its cold rate allows.
package admitter

import (
	"cmp"
	"slices"
	"time"
)

const (
	// workSmoothing is the weight of a new sample in the average work time.
	workSmoothing = 0.1
	// defaultWork is the work time assumed before the first sample.
	defaultWork = 100 * time.Millisecond
	// minRetryAfter keeps refused callers from retrying immediately.
	minRetryAfter = 50 * time.Millisecond
	// lateWaitFraction is the fraction of its objective that a request may wait once it
	// can no longer meet the objective.
	lateWaitFraction = 0.25
)

// Rank is the urgency of a request; a lower rank is more urgent.
type Rank uint8

// Ranks in order of urgency.
const (
	// Nested is the rank of calls made by a request that is already running at
	// another target.
	Nested Rank = iota
	// First, Second and Third are the ranks of priorities 0, 1, and 2 and above.
	First
	Second
	Third
	// Ranks is the number of ranks.
	Ranks
)

// RankOf returns the rank of a request. Calls made by running requests rank
// above new requests, because refusing one wastes the slot that its caller holds.
func RankOf(nested bool, priority int) Rank {
	if nested {
		return Nested
	}
	return First + Rank(min(max(priority, 0), int(Third-First)))
}

// Request holds the properties of a request that admission depends on.
type Request struct {
	Rank Rank
	// Retried reports whether the request was refused before.
	Retried bool
	// Objective is the time by which a response has its full value, and Usual the
	// latency objective of requests of this kind.
	Objective time.Time
	Usual     time.Duration
	// Deadline is the time after which a response is useless.
	Deadline time.Time
	// Work is the expected time at the target; zero stands for the average.
	Work time.Duration
}

// Ticket is a request in the queue or at the target.
type Ticket[T any] struct {
	Request
	// Value is the caller's data; the queue does not use it.
	Value T

	// number orders tickets by arrival.
	number uint64
	// graceEnd is the time until which the request may wait even if it is late.
	graceEnd time.Time
	// started is the time at which the request was admitted, or sent to a cold
	// target.
	started time.Time
}

// Verdict is the result of [Queue.Offer].
type Verdict uint8

// Results of [Queue.Offer].
const (
	// Refused requests must not run.
	Refused Verdict = iota
	// Admitted requests hold a slot until [Queue.Done].
	Admitted
	// Waiting requests are in the queue until a later [Change] lists them, or
	// until [Queue.Leave] or [Queue.Clear] removes them.
	Waiting
)

// Change lists the waiting tickets that an event admitted or refused.
type Change[T any] struct {
	Admitted, Refused []*Ticket[T]
}

// Queue is the admission queue of one target. It is not safe for concurrent use.
type Queue[T any] struct {
	slots   int
	running int
	// runningWork is the total expected work of the running requests.
	runningWork time.Duration
	// waiting is sorted by compare as of the last call of sort.
	waiting []*Ticket[T]
	// lastNumber is the number of the newest ticket.
	lastNumber uint64
	// work is the average work time; zero before the first sample.
	work  time.Duration
	usage usage

	coldUntil time.Time
	coldRate  float64
	// starts holds the start times within the last rateWindow, oldest first.
	starts []time.Time
	// heldUntil is the time until which a cold target gets no requests.
	heldUntil time.Time
}

// New returns a queue for a target with the given number of slots.
func New[T any](slots int) *Queue[T] {
	return &Queue[T]{slots: slots}
}

// SetSlots sets the maximum number of requests that the target runs concurrently.
func (qu *Queue[T]) SetSlots(slots int) {
	qu.slots = slots
}

// Running returns the number of requests running at the target.
func (qu *Queue[T]) Running() int { return qu.running }

// Len returns the number of waiting requests.
func (qu *Queue[T]) Len() int { return len(qu.waiting) }

// Slots returns the maximum number of concurrently running requests.
func (qu *Queue[T]) Slots() int { return qu.slots }

// Work returns the average work time of a request at the target.
func (qu *Queue[T]) Work() time.Duration {
	if qu.work == 0 {
		return defaultWork
	}
	return qu.work
}

// Offer admits, queues or refuses a request. The Change lists less urgent waiting
// requests that are refused in its favour.
func (qu *Queue[T]) Offer(re Request, value T, now time.Time) (*Ticket[T], Verdict, Change[T]) {
	qu.lastNumber++
	if re.Work <= 0 {
		re.Work = qu.Work()
	}
	ti := &Ticket[T]{Request: re, Value: value, number: qu.lastNumber}
	ti.graceEnd = graceEnd(re, now)
	if qu.Free(now) {
		qu.start(ti, now)
		return ti, Admitted, Change[T]{}
	}
	var ahead backlog
	for _, other := range qu.waiting {
		if compare(other, ti, now) < 0 {
			ahead.add(other.Work)
		}
	}
	if now.Add(qu.expectedWait(ahead, re.Rank, now)).After(ti.latestStart()) {
		return ti, Refused, Change[T]{}
	}
	qu.waiting = append(qu.waiting, ti)
	qu.sort(now)
	return ti, Waiting, Change[T]{Refused: qu.evict(now)}
}

// Free reports whether a request that is offered now would be admitted at once.
func (qu *Queue[T]) Free(now time.Time) bool {
	return len(qu.waiting) == 0 && qu.free(now)
}

// Done releases the slot of an admitted request. If worked is positive, it is a
// sample of the target's work time.
func (qu *Queue[T]) Done(ti *Ticket[T], worked time.Duration, now time.Time) Change[T] {
	qu.running--
	qu.runningWork -= ti.Work
	if worked > 0 {
		if qu.work == 0 {
			qu.work = worked
		}
		qu.work += time.Duration(workSmoothing * float64(worked-qu.work))
		qu.usage.add(ti.Rank, worked, now)
	}
	return qu.Advance(now)
}

// Advance admits waiting requests to free slots and refuses those that are no
// longer expected to start in time.
func (qu *Queue[T]) Advance(now time.Time) Change[T] {
	var ch Change[T]
	if len(qu.waiting) == 0 {
		return ch
	}
	qu.sort(now)
	for len(qu.waiting) > 0 && qu.free(now) {
		ti := qu.waiting[0]
		qu.waiting = qu.waiting[1:]
		if now.After(ti.lastUsefulStart()) {
			ch.Refused = append(ch.Refused, ti)
			continue
		}
		qu.start(ti, now)
		ch.Admitted = append(ch.Admitted, ti)
	}
	ch.Refused = append(ch.Refused, qu.evict(now)...)
	return ch
}

// Leave removes a request from the queue and reports whether it was waiting.
func (qu *Queue[T]) Leave(ti *Ticket[T]) bool {
	nn := slices.Index(qu.waiting, ti)
	if nn < 0 {
		return false
	}
	qu.waiting = slices.Delete(qu.waiting, nn, nn+1)
	return true
}

// Clear removes and returns all waiting requests.
func (qu *Queue[T]) Clear() []*Ticket[T] {
	all := qu.waiting
	qu.waiting = nil
	return all
}

func (qu *Queue[T]) start(ti *Ticket[T], now time.Time) {
	qu.running++
	qu.runningWork += ti.Work
	qu.starts = append(qu.recentStarts(now), now)
	ti.started = now
}

// free reports whether a request may start now.
func (qu *Queue[T]) free(now time.Time) bool {
	return qu.running < qu.slots && qu.coldWait(0, now) == 0
}

// evict removes and returns, in queue order, the waiting requests that are not
// expected to start in time.
func (qu *Queue[T]) evict(now time.Time) []*Ticket[T] {
	var out []*Ticket[T]
	var ahead backlog
	kept := qu.waiting[:0]
	for _, ti := range qu.waiting {
		if now.Add(qu.expectedWait(ahead, ti.Rank, now)).After(ti.latestQueuedStart()) {
			out = append(out, ti)
			continue
		}
		ahead.add(ti.Work)
		kept = append(kept, ti)
	}
	clear(qu.waiting[len(kept):])
	qu.waiting = kept
	return out
}

func (qu *Queue[T]) sort(now time.Time) {
	slices.SortFunc(qu.waiting, func(a, b *Ticket[T]) int { return compare(a, b, now) })
}

// compare orders waiting requests by rank, then those that can still meet their
// objective before those that cannot, then requests that were refused before
// ahead of new ones, then by arrival.
func compare[T any](a, b *Ticket[T], now time.Time) int {
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank),
		compareBool(a.late(now), b.late(now)),
		compareBool(b.Retried, a.Retried),
		cmp.Compare(a.number, b.number),
	)
}

// late reports whether the request can no longer meet its objective.
func (ti *Ticket[T]) late(now time.Time) bool {
	return now.Add(ti.Work).After(ti.Objective)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
