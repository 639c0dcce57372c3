// Package logkeeper writes a process's structured log without ever blocking it.
//
// Lines go to a bounded buffer that one goroutine writes out. Lines that find
// it full are counted and dropped. Lines on requests are limited per second, and
// those of failed requests have a budget of their own, so that they are not
// crowded out by lines of served ones.
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
	// bufferBytes bounds the lines that wait to be written.
	bufferBytes = 256 << 10
	// flushTime is how long a line waits so that several are written at once.
	flushTime = 200 * time.Millisecond
	// failedPerSecond and servedPerSecond bound the lines on requests. A process
	// that is killed loses the lines of the last flushTime.
	failedPerSecond = 100
	servedPerSecond = 5
	// sampledOf is how many requests share one that is logged under load. It is
	// chosen by its ID, so that all nodes choose the same ones and a request's
	// story is whole.
	sampledOf = 16
)

// Writer is a writer that does not block. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	wake    chan struct{}
	dropped atomic.Int64

	mu     sync.Mutex
	buffer []byte
}

// NewWriter returns a writer to out; Run writes what it gets.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, wake: make(chan struct{}, 1)}
}

// Write takes a line.
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

// Dropped returns the number of lines that found the buffer full.
func (wr *Writer) Dropped() int64 {
	return wr.dropped.Load()
}

// Run writes lines out until the context ends, then what is left, and closes
// done.
func (wr *Writer) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	timer := time.NewTimer(flushTime)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			wr.flush()
			return
		case <-wr.wake:
		}
		timer.Reset(flushTime)
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
		// A log that cannot be written has nowhere to be reported.
		_, _ = wr.out.Write(lines)
	}
}

// quota is a number of lines per second.
type quota struct {
	second, used atomic.Int64
	most         int64
}

// take takes a line. Of the second half of the quota only sampled requests take.
func (qu *quota) take(sampled bool, now time.Time) bool {
	second := now.Unix()
	if qu.second.Swap(second) != second {
		qu.used.Store(0)
	}
	used := qu.used.Load()
	if used >= qu.most || !sampled && used >= qu.most/2 {
		return false
	}
	return qu.used.Add(1) <= qu.most
}

// Requests logs decisions on requests. It is safe for concurrent use.
type Requests struct {
	log            *logrus.Logger
	failed, served quota
	// Skipped counts the lines over the limits.
	skipped atomic.Int64
}

// NewRequests returns a log of decisions on requests.
func NewRequests(lo *logrus.Logger) *Requests {
	re := &Requests{log: lo}
	re.failed.most, re.served.most = failedPerSecond, servedPerSecond
	return re
}

// Wants implements [carrier.Log].
func (re *Requests) Wants(id string, failed bool, now time.Time) bool {
	qu := &re.served
	if failed {
		qu = &re.failed
	}
	if qu.take(xxhash.Sum64String(id)%sampledOf == 0, now) {
		return true
	}
	re.skipped.Add(1)
	return false
}

// Event implements [carrier.Log].
func (re *Requests) Event(ev carrier.Event) {
	re.log.WithField("request", ev.ID).WithFields(ev.Fields).Info(ev.Name)
}

// Skipped returns the number of lines that the limits held back.
func (re *Requests) Skipped() int64 {
	return re.skipped.Load()
}
