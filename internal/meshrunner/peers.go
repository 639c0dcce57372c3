package meshrunner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/guavastall/guavastall/internal/replicator"
	"github.com/guavastall/guavastall/internal/stager"
)

const (
	// peerCallTime bounds a call to another node, which takes some milliseconds.
	peerCallTime = 500 * time.Millisecond
	// peerIdleTime is how long a connection for such calls may rest.
	peerIdleTime = 10 * time.Second
	// maxPeerBytes bounds an answer of another node.
	maxPeerBytes = 16 << 20
	// peersAsked is how many nodes are asked for what the store does not give.
	peersAsked = 2
	// heardTime is how long a node that said hello counts as known.
	heardTime = 30 * time.Second
)

// The paths of the calls between nodes. Requests of clients on the same port
// are told apart by their hop header.
const (
	sincePath    = "/guavastall/since"
	helloPath    = "/guavastall/hello"
	evidencePath = "/guavastall/evidence"
	relayPath    = "/guavastall/relay"
)

// hello is the answer to a probe.
type hello struct {
	// StoreLost says that the store does not answer the node.
	StoreLost bool `json:"storeLost"`
	Ready     bool `json:"ready"`
}

// evidence is what a node has seen of its target.
type evidence struct {
	Service string                  `json:"service"`
	Version string                  `json:"version"`
	Busy    int                     `json:"busy"`
	Total   map[string]stager.Tally `json:"total"`
	Recent  map[string]stager.Tally `json:"recent"`
}

// nodesHandler serves other nodes.
func (ru *Runner) nodesHandler() http.Handler {
	requests := ru.carrier.Nodes()
	mux := http.NewServeMux()
	mux.HandleFunc(sincePath, ru.serveSince)
	mux.HandleFunc(helloPath, ru.serveHello)
	mux.HandleFunc(relayPath, ru.serveRelay)
	mux.HandleFunc(evidencePath, ru.serveEvidence)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ru.carrier.IsHop(r) {
			requests.ServeHTTP(w, r)
			return
		}
		w.Header()["Date"] = nil
		mux.ServeHTTP(w, r)
	})
}

func (ru *Runner) follower(topic string) *replicator.Follower {
	switch topic {
	case operatorTopic:
		return ru.operator
	case meshTopic:
		return ru.mesh
	}
	return nil
}

func (ru *Runner) serveSince(w http.ResponseWriter, r *http.Request) {
	fo := ru.follower(r.FormValue("topic"))
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if fo == nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	sn, primed := fo.Since(from)
	if !primed {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ru.zips.write(ru, w, fo, from, sn)
}

func (ru *Runner) serveHello(w http.ResponseWriter, r *http.Request) {
	if from, err := netip.ParseAddrPort(r.FormValue("from")); err == nil {
		ru.peers.heardOf(from, ru.Now())
	}
	ru.writeJSON(w, hello{StoreLost: ru.operator.Unavailable(), Ready: ru.Ready()})
}

func (ru *Runner) serveEvidence(w http.ResponseWriter, _ *http.Request) {
	ru.writeJSON(w, ru.ownEvidence())
}

func (ru *Runner) ownEvidence() evidence {
	in := ru.gate.Current()
	running, waiting := ru.gate.RequestCounts()
	ev := evidence{Service: in.Service, Version: in.Version, Busy: running + waiting}
	ev.Total, ev.Recent = ru.gate.Tallies()
	return ev
}

func (ru *Runner) writeJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		ru.Log.WithError(err).Error("encode an answer to a node")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // the node that asked sees a failed write
}

// ask calls another node and decodes its answer. Without a deadline of its own
// the call is bounded by peerCallTime.
func (ru *Runner) ask(
	ctx context.Context, node netip.AddrPort, path string, query url.Values, answer any,
) error {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, peerCallTime)
		defer cancel()
	}
	address := url.URL{
		Scheme: "http", Host: node.String(), Path: path, RawQuery: query.Encode(),
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return err
	}
	rq.Header.Set("User-Agent", "")
	rs, err := ru.client.Do(rq)
	if err != nil {
		return err
	}
	defer func() { _ = rs.Body.Close() }()
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("node %s answered %s", node, rs.Status)
	}
	data, err := io.ReadAll(io.LimitReader(rs.Body, maxPeerBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, answer)
}

// hail probes a node and makes this one known to it.
func (ru *Runner) hail(ctx context.Context, node netip.AddrPort) (hello, error) {
	var he hello
	query := url.Values{"from": {ru.settings.Load().Nodes.String()}}
	err := ru.ask(ctx, node, helloPath, query, &he)
	return he, err
}

// peers asks other nodes for what the store does not give.
type peers struct {
	runner *Runner

	mu sync.Mutex
	// heard are the nodes that said hello.
	heard map[netip.AddrPort]time.Time
}

func (pe *peers) heardOf(node netip.AddrPort, now time.Time) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.heard[node] = now
}

// known returns the nodes that may be asked, those of the own data centre first.
func (pe *peers) known() []netip.AddrPort {
	own := pe.runner.settings.Load().DataCentre
	var near, far []netip.AddrPort
	for _, en := range pe.runner.entries() {
		if en.DataCentre == own {
			near = append(near, en.Node)
		} else {
			far = append(far, en.Node)
		}
	}
	now := pe.runner.Now()
	pe.mu.Lock()
	for node, at := range pe.heard {
		if now.Sub(at) > heardTime {
			delete(pe.heard, node)
			continue
		}
		far = append(far, node)
	}
	pe.mu.Unlock()
	shuffle(near)
	shuffle(far)
	return append(near, far...)
}

func shuffle(nodes []netip.AddrPort) {
	rand.Shuffle(len(nodes), func(a, b int) { nodes[a], nodes[b] = nodes[b], nodes[a] })
}

// Since implements [replicator.Peers]. A node of the own data centre may be cut
// off in the same way, so that a random one is asked too.
func (pe *peers) Since(
	ctx context.Context, topic string, from uint64,
) (replicator.Snapshot, error) {
	nodes := pe.known()
	if len(nodes) > peersAsked {
		nodes[peersAsked-1] = nodes[peersAsked-1+rand.IntN(len(nodes)-peersAsked+1)]
		nodes = nodes[:peersAsked]
	}
	type answer struct {
		replicator.Snapshot
		err error
	}
	answers := make(chan answer, len(nodes))
	query := url.Values{"topic": {topic}, "from": {strconv.FormatUint(from, 10)}}
	for _, node := range nodes {
		go func() {
			var an answer
			an.err = pe.runner.ask(ctx, node, sincePath, query, &an.Snapshot)
			answers <- an
		}()
	}
	best := answer{err: errors.New("no other node is known")}
	for range nodes {
		if an := <-answers; best.err != nil || an.err == nil && an.End > best.End {
			best = an
		}
	}
	return best.Snapshot, best.err
}
