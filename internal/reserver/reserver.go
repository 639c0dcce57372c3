// Package reserver bounds the memory that requests which are in flight at the same time
// hold together, so that many of them, or a few large ones, don't end the process.
package reserver

import "sync/atomic"

// Memory is an amount of memory that holders share. It is safe for concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// New returns the memory of the given number of bytes.
func New(limit int64) *Memory { return &Memory{limit: limit} }

// Take takes memory and reports whether it was available.
func (me *Memory) Take(bytes int64) bool {
	if me.used.Add(bytes) > me.limit {
		me.used.Add(-bytes)
		return false
	}
	return true
}

// Release returns memory that was taken.
func (me *Memory) Release(bytes int64) { me.used.Add(-bytes) }

// Used returns the number of bytes that are taken.
func (me *Memory) Used() int64 { return me.used.Load() }
