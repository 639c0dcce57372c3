// Package aggregator determines whether a configuration revision is in effect in
// every data centre.
//
// Each node reports the revision it has applied to the aggregator node of its
// data centre, which is chosen by hashing over the members. The aggregator node
// gossips a [Summary] to all nodes. [Reports] and [View] do no I/O and read no
// clock; [Aggregator] sends and receives on their behalf.
package aggregator

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/guavastall/guavastall/internal/detector"
	"github.com/guavastall/guavastall/pkg/checker"
)

// Name is the name the receiver is registered under.
const Name = "Aggregator"

const notePrefix = "applied/"

// Owner chooses the node that owns a key; elector.Owner implements it.
type Owner func(key string, nodes []checker.NodeID) checker.NodeID

// Caller makes calls to nodes; a *linker.Pool implements it.
type Caller interface {
	Call(ctx context.Context, node checker.NodeID, method string, args, reply any) error
	MarkRepeatable(names ...string)
}

// Gossip provides the members and propagates notes; a *gossiper.Gossiper
// implements it.
type Gossip interface {
	Self() detector.Member
	Members() ([]detector.Member, <-chan struct{})
	SetNote(no detector.Note)
	Notes() map[string]detector.Note
}

// Config holds the settings of an Aggregator. Zero durations take the defaults.
type Config struct {
	// Owner chooses the aggregator node of a data centre.
	Owner Owner
	// ReportInterval is the time between reports of an unchanged revision;
	// default 2 s.
	ReportInterval time.Duration
	// MinSummaryInterval is the least time between summaries; default 1 s.
	MinSummaryInterval time.Duration
	// RefreshInterval is the time between unchanged summaries; default 10 s.
	RefreshInterval time.Duration
	// MaxAge is the age above which a summary is stale; default 30 s.
	MaxAge time.Duration
}

// Aggregator reports the node's revision and, on the data centre's aggregator
// node, publishes the summary. It is safe for concurrent use.
type Aggregator struct {
	config Config
	caller Caller
	gossip Gossip
	wake   chan struct{}

	mu              sync.Mutex
	revision        checker.Revision
	reports         Reports
	view            View
	ownerSince      time.Time
	lastSummary     Summary
	lastSummaryTime time.Time
	lastEpoch       uint64
}

// New returns an Aggregator that has not been started.
func New(co Config, ca Caller, gs Gossip) *Aggregator {
	setDefault(&co.ReportInterval, 2*time.Second)
	setDefault(&co.MinSummaryInterval, time.Second)
	setDefault(&co.RefreshInterval, 10*time.Second)
	setDefault(&co.MaxAge, 30*time.Second)
	ca.MarkRepeatable(Name)
	return &Aggregator{config: co, caller: ca, gossip: gs, wake: make(chan struct{}, 1)}
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Applied sets the revision that the node has applied, and reports it
// immediately if it is newer.
func (ag *Aggregator) Applied(re checker.Revision) {
	ag.mu.Lock()
	changed := re > ag.revision
	ag.revision = max(ag.revision, re)
	ag.mu.Unlock()
	if changed {
		select {
		case ag.wake <- struct{}{}:
		default:
		}
	}
}

// Start runs the Aggregator until the context ends. The channel is closed when
// its goroutine has ended.
func (ag *Aggregator) Start(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ag.run(ctx)
	}()
	return ended
}

func (ag *Aggregator) run(ctx context.Context) {
	ticker := time.NewTicker(ag.config.MinSummaryInterval / 4)
	defer ticker.Stop()
	var nextReport time.Time
	var lastOwner checker.NodeID
	for ctx.Err() == nil {
		now := time.Now()
		members, _ := ag.gossip.Members()
		owner := ag.owner(members)
		if owner != lastOwner {
			lastOwner, nextReport = owner, now
		}
		if !now.Before(nextReport) {
			ag.report(ctx, owner)
			nextReport = now.Add(ag.config.ReportInterval)
		}
		ag.summarise(owner, members, now)
		ag.mergeNotes(now)
		select {
		case <-ctx.Done():
			return
		case <-ag.wake:
			nextReport = time.Time{}
		case <-ticker.C:
		}
	}
}

// owner returns the aggregator node of the node's own data centre.
func (ag *Aggregator) owner(members []detector.Member) checker.NodeID {
	self := ag.gossip.Self()
	var nodes []checker.NodeID
	for _, me := range members {
		if me.DataCentre == self.DataCentre && me.State < detector.Dead && !me.Draining {
			nodes = append(nodes, me.Node)
		}
	}
	if len(nodes) == 0 {
		return self.Node
	}
	return ag.config.Owner(notePrefix+string(self.DataCentre), nodes)
}

// Report states the revision that a node has applied.
type Report struct {
	Node        checker.NodeID
	Incarnation uint64
	Revision    uint64
}

// Received is the empty answer to a report.
type Received struct{}

// report sends the node's revision to the aggregator node. It ignores errors,
// because reports are repeated every ReportInterval.
func (ag *Aggregator) report(ctx context.Context, owner checker.NodeID) {
	self := ag.gossip.Self()
	ag.mu.Lock()
	re := Report{
		Node: self.Node, Incarnation: uint64(self.Incarnation), Revision: uint64(ag.revision),
	}
	ag.mu.Unlock()
	if owner == self.Node {
		ag.addReport(re)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ag.config.ReportInterval/2)
	defer cancel()
	_ = ag.caller.Call(ctx, owner, Name+".Report", re, &Received{})
}

func (ag *Aggregator) addReport(re Report) {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.reports.Add(re.Node, detector.Incarnation(re.Incarnation), checker.Revision(re.Revision),
		time.Now())
}

// summarise publishes a summary if the node is the aggregator node and the
// summary has changed or RefreshInterval has passed. A node that has just become
// the aggregator node first gives all nodes time to report to it.
func (ag *Aggregator) summarise(
	owner checker.NodeID, members []detector.Member, now time.Time,
) {
	self := ag.gossip.Self()
	ag.mu.Lock()
	defer ag.mu.Unlock()
	if owner != self.Node {
		ag.ownerSince = time.Time{}
		return
	}
	if ag.ownerSince.IsZero() {
		ag.ownerSince, ag.lastSummaryTime = now, time.Time{}
	}
	age := now.Sub(ag.lastSummaryTime)
	if age < ag.config.MinSummaryInterval {
		return
	}
	su := ag.reports.Summarise(self.DataCentre, members, 3*ag.config.ReportInterval, now)
	awaitingReports := su.SilentCount > 0 && now.Sub(ag.ownerSince) < 2*ag.config.ReportInterval
	// The known epoch is greater than lastEpoch if another node published a
	// summary, or if one remains from before all nodes of the data centre
	// restarted.
	key := notePrefix + string(self.DataCentre)
	epoch := ag.gossip.Notes()[key].Epoch
	same := su.equalIgnoringTime(ag.lastSummary) && epoch == ag.lastEpoch
	if awaitingReports || age < ag.config.RefreshInterval && same {
		return
	}
	ag.lastSummary, ag.lastSummaryTime, ag.lastEpoch = su, now, epoch+1
	ag.gossip.SetNote(detector.Note{Key: key, Epoch: ag.lastEpoch, Data: su.Encode()})
}

// mergeNotes adds the summaries received by gossip to the view.
func (ag *Aggregator) mergeNotes(now time.Time) {
	notes := ag.gossip.Notes()
	ag.mu.Lock()
	defer ag.mu.Unlock()
	for key, no := range notes {
		su, err := DecodeSummary(no.Data)
		if err == nil && key == notePrefix+string(su.DataCentre) {
			ag.view.Add(su, no.Epoch, now)
		}
	}
}

// Summaries returns the newest summary of each data centre.
func (ag *Aggregator) Summaries() []Summary {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	return ag.view.Summaries()
}

// InEffect reports whether the revision is in effect in every data centre that
// has members.
func (ag *Aggregator) InEffect(re checker.Revision) Answer {
	members, _ := ag.gossip.Members()
	dcs := map[checker.DataCentre]bool{}
	for _, me := range members {
		if me.State != detector.Left {
			dcs[me.DataCentre] = true
		}
	}
	now := time.Now()
	ag.mergeNotes(now)
	ag.mu.Lock()
	defer ag.mu.Unlock()
	return ag.view.InEffect(re, slices.Sorted(maps.Keys(dcs)), ag.config.MaxAge, now)
}

// Receiver serves the calls of peers. It is registered under [Name].
type Receiver struct {
	aggregator *Aggregator
}

// Receiver returns the receiver for the calls of peers.
func (ag *Aggregator) Receiver() *Receiver { return &Receiver{aggregator: ag} }

// Report stores the report of a node. Reports about nodes that are not members
// are dropped, so that a peer cannot exhaust the memory.
func (rc *Receiver) Report(args Report, _ *Received) error {
	members, _ := rc.aggregator.gossip.Members()
	known := slices.ContainsFunc(members, func(me detector.Member) bool {
		return me.Node == args.Node
	})
	if known {
		rc.aggregator.addReport(args)
	}
	return nil
}
