package meshrunner

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/guavastall/guavastall/internal/elector"
	"github.com/guavastall/guavastall/internal/replicator"
)

// In each data centre one node, the reader, reads the store, and the others wait
// for changes at the reader, so that the number of calls to the store does not
// grow with the number of nodes. Other nodes stand in when the reader cannot help.
// A node that gets no response from any of them reads the store itself.

const (
	// readerWait is how long a reader's read of the operator's topic waits, and
	// maxStoreReadAge how long ago its last response may be. A change must reach
	// every node within two seconds, even if the reader's connection to the store
	// stops responding.
	readerWait      = 700 * time.Millisecond
	maxStoreReadAge = time.Second
	// relayWait bounds the wait at the reader, and relayResponseSlack the time
	// that the reader's response may take beyond that. A frozen reader is given
	// up early enough to read a slow store in time.
	relayWait          = 600 * time.Millisecond
	relayResponseSlack = 250 * time.Millisecond
)

// readers returns the nodes of this data centre that may read the store for the
// others, in order of preference. They are chosen among the nodes with the
// largest processing capacity.
func (ru *Runner) readers() []netip.AddrPort {
	se := ru.settings.Load()
	best, nodes := se.Capacity, []netip.AddrPort{se.Nodes}
	if ru.draining.Load() {
		best, nodes = 0, nil
	}
	for _, en := range ru.entries() {
		if en.DataCentre != se.DataCentre || en.NodeLeaving || !ru.carrier.Reachable(en.Node) {
			continue
		}
		if en.Capacity > best {
			best, nodes = en.Capacity, nil
		}
		if en.Capacity == best {
			nodes = append(nodes, en.Node)
		}
	}
	return elector.Owners("reader", nodes, readerCount)
}

// errStoreUnavailable is returned instead of calling a store that has not
// responded to another call.
var errStoreUnavailable = errors.New("the store does not respond")

// relay is a topic that is read through the data centre's readers.
type relay struct {
	replicator.Source
	runner *Runner
	topic  string
	// storeWait bounds the wait of reads from the store.
	storeWait time.Duration
	*sourceSelector
}

// Read implements [replicator.Source].
func (re *relay) Read(
	ctx context.Context, from uint64, wait time.Duration,
) (replicator.Snapshot, error) {
	ru := re.runner
	if re.topic == meshTopic && ru.operator.Unavailable() {
		return replicator.Snapshot{}, errStoreUnavailable
	}
	self := ru.settings.Load().Nodes
	for _, node := range re.candidates(ru.readers(), self, ru.Now()) {
		if node == self {
			return re.readStore(ctx, from, wait)
		}
		sn, err := re.readFrom(ctx, node, from, min(wait, relayWait))
		if err == nil && re.recordSuccess(node) {
			ru.Log.WithField("topic", re.topic).WithField("node", node.String()).
				Info("reader answers again")
		}
		if err == nil || ctx.Err() != nil {
			return sn, err
		}
		wait = 0 // the wait was spent at the reader
		re.recordReaderFailure(node, err)
	}
	return replicator.Snapshot{}, errStoreUnavailable
}

// Newest implements [replicator.Source]. It always reads from the store.
func (re *relay) Newest(ctx context.Context) (replicator.Snapshot, error) {
	sn, err := re.Source.Newest(ctx)
	re.recordStoreResult(err)
	return sn, err
}

// recordReaderFailure records that a reader could not help.
func (re *relay) recordReaderFailure(reader netip.AddrPort, err error) {
	ru := re.runner
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		ru.carrier.RecordProbe(reader, false) // another node is the reader until it responds
	}
	if re.recordFailure(reader, ru.Now()) {
		ru.Log.WithError(err).WithField("topic", re.topic).WithField("node", reader.String()).
			Info("reader does not answer")
	}
}

func (re *relay) readStore(
	ctx context.Context, from uint64, wait time.Duration,
) (replicator.Snapshot, error) {
	sn, err := re.Source.Read(ctx, from, min(wait, re.storeWait))
	re.recordStoreResult(err)
	return sn, err
}

// recordStoreResult records the outcome of a call to the store.
func (re *relay) recordStoreResult(err error) {
	now := re.runner.Now()
	ok := err == nil || errors.Is(err, replicator.ErrTrimmed)
	re.recordStoreCall(ok, rand.Float64(), now)
	if ok && re.topic == operatorTopic {
		re.runner.lastStoreRead.Store(now.UnixNano())
	}
}

func (re *relay) readFrom(
	ctx context.Context, reader netip.AddrPort, from uint64, wait time.Duration,
) (replicator.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayResponseSlack)
	defer cancel()
	var sn replicator.Snapshot
	query := url.Values{
		"topic": {re.topic}, "from": {strconv.FormatUint(from, 10)}, "wait": {wait.String()},
	}
	return sn, re.runner.callNode(ctx, reader, relayPath, query, &sn)
}

// serveRelay serves the nodes of this data centre while this one reads the store.
// It responds with the records from an offset on, as soon as there are any.
func (ru *Runner) serveRelay(w http.ResponseWriter, r *http.Request) {
	fo := ru.followerOf(r.FormValue("topic"))
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	wait, werr := time.ParseDuration(r.FormValue("wait"))
	if err = errors.Join(err, werr); err != nil || fo == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !slices.Contains(ru.readers(), ru.settings.Load().Nodes) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if !ru.awaitRecords(r.Context(), fo, from, min(max(wait, 0), relayWait)) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	sn, primed := fo.Since(from)
	if !primed || sn.End < from {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ru.gzipCache.write(ru, w, fo, from, sn)
}

// awaitRecords waits for records from the offset on. It returns false as soon as
// the store has not responded to this node for longer than maxStoreReadAge.
func (ru *Runner) awaitRecords(
	ctx context.Context, fo *replicator.Follower, from uint64, wait time.Duration,
) bool {
	end := ru.Now().Add(wait)
	for {
		updated := fo.Updated()
		now := ru.Now()
		remaining := time.Unix(0, ru.lastStoreRead.Load()).Add(maxStoreReadAge).Sub(now)
		if remaining <= 0 {
			return false
		}
		if known, _ := fo.End(); known > from || !now.Before(end) {
			return true
		}
		timer := time.NewTimer(min(remaining, end.Sub(now)))
		select {
		case <-updated:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}

// gzipCache holds the last compressed response, because all nodes of a data
// centre ask for it at the same time.
type gzipCache struct {
	mu        sync.Mutex
	follower  *replicator.Follower
	from, end uint64
	data      []byte
}

func (gc *gzipCache) write(
	ru *Runner, w http.ResponseWriter, fo *replicator.Follower, from uint64,
	sn replicator.Snapshot,
) {
	if len(sn.Records) == 0 {
		ru.writeJSON(w, sn)
		return
	}
	gc.mu.Lock()
	if gc.follower != fo || gc.from != from || gc.end != sn.End || gc.data == nil {
		data, err := compress(sn)
		if err != nil {
			gc.mu.Unlock()
			ru.Log.WithError(err).Error("could not compress a response to a node")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		gc.follower, gc.from, gc.end, gc.data = fo, from, sn.End, data
	}
	data := gc.data
	gc.mu.Unlock()
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = w.Write(data) // the calling node detects a failed write
}

func compress(sn replicator.Snapshot) ([]byte, error) {
	var data bytes.Buffer
	zw, err := gzip.NewWriterLevel(&data, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	err = errors.Join(json.NewEncoder(zw).Encode(sn), zw.Close())
	return data.Bytes(), err
}
