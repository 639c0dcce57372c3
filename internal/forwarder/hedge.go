package forwarder

import (
	"context"
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/recorder"
	"github.com/guavastall/guavastall/internal/retrier"
	"github.com/guavastall/guavastall/internal/router"
)

// hedgeInterval is the interval at which the retrier is asked whether to hedge an
// attempt. A typical lookup takes a few milliseconds.
const hedgeInterval = 2 * time.Millisecond

// noTargetInterval is the interval at which an attempt looks for a second endpoint
// if none was available. An endpoint becomes available through load reports,
// which arrive with each response.
const noTargetInterval = 20 * time.Millisecond

// race is an attempt with at most one hedge.
type race struct {
	dispatch *dispatch
	results  chan *reply
	pending  int
	cancels  []context.CancelFunc
}

// start starts an attempt in a goroutine, which sends its reply to results and
// ends.
func (ra *race) start(ctx context.Context, en router.Endpoint) {
	ctx, cancel := context.WithCancel(ctx)
	ra.cancels = append(ra.cancels, cancel)
	ra.pending++
	ho := hop{number: ra.dispatch.number, concurrent: true}
	go func() { ra.results <- ra.dispatch.send(ctx, en, ho) }()
}

// hedged makes an attempt and, if the first is slow and the retrier allows it, a
// second one at another endpoint. The first answered attempt wins and the other
// is cancelled.
func (di *dispatch) hedged(ctx context.Context, en router.Endpoint) *reply {
	ra := &race{dispatch: di, results: make(chan *reply, 2)}
	ra.start(ctx, en)
	began := di.fw.config.Now()
	timer := time.NewTimer(hedgeInterval)
	defer timer.Stop()
	for {
		select {
		case rp := <-ra.results:
			ra.pending--
			if rp.outcome == retrier.Answered || ra.pending == 0 {
				ra.finish(rp)
				return rp
			}
			if rp.outcome == retrier.Unknown {
				di.mayHaveRun = true
			}
			di.finish(rp, rp.failureEnding())
		case <-timer.C:
			if wait := ra.hedge(ctx, began); wait > 0 {
				timer.Reset(wait)
			}
		}
	}
}

// hedge starts the second attempt if the router and the retrier allow it. It
// asks the router first, because the retrier charges the budget for what it
// allows. It returns the time until the next try; zero means never.
func (ra *race) hedge(ctx context.Context, began time.Time) time.Duration {
	di := ra.dispatch
	en, err := di.pick()
	if err != nil {
		return noTargetInterval
	}
	now := di.fw.config.Now()
	de := di.fw.parts.Retrier.Hedge(di.plan, retrier.Attempt{
		Number: di.number, MaxAttempts: di.plan.Profile.Retries.MaxAttempts,
		Idempotent: true, Deadline: di.call.deadline,
		Expected: di.fw.expectedLatency(di.plan.Service),
		Elapsed:  now.Sub(began), HedgeAllowed: true,
	}, now)
	switch {
	case de.Reason == retrier.NotIdempotent, de.Reason == retrier.NoAttemptLeft:
		return 0 // these reasons do not change over time
	case !de.Again:
		return max(de.Delay, hedgeInterval)
	}
	di.number++
	di.tried = append(di.tried, en.Node)
	di.fw.parts.Log.Record(recorder.Decision{
		Name: "hedge", Result: "sent", Call: di.call.id, Service: di.plan.Service,
		Route: di.plan.Route.Name, Node: en.Node, Number: di.number,
	})
	ra.start(ctx, en)
	return 0
}

// finish cancels the losing attempts and waits for them; a cancelled attempt ends
// immediately. The context of an answered winner is not cancelled, so that its
// body can still be read.
func (ra *race) finish(winner *reply) {
	if ra.pending == 0 {
		winner.cancel = func() { cancelAll(ra.cancels) }
		if winner.outcome != retrier.Answered {
			winner.cancel()
		}
		return
	}
	for nn, cancel := range ra.cancels {
		if ra.dispatch.tried[len(ra.dispatch.tried)-len(ra.cancels)+nn] != winner.endpoint.Node {
			cancel()
		}
	}
	for ; ra.pending > 0; ra.pending-- {
		rp := <-ra.results
		rp.abandon()
		rp.err = answerer.New(answerer.Cancelled, "another attempt answered first")
		ra.dispatch.finish(rp, neutral)
	}
	winner.cancel = func() { cancelAll(ra.cancels) }
}

func cancelAll(cancels []context.CancelFunc) {
	for _, cancel := range cancels {
		cancel()
	}
}
