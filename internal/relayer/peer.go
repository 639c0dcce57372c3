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
	// how long a healed link may stay unused.
	maxRetryDoublings = 2
	// maxWasteDoublings bounds the wait after useless pulls at 32 periods.
	maxWasteDoublings = 5
	// maxPeers bounds the nodes that this node keeps track of. About 8 are
	// neighbours in one direction or the other.
	maxPeers = 256
	// forgetAfter is the number of periods after which a node that is not a
	// neighbour, but has taken this one for its neighbour, is forgotten.
	forgetAfter = 3
	// mismatchAfter is the number of periods for which the facts of two nodes
	// may differ before one pulls; until then they are on their way.
	mismatchAfter = 2
)

// peer is what the node knows of another node.
type peer struct {
	// linked says that the node is one of this node's own neighbours.
	linked bool
	// heardAt is when the node last sent or answered anything; zero if never.
	heardAt time.Time
	said    Digest
	// told is the last digest of this node that the peer has for sure.
	told Digest

	// busy says that a push is on its way, pulling that a pull is.
	busy, pulling bool
	// digestAt is when the next digest is due.
	digestAt time.Time
	fails    int
	retryAt  time.Time

	// pending holds the facts the peer is not known to have; sent those on
	// their way to it.
	pending, sent map[factKey]reducer.Fact
	// mismatchAt is since when the facts differ; zero if they are equal.
	mismatchAt time.Time
	// factsTaken says that a pull of facts from the peer has succeeded.
	factsTaken bool
	// recordPulls and factPulls space pulls that bring nothing new.
	recordPulls, factPulls pulls
}

// pulls spaces pulls that bring nothing new: the peer may hold records or
// facts that this build cannot read.
type pulls struct {
	wasted int
	nextAt time.Time
}

func (pu *pulls) note(useful bool, now time.Time, period time.Duration) {
	if useful {
		*pu = pulls{}
		return
	}
	pu.nextAt = now.Add(period << min(pu.wasted, maxWasteDoublings))
	pu.wasted++
}

// active reports whether the peer takes part in the exchange.
func (pe *peer) active(now time.Time, period time.Duration) bool {
	return pe.linked || now.Sub(pe.heardAt) < forgetAfter*period
}

// knows removes what the peer itself has sent from what it is to be sent.
func (pe *peer) knows(key factKey, fa reducer.Fact) {
	if waiting, ok := pe.pending[key]; ok && covers(fa, waiting) {
		delete(pe.pending, key)
	}
}

// SetNeighbours sets the nodes this node exchanges digests with.
func (rl *Relayer) SetNeighbours(nodes []checker.NodeID, now time.Time) {
	for _, pe := range rl.peers {
		pe.linked = false
	}
	for _, no := range nodes {
		if no == rl.config.Self {
			continue
		}
		pe := rl.peer(no, now)
		if !pe.linked && pe.heardAt.IsZero() {
			pe.digestAt = now
		}
		pe.linked = true
	}
	rl.order = slices.DeleteFunc(rl.order, func(no checker.NodeID) bool {
		pe := rl.peers[no]
		unused := !pe.busy && !pe.pulling && !pe.active(now, rl.config.Period)
		if unused {
			delete(rl.peers, no)
		}
		return unused
	})
}

// peer returns the peer, adding it if need be.
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

// heard notes what a peer holds.
func (rl *Relayer) heard(no checker.NodeID, di Digest, now time.Time) {
	if no == rl.config.Self {
		return
	}
	pe := rl.peer(no, now)
	first := pe.heardAt.IsZero()
	pe.heardAt = now
	pe.fails = 0
	pe.said = di
	// The digest goes both ways in one call, so the next one can wait.
	pe.digestAt = now.Add(rl.config.Period)
	if di.LogAge >= 0 && now.Add(-di.LogAge).After(rl.logSeen) {
		rl.logSeen = now.Add(-di.LogAge)
	}
	sameLog := di.Folded == rl.state.Next() && di.Skips+rl.state.Skips() == 0
	asserter.That(!sameLog || di.Revision == rl.state.Revision(), "foldIsDeterministic",
		"node %v holds revision %d at offset %d, this node %d",
		no, di.Revision, di.Folded, rl.state.Revision())
	switch {
	case di.Facts == rl.cached().digest:
		pe.mismatchAt = time.Time{}
		clear(pe.pending)
	case first:
		// A node that has just started takes the facts without waiting.
		pe.mismatchAt = now.Add(-mismatchAfter * rl.config.Period)
	case pe.mismatchAt.IsZero():
		pe.mismatchAt = now
	}
}

// Contact counts the neighbours by what became of the attempts to reach them.
// Nodes that have taken this one for their neighbour count once they are heard.
type Contact struct {
	// Answered is the number that answered; Fresh those of them that were not stale.
	Answered, Fresh int
	// Failed is the number that did not answer the last attempt.
	Failed int
	// Waiting is the number that have not answered or failed yet.
	Waiting int
	// Next is the greatest offset that any of them holds.
	Next uint64
	// Unread is the number of fresh ones whose facts differ from those of this
	// node and have not been pulled yet.
	Unread int
}

// Contact returns what became of the attempts to reach the neighbours.
func (rl *Relayer) Contact() Contact {
	var co Contact
	for _, pe := range rl.peers {
		switch {
		case !pe.linked && pe.heardAt.IsZero():
		case pe.fails > 0:
			co.Failed++
		case pe.heardAt.IsZero():
			co.Waiting++
		default:
			co.Answered++
			if !pe.said.Stale {
				co.Fresh++
				if !pe.factsTaken && pe.said.Facts != rl.cached().digest {
					co.Unread++
				}
			}
			co.Next = max(co.Next, pe.said.Next)
		}
	}
	return co
}

// Plan returns the messages to send now and the time of the next ones if
// nothing arrives until then.
func (rl *Relayer) Plan(now time.Time) ([]Action, time.Time) {
	var actions []Action
	wake := now.Add(rl.config.Period)
	source, found := rl.source(now)
	for _, no := range rl.order {
		pe := rl.peers[no]
		if !pe.active(now, rl.config.Period) {
			continue
		}
		if pe.fails > 0 && now.Before(pe.retryAt) {
			wake = earlier(wake, pe.retryAt)
			continue
		}
		if !pe.busy {
			if ps := rl.push(pe, now); ps != nil {
				actions = append(actions, Action{To: no, Push: ps})
			} else if pe.linked {
				wake = earlier(wake, pe.digestAt)
			}
		}
		if !pe.pulling {
			if pl := rl.pull(pe, found && no == source, now); pl != nil {
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

// push returns what to push to the peer now, or nil.
func (rl *Relayer) push(pe *peer, now time.Time) *Push {
	due := pe.linked && !now.Before(pe.digestAt)
	lacks := !pe.heardAt.IsZero() && pe.said.Next < rl.Next() && pe.told.Next < rl.Next()
	if !due && !lacks && len(pe.pending) == 0 {
		return nil
	}
	ps := &Push{From: rl.config.Self, Digest: rl.Digest(now)}
	if lacks && pe.said.Next >= rl.window.first &&
		rl.window.size(pe.said.Next) <= rl.config.EagerBytes {
		ps.Records = rl.window.since(pe.said.Next, rl.config.EagerBytes)
	}
	pe.sent = map[factKey]reducer.Fact{}
	for _, key := range slices.SortedFunc(maps.Keys(pe.pending), factKey.compare) {
		if len(pe.sent) == maxFacts {
			break
		}
		pe.sent[key] = pe.pending[key]
		ps.Facts = append(ps.Facts, pe.pending[key])
		delete(pe.pending, key)
	}
	pe.busy = true
	pe.digestAt = now.Add(rl.config.Period)
	return ps
}

// pull returns what to pull from the peer now, or nil.
func (rl *Relayer) pull(pe *peer, records bool, now time.Time) *Pull {
	facts := !pe.mismatchAt.IsZero() && !now.Before(pe.factPulls.nextAt) &&
		now.Sub(pe.mismatchAt) >= mismatchAfter*rl.config.Period
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

// source returns the peer to pull records from, and whether there is one. Of
// several it takes the one that is furthest, then by hash, so that the nodes
// that lack the same record spread over those that hold it.
func (rl *Relayer) source(now time.Time) (checker.NodeID, bool) {
	var best checker.NodeID
	var bestPeer *peer
	if rl.pulling {
		return best, false
	}
	for no, pe := range rl.peers {
		news := pe.said.Next > rl.Next() || rl.state.Newer(pe.said.Folded, pe.said.Revision)
		ready := news && !pe.pulling && !now.Before(pe.recordPulls.nextAt) &&
			(pe.fails == 0 || !now.Before(pe.retryAt)) && pe.active(now, rl.config.Period)
		if !ready {
			continue
		}
		better := bestPeer == nil || pe.said.Next > bestPeer.said.Next ||
			pe.said.Next == bestPeer.said.Next && rl.pairHash(no) > rl.pairHash(best)
		if better {
			best, bestPeer = no, pe
		}
	}
	return best, bestPeer != nil
}

func (rl *Relayer) pairHash(no checker.NodeID) uint64 {
	return xxhash.Sum64String(rl.config.Self.String() + no.String())
}
