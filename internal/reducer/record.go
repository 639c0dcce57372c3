package reducer

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Format is the record format that this build writes. It can read this format
// and every lower one.
const Format = 1

// ErrFormat reports a record of a format that this build cannot read. The node
// must keep its state and report that it is behind.
var ErrFormat = errors.New("record has a newer format than this build reads")

// ErrCorrupt reports a record or checkpoint that is incomplete or damaged.
var ErrCorrupt = errors.New("record is incomplete or damaged")

// Record is one entry of the configuration stream.
type Record struct {
	// ID is chosen by the client and is the same in every resend.
	ID string `json:"id"`
	// Base is the revision the publication builds on.
	Base checker.Revision `json:"base"`
	// Time is the wall time at the node that appended the record.
	Time time.Time `json:"time"`
	// Facts are joined before the rest of the record is applied.
	Facts []Fact `json:"facts,omitempty"`
	// Document replaces the whole configuration.
	Document *checker.Document `json:"document,omitempty"`
	// Choose changes the choice of one service.
	Choose *Choose `json:"choose,omitempty"`
}

// Choose changes the choice of one service. Empty fields keep their value.
type Choose struct {
	Service  checker.Service `json:"service"`
	Profile  string          `json:"profile,omitempty"`
	Version  checker.Version `json:"version,omitempty"`
	Deadline time.Time       `json:"deadline,omitzero"`
}

// frameHeaderLength is the number of bytes of the format and the checksum.
const frameHeaderLength = 2 + 8

// Encode encodes a record in the current format.
func Encode(rec Record) ([]byte, error) {
	return encodeFrame(rec)
}

// Decode decodes a record. The error is [ErrFormat] for a newer format and
// [ErrCorrupt] for a damaged record.
func Decode(data []byte) (Record, error) {
	var rec Record
	err := decodeFrame(data, &rec)
	return rec, err
}

// encodeFrame encodes a value as the format, a checksum and the value in JSON.
func encodeFrame(value any) ([]byte, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	data := make([]byte, frameHeaderLength, frameHeaderLength+len(body))
	binary.BigEndian.PutUint16(data, Format)
	binary.BigEndian.PutUint64(data[2:], xxhash.Sum64(body))
	return append(data, body...), nil
}

// decodeFrame decodes a value that encodeFrame encoded.
func decodeFrame(data []byte, value any) error {
	if len(data) < frameHeaderLength {
		return ErrCorrupt
	}
	body := data[frameHeaderLength:]
	if binary.BigEndian.Uint64(data[2:]) != xxhash.Sum64(body) {
		return ErrCorrupt
	}
	if binary.BigEndian.Uint16(data) > Format {
		return ErrFormat
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(value); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return nil
}

// Checkpoint encodes the part of the state that the log determines.
func (st *State) Checkpoint() ([]byte, error) {
	return encodeFrame(st.logged)
}

// LoadCheckpoint decodes a state that [State.Checkpoint] encoded.
func LoadCheckpoint(data []byte) (*State, error) {
	var lo logged
	if err := decodeFrame(data, &lo); err != nil {
		return nil, err
	}
	if lo.Document != nil {
		if faults := checker.Check(lo.Document); len(faults) > 0 {
			return nil, fmt.Errorf("checkpoint: %w", faults)
		}
	}
	return (&State{}).withLogged(lo), nil
}

// Skip returns the state with the given next offset, for records that the log
// trimmed before any node read them. States that skip from different offsets
// differ until [State.Adopt] selects one of them.
func (st *State) Skip(next uint64) *State {
	if next <= st.logged.Next {
		return st
	}
	lo := st.logged
	lo.Next = next
	lo.Skips++
	return st.withLogged(lo)
}

// Newer reports whether [State.Adopt] would take the other's offset and
// revision. At equal offsets, which differ in revision only after a [State.Skip],
// the greater revision wins because more records contributed to it.
func (st *State) Newer(next uint64, revision checker.Revision) bool {
	if next == st.logged.Next {
		return revision > st.logged.Revision
	}
	return next > st.logged.Next && revision >= st.logged.Revision
}

// Adopt returns the newer of the two states, with the facts of both. It never
// returns a state with a lower offset or revision.
func (st *State) Adopt(other *State) *State {
	base, extra := st, other
	if st.Newer(other.logged.Next, other.logged.Revision) {
		base, extra = st.withLogged(other.logged), other
	}
	for _, fa := range extra.Facts() {
		base = base.Join(fa)
	}
	return base
}
