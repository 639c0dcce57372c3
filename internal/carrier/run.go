package carrier

import (
	"time"

	"github.com/guavastall/guavastall/internal/admitter"
)

// run is a request that the target is working on.
type run struct {
	// repeat is true if another target received the request earlier.
	repeat bool
	// returning is true if the client was refused before.
	returning bool
	// calls is the number of calls that the target has made for the request.
	calls int
	// expected is the average processing time of such requests across all
	// targets.
	expected time.Duration
	began    time.Time
	// slowness is the gate's meter at the start of the run. The gate gets a new one
	// when its target is replaced.
	slowness *admitter.SlownessMeter
}

// countCall counts a call that the target makes for the run with the given ID. It
// returns the run and whether there is one.
func (ga *Gate) countCall(id string) (run, bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ru := ga.runs[id]
	if ru == nil {
		return run{}, false
	}
	ru.calls++
	return *ru, true
}

// beginRun records that the target starts to work on the request. expected is the
// usual processing time, or zero if it is unknown.
func (ga *Gate) beginRun(rq *request, expected time.Duration) *run {
	now := ga.now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ru := &run{
		repeat: rq.repeat, returning: rq.returning, expected: expected, began: now,
		slowness: ga.slowness,
	}
	ru.slowness.Begin(expected, now)
	ga.runs[rq.id] = ru
	return ru
}

// endRun records that the target has finished the request and whether the
// response was good. It returns the number of calls that the run made.
func (ga *Gate) endRun(rq *request, ru *run, good bool) int {
	now := ga.now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ru.slowness.End(ru.expected, good, ru.began, now)
	if ga.runs[rq.id] == ru {
		delete(ga.runs, rq.id)
	}
	return ru.calls
}
