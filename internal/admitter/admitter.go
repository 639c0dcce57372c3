// Package admitter decides which request a target runs next, which wait, and
// which are refused.
//
// A [Queue] answers three load patterns. When more requests arrive than the
// slots of the target carry, they wait here and not in the target, the most
// urgent first. When the wait would outlast a request, it is refused at once,
// with the time after which room is expected. When the target is cold, requests
// start no faster than its cold rate allows.
package admitter

import (
	"cmp"
	"slices"
	"time"
)

const (
	// workWeight is the weight of the newest sample in the average work time.
	workWeight = 0.1
	// defaultWork stands for the work time before the first sample.
	defaultWork = 100 * time.Millisecond
	// minRetryAfter keeps refused callers from returning in the same instant.
	minRetryAfter = 50 * time.Millisecond
	// latePart is the part of its objective that a request waits at most which
	// cannot meet the objective any more.
	latePart = 0.25
)

// Rank orders requests by urgency; a smaller one goes first.
type Rank uint8

// The ranks.
const (
	// Inner is the rank of calls that a request at work elsewhere waits for.
	Inner Rank = iota
	// First, Second and Third are the ranks of priorities 0, 1, and 2 and above.
	First
	Second
	Third
	// Ranks is the number of ranks.
	Ranks
)

// RankOf returns the rank of a request. Calls go before new requests: when one
// is refused, the slot that its caller holds was for nothing.
func RankOf(inner bool, priority int) Rank {
	if inner {
		return Inner
	}
	return First + Rank(min(max(priority, 0), int(Third-First)))
}

// Request is what the queue needs to know of a request.
type Request struct {
	Rank Rank
	// Returning says that the request was refused before.
	Returning bool
	// Objective is until when a response has its full value, and Usual the time
	// that the objective allows a request of its kind.
	Objective time.Time
	Usual     time.Duration
	// Deadline is when a response becomes useless.
	Deadline time.Time
	// Work is the expected time at the target.
	Work time.Duration
}

// Ticket is a request in the queue or at the target.
type Ticket[T any] struct {
	Request
	// Value is the owner's.
	Value T

	number uint64
	// patience is until when the request waits even if it is late.
	patience time.Time
	// started is when it was admitted, or sent to a cold target.
	started time.Time
}

// Verdict is the answer to an offer.
type Verdict uint8

// The verdicts.
const (
	// Refused requests do not run.
	Refused Verdict = iota
	// Admitted requests hold a slot until Done.
	Admitted
	// Waiting requests are in the queue until a later change names them.
	Waiting
)

// Change lists the waiting tickets that an event moved.
type Change[T any] struct {
	Admitted, Refused []*Ticket[T]
}

// Queue is the queue before one target. It is not safe for concurrent use.
type Queue[T any] struct {
	slots   int
	running int
	// runningWork is the expected work of the running requests together.
	runningWork time.Duration
	// waiting is in the order of compare at the last look.
	waiting []*Ticket[T]
	numbers uint64
	work    time.Duration
	usage   usage

	coldUntil time.Time
	coldRate  float64
	// starts are the admissions within the last rateWindow, oldest first.
	starts []time.Time
	// heldUntil is until when a cold target gets nothing.
	heldUntil time.Time
}

// New returns a queue for a target with the slots.
func New[T any](slots int) *Queue[T] {
	return &Queue[T]{slots: slots}
}

// SetSlots sets the number of requests that the target runs at a time.
func (qu *Queue[T]) SetSlots(slots int) {
	qu.slots = slots
}

// Running returns the number of requests at the target.
func (qu *Queue[T]) Running() int { return qu.running }

// Len returns the number of waiting requests.
func (qu *Queue[T]) Len() int { return len(qu.waiting) }

// Slots returns the number of slots.
func (qu *Queue[T]) Slots() int { return qu.slots }

// Work returns the average time of a request at the target.
func (qu *Queue[T]) Work() time.Duration {
	if qu.work == 0 {
		return defaultWork
	}
	return qu.work
}

// Offer decides on a request. The Change lists less urgent requests that no
// longer fit.
func (qu *Queue[T]) Offer(re Request, value T, now time.Time) (*Ticket[T], Verdict, Change[T]) {
	qu.numbers++
	if re.Work <= 0 {
		re.Work = qu.Work()
	}
	ti := &Ticket[T]{Request: re, Value: value, number: qu.numbers}
	ti.patience = patience(re, now)
	if len(qu.waiting) == 0 && qu.free(now) {
		qu.start(ti, now)
		return ti, Admitted, Change[T]{}
	}
	var ahead backlog
	for _, other := range qu.waiting {
		if compare(other, ti, now) < 0 {
			ahead.add(other.Work)
		}
	}
	if now.Add(qu.waitBehind(ahead, re.Rank, now)).After(ti.latestStart()) {
		return ti, Refused, Change[T]{}
	}
	qu.waiting = append(qu.waiting, ti)
	qu.sort(now)
	return ti, Waiting, Change[T]{Refused: qu.evict(now)}
}

// Done ends an admitted request. The time at the target counts as a sample of
// its work time if it is above zero.
func (qu *Queue[T]) Done(ti *Ticket[T], worked time.Duration, now time.Time) Change[T] {
	qu.running--
	qu.runningWork -= ti.Work
	if worked > 0 {
		if qu.work == 0 {
			qu.work = worked
		}
		qu.work += time.Duration(workWeight * float64(worked-qu.work))
		qu.usage.add(ti.Rank, worked, now)
	}
	return qu.Advance(now)
}

// Advance admits waiting requests to free slots and refuses those whose time
// no longer suffices.
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

// Leave takes a waiting request out and reports whether it was waiting.
func (qu *Queue[T]) Leave(ti *Ticket[T]) bool {
	nn := slices.Index(qu.waiting, ti)
	if nn < 0 {
		return false
	}
	qu.waiting = slices.Delete(qu.waiting, nn, nn+1)
	return true
}

// Clear takes all waiting requests out.
func (qu *Queue[T]) Clear() []*Ticket[T] {
	all := qu.waiting
	qu.waiting = nil
	return all
}

func (qu *Queue[T]) start(ti *Ticket[T], now time.Time) {
	qu.running++
	qu.runningWork += ti.Work
	qu.starts = append(qu.trimmed(now), now)
	ti.started = now
}

// free reports whether a request may start now.
func (qu *Queue[T]) free(now time.Time) bool {
	return qu.running < qu.slots && qu.coldWait(0, now) == 0
}

// evict removes the waiting requests, in order, that are not expected to start
// in time.
func (qu *Queue[T]) evict(now time.Time) []*Ticket[T] {
	var out []*Ticket[T]
	var ahead backlog
	kept := qu.waiting[:0]
	for _, ti := range qu.waiting {
		if now.Add(qu.waitBehind(ahead, ti.Rank, now)).After(ti.latestWait()) {
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

// compare orders waiting requests: by rank; those that can still meet their
// objective before those that cannot; returning ones before new ones; then by
// arrival.
func compare[T any](a, b *Ticket[T], now time.Time) int {
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank),
		compareBool(a.late(now), b.late(now)),
		compareBool(b.Returning, a.Returning),
		cmp.Compare(a.number, b.number),
	)
}

// late reports whether the request cannot meet its objective any more.
func (ti *Ticket[T]) late(now time.Time) bool {
	return now.Add(ti.Work).After(ti.Objective)
}

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
