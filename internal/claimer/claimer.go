// Package claimer claims idempotency keys in the platform's log.
//
// The owner of a key appends a claim to the claim stream of the service and
// executes the call only if its claim is the first one for the key. The order
// of the log decides, so two nodes that both act as the owner cannot both
// execute the call, and a restarted owner finds the claims it made before.
package claimer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/guavastall/guavastall/internal/appender"
	"github.com/guavastall/guavastall/internal/deduper"
	"github.com/guavastall/guavastall/pkg/checker"
)

const (
	// streamPrefix is the prefix of the claim stream names.
	streamPrefix = "claims-"
	// readLimit is the maximum number of records in one read.
	readLimit = 1000
	// maxKeyLength is the maximum length of a key in bytes.
	maxKeyLength = 256
)

// Log is the platform's log, as implemented by [appender.Client].
type Log interface {
	// Append appends a record and returns its offset. It resends the record if
	// the response is lost.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns up to limit records, beginning at the offset from.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (
		appender.Batch, error)
}

// Claimer claims idempotency keys. It is safe for concurrent use.
type Claimer struct {
	log Log

	mu      sync.Mutex
	streams map[checker.Service]*stream
}

// stream holds the claims of one service.
type stream struct {
	// reading is a semaphore that admits one reader of the log. It is a channel
	// rather than a mutex so that waiting for it can be cancelled.
	reading chan struct{}

	mu     sync.Mutex
	claims deduper.Claims
}

// New returns a claimer that has read no claims.
func New(log Log) *Claimer {
	return &Claimer{log: log, streams: map[checker.Service]*stream{}}
}

// Claim appends a claim for the key and reports whether the attempt's claim is
// the first one. After an error, Claim may be called again for the same attempt.
func (cl *Claimer) Claim(
	ctx context.Context, se checker.Service, key, attempt string,
) (bool, error) {
	if len(key) > maxKeyLength {
		return false, fmt.Errorf("idempotency key has %d bytes; the limit is %d",
			len(key), maxKeyLength)
	}
	data, err := json.Marshal(deduper.Claim{Key: key, Attempt: attempt})
	if err != nil {
		return false, fmt.Errorf("encode the claim: %w", err)
	}
	offset, err := cl.log.Append(ctx, streamPrefix+string(se), data)
	if err != nil {
		return false, fmt.Errorf("append the claim: %w", err)
	}
	sm := cl.stream(se)
	if err := cl.readThrough(ctx, se, sm, offset); err != nil {
		return false, fmt.Errorf("read the claims: %w", err)
	}
	sm.mu.Lock()
	defer sm.mu.Unlock()
	first, ok := sm.claims.First(key)
	return ok && first.Attempt == attempt, nil
}

func (cl *Claimer) stream(se checker.Service) *stream {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	sm := cl.streams[se]
	if sm == nil {
		sm = &stream{reading: make(chan struct{}, 1)}
		cl.streams[se] = sm
	}
	return sm
}

// readThrough applies the claims up to and including the offset.
func (cl *Claimer) readThrough(
	ctx context.Context, se checker.Service, sm *stream, offset uint64,
) error {
	for sm.next() <= offset {
		select {
		case sm.reading <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		err := cl.read(ctx, se, sm, offset)
		<-sm.reading
		if err != nil {
			return err
		}
	}
	return nil
}

func (sm *stream) next() uint64 {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	return sm.claims.Next()
}

// read applies one batch, unless another call has already applied the offset.
func (cl *Claimer) read(
	ctx context.Context, se checker.Service, sm *stream, offset uint64,
) error {
	from := sm.next()
	if from > offset {
		return nil
	}
	batch, err := cl.log.Read(ctx, streamPrefix+string(se), from, readLimit, 0)
	sm.mu.Lock()
	defer sm.mu.Unlock()
	var trimmed *appender.TrimmedError
	if errors.As(err, &trimmed) {
		// The trimmed claims have expired, because the log retains records for
		// longer than deduper.Retention.
		sm.claims.Skip(trimmed.First)
		return nil
	}
	if err != nil {
		return err
	}
	if len(batch.Records) == 0 {
		return fmt.Errorf("log ends at %d, below the claim at %d", batch.Next, offset)
	}
	for _, rec := range batch.Records {
		if err := sm.claims.Apply(rec.Offset, decode(rec)); err != nil {
			return err
		}
	}
	return nil
}

// decode decodes a claim. It returns a claim for the empty key, which no call
// uses, if the record is malformed, so that the record's offset is still applied.
func decode(rec appender.Record) deduper.Claim {
	var ca deduper.Claim
	if err := json.Unmarshal(rec.Data, &ca); err != nil {
		ca = deduper.Claim{}
	}
	ca.Time = rec.Time
	return ca
}
