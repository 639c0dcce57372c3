package evaluator

import (
	"fmt"
	"time"

	"github.com/guavastall/guavastall/internal/asserter"
)

// holdThreshold is the logarithmic likelihood ratio from which a version does not
// advance, although it is not yet rolled back. A ratio this great occurs by
// chance once in a hundred.
const holdThreshold = 4.6

// Evaluation evaluates one move in one data centre. It is not safe for
// concurrent use.
type Evaluation struct {
	co      Config
	newTest func() test

	st        Standing
	stepStart time.Time // when the step was reached
	judge     judge
	calls     stepCalls
	ended     bool
}

// stepCalls counts the calls of the current step.
type stepCalls struct {
	Evidence
	// comparedCalls counts the calls to the new version in periods in which the
	// old version had calls too.
	comparedCalls uint64
	// noFailureSince is the time of the new version's last failure in the step,
	// or the start of the step if there was none.
	noFailureSince time.Time
}

// NewEvaluation returns an evaluation without evidence. The current step starts
// again, so that an evaluator that takes over never advances on calls that it has
// not counted.
func NewEvaluation(co Config, now time.Time) *Evaluation {
	return newEvaluation(co, now, func() test { return &mixture{} })
}

func newEvaluation(co Config, now time.Time, newTest func() test) *Evaluation {
	ev := &Evaluation{co: co, newTest: newTest, judge: newJudge(co.Rollout, newTest)}
	ev.startStep(now)
	return ev
}

func (ev *Evaluation) startStep(now time.Time) {
	ev.stepStart = now
	ev.calls = stepCalls{noFailureSince: now}
}

// Stand sets the state of the move. A step lower than the known one is ignored.
func (ev *Evaluation) Stand(st Standing, now time.Time) {
	ev.ended = ev.ended || st.Ended
	step := max(st.Step, ev.st.Step)
	if step > ev.st.Step || st.Out {
		ev.startStep(now)
	}
	ev.st = st
	ev.st.Step = step
}

// Merge adds the calls reported by a node. It ignores samples of other moves and
// data centres.
func (ev *Evaluation) Merge(sa Sample, _ time.Time) {
	if sa.Move == ev.co.Move && sa.DataCentre == ev.co.DataCentre {
		ev.judge.merge(sa)
	}
}

// Decide ends the period since the last decision and returns the next decision.
// It is called about once a second.
func (ev *Evaluation) Decide(now time.Time) Decision {
	ev.closePeriod(now)
	de := ev.decide(now)
	de.Evidence = ev.calls.Evidence
	top := ev.judge.strongest
	de.Evidence.Statistic = top.value
	de.Evidence.Route, de.Evidence.Measure = top.route, top.measure
	ev.apply(de, now)
	return de
}

// closePeriod adds the calls of the period to the step and to the tests.
func (ev *Evaluation) closePeriod(now time.Time) {
	pe := ev.judge.closePeriod(now)
	ev.calls.NewCalls += pe[New].calls
	ev.calls.OldCalls += pe[Old].calls
	ev.calls.NewFailures += pe[New].failures
	ev.calls.OldFailures += pe[Old].failures
	ev.calls.ColdCalls += pe[New].coldCalls
	if pe[Old].calls > 0 {
		ev.calls.comparedCalls += pe[New].calls
	}
	if pe[New].failures > 0 {
		ev.calls.noFailureSince = now
	}
}

func (ev *Evaluation) apply(de Decision, now time.Time) {
	asserter.That(de.Step >= ev.st.Step, "stepsNeverFall",
		"move %d in %s: step %d after %d", ev.co.Move, ev.co.DataCentre, de.Step, ev.st.Step)
	switch de.Kind {
	case TakeBack:
		ev.ended = true
	case Advance, Passed:
		if !asserter.That(!ev.ended, "takenBackNeverAdvances",
			"move %d in %s: step %d", ev.co.Move, ev.co.DataCentre, de.Step) {
			return
		}
		ev.st.Step = de.Step
		ev.startStep(now)
	}
}

func (ev *Evaluation) decide(now time.Time) Decision {
	if ev.ended {
		return ev.hold("the move has ended")
	}
	// A data centre without traffic passes all steps without a call to the new
	// version, so its first calls come after the last step.
	untested := ev.st.Step > len(ev.co.Rollout.Steps) && ev.judge.lowTraffic()
	first := ev.st.First && ev.st.Step == 1
	if reason := ev.judge.rollbackReason(first, untested, now); reason != "" {
		return ev.rollBack(reason)
	}
	last := len(ev.co.Rollout.Steps)
	if ev.st.Out {
		return ev.hold("the data centre takes no part")
	}
	if reason := ev.deadlineReason(now); reason != "" {
		return ev.rollBack(reason)
	}
	switch {
	case ev.st.Step > last:
		return ev.hold("passed; waits for the other data centres")
	case ev.st.Step == 0:
		return ev.decideFirstStep(now)
	}
	if reason := ev.holdReason(now); reason != "" {
		return ev.hold(reason)
	}
	if ev.st.Step == last {
		return Decision{Kind: Passed, Step: last + 1, Reason: "held the last step"}
	}
	return Decision{Kind: Advance, Step: ev.st.Step + 1, Reason: "no worse than the old version"}
}

// deadlineReason returns why the move cannot complete by its deadline, or the
// empty string.
func (ev *Evaluation) deadlineReason(now time.Time) string {
	need := ev.timeNeeded(now)
	if ev.st.Deadline.IsZero() || !now.Add(need).After(ev.st.Deadline) {
		return ""
	}
	last := len(ev.co.Rollout.Steps)
	return fmt.Sprintf("deadline: %s is at step %d of %d and needs %v more with %v left",
		ev.co.DataCentre, min(ev.st.Step, last), last, need.Round(time.Millisecond),
		max(ev.st.Deadline.Sub(now), 0).Round(time.Millisecond))
}

func (ev *Evaluation) hold(reason string) Decision {
	return Decision{Kind: Hold, Step: ev.st.Step, Reason: reason}
}

func (ev *Evaluation) rollBack(reason string) Decision {
	return Decision{Kind: TakeBack, Step: ev.st.Step, Reason: reason}
}

// decideFirstStep returns the decision at step 0.
func (ev *Evaluation) decideFirstStep(now time.Time) Decision {
	switch {
	case !ev.st.Ready:
		return ev.hold("the new version has no target here")
	case !ev.st.Open:
		return ev.hold("waits for the first data centre")
	case ev.judge.strongest.value >= holdThreshold:
		return ev.hold("suspicion: " + ev.judge.strongest.description())
	case now.Sub(ev.stepStart) < time.Duration(ev.co.Rollout.StepTime):
		// The first calls to the new version can be judged only against a
		// baseline of the old version.
		return ev.hold("observes the old version")
	}
	return Decision{Kind: Advance, Step: 1, Reason: "the stage order allows the first step"}
}

// holdReason returns why the step is not complete yet, or the empty string.
func (ev *Evaluation) holdReason(now time.Time) string {
	switch {
	case now.Sub(ev.stepStart) < ev.stepTime():
		return "step time"
	case ev.judge.strongest.value >= holdThreshold:
		return "suspicion: " + ev.judge.strongest.description()
	case ev.judge.oldVersionDegraded():
		return "the old version fails more than usual"
	case ev.calls.comparedCalls >= uint64(ev.co.Rollout.MinCalls):
		return ""
	case ev.judge.cold():
		return "the new version's targets are cold"
	case ev.judge.consecutiveFailures > 0:
		return "the last call of the new version failed"
	case now.Sub(ev.calls.noFailureSince) < time.Duration(ev.co.Rollout.QuietAfter):
		return "too few calls"
	}
	return ""
}

// stepTime returns the duration of the step. It is longer if there is time to
// spare before the deadline, so that faults that appear late affect less traffic.
func (ev *Evaluation) stepTime() time.Duration {
	least := time.Duration(ev.co.Rollout.StepTime)
	if ev.st.Deadline.IsZero() {
		return least
	}
	return min(max(least, ev.spareTimePerStep()), maxStepStretch*least)
}

// maxStepStretch is the maximum duration of a step in multiples of the rollout's
// step time.
const maxStepStretch = 2

// spareTimePerStep returns the time from the start of the step to the deadline
// divided by twice the number of steps left. The other half stays in reserve for
// holds.
func (ev *Evaluation) spareTimePerStep() time.Duration {
	left := len(ev.co.Rollout.Steps) + 1 - ev.st.Step
	return ev.st.Deadline.Sub(ev.stepStart) / time.Duration(2*max(left, 1))
}

// timeNeeded returns the least time until the last step is passed. It is zero for
// an evaluation that has passed it, although other data centres may need more.
func (ev *Evaluation) timeNeeded(now time.Time) time.Duration {
	least := time.Duration(ev.co.Rollout.StepTime)
	left := len(ev.co.Rollout.Steps) + 1 - ev.st.Step
	return max(time.Duration(left)*least-min(now.Sub(ev.stepStart), least), 0)
}
