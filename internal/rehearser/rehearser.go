// Package rehearser simulates the rollout of a target version in virtual time
// and scores the policy that decides on it.
//
// Calls are drawn as counts per second and latency bucket, not one by one, so
// that thousands of rollouts take seconds. A run depends on its seed alone.
package rehearser

import (
	"math/rand/v2"
	"time"

	"github.com/guavastall/guavastall/internal/evaluator"
	"github.com/guavastall/guavastall/pkg/checker"
)

// Tick is the simulated period between two decisions.
const Tick = time.Second

// Site is a data centre of the service.
type Site struct {
	Name checker.DataCentre
	// Rate is the number of calls a second that arrive there.
	Rate float64
}

// Route is a kind of call.
type Route struct {
	Name string
	// Weight is its share of the calls.
	Weight float64
	// Errors is the share of calls that fail with either version.
	Errors float64
	// Median and Sigma describe the lognormal latency.
	Median time.Duration
	Sigma  float64
}

// Fault makes the new version bad.
type Fault struct {
	// From is the time after the start of the move from which it shows.
	From time.Duration
	// MinShare is the share of a data centre's calls from which it shows.
	MinShare float64
	// Route limits it to one route; empty means all.
	Route string
	// Errors is the added share of failed calls.
	Errors float64
	// Latency multiplies the latency; zero means no change.
	Latency float64
}

// Trouble affects both versions in one data centre.
type Trouble struct {
	Site      checker.DataCentre
	From, For time.Duration
	Errors    float64
	Latency   float64
}

// Cold describes the cold start of the new version's targets.
type Cold struct {
	// For is how long they are cold after the first call in a data centre.
	For time.Duration
	// Errors and Latency apply to calls to cold targets.
	Errors, Latency float64
	// Unmarked is the share of these calls that are not known to be cold.
	Unmarked float64
}

// Bursts pause single targets of either version for a second.
type Bursts struct {
	// Every is the mean time between two pauses of a target.
	Every time.Duration
	// Targets is the number of targets of each version in a data centre.
	Targets float64
	// Errors and Latency apply to the calls to a paused target.
	Errors, Latency float64
}

// Scenario is one rollout.
type Scenario struct {
	Seed    uint64
	Move    checker.MoveID
	Sites   []Site
	Routes  []Route
	Rollout checker.Rollout
	// Deadline is the time after the start by which the move must be done.
	Deadline time.Duration
	Fault    *Fault
	Trouble  *Trouble
	Cold     *Cold
	Bursts   *Bursts
}

// Plan is the state of the move after a decision.
type Plan struct {
	Steps map[checker.DataCentre]int
	// TakenBack and Done end the move.
	TakenBack, Done bool
	Reason          string
}

// Policy decides on a rollout.
type Policy interface {
	// Decide takes the calls reported since the last tick.
	Decide(now time.Time, samples []evaluator.Sample) Plan
}

// Result is the outcome of one rollout.
type Result struct {
	Plan
	// Took is the time from the start until the move was done or the new
	// version got no more calls.
	Took time.Duration
	// Calls is the number of the service's calls, and Exposed how many of them
	// went to the new version after its fault showed.
	Calls, Exposed uint64
	// Shown says that a call met the fault, and ShownAt is when the first did.
	Shown   bool
	ShownAt time.Duration
}

// Delay between a call and the effect of the decision that rests on it, in
// ticks: the node reports at the end of the second, the report is taken into
// account at the end of the next one, and the decision takes another second to
// reach every node.
const effectDelay = 2

// Run simulates the rollout until it is done, taken back or late by more than
// a minute.
func Run(sc Scenario, po Policy) Result {
	wo := newWorld(sc)
	start := time.Unix(1_000_000_000, 0)
	var re Result
	var reported []evaluator.Sample
	plans := [effectDelay]Plan{}
	for at := time.Duration(0); at < sc.Deadline+time.Minute; at += Tick {
		inForce := plans[0]
		copy(plans[:], plans[1:])
		if inForce.TakenBack || inForce.Done {
			re.Plan, re.Took = inForce, at
			return re
		}
		samples := wo.calls(at, inForce, &re)
		plans[effectDelay-1] = po.Decide(start.Add(at+Tick), reported)
		reported = samples
	}
	re.Took = sc.Deadline + time.Minute
	return re
}

// world draws the calls.
type world struct {
	sc     Scenario
	rd     *rand.Rand
	shapes []shape
	// paused says for each version whether one of its targets is paused in the
	// data centre and second that are drawn.
	paused [2]bool
	warm   map[checker.DataCentre]time.Duration
}

func newWorld(sc Scenario) *world {
	wo := &world{
		sc: sc, rd: rand.New(rand.NewPCG(sc.Seed, 0x9e3779b97f4a7c15)),
		warm: map[checker.DataCentre]time.Duration{},
	}
	for _, ro := range sc.Routes {
		wo.shapes = append(wo.shapes, newShape(ro.Median, ro.Sigma))
	}
	return wo
}

// calls draws the calls of one tick.
func (wo *world) calls(
	at time.Duration, plan Plan, re *Result,
) []evaluator.Sample {
	var samples []evaluator.Sample
	for _, si := range wo.sc.Sites {
		share := wo.share(si, at, plan)
		wo.pause()
		for nn, ro := range wo.sc.Routes {
			rate := si.Rate * ro.Weight * Tick.Seconds()
			key := evaluator.Key{
				Service: "service", Route: ro.Name, Move: wo.sc.Move,
				DataCentre: si.Name, Arm: evaluator.Old,
			}
			ca := wo.troubled(si, at, condition{errors: ro.Errors, latency: 1})
			if sa := wo.draw(key, nn, rate*(1-share), ca); sa.Calls > 0 {
				samples = append(samples, sa)
				re.Calls += uint64(sa.Calls)
			}
			key.Arm = evaluator.New
			bad := wo.bad(ro, at, share)
			if bad {
				ca = ca.with(wo.sc.Fault.Errors, wo.sc.Fault.Latency)
			}
			sa := wo.newCalls(key, nn, rate*share, ca, at)
			total := uint64(sa.Calls + sa.ColdCalls)
			if total == 0 {
				continue
			}
			samples = append(samples, sa)
			re.Calls += total
			if bad {
				re.expose(total, at)
			}
		}
	}
	return samples
}

func (re *Result) expose(calls uint64, at time.Duration) {
	if !re.Shown {
		re.Shown, re.ShownAt = true, at
	}
	re.Exposed += calls
}

// share returns the share of calls for the new version as a splitter makes it.
func (wo *world) share(si Site, at time.Duration, plan Plan) float64 {
	step := plan.Steps[si.Name]
	if step == 0 {
		if at < evaluator.ProbeDelay {
			return 0
		}
		probes := 1 / evaluator.ProbeInterval.Seconds()
		return min(evaluator.ProbeShare, probes/max(si.Rate, probes))
	}
	steps := wo.sc.Rollout.Steps
	return min(steps[min(step, len(steps))-1], 1-evaluator.ReferenceShare)
}

// condition is the share of failures and the latency factor of some calls.
type condition struct {
	errors, latency float64
}

func (ca condition) with(errors, latency float64) condition {
	ca.errors = min(ca.errors+errors, 1)
	if latency > 0 {
		ca.latency *= latency
	}
	return ca
}

func (wo *world) troubled(si Site, at time.Duration, ca condition) condition {
	tr := wo.sc.Trouble
	if tr == nil || tr.Site != si.Name || at < tr.From || at >= tr.From+tr.For {
		return ca
	}
	return ca.with(tr.Errors, tr.Latency)
}

func (wo *world) bad(ro Route, at time.Duration, share float64) bool {
	fa := wo.sc.Fault
	return fa != nil && at >= fa.From && share >= fa.MinShare &&
		(fa.Route == "" || fa.Route == ro.Name)
}

// newCalls draws the calls to the new version, which may be cold.
func (wo *world) newCalls(
	key evaluator.Key, shape int, rate float64, ca condition, at time.Duration,
) evaluator.Sample {
	if wo.sc.Cold == nil {
		return wo.draw(key, shape, rate, ca)
	}
	warmAt, begun := wo.warm[key.DataCentre]
	if begun && at >= warmAt {
		return wo.draw(key, shape, rate, ca)
	}
	co := wo.sc.Cold
	ca = ca.with(co.Errors, co.Latency)
	sa := wo.draw(key, shape, rate*co.Unmarked, ca)
	cold := wo.draw(key, shape, rate*(1-co.Unmarked), ca)
	sa.ColdCalls, sa.ColdFailures = cold.Calls, cold.Failures
	if !begun && sa.Calls+sa.ColdCalls > 0 {
		wo.warm[key.DataCentre] = at + co.For
	}
	return sa
}

// draw draws the calls of one key.
func (wo *world) draw(key evaluator.Key, nn int, rate float64, ca condition) evaluator.Sample {
	sa := evaluator.Sample{Key: key}
	if rate <= 0 {
		return sa
	}
	if wo.paused[key.Arm] {
		bu := wo.sc.Bursts
		wo.fill(&sa, nn, rate/bu.Targets, ca.with(bu.Errors, bu.Latency))
		rate -= rate / bu.Targets
	}
	wo.fill(&sa, nn, rate, ca)
	return sa
}

func (wo *world) fill(sa *evaluator.Sample, nn int, rate float64, ca condition) {
	failures := poisson(wo.rd, rate*ca.errors)
	sa.Failures += failures
	sa.Calls += failures
	wo.shapes[nn].draw(wo.rd, rate*(1-ca.errors), ca.latency, sa)
}

// pause draws the pauses of the targets of one data centre.
func (wo *world) pause() {
	if bu := wo.sc.Bursts; bu != nil {
		chance := bu.Targets * Tick.Seconds() / bu.Every.Seconds()
		for nn := range wo.paused {
			wo.paused[nn] = wo.rd.Float64() < chance
		}
	}
}
