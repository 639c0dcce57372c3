package stager

import (
	"maps"
	"slices"
	"time"
)

const (
	// slowFactor is the multiple of the objective from which a response of a warm
	// target counts as bad.
	slowFactor = 1.5
	// recentTime is the length of the window of recent tallies.
	recentTime = 3 * time.Second
	// bucketCount is the number of buckets that recentTime is divided into.
	bucketCount = 6
	// guardMinBad is the number of bad responses of its own target at which a node may
	// stop using a new version before the nodes have agreed that it is faulty. Their
	// share must be at least guardMinShare, or guardMinFailed if only failures are
	// counted: a node does not know how many responses of the base version are
	// outliers, which may be a sixth of them.
	guardMinBad    = 12
	guardMinShare  = 0.4
	guardMinFailed = 0.2
	// fastQuantile is the quantile of a target's response times on a route that
	// represents its fast responses. quantileStep is the step of the estimate per
	// response, relative to the estimate.
	fastQuantile = 0.25
	quantileStep = 0.1
	// minQuantileSamples is the number of responses that the first estimate requires.
	minQuantileSamples = 8
	// outlierFactor is the multiple of the fast response time from which a response
	// counts as bad. Each target is compared with itself because targets differ in
	// speed. If a version makes part of its responses several times slower, 20% to 33%
	// of its responses are outliers, compared with 5% for a good version.
	outlierFactor = 3.0
	// verySlowFactor is the multiple from which a response counts as very slow. If the
	// times of requests differ little, few responses of a good version are.
	verySlowFactor = 5.0
	// crashTime is the time within which connections break when a target crashes.
	crashTime = 50 * time.Millisecond
)

// Response is a response of a target as observed by its node.
type Response struct {
	Route string
	// Failed reports whether the target failed the request or sent an invalid
	// response.
	Failed bool
	// Broken reports whether it failed because the connection broke.
	Broken bool
	// Took is the time that the request spent at the target.
	Took      time.Duration
	Objective time.Duration
	// Cold reports whether the target was cold and therefore expected to be slow.
	Cold bool
	// Cancelled reports whether the first node gave the request up after Took. Only that
	// it took at least as long counts.
	Cancelled bool
}

// bad reports whether the response counts against the version. A response that took
// at least outlier is an outlier at its target; zero means that this limit is
// unknown.
func (re *Response) bad(outlier time.Duration) bool {
	if re.Failed || re.Cold {
		return re.Failed
	}
	slow := time.Duration(slowFactor * float64(re.Objective))
	return slow > 0 && re.Took >= slow || outlier > 0 && re.Took >= outlier
}

// verySlow reports whether the response is very slow compared with the fast responses
// of its target; zero means that these are unknown.
func (re *Response) verySlow(fast time.Duration) bool {
	limit := time.Duration(verySlowFactor * float64(fast))
	return !re.Failed && !re.Cold && limit > 0 && re.Took >= limit
}

// tally returns the tally of the response alone.
func (re *Response) tally(qt *quantile) Tally {
	ta := Tally{Requests: 1}
	if re.bad(qt.outlier()) {
		ta.Bad = 1
	}
	if re.Failed {
		ta.Failed = 1
	}
	if re.verySlow(qt.time) {
		ta.VerySlow = 1
	}
	return ta
}

// quantile estimates the fastQuantile of the response times of a target on a route.
type quantile struct {
	// time is the estimate; zero until there are enough samples.
	time time.Duration
	// first holds the first samples, whose quantile is the initial estimate.
	first []time.Duration
}

// outlier returns the response time from which a response is an outlier, or zero if
// it is unknown.
func (qt *quantile) outlier() time.Duration {
	return time.Duration(outlierFactor * float64(qt.time))
}

// add updates the estimate. Steps up and down are weighted so that it converges to
// fastQuantile.
func (qt *quantile) add(took time.Duration) {
	if qt.time == 0 {
		qt.first = append(qt.first, took)
		if len(qt.first) == minQuantileSamples {
			slices.Sort(qt.first)
			qt.time = qt.first[int(fastQuantile*minQuantileSamples)-1]
			qt.first = nil
		}
		return
	}
	step := quantileStep * float64(qt.time)
	if took >= qt.time {
		qt.time += time.Duration(fastQuantile * step)
		return
	}
	qt.time -= time.Duration((1 - fastQuantile) * step)
}

// bucket holds the tallies by route of one part of recentTime.
type bucket struct {
	number  int64
	tallies map[string]Tally
}

// Collector tallies the responses of one target. It is not safe for concurrent
// use.
type Collector struct {
	total     map[string]Tally
	recent    [bucketCount]bucket
	quantiles map[string]*quantile
	// lastBroken is the time of the last failure that was counted because the
	// connection broke.
	lastBroken time.Time
}

// NewCollector returns an empty Collector.
func NewCollector() *Collector {
	return &Collector{total: map[string]Tally{}, quantiles: map[string]*quantile{}}
}

// Add counts a response. Connections that break at the same time count as one
// failure, because a target that crashes or is cut off breaks all of them. A cancelled
// request counts only if it was slow, because a quick one was not completed.
func (co *Collector) Add(re Response, now time.Time) {
	if re.Broken {
		if now.Sub(co.lastBroken) < crashTime {
			return
		}
		co.lastBroken = now
	}
	qt := co.quantiles[re.Route]
	if qt == nil {
		qt = &quantile{}
		co.quantiles[re.Route] = qt
	}
	ta := re.tally(qt)
	if re.Cancelled && ta.Bad+ta.VerySlow == 0 {
		return
	}
	if !re.Failed && !re.Cold && !re.Cancelled && re.Took > 0 {
		qt.add(re.Took)
	}
	number := bucketNumber(now)
	bk := &co.recent[number%bucketCount]
	if bk.number != number || bk.tallies == nil {
		*bk = bucket{number: number, tallies: map[string]Tally{}}
	}
	add(co.total, re.Route, ta)
	add(bk.tallies, re.Route, ta)
}

// Tallies returns the total and the recent tallies by route.
func (co *Collector) Tallies(now time.Time) (total, recent map[string]Tally) {
	recent = map[string]Tally{}
	for _, bk := range co.recent {
		if bucketNumber(now)-bk.number < bucketCount {
			Merge(recent, bk.tallies)
		}
	}
	return maps.Clone(co.total), recent
}

// ShowsFault reports whether the responses of this target alone show that its version
// is faulty.
func (co *Collector) ShowsFault() bool {
	total := Sum(co.total)
	number := float64(total.Requests)
	return total.Failed >= guardMinBad && float64(total.Failed) >= guardMinFailed*number ||
		total.Bad >= guardMinBad && float64(total.Bad) >= guardMinShare*number
}

// Merge adds the tallies of from to those of to, by route.
func Merge(to, from map[string]Tally) {
	for route, ta := range from {
		add(to, route, ta)
	}
}

func add(to map[string]Tally, route string, ta Tally) {
	sum := to[route]
	sum.Add(ta)
	to[route] = sum
}

func bucketNumber(now time.Time) int64 {
	return now.UnixNano() / int64(recentTime/bucketCount)
}
