package placer

import "time"

// This file answers the load pattern of many nodes that place requests by the same
// reports: until the next report, all of them choose the target that looked best, which
// then refuses or delays their requests while others have free slots. Each choice is
// therefore made among a few random targets.

const (
	// sampleSize is the number of random targets of which the best is chosen. With
	// four, the nodes still crowded at the same targets.
	sampleSize = 2
	// minPreferred and minOther are the numbers of targets, in the own data centre and
	// overall, from which targets are sampled. Few targets are used by few nodes, and
	// the best of two would often be a poor one.
	minPreferred = 4
	minOther     = 8
)

// option is a target that may be chosen.
type option struct {
	Choice
	cost time.Duration
	// work is the expected time of the request at the target.
	work time.Duration
	// preferred reports whether the target is in the own data centre and expected to
	// respond well within the objective.
	preferred bool
}

// sample returns the index of the option to choose, where best is the one of least cost:
// the best of sampleSize random ones, or the best of all if there are few. Options that
// are not preferred are left out if there are preferred ones, and so are those whose wait
// exceeds the objective if the best one's does not. A target is drawn with a weight in
// proportion to its speed.
func (pl *Placer) sample(best int, objective time.Duration) int {
	maxWait := max(objective, pl.options[best].Wait)
	preferred, enough := pl.options[best].preferred, minOther
	if preferred {
		enough = minPreferred
	}
	var drawn [sampleSize]int
	var keys [sampleSize]float64
	count, eligible := 0, 0
	for nn := range pl.options {
		op := &pl.options[nn]
		if op.preferred != preferred {
			continue
		}
		eligible++
		if op.Wait > maxWait {
			continue
		}
		// The options with the smallest keys are a weighted random sample.
		key := pl.random.ExpFloat64() * float64(max(op.work, 1))
		if count < sampleSize {
			count++
		} else if key >= keys[count-1] {
			continue
		}
		at := count - 1
		for ; at > 0 && keys[at-1] > key; at-- {
			keys[at], drawn[at] = keys[at-1], drawn[at-1]
		}
		keys[at], drawn[at] = key, nn
	}
	if eligible < enough {
		return best
	}
	chosen := drawn[0]
	for _, nn := range drawn[1:count] {
		if pl.options[nn].cost < pl.options[chosen].cost {
			chosen = nn
		}
	}
	return chosen
}
