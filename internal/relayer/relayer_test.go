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

// fold returns the state that the whole log gives, as the naive reference.
func fold(tb require.TestingT, log [][]byte) *reducer.State {
	st := &reducer.State{}
	for ii, data := range log {
		var err error
		st, err = applyOf(true)(st, uint64(ii), data)
		require.NoError(tb, err)
	}
	return st
}

func logged(tb require.TestingT, st *reducer.State) string {
	data, err := st.Checkpoint()
	require.NoError(tb, err)
	return string(data)
}

// naive is the reference for what the nodes must end with: each node sends its
// whole state to every other one in each round.
type naive struct {
	states []*reducer.State
}

// round exchanges full states between nodes that reach each other.
func (na *naive) round(wd *world) {
	for ii, vn := range wd.nodes {
		if vn.reader && !wd.cut(ii, -1) {
			na.states[ii] = na.states[ii].Adopt(fold(panicker{}, wd.log))
		}
	}
	for ii := range na.states {
		for jj := range na.states {
			if ii != jj && !wd.cut(ii, jj) {
				na.states[jj] = na.states[jj].Adopt(na.states[ii])
			}
		}
	}
}

type panicker struct{}

func (panicker) Errorf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }
func (panicker) FailNow()                          { panic("failed") }

// steps runs random operations on a world and keeps the naive nodes in step.
type steps struct {
	rt    *rapid.T
	wd    *world
	na    *naive
	tail  []checker.Revision
	lives []int
	epoch uint64
	nn    int
	mixed bool
}

func (sp *steps) append() {
	wd := sp.wd
	st := fold(sp.rt, wd.log)
	rec := reducer.Record{ID: fmt.Sprint("r", sp.nn), Base: st.Revision()}
	sp.nn++
	version := checker.Version(fmt.Sprint("v", sp.nn))
	switch rapid.IntRange(0, 3).Draw(sp.rt, "record") {
	case 0:
		rec.Document = testDocument(version, 2)
	case 1:
		// Racing operators: the base is out of date.
		rec.Base, rec.Document = rec.Base/2, testDocument(version, 1)
	case 2:
		// A large document is announced and pulled rather than pushed.
		rec.Document = testDocument(version, 30)
	default:
		if st.Document() != nil {
			rec.Choose = &reducer.Choose{Service: "service0", Version: version}
		}
	}
	data := encode(sp.rt, rec)
	if sp.mixed && sp.nn > 4 {
		data[1] = 2
	}
	if rapid.IntRange(0, 9).Draw(sp.rt, "torn") == 0 {
		data = data[:len(data)/2]
	}
	wd.append(data)
}

func (sp *steps) join() {
	ii := rapid.IntRange(0, len(sp.wd.nodes)-1).Draw(sp.rt, "origin")
	sp.epoch++
	facts := []reducer.Fact{markOf(fmt.Sprint("dc", sp.epoch%3), sp.epoch)}
	vn := sp.wd.nodes[ii]
	if moves := vn.rl.State().Moves(); len(moves) > 0 {
		mo := moves[len(moves)-1].ID
		facts = append(facts, reducer.Fact{Step: &reducer.Step{Move: mo, DataCentre: "dc0", Step: int(sp.epoch)}})
	}
	vn.rl.Join(facts, sp.wd.now)
	sp.wd.act(vn)
	for _, fa := range facts {
		sp.na.states[ii] = sp.na.states[ii].Join(fa)
	}
}

// restart empties a node's memory. Facts that it alone held are lost with it,
// so they first get time to spread.
func (sp *steps) restart() {
	ii := rapid.IntRange(0, len(sp.wd.nodes)-1).Draw(sp.rt, "restarted")
	sp.heal()
	sp.wd.run(time.Minute)
	sp.na.round(sp.wd)
	sp.wd.start(sp.wd.nodes[ii])
	sp.na.states[ii] = &reducer.State{}
}

func (sp *steps) partition() {
	side := rapid.SliceOfN(rapid.Bool(), len(sp.wd.nodes)+1, len(sp.wd.nodes)+1).Draw(sp.rt, "side")
	sp.wd.cut = func(aa, bb int) bool { return side[aa+1] != side[bb+1] }
}

func (sp *steps) heal() { sp.wd.cut = func(int, int) bool { return false } }

// trim writes a checkpoint and drops the records before it.
func (sp *steps) trim() {
	for _, vn := range sp.wd.nodes {
		if vn.reader && !vn.rl.Behind() && !sp.mixed && vn.rl.Next() > sp.wd.first {
			sp.wd.checkpoints = append(sp.wd.checkpoints, vn.rl.checkpoint())
			sp.wd.first = vn.rl.State().Next()
			return
		}
	}
}

// check compares what must hold at any time.
func (sp *steps) check() {
	for ii, vn := range sp.wd.nodes {
		if sp.lives[ii] != vn.life {
			sp.lives[ii], sp.tail[ii] = vn.life, 0
		}
		require.GreaterOrEqual(sp.rt, vn.rl.State().Revision(), sp.tail[ii])
		sp.tail[ii] = vn.rl.State().Revision()
	}
}

// Guards against nodes that end with another configuration or other facts than
// a full exchange of states would give them, and against a revision that
// decreases on the way: with loss, reordering, partitions, restarts, a trimmed
// log and builds that cannot read newer records.
func TestRelayMatchesFullExchange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		before := asserter.Violations()
		count := rapid.IntRange(2, 14).Draw(rt, "nodes")
		wd := newWorld(count, rapid.IntRange(1, 3).Draw(rt, "dataCentres"),
			rapid.Uint64().Draw(rt, "seed"), Config{WindowRecords: 4})
		wd.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "loss")
		wd.jitter = rapid.SampledFrom([]time.Duration{1, time.Millisecond, time.Second}).Draw(rt, "jitter")
		sp := &steps{
			rt: rt, wd: wd, na: &naive{}, tail: make([]checker.Revision, count),
			lives: make([]int, count), mixed: rapid.Bool().Draw(rt, "mixed"),
		}
		for _, vn := range wd.nodes {
			sp.na.states = append(sp.na.states, &reducer.State{})
			vn.newer = !sp.mixed || vn.index%2 == 0
			vn.rl.config.Apply = applyOf(vn.newer)
		}
		actions := []func(){
			sp.append, sp.append, sp.append, sp.join, sp.join, sp.partition, sp.heal, sp.trim,
		}
		if !sp.mixed {
			actions = append(actions, sp.restart)
		}
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(rt, "action")]()
			wd.run(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond)
			sp.na.round(wd)
			sp.check()
		}
		sp.heal()
		wd.loss = 0
		wd.run(2 * time.Minute)
		for range 3 {
			sp.na.round(wd)
		}
		sp.check()
		for ii, vn := range wd.nodes {
			want := sp.na.states[ii]
			require.Equal(rt, uint64(len(wd.log)), vn.rl.Next(), "node %d lacks records", ii)
			if vn.newer {
				require.Equal(rt, logged(rt, want), logged(rt, vn.rl.State()), "node %d", ii)
			} else {
				require.Equal(rt, vn.rl.State().Next() < uint64(len(wd.log)), vn.rl.Behind())
			}
			require.Equal(rt, want.Marks(), vn.rl.State().Marks(), "node %d", ii)
			require.Equal(rt, !vn.newer || want.FactsDigest() == vn.rl.State().FactsDigest(), true, "node %d", ii)
		}
		require.Equal(rt, before, asserter.Violations())
	})
}

// Guards against a node that serves a message over the size limit or with
// records that do not follow each other.
func TestServeIsBounded(t *testing.T) {
	rl := New(Config{Self: nodeID(1), MaxBytes: 1000, WindowRecords: 5}, &reducer.State{})
	now := time.Unix(1000, 0)
	for ii := range 8 {
		data := encode(t, reducer.Record{ID: fmt.Sprint(ii), Facts: []reducer.Fact{
			{TakeBack: &reducer.TakeBack{Move: 1, Reason: string(make([]byte, 100))}},
		}})
		rl.Logged([]Record{NewRecord(uint64(ii), data)}, now)
	}
	require.Equal(t, uint64(8), rl.State().Next())
	re := rl.Serve(Pull{From: nodeID(2), Records: true, Digest: Digest{Next: 4}}, now)
	require.Empty(t, re.Checkpoint)
	require.Less(t, len(re.Records), 4)
	require.Equal(t, uint64(4), re.Records[0].Offset)
	re = rl.Serve(Pull{From: nodeID(2), Records: true, Digest: Digest{Next: 1}}, now)
	require.NotEmpty(t, re.Checkpoint)
	require.Empty(t, re.Records)
}

// Guards against a record that was damaged between nodes being folded as if
// the log held it so.
func TestDamagedRecordIsNotFolded(t *testing.T) {
	rl := New(Config{Self: nodeID(1)}, &reducer.State{})
	now := time.Unix(1000, 0)
	rec := NewRecord(0, encode(t, reducer.Record{ID: "a", Document: testDocument("v1", 1)}))
	bad := rec
	bad.Data = slices.Clone(rec.Data)
	bad.Data[20]++
	rl.Receive(Push{From: nodeID(2), Digest: Digest{Next: 1}, Records: []Record{bad}}, now)
	require.Zero(t, rl.Next())
	rl.Receive(Push{From: nodeID(2), Digest: Digest{Next: 1}, Records: []Record{rec}}, now)
	require.Equal(t, checker.Revision(1), rl.State().Revision())
}
