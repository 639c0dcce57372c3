package admitter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func request(rank Rank, now time.Time) Request {
	return Request{
		Rank: rank, Objective: now.Add(400 * time.Millisecond), Usual: 400 * time.Millisecond,
		Deadline: now.Add(1500 * time.Millisecond), Work: 100 * time.Millisecond,
	}
}

// newFullQueue returns a queue whose only slot is in use, and the ticket that
// holds it.
func newFullQueue() (*Queue[int], *Ticket[int]) {
	qu := New[int](1)
	ti, verdict, _ := qu.Offer(request(First, epoch), 0, epoch)
	if verdict != Admitted {
		panic("request refused although a slot is free")
	}
	return qu, ti
}

func TestUrgentFirst(t *testing.T) {
	qu, running := newFullQueue()
	var order []int
	for value, rank := range []Rank{Third, Second, First, Nested} {
		_, verdict, _ := qu.Offer(request(rank, epoch), value, epoch)
		assert.Equal(t, Waiting, verdict)
	}
	for range 4 {
		for _, ti := range qu.Done(running, 0, epoch).Admitted {
			order = append(order, ti.Value)
			running = ti
		}
	}
	assert.Equal(t, []int{3, 2, 1, 0}, order)
}

func TestRetriedFirst(t *testing.T) {
	qu, running := newFullQueue()
	qu.Offer(request(First, epoch), 1, epoch)
	re := request(First, epoch)
	re.Retried = true
	qu.Offer(re, 2, epoch)
	ch := qu.Done(running, 0, epoch)
	assert.Equal(t, 2, ch.Admitted[0].Value)
}

func TestRefusesWhatWouldBeLate(t *testing.T) {
	qu, _ := newFullQueue()
	waiting := 0
	for {
		ti, verdict, _ := qu.Offer(request(First, epoch), 0, epoch)
		if verdict == Refused {
			assert.GreaterOrEqual(t, qu.RetryAfter(ti.Rank, epoch), 300*time.Millisecond)
			break
		}
		waiting++
	}
	assert.Equal(t, 3, waiting, "100 ms each, 400 ms to the objective")
}

func TestUrgentEvictsLessUrgent(t *testing.T) {
	qu, _ := newFullQueue()
	for value := range 3 {
		qu.Offer(request(Third, epoch), value, epoch)
	}
	var out []int
	for range 4 {
		_, verdict, ch := qu.Offer(request(First, epoch), 9, epoch)
		if verdict != Waiting {
			break
		}
		for _, ti := range ch.Refused {
			out = append(out, ti.Value)
		}
	}
	assert.NotEmpty(t, out, "the newest requests can no longer start in time")
	assert.Equal(t, 2, out[0], "the newest request is evicted first")
}

func TestSlowTargetRefusesInTime(t *testing.T) {
	qu, _ := newFullQueue()
	qu.Offer(request(First, epoch), 7, epoch)
	assert.Empty(t, qu.Advance(at(300)).Refused)
	refused := qu.Advance(at(600)).Refused
	assert.Len(t, refused, 1, "the target has not completed a request")
	assert.Zero(t, qu.Len())
}

func TestColdRate(t *testing.T) {
	qu := New[int](18)
	qu.SetColdRate(30)
	qu.SetCold(epoch.Add(3 * time.Second))
	admitted := make([]int, 40)
	for tick := range 40 { // 4 s, 200 requests a second
		now := at(100 * tick)
		running := qu.Advance(now).Admitted
		for range 20 {
			ti, verdict, _ := qu.Offer(request(First, now), 0, now)
			if verdict == Admitted {
				running = append(running, ti)
			}
		}
		for ; len(running) > 0; running = running[1:] {
			admitted[tick]++
			running = append(running, qu.Done(running[0], 0, now).Admitted...)
		}
	}
	for from := 0; from+10 <= 30; from++ {
		sum := 0
		for _, count := range admitted[from : from+10] {
			sum += count
		}
		assert.LessOrEqual(t, sum, 30+1, "second at tick %d", from)
	}
	assert.Greater(t, admitted[35], 10, "warm")
}

func TestColdIsNotShortened(t *testing.T) {
	qu := New[int](1)
	qu.SetCold(at(3000))
	qu.SetCold(at(1000))
	assert.True(t, qu.Cold(at(2000)))
	qu.ClearCold()
	assert.False(t, qu.Cold(at(2000)))
}

// After the node restarts while its target is cold, the cold rate counts as used
// up for a second.
func TestHold(t *testing.T) {
	qu := New[int](18)
	qu.SetColdRate(30)
	qu.Hold(epoch)
	assertHeld(t, qu)
}

// The hold also applies if the cold rate becomes known after the restart.
func TestHoldBeforeRate(t *testing.T) {
	qu := New[int](18)
	qu.Hold(epoch)
	qu.SetColdRate(30)
	assertHeld(t, qu)
}

// assertHeld checks that the queue admits nothing to its cold target within a
// second of the epoch, and admits a request afterwards.
func assertHeld(t *testing.T, qu *Queue[int]) {
	t.Helper()
	qu.SetCold(at(3000))
	_, verdict, _ := qu.Offer(request(First, epoch), 0, epoch)
	assert.NotEqual(t, Admitted, verdict)
	_, verdict, _ = qu.Offer(request(First, at(1001)), 0, at(1001))
	assert.Equal(t, Admitted, verdict)
}

// Requests that are sent long after their admission, for example because a
// connection had to be opened first, count from the time at which they are sent.
func TestColdRateCountsSends(t *testing.T) {
	const rate = 5
	qu := New[int](18)
	qu.SetColdRate(rate)
	qu.SetCold(at(5000))
	for range rate {
		ti, verdict, _ := qu.Offer(request(First, epoch), 0, epoch)
		assert.Equal(t, Admitted, verdict)
		qu.Sent(ti, at(300))
		qu.Done(ti, 0, at(400))
	}
	_, verdict, _ := qu.Offer(request(First, at(1100)), 0, at(1100))
	assert.NotEqual(t, Admitted, verdict, "the target received five requests at 300 ms")
	assert.Len(t, qu.Advance(at(1300)).Admitted, 1)
}

func TestLeaveAndClear(t *testing.T) {
	qu, _ := newFullQueue()
	one, _, _ := qu.Offer(request(First, epoch), 1, epoch)
	qu.Offer(request(First, epoch), 2, epoch)
	assert.True(t, qu.Leave(one))
	assert.False(t, qu.Leave(one))
	assert.Len(t, qu.Clear(), 1)
	assert.Zero(t, qu.Len())
}

// LatestStart returns the bound on the wait that Offer applies.
func TestLatestStart(t *testing.T) {
	for _, re := range []Request{
		request(First, epoch),
		{Objective: epoch, Usual: 400 * time.Millisecond, Deadline: at(1500), Work: 100},
		{Objective: at(400), Usual: 400 * time.Millisecond, Deadline: at(120),
			Work: 100 * time.Millisecond},
	} {
		qu, _ := newFullQueue()
		wait := LatestStart(re, epoch).Sub(epoch)
		qu.runningWork = wait
		_, verdict, _ := qu.Offer(re, 0, epoch)
		assert.Equal(t, Waiting, verdict)
		qu.Clear()
		qu.runningWork = wait + time.Millisecond
		_, verdict, _ = qu.Offer(re, 0, epoch)
		assert.Equal(t, Refused, verdict)
	}
}
