package reducer

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Fact is one fact about a move or a data centre; exactly one field is set.
type Fact struct {
	TakeBack *TakeBack       `json:"takeBack,omitempty"`
	Step     *Step           `json:"step,omitempty"`
	Done     *MoveDone       `json:"done,omitempty"`
	Mark     *DataCentreMark `json:"mark,omitempty"`
}

// TakeBack states that a move has been rolled back. It is final.
type TakeBack struct {
	Move   checker.MoveID `json:"move"`
	Reason string         `json:"reason"`
}

// Step states that a data centre has reached a step of a move. The greatest
// step wins.
type Step struct {
	Move       checker.MoveID     `json:"move"`
	DataCentre checker.DataCentre `json:"dataCentre"`
	Step       int                `json:"step"`
}

// MoveDone states that every data centre has passed the last step of a move. A
// TakeBack of the same move takes precedence.
type MoveDone struct {
	Move checker.MoveID `json:"move"`
}

// DataCentreMark states whether operators have taken a data centre out of
// service. The greatest epoch wins; at equal epochs, out wins.
type DataCentreMark struct {
	DataCentre checker.DataCentre `json:"dataCentre"`
	Epoch      uint64             `json:"epoch"`
	Out        bool               `json:"out"`
}

// move returns the ID of the move that the fact is about, or zero.
func (fa Fact) move() checker.MoveID {
	switch {
	case fa.TakeBack != nil:
		return fa.TakeBack.Move
	case fa.Step != nil:
		return fa.Step.Move
	case fa.Done != nil:
		return fa.Done.Move
	default:
		return 0
	}
}

// facts is a set of facts in joined form. It is immutable: join copies.
type facts struct {
	TakenBack map[checker.MoveID]string                     `json:"takenBack,omitempty"`
	Done      map[checker.MoveID]bool                       `json:"done,omitempty"`
	Steps     map[checker.MoveID]map[checker.DataCentre]int `json:"steps,omitempty"`
	Marks     map[checker.DataCentre]DataCentreMark         `json:"marks,omitempty"`
}

// join adds a fact. It reports whether the set changed.
func (fs facts) join(fa Fact) (facts, bool) {
	switch {
	case fa.TakeBack != nil:
		return fs.joinTakeBack(*fa.TakeBack)
	case fa.Step != nil:
		return fs.joinStep(*fa.Step)
	case fa.Done != nil:
		return fs.joinDone(*fa.Done)
	case fa.Mark != nil:
		return fs.joinMark(*fa.Mark)
	default:
		return fs, false
	}
}

func (fs facts) joinTakeBack(tb TakeBack) (facts, bool) {
	// Two nodes may roll a move back for different reasons at the same time. The
	// lexicographically smaller one wins, so that all nodes converge.
	reason, known := fs.TakenBack[tb.Move]
	if known && reason <= tb.Reason {
		return fs, false
	}
	fs.TakenBack = withEntry(fs.TakenBack, tb.Move, tb.Reason)
	return fs, true
}

func (fs facts) joinStep(sp Step) (facts, bool) {
	if sp.Step <= fs.Steps[sp.Move][sp.DataCentre] {
		return fs, false
	}
	fs.Steps = withEntry(fs.Steps, sp.Move, withEntry(fs.Steps[sp.Move], sp.DataCentre, sp.Step))
	return fs, true
}

func (fs facts) joinDone(md MoveDone) (facts, bool) {
	if fs.Done[md.Move] {
		return fs, false
	}
	fs.Done = withEntry(fs.Done, md.Move, true)
	return fs, true
}

func (fs facts) joinMark(mk DataCentreMark) (facts, bool) {
	known := fs.Marks[mk.DataCentre]
	newer := mk.Epoch > known.Epoch || mk.Epoch == known.Epoch && mk.Out && !known.Out
	if !newer {
		return fs, false
	}
	fs.Marks = withEntry(fs.Marks, mk.DataCentre, mk)
	return fs, true
}

// joinAll adds every fact of another set.
func (fs facts) joinAll(other facts) facts {
	for _, fa := range other.list() {
		fs, _ = fs.join(fa)
	}
	return fs
}

// without returns the set without the facts for which drop returns true.
func (fs facts) without(drop func(Fact) bool) facts {
	kept := facts{}
	for _, fa := range fs.list() {
		if !drop(fa) {
			kept, _ = kept.join(fa)
		}
	}
	return kept
}

// list returns the facts in a fixed order.
func (fs facts) list() []Fact {
	var list []Fact
	for _, id := range sortedKeys(fs.TakenBack) {
		list = append(list, Fact{TakeBack: &TakeBack{Move: id, Reason: fs.TakenBack[id]}})
	}
	for _, id := range sortedKeys(fs.Done) {
		list = append(list, Fact{Done: &MoveDone{Move: id}})
	}
	for _, id := range sortedKeys(fs.Steps) {
		for _, dc := range sortedKeys(fs.Steps[id]) {
			sp := Step{Move: id, DataCentre: dc, Step: fs.Steps[id][dc]}
			list = append(list, Fact{Step: &sp})
		}
	}
	for _, dc := range sortedKeys(fs.Marks) {
		mk := fs.Marks[dc]
		list = append(list, Fact{Mark: &mk})
	}
	return list
}

// FactsDigest returns a hash that is equal for states that hold the same facts.
func (st *State) FactsDigest() uint64 {
	data, err := json.Marshal(st.merged)
	if err != nil {
		panic(err) // every field of the type can be encoded as JSON
	}
	return xxhash.Sum64(data)
}

// withEntry returns a copy of the map with one entry set.
func withEntry[K comparable, V any](mp map[K]V, key K, value V) map[K]V {
	next := make(map[K]V, len(mp)+1)
	maps.Copy(next, mp)
	next[key] = value
	return next
}

func sortedKeys[K cmp.Ordered, V any](mp map[K]V) []K {
	return slices.Sorted(maps.Keys(mp))
}
