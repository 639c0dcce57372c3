package evaluator

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

const (
	// fraction is the golden ratio's fractional part in units of 2^-64. The
	// positions of successive calls then spread evenly, and, unlike those of a
	// counter, do not fall into step with periodic traffic.
	fraction = 0x9e3779b97f4a7c15
	// rankFraction is the fractional part of the square root of 2. It spreads
	// the first calls of the nodes evenly over the same circle.
	rankFraction = 0x6a09e667f3bcc909

	// ProbeShare bounds the probe traffic at share zero as a share of the calls.
	ProbeShare = 0.002
	// ProbeInterval is the least time between two probes of all nodes together.
	ProbeInterval = 5 * time.Second
	// ProbeDelay is how long a node sees the share at zero before it probes. By
	// then the first data centre has had calls, so that of a version that fails
	// every call the others see none.
	ProbeDelay = time.Minute
	// ReferenceShare is the share of calls the old version keeps at the last
	// step until the move is done. Without it nothing tells a fault of the new
	// version from trouble of the data centre.
	ReferenceShare = 0.1
)

// Splitter assigns calls to the old or the new version of a move. It is safe
// for concurrent use; the zero value is a node that is alone.
type Splitter struct {
	place atomic.Pointer[place]
	moves sync.Map // checker.MoveID to *assignment
}

// place is the node's rank among the members.
type place struct {
	rank, members int
}

// assignment is the state of one move at one node.
type assignment struct {
	calls atomic.Uint64
	// start is the time of the first call, and nextProbe the time after it
	// from which the next probe may go out.
	start     time.Time
	nextProbe atomic.Int64
}

// SetRank tells the splitter the node's rank, from 0, among the nodes that
// send calls of the same service in the data centre.
func (sp *Splitter) SetRank(rank, members int) {
	sp.place.Store(&place{rank: max(rank, 0), members: max(members, 1)})
}

// Assign returns the version that takes the next call of the move. At share
// zero the new version gets probes only, at most one in [ProbeInterval] from
// all nodes together and at most [ProbeShare] of the calls. The old version
// keeps [ReferenceShare] while the move is open.
func (sp *Splitter) Assign(mo checker.MoveID, share float64, now time.Time) Arm {
	pl := sp.place.Load()
	if pl == nil {
		pl = &place{members: 1}
	}
	as := sp.assignment(mo, pl, now)
	position := uint64(pl.rank)*rankFraction + (as.calls.Add(1)-1)*fraction
	if share > 0 {
		return armAt(position, min(share, 1-ReferenceShare))
	}
	if armAt(position, ProbeShare) == New && as.probe(pl, now) {
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

func (sp *Splitter) assignment(mo checker.MoveID, pl *place, now time.Time) *assignment {
	if as, ok := sp.moves.Load(mo); ok {
		return as.(*assignment)
	}
	fresh := &assignment{start: now}
	fresh.nextProbe.Store(int64(ProbeDelay) + int64(pl.rank)*int64(ProbeInterval))
	as, _ := sp.moves.LoadOrStore(mo, fresh)
	return as.(*assignment)
}

// probe reports whether the node may send a probe now, and books it.
func (as *assignment) probe(pl *place, now time.Time) bool {
	elapsed := int64(now.Sub(as.start))
	next := as.nextProbe.Load()
	if elapsed < next {
		return false
	}
	return as.nextProbe.CompareAndSwap(next, elapsed+int64(pl.members)*int64(ProbeInterval))
}

// Keep forgets the moves that are not in the list.
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
