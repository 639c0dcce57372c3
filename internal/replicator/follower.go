package replicator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/sleeper"
)

// ErrTrimmed is returned if the store has dropped records that were asked for.
var ErrTrimmed = errors.New("the store no longer holds the records")

// Source is a topic of the store.
type Source interface {
	// Newest returns the newest record of every key.
	Newest(ctx context.Context) (Snapshot, error)
	// Read returns the records from the offset on. If there is none, it waits for
	// one for at most the given time. It returns ErrTrimmed if older ones are
	// missing.
	Read(ctx context.Context, from uint64, wait time.Duration) (Snapshot, error)
}

// Peers are the other nodes that hold replicas.
type Peers interface {
	// Since returns the records that some other node holds from the offset on.
	// The result is complete if it comes from a primed replica.
	Since(ctx context.Context, topic string, from uint64) (Snapshot, error)
}

const (
	// retryInterval is the initial mean time between the starts of two calls to a
	// store that does not respond. It grows by half up to maxRetryInterval:
	// changes and entries are expected within two seconds of the store's return,
	// and refused calls have a cost too.
	retryInterval    = 200 * time.Millisecond
	maxRetryInterval = 900 * time.Millisecond
	// responseTimeout is how long the store may take to respond beyond the wait
	// that a read asks for. A store that is slowed down by a factor of 80 takes
	// 320 ms.
	responseTimeout = 800 * time.Millisecond
	// retryTimeout bounds a call to a store that did not respond to the last one:
	// a large configuration takes a second over a slow link. slowRetryTimeout
	// bounds the calls that run alongside every slowRetryEvery-th one.
	retryTimeout     = 1200 * time.Millisecond
	slowRetryTimeout = 2500 * time.Millisecond
	slowRetryEvery   = 4
	// peerRequestInterval is the minimum time between two requests to other
	// nodes.
	peerRequestInterval = 700 * time.Millisecond
)

// Config holds the settings of a [Follower].
type Config struct {
	// Topic names the topic for peers and in logs.
	Topic string
	// Wait is how long a read waits for a record. It bounds the time for which an
	// unresponsive connection to the store goes unnoticed.
	Wait time.Duration
	// MinInterval is the minimum time between the starts of two reads, so that
	// many changes in quick succession cost few calls.
	MinInterval time.Duration
	// OnChange is called with the keys that changed.
	OnChange func(keys []string)
	// Store is the store itself, for reads that must be up to date.
	Store Source
	// OnUnavailable, if set, is called when the store stops responding.
	OnUnavailable func()
	Log           *logrus.Logger
	// Now returns the current time.
	Now func() time.Time
}

// Follower keeps a replica up to date.
type Follower struct {
	*Replica
	config      Config
	source      Source
	peers       Peers
	unavailable atomic.Bool
	restart     chan struct{}
	// slowRetry receives the result of the slow retry in progress. Only Run's
	// goroutine uses it.
	slowRetry chan error
	// lastPeerRequest is when other nodes were last asked. Only Run's goroutines
	// use it.
	lastPeerRequest time.Time
}

// New returns a follower of the source.
func New(cf Config, so Source, pe Peers) *Follower {
	return &Follower{
		Replica: NewReplica(), config: cf, source: so, peers: pe, restart: make(chan struct{}),
	}
}

// Run follows the topic until ctx is done, then closes done.
func (fo *Follower) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	defer fo.awaitSlowRetry()
	wait := fo.config.Wait
	for ctx.Err() == nil {
		began := fo.config.Now()
		err := fo.waitForRecords(ctx, wait)
		pause := retryInterval
		for failures := 1; err != nil && ctx.Err() == nil; failures++ {
			fo.recordAvailability(err)
			// The duration of a hanging call counts towards the interval, because
			// the store may have recovered in the meantime.
			sleeper.Sleep(ctx, pause/2+rand.N(pause)-fo.config.Now().Sub(began))
			pause = min(pause*3/2, maxRetryInterval)
			began = fo.config.Now()
			err = fo.retry(ctx, failures)
		}
		if ctx.Err() != nil {
			return
		}
		fo.recordAvailability(nil)
		var rest time.Duration
		rest, wait = fo.config.nextRead(fo.config.Now().Sub(began))
		sleeper.Sleep(ctx, rest)
	}
}

// minWait is the minimum time that a read waits for a record.
const minWait = 100 * time.Millisecond

// nextRead returns how long to rest after a read that took the given time, and
// how long the next read waits for a record. Their sum is at most Wait, because
// other nodes rely on the age of the last response to tell whether the store
// responds to this node.
func (cf *Config) nextRead(took time.Duration) (rest, wait time.Duration) {
	rest = max(min(cf.MinInterval-took, cf.Wait-minWait), 0)
	return rest, cf.Wait - rest
}

// waitForRecords reads the next records. RestartRead cuts the wait short.
func (fo *Follower) waitForRecords(ctx context.Context, wait time.Duration) error {
	wctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-fo.restart:
			cancel()
		case <-stop:
		}
	}()
	err := fo.readOnce(wctx, wait)
	if err != nil && errors.Is(wctx.Err(), context.Canceled) && ctx.Err() == nil {
		return fo.readWithin(ctx, retryTimeout)
	}
	return err
}

// readWithin reads from the store without waiting for a record.
func (fo *Follower) readWithin(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return fo.readOnce(ctx, 0)
}

// RestartRead makes a waiting read start again on a new connection, because the
// one in use may be unresponsive.
func (fo *Follower) RestartRead() {
	select {
	case fo.restart <- struct{}{}:
	default:
	}
}

// retry calls the store again, without a wait, and other nodes at the same time.
// Every slowRetryEvery-th time a call with a longer timeout runs alongside these,
// in case the store is slow. It runs alongside because a call that hangs must not
// keep the node from a store that has recovered.
func (fo *Follower) retry(ctx context.Context, failures int) error {
	peersDone := make(chan struct{})
	go func() {
		defer close(peersDone)
		fo.readFromPeers(ctx)
	}()
	if failures%slowRetryEvery == 0 && fo.slowRetry == nil {
		fo.slowRetry = make(chan error, 1)
		go func(ended chan<- error) { ended <- fo.readWithin(ctx, slowRetryTimeout) }(fo.slowRetry)
	}
	err := fo.readWithin(ctx, retryTimeout)
	<-peersDone
	select {
	case serr := <-fo.slowRetry:
		fo.slowRetry = nil
		if serr == nil {
			return nil
		}
	default:
	}
	return err
}

// awaitSlowRetry waits for the slow retry in progress, if there is one.
func (fo *Follower) awaitSlowRetry() {
	if fo.slowRetry == nil {
		return
	}
	if err := <-fo.slowRetry; err != nil {
		fo.config.Log.WithError(err).WithField("topic", fo.config.Topic).Debug("longer call ended")
	}
}

// Unavailable reports whether the store has stopped responding.
func (fo *Follower) Unavailable() bool {
	return fo.unavailable.Load()
}

// Refresh reads the records appended since the last read, without waiting for
// more.
func (fo *Follower) Refresh(ctx context.Context) error {
	end, primed := fo.End()
	if !primed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	sn, err := fo.config.Store.Read(ctx, end, 0)
	if err == nil {
		fo.notifyChanged(fo.Append(sn.Records, sn.End), "store")
	}
	return err
}

// readOnce reads from the store once. It reads a complete snapshot if the replica
// is not primed or the store has dropped the records that follow.
func (fo *Follower) readOnce(ctx context.Context, wait time.Duration) error {
	end, primed := fo.End()
	if primed {
		sn, err := fo.source.Read(ctx, end, wait)
		if err == nil {
			fo.notifyChanged(fo.Append(sn.Records, sn.End), "store")
			return nil
		}
		if !errors.Is(err, ErrTrimmed) {
			return err
		}
	}
	sn, err := fo.source.Newest(ctx)
	if err != nil {
		return err
	}
	fo.notifyChanged(fo.Reset(sn), "store")
	return nil
}

func (fo *Follower) readFromPeers(ctx context.Context) {
	now := fo.config.Now()
	if now.Sub(fo.lastPeerRequest) < peerRequestInterval {
		return
	}
	fo.lastPeerRequest = now
	end, primed := fo.End()
	from := end
	if !primed {
		from = 0
	}
	sn, err := fo.peers.Since(ctx, fo.config.Topic, from)
	if err != nil {
		return
	}
	if primed {
		fo.notifyChanged(fo.Append(sn.Records, sn.End), "peer")
		return
	}
	fo.notifyChanged(fo.Reset(sn), "peer")
}

func (fo *Follower) notifyChanged(keys []string, from string) {
	if len(keys) == 0 {
		return
	}
	end, _ := fo.End()
	fo.config.Log.WithFields(logrus.Fields{
		"topic": fo.config.Topic, "keys": len(keys), "end": end, "from": from,
	}).Info("replica changed")
	fo.config.OnChange(keys)
}

// recordAvailability logs each change of the store's availability once.
func (fo *Follower) recordAvailability(err error) {
	entry := fo.config.Log.WithField("topic", fo.config.Topic)
	switch {
	case err != nil && !fo.unavailable.Swap(true):
		entry.WithError(err).Warn("store lost")
		if fo.config.OnUnavailable != nil {
			fo.config.OnUnavailable()
		}
	case err == nil && fo.unavailable.Swap(false):
		entry.Info("store regained")
	}
}
