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

// outage plays a data centre whose nodes ask again every second while the store
// answers only some of them. It returns the calls to the store and the longest
// time for which a node that the store answers had no news.
func outage(count int, served func(node int) bool) (calls int, longest time.Duration) {
	const period, length = time.Second, 20 * time.Second
	rd := rand.New(rand.NewPCG(1, 2))
	nodes := nodesOf(count)
	sources := make([]*sourcing, count)
	for nn := range sources {
		sources[nn] = newSourcing()
	}
	start := time.Unix(1_000, 0)
	lastRead := make([]time.Time, count)
	lastNews := make([]time.Time, count)
	for nn := range lastNews {
		lastRead[nn], lastNews[nn] = start.Add(-time.Hour), start
	}
	for now := start; now.Before(start.Add(length)); now = now.Add(period) {
		for nn, self := range nodes {
			for _, node := range sources[nn].order(nodes[:readerCount], self, now) {
				if node == self {
					calls++
					sources[nn].called(served(nn), rd.Float64(), now)
					if served(nn) {
						lastRead[nn], lastNews[nn] = now, now
					}
					break
				}
				if now.Sub(lastRead[slices.Index(nodes, node)]) <= overdueTime {
					lastNews[nn] = now
					break
				}
				sources[nn].failed(node, now)
			}
			if served(nn) {
				longest = max(longest, now.Sub(lastNews[nn]))
			}
		}
	}
	return calls, longest
}

// While the store answers nobody, most nodes leave it alone.
func TestOutageCalls(t *testing.T) {
	nobody := func(int) bool { return false }
	few, _ := outage(4, nobody)
	many, _ := outage(16, nobody)
	assert.Less(t, many, 16*20*3/4, "every node asks each second otherwise")
	assert.Less(t, many, 4*few)
}

// A first reader that the store turns away costs its own calls and those of the
// second one, not those of the data centre.
func TestReaderTurnedAway(t *testing.T) {
	first := func(node int) bool { return node != 0 }
	calls, longest := outage(16, first)
	assert.Less(t, calls, 3*20)
	assert.LessOrEqual(t, longest, time.Second)
}

// Nodes that the store answers have the news although both readers are turned
// away.
func TestBothReadersTurnedAway(t *testing.T) {
	_, longest := outage(8, func(node int) bool { return node > 1 })
	assert.Zero(t, longest)
}

// A node asks the store again in time to know the news three seconds after the
// store answers it again.
func TestStoreAskedAgainInTime(t *testing.T) {
	const inTouch = 3 * time.Second
	assert.Less(t, storeRest+time.Duration(storeRestSpread*float64(storeRest)), inTouch)
}

// A reader that cannot help is lost once and regained once, however often it is
// asked, and is forgotten when it no longer ranks.
func TestReaderLostAndRegained(t *testing.T) {
	so, now := newSourcing(), time.Unix(1_000, 0)
	nodes := nodesOf(3)
	assert.False(t, so.helped(nodes[0]))
	assert.True(t, so.failed(nodes[0], now))
	now = now.Add(readerRest)
	assert.Equal(t, nodes[0], so.order(nodes, nodes[2], now)[0])
	assert.False(t, so.failed(nodes[0], now))
	assert.True(t, so.helped(nodes[0]))
	assert.False(t, so.helped(nodes[0]))

	so.failed(nodes[1], now)
	so.order(nodes[2:], nodes[2], now)
	assert.Empty(t, so.rests)
}
