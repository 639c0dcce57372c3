package placer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/guavastall/guavastall/internal/admitter"
)

// Guards against placing requests by averages that are slower than the disturbances of
// targets. 72 nodes in four data centres place requests on 36 targets, a quarter of them
// fast, under a wave of demand; each target is disturbed for 0.7 s about every 4.7 s.
func TestUnevenTargets(t *testing.T) {
	// The naive baseline takes the least cost at each node.
	blind, sampled := inTime("blind"), inTime("sampled")
	paced, full := inTime("paced"), inTime("full")
	t.Logf("in time: %.4f without pace and sampling, %.4f without pace, %.4f with, %.4f with "+
		"full knowledge", blind, sampled, paced, full)
	assert.Less(t, 1-paced, 0.6*(1-blind))
	assert.Less(t, 1-paced, 1-sampled)
}

// leastCost returns the option that seems best to each node by itself.
func leastCost(options []option) option {
	return slices.MinFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
}

// pacedTarget is a simulated target with the measurements of its node.
type pacedTarget struct {
	base, factor float64
	change       time.Time
	paces        admitter.PaceMeter
	slow         admitter.SlownessMeter
	queue        *admitter.Queue[*pacedRun]
	running      []*pacedRun
}

type pacedRun struct {
	ticket         *admitter.Ticket[*pacedRun]
	placer         int
	arrived, begun time.Time
	left, pace     float64
	expected       time.Duration
}

// report returns the target's load, with its pace if it announces one.
func (ta *pacedTarget) report(announced bool, now time.Time) *Report {
	re := &Report{Running: ta.queue.Running(), Slots: 18, Work: ta.queue.Work(),
		Waits: ta.queue.Waits(now), Slowness: ta.slow.Slowness(now)}
	if announced {
		re.Pace = ta.paces.Pace()
	}
	return re
}

// time returns the time of average work if no other disturbance begins.
func (ta *pacedTarget) time(now time.Time) float64 {
	usual, rest := 0.24*ta.base, ta.change.Sub(now).Seconds()
	took := min(usual*ta.factor, usual+rest*(1-1/ta.factor))
	return took + ta.queue.Wait(admitter.First, now).Seconds()
}

// inTime replays 30 s and returns the share of responses within the objective.
func inTime(mode string) float64 {
	const perDC, count, ticks, perTarget = 9, 36, 30_000, 32
	const usual, objective = 240 * time.Millisecond, 800 * time.Millisecond
	rd, now, paced := rand.New(rand.NewPCG(3, 9)), epoch, mode == "paced"
	pls, targets, all := newPlacers(rd, 2*count), targetsOf(count), make([]pacedTarget, count)
	for nn := range all {
		all[nn] = pacedTarget{base: 1.2, factor: 1, queue: admitter.New[*pacedRun](18),
			change: now.Add(time.Duration(rd.IntN(4000)) * time.Millisecond)}
		if nn%4 == 0 {
			all[nn].base = 0.55
		}
		targets[nn].Slots, targets[nn].DataCentre = 18, string(rune('a'+nn/perDC))
	}
	// tell passes warnings and paces on. The first nodes run next to the targets.
	tell := func(from, to int) {
		var paces []TargetPace
		if from < count {
			re, id := all[from].report(paced, now), targets[from].ID
			if re.IsSlow() {
				pls[from].Warn(Warning{Target: id, Report: *re}, now)
			}
			paces = append(paces, TargetPace{id, re.Pace, re.Queue(now)})
		}
		for _, wa := range pls[from].Warnings(now) {
			pls[to].Warn(wa, now)
		}
		for _, tp := range pls[from].Paces(paces, "", now) {
			if paced {
				pls[to].SetPace(tp)
			}
		}
	}
	apply := func(nn int, ch admitter.Change[*pacedRun]) {
		ta := &all[nn]
		for _, ti := range ch.Admitted {
			ti.Value.begun, ti.Value.pace = now, ta.base*ta.factor
			ta.slow.Begin(ti.Value.expected, now)
			ta.running = append(ta.running, ti.Value)
		}
		for _, ti := range ch.Refused {
			pls[ti.Value.placer].End(targets[nn].ID, "r", ta.report(paced, now), now)
		}
	}
	place := func(dc int, ru *pacedRun) {
		ch, _ := pls[ru.placer].Pick(targets, Request{DataCentre: string(rune('a' + dc)),
			Route: "r", Rank: admitter.First, Self: node(ru.placer), Objective: objective}, now)
		if mode == "blind" {
			ch = leastCost(pls[ru.placer].options).Choice
		}
		nn := slices.IndexFunc(targets, func(ta Target) bool { return ta.ID == ch.Target.ID })
		for other := dc * perDC; mode == "full" && other < (dc+1)*perDC; other++ {
			if all[other].time(now) < all[nn].time(now) {
				nn = other
			}
		}
		pls[ru.placer].Begin(targets[nn].ID, 0)
		tell(ru.placer, nn)
		work, pace := usual, all[nn].paces.Pace()
		ru.expected = pls[nn].MeasuredWork("r")
		if paced && pace.Known(now) {
			work = pace.Scale(usual, now)
			ru.expected, _ = pls[nn].PacedWork("r", &pace, now)
		}
		ti, verdict, change := all[nn].queue.Offer(admitter.Request{Rank: admitter.First,
			Work: work, Objective: now.Add(objective), Usual: objective,
			Deadline: now.Add(2 * objective)}, ru, now)
		ru.ticket = ti
		switch verdict {
		case admitter.Admitted:
			change.Admitted = append(change.Admitted, ti)
		case admitter.Refused:
			change.Refused = append(change.Refused, ti)
		}
		apply(nn, change)
	}
	good, sent := 0, 0
	end := func(nn int, ru *pacedRun) {
		ta, took := &all[nn], now.Sub(ru.begun)
		ta.paces.Add(ta.base*ta.factor, false, now)
		ta.slow.End(ru.expected, true, ru.begun, now)
		apply(nn, ta.queue.Done(ru.ticket, took, now))
		re := ta.report(paced, now)
		if re.Took = took; paced {
			re.RunPace = (ru.pace + ta.base*ta.factor) / 2
		}
		pls[ru.placer].End(targets[nn].ID, "r", re, now)
		tell(nn, ru.placer)
		if now.Sub(ru.arrived) <= objective {
			good++
		}
	}
	for tick := range ticks {
		now = epoch.Add(time.Duration(tick) * time.Millisecond)
		for nn := range all {
			ta := &all[nn]
			if now.Equal(ta.change) {
				ta.change = now.Add(700 * time.Millisecond)
				if ta.factor = 3.5 - ta.factor; ta.factor == 1 {
					ta.change = ta.change.Add(time.Duration(3270*rd.ExpFloat64()) * time.Millisecond)
				}
			}
			var done []*pacedRun
			ta.running = slices.DeleteFunc(ta.running, func(ru *pacedRun) bool {
				if ru.left -= 1 / (ta.base * ta.factor); ru.left <= 0 {
					done = append(done, ru)
				}
				return ru.left <= 0
			})
			for _, ru := range done {
				end(nn, ru)
			}
		}
		for dc := range count / perDC {
			wave := 1 + 0.55*math.Sin(2*math.Pi*(float64(tick)/15_000+float64(dc)*perDC/count))
			if rd.Float64() < perTarget*perDC/1000.0*wave && tick < ticks-2000 {
				sent++
				place(dc, &pacedRun{placer: dc*perDC + rd.IntN(perDC) + rd.IntN(2)*count,
					arrived: now, left: 240 * math.Exp(0.35*rd.NormFloat64())})
			}
		}
	}
	return float64(good) / float64(sent)
}
