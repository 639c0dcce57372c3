// Package ticker measures how late the process is scheduled.
//
// Times that a node takes of its target include the time for which the node
// itself waited for a processor. While calls are under way, a [Ticker] wakes
// at short intervals and adds up how late each wake-up is.
package ticker

import (
	"sync"
	"time"
)

const (
	// interval is the time between two wake-ups, well below the time slice of
	// a busy processor, 3 to 10 ms.
	interval = time.Millisecond
	// tolerance is the lateness of a wake-up on an idle machine: 50 us of
	// timer slack and the way through the scheduler.
	tolerance = 500 * time.Microsecond
)

// Ticker adds up the lateness of wake-ups. It runs while at least one interval
// is being measured. It is safe for concurrent use.
type Ticker struct {
	now   func() time.Time
	after func(time.Duration, func()) // time.AfterFunc; tests set their own

	mu     sync.Mutex
	active int
	ticks  bool
	due    time.Time
	late   time.Duration
}

// New returns a ticker on the clock.
func New(now func() time.Time) *Ticker {
	return &Ticker{now: now, after: func(dd time.Duration, f func()) { time.AfterFunc(dd, f) }}
}

// Span is an interval being measured.
type Span struct {
	ticker *Ticker
	mark   time.Duration
}

// Begin begins an interval. Each ends with End.
func (ti *Ticker) Begin(now time.Time) *Span {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	ti.active++
	if !ti.ticks {
		ti.ticks, ti.due = true, now.Add(interval)
		ti.after(interval, ti.tick)
	}
	return &Span{ti, ti.total(now)}
}

// End ends the interval and returns for how long of it the process was late.
func (sp *Span) End(now time.Time) time.Duration {
	ti := sp.ticker
	ti.mu.Lock()
	defer ti.mu.Unlock()
	ti.active--
	return ti.total(now) - sp.mark
}

// total returns the lateness so far, that of the next wake-up included.
func (ti *Ticker) total(now time.Time) time.Duration {
	if !ti.ticks {
		return ti.late
	}
	return ti.late + max(now.Sub(ti.due)-tolerance, 0)
}

// tick takes in a wake-up.
func (ti *Ticker) tick() {
	now := ti.now()
	ti.mu.Lock()
	defer ti.mu.Unlock()
	ti.late = ti.total(now)
	ti.ticks = ti.active > 0
	if ti.ticks {
		ti.due = now.Add(interval)
		ti.after(interval, ti.tick)
	}
}
