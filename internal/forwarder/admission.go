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

// admission admits calls to the target and queues the calls that wait for a slot.
type admission struct {
	limiter Limiter
	now     func() time.Time
	// outOfService reports whether operators have taken the data centre out of
	// service; nil means never.
	outOfService func() bool

	mu       sync.Mutex
	waiting  []chan bool
	draining bool
}

// acquire acquires a slot, waiting in the queue if necessary. The error has kind
// Draining, DataCentreOut, Overloaded, DeadlineExceeded or Cancelled. If it is
// nil, the caller must call release.
func (ad *admission) acquire(ctx context.Context, deadline time.Time) error {
	if ad.isOutOfService() {
		return errDataCentreOut
	}
	now := ad.now()
	ad.mu.Lock()
	if ad.draining {
		ad.mu.Unlock()
		return errDraining
	}
	if ad.limiter.TryAcquire(now) {
		ad.mu.Unlock()
		return nil
	}
	wait, ok := ad.limiter.Enqueue(deadline.Sub(now), now)
	if !ok {
		ad.mu.Unlock()
		return errOverloaded
	}
	granted := make(chan bool, 1)
	ad.waiting = append(ad.waiting, granted)
	ad.mu.Unlock()

	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case admitted := <-granted:
		return admittedError(admitted)
	case <-timer.C:
	case <-ctx.Done():
	}
	ad.mu.Lock()
	defer ad.mu.Unlock()
	if nn := slices.Index(ad.waiting, granted); nn >= 0 {
		ad.waiting = slices.Delete(ad.waiting, nn, nn+1)
		ad.limiter.Dequeue(ad.now())
		switch {
		case ctx.Err() != nil:
			return contextError(ctx)
		case !ad.now().Before(deadline):
			return errDeadline
		}
		return errOverloaded
	}
	// The decision arrived together with the timeout or cancellation.
	return admittedError(<-granted)
}

func admittedError(admitted bool) error {
	if admitted {
		return nil
	}
	return errDraining
}

// release releases the slot and admits waiting calls.
func (ad *admission) release(re limiter.Result) {
	now := ad.now()
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.limiter.Release(re, now)
	for len(ad.waiting) > 0 && ad.limiter.AcquireQueued(now) {
		ad.waiting[0] <- true
		ad.waiting = ad.waiting[1:]
	}
}

// drain rejects all waiting calls and all calls from now on.
func (ad *admission) drain() {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.draining = true
	for _, granted := range ad.waiting {
		ad.limiter.Dequeue(ad.now())
		granted <- false
	}
	ad.waiting = nil
}

func (ad *admission) isDraining() bool {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	return ad.draining
}

// isOutOfService reports whether the data centre of the target is out of service.
// A first node that does not know this yet, or that retries with an older
// table, still sends calls here.
func (ad *admission) isOutOfService() bool {
	return ad.outOfService != nil && ad.outOfService()
}

var (
	errDataCentreOut = answerer.New(answerer.DataCentreOut,
		"operators have taken the data centre of this target out")
	errDraining   = answerer.New(answerer.Draining, "the node is leaving")
	errOverloaded = answerer.New(answerer.Overloaded, "the concurrency limit is reached")
	errDeadline   = answerer.New(answerer.DeadlineExceeded, "the deadline of the call passed")
	errCancelled  = answerer.New(answerer.Cancelled, "the caller left")
)

// ended reports whether the caller disconnected or the deadline passed. Because
// http.Server cancels the context when its read deadline passes, which is at the
// same time, the context's error alone does not distinguish the two cases.
func ended(ctx context.Context) bool {
	return ctx.Err() != nil || late(ctx)
}

func late(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}

// contextError returns the error for an ended context.
func contextError(ctx context.Context) error {
	if late(ctx) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errDeadline
	}
	return errCancelled
}
