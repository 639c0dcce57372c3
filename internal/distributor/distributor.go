// Package distributor keeps the configuration state of a node up to date.
//
// It reads the platform's log while the node is one of its data centre's
// readers, passes news to the neighbours and fetches what is missing from
// them. Readers also write checkpoints, announcements of live addresses and
// the facts that the log does not hold yet.
package distributor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/appender"
	"github.com/guavastall/guavastall/internal/elector"
	"github.com/guavastall/guavastall/internal/reducer"
	"github.com/guavastall/guavastall/internal/relayer"
	"github.com/guavastall/guavastall/pkg/checker"
)

// Streams of the platform's log.
const (
	// ConfigurationStream holds the records that the reducer folds.
	ConfigurationStream = "configuration"
	// CheckpointStream holds checkpoints of the folded state.
	CheckpointStream = "checkpoints"
	// AnnouncementStream holds addresses of live nodes.
	AnnouncementStream = "announcements"
)

// Defaults of [Config].
const (
	defaultRetention         = time.Hour
	defaultStartWait         = 5 * time.Second
	defaultCheckpointRecords = 64
	defaultAnnounceEvery     = 30 * time.Second
	defaultPoll              = 2 * time.Second
	defaultCallTimeout       = 2 * time.Second
	defaultTick              = 200 * time.Millisecond
	// defaultGapWait is several periods of the exchange with neighbours, in
	// which a node that does hold the missing records would have shown.
	defaultGapWait = 10 * time.Second
)

// Caller calls methods of other nodes.
type Caller interface {
	Call(ctx context.Context, node checker.NodeID, method string, args, reply any) error
}

// Log is the platform's log; [appender.Client] implements it.
type Log interface {
	// Append appends a record, resending it after a lost answer.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns records from the offset on.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (
		appender.Batch, error)
	// Last returns the newest records.
	Last(ctx context.Context, stream string, count int) ([]appender.Record, error)
}

// Members says which nodes are alive. Its methods are called once per second
// and must be safe for concurrent use.
type Members interface {
	// Alive returns the nodes believed to be alive.
	Alive() []elector.Member
	// Neighbours returns the nodes this node keeps links to.
	Neighbours() []checker.NodeID
}

// Config holds the dependencies and settings of a [Distributor]. Zero settings
// take the defaults.
type Config struct {
	// Self is this node.
	Self elector.Member
	// Seeds are addresses to ask when no neighbour is known.
	Seeds []checker.NodeID
	// Caller reaches other nodes.
	Caller Caller
	// Log is the platform's log.
	Log Log
	// Members is the membership.
	Members Members
	// Found is told the addresses read from announcements; nil ignores them.
	Found func([]checker.NodeID)
	// Logger takes a line for each decision; nil discards them.
	Logger logrus.FieldLogger
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	// Retention is how long the log keeps a record.
	Retention time.Duration
	// StartWait bounds the wait for peers or the log after the start.
	StartWait time.Duration
	// CheckpointRecords is the number of records between checkpoints.
	CheckpointRecords int
	// AnnounceEvery is the time between announcements of one reader.
	AnnounceEvery time.Duration
	// Poll is how long the log may hold a read that finds nothing.
	Poll time.Duration
	// CallTimeout bounds a call to another node.
	CallTimeout time.Duration
	// Tick is the time between looks at members and upkeep.
	Tick time.Duration
	// GapWait is the least time before a node passes over records that the log
	// dropped and that no checkpoint or neighbour has.
	GapWait time.Duration
	// Reader holds the settings of the decision when to read the log.
	Reader elector.Config
	// Relay holds the settings of the exchange with neighbours.
	Relay relayer.Config
}

func (cf *Config) setDefaults() error {
	if cf.Caller == nil || cf.Log == nil || cf.Members == nil {
		return errors.New("distributor needs a caller, a log and members")
	}
	if !cf.Self.Node.IsValid() {
		return fmt.Errorf("node address %v is invalid", cf.Self.Node)
	}
	if cf.Logger == nil {
		lg := logrus.New()
		lg.SetOutput(io.Discard)
		cf.Logger = lg
	}
	if cf.Now == nil {
		cf.Now = time.Now
	}
	setDefault(&cf.Retention, defaultRetention)
	setDefault(&cf.StartWait, defaultStartWait)
	setDefault(&cf.CheckpointRecords, defaultCheckpointRecords)
	setDefault(&cf.AnnounceEvery, defaultAnnounceEvery)
	setDefault(&cf.Poll, defaultPoll)
	setDefault(&cf.CallTimeout, defaultCallTimeout)
	setDefault(&cf.Tick, defaultTick)
	setDefault(&cf.GapWait, defaultGapWait)
	cf.Reader.Self = cf.Self
	cf.Relay.Self = cf.Self.Node
	return nil
}

func setDefault[T ~int | ~int64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Stats counts what the distributor did.
type Stats struct {
	// LogRequests is the number of requests sent to the log.
	LogRequests int64
	// Pushes, Digests and Pulls are the numbers of calls to other nodes.
	Pushes, Digests, Pulls int64
	// FailedCalls is the number of those that had no answer.
	FailedCalls int64
	// Checkpoints is the number of checkpoints written.
	Checkpoints int64
}

// Distributor keeps the configuration state of a node. Use [New], register
// [Distributor.Receiver] with the server for other nodes, then call
// [Distributor.Run].
type Distributor struct {
	config  Config
	started time.Time
	state   atomic.Pointer[reducer.State]
	wake    chan struct{}
	ready   chan struct{}

	mu      sync.Mutex
	relayer *relayer.Relayer
	changed chan struct{}
	stale   bool
	waited  bool
	// logRead says that the log has been read to its end since the start.
	logRead bool
	// found holds addresses read from announcements.
	found []checker.NodeID
	stats Stats

	// elect, rnd, gapAt and lookedAt belong to the goroutine that reads the log.
	elect *elector.Reader
	rnd   *rand.Rand
	// gapAt is when the node may pass over a gap in the log; zero if there is none.
	gapAt time.Time
	// lookedAt is when the announcements were last read.
	lookedAt time.Time
	// reading says that this node is a reader and its last read succeeded.
	reading atomic.Bool
}

// New returns a distributor that holds no configuration yet.
func New(cf Config) (*Distributor, error) {
	if err := cf.setDefaults(); err != nil {
		return nil, err
	}
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	now := cf.Now()
	ds := &Distributor{
		config:  cf,
		started: now,
		wake:    make(chan struct{}, 1),
		ready:   make(chan struct{}),
		relayer: relayer.New(cf.Relay, &reducer.State{}),
		changed: make(chan struct{}),
		stale:   true,
		elect:   elector.NewReader(cf.Reader, rnd, now),
		rnd:     rnd,
	}
	ds.state.Store(ds.relayer.State())
	return ds, nil
}

// State returns the current state. Its revision never decreases.
func (ds *Distributor) State() *reducer.State { return ds.state.Load() }

// Changed returns a channel that is closed when the state next changes. To
// miss no change, take the channel before the state.
func (ds *Distributor) Changed() <-chan struct{} {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return ds.changed
}

// Stale reports whether the node has started but could not yet learn the
// newest configuration from a peer or from the log.
func (ds *Distributor) Stale() bool {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return ds.stale
}

// Ready returns a channel that is closed when the node is no longer stale or
// has waited long enough to serve what it has.
func (ds *Distributor) Ready() <-chan struct{} { return ds.ready }

// Behind reports whether there are records that this build cannot read.
func (ds *Distributor) Behind() bool {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return ds.relayer.Behind()
}

// Reading reports whether this node reads the log and its last read succeeded.
func (ds *Distributor) Reading() bool { return ds.reading.Load() }

// Stats returns the counts so far.
func (ds *Distributor) Stats() Stats {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return ds.stats
}

// Join adds facts that arose at this node and passes them on at once. It
// reports whether any of them is news.
func (ds *Distributor) Join(facts ...reducer.Fact) bool {
	news := false
	ds.update(func(rl *relayer.Relayer, now time.Time) {
		news = rl.Join(facts, now)
	})
	return news
}

// Run works until the context ends. It returns when every goroutine it started
// has ended.
func (ds *Distributor) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	work := []func(context.Context){ds.relay, ds.read, ds.upkeep}
	ended := make(chan struct{}, len(work))
	for _, fn := range work {
		go func() {
			defer func() { ended <- struct{}{} }()
			fn(ctx)
		}()
	}
	for range work {
		<-ended
	}
	return context.Cause(ctx)
}

// update changes the relayer, publishes its state and wakes the relay.
func (ds *Distributor) update(change func(rl *relayer.Relayer, now time.Time)) {
	now := ds.config.Now()
	ds.mu.Lock()
	change(ds.relayer, now)
	ds.settle(now)
	next := ds.relayer.State()
	before := ds.state.Load()
	if next != before {
		ds.state.Store(next)
		close(ds.changed)
		ds.changed = make(chan struct{})
	}
	ds.mu.Unlock()
	if next.Revision() != before.Revision() {
		ds.config.Logger.WithFields(logrus.Fields{
			"revision": next.Revision(), "before": before.Revision(), "offset": next.Next(),
		}).Info("configuration is in effect")
	}
	ds.poke()
}

// poke wakes the relay.
func (ds *Distributor) poke() {
	select {
	case ds.wake <- struct{}{}:
	default:
	}
}

// settle ends the stale time once a peer that is not stale itself has answered
// or the log has been read to its end, every peer has answered or failed, and
// the node holds all records and facts that those hold. The caller holds the lock.
func (ds *Distributor) settle(now time.Time) {
	if ds.stale {
		co := ds.relayer.Contact()
		caughtUp := ds.relayer.Next() >= co.Next && co.Unread == 0
		if (co.Fresh > 0 || ds.logRead) && co.Waiting == 0 && caughtUp {
			ds.stale = false
			ds.relayer.SetStale(false)
		}
	}
	if !ds.waited && (!ds.stale || now.Sub(ds.started) >= ds.config.StartWait) {
		ds.waited = true
		close(ds.ready)
	}
}

// count changes the statistics.
func (ds *Distributor) count(change func(*Stats)) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	change(&ds.stats)
}
