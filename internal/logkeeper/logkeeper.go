// Package logkeeper writes a process's structured log without blocking the
// process.
//
// Lines are appended to a bounded buffer that one goroutine writes out. Lines
// that do not fit are counted and dropped. Lines about requests are rate-limited,
// with separate limits for failed and for successful requests, so that successful
// requests cannot use up the lines of failed ones.
package logkeeper

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/carrier"
)

const (
	// bufferBytes bounds the buffered lines.
	bufferBytes = 256 << 10
	// flushInterval is how long a line is buffered so that several lines are
	// written at once.
	flushInterval = 200 * time.Millisecond
	// failedPerSecond and servedPerSecond bound the lines about requests. A
	// process that is killed loses the lines of the last flushInterval.
	failedPerSecond = 100
	servedPerSecond = 5
	// Under load, one in sampleInterval requests is logged. Requests are chosen
	// by ID, so that all nodes choose the same ones and the log of a chosen
	// request is complete across nodes.
	sampleInterval = 16
)

// Writer is a non-blocking writer. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	wake    chan struct{}
	dropped atomic.Int64

	mu     sync.Mutex
	buffer []byte
}

// NewWriter returns a writer to out. Run writes the buffered lines.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, wake: make(chan struct{}, 1)}
}

// Write buffers a line, or drops it if the buffer is full. It never fails.
func (wr *Writer) Write(line []byte) (int, error) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if len(wr.buffer)+len(line) > bufferBytes {
		wr.dropped.Add(1)
		return len(line), nil
	}
	wr.buffer = append(wr.buffer, line...)
	select {
	case wr.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the buffer was full.
func (wr *Writer) Dropped() int64 {
	return wr.dropped.Load()
}

// Run writes buffered lines until ctx is done, then writes the remaining lines
// and closes done.
func (wr *Writer) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			wr.flush()
			return
		case <-wr.wake:
		}
		timer.Reset(flushInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		wr.flush()
	}
}

func (wr *Writer) flush() {
	wr.mu.Lock()
	lines := wr.buffer
	wr.buffer = nil
	wr.mu.Unlock()
	if len(lines) > 0 {
		// There is nowhere to report a failure to write the log.
		_, _ = wr.out.Write(lines)
	}
}

// rateLimit is a limit on lines per second.
type rateLimit struct {
	second, used atomic.Int64
	limit        int64
}

// allow reports whether a line may be written, and counts it. The second half of
// the limit is reserved for sampled requests.
func (rl *rateLimit) allow(sampled bool, now time.Time) bool {
	second := now.Unix()
	if rl.second.Swap(second) != second {
		rl.used.Store(0)
	}
	used := rl.used.Load()
	if used >= rl.limit || !sampled && used >= rl.limit/2 {
		return false
	}
	return rl.used.Add(1) <= rl.limit
}

// Requests logs decisions about requests. It is safe for concurrent use.
type Requests struct {
	log            *logrus.Logger
	failed, served rateLimit
	// skipped counts the lines that exceeded the limits.
	skipped atomic.Int64
}

// NewRequests returns a log of decisions about requests.
func NewRequests(lo *logrus.Logger) *Requests {
	re := &Requests{log: lo}
	re.failed.limit, re.served.limit = failedPerSecond, servedPerSecond
	return re
}

// Wants implements [carrier.Log].
func (re *Requests) Wants(id string, failed bool, now time.Time) bool {
	rl := &re.served
	if failed {
		rl = &re.failed
	}
	if rl.allow(xxhash.Sum64String(id)%sampleInterval == 0, now) {
		return true
	}
	re.skipped.Add(1)
	return false
}

// Event implements [carrier.Log].
func (re *Requests) Event(ev carrier.Event) {
	re.log.WithField("request", ev.ID).WithFields(ev.Fields).Info(ev.Name)
}

// Skipped returns the number of lines that exceeded the limits.
func (re *Requests) Skipped() int64 {
	return re.skipped.Load()
}
