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

// In each data centre one node reads the store and the others wait for news at
// that node, so that the calls to the store do not grow with the fleet. Others
// stand in when it cannot help. A node that gets no answer from any of them reads
// the store itself.

const (
	// readerWait is how long a reader's read of the operator's topic waits, and
	// overdueTime how long ago its last answer may be. News must reach every node
	// in two seconds even if the reader's connection to the store turns silent.
	readerWait  = 700 * time.Millisecond
	overdueTime = time.Second
	// relayWait bounds the wait at the reader, relaySlack its answer beyond that.
	// A reader that is frozen is given up early enough to read a slow store in
	// time.
	relayWait  = 600 * time.Millisecond
	relaySlack = 250 * time.Millisecond
)

// readers returns the nodes of the own data centre that may read the store for
// the others, the first one first: of those with the most processing capacity.
func (ru *Runner) readers() []netip.AddrPort {
	se := ru.settings.Load()
	best, nodes := se.Capacity, []netip.AddrPort{se.Nodes}
	if ru.leaving.Load() {
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

// errStoreLost spares a call to a store that does not answer another one.
var errStoreLost = errors.New("the store does not answer")

// relay is a topic that is read at the data centre's readers.
type relay struct {
	replicator.Source
	runner *Runner
	topic  string
	// storeWait bounds the wait of reads of the store.
	storeWait time.Duration
	*sourcing
}

// Read implements [replicator.Source].
func (re *relay) Read(
	ctx context.Context, from uint64, wait time.Duration,
) (replicator.Snapshot, error) {
	ru := re.runner
	if re.topic == meshTopic && ru.operator.Unavailable() {
		return replicator.Snapshot{}, errStoreLost
	}
	self := ru.settings.Load().Nodes
	for _, node := range re.order(ru.readers(), self, ru.Now()) {
		if node == self {
			return re.readStore(ctx, from, wait)
		}
		sn, err := re.ask(ctx, node, from, min(wait, relayWait))
		if err == nil && re.helped(node) {
			ru.Log.WithField("topic", re.topic).WithField("node", node.String()).
				Info("reader answers again")
		}
		if err == nil || ctx.Err() != nil {
			return sn, err
		}
		wait = 0 // the time was spent at the reader
		re.giveUp(node, err)
	}
	return replicator.Snapshot{}, errStoreLost
}

// Newest implements [replicator.Source]. It always asks the store.
func (re *relay) Newest(ctx context.Context) (replicator.Snapshot, error) {
	sn, err := re.Source.Newest(ctx)
	re.answered(err)
	return sn, err
}

// giveUp notes that a reader could not help.
func (re *relay) giveUp(reader netip.AddrPort, err error) {
	ru := re.runner
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		ru.carrier.RecordProbe(reader, false) // another node is the reader until it answers
	}
	if re.failed(reader, ru.Now()) {
		ru.Log.WithError(err).WithField("topic", re.topic).WithField("node", reader.String()).
			Info("reader does not answer")
	}
}

func (re *relay) readStore(
	ctx context.Context, from uint64, wait time.Duration,
) (replicator.Snapshot, error) {
	sn, err := re.Source.Read(ctx, from, min(wait, re.storeWait))
	re.answered(err)
	return sn, err
}

// answered notes the outcome of a call to the store.
func (re *relay) answered(err error) {
	now := re.runner.Now()
	ok := err == nil || errors.Is(err, replicator.ErrTrimmed)
	re.called(ok, rand.Float64(), now)
	if ok && re.topic == operatorTopic {
		re.runner.storeRead.Store(now.UnixNano())
	}
}

func (re *relay) ask(
	ctx context.Context, reader netip.AddrPort, from uint64, wait time.Duration,
) (replicator.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relaySlack)
	defer cancel()
	var sn replicator.Snapshot
	query := url.Values{
		"topic": {re.topic}, "from": {strconv.FormatUint(from, 10)}, "wait": {wait.String()},
	}
	return sn, re.runner.ask(ctx, reader, relayPath, query, &sn)
}

// serveRelay serves the nodes of the own data centre while this one reads the
// store: the records from an offset on, as soon as there are any.
func (ru *Runner) serveRelay(w http.ResponseWriter, r *http.Request) {
	fo := ru.follower(r.FormValue("topic"))
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
	if !ru.await(r.Context(), fo, from, min(max(wait, 0), relayWait)) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	sn, primed := fo.Since(from)
	if !primed || sn.End < from {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ru.zips.write(ru, w, fo, from, sn)
}

// await waits for records from the offset on. It reports false as soon as the
// store has not answered this node for longer than overdueTime.
func (ru *Runner) await(
	ctx context.Context, fo *replicator.Follower, from uint64, wait time.Duration,
) bool {
	end := ru.Now().Add(wait)
	for {
		news := fo.Updated()
		now := ru.Now()
		fresh := time.Unix(0, ru.storeRead.Load()).Add(overdueTime).Sub(now)
		if fresh <= 0 {
			return false
		}
		if known, _ := fo.End(); known > from || !now.Before(end) {
			return true
		}
		timer := time.NewTimer(min(fresh, end.Sub(now)))
		select {
		case <-news:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}

// zips keeps the last compressed answer, which all nodes of a data centre ask
// for at the same time.
type zips struct {
	mu        sync.Mutex
	follower  *replicator.Follower
	from, end uint64
	data      []byte
}

func (zi *zips) write(
	ru *Runner, w http.ResponseWriter, fo *replicator.Follower, from uint64,
	sn replicator.Snapshot,
) {
	if len(sn.Records) == 0 {
		ru.writeJSON(w, sn)
		return
	}
	zi.mu.Lock()
	if zi.follower != fo || zi.from != from || zi.end != sn.End || zi.data == nil {
		data, err := compress(sn)
		if err != nil {
			zi.mu.Unlock()
			ru.Log.WithError(err).Error("compress an answer to a node")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		zi.follower, zi.from, zi.end, zi.data = fo, from, sn.End, data
	}
	data := zi.data
	zi.mu.Unlock()
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = w.Write(data) // the node that asked sees a failed write
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
