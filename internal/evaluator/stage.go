package evaluator

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Open reports whether the stage order lets the data centre start the move. The
// canary starts immediately, the others when any data centre has passed its first
// step. steps holds the known steps, and present the reachable data centres that
// serve the new version.
func Open(
	mo checker.MoveID, dc checker.DataCentre,
	steps map[checker.DataCentre]int, present []checker.DataCentre,
) bool {
	for _, step := range steps {
		if step >= 2 {
			return true
		}
	}
	canary, ok := Canary(mo, present)
	return steps[dc] > 0 || ok && canary == dc
}

// Canary returns the data centre that starts the move, or false if present is
// empty. The choice depends on the move, so that no data centre is the first for
// every move.
func Canary(mo checker.MoveID, present []checker.DataCentre) (checker.DataCentre, bool) {
	if len(present) == 0 {
		return "", false
	}
	weight := func(dc checker.DataCentre) uint64 {
		data := binary.BigEndian.AppendUint64(nil, uint64(mo))
		return xxhash.Sum64(append(data, dc...))
	}
	return slices.MaxFunc(present, func(da, db checker.DataCentre) int {
		wa, wb := weight(da), weight(db)
		switch {
		case wa < wb || wa == wb && da < db:
			return -1
		case wa > wb || da > db:
			return 1
		default:
			return 0
		}
	}), true
}
