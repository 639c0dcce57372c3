// Package relayer decides which records and facts a node pushes to which of its
// neighbours and what it pulls from them.
//
// It is a state machine without I/O, clock or random numbers. The caller passes
// it the events ([Relayer.AddLogged], [Relayer.HandlePush], [Relayer.HandlePull],
// [Relayer.HandleReply], [Relayer.HandleFailure]) and sends the messages that
// [Relayer.Plan] returns.
//
// Records are relayed in raw form, so that a node also relays those it cannot
// read. A small record is pushed eagerly to each neighbour that lacks it. A
// large one is only announced by the digest, and the neighbour pulls it from one
// node. Facts are pushed eagerly. The digest in every message reveals lost ones.
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
	// Offset is the offset of the record in the log.
	Offset uint64
	// Data is the raw record.
	Data []byte
	// Sum is the hash of Data at the node that read the log. It distinguishes a
	// record that was damaged between nodes from one that is damaged in the log.
	Sum uint64
}

// NewRecord returns a record that was read from the log.
func NewRecord(offset uint64, data []byte) Record {
	return Record{Offset: offset, Data: data, Sum: xxhash.Sum64(data)}
}

// Digest summarises the state of a node.
type Digest struct {
	// First and Next bound the raw records that the node can relay.
	First, Next uint64
	// Folded is the offset of the next record to apply. It is below Next if the
	// node cannot read the format of a record.
	Folded uint64
	// Revision is the configuration revision.
	Revision checker.Revision
	// Facts is the hash of the facts.
	Facts uint64
	// Skips counts the gaps in the log that the node has skipped.
	Skips uint64
	// LogAge is the time since the last successful read of the log by any node
	// that this one has learned of; negative if there is none.
	LogAge time.Duration
	// Stale is set while the node may lack records or facts after its start.
	Stale bool
}

// Push carries records and facts to a neighbour. Without any it only carries the
// digest.
type Push struct {
	From    checker.NodeID
	Digest  Digest
	Records []Record
	Facts   []reducer.Fact
}

// Pull requests the records and facts that this node lacks.
type Pull struct {
	From   checker.NodeID
	Digest Digest
	// Records requests the records starting at the offset Digest.Next.
	Records bool
	// Buckets requests the facts of the buckets whose hash differs.
	Buckets []uint64
}

// Reply is the response to a [Pull].
type Reply struct {
	Digest Digest
	// Checkpoint replaces records that the node no longer holds.
	Checkpoint []byte
	Records    []Record
	Facts      []reducer.Fact
}

// Action is one message to send. Exactly one of Push and Pull is set.
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
	// EagerBytes is the total size up to which records are pushed eagerly.
	EagerBytes int
	// MaxBytes bounds the records in one message, which may always hold one.
	MaxBytes int
	// WindowRecords and WindowBytes bound the raw records kept for peers.
	WindowRecords, WindowBytes int
	// Apply applies a record; nil means [reducer.State.Apply]. Tests replace it to
	// simulate a build that reads other formats.
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

// Relayer holds the state of a node and what it knows about its peers. It is not
// safe for concurrent use. Use [New].
type Relayer struct {
	config Config
	state  *reducer.State
	window window
	peers  map[checker.NodeID]*peer
	// order holds the keys of peers in order.
	order []checker.NodeID
	// lastLogRead is the time of the last successful read of the log by any node
	// that this one has learned of.
	lastLogRead time.Time
	stale       bool
	// pulling is set while a pull of records is in progress.
	pulling bool
	cache   cache
}

// cache holds values that are expensive to derive from the state.
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

// SetStale sets whether the node may hold less than its peers or the log. The
// digests carry it to the peers.
func (rl *Relayer) SetStale(stale bool) { rl.stale = stale }

// LogAge returns the time since the last successful read of the log by any node
// that this one has learned of, and whether there is one.
func (rl *Relayer) LogAge(now time.Time) (time.Duration, bool) {
	return max(0, now.Sub(rl.lastLogRead)), !rl.lastLogRead.IsZero()
}

// Digest returns the digest of the node.
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

// AddLogged adds the records of a successful read of the log, which may be none.
// Records that do not follow the last one are ignored.
func (rl *Relayer) AddLogged(records []Record, now time.Time) {
	rl.lastLogRead = now
	rl.addRecords(records)
}

// Adopt merges a state that was read from a checkpoint, as [reducer.State.Adopt]
// does.
func (rl *Relayer) Adopt(st *reducer.State) {
	next := rl.state.Adopt(st)
	rl.setState(next)
	if next.Next() > rl.window.next() {
		rl.window = window{first: next.Next()}
	}
	rl.applyRecords()
}

// Skip skips records that the log trimmed before any node read them.
func (rl *Relayer) Skip(next uint64) {
	rl.setState(rl.state.Skip(next))
	if next > rl.window.next() {
		rl.window = window{first: next}
	}
}

// Join adds facts that originate at this node. It reports whether any was new.
func (rl *Relayer) Join(facts []reducer.Fact, now time.Time) bool {
	return rl.addFacts(checker.NodeID{}, facts, now)
}

// HandlePush handles a push from a peer and returns the digest to respond with.
func (rl *Relayer) HandlePush(ps Push, now time.Time) Digest {
	rl.observeDigest(ps.From, ps.Digest, now)
	rl.addRecords(ps.Records)
	rl.addFacts(ps.From, ps.Facts, now)
	own := rl.Digest(now)
	rl.peer(ps.From, now).ackedDigest = own
	return own
}

// HandlePull handles a pull from a peer and returns the reply.
func (rl *Relayer) HandlePull(pl Pull, now time.Time) Reply {
	rl.observeDigest(pl.From, pl.Digest, now)
	re := Reply{Digest: rl.Digest(now)}
	if pl.Records {
		from := pl.Digest.Next
		diverged := pl.Digest.Folded == rl.state.Next() && pl.Digest.Revision < rl.state.Revision()
		if from < rl.window.first || diverged {
			re.Checkpoint = rl.checkpoint()
			from = rl.state.Next()
		}
		re.Records = rl.window.from(from, rl.config.MaxBytes)
	}
	if len(pl.Buckets) > 0 {
		re.Facts = rl.differingFacts(pl.Buckets)
	}
	rl.peer(pl.From, now).ackedDigest = re.Digest
	return re
}

// HandleReply handles the reply to an action. The reply to a push holds only a
// digest.
func (rl *Relayer) HandleReply(ac Action, re Reply, now time.Time) {
	pe := rl.peer(ac.To, now)
	pe.failures = 0
	rl.observeDigest(ac.To, re.Digest, now)
	if ac.Push != nil {
		pe.pushing = false
		pe.ackedDigest = ac.Push.Digest
		pe.inFlight = nil
		return
	}
	before, digest := rl.progress(), rl.cached().digest
	rl.finishPull(pe, ac.Pull)
	if len(re.Checkpoint) > 0 {
		// A checkpoint that this build cannot read is ignored.
		if st, err := rl.config.Load(re.Checkpoint); err == nil {
			rl.Adopt(st)
		}
	}
	rl.addRecords(re.Records)
	rl.addFacts(ac.To, re.Facts, now)
	if ac.Pull.Records {
		pe.recordBackoff.update(rl.progress() != before, now, rl.config.Period)
	}
	if len(ac.Pull.Buckets) > 0 {
		pe.factsPulled = true
		pe.factBackoff.update(rl.cached().digest != digest, now, rl.config.Period)
	}
}

// HandleFailure handles the failure of an action.
func (rl *Relayer) HandleFailure(ac Action, now time.Time) {
	pe := rl.peer(ac.To, now)
	pe.failures++
	pe.retryAt = now.Add(rl.config.Period << min(pe.failures-1, maxRetryDoublings))
	if ac.Pull != nil {
		rl.finishPull(pe, ac.Pull)
		return
	}
	pe.pushing = false
	for key, fa := range pe.inFlight {
		if _, newer := pe.pending[key]; !newer {
			pe.pending[key] = fa
		}
	}
	pe.inFlight = nil
}

// progress holds the values of which a pull of records changes at least one if
// it has an effect.
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

// addRecords adds the records that follow the last one and applies them.
func (rl *Relayer) addRecords(records []Record) {
	for _, rec := range records {
		if rec.Offset != rl.window.next() || xxhash.Sum64(rec.Data) != rec.Sum {
			continue
		}
		rl.window.add(rec, rl.config.WindowRecords, rl.config.WindowBytes)
		// Each record is applied immediately, before the window can drop it.
		rl.applyRecords()
	}
}

// applyRecords applies the records in the window, up to the first that this
// build cannot read.
func (rl *Relayer) applyRecords() {
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

// cached returns the cache of the current state.
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

// window holds raw records with consecutive offsets.
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

// add appends the next record and drops the oldest ones beyond the limits.
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

// from returns the records starting at the offset, up to the size limit but at
// least one. It returns none if the window does not hold the first of them.
func (wi *window) from(offset uint64, maxBytes int) []Record {
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

// bytesFrom returns the total size of the records starting at the offset.
func (wi *window) bytesFrom(offset uint64) int {
	size := 0
	for _, rec := range wi.records[min(max(offset, wi.first)-wi.first, uint64(len(wi.records))):] {
		size += len(rec.Data)
	}
	return size
}
