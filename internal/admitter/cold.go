package admitter

import (
	"slices"
	"time"
)

// rateWindow is the sliding window of the cold rate, which is a rate per second.
const rateWindow = time.Second

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

// Hold counts the cold rate as used up at the time, because the admissions of an
// earlier process, which had ended by then, are not known. The rate may become
// known later.
func (qu *Queue[T]) Hold(ended time.Time) {
	qu.heldUntil = ended.Add(rateWindow)
}

// Release ends a hold, because the target is known to have got nothing yet.
func (qu *Queue[T]) Release() {
	qu.heldUntil = time.Time{}
}

// Sent moves the start of an admitted request to the time at which it is sent to
// a cold target: opening a connection or a node that is scheduled late may put it
// off into another second.
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

// NextStart returns when the cold rate allows the next admission, and whether
// a waiting request depends on it.
func (qu *Queue[T]) NextStart(now time.Time) (time.Time, bool) {
	if len(qu.waiting) == 0 || qu.running >= qu.slots {
		return time.Time{}, false
	}
	return now.Add(qu.coldWait(0, now)), true
}

// trimmed returns the admissions that still count.
func (qu *Queue[T]) trimmed(now time.Time) []time.Time {
	nn := 0
	for nn < len(qu.starts) && now.Sub(qu.starts[nn]) >= rateWindow {
		nn++
	}
	return append(qu.starts[:0], qu.starts[nn:]...)
}

// coldWait is how long the cold rate holds back a request behind others.
func (qu *Queue[T]) coldWait(ahead int, now time.Time) time.Duration {
	if !now.Before(qu.coldUntil) || qu.coldRate <= 0 {
		return 0
	}
	burst := max(int(qu.coldRate), 1)
	recent := qu.trimmed(now)
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
