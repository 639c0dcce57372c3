// Package registrar tracks targets from their heartbeats and defines the entries by
// which nodes announce themselves and their targets to each other.
//
// [LocalTarget] holds the node's own target, as known from its heartbeats. [Entry]
// is what a node publishes.
package registrar

import (
	"net/netip"
	"time"
)

// Heartbeat is the content of a heartbeat of a target.
type Heartbeat struct {
	ID         string
	Service    string
	Version    string
	DataCentre string
	Address    netip.AddrPort
	Slots      int
	Draining   bool
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
	// Born is the time at which the incarnation started. A later incarnation may reuse
	// the ID.
	Born time.Time
	// ColdLeft is the remaining time for which the target is cold.
	ColdLeft time.Duration
}

// State is the state of a target.
type State uint8

// States of a target.
const (
	// Unknown means that the node has not received a heartbeat since it started.
	Unknown State = iota
	// Ready targets accept requests.
	Ready
	// Leaving targets complete their requests and accept no more.
	Leaving
)

// Instance is one incarnation of a target.
type Instance struct {
	Heartbeat
	State State
}

// HeartbeatResult is the result of [LocalTarget.Heartbeat].
type HeartbeatResult uint8

// Results of [LocalTarget.Heartbeat].
const (
	// Stale heartbeats are older than the current state and are ignored.
	Stale HeartbeatResult = iota
	// Repeated heartbeats change neither the incarnation nor its state or slots, but
	// may change the time for which the target is cold.
	Repeated
	// Changed heartbeats change the incarnation, its state or its slots.
	Changed
)

// LocalTarget tracks the node's own target. It is not safe for concurrent use. The
// zero value is ready to use.
type LocalTarget struct {
	current Instance
	// departed holds, by ID, the latest start time of incarnations that have left or
	// announced that they leave.
	departed map[string]time.Time
}

// Current returns the newest incarnation.
func (lt *LocalTarget) Current() Instance {
	return lt.current
}

// Heartbeat processes a heartbeat. It ignores heartbeats of earlier incarnations and
// those that arrive out of order.
func (lt *LocalTarget) Heartbeat(he Heartbeat) HeartbeatResult {
	cu := &lt.current
	if lt.hasLeft(he.ID, he.Born) {
		return Stale
	}
	known := cu.State != Unknown
	same := known && he.ID == cu.ID && he.Born.Equal(cu.Born)
	switch {
	case known && he.Born.Before(cu.Born):
		return Stale
	case same && he.Sequence <= cu.Sequence:
		return Stale
	}
	state := Ready
	if he.Draining || same && cu.State == Leaving {
		state = Leaving
	}
	changed := !same || cu.State != state || cu.Slots != he.Slots
	lt.current = Instance{Heartbeat: he, State: state}
	if changed {
		return Changed
	}
	return Repeated
}

// Leave records that a target has left or is about to leave, and reports whether it
// is the current one. An unknown incarnation is assumed to have started by now,
// because a node that has just restarted may learn of it only later.
func (lt *LocalTarget) Leave(id string, now time.Time) bool {
	if lt.departed == nil {
		lt.departed = map[string]time.Time{}
	}
	cu := &lt.current
	if cu.State == Unknown || cu.ID != id {
		lt.departed[id] = now
		return false
	}
	lt.departed[id] = cu.Born
	cu.State = Leaving
	return true
}

// hasLeft reports whether the incarnation has left or announced that it leaves.
func (lt *LocalTarget) hasLeft(id string, born time.Time) bool {
	latest, ok := lt.departed[id]
	return ok && !born.After(latest)
}

// Restore joins the target of an entry that an earlier process of this node published
// with what is known, and reports whether that changed the current target. The entry
// may arrive after a heartbeat that was sent before it: its departure still holds, and
// its incarnation replaces an earlier one. The target's health check must confirm it.
func (lt *LocalTarget) Restore(in Instance) bool {
	if lt.hasLeft(in.ID, in.Born) {
		in.State = Leaving
	}
	cu := &lt.current
	switch {
	case cu.State == Unknown || in.Born.After(cu.Born):
		*cu = in
		return true
	case in.ID != cu.ID || !in.Born.Equal(cu.Born) || in.State != Leaving || cu.State == Leaving:
		return false
	}
	cu.State = Leaving
	return true
}
