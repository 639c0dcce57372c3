package ticker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// virtual is a clock whose timers fire late.
type virtual struct {
	at    time.Time
	due   time.Time
	timer func()
}

func (vi *virtual) now() time.Time { return vi.at }

func (vi *virtual) after(dd time.Duration, f func()) {
	vi.due, vi.timer = vi.at.Add(dd), f
}

// pass lets time pass with every timer on time.
func (vi *virtual) pass(dd time.Duration) {
	end := vi.at.Add(dd)
	for vi.timer != nil && !vi.due.After(end) {
		vi.at = vi.due
		vi.fire()
	}
	vi.at = end
}

// stop lets time pass while the process does not run.
func (vi *virtual) stop(dd time.Duration) {
	vi.at = vi.at.Add(dd)
}

// resume fires the timer that is overdue.
func (vi *virtual) resume() {
	if vi.timer != nil && !vi.due.After(vi.at) {
		vi.fire()
	}
}

func (vi *virtual) fire() {
	timer := vi.timer
	vi.timer = nil
	timer()
}

func start() (*virtual, *Ticker) {
	vi := &virtual{at: time.Unix(1000, 0)}
	return vi, &Ticker{now: vi.now, after: vi.after}
}

// Guards against lateness that is missed because the span ends before the
// timer that is overdue, and against lateness where there was none.
func TestSpan(t *testing.T) {
	vi, ti := start()
	sp := ti.Begin(vi.at)
	vi.pass(20 * time.Millisecond)
	require.Zero(t, sp.End(vi.at))

	sp = ti.Begin(vi.at)
	vi.pass(5 * time.Millisecond)
	vi.stop(30 * time.Millisecond)
	late := sp.End(vi.at)
	require.InDelta(t, 30, late.Seconds()*1000, 2, "the overdue timer counts")
	vi.resume()

	sp = ti.Begin(vi.at)
	vi.stop(30 * time.Millisecond)
	vi.resume()
	vi.pass(5 * time.Millisecond)
	late = sp.End(vi.at)
	require.InDelta(t, 30, late.Seconds()*1000, 2, "a past stop counts")
}

// Guards against a process without calls that wakes up all the time.
func TestRestsWithoutSpans(t *testing.T) {
	vi, ti := start()
	ti.Begin(vi.at).End(vi.at)
	vi.pass(10 * time.Millisecond)
	require.Nil(t, vi.timer)
	vi.pass(time.Hour)
	sp := ti.Begin(vi.at)
	require.NotNil(t, vi.timer)
	require.Zero(t, sp.End(vi.at), "rest is no lateness")
}

// Compares spans that overlap with the stops that happened in them.
func TestSpansMatchNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vi, ti := start()
		type open struct {
			span  *Span
			since time.Time
			late  time.Duration
			stops int
		}
		var spans []*open
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			dd := time.Duration(rapid.IntRange(1, 40).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				spans = append(spans, &open{span: ti.Begin(vi.at), since: vi.at})
			case 1:
				vi.pass(dd)
			case 2:
				vi.stop(dd)
				for _, op := range spans {
					op.late += dd
					op.stops++
				}
				vi.resume()
			default:
				if len(spans) == 0 {
					continue
				}
				op := spans[0]
				spans = spans[1:]
				late := op.span.End(vi.at)
				require.LessOrEqual(rt, late, vi.at.Sub(op.since))
				// Each stop begins within an interval and has a tolerance.
				slack := time.Duration(op.stops) * (interval + tolerance)
				require.GreaterOrEqual(rt, late, op.late-slack)
				require.LessOrEqual(rt, late, op.late)
			}
		}
	})
}
