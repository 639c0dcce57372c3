// Package sleeper provides a sleep that a context can interrupt.
package sleeper

import (
	"context"
	"time"
)

// Sleep pauses until the duration has elapsed or the context is done, and reports
// whether the context is still active. It returns at once for a duration of zero
// or less.
func Sleep(ctx context.Context, du time.Duration) bool {
	if du <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(du)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
