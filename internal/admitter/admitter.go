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
	"time"
)

const (
	// workWeight is the weight of the newest sample in the average work time.
	workWeight = 0.1
	// defaultWork stands for the work time before the first sample.
	defaultWork = 100 * time.Millisecond
	// minRetryAfter keeps refused callers from returning in the same instant.
	minRetryAfter = 50 * time.Millisecond
	// rateWindow is the sliding window of the cold rate, which is a rate per second.
	rateWindow = time.Second
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
	queued bool
	// patience is until when the request waits even if it is late.
	patience time.Time
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
	waiting []*Ticket[T]
	numbers uint64
	work    time.Duration

	coldUntil time.Time
	coldRate  float64
	// starts are the admissions within the last rateWindow, oldest first.
	starts []time.Time
}

// New returns a queue for a target with the slots.
func New[T any](slots int) *Queue[T] {
	return &Queue[T]{slots: slots}
}

// SetSlots sets the number of requests that the target runs at a time.
func (qu *Queue[T]) SetSlots(slots int) {
	qu.slots = slots
}

// SetCold limits admissions to the cold rate until the time. What was said
// before is not shortened: a target does not warm up sooner than it said.
func (qu *Queue[T]) SetCold(until time.Time) {
	if until.After(qu.coldUntil) {
		qu.coldUntil = until
	}
}

// Warm forgets that the target was cold, because another one took its place.
func (qu *Queue[T]) Warm() {
	qu.coldUntil = time.Time{}
}

// SetColdRate sets the number of requests per second that a cold target bears;
// zero sets no limit.
func (qu *Queue[T]) SetColdRate(rate float64) {
	qu.coldRate = rate
}

// Hold counts the cold rate as used up, because the admissions of an earlier
// process are not known.
func (qu *Queue[T]) Hold(now time.Time) {
	qu.starts = qu.starts[:0]
	for range max(int(qu.coldRate), 1) {
		qu.starts = append(qu.starts, now)
	}
}

// Cold reports whether the target is cold.
func (qu *Queue[T]) Cold(now time.Time) bool {
	return now.Before(qu.coldUntil)
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
	ti := &Ticket[T]{Request: re, Value: value, number: qu.numbers}
	ti.patience = now.Add(time.Duration(latePart * float64(re.Usual)))
	if len(qu.waiting) == 0 && qu.free(now) {
		qu.start(now)
		return ti, Admitted, Change[T]{}
	}
	ahead := 0
	for _, other := range qu.waiting {
		if qu.compare(other, ti, now) < 0 {
			ahead++
		}
	}
	if now.Add(qu.waitFor(ahead, now)).After(qu.latestStart(ti)) {
		return ti, Refused, Change[T]{}
	}
	ti.queued = true
	qu.waiting = append(qu.waiting, ti)
	return ti, Waiting, Change[T]{Refused: qu.evict(now)}
}

// Done ends an admitted request. The time at the target counts as a sample of
// its work time if it is above zero.
func (qu *Queue[T]) Done(worked time.Duration, now time.Time) Change[T] {
	qu.running--
	if worked > 0 {
		if qu.work == 0 {
			qu.work = worked
		}
		qu.work += time.Duration(workWeight * float64(worked-qu.work))
	}
	return qu.Advance(now)
}

// Advance admits waiting requests to free slots and refuses those whose time
// no longer suffices.
func (qu *Queue[T]) Advance(now time.Time) Change[T] {
	var ch Change[T]
	for len(qu.waiting) > 0 && qu.free(now) {
		best := qu.best(now)
		ti := qu.remove(best)
		if now.After(qu.lastUsefulStart(ti)) {
			ch.Refused = append(ch.Refused, ti)
			continue
		}
		qu.start(now)
		ch.Admitted = append(ch.Admitted, ti)
	}
	ch.Refused = append(ch.Refused, qu.evict(now)...)
	return ch
}

// Leave takes a waiting request out and reports whether it was waiting.
func (qu *Queue[T]) Leave(ti *Ticket[T]) bool {
	for nn, other := range qu.waiting {
		if other == ti {
			qu.remove(nn)
			return true
		}
	}
	return false
}

// Clear takes all waiting requests out.
func (qu *Queue[T]) Clear() []*Ticket[T] {
	all := qu.waiting
	qu.waiting = nil
	for _, ti := range all {
		ti.queued = false
	}
	return all
}

// RetryAfter is when room for another request of the rank is expected.
func (qu *Queue[T]) RetryAfter(re Request, now time.Time) time.Duration {
	ahead := 0
	for _, other := range qu.waiting {
		if other.Rank <= re.Rank {
			ahead++
		}
	}
	return max(qu.waitFor(ahead, now), minRetryAfter)
}

// NextStart returns when the cold rate allows the next admission, and whether
// a waiting request depends on it.
func (qu *Queue[T]) NextStart(now time.Time) (time.Time, bool) {
	if len(qu.waiting) == 0 || qu.running >= qu.slots {
		return time.Time{}, false
	}
	return now.Add(qu.coldWait(0, now)), true
}

// Ahead returns the number of waiting requests of each rank and the ranks
// before it.
func (qu *Queue[T]) Ahead() [Ranks]int {
	var ahead [Ranks]int
	for _, ti := range qu.waiting {
		for ra := ti.Rank; ra < Ranks; ra++ {
			ahead[ra]++
		}
	}
	return ahead
}

// ColdDelay is how long the cold rate holds a new request back.
func (qu *Queue[T]) ColdDelay(now time.Time) time.Duration {
	return qu.coldWait(len(qu.waiting), now)
}

func (qu *Queue[T]) start(now time.Time) {
	qu.running++
	qu.starts = append(qu.trimmed(now), now)
}

// trimmed returns the admissions that still count.
func (qu *Queue[T]) trimmed(now time.Time) []time.Time {
	nn := 0
	for nn < len(qu.starts) && now.Sub(qu.starts[nn]) >= rateWindow {
		nn++
	}
	return append(qu.starts[:0], qu.starts[nn:]...)
}

// free reports whether a request may start now.
func (qu *Queue[T]) free(now time.Time) bool {
	return qu.running < qu.slots && qu.coldWait(0, now) == 0
}

// coldWait is how long the cold rate holds back a request behind others.
func (qu *Queue[T]) coldWait(ahead int, now time.Time) time.Duration {
	if !now.Before(qu.coldUntil) || qu.coldRate <= 0 {
		return 0
	}
	burst := max(int(qu.coldRate), 1)
	recent := qu.trimmed(now)
	qu.starts = recent
	over := len(recent) + ahead - burst
	if over < 0 {
		return 0
	}
	if over < len(recent) {
		return recent[over].Add(rateWindow).Sub(now)
	}
	return time.Duration(float64(over+1) / qu.coldRate * float64(time.Second))
}

// waitFor is the expected wait behind a number of waiting requests.
func (qu *Queue[T]) waitFor(ahead int, now time.Time) time.Duration {
	wait := time.Duration(0)
	if qu.running >= qu.slots || ahead > 0 {
		wait = qu.Work() * time.Duration(ahead+1) / time.Duration(max(qu.slots, 1))
	}
	return max(wait, qu.coldWait(ahead, now))
}

// latestStart is the latest expected start at which a request is let wait: one
// that meets the objective, or soon for a request that cannot meet it. Longer
// waits would make all requests late while the overload lasts.
func (qu *Queue[T]) latestStart(ti *Ticket[T]) time.Time {
	bound := ti.Objective.Add(-ti.Work)
	if bound.Before(ti.patience) {
		bound = ti.patience
	}
	if last := qu.lastUsefulStart(ti); last.Before(bound) {
		return last
	}
	return bound
}

// lastUsefulStart is the latest start from which the response meets the deadline.
func (qu *Queue[T]) lastUsefulStart(ti *Ticket[T]) time.Time {
	return ti.Deadline.Add(-ti.Work)
}

// latestWait is the latest expected start at which a waiting request stays. One
// that others have pushed back past its objective stays on if room is near.
func (qu *Queue[T]) latestWait(ti *Ticket[T]) time.Time {
	bound := ti.Objective.Add(time.Duration(latePart * float64(ti.Usual)))
	if bound.Before(ti.patience) {
		bound = ti.patience
	}
	if last := qu.lastUsefulStart(ti); last.Before(bound) {
		return last
	}
	return bound
}

// evict removes the waiting requests that are not expected to start in time.
func (qu *Queue[T]) evict(now time.Time) []*Ticket[T] {
	var out []*Ticket[T]
	for nn := 0; nn < len(qu.waiting); nn++ {
		ti := qu.waiting[nn]
		ahead := 0
		for _, other := range qu.waiting {
			if other != ti && qu.compare(other, ti, now) < 0 {
				ahead++
			}
		}
		if now.Add(qu.waitFor(ahead, now)).After(qu.latestWait(ti)) {
			out = append(out, qu.remove(nn))
			nn--
		}
	}
	return out
}

func (qu *Queue[T]) best(now time.Time) int {
	best := 0
	for nn := range qu.waiting {
		if qu.compare(qu.waiting[nn], qu.waiting[best], now) < 0 {
			best = nn
		}
	}
	return best
}

func (qu *Queue[T]) remove(nn int) *Ticket[T] {
	ti := qu.waiting[nn]
	qu.waiting = append(qu.waiting[:nn], qu.waiting[nn+1:]...)
	ti.queued = false
	return ti
}

// compare orders waiting requests: by rank; those that can still meet their
// objective before those that cannot; returning ones before new ones; then by
// arrival.
func (qu *Queue[T]) compare(a, b *Ticket[T], now time.Time) int {
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank),
		compareBool(late(a, now), late(b, now)),
		compareBool(b.Returning, a.Returning),
		cmp.Compare(a.number, b.number),
	)
}

func late[T any](ti *Ticket[T], now time.Time) bool {
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
