// Package carrier forwards requests from clients to targets through the nodes of
// the mesh.
//
// A [Carrier] has two HTTP handlers. [Carrier.Clients] handles a request at its
// first node: it matches the route, selects a target, sends the request to the
// target's node or to the local target, and retries where that is safe.
// [Carrier.Nodes] handles a request at its last node, where a [Gate] admits it to
// the target.
//
// A request is reported as "not run" only if no byte of it can have reached the
// target, or if the target said so. A response that is incomplete or belongs to
// another request is never forwarded.
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
	"github.com/guavastall/guavastall/internal/pacer"
	"github.com/guavastall/guavastall/internal/placer"
	"github.com/guavastall/guavastall/internal/reserver"
	"github.com/guavastall/guavastall/internal/retrier"
	"github.com/guavastall/guavastall/internal/stager"
)

// Names holds the header names that a deployment uses, in canonical form.
type Names struct {
	// RequestID identifies a request. Responses repeat it.
	RequestID string
	// Timeout holds the remaining time in milliseconds.
	Timeout string
	// Caller is the service on the VM where the request originated.
	Caller string
	// Expected is the target that a request is intended for.
	Expected string
	// NotRun marks a target's response to a request that it did not run.
	NotRun string
	// Stamp is the target's signature on a response.
	Stamp string
	// In health check responses, Instance identifies the target and Cold is the
	// number of milliseconds for which it remains cold.
	Instance, Cold string
	// Load is the target's load in its responses; empty if targets report none.
	Load string
}

// Target is a target that a request may be sent to.
type Target struct {
	placer.Target
	Version string
}

// View is the first node's knowledge of the mesh. It is immutable. The first
// attempt of a request uses the view that was current when the request arrived;
// each further attempt uses the latest one.
type View struct {
	Config *matcher.Config
	// Targets are the usable targets, by service.
	Targets map[string][]Target
	// Versions are the versions in use, by service.
	Versions map[string]stager.Versions
	// Canaries are the targets that receive a new version's requests, by service
	// and target ID.
	Canaries map[string]map[string]bool
	// Evacuated are the data centres that operators have taken out of service.
	Evacuated map[string]bool
	// Nodes are all known nodes, including those without a usable target. They
	// share the retry budgets.
	Nodes []netip.AddrPort
}

// Event is a log entry about a decision.
type Event struct {
	// Name is the decision.
	Name string
	// ID is the request's ID.
	ID string
	// Failed marks an event of a request that was not served.
	Failed bool
	// Fields holds the inputs and the outcome of the decision.
	Fields map[string]any
}

// Log records events. Its methods must not block.
type Log interface {
	// Wants reports whether an event about the request would be written. If not,
	// the caller need not build the event's fields.
	Wants(id string, failed bool, now time.Time) bool
	Event(Event)
}

// Config holds the settings of a [Carrier].
type Config struct {
	// Self is the address at which other nodes reach this one.
	Self       netip.AddrPort
	DataCentre string
	Names      Names
	// Pace decodes the pace in a target's load header and reports whether there is a
	// valid one. It may be nil.
	Pace func(string) (float64, bool)
	// Budget limits retries for a service.
	Budget budgeter.Config
	// LinkRate is the rate of the VM's link in bits per second; zero if it is no
	// bottleneck.
	LinkRate float64
	// Memory is the memory limit of the process in bytes; zero if unknown.
	Memory int64
	// Caller returns the service that runs on this VM.
	Caller func() string
	// Now returns the current time.
	Now func() time.Time
}

// Carrier forwards requests. It is safe for concurrent use.
type Carrier struct {
	config  Config
	log     Log
	metrics instruments
	gate    *Gate
	view    atomic.Pointer[View]

	// mu guards the fields from placer to hedging. It is held only for
	// computations, and never together with the gate's lock.
	mu              sync.Mutex
	placer          *placer.Placer
	splitter        *matcher.Splitter
	budgets         map[string]*budgeter.Budget
	versionCredits  map[string]float64
	usualTimeouts   map[string]time.Duration
	processingTimes map[string]time.Duration
	// usualTimes is the average processing time of a route's requests at the local
	// target, as if it had had the usual pace.
	usualTimes map[string]time.Duration
	// callsPerRun is the average number of calls that a run of a route makes.
	callsPerRun map[string]float64
	// responseBytes is the average size of a response of a route.
	responseBytes map[string]float64
	// hedging holds what the node observed of the routes that allow hedges.
	hedging map[string]*hedging

	egress *egress
	bodies *reserver.Memory

	poolsMu sync.Mutex
	pools   map[netip.AddrPort]*pool

	inFlight         atomic.Int64
	rejectingClients atomic.Bool
	// stopTime is when the process ends; nil unless the node is shutting down.
	stopTime atomic.Pointer[time.Time]
}

// New returns a carrier that admits requests to its local target through ga.
func New(cf Config, ga *Gate, lo Log, re metrics.Registry) *Carrier {
	return &Carrier{
		config: cf, log: lo, metrics: newInstruments(re), gate: ga,
		placer:          placer.New(newRandom()),
		splitter:        matcher.NewSplitter(newRandom()),
		budgets:         map[string]*budgeter.Budget{},
		versionCredits:  map[string]float64{},
		usualTimeouts:   map[string]time.Duration{},
		processingTimes: map[string]time.Duration{},
		usualTimes:      map[string]time.Duration{},
		callsPerRun:     map[string]float64{},
		responseBytes:   map[string]float64{},
		hedging:         map[string]*hedging{},
		egress:          newEgress(pacer.New(cf.LinkRate), cf.Now),
		bodies:          newBodyMemory(cf.Memory),
		pools:           map[netip.AddrPort]*pool{},
	}
}

// newRandom returns a source of random numbers that differs between nodes.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// SetView replaces the carrier's view of the mesh.
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
		ca.retainRoutes(vi.Config.Routes)
	}
	ca.mu.Unlock()
	ca.view.Store(vi)
}

// View returns the current view of the mesh, or nil if there is none yet.
func (ca *Carrier) View() *View {
	return ca.view.Load()
}

// NodesToProbe returns the unreachable nodes that are due for a probe.
func (ca *Carrier) NodesToProbe() []netip.AddrPort {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.placer.ProbesDue(ca.config.Now())
}

// Reachable reports whether the node is not known to be unreachable.
func (ca *Carrier) Reachable(node netip.AddrPort) bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return ca.placer.Reachable(node)
}

// RecordProbe records the outcome of a probe of the node.
func (ca *Carrier) RecordProbe(node netip.AddrPort, ok bool) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if ok {
		ca.placer.MarkReachable(node)
		return
	}
	ca.placer.MarkProbed(node, ca.config.Now())
}

// Drain starts the shutdown of the node, whose process ends at the given time: the
// gate refuses new requests, clients are asked to close their connections, and their
// requests are refused if they cannot complete by then.
func (ca *Carrier) Drain(end time.Time) {
	ca.stopTime.Store(&end)
	ca.gate.Drain()
}

// RejectClients makes the carrier reject clients' requests from now on, so that
// none is in flight when the process exits.
func (ca *Carrier) RejectClients() {
	ca.rejectingClients.Store(true)
}

// InFlight returns the number of requests that the node is handling, as first or
// as last node, and of large responses that it is sending.
func (ca *Carrier) InFlight() int {
	running, waiting := ca.gate.RequestCounts()
	return int(ca.inFlight.Load()) + running + waiting + ca.egress.sending()
}

func (ca *Carrier) pool(node netip.AddrPort) *pool {
	ca.poolsMu.Lock()
	defer ca.poolsMu.Unlock()
	po := ca.pools[node]
	if po == nil {
		po = newPool(node, peerDialTimeout)
		po.count = ca.egress.count
		ca.pools[node] = po
	}
	return po
}

// CloseIdleConnections closes connections that have been idle for too long.
func (ca *Carrier) CloseIdleConnections() {
	now := ca.config.Now()
	ca.poolsMu.Lock()
	defer ca.poolsMu.Unlock()
	for _, po := range ca.pools {
		po.closeExpired(now)
	}
	ca.gate.pool.closeExpired(now)
}

// result is the outcome of an attempt.
type result struct {
	outcome retrier.Outcome
	// response is set if the outcome is Answered.
	response *response
	// kind and detail explain why there is no response.
	kind   answerer.Kind
	detail string
	// retryAfter is the time until the target is expected to accept requests.
	retryAfter time.Duration
	// report is the target's load.
	report *placer.Report
	// reached is true if the request may have reached the target.
	reached bool
	// broken is true if the connection to the target broke.
	broken bool
	// pace is the target's pace during the request; zero if unknown.
	pace float64
	// linkFull is true if the request was refused because its response could not
	// leave the target's VM in time.
	linkFull bool
	// nodeFailed is true if the target's node could not be reached or the
	// connection to it broke.
	nodeFailed bool
	// overtaken is true if the attempt was late and was cancelled because a second
	// one had responded.
	overtaken bool
	// hedge is true if the attempt was a hedge.
	hedge bool
}

func refusal(ki answerer.Kind, detail string, retryAfter time.Duration) *result {
	return &result{
		outcome: retrier.NotRun, kind: ki, detail: detail, retryAfter: retryAfter,
	}
}

// failed reports whether the target answered with a server error.
func (rs *result) failed() bool {
	return rs.response != nil && rs.response.status >= 500
}

// stronger returns the result of two failed attempts that is kept for the client: a
// target's response, else one that may have run, else the later refusal.
func stronger(earlier, later *result) *result {
	if earlier == nil || later.evidence() >= earlier.evidence() {
		return later
	}
	return earlier
}

// evidence ranks results by what they tell of the request.
func (rs *result) evidence() int {
	switch {
	case rs.response != nil:
		return 3
	case rs.outcome != retrier.NotRun:
		return 2
	case rs.reached:
		return 1
	}
	return 0
}
