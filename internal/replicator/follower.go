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

// ErrTrimmed says that the store has dropped the records asked for.
var ErrTrimmed = errors.New("the store no longer holds the records")

// Source is a topic of the store.
type Source interface {
	// Newest returns the newest record of every key.
	Newest(ctx context.Context) (Snapshot, error)
	// Read returns the records from the offset on. It waits for one up to the
	// given time. The error is ErrTrimmed if older ones are missing.
	Read(ctx context.Context, from uint64, wait time.Duration) (Snapshot, error)
}

// Peers are the other nodes that hold replicas.
type Peers interface {
	// Since returns what some other node holds from the offset on; the answer is
	// whole if it comes from a primed replica.
	Since(ctx context.Context, topic string, from uint64) (Snapshot, error)
}

const (
	// retryTime is the first mean pause between calls to a store that does not
	// answer, from start to start. It grows by half up to maxRetryTime: news and
	// entries are expected within two seconds of the store's return, and refused
	// calls cost too.
	retryTime    = 200 * time.Millisecond
	maxRetryTime = 900 * time.Millisecond
	// answerTime is how long the store may take beyond the wait that a read asks
	// for. A store that is slowed 80 times takes 320 ms.
	answerTime = 800 * time.Millisecond
	// lostTime bounds a call to a store that did not answer the last one: a large
	// configuration takes a second over a slow link. slowLostTime bounds the calls
	// that run beside every slowEvery-th one.
	lostTime     = 1200 * time.Millisecond
	slowLostTime = 2500 * time.Millisecond
	slowEvery    = 4
	// peersPeriod is the least time between two calls to other nodes.
	peersPeriod = 700 * time.Millisecond
)

// Config holds the settings of a [Follower].
type Config struct {
	// Topic names the topic for peers and logs.
	Topic string
	// Wait is how long a read waits for a record. It bounds the time that a
	// silent connection to the store stays unnoticed.
	Wait time.Duration
	// Pause is the least time between two reads, so that many changes at once
	// cost few calls.
	Pause time.Duration
	// Changed is called with the keys that changed.
	Changed func(keys []string)
	// Store is the store itself, for reads that must be up to date.
	Store Source
	// Lost, if set, is called when the store stops answering.
	Lost func()
	Log  *logrus.Logger
	// Now returns the current time.
	Now func() time.Time
}

// Follower keeps a replica up to date.
type Follower struct {
	*Replica
	config Config
	source Source
	peers  Peers
	lost   atomic.Bool
	kick   chan struct{}
	// slow gets the end of the longer call that is under way; only Run's goroutine
	// uses it.
	slow chan error
	// asked is when other nodes were last asked; only Run's goroutines use it.
	asked time.Time
}

// New returns a follower of the source.
func New(cf Config, so Source, pe Peers) *Follower {
	return &Follower{
		Replica: NewReplica(), config: cf, source: so, peers: pe, kick: make(chan struct{}),
	}
}

// Run follows the topic until the context ends, and closes done.
func (fo *Follower) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	defer fo.awaitSlow()
	wait := fo.config.Wait
	for ctx.Err() == nil {
		began := fo.config.Now()
		err := fo.wait(ctx, wait)
		pause := retryTime
		for failures := 1; err != nil && ctx.Err() == nil; failures++ {
			fo.note(err)
			// The time that a call hung counts: the store may be back since.
			sleeper.Sleep(ctx, pause/2+rand.N(pause)-fo.config.Now().Sub(began))
			pause = min(pause*3/2, maxRetryTime)
			began = fo.config.Now()
			err = fo.retry(ctx, failures)
		}
		if ctx.Err() != nil {
			return
		}
		fo.note(nil)
		var rest time.Duration
		rest, wait = fo.config.pace(fo.config.Now().Sub(began))
		sleeper.Sleep(ctx, rest)
	}
}

// leastWait is the least time that a read waits for a record.
const leastWait = 100 * time.Millisecond

// pace returns how long to rest after a read that took a time, and how long the
// next one waits for a record. Both together are no longer than Wait, because the
// last answer tells others that the store answers this node.
func (cf *Config) pace(took time.Duration) (rest, wait time.Duration) {
	rest = max(min(cf.Pause-took, cf.Wait-leastWait), 0)
	return rest, cf.Wait - rest
}

// wait reads the next records, which a kick cuts short.
func (fo *Follower) wait(ctx context.Context, wait time.Duration) error {
	wctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-fo.kick:
			cancel()
		case <-stop:
		}
	}()
	err := fo.step(wctx, wait)
	if err != nil && errors.Is(wctx.Err(), context.Canceled) && ctx.Err() == nil {
		return fo.within(ctx, lostTime)
	}
	return err
}

// within makes a call to the store that does not wait for a record.
func (fo *Follower) within(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return fo.step(ctx, 0)
}

// Kick makes a waiting read start again on a fresh connection, because the one
// in use may be silent.
func (fo *Follower) Kick() {
	select {
	case fo.kick <- struct{}{}:
	default:
	}
}

// retry asks the store again, without a wait, and other nodes at the same time.
// Every slowEvery-th time another call gets longer beside these, in case the store
// is slow; one that hangs must not keep the node from a store that is back.
func (fo *Follower) retry(ctx context.Context, failures int) error {
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		fo.askPeers(ctx)
	}()
	if failures%slowEvery == 0 && fo.slow == nil {
		fo.slow = make(chan error, 1)
		go func(ended chan<- error) { ended <- fo.within(ctx, slowLostTime) }(fo.slow)
	}
	err := fo.within(ctx, lostTime)
	<-asked
	select {
	case serr := <-fo.slow:
		fo.slow = nil
		if serr == nil {
			return nil
		}
	default:
	}
	return err
}

// awaitSlow waits for the end of the longer call, if one is under way.
func (fo *Follower) awaitSlow() {
	if fo.slow == nil {
		return
	}
	if err := <-fo.slow; err != nil {
		fo.config.Log.WithError(err).WithField("topic", fo.config.Topic).Debug("longer call ended")
	}
}

// Lost reports whether the store does not answer.
func (fo *Follower) Lost() bool {
	return fo.lost.Load()
}

// Refresh reads what has been appended since the last read, without a wait.
func (fo *Follower) Refresh(ctx context.Context) error {
	end, primed := fo.End()
	if !primed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	sn, err := fo.config.Store.Read(ctx, end, 0)
	if err == nil {
		fo.changed(fo.Append(sn.Records, sn.End), "store")
	}
	return err
}

// step makes one call to the store.
func (fo *Follower) step(ctx context.Context, wait time.Duration) error {
	end, primed := fo.End()
	if primed {
		sn, err := fo.source.Read(ctx, end, wait)
		if err == nil {
			fo.changed(fo.Append(sn.Records, sn.End), "store")
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
	fo.changed(fo.Reset(sn), "store")
	return nil
}

func (fo *Follower) askPeers(ctx context.Context) {
	now := fo.config.Now()
	if now.Sub(fo.asked) < peersPeriod {
		return
	}
	fo.asked = now
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
		fo.changed(fo.Append(sn.Records, sn.End), "peer")
		return
	}
	fo.changed(fo.Reset(sn), "peer")
}

func (fo *Follower) changed(keys []string, from string) {
	if len(keys) == 0 {
		return
	}
	end, _ := fo.End()
	fo.config.Log.WithFields(logrus.Fields{
		"topic": fo.config.Topic, "keys": len(keys), "end": end, "from": from,
	}).Info("replica changed")
	fo.config.Changed(keys)
}

// note logs a lost or regained store once.
func (fo *Follower) note(err error) {
	entry := fo.config.Log.WithField("topic", fo.config.Topic)
	switch {
	case err != nil && !fo.lost.Swap(true):
		entry.WithError(err).Warn("store lost")
		if fo.config.Lost != nil {
			fo.config.Lost()
		}
	case err == nil && fo.lost.Swap(false):
		entry.Info("store regained")
	}
}
