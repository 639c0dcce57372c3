package placer

import (
	"time"

	"github.com/guavastall/guavastall/internal/admitter"
)

// This file holds what a node derives from the load report of a target.

// expectedWait returns the expected wait for a slot and the fraction of the slots
// in use.
func (lo *load) expectedWait(
	slots int, rank admitter.Rank, now time.Time,
) (time.Duration, float64) {
	if slots < 1 {
		slots = 1
	}
	busy := float64(lo.outstanding)
	work, wait := defaultWork, time.Duration(0)
	if running, reported, at := lo.latestQueue(rank); !at.IsZero() {
		age := now.Sub(at)
		weight := ageWeight(age, staleAge)
		busy = max(busy, weight*float64(running+lo.sinceReport))
		scale := lo.waitScale(now)
		if lo.reported {
			work = time.Duration(scale * float64(lo.report.Work))
		}
		wait = time.Duration(scale*weight*float64(reported)) - age
	}
	wait = max(wait, 0)
	if over := busy - float64(slots); over > 0 {
		wait += time.Duration(over * float64(work) / float64(slots))
	}
	return wait, min(busy/float64(slots), 1)
}

// latestQueue returns the newest known state of the target's queue: the running requests
// and the expected wait of the rank.
func (lo *load) latestQueue(rank admitter.Rank) (running int, wait time.Duration, at time.Time) {
	if lo.queue.At.After(lo.reportedAt) {
		return lo.queue.Running, lo.queue.Waits[rank], lo.queue.At
	}
	return lo.report.Running, lo.report.Waits[rank], lo.reportedAt
}

// transferTime returns the time that the response takes over the link of the
// target's VM after the given time of processing, including the part of the link's
// backlog that is then left.
func (lo *load) transferTime(
	bytes float64, processing time.Duration, now time.Time,
) time.Duration {
	if bytes <= 0 || lo.link.BytesPerSecond <= 0 {
		return 0
	}
	age := now.Sub(lo.linkAt)
	wait := time.Duration(ageWeight(age, staleAge)*float64(lo.link.Wait)) - age
	wait = max(wait, 0) + lo.sendTime(lo.linkBytes)
	return max(wait-processing, 0) + lo.sendTime(bytes)
}

func (lo *load) sendTime(bytes float64) time.Duration {
	return time.Duration(bytes / lo.link.BytesPerSecond * float64(time.Second))
}

// failureShare returns the reported share of failed requests, weighted by the age
// of the report.
func (lo *load) failureShare(now time.Time) float64 {
	if !lo.reported {
		return 0
	}
	return lo.report.FailureShare * lo.reportWeight(now)
}

// slowdown returns the expected ratio of the target's response time to that of
// others: the reported ratio of a slow target, and otherwise the ratio that this
// node observed.
func (lo *load) slowdown(now time.Time) float64 {
	observed := lo.slowness
	if observed == 0 {
		observed = 1
	}
	if !lo.reported || !lo.report.IsSlow() {
		return observed
	}
	weight := ageWeight(now.Sub(lo.reportedAt), staleSlownessAge)
	return weight*lo.report.Slowness + (1-weight)*observed
}

// reportWeight returns the weight of the last report.
func (lo *load) reportWeight(now time.Time) float64 {
	return ageWeight(now.Sub(lo.reportedAt), staleAge)
}

// ageWeight returns the weight of a report of the given age: 1 up to freshAge,
// falling linearly to 0 at zeroAge.
func ageWeight(age, zeroAge time.Duration) float64 {
	switch {
	case age <= freshAge:
		return 1
	case age >= zeroAge:
		return 0
	}
	return 1 - float64(age-freshAge)/float64(zeroAge-freshAge)
}
