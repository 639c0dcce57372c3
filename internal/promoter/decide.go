package promoter

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/internal/evaluator"
	"github.com/guavastall/guavastall/internal/reducer"
	"github.com/guavastall/guavastall/pkg/checker"
)

// ownTicks is how many seconds of its own calls a node judges by itself.
const ownTicks = 10

// decideLocally takes moves back that the node's own calls show to be bad. It
// works while the evaluator node is out of reach.
func (pr *Promoter) decideLocally(vi *view, samples []evaluator.Sample) {
	for _, mo := range vi.moves {
		mw := pr.moves[mo.ID]
		ro, ok := vi.rollout(mo.Service)
		if !ok || mw.ended {
			continue
		}
		mw.remember(mo, pr.co.DataCentre, samples)
		reason, bad := evaluator.Overwhelming(ro, slices.Concat(mw.own...)...)
		if !bad {
			continue
		}
		pr.fields(mo).WithField("reason", reason).Info("move taken back on the node's own calls")
		pr.takeBack(mo, mw, reason)
	}
}

// remember keeps the node's samples of the last ticks. They start again with
// the step, because a comparison needs an unchanged share.
func (mw *moveWork) remember(
	mo reducer.Progress, dc checker.DataCentre, samples []evaluator.Sample,
) {
	if step := mo.Steps[dc]; step != mw.ownStep {
		mw.own, mw.ownStep = nil, step
	}
	var own []evaluator.Sample
	for _, sa := range samples {
		if sa.Move == mo.ID && sa.DataCentre == dc {
			own = append(own, sa)
		}
	}
	mw.own = append(mw.own, own)
	if len(mw.own) > ownTicks {
		mw.own = mw.own[1:]
	}
}

// evaluate runs the evaluations whose evaluator this node is.
func (pr *Promoter) evaluate(vi *view, samples []evaluator.Sample, now time.Time) {
	for _, mo := range vi.moves {
		mw := pr.moves[mo.ID]
		ro, ok := vi.rollout(mo.Service)
		if !ok || mw.ended {
			continue
		}
		if vi.owner(mo.Service, pr.co.DataCentre) != pr.co.Self {
			mw.evaluation = nil
			continue
		}
		if mw.evaluation == nil || !sameRollout(mw.rollout, ro) {
			mw.rollout = ro
			mw.evaluation = evaluator.NewEvaluation(evaluator.Config{
				Move: mo.ID, DataCentre: pr.co.DataCentre, Rollout: ro,
			}, now)
			pr.fields(mo).Info("node evaluates the move")
		}
		for _, sa := range samples {
			mw.evaluation.Merge(sa, now)
		}
		mw.evaluation.Stand(vi.standing(mo), now)
		pr.act(vi, mo, mw, mw.evaluation.Decide(now))
	}
}

func sameRollout(ra, rb checker.Rollout) bool {
	steps := slices.Equal(ra.Steps, rb.Steps)
	ra.Steps, rb.Steps = nil, nil
	return steps && ra.StepTime == rb.StepTime && ra.MinCalls == rb.MinCalls &&
		ra.MaxErrorIncrease == rb.MaxErrorIncrease &&
		ra.MaxLatencyFactor == rb.MaxLatencyFactor && ra.QuietAfter == rb.QuietAfter
}

// standing returns what is known about the move in this data centre.
func (vi *view) standing(mo reducer.Progress) evaluator.Standing {
	dc := vi.co.DataCentre
	present := vi.present(mo.Service, mo.To)
	first := true
	for _, step := range mo.Steps {
		first = first && step < 2
	}
	return evaluator.Standing{
		Step: mo.Steps[dc], Open: evaluator.Open(mo.ID, dc, mo.Steps, present),
		Ready: slices.Contains(present, dc), First: first, Deadline: mo.Deadline,
		Out: !slices.Contains(vi.required(mo.Service), dc),
	}
}

// act logs a decision with its evidence and passes it on.
func (pr *Promoter) act(vi *view, mo reducer.Progress, mw *moveWork, de evaluator.Decision) {
	pr.log(mo, mw, de)
	switch de.Kind {
	case evaluator.TakeBack:
		pr.takeBack(mo, mw, string(pr.co.DataCentre)+": "+de.Reason)
		return
	case evaluator.Advance, evaluator.Passed:
		if !asserter.That(de.Step > mo.Steps[pr.co.DataCentre], "stepsNeverFall",
			"move %d in %s: step %d after %d", mo.ID, pr.co.DataCentre, de.Step,
			mo.Steps[pr.co.DataCentre]) {
			return
		}
		sp := reducer.Step{Move: mo.ID, DataCentre: pr.co.DataCentre, Step: de.Step}
		pr.co.Facts.Join([]reducer.Fact{{Step: &sp}})
	}
	if !vi.passed(mo, de.Step) {
		return
	}
	mw.ended = true
	pr.fields(mo).Info("move done in every data centre")
	pr.co.Facts.Join([]reducer.Fact{{Done: &reducer.MoveDone{Move: mo.ID}}})
}

// passed reports whether every data centre has held the last step; step is
// that of this data centre.
func (vi *view) passed(mo reducer.Progress, step int) bool {
	ro, ok := vi.rollout(mo.Service)
	required := vi.required(mo.Service)
	if !ok || len(required) == 0 {
		return false
	}
	for _, dc := range required {
		at := mo.Steps[dc]
		if dc == vi.co.DataCentre {
			at = max(at, step)
		}
		if at <= len(ro.Steps) {
			return false
		}
	}
	return true
}

func (pr *Promoter) takeBack(mo reducer.Progress, mw *moveWork, reason string) {
	mw.ended = true
	tb := reducer.TakeBack{Move: mo.ID, Reason: reason}
	pr.co.Facts.Join([]reducer.Fact{{TakeBack: &tb}})
}

// log writes one line for each decision. A hold is repeated every second, so
// only a new reason is written at info level.
func (pr *Promoter) log(mo reducer.Progress, mw *moveWork, de evaluator.Decision) {
	evi := de.Evidence
	line := pr.fields(mo).WithFields(logrus.Fields{
		"decision": de.Kind.String(), "step": de.Step, "reason": de.Reason,
		"newCalls": evi.NewCalls, "newFailures": evi.NewFailures,
		"oldCalls": evi.OldCalls, "oldFailures": evi.OldFailures,
		"coldCalls": evi.ColdCalls, "statistic": evi.Statistic,
		"route": evi.Route, "measure": evi.Measure,
	})
	level := logrus.InfoLevel
	if de.Kind == evaluator.Hold && de.Reason == mw.reason {
		level = logrus.DebugLevel
	}
	mw.reason = de.Reason
	line.Log(level, "rollout decision")
}

func (pr *Promoter) fields(mo reducer.Progress) logrus.FieldLogger {
	return pr.co.Log.WithFields(logrus.Fields{
		"move": mo.ID, "service": mo.Service, "from": mo.From, "to": mo.To,
		"dataCentre": pr.co.DataCentre,
	})
}
