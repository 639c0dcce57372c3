// Package rehearser simulates rollouts of a target version in virtual time and
// scores the policy that controls them.
//
// Calls are drawn as counts per second and latency bucket, not one by one, so
// that thousands of rollouts take seconds. A run is determined by its seed.
package rehearser

import (
	"math/rand/v2"
	"time"

	"github.com/guavastall/guavastall/internal/evaluator"
	"github.com/guavastall/guavastall/pkg/checker"
)

// Tick is the simulated time between two decisions.
const Tick = time.Second

// Site is a data centre of the service.
type Site struct {
	Name checker.DataCentre
	// Rate is the number of calls per second that arrive there.
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

// Fault is a fault of the new version.
type Fault struct {
	// From is the time after the start of the move from which the fault applies.
	From time.Duration
	// MinShare is the share of a data centre's calls from which the fault applies.
	MinShare float64
	// Route restricts the fault to one route; empty means all.
	Route string
	// Errors is the added share of failed calls.
	Errors float64
	// Latency multiplies the latency; zero means no change.
	Latency float64
}

// Disturbance is a temporary degradation of both versions in one data centre.
type Disturbance struct {
	Site      checker.DataCentre
	From, For time.Duration
	Errors    float64
	Latency   float64
}

// Cold describes the cold start of the new version's targets.
type Cold struct {
	// For is how long targets are cold after the first call in their data centre.
	For time.Duration
	// Errors and Latency apply to calls to cold targets.
	Errors, Latency float64
	// Unmarked is the share of these calls that are not reported as cold.
	Unmarked float64
}

// Pauses describes pauses of one second of single targets of either version.
type Pauses struct {
	// Every is the mean time between two pauses of a target.
	Every time.Duration
	// Targets is the number of targets of each version in a data centre.
	Targets float64
	// Errors and Latency apply to the calls to a paused target.
	Errors, Latency float64
}

// Scenario describes one rollout.
type Scenario struct {
	Seed    uint64
	Move    checker.MoveID
	Sites   []Site
	Routes  []Route
	Rollout checker.Rollout
	// Deadline is the time after the start by which the move must be done.
	Deadline    time.Duration
	Fault       *Fault
	Disturbance *Disturbance
	Cold        *Cold
	Pauses      *Pauses
}

// Plan is the state of the move after a decision.
type Plan struct {
	Steps map[checker.DataCentre]int
	// TakenBack and Done say that the move was rolled back or completed.
	TakenBack, Done bool
	Reason          string
}

// Policy controls a rollout.
type Policy interface {
	// Decide returns the plan after taking in the calls reported since the last tick.
	Decide(now time.Time, samples []evaluator.Sample) Plan
}

// Result is the outcome of one rollout.
type Result struct {
	Plan
	// Took is the time from the start until the move was done or the new version
	// no longer got calls.
	Took time.Duration
	// Calls is the number of calls to the service, and Exposed the number of those
	// to which the fault applied.
	Calls, Exposed uint64
	// Shown says that the fault applied to a call, and ShownAt when it first did.
	Shown   bool
	ShownAt time.Duration
}

// effectDelay is the number of ticks between a call and the effect of the decision
// based on it. The node reports at the end of the second, the report is evaluated
// at the end of the next one, and the decision takes another second to reach every
// node.
const effectDelay = 2

// Run simulates the rollout until it is done, rolled back or a minute past its
// deadline.
func Run(sc Scenario, po Policy) Result {
	sm := newSimulation(sc)
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
		samples := sm.calls(at, inForce, &re)
		plans[effectDelay-1] = po.Decide(start.Add(at+Tick), reported)
		reported = samples
	}
	re.Took = sc.Deadline + time.Minute
	return re
}

// simulation draws the calls of a scenario.
type simulation struct {
	sc            Scenario
	rd            *rand.Rand
	distributions []distribution
	// paused says for each version whether one of its targets is paused in the
	// data centre and second being drawn.
	paused [2]bool
	warmAt map[checker.DataCentre]time.Duration
}

func newSimulation(sc Scenario) *simulation {
	sm := &simulation{
		sc: sc, rd: rand.New(rand.NewPCG(sc.Seed, 0x9e3779b97f4a7c15)),
		warmAt: map[checker.DataCentre]time.Duration{},
	}
	for _, ro := range sc.Routes {
		sm.distributions = append(sm.distributions, newDistribution(ro.Median, ro.Sigma))
	}
	return sm
}

// calls draws the calls of one tick.
func (sm *simulation) calls(
	at time.Duration, plan Plan, re *Result,
) []evaluator.Sample {
	var samples []evaluator.Sample
	for _, si := range sm.sc.Sites {
		share := sm.share(si, at, plan)
		sm.drawPauses()
		for nn, ro := range sm.sc.Routes {
			rate := si.Rate * ro.Weight * Tick.Seconds()
			key := evaluator.Key{
				Service: "service", Route: ro.Name, Move: sm.sc.Move,
				DataCentre: si.Name, Arm: evaluator.Old,
			}
			ca := sm.disturbed(si, at, condition{errors: ro.Errors, latency: 1})
			if sa := sm.draw(key, nn, rate*(1-share), ca); sa.Calls > 0 {
				samples = append(samples, sa)
				re.Calls += uint64(sa.Calls)
			}
			key.Arm = evaluator.New
			bad := sm.faultApplies(ro, at, share)
			if bad {
				ca = ca.with(sm.sc.Fault.Errors, sm.sc.Fault.Latency)
			}
			sa := sm.newCalls(key, nn, rate*share, ca, at)
			total := uint64(sa.Calls + sa.ColdCalls)
			if total == 0 {
				continue
			}
			samples = append(samples, sa)
			re.Calls += total
			if bad {
				re.addExposed(total, at)
			}
		}
	}
	return samples
}

func (re *Result) addExposed(calls uint64, at time.Duration) {
	if !re.Shown {
		re.Shown, re.ShownAt = true, at
	}
	re.Exposed += calls
}

// share returns the share of calls that a splitter routes to the new version.
func (sm *simulation) share(si Site, at time.Duration, plan Plan) float64 {
	step := plan.Steps[si.Name]
	if step == 0 {
		if at < evaluator.ProbeDelay {
			return 0
		}
		probes := 1 / evaluator.ProbeInterval.Seconds()
		return min(evaluator.ProbeShare, probes/max(si.Rate, probes))
	}
	steps := sm.sc.Rollout.Steps
	return min(steps[min(step, len(steps))-1], 1-evaluator.ReferenceShare)
}

// condition holds the error rate and the latency factor of calls.
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

func (sm *simulation) disturbed(si Site, at time.Duration, ca condition) condition {
	di := sm.sc.Disturbance
	if di == nil || di.Site != si.Name || at < di.From || at >= di.From+di.For {
		return ca
	}
	return ca.with(di.Errors, di.Latency)
}

func (sm *simulation) faultApplies(ro Route, at time.Duration, share float64) bool {
	fa := sm.sc.Fault
	return fa != nil && at >= fa.From && share >= fa.MinShare &&
		(fa.Route == "" || fa.Route == ro.Name)
}

// newCalls draws the calls to the new version, whose targets may be cold.
func (sm *simulation) newCalls(
	key evaluator.Key, route int, rate float64, ca condition, at time.Duration,
) evaluator.Sample {
	if sm.sc.Cold == nil {
		return sm.draw(key, route, rate, ca)
	}
	warmAt, begun := sm.warmAt[key.DataCentre]
	if begun && at >= warmAt {
		return sm.draw(key, route, rate, ca)
	}
	co := sm.sc.Cold
	ca = ca.with(co.Errors, co.Latency)
	sa := sm.draw(key, route, rate*co.Unmarked, ca)
	cold := sm.draw(key, route, rate*(1-co.Unmarked), ca)
	sa.ColdCalls, sa.ColdFailures = cold.Calls, cold.Failures
	if !begun && sa.Calls+sa.ColdCalls > 0 {
		sm.warmAt[key.DataCentre] = at + co.For
	}
	return sa
}

// draw draws the calls of one key.
func (sm *simulation) draw(
	key evaluator.Key, nn int, rate float64, ca condition,
) evaluator.Sample {
	sa := evaluator.Sample{Key: key}
	if rate <= 0 {
		return sa
	}
	if sm.paused[key.Arm] {
		pa := sm.sc.Pauses
		sm.addCalls(&sa, nn, rate/pa.Targets, ca.with(pa.Errors, pa.Latency))
		rate -= rate / pa.Targets
	}
	sm.addCalls(&sa, nn, rate, ca)
	return sa
}

func (sm *simulation) addCalls(sa *evaluator.Sample, nn int, rate float64, ca condition) {
	failures := poisson(sm.rd, rate*ca.errors)
	sa.Failures += failures
	sa.Calls += failures
	sm.distributions[nn].draw(sm.rd, rate*(1-ca.errors), ca.latency, sa)
}

// drawPauses draws which targets of a data centre are paused.
func (sm *simulation) drawPauses() {
	if pa := sm.sc.Pauses; pa != nil {
		chance := pa.Targets * Tick.Seconds() / pa.Every.Seconds()
		for nn := range sm.paused {
			sm.paused[nn] = sm.rd.Float64() < chance
		}
	}
}
