package router

import (
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Loads holds what this node knows of the load of each node. It outlives the
// tables.
type Loads struct{}

// NewLoads returns empty loads, whose random choices derive from the seed.
func NewLoads(_ uint64) *Loads {
	return &Loads{}
}

// Begin counts an attempt sent to the node. Each Begin is followed by one End.
func (lo *Loads) Begin(_ checker.NodeID, _ time.Time) {}

// End counts the end of an attempt and takes in what its response reported.
func (lo *Loads) End(_ checker.NodeID, _ Report, _ time.Time) {}

// Observe takes in a report that belongs to no attempt of this node, such as
// the state of the limiter of its own target.
func (lo *Loads) Observe(_ checker.NodeID, _ Report, _ time.Time) {}

// Forget drops what is known of a node that has left.
func (lo *Loads) Forget(_ checker.NodeID) {}
