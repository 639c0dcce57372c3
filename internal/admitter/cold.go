package admitter

import (
	"slices"
	"time"
)

// rateWindow is the sliding window over which the cold rate, a rate per second,
// is enforced.
const rateWindow = time.Second

// SetCold limits admissions to the cold rate until the given time. It never
// shortens an earlier limit, because a target does not warm up sooner than it
// announced.
func (qu *Queue[T]) SetCold(until time.Time) {
	if until.After(qu.coldUntil) {
		qu.coldUntil = until
	}
}

// ClearCold lifts the limit of SetCold when another target replaces a cold one.
func (qu *Queue[T]) ClearCold() {
	qu.coldUntil = time.Time{}
}

// SetColdRate sets the number of requests per second that a cold target can
// handle; zero means no limit.
func (qu *Queue[T]) SetColdRate(rate float64) {
	qu.coldRate = rate
}

// Hold treats the cold rate as used up at the given time, when an earlier process
// had ended whose admissions are unknown. The rate may be set later.
func (qu *Queue[T]) Hold(ended time.Time) {
	qu.heldUntil = ended.Add(rateWindow)
}

// Release cancels Hold when the target is known to have received no requests yet.
func (qu *Queue[T]) Release() {
	qu.heldUntil = time.Time{}
}

// Sent moves the start of an admitted request to the time at which it is sent to
// a cold target. Opening a connection or scheduling delays at the node may defer
// the request past the rate window that it was admitted in.
func (qu *Queue[T]) Sent(ti *Ticket[T], now time.Time) {
	if !qu.Cold(now) {
		return
	}
	if nn := slices.Index(qu.starts, ti.started); nn >= 0 {
		qu.starts = slices.Delete(qu.starts, nn, nn+1)
	}
	qu.starts = append(qu.starts, now)
	ti.started = now
}

// Cold reports whether the target is cold.
func (qu *Queue[T]) Cold(now time.Time) bool {
	return now.Before(qu.coldUntil)
}

// NextStart returns the time at which the cold rate allows the next admission. It
// reports false if no request is waiting or no slot is free.
func (qu *Queue[T]) NextStart(now time.Time) (time.Time, bool) {
	if len(qu.waiting) == 0 || qu.running >= qu.slots {
		return time.Time{}, false
	}
	return now.Add(qu.coldWait(0, now)), true
}

// recentStarts returns the start times within the last rateWindow.
func (qu *Queue[T]) recentStarts(now time.Time) []time.Time {
	nn := 0
	for nn < len(qu.starts) && now.Sub(qu.starts[nn]) >= rateWindow {
		nn++
	}
	return append(qu.starts[:0], qu.starts[nn:]...)
}

// coldWait returns how long the cold rate delays a request that has the given
// number of requests ahead of it.
func (qu *Queue[T]) coldWait(ahead int, now time.Time) time.Duration {
	if !now.Before(qu.coldUntil) || qu.coldRate <= 0 {
		return 0
	}
	burst := max(int(qu.coldRate), 1)
	recent := qu.recentStarts(now)
	qu.starts = recent
	held := max(qu.heldUntil.Sub(now), 0)
	over := len(recent) + ahead - burst
	switch {
	case over < 0:
		return held
	case over < len(recent):
		return max(recent[over].Add(rateWindow).Sub(now), held)
	}
	return held + time.Duration(float64(over+1)/qu.coldRate*float64(time.Second))
}
