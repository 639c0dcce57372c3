package carrier

import (
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"

	"github.com/guavastall/guavastall/internal/placer"
	"github.com/guavastall/guavastall/internal/retrier"
)

// Guards against a pace that outlives its incarnation or its age, and against expected
// times that change although the target announces no valid pace.
func TestPaceOfTarget(t *testing.T) {
	ga, now := openGate(), time.Now()
	ga.now = func() time.Time { return now }
	ca := New(Config{
		Now: ga.now, Names: Names{Load: "Load"},
		Pace: func(text string) (float64, bool) { return 2.5, text == "good" },
	}, ga, nil, metrics.NewRegistry())
	respond := func(load string, outcome retrier.Outcome) float64 {
		re, start := &response{header: http.Header{"Load": {load}}}, ga.pace().Pace
		return ca.recordPace(&result{outcome: outcome}, re, &admission{target: "a"}, &start)
	}
	rq := requestFor("a")
	ca.recordProcessingTime("r", 500*time.Millisecond, respond("bad", retrier.Answered))
	assert.Equal(t, 500*time.Millisecond, ca.expectedProcessingTime(rq))
	assert.Empty(t, ca.responseWarnings(rq, &result{report: ga.load()}, false), "no pace to tell")
	assert.Zero(t, respond("good", retrier.NotRun), "another target answered")
	ca.recordProcessingTime("r", 250*time.Millisecond, respond("good", retrier.Answered))
	assert.Equal(t, 250*time.Millisecond, ca.expectedProcessingTime(rq))
	ca.placer.Begin("a", 0)
	ca.placer.End("a", "r", &placer.Report{Took: 100 * time.Millisecond, RunPace: 1}, now)
	assert.Equal(t, 250*time.Millisecond, ca.observedProcessingTime("r"), "slow as announced")
	now = now.Add(time.Minute)
	assert.Equal(t, 475*time.Millisecond, ca.expectedProcessingTime(rq), "an old pace")
	respond("good", retrier.Answered)
	assert.Equal(t, 250*time.Millisecond, ca.expectedProcessingTime(rq))
	ga.Heartbeat(heartbeat("b", 3))
	assert.Equal(t, 475*time.Millisecond, ca.expectedProcessingTime(rq), "another target")
	respond("good", retrier.Answered)
	assert.Zero(t, ga.pace().Pace, "the response of the target before")
}

// A node learns the paces that another one passes on, ignores malformed ones, and sends
// none across data centres but the one of the responding target.
func TestPacesBetweenNodes(t *testing.T) {
	now := time.Now()
	clock := func() time.Time { return now }
	from := New(Config{Now: clock}, openGate(), nil, metrics.NewRegistry())
	to := New(Config{Now: clock}, openGate(), nil, metrics.NewRegistry())
	from.gate.now = clock
	from.gate.addPace("a", 1.5)
	other := placer.TargetPace{Target: "c", Queue: placer.QueueState{Running: 3, At: now}}
	other.Pace.Latest, other.Pace.Average, other.Pace.At = 0.55, 0.7, now.Add(-20*time.Millisecond)
	from.placer.SetPace(other)
	rq, rs := requestFor("a"), &result{report: from.gate.load()}
	rs.report.RunPace = 1.25
	assert.Equal(t, "= p150 150 0 125", from.responseWarnings(rq, rs, false))
	rq.sameDataCentre = true
	text := from.responseWarnings(rq, rs, false) + ";d p1;e p0 1 1 1 1 0 0 0 0;f p1 1 -1 1 1 0 0 0 0"
	own, run := to.applyWarnings(http.Header{headerWarning: {text}}, now)
	assert.Equal(t, 1.5, own.Latest)
	assert.Equal(t, 1.25, run)
	assert.Equal(t, "c p55 70 23 3 3 0 0 0 0", to.requestWarnings("a"))
	assert.Equal(t, "a p150 150 0 0 0 0 0 0 0", from.requestWarnings("c"), "own pace first")
}
