// Package relayer decides which records and facts a node passes to which of
// its neighbours and what it pulls from them.
//
// It is a state machine without I/O, clock or random numbers. The shell hands
// it what arrives ([Relayer.Logged], [Relayer.Receive], [Relayer.Serve],
// [Relayer.Succeed], [Relayer.Fail]) and carries out what [Relayer.Plan]
// returns.
//
// Records travel in raw form, so that a node relays also those it cannot
// read. A small record is pushed at once to each neighbour that lacks it. For
// a large one the neighbour is only told, and pulls it from one node. Facts
// are pushed at once; digests in every message find what was lost.
package relayer

import (
	"bytes"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/internal/reducer"
	"github.com/guavastall/guavastall/pkg/checker"
)

// Defaults of [Config].
const (
	defaultPeriod        = 2 * time.Second
	defaultEagerBytes    = 2 << 10
	defaultMaxBytes      = 256 << 10
	defaultWindowRecords = 256
	defaultWindowBytes   = 2 << 20
)

// maxFacts bounds the facts in one message. A full set at the design size is
// about 600: 65 services in 9 data centres.
const maxFacts = 1024

// Record is a record of the configuration stream as the log holds it.
type Record struct {
	// Offset is the place of the record in the log.
	Offset uint64
	// Data is the raw record.
	Data []byte
	// Sum is the hash of Data at the node that read the log. It keeps a record
	// that was damaged on the way apart from one that is damaged in the log.
	Sum uint64
}

// NewRecord returns a record that was read from the log.
func NewRecord(offset uint64, data []byte) Record {
	return Record{Offset: offset, Data: data, Sum: xxhash.Sum64(data)}
}

// Digest says what a node holds.
type Digest struct {
	// First and Next bound the raw records that the node can pass on.
	First, Next uint64
	// Folded is the offset of the next record to fold. It is below Next at a
	// node that cannot read a record's format.
	Folded uint64
	// Revision is the configuration revision.
	Revision checker.Revision
	// Facts is the digest of the facts.
	Facts uint64
	// Skips counts the gaps in the log that the node has passed over.
	Skips uint64
	// LogAge is the time since a node read the log successfully, as far as
	// this one has heard; negative if it has not heard of any such read.
	LogAge time.Duration
	// Stale says that the node has just started and may hold too little.
	Stale bool
}

// Push carries news to a neighbour. Without records and facts it is a digest.
type Push struct {
	From    checker.NodeID
	Digest  Digest
	Records []Record
	Facts   []reducer.Fact
}

// Pull asks a neighbour for what this node lacks.
type Pull struct {
	From   checker.NodeID
	Digest Digest
	// Records asks for the records from the offset Digest.Next on.
	Records bool
	// Buckets asks for the facts of the buckets whose hash differs.
	Buckets []uint64
}

// Reply is the answer to a [Pull].
type Reply struct {
	Digest Digest
	// Checkpoint stands in for records that the node no longer holds.
	Checkpoint []byte
	Records    []Record
	Facts      []reducer.Fact
}

// Action is one message to send. Exactly one field beside To is set.
type Action struct {
	To   checker.NodeID
	Push *Push
	Pull *Pull
}

// Config holds the settings of a [Relayer]. Zero fields take the defaults.
type Config struct {
	// Self is this node.
	Self checker.NodeID
	// Period is the time between digests to a neighbour.
	Period time.Duration
	// EagerBytes is the size up to which records are pushed unasked.
	EagerBytes int
	// MaxBytes bounds the records in one message; one record always fits.
	MaxBytes int
	// WindowRecords and WindowBytes bound the raw records kept for others.
	WindowRecords, WindowBytes int
	// Apply folds a record; nil means [reducer.State.Apply]. A test uses it to
	// stand for a build that reads other formats.
	Apply func(st *reducer.State, offset uint64, data []byte) (*reducer.State, error)
	// Load reads a checkpoint; nil means [reducer.LoadCheckpoint].
	Load func(data []byte) (*reducer.State, error)
}

func (cf *Config) setDefaults() {
	if cf.Period <= 0 {
		cf.Period = defaultPeriod
	}
	if cf.EagerBytes <= 0 {
		cf.EagerBytes = defaultEagerBytes
	}
	if cf.MaxBytes <= 0 {
		cf.MaxBytes = defaultMaxBytes
	}
	if cf.WindowRecords <= 0 {
		cf.WindowRecords = defaultWindowRecords
	}
	if cf.WindowBytes <= 0 {
		cf.WindowBytes = defaultWindowBytes
	}
	if cf.Apply == nil {
		cf.Apply = func(st *reducer.State, offset uint64, data []byte) (*reducer.State, error) {
			next, _, err := st.Apply(offset, data)
			return next, err
		}
	}
	if cf.Load == nil {
		cf.Load = reducer.LoadCheckpoint
	}
}

// Relayer holds the state of a node and what it knows of its neighbours. It is
// not safe for concurrent use. Use [New].
type Relayer struct {
	config Config
	state  *reducer.State
	window window
	peers  map[checker.NodeID]*peer
	// order holds the keys of peers in order.
	order []checker.NodeID
	// logSeen is when a node last read the log, as far as this one has heard.
	logSeen time.Time
	stale   bool
	// pulling says that a pull of records is on its way.
	pulling bool
	cache   cache
}

// cache holds what is expensive to derive from the state.
type cache struct {
	state      *reducer.State
	digest     uint64
	buckets    []uint64
	checkpoint []byte
}

// New returns a relayer that holds the state, which may be the zero State.
func New(cf Config, st *reducer.State) *Relayer {
	cf.setDefaults()
	return &Relayer{
		config: cf,
		state:  st,
		window: window{first: st.Next()},
		peers:  map[checker.NodeID]*peer{},
		stale:  true,
	}
}

// State returns the current state.
func (rl *Relayer) State() *reducer.State { return rl.state }

// Next returns the offset of the next record that the node lacks.
func (rl *Relayer) Next() uint64 { return rl.window.next() }

// Behind reports whether the node holds records that it cannot read.
func (rl *Relayer) Behind() bool { return rl.state.Next() < rl.window.next() }

// SetStale says whether the node may hold less than its peers or the log; it
// tells its neighbours.
func (rl *Relayer) SetStale(stale bool) { rl.stale = stale }

// LogAge returns the time since a node last read the log, as far as this one
// has heard, and whether it has heard of any such read.
func (rl *Relayer) LogAge(now time.Time) (time.Duration, bool) {
	return max(0, now.Sub(rl.logSeen)), !rl.logSeen.IsZero()
}

// Digest returns what the node holds.
func (rl *Relayer) Digest(now time.Time) Digest {
	age, known := rl.LogAge(now)
	if !known {
		age = -1
	}
	return Digest{
		First: rl.window.first, Next: rl.window.next(),
		Folded: rl.state.Next(), Revision: rl.state.Revision(), Skips: rl.state.Skips(),
		Facts: rl.cached().digest, LogAge: age, Stale: rl.stale,
	}
}

// Logged takes records that were read from the log at the given time; there
// may be none. Records that do not follow the last one are ignored.
func (rl *Relayer) Logged(records []Record, now time.Time) {
	rl.logSeen = now
	rl.takeRecords(records)
}

// Adopt takes a state that was read from a checkpoint if it is newer.
func (rl *Relayer) Adopt(st *reducer.State) {
	next := rl.state.Adopt(st)
	rl.setState(next)
	if next.Next() > rl.window.next() {
		rl.window = window{first: next.Next()}
	}
	rl.fold()
}

// Skip passes over records that the log dropped before any node read them.
func (rl *Relayer) Skip(next uint64) {
	rl.setState(rl.state.Skip(next))
	if next > rl.window.next() {
		rl.window = window{first: next}
	}
}

// Join adds facts that arose at this node. It reports whether any is news.
func (rl *Relayer) Join(facts []reducer.Fact, now time.Time) bool {
	return rl.takeFacts(checker.NodeID{}, facts, now)
}

// Receive takes a push and returns the digest to answer with.
func (rl *Relayer) Receive(ps Push, now time.Time) Digest {
	rl.heard(ps.From, ps.Digest, now)
	rl.takeRecords(ps.Records)
	rl.takeFacts(ps.From, ps.Facts, now)
	answer := rl.Digest(now)
	rl.peer(ps.From, now).told = answer
	return answer
}

// Serve answers a pull.
func (rl *Relayer) Serve(pl Pull, now time.Time) Reply {
	rl.heard(pl.From, pl.Digest, now)
	answer := Reply{Digest: rl.Digest(now)}
	if pl.Records {
		from := pl.Digest.Next
		diverged := pl.Digest.Folded == rl.state.Next() && pl.Digest.Revision < rl.state.Revision()
		if from < rl.window.first || diverged {
			answer.Checkpoint = rl.checkpoint()
			from = rl.state.Next()
		}
		answer.Records = rl.window.since(from, rl.config.MaxBytes)
	}
	if len(pl.Buckets) > 0 {
		answer.Facts = rl.factsIn(pl.Buckets)
	}
	rl.peer(pl.From, now).told = answer.Digest
	return answer
}

// Succeed takes the answer to an action. The reply of a push holds a digest
// alone.
func (rl *Relayer) Succeed(ac Action, re Reply, now time.Time) {
	pe := rl.peer(ac.To, now)
	pe.fails = 0
	rl.heard(ac.To, re.Digest, now)
	if ac.Push != nil {
		pe.busy = false
		pe.told = ac.Push.Digest
		pe.sent = nil
		return
	}
	before, digest := rl.progress(), rl.cached().digest
	rl.finishPull(pe, ac.Pull)
	if len(re.Checkpoint) > 0 {
		// A checkpoint that this build cannot read leaves the state as it is.
		if st, err := rl.config.Load(re.Checkpoint); err == nil {
			rl.Adopt(st)
		}
	}
	rl.takeRecords(re.Records)
	rl.takeFacts(ac.To, re.Facts, now)
	if ac.Pull.Records {
		pe.recordPulls.note(rl.progress() != before, now, rl.config.Period)
	}
	if len(ac.Pull.Buckets) > 0 {
		pe.factsTaken = true
		pe.factPulls.note(rl.cached().digest != digest, now, rl.config.Period)
	}
}

// Fail says that an action had no answer.
func (rl *Relayer) Fail(ac Action, now time.Time) {
	pe := rl.peer(ac.To, now)
	pe.fails++
	pe.retryAt = now.Add(rl.config.Period << min(pe.fails-1, maxRetryDoublings))
	if ac.Pull != nil {
		rl.finishPull(pe, ac.Pull)
		return
	}
	pe.busy = false
	for key, fa := range pe.sent {
		if _, newer := pe.pending[key]; !newer {
			pe.pending[key] = fa
		}
	}
	pe.sent = nil
}

// progress holds what a useful pull of records changes.
type progress struct {
	next     uint64
	revision checker.Revision
}

func (rl *Relayer) progress() progress {
	return progress{rl.Next(), rl.state.Revision()}
}

func (rl *Relayer) finishPull(pe *peer, pl *Pull) {
	pe.pulling = false
	if pl.Records {
		rl.pulling = false
	}
}

// takeRecords adds the records that follow the last one and folds them.
func (rl *Relayer) takeRecords(records []Record) {
	for _, rec := range records {
		if rec.Offset != rl.window.next() || xxhash.Sum64(rec.Data) != rec.Sum {
			continue
		}
		rl.window.add(rec, rl.config.WindowRecords, rl.config.WindowBytes)
		// Each record is folded at once, before the window can drop it.
		rl.fold()
	}
}

// fold folds the records that the window holds, up to one that this build
// cannot read.
func (rl *Relayer) fold() {
	for rl.state.Next() < rl.window.next() {
		rec, ok := rl.window.at(rl.state.Next())
		if !ok {
			return
		}
		next, err := rl.config.Apply(rl.state, rec.Offset, rec.Data)
		if err != nil {
			return
		}
		rl.setState(next)
	}
}

// setState replaces the state unless that would lower its revision or offset.
func (rl *Relayer) setState(next *reducer.State) {
	if !asserter.That(next.Revision() >= rl.state.Revision(), "revisionNeverDecreases",
		"revision %d after %d", next.Revision(), rl.state.Revision()) {
		return
	}
	if !asserter.That(next.Next() >= rl.state.Next(), "offsetNeverDecreases",
		"offset %d after %d", next.Next(), rl.state.Next()) {
		return
	}
	rl.state = next
}

// cached returns what was derived from the current state.
func (rl *Relayer) cached() *cache {
	if rl.cache.state != rl.state {
		rl.cache = cache{state: rl.state, digest: rl.state.FactsDigest()}
	}
	return &rl.cache
}

func (rl *Relayer) checkpoint() []byte {
	ca := rl.cached()
	if ca.checkpoint == nil {
		data, err := rl.state.Checkpoint()
		if err != nil {
			return nil
		}
		ca.checkpoint = data
	}
	return ca.checkpoint
}

// window holds raw records that follow each other.
type window struct {
	first   uint64
	records []Record
	bytes   int
}

func (wi *window) next() uint64 { return wi.first + uint64(len(wi.records)) }

// at returns the record at the offset, and whether the window holds it.
func (wi *window) at(offset uint64) (Record, bool) {
	if offset < wi.first || offset >= wi.next() {
		return Record{}, false
	}
	return wi.records[offset-wi.first], true
}

// add appends the record that follows and drops the oldest over the limits.
func (wi *window) add(rec Record, maxRecords, maxBytes int) {
	rec.Data = bytes.Clone(rec.Data)
	wi.records = append(wi.records, rec)
	wi.bytes += len(rec.Data)
	for len(wi.records) > 1 && (len(wi.records) > maxRecords || wi.bytes > maxBytes) {
		wi.bytes -= len(wi.records[0].Data)
		wi.records[0] = Record{}
		wi.records = wi.records[1:]
		wi.first++
	}
}

// since returns the records from the offset on, up to the size limit but at
// least one. It returns none if the window does not hold the first of them.
func (wi *window) since(offset uint64, maxBytes int) []Record {
	if offset < wi.first || offset >= wi.next() {
		return nil
	}
	size := 0
	list := wi.records[offset-wi.first:]
	for ii, rec := range list {
		size += len(rec.Data)
		if ii > 0 && size > maxBytes {
			list = list[:ii]
			break
		}
	}
	return slices.Clone(list)
}

// size returns the bytes of the records from the offset on.
func (wi *window) size(offset uint64) int {
	size := 0
	for _, rec := range wi.records[min(max(offset, wi.first)-wi.first, uint64(len(wi.records))):] {
		size += len(rec.Data)
	}
	return size
}
