package promoter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/evaluator"
	"github.com/guavastall/guavastall/internal/reducer"
	"github.com/guavastall/guavastall/pkg/checker"
)

var epoch = time.Unix(1_000_000_000, 0)

func testDocument(version checker.Version) *checker.Document {
	return &checker.Document{
		Profiles: map[string]checker.Profile{"steady": {
			Rollout: checker.Rollout{
				Steps: []float64{0.05, 0.3, 1}, StepTime: checker.Duration(5 * time.Second),
				MinCalls: 20, MaxErrorIncrease: 0.01, MaxLatencyFactor: 2,
				QuietAfter: checker.Duration(30 * time.Second),
			},
			Limits:  checker.Limits{InitialConcurrency: 2, MaxBodyBytes: 1 << 20},
			Retries: checker.Retries{BudgetRatio: 0.1, MaxAttempts: 3},
		}},
		Services: map[checker.Service]checker.Choice{"tag": {
			Profile: "steady", Version: version,
			Routes: []checker.Route{{
				Name: "scan", PathPrefix: "/", Timeout: checker.Duration(time.Second),
			}},
		}},
	}
}

// testState returns a state with an open move to v2.
func testState(t *testing.T, deadline time.Time) *reducer.State {
	st := &reducer.State{}
	for _, rec := range []reducer.Record{
		{ID: "a", Document: testDocument("v1")},
		{ID: "b", Base: 1, Choose: &reducer.Choose{
			Service: "tag", Version: "v2", Deadline: deadline,
		}},
	} {
		data, err := reducer.Encode(rec)
		require.NoError(t, err)
		var re reducer.Result
		st, re, err = st.Apply(st.Next(), data)
		require.NoError(t, err)
		require.True(t, re.Accepted, re.Problem)
	}
	return st
}

// testOwner chooses an owner by rendezvous hashing.
func testOwner(key string, nodes []checker.NodeID) checker.NodeID {
	return slices.MaxFunc(nodes, func(na, nb checker.NodeID) int {
		ha, hb := xxhash.Sum64String(key+na.String()), xxhash.Sum64String(key+nb.String())
		if ha < hb {
			return -1
		}
		return 1
	})
}

// mesh simulates nodes in virtual time that are connected without a platform.
type mesh struct {
	t     *testing.T
	rd    *rand.Rand
	now   time.Time
	nodes []*node
	// cut holds the data centres that are partitioned from all others.
	cut map[checker.DataCentre]bool
	// errorShare returns the share of the new version's calls that fail in
	// addition to those of the old one.
	errorShare func(dc checker.DataCentre) float64
	calls      map[evaluator.Arm]int
}

type node struct {
	me             *mesh
	id             checker.NodeID
	dc             checker.DataCentre
	version        checker.Version
	service        checker.Service
	st             *reducer.State
	dead           bool
	refusesReports bool
	splitter       *evaluator.Splitter
	co             *evaluator.Collector
	pr             *Promoter
}

// newMesh returns a mesh of three data centres, each with two targets of the old
// version and two of the new one.
func newMesh(t *testing.T, seed uint64, deadline time.Duration) *mesh {
	me := &mesh{
		t: t, rd: rand.New(rand.NewPCG(seed, 5)), now: epoch, cut: map[checker.DataCentre]bool{},
		errorShare: func(checker.DataCentre) float64 { return 0 }, calls: map[evaluator.Arm]int{},
	}
	st := testState(t, epoch.Add(deadline))
	for nn := range 12 {
		no := &node{
			me: me, id: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.%d:80", nn+1)),
			dc:      []checker.DataCentre{"lahore", "multan", "faisalabad"}[nn%3],
			version: []checker.Version{"v1", "v2"}[nn/3%2], service: "tag", st: st,
			splitter: &evaluator.Splitter{}, co: &evaluator.Collector{},
		}
		log := logrus.New()
		log.SetOutput(io.Discard)
		no.pr = New(Config{
			Self: no.id, DataCentre: no.dc, State: func() State { return no.st },
			Members: no, Caller: no, Facts: no, Collector: no.co, Splitter: no.splitter,
			Owner: testOwner, Log: log,
		})
		me.nodes = append(me.nodes, no)
	}
	return me
}

func (me *mesh) reach(na, nb *node) bool {
	return !na.dead && !nb.dead && (na.dc == nb.dc || !me.cut[na.dc] && !me.cut[nb.dc])
}

// Endpoints implements Members.
func (no *node) Endpoints() []Endpoint {
	var list []Endpoint
	for _, other := range no.me.nodes {
		list = append(list, Endpoint{
			Node: other.id, DataCentre: other.dc, Service: other.service, Version: other.version,
			Alive: no.me.reach(no, other),
		})
	}
	return list
}

// Call implements Caller.
func (no *node) Call(_ context.Context, to checker.NodeID, method string, args, reply any) error {
	for _, other := range no.me.nodes {
		if other.id == to && no.me.reach(no, other) && !other.refusesReports &&
			method == "Promoter.Report" {
			return other.pr.Receiver().Report(args.(*Report), reply.(*Reply))
		}
	}
	return errors.New("no route")
}

// Join implements FactSink. The facts are applied at every reachable node.
func (no *node) Join(facts []reducer.Fact) {
	for _, other := range no.me.nodes {
		for _, fa := range facts {
			if no.me.reach(no, other) {
				other.st = other.st.Join(fa)
			}
		}
	}
}

// heal ends all partitions and lets the nodes exchange their facts.
func (me *mesh) heal() {
	clear(me.cut)
	for _, no := range me.nodes {
		no.Join(no.st.Facts())
	}
}

// simulateSecond sends 30 calls through each node, and then ticks every node.
func (me *mesh) simulateSecond() {
	me.now = me.now.Add(time.Second)
	for _, no := range me.nodes {
		if no.dead {
			continue
		}
		for range 30 {
			no.call()
		}
	}
	for _, no := range me.nodes {
		if !no.dead {
			no.pr.Tick(context.Background(), me.now)
		}
	}
}

func (no *node) call() {
	split := no.st.Split("tag", no.dc)
	if split.Move == 0 {
		return
	}
	arm := no.splitter.Assign(split.Move, split.Share, no.me.now)
	errors := 0.001
	if arm == evaluator.New {
		errors += no.me.errorShare(no.dc)
	}
	no.me.calls[arm]++
	no.co.Add(evaluator.Observation{
		Key: evaluator.Key{
			Service: "tag", Route: "scan", Move: split.Move, DataCentre: no.dc, Arm: arm,
		},
		Failed:  no.me.rd.Float64() < errors,
		Latency: time.Duration(5+no.me.rd.IntN(10)) * time.Millisecond,
	})
}

func (no *node) phase() reducer.Phase { return no.st.Moves()[0].Phase }

// run simulates seconds until every live node is in the phase, and returns their
// number. It fails the test after limit seconds.
func (me *mesh) run(phase reducer.Phase, limit int) int {
	for sec := 1; sec <= limit; sec++ {
		me.simulateSecond()
		if !slices.ContainsFunc(me.nodes, func(no *node) bool {
			return !no.dead && no.phase() != phase
		}) {
			return sec
		}
	}
	for _, no := range me.nodes {
		me.t.Log(no.dc, no.id, no.st.Moves()[0])
	}
	require.Fail(me.t, "the move did not end", "wanted %s", phase)
	return 0
}

// discard drops facts, like an evaluator node whose messages are all lost.
type discard struct{}

func (discard) Join([]reducer.Fact) {}
