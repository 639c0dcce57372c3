// Package forwarder forwards HTTP calls from a caller to a target.
//
// A [Forwarder] provides two handlers. [Forwarder.Callers] acts as the first
// node of a call: it plans the call, picks an endpoint, sends the call to the
// endpoint's node or to its own target, and retries as the retrier decides.
// [Forwarder.Peers] acts as the last node: it admits the call through the
// limiter and sends it to the target.
//
// The outcome of an attempt is "not run" only if no byte was sent towards the
// target or the target's node reported so. net/http never resends a call on its
// own. If a response cannot be forwarded completely, the connection is aborted,
// so that the response never looks complete.
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

// Table plans calls and picks endpoints, as implemented by *router.Table. It is
// immutable, and a call uses the same table throughout.
type Table interface {
	Plan(router.Call, time.Time) (router.Plan, error)
	Pick(router.Plan, []checker.NodeID, *router.Loads, time.Time) (router.Endpoint, error)
}

// Limiter admits calls to the target, as implemented by *limiter.Limiter.
type Limiter interface {
	TryAcquire(now time.Time) bool
	Enqueue(remaining time.Duration, now time.Time) (time.Duration, bool)
	AcquireQueued(now time.Time) bool
	Dequeue(now time.Time)
	Release(limiter.Result, time.Time)
	Limit() int
	InFlight() int
	Cold() bool
}

// Retrier decides on further attempts. [NewRetrier] returns the default one.
type Retrier interface {
	// First records the first attempt of a call.
	First(*router.Plan)
	// Next decides whether to retry after a finished attempt.
	Next(*router.Plan, retrier.Attempt, time.Time) retrier.Decision
	// Hedge decides whether to start a second attempt alongside a slow one.
	Hedge(*router.Plan, retrier.Attempt, time.Time) retrier.Decision
}

// Observer receives the result of each attempt, which rollouts evaluate.
type Observer interface {
	Observe(Observation)
}

// Log records decisions, as implemented by *recorder.Recorder.
type Log interface {
	Record(recorder.Decision)
}

// Claimer claims idempotency keys in the claim stream of a service.
type Claimer interface {
	// Claim appends a claim for the key and reports whether this attempt's
	// claim is the first one. After an error, it may be called again for the
	// same attempt.
	Claim(ctx context.Context, service checker.Service, key, attempt string) (bool, error)
}

// Observation is the result of one attempt.
type Observation struct {
	// Service, Route and Move identify what the attempt belongs to.
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
	// Cancelled says that the result must not be attributed to the target, for
	// example because the caller disconnected or the call was invalid.
	Cancelled bool
	// Latency is how long the target took for the response, as its node measured
	// it, or the duration of the attempt if that is unknown.
	Latency time.Duration
}

// Target is the target that runs alongside the node.
type Target struct {
	// Service and Version identify what the target runs.
	Service checker.Service
	Version checker.Version
	// Address is the address that the target listens on.
	Address netip.AddrPort
	// Connections is the maximum number of connections to the target; zero
	// means no limit.
	Connections int
}

// Config holds the settings of a [Forwarder]. Zero fields are replaced by
// defaults unless noted otherwise.
type Config struct {
	// Self identifies the node. It is required.
	Self checker.NodeID
	// LocalAddr is the local IP address for connections to peers. If it is the
	// zero value, the operating system chooses the address.
	LocalAddr netip.Addr
	// Target is the target of the node, or nil if the node only routes calls.
	Target *Target
	// DialTimeout is the timeout for opening a connection; 300 ms by default.
	// Opening a connection usually takes about 1 ms.
	DialTimeout time.Duration
	// MaxTimeout is the maximum duration of a call at the last node. The
	// default of 10 minutes is the longest timeout that a route can have.
	MaxTimeout time.Duration
	// MaxCalls is the maximum number of calls in flight that callers sent to
	// this node; 1024 by default.
	MaxCalls int
	// PeerConns is the maximum number of connections to each peer; 256 by
	// default.
	PeerConns int
	// Now returns the current time; time.Now by default.
	Now func() time.Time
}

// Parts holds the dependencies of a [Forwarder]. Table, Loads and Retrier are
// required, and Limiter is required if there is a target.
type Parts struct {
	// Table returns the current routing table, or nil if there is none yet.
	Table func() Table
	// Loads tracks the load of the nodes.
	Loads *router.Loads
	// Limiter admits calls to the target.
	Limiter Limiter
	// Retrier decides on further attempts.
	Retrier Retrier
	// Observer receives the result of each attempt.
	Observer Observer
	// Log records decisions.
	Log Log
	// Claimer claims keys for routes with once "log". If it is nil, calls with
	// a key on such routes are rejected.
	Claimer Claimer
	// Out reports whether operators have taken the data centre of this node
	// out of service; nil means never.
	Out func() bool
}

// Forwarder forwards calls. It is safe for concurrent use.
type Forwarder struct {
	config    Config
	parts     Parts
	admission *admission
	once      *onceStore
	target    *pool
	ticker    *ticker.Ticker

	mu    sync.RWMutex
	peers map[checker.NodeID]*pool

	callers inFlightCounter
	remote  inFlightCounter
	latency sync.Map // checker.Service to *average

	callPrefix string
	callCount  atomic.Uint64
}

// New returns a forwarder. It returns an error if a required setting or
// dependency is missing.
func New(cf Config, pa Parts) (*Forwarder, error) {
	if !cf.Self.IsValid() {
		return nil, errors.New("forwarder: Config.Self is required")
	}
	if pa.Table == nil || pa.Loads == nil || pa.Retrier == nil {
		return nil, errors.New(
			"forwarder: Parts.Table, Parts.Loads and Parts.Retrier are required")
	}
	if cf.Target != nil && pa.Limiter == nil {
		return nil, errors.New("forwarder: Parts.Limiter is required with a target")
	}
	setDefaults(&cf)
	if pa.Observer == nil {
		pa.Observer = discard{}
	}
	if pa.Log == nil {
		pa.Log = discard{}
	}
	fw := &Forwarder{
		config: cf, parts: pa, peers: map[checker.NodeID]*pool{},
		admission:  &admission{limiter: pa.Limiter, now: cf.Now, outOfService: pa.Out},
		ticker:     ticker.New(cf.Now),
		callPrefix: strconv.FormatUint(rand.Uint64(), 36) + "-",
	}
	fw.once = newOnceStore(pa.Claimer, cf.Now)
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

// discard is an Observer and a Log that ignores its input.
type discard struct{}

func (discard) Observe(Observation)      {}
func (discard) Record(recorder.Decision) {}

// Callers returns the handler for callers, which acts as the first node of a call.
func (fw *Forwarder) Callers() http.Handler {
	return http.HandlerFunc(fw.serveCaller)
}

// Peers returns the handler for other nodes, which acts as the last node of a
// call.
func (fw *Forwarder) Peers() http.Handler {
	return http.HandlerFunc(fw.servePeer)
}

// Drain rejects every new call to the target as not run, with kind Draining, and
// waits until all calls in flight have finished, whether sent by other nodes or
// by callers. New calls from callers are still forwarded to other nodes, so the
// server for callers must be stopped first; [Stop] does both. If the context
// ends first, Drain returns its error.
func (fw *Forwarder) Drain(ctx context.Context) error {
	fw.admission.drain()
	if err := fw.remote.wait(ctx); err != nil {
		return err
	}
	return fw.callers.wait(ctx)
}

// Stop shuts down a node without losing a call: it rejects new calls to the
// target, stops the server for callers, waits for the calls in flight, and stops
// the server for peers. Peers should be told beforehand, so that they send no
// new calls. If the context ends first, Stop closes the servers and returns the
// context's error.
func Stop(ctx context.Context, fw *Forwarder, callers, peers *Server) error {
	fw.admission.drain()
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

// InFlight returns the number of calls in flight from callers and from other
// nodes.
func (fw *Forwarder) InFlight() (callers, peers int) {
	return int(fw.callers.count.Load()), int(fw.remote.count.Load())
}

// Forget closes the idle connections to a node that has left the mesh.
func (fw *Forwarder) Forget(node checker.NodeID) {
	fw.mu.Lock()
	po := fw.peers[node]
	delete(fw.peers, node)
	fw.mu.Unlock()
	if po != nil {
		po.CloseIdleConnections()
	}
}

// Close closes the idle connections to the peers and the target.
func (fw *Forwarder) Close() {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	for _, po := range fw.peers {
		po.CloseIdleConnections()
	}
	if fw.target != nil {
		fw.target.CloseIdleConnections()
	}
}

// peer returns the connection pool to a node.
func (fw *Forwarder) peer(node checker.NodeID) *pool {
	fw.mu.RLock()
	po := fw.peers[node]
	fw.mu.RUnlock()
	if po != nil {
		return po
	}
	fw.mu.Lock()
	defer fw.mu.Unlock()
	if po = fw.peers[node]; po == nil {
		var local net.Addr
		if fw.config.LocalAddr.IsValid() {
			local = net.TCPAddrFromAddrPort(netip.AddrPortFrom(fw.config.LocalAddr, 0))
		}
		po = newPool(node, fw.config.DialTimeout, local, fw.config.PeerConns)
		fw.peers[node] = po
	}
	return po
}

// nextCall returns a new call ID that is unique across all nodes.
func (fw *Forwarder) nextCall() string {
	return fw.callPrefix + strconv.FormatUint(fw.callCount.Add(1), 36)
}

// inFlightCounter counts the calls in flight.
type inFlightCounter struct {
	count atomic.Int64
}

// pollInterval is the interval at which wait checks the count. Polling adds no cost
// to calls, and the interval is short compared to draining, which takes seconds.
const pollInterval = 2 * time.Millisecond

func (ic *inFlightCounter) wait(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ic.count.Load() > 0 {
		select {
		case <-ctx.Done():
			return answerer.Wrap(ctx.Err(), answerer.DeadlineExceeded, "drain")
		case <-ticker.C:
		}
	}
	return nil
}
