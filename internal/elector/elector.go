// Package elector chooses owners among nodes by rendezvous hashing and decides
// when a node reads the platform's log.
//
// Nodes with the same members choose the same owners without talking to each
// other, and the loss of one node moves only the keys it owned. Nodes whose
// members differ may choose different owners for a while, so an owner saves
// work but never guards correctness.
package elector

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Owner returns the node that owns the key, or the zero NodeID if there are no
// nodes. The order of the nodes does not matter.
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

// Owners returns the first n owners of the key, the best first. It returns
// fewer if there are fewer distinct nodes.
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

// ranked is a node with its weight for a key.
type ranked struct {
	node  checker.NodeID
	score uint64
}

// insert adds a node to the best ones, whose number the capacity bounds.
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

// score returns the weight of a node for a hashed key.
func score(seed uint64, no checker.NodeID) uint64 {
	var buf [8 + 16 + 2]byte
	binary.BigEndian.PutUint64(buf[:], seed)
	addr := no.Addr().As16()
	copy(buf[8:], addr[:])
	binary.BigEndian.PutUint16(buf[24:], no.Port())
	return xxhash.Sum64(buf[:])
}
