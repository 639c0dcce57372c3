package meshrunner

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// readerCount is the number of nodes of a data centre that may read the store
	// for the others: the first one, and two that stand in when the store does
	// not respond to those before.
	readerCount = 3
	// readerBackoff is how long a reader that could not help is not asked again.
	readerBackoff = 700 * time.Millisecond
	// storeBackoff is the mean time between two reads of an unresponsive store by
	// a node that is not a reader. With its jitter it is below the three seconds
	// after which a node to which the store responds again must be up to date.
	storeBackoff = 1600 * time.Millisecond
	// storeBackoffJitter is the jitter of these reads, as a fraction of
	// storeBackoff.
	storeBackoffJitter = 0.5
)

// sourceSelector decides where a node reads a topic: at one of its data centre's
// readers, or at the store. If a reader cannot help, the other nodes turn to the
// next reader instead of all turning to the store. While the store responds to no
// node, the number of calls to it does not grow with the number of nodes. A
// sourceSelector is safe for concurrent use.
type sourceSelector struct {
	mu sync.Mutex
	// readerRetryAt is the time until which a reader that could not help is not
	// asked.
	readerRetryAt map[netip.AddrPort]time.Time
	// storeRetryAt is the time until which a node that is not a reader does not
	// call the store.
	storeRetryAt time.Time
}

func newSourceSelector() *sourceSelector {
	return &sourceSelector{readerRetryAt: map[netip.AddrPort]time.Time{}}
}

// candidates returns the nodes to ask one after the other: the ranked readers
// that may be asked now, up to self, which stands for the store. The result is
// empty if no node is to be asked now.
func (ss *sourceSelector) candidates(
	ranked []netip.AddrPort, self netip.AddrPort, now time.Time,
) []netip.AddrPort {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	maps.DeleteFunc(ss.readerRetryAt, func(reader netip.AddrPort, _ time.Time) bool {
		return !slices.Contains(ranked, reader)
	})
	var nodes []netip.AddrPort
	for _, reader := range ranked {
		if reader == self {
			return append(nodes, self)
		}
		if !now.Before(ss.readerRetryAt[reader]) {
			nodes = append(nodes, reader)
		}
	}
	if !now.Before(ss.storeRetryAt) {
		nodes = append(nodes, self)
	}
	return nodes
}

// recordFailure records that a reader could not help. It reports whether the
// reader was working before.
func (ss *sourceSelector) recordFailure(reader netip.AddrPort, now time.Time) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	_, before := ss.readerRetryAt[reader]
	ss.readerRetryAt[reader] = now.Add(readerBackoff)
	return !before
}

// recordSuccess records that a reader helped. It reports whether the reader had
// failed before.
func (ss *sourceSelector) recordSuccess(reader netip.AddrPort) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	_, before := ss.readerRetryAt[reader]
	delete(ss.readerRetryAt, reader)
	return before
}

// recordStoreCall records the outcome of a call to the store. jitter must be
// between 0 and 1.
func (ss *sourceSelector) recordStoreCall(ok bool, jitter float64, now time.Time) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ok {
		ss.storeRetryAt = time.Time{}
		return
	}
	factor := 1 + storeBackoffJitter*(2*jitter-1)
	ss.storeRetryAt = now.Add(time.Duration(factor * float64(storeBackoff)))
}
