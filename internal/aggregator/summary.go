package aggregator

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/guavastall/guavastall/internal/detector"
	"github.com/guavastall/guavastall/pkg/checker"
)

// maxListed bounds each list of nodes in a summary, because every summary is sent
// to all nodes.
const maxListed = 16

// Applied is a node and the revision it has applied.
type Applied struct {
	Node     checker.NodeID
	Revision checker.Revision
}

// Summary describes the revisions that a data centre's nodes have applied.
type Summary struct {
	DataCentre checker.DataCentre
	// Minimum is the least and Maximum the greatest revision reported.
	Minimum, Maximum checker.Revision
	// Nodes is the number of members that are alive or suspect.
	Nodes int
	// Behind lists nodes below Maximum, those with the lowest revision first.
	// BehindCount includes the ones that the list has no room for.
	Behind      []Applied
	BehindCount int
	// Silent lists the members that are alive or suspect and have not reported.
	// Dead lists the dead members. SilentCount and DeadCount include the ones
	// that the lists have no room for.
	Silent      []checker.NodeID
	SilentCount int
	Dead        []checker.NodeID
	DeadCount   int
	// AsOf is the wall clock time of the aggregator node at the summary.
	AsOf time.Time
}

// equalIgnoringTime reports whether two summaries are equal apart from AsOf.
func (su Summary) equalIgnoringTime(other Summary) bool {
	su.AsOf, other.AsOf = time.Time{}, time.Time{}
	return string(su.Encode()) == string(other.Encode())
}

// Reports holds the last report of each node of a data centre. The zero value
// is ready to use.
type Reports struct {
	last map[checker.NodeID]report
}

type report struct {
	process  uint64
	revision checker.Revision
	at       time.Time
}

// Add stores the report of a node. A delayed report of the same process cannot
// lower its revision, and a report of an earlier process is ignored.
func (rs *Reports) Add(node checker.NodeID, in detector.Incarnation, re checker.Revision,
	now time.Time,
) {
	known, ok := rs.last[node]
	if ok && known.process > in.Life() {
		return
	}
	if ok && known.process == in.Life() {
		re = max(re, known.revision)
	}
	if rs.last == nil {
		rs.last = map[checker.NodeID]report{}
	}
	rs.last[node] = report{process: in.Life(), revision: re, at: now}
}

// Summarise returns the summary of a data centre from the reports that are not
// older than maxAge, and removes the others.
func (rs *Reports) Summarise(
	dc checker.DataCentre, members []detector.Member, maxAge time.Duration, now time.Time,
) Summary {
	su := Summary{DataCentre: dc, AsOf: now}
	var applied []Applied
	for _, me := range members {
		if me.DataCentre != dc || me.State == detector.Left {
			continue
		}
		if me.State == detector.Dead {
			su.Dead = append(su.Dead, me.Node)
			continue
		}
		su.Nodes++
		re, ok := rs.last[me.Node]
		if !ok || re.process != me.Incarnation.Life() || now.Sub(re.at) > maxAge {
			su.Silent = append(su.Silent, me.Node)
			continue
		}
		applied = append(applied, Applied{Node: me.Node, Revision: re.revision})
	}
	for node, re := range rs.last {
		if now.Sub(re.at) > maxAge {
			delete(rs.last, node)
		}
	}
	su.setApplied(applied)
	return su
}

func (su *Summary) setApplied(applied []Applied) {
	slices.SortFunc(applied, func(aa, ab Applied) int {
		return cmp.Or(cmp.Compare(aa.Revision, ab.Revision), aa.Node.Compare(ab.Node))
	})
	if len(applied) > 0 {
		su.Minimum, su.Maximum = applied[0].Revision, applied[len(applied)-1].Revision
	}
	for _, ap := range applied {
		if ap.Revision < su.Maximum {
			su.BehindCount++
			su.Behind = append(su.Behind, ap)
		}
	}
	su.Behind = su.Behind[:min(len(su.Behind), maxListed)]
	su.SilentCount, su.DeadCount = len(su.Silent), len(su.Dead)
	su.Silent = su.Silent[:min(len(su.Silent), maxListed)]
	su.Dead = su.Dead[:min(len(su.Dead), maxListed)]
}

// Encode returns a compact binary encoding of the summary.
func (su Summary) Encode() []byte {
	data := binary.AppendUvarint(nil, uint64(len(su.DataCentre)))
	data = append(data, su.DataCentre...)
	for _, value := range []uint64{
		uint64(su.Minimum), uint64(su.Maximum), uint64(su.Nodes), uint64(su.BehindCount),
		uint64(su.SilentCount), uint64(su.DeadCount), uint64(max(su.AsOf.UnixMilli(), 0)),
	} {
		data = binary.AppendUvarint(data, value)
	}
	data = binary.AppendUvarint(data, uint64(len(su.Behind)))
	for _, ap := range su.Behind {
		data = appendNode(data, ap.Node)
		data = binary.AppendUvarint(data, uint64(ap.Revision))
	}
	for _, list := range [][]checker.NodeID{su.Silent, su.Dead} {
		data = binary.AppendUvarint(data, uint64(len(list)))
		for _, node := range list {
			data = appendNode(data, node)
		}
	}
	return data
}

func appendNode(data []byte, node checker.NodeID) []byte {
	addr := node.Addr().AsSlice()
	data = append(data, byte(len(addr)))
	data = append(data, addr...)
	return binary.BigEndian.AppendUint16(data, node.Port())
}

var errSummary = errors.New("malformed summary")

// DecodeSummary decodes the output of Encode.
func DecodeSummary(data []byte) (Summary, error) {
	de := decoder{data: data}
	su := Summary{DataCentre: checker.DataCentre(de.bytes(de.uint()))}
	su.Minimum, su.Maximum = checker.Revision(de.uint()), checker.Revision(de.uint())
	su.Nodes, su.BehindCount = de.count(), de.count()
	su.SilentCount, su.DeadCount = de.count(), de.count()
	su.AsOf = time.UnixMilli(int64(min(de.uint(), 1<<48)))
	for range de.listLength() {
		su.Behind = append(su.Behind,
			Applied{Node: de.node(), Revision: checker.Revision(de.uint())})
	}
	for _, list := range []*[]checker.NodeID{&su.Silent, &su.Dead} {
		for range de.listLength() {
			*list = append(*list, de.node())
		}
	}
	if de.failed || len(de.data) > 0 {
		return Summary{}, fmt.Errorf("%w of %d bytes", errSummary, len(data))
	}
	return su, nil
}

// decoder decodes fields. After a malformed field, all reads fail.
type decoder struct {
	data   []byte
	failed bool
}

func (de *decoder) uint() uint64 {
	value, used := binary.Uvarint(de.data)
	if used <= 0 || de.failed {
		de.failed = true
		return 0
	}
	de.data = de.data[used:]
	return value
}

func (de *decoder) count() int { return int(min(de.uint(), 1<<20)) }

func (de *decoder) listLength() int {
	length := de.uint()
	if length > maxListed {
		de.failed = true
		return 0
	}
	return int(length)
}

func (de *decoder) bytes(count uint64) []byte {
	if de.failed || count > uint64(len(de.data)) {
		de.failed = true
		return nil
	}
	field := de.data[:count]
	de.data = de.data[count:]
	return field
}

func (de *decoder) node() checker.NodeID {
	length := de.bytes(1)
	if de.failed {
		return checker.NodeID{}
	}
	addr, ok := netip.AddrFromSlice(de.bytes(uint64(length[0])))
	port := de.bytes(2)
	if !ok || de.failed {
		de.failed = true
		return checker.NodeID{}
	}
	return netip.AddrPortFrom(addr, binary.BigEndian.Uint16(port))
}
