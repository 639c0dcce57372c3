package limiter

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/asserter"
)

// admission is what the simulation drives: the limiter or a fixed limit.
type admission interface {
	Offer(now time.Time) bool
	Done(re Result, now time.Time)
	Observe(hi Hint, now time.Time)
}

// fixed is the baseline: a limit that never changes.
type fixed struct{ limit, inFlight int }

func (fi *fixed) Offer(time.Time) bool {
	if fi.inFlight >= fi.limit {
		return false
	}
	fi.inFlight++
	return true
}
func (fi *fixed) Done(Result, time.Time)  { fi.inFlight-- }
func (fi *fixed) Observe(Hint, time.Time) {}

// target is a simulated target. Its capacity grows from cold to slots within
// warmUp of each cold start. Over its capacity its latency grows with the square
// of the excess, and calls over timeout fail.
type target struct {
	slots, cold  float64
	warmUp       time.Duration
	coldAt       []time.Duration
	latency      time.Duration
	shed, hints  bool
	rate         float64
	length       time.Duration
	slowdownAt   time.Duration // a dependency becomes 2.5 times slower; zero is never
	lyingHints   bool
	failureShare float64
}

// callTimeout bounds a simulated call.
const callTimeout = time.Second

func (ta *target) capacity(at time.Duration) float64 {
	since := at
	for _, cold := range ta.coldAt {
		if at >= cold {
			since = at - cold
		}
	}
	return ta.cold + (ta.slots-ta.cold)*min(1, float64(since)/float64(ta.warmUp))
}

type ending struct {
	at time.Duration
	re Result
}
type endings []ending

func (en endings) Len() int             { return len(en) }
func (en endings) Less(ii, jj int) bool { return en[ii].at < en[jj].at }
func (en endings) Swap(ii, jj int)      { en[ii], en[jj] = en[jj], en[ii] }
func (en *endings) Push(val any)        { *en = append(*en, val.(ending)) }
func (en *endings) Pop() any {
	last := (*en)[len(*en)-1]
	*en = (*en)[:len(*en)-1]
	return last
}

// figures is what a run measures.
type figures struct{ offered, completed, overload, length float64 }

func (fi *figures) add(other figures) {
	fi.offered += other.offered
	fi.completed += other.completed
	fi.overload += other.overload
	fi.length += other.length
}

// run drives the admission with Poisson arrivals.
func (ta *target) run(ad admission, rng *rand.Rand) figures {
	start := time.Unix(1000, 0)
	var fi figures
	var pending endings
	var at, nextHint time.Duration
	step := func(to time.Duration) {
		if float64(len(pending)) > ta.capacity(at) {
			fi.overload += (to - at).Seconds()
		}
		at = to
	}
	for at < ta.length {
		arrival := at + time.Duration(rng.ExpFloat64()/ta.rate*float64(time.Second))
		for len(pending) > 0 && pending[0].at <= arrival {
			en := heap.Pop(&pending).(ending)
			step(en.at)
			ad.Done(en.re, start.Add(at))
			if en.re.Status == OK {
				fi.completed++
			}
		}
		step(arrival)
		if ta.hints && at >= nextHint {
			hi := Hint{Healthy: true, InFlight: len(pending), Slots: int(ta.slots), Age: 500 * time.Millisecond}
			if ta.lyingHints {
				hi = Hint{Healthy: rng.IntN(2) == 0}
			}
			ad.Observe(hi, start.Add(at))
			nextHint = at + time.Second
		}
		fi.offered++
		if !ad.Offer(start.Add(at)) {
			continue
		}
		re := ta.serve(float64(len(pending)+1), at, rng)
		heap.Push(&pending, ending{at + re.Latency, re})
	}
	fi.length = at.Seconds()
	return fi
}

func (ta *target) serve(busy float64, at time.Duration, rng *rand.Rand) Result {
	capacity := ta.capacity(at)
	excess := max(1, busy/capacity)
	if ta.shed && excess > 1.25 {
		return Result{Status: Shed, Latency: time.Millisecond}
	}
	latency := float64(ta.latency) * (0.5 + 0.5*rng.ExpFloat64()) * excess * excess
	latency *= 1 + (1-capacity/ta.slots)*0.5
	if ta.slowdownAt > 0 && at >= ta.slowdownAt {
		latency *= 2.5
	}
	if latency > float64(callTimeout) {
		return Result{Status: Failed, Latency: callTimeout}
	}
	if rng.Float64() < ta.failureShare {
		return Result{Status: Failed, Latency: time.Duration(latency)}
	}
	return Result{Latency: time.Duration(latency)}
}

func seeds(t *testing.T) int {
	if testing.Short() {
		return 20
	}
	t.Helper()
	return 1000
}

// Guards against a limit that lets a cold target collapse, or that costs more
// calls than it saves, in every class of target.
func TestAgainstFixedLimit(t *testing.T) {
	second := time.Second
	for _, tt := range []struct {
		name   string
		target target
	}{
		{"cold start", target{slots: 20, cold: 2, warmUp: 30 * second, latency: 20 * time.Millisecond, rate: 600, length: 60 * second}},
		{"cold start, sheds", target{slots: 20, cold: 2, warmUp: 30 * second, latency: 20 * time.Millisecond, rate: 600, length: 60 * second, shed: true}},
		{"cold again", target{slots: 20, cold: 2, warmUp: 20 * second, coldAt: []time.Duration{0, 40 * second}, latency: 20 * time.Millisecond, rate: 600, length: 80 * second}},
		{"cold again, hints", target{slots: 20, cold: 2, warmUp: 20 * second, coldAt: []time.Duration{0, 40 * second}, latency: 20 * time.Millisecond, rate: 600, length: 80 * second, hints: true}},
		{"cold again, lying hints", target{slots: 20, cold: 2, warmUp: 20 * second, coldAt: []time.Duration{0, 40 * second}, latency: 20 * time.Millisecond, rate: 600, length: 80 * second, hints: true, lyingHints: true}},
		{"slow calls", target{slots: 10, cold: 2, warmUp: 30 * second, latency: 200 * time.Millisecond, rate: 35, length: 120 * second}},
		{"warm", target{slots: 20, cold: 20, warmUp: second, latency: 20 * time.Millisecond, rate: 700, length: 60 * second}},
		{"warm, low rate", target{slots: 20, cold: 20, warmUp: second, latency: 20 * time.Millisecond, rate: 100, length: 60 * second}},
		{"slow dependency", target{slots: 20, cold: 20, warmUp: second, latency: 20 * time.Millisecond, rate: 200, length: 60 * second, slowdownAt: 20 * second}},
		{"faulty version", target{slots: 20, cold: 20, warmUp: second, latency: 20 * time.Millisecond, rate: 600, length: 60 * second, failureShare: 0.5}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			before := asserter.Violations()
			var adaptive, base figures
			for seed := range seeds(t) {
				cf := Config{Slots: int(tt.target.slots), Connections: 130, Initial: 2}
				adaptive.add(tt.target.run(New(cf), rand.New(rand.NewPCG(1, uint64(seed)))))
				base.add(tt.target.run(&fixed{limit: cf.Slots}, rand.New(rand.NewPCG(1, uint64(seed)))))
			}
			t.Logf("completed %.1f%% (fixed %.1f%%), overload time %.1f%% (fixed %.1f%%)",
				100*adaptive.completed/adaptive.offered, 100*base.completed/base.offered,
				100*adaptive.overload/adaptive.length, 100*base.overload/base.length)
			require.Equal(t, before, asserter.Violations())
		})
	}
}
