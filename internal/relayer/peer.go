package relayer

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/internal/reducer"
	"github.com/guavastall/guavastall/pkg/checker"
)

const (
	// maxRetryDoublings bounds the wait after failures at 4 periods, which is
	// the longest time that a peer stays unused after it is reachable again.
	maxRetryDoublings = 2
	// maxPullDoublings bounds the wait after pulls without effect at 32 periods.
	maxPullDoublings = 5
	// maxPeers bounds the nodes that this node tracks. About 8 are neighbours in
	// one direction or the other.
	maxPeers = 256
	// peerExpiryPeriods is the number of periods without contact after which a
	// node is removed that is not a neighbour but has this one as its neighbour.
	peerExpiryPeriods = 3
	// mismatchPeriods is the number of periods for which the facts of two nodes
	// may differ before one pulls. Before that, the facts are usually in transit.
	mismatchPeriods = 2
)

// peer is the state that the node keeps about another node.
type peer struct {
	// neighbour is set if the peer is one of this node's own neighbours.
	neighbour bool
	// lastContact is when the peer last sent a request or response; zero if never.
	lastContact  time.Time
	remoteDigest Digest
	// ackedDigest is the last digest of this node that the peer is known to have
	// or was sent in a response.
	ackedDigest Digest

	// pushing and pulling are set while a push or a pull is in progress.
	pushing, pulling bool
	// digestAt is when the next digest is due.
	digestAt time.Time
	failures int
	retryAt  time.Time

	// pending holds the facts that the peer is not known to have, inFlight those
	// in the push in progress.
	pending, inFlight map[factKey]reducer.Fact
	// mismatchSince is when the facts began to differ; zero if they are equal.
	mismatchSince time.Time
	// factsPulled is set once a pull of facts from the peer has succeeded.
	factsPulled bool
	// recordBackoff and factBackoff delay pulls after ones without effect.
	recordBackoff, factBackoff pullBackoff
}

// pullBackoff delays pulls exponentially after ones without effect. The peer may
// hold records or facts that this build cannot read.
type pullBackoff struct {
	wasted int
	nextAt time.Time
}

// update records whether a pull had an effect.
func (pb *pullBackoff) update(useful bool, now time.Time, period time.Duration) {
	if useful {
		*pb = pullBackoff{}
		return
	}
	pb.nextAt = now.Add(period << min(pb.wasted, maxPullDoublings))
	pb.wasted++
}

// active reports whether the peer takes part in the exchange.
func (pe *peer) active(now time.Time, period time.Duration) bool {
	return pe.neighbour || now.Sub(pe.lastContact) < peerExpiryPeriods*period
}

// removePending removes a pending fact that the peer need not be sent, because
// it has itself sent one that subsumes it.
func (pe *peer) removePending(key factKey, fa reducer.Fact) {
	if waiting, ok := pe.pending[key]; ok && subsumes(fa, waiting) {
		delete(pe.pending, key)
	}
}

// SetNeighbours sets the nodes this node exchanges digests with.
func (rl *Relayer) SetNeighbours(nodes []checker.NodeID, now time.Time) {
	for _, pe := range rl.peers {
		pe.neighbour = false
	}
	for _, no := range nodes {
		if no == rl.config.Self {
			continue
		}
		pe := rl.peer(no, now)
		if !pe.neighbour && pe.lastContact.IsZero() {
			pe.digestAt = now
		}
		pe.neighbour = true
	}
	rl.order = slices.DeleteFunc(rl.order, func(no checker.NodeID) bool {
		pe := rl.peers[no]
		unused := !pe.pushing && !pe.pulling && !pe.active(now, rl.config.Period)
		if unused {
			delete(rl.peers, no)
		}
		return unused
	})
}

// peer returns the peer and adds it if it is not tracked. Beyond maxPeers it
// returns a new one that is not tracked.
func (rl *Relayer) peer(no checker.NodeID, now time.Time) *peer {
	pe, ok := rl.peers[no]
	if !ok {
		pe = &peer{pending: map[factKey]reducer.Fact{}, digestAt: now.Add(rl.config.Period)}
		if len(rl.peers) < maxPeers {
			rl.peers[no] = pe
			at, _ := slices.BinarySearchFunc(rl.order, no, checker.NodeID.Compare)
			rl.order = slices.Insert(rl.order, at, no)
		}
	}
	return pe
}

// observeDigest updates the state of a peer from its digest.
func (rl *Relayer) observeDigest(no checker.NodeID, di Digest, now time.Time) {
	if no == rl.config.Self {
		return
	}
	pe := rl.peer(no, now)
	first := pe.lastContact.IsZero()
	pe.lastContact = now
	pe.failures = 0
	pe.remoteDigest = di
	// A call exchanges digests in both directions, so the next is due in a period.
	pe.digestAt = now.Add(rl.config.Period)
	if di.LogAge >= 0 && now.Add(-di.LogAge).After(rl.lastLogRead) {
		rl.lastLogRead = now.Add(-di.LogAge)
	}
	sameLog := di.Folded == rl.state.Next() && di.Skips+rl.state.Skips() == 0
	asserter.That(!sameLog || di.Revision == rl.state.Revision(), "foldIsDeterministic",
		"node %v holds revision %d at offset %d, this node %d",
		no, di.Revision, di.Folded, rl.state.Revision())
	switch {
	case di.Facts == rl.cached().digest:
		pe.mismatchSince = time.Time{}
		clear(pe.pending)
	case first:
		// A node that has just started pulls the facts without waiting.
		pe.mismatchSince = now.Add(-mismatchPeriods * rl.config.Period)
	case pe.mismatchSince.IsZero():
		pe.mismatchSince = now
	}
}

// PeerCounts counts the peers by the outcome of the last contact. A node that
// is not a neighbour but has this one as its neighbour counts after it has sent
// or responded to a message.
type PeerCounts struct {
	// Responded is the number that responded, Fresh the number of those that were
	// not stale.
	Responded, Fresh int
	// Failed is the number whose last call failed.
	Failed int
	// Waiting is the number that have neither responded nor failed yet.
	Waiting int
	// Next is the greatest Next in the digests of those that responded.
	Next uint64
	// UnpulledFacts is the number of fresh peers whose facts differ from those of
	// this node and have not been pulled yet.
	UnpulledFacts int
}

// PeerCounts returns the current counts.
func (rl *Relayer) PeerCounts() PeerCounts {
	var pc PeerCounts
	for _, pe := range rl.peers {
		switch {
		case !pe.neighbour && pe.lastContact.IsZero():
		case pe.failures > 0:
			pc.Failed++
		case pe.lastContact.IsZero():
			pc.Waiting++
		default:
			pc.Responded++
			if !pe.remoteDigest.Stale {
				pc.Fresh++
				if !pe.factsPulled && pe.remoteDigest.Facts != rl.cached().digest {
					pc.UnpulledFacts++
				}
			}
			pc.Next = max(pc.Next, pe.remoteDigest.Next)
		}
	}
	return pc
}

// Plan returns the messages to send now and the time at which to call it again
// if no message arrives before.
func (rl *Relayer) Plan(now time.Time) ([]Action, time.Time) {
	var actions []Action
	wake := now.Add(rl.config.Period)
	source, found := rl.pullSource(now)
	for _, no := range rl.order {
		pe := rl.peers[no]
		if !pe.active(now, rl.config.Period) {
			continue
		}
		if pe.failures > 0 && now.Before(pe.retryAt) {
			wake = earlier(wake, pe.retryAt)
			continue
		}
		if !pe.pushing {
			if ps := rl.planPush(pe, now); ps != nil {
				actions = append(actions, Action{To: no, Push: ps})
			} else if pe.neighbour {
				wake = earlier(wake, pe.digestAt)
			}
		}
		if !pe.pulling {
			if pl := rl.planPull(pe, found && no == source, now); pl != nil {
				actions = append(actions, Action{To: no, Pull: pl})
			}
		}
	}
	return actions, wake
}

func earlier(at, other time.Time) time.Time {
	if other.Before(at) {
		return other
	}
	return at
}

// planPush returns the push to send to the peer now, or nil.
func (rl *Relayer) planPush(pe *peer, now time.Time) *Push {
	due := pe.neighbour && !now.Before(pe.digestAt)
	lacks := !pe.lastContact.IsZero() && pe.remoteDigest.Next < rl.Next() &&
		pe.ackedDigest.Next < rl.Next()
	if !due && !lacks && len(pe.pending) == 0 {
		return nil
	}
	ps := &Push{From: rl.config.Self, Digest: rl.Digest(now)}
	if lacks && pe.remoteDigest.Next >= rl.window.first &&
		rl.window.bytesFrom(pe.remoteDigest.Next) <= rl.config.EagerBytes {
		ps.Records = rl.window.from(pe.remoteDigest.Next, rl.config.EagerBytes)
	}
	pe.inFlight = map[factKey]reducer.Fact{}
	for _, key := range slices.SortedFunc(maps.Keys(pe.pending), factKey.compare) {
		if len(pe.inFlight) == maxFacts {
			break
		}
		pe.inFlight[key] = pe.pending[key]
		ps.Facts = append(ps.Facts, pe.pending[key])
		delete(pe.pending, key)
	}
	pe.pushing = true
	pe.digestAt = now.Add(rl.config.Period)
	return ps
}

// planPull returns the pull to send to the peer now, or nil.
func (rl *Relayer) planPull(pe *peer, records bool, now time.Time) *Pull {
	facts := !pe.mismatchSince.IsZero() && !now.Before(pe.factBackoff.nextAt) &&
		now.Sub(pe.mismatchSince) >= mismatchPeriods*rl.config.Period
	if !records && !facts {
		return nil
	}
	pl := &Pull{From: rl.config.Self, Digest: rl.Digest(now), Records: records}
	if facts {
		pl.Buckets = slices.Clone(rl.buckets())
	}
	pe.pulling = true
	if records {
		rl.pulling = true
	}
	return pl
}

// pullSource returns the peer to pull records from, and whether there is one. It
// prefers the highest offset and breaks ties by a hash of both nodes, so that the
// nodes that lack the same record spread over those that hold it.
func (rl *Relayer) pullSource(now time.Time) (checker.NodeID, bool) {
	var best checker.NodeID
	var bestPeer *peer
	if rl.pulling {
		return best, false
	}
	for no, pe := range rl.peers {
		di := pe.remoteDigest
		newer := di.Next > rl.Next() || rl.state.Newer(di.Folded, di.Revision)
		ready := newer && !pe.pulling && !now.Before(pe.recordBackoff.nextAt) &&
			(pe.failures == 0 || !now.Before(pe.retryAt)) && pe.active(now, rl.config.Period)
		if !ready {
			continue
		}
		better := bestPeer == nil || di.Next > bestPeer.remoteDigest.Next ||
			di.Next == bestPeer.remoteDigest.Next && rl.pairHash(no) > rl.pairHash(best)
		if better {
			best, bestPeer = no, pe
		}
	}
	return best, bestPeer != nil
}

func (rl *Relayer) pairHash(no checker.NodeID) uint64 {
	return xxhash.Sum64String(rl.config.Self.String() + no.String())
}
