package meshrunner

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// nodesOf returns the addresses of a data centre's nodes.
func nodesOf(count int) []netip.AddrPort {
	var nodes []netip.AddrPort
	for nn := range count {
		addr := netip.AddrFrom4([4]byte{10, 0, 0, byte(nn + 1)})
		nodes = append(nodes, netip.AddrPortFrom(addr, 8080))
	}
	return nodes
}

// simulateOutage simulates a data centre whose nodes ask again every second while
// the store responds to only some of them. It returns the number of calls to the
// store and the longest time for which a node that the store responds to had no
// update.
func simulateOutage(
	count int, reachesStore func(node int) bool,
) (calls int, longest time.Duration) {
	const period, length = time.Second, 20 * time.Second
	rd := rand.New(rand.NewPCG(1, 2))
	nodes := nodesOf(count)
	selectors := make([]*sourceSelector, count)
	for nn := range selectors {
		selectors[nn] = newSourceSelector()
	}
	start := time.Unix(1_000, 0)
	lastRead := make([]time.Time, count)
	lastUpdate := make([]time.Time, count)
	for nn := range lastUpdate {
		lastRead[nn], lastUpdate[nn] = start.Add(-time.Hour), start
	}
	for now := start; now.Before(start.Add(length)); now = now.Add(period) {
		for nn, self := range nodes {
			for _, node := range selectors[nn].candidates(nodes[:readerCount], self, now) {
				if node == self {
					calls++
					selectors[nn].recordStoreCall(reachesStore(nn), rd.Float64(), now)
					if reachesStore(nn) {
						lastRead[nn], lastUpdate[nn] = now, now
					}
					break
				}
				if now.Sub(lastRead[slices.Index(nodes, node)]) <= maxStoreReadAge {
					lastUpdate[nn] = now
					break
				}
				selectors[nn].recordFailure(node, now)
			}
			if reachesStore(nn) {
				longest = max(longest, now.Sub(lastUpdate[nn]))
			}
		}
	}
	return calls, longest
}

// While the store responds to no node, most nodes do not call it.
func TestOutageCalls(t *testing.T) {
	nobody := func(int) bool { return false }
	few, _ := simulateOutage(4, nobody)
	many, _ := simulateOutage(16, nobody)
	assert.Less(t, many, 16*20*3/4, "every node asks each second otherwise")
	assert.Less(t, many, 4*few)
}

// If the store does not respond to the first reader, only that reader and the
// second one call the store, not every node of the data centre.
func TestFirstReaderCutOff(t *testing.T) {
	first := func(node int) bool { return node != 0 }
	calls, longest := simulateOutage(16, first)
	assert.Less(t, calls, 3*20)
	assert.LessOrEqual(t, longest, time.Second)
}

// Nodes that the store responds to stay up to date, even if it responds to
// neither of the first two readers.
func TestTwoReadersCutOff(t *testing.T) {
	_, longest := simulateOutage(8, func(node int) bool { return node > 1 })
	assert.Zero(t, longest)
}

// A node calls the store again early enough to be up to date three seconds after
// the store responds to it again.
func TestStoreAskedAgainInTime(t *testing.T) {
	const bound = 3 * time.Second
	assert.Less(t, storeBackoff+time.Duration(storeBackoffJitter*float64(storeBackoff)), bound)
}

// A reader that cannot help is reported as lost once and as regained once,
// however often it is asked, and is forgotten when it is no longer ranked.
func TestReaderLostAndRegained(t *testing.T) {
	ss, now := newSourceSelector(), time.Unix(1_000, 0)
	nodes := nodesOf(3)
	assert.False(t, ss.recordSuccess(nodes[0]))
	assert.True(t, ss.recordFailure(nodes[0], now))
	now = now.Add(readerBackoff)
	assert.Equal(t, nodes[0], ss.candidates(nodes, nodes[2], now)[0])
	assert.False(t, ss.recordFailure(nodes[0], now))
	assert.True(t, ss.recordSuccess(nodes[0]))
	assert.False(t, ss.recordSuccess(nodes[0]))

	ss.recordFailure(nodes[1], now)
	ss.candidates(nodes[2:], nodes[2], now)
	assert.Empty(t, ss.readerRetryAt)
}
