package acceptor

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// event is a decision about a connection or a request.
type event int

const (
	acceptFailed event = iota
	headTooLong
	headMemoryFull
	headTimedOut
	headMalformed
	responseNotRead
	requestPipelined
	eventCount
)

// eventNames are the names of the events in metrics and logs.
var eventNames = [eventCount]string{
	"acceptFailed", "closedHeadTooLong", "closedHeadMemory", "closedHeadTimeout",
	"closedMalformed", "closedNotRead", "pipelined",
}

// logInterval is the minimum time between two log lines of one event, because clients
// can cause thousands of events a second.
const logInterval = time.Second

// events counts and logs events. It is safe for concurrent use.
type events struct {
	log      *logrus.Logger
	now      func() time.Time
	counters [eventCount]metrics.Counter

	mu      sync.Mutex
	last    [eventCount]time.Time
	skipped [eventCount]int
}

func newEvents(log *logrus.Logger, registry metrics.Registry, now func() time.Time) *events {
	ev := &events{log: log, now: now}
	for nn := range ev.counters {
		ev.counters[nn] = metrics.GetOrRegisterCounter("clients."+eventNames[nn], registry)
	}
	return ev
}

// record counts the event. It logs all events but pipelined requests, which are usual,
// at most once in logInterval.
func (ev *events) record(what event) {
	ev.counters[what].Inc(1)
	if what == requestPipelined {
		return
	}
	now := ev.now()
	ev.mu.Lock()
	if now.Sub(ev.last[what]) < logInterval {
		ev.skipped[what]++
		ev.mu.Unlock()
		return
	}
	skipped := ev.skipped[what]
	ev.last[what], ev.skipped[what] = now, 0
	ev.mu.Unlock()
	ev.log.WithFields(logrus.Fields{"event": eventNames[what], "more": skipped}).
		Warn("client connection")
}
