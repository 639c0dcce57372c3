// Package registrar keeps what targets say of themselves.
//
// [Own] holds the target next to the node, from its heartbeats. [Directory]
// holds the targets of all nodes, from the entries that the nodes publish.
package registrar

import (
	"net/netip"
	"time"
)

// Heartbeat is what a target says of itself.
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
	// Born is when the incarnation started. An ID may be used again by a later one.
	Born time.Time
	// ColdLeft is how much longer the target is cold.
	ColdLeft time.Duration
}

// State is what a target may be used for.
type State uint8

// The states.
const (
	// Unknown targets have not been heard of since the node started.
	Unknown State = iota
	// Ready targets take work.
	Ready
	// Leaving targets finish their work and take no more.
	Leaving
)

// Instance is one incarnation of the target.
type Instance struct {
	Heartbeat
	State State
}

// Verdict says what became of a heartbeat.
type Verdict uint8

// The verdicts.
const (
	// Stale heartbeats are older than what is known.
	Stale Verdict = iota
	// Repeated heartbeats change nothing but the time that the target is cold.
	Repeated
	// Changed heartbeats change the state or the incarnation.
	Changed
)

// Own is the target next to the node. It is not safe for concurrent use.
type Own struct {
	current Instance
	// left are the incarnations that left, by ID.
	left map[string]time.Time
}

// Current returns the newest incarnation.
func (ow *Own) Current() Instance {
	return ow.current
}

// Heartbeat takes a heartbeat. Those of earlier incarnations and those that
// were overtaken are ignored.
func (ow *Own) Heartbeat(he Heartbeat) Verdict {
	cu := &ow.current
	if ow.hasLeft(he.ID, he.Born) {
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
	ow.current = Instance{Heartbeat: he, State: state}
	if changed {
		return Changed
	}
	return Repeated
}

// Leave notes that a target has left or will soon. It reports whether that is
// the current one. An incarnation that is not known yet counts as started before
// now: a node that has just restarted may learn of it only later.
func (ow *Own) Leave(id string, now time.Time) bool {
	if ow.left == nil {
		ow.left = map[string]time.Time{}
	}
	cu := &ow.current
	if cu.State == Unknown || cu.ID != id {
		ow.left[id] = now
		return false
	}
	ow.left[id] = cu.Born
	cu.State = Leaving
	return true
}

// hasLeft reports whether the incarnation said that it leaves.
func (ow *Own) hasLeft(id string, born time.Time) bool {
	left, ok := ow.left[id]
	return ok && !born.After(left)
}

// Restore takes the target over from an entry that an earlier process of this
// node has published. The target confirms it by its health check.
func (ow *Own) Restore(in Instance) {
	if ow.current.State != Unknown {
		return
	}
	if ow.hasLeft(in.ID, in.Born) {
		in.State = Leaving
	}
	ow.current = in
}
