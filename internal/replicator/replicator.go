// Package replicator keeps a copy of a keyed topic of the platform's store.
//
// A [Replica] is the pure state: the newest record of each key. A [Follower]
// keeps it up to date from the store, and from other nodes while the store does
// not answer this one.
package replicator

import (
	"sync"
)

// Record is the newest record of a key. A nil value drops the key.
type Record struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset uint64 `json:"offset"`
}

// Snapshot holds the newest record of every key as of End.
type Snapshot struct {
	Records []Record `json:"records"`
	// End is the offset that the next record gets.
	End uint64 `json:"end"`
}

// Replica is a copy of a keyed topic. It is safe for concurrent use.
type Replica struct {
	mu      sync.RWMutex
	records map[string]Record
	end     uint64
	primed  bool
	// news is closed when the end moves.
	news chan struct{}
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{records: map[string]Record{}, news: make(chan struct{})}
}

// End returns the offset up to which records are known, and whether the replica
// has held a whole snapshot.
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

// Append takes records that follow what is known, and returns the keys that
// changed. Records at known offsets are ignored.
func (re *Replica) Append(records []Record, end uint64) []string {
	re.mu.Lock()
	defer re.mu.Unlock()
	changed := re.merge(records)
	re.advance(end)
	return changed
}

// Reset takes a whole snapshot and returns the keys that changed. Keys that the
// snapshot lacks are dropped if they are older than the snapshot. A snapshot
// older than what is known changes nothing.
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
	re.advance(sn.End)
	re.primed = true
	return changed
}

// advance moves the end forward and tells those who wait for it.
func (re *Replica) advance(end uint64) {
	if end <= re.end {
		return
	}
	re.end = end
	close(re.news)
	re.news = make(chan struct{})
}

// News returns a channel that is closed when the end moves.
func (re *Replica) News() <-chan struct{} {
	re.mu.RLock()
	defer re.mu.RUnlock()
	return re.news
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

// Since returns the records at the offset and above, dropped keys included.
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
