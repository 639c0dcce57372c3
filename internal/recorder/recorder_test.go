package recorder

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/pkg/checker"
)

func newLogger(out io.Writer, level logrus.Level) *logrus.Logger {
	lo := logrus.New()
	lo.SetOutput(out)
	lo.SetLevel(level)
	return lo
}

func count(registry metrics.Registry, name string) int64 {
	counter, ok := registry.Get("decisions." + name).(metrics.Counter)
	if !ok {
		return 0
	}
	return counter.Count()
}

// Guards against uncounted decisions, and against more or fewer lines at info
// level than the first of each kind per second.
func TestSampling(t *testing.T) {
	var out bytes.Buffer
	registry := metrics.NewRegistry()
	now := time.Unix(1000, 0)
	re := New(newLogger(&out, logrus.InfoLevel), registry, func() time.Time { return now })
	for range 3 {
		for range 100 {
			re.Record(Decision{Name: "attempt", Result: "sent", Call: "c"})
			re.Record(Decision{Name: "attempt", Result: "failed"})
		}
		now = now.Add(time.Second)
	}
	require.Equal(t, int64(300), count(registry, "attempt.sent"))
	require.Equal(t, int64(300), count(registry, "attempt.failed"))
	require.Equal(t, 6, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), "call=c")
}

// Guards against missing per-call lines at debug level, and against lines at
// levels above info.
func TestLevels(t *testing.T) {
	for level, want := range map[logrus.Level]int{
		logrus.DebugLevel: 5, logrus.InfoLevel: 1, logrus.WarnLevel: 0,
	} {
		var out bytes.Buffer
		registry := metrics.NewRegistry()
		re := New(newLogger(&out, level), registry, func() time.Time { return time.Unix(1, 0) })
		for number := range 5 {
			re.Record(Decision{
				Name: "retry", Result: "again", Service: "tag", Route: "scan", Number: number + 1,
				Node: checker.NodeID{}, Detail: "refused",
			})
		}
		require.Equal(t, want, strings.Count(out.String(), "\n"))
		require.Equal(t, int64(5), count(registry, "retry.again"))
		require.NotContains(t, out.String(), "node=")
	}
}

// Guards against an unbounded number of counters when results do not come from a
// fixed set, and against lost counts with concurrent callers.
func TestBoundAndConcurrency(t *testing.T) {
	registry := metrics.NewRegistry()
	re := New(newLogger(io.Discard, logrus.InfoLevel), registry, time.Now)
	var wg sync.WaitGroup
	var total atomic.Int64
	for range 8 {
		wg.Go(func() {
			for nn := range 2 * maxSeries {
				re.Record(Decision{Name: "free", Result: fmt.Sprint(nn)})
				total.Add(1)
			}
		})
	}
	wg.Wait()
	sum, series := int64(0), 0
	registry.Each(func(_ string, value any) {
		series++
		sum += value.(metrics.Counter).Count()
	})
	require.LessOrEqual(t, series, maxSeries+1)
	require.Equal(t, total.Load(), sum)
	require.Positive(t, count(registry, "other.other"))
}

// BenchmarkRecord measures the cost of a decision at each log level.
func BenchmarkRecord(b *testing.B) {
	de := Decision{
		Name: "attempt", Result: "sent", Call: "abc-1", Service: "tag", Route: "scan", Number: 1,
	}
	for _, level := range []logrus.Level{logrus.WarnLevel, logrus.InfoLevel, logrus.DebugLevel} {
		b.Run(level.String(), func(b *testing.B) {
			re := New(newLogger(io.Discard, level), metrics.NewRegistry(), time.Now)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					re.Record(de)
				}
			})
		})
	}
}
