package replicator

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"github.com/guavastall/guavastall/internal/sleeper"
)

// silentStore answers no call that began before it is back; such calls hang as long
// as they may.
type silentStore struct {
	back time.Time

	mu     sync.Mutex
	starts []time.Time
}

func (ss *silentStore) call(ctx context.Context) (Snapshot, error) {
	now := time.Now()
	ss.mu.Lock()
	ss.starts = append(ss.starts, now)
	ss.mu.Unlock()
	if now.Before(ss.back) {
		<-ctx.Done()
		return Snapshot{}, ctx.Err()
	}
	return Snapshot{Records: []Record{record("a", "1", 0)}, End: 1}, nil
}

func (ss *silentStore) Newest(ctx context.Context) (Snapshot, error) { return ss.call(ctx) }

func (ss *silentStore) Read(ctx context.Context, _ uint64, wait time.Duration) (Snapshot, error) {
	sn, err := ss.call(ctx)
	if err == nil {
		sleeper.Sleep(ctx, wait)
	}
	return sn, err
}

// A store that is back after any time of silence is noticed within two seconds:
// neither a hanging call nor the pause after it keeps the node from it.
func TestSilentStoreIsNoticedWhenBack(t *testing.T) {
	for away := time.Second; away < 20*time.Second; away += 350 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			ss := &silentStore{back: time.Now().Add(away)}
			fo := New(Config{
				Topic: "topic", Wait: 700 * time.Millisecond, Changed: func([]string) {},
				Log: log, Now: time.Now,
			}, ss, holder{&source{}})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go fo.Run(ctx, done)
			time.Sleep(away + 2*time.Second)
			_, primed := fo.End()
			assert.True(t, primed, "away for %s", away)
			cancel()
			<-done
		})
	}
}
