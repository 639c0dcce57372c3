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
	// readRecords is the number of records asked for in one read.
	readRecords = 256
	// checkpointsTried is the number of checkpoints read, so that one that is
	// damaged or of a newer format does not hide an older one.
	checkpointsTried = 3
)

// read follows the log while this node is a reader.
func (ds *Distributor) read(ctx context.Context) {
	var backoff appender.Backoff
	failures, turn := 0, 0
	for ctx.Err() == nil {
		de := ds.elect.Decide(ds.view(), ds.config.Now())
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
		err := ds.readTurn(ctx, turn)
		ds.elect.Sent(int(ds.Stats().LogRequests-before), started)
		turn++
		ds.reading.Store(err == nil)
		if err == nil {
			failures = 0
			continue
		}
		if ctx.Err() == nil {
			ds.config.Logger.WithError(err).Warn("log could not be read")
		}
		_ = backoff.Wait(ctx, failures)
		failures++
	}
}

// view returns what the elector needs to know.
func (ds *Distributor) view() elector.View {
	now := ds.config.Now()
	alive := ds.config.Members.Alive()
	ds.mu.Lock()
	defer ds.mu.Unlock()
	age, known := ds.relayer.LogAge(now)
	if !known {
		age = now.Sub(ds.started)
	}
	co := ds.relayer.Contact()
	return elector.View{
		Alive: alive, LogAge: age,
		PeersFailed: co.Failed > 0 && co.Answered+co.Waiting == 0,
	}
}

// readTurn uses one turn at the log. A node without any peer alternates
// between finding peers and reading the configuration.
func (ds *Distributor) readTurn(ctx context.Context, turn int) error {
	if ds.contact().Answered == 0 && ds.looksForPeers(turn) {
		return ds.findPeers(ctx)
	}
	next := ds.next()
	if next == 0 && ds.Stale() {
		// A checkpoint saves reading every record.
		if err := ds.loadCheckpoint(ctx); err != nil {
			return err
		}
		next = ds.next()
	}
	err := ds.readRecords(ctx, next)
	var trimmed *appender.TrimmedError
	if errors.As(err, &trimmed) {
		return ds.recover(ctx, *trimmed)
	}
	return err
}

// looksForPeers reports whether a node without any peer uses this turn to find
// some. Once it has read the configuration it does so now and then: it may
// have started before anybody announced itself.
func (ds *Distributor) looksForPeers(turn int) bool {
	if ds.Stale() {
		return turn%2 == 0
	}
	return ds.config.Now().Sub(ds.lookedAt) >= ds.config.AnnounceEvery/6
}

// next returns the offset of the next record that this node lacks.
func (ds *Distributor) next() uint64 {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return ds.relayer.Next()
}

// readRecords reads from the offset on and takes what comes.
func (ds *Distributor) readRecords(ctx context.Context, from uint64) error {
	wait := ds.config.Poll
	if ds.Stale() {
		wait = 0
	}
	ds.count(func(st *Stats) { st.LogRequests++ })
	ba, err := ds.config.Log.Read(ctx, ConfigurationStream, from, readRecords, wait)
	if err != nil {
		return err
	}
	ds.gapAt = time.Time{}
	ds.take(ba)
	return nil
}

// take hands a batch of the log to the relayer.
func (ds *Distributor) take(ba appender.Batch) {
	records := make([]relayer.Record, 0, len(ba.Records))
	for _, rec := range ba.Records {
		records = append(records, relayer.NewRecord(rec.Offset, rec.Data))
	}
	ds.update(func(rl *relayer.Relayer, now time.Time) {
		rl.Logged(records, now)
		ds.logRead = ds.logRead || rl.Next() >= ba.Next
	})
}

// loadCheckpoint adopts the newest checkpoint that this build can read.
func (ds *Distributor) loadCheckpoint(ctx context.Context) error {
	ds.count(func(st *Stats) { st.LogRequests += 2 })
	list, err := ds.config.Log.Last(ctx, CheckpointStream, checkpointsTried)
	if err != nil {
		return err
	}
	for _, rec := range list {
		st, err := reducer.LoadCheckpoint(rec.Data)
		if err != nil {
			ds.config.Logger.WithError(err).WithField("offset", rec.Offset).
				Warn("checkpoint cannot be read")
			continue
		}
		ds.update(func(rl *relayer.Relayer, _ time.Time) { rl.Adopt(st) })
	}
	return nil
}

// recover handles records that the log dropped before this node read them.
func (ds *Distributor) recover(ctx context.Context, trimmed appender.TrimmedError) error {
	ds.config.Logger.WithField("offset", trimmed.From).WithField("first", trimmed.First).
		Warn("log no longer holds the next record")
	if err := ds.loadCheckpoint(ctx); err != nil {
		return err
	}
	if ds.next() >= trimmed.First {
		return nil
	}
	if !ds.mayPass() {
		return &trimmed
	}
	return ds.passGap(ctx, trimmed.First)
}

// staleGapFactor makes a node that has just started wait longer, because its
// memory is the oldest.
const staleGapFactor = 4

// mayPass reports whether the gap has lasted long enough without any sign of
// the missing records. The wait differs between readers, so that mostly one of
// them passes over the gap and the others adopt its checkpoint.
func (ds *Distributor) mayPass() bool {
	now := ds.config.Now()
	if ds.contact().Next > ds.next() {
		ds.gapAt = time.Time{}
		return false
	}
	if ds.gapAt.IsZero() {
		wait := ds.config.GapWait + rand.N(ds.config.GapWait)
		if ds.Stale() {
			wait *= staleGapFactor
		}
		ds.gapAt = now.Add(wait)
	}
	return !now.Before(ds.gapAt)
}

// passGap makes the memory of this node the source from which the log goes on.
func (ds *Distributor) passGap(ctx context.Context, first uint64) error {
	ds.config.Logger.WithField("offset", ds.next()).WithField("first", first).
		Error("records were dropped by the log before any node read them; passing over them")
	ds.update(func(rl *relayer.Relayer, _ time.Time) { rl.Skip(first) })
	data, err := ds.State().Checkpoint()
	if err != nil {
		return err
	}
	ds.count(func(st *Stats) { st.LogRequests++ })
	if _, err := ds.config.Log.Append(ctx, CheckpointStream, data); err != nil {
		return fmt.Errorf("append checkpoint: %w", err)
	}
	return nil
}
