// Package budgeter limits repeated requests to a service.
//
// The budget of a service covers all nodes together. Each node takes its part
// without asking the others: a ratio of the requests that it carried itself and
// an equal share of the fixed allowance.
package budgeter

import "time"

// Config holds the budget of a service over all nodes.
type Config struct {
	// Ratio is the number of repeats allowed for each request.
	Ratio float64
	// Allowance is the number of repeats in a window that all nodes together may
	// make besides.
	Allowance float64
	// Window is the sliding window that both are counted in.
	Window time.Duration
}

const (
	// buckets is the number of parts of the window.
	buckets = 20
	// caution is the part of the budget that a node uses. The rest covers the
	// calls of repeated runs, which count as repeats at the services that they
	// call, and the edges of windows.
	caution = 0.35
)

type bucket struct {
	number            int64
	requests, repeats float64
}

// Budget is one node's part of the budget of a service. It is not safe for
// concurrent use.
type Budget struct {
	config  Config
	buckets [buckets]bucket
}

// New returns a budget.
func New(cf Config) *Budget {
	return &Budget{config: cf}
}

// Request counts a first sending.
func (bu *Budget) Request(now time.Time) {
	bu.at(now).requests++
}

// Take takes a repeat out of the budget and reports whether it held one. The
// allowance is shared by the number of nodes.
func (bu *Budget) Take(nodes int, now time.Time) bool {
	var requests, repeats float64
	newest := bu.number(now)
	for nn := range bu.buckets {
		if newest-bu.buckets[nn].number < buckets {
			requests += bu.buckets[nn].requests
			repeats += bu.buckets[nn].repeats
		}
	}
	share := bu.config.Allowance / float64(max(nodes, 1))
	if repeats+1 > caution*(bu.config.Ratio*requests+share) {
		return false
	}
	bu.at(now).repeats++
	return true
}

// Repeat counts a repeat that was not asked for, such as a target's refusal.
func (bu *Budget) Repeat(now time.Time) {
	bu.at(now).repeats++
}

func (bu *Budget) number(now time.Time) int64 {
	return now.UnixNano() / int64(bu.config.Window/buckets)
}

func (bu *Budget) at(now time.Time) *bucket {
	number := bu.number(now)
	bk := &bu.buckets[number%buckets]
	if bk.number != number {
		*bk = bucket{number: number}
	}
	return bk
}
