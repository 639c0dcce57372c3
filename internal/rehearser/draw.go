package rehearser

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/guavastall/guavastall/internal/evaluator"
)

// atoms is the number of equally likely latencies that stand for a
// distribution. One more or less shifts a quantile by 5%.
const atoms = 20

// shape is a latency distribution.
type shape [atoms]time.Duration

func newShape(median time.Duration, sigma float64) shape {
	var sh shape
	for nn := range sh {
		zz := distuv.UnitNormal.Quantile((float64(nn) + 0.5) / atoms)
		sh[nn] = time.Duration(float64(median) * math.Exp(sigma*zz))
	}
	return sh
}

// draw adds successful calls to the sample. Poisson arrivals at a rate give
// independent Poisson counts for each atom.
func (sh *shape) draw(rd *rand.Rand, rate, factor float64, sa *evaluator.Sample) {
	if rate < 1 {
		// Drawing the number of calls first saves draws when there are few.
		for range poisson(rd, rate) {
			sh.count(rd.IntN(atoms), 1, factor, sa)
		}
		return
	}
	if sa.Latencies == nil {
		sa.Latencies = make([]evaluator.LatencyCount, 0, atoms)
	}
	limit := math.Exp(-rate / atoms)
	for at := range sh {
		if calls := poissonWithin(rd, rate/atoms, limit); calls > 0 {
			sh.count(at, calls, factor, sa)
		}
	}
}

func (sh *shape) count(at int, calls uint32, factor float64, sa *evaluator.Sample) {
	bucket := evaluator.BucketOf(time.Duration(float64(sh[at]) * factor))
	sa.Calls += calls
	place := slices.IndexFunc(sa.Latencies, func(lc evaluator.LatencyCount) bool {
		return lc.Bucket == bucket
	})
	if place >= 0 {
		sa.Latencies[place].Calls += calls
		return
	}
	sa.Latencies = append(sa.Latencies, evaluator.LatencyCount{Bucket: bucket, Calls: calls})
}

// poisson draws a Poisson variate.
func poisson(rd *rand.Rand, mean float64) uint32 {
	if mean <= 0 {
		return 0
	}
	return poissonWithin(rd, mean, math.Exp(-mean))
}

// poissonWithin draws a Poisson variate; limit is exp(-mean).
func poissonWithin(rd *rand.Rand, mean, limit float64) uint32 {
	if mean > 30 {
		// The normal approximation is off by less than the noise of a second.
		return uint32(max(math.Round(mean+math.Sqrt(mean)*rd.NormFloat64()), 0))
	}
	product := rd.Float64()
	var count uint32
	for product > limit {
		product *= rd.Float64()
		count++
	}
	return count
}
