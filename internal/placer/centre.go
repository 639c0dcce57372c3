package placer

import (
	"maps"
	"net/netip"
	"time"
)

// This file answers the load pattern of a data centre that is cut off while requests
// spill over into it. Each node knows dozens of targets there, and finding each of them
// unreachable costs a request the time of a dial. The targets look idle meanwhile,
// because they send no reports.

// suspectThreshold is the number of nodes of a data centre that fail, without a response
// from any node there in between, from which the data centre counts as cut off. One node
// may fail by itself.
const suspectThreshold = 2

// centre is the reachability of a data centre.
type centre struct {
	// failed are the nodes that failed since the last response.
	failed map[netip.AddrPort]bool
	// skipped is a node that was not chosen because the data centre is suspected. A
	// probe of it shows whether the data centre has returned.
	skipped netip.AddrPort
	probeAt time.Time
}

// suspected reports whether the data centre counts as cut off.
func (ce *centre) suspected() bool {
	return ce != nil && len(ce.failed) >= suspectThreshold
}

// recordFailure records that a node of the data centre could not be reached or did not
// respond.
func (pl *Placer) recordFailure(dataCentre string, node netip.AddrPort, now time.Time) {
	if pl.hasLeft(node) {
		return
	}
	ce := pl.centres[dataCentre]
	if ce == nil {
		ce = &centre{failed: map[netip.AddrPort]bool{}}
		pl.centres[dataCentre] = ce
	}
	suspected := ce.suspected()
	ce.failed[node] = true
	// Later failures of attempts in flight don't delay the probe.
	if !suspected && ce.suspected() {
		ce.probeAt = now.Add(minProbeDelay)
	}
}

// RecordResponse records that a node of the data centre responded.
func (pl *Placer) RecordResponse(dataCentre string) { delete(pl.centres, dataCentre) }

// usable reports whether requests may be sent to the target's node. A node never gives
// up its own data centre.
func (pl *Placer) usable(ta *Target, re *Request) bool {
	if !pl.Reachable(ta.Node) {
		return false
	}
	ce := pl.centres[ta.DataCentre]
	if ta.DataCentre == re.DataCentre || !ce.suspected() {
		return true
	}
	ce.skipped = ta.Node
	return false
}

// keepCentres removes the state of all nodes except the given ones. Failures of nodes
// that have left say nothing about the others of their data centre.
func (pl *Placer) keepCentres(nodes map[netip.AddrPort]bool) {
	left := func(node netip.AddrPort) bool { return !nodes[node] }
	maps.DeleteFunc(pl.centres, func(_ string, ce *centre) bool {
		maps.DeleteFunc(ce.failed, func(node netip.AddrPort, _ bool) bool { return left(node) })
		if left(ce.skipped) {
			ce.skipped = netip.AddrPort{}
		}
		return len(ce.failed) == 0
	})
}

// probeCentres marks a node of each suspected data centre that is due for a probe as
// unreachable, so that it is probed like the others.
func (pl *Placer) probeCentres(now time.Time) {
	for dataCentre, ce := range pl.centres {
		if !ce.suspected() || !ce.skipped.IsValid() || now.Before(ce.probeAt) {
			continue
		}
		if pl.Reachable(ce.skipped) {
			pl.nodes[ce.skipped] = &nodeBackoff{dataCentre: dataCentre, probeAt: now}
		}
		ce.skipped, ce.probeAt = netip.AddrPort{}, now.Add(maxProbeDelay)
	}
}
