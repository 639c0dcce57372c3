package deduper

import (
	"errors"
	"time"
)

// ErrGap is returned by [Claims.Apply] for an offset above the next expected one.
var ErrGap = errors.New("claim stream: offset above the next one")

// Claim is a record in the claim stream of a service.
type Claim struct {
	// Key is the caller's idempotency key.
	Key string `json:"key"`
	// Attempt identifies the attempt that requests to execute the call.
	Attempt string `json:"attempt"`
	// Time is the timestamp that the log gave the record.
	Time time.Time `json:"-"`
}

// Claims is the state derived from a claim stream. The zero value is empty.
//
// Claims expire after [Retention], measured by the timestamps of the records,
// so that every node that applies the same records holds the same claims.
type Claims struct {
	next  uint64
	first map[string]Claim
	// order holds the first claim of each key in stream order.
	order []Claim
	// latest is the greatest timestamp so far; the log's clock may step back.
	latest time.Time
}

// Next returns the offset of the next claim to apply.
func (cl *Claims) Next() uint64 { return cl.next }

// Apply applies the claim at the offset. It ignores a claim that was already
// applied and returns ErrGap for an offset above the next one.
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

// Skip advances to the offset after the log has trimmed the records before it.
// Their claims have expired, because the log retains records for longer than
// [Retention].
func (cl *Claims) Skip(offset uint64) {
	if offset > cl.next {
		cl.next = offset
	}
}

// First returns the first claim for the key and whether it exists.
func (cl *Claims) First(key string) (Claim, bool) {
	ca, ok := cl.first[key]
	return ca, ok
}

// Len returns the number of claimed keys.
func (cl *Claims) Len() int { return len(cl.first) }

func (cl *Claims) expire() {
	nn := 0
	for nn < len(cl.order) && cl.latest.Sub(cl.order[nn].Time) >= Retention {
		delete(cl.first, cl.order[nn].Key)
		nn++
	}
	if nn > 0 {
		// Copy the rest so that the expired claims can be garbage collected.
		cl.order = append([]Claim(nil), cl.order[nn:]...)
	}
}
