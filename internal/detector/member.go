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

// State is the state of a member. At equal incarnations, the greater state takes
// precedence.
type State uint8

// The states of a member.
const (
	// Alive is the state of a member that is not suspect.
	Alive State = iota
	// Suspect is the state of a member that did not answer and can still refute.
	Suspect
	// Dead is the state of a member that did not refute in time.
	Dead
	// Left is the state of a member that announced its leave.
	Left
	stateCount
)

func (st State) String() string {
	names := [stateCount]string{"alive", "suspect", "dead", "left"}
	if st >= stateCount {
		return fmt.Sprintf("state%d", uint8(st))
	}
	return names[st]
}

// Incarnation orders the records about a member; only the member itself raises
// it. The upper bits identify the process and come from the wall clock at its
// start. The lower bits count its changes and refutations.
type Incarnation uint64

const (
	changeBits = 16
	// maxIncarnation is the greatest incarnation accepted from a peer. It leaves
	// room for a refutation of a false record at the limit.
	maxIncarnation Incarnation = 1 << 62
)

// FirstIncarnation returns the incarnation of a process that starts at now. The
// node raises it if peers know a greater one, so the wall clock may step back
// between two starts.
func FirstIncarnation(now time.Time) Incarnation {
	return Incarnation(max(now.UnixMilli(), 0)) << changeBits
}

// Life returns the part that identifies one run of the process.
func (in Incarnation) Life() uint64 { return uint64(in >> changeBits) }

// above returns the next incarnation of a process whose current one is in. It is
// greater than known. If known has a greater process part, the process part of
// the result is greater still.
func (in Incarnation) above(known Incarnation) Incarnation {
	if known.Life() > in.Life() {
		return Incarnation(known.Life()+1) << changeBits
	}
	return max(in, known) + 1
}

// Member is a node as its peers know it.
type Member struct {
	// Node is the address at which peers reach the member.
	Node checker.NodeID
	// Incarnation orders the records about the member.
	Incarnation Incarnation
	State       State
	// DataCentre and Region are the location of the node.
	DataCentre checker.DataCentre
	Region     checker.Region
	// Service and Version are those of the node's target.
	Service checker.Service
	Version checker.Version
	// Slots and Connections are the capacity of the target.
	Slots       uint32
	Connections uint32
	// Draining reports whether the node accepts no new work.
	Draining bool
}

const (
	maxNameBytes = 64
	// maxMembers bounds the table if peers send records of nodes that do not
	// exist. It is more than ten times the design size.
	maxMembers = 10_000
)

var errMember = errors.New("malformed member")

// Check reports an error if no correct node would send the record; peers drop
// it.
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

// supersedes reports whether the record replaces the known one. Records with
// equal incarnations and states are ordered by their hash, so that all nodes
// agree.
func (me Member) supersedes(known Member) bool {
	if me.Incarnation != known.Incarnation {
		return me.Incarnation > known.Incarnation
	}
	if me.State != known.State {
		return me.State > known.State
	}
	return me != known && me.hash() > known.hash()
}

// hash returns a hash of all fields but the state.
func (me Member) hash() uint64 {
	me.State = Alive
	return xxhash.Sum64(EncodeMembers([]Member{me}))
}

// EncodeMembers returns the wire encoding of members: a table of the names in
// use, then the members, each with its length, so that a decoder can skip fields
// that later versions append.
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

// DecodeMembers decodes the output of EncodeMembers and checks each member.
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
		return nil, fmt.Errorf("%w: truncated list or trailing bytes", errMember)
	}
	return members, nil
}

func decodeMember(addrBytes int, rd *reader, names []string) (Member, error) {
	addr, _ := netip.AddrFromSlice(rd.bytes(uint64(addrBytes)))
	port := rd.bytes(2)
	if rd.failed {
		return Member{}, fmt.Errorf("%w: truncated address", errMember)
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
		return Member{}, fmt.Errorf("%w: truncated or out-of-range field", errMember)
	}
	me.State, me.Draining = State(flags[0]>>1), flags[0]&1 == 1
	me.DataCentre, me.Region = checker.DataCentre(text[0]), checker.Region(text[1])
	me.Service, me.Version = checker.Service(text[2]), checker.Version(text[3])
	return me, me.Check()
}

// reader decodes fields. After a malformed field, all reads fail.
type reader struct {
	data   []byte
	failed bool
}

// uint reads an unsigned integer that is at most limit.
func (rd *reader) uint(limit uint64) uint64 {
	value, used := binary.Uvarint(rd.data)
	if used <= 0 || value > limit || rd.failed {
		rd.failed = true
		return 0
	}
	rd.data = rd.data[used:]
	return value
}

// bytes reads count bytes; it returns nil if fewer are left.
func (rd *reader) bytes(count uint64) []byte {
	if rd.failed || count > uint64(len(rd.data)) {
		rd.failed = true
		return nil
	}
	field := rd.data[:count]
	rd.data = rd.data[count:]
	return field
}
