package forwarder

import (
	"context"
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/recorder"
	"github.com/guavastall/guavastall/internal/retrier"
	"github.com/guavastall/guavastall/internal/router"
)

// hedgePeriod is the least time between two questions to the retrier about a
// late attempt. Lookups take some milliseconds.
const hedgePeriod = 2 * time.Millisecond

// noTargetPeriod is the time until a late attempt that found no other endpoint
// looks for one again. Load reports, which free an endpoint, come with each
// response.
const noTargetPeriod = 20 * time.Millisecond

// race is an attempt with at most one hedge beside it.
type race struct {
	jo      *journey
	results chan *reply
	pending int
	cancels []context.CancelFunc
}

// start begins an attempt in the background. Its reply on results says that
// its goroutine ends.
func (ra *race) start(ctx context.Context, en router.Endpoint) {
	ctx, cancel := context.WithCancel(ctx)
	ra.cancels = append(ra.cancels, cancel)
	ra.pending++
	ho := hop{number: ra.jo.number, shared: true}
	go func() { ra.results <- ra.jo.send(ctx, en, ho) }()
}

// hedged makes an attempt and, if the retrier allows it, a second one at
// another endpoint when the first is late. The first answer wins; the other
// attempt is cancelled.
func (jo *journey) hedged(ctx context.Context, en router.Endpoint) *reply {
	ra := &race{jo: jo, results: make(chan *reply, 2)}
	ra.start(ctx, en)
	began := jo.fw.config.Now()
	timer := time.NewTimer(hedgePeriod)
	defer timer.Stop()
	for {
		select {
		case rp := <-ra.results:
			ra.pending--
			if rp.outcome == retrier.Answered || ra.pending == 0 {
				ra.end(rp)
				return rp
			}
			if rp.outcome == retrier.Unknown {
				jo.doubtful = true
			}
			jo.finish(rp, rp.endOf())
		case <-timer.C:
			if wait := ra.hedge(ctx, began); wait > 0 {
				timer.Reset(wait)
			}
		}
	}
}

// hedge starts the second attempt if the router and the retrier allow it. The
// router comes first, because the retrier takes what it allows from the budget.
// It returns when to ask again; zero is not at all.
func (ra *race) hedge(ctx context.Context, began time.Time) time.Duration {
	jo := ra.jo
	en, err := jo.pick()
	if err != nil {
		return noTargetPeriod
	}
	now := jo.fw.config.Now()
	de := jo.fw.parts.Retrier.Hedge(jo.plan, retrier.Attempt{
		Number: jo.number, MaxAttempts: jo.plan.Profile.Retries.MaxAttempts,
		Idempotent: true, Deadline: jo.call.deadline,
		Expected: jo.fw.expected(jo.plan.Service),
		Elapsed:  now.Sub(began), HedgeAllowed: true,
	}, now)
	switch {
	case de.Reason == retrier.NotIdempotent, de.Reason == retrier.NoAttemptLeft:
		return 0 // time does not change these
	case !de.Again:
		return max(de.Delay, hedgePeriod)
	}
	jo.number++
	jo.tried = append(jo.tried, en.Node)
	jo.fw.parts.Log.Record(recorder.Decision{
		Name: "hedge", Result: "sent", Call: jo.call.id, Service: jo.plan.Service,
		Route: jo.plan.Route.Name, Node: en.Node, Number: jo.number,
	})
	ra.start(ctx, en)
	return 0
}

// end cancels the attempts that lost and waits for them; a cancelled attempt
// ends at once. The context of an answered winner stays open for its body.
func (ra *race) end(winner *reply) {
	if ra.pending == 0 {
		winner.cancel = func() { cancelAll(ra.cancels) }
		if winner.outcome != retrier.Answered {
			winner.cancel()
		}
		return
	}
	for nn, cancel := range ra.cancels {
		if ra.jo.tried[len(ra.jo.tried)-len(ra.cancels)+nn] != winner.endpoint.Node {
			cancel()
		}
	}
	for ; ra.pending > 0; ra.pending-- {
		rp := <-ra.results
		rp.abandon()
		rp.err = answerer.New(answerer.Cancelled, "another attempt answered first")
		ra.jo.finish(rp, blameless)
	}
	winner.cancel = func() { cancelAll(ra.cancels) }
}

func cancelAll(cancels []context.CancelFunc) {
	for _, cancel := range cancels {
		cancel()
	}
}
