// Package forwarder carries calls over HTTP from a caller to a target.
//
// A [Forwarder] serves two handlers. [Forwarder.Callers] is the first node of
// a call: it plans the call, picks an endpoint and sends the call to the
// endpoint's node, or to its own target, and retries as the retrier decides.
// [Forwarder.Peers] is the last node: the limiter admits the call, then it
// goes to the target.
//
// The outcome of an attempt is "not run" only if no byte was written towards
// the target or the target's node said so. The HTTP library never resends a
// call. A response that cannot be passed on whole ends in a broken connection,
// so that it never looks complete.
package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/limiter"
	"github.com/guavastall/guavastall/internal/recorder"
	"github.com/guavastall/guavastall/internal/retrier"
	"github.com/guavastall/guavastall/internal/router"
	"github.com/guavastall/guavastall/internal/ticker"
	"github.com/guavastall/guavastall/pkg/checker"
)

// Table plans calls and picks endpoints; *router.Table is one. It is immutable,
// and a call uses one table to its end.
type Table interface {
	Plan(router.Call, time.Time) (router.Plan, error)
	Pick(router.Plan, []checker.NodeID, *router.Loads, time.Time) (router.Endpoint, error)
}

// Limiter admits calls to the target; *limiter.Limiter is one.
type Limiter interface {
	Offer(now time.Time) bool
	Enqueue(remaining time.Duration, now time.Time) (time.Duration, bool)
	Advance(now time.Time) bool
	Leave(now time.Time)
	Done(limiter.Result, time.Time)
	Limit() int
	InFlight() int
	Cold() bool
}

// Retrier decides on further attempts; [NewRetrier] returns the usual one.
type Retrier interface {
	// First counts the first attempt of a call.
	First(*router.Plan)
	// Next decides what follows a finished attempt.
	Next(*router.Plan, retrier.Attempt, time.Time) retrier.Decision
	// Hedge decides whether a late attempt gets a second one beside it.
	Hedge(*router.Plan, retrier.Attempt, time.Time) retrier.Decision
}

// Observer takes the end of each attempt as evidence for rollouts.
type Observer interface {
	Observe(Observation)
}

// Log takes decisions; *recorder.Recorder is one.
type Log interface {
	Record(recorder.Decision)
}

// Claimer appends claims to a service's claim stream.
type Claimer interface {
	// Claim appends a claim for the key and reports whether this attempt's
	// claim is the first one. The same attempt may be claimed again after an
	// error.
	Claim(ctx context.Context, service checker.Service, key, attempt string) (bool, error)
}

// Observation is the end of one attempt.
type Observation struct {
	// Service, Route and Move say what the attempt belongs to.
	Service checker.Service
	Route   string
	Move    checker.MoveID
	// Version is the version of the endpoint that the attempt went to.
	Version checker.Version
	// Outcome is the outcome of the attempt.
	Outcome retrier.Outcome
	// Failed says that the attempt had no complete response or a status of
	// 500 or above.
	Failed bool
	// Cold says that the target was warming up.
	Cold bool
	// Cancelled says that the attempt is no evidence: its end has nothing to
	// do with the target, as when the caller left or the call was at fault.
	Cancelled bool
	// Latency is the time from the start of the attempt to its end.
	Latency time.Duration
}

// Target is the target next to the node.
type Target struct {
	// Service and Version say what the target runs.
	Service checker.Service
	Version checker.Version
	// Address is where the target listens.
	Address netip.AddrPort
	// Connections bounds the connections to the target; zero is no bound.
	Connections int
}

// Config holds the settings of a [Forwarder]. Zero fields get defaults, except
// where said otherwise.
type Config struct {
	// Self identifies the node; required.
	Self checker.NodeID
	// LocalAddr is the IP address to dial peers from; the zero value leaves
	// the choice to the system.
	LocalAddr netip.Addr
	// Target is the target next to the node. A node without one only routes.
	Target *Target
	// DialTimeout bounds the time to open a connection; 300 ms by default. A
	// new connection takes about 1 ms.
	DialTimeout time.Duration
	// MaxTimeout bounds the time of a call at the last node; 10 minutes by
	// default, the longest timeout of a route.
	MaxTimeout time.Duration
	// MaxCalls bounds the calls in flight that entered the mesh at this node;
	// 1024 by default.
	MaxCalls int
	// PeerConns bounds the connections to each peer; 256 by default.
	PeerConns int
	// Now returns the current time; time.Now by default.
	Now func() time.Time
}

// Parts holds what the forwarder depends on. All but Observer, Log, Limiter,
// Claimer and Out are required; Limiter is required with a target.
type Parts struct {
	// Table returns the table in force, or nil while there is none.
	Table func() Table
	// Loads holds the load of the other nodes.
	Loads *router.Loads
	// Limiter admits calls to the target.
	Limiter Limiter
	// Retrier decides on further attempts.
	Retrier Retrier
	// Observer takes evidence.
	Observer Observer
	// Log takes decisions.
	Log Log
	// Claimer appends claims for routes with once "log". Without one such
	// calls are rejected.
	Claimer Claimer
	// Out reports whether operators have taken the data centre of this node
	// out; nil means never.
	Out func() bool
}

// Forwarder carries calls. It is safe for concurrent use.
type Forwarder struct {
	config Config
	parts  Parts
	gate   *gate
	once   *once
	target *pool
	ticker *ticker.Ticker

	mu    sync.RWMutex
	peers map[checker.NodeID]*pool

	callers flight
	remote  flight
	latency sync.Map // checker.Service to *average

	callPrefix string
	callCount  atomic.Uint64
}

// New returns a forwarder. It fails if a required part is missing.
func New(cf Config, pa Parts) (*Forwarder, error) {
	if !cf.Self.IsValid() {
		return nil, errors.New("forwarder: no address of the node itself")
	}
	if pa.Table == nil || pa.Loads == nil || pa.Retrier == nil {
		return nil, errors.New("forwarder: table, loads and retrier are required")
	}
	if cf.Target != nil && pa.Limiter == nil {
		return nil, errors.New("forwarder: a target needs a limiter")
	}
	setDefaults(&cf)
	if pa.Observer == nil {
		pa.Observer = nothing{}
	}
	if pa.Log == nil {
		pa.Log = nothing{}
	}
	fw := &Forwarder{
		config: cf, parts: pa, peers: map[checker.NodeID]*pool{},
		gate:       &gate{limiter: pa.Limiter, now: cf.Now, out: pa.Out},
		ticker:     ticker.New(cf.Now),
		callPrefix: strconv.FormatUint(rand.Uint64(), 36) + "-",
	}
	fw.once = newOnce(pa.Claimer, cf.Now)
	if cf.Target != nil {
		fw.target = newPool(cf.Target.Address, cf.DialTimeout, nil, cf.Target.Connections)
	}
	return fw, nil
}

func setDefaults(cf *Config) {
	if cf.DialTimeout == 0 {
		cf.DialTimeout = 300 * time.Millisecond
	}
	if cf.MaxTimeout == 0 {
		cf.MaxTimeout = 10 * time.Minute
	}
	if cf.MaxCalls == 0 {
		cf.MaxCalls = 1024
	}
	if cf.PeerConns == 0 {
		cf.PeerConns = 256
	}
	if cf.Now == nil {
		cf.Now = time.Now
	}
}

// nothing is the observer and the log of a forwarder without them.
type nothing struct{}

func (nothing) Observe(Observation)      {}
func (nothing) Record(recorder.Decision) {}

// Callers returns the handler for callers: the first node of a call.
func (fw *Forwarder) Callers() http.Handler {
	return http.HandlerFunc(fw.serveCaller)
}

// Peers returns the handler for other nodes: the last node of a call.
func (fw *Forwarder) Peers() http.Handler {
	return http.HandlerFunc(fw.servePeer)
}

// Drain makes the admission reject every new call as not run, of kind
// Draining, and waits until the calls in flight have finished, both those that
// other nodes sent and those that callers started here. Callers' calls are
// still served and go to other nodes, so the callers' server has to stop first.
// The error is that of the context if it ends first. [Stop] does all of it.
func (fw *Forwarder) Drain(ctx context.Context) error {
	fw.gate.drain()
	if err := fw.remote.wait(ctx); err != nil {
		return err
	}
	return fw.callers.wait(ctx)
}

// Stop ends a node without losing a call: the admission rejects new work, the
// callers' server stops, the calls in flight finish, and the peers' server
// stops. Peers should know of it before, so that they send nothing new. The
// error is that of the context if it ends first; the servers are closed then.
func Stop(ctx context.Context, fw *Forwarder, callers, peers *Server) error {
	fw.gate.drain()
	err := callers.Drain(ctx)
	if errDrain := fw.Drain(ctx); err == nil {
		err = errDrain
	}
	if errPeers := peers.Drain(ctx); err == nil {
		err = errPeers
	}
	fw.Close()
	return err
}

// InFlight returns the numbers of calls in flight that callers started here
// and that other nodes sent.
func (fw *Forwarder) InFlight() (callers, peers int) {
	return int(fw.callers.count.Load()), int(fw.remote.count.Load())
}

// Forget closes the idle connections to a node that has left.
func (fw *Forwarder) Forget(node checker.NodeID) {
	fw.mu.Lock()
	tr := fw.peers[node]
	delete(fw.peers, node)
	fw.mu.Unlock()
	if tr != nil {
		tr.CloseIdleConnections()
	}
}

// Close closes the idle connections to peers and target.
func (fw *Forwarder) Close() {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	for _, tr := range fw.peers {
		tr.CloseIdleConnections()
	}
	if fw.target != nil {
		fw.target.CloseIdleConnections()
	}
}

// peer returns the connection pool to a node.
func (fw *Forwarder) peer(node checker.NodeID) *pool {
	fw.mu.RLock()
	tr := fw.peers[node]
	fw.mu.RUnlock()
	if tr != nil {
		return tr
	}
	fw.mu.Lock()
	defer fw.mu.Unlock()
	if tr = fw.peers[node]; tr == nil {
		var local net.Addr
		if fw.config.LocalAddr.IsValid() {
			local = net.TCPAddrFromAddrPort(netip.AddrPortFrom(fw.config.LocalAddr, 0))
		}
		tr = newPool(node, fw.config.DialTimeout, local, fw.config.PeerConns)
		fw.peers[node] = tr
	}
	return tr
}

// nextCall returns a new call ID, unique among all nodes.
func (fw *Forwarder) nextCall() string {
	return fw.callPrefix + strconv.FormatUint(fw.callCount.Add(1), 36)
}

// flight counts calls in flight.
type flight struct {
	count atomic.Int64
}

// pollPeriod is how often wait looks at the count. Draining takes seconds, and
// polling costs the calls nothing.
const pollPeriod = 2 * time.Millisecond

func (fl *flight) wait(ctx context.Context) error {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for fl.count.Load() > 0 {
		select {
		case <-ctx.Done():
			return answerer.Wrap(ctx.Err(), answerer.DeadlineExceeded, "drain")
		case <-ticker.C:
		}
	}
	return nil
}
