package registrar

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"
)

// Entry is what a node publishes of itself and its target.
type Entry struct {
	// Node is where the node takes requests from other nodes.
	Node netip.AddrPort `json:"node"`
	// Incarnation is when the node's process started, and Revision counts its
	// publications; together they order entries of a node.
	Incarnation int64 `json:"incarnation"`
	Revision    int   `json:"revision"`
	// DataCentre is where the node runs.
	DataCentre string `json:"dataCentre"`
	// Capacity is the number of processors of the VM.
	Capacity float64 `json:"capacity,omitempty"`
	// Target is empty while the node knows none.
	Target   string `json:"target,omitempty"`
	Service  string `json:"service,omitempty"`
	Version  string `json:"version,omitempty"`
	Slots    int    `json:"slots,omitempty"`
	Born     int64  `json:"born,omitempty"`
	Sequence uint64 `json:"sequence,omitempty"`
	Leaving  bool   `json:"leaving,omitempty"`
	// Down says that the target does not answer health checks.
	Down bool `json:"down,omitempty"`
	// NodeLeaving says that the node is about to stop.
	NodeLeaving bool `json:"nodeLeaving,omitempty"`
}

// NewEntry returns the entry of a node for an instance.
func NewEntry(node netip.AddrPort, dataCentre string, in Instance) Entry {
	en := Entry{Node: node, DataCentre: dataCentre}
	if in.State == Unknown {
		return en
	}
	en.Target, en.Service, en.Version = in.ID, in.Service, in.Version
	en.Slots, en.Sequence = in.Slots, in.Sequence
	en.Born = in.Born.UnixMilli()
	en.Leaving = in.State == Leaving
	return en
}

// Instance returns the target of the entry.
func (en *Entry) Instance() Instance {
	in := Instance{Heartbeat: Heartbeat{
		ID: en.Target, Service: en.Service, Version: en.Version, DataCentre: en.DataCentre,
		Slots: en.Slots, Sequence: en.Sequence, Born: time.UnixMilli(en.Born),
		Draining: en.Leaving,
	}, State: Ready}
	if en.Leaving {
		in.State = Leaving
	}
	return in
}

// Newer reports whether the entry replaces another one of the same node.
func (en *Entry) Newer(other *Entry) bool {
	if en.Incarnation != other.Incarnation {
		return en.Incarnation > other.Incarnation
	}
	return en.Revision > other.Revision
}

// Usable reports whether the target of the entry takes work.
func (en *Entry) Usable() bool {
	return en.Target != "" && !en.Leaving && !en.Down && !en.NodeLeaving
}

// Key returns the key that the entry is published under.
func (en *Entry) Key() string {
	return en.Node.Addr().String()
}

// Encode returns the entry as JSON.
func (en *Entry) Encode() ([]byte, error) {
	return json.Marshal(en)
}

// DecodeEntry reads an entry.
func DecodeEntry(data []byte) (*Entry, error) {
	en := new(Entry)
	if err := json.Unmarshal(data, en); err != nil {
		return nil, fmt.Errorf("decode the entry of a node: %w", err)
	}
	if !en.Node.IsValid() || en.Target != "" && (en.Slots < 1 || en.Service == "") {
		return nil, fmt.Errorf("entry of node %s: no address, service or slots", en.Node)
	}
	return en, nil
}
