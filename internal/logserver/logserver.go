// Package logserver is a substitute for the platform's append-only log.
//
// It serves the log protocol of docs/design.md over HTTP, keeps all records in
// memory and lets tests inject the failures of the platform. The same [Server]
// runs within a test or in a separate process. It uses no randomness: its
// responses depend only on its settings, the requests and the clock.
package logserver

import (
	"context"
	"errors"
	"fmt"
	"regexp"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of [Config].
const (
	defaultAppendRate  = 300
	defaultMaxRecords  = 100_000
	defaultMaxBody     = 1 << 20
	defaultMaxWait     = 30 * time.Second
	defaultReadRecords = 256
)

const (
	// maxStreams bounds the memory used by requests for arbitrary stream names.
	maxStreams = 1024
	// maxReadBytes bounds the data in one response; the first record is
	// always included.
	maxReadBytes = 4 << 20
)

var streamPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Errors of the log, each with its HTTP status in parentheses.
var (
	// ErrTrimmed reports a read below the first retained offset (410).
	ErrTrimmed = errors.New("offset is below the first retained record")
	// ErrRate reports an append over the rate limit (429).
	ErrRate = errors.New("append rate limit reached")
	// ErrBadStream reports an invalid stream name or too many streams (400).
	ErrBadStream = errors.New("stream name is invalid or there are too many streams")
	// ErrTooLarge reports a record over the size limit (413).
	ErrTooLarge = errors.New("record is over the size limit")
)

// Config holds the settings of a [Server]. Zero fields take the defaults.
type Config struct {
	// AppendRate is the number of appends accepted per second over all streams.
	// Bursts of up to one second's appends are accepted. The default is 300.
	AppendRate float64
	// MaxRecords is the number of records kept per stream.
	MaxRecords int
	// MaxAge is how long a record is kept; zero means that only MaxRecords applies.
	MaxAge time.Duration
	// MaxBody is the maximum size of a record in bytes. The default is 1 MiB.
	MaxBody int
	// MaxWait bounds the wait of a long poll. The default is 30 s.
	MaxWait time.Duration
	// Now returns the current time. The default is time.Now.
	Now func() time.Time
}

// Record is one record of a stream.
type Record struct {
	// Offset is the position of the record in its stream.
	Offset uint64 `json:"offset"`
	// Time is when the record was appended.
	Time time.Time `json:"time"`
	// Data is the content of the record.
	Data []byte `json:"data"`
}

// Batch is the result of a read.
type Batch struct {
	// Records are contiguous and begin at the requested offset.
	Records []Record `json:"records"`
	// First is the lowest retained offset.
	First uint64 `json:"first"`
	// Next is the offset of the next append.
	Next uint64 `json:"next"`
}

// stream is one sequence of records.
type stream struct {
	first   uint64
	records []Record
	// appended is closed and replaced at each append.
	appended chan struct{}
}

func (sm *stream) nextOffset() uint64 { return sm.first + uint64(len(sm.records)) }

// Server keeps the streams. Use [New].
type Server struct {
	config  Config
	limiter *rate.Limiter
	faults  faultControl

	mu            sync.Mutex
	streams       map[string]*stream
	stats         Stats
	currentSecond int64
	secondCount   int
}

// Stats counts the requests to the log.
type Stats struct {
	// Appends and Reads count the requests received, including those that a fault
	// then failed.
	Appends int `json:"appends"`
	Reads   int `json:"reads"`
	// Limited counts the appends rejected by the rate limit.
	Limited int `json:"limited"`
	// Lost counts the appends that took effect but whose responses were dropped.
	Lost int `json:"lost"`
	// Peak is the greatest number of requests within one calendar second.
	Peak int `json:"peak"`
}

// New returns an empty log.
func New(cf Config) *Server {
	if cf.AppendRate <= 0 {
		cf.AppendRate = defaultAppendRate
	}
	if cf.MaxRecords <= 0 {
		cf.MaxRecords = defaultMaxRecords
	}
	if cf.MaxBody <= 0 {
		cf.MaxBody = defaultMaxBody
	}
	if cf.MaxWait <= 0 {
		cf.MaxWait = defaultMaxWait
	}
	if cf.Now == nil {
		cf.Now = time.Now
	}
	sv := &Server{
		config:  cf,
		limiter: rate.NewLimiter(rate.Limit(cf.AppendRate), max(1, int(cf.AppendRate))),
		streams: map[string]*stream{},
	}
	sv.faults.changed = make(chan struct{})
	sv.faults.closed = make(chan struct{})
	return sv
}

// Append adds a record to the stream and returns its offset. Faults apply only to
// requests over HTTP, not to Append.
func (sv *Server) Append(name string, data []byte) (uint64, error) {
	if len(data) > sv.config.MaxBody {
		return 0, fmt.Errorf("%w: %d bytes of %d", ErrTooLarge, len(data), sv.config.MaxBody)
	}
	now := sv.config.Now()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sm, err := sv.stream(name)
	if err != nil {
		return 0, err
	}
	if !sv.limiter.AllowN(now, 1) {
		sv.stats.Limited++
		return 0, ErrRate
	}
	offset := sm.nextOffset()
	sm.records = append(sm.records, Record{Offset: offset, Time: now, Data: data})
	sv.expire(sm, now)
	close(sm.appended)
	sm.appended = make(chan struct{})
	return offset, nil
}

// Read returns at most limit records, beginning at the offset from. If there are
// none, it waits up to the given time for the next append.
func (sv *Server) Read(
	ctx context.Context, name string, from uint64, limit int, wait time.Duration,
) (Batch, error) {
	timer := time.NewTimer(min(wait, sv.config.MaxWait))
	defer timer.Stop()
	for {
		ba, appended, err := sv.read(name, from, limit)
		if err != nil || len(ba.Records) > 0 || from > ba.Next || wait <= 0 {
			return ba, err
		}
		select {
		case <-appended:
		case <-timer.C:
			return ba, nil
		case <-sv.faults.closed:
			return ba, nil
		case <-ctx.Done():
			return ba, ctx.Err()
		}
	}
}

// read returns the records available now and a channel that the next append closes.
func (sv *Server) read(name string, from uint64, limit int) (Batch, <-chan struct{}, error) {
	if limit <= 0 {
		limit = defaultReadRecords
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sm, err := sv.stream(name)
	if err != nil {
		return Batch{}, nil, err
	}
	sv.expire(sm, sv.config.Now())
	ba := Batch{Records: []Record{}, First: sm.first, Next: sm.nextOffset()}
	if from < sm.first {
		return ba, nil, fmt.Errorf("%w: %d is below %d", ErrTrimmed, from, sm.first)
	}
	size := 0
	for _, rec := range sm.records[min(from-sm.first, uint64(len(sm.records))):] {
		size += len(rec.Data)
		if len(ba.Records) == limit || len(ba.Records) > 0 && size > maxReadBytes {
			break
		}
		ba.Records = append(ba.Records, rec)
	}
	return ba, sm.appended, nil
}

// Trim removes the records of the stream below the offset, as retention does.
func (sv *Server) Trim(name string, first uint64) error {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sm, err := sv.stream(name)
	if err != nil {
		return err
	}
	if first > sm.first {
		sm.drop(min(first, sm.nextOffset()) - sm.first)
	}
	return nil
}

// Stats returns the counts so far.
func (sv *Server) Stats() Stats {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.stats
}

// ResetStats sets the counts to zero.
func (sv *Server) ResetStats() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.stats, sv.secondCount = Stats{}, 0
}

// Close ends every pending request. The server must not be used afterwards.
func (sv *Server) Close() {
	sv.faults.close()
}

// stream returns the stream and creates it on first use. The caller holds the lock.
func (sv *Server) stream(name string) (*stream, error) {
	if sm, ok := sv.streams[name]; ok {
		return sm, nil
	}
	if !streamPattern.MatchString(name) || len(sv.streams) >= maxStreams {
		return nil, fmt.Errorf("%w: %q", ErrBadStream, name)
	}
	sm := &stream{appended: make(chan struct{})}
	sv.streams[name] = sm
	return sm, nil
}

// expire removes the records that exceed the retention limits.
func (sv *Server) expire(sm *stream, now time.Time) {
	count := max(0, len(sm.records)-sv.config.MaxRecords)
	if sv.config.MaxAge > 0 {
		oldest := now.Add(-sv.config.MaxAge)
		for count < len(sm.records) && sm.records[count].Time.Before(oldest) {
			count++
		}
	}
	sm.drop(uint64(count))
}

// drop removes the oldest records. It copies the others, so that the memory of the
// removed ones can be reclaimed.
func (sm *stream) drop(count uint64) {
	if count == 0 {
		return
	}
	sm.first += count
	sm.records = append([]Record(nil), sm.records[count:]...)
}

// countRequest adds a request to the statistics.
func (sv *Server) countRequest(appends bool) {
	second := sv.config.Now().Unix()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if second != sv.currentSecond {
		sv.currentSecond, sv.secondCount = second, 0
	}
	sv.secondCount++
	sv.stats.Peak = max(sv.stats.Peak, sv.secondCount)
	if appends {
		sv.stats.Appends++
	} else {
		sv.stats.Reads++
	}
}
