package runner

import (
	"cmp"
	"context"
	"runtime/metrics"
	"slices"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/internal/reducer"
	"github.com/guavastall/guavastall/pkg/checker"
	"github.com/guavastall/guavastall/pkg/operator"
)

// Build is the build version reported in the status of a node.
const Build = "0.1.0"

// Names of metrics of the Go runtime.
const (
	heapBytes  = "/memory/classes/heap/objects:bytes"
	totalBytes = "/memory/classes/total:bytes"
)

// factLogTimeout limits the wait until an operator's fact is in the log.
const factLogTimeout = 2 * time.Second

// State returns the current configuration state.
func (no *Node) State() *reducer.State {
	return no.distributor.State()
}

// Publish appends a record to the log and waits until it is applied.
func (no *Node) Publish(ctx context.Context, rec reducer.Record) (reducer.Result, error) {
	return no.distributor.Publish(ctx, rec)
}

// MergeFacts merges facts into the local state and distributes them. It reports
// whether they were also written to the log within [factLogTimeout].
func (no *Node) MergeFacts(ctx context.Context, facts []reducer.Fact) bool {
	no.distributor.Join(facts...)
	ctx, cancel := context.WithTimeout(ctx, factLogTimeout)
	defer cancel()
	for {
		changed := no.distributor.Changed()
		if len(no.State().Unlogged()) == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// Convergence returns which data centres and nodes have applied a revision.
func (no *Node) Convergence(re checker.Revision, now time.Time) operator.Convergence {
	an := no.aggregator.InEffect(re)
	co := operator.Convergence{Revision: re, Everywhere: an.InEffect}
	for _, su := range no.aggregator.Summaries() {
		dr := operator.DataCentreRevisions{
			DataCentre: su.DataCentre, Nodes: su.Nodes, Minimum: su.Minimum,
			// The age can be negative because the wall clocks of nodes differ.
			Age: checker.Duration(max(0, now.Sub(su.AsOf))),
		}
		for _, ap := range su.Behind {
			if ap.Revision < re {
				dr.Behind = append(dr.Behind, ap.Node)
			}
		}
		dr.Behind = append(dr.Behind, su.Silent...)
		co.DataCentres = append(co.DataCentres, dr)
	}
	for _, dc := range an.Unknown {
		co.DataCentres = append(co.DataCentres, operator.DataCentreRevisions{DataCentre: dc})
	}
	return co
}

// Status returns the node's status.
func (no *Node) Status(time.Time) operator.Status {
	se := no.settings
	st := operator.Status{
		Node: se.Self(), Build: Build, DataCentre: se.DataCentre, Region: se.Region,
		Service: se.Service, Version: se.TargetVersion,
		Revision:     no.State().Revision(),
		Ready:        no.serving.Load() && no.table.Load() != nil && !no.draining.Load(),
		Stale:        no.distributor.Stale() || no.distributor.Behind(),
		Draining:     no.draining.Load(),
		LogReachable: no.logClient != nil && no.logReachable.Load(),
		Violations:   asserter.Violations(),
	}
	if no.limiter != nil {
		st.Limit = no.limiter.Limit()
		st.InFlight = no.limiter.InFlight()
		st.Cold = no.limiter.Cold()
	}
	return st
}

// Mesh returns the data centres and members that the node knows.
func (no *Node) Mesh(time.Time) operator.Mesh {
	state := no.State()
	me := operator.Mesh{Revision: state.Revision()}
	members, _ := no.gossiper.Members()
	for _, mb := range members {
		me.Members = append(me.Members, operator.Member{
			Node: mb.Node, State: mb.State.String(), DataCentre: mb.DataCentre,
			Service: mb.Service, Version: mb.Version, Draining: mb.Draining,
		})
	}
	slices.SortFunc(me.Members, func(ma, mb operator.Member) int {
		return cmp.Or(cmp.Compare(ma.DataCentre, mb.DataCentre), ma.Node.Compare(mb.Node))
	})
	for dc, count := range no.gossiper.Counts() {
		me.DataCentres = append(me.DataCentres, operator.DataCentre{
			Name: dc, Out: state.Out(dc), Alive: count.Alive, Known: count.Known,
		})
	}
	slices.SortFunc(me.DataCentres, func(da, db operator.DataCentre) int {
		return cmp.Compare(da.Name, db.Name)
	})
	return me
}

// registerMetrics registers the gauges of the node's components.
func (no *Node) registerMetrics() {
	gauge := func(name string, value func() int64) {
		_ = no.metrics.Register(name, gometrics.NewFunctionalGauge(value))
	}
	gauge("control.bytesIn", no.pool.Traffic().In)
	gauge("control.bytesOut", no.pool.Traffic().Out)
	gauge("configuration.revision", func() int64 { return int64(no.State().Revision()) })
	gauge("invariants.violations", asserter.Violations)
	gauge("log.requests", func() int64 { return no.distributor.Stats().LogRequests })
	gauge("memory.heapBytes", func() int64 { return readMemory(heapBytes) })
	gauge("memory.totalBytes", func() int64 { return readMemory(totalBytes) })
	if no.limiter != nil {
		gauge("target.limit", func() int64 { return int64(no.limiter.Limit()) })
		gauge("target.inFlight", func() int64 { return int64(no.limiter.InFlight()) })
	}
}

// readMemory reads one metric of the Go runtime.
func readMemory(name string) int64 {
	sample := []metrics.Sample{{Name: name}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}
