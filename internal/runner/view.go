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

// localIP returns the source address for outgoing connections, or the zero value
// if the node listens on all addresses.
func localIP(se *Settings) netip.Addr {
	if se.Listen.Addr().IsUnspecified() {
		return netip.Addr{}
	}
	return se.Listen.Addr()
}

// membership provides the members of the gossiper in the types that other
// components use.
type membership struct {
	gs *gossiper.Gossiper
}

// running reports whether the member is alive or suspect.
func running(mb detector.Member) bool {
	return mb.State == detector.Alive || mb.State == detector.Suspect
}

// Alive returns the members that are alive or suspect.
func (ms membership) Alive() []elector.Member {
	members, _ := ms.gs.Members()
	alive := make([]elector.Member, 0, len(members))
	for _, mb := range members {
		if running(mb) {
			alive = append(alive, elector.Member{Node: mb.Node, DataCentre: mb.DataCentre})
		}
	}
	return alive
}

// Neighbours returns the nodes that this node keeps connections to.
func (ms membership) Neighbours() []checker.NodeID {
	return ms.gs.Neighbours()
}

// Endpoints returns the endpoints of the members that have not left.
func (ms membership) Endpoints() []promoter.Endpoint {
	members, _ := ms.gs.Members()
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

// factSink passes facts from the promoter to the distributor.
type factSink struct {
	ds *distributor.Distributor
}

// Join merges the facts into the local state and distributes them.
func (fs factSink) Join(facts []reducer.Fact) {
	fs.ds.Join(facts...)
}

// attemptObserver passes the results of attempts to the collector.
type attemptObserver struct {
	collector *evaluator.Collector
	dc        checker.DataCentre
	node      *Node
}

// Observe adds the attempt to the collector if it belongs to a move, reached the
// target and was not cancelled.
func (ao attemptObserver) Observe(ob forwarder.Observation) {
	if ob.Move == 0 || ob.Cancelled || ob.Outcome == retrier.NotRun {
		return
	}
	arm := evaluator.Old
	if mo, ok := ao.node.State().Move(ob.Move); ok && mo.To == ob.Version {
		arm = evaluator.New
	}
	ao.collector.Add(evaluator.Observation{
		Key: evaluator.Key{
			Service: ob.Service, Route: ob.Route, Move: ob.Move, DataCentre: ao.dc, Arm: arm,
		},
		Failed: ob.Failed, Latency: ob.Latency, Cold: ob.Cold,
	})
}

// monitoredLog records whether the last request to the log succeeded.
type monitoredLog struct {
	distributor.Log
	reachable *atomic.Bool
}

// Append appends a record and records whether the log accepted it.
func (ml *monitoredLog) Append(
	ctx context.Context, stream string, data []byte,
) (uint64, error) {
	offset, err := ml.Log.Append(ctx, stream, data)
	ml.reachable.Store(err == nil)
	return offset, err
}

// Read returns records from the offset on and records whether the log responded.
func (ml *monitoredLog) Read(
	ctx context.Context, stream string, from uint64, limit int, wait time.Duration,
) (appender.Batch, error) {
	batch, err := ml.Log.Read(ctx, stream, from, limit, wait)
	if ctx.Err() == nil {
		ml.reachable.Store(!errors.Is(err, appender.ErrUnavailable))
	}
	return batch, err
}

// missingLog is the log of a node that has no --platform-log address. All its
// methods fail.
type missingLog struct{}

var errNoLog = answerer.New(answerer.PlatformUnavailable, "--platform-log is not set")

// Append returns errNoLog.
func (missingLog) Append(context.Context, string, []byte) (uint64, error) {
	return 0, errNoLog
}

// Read returns errNoLog.
func (missingLog) Read(
	context.Context, string, uint64, int, time.Duration,
) (appender.Batch, error) {
	return appender.Batch{}, errNoLog
}

// Last returns errNoLog.
func (missingLog) Last(context.Context, string, int) ([]appender.Record, error) {
	return nil, errNoLog
}
