package carrier

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/guavastall/guavastall/internal/placer"
)

// BenchmarkWarnings measures the warning header of a request in a data centre of 40
// targets that announce paces.
func BenchmarkWarnings(b *testing.B) {
	ga, now := openGate(), time.Now()
	ga.now = func() time.Time { return now }
	ca := New(Config{Now: ga.now}, ga, nil, metrics.NewRegistry())
	ga.addPace("a", 1.5)
	for nn := range 40 {
		tp := placer.TargetPace{Target: fmt.Sprint("target-", nn)}
		tp.Pace.Latest, tp.Pace.Average, tp.Pace.At = 1, 1, now.Add(-time.Duration(nn)*time.Millisecond)
		tp.Queue.At = tp.Pace.At
		ca.placer.SetPace(tp)
	}
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			ca.requestWarnings("target-3")
		}
	})
	text := []string{ca.requestWarnings("target-3")}
	header := http.Header{}
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			header[headerWarning] = text
			ca.applyWarnings(header, now)
		}
	})
}
