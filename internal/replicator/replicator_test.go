package replicator

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func record(key, value string, offset uint64) Record {
	rc := Record{Key: key, Offset: offset}
	if value != "" {
		rc.Value = []byte(value)
	}
	return rc
}

func TestReplicaKeepsNewest(t *testing.T) {
	re := NewReplica()
	assert.Equal(t, []string{"a"}, re.Append([]Record{record("a", "2", 5)}, 6))
	assert.Empty(t, re.Append([]Record{record("a", "1", 4)}, 5), "a late answer")
	rc, ok := re.Get("a")
	assert.True(t, ok)
	assert.Equal(t, "2", string(rc.Value))
	re.Append([]Record{record("a", "", 7)}, 8)
	_, ok = re.Get("a")
	assert.False(t, ok)
	end, primed := re.End()
	assert.Equal(t, uint64(8), end)
	assert.False(t, primed)
}

func TestResetDropsMissingKeys(t *testing.T) {
	re := NewReplica()
	re.Reset(Snapshot{Records: []Record{record("a", "1", 0), record("b", "1", 1)}, End: 2})
	changed := re.Reset(Snapshot{Records: []Record{record("a", "1", 0)}, End: 5})
	assert.Equal(t, []string{"b"}, changed)
	_, ok := re.Get("b")
	assert.False(t, ok)
	assert.Empty(t, re.Reset(Snapshot{End: 3}), "an older snapshot")
	_, ok = re.Get("a")
	assert.True(t, ok)
}

// Replicas that receive the same log in pieces, out of order, in snapshots and
// from each other match the log.
func TestReplicaAgainstLog(t *testing.T) {
	for seed := range uint64(200) {
		rd := rand.New(rand.NewPCG(seed, 2))
		var log []Record
		newest := func(end uint64) Snapshot {
			sn := Snapshot{End: end}
			last := map[string]Record{}
			for _, rc := range log[:end] {
				last[rc.Key] = rc
			}
			for _, rc := range last {
				if rc.Value != nil {
					sn.Records = append(sn.Records, rc)
				}
			}
			return sn
		}
		one, two := NewReplica(), NewReplica()
		one.Reset(Snapshot{})
		for range 60 {
			for range rd.IntN(3) {
				value := []string{"", "x", "y"}[rd.IntN(3)]
				key := []string{"a", "b", "c"}[rd.IntN(3)]
				log = append(log, record(key, value, uint64(len(log))))
			}
			end, _ := one.End()
			switch rd.IntN(4) {
			case 0:
				one.Reset(newest(uint64(rd.IntN(len(log) + 1))))
			case 1:
				to := end + uint64(rd.IntN(len(log)-int(end)+1))
				one.Append(log[end:to], to)
			case 2:
				from, primed := two.End()
				sn, _ := one.Since(from)
				if primed {
					two.Append(sn.Records, sn.End)
				} else {
					sn, _ = one.Since(0)
					two.Reset(sn)
				}
			}
			for _, re := range []*Replica{one, two} {
				end, _ := re.End()
				want := map[string]string{}
				for _, rc := range newest(end).Records {
					want[rc.Key] = string(rc.Value)
				}
				got := map[string]string{}
				re.Each(func(rc Record) { got[rc.Key] = string(rc.Value) })
				require.Equal(t, want, got, "seed %d, end %d", seed, end)
			}
		}
	}
}

// source is a topic whose calls can be made to hang or fail.
type source struct {
	mu      sync.Mutex
	log     []Record
	first   uint64
	hanging bool
	calls   int
}

func (so *source) set(change func(*source)) {
	so.mu.Lock()
	defer so.mu.Unlock()
	change(so)
}

func (so *source) call(ctx context.Context) error {
	so.mu.Lock()
	so.calls++
	hanging := so.hanging
	so.mu.Unlock()
	if hanging {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (so *source) Newest(ctx context.Context) (Snapshot, error) {
	if err := so.call(ctx); err != nil {
		return Snapshot{}, err
	}
	so.mu.Lock()
	defer so.mu.Unlock()
	sn := Snapshot{End: uint64(len(so.log))}
	last := map[string]Record{}
	for _, rc := range so.log {
		last[rc.Key] = rc
	}
	for _, rc := range last {
		sn.Records = append(sn.Records, rc)
	}
	return sn, nil
}

func (so *source) Read(ctx context.Context, from uint64, wait time.Duration) (Snapshot, error) {
	if err := so.call(ctx); err != nil {
		return Snapshot{}, err
	}
	for end := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		so.mu.Lock()
		log, first := so.log, so.first
		so.mu.Unlock()
		if from < first {
			return Snapshot{}, ErrTrimmed
		}
		if uint64(len(log)) > from || time.Now().After(end) || ctx.Err() != nil {
			return Snapshot{Records: slices.Clone(log[from:]), End: uint64(len(log))}, ctx.Err()
		}
	}
}

// peerSource answers on behalf of other nodes.
type peerSource struct{ *source }

func (ps peerSource) Since(_ context.Context, _ string, from uint64) (Snapshot, error) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if len(ps.log) == 0 {
		return Snapshot{}, errors.New("nothing is known")
	}
	from = min(from, uint64(len(ps.log)))
	return Snapshot{Records: slices.Clone(ps.log[from:]), End: uint64(len(ps.log))}, nil
}

// follow runs a follower. It returns the follower and a function that waits for a
// key to have a value.
func follow(t *testing.T, so *source, pe Peers) (*Follower, func(key, value string)) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	fo := New(Config{
		Topic: "topic", Wait: 100 * time.Millisecond, OnChange: func([]string) {}, Log: log,
		Now: time.Now,
	}, so, pe)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go fo.Run(ctx, done)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return fo, func(key, value string) {
		t.Helper()
		require.Eventually(t, func() bool {
			rc, _ := fo.Get(key)
			return string(rc.Value) == value
		}, 20*time.Second, time.Millisecond, "%s=%s", key, value)
	}
}

func TestFollowerReadsOnAfterTrim(t *testing.T) {
	so := &source{log: []Record{record("a", "1", 0)}}
	_, wait := follow(t, so, peerSource{&source{}})
	wait("a", "1")
	so.set(func(so *source) {
		so.log = append(so.log, record("a", "2", 1), record("b", "1", 2))
		so.first = 3
	})
	wait("b", "1")
	wait("a", "2")
}

// While the store does not respond to this node, changes arrive from other nodes,
// and the recovery of the store is noticed.
func TestFollowerAsksPeers(t *testing.T) {
	so := &source{log: []Record{record("a", "1", 0)}}
	peers := &source{log: []Record{record("a", "1", 0)}}
	fo, wait := follow(t, so, peerSource{peers})
	wait("a", "1")
	so.set(func(so *source) { so.hanging = true })
	fo.RestartRead()
	peers.set(func(so *source) { so.log = append(so.log, record("a", "2", 1)) })
	wait("a", "2")
	assert.True(t, fo.Unavailable())
	so.set(func(so *source) {
		so.hanging = false
		so.log = append(so.log, record("a", "2", 1), record("a", "3", 2))
	})
	wait("a", "3")
	require.Eventually(t, func() bool {
		return !fo.Unavailable()
	}, 20*time.Second, time.Millisecond)
}

// A node that starts while the store does not respond to it takes the records
// that other nodes hold.
func TestFollowerStartsFromPeers(t *testing.T) {
	so := &source{hanging: true}
	fo, wait := follow(t, so, peerSource{&source{log: []Record{record("a", "1", 0)}}})
	fo.RestartRead()
	wait("a", "1")
	_, primed := fo.End()
	assert.True(t, primed)
}

// After a read that returns at once, the interval before the next read and its wait
// together leave the last response no older than Wait. Otherwise all nodes of a data
// centre read from the store after each change.
func TestNextReadBoundsResponseAge(t *testing.T) {
	cf := Config{Wait: 700 * time.Millisecond, MinInterval: 500 * time.Millisecond}
	for took := time.Duration(0); took < time.Second; took += 50 * time.Millisecond {
		rest, wait := cf.nextRead(took)
		assert.LessOrEqual(t, rest+wait, cf.Wait, "a read of %s", took)
		assert.GreaterOrEqual(t, wait, minWait, "a read of %s", took)
		assert.GreaterOrEqual(t, rest+took, cf.MinInterval, "a read of %s", took)
	}
}
