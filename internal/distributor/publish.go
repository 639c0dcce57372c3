package distributor

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/appender"
	"github.com/guavastall/guavastall/internal/reducer"
)

// publishTimeout bounds a publication whose context has no deadline. A change
// must be in force on all nodes within 13 s.
const publishTimeout = 13 * time.Second

// Publish appends the record and waits until it has been applied. It sets the
// ID and the time of the record if they are empty, and adds the facts that are
// not yet in the log. A refused publication is a result, not an error. The
// error has a kind: PlatformUnavailable if the log did not accept the record,
// OutcomeUnknown if the record may still take effect.
//
// A record that is resent with the same ID is applied once.
func (ds *Distributor) Publish(ctx context.Context, rec reducer.Record) (reducer.Result, error) {
	if rec.ID == "" {
		rec.ID = uuid.NewString()
	}
	if rec.Time.IsZero() {
		rec.Time = ds.config.Now()
	}
	if re, ok := ds.State().Result(rec.ID); ok {
		return re, nil
	}
	if _, limited := ctx.Deadline(); !limited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, publishTimeout)
		defer cancel()
	}
	unlogged := ds.State().Unlogged()
	rec.Facts = append(rec.Facts[:len(rec.Facts):len(rec.Facts)],
		unlogged[:min(len(unlogged), maxRecordFacts)]...)
	data, err := reducer.Encode(rec)
	if err != nil {
		return reducer.Result{}, answerer.Wrap(err, answerer.BadRequest, "publish")
	}
	ds.updateStats(func(st *Stats) { st.LogRequests++ })
	offset, err := ds.config.Log.Append(ctx, ConfigurationStream, data)
	unknown := errors.Is(err, appender.ErrUnknown)
	switch {
	case errors.Is(err, appender.ErrTooLarge):
		return reducer.Result{}, answerer.Wrap(err, answerer.TooLarge, "publish")
	case err != nil && !unknown:
		return reducer.Result{}, answerer.Wrap(err, answerer.PlatformUnavailable, "publish")
	}
	re, waitErr := ds.awaitResult(ctx, rec.ID, offset, !unknown)
	if waitErr == nil {
		return re, nil
	}
	return re, answerer.Wrap(errors.Join(err, waitErr), answerer.OutcomeUnknown, "publish")
}

// awaitResult waits until the record has been applied and returns its result.
// It reads the log itself, because this node may not be a reader.
func (ds *Distributor) awaitResult(
	ctx context.Context, id string, offset uint64, appended bool,
) (reducer.Result, error) {
	var backoff appender.Backoff
	for attempt := 0; ; attempt++ {
		changed := ds.Changed()
		st := ds.State()
		if re, ok := st.Result(id); ok {
			return re, nil
		}
		if appended && st.Next() > offset {
			// A record that holds only facts has no result in the state.
			return reducer.Result{ID: id, Offset: offset, Revision: st.Revision()}, nil
		}
		if err := ctx.Err(); err != nil {
			return reducer.Result{}, err
		}
		if attempt == 0 && appended || attempt > 0 {
			// A failed read is retried after the wait below.
			if next := ds.next(); ds.readMissing(ctx) == nil && ds.next() > next {
				continue
			}
		}
		waitForChange(ctx, changed, backoff.Limit(attempt))
	}
}

// readMissing reads the records that this node lacks, outside the schedule of
// the elector.
func (ds *Distributor) readMissing(ctx context.Context) error {
	ds.updateStats(func(st *Stats) { st.LogRequests++ })
	ba, err := ds.config.Log.Read(ctx, ConfigurationStream, ds.next(), readLimit, 0)
	if err != nil {
		return err
	}
	ds.addBatch(ba)
	return nil
}

// waitForChange waits until the state changes, the time has passed or the
// context ends.
func waitForChange(ctx context.Context, changed <-chan struct{}, du time.Duration) {
	timer := time.NewTimer(du)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
