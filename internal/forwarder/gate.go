package forwarder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/limiter"
)

// gate admits calls to the target. It keeps the calls that wait for a slot.
type gate struct {
	limiter Limiter
	now     func() time.Time
	// out reports whether operators have taken the data centre out.
	out func() bool

	mu       sync.Mutex
	waiting  []chan bool
	draining bool
}

// enter takes a slot. It returns nil, or an error of kind Draining,
// DataCentreOut, Overloaded, DeadlineExceeded or Cancelled. Each entry ends
// with leave.
func (ga *gate) enter(ctx context.Context, deadline time.Time) error {
	if ga.isOut() {
		return errOut
	}
	now := ga.now()
	ga.mu.Lock()
	if ga.draining {
		ga.mu.Unlock()
		return errDraining
	}
	if ga.limiter.Offer(now) {
		ga.mu.Unlock()
		return nil
	}
	wait, ok := ga.limiter.Enqueue(deadline.Sub(now), now)
	if !ok {
		ga.mu.Unlock()
		return errOverloaded
	}
	turn := make(chan bool, 1)
	ga.waiting = append(ga.waiting, turn)
	ga.mu.Unlock()

	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case admitted := <-turn:
		return admittedError(admitted)
	case <-timer.C:
	case <-ctx.Done():
	}
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if nn := slices.Index(ga.waiting, turn); nn >= 0 {
		ga.waiting = slices.Delete(ga.waiting, nn, nn+1)
		ga.limiter.Leave(ga.now())
		switch {
		case ctx.Err() != nil:
			return contextError(ctx)
		case !ga.now().Before(deadline):
			return errDeadline
		}
		return errOverloaded
	}
	// The turn came at the same moment.
	return admittedError(<-turn)
}

func admittedError(admitted bool) error {
	if admitted {
		return nil
	}
	return errDraining
}

// leave gives the slot back and admits the calls that wait.
func (ga *gate) leave(re limiter.Result) {
	now := ga.now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.limiter.Done(re, now)
	for len(ga.waiting) > 0 && ga.limiter.Advance(now) {
		ga.waiting[0] <- true
		ga.waiting = ga.waiting[1:]
	}
}

// drain rejects all calls from now on, including those that wait.
func (ga *gate) drain() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.draining = true
	for _, turn := range ga.waiting {
		ga.limiter.Leave(ga.now())
		turn <- false
	}
	ga.waiting = nil
}

func (ga *gate) isDraining() bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.draining
}

// isOut reports whether the target gets no new work because its data centre is
// out. A first node that does not know it yet, or retries by an older table,
// still sends calls here.
func (ga *gate) isOut() bool {
	return ga.out != nil && ga.out()
}

var (
	errOut = answerer.New(answerer.DataCentreOut,
		"operators have taken the data centre of this target out")
	errDraining   = answerer.New(answerer.Draining, "the node is leaving")
	errOverloaded = answerer.New(answerer.Overloaded, "the concurrency limit is reached")
	errDeadline   = answerer.New(answerer.DeadlineExceeded, "the deadline of the call passed")
	errCancelled  = answerer.New(answerer.Cancelled, "the caller left")
)

// ended reports whether the caller left or the deadline passed. The server
// cancels the context when its own deadline for reading passes, which is the
// same time, so the context's error alone does not tell the two apart.
func ended(ctx context.Context) bool {
	return ctx.Err() != nil || late(ctx)
}

func late(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}

// contextError returns the error for a context that has ended.
func contextError(ctx context.Context) error {
	if late(ctx) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errDeadline
	}
	return errCancelled
}
