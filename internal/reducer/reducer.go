// Package reducer applies the records of the platform's log to the
// configuration state.
//
// This is deterministic: nodes that have applied the same records hold the same
// logged state. Every node therefore accepts or refuses a record alike, and no
// lock or leader is needed. A [State] is immutable; [State.Apply] and
// [State.Join] return a new one.
//
// A move is the rollout of a new version of a service. Facts about moves and
// data centres form join semilattices. They reach a node through the log and
// also directly from its peers, in any order and any number of times. Whether a
// record is accepted and a move is started depends only on the facts in the log.
package reducer

import (
	"maps"
	"slices"
	"time"

	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/pkg/checker"
)

const (
	// resultLimit bounds the stored publication results. A resend after a lost
	// response follows within seconds, long before this many other publications.
	resultLimit = 1024
	// endedMoveLimit bounds the ended moves that are kept for reports.
	endedMoveLimit = 64
	// moveIDBits is enough for one record to start a move of every service that
	// a document may hold.
	moveIDBits = 10
)

// State is the configuration state after a number of records. It is immutable
// and safe for concurrent use. The zero value is the state before any record.
type State struct {
	logged   logged
	gossiped facts

	// merged is the join of the logged and the gossiped facts.
	merged facts
}

// logged is the part of the state that depends only on the records.
type logged struct {
	Next      uint64                               `json:"next"`
	Revision  checker.Revision                     `json:"revision"`
	Document  *checker.Document                    `json:"document,omitempty"`
	ChangedAt map[checker.Service]checker.Revision `json:"changedAt,omitempty"`
	Moves     map[checker.MoveID]Move              `json:"moves,omitempty"`
	Results   []Result                             `json:"results,omitempty"`
	Facts     facts                                `json:"facts"`
	// Skips counts the gaps that State.Skip has skipped.
	Skips uint64 `json:"skips,omitempty"`
}

// Result is the outcome of a publication.
type Result struct {
	// ID is the publication's ID, chosen by the client.
	ID string `json:"id"`
	// Offset is the offset of the record in the log.
	Offset uint64 `json:"offset"`
	// Accepted is set if the record changed the configuration.
	Accepted bool `json:"accepted"`
	// Stale is set if the record was refused for its base revision.
	Stale bool `json:"stale,omitempty"`
	// Revision is the revision after the record.
	Revision checker.Revision `json:"revision"`
	// Problem is the reason for which the record was refused.
	Problem string `json:"problem,omitempty"`
}

// Move is the rollout of a target version.
type Move struct {
	// ID is the revision of the record that started the move.
	ID checker.MoveID `json:"id"`
	// Service is the service whose version changes.
	Service checker.Service `json:"service"`
	// From is the version that serves until the move is done.
	From checker.Version `json:"from"`
	// To is the new version.
	To checker.Version `json:"to"`
	// Started is the wall time of the record that started the move.
	Started time.Time `json:"started"`
	// Deadline is the time by which the move must be done; zero means none.
	Deadline time.Time `json:"deadline,omitzero"`
	// Superseded is set if a later move of the service replaced this one.
	Superseded bool `json:"superseded,omitempty"`
}

// Phase is the phase of a move.
type Phase string

// The phases of a move.
const (
	Pending    Phase = "pending"
	Done       Phase = "done"
	TakenBack  Phase = "takenBack"
	Superseded Phase = "superseded"
)

// Progress is a move with its phase and steps.
type Progress struct {
	Move
	// Phase is the phase of the move.
	Phase Phase `json:"phase"`
	// Reason is the reason for which the move was rolled back.
	Reason string `json:"reason,omitempty"`
	// Steps holds the step that each data centre has reached. 0 means no traffic;
	// n+1 means the entry with index n in the profile's list of steps.
	Steps map[checker.DataCentre]int `json:"steps,omitempty"`
}

// Split is the division of the calls of a service between two versions.
type Split struct {
	// Move identifies the open move; zero if there is none.
	Move checker.MoveID
	// Old serves all calls except the share of New.
	Old checker.Version
	// New is the version that an open move introduces; empty if there is none.
	New checker.Version
	// Share is the share of calls for New, 0 to 1.
	Share float64
}

// Next returns the offset of the next record to apply.
func (st *State) Next() uint64 { return st.logged.Next }

// Skips returns the number of gaps in the log that this state has skipped. Two
// states that have skipped none and have the same Next differ at most in the
// facts received from peers.
func (st *State) Skips() uint64 { return st.logged.Skips }

// Revision returns the configuration revision.
func (st *State) Revision() checker.Revision { return st.logged.Revision }

// Document returns the configuration in force, or nil if there is none.
// The caller must not change it.
func (st *State) Document() *checker.Document { return st.logged.Document }

// Result returns the result of the publication with the ID, and whether the
// state holds one.
func (st *State) Result(id string) (Result, bool) {
	for _, re := range slices.Backward(st.logged.Results) {
		if re.ID == id {
			return re, true
		}
	}
	return Result{}, false
}

// Moves returns the moves with their progress, in the order they started.
func (st *State) Moves() []Progress {
	list := make([]Progress, 0, len(st.logged.Moves))
	for _, id := range slices.Sorted(maps.Keys(st.logged.Moves)) {
		list = append(list, st.progress(st.logged.Moves[id], st.merged))
	}
	return list
}

// Move returns the move with the ID, and whether the state holds it.
func (st *State) Move(id checker.MoveID) (Progress, bool) {
	mo, ok := st.logged.Moves[id]
	if !ok {
		return Progress{}, false
	}
	return st.progress(mo, st.merged), true
}

func (st *State) progress(mo Move, fs facts) Progress {
	pr := Progress{Move: mo, Phase: phaseOf(mo, fs), Reason: fs.TakenBack[mo.ID]}
	pr.Steps = maps.Clone(fs.Steps[mo.ID])
	return pr
}

func phaseOf(mo Move, fs facts) Phase {
	if _, ok := fs.TakenBack[mo.ID]; ok {
		return TakenBack
	}
	switch {
	case fs.Done[mo.ID]:
		return Done
	case mo.Superseded:
		return Superseded
	default:
		return Pending
	}
}

// Marks returns the data centre marks in force. The caller must not change it.
func (st *State) Marks() map[checker.DataCentre]DataCentreMark { return st.merged.Marks }

// Out reports whether operators have taken the data centre out of service.
func (st *State) Out(dc checker.DataCentre) bool { return st.merged.Marks[dc].Out }

// Split returns the division of the service's calls in the data centre.
func (st *State) Split(se checker.Service, dc checker.DataCentre) Split {
	if st.logged.Document == nil {
		return Split{}
	}
	mo, ok := lastMove(st.logged.Moves, se)
	if !ok {
		return Split{Old: st.logged.Document.Services[se].Version}
	}
	switch phaseOf(mo, st.merged) {
	case Done:
		return Split{Old: mo.To}
	case TakenBack:
		return Split{Old: mo.From}
	}
	return Split{Move: mo.ID, Old: mo.From, New: mo.To, Share: st.share(mo, dc)}
}

// share returns the share of new calls at the step the data centre has reached.
func (st *State) share(mo Move, dc checker.DataCentre) float64 {
	steps := st.Steps(mo.Service)
	step := min(st.merged.Steps[mo.ID][dc], len(steps))
	if step <= 0 {
		return 0
	}
	return steps[step-1]
}

// Steps returns the rollout steps of the service's profile.
func (st *State) Steps(se checker.Service) []float64 {
	if st.logged.Document == nil {
		return nil
	}
	co := st.logged.Document.Services[se]
	return st.logged.Document.Profiles[co.Profile].Rollout.Steps
}

// lastMove returns the newest move of the service, and whether there is one.
func lastMove(moves map[checker.MoveID]Move, se checker.Service) (Move, bool) {
	var last Move
	for id, mo := range moves {
		if mo.Service == se && id > last.ID {
			last = mo
		}
	}
	return last, last.ID != 0
}

// Join adds a fact received from a peer. It returns the same state if the fact
// adds nothing or is about a move that has been pruned.
func (st *State) Join(fa Fact) *State {
	if st.pruned(fa) {
		return st
	}
	joined, changed := st.merged.join(fa)
	if !changed {
		return st
	}
	next := *st
	next.gossiped, _ = st.gossiped.join(fa)
	next.merged = joined
	return &next
}

// pruned reports whether the fact is about a move that was pruned: one that the
// records applied so far could have started but that the state does not hold.
func (st *State) pruned(fa Fact) bool {
	id := fa.move()
	if id == 0 || uint64(id>>moveIDBits) > st.logged.Next {
		return false
	}
	_, known := st.logged.Moves[id]
	return !known
}

// Facts returns all facts that the state holds, in a fixed order.
func (st *State) Facts() []Fact { return st.merged.list() }

// Unlogged returns the facts received from peers that are not yet in the log.
func (st *State) Unlogged() []Fact {
	var missing []Fact
	for _, fa := range st.gossiped.list() {
		if st.pruned(fa) {
			continue
		}
		if _, changed := st.logged.Facts.join(fa); changed {
			missing = append(missing, fa)
		}
	}
	return missing
}

// NextMark returns a mark that takes the data centre out of service or puts it
// back, with an epoch above that of every mark in this state.
func (st *State) NextMark(dc checker.DataCentre, out bool) DataCentreMark {
	return DataCentreMark{DataCentre: dc, Epoch: st.merged.Marks[dc].Epoch + 1, Out: out}
}

// withLogged returns the state with the logged part replaced.
func (st *State) withLogged(lo logged) *State {
	asserter.That(lo.Revision >= st.logged.Revision, "revisionNeverDecreases",
		"revision %d after %d", lo.Revision, st.logged.Revision)
	next := &State{logged: lo, gossiped: st.gossiped}
	next.gossiped = next.gossiped.without(next.pruned)
	next.merged = lo.Facts.joinAll(next.gossiped)
	return next
}
