package connlimiter

import (
	"golang.org/x/sys/unix"
)

const (
	// reservedDescriptors are kept for files. Connections that the process opens use
	// what the shares of its servers leave.
	reservedDescriptors = 200
	// connBytes is the memory of an open connection: stack, buffers and bookkeeping.
	connBytes = 20 << 10
	// minConns is the least number of connections of a server.
	minConns = 16
	// headMemoryFraction is the fraction of the process's memory that the unfinished
	// heads of one server may take.
	headMemoryFraction = 1. / 16
	// defaultMemory is used if the memory of the process is unknown.
	defaultMemory = 512 << 20
)

// Budget holds the descriptors and the bytes of memory that a process may use.
type Budget struct {
	Descriptors int
	Memory      int64
}

// NewBudget returns the budget of a process with these settings, in which zero means
// unknown. The descriptors are also bounded by RLIMIT_NOFILE.
func NewBudget(descriptors int, memory int64) Budget {
	bu := Budget{Descriptors: descriptors, Memory: memory}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
		allowed := int(min(limit.Cur, 1<<30))
		if descriptors <= 0 || allowed < descriptors {
			bu.Descriptors = allowed
		}
	}
	if memory <= 0 {
		bu.Memory = defaultMemory
	}
	return bu
}

// Conns returns the connections of a server with a share of the descriptors and of the
// memory.
func (bu Budget) Conns(share float64) int {
	descriptors := share * float64(bu.Descriptors-reservedDescriptors)
	memory := share * float64(bu.Memory) / connBytes
	return max(minConns, int(min(descriptors, memory)))
}

// HeadMemory returns the memory in bytes for the unfinished heads of a server.
func (bu Budget) HeadMemory() int64 {
	return int64(headMemoryFraction * float64(bu.Memory))
}
