package detector

import (
	"maps"
	"slices"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// exchangeRounds bounds the rounds of one exchange. 16 rounds can transfer
// 4,000 members.
const exchangeRounds = 16

// Offer is one side's part of an exchange.
type Offer struct {
	// From is the sender's own record.
	From Member
	// Digest is the hash of the sender's members and notes, NoteDigest that of
	// its notes.
	Digest     uint64
	NoteDigest uint64
	// Buckets holds a hash for each bucket of members. It is empty in the first
	// round.
	Buckets []uint32
	// Members and Notes are the records that the receiver may lack.
	Members []Member
	Notes   []Note
	// Joining reports whether the sender knows no other member.
	Joining bool
	// More reports whether Members was truncated.
	More bool
	// Round is the number of the round, from 0.
	Round int
}

// startExchanges starts the exchanges that are due.
func (de *Detector) startExchanges(now time.Time) {
	if !now.Before(de.nextJoin) {
		de.nextJoin = now.Add(de.jitter(de.config.JoinInterval))
		if len(de.neighbours) == 0 || de.isolated(now) {
			de.exchangeWith(de.randomCandidate(true, true), now)
		}
	}
	if !now.Before(de.nextExchange) {
		de.nextExchange = now.Add(de.jitter(de.config.ExchangeInterval))
		de.exchangeWith(de.randomCandidate(true, false), now)
	}
	if !now.Before(de.nextRetry) {
		de.retryInterval = min(2*de.retryInterval, de.config.MaxRetryInterval)
		de.nextRetry = now.Add(de.jitter(de.retryInterval))
		de.exchangeWith(de.nextUnreachable(), now)
	}
}

// resetRetry resets the retries to their shortest interval.
func (de *Detector) resetRetry(now time.Time) {
	de.retryInterval = de.config.JoinInterval
	de.nextRetry = now.Add(de.jitter(de.retryInterval))
}

// nextUnreachable returns the dead members and the seeds that are not members,
// in turn.
func (de *Detector) nextUnreachable() checker.NodeID {
	list := de.candidates(false, true)
	if len(list) == 0 {
		return checker.NodeID{}
	}
	de.retryIndex++
	return list[de.retryIndex%len(list)]
}

// randomCandidate returns a random candidate, or the zero NodeID if there is
// none.
func (de *Detector) randomCandidate(alive, unreachable bool) checker.NodeID {
	list := de.candidates(alive, unreachable)
	if len(list) == 0 {
		return checker.NodeID{}
	}
	return list[de.config.Random.IntN(len(list))]
}

// candidates returns the nodes to exchange with: with alive, the members that
// are alive or suspect; with unreachable, the dead members and the seeds that
// are unknown or have left.
func (de *Detector) candidates(alive, unreachable bool) []checker.NodeID {
	var list []checker.NodeID
	for _, en := range de.table.list {
		dead := en.state() == Dead
		if en.Node != de.node && (alive && en.state() < Dead || unreachable && dead) {
			list = append(list, en.Node)
		}
	}
	for _, seed := range de.config.Seeds {
		if en := de.table.entries[seed]; unreachable && (en == nil || en.state() == Left) {
			list = append(list, seed)
		}
	}
	return list
}

func (de *Detector) exchangeWith(node checker.NodeID, now time.Time) {
	if node.IsValid() {
		de.queue = append(de.queue, de.exchange(node, 0, now))
	}
}

func (de *Detector) exchange(node checker.NodeID, round int, now time.Time) Action {
	return Action{Kind: Exchange, Target: node, Offer: de.offer(round), started: now}
}

func (de *Detector) offer(round int) Offer {
	of := Offer{
		From: de.Self(), Digest: de.Digest(), NoteDigest: de.table.noteHash, Round: round,
		Joining: len(de.table.list) == 1,
	}
	if round > 0 {
		of.Buckets = de.table.truncatedBuckets()
	}
	return of
}

// HandleOffer returns the answer to a peer's offer.
func (de *Detector) HandleOffer(of Offer, now time.Time) Offer {
	de.contact(now)
	de.mergeOffer(of, now)
	answer := de.offer(of.Round)
	if of.Joining {
		answer.Members, answer.More = de.sample(maxFirstMembers), true
		answer.Buckets = nil
		return answer
	}
	if of.Digest == answer.Digest || of.Round == 0 {
		return answer
	}
	de.addMissing(&answer, of, nil)
	return answer
}

// sample returns up to count random members that are alive or suspect.
func (de *Detector) sample(count int) []Member {
	var members []Member
	for _, nn := range de.config.Random.Perm(len(de.table.list)) {
		if en := de.table.list[nn]; en.State < Dead && len(members) < count {
			members = append(members, en.Member)
		}
	}
	return members
}

// mergeOffer merges the records in an offer.
func (de *Detector) mergeOffer(of Offer, now time.Time) {
	de.Merge([]Member{of.From}, nil, of.From.Node, now)
	de.Merge(of.Members, of.Notes, of.From.Node, now)
}

// addMissing adds to an offer the records that the sender of the other offer may
// lack: the notes if their digests differ, and the members of the buckets that
// differ, except those just received from it.
func (de *Detector) addMissing(offer *Offer, other Offer, received []Member) {
	if other.NoteDigest != offer.NoteDigest {
		for _, key := range slices.Sorted(maps.Keys(de.table.notes)) {
			offer.Notes = append(offer.Notes, de.table.notes[key].Note)
		}
	}
	if len(other.Buckets) != bucketCount {
		return
	}
	limit := maxOfferMembers
	if other.Round <= 1 {
		limit = maxFirstMembers
	}
	same := make(map[Member]bool, len(received))
	for _, me := range received {
		same[me] = true
	}
	short := de.table.truncatedBuckets()
	// Each exchange starts at a random bucket, so that a node that joins
	// through several peers does not get the same members from each.
	first := de.config.Random.IntN(bucketCount)
	byBucket := map[int][]Member{}
	for _, en := range de.table.list {
		if short[en.bucket] != other.Buckets[en.bucket] && !same[en.Member] {
			byBucket[en.bucket] = append(byBucket[en.bucket], en.Member)
		}
	}
	for nn := range bucketCount {
		if len(offer.Members) >= limit {
			offer.More = true
			return
		}
		offer.Members = append(offer.Members, byBucket[(first+nn)%bucketCount]...)
	}
}

// HandleOfferAnswer handles the answer to an offer. The exchange continues while
// the tables differ. If the answer was truncated, it continues with another
// member, because seeds that many nodes join through at once send each of them
// only a few members.
func (de *Detector) HandleOfferAnswer(ac Action, answer Offer, now time.Time) {
	de.contact(now)
	before := de.Digest()
	de.mergeOffer(answer, now)
	if answer.Digest == de.Digest() || ac.Offer.Round >= exchangeRounds {
		return
	}
	next := de.exchange(ac.Target, ac.Offer.Round+1, now)
	if answer.More {
		if other := de.randomCandidate(true, false); other.IsValid() {
			next.Target = other
			de.queue = append(de.queue, next)
			return
		}
	}
	de.addMissing(&next.Offer, answer, answer.Members)
	next.lastDigest = answer.Digest
	progress := de.Digest() != before || ac.lastDigest != answer.Digest
	if ac.Offer.Round < 2 || progress {
		de.queue = append(de.queue, next)
	}
}
