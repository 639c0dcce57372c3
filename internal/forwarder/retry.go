package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavastall/guavastall/internal/retrier"
	"github.com/guavastall/guavastall/internal/router"
	"github.com/guavastall/guavastall/pkg/checker"
)

// budgets is a Retrier with one budget per service.
type budgets struct {
	services sync.Map // checker.Service to budget
}

type budget struct {
	ratio  float64
	budget *retrier.Budget
}

// NewRetrier returns a Retrier that keeps a retry budget per service, with the
// ratio from the service's profile. A change of the ratio starts a new budget.
func NewRetrier() Retrier {
	return &budgets{}
}

func (bu *budgets) of(pl *router.Plan) *retrier.Budget {
	ratio := 0.0
	if pl.Profile != nil {
		ratio = pl.Profile.Retries.BudgetRatio
	}
	if existing, ok := bu.services.Load(pl.Service); ok && existing.(budget).ratio == ratio {
		return existing.(budget).budget
	}
	fresh := budget{ratio, retrier.NewBudget(ratio)}
	bu.services.Store(pl.Service, fresh)
	return fresh.budget
}

func (bu *budgets) First(pl *router.Plan) { bu.of(pl).First() }

func (bu *budgets) Next(
	pl *router.Plan, at retrier.Attempt, now time.Time,
) retrier.Decision {
	return retrier.Next(at, bu.of(pl), now)
}

func (bu *budgets) Hedge(
	pl *router.Plan, at retrier.Attempt, now time.Time,
) retrier.Decision {
	return retrier.Hedge(at, bu.of(pl), now)
}

// average is a moving average of the duration of an attempt. Concurrent updates
// may be lost, which does not matter for an estimate.
type average struct {
	value atomic.Int64
}

// averageWeight is the reciprocal of the weight of a new value. With a weight of
// one tenth, the average follows a change within a few tens of calls.
const averageWeight = 10

func (av *average) add(du time.Duration) {
	old := av.value.Load()
	if old == 0 {
		av.value.Store(int64(du))
		return
	}
	av.value.Store(old + (int64(du)-old)/averageWeight)
}

// expectedLatency returns the average duration of an attempt at the service, or
// zero if it is unknown.
func (fw *Forwarder) expectedLatency(se checker.Service) time.Duration {
	if av, ok := fw.latency.Load(se); ok {
		return time.Duration(av.(*average).value.Load())
	}
	return 0
}

func (fw *Forwarder) recordLatency(se checker.Service, du time.Duration) {
	av, ok := fw.latency.Load(se)
	if !ok {
		av, _ = fw.latency.LoadOrStore(se, &average{})
	}
	av.(*average).add(du)
}
