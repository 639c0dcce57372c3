package aggregator

import (
	"context"
	"errors"
	"flag"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavastall/guavastall/internal/detector"
	"github.com/guavastall/guavastall/pkg/checker"
)

// init fixes the seed of the randomised tests. The flag -rapid.seed on the
// command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var epoch = time.Unix(1_800_000_000, 0)

const firstIncarnation detector.Incarnation = 1 << 16

func testNode(nn int) checker.NodeID {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(nn)}), 7000)
}

func testMembers(dc checker.DataCentre, first, count int) []detector.Member {
	var members []detector.Member
	for nn := range count {
		members = append(members, detector.Member{
			Node: testNode(first + nn), Incarnation: firstIncarnation, DataCentre: dc,
		})
	}
	return members
}

// Guards against a revision that is reported as in effect although a node has not
// applied it or has not reported, or a data centre has no fresh summary.
func TestInEffect(t *testing.T) {
	north, south := testMembers("north", 1, 3), testMembers("south", 10, 2)
	var rn, rs Reports
	for _, me := range north {
		rn.Add(me.Node, me.Incarnation, 7, epoch)
	}
	for _, me := range south {
		rs.Add(me.Node, me.Incarnation, 7, epoch)
	}
	dcs := []checker.DataCentre{"north", "south"}
	var vi View
	vi.Add(rn.Summarise("north", north, time.Minute, epoch), 1, epoch)
	an := vi.InEffect(7, dcs, time.Minute, epoch)
	require.False(t, an.InEffect)
	require.Equal(t, []checker.DataCentre{"south"}, an.Unknown)

	vi.Add(rs.Summarise("south", south, time.Minute, epoch), 1, epoch)
	require.True(t, vi.InEffect(7, dcs, time.Minute, epoch).InEffect)
	require.False(t, vi.InEffect(7, dcs, time.Minute, epoch.Add(time.Hour)).InEffect)
	an = vi.InEffect(8, dcs, time.Minute, epoch)
	require.False(t, an.InEffect)
	require.Equal(t, dcs, an.Lacking)
	require.Equal(t, 5, an.BehindCount)

	rn.Add(testNode(1), firstIncarnation, 8, epoch)
	north[1].State = detector.Dead
	vi.Add(rn.Summarise("north", north, time.Minute, epoch), 2, epoch)
	an = vi.InEffect(8, dcs[:1], time.Minute, epoch)
	require.Equal(t, []Applied{{Node: testNode(3), Revision: 7}}, an.Behind)
	require.Equal(t, []checker.NodeID{testNode(2)}, an.Dead)
	rn.Add(testNode(3), firstIncarnation, 8, epoch)
	vi.Add(rn.Summarise("north", north, time.Minute, epoch), 3, epoch)
	require.True(t, vi.InEffect(8, dcs[:1], time.Minute, epoch).InEffect)

	north[0].Incarnation = 2 * firstIncarnation // restarted, has not reported
	vi.Add(rn.Summarise("north", north, time.Minute, epoch), 4, epoch)
	an = vi.InEffect(8, dcs[:1], time.Minute, epoch)
	require.False(t, an.InEffect)
	require.Equal(t, []checker.NodeID{testNode(1)}, an.Silent)
	vi.Add(Summary{DataCentre: "north"}, 3, epoch)
	require.Equal(t, an, vi.InEffect(8, dcs[:1], time.Minute, epoch),
		"an older summary replaced a newer one")
}

// Guards against summaries and answers that differ from a direct count of the
// reports.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		members := testMembers("north", 1, rapid.IntRange(1, 40).Draw(rt, "count"))
		var rs Reports
		want := rapid.Uint64Range(1, 4).Draw(rt, "wanted")
		behind, silent, dead := 0, 0, 0
		for nn := range members {
			re := rapid.Uint64Range(0, 4).Draw(rt, "revision")
			members[nn].State = detector.State(rapid.IntRange(0, 3).Draw(rt, "state"))
			if re > 0 {
				rs.Add(members[nn].Node, firstIncarnation, checker.Revision(re), epoch)
				// A delayed report.
				rs.Add(members[nn].Node, firstIncarnation, checker.Revision(re-1), epoch)
			}
			switch {
			case members[nn].State == detector.Left:
			case members[nn].State == detector.Dead:
				dead++
			case re == 0:
				silent++
			case re < want:
				behind++
			}
		}
		su := rs.Summarise("north", members, time.Minute, epoch)
		decoded, err := DecodeSummary(su.Encode())
		require.NoError(rt, err)
		require.Equal(rt, su, decoded)
		require.LessOrEqual(rt, len(su.Encode()), 1000)
		require.Equal(rt, silent, su.SilentCount)
		require.Equal(rt, dead, su.DeadCount)
		var vi View
		vi.Add(decoded, 1, epoch)
		an := vi.InEffect(checker.Revision(want), []checker.DataCentre{"north"}, time.Minute, epoch)
		require.Equal(rt, behind+silent == 0, an.InEffect)
		require.GreaterOrEqual(rt, an.BehindCount, behind)
		for _, ap := range an.Behind {
			require.Less(rt, ap.Revision, checker.Revision(want))
		}
	})
}

// fleet connects aggregators in memory.
type fleet struct {
	mu    sync.Mutex
	nodes map[checker.NodeID]*Aggregator
	notes map[string]detector.Note
	all   []detector.Member
	down  map[checker.NodeID]bool
}

type fleetNode struct {
	*fleet
	self detector.Member
}

func (fn fleetNode) Call(_ context.Context, node checker.NodeID, _ string, args, reply any) error {
	fn.mu.Lock()
	ag, down := fn.nodes[node], fn.down[node]
	fn.mu.Unlock()
	if down {
		return errors.New("down")
	}
	return ag.Receiver().Report(args.(Report), reply.(*Received))
}

func (fn fleetNode) MarkRepeatable(...string) {}

func (fn fleetNode) Self() detector.Member { return fn.self }

func (fn fleetNode) Members() ([]detector.Member, <-chan struct{}) {
	fn.mu.Lock()
	defer fn.mu.Unlock()
	return slices.Clone(fn.all), nil
}

func (fn fleetNode) SetNote(no detector.Note) {
	fn.mu.Lock()
	defer fn.mu.Unlock()
	if no.Epoch > fn.notes[no.Key].Epoch {
		fn.notes[no.Key] = no
	}
}

func (fn fleetNode) Notes() map[string]detector.Note {
	fn.mu.Lock()
	defer fn.mu.Unlock()
	notes := map[string]detector.Note{}
	for key, no := range fn.notes {
		notes[key] = no
	}
	return notes
}

// Guards against nodes that do not report, against aggregator nodes that publish
// no summary, and against reports that still go to a dead aggregator node.
func TestAggregatorNodes(t *testing.T) {
	fl := &fleet{
		nodes: map[checker.NodeID]*Aggregator{}, notes: map[string]detector.Note{},
		all:  append(testMembers("north", 1, 4), testMembers("south", 10, 3)...),
		down: map[checker.NodeID]bool{},
	}
	first := func(_ string, nodes []checker.NodeID) checker.NodeID { return nodes[0] }
	cancels := map[checker.NodeID]context.CancelFunc{}
	for _, me := range fl.all {
		fn := fleetNode{fleet: fl, self: me}
		ag := New(Config{
			Owner: first, ReportInterval: 100 * time.Millisecond,
			MinSummaryInterval: 40 * time.Millisecond,
		}, fn, fn)
		fl.mu.Lock()
		fl.nodes[me.Node] = ag
		fl.mu.Unlock()
		ctx, cancel := context.WithCancel(t.Context())
		cancels[me.Node] = cancel
		ended := ag.Start(ctx)
		t.Cleanup(func() {
			cancel()
			<-ended
		})
	}
	inEffect := func(re checker.Revision) func() bool {
		return func() bool { return fl.nodes[testNode(2)].InEffect(re).InEffect }
	}
	for nn, ag := range fl.nodes {
		if nn != testNode(3) {
			ag.Applied(5)
		}
	}
	require.Eventually(t, func() bool {
		an := fl.nodes[testNode(2)].InEffect(5)
		return slices.Equal(an.Behind, []Applied{{Node: testNode(3)}})
	}, 10*time.Second, 10*time.Millisecond)
	fl.nodes[testNode(3)].Applied(5)
	require.Eventually(t, inEffect(5), 10*time.Second, 10*time.Millisecond)

	cancels[testNode(1)]()
	fl.mu.Lock()
	fl.all[0].State, fl.down[testNode(1)] = detector.Dead, true
	fl.mu.Unlock()
	for nn := 2; nn <= 4; nn++ {
		fl.nodes[testNode(nn)].Applied(6)
	}
	for nn := 10; nn <= 12; nn++ {
		fl.nodes[testNode(nn)].Applied(6)
	}
	require.Eventually(t, inEffect(6), 10*time.Second, 10*time.Millisecond)
	require.Equal(t, []checker.NodeID{testNode(1)}, fl.nodes[testNode(2)].InEffect(6).Dead)
	require.Len(t, fl.nodes[testNode(2)].Summaries(), 2)
}

// FuzzDecodeSummary guards against input that makes the decoder panic, and
// against accepted input that changes when it is encoded again.
func FuzzDecodeSummary(f *testing.F) {
	var rs Reports
	rs.Add(testNode(1), firstIncarnation, 3, epoch)
	f.Add(rs.Summarise("north", testMembers("north", 1, 3), time.Minute, epoch).Encode())
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		su, err := DecodeSummary(data)
		if err != nil {
			return
		}
		again, err := DecodeSummary(su.Encode())
		require.NoError(t, err)
		require.Equal(t, su, again)
	})
}
