// Package replicator keeps a copy of a keyed topic of the platform's store.
//
// A [Replica] holds the newest record of each key and performs no I/O. A
// [Follower] keeps it up to date from the store, and from other nodes while the
// store does not respond to this one.
package replicator

import (
	"sync"
)

// Record is the newest record of a key. A nil value deletes the key.
type Record struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset uint64 `json:"offset"`
}

// Snapshot holds the newest record of every key as of End.
type Snapshot struct {
	Records []Record `json:"records"`
	// End is the offset of the next record.
	End uint64 `json:"end"`
}

// Replica is a copy of a keyed topic. It is safe for concurrent use.
type Replica struct {
	mu      sync.RWMutex
	records map[string]Record
	end     uint64
	primed  bool
	// updated is closed and replaced when the end advances.
	updated chan struct{}
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{records: map[string]Record{}, updated: make(chan struct{})}
}

// End returns the offset up to which records are known, and whether the replica
// has held a complete snapshot.
func (re *Replica) End() (uint64, bool) {
	re.mu.RLock()
	defer re.mu.RUnlock()
	return re.end, re.primed
}

// Get returns the newest record of the key.
func (re *Replica) Get(key string) (Record, bool) {
	re.mu.RLock()
	defer re.mu.RUnlock()
	rc, ok := re.records[key]
	return rc, ok && rc.Value != nil
}

// Each calls the function for the newest record of each key that has a value.
func (re *Replica) Each(fn func(Record)) {
	re.mu.RLock()
	defer re.mu.RUnlock()
	for _, rc := range re.records {
		if rc.Value != nil {
			fn(rc)
		}
	}
}

// Append merges records that follow the known ones, and returns the keys that
// changed. Records at known offsets are ignored.
func (re *Replica) Append(records []Record, end uint64) []string {
	re.mu.Lock()
	defer re.mu.Unlock()
	changed := re.merge(records)
	re.advanceEnd(end)
	return changed
}

// Reset merges a complete snapshot and returns the keys that changed. Keys that
// the snapshot lacks are deleted if they are older than the snapshot. A snapshot
// older than the replica changes nothing.
func (re *Replica) Reset(sn Snapshot) []string {
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.primed && sn.End < re.end {
		return nil
	}
	changed := re.merge(sn.Records)
	present := make(map[string]bool, len(sn.Records))
	for _, rc := range sn.Records {
		present[rc.Key] = true
	}
	for key, rc := range re.records {
		if !present[key] && rc.Value != nil && rc.Offset < sn.End {
			re.records[key] = Record{Key: key, Offset: sn.End - 1}
			changed = append(changed, key)
		}
	}
	re.advanceEnd(sn.End)
	re.primed = true
	return changed
}

// advanceEnd advances the end and wakes those that wait for it.
func (re *Replica) advanceEnd(end uint64) {
	if end <= re.end {
		return
	}
	re.end = end
	close(re.updated)
	re.updated = make(chan struct{})
}

// Updated returns a channel that is closed when the end advances.
func (re *Replica) Updated() <-chan struct{} {
	re.mu.RLock()
	defer re.mu.RUnlock()
	return re.updated
}

func (re *Replica) merge(records []Record) []string {
	var changed []string
	for _, rc := range records {
		old, ok := re.records[rc.Key]
		if ok && rc.Offset <= old.Offset {
			continue
		}
		re.records[rc.Key] = rc
		changed = append(changed, rc.Key)
	}
	return changed
}

// Since returns the records at the offset and above, including deletions, and
// whether the replica is primed.
func (re *Replica) Since(offset uint64) (Snapshot, bool) {
	re.mu.RLock()
	defer re.mu.RUnlock()
	sn := Snapshot{End: re.end}
	for _, rc := range re.records {
		if rc.Offset >= offset {
			sn.Records = append(sn.Records, rc)
		}
	}
	return sn, re.primed
}
