package placer

import (
	"time"

	"github.com/guavastall/guavastall/internal/admitter"
)

const (
	// MaxPaces bounds the number of paces that [Placer.Paces] returns.
	MaxPaces = 8
	// maxSharedPaceAge is the age up to which a pace is passed on. An older one says
	// little about the present, and the average is passed on with every newer one.
	maxSharedPaceAge = time.Second
	// maxWaitScale bounds the factor by which a newer pace changes a reported wait.
	maxWaitScale = 4.0
	// fullThreshold is the fraction of used slots above which a target of a service with
	// known paces costs more, and fullPenalty the cost per further fraction in multiples of the
	// work time. Nodes that know the same paces choose the same targets until they hear
	// of each other's choices, so that some slots have to stay free.
	fullThreshold = 0.7
	fullPenalty   = 4.0
)

// TargetPace is the announced pace of a target and the state of its queue.
type TargetPace struct {
	Target string
	Pace   admitter.Pace
	Queue  QueueState
}

// QueueState is the part of a [Report] that nodes pass on together with a pace. Nodes
// that share paces make the same choices, so that they also need each other's requests
// to see that a target fills up.
type QueueState struct {
	Running int
	Waits   [admitter.Ranks]time.Duration
	At      time.Time
}

// Queue returns the state of the queue at the time of the report.
func (re *Report) Queue(at time.Time) QueueState {
	return QueueState{Running: re.Running, Waits: re.Waits, At: at}
}

// SetPace stores the pace of a target of the own data centre, unless a newer one or
// no such target is known.
func (pl *Placer) SetPace(tp TargetPace) {
	if !pl.known(tp.Target) {
		return
	}
	lo := pl.load(tp.Target)
	pl.pacedTargets[tp.Target] = true
	lo.setPace(&tp.Pace)
	if tp.Queue.At.After(lo.queue.At) {
		lo.queue = tp.Queue
	}
}

func (lo *load) setPace(pa *admitter.Pace) {
	if pa.Latest > 0 && pa.At.After(lo.pace.At) {
		lo.pace = *pa
	}
}

// Paces appends the newest paces of targets of the own data centre to all, without the
// one of the target except, until there are MaxPaces. A node sends each target only one
// or two requests per second, so that without the other nodes it would learn of most
// disturbances after they have ended.
func (pl *Placer) Paces(all []TargetPace, except string, now time.Time) []TargetPace {
	sorted := len(all)
	for id := range pl.pacedTargets {
		lo := pl.loads[id]
		if id == except || now.Sub(lo.pace.At) > maxSharedPaceAge ||
			sorted > 0 && id == all[0].Target {
			continue
		}
		nn := len(all)
		for nn > sorted && newer(lo.pace.At, id, &all[nn-1]) {
			nn--
		}
		if nn >= MaxPaces {
			continue
		}
		if len(all) < MaxPaces {
			all = append(all, TargetPace{})
		}
		copy(all[nn+1:], all[nn:])
		all[nn] = TargetPace{Target: id, Pace: lo.pace, Queue: lo.queue}
	}
	return all
}

// newer reports whether a pace of the given time and target comes before another one.
func newer(at time.Time, id string, other *TargetPace) bool {
	if order := other.Pace.At.Compare(at); order != 0 {
		return order < 0
	}
	return id < other.Target
}

// PacedWork returns the expected time of the route's requests at a target of the given
// pace. It returns false if the pace or the time at the usual pace is unknown.
func (pl *Placer) PacedWork(
	route string, pa *admitter.Pace, now time.Time,
) (time.Duration, bool) {
	usual, ok := pl.usualTimes[route]
	if !ok || !pa.Known(now) {
		return 0, false
	}
	return pa.Scale(usual, now), true
}

// addPacedSample updates the average time of the route at the usual pace with the time
// of a request that ran at the given pace.
func (pl *Placer) addPacedSample(route string, took time.Duration, pace float64) {
	sample := time.Duration(float64(took) / pace)
	usual, ok := pl.usualTimes[route]
	if !ok {
		usual = sample
	}
	pl.usualTimes[route] = usual + time.Duration(smoothing*float64(sample-usual))
}

// anyPace reports whether the pace of any of the targets is used for the route. The
// penalty of full targets then applies to all of them, because those without a pace
// would otherwise fill up first.
func (pl *Placer) anyPace(targets []Target, route string, now time.Time) bool {
	if _, ok := pl.usualTimes[route]; !ok {
		return false
	}
	for nn := range targets {
		if lo := pl.loads[targets[nn].ID]; lo != nil && lo.pace.Known(now) {
			return true
		}
	}
	return false
}

// expectedWork returns the expected time of the route's requests at the target, and the
// pace that it is based on; zero if the pace is unknown.
func (pl *Placer) expectedWork(lo *load, route string, now time.Time) (time.Duration, float64) {
	usual, ok := pl.usualTimes[route]
	if !ok || !lo.pace.Known(now) {
		return time.Duration(lo.slowdown(now) * float64(pl.Work(route))), 0
	}
	pace := lo.pace.Expected(usual, now)
	work := time.Duration(pace * float64(usual))
	// A target that is much slower than it announces is faulty.
	if lo.reported && lo.report.IsSlow() {
		weight := ageWeight(now.Sub(lo.reportedAt), staleSlownessAge)
		work = time.Duration((1 + weight*(lo.report.Slowness-1)) * float64(work))
	}
	return work, pace
}

// waitScale returns the factor by which the pace has changed the reported wait since
// the report.
func (lo *load) waitScale(now time.Time) float64 {
	reported := &lo.report.Pace
	if reported.Latest <= 0 || lo.queue.At.After(lo.reportedAt) ||
		!lo.pace.At.After(reported.At) || !lo.pace.Known(now) {
		return 1
	}
	scale := lo.pace.Expected(0, now) / reported.Expected(0, lo.reportedAt)
	return min(max(scale, 1/maxWaitScale), maxWaitScale)
}

// TransferTime returns the time until another response of the given size has left.
func (li Link) TransferTime(bytes int) time.Duration {
	if li.BytesPerSecond <= 0 {
		return 0
	}
	return li.Wait + time.Duration(float64(bytes)/li.BytesPerSecond*float64(time.Second))
}
