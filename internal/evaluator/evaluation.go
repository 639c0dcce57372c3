package evaluator

import (
	"fmt"
	"time"

	"github.com/guavastall/guavastall/internal/asserter"
)

// suspicion is the value from which a version, not yet bad, does not advance:
// evidence that strong appears by chance once in a hundred.
const suspicion = 4.6

// Evaluation judges one move in one data centre. It is not safe for
// concurrent use.
type Evaluation struct {
	co      Config
	newTest func() test

	st    Standing
	since time.Time // when the step was reached
	judge judge
	calls stepCalls
	ended bool
}

// stepCalls counts the calls of the current step.
type stepCalls struct {
	Evidence
	// compared counts the calls to the new version in periods in which the old
	// version had calls too.
	compared uint64
	// quietSince is the start of the step, or the last failure of the new
	// version in it.
	quietSince time.Time
}

// NewEvaluation returns an evaluation without evidence. The step it is at
// starts anew, so an evaluator that takes over never advances on what it has
// not seen.
func NewEvaluation(co Config, now time.Time) *Evaluation {
	return newEvaluation(co, now, func() test { return &mixture{} })
}

func newEvaluation(co Config, now time.Time, newTest func() test) *Evaluation {
	ev := &Evaluation{co: co, newTest: newTest, judge: newJudge(co.Rollout, newTest)}
	ev.startStep(now)
	return ev
}

func (ev *Evaluation) startStep(now time.Time) {
	ev.since = now
	ev.calls = stepCalls{quietSince: now}
}

// Stand tells the evaluation what is known about the move apart from its
// calls. A lower step than known before is ignored.
func (ev *Evaluation) Stand(st Standing, now time.Time) {
	ev.ended = ev.ended || st.Ended
	step := max(st.Step, ev.st.Step)
	if step > ev.st.Step || st.Out {
		ev.startStep(now)
	}
	ev.st = st
	ev.st.Step = step
}

// Merge adds the calls that a node reports. Samples of other moves and data
// centres are ignored.
func (ev *Evaluation) Merge(sa Sample, _ time.Time) {
	if sa.Move == ev.co.Move && sa.DataCentre == ev.co.DataCentre {
		ev.judge.merge(sa)
	}
}

// Decide closes the period since the last decision and decides. It is called
// about once a second.
func (ev *Evaluation) Decide(now time.Time) Decision {
	ev.closePeriod(now)
	de := ev.decide(now)
	de.Evidence = ev.calls.Evidence
	top := ev.judge.top
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
		ev.calls.compared += pe[New].calls
	}
	if pe[New].failures > 0 {
		ev.calls.quietSince = now
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
	// A data centre without traffic passes every step without a call.
	unseen := ev.st.Step > len(ev.co.Rollout.Steps) && ev.judge.quiet()
	if reason := ev.judge.verdict(ev.st.First && ev.st.Step == 1, unseen, now); reason != "" {
		return ev.takeBack(reason)
	}
	last := len(ev.co.Rollout.Steps)
	if ev.st.Out {
		return ev.hold("the data centre takes no part")
	}
	if reason := ev.late(now); reason != "" {
		return ev.takeBack(reason)
	}
	switch {
	case ev.st.Step > last:
		return ev.hold("passed; waits for the other data centres")
	case ev.st.Step == 0:
		return ev.start(now)
	}
	if reason := ev.wait(now); reason != "" {
		return ev.hold(reason)
	}
	if ev.st.Step == last {
		return Decision{Kind: Passed, Step: last + 1, Reason: "held the last step"}
	}
	return Decision{Kind: Advance, Step: ev.st.Step + 1, Reason: "no worse than the old version"}
}

// late returns why the move cannot complete by its deadline, or nothing.
func (ev *Evaluation) late(now time.Time) string {
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

func (ev *Evaluation) takeBack(reason string) Decision {
	return Decision{Kind: TakeBack, Step: ev.st.Step, Reason: reason}
}

// start decides at step 0.
func (ev *Evaluation) start(now time.Time) Decision {
	switch {
	case !ev.st.Ready:
		return ev.hold("the new version has no target here")
	case !ev.st.Open:
		return ev.hold("waits for the first data centre")
	case ev.judge.top.value >= suspicion:
		return ev.hold("suspicion: " + ev.judge.top.where())
	case now.Sub(ev.since) < time.Duration(ev.co.Rollout.StepTime):
		// What the old version usually does must be known before the first call
		// to the new version can be judged.
		return ev.hold("observes the old version")
	}
	return Decision{Kind: Advance, Step: 1, Reason: "the stage order allows the first step"}
}

// wait returns why the step is not over yet, or nothing.
func (ev *Evaluation) wait(now time.Time) string {
	switch {
	case now.Sub(ev.since) < ev.stepTime():
		return "step time"
	case ev.judge.top.value >= suspicion:
		return "suspicion: " + ev.judge.top.where()
	case ev.judge.trouble():
		return "the old version fails more than usual"
	case ev.calls.compared >= uint64(ev.co.Rollout.MinCalls):
		return ""
	case ev.judge.cold():
		return "the new version's targets are cold"
	case ev.judge.row > 0:
		return "the last call of the new version failed"
	case now.Sub(ev.calls.quietSince) < time.Duration(ev.co.Rollout.QuietAfter):
		return "too few calls"
	}
	return ""
}

// stepTime returns how long the step lasts. With time to spare before the
// deadline it is longer, so that faults that appear late meet less traffic.
func (ev *Evaluation) stepTime() time.Duration {
	least := time.Duration(ev.co.Rollout.StepTime)
	if ev.st.Deadline.IsZero() {
		return least
	}
	return min(max(least, ev.spare()), paceStretch*least)
}

// paceStretch bounds the lengthening of a step in multiples of stepTime.
const paceStretch = 2

// spare returns the time from the start of the step to the deadline, divided by
// twice the steps left: half of the spare time stays in reserve for holds.
func (ev *Evaluation) spare() time.Duration {
	left := len(ev.co.Rollout.Steps) + 1 - ev.st.Step
	return ev.st.Deadline.Sub(ev.since) / time.Duration(2*max(left, 1))
}

// timeNeeded returns the least time to pass the last step. An evaluation that
// has passed it needs none, but the other data centres may.
func (ev *Evaluation) timeNeeded(now time.Time) time.Duration {
	least := time.Duration(ev.co.Rollout.StepTime)
	left := len(ev.co.Rollout.Steps) + 1 - ev.st.Step
	return max(time.Duration(left)*least-min(now.Sub(ev.since), least), 0)
}
