package reducer

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/pkg/checker"
)

// ErrGap reports a record that does not follow the last one applied.
var ErrGap = errors.New("record does not follow the last one applied")

// Apply applies the record at the offset. A record below [State.Next] changes
// nothing. The error is [ErrGap] or [ErrFormat], and the state is then
// unchanged. A refused record is not an error: it is applied, and its result
// holds the reason for the refusal.
func (st *State) Apply(offset uint64, data []byte) (*State, Result, error) {
	switch {
	case offset < st.logged.Next:
		return st, Result{Offset: offset, Revision: st.logged.Revision}, nil
	case offset > st.logged.Next:
		return st, Result{}, fmt.Errorf("%w: offset %d after %d", ErrGap, offset, st.logged.Next)
	}
	rec, err := Decode(data)
	if errors.Is(err, ErrFormat) {
		return st, Result{}, err
	}
	lo := st.logged
	lo.Next = offset + 1
	if err != nil {
		re := Result{Offset: offset, Revision: lo.Revision, Problem: err.Error()}
		return st.withLogged(lo), re, nil
	}
	if re, known := st.Result(rec.ID); known && rec.ID != "" {
		return st.withLogged(lo), re, nil
	}
	fo := &fold{logged: lo, rec: rec, offset: offset}
	re := fo.run()
	return st.withLogged(fo.logged), re, nil
}

// fold applies one record to a copy of the logged state. It copies the maps and
// slices that it changes.
type fold struct {
	logged
	rec    Record
	offset uint64
}

func (fo *fold) run() Result {
	for _, fa := range fo.rec.Facts {
		fo.Facts, _ = fo.Facts.join(fa)
	}
	if fo.rec.Document == nil && fo.rec.Choose == nil {
		return fo.result("")
	}
	doc, problem := fo.proposedDocument()
	if problem == "" {
		if faults := checker.Check(doc); len(faults) > 0 {
			problem = faults.Error()
		}
	}
	if problem != "" {
		re := fo.result(problem)
		re.Stale = fo.stale()
		return fo.addResult(re)
	}
	fo.accept(doc)
	re := fo.result("")
	re.Accepted = true
	return fo.addResult(re)
}

func (fo *fold) result(problem string) Result {
	return Result{ID: fo.rec.ID, Offset: fo.offset, Revision: fo.Revision, Problem: problem}
}

// addResult adds a publication result and drops the oldest ones beyond
// resultLimit.
func (fo *fold) addResult(re Result) Result {
	if re.ID == "" {
		return re
	}
	keep := fo.Results
	if len(keep) >= resultLimit {
		keep = keep[len(keep)-resultLimit+1:]
	}
	fo.Results = append(slices.Clone(keep), re)
	return re
}

// stale reports whether the record's base revision has been superseded.
func (fo *fold) stale() bool {
	if fo.rec.Choose != nil {
		return fo.rec.Base < fo.ChangedAt[fo.rec.Choose.Service]
	}
	return fo.rec.Base != fo.Revision
}

// proposedDocument returns the document that the record requests, or a problem.
// The texts of problems are stored in the state and must not change: builds that
// write different texts would hold different states.
func (fo *fold) proposedDocument() (*checker.Document, string) {
	if fo.stale() {
		return nil, fmt.Sprintf("built on revision %d, but revision %d is in force; "+
			"read the configuration again and repeat the change", fo.rec.Base, fo.Revision)
	}
	if fo.rec.Document != nil {
		return fo.rec.Document, ""
	}
	return fo.withChoice(*fo.rec.Choose)
}

// withChoice returns the document with the choice of one service changed, or a
// problem.
func (fo *fold) withChoice(ch Choose) (*checker.Document, string) {
	if fo.Document == nil {
		return nil, "no configuration has been published yet"
	}
	co, ok := fo.Document.Services[ch.Service]
	if !ok {
		return nil, fmt.Sprintf("service %q does not exist; the services are %s",
			ch.Service, joinKeys(fo.Document.Services))
	}
	if ch.Profile != "" {
		co.Profile = ch.Profile
	}
	if _, ok := fo.Document.Profiles[co.Profile]; !ok {
		return nil, fmt.Sprintf("profile %q does not exist; the profiles are %s",
			co.Profile, joinKeys(fo.Document.Profiles))
	}
	if ch.Version != "" {
		co.Version = ch.Version
		co.Deadline = ch.Deadline
	}
	doc := *fo.Document
	doc.Services = withEntry(doc.Services, ch.Service, co)
	return &doc, ""
}

func joinKeys[K ~string, V any](mp map[K]V) string {
	list := make([]string, 0, len(mp))
	for _, key := range sortedKeys(mp) {
		list = append(list, string(key))
	}
	return strings.Join(list, ", ")
}

// accept puts the document in force and starts the moves that it requires.
func (fo *fold) accept(doc *checker.Document) {
	before := fo.Document
	revision := checker.Revision(fo.offset + 1)
	asserter.That(revision > fo.Revision, "revisionNeverDecreases",
		"revision %d after %d", revision, fo.Revision)
	fo.Revision = revision
	fo.Document = doc
	fo.Moves = maps.Clone(fo.Moves)
	if fo.Moves == nil {
		fo.Moves = map[checker.MoveID]Move{}
	}
	fo.ChangedAt = fo.changedAt(before, doc, revision)
	for _, se := range sortedKeys(doc.Services) {
		fo.updateMove(before, se, doc.Services[se])
	}
	fo.pruneMoves()
}

// changedAt returns for each service the revision that last changed its choice.
func (fo *fold) changedAt(
	before, doc *checker.Document, revision checker.Revision,
) map[checker.Service]checker.Revision {
	next := make(map[checker.Service]checker.Revision, len(doc.Services))
	for se := range doc.Services {
		next[se] = revision
		chosenElsewhere := fo.rec.Choose != nil && fo.rec.Choose.Service != se
		if chosenElsewhere && before != nil {
			next[se] = fo.ChangedAt[se]
		}
	}
	return next
}

// updateMove starts, replaces or ends the move of a service when its version
// changes.
func (fo *fold) updateMove(before *checker.Document, se checker.Service, co checker.Choice) {
	if before == nil {
		return
	}
	old, existed := before.Services[se]
	if !existed {
		return
	}
	// A document that repeats a version which was rolled back does not start its
	// rollout again; an explicit choice does.
	chosen := fo.rec.Choose != nil && fo.rec.Choose.Service == se && fo.rec.Choose.Version != ""
	if !chosen && old.Version == co.Version {
		return
	}
	current := old.Version
	last, moved := lastMove(fo.Moves, se)
	if moved {
		phase := phaseOf(last, fo.Facts)
		if phase == Pending && last.To == co.Version {
			last.Deadline = co.Deadline
			fo.Moves[last.ID] = last
			return
		}
		current = currentVersion(last, phase)
		if phase == Pending {
			fo.endMove(last, co)
		}
	}
	if current == co.Version {
		return
	}
	id := fo.nextMoveID()
	fo.Moves[id] = Move{
		ID: id, Service: se, From: current, To: co.Version,
		Started: fo.rec.Time, Deadline: co.Deadline,
	}
}

// nextMoveID returns an ID above that of every earlier move.
func (fo *fold) nextMoveID() checker.MoveID {
	id := checker.MoveID(fo.Revision) << moveIDBits
	for {
		if _, taken := fo.Moves[id]; !taken {
			return id
		}
		id++
	}
}

func currentVersion(mo Move, phase Phase) checker.Version {
	if phase == Done {
		return mo.To
	}
	return mo.From
}

// endMove ends a pending move that a new choice replaces.
func (fo *fold) endMove(mo Move, co checker.Choice) {
	if co.Version == mo.From {
		fact := Fact{TakeBack: &TakeBack{Move: mo.ID, Reason: "operator chose " + string(mo.From)}}
		fo.Facts, _ = fo.Facts.join(fact)
		return
	}
	mo.Superseded = true
	fo.Moves[mo.ID] = mo
}

// pruneMoves removes the moves of services that the document lacks and the
// oldest ended ones beyond endedMoveLimit, but never the last move of a service.
// Facts about removed moves are removed too.
func (fo *fold) pruneMoves() {
	last := map[checker.Service]checker.MoveID{}
	for id, mo := range fo.Moves {
		last[mo.Service] = max(last[mo.Service], id)
	}
	var ended []checker.MoveID
	for id, mo := range fo.Moves {
		if _, served := fo.Document.Services[mo.Service]; !served {
			delete(fo.Moves, id)
			continue
		}
		if last[mo.Service] != id {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	for len(ended) > endedMoveLimit {
		delete(fo.Moves, ended[0])
		ended = ended[1:]
	}
	fo.Facts = fo.Facts.without(func(fa Fact) bool {
		_, known := fo.Moves[fa.move()]
		return fa.move() != 0 && !known
	})
}
