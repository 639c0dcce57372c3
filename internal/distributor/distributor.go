// Package distributor keeps the configuration state of a node up to date.
//
// While the node is one of the readers of its data centre, it reads the
// platform's log. All nodes push new records and facts to their neighbours and
// pull missing ones from them. Readers also append checkpoints, announcements
// of live addresses and the facts that are not yet in the log.
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
	// ConfigurationStream holds the records that the reducer applies.
	ConfigurationStream = "configuration"
	// CheckpointStream holds checkpoints of the configuration state.
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
	// defaultGapWait is several exchange periods, enough for a neighbour that
	// holds the missing records to announce them.
	defaultGapWait = 10 * time.Second
)

// Caller calls methods of other nodes.
type Caller interface {
	Call(ctx context.Context, node checker.NodeID, method string, args, reply any) error
}

// Log is the platform's log; [appender.Client] implements it.
type Log interface {
	// Append appends a record and resends it if the response is lost.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns records starting at the offset.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (
		appender.Batch, error)
	// Last returns the newest records.
	Last(ctx context.Context, stream string, count int) ([]appender.Record, error)
}

// Members is the node's view of the membership. Its methods are called once
// per second and must be safe for concurrent use.
type Members interface {
	// Alive returns the nodes believed to be alive.
	Alive() []elector.Member
	// Neighbours returns the nodes this node exchanges records and facts with.
	Neighbours() []checker.NodeID
}

// Config holds the dependencies and settings of a [Distributor]. Zero settings
// take the defaults.
type Config struct {
	// Self is this node.
	Self elector.Member
	// Seeds are the addresses contacted when no neighbour is known.
	Seeds []checker.NodeID
	// Caller makes calls to other nodes.
	Caller Caller
	// Log is the client of the platform's log.
	Log Log
	// Members provides the membership.
	Members Members
	// Found is called with the addresses read from announcements; may be nil.
	Found func([]checker.NodeID)
	// Logger receives the log messages; nil discards them.
	Logger logrus.FieldLogger
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	// Retention is how long the log keeps a record.
	Retention time.Duration
	// StartWait bounds the time after the start until Ready is closed, even if
	// neither peers nor the log have responded.
	StartWait time.Duration
	// CheckpointRecords is the number of records between checkpoints.
	CheckpointRecords int
	// AnnounceEvery is the time between announcements of one reader.
	AnnounceEvery time.Duration
	// Poll is the long-poll timeout of a read of the log.
	Poll time.Duration
	// CallTimeout bounds a call to another node.
	CallTimeout time.Duration
	// Tick is the interval at which the membership is read and maintenance
	// work is checked.
	Tick time.Duration
	// GapWait is the minimum time before a node skips records that the log
	// has trimmed and that no checkpoint or neighbour holds.
	GapWait time.Duration
	// Reader configures when the node reads the log.
	Reader elector.Config
	// Relay configures the exchange with neighbours.
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

// Stats holds the counters of a [Distributor].
type Stats struct {
	// LogRequests is the number of requests sent to the log.
	LogRequests int64
	// Pushes, Digests and Pulls are the numbers of calls to other nodes.
	Pushes, Digests, Pulls int64
	// FailedCalls is the number of those that failed.
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

	mu          sync.Mutex
	relayer     *relayer.Relayer
	changed     chan struct{}
	stale       bool
	readyClosed bool
	// logRead is set once the log has been read to its end.
	logRead bool
	// announced holds the addresses read from announcements.
	announced []checker.NodeID
	stats     Stats

	// elector, rnd, skipGapAt and announcementsReadAt are used only by the
	// goroutine that reads the log.
	elector *elector.Reader
	rnd     *rand.Rand
	// skipGapAt is when the node may skip a gap in the log; zero if there is none.
	skipGapAt time.Time
	// announcementsReadAt is when the announcements were last read.
	announcementsReadAt time.Time
	// reading is set while this node is a reader and its last read succeeded.
	reading atomic.Bool
}

// New returns a distributor without a configuration.
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
		elector: elector.NewReader(cf.Reader, rnd, now),
		rnd:     rnd,
	}
	ds.state.Store(ds.relayer.State())
	return ds, nil
}

// State returns the current state. Its revision never decreases.
func (ds *Distributor) State() *reducer.State { return ds.state.Load() }

// Changed returns a channel that is closed at the next change of the state. To
// avoid missing a change, call Changed before State.
func (ds *Distributor) Changed() <-chan struct{} {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return ds.changed
}

// Stale reports whether the node has not yet received the newest configuration
// from a peer or from the log since its start.
func (ds *Distributor) Stale() bool {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return ds.stale
}

// Ready returns a channel that is closed when the node is no longer stale or
// Config.StartWait has passed.
func (ds *Distributor) Ready() <-chan struct{} { return ds.ready }

// Behind reports whether there are records that this build cannot read.
func (ds *Distributor) Behind() bool {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return ds.relayer.Behind()
}

// Reading reports whether this node reads the log and its last read succeeded.
func (ds *Distributor) Reading() bool { return ds.reading.Load() }

// Stats returns the current counters.
func (ds *Distributor) Stats() Stats {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return ds.stats
}

// Join adds facts that originate at this node and pushes them to the neighbours
// without delay. It reports whether any of them was new.
func (ds *Distributor) Join(facts ...reducer.Fact) bool {
	changed := false
	ds.update(func(rl *relayer.Relayer, now time.Time) {
		changed = rl.Join(facts, now)
	})
	return changed
}

// Run keeps the state up to date until the context ends. It returns after every
// goroutine it started has ended.
func (ds *Distributor) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loops := []func(context.Context){ds.runCalls, ds.runReads, ds.runMaintenance}
	ended := make(chan struct{}, len(loops))
	for _, fn := range loops {
		go func() {
			defer func() { ended <- struct{}{} }()
			fn(ctx)
		}()
	}
	for range loops {
		<-ended
	}
	return context.Cause(ctx)
}

// update changes the relayer, publishes its state and wakes runCalls.
func (ds *Distributor) update(change func(rl *relayer.Relayer, now time.Time)) {
	now := ds.config.Now()
	ds.mu.Lock()
	change(ds.relayer, now)
	ds.updateReadiness(now)
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
		}).Info("configuration applied")
	}
	ds.wakeRelay()
}

// wakeRelay makes runCalls plan again.
func (ds *Distributor) wakeRelay() {
	select {
	case ds.wake <- struct{}{}:
	default:
	}
}

// updateReadiness ends the stale state once three conditions hold: a peer that
// is not stale itself has responded or the log has been read to its end, every
// peer has responded or failed, and the node holds all records and facts of the
// peers that responded. The caller must hold ds.mu.
func (ds *Distributor) updateReadiness(now time.Time) {
	if ds.stale {
		co := ds.relayer.PeerCounts()
		caughtUp := ds.relayer.Next() >= co.Next && co.UnpulledFacts == 0
		if (co.Fresh > 0 || ds.logRead) && co.Waiting == 0 && caughtUp {
			ds.stale = false
			ds.relayer.SetStale(false)
		}
	}
	if !ds.readyClosed && (!ds.stale || now.Sub(ds.started) >= ds.config.StartWait) {
		ds.readyClosed = true
		close(ds.ready)
	}
}

// updateStats changes the counters under the lock.
func (ds *Distributor) updateStats(change func(*Stats)) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	change(&ds.stats)
}
