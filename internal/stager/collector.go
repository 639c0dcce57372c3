package stager

import (
	"maps"
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

func (re *Response) bad() bool {
	slow := time.Duration(slowFactor * float64(re.Objective))
	return re.Failed || !re.Cold && re.Objective > 0 && re.Took >= slow
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
}

// NewCollector returns a collector.
func NewCollector() *Collector {
	return &Collector{total: map[string]Tally{}}
}

// Add counts a response.
func (co *Collector) Add(re Response, now time.Time) {
	ta := Tally{Requests: 1}
	if re.bad() {
		ta.Bad = 1
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
