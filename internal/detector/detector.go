// Package detector tracks the members of the fleet and detects failed ones with
// a variant of the SWIM protocol.
//
// A [Detector] does no I/O, starts no goroutine and reads no clock. Its caller
// runs [Detector.Tick] several times a second, performs the actions it returns,
// and passes in their results and the messages of peers.
//
// Each node probes four neighbours and exchanges changes with them. A member
// that answers neither a direct nor an indirect probe becomes suspect. The
// suspicion is gossiped, and the suspect refutes it with a greater incarnation.
// Each node that receives no refutation in time marks the member dead on its
// own. A death reported by a peer counts as a suspicion only, so that a node
// that was partitioned cannot remove live members.
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
	// Random is the source of all random choices; tests seed it.
	Random *rand.Rand
	// Seeds are the addresses used to join the fleet and to find it again.
	Seeds []checker.NodeID

	// ProbeInterval is the time between probes of a neighbour; default 1 s.
	ProbeInterval time.Duration
	// UrgentInterval is the time between probes while changes are pending;
	// default 200 ms.
	UrgentInterval time.Duration
	// SuspicionTimeout is the time a suspect has to refute; default 3 s.
	SuspicionTimeout time.Duration
	// ExchangeInterval is the time between exchanges with a random member;
	// default 10 s.
	ExchangeInterval time.Duration
	// MaxRetryInterval is the greatest time between attempts to reach a dead
	// member or a seed; default 30 s. The interval starts at JoinTime and
	// doubles with each attempt, because nodes that start together may form
	// separate groups.
	MaxRetryInterval time.Duration
	// JoinInterval is the time between attempts to join; default 1 s.
	JoinInterval time.Duration
	// DeadRetention is how long dead and left members are kept; default 10 min.
	DeadRetention time.Duration
	// StallThreshold is the time between ticks from which the node assumes that
	// its process was paused and ignores earlier results; default 2 s.
	StallThreshold time.Duration
}

const (
	// indirectProbes is the number of members asked to probe a target that did
	// not answer.
	indirectProbes = 3
	// degradedFactor multiplies the suspicion timeout of a node whose own
	// probes mostly fail. It is also the number of consecutive failed probes
	// after which such a node suspects a member, and any node that got no
	// answer from its helpers.
	degradedFactor = 3
	// maxMessageChanges bounds the changes in a ping or its answer to about 2 KB.
	maxMessageChanges = 64
	// maxDisputedPings bounds the pings to disputed members per tick.
	maxDisputedPings = 8
	// maxOfferMembers bounds the members in an offer to about 6 KB.
	maxOfferMembers = 256
	// maxFirstMembers bounds the members in the first answer of an exchange.
	// With maxOfferMembers there too, a restart of 160 of 200 nodes transferred
	// 540 KB at each of the two seeds within two seconds.
	maxFirstMembers = 32
	// isolationTimeout is the time without contact to any other node after
	// which a node no longer propagates the failures that it detects.
	isolationTimeout = 3 * time.Second
	// rejoinWindow is how long a member counts as recently rejoined.
	rejoinWindow = 10 * time.Second
	// peerTTL is how long the state of a peer is kept after the last contact.
	peerTTL = time.Minute
	// mismatchDelay is how long digests may differ before an exchange starts.
	mismatchDelay = 3 * time.Second
)

func (co Config) withDefaults() Config {
	if co.Random == nil {
		co.Random = rand.New(rand.NewPCG(1, 1))
	}
	setDefault(&co.ProbeInterval, time.Second)
	setDefault(&co.UrgentInterval, 200*time.Millisecond)
	setDefault(&co.SuspicionTimeout, 3*time.Second)
	setDefault(&co.ExchangeInterval, 10*time.Second)
	setDefault(&co.MaxRetryInterval, 30*time.Second)
	setDefault(&co.JoinInterval, time.Second)
	setDefault(&co.DeadRetention, 10*time.Minute)
	setDefault(&co.StallThreshold, 2*time.Second)
	return co
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Detector holds one node's membership state. It is not safe for concurrent use.
type Detector struct {
	config Config
	node   checker.NodeID
	table  table
	peers  map[checker.NodeID]*peer
	// suspects holds the time at which each suspect became suspect.
	suspects map[checker.NodeID]time.Time
	queue    []Action
	// usedBits is the set of bits assigned to peers.
	usedBits    uint64
	refutations uint64
	// disputed lists the members that have yet to be told that other nodes
	// consider them dead.
	disputed []checker.NodeID
	// localStates counts the state changes recorded on this node only since
	// the last contact.
	localStates int
	// degraded reports whether most of the node's own probes fail.
	degraded bool

	neighbours         []checker.NodeID
	neighboursTopology uint64

	lastTick, resumed, lastContact    time.Time
	nextExchange, nextRetry, nextJoin time.Time
	nextSweep, nextMismatch           time.Time
	// retryInterval is the current interval between retries.
	retryInterval time.Duration
	// retryIndex counts the retries. It starts at a random number, so that nodes
	// with the same seeds do not all try the same one.
	retryIndex int
}

// New returns the Detector of a node. The state of self must be Alive.
func New(self Member, co Config, now time.Time) *Detector {
	co = co.withDefaults()
	de := &Detector{
		config: co, node: self.Node, table: newTable(), peers: map[checker.NodeID]*peer{},
		suspects: map[checker.NodeID]time.Time{}, lastTick: now, resumed: now, lastContact: now,
	}
	de.table.set(self, 0, now)
	de.nextJoin = now.Add(de.jitter(co.JoinInterval) / 2)
	de.nextExchange = now.Add(de.jitter(co.ExchangeInterval))
	de.retryIndex = co.Random.IntN(1 << 16)
	de.resetRetry(now)
	return de
}

// jitter returns a random duration between 0.5*du and 1.5*du.
func (de *Detector) jitter(du time.Duration) time.Duration {
	return du/2 + time.Duration(de.config.Random.Int64N(int64(du)+1))
}

func (de *Detector) self() *entry { return de.table.entries[de.node] }

// Self returns the node's own record.
func (de *Detector) Self() Member { return de.self().Member }

// SetSeeds replaces the seed addresses.
func (de *Detector) SetSeeds(seeds []checker.NodeID) { de.config.Seeds = slices.Clone(seeds) }

// Change applies a change to the node's own record. Changes of the address, the
// state and the incarnation are ignored.
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

// Leave marks the node as left. The node keeps probing, so that the change
// propagates.
func (de *Detector) Leave(now time.Time) {
	me := de.Self()
	me.State = Left
	me.Incarnation++
	de.setSelf(me, now)
}

// Propagated reports whether every neighbour has been sent the node's current
// record and no ping is in flight.
func (de *Detector) Propagated() bool {
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

// SetNote stores a note if it supersedes the known one, and reports whether it
// was stored.
func (de *Detector) SetNote(no Note) bool { return de.table.setNote(no, 0) }

// Notes returns the notes by key. The caller must not modify their data.
func (de *Detector) Notes() map[string]Note {
	notes := make(map[string]Note, len(de.table.notes))
	for key, no := range de.table.notes {
		notes[key] = no.Note
	}
	return notes
}

// Members returns every known member including the node itself, ordered by
// address.
func (de *Detector) Members() []Member {
	list := make([]Member, 0, len(de.table.entries))
	for _, en := range de.table.sorted() {
		me := en.Member
		me.State = en.state()
		list = append(list, me)
	}
	return list
}

// Count holds the numbers of members in a data centre.
type Count struct {
	// Alive is the number of members that are alive and not suspect.
	Alive int
	// Known is the number of members that have not left. It includes dead ones
	// until they are removed.
	Known int
}

// Counts returns the counts for each data centre. If Alive is far below Known,
// the failure reports may be wrong rather than the members down.
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

// Version returns a number that grows with each change to the results of
// Members, Counts or Notes.
func (de *Detector) Version() uint64 { return de.table.version + de.table.topology }

// Refutations returns how often the node had to refute that it is suspect or
// dead. A node that others considered dead may hold outdated configuration.
func (de *Detector) Refutations() uint64 { return de.refutations }

// Digest returns a hash of the notes and of the members that are not dead and
// have not left. It is equal on nodes with the same state.
func (de *Detector) Digest() uint64 { return de.table.digest() }

// Neighbours returns the members that the node probed at the last tick.
func (de *Detector) Neighbours() []checker.NodeID { return slices.Clone(de.neighbours) }

func (de *Detector) updateNeighbours() {
	if de.neighboursTopology != de.table.topology {
		de.neighbours = de.ringNeighbours()
		de.neighboursTopology = de.table.topology
	}
}

// Merge merges the member records and notes that a peer sent. It skips
// malformed ones.
func (de *Detector) Merge(members []Member, notes []Note, from checker.NodeID, now time.Time) {
	for _, me := range members {
		if me.Check() != nil {
			continue
		}
		de.mergeMember(me, from, now)
		if en := de.table.entries[me.Node]; en != nil && en.Member == me {
			en.sentBy |= de.bit(from)
		}
	}
	for _, no := range notes {
		de.table.setNote(no, de.bit(from))
	}
}

func (de *Detector) mergeMember(me Member, from checker.NodeID, now time.Time) {
	if me.Node == de.node {
		de.refute(me, now)
		return
	}
	known := de.table.entries[me.Node]
	if known == nil {
		// An unknown dead member is ignored. Storing it again after it was
		// removed would keep it circulating for ever.
		if me.State < Dead && len(de.table.entries) < maxMembers {
			de.store(me, now)
		}
		return
	}
	if me.State == Dead && known.State < Dead {
		if de.recentlyRejoined(from, now) {
			de.dispute(me, known, now)
			return
		}
		me.State = Suspect // this node's own timeout decides
	}
	if me.supersedes(known.Member) {
		de.store(me, now)
	}
}

// recentlyRejoined reports whether the peer is dead or unknown, or was dead
// until recently, as is the case after a partition has healed.
func (de *Detector) recentlyRejoined(peer checker.NodeID, now time.Time) bool {
	en := de.table.entries[peer]
	return en == nil || en.state() >= Dead || now.Sub(en.revivedAt) < rejoinWindow
}

// dispute handles a report from the other side of a healed partition that a
// member is dead which this node considers alive. The member is pinged, so that
// it can refute the report, and marked suspect on this node only. Propagating
// the suspicion would affect every member that the peer could not reach.
func (de *Detector) dispute(me Member, known *entry, now time.Time) {
	if me.Incarnation < known.Incarnation {
		return
	}
	if me.Incarnation > known.Incarnation {
		me.State = Alive
		de.store(me, now)
	}
	if known.State == Alive && !known.disputed {
		known.disputed = true
		known.localState, known.since = Suspect, now
		de.table.topology++
		de.suspects[me.Node] = now
		de.disputed = append(de.disputed, me.Node)
	}
}

// pingDisputed pings some of the disputed members. The pings carry the record
// that marks the member dead.
func (de *Detector) pingDisputed(now time.Time) {
	for range min(len(de.disputed), maxDisputedPings) {
		node := de.disputed[0]
		de.disputed = de.disputed[1:]
		if en := de.table.entries[node]; en != nil && en.disputed {
			de.queue = append(de.queue, de.Probe(node, now))
		}
	}
}

// refute raises the node's own incarnation above that of a record about it that
// differs from its own.
func (de *Detector) refute(record Member, now time.Time) {
	self := de.Self()
	if record.Incarnation < self.Incarnation || record == self || self.State == Left {
		return
	}
	if record.State == Suspect || record.State == Dead {
		de.refutations++
	}
	self.Incarnation = self.Incarnation.above(record.Incarnation)
	de.setSelf(self, now)
}

// store adds or replaces the record of another member.
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
	} else if !de.table.entries[me.Node].disputed {
		delete(de.suspects, me.Node)
	}
}

// expireSuspects marks suspects dead whose suspicion timeout has passed.
func (de *Detector) expireSuspects(now time.Time) {
	for _, node := range sortedNodes(de.suspects) {
		if now.Sub(de.suspects[node]) < de.suspicionTimeout() {
			continue
		}
		delete(de.suspects, node)
		en := de.table.entries[node]
		if en == nil || en.state() != Suspect {
			continue
		}
		if en.localState == Suspect && !en.disputed {
			de.setLocalState(en, Dead, now)
			continue
		}
		me := en.Member
		me.State = Dead
		de.store(me, now)
	}
}

// setLocalState sets a member's state on this node only.
func (de *Detector) setLocalState(en *entry, st State, now time.Time) {
	if en.localState == Alive {
		de.localStates++
	}
	en.localState, en.since = st, now
	de.table.topology++
}

func sortedNodes[V any](mp map[checker.NodeID]V) []checker.NodeID {
	return slices.SortedFunc(maps.Keys(mp), checker.NodeID.Compare)
}

// sweep removes members that have been dead or left for DeadRetention, and
// peers without contact for peerTTL.
func (de *Detector) sweep(now time.Time) {
	for node, en := range de.table.entries {
		if en.state() >= Dead && node != de.node && now.Sub(en.since) >= de.config.DeadRetention {
			de.table.remove(node)
			de.dropPeer(node)
		}
	}
	for node, pe := range de.peers {
		if now.Sub(pe.lastUsed) >= peerTTL {
			de.dropPeer(node)
		}
	}
}
