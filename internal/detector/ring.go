package detector

import "github.com/guavastall/guavastall/pkg/checker"

const (
	localRings = 3
	ringCount  = localRings + 1
	// maxSuspectsPerRing bounds the suspects probed on each ring in addition to
	// the first member that is alive.
	maxSuspectsPerRing = 3
)

// ringNeighbours returns the members that the node probes: its successor on each
// of three rings of its own data centre, and on one ring of the members of all
// other data centres. A ring orders the members by a hash. Each member is
// therefore the successor of exactly one other on each ring of its data centre,
// and a membership change affects the neighbours of few nodes. A suspect
// successor stays a neighbour, and the next member on the ring becomes one too.
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
		self := de.self().ringHashes[ring]
		at, found := self, false
		for range maxSuspectsPerRing + 1 {
			next := de.successor(ring, self, at, found)
			if next == nil {
				break
			}
			at, found = next.ringHashes[ring], true
			if add(next.Node) && next.state() == Alive {
				break
			}
		}
	}
	return list
}

// successor returns the next member after the hash at, or nil if the node's own
// hash self comes first. If started is false, at is the node's own hash.
func (de *Detector) successor(ring int, self, at uint64, started bool) *entry {
	var best *entry
	var bestDistance uint64
	from := at - self
	for _, en := range de.table.list {
		if en.state() >= Dead || en.Node == de.node || !de.onRing(ring, en) {
			continue
		}
		distance := en.ringHashes[ring] - self
		if started && distance <= from {
			continue
		}
		if best == nil || distance < bestDistance {
			best, bestDistance = en, distance
		}
	}
	return best
}

// onRing reports whether the member belongs to the ring as seen from this node.
func (de *Detector) onRing(ring int, en *entry) bool {
	return (en.DataCentre == de.self().DataCentre) == (ring < localRings)
}
