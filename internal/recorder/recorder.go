// Package recorder counts and logs routing decisions.
//
// Every decision is counted in a metrics registry and logged at debug level. At
// info level only the first decision of each kind per second is logged, because
// one line per call costs too much at the rate the node is designed for.
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

// Decision is a routing or placement decision.
type Decision struct {
	// Name is what was decided, such as "attempt", "retry" or "reject". It is
	// part of the counter's name and must come from a small fixed set.
	Name string
	// Result is how it was decided, such as an outcome or an error kind.
	// It must come from a small fixed set too.
	Result string
	// Call identifies the call. It is empty if the decision concerns no call.
	Call    string
	Service checker.Service
	Route   string
	// Node is the chosen node, or the zero value if none was chosen.
	Node checker.NodeID
	// Number is the number of the attempt within the call, starting at 1.
	Number int
	// Detail is a human-readable explanation.
	Detail string
}

// maxSeries bounds the number of counters in case a name or result does not come
// from a fixed set. Further decisions share one counter.
const maxSeries = 512

type seriesKey struct {
	name, result string
}

// series counts the decisions with one name and result.
type series struct {
	count metrics.Counter
	// second is the Unix time, in seconds, of the last sampled line.
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

// New returns a recorder that logs to lo and counts in re.
func New(lo *logrus.Logger, re metrics.Registry, now func() time.Time) *Recorder {
	return &Recorder{logger: lo, registry: re, now: now, series: map[seriesKey]*series{}}
}

// Record counts the decision, and logs it if the log level or the sampling allows
// it.
func (re *Recorder) Record(de Decision) {
	se := re.findOrCreate(seriesKey{de.Name, de.Result})
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

// findOrCreate returns the series of the key, or the shared one if there are too
// many.
func (re *Recorder) findOrCreate(key seriesKey) *series {
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

// entry builds the log entry. Empty fields are left out.
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
