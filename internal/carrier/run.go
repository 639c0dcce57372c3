package carrier

import (
	"time"

	"github.com/guavastall/guavastall/internal/admitter"
)

// run is a request that the target works on.
type run struct {
	// repeat says that an earlier target had the request.
	repeat bool
	// returning says that its client was refused before.
	returning bool
	// calls is the number of calls that the target has made for it.
	calls int
	// expected is the usual time of such a request at all targets.
	expected time.Duration
	began    time.Time
	// pace is the gate's when the run began; another target may have replaced it.
	pace *admitter.Pace
}

// callOf returns the run that the target makes a call for, and whether there is
// one with the ID. It counts the call.
func (ga *Gate) callOf(id string) (run, bool) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ru := ga.runs[id]
	if ru == nil {
		return run{}, false
	}
	ru.calls++
	return *ru, true
}

// begin notes that the target works on the request, which targets usually answer
// in the expected time; zero if that is not known.
func (ga *Gate) begin(rq *request, expected time.Duration) *run {
	now := ga.now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ru := &run{
		repeat: rq.repeat, returning: rq.returning, expected: expected, began: now,
		pace: ga.pace,
	}
	ru.pace.Begin(expected, now)
	ga.runs[rq.id] = ru
	return ru
}

// end notes that the target no longer works on the request, and whether it gave a
// good response. It returns the number of the run's calls.
func (ga *Gate) end(rq *request, ru *run, good bool) int {
	now := ga.now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ru.pace.End(ru.expected, good, ru.began, now)
	if ga.runs[rq.id] == ru {
		delete(ga.runs, rq.id)
	}
	return ru.calls
}
