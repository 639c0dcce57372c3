// Package carrier carries requests of the mesh from clients to targets.
//
// A [Carrier] serves two handlers. [Carrier.Clients] is the first node of a
// request: it matches the route, chooses a target and sends the request to the
// target's node, or to its own target, and tries again where that is safe.
// [Carrier.Nodes] is the last node: a [Gate] admits the request to the target.
//
// "Not run" is said only if no byte of the request can have reached the target,
// or the target said so. A response that is incomplete or belongs to another
// request is never passed on.
package carrier

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/budgeter"
	"github.com/guavastall/guavastall/internal/matcher"
	"github.com/guavastall/guavastall/internal/placer"
	"github.com/guavastall/guavastall/internal/retrier"
	"github.com/guavastall/guavastall/internal/stager"
)

// Names are the names of the headers that a deployment uses, in canonical form.
type Names struct {
	// RequestID identifies a request; responses repeat it.
	RequestID string
	// Timeout holds the milliseconds that are left.
	Timeout string
	// Caller is the service that runs where the request began.
	Caller string
	// Expected is the target that a request is meant for.
	Expected string
	// NotRun marks a target's response to a request that it did not run.
	NotRun string
	// Stamp is the target's signature on a response.
	Stamp string
	// Instance names the target in responses to health checks, and Cold the
	// milliseconds that it stays cold.
	Instance, Cold string
}

// Target is a target that a request may go to.
type Target struct {
	placer.Target
	Version string
}

// View is what the first node knows of the mesh. It is immutable; a request
// keeps the one it started with, except for further attempts.
type View struct {
	Config *matcher.Config
	// Targets are the usable targets by service.
	Targets map[string][]Target
	// Versions are the versions in use by service.
	Versions map[string]stager.Versions
	// Canaries are the targets that get a new version's requests, by service.
	Canaries map[string]map[string]bool
	// Out are the data centres that operators have taken out.
	Out map[string]bool
	// Nodes are the known nodes, with a usable target or without; they share
	// budgets.
	Nodes []netip.AddrPort
}

// Event is a decision for the log.
type Event struct {
	// Name is what was decided.
	Name string
	// ID is the request's.
	ID string
	// Failed marks an event of a request that was not served.
	Failed bool
	// Fields say what the decision rests on and how it ended.
	Fields map[string]any
}

// Log takes events. It must not block.
type Log interface {
	// Wants reports whether an event on the request would be written, so that its
	// fields need not be built otherwise.
	Wants(id string, failed bool, now time.Time) bool
	Event(Event)
}

// Config holds the settings of a [Carrier].
type Config struct {
	// Self is where other nodes reach this one.
	Self       netip.AddrPort
	DataCentre string
	Names      Names
	// Budget bounds repeated requests to a service.
	Budget budgeter.Config
	// Caller returns the service that runs on this VM.
	Caller func() string
	// Now returns the current time.
	Now func() time.Time
}

// Carrier carries requests. It is safe for concurrent use.
type Carrier struct {
	config  Config
	log     Log
	metrics instruments
	gate    *Gate
	view    atomic.Pointer[View]

	// mu guards the decisions below; it is held only for computation and never
	// together with the gate's lock.
	mu       sync.Mutex
	placer   *placer.Placer
	splitter matcher.Splitter
	budgets  map[string]*budgeter.Budget
	versions map[string]float64
	usual    map[string]time.Duration
	work     map[string]time.Duration
	// calls is the average number of calls that a run of a route makes.
	calls map[string]float64

	poolsMu sync.Mutex
	pools   map[netip.AddrPort]*pool

	inFlight atomic.Int64
	leaving  atomic.Bool
	closed   atomic.Bool
}

// New returns a carrier that uses the gate for its own target.
func New(cf Config, ga *Gate, lo Log, re metrics.Registry) *Carrier {
	return &Carrier{
		config: cf, log: lo, metrics: newInstruments(re), gate: ga,
		placer:   placer.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		budgets:  map[string]*budgeter.Budget{},
		versions: map[string]float64{},
		usual:    map[string]time.Duration{},
		work:     map[string]time.Duration{},
		calls:    map[string]float64{},
		pools:    map[netip.AddrPort]*pool{},
	}
}

// SetView replaces what the carrier knows of the mesh.
func (ca *Carrier) SetView(vi *View) {
	targets, nodes := map[string]bool{}, map[netip.AddrPort]bool{}
	for _, list := range vi.Targets {
		for nn := range list {
			targets[list[nn].ID] = true
		}
	}
	for _, node := range vi.Nodes {
		nodes[node] = true
	}
	ca.mu.Lock()
	ca.placer.Keep(targets, nodes)
	if old := ca.view.Load(); vi.Config != nil && (old == nil || old.Config != vi.Config) {
		ca.keepRoutes(vi.Config.Routes)
	}
	ca.mu.Unlock()
	ca.view.Store(vi)
}

// View returns what the carrier knows of the mesh, or nil.
func (ca *Carrier) View() *View {
	return ca.view.Load()
}

// Unreached returns the nodes that wait for a probe.
func (ca *Carrier) Unreached() []netip.AddrPort {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.placer.Due(ca.config.Now())
}

// Reachable reports whether nothing speaks against reaching the node.
func (ca *Carrier) Reachable(node netip.AddrPort) bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.placer.Reachable(node)
}

// Probed notes the outcome of a probe of a node.
func (ca *Carrier) Probed(node netip.AddrPort, ok bool) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if ok {
		ca.placer.Reached(node)
		return
	}
	ca.placer.Unreachable(node, ca.config.Now())
}

// Leave makes the node finish its work: the gate refuses new requests, and
// clients are asked to close their connections.
func (ca *Carrier) Leave() {
	ca.leaving.Store(true)
	ca.gate.Leave()
}

// Close refuses clients' requests from now on, so that none is under way when
// the node ends.
func (ca *Carrier) Close() {
	ca.closed.Store(true)
}

// Busy returns the number of requests that the node works on, in either role.
func (ca *Carrier) Busy() int {
	running, waiting := ca.gate.Busy()
	return int(ca.inFlight.Load()) + running + waiting
}

func (ca *Carrier) pool(node netip.AddrPort) *pool {
	ca.poolsMu.Lock()
	defer ca.poolsMu.Unlock()
	po := ca.pools[node]
	if po == nil {
		po = newPool(node, peerDialTimeout)
		ca.pools[node] = po
	}
	return po
}

// Sweep closes connections that have been idle for long.
func (ca *Carrier) Sweep() {
	now := ca.config.Now()
	ca.poolsMu.Lock()
	defer ca.poolsMu.Unlock()
	for _, po := range ca.pools {
		po.sweep(now)
	}
	ca.gate.pool.sweep(now)
}

// result is the end of an attempt.
type result struct {
	outcome retrier.Outcome
	// response is set for Answered attempts and for a target's refusals.
	response *response
	// kind and detail say why there is none.
	kind   answerer.Kind
	detail string
	// retryAfter is when room is expected.
	retryAfter time.Duration
	// report is the load of the target.
	report *placer.Report
	// reached says that the request was handed to the target.
	reached bool
	// nodeLost says that the target's node could not be reached or broke off.
	nodeLost bool
}

func refusal(ki answerer.Kind, detail string, retryAfter time.Duration) *result {
	return &result{
		outcome: retrier.NotRun, kind: ki, detail: detail, retryAfter: retryAfter,
	}
}

// failed reports whether the target answered with a failure of its own.
func (rs *result) failed() bool {
	return rs.response != nil && rs.response.status >= 500
}
