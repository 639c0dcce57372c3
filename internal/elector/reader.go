package elector

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Defaults of [Config].
const (
	// DefaultReaders is the number of readers per data centre; a second one
	// covers the seconds until the loss of the first is detected.
	DefaultReaders = 2
	// DefaultBudget is the number of log requests per second and data centre.
	// Nine data centres at 30 send 270, with peaks of about 330.
	DefaultBudget = 30
	// DefaultExpected is the number of nodes in a data centre that a node
	// assumes right after its start; 750 nodes in 9 data centres are 84.
	DefaultExpected = 100
	// DefaultPeersFirst is the time in which peers are asked before the log.
	DefaultPeersFirst = time.Second
	// DefaultSettle is the time in which the assumed number of nodes halves.
	// Membership converges within a few of its 1 s rounds.
	DefaultSettle = 10 * time.Second
	// DefaultPatience is the age of the last successful log read at which
	// substitutes begin to read. It is several long polls.
	DefaultPatience = 10 * time.Second
)

const (
	// substitutes bounds the nodes of a data centre that read because the
	// readers do not get through. Without a bound all nodes would read when a
	// log outage ends.
	substitutes = 4
	// aloneRate bounds the requests per second of all nodes of a data centre
	// that each know no other one, however long that lasts: 25 in each of nine
	// data centres are 225.
	aloneRate = 25
	// firstRequests is the number of requests in a node's first turn, over
	// which nodes that start together are spread.
	firstRequests = 2
)

// Member is a node that is believed to be alive.
type Member struct {
	// Node is the node's address.
	Node checker.NodeID
	// DataCentre is where it runs.
	DataCentre checker.DataCentre
}

// Config holds the settings of a [Reader]. Zero fields take the defaults.
type Config struct {
	// Self is this node.
	Self Member
	// Readers is the number of readers per data centre.
	Readers int
	// Budget is the number of log requests per second and data centre.
	Budget float64
	// Expected is the number of nodes assumed in the data centre at the start.
	Expected int
	// PeersFirst is the time after the start in which only peers are asked.
	PeersFirst time.Duration
	// Settle is the time in which the assumed number of nodes halves.
	Settle time.Duration
	// Patience is the age of the last successful log read at which
	// substitutes begin to read.
	Patience time.Duration
}

func (cf *Config) setDefaults() {
	if cf.Readers <= 0 {
		cf.Readers = DefaultReaders
	}
	if cf.Budget <= 0 {
		cf.Budget = DefaultBudget
	}
	if cf.Expected <= 0 {
		cf.Expected = DefaultExpected
	}
	if cf.PeersFirst <= 0 {
		cf.PeersFirst = DefaultPeersFirst
	}
	if cf.Settle <= 0 {
		cf.Settle = DefaultSettle
	}
	if cf.Patience <= 0 {
		cf.Patience = DefaultPatience
	}
}

// Reader decides when a node reads the platform's log.
//
// The first nodes of each data centre by rendezvous hashing read. Because a
// node may know few of the others, it spaces its requests by the number of
// nodes that would come to the same conclusion with as little knowledge. A
// Reader is not safe for concurrent use. It needs [NewReader].
type Reader struct {
	config  Config
	rnd     *rand.Rand
	started time.Time
	last    time.Time
	// spent is the number of requests in the last turn, with jitter.
	spent float64
}

// NewReader returns the decision for a node that started at the given time.
func NewReader(cf Config, rnd *rand.Rand, started time.Time) *Reader {
	cf.setDefaults()
	return &Reader{config: cf, rnd: rnd, started: started, spent: firstRequests * rnd.Float64()}
}

// View is what a node knows when it decides.
type View struct {
	// Alive holds the nodes believed to be alive; this node may be missing.
	Alive []Member
	// LogAge is the time since any node, as far as this one has heard, last
	// read the log successfully. Before the first such read it is the time
	// since the start.
	LogAge time.Duration
	// PeersFailed says that every known peer was asked and none answered, so
	// that waiting for peers is pointless.
	PeersFailed bool
}

// Decision says whether the node reads the log.
type Decision struct {
	// Read says that the node is a reader.
	Read bool
	// Wait is the time until its next turn is within the budget.
	Wait time.Duration
}

// Decide returns whether the node reads the log now. After each turn the
// caller calls [Reader.Sent].
func (rd *Reader) Decide(vi View, now time.Time) Decision {
	local := rd.local(vi.Alive)
	rank := slices.Index(Owners("log/"+string(rd.config.Self.DataCentre),
		local, rd.config.Readers+substitutes), rd.config.Self.Node)
	if rank < 0 || rank >= rd.config.Readers && !rd.substitutes(rank, vi.LogAge) {
		return Decision{}
	}
	return Decision{Read: true, Wait: max(0, rd.due(len(local), vi, now).Sub(now))}
}

// Sent records that a turn with a number of requests to the log began.
func (rd *Reader) Sent(requests int, now time.Time) {
	rd.last = now
	// The mean stays the same while nodes that started together drift apart.
	rd.spent = float64(requests) * (0.5 + rd.rnd.Float64())
}

// local returns the nodes of the own data centre, always with this node.
func (rd *Reader) local(alive []Member) []checker.NodeID {
	local := []checker.NodeID{rd.config.Self.Node}
	for _, me := range alive {
		if me.DataCentre == rd.config.Self.DataCentre && me.Node != rd.config.Self.Node {
			local = append(local, me.Node)
		}
	}
	return local
}

// substitutes reports whether the node of a rank below the readers reads
// because nobody has read the log for long; the better rank goes first.
func (rd *Reader) substitutes(rank int, age time.Duration) bool {
	return age > rd.config.Patience*time.Duration(rank-rd.config.Readers+1)
}

// due returns the time of the next turn.
func (rd *Reader) due(known int, vi View, now time.Time) time.Time {
	interval := rd.interval(known, now)
	spaced := time.Duration(float64(interval) * rd.spent)
	if !rd.last.IsZero() {
		return rd.last.Add(spaced)
	}
	if vi.PeersFailed {
		return rd.started.Add(spaced)
	}
	return rd.started.Add(rd.config.PeersFirst + spaced)
}

// interval returns the mean time between the requests of this node. Of n
// nodes that each know k of them, n*min(1, readers/k) take themselves for a
// reader; together they keep to the budget.
func (rd *Reader) interval(known int, now time.Time) time.Duration {
	// The decay is smooth because a step would make many nodes due at once.
	halvings := max(0, now.Sub(rd.started)).Seconds() / rd.config.Settle.Seconds()
	nodes := max(float64(known), float64(rd.config.Expected)*math.Exp2(-halvings))
	readers := nodes * min(1, float64(rd.config.Readers)/float64(known))
	interval := time.Duration(readers / rd.config.Budget * float64(time.Second))
	if known == 1 {
		alone := time.Duration(rd.config.Expected) * time.Second / aloneRate
		interval = max(interval, alone)
	}
	return interval
}
