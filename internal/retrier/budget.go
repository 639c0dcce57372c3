package retrier

import (
	"math"
	"sync"
	"time"
)

const (
	// initialTokens lets a service with little traffic retry its first failures. It
	// bounds the number of retries beyond the ratio.
	initialTokens = 3
	// maxTokens bounds the burst of retries after a long period without failures.
	// With a ratio of 0.1, 100 calls to a failing target get at most 15 retries.
	maxTokens = 5
	// emptyRetryInterval is the interval at which an empty budget allows a single retry.
	// Without it a service with one call per hour and a ratio of 0.1 would wait ten
	// hours for its next retry.
	emptyRetryInterval = 10 * time.Second
)

// Budget is a token bucket that limits retries to a ratio of the first attempts. It
// is safe for concurrent use. A nil Budget allows no retries.
type Budget struct {
	mu        sync.Mutex
	ratio     float64
	tokens    float64
	lastRetry time.Time
}

// NewBudget returns a Budget that allows ratio retries per first attempt. If the
// ratio is not positive, it allows none.
func NewBudget(ratio float64) *Budget {
	if !(ratio > 0) {
		return &Budget{}
	}
	return &Budget{ratio: math.Min(ratio, 1), tokens: initialTokens}
}

// First records the first attempt of a call, which adds ratio tokens.
func (bu *Budget) First() {
	if bu == nil {
		return
	}
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.tokens = math.Min(maxTokens, bu.tokens+bu.ratio)
}

// withdraw takes one token if at least reserve tokens remain after it, and reports
// whether the attempt is allowed. Without a reserve, an empty budget still allows a
// retry if the last one is at least emptyRetryInterval ago.
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
		return reserve == 0 && bu.allowWhenEmpty(now)
	}
	bu.tokens--
	bu.lastRetry = now
	return true
}

// allowWhenEmpty allows a retry if the last one is at least emptyRetryInterval ago.
func (bu *Budget) allowWhenEmpty(now time.Time) bool {
	if now.Sub(bu.lastRetry) < emptyRetryInterval {
		return false
	}
	bu.lastRetry = now
	return true
}
