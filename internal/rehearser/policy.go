package rehearser

import (
	"maps"
	"time"

	"github.com/guavastall/guavastall/internal/evaluator"
	"github.com/guavastall/guavastall/pkg/checker"
)

// NewEvaluation makes an evaluation; tests pass variants.
type NewEvaluation func(evaluator.Config, time.Time) *evaluator.Evaluation

// evaluated is the policy of this project: one evaluation in each data centre.
type evaluated struct {
	sc      Scenario
	make    NewEvaluation
	present []checker.DataCentre
	evs     map[checker.DataCentre]*evaluator.Evaluation
	plan    Plan
	// deadline is a time of the simulation.
	deadline time.Time
}

// NewEvaluated returns the policy of package evaluator.
func NewEvaluated(sc Scenario, mk NewEvaluation) Policy {
	ed := &evaluated{
		sc: sc, make: mk, evs: map[checker.DataCentre]*evaluator.Evaluation{},
		plan: Plan{Steps: map[checker.DataCentre]int{}},
	}
	for _, si := range sc.Sites {
		ed.present = append(ed.present, si.Name)
	}
	return ed
}

// Decide implements Policy.
func (ed *evaluated) Decide(now time.Time, samples []evaluator.Sample) Plan {
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
	passed := 0
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
			passed++
		}
	}
	ed.plan.Done = passed == len(ed.present) && !ed.plan.TakenBack
	plan := ed.plan
	plan.Steps = maps.Clone(plan.Steps)
	return plan
}

func (ed *evaluated) begin(now time.Time) {
	ed.deadline = now.Add(ed.sc.Deadline - Tick)
	for _, dc := range ed.present {
		ed.evs[dc] = ed.make(evaluator.Config{
			Move: ed.sc.Move, DataCentre: dc, Rollout: ed.sc.Rollout,
		}, now)
	}
}
