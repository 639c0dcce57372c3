package detector

import (
	"maps"
	"slices"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// exchangeRounds bounds the offers of one exchange: enough for the transfer of
// 4,000 members.
const exchangeRounds = 16

// Offer is one side's part of an exchange.
type Offer struct {
	// From is the sender's own record.
	From Member
	// Digest is the hash of the sender's table, Notes that of its notes.
	Digest     uint64
	NoteDigest uint64
	// Buckets holds a hash for each bucket of members; empty in the first
	// offer, which asks for them.
	Buckets []uint32
	// Members and Notes are what the receiver may lack.
	Members []Member
	Notes   []Note
	// Joining says that the sender knows nobody else.
	Joining bool
	// More says that Members lacks some for want of space.
	More bool
	// Round counts the offers of an exchange.
	Round int
}

// schedule starts the exchanges that are due.
func (de *Detector) schedule(now time.Time) {
	if !now.Before(de.nextJoin) {
		de.nextJoin = now.Add(de.jitter(de.config.JoinTime))
		if len(de.neighbours) == 0 || de.isolated(now) {
			de.exchangeWith(de.pick(true, true), now)
		}
	}
	if !now.Before(de.nextExchange) {
		de.nextExchange = now.Add(de.jitter(de.config.ExchangeTime))
		de.exchangeWith(de.pick(true, false), now)
	}
	if !now.Before(de.nextRetry) {
		de.retryTime = min(2*de.retryTime, de.config.RetryTime)
		de.nextRetry = now.Add(de.jitter(de.retryTime))
		de.exchangeWith(de.nextLost(), now)
	}
}

// retrySoon starts the retries anew at their shortest interval.
func (de *Detector) retrySoon(now time.Time) {
	de.retryTime = de.config.JoinTime
	de.nextRetry = now.Add(de.jitter(de.retryTime))
}

// nextLost returns the dead members and lost seeds in turn.
func (de *Detector) nextLost() checker.NodeID {
	list := de.candidates(false, true)
	if len(list) == 0 {
		return checker.NodeID{}
	}
	de.retries++
	return list[de.retries%len(list)]
}

// pick returns a random one of the candidates; the zero NodeID if there is none.
func (de *Detector) pick(living, lost bool) checker.NodeID {
	list := de.candidates(living, lost)
	if len(list) == 0 {
		return checker.NodeID{}
	}
	return list[de.config.Random.IntN(len(list))]
}

// candidates returns the members that are not dead, or the dead members and the
// seeds that are not known as alive.
func (de *Detector) candidates(living, lost bool) []checker.NodeID {
	var list []checker.NodeID
	for _, en := range de.table.list {
		dead := en.state() == Dead
		if en.Node != de.node && (living && en.state() < Dead || lost && dead) {
			list = append(list, en.Node)
		}
	}
	for _, seed := range de.config.Seeds {
		if en := de.table.entries[seed]; lost && (en == nil || en.state() == Left) {
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
		of.Buckets = de.table.shortBuckets()
	}
	return of
}

// Offered answers an offer of a peer.
func (de *Detector) Offered(of Offer, now time.Time) Offer {
	de.contact(now)
	de.takeOffer(of, now)
	answer := de.offer(of.Round)
	if of.Joining {
		answer.Members, answer.More = de.sample(firstLimit), true
		answer.Buckets = nil
		return answer
	}
	if of.Digest == answer.Digest || of.Round == 0 {
		return answer
	}
	de.fill(&answer, of, nil)
	return answer
}

// sample returns some random members that are not dead.
func (de *Detector) sample(count int) []Member {
	var members []Member
	for _, nn := range de.config.Random.Perm(len(de.table.list)) {
		if en := de.table.list[nn]; en.State < Dead && len(members) < count {
			members = append(members, en.Member)
		}
	}
	return members
}

// takeOffer merges what an offer brings.
func (de *Detector) takeOffer(of Offer, now time.Time) {
	de.Merge([]Member{of.From}, nil, of.From.Node, now)
	de.Merge(of.Members, of.Notes, of.From.Node, now)
}

// fill adds to an offer what the sender of the other one may lack: the members
// of the buckets that differ, except those just received from it.
func (de *Detector) fill(offer *Offer, other Offer, received []Member) {
	if other.NoteDigest != offer.NoteDigest {
		for _, key := range slices.Sorted(maps.Keys(de.table.notes)) {
			offer.Notes = append(offer.Notes, de.table.notes[key].Note)
		}
	}
	if len(other.Buckets) != bucketCount {
		return
	}
	limit := offerLimit
	if other.Round <= 1 {
		limit = firstLimit
	}
	same := make(map[Member]bool, len(received))
	for _, me := range received {
		same[me] = true
	}
	short := de.table.shortBuckets()
	// Different exchanges begin at different buckets, so that a node that
	// joins through several peers does not get the same members from each.
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

// Exchanged takes in the answer to an offer. It goes on with the exchange
// while the tables differ, with another member if the answer was cut short: the
// seeds, which a whole herd may ask at once, give each only a few members.
func (de *Detector) Exchanged(ac Action, answer Offer, now time.Time) {
	de.contact(now)
	before := de.Digest()
	de.takeOffer(answer, now)
	if answer.Digest == de.Digest() || ac.Offer.Round >= exchangeRounds {
		return
	}
	next := de.exchange(ac.Target, ac.Offer.Round+1, now)
	if answer.More {
		if other := de.pick(true, false); other.IsValid() {
			next.Target = other
			de.queue = append(de.queue, next)
			return
		}
	}
	de.fill(&next.Offer, answer, answer.Members)
	next.answered = answer.Digest
	progress := de.Digest() != before || ac.answered != answer.Digest
	if ac.Offer.Round < 2 || progress {
		de.queue = append(de.queue, next)
	}
}
