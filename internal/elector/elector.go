// Package elector assigns keys to nodes by rendezvous hashing and decides when a
// node reads the platform's log.
//
// Nodes with the same member list choose the same owners without communication, and
// the loss of a node moves only the keys that it owned. Nodes whose member lists
// differ may temporarily choose different owners. Ownership therefore avoids
// duplicate work, but correctness must not depend on it.
package elector

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Owner returns the node that owns the key, or the zero NodeID if nodes is empty.
// The order of the nodes does not matter.
func Owner(key string, nodes []checker.NodeID) checker.NodeID {
	var best checker.NodeID
	var highest uint64
	seed := xxhash.Sum64String(key)
	for ii, no := range nodes {
		sc := score(seed, no)
		if ii == 0 || sc > highest || sc == highest && no.Compare(best) < 0 {
			best, highest = no, sc
		}
	}
	return best
}

// Owners returns the n nodes that rank highest for the key, in descending order. It
// returns fewer if there are fewer distinct nodes.
func Owners(key string, nodes []checker.NodeID, n int) []checker.NodeID {
	if n <= 0 || len(nodes) == 0 {
		return nil
	}
	seed := xxhash.Sum64String(key)
	best := make([]ranked, 0, min(n, len(nodes)))
	for _, no := range nodes {
		best = insert(best, ranked{no, score(seed, no)})
	}
	owners := make([]checker.NodeID, 0, len(best))
	for _, rk := range best {
		owners = append(owners, rk.node)
	}
	return owners
}

// ranked is a node with its score for a key.
type ranked struct {
	node  checker.NodeID
	score uint64
}

// insert adds a node to best, which is sorted by descending score and truncated to
// its capacity.
func insert(best []ranked, rk ranked) []ranked {
	at, known := slices.BinarySearchFunc(best, rk, func(aa, bb ranked) int {
		return cmp.Or(cmp.Compare(bb.score, aa.score), aa.node.Compare(bb.node))
	})
	if known || at == cap(best) {
		return best
	}
	if len(best) == cap(best) {
		best = best[:len(best)-1]
	}
	return slices.Insert(best, at, rk)
}

// score returns the rendezvous hash of a node and a hashed key.
func score(seed uint64, no checker.NodeID) uint64 {
	var buf [8 + 16 + 2]byte
	binary.BigEndian.PutUint64(buf[:], seed)
	addr := no.Addr().As16()
	copy(buf[8:], addr[:])
	binary.BigEndian.PutUint16(buf[24:], no.Port())
	return xxhash.Sum64(buf[:])
}
