package deduper

import (
	"errors"
	"time"
)

// ErrGap says that a claim does not follow the last one that was folded.
var ErrGap = errors.New("claim stream: offset above the next one")

// Claim is a record of a service's claim stream.
type Claim struct {
	// Key is the caller's idempotency key.
	Key string `json:"key"`
	// Attempt identifies the attempt that wants to run the call.
	Attempt string `json:"attempt"`
	// Time is the log's time of the record.
	Time time.Time `json:"-"`
}

// Claims is the fold of a claim stream. The zero value holds no claim.
//
// Claims are forgotten after KeepTime by the times of the records, so that
// every node that folds the same records remembers the same claims.
type Claims struct {
	next  uint64
	first map[string]Claim
	// order holds the first claims in the order of the stream.
	order []Claim
	// latest is the greatest time of a record; the log's clock may step back.
	latest time.Time
}

// Next returns the offset of the next claim to fold.
func (cl *Claims) Next() uint64 { return cl.next }

// Apply folds the claim at the offset. A claim folded before is left out; one
// beyond the next offset is refused with ErrGap.
func (cl *Claims) Apply(offset uint64, ca Claim) error {
	if offset < cl.next {
		return nil
	}
	if offset > cl.next {
		return ErrGap
	}
	cl.next++
	if ca.Time.After(cl.latest) {
		cl.latest = ca.Time
	}
	cl.expire()
	if _, ok := cl.first[ca.Key]; ok {
		return nil
	}
	if cl.first == nil {
		cl.first = map[string]Claim{}
	}
	ca.Time = cl.latest
	cl.first[ca.Key] = ca
	cl.order = append(cl.order, ca)
	return nil
}

// Skip moves the fold to an offset whose earlier records the log no longer
// holds. They are older than the log's retention, which is longer than
// KeepTime.
func (cl *Claims) Skip(offset uint64) {
	if offset > cl.next {
		cl.next = offset
	}
}

// First returns the first claim for the key, and whether there is one.
func (cl *Claims) First(key string) (Claim, bool) {
	ca, ok := cl.first[key]
	return ca, ok
}

// Len returns the number of keys claimed.
func (cl *Claims) Len() int { return len(cl.first) }

func (cl *Claims) expire() {
	nn := 0
	for nn < len(cl.order) && cl.latest.Sub(cl.order[nn].Time) >= KeepTime {
		delete(cl.first, cl.order[nn].Key)
		nn++
	}
	if nn > 0 {
		// Copying frees the memory of the expired claims.
		cl.order = append([]Claim(nil), cl.order[nn:]...)
	}
}
