package registrar

import (
	"encoding/json"
	"fmt"
	"net/netip"
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

// DecodeEntry decodes and validates an entry in JSON.
func DecodeEntry(data []byte) (*Entry, error) {
	en := new(Entry)
	if err := json.Unmarshal(data, en); err != nil {
		return nil, fmt.Errorf("decode node entry: %w", err)
	}
	if !en.Node.IsValid() || en.Target != "" && (en.Slots < 1 || en.Service == "") {
		return nil, fmt.Errorf("entry of node %s: address, service or slots missing", en.Node)
	}
	return en, nil
}
