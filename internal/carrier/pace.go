package carrier

import (
	"github.com/guavastall/guavastall/internal/admitter"
	"github.com/guavastall/guavastall/internal/placer"
	"github.com/guavastall/guavastall/internal/retrier"
)

// pace returns the current target and its pace, which is zero if it is unknown.
func (ga *Gate) pace() placer.TargetPace {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return placer.TargetPace{Target: ga.local.Current().ID, Pace: ga.paces.Pace()}
}

// targetPace returns the current target, its pace and, if that is known, the state of its
// queue.
func (ga *Gate) targetPace() placer.TargetPace {
	tp := ga.pace()
	if tp.Pace.Latest > 0 {
		tp.Queue = ga.load().Queue(ga.now())
	}
	return tp
}

// addPace records a pace that the target announced, unless it has been replaced.
func (ga *Gate) addPace(target string, pace float64) {
	now := ga.now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if target == ga.local.Current().ID {
		ga.paces.Add(pace, ga.queue.Cold(now), now)
	}
}

// recordPace records the pace in the response of the target to an admitted request. It
// returns the pace during the request: the mean of the one at its end and the one
// known at its start, because the pace may change while a request runs.
func (ca *Carrier) recordPace(
	rs *result, re *response, ad *admission, start *admitter.Pace,
) float64 {
	if re == nil || ca.config.Pace == nil || rs.outcome == retrier.Unknown {
		return 0
	}
	pace, ok := ca.config.Pace(re.header.Get(ca.config.Names.Load))
	// A target that answers for another one announces its own pace.
	if !ok || rs.outcome == retrier.NotRun && re.header.Get(ca.config.Names.NotRun) == "" {
		return 0
	}
	ca.gate.addPace(ad.target, pace)
	ca.metrics.targetPace.Update(int64(100*pace + 0.5))
	if start.Known(ca.config.Now()) {
		return (pace + start.Latest) / 2
	}
	return pace
}
