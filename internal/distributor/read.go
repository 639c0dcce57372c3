package distributor

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/guavastall/guavastall/internal/appender"
	"github.com/guavastall/guavastall/internal/elector"
	"github.com/guavastall/guavastall/internal/reducer"
	"github.com/guavastall/guavastall/internal/relayer"
	"github.com/guavastall/guavastall/internal/sleeper"
)

const (
	// readLimit is the maximum number of records requested in one read.
	readLimit = 256
	// checkpointReadLimit is the number of checkpoints read. More than one is
	// read because the newest may be damaged or have a newer format.
	checkpointReadLimit = 3
)

// runReads reads the log while this node is a reader.
func (ds *Distributor) runReads(ctx context.Context) {
	var backoff appender.Backoff
	failures, polls := 0, 0
	for ctx.Err() == nil {
		de := ds.elector.Decide(ds.electorView(), ds.config.Now())
		if !de.Read || de.Wait > 0 {
			if !de.Read {
				ds.reading.Store(false)
			}
			wait := ds.config.Tick
			if de.Read {
				wait = min(wait, de.Wait)
			}
			sleeper.Sleep(ctx, wait)
			continue
		}
		started := ds.config.Now()
		before := ds.Stats().LogRequests
		err := ds.pollLog(ctx, polls)
		ds.elector.Sent(int(ds.Stats().LogRequests-before), started)
		polls++
		ds.reading.Store(err == nil)
		if err == nil {
			failures = 0
			continue
		}
		if ctx.Err() == nil {
			ds.config.Logger.WithError(err).Warn("failed to read the log")
		}
		_ = backoff.Wait(ctx, failures)
		failures++
	}
}

// electorView returns the input of the elector's decision.
func (ds *Distributor) electorView() elector.View {
	now := ds.config.Now()
	alive := ds.config.Members.Alive()
	ds.mu.Lock()
	defer ds.mu.Unlock()
	age, known := ds.relayer.LogAge(now)
	if !known {
		age = now.Sub(ds.started)
	}
	co := ds.relayer.PeerCounts()
	return elector.View{
		Alive: alive, LogAge: age,
		PeersFailed: co.Failed > 0 && co.Responded+co.Waiting == 0,
	}
}

// pollLog makes the requests of one turn that the elector granted. A node that
// has reached no peer alternates between reading announcements and reading the
// configuration.
func (ds *Distributor) pollLog(ctx context.Context, polls int) error {
	if ds.peerCounts().Responded == 0 && ds.shouldReadAnnouncements(polls) {
		return ds.readAnnouncements(ctx)
	}
	next := ds.next()
	if next == 0 && ds.Stale() {
		// A checkpoint avoids reading every record.
		if err := ds.loadCheckpoint(ctx); err != nil {
			return err
		}
		next = ds.next()
	}
	err := ds.readRecords(ctx, next)
	var trimmed *appender.TrimmedError
	if errors.As(err, &trimmed) {
		return ds.recoverTrimmed(ctx, *trimmed)
	}
	return err
}

// shouldReadAnnouncements reports whether a node that has reached no peer reads
// the announcements in this poll. After it has read the configuration it still
// does so periodically, because it may have started before any other node was
// announced.
func (ds *Distributor) shouldReadAnnouncements(polls int) bool {
	if ds.Stale() {
		return polls%2 == 0
	}
	return ds.config.Now().Sub(ds.announcementsReadAt) >= ds.config.AnnounceEvery/6
}

// next returns the offset of the next record that this node lacks.
func (ds *Distributor) next() uint64 {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return ds.relayer.Next()
}

// readRecords reads records starting at the offset and adds them.
func (ds *Distributor) readRecords(ctx context.Context, from uint64) error {
	wait := ds.config.Poll
	if ds.Stale() {
		wait = 0
	}
	ds.updateStats(func(st *Stats) { st.LogRequests++ })
	ba, err := ds.config.Log.Read(ctx, ConfigurationStream, from, readLimit, wait)
	if err != nil {
		return err
	}
	ds.skipGapAt = time.Time{}
	ds.addBatch(ba)
	return nil
}

// addBatch passes a batch read from the log to the relayer.
func (ds *Distributor) addBatch(ba appender.Batch) {
	records := make([]relayer.Record, 0, len(ba.Records))
	for _, rec := range ba.Records {
		records = append(records, relayer.NewRecord(rec.Offset, rec.Data))
	}
	ds.update(func(rl *relayer.Relayer, now time.Time) {
		rl.AddLogged(records, now)
		ds.logRead = ds.logRead || rl.Next() >= ba.Next
	})
}

// loadCheckpoint adopts the newest checkpoint that this build can read.
func (ds *Distributor) loadCheckpoint(ctx context.Context) error {
	ds.updateStats(func(st *Stats) { st.LogRequests += 2 })
	list, err := ds.config.Log.Last(ctx, CheckpointStream, checkpointReadLimit)
	if err != nil {
		return err
	}
	for _, rec := range list {
		st, err := reducer.LoadCheckpoint(rec.Data)
		if err != nil {
			ds.config.Logger.WithError(err).WithField("offset", rec.Offset).
				Warn("failed to decode checkpoint")
			continue
		}
		ds.update(func(rl *relayer.Relayer, _ time.Time) { rl.Adopt(st) })
	}
	return nil
}

// recoverTrimmed handles records that the log trimmed before this node read
// them.
func (ds *Distributor) recoverTrimmed(ctx context.Context, trimmed appender.TrimmedError) error {
	ds.config.Logger.WithField("offset", trimmed.From).WithField("first", trimmed.First).
		Warn("next record has been trimmed from the log")
	if err := ds.loadCheckpoint(ctx); err != nil {
		return err
	}
	if ds.next() >= trimmed.First {
		return nil
	}
	if !ds.maySkipGap() {
		return &trimmed
	}
	return ds.skipGap(ctx, trimmed.First)
}

// staleGapFactor lengthens the wait of a stale node, because its state is the
// oldest.
const staleGapFactor = 4

// maySkipGap reports whether the gap has lasted long enough while no neighbour
// holds the missing records. The wait is randomised, so that usually one reader
// skips the gap and the others adopt its checkpoint.
func (ds *Distributor) maySkipGap() bool {
	now := ds.config.Now()
	if ds.peerCounts().Next > ds.next() {
		ds.skipGapAt = time.Time{}
		return false
	}
	if ds.skipGapAt.IsZero() {
		wait := ds.config.GapWait + rand.N(ds.config.GapWait)
		if ds.Stale() {
			wait *= staleGapFactor
		}
		ds.skipGapAt = now.Add(wait)
	}
	return !now.Before(ds.skipGapAt)
}

// skipGap continues after the gap with the state of this node, and appends that
// state as a checkpoint for the other nodes.
func (ds *Distributor) skipGap(ctx context.Context, first uint64) error {
	ds.config.Logger.WithField("offset", ds.next()).WithField("first", first).
		Error("log trimmed records before any node read them; skipping them")
	ds.update(func(rl *relayer.Relayer, _ time.Time) { rl.Skip(first) })
	data, err := ds.State().Checkpoint()
	if err != nil {
		return err
	}
	ds.updateStats(func(st *Stats) { st.LogRequests++ })
	if _, err := ds.config.Log.Append(ctx, CheckpointStream, data); err != nil {
		return fmt.Errorf("append checkpoint: %w", err)
	}
	return nil
}
