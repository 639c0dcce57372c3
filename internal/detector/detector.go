// Package detector decides which nodes are members of the fleet and which of
// them have failed, in the manner of SWIM.
//
// A [Detector] does no I/O, starts no goroutine and reads no clock. Its shell
// calls [Detector.Tick] several times a second, carries out the actions it
// returns, and hands the results and the messages of peers back.
//
// Each node probes four neighbours and exchanges changes with them. A member
// that neither answers nor can be reached through others is suspected; the
// suspicion spreads, the suspect refutes it with a greater incarnation, and each
// node that hears no refutation in time takes the member for dead by itself.
// A death that others report counts as a suspicion only, so that the verdicts
// of a node that was cut off cannot remove members that are alive.
package detector

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/pkg/checker"
)

// Config holds the settings of a Detector. Zero fields take the defaults.
type Config struct {
	// Random is the seeded source of all random choices.
	Random *rand.Rand
	// Seeds are addresses to try when few members are known.
	Seeds []checker.NodeID

	// ProbeTime is the time between probes of a neighbour; default 1 s.
	ProbeTime time.Duration
	// UrgentTime is the time between probes while changes wait; default 200 ms.
	UrgentTime time.Duration
	// SuspicionTime is the time a suspect has to refute; default 3 s.
	SuspicionTime time.Duration
	// ExchangeTime is the time between exchanges with a random member;
	// default 10 s.
	ExchangeTime time.Duration
	// RetryTime is the time between attempts to reach a dead member or a
	// seed; default 30 s. After a start the attempts begin at JoinTime and
	// the time doubles, because nodes that start together may join in
	// separate groups.
	RetryTime time.Duration
	// JoinTime is the time between attempts to join; default 1 s.
	JoinTime time.Duration
	// DeadTime is how long dead and left members are remembered; default 10 min.
	DeadTime time.Duration
	// StallTime is the time between ticks above which the node takes itself
	// for frozen and trusts no result from before; default 2 s.
	StallTime time.Duration
}

const (
	// helperCount is the number of members asked to probe indirectly.
	helperCount = 3
	// slowFactor multiplies the waits of a node whose own probes mostly fail.
	slowFactor = 3
	// messageLimit bounds the changes in a probe: about 2 KB.
	messageLimit = 64
	// tellLimit bounds the pings to doubted members at a tick.
	tellLimit = 8
	// offerLimit bounds the members in an exchange: about 6 KB.
	offerLimit = 256
	// firstLimit bounds them in the first answer of an exchange. With
	// offerLimit there too, the restart of 160 of 200 nodes cost each of two
	// seeds 540 KB within two seconds.
	firstLimit = 32
	// contactTime is how long a node without any contact trusts its verdicts.
	contactTime = 3 * time.Second
	// returnTime is how long a member counts as returned.
	returnTime = 10 * time.Second
	// peerTime is how long a peer is remembered after the last contact.
	peerTime = time.Minute
	// mismatchTime is how long digests may differ before an exchange.
	mismatchTime = 3 * time.Second
)

func (co Config) withDefaults() Config {
	if co.Random == nil {
		co.Random = rand.New(rand.NewPCG(1, 1))
	}
	setDefault(&co.ProbeTime, time.Second)
	setDefault(&co.UrgentTime, 200*time.Millisecond)
	setDefault(&co.SuspicionTime, 3*time.Second)
	setDefault(&co.ExchangeTime, 10*time.Second)
	setDefault(&co.RetryTime, 30*time.Second)
	setDefault(&co.JoinTime, time.Second)
	setDefault(&co.DeadTime, 10*time.Minute)
	setDefault(&co.StallTime, 2*time.Second)
	return co
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Detector is the view one node has of the fleet. It is not safe for
// concurrent use.
type Detector struct {
	config Config
	node   checker.NodeID
	table  table
	peers  map[checker.NodeID]*peer
	// suspects holds the time since which each suspect is suspected.
	suspects map[checker.NodeID]time.Time
	queue    []Action
	// bits has the bits that the peers use.
	bits        uint64
	refutations uint64
	// doubts lists the members still to be told that others hold them for dead.
	doubts []checker.NodeID
	// locals is above zero while the table holds verdicts that are not spread.
	locals int
	// failing says that most of the node's own probes fail.
	failing bool

	neighbours      []checker.NodeID
	neighboursShape uint64

	lastTick, resumed, lastContact    time.Time
	nextExchange, nextRetry, nextJoin time.Time
	nextSweep, nextMismatch           time.Time
	// retryTime is the present time between two retries.
	retryTime time.Duration
	// retries counts the retries; it begins at random, so that nodes with the
	// same seeds do not try the same one.
	retries int
}

// New returns the Detector of a node. The state of self is Alive.
func New(self Member, co Config, now time.Time) *Detector {
	co = co.withDefaults()
	de := &Detector{
		config: co, node: self.Node, table: newTable(), peers: map[checker.NodeID]*peer{},
		suspects: map[checker.NodeID]time.Time{}, lastTick: now, resumed: now, lastContact: now,
	}
	de.table.set(self, 0, now)
	de.nextJoin = now.Add(de.jitter(co.JoinTime) / 2)
	de.nextExchange = now.Add(de.jitter(co.ExchangeTime))
	de.retries = co.Random.IntN(1 << 16)
	de.retrySoon(now)
	return de
}

// jitter returns a random duration between half and one and a half of the given.
func (de *Detector) jitter(du time.Duration) time.Duration {
	return du/2 + time.Duration(de.config.Random.Int64N(int64(du)+1))
}

func (de *Detector) self() *entry { return de.table.entries[de.node] }

// Self returns the node's own record.
func (de *Detector) Self() Member { return de.self().Member }

// SetSeeds replaces the addresses to try when few members are known.
func (de *Detector) SetSeeds(seeds []checker.NodeID) { de.config.Seeds = slices.Clone(seeds) }

// Change changes the node's own record; the node, state and incarnation stay
// the Detector's.
func (de *Detector) Change(change func(*Member), now time.Time) {
	me := de.Self()
	change(&me)
	me.Node, me.State = de.node, de.self().State
	me.Incarnation = de.self().Incarnation
	if me == de.Self() {
		return
	}
	me.Incarnation++
	de.setSelf(me, now)
}

// Leave marks the node as left. Probes go on, so that the news spreads.
func (de *Detector) Leave(now time.Time) {
	me := de.Self()
	me.State = Left
	me.Incarnation++
	de.setSelf(me, now)
}

// Spread reports whether all neighbours have been sent the node's own record
// and none has yet to answer.
func (de *Detector) Spread() bool {
	for _, node := range de.neighbours {
		if pe := de.peers[node]; pe == nil || pe.busy || pe.sent < de.self().version {
			return false
		}
	}
	return true
}

func (de *Detector) setSelf(me Member, now time.Time) {
	asserter.That(me.Incarnation > de.self().Incarnation, "incarnationNeverDecreases",
		"%v goes from incarnation %d to %d", de.node, de.self().Incarnation, me.Incarnation)
	de.table.set(me, 0, now)
}

// SetNote sets a note if it supersedes the known one, and reports whether it does.
func (de *Detector) SetNote(no Note) bool { return de.table.setNote(no, 0) }

// Notes returns the notes by key. The caller must not change their data.
func (de *Detector) Notes() map[string]Note {
	notes := make(map[string]Note, len(de.table.notes))
	for key, no := range de.table.notes {
		notes[key] = no.Note
	}
	return notes
}

// Members returns every known member, with the node itself, ordered by node.
func (de *Detector) Members() []Member {
	list := make([]Member, 0, len(de.table.entries))
	for _, en := range de.table.sorted() {
		me := en.Member
		me.State = en.state()
		list = append(list, me)
	}
	return list
}

// Count counts the members of a data centre.
type Count struct {
	// Alive counts members that are alive and not suspected.
	Alive int
	// Known counts members that have not left, dead ones included until they
	// are forgotten.
	Known int
}

// Counts returns the counts for each data centre. Where Alive is far below
// Known, the failure reports may be the fault.
func (de *Detector) Counts() map[checker.DataCentre]Count {
	counts := map[checker.DataCentre]Count{}
	for _, en := range de.table.entries {
		if en.state() == Left {
			continue
		}
		co := counts[en.DataCentre]
		co.Known++
		if en.state() == Alive {
			co.Alive++
		}
		counts[en.DataCentre] = co
	}
	return counts
}

// Version grows with each change of what Members, Counts or Notes return.
func (de *Detector) Version() uint64 { return de.table.version + de.table.shape }

// Refutations returns how often the node had to refute that it is suspected or
// dead. A node that was dead to others may hold outdated configuration.
func (de *Detector) Refutations() uint64 { return de.refutations }

// Digest returns a hash that is equal for nodes that know the same members,
// apart from dead and left ones, and the same notes.
func (de *Detector) Digest() uint64 { return de.table.digest() }

// Neighbours returns the members that the node probes, as of the last tick.
func (de *Detector) Neighbours() []checker.NodeID { return slices.Clone(de.neighbours) }

func (de *Detector) updateNeighbours() {
	if de.neighboursShape != de.table.shape {
		de.neighbours = de.ringNeighbours()
		de.neighboursShape = de.table.shape
	}
}

// Merge takes in records of members and notes that a peer sent.
func (de *Detector) Merge(members []Member, notes []Note, from checker.NodeID, now time.Time) {
	for _, me := range members {
		if me.Check() != nil {
			continue
		}
		de.mergeOne(me, from, now)
		if en := de.table.entries[me.Node]; en != nil && en.Member == me {
			en.known |= de.bit(from)
		}
	}
	for _, no := range notes {
		de.table.setNote(no, de.bit(from))
	}
}

func (de *Detector) mergeOne(me Member, from checker.NodeID, now time.Time) {
	if me.Node == de.node {
		de.refute(me, now)
		return
	}
	known := de.table.entries[me.Node]
	if known == nil {
		// A dead member that this node has never known or already forgotten
		// is no news; remembering it anew would keep it going round forever.
		if me.State < Dead && len(de.table.entries) < maxMembers {
			de.store(me, now)
		}
		return
	}
	if me.State == Dead && known.State < Dead {
		if de.returned(from, now) {
			de.doubt(me, known, now)
			return
		}
		me.State = Suspect // the node's own timer decides
	}
	if me.supersedes(known.Member) {
		de.store(me, now)
	}
}

// returned reports whether the peer was dead or unknown until lately, as it is
// when a partition has healed.
func (de *Detector) returned(peer checker.NodeID, now time.Time) bool {
	en := de.table.entries[peer]
	return en == nil || en.state() >= Dead || now.Sub(en.revived) < returnTime
}

// doubt takes in that a peer from the other side of a healed partition holds a
// member for dead which this node does not. It tells the member, which refutes
// it if it can, and decides by its own timer. The suspicion is not spread,
// because it would concern every member of the peer's other side.
func (de *Detector) doubt(me Member, known *entry, now time.Time) {
	if me.Incarnation < known.Incarnation {
		return
	}
	if me.Incarnation > known.Incarnation {
		me.State = Alive
		de.store(me, now)
	}
	if known.State == Alive && !known.doubted {
		known.doubted = true
		known.local, known.since = Suspect, now
		de.table.shape++
		de.suspects[me.Node] = now
		de.doubts = append(de.doubts, me.Node)
	}
}

// tell pings some of the members that others hold for dead. The pings carry
// the death.
func (de *Detector) tell(now time.Time) {
	for range min(len(de.doubts), tellLimit) {
		node := de.doubts[0]
		de.doubts = de.doubts[1:]
		if en := de.table.entries[node]; en != nil && en.doubted {
			de.queue = append(de.queue, de.Probe(node, now))
		}
	}
}

// refute raises the node's own incarnation above a record of it that differs.
func (de *Detector) refute(heard Member, now time.Time) {
	self := de.Self()
	if heard.Incarnation < self.Incarnation || heard == self || self.State == Left {
		return
	}
	if heard.State == Suspect || heard.State == Dead {
		de.refutations++
	}
	self.Incarnation = self.Incarnation.above(heard.Incarnation)
	de.setSelf(self, now)
}

// store puts a record about another member into the table.
func (de *Detector) store(me Member, now time.Time) {
	if known := de.table.entries[me.Node]; known != nil {
		ok := asserter.That(me.Incarnation >= known.Incarnation, "incarnationNeverDecreases",
			"%v: %v goes from incarnation %d to %d", de.node, me.Node, known.Incarnation,
			me.Incarnation)
		if !ok {
			return
		}
		if known.Incarnation.Life() != me.Incarnation.Life() {
			de.dropPeer(me.Node)
		}
	}
	de.table.set(me, 0, now)
	if me.State == Suspect {
		de.suspects[me.Node] = now
	} else if !de.table.entries[me.Node].doubted {
		delete(de.suspects, me.Node)
	}
}

// confirm takes suspects whose time is over for dead.
func (de *Detector) confirm(now time.Time) {
	for _, node := range sortedNodes(de.suspects) {
		if now.Sub(de.suspects[node]) < de.patience() {
			continue
		}
		delete(de.suspects, node)
		en := de.table.entries[node]
		if en == nil || en.state() != Suspect {
			continue
		}
		if en.local == Suspect && !en.doubted {
			de.setLocal(en, Dead, now)
			continue
		}
		me := en.Member
		me.State = Dead
		de.store(me, now)
	}
}

// setLocal records a verdict that is not spread.
func (de *Detector) setLocal(en *entry, st State, now time.Time) {
	if en.local == Alive {
		de.locals++
	}
	en.local, en.since = st, now
	de.table.shape++
}

func sortedNodes[V any](mp map[checker.NodeID]V) []checker.NodeID {
	return slices.SortedFunc(maps.Keys(mp), checker.NodeID.Compare)
}

// sweep forgets members that have been dead or left for long, and peers
// without contact.
func (de *Detector) sweep(now time.Time) {
	for node, en := range de.table.entries {
		if en.state() >= Dead && node != de.node && now.Sub(en.since) >= de.config.DeadTime {
			de.table.remove(node)
			de.dropPeer(node)
		}
	}
	for node, pe := range de.peers {
		if now.Sub(pe.lastUsed) >= peerTime {
			de.dropPeer(node)
		}
	}
}
