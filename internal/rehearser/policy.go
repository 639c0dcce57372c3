package rehearser

import (
	"maps"
	"time"

	"github.com/guavastall/guavastall/internal/evaluator"
	"github.com/guavastall/guavastall/pkg/checker"
)

// NewEvaluation creates an evaluation. Tests pass alternative implementations.
type NewEvaluation func(evaluator.Config, time.Time) *evaluator.Evaluation

// evaluatorPolicy is the production policy: one evaluation per data centre.
type evaluatorPolicy struct {
	sc            Scenario
	newEvaluation NewEvaluation
	present       []checker.DataCentre
	evs           map[checker.DataCentre]*evaluator.Evaluation
	plan          Plan
	// deadline is in simulated time.
	deadline time.Time
}

// NewEvaluatorPolicy returns a policy that uses the evaluations of package evaluator.
func NewEvaluatorPolicy(sc Scenario, mk NewEvaluation) Policy {
	ep := &evaluatorPolicy{
		sc: sc, newEvaluation: mk, evs: map[checker.DataCentre]*evaluator.Evaluation{},
		plan: Plan{Steps: map[checker.DataCentre]int{}},
	}
	for _, si := range sc.Sites {
		ep.present = append(ep.present, si.Name)
	}
	return ep
}

// Decide implements Policy.
func (ep *evaluatorPolicy) Decide(now time.Time, samples []evaluator.Sample) Plan {
	if len(ep.evs) == 0 {
		ep.begin(now)
	}
	for _, sa := range samples {
		ep.evs[sa.DataCentre].Merge(sa, now)
	}
	before := maps.Clone(ep.plan.Steps)
	first := true
	for _, step := range before {
		first = first && step < 2
	}
	completed := 0
	for _, dc := range ep.present {
		ev := ep.evs[dc]
		ev.Stand(evaluator.Standing{
			Step: before[dc], Ready: true, First: first,
			Ended:    ep.plan.TakenBack || ep.plan.Done,
			Deadline: ep.deadline,
			Open:     evaluator.Open(ep.sc.Move, dc, before, ep.present),
		}, now)
		de := ev.Decide(now)
		ep.plan.Steps[dc] = max(ep.plan.Steps[dc], de.Step)
		if de.Kind == evaluator.TakeBack && !ep.plan.TakenBack {
			ep.plan.TakenBack, ep.plan.Reason = true, de.Reason
		}
		if de.Step > len(ep.sc.Rollout.Steps) {
			completed++
		}
	}
	ep.plan.Done = completed == len(ep.present) && !ep.plan.TakenBack
	plan := ep.plan
	plan.Steps = maps.Clone(plan.Steps)
	return plan
}

func (ep *evaluatorPolicy) begin(now time.Time) {
	ep.deadline = now.Add(ep.sc.Deadline - Tick)
	for _, dc := range ep.present {
		ep.evs[dc] = ep.newEvaluation(evaluator.Config{
			Move: ep.sc.Move, DataCentre: dc, Rollout: ep.sc.Rollout,
		}, now)
	}
}
