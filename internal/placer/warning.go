package placer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slowThreshold is the slowness from which nodes pass on a target's report.
	// Failures are not passed on: if a whole service fails, the targets of other data
	// centres, for which there are fewer reports, would look healthy.
	slowThreshold = 2.0
	// maxWarningAge is the age up to which a report is passed on.
	maxWarningAge = 2 * time.Second
	// maxWarnings bounds the number of reports in one response.
	maxWarnings = 4
)

// Warning is the report of a slow target, passed on by another node.
type Warning struct {
	Target string
	Report Report
	Age    time.Duration
}

// Warnings returns the newest reports of slow targets, to be passed on to another
// node. In a large data centre a node sends each target only one request every few
// seconds, so that on its own it would detect a slow target at the cost of a late
// request. The result is empty while no target is slow.
func (pl *Placer) Warnings(now time.Time) []Warning {
	var all []Warning
	for id := range pl.slowTargets {
		lo := pl.loads[id]
		age := now.Sub(lo.reportedAt)
		if age > maxWarningAge {
			delete(pl.slowTargets, id)
			continue
		}
		all = append(all, Warning{Target: id, Report: lo.report, Age: age})
	}
	slices.SortFunc(all, func(a, b Warning) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Target, b.Target))
	})
	return all[:min(len(all), maxWarnings)]
}

// Warn stores a report that another node passed on, unless a newer one or no such
// target is known.
func (pl *Placer) Warn(wa Warning, now time.Time) {
	if !pl.known(wa.Target) {
		return
	}
	lo := pl.load(wa.Target)
	at := now.Add(-max(wa.Age, 0))
	if lo.reported && !at.After(lo.reportedAt) {
		return
	}
	lo.report, lo.reportedAt, lo.reported = wa.Report, at, true
	pl.updateSlow(wa.Target, &wa.Report)
}

// IsSlow reports whether the target is slow enough to be passed on to other
// nodes.
func (re *Report) IsSlow() bool {
	return re.Slowness >= slowThreshold
}

// updateSlow adds the target to the slow targets or removes it, by its report.
func (pl *Placer) updateSlow(id string, re *Report) {
	if re.IsSlow() {
		pl.slowTargets[id] = true
		return
	}
	delete(pl.slowTargets, id)
}
