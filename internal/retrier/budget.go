package retrier

import (
	"math"
	"sync"
	"time"
)

const (
	// initialTokens lets a service with little traffic retry its first
	// failures; it bounds the extra attempts above the ratio.
	initialTokens = 3
	// maxTokens bounds the burst of retries after a long time without failures:
	// with a ratio of 0.1, 100 calls to a failing target get at most 15 retries.
	maxTokens = 5
	// trickleTime is the time after which an empty budget allows one retry
	// again. Without it a service with a call an hour and a ratio of 0.1 would
	// wait ten hours for its next retry.
	trickleTime = 10 * time.Second
)

// Budget allows a number of retries per first attempt. It is safe for
// concurrent use, and the nil budget allows none.
type Budget struct {
	mu      sync.Mutex
	ratio   float64
	tokens  float64
	trickle time.Time
}

// NewBudget returns a budget that allows ratio retries per first attempt. A
// ratio that is not above zero allows none.
func NewBudget(ratio float64) *Budget {
	if !(ratio > 0) {
		return &Budget{}
	}
	return &Budget{ratio: math.Min(ratio, 1), tokens: initialTokens}
}

// First counts the first attempt of a call.
func (bu *Budget) First() {
	if bu == nil {
		return
	}
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.tokens = math.Min(maxTokens, bu.tokens+bu.ratio)
}

// withdraw takes one token if more than the reserve remains after it.
func (bu *Budget) withdraw(reserve float64, now time.Time) bool {
	if bu == nil {
		return false
	}
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if !(bu.ratio > 0) {
		return false
	}
	if bu.tokens-1 < reserve {
		return reserve == 0 && bu.takeTrickle(now)
	}
	bu.tokens--
	bu.trickle = now
	return true
}

// takeTrickle allows one retry if the last one is trickleTime ago.
func (bu *Budget) takeTrickle(now time.Time) bool {
	if now.Sub(bu.trickle) < trickleTime {
		return false
	}
	bu.trickle = now
	return true
}
