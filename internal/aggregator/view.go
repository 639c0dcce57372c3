package aggregator

import (
	"maps"
	"slices"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// View holds the newest summary of each data centre that one node has received.
// The zero value is ready to use.
type View struct {
	latest map[checker.DataCentre]received
}

type received struct {
	Summary
	epoch uint64
	at    time.Time
}

// Add stores a summary if its epoch is greater than the known one. Its age counts
// from now, when this node first receives the epoch, because the wall clocks of
// nodes may differ.
func (vi *View) Add(su Summary, epoch uint64, now time.Time) {
	if known, ok := vi.latest[su.DataCentre]; ok && known.epoch >= epoch {
		return
	}
	if vi.latest == nil {
		vi.latest = map[checker.DataCentre]received{}
	}
	vi.latest[su.DataCentre] = received{Summary: su, epoch: epoch, at: now}
}

// Summaries returns the summaries ordered by data centre.
func (vi *View) Summaries() []Summary {
	list := make([]Summary, 0, len(vi.latest))
	for _, dc := range slices.Sorted(maps.Keys(vi.latest)) {
		list = append(list, vi.latest[dc].Summary)
	}
	return list
}

// Answer states whether a revision is in effect in every data centre.
type Answer struct {
	// InEffect reports whether every node that is alive or suspect has applied
	// the revision or a later one, according to a fresh summary of every data
	// centre.
	InEffect bool
	// Behind lists nodes that have not applied the revision. BehindCount
	// includes the ones that the summaries have no room to list.
	Behind      []Applied
	BehindCount int
	// Lacking lists the data centres in which no node has applied the revision.
	Lacking []checker.DataCentre
	// Silent lists nodes that are alive or suspect and have not reported.
	Silent []checker.NodeID
	// Dead lists the dead nodes of data centres with a fresh summary. They do
	// not prevent InEffect: they serve nothing, and fetch the newest revision
	// before they serve again.
	Dead []checker.NodeID
	// Unknown lists the data centres without a fresh summary.
	Unknown []checker.DataCentre
	// AsOf is the time at which the oldest summary used was received.
	AsOf time.Time
}

// InEffect reports whether the revision is in effect in the data centres. A
// summary is fresh if it was received within maxAge.
func (vi *View) InEffect(
	re checker.Revision, dcs []checker.DataCentre, maxAge time.Duration, now time.Time,
) Answer {
	an := Answer{AsOf: now}
	for _, dc := range dcs {
		su, ok := vi.latest[dc]
		if !ok || now.Sub(su.at) > maxAge {
			an.Unknown = append(an.Unknown, dc)
			continue
		}
		if su.at.Before(an.AsOf) {
			an.AsOf = su.at
		}
		an.Silent = append(an.Silent, su.Silent...)
		an.Dead = append(an.Dead, su.Dead...)
		an.addBehind(su.Summary, re)
	}
	an.InEffect = len(dcs) > 0 && len(an.Unknown) == 0 && len(an.Silent) == 0 &&
		an.BehindCount == 0
	return an
}

func (an *Answer) addBehind(su Summary, re checker.Revision) {
	switch {
	case su.Minimum >= re:
	case su.Maximum < re:
		an.Lacking = append(an.Lacking, su.DataCentre)
		an.BehindCount += su.Nodes - su.SilentCount
		an.Behind = append(an.Behind, su.Behind...)
	default:
		listed := 0
		for _, ap := range su.Behind {
			if ap.Revision < re {
				listed++
				an.Behind = append(an.Behind, ap)
			}
		}
		if listed == len(su.Behind) {
			// All listed nodes are behind, so unlisted ones may be too.
			listed = su.BehindCount
		}
		an.BehindCount += listed
	}
}
