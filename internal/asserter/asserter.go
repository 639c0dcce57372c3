// Package asserter checks invariants while the program runs.
//
// A violated invariant is counted and handed to the handler, which a node sets
// to log it. Tests read [Violations] at their end, or set a handler that fails.
package asserter

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Violation is a broken invariant.
type Violation struct {
	// Invariant names the invariant, as in docs/invariants.md.
	Invariant string
	// Detail says what was seen.
	Detail string
}

var (
	mu      sync.Mutex
	handler func(Violation)
	count   atomic.Int64
)

// SetHandler sets the function called for each violation; nil removes it.
// The handler may be called from several goroutines.
func SetHandler(hd func(Violation)) {
	mu.Lock()
	defer mu.Unlock()
	handler = hd
}

// Violations returns the number of violations since the program started.
func Violations() int64 {
	return count.Load()
}

// That reports a violation of the invariant unless ok holds. It returns ok, so
// that the caller can refuse the step that would break the invariant.
func That(ok bool, invariant, format string, args ...any) bool {
	if ok {
		return true
	}
	count.Add(1)
	mu.Lock()
	hd := handler
	mu.Unlock()
	if hd != nil {
		hd(Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
	}
	return false
}
