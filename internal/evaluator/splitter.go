package evaluator

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

const (
	// goldenFraction is the fractional part of the golden ratio in units of
	// 2^-64. It distributes the positions of successive calls evenly on the
	// circle. Unlike those of a counter, they do not correlate with periodic
	// traffic.
	goldenFraction = 0x9e3779b97f4a7c15
	// sqrt2Fraction is the fractional part of the square root of 2 in units of
	// 2^-64. It distributes the first calls of the nodes evenly on the same
	// circle.
	sqrt2Fraction = 0x6a09e667f3bcc909

	// ProbeShare is the maximum share of the calls that are probes while the
	// share of the new version is zero.
	ProbeShare = 0.002
	// ProbeInterval is the least time between two probes of all nodes together.
	ProbeInterval = 5 * time.Second
	// ProbeDelay is how long the share is zero at a node before it sends probes.
	// By then the first data centre has had calls, so that the others send none
	// to a version that fails every call.
	ProbeDelay = time.Minute
	// ReferenceShare is the share of the calls that the old version keeps until
	// the move is done. Without it, a fault of the new version could not be told
	// from a problem of the data centre.
	ReferenceShare = 0.1
)

// Splitter assigns calls to the old or the new version of a move. It is safe for
// concurrent use. The zero value is ready for a node that is the only one.
type Splitter struct {
	rank  atomic.Pointer[nodeRank]
	moves sync.Map // checker.MoveID to *assignment
}

// nodeRank is the node's rank among the nodes that send calls of the same service
// in the data centre.
type nodeRank struct {
	rank, members int
}

// assignment is the state of one move at one node.
type assignment struct {
	calls atomic.Uint64
	// start is the time of the first call. nextProbe is the time since start at
	// which the next probe may be sent.
	start     time.Time
	nextProbe atomic.Int64
}

// SetRank sets the node's rank, from 0, among the nodes that send calls of the
// same service in the data centre, and the number of these nodes.
func (sp *Splitter) SetRank(rank, members int) {
	sp.rank.Store(&nodeRank{rank: max(rank, 0), members: max(members, 1)})
}

// Assign returns the version that gets the next call of the move. At share zero
// the new version gets probes only: at most one per [ProbeInterval] from all
// nodes together, and at most [ProbeShare] of the calls. The old version keeps
// [ReferenceShare] while the move is open.
func (sp *Splitter) Assign(mo checker.MoveID, share float64, now time.Time) Arm {
	nr := sp.rank.Load()
	if nr == nil {
		nr = &nodeRank{members: 1}
	}
	as := sp.assignment(mo, nr, now)
	position := uint64(nr.rank)*sqrt2Fraction + (as.calls.Add(1)-1)*goldenFraction
	if share > 0 {
		return armAt(position, min(share, 1-ReferenceShare))
	}
	if armAt(position, ProbeShare) == New && as.probe(nr, now) {
		return New
	}
	return Old
}

// armAt returns New for positions in the given share of the circle.
func armAt(position uint64, share float64) Arm {
	if float64(position) < share*math.Exp2(64) {
		return New
	}
	return Old
}

func (sp *Splitter) assignment(mo checker.MoveID, nr *nodeRank, now time.Time) *assignment {
	if as, ok := sp.moves.Load(mo); ok {
		return as.(*assignment)
	}
	fresh := &assignment{start: now}
	fresh.nextProbe.Store(int64(ProbeDelay) + int64(nr.rank)*int64(ProbeInterval))
	as, _ := sp.moves.LoadOrStore(mo, fresh)
	return as.(*assignment)
}

// probe reports whether the node may send a probe now. If so, it schedules the
// next one.
func (as *assignment) probe(nr *nodeRank, now time.Time) bool {
	elapsed := int64(now.Sub(as.start))
	next := as.nextProbe.Load()
	if elapsed < next {
		return false
	}
	return as.nextProbe.CompareAndSwap(next, elapsed+int64(nr.members)*int64(ProbeInterval))
}

// Keep removes the moves that are not in the list.
func (sp *Splitter) Keep(open []checker.MoveID) {
	kept := make(map[checker.MoveID]bool, len(open))
	for _, mo := range open {
		kept[mo] = true
	}
	sp.moves.Range(func(mo, _ any) bool {
		if !kept[mo.(checker.MoveID)] {
			sp.moves.Delete(mo)
		}
		return true
	})
}
