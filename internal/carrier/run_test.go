package carrier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A call takes over what is known of the request that it is made for.
func TestCallsOfARun(t *testing.T) {
	ga := openGate()
	rq := requestFor("a")
	rq.repeat, rq.returning = true, true
	_, ok := ga.callOf(rq.id)
	assert.False(t, ok, "the target does not work on it yet")
	ru := ga.begin(rq, 100*time.Millisecond)
	parent, ok := ga.callOf(rq.id)
	assert.True(t, ok)
	assert.True(t, parent.repeat)
	assert.True(t, parent.returning)
	assert.Equal(t, 1, ga.end(rq, ru, true))
	_, ok = ga.callOf(rq.id)
	assert.False(t, ok)
}

// A run that outlives its target does not count for the one in its place.
func TestRunOfReplacedTarget(t *testing.T) {
	ga := openGate()
	rq := requestFor("a")
	ru := ga.begin(rq, time.Millisecond)
	ga.Heartbeat(heartbeat("b", 3))
	time.Sleep(20 * time.Millisecond)
	target, re := ga.trouble()
	assert.Empty(t, target)
	assert.Nil(t, re)
	ga.end(rq, ru, true)
	assert.InDelta(t, 1, ga.load().Slowness, 0.01)
}

// A target that keeps requests beyond their usual time is told of before it has
// answered one.
func TestTroubleBeforeAResponse(t *testing.T) {
	ga := openGate()
	now := time.Now()
	ga.now = func() time.Time { return now }
	for _, id := range []string{"1", "2"} {
		rq := requestFor("a")
		rq.id = id
		ga.begin(rq, 100*time.Millisecond)
	}
	target, _ := ga.trouble()
	assert.Empty(t, target)
	now = now.Add(time.Second)
	target, re := ga.trouble()
	assert.Equal(t, "a", target)
	assert.Greater(t, re.Slowness, 2.0)
}
