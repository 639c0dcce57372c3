package admitter

import (
	"math"
	"time"
)

const (
	// usageTime is the time over which the slots in use by a rank are averaged.
	usageTime = 2 * time.Second
	// maxUsage bounds the part of the slots that more urgent ranks are expected
	// to go on using.
	maxUsage = 0.9
)

// usage is the decaying average of the slots in use by each rank.
type usage struct {
	slots [Ranks]float64
	at    time.Time
}

// add counts a request of the rank that used a slot for the time.
func (us *usage) add(rank Rank, used time.Duration, now time.Time) {
	if age := now.Sub(us.at); age > 0 {
		decay := math.Exp(-float64(age) / float64(usageTime))
		for ra := range us.slots {
			us.slots[ra] *= decay
		}
		us.at = now
	}
	us.slots[rank] += float64(used) / float64(usageTime)
}

// before returns the part of the slots that ranks before the given one use.
func (us *usage) before(rank Rank, slots int) float64 {
	sum := 0.0
	for ra := Inner; ra < rank; ra++ {
		sum += us.slots[ra]
	}
	return min(sum/float64(max(slots, 1)), maxUsage)
}

// backlog is the work of waiting requests.
type backlog struct {
	count int
	work  time.Duration
}

func (bl *backlog) add(work time.Duration) {
	bl.count++
	bl.work += work
}

// waitBehind is the expected wait of a request of the rank behind a backlog:
// until the first slot is free and the backlog is done, by the slots that more
// urgent requests to come leave.
func (qu *Queue[T]) waitBehind(ahead backlog, rank Rank, now time.Time) time.Duration {
	wait := 0.0
	if qu.running >= qu.slots || ahead.count > 0 {
		slots := float64(max(qu.slots, 1))
		first := float64(qu.runningWork) / float64(max(qu.running, 1)) / slots
		wait = (first + float64(ahead.work)/slots) / (1 - qu.usage.before(rank, qu.slots))
	}
	return max(time.Duration(wait), qu.coldWait(ahead.count, now))
}

// Wait is the expected wait of a new request of the rank.
func (qu *Queue[T]) Wait(rank Rank, now time.Time) time.Duration {
	var ahead backlog
	for _, ti := range qu.waiting {
		if ti.Rank <= rank {
			ahead.add(ti.Work)
		}
	}
	return qu.waitBehind(ahead, rank, now)
}

// Waits are the expected waits of new requests by rank.
func (qu *Queue[T]) Waits(now time.Time) [Ranks]time.Duration {
	var waits [Ranks]time.Duration
	for ra := range waits {
		waits[ra] = qu.Wait(Rank(ra), now)
	}
	return waits
}

// RetryAfter is when room for another request of the rank is expected.
func (qu *Queue[T]) RetryAfter(rank Rank, now time.Time) time.Duration {
	return max(qu.Wait(rank, now), minRetryAfter)
}

// LatestStart is the latest expected start at which a request that comes now is
// let wait.
func LatestStart(re Request, now time.Time) time.Time {
	ti := Ticket[struct{}]{Request: re, patience: patience(re, now)}
	return ti.latestStart()
}

// patience is until when a request waits even if it is late.
func patience(re Request, now time.Time) time.Time {
	return now.Add(time.Duration(latePart * float64(re.Usual)))
}

// latestStart is the latest expected start at which a request is let wait: one
// that meets the objective, or soon for a request that cannot meet it. Longer
// waits would make all requests late while the overload lasts.
func (ti *Ticket[T]) latestStart() time.Time {
	return ti.within(ti.Objective.Add(-ti.Work))
}

// latestWait is the latest expected start at which a waiting request stays. One
// that others have pushed back past its objective stays on if room is near.
func (ti *Ticket[T]) latestWait() time.Time {
	return ti.within(ti.Objective.Add(time.Duration(latePart * float64(ti.Usual))))
}

// within returns the bound, but not before the request's patience and not after
// its last useful start.
func (ti *Ticket[T]) within(bound time.Time) time.Time {
	if bound.Before(ti.patience) {
		bound = ti.patience
	}
	if last := ti.lastUsefulStart(); last.Before(bound) {
		return last
	}
	return bound
}

// lastUsefulStart is the latest start from which the response meets the
// deadline.
func (ti *Ticket[T]) lastUsefulStart() time.Time {
	return ti.Deadline.Add(-ti.Work)
}
