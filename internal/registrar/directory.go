package registrar

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Entry is the information that a node publishes about itself and its target.
type Entry struct {
	// Node is the address at which the node accepts requests from other nodes.
	Node netip.AddrPort `json:"node"`
	// Incarnation is the start time of the node's process, and Revision counts the
	// entries that the process published. Together they order the entries of a node.
	Incarnation int64  `json:"incarnation"`
	Revision    int    `json:"revision"`
	DataCentre  string `json:"dataCentre"`
	// Capacity is the number of processors of the VM.
	Capacity float64 `json:"capacity,omitempty"`
	// Target is the ID of the node's target; empty while the target is unknown.
	Target    string `json:"target,omitempty"`
	Service   string `json:"service,omitempty"`
	Version   string `json:"version,omitempty"`
	Slots     int    `json:"slots,omitempty"`
	StartedAt int64  `json:"born,omitempty"`
	Sequence  uint64 `json:"sequence,omitempty"`
	Leaving   bool   `json:"leaving,omitempty"`
	// Down reports whether the target fails its health checks.
	Down bool `json:"down,omitempty"`
	// NodeLeaving reports whether the node is about to stop.
	NodeLeaving bool `json:"nodeLeaving,omitempty"`
}

// NewEntry returns the entry of a node whose target is the instance.
func NewEntry(node netip.AddrPort, dataCentre string, in Instance) Entry {
	en := Entry{Node: node, DataCentre: dataCentre}
	if in.State == Unknown {
		return en
	}
	en.Target, en.Service, en.Version = in.ID, in.Service, in.Version
	en.Slots, en.Sequence = in.Slots, in.Sequence
	en.StartedAt = in.Born.UnixMilli()
	en.Leaving = in.State == Leaving
	return en
}

// Instance returns the target described by the entry.
func (en *Entry) Instance() Instance {
	in := Instance{Heartbeat: Heartbeat{
		ID: en.Target, Service: en.Service, Version: en.Version, DataCentre: en.DataCentre,
		Slots: en.Slots, Sequence: en.Sequence, Born: time.UnixMilli(en.StartedAt),
		Draining: en.Leaving,
	}, State: Ready}
	if en.Leaving {
		in.State = Leaving
	}
	return in
}

// Newer reports whether the entry is newer than another entry of the same node.
func (en *Entry) Newer(other *Entry) bool {
	if en.Incarnation != other.Incarnation {
		return en.Incarnation > other.Incarnation
	}
	return en.Revision > other.Revision
}

// Usable reports whether the target of the entry accepts requests.
func (en *Entry) Usable() bool {
	return en.Target != "" && !en.Leaving && !en.Down && !en.NodeLeaving
}

// Key returns the key that the entry is published under.
func (en *Entry) Key() string {
	return en.Node.Addr().String()
}

// Encode returns the JSON encoding of the entry.
func (en *Entry) Encode() ([]byte, error) {
	return json.Marshal(en)
}

const (
	// maxEntryBytes bounds the JSON of an entry. A node writes about 250 bytes.
	maxEntryBytes = 16 << 10
	// maxNameBytes bounds the names in an entry.
	maxNameBytes = 256
	// maxCount bounds the counters of an entry. JSON numbers are exact up to it,
	// and the successor of a value still fits.
	maxCount = 1 << 53
	// maxSlots and maxCapacity are far above what a VM has.
	maxSlots    = 1 << 20
	maxCapacity = 1 << 20
)

// DecodeEntry decodes and validates an entry in JSON that stands under the given
// key. Other programs may write to the store too, so nothing is taken for granted.
func DecodeEntry(key string, data []byte) (*Entry, error) {
	if len(data) > maxEntryBytes {
		return nil, fmt.Errorf("entry %q has %d bytes, more than %d",
			key, len(data), maxEntryBytes)
	}
	en := new(Entry)
	if err := json.Unmarshal(data, en); err != nil {
		return nil, fmt.Errorf("decode entry %q: %w", key, err)
	}
	if err := en.check(key); err != nil {
		return nil, fmt.Errorf("entry %q: %w", key, err)
	}
	return en, nil
}

// check returns an error unless a node could have written the entry.
func (en *Entry) check(key string) error {
	if err := en.checkNode(key); err != nil {
		return err
	}
	switch {
	case en.Target != "" && (en.Slots < 1 || en.Service == ""):
		return errors.New("the service or the slots of the target are missing")
	case en.Slots < 0 || en.Slots > maxSlots:
		return fmt.Errorf("%d slots are out of range", en.Slots)
	case !(en.Capacity >= 0 && en.Capacity <= maxCapacity):
		return fmt.Errorf("capacity %v is out of range", en.Capacity)
	}
	for _, count := range []int64{en.Incarnation, int64(en.Revision), en.StartedAt} {
		if count < 0 || count > maxCount {
			return fmt.Errorf("counter %d is out of range", count)
		}
	}
	for _, name := range []string{en.DataCentre, en.Target, en.Service, en.Version} {
		if len(name) > maxNameBytes {
			return fmt.Errorf("a name has %d bytes, more than %d", len(name), maxNameBytes)
		}
	}
	return nil
}

// checkNode returns an error unless a node could have the address, and the entry
// stands under its key.
func (en *Entry) checkNode(key string) error {
	ip := en.Node.Addr()
	switch {
	case !en.Node.IsValid() || en.Node.Port() == 0:
		return errors.New("the address of the node is missing or has no port")
	case ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "":
		return fmt.Errorf("%s is not the address of a node", en.Node)
	case en.Key() != key:
		return fmt.Errorf("it names the node %s", en.Node)
	}
	return nil
}

// Directory holds the valid entries of all nodes. It decodes an entry only when its
// record has changed. It is not safe for concurrent use. The zero value is ready to
// use.
type Directory struct {
	// entries holds the entries in the order of their keys.
	entries []*Entry
}

// find returns the position of the key and whether there is an entry.
func (di *Directory) find(key string) (int, bool) {
	return slices.BinarySearchFunc(di.entries, key, func(en *Entry, key string) int {
		return strings.Compare(en.Key(), key)
	})
}

// Set replaces the entry under the key. If the data is not a valid entry, the node
// has none from then on, and Set returns the error.
func (di *Directory) Set(key string, data []byte) error {
	en, err := DecodeEntry(key, data)
	if err != nil {
		di.Delete(key)
		return err
	}
	nn, ok := di.find(key)
	if ok {
		di.entries[nn] = en
	} else {
		di.entries = slices.Insert(di.entries, nn, en)
	}
	return nil
}

// Delete removes the entry under the key.
func (di *Directory) Delete(key string) {
	if nn, ok := di.find(key); ok {
		di.entries = slices.Delete(di.entries, nn, nn+1)
	}
}

// Others returns the entries of all nodes but one, in a slice of its own. The
// entries are shared and must not be modified.
func (di *Directory) Others(self netip.AddrPort) []*Entry {
	all := make([]*Entry, 0, len(di.entries))
	for _, en := range di.entries {
		if en.Node != self {
			all = append(all, en)
		}
	}
	return slices.Clip(all) // callers append to copies
}
