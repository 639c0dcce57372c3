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
	// peerCallTimeout bounds a call to another node, which normally takes a few
	// milliseconds.
	peerCallTimeout = 500 * time.Millisecond
	// peerIdleTimeout is how long a connection for such calls may be idle.
	peerIdleTimeout = 10 * time.Second
	// maxPeerBytes bounds a response of another node.
	maxPeerBytes = 16 << 20
	// peersPerRequest is the number of nodes that are asked for records that the
	// store does not provide.
	peersPerRequest = 2
	// helloValidity is how long a node that sent a hello counts as known.
	helloValidity = 30 * time.Second
)

// The paths of calls between nodes. Requests of clients on the same port are told
// apart by their hop header.
const (
	sincePath    = "/guavastall/since"
	helloPath    = "/guavastall/hello"
	evidencePath = "/guavastall/evidence"
	relayPath    = "/guavastall/relay"
)

// helloResponse is the response to a probe.
type helloResponse struct {
	// StoreLost is true if the store does not respond to the node.
	StoreLost bool `json:"storeLost"`
	Ready     bool `json:"ready"`
}

// evidence is what a node has observed of its target.
type evidence struct {
	Service string                  `json:"service"`
	Version string                  `json:"version"`
	Busy    int                     `json:"busy"`
	Total   map[string]stager.Tally `json:"total"`
	Recent  map[string]stager.Tally `json:"recent"`
	// Blocked is true if the node has stopped using its target's version.
	Blocked bool `json:"blocked,omitempty"`
}

// nodesHandler returns the handler for calls and requests from other nodes. Calls
// that wait for news end when ctx does, so that they don't hold up a stop.
func (ru *Runner) nodesHandler(ctx context.Context) http.Handler {
	requests := ru.carrier.Nodes()
	mux := http.NewServeMux()
	mux.HandleFunc(sincePath, ru.serveSince)
	mux.HandleFunc(helloPath, ru.serveHello)
	mux.HandleFunc(relayPath, func(w http.ResponseWriter, r *http.Request) {
		waiting, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(ctx, cancel)()
		ru.serveRelay(w, r.WithContext(waiting))
	})
	mux.HandleFunc(evidencePath, ru.serveEvidence)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ru.carrier.IsHop(r) {
			requests.ServeHTTP(w, r)
			return
		}
		if r.ContentLength != 0 {
			// Calls between nodes have no body, and the server would wait for this one
			// after the response.
			panic(http.ErrAbortHandler)
		}
		w.Header()["Date"] = nil
		mux.ServeHTTP(w, r)
	})
}

func (ru *Runner) followerOf(topic string) *replicator.Follower {
	switch topic {
	case operatorTopic:
		return ru.operator
	case meshTopic:
		return ru.mesh
	}
	return nil
}

func (ru *Runner) serveSince(w http.ResponseWriter, r *http.Request) {
	fo := ru.followerOf(r.FormValue("topic"))
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
	ru.gzipCache.write(ru, w, fo, from, sn)
}

func (ru *Runner) serveHello(w http.ResponseWriter, r *http.Request) {
	if from, err := netip.ParseAddrPort(r.FormValue("from")); err == nil {
		ru.peers.recordHello(from, ru.Now())
	}
	ru.writeJSON(w, helloResponse{StoreLost: ru.operator.Unavailable(), Ready: ru.Ready()})
}

func (ru *Runner) serveEvidence(w http.ResponseWriter, _ *http.Request) {
	ru.writeJSON(w, ru.ownEvidence())
}

func (ru *Runner) ownEvidence() evidence {
	in := ru.gate.Current()
	running, waiting := ru.gate.RequestCounts()
	ev := evidence{Service: in.Service, Version: in.Version, Busy: running + waiting}
	ev.Total, ev.Recent = ru.gate.Tallies()
	ev.Blocked = ru.gate.VersionFaulty()
	return ev
}

func (ru *Runner) writeJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		ru.Log.WithError(err).Error("could not encode a response to a node")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // the calling node detects a failed write
}

// callNode calls another node and decodes its response. If ctx has no deadline,
// the call is bounded by peerCallTimeout.
func (ru *Runner) callNode(
	ctx context.Context, node netip.AddrPort, path string, query url.Values, answer any,
) error {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, peerCallTimeout)
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
		return fmt.Errorf("node %s responded with %s", node, rs.Status)
	}
	data, err := io.ReadAll(io.LimitReader(rs.Body, maxPeerBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, answer)
}

// hello probes a node and makes this one known to it.
func (ru *Runner) hello(ctx context.Context, node netip.AddrPort) (helloResponse, error) {
	var he helloResponse
	query := url.Values{"from": {ru.settings.Load().Nodes.String()}}
	err := ru.callNode(ctx, node, helloPath, query, &he)
	return he, err
}

// peers asks other nodes for records that the store does not provide.
type peers struct {
	runner *Runner

	mu sync.Mutex
	// lastHello is when each node last sent a hello.
	lastHello map[netip.AddrPort]time.Time
}

func (pe *peers) recordHello(node netip.AddrPort, now time.Time) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	pe.lastHello[node] = now
}

// candidates returns the nodes that may be asked, those of this data centre
// first.
func (pe *peers) candidates() []netip.AddrPort {
	own := pe.runner.settings.Load().DataCentre
	var local, remote []netip.AddrPort
	for _, en := range pe.runner.entries() {
		if en.DataCentre == own {
			local = append(local, en.Node)
		} else {
			remote = append(remote, en.Node)
		}
	}
	now := pe.runner.Now()
	pe.mu.Lock()
	for node, at := range pe.lastHello {
		if now.Sub(at) > helloValidity {
			delete(pe.lastHello, node)
			continue
		}
		remote = append(remote, node)
	}
	pe.mu.Unlock()
	shuffle(local)
	shuffle(remote)
	return append(local, remote...)
}

func shuffle(nodes []netip.AddrPort) {
	rand.Shuffle(len(nodes), func(a, b int) { nodes[a], nodes[b] = nodes[b], nodes[a] })
}

// Since implements [replicator.Peers]. Nodes of this data centre may be cut off
// from the store in the same way, so the last of the nodes asked is chosen at
// random.
func (pe *peers) Since(
	ctx context.Context, topic string, from uint64,
) (replicator.Snapshot, error) {
	nodes := pe.candidates()
	if len(nodes) > peersPerRequest {
		nodes[peersPerRequest-1] = nodes[peersPerRequest-1+rand.IntN(len(nodes)-peersPerRequest+1)]
		nodes = nodes[:peersPerRequest]
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
			an.err = pe.runner.callNode(ctx, node, sincePath, query, &an.Snapshot)
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
