package detector

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavastall/guavastall/internal/asserter"
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

func testNode(nn int) checker.NodeID {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(nn), 1}), 7000)
}

func testMember(nn int) Member {
	return Member{
		Node: testNode(nn), Incarnation: 1 << changeBits, DataCentre: "dc-0", Region: "punjab",
		Service: "tag", Version: "v1", Slots: 20, Connections: 130,
	}
}

func newDetector(nn int) *Detector {
	return New(testMember(nn), Config{Random: rand.New(rand.NewPCG(uint64(nn), 1))}, epoch)
}

func stateOf(de *Detector, nn int) State {
	en := de.table.entries[testNode(nn)]
	if en == nil {
		return stateCount
	}
	return en.state()
}

// Guards against a node whose incarnation stays below the one that its peers
// know, after its clock stepped back before a restart or after it was suspected
// or declared dead.
func TestRefute(t *testing.T) {
	for _, tt := range []struct {
		name   string
		modify func(*Member)
		want   Incarnation
	}{
		{"older process", func(me *Member) { me.Incarnation = 5 }, 1 << changeBits},
		{"same", func(*Member) {}, 1 << changeBits},
		{"suspected", func(me *Member) { me.State = Suspect }, 1<<changeBits + 1},
		{"dead", func(me *Member) { me.State, me.Incarnation = Dead, me.Incarnation+8 }, 1<<changeBits + 9},
		{"clock stepped back", func(me *Member) { me.Incarnation = 9<<changeBits + 4 }, 10 << changeBits},
		{"left in an earlier process", func(me *Member) {
			me.Incarnation, me.State = 9<<changeBits, Left
		}, 10 << changeBits},
		{"other attributes", func(me *Member) { me.Version = "v0" }, 1<<changeBits + 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			de := newDetector(0)
			record := testMember(0)
			tt.modify(&record)
			de.Merge([]Member{record}, nil, testNode(1), epoch)
			require.Equal(t, tt.want, de.Self().Incarnation)
			require.Equal(t, Alive, de.Self().State)
			require.Equal(t, record.State == Suspect || record.State == Dead, de.Refutations() == 1)
		})
	}
}

// Guards against a member that is removed on a peer's report before it can
// refute the report, and against dead members that keep circulating after they
// were removed.
func TestDeathOfOthers(t *testing.T) {
	de := newDetector(0)
	alive, dead := testMember(1), testMember(1)
	dead.State = Dead
	de.Merge([]Member{dead}, nil, testNode(2), epoch)
	require.Equal(t, stateCount, stateOf(de, 1), "an unknown dead member was stored")
	de.Merge([]Member{alive, dead}, nil, testNode(2), epoch)
	require.Equal(t, Suspect, stateOf(de, 1))
	de.Tick(epoch.Add(time.Second))
	require.Equal(t, Suspect, stateOf(de, 1))

	refuted := alive
	refuted.Incarnation++
	de.Merge([]Member{refuted}, nil, testNode(2), epoch)
	require.Equal(t, Alive, stateOf(de, 1))

	dead.Incarnation += 2
	de.Merge([]Member{dead}, nil, testNode(2), epoch)
	for nn := range 40 {
		de.Tick(epoch.Add(time.Duration(nn) * time.Second / 10))
	}
	require.Equal(t, Dead, stateOf(de, 1))
}

// Guards against a member that left and still counts as known, and against a
// leaving node that refutes its own leave.
func TestLeave(t *testing.T) {
	de, other := newDetector(0), newDetector(1)
	de.Merge([]Member{other.Self()}, nil, testNode(1), epoch)
	other.Merge([]Member{de.Self()}, nil, testNode(0), epoch)
	de.Change(func(me *Member) { me.Draining = true }, epoch)
	de.Leave(epoch)
	left := de.Self()
	require.True(t, left.Draining)
	other.Merge([]Member{left}, nil, testNode(0), epoch)
	require.Equal(t, Left, stateOf(other, 0))
	require.Zero(t, other.Counts()["dc-0"].Known-1)
	suspected := left
	suspected.State, suspected.Incarnation = Suspect, left.Incarnation+1
	de.Merge([]Member{suspected}, nil, testNode(1), epoch)
	require.Equal(t, left, de.Self())
}

// Guards against a node that suspects its neighbours after its process was
// paused, because it did not read their answers in time.
func TestResume(t *testing.T) {
	de := newDetector(0)
	de.Merge([]Member{testMember(1), testMember(2)}, nil, testNode(1), epoch)
	actions := de.Tick(epoch)
	require.NotEmpty(t, actions)
	later := epoch.Add(time.Minute)
	de.Tick(later)
	for _, ac := range actions {
		de.HandleFailure(ac, later)
	}
	for _, ac := range de.Tick(later) {
		require.NotEqual(t, PingVia, ac.Kind)
	}
	require.Equal(t, Alive, stateOf(de, 1))
}

// pingsTo returns those of the actions that ping the node.
func pingsTo(actions []Action, nn int) []Action {
	return slices.DeleteFunc(actions, func(ac Action) bool {
		return ac.Kind != Ping || ac.Target != testNode(nn)
	})
}

// Guards against changes that are lost with a message, against a node that does
// not introduce itself to a peer that does not know it, and against a suspect
// that is not told.
func TestResend(t *testing.T) {
	de := newDetector(0)
	de.Merge([]Member{testMember(1)}, nil, testNode(1), epoch)
	first := pingsTo(de.Tick(epoch), 1)
	require.Equal(t, []Member{de.Self()}, first[0].Message.Members)
	de.HandleAck(first[0], Message{From: testNode(1), Unknown: true}, epoch)
	second := pingsTo(de.Tick(epoch.Add(time.Second)), 1)
	require.Equal(t, []Member{de.Self()}, second[0].Message.Members)
	de.HandleAck(second[0], Message{From: testNode(1), Incarnation: testMember(1).Incarnation}, epoch)

	de.Merge([]Member{testMember(2)}, nil, testNode(2), epoch)
	third := pingsTo(de.Tick(epoch.Add(2*time.Second)), 1)
	require.Equal(t, []Member{testMember(2)}, third[0].Message.Members)
	de.HandleFailure(third[0], epoch.Add(2*time.Second))
	require.Contains(t, de.Probe(testNode(1), epoch).Message.Members, testMember(2))

	suspected := testMember(1)
	suspected.State = Suspect
	de.Merge([]Member{suspected}, nil, testNode(1), epoch)
	require.Contains(t, de.Probe(testNode(1), epoch).Message.Members, suspected)
}

// Guards against peers that keep their bit after they were removed, and against
// more peers than there are bits.
func TestPeerBits(t *testing.T) {
	de := newDetector(0)
	for nn := 1; nn <= 100; nn++ {
		de.peer(testNode(nn), epoch)
	}
	require.Zero(t, de.bit(testNode(100)))
	note := Note{Key: "a", Epoch: 1}
	de.Merge([]Member{testMember(1)}, []Note{note}, testNode(1), epoch)
	require.False(t, de.table.hasChanges(1, de.bit(testNode(1))),
		"a change is sent back to its sender")
	de.sweep(epoch.Add(peerTTL))
	require.Zero(t, de.usedBits)
	pe := de.peer(testNode(2), epoch)
	require.NotZero(t, pe.bit)
	members, notes, _ := de.table.changes(1, pe.bit, maxMessageChanges)
	require.Equal(t, []Member{testMember(1)}, members,
		"a new peer inherited the records of the bit's previous owner")
	require.Equal(t, []Note{note}, notes)
}

// Guards against tables that stay different because no message carries the
// missing records and no exchange starts.
func TestExchangeTimes(t *testing.T) {
	de := newDetector(0)
	de.Merge([]Member{testMember(1)}, nil, testNode(1), epoch)
	exchanges := func(differing bool) int {
		de.nextExchange = epoch.Add(time.Hour)
		count, now := 0, de.lastTick
		for range 50 {
			now = now.Add(100 * time.Millisecond)
			for _, ac := range de.Tick(now) {
				answer := Message{From: testNode(1), Incarnation: testMember(1).Incarnation, Digest: de.Digest()}
				if ac.Kind == Exchange {
					count++
				}
				if differing {
					answer.Digest++
				}
				if ac.Kind == Ping {
					de.HandleAck(ac, answer, now)
				}
			}
		}
		return count
	}
	require.Zero(t, exchanges(false))
	require.Equal(t, 1, exchanges(true))
	de.nextExchange = de.lastTick
	actions := de.Tick(de.lastTick.Add(time.Millisecond))
	require.Contains(t, actions, de.exchange(testNode(1), 0, de.lastTick))
}

// Guards against states set while the node was isolated that remain after a
// pause of the process and the next contact, and against members that are never
// removed because their death is known locally only.
func TestLocalVerdicts(t *testing.T) {
	de := newDetector(0)
	de.Merge([]Member{testMember(1), testMember(2)}, nil, testNode(1), epoch)
	de.setLocalState(de.table.entries[testNode(1)], Dead, epoch)
	now := epoch.Add(time.Minute)
	de.Tick(now)
	forgotten := now.Add(de.config.DeadRetention)
	de.HandlePing(Message{From: testNode(2), Incarnation: testMember(2).Incarnation}, now)
	require.Equal(t, Alive, stateOf(de, 1))
	de.setLocalState(de.table.entries[testNode(1)], Dead, now)
	de.sweep(forgotten)
	require.Equal(t, stateCount, stateOf(de, 1))
}

// Guards against a note that returns to an older value, and against notes that
// grow in size or number without bound.
func TestNotes(t *testing.T) {
	de := newDetector(0)
	require.True(t, de.SetNote(Note{Key: "a", Epoch: 2, Data: []byte("x")}))
	require.False(t, de.SetNote(Note{Key: "a", Epoch: 1, Data: []byte("y")}))
	require.False(t, de.SetNote(Note{Key: "a", Epoch: 3, Data: make([]byte, maxNoteBytes+1)}))
	for nn := range 2 * maxNotes {
		de.SetNote(Note{Key: fmt.Sprint(nn)})
	}
	require.Len(t, de.Notes(), maxNotes)
}

// drawMember draws a record about one of a few members.
func drawMember(rt *rapid.T) Member {
	me := testMember(rapid.IntRange(1, 6).Draw(rt, "node"))
	me.Incarnation = Incarnation(rapid.IntRange(1, 3).Draw(rt, "incarnation"))
	me.State = rapid.SampledFrom([]State{Alive, Alive, Alive, Suspect, Dead, Left}).Draw(rt, "state")
	me.Slots = uint32(rapid.IntRange(1, 2).Draw(rt, "slots"))
	return me
}

// reference is a simple implementation of merging: it keeps the record of each
// member that takes precedence over all others received.
type reference map[checker.NodeID]Member

func (re reference) add(me Member) {
	known, ok := re[me.Node]
	if !ok || me.Incarnation > known.Incarnation ||
		me.Incarnation == known.Incarnation && me.State > known.State ||
		me.Incarnation == known.Incarnation && me.State == known.State && me.hash() > known.hash() {
		re[me.Node] = me
	}
}

// Guards against merging that depends on the order of the records. Two detectors
// and the reference receive the same records, one detector in another order.
// After all suspicions have expired, incarnations and states must be equal.
func TestMergeAgainstNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawMember), 1, 30).Draw(rt, "records")
		order := rapid.Permutation(records).Draw(rt, "order")
		want := reference{}
		first, second := newDetector(0), newDetector(0)
		for nn := range 7 {
			base := testMember(nn)
			base.Incarnation = 0
			first.Merge([]Member{base}, nil, testNode(1), epoch)
			second.Merge([]Member{base}, nil, testNode(1), epoch)
		}
		for nn, me := range records {
			want.add(me)
			first.Merge([]Member{me}, nil, testNode(1), epoch)
			second.Merge(order[nn:nn+1], nil, testNode(1), epoch)
		}
		for _, de := range []*Detector{first, second} {
			for nn := range 20 {
				de.expireSuspects(epoch.Add(time.Duration(nn) * time.Second))
			}
			for node, me := range want {
				if me.State == Suspect {
					me.State = Dead
				}
				got := de.table.entries[node]
				require.Equal(rt, me.Incarnation, got.Incarnation)
				require.Equal(rt, me.State, got.state(), "%v", node)
			}
		}
		require.Equal(rt, first.table.memberHash, second.table.memberHash)
	})
}

// Guards against digest exchanges that transfer fewer records than an exchange
// of full tables would. After an exchange between two detectors with random
// tables, both must hold the union.
func TestExchangeAgainstNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		near, far := newDetector(200), newDetector(201)
		want := reference{}
		for _, de := range []*Detector{near, far} {
			want.add(de.Self())
			for range rapid.IntRange(0, 400).Draw(rt, "count") {
				me := testMember(0)
				me.Node = netip.AddrPortFrom(netip.AddrFrom4([4]byte{
					10, 1, byte(de.config.Random.IntN(2)), byte(de.config.Random.IntN(256))}), 7000)
				me.Incarnation = Incarnation(1 + de.config.Random.IntN(3))
				de.Merge([]Member{me}, nil, testNode(1), epoch)
				want.add(me)
			}
			de.SetNote(Note{Key: "k", Epoch: de.config.Random.Uint64N(3)})
		}
		for queue := []Action{near.exchange(far.node, 0, epoch)}; len(queue) > 0; {
			ac := queue[0]
			answer := far.HandleOffer(ac.Offer, epoch)
			near.HandleOfferAnswer(ac, answer, epoch)
			queue, near.queue = append(queue[1:], near.queue...), nil
		}
		for _, de := range []*Detector{near, far} {
			got := reference{}
			for _, me := range de.Members() {
				got[me.Node] = me
			}
			require.Equal(rt, want, got)
		}
		require.Equal(rt, near.Digest(), far.Digest())
		require.Equal(rt, near.Notes(), far.Notes())
	})
}

// Guards against a member that no node probes: on the rings each member has a
// predecessor. The log shows how many members would have no prober in their data
// centre if neighbours were chosen by rendezvous hashing.
func TestEveryMemberIsProbed(t *testing.T) {
	si := newSim(3, 200, 2, Config{})
	si.startAll()
	probed := map[checker.NodeID]int{}
	for _, no := range si.nodes {
		no.de.updateNeighbours()
		require.Len(t, no.de.Neighbours(), ringCount)
		outside := 0
		for _, node := range no.de.Neighbours() {
			probed[node]++
			if si.byID[node].dc != no.dc {
				outside++
			}
		}
		require.Equal(t, 1, outside)
	}
	least := len(si.nodes)
	for _, no := range si.nodes {
		least = min(least, probed[no.id])
	}
	require.Positive(t, least)
	chosen := map[int]bool{} // by rendezvous hashing: the best 3 for each node
	for node := range si.nodes {
		var others []int
		for other, no := range si.nodes {
			if other != node && no.dc == si.nodes[node].dc {
				others = append(others, other)
			}
		}
		slices.SortFunc(others, func(one, two int) int {
			return cmp.Compare(rendezvousHash(node, two), rendezvousHash(node, one))
		})
		for _, other := range others[:localRings] {
			chosen[other] = true
		}
	}
	without := len(si.nodes) - len(chosen)
	t.Logf("rings: each member is probed by at least %d; rendezvous hashing: %d of %d by none in their data centre",
		least, without, len(si.nodes))
}

// FuzzDecodeMembers guards against input that makes the decoder or Merge panic,
// and against accepted input that changes when it is encoded again.
func FuzzDecodeMembers(f *testing.F) {
	f.Add(EncodeMembers([]Member{testMember(0), testMember(1)}))
	f.Add([]byte{0, 1, 4, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		members, err := DecodeMembers(data)
		if err != nil {
			return
		}
		again, err := DecodeMembers(EncodeMembers(members))
		require.NoError(t, err)
		require.True(t, slices.Equal(members, again))
		de := newDetector(0)
		de.Merge(members, nil, testNode(1), epoch)
		de.Tick(epoch)
	})
}

// requireNoViolations requires that no run-time assertion was violated since
// before was read.
func requireNoViolations(tb require.TestingT, before int64) {
	require.Equal(tb, before, asserter.Violations())
}

// Guards against nodes that start together, form separate groups, and stay
// separate until the seeds are retried at the longest interval.
func TestSeedsAreRetriedSoonAfterStart(t *testing.T) {
	now := time.Unix(1000, 0)
	seeds := []checker.NodeID{testNode(1), testNode(2), testNode(3)}
	de := New(Member{Node: testNode(9), DataCentre: "a"}, Config{
		Random: rand.New(rand.NewPCG(1, 1)), Seeds: seeds,
	}, now)
	peer := New(Member{Node: testNode(3), DataCentre: "a"}, Config{
		Random: rand.New(rand.NewPCG(2, 2)),
	}, now)
	tried := map[checker.NodeID]bool{}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for _, ac := range de.Tick(now) {
			if ac.Target != testNode(3) {
				tried[ac.Target] = true
				de.HandleFailure(ac, now)
				continue
			}
			switch ac.Kind {
			case Exchange:
				de.HandleOfferAnswer(ac, peer.HandleOffer(ac.Offer, now), now)
			case Ping:
				de.HandleAck(ac, peer.HandlePing(ac.Message, now), now)
			}
		}
	}
	require.True(t, tried[testNode(1)] && tried[testNode(2)], "tried %v within 10 s", tried)
}

// BenchmarkSecond measures one second of work with 750 members and no changes:
// ten ticks, the answers to four pings, and four pings received.
func BenchmarkSecond(b *testing.B) {
	si := newSim(1, 750, 9, Config{})
	si.startAll()
	de, now := si.nodes[0].de, si.now
	for b.Loop() {
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			for _, ac := range de.Tick(now) {
				if ac.Kind == Ping {
					answer := Message{From: ac.Target, Digest: de.Digest()}
					de.HandleAck(ac, answer, now)
					de.HandlePing(answer, now)
				}
			}
		}
	}
}
