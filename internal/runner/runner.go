// Package runner assembles a node from its components and runs it.
//
// A node listens on three addresses: for other nodes, for callers and for
// operators. When its context is done, [Node.Run] shuts the node down
// gracefully before it returns: it rejects new calls, waits for the calls in
// flight and announces to the other nodes that this node leaves.
package runner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/aggregator"
	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/appender"
	"github.com/guavastall/guavastall/internal/claimer"
	"github.com/guavastall/guavastall/internal/detector"
	"github.com/guavastall/guavastall/internal/distributor"
	"github.com/guavastall/guavastall/internal/elector"
	"github.com/guavastall/guavastall/internal/evaluator"
	"github.com/guavastall/guavastall/internal/forwarder"
	"github.com/guavastall/guavastall/internal/gossiper"
	"github.com/guavastall/guavastall/internal/limiter"
	"github.com/guavastall/guavastall/internal/linker"
	"github.com/guavastall/guavastall/internal/prober"
	"github.com/guavastall/guavastall/internal/promoter"
	"github.com/guavastall/guavastall/internal/recorder"
	"github.com/guavastall/guavastall/internal/router"
	"github.com/guavastall/guavastall/internal/sleeper"
)

const (
	// leaveTimeout limits the wait until neighbours know that the node leaves.
	leaveTimeout = 2 * time.Second
	// drainDelay is the time between the announcement of the drain and the first
	// rejected call. An announcement reaches the members in less than a second.
	drainDelay = time.Second
)

// Listeners are the sockets of a node.
type Listeners struct {
	Peers, Callers, Operators net.Listener
}

// Listen opens the sockets at the addresses in the settings.
func Listen(se *Settings) (Listeners, error) {
	var ls Listeners
	var err error
	if ls.Peers, err = net.Listen("tcp", se.Listen.String()); err != nil {
		return ls, answerer.Wrap(err, answerer.BadRequest, "--listen")
	}
	if ls.Callers, err = net.Listen("tcp", se.CallerListen.String()); err != nil {
		ls.Close()
		return ls, answerer.Wrap(err, answerer.BadRequest, "--caller-listen")
	}
	if ls.Operators, err = net.Listen("tcp", se.OperatorListen.String()); err != nil {
		ls.Close()
		return ls, answerer.Wrap(err, answerer.BadRequest, "--operator-listen")
	}
	return ls, nil
}

// Close closes the sockets that are open.
func (ls Listeners) Close() {
	for _, ln := range []net.Listener{ls.Peers, ls.Callers, ls.Operators} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// Node is a node of the mesh. Use New and then Run.
type Node struct {
	settings *Settings
	log      *logrus.Logger
	metrics  metrics.Registry
	now      func() time.Time

	pool        *linker.Pool
	links       *linker.Server
	gossiper    *gossiper.Gossiper
	distributor *distributor.Distributor
	aggregator  *aggregator.Aggregator
	promoter    *promoter.Promoter
	limiter     *limiter.Limiter
	prober      *prober.Prober
	forwarder   *forwarder.Forwarder

	loads     *router.Loads
	collector *evaluator.Collector
	splitter  *evaluator.Splitter
	logClient *appender.Client

	table          atomic.Pointer[router.Table]
	firstSeen      firstSeenTimes
	logReachable   atomic.Bool
	draining       atomic.Bool
	drainOnce      sync.Once
	drainRequested chan struct{}
	serving        atomic.Bool
}

// New returns a node with the settings, for which [Settings.Check] must have
// returned nil.
func New(se *Settings, log *logrus.Logger, now func() time.Time) (*Node, error) {
	no := &Node{
		settings: se, log: log, metrics: metrics.NewRegistry(), now: now,
		loads:          router.NewLoads(rand.Uint64()),
		collector:      &evaluator.Collector{},
		splitter:       &evaluator.Splitter{},
		firstSeen:      newFirstSeenTimes(),
		drainRequested: make(chan struct{}),
	}
	no.logReachable.Store(true)
	if err := no.buildControlPlane(); err != nil {
		return nil, err
	}
	if err := no.buildDataPlane(); err != nil {
		return nil, err
	}
	no.registerMetrics()
	return no, nil
}

// buildControlPlane creates the components that exchange control messages.
func (no *Node) buildControlPlane() error {
	se := no.settings
	traffic := &linker.Traffic{}
	links := linker.Config{
		LocalIP: localIP(se), Secret: se.MeshSecret, Traffic: traffic,
	}
	no.pool = linker.New(links)
	no.links = linker.NewServer(links)
	no.gossiper = gossiper.New(gossiper.Config{
		Self: no.self(),
		Detector: detector.Config{
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			Seeds:  se.Seeds,
		},
		Log: no.log,
	}, no.pool)
	no.aggregator = aggregator.New(aggregator.Config{Owner: elector.Owner}, no.pool, no.gossiper)
	if err := no.buildDistributor(); err != nil {
		return err
	}
	no.promoter = promoter.New(promoter.Config{
		Self: se.Self(), DataCentre: se.DataCentre,
		State:     func() promoter.State { return no.State() },
		Members:   membership{no.gossiper},
		Caller:    no.pool,
		Facts:     factSink{no.distributor},
		Collector: no.collector, Splitter: no.splitter,
		Owner: elector.Owner, Log: no.log,
	})
	return errors.Join(
		no.links.Register(gossiper.Name, no.gossiper.Receiver()),
		no.links.Register(aggregator.Name, no.aggregator.Receiver()),
		no.links.Register("Distributor", no.distributor.Receiver()),
		no.links.Register(promoter.ServiceName, no.promoter.Receiver()),
	)
}

func (no *Node) buildDistributor() error {
	se := no.settings
	var log distributor.Log = missingLog{}
	if se.PlatformLog.IsValid() {
		client, err := appender.New("http://"+se.PlatformLog.String(),
			appender.Config{LocalIP: localIP(se)})
		if err != nil {
			return answerer.Wrap(err, answerer.BadRequest, "--platform-log")
		}
		no.logClient = client
		log = &monitoredLog{Log: client, reachable: &no.logReachable}
	}
	no.pool.MarkRepeatable("Distributor")
	var err error
	no.distributor, err = distributor.New(distributor.Config{
		Self:      elector.Member{Node: se.Self(), DataCentre: se.DataCentre},
		Seeds:     se.Seeds,
		Caller:    no.pool,
		Log:       log,
		Members:   membership{no.gossiper},
		Found:     no.gossiper.SetSeeds,
		Logger:    no.log,
		Now:       no.now,
		StartWait: se.JoinTime,
	})
	return err
}

// buildDataPlane creates the components that forward calls.
func (no *Node) buildDataPlane() error {
	var err error
	se := no.settings
	config := forwarder.Config{Self: se.Self(), LocalAddr: localIP(se), Now: no.now}
	deps := forwarder.Parts{
		Table:    no.routes,
		Loads:    no.loads,
		Retrier:  forwarder.NewRetrier(),
		Out:      func() bool { return no.State().Out(se.DataCentre) },
		Observer: attemptObserver{no.collector, se.DataCentre, no},
		Log:      recorder.New(no.log, no.metrics, no.now),
	}
	if no.logClient != nil {
		deps.Claimer = claimer.New(no.logClient)
	}
	if se.Service != "" {
		no.limiter = limiter.New(no.limits(nil))
		deps.Limiter = no.limiter
		config.Target = &forwarder.Target{
			Service: se.Service, Version: se.TargetVersion, Address: se.Target,
			Connections: se.Connections,
		}
		no.prober, err = prober.New(
			prober.Config{Target: se.Target, Period: se.ProbeInterval, Now: no.now},
			no.limiter, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		if err != nil {
			return err
		}
	}
	no.forwarder, err = forwarder.New(config, deps)
	return err
}

// self returns the member record of this node.
func (no *Node) self() detector.Member {
	se := no.settings
	return detector.Member{
		Node: se.Self(), DataCentre: se.DataCentre, Region: se.Region,
		Service: se.Service, Version: se.TargetVersion,
		Slots: uint32(se.Slots), Connections: uint32(se.Connections),
	}
}

// Run serves on the listeners until the context is done, an operator drains the
// node or a server fails. It then shuts the node down gracefully.
func (no *Node) Run(ctx context.Context, ls Listeners) error {
	// The components keep running after ctx is done because the calls in flight
	// need them.
	componentCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	sv := no.newServers()
	ls = no.limitListeners(ls)
	failed := make(chan error, 3)
	go func() { failed <- sv.peers.Serve(ls.Peers) }()
	go func() { failed <- sv.operators.Serve(ls.Operators) }()
	ended := no.startComponents(componentCtx)
	no.awaitConfiguration(ctx)
	go func() { failed <- sv.callers.Serve(ls.Callers) }()
	no.serving.Store(true)
	no.log.WithFields(logrus.Fields{
		"node": no.settings.Self().String(), "callers": ls.Callers.Addr().String(),
		"operators": ls.Operators.Addr().String(), "revision": no.State().Revision(),
		"stale": no.distributor.Stale(),
	}).Info("node is serving")

	var err error
	select {
	case <-ctx.Done():
	case <-no.drainRequested:
	case err = <-failed:
		err = answerer.Wrap(err, answerer.Internal, "serve")
	}
	no.stop(sv)
	cancel()
	for _, done := range ended {
		<-done
	}
	no.pool.Close()
	no.links.Close()
	no.forwarder.Close()
	if no.logClient != nil {
		no.logClient.Close()
	}
	no.log.Info("node stopped")
	return err
}

// startComponents starts the components that have their own goroutines. It
// returns the channels that are closed when they end.
func (no *Node) startComponents(ctx context.Context) []<-chan struct{} {
	ended := []<-chan struct{}{
		no.gossiper.Start(ctx),
		no.aggregator.Start(ctx),
		no.startGoroutine(func() { _ = no.distributor.Run(ctx) }),
		no.startGoroutine(func() {
			no.logStopError("rollout decisions", <-no.promoter.Start(ctx))
		}),
		no.startGoroutine(func() { no.updateTable(ctx) }),
	}
	if no.prober != nil {
		ended = append(ended, no.startGoroutine(func() { _ = no.prober.Run(ctx) }))
	}
	return ended
}

// startGoroutine runs work in a goroutine and returns a channel that is closed
// when it ends.
func (no *Node) startGoroutine(work func()) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	return done
}

// awaitConfiguration waits until the distributor has asked peers and the log for
// the newest configuration, but not longer than the join time. It logs a warning
// if the configuration may be outdated.
func (no *Node) awaitConfiguration(ctx context.Context) {
	timer := time.NewTimer(no.settings.JoinTime)
	defer timer.Stop()
	select {
	case <-no.distributor.Ready():
	case <-timer.C:
	case <-ctx.Done():
	}
	if no.distributor.Stale() {
		no.log.Warn("configuration may be outdated: " +
			"neither a peer nor the platform's log confirmed it")
	}
}

// Drain starts a graceful shutdown of the node. [Node.Run] returns when it is
// complete.
func (no *Node) Drain() {
	no.drainOnce.Do(func() { close(no.drainRequested) })
}

// stop shuts the node down gracefully within the drain time: it announces the
// drain, rejects new calls, waits for the calls in flight and leaves the mesh.
func (no *Node) stop(sv servers) {
	no.draining.Store(true)
	no.log.Info("node is draining")
	ctx, cancel := context.WithTimeout(context.Background(), no.settings.DrainTime)
	defer cancel()
	no.gossiper.Drain()
	// A rejection is reliable and cheap, but peers that learn of the drain before
	// it starts send no call that needs one.
	sleeper.Sleep(ctx, drainDelay)
	leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	stopped := make(chan error, 1)
	go func() { stopped <- forwarder.Stop(ctx, no.forwarder, sv.callers, sv.peers) }()
	no.logStopError("leaving the mesh", no.gossiper.Leave(leaveCtx))
	no.links.Close()
	no.logStopError("calls in flight", <-stopped)
	_ = sv.operators.Shutdown(leaveCtx)
}

// logStopError logs the error of a step of the graceful shutdown, if any.
func (no *Node) logStopError(step string, err error) {
	if err != nil {
		no.log.WithError(err).Warn("graceful shutdown: " + step)
	}
}

// routes returns the current routing table, or nil if there is none yet.
func (no *Node) routes() forwarder.Table {
	ta := no.table.Load()
	if ta == nil {
		return nil
	}
	return ta
}

// String returns the node's address.
func (no *Node) String() string {
	return fmt.Sprint(no.settings.Self())
}
