package relayer

import (
	"cmp"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavastall/guavastall/internal/reducer"
	"github.com/guavastall/guavastall/pkg/checker"
)

// factBuckets is the number of buckets by which two sets of facts are compared.
// With 32, repairing one lost fact transfers 256 bytes of hashes and about a
// thirtieth of the facts.
const factBuckets = 32

// factKey identifies the subject of a fact. Of two facts with the same key, one
// subsumes the other.
type factKey struct {
	kind       byte
	move       checker.MoveID
	dataCentre checker.DataCentre
}

func (fk factKey) compare(other factKey) int {
	return cmp.Or(cmp.Compare(fk.kind, other.kind), cmp.Compare(fk.move, other.move),
		cmp.Compare(fk.dataCentre, other.dataCentre))
}

// keyOf returns the key of a fact, and whether it has one. A fact of a kind that
// this build does not know has none.
func keyOf(fa reducer.Fact) (factKey, bool) {
	switch {
	case fa.TakeBack != nil:
		return factKey{kind: 't', move: fa.TakeBack.Move}, true
	case fa.Step != nil:
		return factKey{kind: 's', move: fa.Step.Move, dataCentre: fa.Step.DataCentre}, true
	case fa.Done != nil:
		return factKey{kind: 'd', move: fa.Done.Move}, true
	case fa.Mark != nil:
		return factKey{kind: 'm', dataCentre: fa.Mark.DataCentre}, true
	default:
		return factKey{}, false
	}
}

// subsumes reports whether joining other changes nothing in a set that holds fa.
// Both must have the same key.
func subsumes(fa, other reducer.Fact) bool {
	switch {
	case fa.TakeBack != nil:
		return fa.TakeBack.Reason <= other.TakeBack.Reason
	case fa.Step != nil:
		return fa.Step.Step >= other.Step.Step
	case fa.Mark != nil:
		return fa.Mark.Epoch > other.Mark.Epoch ||
			fa.Mark.Epoch == other.Mark.Epoch && (fa.Mark.Out || !other.Mark.Out)
	default:
		return true
	}
}

// addFacts joins facts and queues the new ones for every active peer except the
// sender. It reports whether any was new.
func (rl *Relayer) addFacts(from checker.NodeID, facts []reducer.Fact, now time.Time) bool {
	changed := false
	for _, fa := range facts[:min(len(facts), maxFacts)] {
		key, ok := keyOf(fa)
		if !ok {
			continue
		}
		if pe := rl.peers[from]; pe != nil {
			pe.removePending(key, fa)
		}
		next := rl.state.Join(fa)
		if next == rl.state {
			continue
		}
		rl.setState(next)
		changed = true
		for no, pe := range rl.peers {
			if no != from && pe.active(now, rl.config.Period) {
				pe.pending[key] = fa
			}
		}
	}
	return changed
}

// buckets returns the hash of the facts of each bucket.
func (rl *Relayer) buckets() []uint64 {
	ca := rl.cached()
	if ca.buckets == nil {
		ca.buckets = make([]uint64, factBuckets)
		for _, fa := range rl.state.Facts() {
			ca.buckets[bucketOf(fa)] ^= hashOf(fa)
		}
	}
	return ca.buckets
}

// differingFacts returns the facts of the buckets whose hash differs from that
// in the argument.
func (rl *Relayer) differingFacts(buckets []uint64) []reducer.Fact {
	if len(buckets) != factBuckets {
		return nil
	}
	var list []reducer.Fact
	own := rl.buckets()
	for _, fa := range rl.state.Facts() {
		if bu := bucketOf(fa); own[bu] != buckets[bu] && len(list) < maxFacts {
			list = append(list, fa)
		}
	}
	return list
}

func bucketOf(fa reducer.Fact) int {
	key, _ := keyOf(fa)
	hash := xxhash.Sum64String(string(key.dataCentre)) + uint64(key.move)*31 + uint64(key.kind)
	return int(hash * 0x9e3779b97f4a7c15 >> 32 % factBuckets)
}

func hashOf(fa reducer.Fact) uint64 {
	data, err := json.Marshal(fa)
	if err != nil {
		panic(err) // every field of the type can be encoded as JSON
	}
	return xxhash.Sum64(data)
}
