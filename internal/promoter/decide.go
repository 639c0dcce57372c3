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

// localWindow is the number of seconds of its own calls on which a node decides
// alone.
const localWindow = 10

// decideLocally rolls back the moves that the node's own calls show to be bad. It
// also does so while the evaluator node is unreachable.
func (pr *Promoter) decideLocally(vi *view, samples []evaluator.Sample) {
	for _, mo := range vi.moves {
		ms := pr.moves[mo.ID]
		ro, ok := vi.rollout(mo.Service)
		if !ok || ms.decided {
			continue
		}
		ms.addLocalSamples(mo, pr.co.DataCentre, samples)
		reason, bad := evaluator.Overwhelming(ro, slices.Concat(ms.localSamples...)...)
		if !bad {
			continue
		}
		pr.fields(mo).WithField("reason", reason).Info("move rolled back on the node's own calls")
		pr.rollBack(mo, ms, reason)
	}
}

// addLocalSamples adds the node's own samples of a tick to the local window. The
// window is cleared when the step changes, because a comparison needs an
// unchanged share.
func (ms *moveState) addLocalSamples(
	mo reducer.Progress, dc checker.DataCentre, samples []evaluator.Sample,
) {
	if step := mo.Steps[dc]; step != ms.localStep {
		ms.localSamples, ms.localStep = nil, step
	}
	var kept []evaluator.Sample
	for _, sa := range samples {
		if sa.Move == mo.ID && sa.DataCentre == dc {
			kept = append(kept, sa)
		}
	}
	ms.localSamples = append(ms.localSamples, kept)
	if len(ms.localSamples) > localWindow {
		ms.localSamples = ms.localSamples[1:]
	}
}

// evaluate runs the evaluations of the services whose evaluator node this is.
func (pr *Promoter) evaluate(vi *view, samples []evaluator.Sample, now time.Time) {
	for _, mo := range vi.moves {
		ms := pr.moves[mo.ID]
		ro, ok := vi.rollout(mo.Service)
		if !ok || ms.decided {
			continue
		}
		if vi.owner(mo.Service, pr.co.DataCentre) != pr.co.Self {
			ms.evaluation = nil
			continue
		}
		if ms.evaluation == nil || !sameRollout(ms.rollout, ro) {
			ms.rollout = ro
			ms.evaluation = evaluator.NewEvaluation(evaluator.Config{
				Move: mo.ID, DataCentre: pr.co.DataCentre, Rollout: ro,
			}, now)
			pr.fields(mo).Info("evaluation of the move started")
		}
		for _, sa := range samples {
			ms.evaluation.Merge(sa, now)
		}
		ms.evaluation.Stand(vi.standing(mo), now)
		pr.applyDecision(vi, mo, ms, ms.evaluation.Decide(now))
	}
}

func sameRollout(ra, rb checker.Rollout) bool {
	steps := slices.Equal(ra.Steps, rb.Steps)
	ra.Steps, rb.Steps = nil, nil
	return steps && ra.StepTime == rb.StepTime && ra.MinCalls == rb.MinCalls &&
		ra.MaxErrorIncrease == rb.MaxErrorIncrease &&
		ra.MaxLatencyFactor == rb.MaxLatencyFactor && ra.QuietAfter == rb.QuietAfter
}

// standing returns the state of the move in this data centre.
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

// applyDecision logs a decision with its evidence and publishes it as a fact.
func (pr *Promoter) applyDecision(
	vi *view, mo reducer.Progress, ms *moveState, de evaluator.Decision,
) {
	pr.log(mo, ms, de)
	switch de.Kind {
	case evaluator.TakeBack:
		pr.rollBack(mo, ms, string(pr.co.DataCentre)+": "+de.Reason)
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
	if !vi.allPassed(mo, de.Step) {
		return
	}
	ms.decided = true
	pr.fields(mo).Info("move completed in all data centres")
	pr.co.Facts.Join([]reducer.Fact{{Done: &reducer.MoveDone{Move: mo.ID}}})
}

// allPassed reports whether every required data centre has completed the last
// step. step is the newest step of this data centre.
func (vi *view) allPassed(mo reducer.Progress, step int) bool {
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

func (pr *Promoter) rollBack(mo reducer.Progress, ms *moveState, reason string) {
	ms.decided = true
	tb := reducer.TakeBack{Move: mo.ID, Reason: reason}
	pr.co.Facts.Join([]reducer.Fact{{TakeBack: &tb}})
}

// log logs a decision. Hold is decided every second, so it is logged at info level
// only if its reason has changed, and else at debug level.
func (pr *Promoter) log(mo reducer.Progress, ms *moveState, de evaluator.Decision) {
	evi := de.Evidence
	line := pr.fields(mo).WithFields(logrus.Fields{
		"decision": de.Kind.String(), "step": de.Step, "reason": de.Reason,
		"newCalls": evi.NewCalls, "newFailures": evi.NewFailures,
		"oldCalls": evi.OldCalls, "oldFailures": evi.OldFailures,
		"coldCalls": evi.ColdCalls, "statistic": evi.Statistic,
		"route": evi.Route, "measure": evi.Measure,
	})
	level := logrus.InfoLevel
	if de.Kind == evaluator.Hold && de.Reason == ms.lastReason {
		level = logrus.DebugLevel
	}
	ms.lastReason = de.Reason
	line.Log(level, "rollout decision")
}

func (pr *Promoter) fields(mo reducer.Progress) logrus.FieldLogger {
	return pr.co.Log.WithFields(logrus.Fields{
		"move": mo.ID, "service": mo.Service, "from": mo.From, "to": mo.To,
		"dataCentre": pr.co.DataCentre,
	})
}
