// Package deduper recognises the resends of a call by its idempotency key.
//
// A [Store] is the memory of a key's owner: which keys run, which were
// answered and how, and which have an unknown outcome. [Claims] folds the
// claims of a service's claim stream; the first claim for a key wins. Neither
// is safe for concurrent use; the caller holds a lock.
package deduper

import (
	"container/list"
	"time"
)

// KeepTime is how long a key is remembered after its last change.
const KeepTime = 10 * time.Minute

// Action is what happens to a call with a key.
type Action uint8

// The actions.
const (
	// Run is a call that runs now. Its end is reported to the store.
	Run Action = iota
	// Wait is a call whose key runs at the moment.
	Wait
	// Replay is a call that gets the remembered response.
	Replay
	// Duplicate is a call whose key was answered, but the response is not
	// remembered, or belongs to another request.
	Duplicate
	// Doubt is a call whose key has, or may have, an unknown outcome.
	Doubt
	// Full is a call that cannot be remembered; it must not run.
	Full
)

// Response is a remembered response.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header holds the headers. It must not be changed.
	Header map[string][]string
	// Body is the whole body. It must not be changed.
	Body []byte
}

// Verdict is the store's decision on a call.
type Verdict struct {
	// Action is what happens.
	Action Action
	// Response is set for Replay.
	Response Response
	// Attempt identifies the attempt for claims. A key whose earlier attempt
	// did not run keeps its attempt, because the log may hold its claim.
	Attempt string
}

// Config bounds a [Store].
type Config struct {
	// Keys is the greatest number of keys.
	Keys int
	// Bytes is the greatest number of bytes in bodies and headers of
	// remembered responses.
	Bytes int
	// Keep is how long a key is remembered after its last change; KeepTime if
	// zero.
	Keep time.Duration
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
	// has says that the response is remembered, and size how many bytes it has.
	has      bool
	size     int
	response Response
	changed  time.Time
	// element is the entry's place in the order of change; nil while running.
	element *list.Element
}

// Store remembers keys.
type Store struct {
	config  Config
	entries map[string]*entry
	// order holds the entries that do not run, the longest unchanged first.
	order *list.List
	// responses holds those with a response, the oldest first.
	responses *list.List
	bytes     int
}

// NewStore returns an empty store.
func NewStore(cf Config) *Store {
	if cf.Keep == 0 {
		cf.Keep = KeepTime
	}
	return &Store{
		config: cf, entries: map[string]*entry{}, order: list.New(), responses: list.New(),
	}
}

// Begin decides on a call. The fingerprint tells requests apart that use the
// same key by mistake, the attempt is used if the key is new, and resend says
// that the caller has sent the call before: with an unknown key it must not
// run, because its first attempt may have run at another owner.
func (st *Store) Begin(
	key string, fingerprint uint64, attempt string, resend bool, now time.Time,
) Verdict {
	st.expire(now)
	en := st.entries[key]
	if en == nil {
		switch {
		case resend:
			return Verdict{Action: Doubt}
		case len(st.entries) >= st.config.Keys:
			return Verdict{Action: Full}
		}
		st.entries[key] = &entry{key: key, fingerprint: fingerprint, attempt: attempt}
		return Verdict{Action: Run, Attempt: attempt}
	}
	if en.fingerprint != fingerprint {
		return Verdict{Action: Duplicate}
	}
	switch {
	case en.state == running:
		return Verdict{Action: Wait}
	case en.state == unknown:
		return Verdict{Action: Doubt}
	case en.state == answered && en.has:
		return Verdict{Action: Replay, Response: en.response}
	case en.state == answered:
		return Verdict{Action: Duplicate}
	}
	st.order.Remove(en.element)
	en.element, en.state = nil, running
	return Verdict{Action: Run, Attempt: en.attempt}
}

// Answered ends a running call with its response.
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
	en.has, en.size, en.response = true, size, re
	st.responses.PushBack(en)
	st.bytes += size
	for st.bytes > st.config.Bytes {
		st.dropResponse(st.responses.Front())
	}
}

// AnsweredElsewhere ends a running call that has an answer which is not
// remembered, such as one that is too large.
func (st *Store) AnsweredElsewhere(key string, now time.Time) {
	st.end(key, answered, now)
}

// Unknown ends a running call that may or may not have run.
func (st *Store) Unknown(key string, now time.Time) {
	st.end(key, unknown, now)
}

// NotRun ends a running call that did not run. The next one with the key runs,
// also if it is marked as a resend.
func (st *Store) NotRun(key string, now time.Time) {
	st.end(key, notRun, now)
}

// Len returns the number of keys remembered.
func (st *Store) Len() int { return len(st.entries) }

// Bytes returns the number of bytes in remembered responses.
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
		if now.Sub(en.changed) < st.config.Keep {
			return
		}
		st.order.Remove(front)
		delete(st.entries, en.key)
		if en.has {
			// Responses are in the order of change too, so this is the first.
			st.dropResponse(st.responses.Front())
		}
	}
}

func (st *Store) dropResponse(el *list.Element) {
	en := st.responses.Remove(el).(*entry)
	en.has, en.response = false, Response{}
	st.bytes -= en.size
}
