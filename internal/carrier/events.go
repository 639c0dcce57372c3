package carrier

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/guavastall/guavastall/internal/retrier"
)

// reservoirSize and reservoirAlpha are the usual parameters of an exponentially
// decaying reservoir.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// instruments are the counters and histograms of a carrier.
type instruments struct {
	served, refused, unknown, failed, refusedLocally, refusedLink metrics.Counter
	// hedged counts the second attempts of requests whose first was late, and
	// hedgeWon those that responded first.
	hedged, hedgeWon metrics.Counter
	// latency is the time from arrival to response, and targetLatency the part of
	// it spent at the target, both in microseconds.
	latency, targetLatency metrics.Histogram
	// targetPace is the last pace that the local target announced, in percent of the
	// usual one; zero if it has announced none.
	targetPace metrics.Gauge
}

func newInstruments(re metrics.Registry) instruments {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, re,
			metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter(name, re)
	}
	return instruments{
		served: counter("requests.served"), refused: counter("requests.refused"),
		unknown: counter("requests.unknown"), failed: counter("requests.failed"),
		refusedLocally: counter("gate.refused"), refusedLink: counter("link.refused"),
		hedged: counter("requests.hedged"), hedgeWon: counter("requests.hedgeWon"),
		latency:       histogram("requests.latencyMicros"),
		targetLatency: histogram("target.latencyMicros"),
		targetPace:    metrics.GetOrRegisterGauge("target.pace", re),
	}
}

func (in *instruments) recordRequest(rs *result, served bool, took time.Duration) {
	in.latency.Update(took.Microseconds())
	switch {
	case served:
		in.served.Inc(1)
	case rs.outcome == retrier.NotRun:
		in.refused.Inc(1)
	case rs.outcome == retrier.Unknown:
		in.unknown.Inc(1)
	default:
		in.failed.Inc(1)
	}
}

// logEvent logs a decision about a request if the log wants it.
func (ca *Carrier) logEvent(failed bool, name string, rq *request, fields func() map[string]any) {
	if !ca.log.Wants(rq.id, failed, ca.config.Now()) {
		return
	}
	ca.log.Event(Event{Name: name, ID: rq.id, Failed: failed, Fields: fields()})
}

// requestFields returns the log fields for the end of a request.
func requestFields(
	rq *request, vi *View, rs *result, took time.Duration,
) map[string]any {
	fields := map[string]any{
		"outcome": rs.outcome.String(), "tookMs": took.Milliseconds(),
		"leftMs": rq.deadline.Sub(rq.arrived).Milliseconds(),
	}
	if vi != nil {
		fields["config"] = vi.Config.Version
	}
	if rq.route != nil {
		fields["route"], fields["priority"] = rq.route.Name, rq.route.Priority
	}
	if rq.target != "" {
		fields["target"] = rq.target
	}
	if rq.targetPace > 0 {
		fields["pace"] = rq.targetPace
	}
	if rq.inner {
		fields["inner"] = true
	}
	if rq.returning {
		fields["returning"] = true
	}
	if rs.response != nil {
		fields["status"] = rs.response.status
	} else {
		fields["kind"], fields["detail"] = rs.kind.String(), rs.detail
		fields["retryMs"] = rs.retryAfter.Milliseconds()
	}
	return fields
}
