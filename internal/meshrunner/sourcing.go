package meshrunner

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// readerCount is the number of nodes of a data centre that may read the store for
	// the others: the first, and two that stand in when the store does not answer
	// those before.
	readerCount = 3
	// readerRest is how long a reader that could not help is not asked again.
	readerRest = 700 * time.Millisecond
	// storeRest is the mean time between two reads of a store that does not answer
	// by a node that is no reader. With its spread it is below the three seconds
	// after which a node that the store answers again has to know the news.
	storeRest = 1600 * time.Millisecond
	// storeRestSpread spreads these reads, as a part of storeRest.
	storeRestSpread = 0.5
)

// sourcing decides where a node reads a topic: at one of its data centre's
// readers, or at the store. It answers two load patterns: a reader that cannot
// help leaves the others to the next one instead of all to the store, and while
// the store answers nobody the calls to it do not grow with the fleet. It is safe
// for concurrent use.
type sourcing struct {
	mu sync.Mutex
	// rests says until when a reader that could not help is not asked.
	rests map[netip.AddrPort]time.Time
	// storeRests is until when a node that is no reader leaves the store alone.
	storeRests time.Time
}

func newSourcing() *sourcing {
	return &sourcing{rests: map[netip.AddrPort]time.Time{}}
}

// order returns the nodes to ask one after the other: the ranked readers that do not
// rest, up to self, which stands for the store. It is empty if nobody is to be asked
// now.
func (so *sourcing) order(
	ranked []netip.AddrPort, self netip.AddrPort, now time.Time,
) []netip.AddrPort {
	so.mu.Lock()
	defer so.mu.Unlock()
	maps.DeleteFunc(so.rests, func(reader netip.AddrPort, _ time.Time) bool {
		return !slices.Contains(ranked, reader)
	})
	var nodes []netip.AddrPort
	for _, reader := range ranked {
		if reader == self {
			return append(nodes, self)
		}
		if !now.Before(so.rests[reader]) {
			nodes = append(nodes, reader)
		}
	}
	if !now.Before(so.storeRests) {
		nodes = append(nodes, self)
	}
	return nodes
}

// failed notes that a reader could not help and reports whether it could before.
func (so *sourcing) failed(reader netip.AddrPort, now time.Time) bool {
	so.mu.Lock()
	defer so.mu.Unlock()
	_, before := so.rests[reader]
	so.rests[reader] = now.Add(readerRest)
	return !before
}

// helped notes that a reader helped and reports whether it could not before.
func (so *sourcing) helped(reader netip.AddrPort) bool {
	so.mu.Lock()
	defer so.mu.Unlock()
	_, before := so.rests[reader]
	delete(so.rests, reader)
	return before
}

// called notes the outcome of a call to the store. The spread lies between 0 and 1.
func (so *sourcing) called(ok bool, spread float64, now time.Time) {
	so.mu.Lock()
	defer so.mu.Unlock()
	if ok {
		so.storeRests = time.Time{}
		return
	}
	factor := 1 + storeRestSpread*(2*spread-1)
	so.storeRests = now.Add(time.Duration(factor * float64(storeRest)))
}
