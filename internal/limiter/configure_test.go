package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against new limits that apply only to nodes started afterwards, and
// against a profile change that resets the limit of a warm target.
func TestConfigure(t *testing.T) {
	now := time.Unix(1000, 0)
	li := New(Config{Slots: 20, Initial: 1})
	li.Configure(Config{Slots: 20, Initial: 4, QueueTime: time.Second})
	require.Equal(t, 4, li.Limit())
	_, waits := li.Enqueue(time.Second, now)
	require.True(t, waits)
	li.Dequeue(now)

	li.limit = 10
	li.Configure(Config{Slots: 20, Initial: 2})
	require.Equal(t, 10, li.Limit())
	for range 10 {
		require.True(t, li.TryAcquire(now))
	}
	li.Configure(Config{Slots: 20, Initial: 2, Max: 5})
	require.Equal(t, 5, li.Limit())
	require.False(t, li.TryAcquire(now))
	for range 6 {
		li.Release(Result{Latency: time.Millisecond}, now)
	}
	require.True(t, li.TryAcquire(now))
}
