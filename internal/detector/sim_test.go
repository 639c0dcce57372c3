package detector

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Estimated bytes of a call in addition to its members and notes; the gossiper's
// tests measure the same over sockets.
const (
	pingOverhead     = 75
	answerOverhead   = 45
	exchangeOverhead = 90
)

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (ev events) Len() int { return len(ev) }
func (ev events) Less(ii, jj int) bool {
	if !ev[ii].at.Equal(ev[jj].at) {
		return ev[ii].at.Before(ev[jj].at)
	}
	return ev[ii].seq < ev[jj].seq
}
func (ev events) Swap(ii, jj int) { ev[ii], ev[jj] = ev[jj], ev[ii] }
func (ev *events) Push(xx any)    { *ev = append(*ev, xx.(event)) }
func (ev *events) Pop() any {
	last := (*ev)[len(*ev)-1]
	*ev = (*ev)[:len(*ev)-1]
	return last
}

// simNode is a simulated node. Its detector is nil while the node is down.
type simNode struct {
	id     checker.NodeID
	dc     checker.DataCentre
	de     *Detector
	run    int // number of starts
	paused bool
	loss   float64 // probability of loss of a message from or to the node
	deaths int     // number of members that the node declared dead
	// version is the table version up to which the invariants were checked.
	version uint64
	bytes   int
	seen    map[checker.NodeID]Member
}

// sim simulates a fleet of detectors in virtual time.
type sim struct {
	now    time.Time
	seq    int
	events events
	rng    *rand.Rand
	nodes  []*simNode
	byID   map[checker.NodeID]*simNode
	loss   float64
	// cut reports whether a message from one node to another is lost.
	cut       func(from, to *simNode) bool
	config    Config
	violation string
	// suspicions and deaths count the changes of a member's state to Suspect
	// and Dead on all nodes.
	suspicions, deaths int
	// clock is the wall clock offset of nodes at their start.
	clock time.Duration
}

const tickTime = 100 * time.Millisecond

func newSim(seed uint64, count, dcs int, co Config) *sim {
	si := &sim{
		now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(seed, 7)),
		byID: map[checker.NodeID]*simNode{}, config: co,
	}
	for nn := range count {
		addr := netip.AddrFrom4([4]byte{10, byte(nn >> 8), byte(nn), 1})
		no := &simNode{
			id: netip.AddrPortFrom(addr, 7000),
			dc: checker.DataCentre(fmt.Sprintf("dc-%d", nn%dcs)),
		}
		si.nodes = append(si.nodes, no)
		si.byID[no.id] = no
	}
	return si
}

func (si *sim) after(du time.Duration, run func()) {
	si.seq++
	heap.Push(&si.events, event{at: si.now.Add(du), seq: si.seq, run: run})
}

// runFor advances the virtual time by du and runs the events due.
func (si *sim) runFor(du time.Duration) {
	end := si.now.Add(du)
	for len(si.events) > 0 && !si.events[0].at.After(end) {
		ev := heap.Pop(&si.events).(event)
		si.now = ev.at
		ev.run()
	}
	si.now = end
}

// start starts a node as a new process with an empty table.
func (si *sim) start(no *simNode) {
	co := si.config
	co.Random = rand.New(rand.NewPCG(si.rng.Uint64(), 1))
	co.Seeds = []checker.NodeID{si.nodes[0].id, si.nodes[len(si.nodes)/2].id}
	no.run++
	no.paused, no.version = false, 0
	no.seen = map[checker.NodeID]Member{}
	no.de = New(Member{
		Node: no.id, Incarnation: FirstIncarnation(si.now.Add(si.clock)), DataCentre: no.dc,
		Region: "punjab", Service: "tag", Version: "v1", Slots: 20, Connections: 130,
	}, co, si.now)
	run := no.run
	var tick func()
	tick = func() {
		if no.run != run || no.de == nil {
			return
		}
		if !no.paused {
			si.tick(no)
		}
		si.after(tickTime, tick)
	}
	si.after(time.Duration(si.rng.Int64N(int64(tickTime))), tick)
}

// startAll starts every node, each with all members in its table.
func (si *sim) startAll() {
	var all []Member
	for _, no := range si.nodes {
		si.start(no)
		all = append(all, no.de.Self())
	}
	for _, no := range si.nodes {
		no.de.Merge(all, nil, checker.NodeID{}, si.now)
		no.de.peers = map[checker.NodeID]*peer{}
	}
}

func (si *sim) stop(no *simNode) { no.de = nil }

func (si *sim) tick(no *simNode) {
	for _, ac := range no.de.Tick(si.now) {
		si.act(no, ac)
	}
	if no.version == no.de.table.version {
		return
	}
	for _, en := range no.de.table.list {
		if en.version <= no.version {
			continue
		}
		was := no.seen[en.Node]
		if en.Incarnation < was.Incarnation {
			si.violation = fmt.Sprintf("%v: incarnation of %v decreased", no.id, en.Node)
		}
		if en.State != was.State && en.State == Suspect {
			si.suspicions++
		}
		if en.State != was.State && en.State == Dead {
			si.deaths++
			no.deaths++
		}
		no.seen[en.Node] = en.Member
	}
	no.version = no.de.table.version
}

// passes reports whether a message between two nodes arrives.
func (si *sim) passes(from, to *simNode) bool {
	if to == nil || to.de == nil || si.rng.Float64() < max(si.loss, from.loss, to.loss) {
		return false
	}
	return si.cut == nil || !si.cut(from, to)
}

func (si *sim) latency() time.Duration {
	return time.Millisecond + time.Duration(si.rng.Int64N(int64(2*time.Millisecond)))
}

// call delivers a request and its answer, or calls missed after the timeout. If
// the target is down but its network is up, missed is called without delay.
func (si *sim) call(from *simNode, target checker.NodeID, timeout time.Duration, serve func(to *simNode) time.Duration, done, missed func()) {
	run, to := from.run, si.byID[target]
	back := func(du time.Duration, result func()) {
		si.after(du, func() {
			if from.de == nil || from.run != run {
				return
			}
			if from.paused { // deliver the result after the process has resumed
				si.after(tickTime, func() {
					if from.de != nil && from.run == run && !from.paused {
						result()
						si.flush(from)
					}
				})
				return
			}
			result()
			si.flush(from)
		})
	}
	if to != nil && to.de == nil && (si.cut == nil || !si.cut(from, to) && !si.cut(to, from)) {
		back(si.latency(), missed)
		return
	}
	if !si.passes(from, to) {
		back(timeout, missed)
		return
	}
	si.after(si.latency(), func() {
		if to.de == nil || to.paused {
			back(timeout, missed)
			return
		}
		took := serve(to)
		if !si.passes(to, from) {
			back(timeout, missed)
			return
		}
		back(took+si.latency(), done)
	})
}

// flush performs the actions that a result has queued, as the gossiper does.
func (si *sim) flush(no *simNode) {
	if no.de != nil && !no.paused && len(no.de.queue) > 0 {
		si.tick(no)
	}
}

func (si *sim) count(nodes []*simNode, bytes int) {
	for _, no := range nodes {
		no.bytes += bytes
	}
}

func (si *sim) act(from *simNode, ac Action) {
	to := si.byID[ac.Target]
	switch ac.Kind {
	case Ping:
		si.ping(from, ac, time.Second, func(ms Message) {
			from.de.HandleAck(ac, ms, si.now)
		}, func() { from.de.HandleFailure(ac, si.now) })
	case PingVia:
		via := si.byID[ac.Via]
		denied := false
		si.count([]*simNode{from, via}, pingOverhead+answerOverhead)
		// The time and loss of the helper's own ping are part of this call.
		si.call(from, ac.Via, 2*time.Second, func(via *simNode) time.Duration {
			denied = to == nil || to.de == nil || to.paused || !si.passes(via, to) || !si.passes(to, via)
			switch {
			case !denied:
				pr := via.de.Probe(ac.Target, si.now)
				via.de.HandleAck(pr, to.de.HandlePing(pr.Message, si.now), si.now)
				return 2 * si.latency()
			case to != nil && to.de == nil:
				return 2 * si.latency()
			}
			return time.Second
		}, func() {
			if denied {
				from.de.HandleNack(ac, si.now)
			} else {
				from.de.HandleAck(ac, Message{}, si.now)
			}
		}, func() { from.de.HandleFailure(ac, si.now) })
	case Exchange:
		var answer Offer
		si.count([]*simNode{from, to}, exchangeOverhead+offerBytes(ac.Offer))
		si.call(from, ac.Target, 2*time.Second, func(to *simNode) time.Duration {
			answer = to.de.HandleOffer(ac.Offer, si.now)
			si.count([]*simNode{from, to}, exchangeOverhead+offerBytes(answer))
			return 0
		}, func() { from.de.HandleOfferAnswer(ac, answer, si.now) },
			func() { from.de.HandleFailure(ac, si.now) })
	}
}

func (si *sim) ping(from *simNode, ac Action, timeout time.Duration, acked func(Message), missed func()) {
	var answer Message
	si.count([]*simNode{from, si.byID[ac.Target]}, pingOverhead+messageBytes(ac.Message))
	si.call(from, ac.Target, timeout, func(to *simNode) time.Duration {
		answer = to.de.HandlePing(ac.Message, si.now)
		si.count([]*simNode{from, to}, answerOverhead+messageBytes(answer))
		return 0
	}, func() { acked(answer) }, missed)
}

func messageBytes(ms Message) int { return changeBytes(ms.Members, ms.Notes) }

func offerBytes(of Offer) int {
	size := changeBytes(of.Members, of.Notes)
	return size + 5*len(of.Buckets)
}

func changeBytes(members []Member, notes []Note) int {
	size := 0
	if len(members) > 0 {
		size = len(EncodeMembers(members))
	}
	for _, no := range notes {
		size += len(no.Key) + len(no.Data) + 12
	}
	return size
}

// up returns the running nodes.
func (si *sim) up() []*simNode {
	return slices.DeleteFunc(slices.Clone(si.nodes), func(no *simNode) bool {
		return no.de == nil || no.paused
	})
}

// converged reports whether every running node considers exactly the running
// nodes alive. If not, it returns the first difference.
func (si *sim) converged() (bool, string) {
	up := si.up()
	for _, no := range up {
		alive := 0
		for node, en := range no.de.table.entries {
			other := si.byID[node]
			running := other != nil && other.de != nil && !other.paused
			if (en.state() < Dead) != running {
				return false, fmt.Sprintf("%v holds %v as %v, running %v", no.id, node, en.state(), running)
			}
			if running {
				alive++
				if en.Incarnation != other.de.Self().Incarnation || en.state() != Alive {
					return false, fmt.Sprintf("%v holds %v at %v %d", no.id, node, en.state(), en.Incarnation)
				}
			}
		}
		if alive != len(up) {
			return false, fmt.Sprintf("%v knows %d of %d", no.id, alive, len(up))
		}
	}
	return true, ""
}

// converge advances the time until the fleet has converged, for at most limit.
// It returns the time taken and, if the fleet has not converged, the reason.
func (si *sim) converge(limit time.Duration) (time.Duration, string) {
	begun := si.now
	for {
		ok, why := si.converged()
		if ok {
			return si.now.Sub(begun), ""
		}
		if si.now.Sub(begun) >= limit {
			return limit, why
		}
		si.runFor(100 * time.Millisecond)
	}
}
