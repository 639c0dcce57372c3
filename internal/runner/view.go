package runner

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/appender"
	"github.com/guavastall/guavastall/internal/detector"
	"github.com/guavastall/guavastall/internal/distributor"
	"github.com/guavastall/guavastall/internal/elector"
	"github.com/guavastall/guavastall/internal/evaluator"
	"github.com/guavastall/guavastall/internal/forwarder"
	"github.com/guavastall/guavastall/internal/gossiper"
	"github.com/guavastall/guavastall/internal/promoter"
	"github.com/guavastall/guavastall/internal/reducer"
	"github.com/guavastall/guavastall/internal/retrier"
	"github.com/guavastall/guavastall/pkg/checker"
)

// localIP returns the address to dial from, or the zero value when the node
// listens on all addresses.
func localIP(se *Settings) netip.Addr {
	if se.Listen.Addr().IsUnspecified() {
		return netip.Addr{}
	}
	return se.Listen.Addr()
}

// memberViews shows the members as the other parts want them.
type memberViews struct {
	gs *gossiper.Gossiper
}

// running reports whether the member runs as far as is known.
func running(mb detector.Member) bool {
	return mb.State == detector.Alive || mb.State == detector.Suspect
}

// Alive returns the nodes believed to be alive.
func (mv memberViews) Alive() []elector.Member {
	members, _ := mv.gs.Members()
	alive := make([]elector.Member, 0, len(members))
	for _, mb := range members {
		if running(mb) {
			alive = append(alive, elector.Member{Node: mb.Node, DataCentre: mb.DataCentre})
		}
	}
	return alive
}

// Neighbours returns the nodes this node keeps links to.
func (mv memberViews) Neighbours() []checker.NodeID {
	return mv.gs.Neighbours()
}

// Endpoints lists the endpoints of the members.
func (mv memberViews) Endpoints() []promoter.Endpoint {
	members, _ := mv.gs.Members()
	list := make([]promoter.Endpoint, 0, len(members))
	for _, mb := range members {
		if mb.State == detector.Left {
			continue
		}
		list = append(list, promoter.Endpoint{
			Node: mb.Node, DataCentre: mb.DataCentre, Service: mb.Service,
			Version: mb.Version, Alive: running(mb) && !mb.Draining,
		})
	}
	return list
}

// factSink passes facts to the distributor.
type factSink struct {
	ds *distributor.Distributor
}

// Join adds the facts and spreads them.
func (fs factSink) Join(facts []reducer.Fact) {
	fs.ds.Join(facts...)
}

// evidence passes the ends of attempts to the collector.
type evidence struct {
	collector *evaluator.Collector
	dc        checker.DataCentre
	node      *Node
}

// Observe counts the attempt if it belongs to a move and ran.
func (ev evidence) Observe(ob forwarder.Observation) {
	if ob.Move == 0 || ob.Cancelled || ob.Outcome == retrier.NotRun {
		return
	}
	arm := evaluator.Old
	if mo, ok := ev.node.State().Move(ob.Move); ok && mo.To == ob.Version {
		arm = evaluator.New
	}
	ev.collector.Add(evaluator.Observation{
		Key: evaluator.Key{
			Service: ob.Service, Route: ob.Route, Move: ob.Move, DataCentre: ev.dc, Arm: arm,
		},
		Failed: ob.Failed, Latency: ob.Latency, Cold: ob.Cold,
	})
}

// watchedLog notes whether the log answers.
type watchedLog struct {
	distributor.Log
	answered *atomic.Bool
}

// Append appends a record.
func (wl *watchedLog) Append(
	ctx context.Context, stream string, data []byte,
) (uint64, error) {
	offset, err := wl.Log.Append(ctx, stream, data)
	wl.answered.Store(err == nil)
	return offset, err
}

// Read returns records from the offset on.
func (wl *watchedLog) Read(
	ctx context.Context, stream string, from uint64, limit int, wait time.Duration,
) (appender.Batch, error) {
	batch, err := wl.Log.Read(ctx, stream, from, limit, wait)
	if ctx.Err() == nil {
		wl.answered.Store(!errors.Is(err, appender.ErrUnavailable))
	}
	return batch, err
}

// absentLog is the log of a node without an address of one.
type absentLog struct{}

var errNoLog = answerer.New(answerer.PlatformUnavailable, "no --platform-log is set")

// Append refuses.
func (absentLog) Append(context.Context, string, []byte) (uint64, error) {
	return 0, errNoLog
}

// Read refuses.
func (absentLog) Read(
	context.Context, string, uint64, int, time.Duration,
) (appender.Batch, error) {
	return appender.Batch{}, errNoLog
}

// Last refuses.
func (absentLog) Last(context.Context, string, int) ([]appender.Record, error) {
	return nil, errNoLog
}
