// Package deduper detects resends of a call by its idempotency key.
//
// A [Store] records the state of each key at the key's owner: running, answered
// with a response, or of unknown outcome. [Claims] holds the state of a
// service's claim stream; the first claim for a key wins. Neither type is safe
// for concurrent use.
package deduper

import (
	"container/list"
	"time"
)

// Retention is how long a key is kept after its last change.
const Retention = 10 * time.Minute

// Action says how to handle a call with an idempotency key.
type Action uint8

const (
	// Run executes the call. Its end must be reported to the store.
	Run Action = iota
	// Wait waits for the running call with the same key.
	Wait
	// Replay returns the stored response.
	Replay
	// Duplicate rejects the call: its key was answered but the response is not
	// stored, or its key was used for a different request.
	Duplicate
	// Uncertain rejects the call: an earlier attempt with its key has, or may
	// have, an unknown outcome.
	Uncertain
	// Full rejects the call because the store has no room for its key.
	Full
)

// Response is a stored response.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header holds the headers. It must not be modified.
	Header map[string][]string
	// Body is the complete body. It must not be modified.
	Body []byte
}

// Decision is the store's decision on a call.
type Decision struct {
	// Action says how to handle the call.
	Action Action
	// Response is set for Replay.
	Response Response
	// Attempt identifies the attempt in claims. A key whose earlier attempt was
	// not executed keeps that attempt's ID, because the log may hold its claim.
	Attempt string
}

// Config bounds a [Store].
type Config struct {
	// Keys is the maximum number of keys.
	Keys int
	// Bytes is the maximum total size of the bodies and headers of stored
	// responses.
	Bytes int
	// Retention is how long a key is kept after its last change. Zero means the
	// constant Retention.
	Retention time.Duration
}

type state uint8

const (
	running state = iota
	answered
	unknown
	notRun
)

type entry struct {
	key         string
	fingerprint uint64
	attempt     string
	state       state
	// hasResponse says that response is stored, and size is its size in bytes.
	hasResponse bool
	size        int
	response    Response
	changed     time.Time
	// element is the entry's element in Store.order; nil while running.
	element *list.Element
}

// Store holds the state of idempotency keys and their responses.
type Store struct {
	config  Config
	entries map[string]*entry
	// order holds the entries that are not running, least recently changed first.
	order *list.List
	// responses holds the entries with a stored response, oldest first.
	responses *list.List
	bytes     int
}

// NewStore returns an empty store.
func NewStore(cf Config) *Store {
	if cf.Retention == 0 {
		cf.Retention = Retention
	}
	return &Store{
		config: cf, entries: map[string]*entry{}, order: list.New(), responses: list.New(),
	}
}

// Begin decides how to handle a call. The fingerprint distinguishes different
// requests that use the same key by mistake. The attempt is recorded if the key
// is new. The resend flag says that the caller has sent the call before; such a
// call with an unknown key is not executed, because an earlier attempt may have
// been executed at another owner.
func (st *Store) Begin(
	key string, fingerprint uint64, attempt string, resend bool, now time.Time,
) Decision {
	st.expire(now)
	en := st.entries[key]
	if en == nil {
		switch {
		case resend:
			return Decision{Action: Uncertain}
		case len(st.entries) >= st.config.Keys:
			return Decision{Action: Full}
		}
		st.entries[key] = &entry{key: key, fingerprint: fingerprint, attempt: attempt}
		return Decision{Action: Run, Attempt: attempt}
	}
	if en.fingerprint != fingerprint {
		return Decision{Action: Duplicate}
	}
	switch {
	case en.state == running:
		return Decision{Action: Wait}
	case en.state == unknown:
		return Decision{Action: Uncertain}
	case en.state == answered && en.hasResponse:
		return Decision{Action: Replay, Response: en.response}
	case en.state == answered:
		return Decision{Action: Duplicate}
	}
	st.order.Remove(en.element)
	en.element, en.state = nil, running
	return Decision{Action: Run, Attempt: en.attempt}
}

// Answered records that a running call ended with the response. The store may
// drop the response to stay within its limits.
func (st *Store) Answered(key string, re Response, now time.Time) {
	en := st.end(key, answered, now)
	if en == nil {
		return
	}
	size := len(re.Body)
	for name, values := range re.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if size > st.config.Bytes {
		return
	}
	en.hasResponse, en.size, en.response = true, size, re
	st.responses.PushBack(en)
	st.bytes += size
	for st.bytes > st.config.Bytes {
		st.dropResponse(st.responses.Front())
	}
}

// AnsweredWithoutResponse records that a running call was answered but its
// response is not stored, for example because it is too large.
func (st *Store) AnsweredWithoutResponse(key string, now time.Time) {
	st.end(key, answered, now)
}

// Unknown records that a running call ended with an unknown outcome.
func (st *Store) Unknown(key string, now time.Time) {
	st.end(key, unknown, now)
}

// NotRun records that a running call ended without being executed. The next
// call with the key is executed even if it is marked as a resend.
func (st *Store) NotRun(key string, now time.Time) {
	st.end(key, notRun, now)
}

// Len returns the number of keys in the store.
func (st *Store) Len() int { return len(st.entries) }

// Bytes returns the total size of the stored responses.
func (st *Store) Bytes() int { return st.bytes }

func (st *Store) end(key string, to state, now time.Time) *entry {
	en := st.entries[key]
	if en == nil || en.state != running {
		return nil
	}
	en.state, en.changed = to, now
	en.element = st.order.PushBack(en)
	return en
}

func (st *Store) expire(now time.Time) {
	for front := st.order.Front(); front != nil; front = st.order.Front() {
		en := front.Value.(*entry)
		if now.Sub(en.changed) < st.config.Retention {
			return
		}
		st.order.Remove(front)
		delete(st.entries, en.key)
		if en.hasResponse {
			// The responses list has the same order, so en is at its front.
			st.dropResponse(st.responses.Front())
		}
	}
}

func (st *Store) dropResponse(el *list.Element) {
	en := st.responses.Remove(el).(*entry)
	en.hasResponse, en.response = false, Response{}
	st.bytes -= en.size
}
