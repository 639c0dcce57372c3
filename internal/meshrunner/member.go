package meshrunner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/registrar"
	"github.com/guavastall/guavastall/internal/replicator"
	"github.com/guavastall/guavastall/internal/sleeper"
)

// maxBornAhead bounds how far the start of a target may lie ahead of this node's
// clock, which may be wrong by seconds. Heartbeats of a target that started before
// the known one are ignored.
const maxBornAhead = time.Hour

// Heartbeat processes a heartbeat of the local target. The error says why the
// heartbeat was not accepted.
func (ru *Runner) Heartbeat(he registrar.Heartbeat) error {
	se := ru.settings.Load()
	if he.Address != se.Target {
		err := fmt.Errorf("address %s is not the address of this VM's target", he.Address)
		ru.Malformed(he.ID, err)
		return err
	}
	if ahead := he.Born.Sub(ru.Now()); ahead > maxBornAhead {
		err := fmt.Errorf("the start of the target is %s ahead", ahead)
		ru.Malformed(he.ID, err)
		return err
	}
	if vi := ru.carrier.View(); vi != nil && vi.Config.Services[he.Service] == nil {
		err := fmt.Errorf("service %q does not exist", he.Service)
		ru.Malformed(he.ID, err)
		return err
	}
	hr := ru.gate.Heartbeat(he)
	if hr != registrar.Stale && !ru.gate.NeedsVerification() {
		ru.setDown(false)
	}
	if hr != registrar.Changed {
		return nil
	}
	ru.Log.WithFields(logrus.Fields{
		"target": he.ID, "service": he.Service, "version": he.Version, "slots": he.Slots,
		"draining": he.Draining, "sequence": he.Sequence, "born": he.Born.UnixMilli(),
		"coldMs": he.ColdLeft.Milliseconds(),
	}).Info("target")
	ru.refreshView()
	ru.requestPublish()
	return nil
}

// Malformed logs a heartbeat that is ignored.
func (ru *Runner) Malformed(id string, err error) {
	ru.Log.WithError(err).WithField("target", id).Warn("heartbeat ignored")
}

// Depart processes a target's announcement of its shutdown.
func (ru *Runner) Depart(id string) {
	current := ru.gate.DrainTarget(id)
	ru.Log.WithFields(logrus.Fields{"target": id, "current": current}).Info("target leaves")
	if !current {
		return
	}
	ru.refreshView()
	// The acknowledgement has to hold after a restart of this node too, so the
	// entry is stored first if the store responds.
	ctx, cancel := context.WithTimeout(context.Background(), departureTimeout)
	defer cancel()
	if again, err := ru.publishEntry(ctx); err != nil || again {
		ru.Log.WithError(err).WithField("target", id).Warn("departure not published")
		ru.requestPublish()
	}
}

// publication is the entry that the node published last.
type publication struct {
	incarnation int64
	value       []byte
	entry       registrar.Entry
	// offset is the offset of the record.
	offset uint64
}

// isCurrent reports whether the entry is published, given the newest known record
// of its key. A record before the published one only shows that the replica lags.
// A later one replaced it, such as an earlier append that took effect late.
func (pu *publication) isCurrent(en registrar.Entry, rc replicator.Record) bool {
	return en == pu.entry && (rc.Offset <= pu.offset || bytes.Equal(rc.Value, pu.value))
}

const (
	// publishTimeout bounds the publication of the node's entry.
	publishTimeout = 2 * time.Second
	// departureTimeout bounds the publication of a target's shutdown before its
	// acknowledgement, which must be sent within a second.
	departureTimeout = 400 * time.Millisecond
	// publishRetryDelay is the pause after a failed publication. With it, entries
	// are back within about two seconds of the store's return.
	publishRetryDelay = 500 * time.Millisecond
)

// requestPublish makes the publisher compare the node's entry with the published
// one.
func (ru *Runner) requestPublish() {
	select {
	case ru.publishRequested <- struct{}{}:
	default:
	}
}

// publish keeps the node's entry in the store up to date until ctx is done, then
// closes done.
func (ru *Runner) publish(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ru.publishRequested:
		}
		for ctx.Err() == nil {
			again, err := ru.publishEntry(ctx)
			switch {
			case errors.Is(err, errStoreUnavailable): // logged when the store was lost
			case err != nil:
				ru.Log.WithError(err).Warn("entry not published")
			}
			if err == nil && !again {
				break
			}
			sleeper.Sleep(ctx, publishRetryDelay)
		}
	}
}

// hasPublished reports whether this process has published an entry.
func (ru *Runner) hasPublished() bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.published.value != nil
}

// publishEntry publishes the node's entry if the store holds a different one. It
// reports whether it has to be called again. ru.publishing must be locked before
// ru.mu.
func (ru *Runner) publishEntry(ctx context.Context) (bool, error) {
	ru.publishing.Lock()
	defer ru.publishing.Unlock()
	if _, primed := ru.mesh.End(); !primed {
		return true, nil // the node's earlier entry is not known yet
	}
	if !ru.hasPublished() {
		// A heartbeat may have come first, and must not overwrite a departure.
		ru.restoreTarget()
	}
	if ru.operator.Unavailable() {
		return true, errStoreUnavailable
	}
	en := ru.ownEntry()
	if en.Target == "" && !en.NodeLeaving {
		return false, nil
	}
	ru.mu.Lock()
	pu := &ru.published
	key := ru.ownKey()
	rc, present := ru.mesh.Get(key)
	if pu.incarnation == 0 {
		pu.incarnation = 1
		if old, err := registrar.DecodeEntry(en.Key(), rc.Value); present && err == nil {
			pu.incarnation = old.Incarnation + 1
		}
	}
	en.Incarnation = pu.incarnation
	// Ignore what heartbeats change beyond the state, because other nodes have no
	// use for it.
	en.Revision, en.Sequence = pu.entry.Revision, pu.entry.Sequence
	if pu.isCurrent(en, rc) {
		ru.mu.Unlock()
		return false, nil
	}
	en.Revision = pu.entry.Revision + 1
	en.Sequence = ru.gate.Current().Sequence
	value, err := en.Encode()
	ru.mu.Unlock()
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	end, err := ru.Mesh.Append(ctx, key, value, nil)
	if err != nil {
		return true, err
	}
	ru.mu.Lock()
	ru.published.entry, ru.published.value, ru.published.offset = en, value, end-1
	ru.mu.Unlock()
	ru.Log.WithFields(logrus.Fields{
		"target": en.Target, "leaving": en.Leaving, "nodeLeaving": en.NodeLeaving,
		"revision": en.Revision,
	}).Info("entry published")
	return false, nil
}
