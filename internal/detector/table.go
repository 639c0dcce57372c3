package detector

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavastall/guavastall/pkg/checker"
)

// bucketCount is the number of buckets of the digest: with 750 members a
// bucket holds about six, and the hashes take about 640 bytes.
const bucketCount = 128

// Note is a small value that spreads to all nodes along with the members.
// The greatest epoch wins; at equal epochs the greater data.
type Note struct {
	// Key names the note.
	Key string
	// Epoch orders the values of the note.
	Epoch uint64
	// Data is the value.
	Data []byte
}

const (
	maxNotes     = 64
	maxNoteBytes = 2048
)

func (no Note) ok() bool {
	return no.Key != "" && len(no.Key) <= 2*maxNameBytes && len(no.Data) <= maxNoteBytes
}

func (no Note) supersedes(known Note) bool {
	if no.Epoch != known.Epoch {
		return no.Epoch > known.Epoch
	}
	return bytes.Compare(no.Data, known.Data) > 0
}

func (no Note) hash() uint64 {
	var di xxhash.Digest
	di.Reset()
	_, _ = di.WriteString(no.Key)
	_, _ = di.Write(binary.BigEndian.AppendUint64([]byte{0}, no.Epoch))
	_, _ = di.Write(no.Data)
	return di.Sum64()
}

// entry is a member in the table.
type entry struct {
	Member
	// local is a verdict that is not spread, because the node made it while
	// it had no contact with any other node.
	local State
	// doubted says that local stems from the verdict of others.
	doubted bool
	// hashed is the entry's part of the digest; zero if it is not in it.
	hashed uint64
	bucket int
	// index is the entry's place in the table's list.
	index int
	// version is the table's version when the record last changed.
	version uint64
	// known has the bits of the peers that sent this record.
	known uint64
	// since is when the state was entered.
	since time.Time
	// revived is when the member was last heard to be alive after its death.
	revived time.Time
	// places holds the entry's position on each ring.
	places [ringCount]uint64
}

// state returns the state of the member as this node sees it.
func (en *entry) state() State { return max(en.State, en.local) }

type note struct {
	Note
	version uint64
	known   uint64
}

// table holds the members and notes with their digest.
type table struct {
	entries map[checker.NodeID]*entry
	// list holds the entries for walks, which are faster than over the map
	// and in an order that does not vary between runs.
	list  []*entry
	notes map[string]*note
	// version grows with each change that is spread.
	version uint64
	// shape grows with each change of a member's state or place.
	shape    uint64
	root     uint64
	noteHash uint64
	buckets  [bucketCount]uint64
}

func newTable() table {
	return table{entries: map[checker.NodeID]*entry{}, notes: map[string]*note{}}
}

// set stores a record and updates the digest. Dead and left members are not in
// the digest, because nodes forget them at different times.
func (ta *table) set(me Member, known uint64, now time.Time) *entry {
	en := ta.entries[me.Node]
	if en == nil {
		en = newEntry(me.Node)
		ta.entries[me.Node] = en
		en.index = len(ta.list)
		ta.list = append(ta.list, en)
	}
	if en.State != me.State || en.Incarnation != me.Incarnation || en.version == 0 {
		en.since = now
	}
	settled := en.Incarnation != me.Incarnation || me.State != Alive
	if settled && en.local != Alive {
		en.local, en.doubted = Alive, false
		ta.shape++
	}
	if en.version == 0 || en.State != me.State || en.DataCentre != me.DataCentre {
		ta.shape++
	}
	if en.State == Dead && me.State < Dead {
		en.revived = now
	}
	ta.unhash(en)
	en.Member = me
	if me.State < Dead {
		en.hashed = me.hash()
	}
	ta.root ^= en.hashed
	ta.buckets[en.bucket] ^= en.hashed
	ta.version++
	en.version, en.known = ta.version, known
	return en
}

// unhash takes the entry out of the digest.
func (ta *table) unhash(en *entry) {
	ta.root ^= en.hashed
	ta.buckets[en.bucket] ^= en.hashed
	en.hashed = 0
}

func newEntry(node checker.NodeID) *entry {
	text := node.String()
	en := &entry{bucket: int(xxhash.Sum64String(text) % bucketCount)}
	for nn := range en.places {
		en.places[nn] = xxhash.Sum64String(string(rune('a'+nn)) + text)
	}
	return en
}

// remove forgets a member.
func (ta *table) remove(node checker.NodeID) {
	en := ta.entries[node]
	ta.unhash(en)
	delete(ta.entries, node)
	last := ta.list[len(ta.list)-1]
	ta.list[en.index], last.index = last, en.index
	ta.list[len(ta.list)-1] = nil
	ta.list = ta.list[:len(ta.list)-1]
	ta.shape++
}

// setNote stores a note if it supersedes the known one. The bits are those of
// the peer it came from.
func (ta *table) setNote(no Note, from uint64) bool {
	known := ta.notes[no.Key]
	switch {
	case !no.ok():
		return false
	case known == nil && len(ta.notes) >= maxNotes:
		return false
	case known == nil:
		known = &note{}
		ta.notes[no.Key] = known
	case !no.supersedes(known.Note):
		if no.Epoch == known.Epoch && bytes.Equal(no.Data, known.Data) {
			known.known |= from
		}
		return false
	default:
		ta.noteHash ^= known.hash()
	}
	ta.noteHash ^= no.hash()
	ta.version++
	*known = note{Note: no, version: ta.version, known: from}
	return true
}

// digest returns the hash of the whole table.
func (ta *table) digest() uint64 { return ta.root ^ ta.noteHash }

// hasChanges reports whether changes would return any.
func (ta *table) hasChanges(after, peer uint64) bool {
	if after >= ta.version {
		return false
	}
	for _, en := range ta.list {
		if en.version > after && en.known&peer == 0 {
			return true
		}
	}
	for _, no := range ta.notes {
		if no.version > after && no.known&peer == 0 {
			return true
		}
	}
	return false
}

// change is a member or a note that changed.
type change struct {
	version uint64
	entry   *entry
	note    *note
}

// changes returns the members and notes that changed after the version, except
// those that the peer with the bit has sent itself, oldest first, and the version they reach to.
func (ta *table) changes(
	after, peer uint64, limit int,
) ([]Member, []Note, uint64) {
	if after >= ta.version {
		return nil, nil, ta.version
	}
	var list []change
	for _, en := range ta.list {
		if en.version > after && en.known&peer == 0 {
			list = append(list, change{version: en.version, entry: en})
		}
	}
	for _, no := range ta.notes {
		if no.version > after && no.known&peer == 0 {
			list = append(list, change{version: no.version, note: no})
		}
	}
	slices.SortFunc(list, func(ca, cb change) int { return cmp.Compare(ca.version, cb.version) })
	reached := ta.version
	if len(list) > limit {
		list = list[:limit]
		reached = list[limit-1].version
	}
	var members []Member
	var notes []Note
	for _, ch := range list {
		if ch.entry != nil {
			members = append(members, ch.entry.Member)
		} else {
			notes = append(notes, ch.note.Note)
		}
	}
	return members, notes, reached
}

// shortBuckets returns the hashes of the buckets, cut to 32 bits to save bytes.
func (ta *table) shortBuckets() []uint32 {
	short := make([]uint32, bucketCount)
	for nn, hash := range ta.buckets {
		short[nn] = uint32(hash)
	}
	return short
}

// sorted returns the entries ordered by node.
func (ta *table) sorted() []*entry {
	list := slices.Clone(ta.list)
	slices.SortFunc(list, func(ea, eb *entry) int { return ea.Node.Compare(eb.Node) })
	return list
}
