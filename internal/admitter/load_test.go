package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// simulation runs a target under load in virtual time.
type simulation struct {
	random *rand.Rand
	slots  int
	// perSecond is the number of requests per second of each rank.
	perSecond [Ranks]float64
	work      time.Duration
	duration  time.Duration
}

// outcome counts requests by rank and result.
type outcome struct {
	offered, inTime, late, refused, expired [Ranks]int
	// longestRefused is the longest wait of a request that was refused.
	longestRefused time.Duration
}

type job struct {
	re      Request
	arrived time.Time
}

// policy is a queueing policy under test.
type policy interface {
	offer(jo job, now time.Time) (ti *Ticket[job], verdict Verdict, moved Change[job])
	done(ti *Ticket[job], took time.Duration, now time.Time) Change[job]
}

type queuePolicy struct{ *Queue[job] }

func (qp queuePolicy) offer(
	jo job, now time.Time,
) (*Ticket[job], Verdict, Change[job]) {
	return qp.Offer(jo.re, jo, now)
}

func (qp queuePolicy) done(
	ti *Ticket[job], took time.Duration, now time.Time,
) Change[job] {
	return qp.Done(ti, took, now)
}

// fifo is the baseline policy: first come, first served, until the deadline.
type fifo struct {
	slots, running int
	waiting        []job
}

func (fi *fifo) offer(jo job, _ time.Time) (*Ticket[job], Verdict, Change[job]) {
	if fi.running < fi.slots {
		fi.running++
		return &Ticket[job]{Value: jo}, Admitted, Change[job]{}
	}
	fi.waiting = append(fi.waiting, jo)
	return nil, Waiting, Change[job]{}
}

func (fi *fifo) done(_ *Ticket[job], _ time.Duration, now time.Time) Change[job] {
	fi.running--
	var ch Change[job]
	for len(fi.waiting) > 0 && fi.running < fi.slots {
		jo := fi.waiting[0]
		fi.waiting = fi.waiting[1:]
		ti := &Ticket[job]{Value: jo}
		if now.After(jo.re.Deadline) {
			ch.Refused = append(ch.Refused, ti)
			continue
		}
		fi.running++
		ch.Admitted = append(ch.Admitted, ti)
	}
	return ch
}

func (rp simulation) run(po policy) outcome {
	var out outcome
	type end struct {
		*Ticket[job]
		took time.Duration
	}
	ends := map[int][]end{}
	start := func(ti *Ticket[job], tick int) {
		took := time.Duration(float64(rp.work) * (0.5 + rp.random.Float64()))
		at := tick + int(took.Milliseconds())
		ends[at] = append(ends[at], end{ti, took})
	}
	apply := func(ch Change[job], tick int) {
		for _, ti := range ch.Admitted {
			start(ti, tick)
		}
		for _, ti := range ch.Refused {
			out.refused[ti.Value.re.Rank]++
			out.longestRefused = max(out.longestRefused, at(tick).Sub(ti.Value.arrived))
		}
	}
	for tick := range int(rp.duration.Milliseconds()) {
		now := at(tick)
		for _, en := range ends[tick] {
			jo := en.Value
			switch {
			case !now.After(jo.re.Objective):
				out.inTime[jo.re.Rank]++
			case !now.After(jo.re.Deadline):
				out.late[jo.re.Rank]++
			default:
				out.expired[jo.re.Rank]++
			}
			apply(po.done(en.Ticket, en.took, now), tick)
		}
		delete(ends, tick)
		for ra, rate := range rp.perSecond {
			if rp.random.Float64() >= rate/1000 {
				continue
			}
			jo := job{request(Rank(ra), now), now}
			out.offered[ra]++
			ti, verdict, ch := po.offer(jo, now)
			switch verdict {
			case Admitted:
				start(ti, tick)
			case Refused:
				out.refused[ra]++
			case Waiting:
			}
			apply(ch, tick)
		}
	}
	return out
}

func overload() simulation {
	return simulation{
		random: rand.New(rand.NewPCG(5, 6)), slots: 9, work: 100 * time.Millisecond,
		// The capacity is 90 requests per second.
		perSecond: [Ranks]float64{10, 0, 30, 100}, duration: 20 * time.Second,
	}
}

// At about 1.5 times the capacity, urgent requests meet their objective and the
// slots go to requests that do, whereas a FIFO queue makes most responses
// late.
func TestOverload(t *testing.T) {
	got := overload().run(queuePolicy{New[job](9)})
	naive := overload().run(&fifo{slots: 9})
	for _, ra := range []Rank{Nested, Second} {
		assert.GreaterOrEqual(t, got.inTime[ra], got.offered[ra]*97/100, "rank %d", ra)
	}
	total := func(counts [Ranks]int) int {
		sum := 0
		for _, count := range counts {
			sum += count
		}
		return sum
	}
	assert.Greater(t, total(got.inTime), 3*total(naive.inTime))
	assert.Zero(t, total(got.expired))
	assert.Greater(t, total(got.inTime)+total(got.late), 85*20, "the slots are in use")
}

// Requests are refused long before their deadline.
func TestOverloadRefusesEarly(t *testing.T) {
	got := overload().run(queuePolicy{New[job](9)})
	assert.LessOrEqual(t, got.longestRefused, 600*time.Millisecond, "of 1.5 s")
}

// coldPolicy records the admissions to a target that stays cold.
type coldPolicy struct {
	queuePolicy
	starts []time.Time
}

func (cp *coldPolicy) offer(jo job, now time.Time) (*Ticket[job], Verdict, Change[job]) {
	moved := cp.Advance(now)
	ti, verdict, ch := cp.queuePolicy.offer(jo, now)
	ch.Admitted = append(moved.Admitted, ch.Admitted...)
	ch.Refused = append(moved.Refused, ch.Refused...)
	if verdict == Admitted {
		cp.starts = append(cp.starts, now)
	}
	cp.recordStarts(ch, now)
	return ti, verdict, ch
}

func (cp *coldPolicy) done(ti *Ticket[job], took time.Duration, now time.Time) Change[job] {
	ch := cp.queuePolicy.done(ti, took, now)
	cp.recordStarts(ch, now)
	return ch
}

func (cp *coldPolicy) recordStarts(ch Change[job], now time.Time) {
	for range ch.Admitted {
		cp.starts = append(cp.starts, now)
	}
}

// After a power loss all targets are cold and receive more requests than they can
// handle. Applying the factor and half of the slack to the cold rate serves more of
// them, and no one-second window exceeds the resulting rate.
func TestColdTargetAfterPowerLoss(t *testing.T) {
	const rate, factor, slack = 13.0, 1.5, 5.0
	served := func(rate float64) int {
		qu := New[job](18)
		qu.SetColdRate(rate)
		qu.SetCold(epoch.Add(time.Hour))
		po := &coldPolicy{queuePolicy: queuePolicy{qu}}
		got := simulation{
			random: rand.New(rand.NewPCG(3, 4)), slots: 18, work: 200 * time.Millisecond,
			perSecond: [Ranks]float64{10, 0, 10, 20}, duration: 10 * time.Second,
		}.run(po)
		for nn, first := range po.starts {
			count := 0
			for _, start := range po.starts[nn:] {
				if start.Sub(first) < time.Second {
					count++
				}
			}
			assert.LessOrEqual(t, float64(count), rate, "second from %s", first)
		}
		sum := 0
		for ra := range got.inTime {
			sum += got.inTime[ra] + got.late[ra]
		}
		return sum
	}
	withFactor := float64(served(rate * factor))
	assert.GreaterOrEqual(t, withFactor, 1.35*float64(served(rate)))
	assert.GreaterOrEqual(t, float64(served(rate*factor+slack/2)), 1.1*withFactor)
}
