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

// tablePause is the least time between two tables. It bounds the work while
// many members change at once.
const tablePause = 50 * time.Millisecond

// sightings remembers when this node first saw members and marks.
type sightings struct {
	members map[checker.NodeID]memberSighting
	marks   map[checker.DataCentre]markSighting
}

type memberSighting struct {
	life  uint64
	since time.Time
}

type markSighting struct {
	mark  reducer.DataCentreMark
	since time.Time
}

func newSightings() sightings {
	return sightings{
		members: map[checker.NodeID]memberSighting{},
		marks:   map[checker.DataCentre]markSighting{},
	}
}

// member returns when this life of the member was first seen.
func (si *sightings) member(mb detector.Member, now time.Time) time.Time {
	ms, ok := si.members[mb.Node]
	if !ok || ms.life != mb.Incarnation.Life() {
		ms = memberSighting{life: mb.Incarnation.Life(), since: now}
		si.members[mb.Node] = ms
	}
	return ms.since
}

// mark returns the mark for routing. A data centre that was in when this node
// first heard of it needs no ramp.
func (si *sightings) mark(mk reducer.DataCentreMark, now time.Time) router.Mark {
	ms, known := si.marks[mk.DataCentre]
	if !known || ms.mark != mk {
		since := now
		if !known && !mk.Out {
			since = time.Time{}
		}
		ms = markSighting{mark: mk, since: since}
		si.marks[mk.DataCentre] = ms
	}
	return router.Mark{Out: mk.Out, Since: ms.since}
}

// forget drops the members that are no longer listed and returns them.
func (si *sightings) forget(members []detector.Member) []checker.NodeID {
	listed := make(map[checker.NodeID]bool, len(members))
	for _, mb := range members {
		listed[mb.Node] = running(mb)
	}
	var gone []checker.NodeID
	for node := range si.members {
		if !listed[node] {
			delete(si.members, node)
			gone = append(gone, node)
		}
	}
	return gone
}

// keepTable builds a new routing table whenever the configuration or the
// members change.
func (no *Node) keepTable(ctx context.Context) {
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
		if !sleeper.Sleep(ctx, tablePause) {
			return
		}
	}
}

// buildTable puts a table of the state and the members in force.
func (no *Node) buildTable(state *reducer.State, members []detector.Member, now time.Time) {
	for _, node := range no.seen.forget(members) {
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
		config.Marks[name] = no.seen.mark(mk, now)
	}
	ta, err := router.NewTable(config)
	if !asserter.That(err == nil, "tableResolves", "revision %d: %v", state.Revision(), err) {
		return
	}
	no.table.Store(ta)
	no.log.WithFields(logrus.Fields{
		"revision": state.Revision(), "endpoints": len(config.Endpoints),
	}).Debug("routing table in force")
}

// limits returns the bounds of the target from the settings and the profile of
// its service. Without a configuration the target gets one call at a time.
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

// endpoints returns the endpoints of the running members.
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
			Started:  no.seen.member(mb, now),
		})
	}
	return list
}

// splitter assigns calls for the router.
type splitter struct {
	sp *evaluator.Splitter
}

// UseNew reports whether the next call of the move uses the new version.
func (sl splitter) UseNew(move checker.MoveID, share float64, now time.Time) bool {
	return sl.sp.Assign(move, share, now) == evaluator.New
}
