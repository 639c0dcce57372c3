package meshrunner

import (
	"fmt"
	"io"
	"net/http"
	"sort"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the reported quantiles of histograms.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// metricsHandler serves counters, gauges and histograms as text, one value per
// line.
func (ru *Runner) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		ru.writeMetrics(w)
	})
}

func (ru *Runner) writeMetrics(w io.Writer) {
	var lines []string
	ru.Metrics.Each(func(name string, value any) {
		switch me := value.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, me.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, me.Value()))
		case metrics.Histogram:
			sn := me.Snapshot()
			lines = append(lines, fmt.Sprintf("%s.count %d", name, sn.Count()))
			for nn, value := range sn.Percentiles(quantiles) {
				lines = append(lines, fmt.Sprintf("%s.p%g %.0f", name, 100*quantiles[nn], value))
			}
		}
	})
	running, waiting := ru.gate.RequestCounts()
	lines = append(lines, fmt.Sprintf("gate.running %d", running),
		fmt.Sprintf("gate.waiting %d", waiting))
	if vi := ru.carrier.View(); vi != nil {
		lines = append(lines, fmt.Sprintf("mesh.nodes %d", len(vi.Nodes)),
			fmt.Sprintf("config.version %d", vi.Config.Version))
	}
	sort.Strings(lines)
	for _, line := range lines {
		// A failed write means that the client has disconnected.
		if _, err := fmt.Fprintln(w, line); err != nil {
			return
		}
	}
}
