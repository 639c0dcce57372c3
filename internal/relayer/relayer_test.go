package relayer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/internal/reducer"
	"github.com/guavastall/guavastall/pkg/checker"
)

func testDocument(version checker.Version, services int) *checker.Document {
	doc := &checker.Document{
		Profiles: map[string]checker.Profile{"steady": {
			Rollout: checker.Rollout{
				Steps: []float64{0.01, 0.5, 1}, StepTime: checker.Duration(time.Second),
				MinCalls: 10, MaxLatencyFactor: 2, QuietAfter: checker.Duration(time.Minute),
			},
			Limits:  checker.Limits{InitialConcurrency: 2, MaxBodyBytes: 1 << 20},
			Retries: checker.Retries{BudgetRatio: 0.1, MaxAttempts: 3},
		}},
		Services: map[checker.Service]checker.Choice{},
	}
	for ii := range services {
		doc.Services[checker.Service(fmt.Sprintf("service%d", ii))] = checker.Choice{
			Profile: "steady", Version: version,
			Routes: []checker.Route{{Name: "all", PathPrefix: "/", Timeout: checker.Duration(time.Second)}},
		}
	}
	return doc
}

func encode(tb require.TestingT, rec reducer.Record) []byte {
	data, err := reducer.Encode(rec)
	require.NoError(tb, err)
	return data
}

func markOf(dc string, epoch uint64) reducer.Fact {
	return reducer.Fact{Mark: &reducer.DataCentreMark{DataCentre: checker.DataCentre(dc), Epoch: epoch}}
}

// applyLog returns the state after the whole log, as a reference.
func applyLog(tb require.TestingT, log [][]byte) *reducer.State {
	st := &reducer.State{}
	for ii, data := range log {
		var err error
		st, err = applyOf(true)(st, uint64(ii), data)
		require.NoError(tb, err)
	}
	return st
}

func checkpointOf(tb require.TestingT, st *reducer.State) string {
	data, err := st.Checkpoint()
	require.NoError(tb, err)
	return string(data)
}

// naive is the reference implementation: in each round every node sends its
// whole state to every other one.
type naive struct {
	states []*reducer.State
}

// round exchanges full states between nodes that are not partitioned.
func (na *naive) round(sm *simulation) {
	for ii, vn := range sm.nodes {
		if vn.reader && !sm.partitioned(ii, -1) {
			na.states[ii] = na.states[ii].Adopt(applyLog(panicker{}, sm.log))
		}
	}
	for ii := range na.states {
		for jj := range na.states {
			if ii != jj && !sm.partitioned(ii, jj) {
				na.states[jj] = na.states[jj].Adopt(na.states[ii])
			}
		}
	}
}

// panicker implements require.TestingT where no test is available: it panics.
type panicker struct{}

func (panicker) Errorf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
func (panicker) FailNow()                          { panic("failed") }

// stepper runs random operations on a simulation and on the naive reference.
type stepper struct {
	rt           *rapid.T
	sm           *simulation
	na           *naive
	revisions    []checker.Revision
	incarnations []int
	epoch        uint64
	appended     int
	mixedFormats bool
}

func (sp *stepper) append() {
	sm := sp.sm
	st := applyLog(sp.rt, sm.log)
	rec := reducer.Record{ID: fmt.Sprint("r", sp.appended), Base: st.Revision()}
	sp.appended++
	version := checker.Version(fmt.Sprint("v", sp.appended))
	switch rapid.IntRange(0, 3).Draw(sp.rt, "record") {
	case 0:
		rec.Document = testDocument(version, 2)
	case 1:
		// Concurrent publications: the base is stale.
		rec.Base, rec.Document = rec.Base/2, testDocument(version, 1)
	case 2:
		// A large document is pulled, not pushed.
		rec.Document = testDocument(version, 30)
	default:
		if st.Document() != nil {
			rec.Choose = &reducer.Choose{Service: "service0", Version: version}
		}
	}
	data := encode(sp.rt, rec)
	if sp.mixedFormats && sp.appended > 4 {
		data[1] = 2
	}
	if rapid.IntRange(0, 9).Draw(sp.rt, "torn") == 0 {
		data = data[:len(data)/2]
	}
	sm.append(data)
}

func (sp *stepper) join() {
	ii := rapid.IntRange(0, len(sp.sm.nodes)-1).Draw(sp.rt, "origin")
	sp.epoch++
	facts := []reducer.Fact{markOf(fmt.Sprint("dc", sp.epoch%3), sp.epoch)}
	vn := sp.sm.nodes[ii]
	if moves := vn.rl.State().Moves(); len(moves) > 0 {
		mo := moves[len(moves)-1].ID
		facts = append(facts, reducer.Fact{Step: &reducer.Step{Move: mo, DataCentre: "dc0", Step: int(sp.epoch)}})
	}
	vn.rl.Join(facts, sp.sm.now)
	sp.sm.sendPlanned(vn)
	for _, fa := range facts {
		sp.na.states[ii] = sp.na.states[ii].Join(fa)
	}
}

// restart empties a node's state. Before that, the facts get time to spread,
// because those that only this node holds would be lost.
func (sp *stepper) restart() {
	ii := rapid.IntRange(0, len(sp.sm.nodes)-1).Draw(sp.rt, "restarted")
	sp.heal()
	sp.sm.run(time.Minute)
	sp.na.round(sp.sm)
	sp.sm.start(sp.sm.nodes[ii])
	sp.na.states[ii] = &reducer.State{}
}

func (sp *stepper) partition() {
	side := rapid.SliceOfN(rapid.Bool(), len(sp.sm.nodes)+1, len(sp.sm.nodes)+1).Draw(sp.rt, "side")
	sp.sm.partitioned = func(aa, bb int) bool { return side[aa+1] != side[bb+1] }
}

func (sp *stepper) heal() { sp.sm.partitioned = func(int, int) bool { return false } }

// trim writes a checkpoint and drops the records before it.
func (sp *stepper) trim() {
	for _, vn := range sp.sm.nodes {
		if vn.reader && !vn.rl.Behind() && !sp.mixedFormats && vn.rl.Next() > sp.sm.first {
			sp.sm.checkpoints = append(sp.sm.checkpoints, vn.rl.checkpoint())
			sp.sm.first = vn.rl.State().Next()
			return
		}
	}
}

// check requires that no revision has decreased.
func (sp *stepper) check() {
	for ii, vn := range sp.sm.nodes {
		if sp.incarnations[ii] != vn.incarnation {
			sp.incarnations[ii], sp.revisions[ii] = vn.incarnation, 0
		}
		require.GreaterOrEqual(sp.rt, vn.rl.State().Revision(), sp.revisions[ii])
		sp.revisions[ii] = vn.rl.State().Revision()
	}
}

// Guards against nodes that end with a different configuration or different
// facts than a full exchange of states gives, and against a revision that
// decreases meanwhile. Messages are lost and reordered, the network is
// partitioned, nodes restart, the log is trimmed and some builds cannot read
// newer records.
func TestRelayMatchesFullExchange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		before := asserter.Violations()
		count := rapid.IntRange(2, 14).Draw(rt, "nodes")
		sm := newSimulation(count, rapid.IntRange(1, 3).Draw(rt, "dataCentres"),
			rapid.Uint64().Draw(rt, "seed"), Config{WindowRecords: 4})
		sm.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "loss")
		sm.jitter = rapid.SampledFrom([]time.Duration{1, time.Millisecond, time.Second}).Draw(rt, "jitter")
		sp := &stepper{
			rt: rt, sm: sm, na: &naive{}, revisions: make([]checker.Revision, count),
			incarnations: make([]int, count), mixedFormats: rapid.Bool().Draw(rt, "mixed"),
		}
		for _, vn := range sm.nodes {
			sp.na.states = append(sp.na.states, &reducer.State{})
			vn.readsFormat2 = !sp.mixedFormats || vn.index%2 == 0
			vn.rl.config.Apply = applyOf(vn.readsFormat2)
		}
		actions := []func(){
			sp.append, sp.append, sp.append, sp.join, sp.join, sp.partition, sp.heal, sp.trim,
		}
		if !sp.mixedFormats {
			actions = append(actions, sp.restart)
		}
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(rt, "action")]()
			sm.run(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond)
			sp.na.round(sm)
			sp.check()
		}
		sp.heal()
		sm.loss = 0
		sm.run(2 * time.Minute)
		for range 3 {
			sp.na.round(sm)
		}
		sp.check()
		for ii, vn := range sm.nodes {
			want := sp.na.states[ii]
			require.Equal(rt, uint64(len(sm.log)), vn.rl.Next(), "node %d lacks records", ii)
			if vn.readsFormat2 {
				require.Equal(rt, checkpointOf(rt, want), checkpointOf(rt, vn.rl.State()), "node %d", ii)
			} else {
				require.Equal(rt, vn.rl.State().Next() < uint64(len(sm.log)), vn.rl.Behind())
			}
			require.Equal(rt, want.Marks(), vn.rl.State().Marks(), "node %d", ii)
			require.Equal(rt, !vn.readsFormat2 || want.FactsDigest() == vn.rl.State().FactsDigest(), true, "node %d", ii)
		}
		require.Equal(rt, before, asserter.Violations())
	})
}

// Guards against a reply that exceeds the size limit or whose records do not
// start at the requested offset.
func TestServeIsBounded(t *testing.T) {
	rl := New(Config{Self: nodeID(1), MaxBytes: 1000, WindowRecords: 5}, &reducer.State{})
	now := time.Unix(1000, 0)
	for ii := range 8 {
		data := encode(t, reducer.Record{ID: fmt.Sprint(ii), Facts: []reducer.Fact{
			{TakeBack: &reducer.TakeBack{Move: 1, Reason: string(make([]byte, 100))}},
		}})
		rl.AddLogged([]Record{NewRecord(uint64(ii), data)}, now)
	}
	require.Equal(t, uint64(8), rl.State().Next())
	re := rl.HandlePull(Pull{From: nodeID(2), Records: true, Digest: Digest{Next: 4}}, now)
	require.Empty(t, re.Checkpoint)
	require.Less(t, len(re.Records), 4)
	require.Equal(t, uint64(4), re.Records[0].Offset)
	re = rl.HandlePull(Pull{From: nodeID(2), Records: true, Digest: Digest{Next: 1}}, now)
	require.NotEmpty(t, re.Checkpoint)
	require.Empty(t, re.Records)
}

// Guards against applying a record that was damaged between nodes as if it were
// damaged in the log.
func TestDamagedRecordIsNotFolded(t *testing.T) {
	rl := New(Config{Self: nodeID(1)}, &reducer.State{})
	now := time.Unix(1000, 0)
	rec := NewRecord(0, encode(t, reducer.Record{ID: "a", Document: testDocument("v1", 1)}))
	bad := rec
	bad.Data = slices.Clone(rec.Data)
	bad.Data[20]++
	rl.HandlePush(Push{From: nodeID(2), Digest: Digest{Next: 1}, Records: []Record{bad}}, now)
	require.Zero(t, rl.Next())
	rl.HandlePush(Push{From: nodeID(2), Digest: Digest{Next: 1}, Records: []Record{rec}}, now)
	require.Equal(t, checker.Revision(1), rl.State().Revision())
}
