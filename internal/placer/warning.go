package placer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// troubledSlowness is the slowness from which nodes tell each other about a
	// target. They do not for failures: where a whole service fails, targets of other
	// data centres, of which less is known, would seem sound.
	troubledSlowness = 2.0
	// warningTime is the age up to which a report is passed on.
	warningTime = 2 * time.Second
	// maxWarnings bounds the reports that go with one response.
	maxWarnings = 4
)

// Warning is the report of a troubled target as another node passes it on.
type Warning struct {
	Target string
	Report Report
	Age    time.Duration
}

// Warnings returns the newest reports of troubled targets for another node. In a large
// data centre a node sends each target a request every few seconds only, and
// would find out by itself that one is slow at the cost of a late request. There
// is nothing to pass on while no target is troubled.
func (pl *Placer) Warnings(now time.Time) []Warning {
	var all []Warning
	for id := range pl.troubled {
		lo := pl.loads[id]
		age := now.Sub(lo.reportedAt)
		if age > warningTime {
			delete(pl.troubled, id)
			continue
		}
		all = append(all, Warning{Target: id, Report: lo.report, Age: age})
	}
	slices.SortFunc(all, func(a, b Warning) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Target, b.Target))
	})
	return all[:min(len(all), maxWarnings)]
}

// Warn takes a report that another node passed on, unless a newer one is known.
func (pl *Placer) Warn(wa Warning, now time.Time) {
	lo := pl.load(wa.Target)
	at := now.Add(-max(wa.Age, 0))
	if lo.reported && !at.After(lo.reportedAt) {
		return
	}
	lo.report, lo.reportedAt, lo.reported = wa.Report, at, true
	pl.mark(wa.Target, &wa.Report)
}

// Troubled reports whether other nodes should know of the target.
func (re *Report) Troubled() bool {
	return re.Slowness >= troubledSlowness
}

func (pl *Placer) mark(id string, re *Report) {
	if re.Troubled() {
		pl.troubled[id] = true
		return
	}
	delete(pl.troubled, id)
}
