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
	// announcementNodes is the maximum number of addresses in an announcement.
	announcementNodes = 8
	// announcementReadLimit is the number of announcements read to find peers.
	// Their writers include readers of several data centres.
	announcementReadLimit = 16
	// maxRecordFacts bounds the facts in one record.
	maxRecordFacts = 512
	// maxFactDelay bounds the random delay before a reader appends facts. There
	// are 18 readers at the design size; once the first has appended the facts,
	// the others need not.
	maxFactDelay = 2 * time.Second
	// maxLookupDelay bounds the random delay before a reader reads the newest
	// checkpoint.
	maxLookupDelay = 30 * time.Second
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
	for _, no := range an.Nodes[:min(len(an.Nodes), announcementNodes)] {
		if no.IsValid() && no.Port() != 0 && !no.Addr().IsUnspecified() {
			nodes = append(nodes, no)
		}
	}
	return nodes, nil
}

// maintenance is the state of the periodic work that a reader does on the log
// on behalf of all nodes.
type maintenance struct {
	ds               *Distributor
	nextAnnouncement time.Time
	// nextFactAppend is when to append the facts that the log still lacks.
	nextFactAppend time.Time
	// checkpointRecords and checkpointAge are the number of records and the age
	// after which this reader writes a checkpoint. They are randomised, so that
	// usually only one reader does.
	checkpointRecords uint64
	checkpointAge     time.Duration
	// savedNext and savedTime describe the newest checkpoint in the log. It is
	// looked up while savedKnown is false.
	savedNext  uint64
	savedTime  time.Time
	savedKnown bool
	// nextLookup is when it is looked up. It is randomised, so that readers that
	// start together can find a checkpoint that the first of them has written.
	nextLookup time.Time
}

// runMaintenance appends announcements, facts and checkpoints while this node
// reads the log.
func (ds *Distributor) runMaintenance(ctx context.Context) {
	ma := &maintenance{ds: ds}
	ma.nextAnnouncement = ds.config.Now().Add(rand.N(ds.config.AnnounceEvery))
	ma.scheduleCheckpoint()
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, ds.config.Tick)
		if !ds.Reading() || ctx.Err() != nil {
			ma.savedKnown, ma.nextLookup = false, time.Time{}
			continue
		}
		work := []func(context.Context) error{ma.announce, ma.appendFacts, ma.writeCheckpoint}
		for _, fn := range work {
			if err := fn(ctx); err != nil && ctx.Err() == nil {
				ds.config.Logger.WithError(err).Warn("log maintenance failed")
				sleeper.Sleep(ctx, rand.N(maxFactDelay))
			}
		}
	}
}

// scheduleCheckpoint draws the thresholds of the next checkpoint.
func (ma *maintenance) scheduleCheckpoint() {
	records := ma.ds.config.CheckpointRecords
	ma.checkpointRecords = uint64(records + rand.N(max(1, records/2)))
	quarter := ma.ds.config.Retention / 4
	ma.checkpointAge = quarter + rand.N(max(1, quarter/2))
}

// announce appends an announcement if one is due.
func (ma *maintenance) announce(ctx context.Context) error {
	now := ma.ds.config.Now()
	every := ma.ds.config.AnnounceEvery
	if ma.ds.peerCounts().Responded == 0 {
		// Without peers, this node must become known to others sooner.
		every /= 6
		if soon := now.Add(every); soon.Before(ma.nextAnnouncement) {
			ma.nextAnnouncement = now.Add(rand.N(every))
		}
	}
	if now.Before(ma.nextAnnouncement) {
		return nil
	}
	ma.nextAnnouncement = now.Add(every)
	return ma.ds.appendAnnouncement(ctx)
}

// appendAnnouncement appends the addresses of this node and of some other live
// nodes.
func (ds *Distributor) appendAnnouncement(ctx context.Context) error {
	an := announcement{Nodes: []checker.NodeID{ds.config.Self.Node}}
	alive := ds.config.Members.Alive()
	for _, ii := range rand.Perm(len(alive)) {
		if len(an.Nodes) == announcementNodes {
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
	ds.updateStats(func(st *Stats) { st.LogRequests++ })
	if _, err := ds.config.Log.Append(ctx, AnnouncementStream, data); err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	return nil
}

// readAnnouncements reads the newest announcements and stores their addresses
// in random order.
func (ds *Distributor) readAnnouncements(ctx context.Context) error {
	ds.announcementsReadAt = ds.config.Now()
	ds.updateStats(func(st *Stats) { st.LogRequests += 2 })
	list, err := ds.config.Log.Last(ctx, AnnouncementStream, announcementReadLimit)
	if err != nil {
		return err
	}
	seen := map[checker.NodeID]bool{ds.config.Self.Node: true}
	var found []checker.NodeID
	for _, rec := range list {
		nodes, err := decodeAnnouncement(rec.Data)
		if err != nil {
			ds.config.Logger.WithError(err).Warn("failed to decode announcement")
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
	ds.config.Logger.WithField("found", len(found)).Info("announcements read")
	ds.setAnnounced(found)
	return nil
}

// appendFacts appends the facts that are not yet in the log, after a random
// delay.
func (ma *maintenance) appendFacts(ctx context.Context) error {
	now := ma.ds.config.Now()
	facts := ma.ds.State().Unlogged()
	switch {
	case len(facts) == 0:
		ma.nextFactAppend = time.Time{}
		return nil
	case ma.nextFactAppend.IsZero():
		ma.nextFactAppend = now.Add(rand.N(maxFactDelay))
		return nil
	case now.Before(ma.nextFactAppend):
		return nil
	}
	ma.nextFactAppend = time.Time{}
	data, err := reducer.Encode(reducer.Record{
		ID: uuid.NewString(), Time: now, Facts: facts[:min(len(facts), maxRecordFacts)],
	})
	if err != nil {
		return err
	}
	ma.ds.updateStats(func(st *Stats) { st.LogRequests++ })
	if _, err := ma.ds.config.Log.Append(ctx, ConfigurationStream, data); err != nil {
		return fmt.Errorf("append facts: %w", err)
	}
	ma.ds.config.Logger.WithField("facts", len(facts)).Info("facts appended")
	return nil
}

// writeCheckpoint appends a checkpoint if the newest one in the log is too old.
func (ma *maintenance) writeCheckpoint(ctx context.Context) error {
	if ma.ds.Stale() || ma.ds.Behind() || ma.ds.State().Next() == 0 {
		return nil
	}
	now := ma.ds.config.Now()
	if ma.nextLookup.IsZero() {
		ma.nextLookup = now.Add(rand.N(min(maxLookupDelay, ma.ds.config.Retention/8) + 1))
	}
	if now.Before(ma.nextLookup) || ma.savedKnown && !ma.checkpointDue(ma.ds.State()) {
		return nil
	}
	if err := ma.findCheckpoint(ctx); err != nil {
		return err
	}
	st := ma.ds.State()
	if !ma.checkpointDue(st) {
		return nil
	}
	data, err := st.Checkpoint()
	if err != nil {
		return err
	}
	ma.ds.updateStats(func(st *Stats) { st.LogRequests++ })
	if _, err := ma.ds.config.Log.Append(ctx, CheckpointStream, data); err != nil {
		return fmt.Errorf("append checkpoint: %w", err)
	}
	ma.ds.updateStats(func(st *Stats) { st.Checkpoints++ })
	ma.savedNext, ma.savedTime = st.Next(), ma.ds.config.Now()
	ma.scheduleCheckpoint()
	ma.ds.config.Logger.WithField("offset", st.Next()).Info("checkpoint written")
	return nil
}

// checkpointDue reports whether the newest checkpoint in the log is too old.
func (ma *maintenance) checkpointDue(st *reducer.State) bool {
	return st.Next() >= ma.savedNext+ma.checkpointRecords ||
		ma.ds.config.Now().Sub(ma.savedTime) >= ma.checkpointAge
}

// findCheckpoint reads the newest checkpoint, which another reader may have
// written.
func (ma *maintenance) findCheckpoint(ctx context.Context) error {
	ma.ds.updateStats(func(st *Stats) { st.LogRequests += 2 })
	list, err := ma.ds.config.Log.Last(ctx, CheckpointStream, 1)
	if err != nil {
		return err
	}
	ma.savedKnown = true
	ma.savedNext, ma.savedTime = 0, time.Time{}
	for _, rec := range list {
		if st, err := reducer.LoadCheckpoint(rec.Data); err == nil {
			ma.savedNext, ma.savedTime = st.Next(), rec.Time
		}
	}
	return nil
}
