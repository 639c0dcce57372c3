package stager

import (
	"maps"
	"slices"
	"time"
)

const (
	// slowFactor is how many objectives a response of a warm target takes at
	// least to count as bad.
	slowFactor = 1.5
	// recentTime is the time that recent tallies cover.
	recentTime = 3 * time.Second
	// sliceCount is the number of parts of recentTime.
	sliceCount = 6
	// guardBad and guardShare bound what a node lets a new version do before the
	// nodes have agreed on its fault: the bad responses of its own target.
	guardBad   = 12
	guardShare = 0.2
	// quickQuantile is the quantile of a target's times on a route that stands for
	// its quick responses, and quickStep how far one response moves it, as a part of
	// it.
	quickQuantile = 0.25
	quickStep     = 0.1
	// quickSamples is the number of responses after which it is known.
	quickSamples = 8
	// outlierFactor is how many times a quick response's time a response takes at
	// least to count as bad. Targets differ in speed, so that each is compared with
	// itself; a fifth to a third of the responses of a version that slows a part of
	// them several times are beyond, and one in twenty of a sound one.
	outlierFactor = 3.0
)

// Response is what a node saw of a response of its target.
type Response struct {
	Route string
	// Failed says that the target failed the request or spoiled its response.
	Failed bool
	// Took is the time at the target.
	Took      time.Duration
	Objective time.Duration
	// Cold says that the target is known to be slow.
	Cold bool
}

// bad reports whether the response counts against the version, given the time
// from which it is an outlier at its target; zero if that is not known.
func (re *Response) bad(outlier time.Duration) bool {
	if re.Failed || re.Cold {
		return re.Failed
	}
	slow := time.Duration(slowFactor * float64(re.Objective))
	return slow > 0 && re.Took >= slow || outlier > 0 && re.Took >= outlier
}

// quick is an estimate of a quantile of the times of a target on a route.
type quick struct {
	time time.Duration
	// first are the first times; their quantile is where the estimate starts.
	first []time.Duration
}

// outlier returns the time from which a response is an outlier, or zero.
func (qu *quick) outlier() time.Duration {
	return time.Duration(outlierFactor * float64(qu.time))
}

func (qu *quick) add(took time.Duration) {
	if qu.time == 0 {
		qu.first = append(qu.first, took)
		if len(qu.first) == quickSamples {
			slices.Sort(qu.first)
			qu.time = qu.first[int(quickQuantile*quickSamples)-1]
			qu.first = nil
		}
		return
	}
	step := quickStep * float64(qu.time)
	if took >= qu.time {
		qu.time += time.Duration(quickQuantile * step)
		return
	}
	qu.time -= time.Duration((1 - quickQuantile) * step)
}

type slice struct {
	number  int64
	tallies map[string]Tally
}

// Collector tallies the responses of one target. It is not safe for concurrent
// use.
type Collector struct {
	total  map[string]Tally
	recent [sliceCount]slice
	quick  map[string]*quick
}

// NewCollector returns a collector.
func NewCollector() *Collector {
	return &Collector{total: map[string]Tally{}, quick: map[string]*quick{}}
}

// Add counts a response.
func (co *Collector) Add(re Response, now time.Time) {
	qu := co.quick[re.Route]
	if qu == nil {
		qu = &quick{}
		co.quick[re.Route] = qu
	}
	ta := Tally{Requests: 1}
	if re.bad(qu.outlier()) {
		ta.Bad = 1
	}
	if !re.Failed && !re.Cold && re.Took > 0 {
		qu.add(re.Took)
	}
	number := sliceNumber(now)
	sl := &co.recent[number%sliceCount]
	if sl.number != number || sl.tallies == nil {
		*sl = slice{number: number, tallies: map[string]Tally{}}
	}
	add(co.total, re.Route, ta)
	add(sl.tallies, re.Route, ta)
}

// Tallies returns the tallies by route, all and recent ones.
func (co *Collector) Tallies(now time.Time) (total, recent map[string]Tally) {
	recent = map[string]Tally{}
	for _, sl := range co.recent {
		if sliceNumber(now)-sl.number < sliceCount {
			Merge(recent, sl.tallies)
		}
	}
	return maps.Clone(co.total), recent
}

// Guarded reports whether the target alone has shown a fault of its version.
func (co *Collector) Guarded() bool {
	total := Sum(co.total)
	return total.Bad >= guardBad && float64(total.Bad) >= guardShare*float64(total.Requests)
}

// Merge adds tallies by route.
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

func sliceNumber(now time.Time) int64 {
	return now.UnixNano() / int64(recentTime/sliceCount)
}
