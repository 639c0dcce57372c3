package elector

import (
	"flag"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavastall/guavastall/pkg/checker"
)

// init fixes the seed of the randomised tests; -rapid.seed on the command line
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func node(nn int) checker.NodeID {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(nn >> 16), byte(nn >> 8), byte(nn)}), 7000)
}

func nodes(count int) []checker.NodeID {
	var list []checker.NodeID
	for ii := range count {
		list = append(list, node(ii))
	}
	return list
}

// Guards against owners that depend on the order of the members, and against the
// loss of a node moving keys that it did not own.
func TestOwnersMoveMinimally(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := nodes(rapid.IntRange(1, 30).Draw(rt, "nodes"))
		key := rapid.String().Draw(rt, "key")
		count := rapid.IntRange(1, 5).Draw(rt, "count")
		before := Owners(key, all, count)
		require.Len(rt, before, min(count, len(all)))
		require.Equal(rt, before[0], Owner(key, all))
		shuffled := rapid.Permutation(all).Draw(rt, "order")
		require.Equal(rt, before, Owners(key, append(shuffled, shuffled[0]), count))

		lost := rapid.SampledFrom(all).Draw(rt, "lost")
		rest := slices.DeleteFunc(slices.Clone(all), func(no checker.NodeID) bool { return no == lost })
		kept := slices.DeleteFunc(slices.Clone(before), func(no checker.NodeID) bool { return no == lost })
		require.Subset(rt, Owners(key, rest, count), kept)
	})
	require.Zero(t, Owner("key", nil))
	require.Empty(t, Owners("key", nil, 2))
}

// Guards against an uneven distribution of the keys over the nodes.
func TestOwnersAreBalanced(t *testing.T) {
	owned := map[checker.NodeID]int{}
	all := nodes(10)
	const keys = 10_000
	for ii := range keys {
		owned[Owner("key"+string(rune(ii)), all)]++
	}
	for _, no := range all {
		// Five standard deviations of a binomial with 10,000 draws at 0.1.
		require.InDelta(t, keys/len(all), owned[no], 150)
	}
}

func BenchmarkOwner(b *testing.B) {
	all := nodes(11)
	b.ReportAllocs()
	for b.Loop() {
		Owner("a key of a caller", all)
	}
}
