package detector

import (
	"slices"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Kind is the kind of an Action.
type Kind uint8

// The kinds of actions.
const (
	// Ping sends Message to Target. Its result goes to HandleAck or
	// HandleFailure.
	Ping Kind = iota
	// PingVia asks Via to ping Target. Its result goes to HandleAck, to
	// HandleNack if Via answered that Target did not, or to HandleFailure if Via
	// did not answer.
	PingVia
	// Exchange sends Offer to Target. Its result goes to HandleOfferAnswer or
	// HandleFailure.
	Exchange
)

// Action is a request that the Detector's caller sends.
type Action struct {
	Kind    Kind
	Target  checker.NodeID
	Via     checker.NodeID
	Message Message
	Offer   Offer

	// onBehalf reports whether another node asked for the ping.
	onBehalf bool
	started  time.Time
	// lastDigest is the target's digest in the previous round.
	lastDigest uint64
	// sentBefore is the peer's sent version before the ping.
	sentBefore uint64
}

// Message is a ping or its answer.
type Message struct {
	// From and Incarnation identify the sender.
	From        checker.NodeID
	Incarnation Incarnation
	// Digest is the hash of the sender's members and notes.
	Digest uint64
	// Members and Notes are the changes that the receiver may lack.
	Members []Member
	Notes   []Note
	// Unknown reports whether the sender does not know the receiver.
	Unknown bool
}

// peer is the state of the communication with another node.
type peer struct {
	// sent is the table version up to which the peer has been sent changes.
	sent uint64
	// sentSelf reports whether the peer has been sent this node's own record.
	sentSelf bool
	lastUsed time.Time
	// bit marks the records that the peer has sent. It is zero if no bit was
	// free.
	bit uint64

	busy           bool
	lastPing       time.Time
	missed         bool
	failures       int
	pendingHelpers int
	nacks          int
	helperAcked    bool
	differsSince   time.Time
}

func (de *Detector) peer(node checker.NodeID, now time.Time) *peer {
	pe := de.peers[node]
	if pe == nil {
		// A new peer is sent later changes only; an exchange transfers earlier
		// ones when the digests differ.
		pe = &peer{sent: de.table.version}
		if len(de.peers) < maxMembers {
			de.peers[node] = pe
			pe.bit = ^de.usedBits & (de.usedBits + 1)
			de.usedBits |= pe.bit
		}
	}
	pe.lastUsed = now
	return pe
}

// bit returns the peer's bit, or zero if it has none.
func (de *Detector) bit(node checker.NodeID) uint64 {
	if pe := de.peers[node]; pe != nil {
		return pe.bit
	}
	return 0
}

// dropPeer removes a peer and frees its bit.
func (de *Detector) dropPeer(node checker.NodeID) {
	pe := de.peers[node]
	if pe == nil {
		return
	}
	delete(de.peers, node)
	if pe.bit == 0 {
		return
	}
	de.usedBits &^= pe.bit
	for _, en := range de.table.list {
		en.sentBy &^= pe.bit
	}
	for _, no := range de.table.notes {
		no.sentBy &^= pe.bit
	}
}

// Tick advances the detector to now and returns the actions to perform. It must
// be called at least every 100 ms, and immediately after a result.
func (de *Detector) Tick(now time.Time) []Action {
	if gap := now.Sub(de.lastTick); gap >= de.config.StallThreshold {
		de.resume(gap, now)
	}
	de.lastTick = now
	de.updateDegraded()
	de.expireSuspects(now)
	if !now.Before(de.nextSweep) {
		de.sweep(now)
		de.nextSweep = now.Add(time.Second)
	}
	de.probe(now)
	de.pingDisputed(now)
	de.startExchanges(now)
	actions := de.queue
	de.queue = nil
	return actions
}

// resume discards the probes that were in flight while the process was paused,
// and extends the suspicion timeouts by the length of the pause.
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

// reset discards the probe in flight and the failure counts.
func (pe *peer) reset() { pe.busy, pe.missed, pe.failures, pe.pendingHelpers = false, false, 0, 0 }

func (de *Detector) probe(now time.Time) {
	de.updateNeighbours()
	for _, node := range de.neighbours {
		pe := de.peer(node, now)
		since := now.Sub(pe.lastPing)
		if pe.busy || since < de.config.UrgentInterval {
			continue
		}
		if since >= de.config.ProbeInterval || de.table.hasChanges(pe.sent, pe.bit) {
			pe.busy, pe.lastPing = true, now
			de.queue = append(de.queue, de.ping(node, pe, now))
		}
	}
}

func (de *Detector) ping(node checker.NodeID, pe *peer, now time.Time) Action {
	ac := Action{Kind: Ping, Target: node, started: now, sentBefore: pe.sent}
	ac.Message = de.message(node, pe)
	return ac
}

// message returns a message with the changes that the peer has not been sent.
func (de *Detector) message(node checker.NodeID, pe *peer) Message {
	ms := Message{From: de.node, Incarnation: de.self().Incarnation, Digest: de.Digest()}
	ms.Members, ms.Notes, pe.sent = de.table.changes(pe.sent, pe.bit, maxMessageChanges)
	if !pe.sentSelf {
		ms.Members = append(ms.Members, de.Self())
		pe.sentSelf = true
	}
	// A peer that is considered suspect or dead must be told, so that it can
	// refute.
	if en := de.table.entries[node]; en != nil && (en.State >= Suspect || en.disputed) {
		me := en.Member
		if en.disputed {
			me.State = Dead
		}
		ms.Members = append(ms.Members, me)
	}
	return ms
}

// HandlePing returns the answer to a peer's ping.
func (de *Detector) HandlePing(ms Message, now time.Time) Message {
	de.contact(now)
	de.Merge(ms.Members, ms.Notes, ms.From, now)
	pe := de.peer(ms.From, now)
	de.checkProcess(ms, pe)
	answer := de.message(ms.From, pe)
	answer.Unknown = de.table.entries[ms.From] == nil
	return answer
}

// checkProcess has the node's own record sent again to a peer that does not know
// it, or whose incarnation is not the known one, as it may have restarted.
func (de *Detector) checkProcess(ms Message, pe *peer) {
	en := de.table.entries[ms.From]
	if en == nil || en.Incarnation != ms.Incarnation || ms.Unknown {
		pe.sentSelf = false
	}
}

// Probe returns a ping to target that another node asked for. A failure does not
// count against the target on this node.
func (de *Detector) Probe(target checker.NodeID, now time.Time) Action {
	ac := de.ping(target, de.peer(target, now), now)
	ac.onBehalf = true
	return ac
}

// contact records that a message of another node was received. If the node was
// isolated, the failures that it detected meanwhile are discarded.
func (de *Detector) contact(now time.Time) {
	isolated := de.isolated(now)
	de.lastContact = now
	// Local states can be left over if the process was paused after they were
	// made.
	if !isolated && de.localStates == 0 {
		return
	}
	// Probes that failed during the isolation say nothing about their targets.
	de.resumed = now
	for _, pe := range de.peers {
		pe.reset()
	}
	for _, en := range de.table.list {
		if en.localState != Alive && !en.disputed {
			de.setLocalState(en, Alive, now)
			delete(de.suspects, en.Node)
		}
	}
	de.localStates = 0
}

// isolated reports whether the node has received nothing for isolationTimeout
// although it probes several members. The fault is then likely its own.
func (de *Detector) isolated(now time.Time) bool {
	several := len(de.neighbours) >= 2 || de.localStates > 0
	return several && now.Sub(de.lastContact) >= isolationTimeout
}

// updateDegraded updates whether most of the node's own probes fail.
func (de *Detector) updateDegraded() {
	var missed int
	for _, node := range de.neighbours {
		if pe := de.peers[node]; pe != nil && pe.missed {
			missed++
		}
	}
	de.degraded = missed >= 2 && missed*2 > len(de.neighbours)
}

// suspicionTimeout returns the time that a suspect has to refute.
func (de *Detector) suspicionTimeout() time.Duration {
	if de.degraded {
		return degradedFactor * de.config.SuspicionTimeout
	}
	return de.config.SuspicionTimeout
}

// HandleAck handles the answer to a ping, or a helper's answer that the target
// answered.
func (de *Detector) HandleAck(ac Action, answer Message, now time.Time) {
	de.contact(now)
	pe := de.peer(ac.Target, now)
	if ac.Kind == PingVia {
		pe.helperAcked = true
		de.helperDone(ac, pe, now)
		return
	}
	de.Merge(answer.Members, answer.Notes, answer.From, now)
	de.checkProcess(answer, pe)
	de.compareDigest(ac.Target, pe, answer.Digest, now)
	if ac.onBehalf {
		return
	}
	pe.busy, pe.missed, pe.failures = false, false, 0
}

// compareDigest starts an exchange if the digests have differed for
// mismatchDelay: one side then lacks a record that no message will carry.
func (de *Detector) compareDigest(node checker.NodeID, pe *peer, digest uint64, now time.Time) {
	switch {
	case digest == de.Digest():
		pe.differsSince = time.Time{}
	case pe.differsSince.IsZero():
		pe.differsSince = now
	case now.Sub(pe.differsSince) >= mismatchDelay && !now.Before(de.nextMismatch):
		pe.differsSince = now
		de.nextMismatch = now.Add(de.config.ProbeInterval)
		de.queue = append(de.queue, de.exchange(node, 0, now))
	}
}

// HandleNack handles a helper's answer that the target did not answer.
func (de *Detector) HandleNack(ac Action, now time.Time) {
	de.contact(now)
	pe := de.peer(ac.Target, now)
	pe.nacks++
	de.helperDone(ac, pe, now)
}

// HandleFailure handles an action that was not answered.
func (de *Detector) HandleFailure(ac Action, now time.Time) {
	pe := de.peer(ac.Target, now)
	switch {
	case ac.Kind == Exchange || ac.started.Before(de.resumed):
		return
	case ac.Kind == PingVia:
		de.helperDone(ac, pe, now)
		return
	}
	pe.sent = min(pe.sent, ac.sentBefore)
	pe.sentSelf = false
	if ac.onBehalf {
		return
	}
	pe.missed = true
	pe.pendingHelpers, pe.nacks, pe.helperAcked = 0, 0, false
	for _, via := range de.helpers(ac.Target) {
		pe.pendingHelpers++
		de.queue = append(de.queue,
			Action{Kind: PingVia, Target: ac.Target, Via: via, started: now})
	}
	if pe.pendingHelpers == 0 {
		pe.nacks = 1 // without helpers, the direct probe alone decides
		de.finishProbe(ac.Target, pe, now)
	}
}

// helpers returns random members to probe the target indirectly, those in the
// target's data centre first.
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
	// A helper in another data centre tells a failure from a partition.
	if len(far) > 0 && len(near) >= indirectProbes {
		near[indirectProbes-1] = far[0]
	}
	list := append(near, far...)
	return slices.Clone(list[:min(indirectProbes, len(list))])
}

func (de *Detector) helperDone(ac Action, pe *peer, now time.Time) {
	if pe.pendingHelpers == 0 || ac.started.Before(de.resumed) {
		return
	}
	pe.pendingHelpers--
	if pe.pendingHelpers == 0 {
		de.finishProbe(ac.Target, pe, now)
	}
}

// finishProbe completes a probe that the target did not answer directly.
func (de *Detector) finishProbe(node checker.NodeID, pe *peer, now time.Time) {
	pe.busy = false
	if pe.helperAcked {
		pe.failures = 0
		return
	}
	if pe.nacks > 0 {
		pe.missed = false // a helper confirmed the failure
	}
	pe.failures++
	// If no helper answered either, or most neighbours fail, the fault is likely
	// this node's; one failed probe is then not enough.
	needed := 1
	if pe.nacks == 0 || de.degraded {
		needed = degradedFactor
	}
	en := de.table.entries[node]
	if en == nil || en.state() != Alive || pe.failures < needed {
		return
	}
	if de.isolated(now) {
		de.setLocalState(en, Suspect, now)
		de.suspects[node] = now
		return
	}
	me := en.Member
	me.State = Suspect
	de.store(me, now)
}
