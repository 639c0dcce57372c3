// Package promoter runs the rollout decisions of a node.
//
// Once a second it sends the calls counted at the node to the evaluator node
// of each service in its data centre. A node that is evaluator itself runs the
// evaluations and passes the decisions on as facts. Facts need neither the
// platform nor the other data centres to take effect.
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

// FactSink takes the decisions.
type FactSink interface {
	Join([]reducer.Fact)
}

// State is the configuration state; *reducer.State implements it.
type State interface {
	Moves() []reducer.Progress
	Document() *checker.Document
	Out(checker.DataCentre) bool
}

// Endpoint is a target and its node.
type Endpoint struct {
	Node       checker.NodeID
	DataCentre checker.DataCentre
	Service    checker.Service
	Version    checker.Version
	// Alive says that the node is in reach and not leaving.
	Alive bool
}

// Members lists the endpoints known, including those out of reach until the
// membership forgets them.
type Members interface {
	Endpoints() []Endpoint
}

// Config holds what a Promoter depends on.
type Config struct {
	Self       checker.NodeID
	DataCentre checker.DataCentre
	// State returns the current state.
	State     func() State
	Members   Members
	Caller    Caller
	Facts     FactSink
	Collector *evaluator.Collector
	// Splitter is told the node's rank and the open moves.
	Splitter *evaluator.Splitter
	// Owner chooses a node for a key by rendezvous hashing.
	Owner func(key string, nodes []checker.NodeID) checker.NodeID
	Log   logrus.FieldLogger
}

// Promoter runs the rollout decisions of a node.
type Promoter struct {
	co    Config
	inbox inbox
	// The fields below belong to the goroutine that calls Tick.
	moves   map[checker.MoveID]*moveWork
	failing map[checker.NodeID]bool
}

// moveWork is what the node keeps about an open move.
type moveWork struct {
	// evaluation is nil while another node is the evaluator.
	evaluation *evaluator.Evaluation
	rollout    checker.Rollout
	reason     string // of the last hold that was logged
	// own holds the node's own samples of the last ticks at one step.
	own     [][]evaluator.Sample
	ownStep int
	ended   bool // this node has decided the end of the move
}

// New returns a promoter.
func New(co Config) *Promoter {
	return &Promoter{
		co: co, moves: map[checker.MoveID]*moveWork{}, failing: map[checker.NodeID]bool{},
	}
}

// Start runs the promoter until the context ends. The channel gets its exit.
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

// Tick does the work of one second. Calls to it must not overlap.
func (pr *Promoter) Tick(ctx context.Context, now time.Time) {
	st := pr.co.State()
	vi := newView(pr.co, st)
	pr.open(vi)
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
	// Reports go last: a node that does not answer must not delay decisions.
	pr.send(ctx, reports)
}

// open forgets the moves that have ended and tells the splitter about the rest.
func (pr *Promoter) open(vi *view) {
	open := make([]checker.MoveID, 0, len(vi.moves))
	for _, mo := range vi.moves {
		open = append(open, mo.ID)
		if pr.moves[mo.ID] == nil {
			pr.moves[mo.ID] = &moveWork{}
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

// send reports samples to their evaluator nodes. A report that fails is
// dropped: a second one might count the calls twice, and a lost second of one
// node only costs time.
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
		if !pr.failing[node] {
			pr.co.Log.WithError(err).WithField("node", node).
				Warn("report to the evaluator node failed; its calls are not counted")
		}
	}
	for node := range reports {
		if failed[node] != nil {
			pr.failing[node] = true
		} else {
			delete(pr.failing, node)
		}
	}
}
