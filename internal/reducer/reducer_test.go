package reducer

import (
	"bytes"
	"flag"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/pkg/checker"
)

// init fixes the seed of the randomised tests; -rapid.seed on the command line
// still wins.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func testDocument(version checker.Version) *checker.Document {
	return &checker.Document{
		Profiles: map[string]checker.Profile{"steady": {
			Routing: checker.Routing{LocalShare: 0.8, HealthyFloor: 0.5},
			Rollout: checker.Rollout{
				Steps: []float64{0.01, 0.5, 1}, StepTime: checker.Duration(time.Second),
				MinCalls: 10, MaxErrorIncrease: 0.01, MaxLatencyFactor: 2,
				QuietAfter: checker.Duration(time.Minute),
			},
			Limits:  checker.Limits{InitialConcurrency: 2, MaxBodyBytes: 1 << 20},
			Retries: checker.Retries{BudgetRatio: 0.1, MaxAttempts: 3},
		}},
		Services: map[checker.Service]checker.Choice{"tag": {
			Profile: "steady", Version: version,
			Routes: []checker.Route{{
				Name: "all", PathPrefix: "/", Timeout: checker.Duration(time.Second),
			}},
		}},
	}
}

func mustEncode(tb require.TestingT, rec Record) []byte {
	data, err := Encode(rec)
	require.NoError(tb, err)
	return data
}

// applyAll applies records at consecutive offsets.
func applyAll(tb require.TestingT, st *State, recs ...Record) (*State, Result) {
	var re Result
	for _, rec := range recs {
		var err error
		st, re, err = st.Apply(st.Next(), mustEncode(tb, rec))
		require.NoError(tb, err)
	}
	return st, re
}

// Guards against a resend after a lost response being applied twice, and against
// two concurrent publications on the same revision both being accepted.
func TestResendAndRace(t *testing.T) {
	first := Record{ID: "a", Document: testDocument("v1")}
	st, re := applyAll(t, &State{}, first)
	require.True(t, re.Accepted)
	require.Equal(t, checker.Revision(1), st.Revision())

	st, re = applyAll(t, st, first)
	require.True(t, re.Accepted)
	require.Equal(t, checker.Revision(1), st.Revision())

	st, re = applyAll(t, st,
		Record{ID: "b", Base: 1, Document: testDocument("v1")},
		Record{ID: "c", Base: 1, Document: testDocument("v1")})
	require.False(t, re.Accepted)
	require.True(t, re.Stale)
	require.Contains(t, re.Problem, "revision 3 is in force")
	require.Equal(t, checker.Revision(3), st.Revision())
}

// Guards against a damaged or out-of-order record, or one of a newer format,
// changing the state.
func TestBadRecords(t *testing.T) {
	st, _ := applyAll(t, &State{}, Record{ID: "a", Document: testDocument("v1")})
	whole := mustEncode(t, Record{ID: "b", Base: 1, Document: testDocument("v2")})
	changed := bytes.Replace(whole, []byte("steady"), []byte("stoady"), 2)
	newer := slices.Clone(whole)
	newer[1] = Format + 1
	for _, tt := range []struct {
		name    string
		offset  uint64
		data    []byte
		err     error
		problem string
	}{
		{"truncated", 1, whole[:len(whole)/2], nil, "incomplete or damaged"},
		{"corrupted", 1, changed, nil, "incomplete or damaged"},
		{"empty", 1, nil, nil, "incomplete or damaged"},
		{"newer format", 1, newer, ErrFormat, ""},
		{"gap", 5, whole, ErrGap, ""},
		{"old offset", 0, whole, nil, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			next, re, err := st.Apply(tt.offset, tt.data)
			require.ErrorIs(t, err, tt.err)
			require.Equal(t, st.Revision(), next.Revision())
			require.Equal(t, st.Document(), next.Document())
			require.Contains(t, re.Problem, tt.problem)
		})
	}
}

// Guards against a move that starts without a request, does not start, or starts
// again after a rollback without an explicit choice.
func TestMoveLifecycle(t *testing.T) {
	st, _ := applyAll(t, &State{}, Record{ID: "a", Document: testDocument("v1")},
		Record{ID: "b", Base: 1, Choose: &Choose{Service: "tag", Version: "v2"}})
	moves := st.Moves()
	require.Len(t, moves, 1)
	mo := moves[0]
	require.Equal(t, Pending, mo.Phase)
	require.Equal(t, Split{Move: mo.ID, Old: "v1", New: "v2"}, st.Split("tag", "lahore"))

	st = st.Join(Fact{Step: &Step{Move: mo.ID, DataCentre: "lahore", Step: 2}})
	require.InDelta(t, 0.5, st.Split("tag", "lahore").Share, 0)
	require.Zero(t, st.Split("tag", "multan").Share)

	st = st.Join(Fact{TakeBack: &TakeBack{Move: mo.ID, Reason: "errors"}})
	require.Equal(t, Split{Old: "v1"}, st.Split("tag", "lahore"))
	require.Len(t, st.Unlogged(), 2)

	st, re := applyAll(t, st, Record{ID: "c", Base: 2, Document: testDocument("v2")})
	require.True(t, re.Accepted)
	require.Equal(t, Split{Old: "v1"}, st.Split("tag", "lahore"))

	// The same document is published again after the facts are in the log.
	st, re = applyAll(t, st, Record{
		ID: "d", Base: 3, Document: testDocument("v2"), Facts: st.Unlogged(),
	})
	require.True(t, re.Accepted)
	require.Equal(t, Split{Old: "v1"}, st.Split("tag", "lahore"))

	st, _ = applyAll(t, st, Record{
		ID: "e", Base: 4, Choose: &Choose{Service: "tag", Version: "v2"},
	})
	require.Empty(t, st.Unlogged())
	second := st.Split("tag", "lahore")
	require.Greater(t, second.Move, mo.ID)
	require.Equal(t, checker.Version("v1"), second.Old)
}

// Guards against an older mark that arrives late changing whether a data centre
// is out.
func TestMarks(t *testing.T) {
	st := &State{}
	out := st.NextMark("lahore", true)
	st = st.Join(Fact{Mark: &out})
	require.True(t, st.Out("lahore"))
	in := st.NextMark("lahore", false)
	st = st.Join(Fact{Mark: &in}).Join(Fact{Mark: &out})
	require.False(t, st.Out("lahore"))
	concurrent := DataCentreMark{DataCentre: "lahore", Epoch: in.Epoch, Out: true}
	require.True(t, st.Join(Fact{Mark: &concurrent}).Out("lahore"))
}

// Guards against a checkpoint that loses state, and against an older one
// replacing a newer state.
func TestCheckpoint(t *testing.T) {
	old, _ := applyAll(t, &State{}, Record{ID: "a", Document: testDocument("v1")})
	st, _ := applyAll(t, old, Record{ID: "b", Base: 1, Choose: &Choose{Service: "tag", Version: "v2"}})
	data, err := st.Checkpoint()
	require.NoError(t, err)
	loaded, err := LoadCheckpoint(data)
	require.NoError(t, err)
	require.Equal(t, st.Document(), loaded.Document())
	require.Equal(t, st.Moves(), loaded.Moves())
	require.Equal(t, st.Next(), loaded.Next())
	require.Equal(t, st.Revision(), st.Adopt(old).Revision())
	require.Equal(t, st.Revision(), old.Adopt(loaded).Revision())
	_, err = LoadCheckpoint(data[:len(data)-1])
	require.ErrorIs(t, err, ErrCorrupt)
}

// Guards against nodes that never apply a record again because the log trimmed
// records that none of them had read, and against a node that skipped from an
// older state and keeps that state.
func TestSkip(t *testing.T) {
	old, _ := applyAll(t, &State{}, Record{ID: "a", Document: testDocument("v1")})
	newer, _ := applyAll(t, old, Record{ID: "b", Base: 1, Document: testDocument("v2")})
	old, newer = old.Skip(5), newer.Skip(5)
	require.Equal(t, uint64(5), newer.Next())
	require.Equal(t, checker.Revision(2), newer.Revision())
	require.Equal(t, newer.Document(), old.Adopt(newer).Document())
	require.Equal(t, newer.Document(), newer.Adopt(old).Document())
	require.Same(t, newer, newer.Skip(4))
	next, re := applyAll(t, newer, Record{ID: "c", Base: 2, Document: testDocument("v3")})
	require.True(t, re.Accepted)
	require.Equal(t, checker.Revision(6), next.Revision())
	data, err := next.Checkpoint()
	require.NoError(t, err)
	loaded, err := LoadCheckpoint(data)
	require.NoError(t, err)
	require.Equal(t, uint64(1), loaded.Skips())
}

// genRecord draws a record whose base is the current revision or the one before.
func genRecord(rt *rapid.T, st *State) Record {
	base := checker.Revision(max(0, int(st.Revision())-rapid.IntRange(0, 1).Draw(rt, "lag")))
	rec := Record{ID: rapid.StringMatching(`[a-z]{2}`).Draw(rt, "id"), Base: base}
	version := checker.Version(rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(rt, "version"))
	switch rapid.IntRange(0, 3).Draw(rt, "kind") {
	case 0:
		rec.Document = testDocument(version)
	case 1, 2:
		rec.Choose = &Choose{Service: "tag", Version: version}
	case 3:
		rec.Facts = []Fact{genFact(rt, st)}
	}
	return rec
}

func genFact(rt *rapid.T, st *State) Fact {
	id := checker.MoveID(rapid.IntRange(1, 5).Draw(rt, "move") << moveIDBits)
	if moves := st.Moves(); len(moves) > 0 {
		id = moves[rapid.IntRange(0, len(moves)-1).Draw(rt, "nth")].ID
	}
	switch rapid.IntRange(0, 3).Draw(rt, "fact") {
	case 0:
		return Fact{TakeBack: &TakeBack{Move: id, Reason: "errors"}}
	case 1:
		return Fact{Step: &Step{Move: id, DataCentre: "lahore", Step: rapid.IntRange(1, 3).Draw(rt, "step")}}
	case 2:
		return Fact{Done: &MoveDone{Move: id}}
	default:
		return Fact{Mark: &DataCentreMark{
			DataCentre: "lahore", Epoch: rapid.Uint64Range(1, 4).Draw(rt, "epoch"),
			Out: rapid.Bool().Draw(rt, "out"),
		}}
	}
}

// Guards against nodes that apply the same log and end with different states.
// One receives facts earlier and in a different order, another restarts from
// checkpoints.
func TestFoldIsDeterministic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		before := asserter.Violations()
		plain, early, restarted := &State{}, &State{}, &State{}
		var log [][]byte
		var heard []Fact
		for range rapid.IntRange(1, 40).Draw(rt, "records") {
			if rapid.Bool().Draw(rt, "hear") {
				fa := genFact(rt, plain)
				heard = append(heard, fa)
				early = early.Join(fa)
			}
			data := mustEncode(rt, genRecord(rt, plain))
			if rapid.IntRange(0, 9).Draw(rt, "damage") == 0 {
				data = data[:rapid.IntRange(0, len(data)-1).Draw(rt, "length")]
			}
			log = append(log, data)
			plain = apply(rt, plain, log)
			early = apply(rt, early, log)
			restarted = apply(rt, restarted, log)
			if rapid.IntRange(0, 4).Draw(rt, "restart") == 0 {
				saved, err := restarted.Checkpoint()
				require.NoError(rt, err)
				restarted, err = LoadCheckpoint(saved)
				require.NoError(rt, err)
			}
		}
		require.Equal(rt, mustCheckpoint(rt, plain), mustCheckpoint(rt, early))
		require.Equal(rt, mustCheckpoint(rt, plain), mustCheckpoint(rt, restarted))
		rand.New(rand.NewPCG(1, 2)).Shuffle(len(heard), func(ii, jj int) {
			heard[ii], heard[jj] = heard[jj], heard[ii]
		})
		for _, fa := range heard {
			plain = plain.Join(fa)
		}
		require.Equal(rt, early.Facts(), plain.Facts())
		require.Equal(rt, early.FactsDigest(), plain.FactsDigest())
		require.Equal(rt, before, asserter.Violations())
	})
}

func apply(rt *rapid.T, st *State, log [][]byte) *State {
	next, _, err := st.Apply(uint64(len(log)-1), log[len(log)-1])
	require.NoError(rt, err)
	return next
}

func mustCheckpoint(tb require.TestingT, st *State) string {
	data, err := st.Checkpoint()
	require.NoError(tb, err)
	return string(data)
}

// Guards against joined marks that differ from the maximum over all marks.
func TestMarksMatchNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		st := &State{}
		naive := map[checker.DataCentre][]DataCentreMark{}
		for range rapid.IntRange(0, 30).Draw(rt, "marks") {
			mk := DataCentreMark{
				DataCentre: checker.DataCentre(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "dc")),
				Epoch:      rapid.Uint64Range(1, 5).Draw(rt, "epoch"),
				Out:        rapid.Bool().Draw(rt, "out"),
			}
			naive[mk.DataCentre] = append(naive[mk.DataCentre], mk)
			st = st.Join(Fact{Mark: &mk})
		}
		for dc := range maps.Keys(naive) {
			var best uint64
			out := false
			for _, mk := range naive[dc] {
				if mk.Epoch > best {
					best, out = mk.Epoch, mk.Out
				} else if mk.Epoch == best {
					out = out || mk.Out
				}
			}
			require.Equal(rt, out, st.Out(dc))
		}
	})
}

// Guards against a panic, or an invalid document in the state, when the log
// returns damaged bytes.
func FuzzDecode(f *testing.F) {
	f.Add(mustEncode(f, Record{ID: "a", Document: testDocument("v1")}))
	f.Fuzz(func(t *testing.T, data []byte) {
		st := &State{}
		next, _, err := st.Apply(0, data)
		if err == nil && next.Document() != nil {
			require.Empty(t, checker.Check(next.Document()))
		}
		_, _ = LoadCheckpoint(data)
	})
}
