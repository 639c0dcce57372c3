package aggregator

import (
	"maps"
	"slices"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// View holds the newest summary of each data centre as one node has heard it.
// The zero value is ready to use.
type View struct {
	heard map[checker.DataCentre]heard
}

type heard struct {
	Summary
	epoch uint64
	at    time.Time
}

// Hear takes in a summary with its epoch. It keeps the time at which it first
// heard the epoch, because the wall clocks of nodes may differ.
func (vi *View) Hear(su Summary, epoch uint64, now time.Time) {
	if known, ok := vi.heard[su.DataCentre]; ok && known.epoch >= epoch {
		return
	}
	if vi.heard == nil {
		vi.heard = map[checker.DataCentre]heard{}
	}
	vi.heard[su.DataCentre] = heard{Summary: su, epoch: epoch, at: now}
}

// Summaries returns the summaries ordered by data centre.
func (vi *View) Summaries() []Summary {
	list := make([]Summary, 0, len(vi.heard))
	for _, dc := range slices.Sorted(maps.Keys(vi.heard)) {
		list = append(list, vi.heard[dc].Summary)
	}
	return list
}

// Answer says whether a revision is in effect everywhere.
type Answer struct {
	// InEffect says that every node that runs has applied the revision, or a
	// later one, according to a fresh summary of every data centre.
	InEffect bool
	// Behind lists nodes that have not applied the revision, BehindCount
	// counts those beyond the list too.
	Behind      []Applied
	BehindCount int
	// Lacking lists the data centres in which no node has applied the revision.
	Lacking []checker.DataCentre
	// Silent lists nodes that run but have not reported.
	Silent []checker.NodeID
	// Dead lists nodes taken for dead in a data centre with a fresh summary.
	// They do not stand against InEffect: they serve nothing, and ask for the
	// newest revision before they serve again.
	Dead []checker.NodeID
	// Unknown lists the data centres without a fresh summary.
	Unknown []checker.DataCentre
	// AsOf is when the oldest summary used was heard.
	AsOf time.Time
}

// InEffect answers whether the revision is in effect in the data centres.
// A summary is fresh if it was heard within maxAge.
func (vi *View) InEffect(
	re checker.Revision, dcs []checker.DataCentre, maxAge time.Duration, now time.Time,
) Answer {
	an := Answer{AsOf: now}
	for _, dc := range dcs {
		su, ok := vi.heard[dc]
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
			// All listed ones are behind, so the ones beyond the list may be.
			listed = su.BehindCount
		}
		an.BehindCount += listed
	}
}
