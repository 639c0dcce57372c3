// Package sleeper waits for a time that a context can cut short.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for the time or the end of the context and reports whether the
// context is still open. A time of zero or less is no wait.
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
