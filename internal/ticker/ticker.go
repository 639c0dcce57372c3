// Package ticker measures the scheduling delay of the process.
//
// The latency that a node measures for its target includes the time for which
// the node itself waited for a processor. While calls are in progress, a
// [Ticker] wakes up at short intervals and sums the delays of the wake-ups.
package ticker

import (
	"sync"
	"time"
)

const (
	// interval is the time between two wake-ups. It is well below the time slice
	// that the scheduler grants on a busy processor, 3 to 10 ms.
	interval = time.Millisecond
	// tolerance is the delay of a wake-up on an idle machine, caused by 50 us of
	// timer slack and the latency of the scheduler.
	tolerance = 500 * time.Microsecond
)

// Ticker sums the delays of wake-ups. It runs while at least one span is being
// measured. It is safe for concurrent use.
type Ticker struct {
	now   func() time.Time
	after func(time.Duration, func()) // time.AfterFunc except in tests

	mu      sync.Mutex
	active  int
	running bool
	due     time.Time
	late    time.Duration
}

// New returns a ticker that reads the time from now.
func New(now func() time.Time) *Ticker {
	return &Ticker{now: now, after: func(dd time.Duration, f func()) { time.AfterFunc(dd, f) }}
}

// Span is a period of time being measured.
type Span struct {
	ticker     *Ticker
	startTotal time.Duration
}

// Begin starts a span. The caller must end it with [Span.End].
func (ti *Ticker) Begin(now time.Time) *Span {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	ti.active++
	if !ti.running {
		ti.running, ti.due = true, now.Add(interval)
		ti.after(interval, ti.wakeUp)
	}
	return &Span{ti, ti.total(now)}
}

// Delay returns the scheduling delay within the span so far.
func (sp *Span) Delay(now time.Time) time.Duration {
	ti := sp.ticker
	ti.mu.Lock()
	defer ti.mu.Unlock()
	return ti.total(now) - sp.startTotal
}

// End ends the span and returns the scheduling delay within it.
func (sp *Span) End(now time.Time) time.Duration {
	ti := sp.ticker
	ti.mu.Lock()
	defer ti.mu.Unlock()
	ti.active--
	return ti.total(now) - sp.startTotal
}

// total returns the delay so far, including that of a pending wake-up that is
// overdue. The caller holds the lock.
func (ti *Ticker) total(now time.Time) time.Duration {
	if !ti.running {
		return ti.late
	}
	return ti.late + max(now.Sub(ti.due)-tolerance, 0)
}

// wakeUp adds the delay of a wake-up and schedules the next one if a span is open.
func (ti *Ticker) wakeUp() {
	now := ti.now()
	ti.mu.Lock()
	defer ti.mu.Unlock()
	ti.late = ti.total(now)
	ti.running = ti.active > 0
	if ti.running {
		ti.due = now.Add(interval)
		ti.after(interval, ti.wakeUp)
	}
}
