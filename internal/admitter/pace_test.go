package admitter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// simulateSlowness simulates a target of 18 slots that gets 20 requests per second,
// each of which takes the expected time multiplied by the factor. It returns the
// slowness and the number of running requests at the end.
func simulateSlowness(factor float64, duration time.Duration) (slowness float64, running int) {
	const expected, gap = 280 * time.Millisecond, 50 * time.Millisecond
	var sm SlownessMeter
	var ends []time.Time
	took := time.Duration(factor * float64(expected))
	now := epoch
	for ; now.Before(epoch.Add(duration)); now = now.Add(gap) {
		for len(ends) > 0 && !ends[0].After(now) {
			sm.End(expected, true, ends[0].Add(-took), ends[0])
			ends = ends[1:]
		}
		if len(ends) < 18 {
			sm.Begin(expected, now)
			ends = append(ends, now.Add(took))
		}
	}
	return sm.Slowness(now), len(ends)
}

// A target that becomes twelve times slower is detected before its first response
// and before more than 10 of its 18 slots are in use.
func TestSlownessShowsSlowTargetEarly(t *testing.T) {
	slowness, running := simulateSlowness(12, 500*time.Millisecond)
	assert.Greater(t, slowness, 2.0)
	assert.LessOrEqual(t, running, 10)
}

func TestSlownessFollowsSpeed(t *testing.T) {
	for _, factor := range []float64{0.5, 1, 2} {
		slowness, _ := simulateSlowness(factor, 10*time.Second)
		assert.InDelta(t, factor, slowness, 0.25*factor, "factor %v", factor)
	}
}

// slownessAfterFailures returns the slowness after 100 requests at the given
// period. Each is expected to take 100 ms and ends earlier without a successful
// response.
func slownessAfterFailures(periodMs int, took time.Duration) float64 {
	var sm SlownessMeter
	for nn := range 100 {
		now := at(periodMs * nn)
		sm.Begin(100*time.Millisecond, now)
		sm.End(100*time.Millisecond, false, now, now.Add(took))
	}
	return sm.Slowness(at(periodMs * 100))
}

// Immediate failures make a target neither fast nor slow.
func TestSlownessOfFailures(t *testing.T) {
	assert.InDelta(t, 1, slownessAfterFailures(10, 5*time.Millisecond), 0.1)
}

// A node that has just started does not know the expected time.
func TestSlownessOfUnknownWork(t *testing.T) {
	var sm SlownessMeter
	sm.Begin(0, epoch)
	assert.InDelta(t, 1, sm.Slowness(at(5000)), 0.01)
	sm.End(0, true, epoch, at(5000))
	assert.LessOrEqual(t, sm.Slowness(at(5000)), 1.0)
}

func TestSlownessRecovers(t *testing.T) {
	var sm SlownessMeter
	sm.Begin(100*time.Millisecond, epoch)
	assert.Greater(t, sm.Slowness(at(2000)), 3.0)
	sm.End(100*time.Millisecond, true, epoch, at(2000))
	assert.InDelta(t, 1, sm.Slowness(at(10_000)), 0.1)
}

// Clients that cancel their requests do not make a target look slow.
func TestSlownessOfWithdrawnRequests(t *testing.T) {
	assert.InDelta(t, 1, slownessAfterFailures(20, 15*time.Millisecond), 0.2)
}
