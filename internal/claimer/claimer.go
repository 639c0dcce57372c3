// Package claimer claims idempotency keys in the platform's log.
//
// The owner of a key appends a claim to the stream of its service and runs the
// call only if its claim is the first one for the key. The log's order decides,
// so two nodes that both take themselves for the owner cannot both run it, and
// a restarted owner finds the claims of its earlier life.
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
	// streamPrefix begins the name of each service's claim stream.
	streamPrefix = "claims-"
	// readLimit bounds the records of one read.
	readLimit = 1000
	// maxKeyLength bounds a key, in bytes.
	maxKeyLength = 256
)

// Log is the platform's log; [appender.Client] is one.
type Log interface {
	// Append appends a record, resending it after a lost answer.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns records from the offset on.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (
		appender.Batch, error)
}

// Claimer claims keys. It is safe for concurrent use.
type Claimer struct {
	log Log

	mu      sync.Mutex
	streams map[checker.Service]*stream
}

// stream is the claims of one service.
type stream struct {
	// reading holds one token; its holder reads the log. A channel is used
	// because a wait for it must end with the context.
	reading chan struct{}

	mu     sync.Mutex
	claims deduper.Claims
}

// New returns a claimer that has read no claims.
func New(log Log) *Claimer {
	return &Claimer{log: log, streams: map[checker.Service]*stream{}}
}

// Claim appends a claim for the key and reports whether the attempt's claim is
// the first one. After an error the same attempt may be claimed again.
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
	if err := cl.catchUp(ctx, se, sm, offset); err != nil {
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

// catchUp folds the claims up to and including the offset.
func (cl *Claimer) catchUp(
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

// read folds one batch, unless another call has folded the offset meanwhile.
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
		// The log keeps its records for longer than a key is remembered.
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

// decode reads a claim. A record that is not a claim becomes one for the empty
// key, which no call has, so that its offset is folded.
func decode(rec appender.Record) deduper.Claim {
	var ca deduper.Claim
	if err := json.Unmarshal(rec.Data, &ca); err != nil {
		ca = deduper.Claim{}
	}
	ca.Time = rec.Time
	return ca
}
