package sleeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		assert.True(t, Sleep(t.Context(), time.Minute))
		assert.Equal(t, time.Minute, time.Since(began))
		assert.True(t, Sleep(t.Context(), -time.Minute))

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began = time.Now()
		assert.False(t, Sleep(ctx, time.Minute))
		assert.Equal(t, time.Second, time.Since(began))
		assert.False(t, Sleep(ctx, 0), "the context is done")
	})
}
