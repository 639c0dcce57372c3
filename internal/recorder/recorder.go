// Package recorder is the decision log.
//
// Every decision is counted in a metrics registry. Its log line is written at
// debug level; at info level only the first of each kind per second is written,
// because a line per call costs too much at the design rate.
package recorder

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Decision is one routing or placement decision.
type Decision struct {
	// Name is what was decided, such as "attempt", "retry" or "reject". It
	// names the counter, so it comes from a small fixed set.
	Name string
	// Result is how it was decided, such as an outcome or an error kind; from
	// a small fixed set too.
	Result string
	// Call identifies the call; empty if the decision concerns no call.
	Call string
	// Service is the service concerned.
	Service checker.Service
	// Route is the route concerned.
	Route string
	// Node is the node chosen; the zero value if none was.
	Node checker.NodeID
	// Number counts the attempts of the call, from 1.
	Number int
	// Detail says more, for people.
	Detail string
}

// maxSeries bounds the counters, in case a name or result is not from a fixed
// set. Decisions beyond it are counted together.
const maxSeries = 512

type seriesKey struct {
	name, result string
}

// series counts the decisions of one name and result.
type series struct {
	count metrics.Counter
	// second is the last second, since the Unix epoch, that a line was
	// sampled in.
	second atomic.Int64
}

// Recorder counts and logs decisions. It is safe for concurrent use.
type Recorder struct {
	logger   *logrus.Logger
	registry metrics.Registry
	now      func() time.Time

	mu     sync.RWMutex
	series map[seriesKey]*series
}

// New returns a recorder that writes to the logger and counts in the registry.
func New(lo *logrus.Logger, re metrics.Registry, now func() time.Time) *Recorder {
	return &Recorder{logger: lo, registry: re, now: now, series: map[seriesKey]*series{}}
}

// Record counts the decision and writes its line if the level or the sampling
// asks for it.
func (re *Recorder) Record(de Decision) {
	se := re.find(seriesKey{de.Name, de.Result})
	se.count.Inc(1)
	if re.logger.IsLevelEnabled(logrus.DebugLevel) {
		re.entry(de).Debug(de.Name)
		return
	}
	if !re.logger.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	second := re.now().Unix()
	last := se.second.Load()
	if last == second || !se.second.CompareAndSwap(last, second) {
		return
	}
	re.entry(de).WithField("count", se.count.Count()).Info(de.Name)
}

func (re *Recorder) find(key seriesKey) *series {
	re.mu.RLock()
	se := re.series[key]
	re.mu.RUnlock()
	if se != nil {
		return se
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	if se = re.series[key]; se != nil {
		return se
	}
	if len(re.series) >= maxSeries {
		key = seriesKey{"other", "other"}
		if se = re.series[key]; se != nil {
			return se
		}
	}
	name := "decisions." + key.name + "." + key.result
	se = &series{count: metrics.GetOrRegisterCounter(name, re.registry)}
	re.series[key] = se
	return se
}

// entry builds the log entry; fields that say nothing are left out.
func (re *Recorder) entry(de Decision) *logrus.Entry {
	fields := logrus.Fields{"result": de.Result}
	for name, value := range map[string]string{
		"call": de.Call, "service": string(de.Service), "route": de.Route, "detail": de.Detail,
	} {
		if value != "" {
			fields[name] = value
		}
	}
	if de.Node.IsValid() {
		fields["node"] = de.Node.String()
	}
	if de.Number > 0 {
		fields["number"] = strconv.Itoa(de.Number)
	}
	return re.logger.WithFields(fields)
}
