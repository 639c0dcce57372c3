package demonstrator

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/guavastall/guavastall/internal/sleeper"
	"github.com/guavastall/guavastall/internal/targetserver"
	"github.com/guavastall/guavastall/pkg/checker"
	"github.com/guavastall/guavastall/pkg/operator"
)

const (
	// rolloutDeadline is the deadline of each rollout.
	rolloutDeadline = 15 * time.Second
	// rollbackTimeout bounds the time until the bad version is rolled back.
	rollbackTimeout = 10 * time.Second
	// drainInterval is the time after which a data centre that was taken out gets
	// no more calls.
	drainInterval = 2 * time.Second
	// maxBadShare bounds the share of calls that reach the bad version.
	maxBadShare = 0.01
)

// document returns the configuration of the demonstration. Its rollout steps are
// short to keep the demonstration short.
func document() *checker.Document {
	return &checker.Document{
		Profiles: map[string]checker.Profile{"quick": {
			Routing: checker.Routing{LocalShare: 0.8, HealthyFloor: 0.5, Hedge: true},
			Rollout: checker.Rollout{
				Steps:            []float64{0.02, 0.3, 1},
				StepTime:         checker.Duration(500 * time.Millisecond),
				MinCalls:         4,
				MaxErrorIncrease: 0.02, MaxLatencyFactor: 2,
				QuietAfter: checker.Duration(time.Minute),
			},
			Limits: checker.Limits{
				InitialConcurrency: 2, MaxBodyBytes: 1 << 20,
				QueueTime: checker.Duration(50 * time.Millisecond),
				WarmTime:  checker.Duration(time.Second),
			},
			Retries: checker.Retries{BudgetRatio: 0.1, MaxAttempts: 3},
			DataCentres: checker.DataCentres{
				ReturnTime: checker.Duration(3 * time.Second), Spill: true,
			},
		}},
		Services: map[checker.Service]checker.Choice{service: {
			Profile: "quick", Version: "v1",
			Routes: []checker.Route{{
				Name: "scan", PathPrefix: "/", Idempotent: true,
				Timeout: checker.Duration(time.Second),
			}},
		}},
	}
}

// move starts a target of the version in each data centre and starts its rollout.
func (de *Demonstrator) move(
	ctx context.Context, version checker.Version, deadline time.Duration,
	faults ...targetserver.Fault,
) (checker.MoveID, []*member, error) {
	var started []*member
	for _, dc := range centres {
		mb, err := de.add(dc, version)
		if err != nil {
			return 0, nil, err
		}
		se := mb.target.Settings()
		se.Faults = faults
		if err := mb.target.Set(se); err != nil {
			return 0, nil, err
		}
		started = append(started, mb)
	}
	if err := de.awaitMembership(ctx); err != nil {
		return 0, nil, err
	}
	cl := de.members[0].operator
	conf, err := cl.Configuration(ctx)
	if err != nil {
		return 0, nil, err
	}
	ac, err := cl.Choose(ctx, operator.Choice{
		ID: uuid.NewString(), Base: conf.Revision, Service: service,
		Version: version, Deadline: time.Now().Add(deadline),
	})
	return ac.Move, started, err
}

// awaitMove waits until the move is no longer pending, or until the limit, and
// returns its last state.
func (de *Demonstrator) awaitMove(
	ctx context.Context, id checker.MoveID, limit time.Duration,
) operator.Move {
	var last operator.Move
	_ = de.await(ctx, limit, "the move did not end", func() bool {
		list, err := de.members[0].operator.Moves(ctx)
		if err != nil {
			return false
		}
		for _, mo := range list {
			if mo.ID == id {
				last = mo
			}
		}
		return last.Phase != "" && last.Phase != "pending"
	})
	return last
}

// rollOut rolls out a good version.
func (de *Demonstrator) rollOut(ctx context.Context) error {
	begun := time.Now()
	id, _, err := de.move(ctx, "v2", rolloutDeadline)
	if err != nil {
		return err
	}
	de.printf("started the move to v2, a good version, due in %v", rolloutDeadline)
	mo := de.awaitMove(ctx, id, rolloutDeadline)
	de.check(mo.Phase == "done", "v2 is %s after %v %s", mo.Phase,
		time.Since(begun).Round(time.Millisecond), mo.Reason)
	return nil
}

// rollBack starts the rollout of a version that fails every call, and checks that it
// is rolled back.
func (de *Demonstrator) rollBack(ctx context.Context) error {
	total := de.calls()
	begun := time.Now()
	id, bad, err := de.move(ctx, "v3", rolloutDeadline, targetserver.Fault{
		Kind: targetserver.FaultError,
	})
	if err != nil {
		return err
	}
	de.printf("started the move to v3, which answers every call with an error")
	mo := de.awaitMove(ctx, id, rollbackTimeout)
	de.check(mo.Phase == "takenBack", "v3 is %s after %v: %s", mo.Phase,
		time.Since(begun).Round(time.Millisecond), mo.Reason)
	exposed := uint64(0)
	for _, mb := range bad {
		exposed += mb.target.Calls()
	}
	all := de.calls() - total
	de.check(float64(exposed) < maxBadShare*float64(max(all, callRate)),
		"v3 got %d of about %d calls", exposed, all)
	return nil
}

// calls returns the number of calls that the targets executed.
func (de *Demonstrator) calls() uint64 {
	var sum uint64
	for _, mb := range de.members {
		sum += mb.target.Calls()
	}
	return sum
}

// callsIn returns the number of calls that the targets of a data centre executed.
func (de *Demonstrator) callsIn(dc checker.DataCentre) uint64 {
	var sum uint64
	for _, mb := range de.members {
		if mb.dc == dc {
			sum += mb.target.Calls()
		}
	}
	return sum
}

// moveDataCentre takes a data centre out of service and back in.
func (de *Demonstrator) moveDataCentre(ctx context.Context) error {
	dc := centres[1]
	cl := de.members[0].operator
	if _, err := cl.SetDataCentre(ctx, dc, true); err != nil {
		return err
	}
	de.printf("took %s out", dc)
	if !sleeper.Sleep(ctx, drainInterval) {
		return ctx.Err()
	}
	before := de.callsIn(dc)
	if !sleeper.Sleep(ctx, drainInterval) {
		return ctx.Err()
	}
	de.check(de.callsIn(dc) == before, "%s got %d calls between %v and %v after it was taken out",
		dc, de.callsIn(dc)-before, drainInterval, 2*drainInterval)
	if _, err := cl.SetDataCentre(ctx, dc, false); err != nil {
		return err
	}
	if !sleeper.Sleep(ctx, drainInterval) {
		return ctx.Err()
	}
	de.check(de.callsIn(dc) > before, "%s is back and got %d calls in %v", dc,
		de.callsIn(dc)-before, drainInterval)
	return nil
}
