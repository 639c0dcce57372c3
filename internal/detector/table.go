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

// bucketCount is the number of buckets of the digest. With 750 members a bucket
// holds about six, and the hashes take about 640 bytes.
const bucketCount = 128

// Note is a small value that is gossiped to all nodes along with the members.
// The value with the greatest epoch takes precedence, and at equal epochs the
// one with the greater data.
type Note struct {
	Key string
	// Epoch orders the values of the note.
	Epoch uint64
	Data  []byte
}

const (
	maxNotes     = 64
	maxNoteBytes = 2048
)

func (no Note) valid() bool {
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
	// localState is a state that is not propagated: the node was isolated when
	// it detected the failure, or the member is disputed.
	localState State
	// disputed reports whether localState is due to a peer that considers the
	// member dead.
	disputed bool
	// digestHash is the entry's part of the digest, or zero if it has none.
	digestHash uint64
	bucket     int
	// index is the entry's index in the table's list.
	index int
	// version is the table's version when the record last changed.
	version uint64
	// sentBy is the set of bits of the peers that sent this record.
	sentBy uint64
	// since is when the member entered its state.
	since time.Time
	// revivedAt is when the member last returned from the dead state.
	revivedAt time.Time
	// ringHashes holds the entry's position on each ring.
	ringHashes [ringCount]uint64
}

// state returns the state of the member as this node sees it.
func (en *entry) state() State { return max(en.State, en.localState) }

type note struct {
	Note
	version uint64
	sentBy  uint64
}

// table holds the members and notes and their digest.
type table struct {
	entries map[checker.NodeID]*entry
	// list holds the entries for iteration, which is faster than over the map
	// and has the same order in every run.
	list  []*entry
	notes map[string]*note
	// version grows with each change that is propagated.
	version uint64
	// topology grows with each change of a member's state or data centre.
	topology   uint64
	memberHash uint64
	noteHash   uint64
	buckets    [bucketCount]uint64
}

func newTable() table {
	return table{entries: map[checker.NodeID]*entry{}, notes: map[string]*note{}}
}

// set stores a record and updates the digest. Dead and left members are not in
// the digest, because nodes remove them at different times.
func (ta *table) set(me Member, sentBy uint64, now time.Time) *entry {
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
	clearsLocal := en.Incarnation != me.Incarnation || me.State != Alive
	if clearsLocal && en.localState != Alive {
		en.localState, en.disputed = Alive, false
		ta.topology++
	}
	if en.version == 0 || en.State != me.State || en.DataCentre != me.DataCentre {
		ta.topology++
	}
	if en.State == Dead && me.State < Dead {
		en.revivedAt = now
	}
	ta.removeFromDigest(en)
	en.Member = me
	if me.State < Dead {
		en.digestHash = me.hash()
	}
	ta.memberHash ^= en.digestHash
	ta.buckets[en.bucket] ^= en.digestHash
	ta.version++
	en.version, en.sentBy = ta.version, sentBy
	return en
}

func (ta *table) removeFromDigest(en *entry) {
	ta.memberHash ^= en.digestHash
	ta.buckets[en.bucket] ^= en.digestHash
	en.digestHash = 0
}

func newEntry(node checker.NodeID) *entry {
	text := node.String()
	en := &entry{bucket: int(xxhash.Sum64String(text) % bucketCount)}
	for nn := range en.ringHashes {
		en.ringHashes[nn] = xxhash.Sum64String(string(rune('a'+nn)) + text)
	}
	return en
}

func (ta *table) remove(node checker.NodeID) {
	en := ta.entries[node]
	ta.removeFromDigest(en)
	delete(ta.entries, node)
	last := ta.list[len(ta.list)-1]
	ta.list[en.index], last.index = last, en.index
	ta.list[len(ta.list)-1] = nil
	ta.list = ta.list[:len(ta.list)-1]
	ta.topology++
}

// setNote stores a note if it supersedes the known one, and reports whether it
// was stored. from is the bit of the peer that sent it.
func (ta *table) setNote(no Note, from uint64) bool {
	known := ta.notes[no.Key]
	switch {
	case !no.valid():
		return false
	case known == nil && len(ta.notes) >= maxNotes:
		return false
	case known == nil:
		known = &note{}
		ta.notes[no.Key] = known
	case !no.supersedes(known.Note):
		if no.Epoch == known.Epoch && bytes.Equal(no.Data, known.Data) {
			known.sentBy |= from
		}
		return false
	default:
		ta.noteHash ^= known.hash()
	}
	ta.noteHash ^= no.hash()
	ta.version++
	*known = note{Note: no, version: ta.version, sentBy: from}
	return true
}

// digest returns the hash of the members and notes.
func (ta *table) digest() uint64 { return ta.memberHash ^ ta.noteHash }

// hasChanges reports whether changes would return any member or note.
func (ta *table) hasChanges(after, peer uint64) bool {
	if after >= ta.version {
		return false
	}
	for _, en := range ta.list {
		if en.version > after && en.sentBy&peer == 0 {
			return true
		}
	}
	for _, no := range ta.notes {
		if no.version > after && no.sentBy&peer == 0 {
			return true
		}
	}
	return false
}

// change is a changed member or note.
type change struct {
	version uint64
	entry   *entry
	note    *note
}

// changes returns up to limit members and notes that changed after a version,
// oldest first, and the version up to which they are complete. It omits those
// that the peer with the given bit has sent itself.
func (ta *table) changes(
	after, peer uint64, limit int,
) ([]Member, []Note, uint64) {
	if after >= ta.version {
		return nil, nil, ta.version
	}
	var list []change
	for _, en := range ta.list {
		if en.version > after && en.sentBy&peer == 0 {
			list = append(list, change{version: en.version, entry: en})
		}
	}
	for _, no := range ta.notes {
		if no.version > after && no.sentBy&peer == 0 {
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

// truncatedBuckets returns the bucket hashes, truncated to 32 bits to keep messages
// small.
func (ta *table) truncatedBuckets() []uint32 {
	short := make([]uint32, bucketCount)
	for nn, hash := range ta.buckets {
		short[nn] = uint32(hash)
	}
	return short
}

// sorted returns the entries ordered by address.
func (ta *table) sorted() []*entry {
	list := slices.Clone(ta.list)
	slices.SortFunc(list, func(ea, eb *entry) int { return ea.Node.Compare(eb.Node) })
	return list
}
