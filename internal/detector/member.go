package detector

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavastall/guavastall/pkg/checker"
)

// State is the state of a member. At equal incarnations the greater state wins.
type State uint8

// The states of a member.
const (
	// Alive is a member that nobody suspects.
	Alive State = iota
	// Suspect is a member that did not answer and may still refute it.
	Suspect
	// Dead is a member that did not refute the suspicion in time.
	Dead
	// Left is a member that said that it leaves.
	Left
	stateCount
)

// String returns the name of the state.
func (st State) String() string {
	names := [stateCount]string{"alive", "suspect", "dead", "left"}
	if st >= stateCount {
		return fmt.Sprintf("state%d", uint8(st))
	}
	return names[st]
}

// Incarnation orders what is known about a member; only the member itself
// raises it. The upper bits are the life, made from the wall clock when the
// process starts; the lower bits count the changes and refutations of one life.
type Incarnation uint64

const (
	changeBits = 16
	// maxIncarnation leaves room to refute a false record at the limit.
	maxIncarnation Incarnation = 1 << 62
)

// FirstIncarnation returns the incarnation of a process that starts now. Its
// node raises it if peers know a greater one, so the clock may step back.
func FirstIncarnation(now time.Time) Incarnation {
	return Incarnation(max(now.UnixMilli(), 0)) << changeBits
}

// Life returns the part that is equal for one run of a process.
func (in Incarnation) Life() uint64 { return uint64(in >> changeBits) }

// above returns the next incarnation of a process whose current one is in and
// that must exceed a known one. A known one of another life begins a new life.
func (in Incarnation) above(known Incarnation) Incarnation {
	if known.Life() > in.Life() {
		return Incarnation(known.Life()+1) << changeBits
	}
	return max(in, known) + 1
}

// Member is a node as its peers know it.
type Member struct {
	// Node is the address its peers reach it at.
	Node checker.NodeID
	// Incarnation orders the records about the member.
	Incarnation Incarnation
	// State is the state of the member.
	State State
	// DataCentre and Region say where the node runs.
	DataCentre checker.DataCentre
	Region     checker.Region
	// Service and Version say what its target serves.
	Service checker.Service
	Version checker.Version
	// Slots and Connections are the capacity of the target.
	Slots       uint32
	Connections uint32
	// Draining says that the node takes no new work.
	Draining bool
}

const (
	maxNameBytes = 64
	// maxMembers bounds the table against records that name nodes which do
	// not exist; more than ten times the design size.
	maxMembers = 10_000
)

var errMember = errors.New("malformed member")

// Check refuses records that no node would send; peers drop them.
func (me Member) Check() error {
	switch {
	case !me.Node.IsValid() || me.Node.Port() == 0 || me.Node.Addr().Zone() != "":
		return fmt.Errorf("%w: address %v", errMember, me.Node)
	case me.Incarnation > maxIncarnation:
		return fmt.Errorf("%w: incarnation %d", errMember, me.Incarnation)
	case me.State >= stateCount:
		return fmt.Errorf("%w: %v", errMember, me.State)
	}
	for _, name := range me.names() {
		if len(name) > maxNameBytes {
			return fmt.Errorf("%w: name of %d bytes", errMember, len(name))
		}
	}
	return nil
}

func (me Member) names() [4]string {
	return [4]string{
		string(me.DataCentre), string(me.Region), string(me.Service), string(me.Version),
	}
}

// supersedes reports whether the record replaces a known one. Records that
// differ only in attributes are ordered by their hash, so that all nodes agree.
func (me Member) supersedes(known Member) bool {
	if me.Incarnation != known.Incarnation {
		return me.Incarnation > known.Incarnation
	}
	if me.State != known.State {
		return me.State > known.State
	}
	return me != known && me.hash() > known.hash()
}

// hash returns a hash of everything but the state.
func (me Member) hash() uint64 {
	me.State = Alive
	return xxhash.Sum64(EncodeMembers([]Member{me}))
}

// EncodeMembers writes members in the format of the messages: a table of the
// names in use, then the members, each with its length so that a decoder can
// skip fields that later builds append.
func EncodeMembers(members []Member) []byte {
	names := map[string]uint64{}
	var table, body []byte
	var me []byte
	for _, member := range members {
		me = me[:0]
		me = append(me, member.Node.Addr().AsSlice()...)
		me = binary.BigEndian.AppendUint16(me, member.Node.Port())
		me = binary.AppendUvarint(me, uint64(member.Incarnation))
		flags := byte(member.State) << 1
		if member.Draining {
			flags |= 1
		}
		me = append(me, flags)
		for _, name := range member.names() {
			index, ok := names[name]
			if !ok {
				index = uint64(len(names))
				names[name] = index
				table = binary.AppendUvarint(table, uint64(len(name)))
				table = append(table, name...)
			}
			me = binary.AppendUvarint(me, index)
		}
		me = binary.AppendUvarint(me, uint64(member.Slots))
		me = binary.AppendUvarint(me, uint64(member.Connections))
		body = binary.AppendUvarint(body, uint64(len(me)))
		body = append(body, byte(member.Node.Addr().BitLen()/8))
		body = append(body, me...)
	}
	data := binary.AppendUvarint(nil, uint64(len(names)))
	data = append(data, table...)
	data = binary.AppendUvarint(data, uint64(len(members)))
	return append(data, body...)
}

// DecodeMembers reads what EncodeMembers wrote and checks each member.
func DecodeMembers(data []byte) ([]Member, error) {
	if len(data) == 0 {
		return nil, nil
	}
	rd := &reader{data: data}
	count := rd.uint(uint64(len(data)))
	var names []string
	for range count {
		names = append(names, string(rd.bytes(rd.uint(maxNameBytes))))
	}
	count = rd.uint(uint64(len(data)))
	var members []Member
	for range count {
		length := rd.uint(uint64(len(data)))
		addr := rd.bytes(1)
		body := rd.bytes(length)
		if rd.failed {
			break
		}
		me, err := decodeMember(int(addr[0]), &reader{data: body}, names)
		if err != nil {
			return nil, err
		}
		members = append(members, me)
	}
	if rd.failed || len(rd.data) > 0 {
		return nil, fmt.Errorf("%w: wrong length", errMember)
	}
	return members, nil
}

func decodeMember(addrBytes int, rd *reader, names []string) (Member, error) {
	addr, _ := netip.AddrFromSlice(rd.bytes(uint64(addrBytes)))
	port := rd.bytes(2)
	if rd.failed {
		return Member{}, fmt.Errorf("%w: address", errMember)
	}
	me := Member{
		Node:        netip.AddrPortFrom(addr, binary.BigEndian.Uint16(port)),
		Incarnation: Incarnation(rd.uint(uint64(maxIncarnation))),
	}
	flags := rd.bytes(1)
	var text [4]string
	for nn := range text {
		if index := rd.uint(uint64(len(names))); index < uint64(len(names)) {
			text[nn] = names[index]
		} else {
			rd.failed = true
		}
	}
	me.Slots = uint32(rd.uint(1<<32 - 1))
	me.Connections = uint32(rd.uint(1<<32 - 1))
	if rd.failed {
		return Member{}, fmt.Errorf("%w: wrong length", errMember)
	}
	me.State, me.Draining = State(flags[0]>>1), flags[0]&1 == 1
	me.DataCentre, me.Region = checker.DataCentre(text[0]), checker.Region(text[1])
	me.Service, me.Version = checker.Service(text[2]), checker.Version(text[3])
	return me, me.Check()
}

// reader reads fields until one is malformed.
type reader struct {
	data   []byte
	failed bool
}

// uint reads an unsigned integer of at most limit.
func (rd *reader) uint(limit uint64) uint64 {
	value, used := binary.Uvarint(rd.data)
	if used <= 0 || value > limit || rd.failed {
		rd.failed = true
		return 0
	}
	rd.data = rd.data[used:]
	return value
}

// bytes reads a number of bytes; nil if there are not as many.
func (rd *reader) bytes(count uint64) []byte {
	if rd.failed || count > uint64(len(rd.data)) {
		rd.failed = true
		return nil
	}
	field := rd.data[:count]
	rd.data = rd.data[count:]
	return field
}
