package distributor

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/guavastall/guavastall/internal/reducer"
	"github.com/guavastall/guavastall/internal/sleeper"
	"github.com/guavastall/guavastall/pkg/checker"
)

const (
	// announcedNodes is the number of addresses in one announcement.
	announcedNodes = 8
	// announcementsRead is the number of announcements read to find peers.
	// Readers of several data centres are among their writers.
	announcementsRead = 16
	// maxUnlogged bounds the facts in one record.
	maxUnlogged = 512
	// factDelay is the greatest random time before a reader appends facts. The
	// readers are 18 at the design size; the first spares the others the work.
	factDelay = 2 * time.Second
	// maxLookDelay bounds the random time before a reader looks for the newest
	// checkpoint.
	maxLookDelay = 30 * time.Second
)

// announcement holds addresses of live nodes.
type announcement struct {
	Nodes []checker.NodeID `json:"nodes"`
}

// decodeAnnouncement reads an announcement and drops invalid addresses.
func decodeAnnouncement(data []byte) ([]checker.NodeID, error) {
	var an announcement
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&an); err != nil {
		return nil, fmt.Errorf("announcement: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("announcement: text after the end")
	}
	var nodes []checker.NodeID
	for _, no := range an.Nodes[:min(len(an.Nodes), announcedNodes)] {
		if no.IsValid() && no.Port() != 0 && !no.Addr().IsUnspecified() {
			nodes = append(nodes, no)
		}
	}
	return nodes, nil
}

// chores is the work that a reader does for all.
type chores struct {
	ds         *Distributor
	announceAt time.Time
	// unloggedAt is when facts are appended that the log still lacks then.
	unloggedAt time.Time
	// recordsDue and ageDue are when this reader writes a checkpoint. They
	// differ between readers, so that mostly one of them does.
	recordsDue uint64
	ageDue     time.Duration
	// saved and savedAt describe the newest checkpoint in the log; it is
	// looked up when known is false.
	saved   uint64
	savedAt time.Time
	known   bool
	// lookAt is when it is looked up; readers that start together do not all
	// look at once, because the first of them may write it.
	lookAt time.Time
}

// upkeep appends announcements, facts and checkpoints while this node reads.
func (ds *Distributor) upkeep(ctx context.Context) {
	ch := &chores{ds: ds}
	ch.announceAt = ds.config.Now().Add(rand.N(ds.config.AnnounceEvery))
	ch.spread()
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, ds.config.Tick)
		if !ds.Reading() || ctx.Err() != nil {
			ch.known, ch.lookAt = false, time.Time{}
			continue
		}
		for _, fn := range []func(context.Context) error{ch.announce, ch.logFacts, ch.checkpoint} {
			if err := fn(ctx); err != nil && ctx.Err() == nil {
				ds.config.Logger.WithError(err).Warn("upkeep of the log failed")
				sleeper.Sleep(ctx, rand.N(factDelay))
			}
		}
	}
}

// spread draws when this reader writes the next checkpoint.
func (ch *chores) spread() {
	records := ch.ds.config.CheckpointRecords
	ch.recordsDue = uint64(records + rand.N(max(1, records/2)))
	quarter := ch.ds.config.Retention / 4
	ch.ageDue = quarter + rand.N(max(1, quarter/2))
}

// announce appends addresses of live nodes now and then.
func (ch *chores) announce(ctx context.Context) error {
	now := ch.ds.config.Now()
	every := ch.ds.config.AnnounceEvery
	if ch.ds.contact().Answered == 0 {
		// Without peers, others must find this node soon.
		every /= 6
		if soon := now.Add(every); soon.Before(ch.announceAt) {
			ch.announceAt = now.Add(rand.N(every))
		}
	}
	if now.Before(ch.announceAt) {
		return nil
	}
	ch.announceAt = now.Add(every)
	return ch.ds.announce(ctx)
}

// announce appends this node and some others that are alive.
func (ds *Distributor) announce(ctx context.Context) error {
	an := announcement{Nodes: []checker.NodeID{ds.config.Self.Node}}
	alive := ds.config.Members.Alive()
	for _, ii := range rand.Perm(len(alive)) {
		if len(an.Nodes) == announcedNodes {
			break
		}
		if alive[ii].Node != ds.config.Self.Node {
			an.Nodes = append(an.Nodes, alive[ii].Node)
		}
	}
	data, err := json.Marshal(an)
	if err != nil {
		return fmt.Errorf("announcement: %w", err)
	}
	ds.count(func(st *Stats) { st.LogRequests++ })
	if _, err := ds.config.Log.Append(ctx, AnnouncementStream, data); err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	return nil
}

// findPeers reads the announcements.
func (ds *Distributor) findPeers(ctx context.Context) error {
	ds.lookedAt = ds.config.Now()
	ds.count(func(st *Stats) { st.LogRequests += 2 })
	list, err := ds.config.Log.Last(ctx, AnnouncementStream, announcementsRead)
	if err != nil {
		return err
	}
	seen := map[checker.NodeID]bool{ds.config.Self.Node: true}
	var found []checker.NodeID
	for _, rec := range list {
		nodes, err := decodeAnnouncement(rec.Data)
		if err != nil {
			ds.config.Logger.WithError(err).Warn("announcement cannot be read")
			continue
		}
		for _, no := range nodes {
			if !seen[no] {
				seen[no] = true
				found = append(found, no)
			}
		}
	}
	ds.rnd.Shuffle(len(found), func(ii, jj int) { found[ii], found[jj] = found[jj], found[ii] })
	ds.config.Logger.WithField("found", len(found)).Info("announcements are read")
	ds.useFound(found)
	return nil
}

// logFacts appends the facts that the log does not hold yet.
func (ch *chores) logFacts(ctx context.Context) error {
	now := ch.ds.config.Now()
	facts := ch.ds.State().Unlogged()
	switch {
	case len(facts) == 0:
		ch.unloggedAt = time.Time{}
		return nil
	case ch.unloggedAt.IsZero():
		ch.unloggedAt = now.Add(rand.N(factDelay))
		return nil
	case now.Before(ch.unloggedAt):
		return nil
	}
	ch.unloggedAt = time.Time{}
	data, err := reducer.Encode(reducer.Record{
		ID: uuid.NewString(), Time: now, Facts: facts[:min(len(facts), maxUnlogged)],
	})
	if err != nil {
		return err
	}
	ch.ds.count(func(st *Stats) { st.LogRequests++ })
	if _, err := ch.ds.config.Log.Append(ctx, ConfigurationStream, data); err != nil {
		return fmt.Errorf("append facts: %w", err)
	}
	ch.ds.config.Logger.WithField("facts", len(facts)).Info("facts are appended")
	return nil
}

// checkpoint writes a checkpoint if the newest one in the log is too old.
func (ch *chores) checkpoint(ctx context.Context) error {
	if ch.ds.Stale() || ch.ds.Behind() || ch.ds.State().Next() == 0 {
		return nil
	}
	now := ch.ds.config.Now()
	if ch.lookAt.IsZero() {
		ch.lookAt = now.Add(rand.N(min(maxLookDelay, ch.ds.config.Retention/8) + 1))
	}
	if now.Before(ch.lookAt) || ch.known && !ch.due(ch.ds.State()) {
		return nil
	}
	if err := ch.lookUp(ctx); err != nil {
		return err
	}
	st := ch.ds.State()
	if !ch.due(st) {
		return nil
	}
	data, err := st.Checkpoint()
	if err != nil {
		return err
	}
	ch.ds.count(func(st *Stats) { st.LogRequests++ })
	if _, err := ch.ds.config.Log.Append(ctx, CheckpointStream, data); err != nil {
		return fmt.Errorf("append checkpoint: %w", err)
	}
	ch.ds.count(func(st *Stats) { st.Checkpoints++ })
	ch.saved, ch.savedAt = st.Next(), ch.ds.config.Now()
	ch.spread()
	ch.ds.config.Logger.WithField("offset", st.Next()).Info("checkpoint is written")
	return nil
}

// due reports whether the newest checkpoint in the log is too old.
func (ch *chores) due(st *reducer.State) bool {
	return st.Next() >= ch.saved+ch.recordsDue ||
		ch.ds.config.Now().Sub(ch.savedAt) >= ch.ageDue
}

// lookUp reads the newest checkpoint, which another reader may have written.
func (ch *chores) lookUp(ctx context.Context) error {
	ch.ds.count(func(st *Stats) { st.LogRequests += 2 })
	list, err := ch.ds.config.Log.Last(ctx, CheckpointStream, 1)
	if err != nil {
		return err
	}
	ch.known = true
	ch.saved, ch.savedAt = 0, time.Time{}
	for _, rec := range list {
		if st, err := reducer.LoadCheckpoint(rec.Data); err == nil {
			ch.saved, ch.savedAt = st.Next(), rec.Time
		}
	}
	return nil
}
