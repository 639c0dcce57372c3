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
	// DefaultReaders is the number of readers per data centre. The second reader
	// covers the seconds until the loss of the first one is detected.
	DefaultReaders = 2
	// DefaultBudget is the number of log requests per second and data centre. Nine
	// data centres with a budget of 30 send 270 requests per second, with peaks of
	// about 330.
	DefaultBudget = 30
	// DefaultExpected is the number of nodes in its data centre that a node assumes
	// right after its start. 750 nodes in 9 data centres are 84 per data centre.
	DefaultExpected = 100
	// DefaultPeersFirst is the time after the start in which a node asks only its
	// peers.
	DefaultPeersFirst = time.Second
	// DefaultHalfLife is the half-life of the assumed number of nodes. Membership
	// converges within a few protocol rounds of 1 s.
	DefaultHalfLife = 10 * time.Second
	// DefaultSubstituteAfter is the age of the last successful log read from which
	// substitutes read the log. It is several times a long poll.
	DefaultSubstituteAfter = 10 * time.Second
)

const (
	// maxSubstitutes bounds the number of nodes of a data centre that read the log
	// because its readers do not reach it. Without a bound all nodes would read when
	// a log outage ends.
	maxSubstitutes = 4
	// isolatedRate bounds the total requests per second of the nodes of a data centre
	// that know no other node, for as long as that lasts. 25 in each of nine data
	// centres are 225.
	isolatedRate = 25
	// initialCost is the assumed number of requests before a node's first turn, by which
	// the first turns of nodes that start together are spread.
	initialCost = 2
)

// Member is a node that is considered alive.
type Member struct {
	Node       checker.NodeID
	DataCentre checker.DataCentre
}

// Config holds the settings of a [Reader]. Zero fields take the defaults.
type Config struct {
	// Self is the node that decides.
	Self Member
	// Readers is the number of readers per data centre.
	Readers int
	// Budget is the number of log requests per second and data centre.
	Budget float64
	// Expected is the number of nodes assumed in the data centre at the start.
	Expected int
	// PeersFirst is the time after the start in which the node asks only its peers.
	PeersFirst time.Duration
	// HalfLife is the half-life of the assumed number of nodes.
	HalfLife time.Duration
	// SubstituteAfter is the age of the last successful log read from which substitutes
	// read the log.
	SubstituteAfter time.Duration
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
	if cf.HalfLife <= 0 {
		cf.HalfLife = DefaultHalfLife
	}
	if cf.SubstituteAfter <= 0 {
		cf.SubstituteAfter = DefaultSubstituteAfter
	}
}

// Reader decides when a node reads the platform's log.
//
// In each data centre, the nodes that rank highest by rendezvous hashing read the
// log. A node that knows only some of the others may wrongly rank itself among them.
// It therefore spaces its requests by the number of nodes expected to read when each
// knows as few members. A Reader must be created with [NewReader] and is not safe
// for concurrent use.
type Reader struct {
	config   Config
	rnd      *rand.Rand
	started  time.Time
	lastTurn time.Time
	// turnCost is the number of requests in the last turn, with jitter. It scales the
	// delay until the next turn.
	turnCost float64
}

// NewReader returns a Reader for a node that started at the given time.
func NewReader(cf Config, rnd *rand.Rand, started time.Time) *Reader {
	cf.setDefaults()
	return &Reader{config: cf, rnd: rnd, started: started, turnCost: initialCost * rnd.Float64()}
}

// View is the information that a decision is based on.
type View struct {
	// Alive holds the nodes that are considered alive; this node may be missing.
	Alive []Member
	// LogAge is the time since the last successful log read of any node that this
	// node knows of. Before the first such read it is the time since the start.
	LogAge time.Duration
	// PeersFailed reports whether every known peer was asked and none responded, so
	// that waiting for peers is useless.
	PeersFailed bool
}

// Decision is the result of [Reader.Decide].
type Decision struct {
	// Read reports whether the node is a reader.
	Read bool
	// Wait is the time until the budget allows the node's next turn.
	Wait time.Duration
}

// Decide returns whether and when the node reads the log. The caller must call
// [Reader.Sent] at the start of each turn.
func (rd *Reader) Decide(vi View, now time.Time) Decision {
	local := rd.local(vi.Alive)
	rank := slices.Index(Owners("log/"+string(rd.config.Self.DataCentre),
		local, rd.config.Readers+maxSubstitutes), rd.config.Self.Node)
	if rank < 0 || rank >= rd.config.Readers && !rd.mayRead(rank, vi.LogAge) {
		return Decision{}
	}
	return Decision{Read: true, Wait: max(0, rd.due(len(local), vi, now).Sub(now))}
}

// Sent records the start of a turn with the given number of requests to the log.
func (rd *Reader) Sent(requests int, now time.Time) {
	rd.lastTurn = now
	// The jitter keeps the mean but desynchronises nodes that started together.
	rd.turnCost = float64(requests) * (0.5 + rd.rnd.Float64())
}

// local returns the nodes of this node's data centre, including this node.
func (rd *Reader) local(alive []Member) []checker.NodeID {
	local := []checker.NodeID{rd.config.Self.Node}
	for _, me := range alive {
		if me.DataCentre == rd.config.Self.DataCentre && me.Node != rd.config.Self.Node {
			local = append(local, me.Node)
		}
	}
	return local
}

// mayRead reports whether a substitute of the given rank reads the log because no node
// has read it for a long time. Substitutes of higher rank begin earlier.
func (rd *Reader) mayRead(rank int, age time.Duration) bool {
	return age > rd.config.SubstituteAfter*time.Duration(rank-rd.config.Readers+1)
}

// due returns the time of the next turn.
func (rd *Reader) due(known int, vi View, now time.Time) time.Time {
	interval := rd.interval(known, now)
	spaced := time.Duration(float64(interval) * rd.turnCost)
	if !rd.lastTurn.IsZero() {
		return rd.lastTurn.Add(spaced)
	}
	if vi.PeersFailed {
		return rd.started.Add(spaced)
	}
	return rd.started.Add(rd.config.PeersFirst + spaced)
}

// interval returns the mean time between the requests of this node. If n nodes each
// know k of them, n*min(1, readers/k) consider themselves readers. The interval is
// such that together they stay within the budget.
func (rd *Reader) interval(known int, now time.Time) time.Duration {
	// The decay is continuous because a step would make many nodes due at the same
	// time.
	halfLives := max(0, now.Sub(rd.started)).Seconds() / rd.config.HalfLife.Seconds()
	nodes := max(float64(known), float64(rd.config.Expected)*math.Exp2(-halfLives))
	readers := nodes * min(1, float64(rd.config.Readers)/float64(known))
	interval := time.Duration(readers / rd.config.Budget * float64(time.Second))
	if known == 1 {
		isolated := time.Duration(rd.config.Expected) * time.Second / isolatedRate
		interval = max(interval, isolated)
	}
	return interval
}
