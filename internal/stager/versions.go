package stager

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Versions describes which versions of a service receive requests.
type Versions struct {
	// Base receives all requests except Share; empty means every version that is not
	// Excluded.
	Base string
	// Next receives Share of the requests; empty if there is no new version.
	Next  string
	Share float64
	// NoFallback means that requests for one version do not fall back to the other.
	NoFallback bool
	// Excluded receives no requests; empty if there is no such version.
	Excluded string
}

// Select returns the versions of a service, given its newest order and move, either
// of which may be nil, and the number of usable targets by version. Unless a rollout
// determines the base version, it is the most common one, so that targets of a
// version without an order yet receive no requests.
func Select(or *Order, mo *Move, counts map[string]int) Versions {
	current := mo != nil && (or == nil || mo.Order >= or.Number)
	switch {
	case current && mo.State == Active:
		return Versions{
			Base: mo.Base, Next: mo.Version, Share: mo.Share(), NoFallback: mo.Full(),
		}
	case current && mo.State == Complete:
		if counts[mo.Version] > 0 {
			return Versions{Base: mo.Version}
		}
		return Versions{}
	case current:
		return Versions{Base: mo.Base, Excluded: mo.Version}
	}
	base := ""
	if mo != nil {
		if base = mo.Base; mo.State == Complete {
			base = mo.Version
		}
	}
	if base == "" || counts[base] == 0 {
		base = mostCommon(counts, or)
	}
	ve := Versions{Base: base}
	if or != nil {
		ve.Excluded = or.Version
	}
	return ve
}

// Canaries returns the targets of the new version that receive its requests, given
// the IDs of all its targets. While the share is small, it selects so few of them
// that each has the load that it will have after the rollout. A version that fails
// under load is thereby detected before it receives all requests. All nodes select
// the same targets.
func Canaries(version string, share float64, ids []string) map[string]bool {
	count := len(ids)
	if share < 1 {
		count = max(int(share*canaryLoad*float64(len(ids))), 1)
	}
	ordered := slices.Clone(ids)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(version+"/"+a), xxhash.Sum64String(version+"/"+b)),
			cmp.Compare(a, b),
		)
	})
	chosen := make(map[string]bool, count)
	for _, id := range ordered[:min(count, len(ordered))] {
		chosen[id] = true
	}
	return chosen
}

// canaryLoad scales the number of canaries. It is below 1 so that each has slightly
// more load than after the rollout.
const canaryLoad = 0.9

// mostCommon returns the version with the most targets, except the ordered one. Of
// versions with equally many targets it returns the lexicographically smallest.
func mostCommon(counts map[string]int, or *Order) string {
	best := ""
	for version, count := range counts {
		if or != nil && version == or.Version {
			continue
		}
		if best == "" || count > counts[best] || count == counts[best] && version < best {
			best = version
		}
	}
	return best
}

// Allows reports whether targets of the version may receive requests.
func (ve *Versions) Allows(version string) bool {
	switch {
	case version == ve.Excluded && version != "":
		return false
	case ve.Next != "" && version == ve.Next:
		return ve.Share > 0
	case ve.NoFallback:
		return false
	}
	return ve.Base == "" || version == ve.Base
}
