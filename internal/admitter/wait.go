package admitter

import (
	"math"
	"time"
)

const (
	// usageTimeConstant is the time constant of the average slot usage by rank.
	usageTimeConstant = 2 * time.Second
	// maxUrgentShare bounds the fraction of the slots that more urgent ranks are
	// expected to use.
	maxUrgentShare = 0.9
)

// usage is the exponentially decaying average of the slots used by each rank.
type usage struct {
	slots [Ranks]float64
	at    time.Time
}

// add records that a request of the rank used a slot for the given time.
func (us *usage) add(rank Rank, used time.Duration, now time.Time) {
	if age := now.Sub(us.at); age > 0 {
		decay := math.Exp(-float64(age) / float64(usageTimeConstant))
		for ra := range us.slots {
			us.slots[ra] *= decay
		}
		us.at = now
	}
	us.slots[rank] += float64(used) / float64(usageTimeConstant)
}

// urgentShare returns the fraction of the slots used by ranks more urgent than rank.
func (us *usage) urgentShare(rank Rank, slots int) float64 {
	sum := 0.0
	for ra := Nested; ra < rank; ra++ {
		sum += us.slots[ra]
	}
	return min(sum/float64(max(slots, 1)), maxUrgentShare)
}

// backlog is the number and total expected work of waiting requests.
type backlog struct {
	count int
	work  time.Duration
}

func (bl *backlog) add(work time.Duration) {
	bl.count++
	bl.work += work
}

// expectedWait returns the expected wait of a request of the rank behind a
// backlog: the time until the first slot is free and the backlog is done, on the
// share of the slots that future requests of more urgent ranks leave.
func (qu *Queue[T]) expectedWait(ahead backlog, rank Rank, now time.Time) time.Duration {
	wait := 0.0
	if qu.running >= qu.slots || ahead.count > 0 {
		slots := float64(max(qu.slots, 1))
		first := float64(qu.runningWork) / float64(max(qu.running, 1)) / slots
		wait = (first + float64(ahead.work)/slots) / (1 - qu.usage.urgentShare(rank, qu.slots))
	}
	return max(time.Duration(wait), qu.coldWait(ahead.count, now))
}

// Wait returns the expected wait of a new request of the rank.
func (qu *Queue[T]) Wait(rank Rank, now time.Time) time.Duration {
	var ahead backlog
	for _, ti := range qu.waiting {
		if ti.Rank <= rank {
			ahead.add(ti.Work)
		}
	}
	return qu.expectedWait(ahead, rank, now)
}

// Waits returns the expected waits of new requests by rank.
func (qu *Queue[T]) Waits(now time.Time) [Ranks]time.Duration {
	var waits [Ranks]time.Duration
	for ra := range waits {
		waits[ra] = qu.Wait(Rank(ra), now)
	}
	return waits
}

// RetryAfter returns the time after which a refused request of the rank should be
// retried.
func (qu *Queue[T]) RetryAfter(rank Rank, now time.Time) time.Duration {
	return max(qu.Wait(rank, now), minRetryAfter)
}

// LatestStart returns the latest expected start at which a request that arrives
// now is queued rather than refused.
func LatestStart(re Request, now time.Time) time.Time {
	ti := Ticket[struct{}]{Request: re, graceEnd: graceEnd(re, now)}
	return ti.latestStart()
}

// graceEnd returns the time until which a request may wait even if it is late.
func graceEnd(re Request, now time.Time) time.Time {
	return now.Add(time.Duration(lateWaitFraction * float64(re.Usual)))
}

// latestStart returns the latest expected start at which a new request is queued:
// the last one that meets the objective, or the end of the grace period for a
// request that cannot meet it. Longer waits would make all requests late for as
// long as an overload lasts.
func (ti *Ticket[T]) latestStart() time.Time {
	return ti.clampStart(ti.Objective.Add(-ti.Work))
}

// latestQueuedStart returns the latest expected start at which a waiting request
// stays queued. A request that more urgent ones have delayed past its objective
// stays if a slot is expected soon.
func (ti *Ticket[T]) latestQueuedStart() time.Time {
	return ti.clampStart(ti.Objective.Add(time.Duration(lateWaitFraction * float64(ti.Usual))))
}

// clampStart returns the bound, but no earlier than the end of the request's grace
// period and no later than its last useful start.
func (ti *Ticket[T]) clampStart(bound time.Time) time.Time {
	if bound.Before(ti.graceEnd) {
		bound = ti.graceEnd
	}
	if last := ti.lastUsefulStart(); last.Before(bound) {
		return last
	}
	return bound
}

// lastUsefulStart returns the latest start at which the response can still meet
// the deadline.
func (ti *Ticket[T]) lastUsefulStart() time.Time {
	return ti.Deadline.Add(-ti.Work)
}
