package rehearser

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/guavastall/guavastall/internal/evaluator"
)

// latencyPoints is the number of equally likely latencies that approximate a
// distribution. Each accounts for 5% of the calls, the resolution of quantiles.
const latencyPoints = 20

// distribution is a discrete approximation of a lognormal latency distribution.
type distribution [latencyPoints]time.Duration

func newDistribution(median time.Duration, sigma float64) distribution {
	var di distribution
	for nn := range di {
		zz := distuv.UnitNormal.Quantile((float64(nn) + 0.5) / latencyPoints)
		di[nn] = time.Duration(float64(median) * math.Exp(sigma*zz))
	}
	return di
}

// draw adds successful calls to the sample. Poisson arrivals at a rate split into
// independent Poisson counts for each latency.
func (di *distribution) draw(rd *rand.Rand, rate, factor float64, sa *evaluator.Sample) {
	if rate < 1 {
		// For few calls, drawing their number first takes fewer draws.
		for range poisson(rd, rate) {
			di.count(rd.IntN(latencyPoints), 1, factor, sa)
		}
		return
	}
	if sa.Latencies == nil {
		sa.Latencies = make([]evaluator.LatencyCount, 0, latencyPoints)
	}
	limit := math.Exp(-rate / latencyPoints)
	for at := range di {
		if calls := poissonWithin(rd, rate/latencyPoints, limit); calls > 0 {
			di.count(at, calls, factor, sa)
		}
	}
}

func (di *distribution) count(at int, calls uint32, factor float64, sa *evaluator.Sample) {
	bucket := evaluator.BucketOf(time.Duration(float64(di[at]) * factor))
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
		// The error of the normal approximation is below the noise of one second.
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
