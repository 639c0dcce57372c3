package replicator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
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
	// retryTime is the first pause after a failed call; it doubles up to
	// maxRetryTime, within which an entry is expected back after an outage.
	retryTime    = 100 * time.Millisecond
	maxRetryTime = time.Second
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
	Log     *logrus.Logger
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
}

// New returns a follower of the source.
func New(cf Config, so Source, pe Peers) *Follower {
	return &Follower{Replica: NewReplica(), config: cf, source: so, peers: pe}
}

// Run follows the topic until the context ends, and closes done.
func (fo *Follower) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	pause := retryTime
	for ctx.Err() == nil {
		began := fo.config.Now()
		err := fo.step(ctx)
		if ctx.Err() != nil {
			return
		}
		fo.note(err)
		if err == nil {
			pause = retryTime
			sleep(ctx, fo.config.Pause-fo.config.Now().Sub(began))
			continue
		}
		fo.askPeers(ctx)
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxRetryTime)
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
	sn, err := fo.source.Read(ctx, end, 0)
	if err == nil {
		fo.changed(fo.Append(sn.Records, sn.End), "store")
	}
	return err
}

// step makes one call to the store.
func (fo *Follower) step(ctx context.Context) error {
	end, primed := fo.End()
	if primed {
		sn, err := fo.source.Read(ctx, end, fo.config.Wait)
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
	case err == nil && fo.lost.Swap(false):
		entry.Info("store regained")
	}
}

// sleep waits for the duration or the end of the context.
func sleep(ctx context.Context, du time.Duration) {
	if du <= 0 {
		return
	}
	timer := time.NewTimer(du)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
