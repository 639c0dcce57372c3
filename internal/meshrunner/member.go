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

// Heartbeat takes a heartbeat of the own target. The error says why it was not
// accepted.
func (ru *Runner) Heartbeat(he registrar.Heartbeat) error {
	se := ru.settings.Load()
	if he.Address != se.Target {
		err := fmt.Errorf("address %s is not that of this VM's target", he.Address)
		ru.Malformed(he.ID, err)
		return err
	}
	if vi := ru.carrier.View(); vi != nil && vi.Config.Services[he.Service] == nil {
		err := fmt.Errorf("service %q does not exist", he.Service)
		ru.Malformed(he.ID, err)
		return err
	}
	verdict := ru.gate.Heartbeat(he)
	if verdict != registrar.Stale {
		ru.setDown(false)
	}
	if verdict != registrar.Changed {
		return nil
	}
	ru.Log.WithFields(logrus.Fields{
		"target": he.ID, "service": he.Service, "version": he.Version, "slots": he.Slots,
		"draining": he.Draining, "sequence": he.Sequence, "born": he.Born.UnixMilli(),
		"coldMs": he.ColdLeft.Milliseconds(),
	}).Info("target")
	ru.refresh()
	ru.republish()
	return nil
}

// Malformed notes a heartbeat that is not used.
func (ru *Runner) Malformed(id string, err error) {
	ru.Log.WithError(err).WithField("target", id).Warn("heartbeat ignored")
}

// Depart notes that a target says it leaves.
func (ru *Runner) Depart(id string) {
	current := ru.gate.DrainTarget(id)
	ru.Log.WithFields(logrus.Fields{"target": id, "current": current}).Info("target leaves")
	if !current {
		return
	}
	ru.refresh()
	// The acknowledgement binds this node after a restart too, so that the entry
	// is in the store before it, if the store answers.
	ctx, cancel := context.WithTimeout(context.Background(), departTime)
	defer cancel()
	if again, err := ru.publishEntry(ctx); err != nil || again {
		ru.Log.WithError(err).WithField("target", id).Warn("departure not published")
		ru.republish()
	}
}

// publication is what the node last published of itself.
type publication struct {
	incarnation int64
	value       []byte
	entry       registrar.Entry
	// offset is that of the record.
	offset uint64
}

// stands reports whether the entry is published, given the newest record of its
// key that is known. A record before the published one only shows that the replica
// is behind; a later one replaced it, such as an earlier append that took effect
// late.
func (pu *publication) stands(en registrar.Entry, rc replicator.Record) bool {
	return en == pu.entry && (rc.Offset <= pu.offset || bytes.Equal(rc.Value, pu.value))
}

const (
	// publishTime bounds the publication of the own entry.
	publishTime = 2 * time.Second
	// departTime bounds the publication of a departure before its
	// acknowledgement, which must come within a second.
	departTime = 400 * time.Millisecond
	// publishRetry is the pause after a failed publication; entries are back
	// within about two seconds of the store's return.
	publishRetry = 500 * time.Millisecond
)

// republish lets the publisher compare the own entry with the published one.
func (ru *Runner) republish() {
	select {
	case ru.dirty <- struct{}{}:
	default:
	}
}

// publish keeps the own entry in the store until the context ends, and closes
// done.
func (ru *Runner) publish(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ru.dirty:
		}
		for ctx.Err() == nil {
			again, err := ru.publishEntry(ctx)
			switch {
			case errors.Is(err, errStoreLost): // logged when it was lost
			case err != nil:
				ru.Log.WithError(err).Warn("entry not published")
			}
			if err == nil && !again {
				break
			}
			sleeper.Sleep(ctx, publishRetry)
		}
	}
}

// publishEntry publishes the own entry if the store holds another. It reports
// whether it has to be tried again. The lock on publishing is taken before that
// on the view.
func (ru *Runner) publishEntry(ctx context.Context) (bool, error) {
	ru.publishing.Lock()
	defer ru.publishing.Unlock()
	if _, primed := ru.mesh.End(); !primed {
		return true, nil // the own earlier entry is not known yet
	}
	if ru.operator.Unavailable() {
		return true, errStoreLost
	}
	en := ru.ownEntry()
	if en.Target == "" && !en.NodeLeaving {
		return false, nil
	}
	ru.mu.Lock()
	pu := &ru.published
	key := nodePrefix + en.Key()
	rc, present := ru.mesh.Get(key)
	if pu.incarnation == 0 {
		pu.incarnation = 1
		if old, err := registrar.DecodeEntry(rc.Value); present && err == nil {
			pu.incarnation = old.Incarnation + 1
		}
	}
	en.Incarnation = pu.incarnation
	// What heartbeats change beyond the state is of no use to other nodes.
	en.Revision, en.Sequence = pu.entry.Revision, pu.entry.Sequence
	if pu.stands(en, rc) {
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
	ctx, cancel := context.WithTimeout(ctx, publishTime)
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
