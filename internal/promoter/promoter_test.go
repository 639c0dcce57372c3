package promoter

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/internal/evaluator"
	"github.com/guavastall/guavastall/internal/reducer"
	"github.com/guavastall/guavastall/pkg/checker"
)

// Guards against a move to a good version that does not complete in every data
// centre, and against one that starts in all of them at once.
func TestGoodMove(t *testing.T) {
	before := asserter.Violations()
	me := newMesh(t, 1, time.Hour)
	for range 11 {
		me.simulateSecond()
	}
	started := me.nodes[0].st.Moves()[0].Steps
	require.Len(t, started, 1, "only the canary has started: %v", started)
	me.run(reducer.Done, 120)
	require.Equal(t, before, asserter.Violations())
}

// Guards against a bad version that is not rolled back within a few seconds.
func TestBadMove(t *testing.T) {
	me := newMesh(t, 2, time.Hour)
	me.errorShare = func(checker.DataCentre) float64 { return 1 }
	me.run(reducer.TakenBack, 20)
	require.Less(t, me.calls[evaluator.New], 20)
	require.Contains(t, me.nodes[0].st.Moves()[0].Reason, "errors")
}

// Guards against a data centre that cannot roll back a move while it is
// partitioned, and against a move that ends without it.
func TestPartition(t *testing.T) {
	me := newMesh(t, 3, time.Hour)
	for me.nodes[0].st.Moves()[0].Steps["lahore"] < 2 {
		me.simulateSecond()
	}
	me.cut["lahore"] = true
	for range 100 {
		me.simulateSecond()
	}
	require.Equal(t, reducer.Pending, me.nodes[1].phase(), "multan waits for lahore")
	require.Equal(t, 4, me.nodes[1].st.Moves()[0].Steps["multan"])
	require.Equal(t, 4, me.nodes[0].st.Moves()[0].Steps["lahore"], "lahore went on by itself")

	me.errorShare = func(dc checker.DataCentre) float64 {
		if dc == "lahore" {
			return 0.5
		}
		return 0
	}
	for range 5 {
		me.simulateSecond()
	}
	require.Equal(t, reducer.TakenBack, me.nodes[0].phase())
	require.Equal(t, reducer.Pending, me.nodes[1].phase())
	me.heal()
	me.run(reducer.TakenBack, 1)
}

// Guards against a move that ends during a partition, or after it but before every
// data centre has passed the last step.
func TestPartitionHeals(t *testing.T) {
	me := newMesh(t, 4, time.Hour)
	me.cut["lahore"] = true
	for range 100 {
		me.simulateSecond()
		for _, no := range me.nodes {
			require.Equal(t, reducer.Pending, no.phase())
		}
	}
	me.heal()
	me.run(reducer.Done, 120)
}

// Guards against a move that does not complete after its evaluator nodes have
// failed.
func TestEvaluatorEnds(t *testing.T) {
	me := newMesh(t, 5, time.Hour)
	for range 12 {
		me.simulateSecond()
	}
	for _, no := range me.nodes {
		if no.version == "v1" {
			vi := newView(no.pr.co, no.st)
			no.dead = vi.owner("tag", no.dc) == no.id
		}
	}
	me.run(reducer.Done, 150)
}

// Guards against a bad version that is not rolled back because no report reaches
// the evaluator node.
func TestLocalEvidence(t *testing.T) {
	me := newMesh(t, 6, time.Hour)
	for me.nodes[0].st.Moves()[0].Steps["lahore"] < 2 {
		me.simulateSecond()
	}
	for _, no := range me.nodes {
		no.refusesReports = true
		if newView(no.pr.co, no.st).owner("tag", no.dc) == no.id {
			no.dead = true
		}
	}
	me.errorShare = func(checker.DataCentre) float64 { return 0.9 }
	for _, no := range me.nodes {
		if newView(no.pr.co, no.st).owner("tag", no.dc) == no.id {
			no.pr.co.Facts = discard{}
			no.pr.moves = map[checker.MoveID]*moveState{}
		}
	}
	me.run(reducer.TakenBack, 15)
	for _, no := range me.nodes {
		if !no.dead {
			require.Contains(t, no.st.Moves()[0].Reason, "at one node")
		}
	}
}

// Guards against a data centre that delays the move although operators have taken
// it out of service, or that advances while it is out.
func TestDataCentreOut(t *testing.T) {
	for _, from := range []int{0, 2} {
		me := newMesh(t, 7, time.Hour)
		for me.nodes[0].st.Moves()[0].Steps["multan"] < from {
			me.simulateSecond()
		}
		mark := me.nodes[0].st.NextMark("multan", true)
		me.nodes[0].Join([]reducer.Fact{{Mark: &mark}})
		for _, no := range me.nodes {
			no.dead = from > 0 && no.dc == "lahore" // prevents the end of the move
		}
		for range 60 {
			me.simulateSecond()
		}
		require.Equal(t, from, me.nodes[1].st.Moves()[0].Steps["multan"])
		for _, no := range me.nodes {
			no.dead = false
		}
		me.nodes[1].Join(me.nodes[1].st.Facts())
		me.run(reducer.Done, 120)
		require.Equal(t, from, me.nodes[1].st.Moves()[0].Steps["multan"])
	}
}

// Guards against a rollback at the deadline because a data centre without the
// service has not passed the steps.
func TestDataCentreWithoutService(t *testing.T) {
	me := newMesh(t, 12, 2*time.Minute)
	for _, no := range me.nodes {
		if no.dc == "multan" {
			no.service = "grove"
		}
	}
	me.run(reducer.Done, 120)
}

// Guards against a node that is no longer the evaluator node and keeps its
// evidence, which would be outdated when it becomes the evaluator node again.
func TestEvaluatorChanges(t *testing.T) {
	me := newMesh(t, 13, time.Hour)
	me.simulateSecond()
	for _, no := range me.nodes {
		id := no.st.Moves()[0].ID
		evaluates := newView(no.pr.co, no.st).owner("tag", no.dc) == no.id
		require.Equal(t, evaluates, no.pr.moves[id].evaluation != nil)
		no.pr.co.Owner = func(string, []checker.NodeID) checker.NodeID { return checker.NodeID{} }
		no.pr.Tick(t.Context(), me.now)
		require.Nil(t, no.pr.moves[id].evaluation)
	}
}

// Guards against nodes that all send their first call to the new version.
func TestRanks(t *testing.T) {
	me := newMesh(t, 14, time.Hour)
	me.simulateSecond()
	news := map[checker.DataCentre]int{}
	for _, no := range me.nodes {
		if no.splitter.Assign(99, 0.25, me.now) == evaluator.New {
			news[no.dc]++
		}
	}
	for dc, count := range news {
		require.Less(t, count, 4, "all four nodes of %s", dc)
	}
}

// Guards against a move that completes although, or stays incomplete because, a data
// centre has no target of the new version by the deadline.
func TestDeadline(t *testing.T) {
	me := newMesh(t, 8, time.Minute)
	for _, no := range me.nodes {
		if no.dc == "multan" {
			no.version = "v1"
		}
	}
	me.run(reducer.TakenBack, 61)
	require.Contains(t, me.nodes[0].st.Moves()[0].Reason, "deadline")
}

// Guards against a move that ends without every data centre, that returns to a
// lower step, or that continues after its rollback, under random partitions and
// node failures.
func TestRandomFailures(t *testing.T) {
	seeds := 30
	if testing.Short() {
		seeds = 5
	}
	before := asserter.Violations()
	ends := map[reducer.Phase]int{}
	for seed := range seeds {
		me := newMesh(t, uint64(100+seed), 4*time.Minute)
		rd := rand.New(rand.NewPCG(uint64(seed), 9))
		bad := rd.IntN(3) == 0
		from := rd.IntN(60)
		dcs := []checker.DataCentre{"lahore", "multan", "faisalabad"}
		steps := make([]map[checker.DataCentre]int, len(me.nodes))
		taken := make([]bool, len(me.nodes))
		for sec := range 250 {
			switch rd.IntN(40) {
			case 0:
				me.cut[dcs[rd.IntN(3)]] = true
			case 1, 2:
				me.heal()
			case 3:
				no := me.nodes[rd.IntN(len(me.nodes))]
				no.dead = !no.dead
			}
			if bad && sec >= from {
				me.errorShare = func(checker.DataCentre) float64 { return 0.5 }
			}
			me.simulateSecond()
			for nn, no := range me.nodes {
				mo := no.st.Moves()[0]
				for dc, step := range steps[nn] {
					require.GreaterOrEqual(t, mo.Steps[dc], step)
				}
				require.False(t, taken[nn] && mo.Phase != reducer.TakenBack)
				for _, dc := range dcs {
					require.False(t, mo.Phase == reducer.Done && mo.Steps[dc] != 4,
						"seed %d: done without %s", seed, dc)
				}
				steps[nn], taken[nn] = mo.Steps, mo.Phase == reducer.TakenBack
			}
		}
		me.heal()
		for _, no := range me.nodes {
			if !no.dead {
				ends[no.phase()]++
			}
		}
	}
	require.Equal(t, before, asserter.Violations())
	require.Zero(t, ends[reducer.Pending], "a deadline ends every move")
	require.Positive(t, ends[reducer.TakenBack])
	if !testing.Short() {
		require.Positive(t, ends[reducer.Done])
	}
}

// Guards against decisions that are not logged for operators.
func TestLogsDecisions(t *testing.T) {
	me := newMesh(t, 9, time.Hour)
	log, hook := logtest.NewNullLogger()
	for _, no := range me.nodes {
		no.pr.co.Log = log
	}
	me.run(reducer.Done, 120)
	kinds := map[any]int{}
	for _, en := range hook.AllEntries() {
		if en.Message == "rollout decision" {
			kinds[en.Data["decision"]]++
			require.Contains(t, en.Data, "newCalls")
			require.NotEmpty(t, en.Data["reason"])
		}
	}
	require.Equal(t, 9, kinds["advance"], "three steps in three data centres")
	require.Equal(t, 3, kinds["passed"])
	require.Less(t, kinds["hold"], 40, "Hold is logged only when its reason changes")
}

// Guards against reports that net/rpc cannot encode, and against a queue of samples
// that grows without bound.
func TestReportOverRPC(t *testing.T) {
	me := newMesh(t, 10, time.Hour)
	srv := rpc.NewServer()
	require.NoError(t, srv.RegisterName(ServiceName, me.nodes[0].pr.Receiver()))
	near, far := net.Pipe()
	go srv.ServeConn(far)
	client := rpc.NewClient(near)
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	for range 3 {
		me.nodes[1].call()
	}
	args := &Report{From: me.nodes[1].id, Samples: me.nodes[1].co.Drain()}
	var reply Reply
	require.NoError(t, client.Call(ReportMethod, args, &reply))
	require.Equal(t, len(args.Samples), reply.Taken)
	require.Equal(t, args.Samples, me.nodes[0].pr.inbox.take())

	full := &Report{Samples: make([]evaluator.Sample, maxPendingSamples+1)}
	require.ErrorContains(t, me.nodes[0].pr.Receiver().Report(full, &reply), "refused")
}

// Guards against a goroutine that continues after its context has ended.
func TestStartStops(t *testing.T) {
	me := newMesh(t, 11, time.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	exit := me.nodes[0].pr.Start(ctx)
	cancel()
	require.ErrorIs(t, <-exit, context.Canceled)
}
