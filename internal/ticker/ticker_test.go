package ticker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// virtualClock is a clock whose timers fire late.
type virtualClock struct {
	at    time.Time
	due   time.Time
	timer func()
}

func (vi *virtualClock) now() time.Time { return vi.at }

func (vi *virtualClock) after(dd time.Duration, f func()) {
	vi.due, vi.timer = vi.at.Add(dd), f
}

// advance moves the clock forward and fires every timer on time.
func (vi *virtualClock) advance(dd time.Duration) {
	end := vi.at.Add(dd)
	for vi.timer != nil && !vi.due.After(end) {
		vi.at = vi.due
		vi.fire()
	}
	vi.at = end
}

// stall moves the clock forward without firing timers, as if the process were
// not scheduled.
func (vi *virtualClock) stall(dd time.Duration) {
	vi.at = vi.at.Add(dd)
}

// fireOverdue fires the timer if it is overdue.
func (vi *virtualClock) fireOverdue() {
	if vi.timer != nil && !vi.due.After(vi.at) {
		vi.fire()
	}
}

func (vi *virtualClock) fire() {
	timer := vi.timer
	vi.timer = nil
	timer()
}

func newTestTicker() (*virtualClock, *Ticker) {
	vi := &virtualClock{at: time.Unix(1000, 0)}
	return vi, &Ticker{now: vi.now, after: vi.after}
}

// Guards against a delay that is missed because the span ends before the overdue
// timer fires, and against a delay reported without a stall.
func TestSpan(t *testing.T) {
	vi, ti := newTestTicker()
	sp := ti.Begin(vi.at)
	vi.advance(20 * time.Millisecond)
	require.Zero(t, sp.End(vi.at))

	sp = ti.Begin(vi.at)
	vi.advance(5 * time.Millisecond)
	vi.stall(30 * time.Millisecond)
	late := sp.End(vi.at)
	require.InDelta(t, 30, late.Seconds()*1000, 2, "the overdue timer counts")
	vi.fireOverdue()

	sp = ti.Begin(vi.at)
	vi.stall(30 * time.Millisecond)
	vi.fireOverdue()
	vi.advance(5 * time.Millisecond)
	late = sp.End(vi.at)
	require.InDelta(t, 30, late.Seconds()*1000, 2, "an earlier stall counts")
}

// Guards against periodic wake-ups in a process without calls.
func TestIdleWithoutSpans(t *testing.T) {
	vi, ti := newTestTicker()
	ti.Begin(vi.at).End(vi.at)
	vi.advance(10 * time.Millisecond)
	require.Nil(t, vi.timer)
	vi.advance(time.Hour)
	sp := ti.Begin(vi.at)
	require.NotNil(t, vi.timer)
	require.Zero(t, sp.End(vi.at), "idle time is not a delay")
}

// Compares the delays of overlapping spans with the stalls within them.
func TestSpansMatchNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vi, ti := newTestTicker()
		type openSpan struct {
			span   *Span
			since  time.Time
			late   time.Duration
			stalls int
		}
		var spans []*openSpan
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			dd := time.Duration(rapid.IntRange(1, 40).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				spans = append(spans, &openSpan{span: ti.Begin(vi.at), since: vi.at})
			case 1:
				vi.advance(dd)
			case 2:
				vi.stall(dd)
				for _, op := range spans {
					op.late += dd
					op.stalls++
				}
				vi.fireOverdue()
			default:
				if len(spans) == 0 {
					continue
				}
				op := spans[0]
				spans = spans[1:]
				late := op.span.End(vi.at)
				require.LessOrEqual(rt, late, vi.at.Sub(op.since))
				// Each stall can be undercounted by one interval and the tolerance.
				slack := time.Duration(op.stalls) * (interval + tolerance)
				require.GreaterOrEqual(rt, late, op.late-slack)
				require.LessOrEqual(rt, late, op.late)
			}
		}
	})
}
