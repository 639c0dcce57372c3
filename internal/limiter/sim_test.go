package limiter

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/asserter"
)

// admission is the interface that the simulation drives, implemented by the
// limiter and by the baselines.
type admission interface {
	TryAcquire(now time.Time) bool
	Release(re Result, now time.Time)
	Observe(hi Hint, now time.Time)
}

// fixed is the baseline with a constant limit.
type fixed struct{ limit, inFlight int }

func (fi *fixed) TryAcquire(time.Time) bool {
	if fi.inFlight >= fi.limit {
		return false
	}
	fi.inFlight++
	return true
}
func (fi *fixed) Release(Result, time.Time) { fi.inFlight-- }
func (fi *fixed) Observe(Hint, time.Time)   {}

// target is a simulated target. Its capacity grows from cold to slots within
// warmUp after each cold start. Above its capacity, its latency grows with the
// square of the excess, and calls that take longer than callTimeout fail.
type target struct {
	slots, cold  float64
	warmUp       time.Duration
	coldAt       []time.Duration
	latency      time.Duration
	shed, hints  bool
	rate         float64
	length       time.Duration
	slowdownAt   time.Duration // a dependency becomes 2.5 times slower; zero is never
	falseHints   bool
	stallsWarmUp bool // does not warm up while it is overloaded
	overloadTime time.Duration
	failureShare float64
}

// callTimeout is the timeout of a simulated call.
const callTimeout = time.Second

var start = time.Unix(1000, 0)

func (ta *target) capacity(at time.Duration) float64 {
	since := at - ta.overloadTime
	for _, cold := range ta.coldAt {
		if at >= cold {
			since = at - cold - ta.overloadTime
		}
	}
	return ta.cold + (ta.slots-ta.cold)*min(1, float64(since)/float64(ta.warmUp))
}

type completion struct {
	at time.Duration
	re Result
}

// oracle is the optimal admission, which knows the capacity of the target.
type oracle struct {
	fixed
	target *target
}

func (or *oracle) TryAcquire(now time.Time) bool {
	or.limit = int(or.target.capacity(now.Sub(start)))
	return or.fixed.TryAcquire(now)
}

// stats holds the measurements of a simulation.
type stats struct{ offered, completed, overload, length float64 }

func (fi *stats) add(other stats) {
	fi.offered += other.offered
	fi.completed += other.completed
	fi.overload += other.overload
	fi.length += other.length
}

// simulate drives the admission with Poisson arrivals.
func (ta *target) simulate(ad admission, rng *rand.Rand) stats {
	var fi stats
	var pending []completion
	ta.overloadTime = 0
	var at, nextHint time.Duration
	step := func(to time.Duration) {
		if float64(len(pending)) > ta.capacity(at) {
			fi.overload += (to - at).Seconds()
			if ta.stallsWarmUp {
				ta.overloadTime += to - at
			}
		}
		at = to
	}
	for at < ta.length {
		arrival := at + time.Duration(rng.ExpFloat64()/ta.rate*float64(time.Second))
		for len(pending) > 0 && pending[0].at <= arrival {
			en := pending[0]
			pending = pending[1:]
			step(en.at)
			ad.Release(en.re, start.Add(at))
			if en.re.Status == OK {
				fi.completed++
			}
		}
		step(arrival)
		if ta.hints && at >= nextHint {
			hi := Hint{Healthy: true, InFlight: len(pending), Slots: int(ta.slots), Age: 500 * time.Millisecond}
			if ta.falseHints {
				hi = Hint{Healthy: rng.IntN(2) == 0}
			}
			if len(ta.coldAt) > 0 && at-ta.coldAt[len(ta.coldAt)-1] < 2*time.Second && at >= ta.coldAt[len(ta.coldAt)-1] {
				hi.InFlight = 0
			}
			ad.Observe(hi, start.Add(at))
			nextHint = at + time.Second
		}
		fi.offered++
		if !ad.TryAcquire(start.Add(at)) {
			continue
		}
		re := ta.serve(float64(len(pending)+1), at, rng)
		nn, _ := slices.BinarySearchFunc(pending, at+re.Latency, func(en completion, end time.Duration) int {
			return cmp.Compare(en.at, end)
		})
		pending = slices.Insert(pending, nn, completion{at + re.Latency, re})
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
		return 5
	}
	t.Helper()
	return 1000
}

// Guards, for each class of target, against a limit that overloads a cold target
// or that loses more calls than it saves.
func TestAgainstFixedLimit(t *testing.T) {
	before := asserter.Violations()
	t.Cleanup(func() { require.Equal(t, before, asserter.Violations()) })
	cold := target{slots: 20, cold: 2, warmUp: 15 * time.Second, latency: 20 * time.Millisecond, rate: 600, length: 30 * time.Second}
	warm := cold
	warm.cold, warm.length = 20, 20*time.Second
	for _, tt := range []struct {
		name           string
		target         target
		change         func(*target)
		gain, overload float64 // bounds relative to the fixed limit
		best           float64 // bound on the completed calls relative to the oracle
	}{
		{"cold start", cold, func(*target) {}, 1, 0.5, 0.95},
		{"cold start, sheds", cold, func(ta *target) { ta.shed = true }, 0.97, 0.5, 0.95},
		{"cold start, thrashes", cold, func(ta *target) { ta.stallsWarmUp = true }, 1, 0.5, 0.85},
		{"colder than the initial limit", cold, func(ta *target) { ta.cold = 1 }, 1, 0.5, 0.95},
		{"colder than the initial limit, thrashes", cold, func(ta *target) { ta.cold, ta.stallsWarmUp = 1, true }, 1, 0.5, 0.7},
		{"cold again, low rate", cold, func(ta *target) {
			ta.rate, ta.coldAt, ta.length = 100, []time.Duration{0, 20 * time.Second}, 40*time.Second
		}, 1, 0.5, 0.95},
		{"cold again, low rate, thrashes", cold, func(ta *target) {
			ta.rate, ta.stallsWarmUp, ta.coldAt, ta.length = 100, true, []time.Duration{0, 20 * time.Second}, 40*time.Second
		}, 1, 0.5, 0.8},
		{"cold again", cold, func(ta *target) { ta.coldAt, ta.length = []time.Duration{0, 20 * time.Second}, 40*time.Second }, 1, 0.5, 0.93},
		{"cold again, hints", cold, func(ta *target) {
			ta.coldAt, ta.length, ta.hints = []time.Duration{0, 20 * time.Second}, 40*time.Second, true
		}, 1, 0.5, 0.93},
		{"cold start, lying hints", cold, func(ta *target) { ta.hints, ta.falseHints = true, true }, 1, 0.5, 0.93},
		{"cold start, slow calls", cold, func(ta *target) {
			ta.slots, ta.latency, ta.rate, ta.length = 10, 200*time.Millisecond, 35, 60*time.Second
		}, 1, 0.75, 0.95},
		{"warm", warm, func(ta *target) { ta.rate = 700 }, 0.95, 1, 0.95},
		{"warm, low rate", warm, func(ta *target) { ta.rate = 100 }, 0.95, 1, 0.95},
		{"warm, slow dependency", warm, func(ta *target) { ta.rate, ta.slowdownAt = 200, 5*time.Second }, 0.9, 1, 0.9},
		{"warm, faulty", warm, func(ta *target) { ta.failureShare = 0.5 }, 0.9, 1, 0.9},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ta := tt.target
			tt.change(&ta)
			var ours, base, best stats
			for seed := range seeds(t) {
				cf := Config{Slots: int(ta.slots), Connections: 130, Initial: 2}
				ours.add(ta.simulate(New(cf), rand.New(rand.NewPCG(1, uint64(seed)))))
				base.add(ta.simulate(&fixed{limit: cf.Slots}, rand.New(rand.NewPCG(1, uint64(seed)))))
				best.add(ta.simulate(&oracle{target: &ta}, rand.New(rand.NewPCG(1, uint64(seed)))))
			}
			t.Logf("completed %.1f%% (fixed %.1f%%, oracle %.1f%%), overload time %.1f%% (fixed %.1f%%)",
				100*ours.completed/ours.offered, 100*base.completed/base.offered, 100*best.completed/best.offered,
				100*ours.overload/ours.length, 100*base.overload/base.length)
			require.GreaterOrEqual(t, ours.completed/ours.offered, tt.gain*base.completed/base.offered)
			require.GreaterOrEqual(t, ours.completed, tt.best*best.completed)
			require.LessOrEqual(t, ours.overload/ours.length, tt.overload*base.overload/base.length)
		})
	}
}
