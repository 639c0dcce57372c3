package carrier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A nested request inherits what is known of the request that it is made for.
func TestCallsOfARun(t *testing.T) {
	ga := openGate()
	rq := requestFor("a")
	rq.repeat, rq.returning = true, true
	_, ok := ga.countCall(rq.id)
	assert.False(t, ok, "the target does not work on it yet")
	ru := ga.beginRun(rq, 100*time.Millisecond)
	parent, ok := ga.countCall(rq.id)
	assert.True(t, ok)
	assert.True(t, parent.repeat)
	assert.True(t, parent.returning)
	assert.Equal(t, 1, ga.endRun(rq, ru, true))
	_, ok = ga.countCall(rq.id)
	assert.False(t, ok)
}

// A run that outlives its target does not count for the replacement.
func TestRunOfReplacedTarget(t *testing.T) {
	ga := openGate()
	rq := requestFor("a")
	ru := ga.beginRun(rq, time.Millisecond)
	ga.Heartbeat(heartbeat("b", 3))
	time.Sleep(20 * time.Millisecond)
	target, re := ga.degradedLoad()
	assert.Empty(t, target)
	assert.Nil(t, re)
	ga.endRun(rq, ru, true)
	assert.InDelta(t, 1, ga.load().Slowness, 0.01)
}

// A target that holds requests beyond their usual processing time is reported
// before it has responded to any.
func TestDegradedLoadBeforeResponse(t *testing.T) {
	ga := openGate()
	now := time.Now()
	ga.now = func() time.Time { return now }
	for _, id := range []string{"1", "2"} {
		rq := requestFor("a")
		rq.id = id
		ga.beginRun(rq, 100*time.Millisecond)
	}
	target, _ := ga.degradedLoad()
	assert.Empty(t, target)
	now = now.Add(time.Second)
	target, re := ga.degradedLoad()
	assert.Equal(t, "a", target)
	assert.Greater(t, re.Slowness, 2.0)
}
