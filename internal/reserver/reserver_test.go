package reserver

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against holders that together take more than there is, and against memory that
// a failed Take keeps.
func TestMemoryIsBounded(t *testing.T) {
	me := New(10)
	assert.True(t, me.Take(10))
	assert.False(t, me.Take(1))
	me.Release(4)
	assert.False(t, me.Take(5))
	assert.True(t, me.Take(4))
	me.Release(10)
	assert.Zero(t, me.Used())

	var group sync.WaitGroup
	for range 100 {
		group.Go(func() {
			if me.Take(3) {
				assert.LessOrEqual(t, me.Used(), int64(10+99*3))
				me.Release(3)
			}
		})
	}
	group.Wait()
	assert.Zero(t, me.Used())
}
