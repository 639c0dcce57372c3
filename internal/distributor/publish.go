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
// is to be in effect everywhere within 13 s.
const publishTimeout = 13 * time.Second

// Publish appends the record and waits until the fold has its result. It gives
// the record an ID and a time if it has none, and adds the facts that the log
// does not hold yet. A refused publication is a result, not an error. The
// error has a kind: PlatformUnavailable if the record was not accepted by the
// log, OutcomeUnknown if it may still take effect.
//
// A resend with the same ID is folded once.
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
		unlogged[:min(len(unlogged), maxUnlogged)]...)
	data, err := reducer.Encode(rec)
	if err != nil {
		return reducer.Result{}, answerer.Wrap(err, answerer.BadRequest, "publish")
	}
	ds.count(func(st *Stats) { st.LogRequests++ })
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

// awaitResult waits until the fold has the result of the record. It reads the
// log itself, because this node may be no reader.
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
			// A record of facts alone leaves no result.
			return reducer.Result{ID: id, Offset: offset, Revision: st.Revision()}, nil
		}
		if err := ctx.Err(); err != nil {
			return reducer.Result{}, err
		}
		if attempt == 0 && appended || attempt > 0 {
			// A failed read is repeated after the wait below.
			if next := ds.next(); ds.readOnce(ctx) == nil && ds.next() > next {
				continue
			}
		}
		waitFor(ctx, changed, backoff.Limit(attempt))
	}
}

// readOnce reads the records that this node lacks, outside its turn.
func (ds *Distributor) readOnce(ctx context.Context) error {
	ds.count(func(st *Stats) { st.LogRequests++ })
	ba, err := ds.config.Log.Read(ctx, ConfigurationStream, ds.next(), readRecords, 0)
	if err != nil {
		return err
	}
	ds.take(ba)
	return nil
}

// waitFor waits for the change, the time or the end of the context.
func waitFor(ctx context.Context, changed <-chan struct{}, du time.Duration) {
	timer := time.NewTimer(du)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
