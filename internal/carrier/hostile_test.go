package carrier

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/placer"
)

// Guards against figures of a faulty node that overflow: its target would look best.
func TestHugeLoadIsNotAttractive(t *testing.T) {
	now := time.Now()
	huge := "9223372036854775807"
	re := decodeLoad(strings.TrimSpace(strings.Repeat(huge+" ", loadFields)))
	require.NotNil(t, re)
	ca := New(Config{Now: func() time.Time { return now }}, openGate(), nil, metrics.NewRegistry())
	ca.placer.Begin("bad", 0)
	ca.placer.End("bad", "other", re, now)
	var targets []placer.Target
	for nn, id := range []string{"bad", "good"} {
		targets = append(targets, placer.Target{
			ID: id, Slots: 18, DataCentre: "dc",
			Node: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(nn + 1)}), 1),
		})
	}
	rq := placer.Request{DataCentre: "dc", Route: "r", Objective: time.Second}
	for range 20 {
		ch, _ := ca.placer.Pick(targets, rq, now)
		assert.Equal(t, "good", ch.Target.ID)
	}
}

// Guards against an old warning that becomes new by overflow, and against warnings that
// never age because nodes pass them on faster than the unit of their age.
func TestAgeOfWarnings(t *testing.T) {
	now := time.Now()
	slow := "c %d 1 18 250 0 0 0 500 0 0 0 0"
	clock := func() time.Time { return now }
	var nodes [2]*Carrier
	for nn := range nodes {
		nodes[nn] = New(Config{Now: clock}, openGate(), nil, metrics.NewRegistry())
		nodes[nn].gate.now = clock
	}
	old := strings.Replace(slow, "%d", "18446744073710", 1) // overflows to 448 µs
	nodes[0].applyWarnings(http.Header{headerWarning: {old}}, now)
	assert.Empty(t, nodes[0].requestWarnings("a"))

	text := strings.Replace(slow, "%d", "0", 1)
	for nn := range 3000 {
		now = now.Add(time.Millisecond)
		nodes[nn%2].applyWarnings(http.Header{headerWarning: {text}}, now)
		if text = nodes[nn%2].requestWarnings("a"); text == "" {
			break
		}
	}
	assert.Empty(t, text, "passed on for 3 s")
}

// Guards against a target whose response claims, in the headers that nodes use between
// them, that a request has not run, so that it would run twice.
func TestTargetCannotSpeakForItsNode(t *testing.T) {
	rs := &result{response: &response{status: http.StatusOK, header: http.Header{
		headerRefused: {"overloaded 0"}, headerUnknown: {"x"}, headerWarning: {"x"},
		headerLoad: {"x"}, headerLink: {"1 1"}, "Kept": {"yes"},
	}}}
	w := httptest.NewRecorder()
	w.Header()[headerLoad] = []string{"of the node"}
	writeResponse(w, rs.response)
	assert.Equal(t, "of the node", w.Header().Get(headerLoad))
	assert.Equal(t, "yes", w.Header().Get("Kept"))
	for _, name := range []string{headerRefused, headerUnknown, headerWarning, headerLink} {
		assert.Empty(t, w.Header().Get(name), name)
	}
}
