package detector

import (
	"slices"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Kind is the kind of an action.
type Kind uint8

// The kinds of actions.
const (
	// Ping sends Message to Target; its result is Acked or Missed.
	Ping Kind = iota
	// PingVia asks Via to ping Target; its result is Acked, Denied if Via
	// answered that Target does not, or Missed if Via did not answer.
	PingVia
	// Exchange sends Offer to Target; its result is Exchanged or Missed.
	Exchange
)

// Action is something the shell is to do.
type Action struct {
	Kind    Kind
	Target  checker.NodeID
	Via     checker.NodeID
	Message Message
	Offer   Offer

	// helping says that another node asked for the ping.
	helping bool
	started time.Time
	// answered is the target's digest at the round before.
	answered uint64
	// before is the version the target had been sent before the ping.
	before uint64
}

// Message is a ping or its answer.
type Message struct {
	// From and Incarnation identify the sender.
	From        checker.NodeID
	Incarnation Incarnation
	// Digest is the hash of the sender's table.
	Digest uint64
	// Members and Notes are the changes that the receiver may lack.
	Members []Member
	Notes   []Note
	// Unknown says that the sender does not know the receiver.
	Unknown bool
}

// peer is what the node remembers about another node that it has contact with.
type peer struct {
	// sent is the table version up to which the peer has been sent changes.
	sent uint64
	// introduced says that the peer has been sent this node's own record.
	introduced bool
	lastUsed   time.Time
	// bit marks the records that the peer has sent; zero if all are taken.
	bit uint64

	busy      bool
	lastPing  time.Time
	missed    bool
	failures  int
	waiting   int
	denied    int
	helped    bool
	differing time.Time
}

func (de *Detector) peer(node checker.NodeID, now time.Time) *peer {
	pe := de.peers[node]
	if pe == nil {
		// A new peer is not sent the past; digests find what it lacks.
		pe = &peer{sent: de.table.version}
		if len(de.peers) < maxMembers {
			de.peers[node] = pe
			pe.bit = ^de.bits & (de.bits + 1)
			de.bits |= pe.bit
		}
	}
	pe.lastUsed = now
	return pe
}

// bit returns the bit of the peer, zero if it has none.
func (de *Detector) bit(node checker.NodeID) uint64 {
	if pe := de.peers[node]; pe != nil {
		return pe.bit
	}
	return 0
}

// dropPeer forgets a peer and frees its bit.
func (de *Detector) dropPeer(node checker.NodeID) {
	pe := de.peers[node]
	if pe == nil {
		return
	}
	delete(de.peers, node)
	if pe.bit == 0 {
		return
	}
	de.bits &^= pe.bit
	for _, en := range de.table.list {
		en.known &^= pe.bit
	}
	for _, no := range de.table.notes {
		no.known &^= pe.bit
	}
}

// Tick returns what is to be done now. The shell calls it at least every
// 100 ms, and at once after a result.
func (de *Detector) Tick(now time.Time) []Action {
	if gap := now.Sub(de.lastTick); gap >= de.config.StallTime {
		de.resume(gap, now)
	}
	de.lastTick = now
	de.countMissed()
	de.confirm(now)
	if !now.Before(de.nextSweep) {
		de.sweep(now)
		de.nextSweep = now.Add(time.Second)
	}
	de.probe(now)
	de.tell(now)
	de.schedule(now)
	actions := de.queue
	de.queue = nil
	return actions
}

// resume forgets the results the node waited for while it did not run, and
// gives the suspects the time back.
func (de *Detector) resume(gap time.Duration, now time.Time) {
	de.resumed = now
	de.lastContact = now
	for node, since := range de.suspects {
		de.suspects[node] = since.Add(gap)
	}
	for _, pe := range de.peers {
		pe.reset()
	}
}

// reset forgets the probe in progress and the failures.
func (pe *peer) reset() { pe.busy, pe.missed, pe.failures, pe.waiting = false, false, 0, 0 }

func (de *Detector) probe(now time.Time) {
	de.updateNeighbours()
	for _, node := range de.neighbours {
		pe := de.peer(node, now)
		since := now.Sub(pe.lastPing)
		if pe.busy || since < de.config.UrgentTime {
			continue
		}
		if since >= de.config.ProbeTime || de.table.hasChanges(pe.sent, pe.bit) {
			pe.busy, pe.lastPing = true, now
			de.queue = append(de.queue, de.ping(node, pe, now))
		}
	}
}

func (de *Detector) ping(node checker.NodeID, pe *peer, now time.Time) Action {
	ac := Action{Kind: Ping, Target: node, started: now, before: pe.sent}
	ac.Message = de.message(node, pe)
	return ac
}

// message returns a message to the peer with the changes it has not been sent.
func (de *Detector) message(node checker.NodeID, pe *peer) Message {
	ms := Message{From: de.node, Incarnation: de.self().Incarnation, Digest: de.Digest()}
	ms.Members, ms.Notes, pe.sent = de.table.changes(pe.sent, pe.bit, messageLimit)
	if !pe.introduced {
		ms.Members = append(ms.Members, de.Self())
		pe.introduced = true
	}
	// A peer that is taken for dead or suspected must hear it to refute it.
	if en := de.table.entries[node]; en != nil && (en.State >= Suspect || en.doubted) {
		me := en.Member
		if en.doubted {
			me.State = Dead
		}
		ms.Members = append(ms.Members, me)
	}
	return ms
}

// Pinged answers the ping of a peer.
func (de *Detector) Pinged(ms Message, now time.Time) Message {
	de.contact(now)
	de.Merge(ms.Members, ms.Notes, ms.From, now)
	pe := de.peer(ms.From, now)
	de.checkLife(ms, pe)
	answer := de.message(ms.From, pe)
	answer.Unknown = de.table.entries[ms.From] == nil
	return answer
}

// checkLife starts anew with a peer whose process is not the known one.
func (de *Detector) checkLife(ms Message, pe *peer) {
	en := de.table.entries[ms.From]
	if en == nil || en.Incarnation != ms.Incarnation || ms.Unknown {
		pe.introduced = false
	}
}

// Probe returns a ping that another node asked for. Its result changes nothing
// but what the shell tells that node.
func (de *Detector) Probe(target checker.NodeID, now time.Time) Action {
	ac := de.ping(target, de.peer(target, now), now)
	ac.helping = true
	return ac
}

// contact notes that another node was heard. The verdicts made without
// contact are dropped.
func (de *Detector) contact(now time.Time) {
	isolated := de.isolated(now)
	de.lastContact = now
	// Verdicts may be left over if the node was frozen since it made them.
	if !isolated && de.locals == 0 {
		return
	}
	// What failed meanwhile says nothing about the other nodes.
	de.resumed = now
	for _, pe := range de.peers {
		pe.reset()
	}
	for _, en := range de.table.list {
		if en.local != Alive && !en.doubted {
			de.setLocal(en, Alive, now)
			delete(de.suspects, en.Node)
		}
	}
	de.locals = 0
}

// isolated reports whether the node has heard nobody for some time although it
// probes several members: then it is itself the likelier fault.
func (de *Detector) isolated(now time.Time) bool {
	several := len(de.neighbours) >= 2 || de.locals > 0
	return several && now.Sub(de.lastContact) >= contactTime
}

// countMissed finds out whether most of the node's own probes fail.
func (de *Detector) countMissed() {
	var missed int
	for _, node := range de.neighbours {
		if pe := de.peers[node]; pe != nil && pe.missed {
			missed++
		}
	}
	de.failing = missed >= 2 && missed*2 > len(de.neighbours)
}

// patience returns the time a suspect has to refute.
func (de *Detector) patience() time.Duration {
	if de.failing {
		return slowFactor * de.config.SuspicionTime
	}
	return de.config.SuspicionTime
}

// Acked takes in the answer to a ping, or the success of a helper.
func (de *Detector) Acked(ac Action, answer Message, now time.Time) {
	de.contact(now)
	pe := de.peer(ac.Target, now)
	if ac.Kind == PingVia {
		pe.helped = true
		de.helperDone(ac, pe, now)
		return
	}
	de.Merge(answer.Members, answer.Notes, answer.From, now)
	de.checkLife(answer, pe)
	de.compare(ac.Target, pe, answer.Digest, now)
	if ac.helping {
		return
	}
	pe.busy, pe.missed, pe.failures = false, false, 0
}

// compare asks for an exchange when the digests have differed for some time,
// which means that one side lacks something that no message will bring.
func (de *Detector) compare(node checker.NodeID, pe *peer, digest uint64, now time.Time) {
	switch {
	case digest == de.Digest():
		pe.differing = time.Time{}
	case pe.differing.IsZero():
		pe.differing = now
	case now.Sub(pe.differing) >= mismatchTime && !now.Before(de.nextMismatch):
		pe.differing = now
		de.nextMismatch = now.Add(de.config.ProbeTime)
		de.queue = append(de.queue, de.exchange(node, 0, now))
	}
}

// Denied takes in the answer of a helper that the target did not answer.
func (de *Detector) Denied(ac Action, now time.Time) {
	de.contact(now)
	pe := de.peer(ac.Target, now)
	pe.denied++
	de.helperDone(ac, pe, now)
}

// Missed takes in that an action had no answer.
func (de *Detector) Missed(ac Action, now time.Time) {
	pe := de.peer(ac.Target, now)
	switch {
	case ac.Kind == Exchange || ac.started.Before(de.resumed):
		return
	case ac.Kind == PingVia:
		de.helperDone(ac, pe, now)
		return
	}
	pe.sent = min(pe.sent, ac.before)
	pe.introduced = false
	if ac.helping {
		return
	}
	pe.missed = true
	pe.waiting, pe.denied, pe.helped = 0, 0, false
	for _, via := range de.helpers(ac.Target) {
		pe.waiting++
		de.queue = append(de.queue,
			Action{Kind: PingVia, Target: ac.Target, Via: via, started: now})
	}
	if pe.waiting == 0 {
		pe.denied = 1 // without helpers the direct probe alone decides
		de.conclude(ac.Target, pe, now)
	}
}

// helpers returns random members to probe the target for this node, those in
// the target's data centre first.
func (de *Detector) helpers(target checker.NodeID) []checker.NodeID {
	en := de.table.entries[target]
	if en == nil {
		return nil
	}
	var near, far []checker.NodeID
	for _, other := range de.table.list {
		switch {
		case other.Node == target || other.Node == de.node || other.state() != Alive:
		case other.DataCentre == en.DataCentre:
			near = append(near, other.Node)
		default:
			far = append(far, other.Node)
		}
	}
	swap := func(list []checker.NodeID) {
		de.config.Random.Shuffle(len(list), func(ii, jj int) {
			list[ii], list[jj] = list[jj], list[ii]
		})
	}
	swap(near)
	swap(far)
	// One helper from elsewhere tells a failure from a partition.
	if len(far) > 0 && len(near) >= helperCount {
		near[helperCount-1] = far[0]
	}
	list := append(near, far...)
	return slices.Clone(list[:min(helperCount, len(list))])
}

func (de *Detector) helperDone(ac Action, pe *peer, now time.Time) {
	if pe.waiting == 0 || ac.started.Before(de.resumed) {
		return
	}
	pe.waiting--
	if pe.waiting == 0 {
		de.conclude(ac.Target, pe, now)
	}
}

// conclude ends a probe that the target did not answer directly.
func (de *Detector) conclude(node checker.NodeID, pe *peer, now time.Time) {
	pe.busy = false
	if pe.helped {
		pe.failures = 0
		return
	}
	if pe.denied > 0 {
		pe.missed = false // a helper that answers confirms the failure
	}
	pe.failures++
	// Helpers that do not answer either, or failures of most neighbours, point
	// at this node; then one failed probe is not enough.
	needed := 1
	if pe.denied == 0 || de.failing {
		needed = slowFactor
	}
	en := de.table.entries[node]
	if en == nil || en.state() != Alive || pe.failures < needed {
		return
	}
	if de.isolated(now) {
		de.setLocal(en, Suspect, now)
		de.suspects[node] = now
		return
	}
	me := en.Member
	me.State = Suspect
	de.store(me, now)
}
