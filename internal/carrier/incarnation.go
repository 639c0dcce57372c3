package carrier

import (
	"time"

	"github.com/guavastall/guavastall/internal/admitter"
	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/registrar"
	"github.com/guavastall/guavastall/internal/stager"
)

// This file holds the part of Gate that decides which incarnation of the target is
// the current one and whether it is known to run.

// minRestartTime is the minimum time between the end of a node's process and the
// start of the next one, which has to load the program and read the settings.
const minRestartTime = 250 * time.Millisecond

// Heartbeat processes a heartbeat of the target.
func (ga *Gate) Heartbeat(he registrar.Heartbeat) registrar.HeartbeatResult {
	now := ga.now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	before := ga.local.Current()
	hr := ga.local.Heartbeat(he)
	if hr == registrar.Stale {
		return hr
	}
	if hr == registrar.Changed {
		ga.queue.SetSlots(he.Slots)
		if before.ID != he.ID || !before.Born.Equal(he.Born) {
			ga.resetTarget()
			ga.verified = false
			ga.checkRequired = !ga.startedWithNode(he, now)
			if !ga.checkRequired {
				ga.queue.Release()
			}
		}
		if ga.local.Current().State == registrar.Leaving {
			ga.refuseWaiting(answerer.Draining, "the target leaves")
		}
	}
	if he.ColdLeft > 0 {
		ga.queue.SetCold(now.Add(he.ColdLeft))
	}
	ga.verified = ga.verified || !ga.checkRequired
	ga.notifyWaiters(ga.queue.Advance(now))
	return hr
}

// startedWithNode reports whether the incarnation has not been up for longer than
// this process, so that no earlier process of the node can have known it. After a
// power loss both start together, and heartbeats are repeated until the node
// accepts them. The number of a heartbeat proves nothing: the earlier process may
// have accepted the first one, or even this one. A start that lies ahead shows that
// the clock was set back.
func (ga *Gate) startedWithNode(he registrar.Heartbeat, now time.Time) bool {
	age := now.Sub(he.Born)
	return age >= 0 && age <= now.Sub(ga.startTime)+minRestartTime
}

// resetTarget discards the state of the previous incarnation.
func (ga *Gate) resetTarget() {
	ga.collector = stager.NewCollector()
	ga.slowness = new(admitter.SlownessMeter)
	ga.paces = admitter.PaceMeter{}
	ga.faultDetected = false
	ga.errorRate = 0
	ga.queue.ClearCold()
	ga.pool.closeIdle()
}

// DrainTarget records that a target has announced its shutdown. It reports
// whether that target is the current one.
func (ga *Gate) DrainTarget(id string) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if !ga.local.Leave(id, ga.now()) {
		return false
	}
	ga.refuseWaiting(answerer.Draining, "the target leaves")
	return true
}

// Restore joins the target that an earlier process of the node published with what
// is known of the target, and reports whether that changed the target. A target that
// it adopts receives no requests until a health check verifies it.
func (ga *Gate) Restore(in registrar.Instance) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	before := ga.local.Current()
	if !ga.local.Restore(in) {
		return false
	}
	cu := ga.local.Current()
	if before.State != registrar.Unknown && !before.Born.Equal(cu.Born) {
		ga.resetTarget()
	}
	ga.verified, ga.checkRequired = false, true
	ga.queue.SetSlots(cu.Slots)
	if cu.State == registrar.Leaving {
		ga.refuseWaiting(answerer.Draining, "the target leaves")
	}
	return true
}

// Verify processes the result of a health check. It reports whether the target
// that answered is the current one.
func (ga *Gate) Verify(id string, coldLeft time.Duration) bool {
	now := ga.now()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	cu := ga.local.Current()
	if cu.State == registrar.Unknown || cu.ID != id {
		return false
	}
	if coldLeft > 0 {
		ga.queue.SetCold(now.Add(coldLeft))
	}
	ga.verified, ga.checkRequired = true, false
	ga.notifyWaiters(ga.queue.Advance(now))
	return true
}

// MarkUnverified withholds requests from the target until it is verified, because
// it may have ended, been replaced or become cold.
func (ga *Gate) MarkUnverified() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.verified = false
}

// NeedsVerification reports whether the target needs a health check.
func (ga *Gate) NeedsVerification() bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return !ga.verified && ga.local.Current().State == registrar.Ready
}
