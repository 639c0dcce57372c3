// Package promoter makes the rollout decisions of a node.
//
// Once a second it reports the calls counted at the node to the evaluator node of
// each service in its data centre. A node that is an evaluator node runs the
// evaluations and publishes the decisions as facts. Facts take effect without the
// platform and without the other data centres.
package promoter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/evaluator"
	"github.com/guavastall/guavastall/internal/reducer"
	"github.com/guavastall/guavastall/pkg/checker"
)

// Interval is the time between two reports during a rollout.
const Interval = time.Second

// Caller calls a method of another node.
type Caller interface {
	Call(ctx context.Context, node checker.NodeID, method string, args, reply any) error
}

// FactSink receives the decisions.
type FactSink interface {
	Join([]reducer.Fact)
}

// State is the configuration state; *reducer.State implements it.
type State interface {
	Moves() []reducer.Progress
	Document() *checker.Document
	Out(checker.DataCentre) bool
}

// Endpoint is a target with its node.
type Endpoint struct {
	Node       checker.NodeID
	DataCentre checker.DataCentre
	Service    checker.Service
	Version    checker.Version
	// Alive reports whether the node is reachable and not leaving.
	Alive bool
}

// Members lists the known endpoints. Unreachable ones are included until they are
// removed from the membership.
type Members interface {
	Endpoints() []Endpoint
}

// Config holds the settings and dependencies of a Promoter.
type Config struct {
	Self       checker.NodeID
	DataCentre checker.DataCentre
	// State returns the current state.
	State     func() State
	Members   Members
	Caller    Caller
	Facts     FactSink
	Collector *evaluator.Collector
	// Splitter is updated with the node's rank and the open moves.
	Splitter *evaluator.Splitter
	// Owner chooses a node for a key by rendezvous hashing.
	Owner func(key string, nodes []checker.NodeID) checker.NodeID
	Log   logrus.FieldLogger
}

// Promoter makes the rollout decisions of a node.
type Promoter struct {
	co    Config
	inbox inbox
	// The fields below are used only by the goroutine that calls Tick.
	moves         map[checker.MoveID]*moveState
	failedReports map[checker.NodeID]bool
}

// moveState is the node's state of an open move.
type moveState struct {
	// evaluation is nil while another node is the evaluator.
	evaluation *evaluator.Evaluation
	rollout    checker.Rollout
	lastReason string // of the last decision
	// localSamples holds the node's own samples of the last ticks, all at one step.
	localSamples [][]evaluator.Sample
	localStep    int
	decided      bool // this node has decided the end of the move
}

// New returns a Promoter that has not been started.
func New(co Config) *Promoter {
	return &Promoter{
		co: co, moves: map[checker.MoveID]*moveState{}, failedReports: map[checker.NodeID]bool{},
	}
}

// Start runs the Promoter until the context ends. The channel then receives the
// context's error.
func (pr *Promoter) Start(ctx context.Context) <-chan error {
	exit := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(Interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				exit <- ctx.Err()
				return
			case now := <-ticker.C:
				pr.Tick(ctx, now)
			}
		}
	}()
	return exit
}

// Tick decides on the calls since the last tick and sends the reports. It is called
// once a second. Calls must not overlap.
func (pr *Promoter) Tick(ctx context.Context, now time.Time) {
	st := pr.co.State()
	vi := newView(pr.co, st)
	pr.syncMoves(vi)
	samples := pr.co.Collector.Drain()
	received := pr.inbox.take()
	reports := map[checker.NodeID][]evaluator.Sample{}
	for _, sa := range samples {
		owner := vi.owner(sa.Service, sa.DataCentre)
		if owner == pr.co.Self {
			received = append(received, sa)
		} else if owner.IsValid() {
			reports[owner] = append(reports[owner], sa)
		}
	}
	pr.decideLocally(vi, samples)
	pr.evaluate(vi, received, now)
	// Reports are sent last, so that a node that does not answer cannot delay the
	// decisions.
	pr.send(ctx, reports)
}

// syncMoves removes the moves that have ended, adds new ones, and updates the
// splitter with the open moves and the node's rank.
func (pr *Promoter) syncMoves(vi *view) {
	open := make([]checker.MoveID, 0, len(vi.moves))
	for _, mo := range vi.moves {
		open = append(open, mo.ID)
		if pr.moves[mo.ID] == nil {
			pr.moves[mo.ID] = &moveState{}
		}
	}
	for id := range pr.moves {
		if !slices.Contains(open, id) {
			delete(pr.moves, id)
		}
	}
	pr.co.Splitter.Keep(open)
	nodes := vi.nodes[pr.co.DataCentre]
	if rank, ok := slices.BinarySearchFunc(nodes, pr.co.Self, checker.NodeID.Compare); ok {
		pr.co.Splitter.SetRank(rank, len(nodes))
	}
}

// send reports samples to their evaluator nodes. A failed report is not retried: a
// retry might count the calls twice, and losing one second of one node only delays
// the decision.
func (pr *Promoter) send(ctx context.Context, reports map[checker.NodeID][]evaluator.Sample) {
	ctx, cancel := context.WithTimeout(ctx, Interval*4/5)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := map[checker.NodeID]error{}
	for node, samples := range reports {
		wg.Go(func() {
			args := &Report{From: pr.co.Self, Samples: samples}
			if err := pr.co.Caller.Call(ctx, node, ReportMethod, args, &Reply{}); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed[node] = err
			}
		})
	}
	wg.Wait()
	for node, err := range failed {
		if !pr.failedReports[node] {
			pr.co.Log.WithError(err).WithField("node", node).
				Warn("report to the evaluator node failed; the reported calls are not counted")
		}
	}
	for node := range reports {
		if failed[node] != nil {
			pr.failedReports[node] = true
		} else {
			delete(pr.failedReports, node)
		}
	}
}
