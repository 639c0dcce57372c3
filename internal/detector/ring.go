package detector

import "github.com/guavastall/guavastall/pkg/checker"

const (
	localRings = 3
	ringCount  = localRings + 1
	// ringReach bounds the suspected members probed on each ring before the
	// first one that is not suspected.
	ringReach = 3
)

// ringNeighbours returns the members that the node probes: on each of three
// rings of its own data centre, and on one ring of all others, its successor.
// A ring orders the members by a hash, so each member is the successor of
// exactly one other on each ring of its data centre, and a change of members
// changes the neighbours of few. A suspected successor stays a neighbour, and
// the one after it becomes one too.
func (de *Detector) ringNeighbours() []checker.NodeID {
	var list []checker.NodeID
	add := func(node checker.NodeID) bool {
		for _, known := range list {
			if known == node {
				return false
			}
		}
		list = append(list, node)
		return true
	}
	for ring := range ringCount {
		self := de.self().places[ring]
		at, found := self, false
		for range ringReach + 1 {
			next := de.successor(ring, self, at, found)
			if next == nil {
				break
			}
			at, found = next.places[ring], true
			if add(next.Node) && next.state() == Alive {
				break
			}
		}
	}
	return list
}

// successor returns the member after a place on the ring, going round once
// from the node's own place.
func (de *Detector) successor(ring int, self, at uint64, started bool) *entry {
	var best *entry
	var bestDistance uint64
	from := at - self
	for _, en := range de.table.list {
		if en.state() >= Dead || en.Node == de.node || !de.onRing(ring, en) {
			continue
		}
		distance := en.places[ring] - self
		if started && distance <= from {
			continue
		}
		if best == nil || distance < bestDistance {
			best, bestDistance = en, distance
		}
	}
	return best
}

// onRing reports whether the member is on the node's view of the ring.
func (de *Detector) onRing(ring int, en *entry) bool {
	return (en.DataCentre == de.self().DataCentre) == (ring < localRings)
}
