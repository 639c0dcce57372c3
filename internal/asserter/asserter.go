// Package asserter checks invariants at run time.
//
// A violation is counted and passed to the handler. A node sets a handler that
// logs it. Tests check [Violations] when they end, or set a handler that fails.
package asserter

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Violation describes a violated invariant.
type Violation struct {
	// Invariant names the invariant, as in docs/invariants.md.
	Invariant string
	// Detail describes the violation.
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

// That reports a violation of the invariant if ok is false. It returns ok, so that
// the caller can skip the operation that would violate the invariant.
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
