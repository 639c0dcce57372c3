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

// NewRetrier returns the retrier that keeps one budget per service, of the
// ratio in the service's profile. A changed ratio starts a new budget.
func NewRetrier() Retrier {
	return &budgets{}
}

func (bu *budgets) of(pl *router.Plan) *retrier.Budget {
	ratio := 0.0
	if pl.Profile != nil {
		ratio = pl.Profile.Retries.BudgetRatio
	}
	if have, ok := bu.services.Load(pl.Service); ok && have.(budget).ratio == ratio {
		return have.(budget).budget
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

// average is a moving average of the time of an attempt. Lost updates between
// concurrent calls do not matter.
type average struct {
	value atomic.Int64
}

// averageWeight is the share of a new value, one over it. A tenth follows a
// change within some tens of calls.
const averageWeight = 10

func (av *average) add(du time.Duration) {
	old := av.value.Load()
	if old == 0 {
		av.value.Store(int64(du))
		return
	}
	av.value.Store(old + (int64(du)-old)/averageWeight)
}

// expected returns the usual time of an attempt at the service; zero if unknown.
func (fw *Forwarder) expected(se checker.Service) time.Duration {
	if av, ok := fw.latency.Load(se); ok {
		return time.Duration(av.(*average).value.Load())
	}
	return 0
}

func (fw *Forwarder) learn(se checker.Service, du time.Duration) {
	av, ok := fw.latency.Load(se)
	if !ok {
		av, _ = fw.latency.LoadOrStore(se, &average{})
	}
	av.(*average).add(du)
}
