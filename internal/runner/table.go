package runner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/internal/detector"
	"github.com/guavastall/guavastall/internal/evaluator"
	"github.com/guavastall/guavastall/internal/limiter"
	"github.com/guavastall/guavastall/internal/reducer"
	"github.com/guavastall/guavastall/internal/router"
	"github.com/guavastall/guavastall/internal/sleeper"
	"github.com/guavastall/guavastall/pkg/checker"
)

// minTableInterval is the minimum time between two builds of the routing table.
// It limits the work while many members change at the same time.
const minTableInterval = 50 * time.Millisecond

// firstSeenTimes records when this node first saw the current run of each member
// and the current mark of each data centre.
type firstSeenTimes struct {
	members map[checker.NodeID]memberFirstSeen
	marks   map[checker.DataCentre]markFirstSeen
}

type memberFirstSeen struct {
	generation uint64
	since      time.Time
}

type markFirstSeen struct {
	mark  reducer.DataCentreMark
	since time.Time
}

func newFirstSeenTimes() firstSeenTimes {
	return firstSeenTimes{
		members: map[checker.NodeID]memberFirstSeen{},
		marks:   map[checker.DataCentre]markFirstSeen{},
	}
}

// memberSince returns when the current run of the member's process was first
// seen.
func (ft *firstSeenTimes) memberSince(mb detector.Member, now time.Time) time.Time {
	ms, ok := ft.members[mb.Node]
	if !ok || ms.generation != mb.Incarnation.Life() {
		ms = memberFirstSeen{generation: mb.Incarnation.Life(), since: now}
		ft.members[mb.Node] = ms
	}
	return ms.since
}

// routingMark converts a mark for the routing table. Since stays zero, so that
// no ramp applies, if the data centre was in when this node first saw its mark.
func (ft *firstSeenTimes) routingMark(mk reducer.DataCentreMark, now time.Time) router.Mark {
	ms, known := ft.marks[mk.DataCentre]
	if !known || ms.mark != mk {
		since := now
		if !known && !mk.Out {
			since = time.Time{}
		}
		ms = markFirstSeen{mark: mk, since: since}
		ft.marks[mk.DataCentre] = ms
	}
	return router.Mark{Out: mk.Out, Since: ms.since}
}

// removeStopped deletes the entries of nodes that are no longer running members
// and returns these nodes.
func (ft *firstSeenTimes) removeStopped(members []detector.Member) []checker.NodeID {
	isRunning := make(map[checker.NodeID]bool, len(members))
	for _, mb := range members {
		isRunning[mb.Node] = running(mb)
	}
	var removed []checker.NodeID
	for node := range ft.members {
		if !isRunning[node] {
			delete(ft.members, node)
			removed = append(removed, node)
		}
	}
	return removed
}

// updateTable builds a new routing table whenever the configuration or the
// members change.
func (no *Node) updateTable(ctx context.Context) {
	for {
		stateChanged := no.distributor.Changed()
		members, membersChanged := no.gossiper.Members()
		state := no.State()
		no.buildTable(state, members, no.now())
		no.aggregator.Applied(state.Revision())
		select {
		case <-ctx.Done():
			return
		case <-stateChanged:
		case <-membersChanged:
		}
		if !sleeper.Sleep(ctx, minTableInterval) {
			return
		}
	}
}

// buildTable builds the routing table from the state and the members and makes
// it the current one.
func (no *Node) buildTable(state *reducer.State, members []detector.Member, now time.Time) {
	for _, node := range no.firstSeen.removeStopped(members) {
		no.loads.Forget(node)
		no.forwarder.Forget(node)
	}
	if state.Document() == nil {
		return
	}
	if no.limiter != nil {
		no.limiter.Configure(no.limits(state.Document()))
	}
	dc := no.settings.DataCentre
	config := router.Config{
		Self: no.settings.Self(), DataCentre: dc, Region: no.settings.Region,
		Document:  state.Document(),
		Endpoints: no.endpoints(members, now),
		Splits:    map[checker.Service]router.Split{},
		Marks:     map[checker.DataCentre]router.Mark{},
		Splitter:  splitter{no.splitter},
	}
	for se := range state.Document().Services {
		sp := state.Split(se, dc)
		config.Splits[se] = router.Split{Move: sp.Move, Old: sp.Old, New: sp.New, Share: sp.Share}
	}
	for name, mk := range state.Marks() {
		config.Marks[name] = no.firstSeen.routingMark(mk, now)
	}
	ta, err := router.NewTable(config)
	if !asserter.That(err == nil, "tableResolves", "revision %d: %v", state.Revision(), err) {
		return
	}
	no.table.Store(ta)
	no.log.WithFields(logrus.Fields{
		"revision": state.Revision(), "endpoints": len(config.Endpoints),
	}).Debug("routing table updated")
}

// limits returns the concurrency limits of the target from the settings and the
// profile of its service. Without a configuration, the limit starts at one call.
func (no *Node) limits(doc *checker.Document) limiter.Config {
	se := no.settings
	cf := limiter.Config{Slots: se.Slots, Connections: se.Connections, Initial: 1}
	if doc == nil {
		return cf
	}
	co, ok := doc.Services[se.Service]
	if !ok {
		return cf
	}
	li := doc.Profiles[co.Profile].Limits
	cf.Initial, cf.Max = li.InitialConcurrency, li.MaxConcurrency
	cf.WarmTime = time.Duration(li.WarmTime)
	cf.QueueTime = time.Duration(li.QueueTime)
	return cf
}

// endpoints returns the endpoints of the members that have a service and have
// not left. Suspect and dead members are included and flagged.
func (no *Node) endpoints(members []detector.Member, now time.Time) []router.Endpoint {
	list := make([]router.Endpoint, 0, len(members))
	for _, mb := range members {
		if mb.Service == "" || mb.State == detector.Left {
			continue
		}
		list = append(list, router.Endpoint{
			Node: mb.Node, DataCentre: mb.DataCentre, Region: mb.Region,
			Service: mb.Service, Version: mb.Version,
			Slots: int(mb.Slots), Connections: int(mb.Connections),
			Draining: mb.Draining,
			Suspect:  mb.State == detector.Suspect,
			Dead:     mb.State == detector.Dead,
			Started:  no.firstSeen.memberSince(mb, now),
		})
	}
	return list
}

// splitter implements [router.Splitter].
type splitter struct {
	sp *evaluator.Splitter
}

// UseNew reports whether the next call of the move uses the new version.
func (sl splitter) UseNew(move checker.MoveID, share float64, now time.Time) bool {
	return sl.sp.Assign(move, share, now) == evaluator.New
}
