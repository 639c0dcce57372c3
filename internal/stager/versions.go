package stager

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Versions says which versions of a service get requests.
type Versions struct {
	// Base gets all but Share of the requests; empty means every version that is
	// not Excluded.
	Base string
	// Next gets Share of the requests; empty if there is none.
	Next  string
	Share float64
	// Strict says that requests for one version do not fall back to the other.
	Strict   bool
	Excluded string
}

// Select returns the versions of a service from its newest order and move,
// either of which may be nil. The counts are the usable targets by version: the
// one that most have is the base where no rollout says otherwise, so that
// targets of a version which nobody ordered yet get nothing.
func Select(or *Order, mo *Move, counts map[string]int) Versions {
	current := mo != nil && (or == nil || mo.Order >= or.Number)
	switch {
	case current && mo.State == Active:
		return Versions{
			Base: mo.Base, Next: mo.Version, Share: mo.Share(), Strict: mo.Full(),
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
		base = majority(counts, or)
	}
	ve := Versions{Base: base}
	if or != nil {
		ve.Excluded = or.Version
	}
	return ve
}

// Canaries returns the targets of the new version that share its requests, from
// the IDs of all of them. While the share is small they are so few that each
// bears the load that it will bear in the end: a version that fails under load
// shows it before it has all requests. Every node chooses the same ones.
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

// canaryLoad is below one so that canaries bear a little more than in the end.
const canaryLoad = 0.9

// majority returns the version that most targets have, but for the one that an
// order asks for; the smaller name of two.
func majority(counts map[string]int, or *Order) string {
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

// Allows reports whether targets of the version may get requests at all.
func (ve *Versions) Allows(version string) bool {
	switch {
	case version == ve.Excluded && version != "":
		return false
	case ve.Next != "" && version == ve.Next:
		return ve.Share > 0
	case ve.Strict:
		return false
	}
	return ve.Base == "" || version == ve.Base
}
