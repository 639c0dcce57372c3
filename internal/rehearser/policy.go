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

// NewEvaluated returns a policy that uses the evaluations of package evaluator.
func NewEvaluated(sc Scenario, mk NewEvaluation) Policy {
	ed := &evaluatorPolicy{
		sc: sc, newEvaluation: mk, evs: map[checker.DataCentre]*evaluator.Evaluation{},
		plan: Plan{Steps: map[checker.DataCentre]int{}},
	}
	for _, si := range sc.Sites {
		ed.present = append(ed.present, si.Name)
	}
	return ed
}

// Decide implements Policy.
func (ed *evaluatorPolicy) Decide(now time.Time, samples []evaluator.Sample) Plan {
	if len(ed.evs) == 0 {
		ed.begin(now)
	}
	for _, sa := range samples {
		ed.evs[sa.DataCentre].Merge(sa, now)
	}
	before := maps.Clone(ed.plan.Steps)
	first := true
	for _, step := range before {
		first = first && step < 2
	}
	completed := 0
	for _, dc := range ed.present {
		ev := ed.evs[dc]
		ev.Stand(evaluator.Standing{
			Step: before[dc], Ready: true, First: first,
			Ended:    ed.plan.TakenBack || ed.plan.Done,
			Deadline: ed.deadline,
			Open:     evaluator.Open(ed.sc.Move, dc, before, ed.present),
		}, now)
		de := ev.Decide(now)
		ed.plan.Steps[dc] = max(ed.plan.Steps[dc], de.Step)
		if de.Kind == evaluator.TakeBack && !ed.plan.TakenBack {
			ed.plan.TakenBack, ed.plan.Reason = true, de.Reason
		}
		if de.Step > len(ed.sc.Rollout.Steps) {
			completed++
		}
	}
	ed.plan.Done = completed == len(ed.present) && !ed.plan.TakenBack
	plan := ed.plan
	plan.Steps = maps.Clone(plan.Steps)
	return plan
}

func (ed *evaluatorPolicy) begin(now time.Time) {
	ed.deadline = now.Add(ed.sc.Deadline - Tick)
	for _, dc := range ed.present {
		ed.evs[dc] = ed.newEvaluation(evaluator.Config{
			Move: ed.sc.Move, DataCentre: dc, Rollout: ed.sc.Rollout,
		}, now)
	}
}
