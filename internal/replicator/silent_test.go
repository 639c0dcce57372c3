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

// hangingStore responds to no call that began before availableAt. Such calls hang
// until their context is done.
type hangingStore struct {
	availableAt time.Time

	mu     sync.Mutex
	starts []time.Time
}

func (hs *hangingStore) call(ctx context.Context) (Snapshot, error) {
	now := time.Now()
	hs.mu.Lock()
	hs.starts = append(hs.starts, now)
	hs.mu.Unlock()
	if now.Before(hs.availableAt) {
		<-ctx.Done()
		return Snapshot{}, ctx.Err()
	}
	return Snapshot{Records: []Record{record("a", "1", 0)}, End: 1}, nil
}

func (hs *hangingStore) Newest(ctx context.Context) (Snapshot, error) { return hs.call(ctx) }

func (hs *hangingStore) Read(ctx context.Context, _ uint64, wait time.Duration) (Snapshot, error) {
	sn, err := hs.call(ctx)
	if err == nil {
		sleeper.Sleep(ctx, wait)
	}
	return sn, err
}

// The recovery of the store is noticed within two seconds, however long the
// outage was. Neither a hanging call nor the pause after it may delay that.
func TestStoreRecoveryIsNoticed(t *testing.T) {
	for outage := time.Second; outage < 20*time.Second; outage += 350 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			hs := &hangingStore{availableAt: time.Now().Add(outage)}
			fo := New(Config{
				Topic: "topic", Wait: 700 * time.Millisecond, OnChange: func([]string) {},
				Log: log, Now: time.Now,
			}, hs, peerSource{&source{}})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go fo.Run(ctx, done)
			time.Sleep(outage + 2*time.Second)
			_, primed := fo.End()
			assert.True(t, primed, "outage of %s", outage)
			cancel()
			<-done
		})
	}
}
