// Package runner builds a node from its parts and runs it.
//
// A node listens on three addresses: for other nodes, for callers and for
// operators. [Node.Run] returns when its context has ended and the node has
// stopped gracefully: new work is refused, calls in flight are finished, and
// the other nodes know that it left.
package runner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/aggregator"
	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/appender"
	"github.com/guavastall/guavastall/internal/claimer"
	"github.com/guavastall/guavastall/internal/commander"
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
	// leaveTime bounds the wait for neighbours to hear that the node leaves.
	leaveTime = 2 * time.Second
	// drainNotice is the time between the news of the drain and the first
	// refusal; news reaches the members in less than a second.
	drainNotice = time.Second
	// operatorReadTime bounds the arrival of an operator's request.
	operatorReadTime = 10 * time.Second
)

// Listeners are the sockets of a node.
type Listeners struct {
	Peers, Callers, Operators net.Listener
}

// Listen opens the sockets that the settings name.
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

	table     atomic.Pointer[router.Table]
	seen      sightings
	logAnswer atomic.Bool
	draining  atomic.Bool
	drainOnce sync.Once
	drain     chan struct{}
	serving   atomic.Bool
}

// New returns a node with the settings, which must have passed their check.
func New(se *Settings, log *logrus.Logger, now func() time.Time) (*Node, error) {
	no := &Node{
		settings: se, log: log, metrics: metrics.NewRegistry(), now: now,
		loads:     router.NewLoads(rand.Uint64()),
		collector: &evaluator.Collector{},
		splitter:  &evaluator.Splitter{},
		seen:      newSightings(),
		drain:     make(chan struct{}),
	}
	no.logAnswer.Store(true)
	if err := no.buildControl(); err != nil {
		return nil, err
	}
	if err := no.buildCalls(); err != nil {
		return nil, err
	}
	no.registerMetrics()
	return no, nil
}

// buildControl builds the parts that exchange control messages.
func (no *Node) buildControl() error {
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
		Members:   memberViews{no.gossiper},
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
	var log distributor.Log = absentLog{}
	if se.PlatformLog.IsValid() {
		client, err := appender.New("http://"+se.PlatformLog.String(),
			appender.Config{LocalIP: localIP(se)})
		if err != nil {
			return answerer.Wrap(err, answerer.BadRequest, "--platform-log")
		}
		no.logClient = client
		log = &watchedLog{Log: client, answered: &no.logAnswer}
	}
	no.pool.MarkRepeatable("Distributor")
	var err error
	no.distributor, err = distributor.New(distributor.Config{
		Self:      elector.Member{Node: se.Self(), DataCentre: se.DataCentre},
		Seeds:     se.Seeds,
		Caller:    no.pool,
		Log:       log,
		Members:   memberViews{no.gossiper},
		Found:     no.gossiper.SetSeeds,
		Logger:    no.log,
		Now:       no.now,
		StartWait: se.JoinTime,
	})
	return err
}

// buildCalls builds the parts of the call path.
func (no *Node) buildCalls() error {
	var err error
	se := no.settings
	config := forwarder.Config{Self: se.Self(), LocalAddr: localIP(se), Now: no.now}
	parts := forwarder.Parts{
		Table:    no.routes,
		Loads:    no.loads,
		Retrier:  forwarder.NewRetrier(),
		Out:      func() bool { return no.State().Out(se.DataCentre) },
		Observer: evidence{no.collector, se.DataCentre, no},
		Log:      recorder.New(no.log, no.metrics, no.now),
	}
	if no.logClient != nil {
		parts.Claimer = claimer.New(no.logClient)
	}
	if se.Service != "" {
		no.limiter = limiter.New(no.limits(nil))
		parts.Limiter = no.limiter
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
	no.forwarder, err = forwarder.New(config, parts)
	return err
}

// self returns the node's own record among the members.
func (no *Node) self() detector.Member {
	se := no.settings
	return detector.Member{
		Node: se.Self(), DataCentre: se.DataCentre, Region: se.Region,
		Service: se.Service, Version: se.TargetVersion,
		Slots: uint32(se.Slots), Connections: uint32(se.Connections),
	}
}

// Run serves on the listeners until the context ends or an operator drains the
// node, and then stops gracefully.
func (no *Node) Run(ctx context.Context, ls Listeners) error {
	// The parts outlive ctx: they are needed until the last call is finished.
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	sv := no.servers()
	failed := make(chan error, 3)
	go func() { failed <- sv.peers.Serve(ls.Peers) }()
	go func() { failed <- sv.operators.Serve(ls.Operators) }()
	ended := no.startParts(inner)
	no.awaitConfiguration(ctx)
	go func() { failed <- sv.callers.Serve(ls.Callers) }()
	no.serving.Store(true)
	no.log.WithFields(logrus.Fields{
		"node": no.settings.Self().String(), "callers": ls.Callers.Addr().String(),
		"operators": ls.Operators.Addr().String(), "revision": no.State().Revision(),
		"stale": no.distributor.Stale(),
	}).Info("node serves")

	var err error
	select {
	case <-ctx.Done():
	case <-no.drain:
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

// servers are the HTTP servers of a node.
type servers struct {
	peers, callers *forwarder.Server
	operators      *http.Server
}

func (no *Node) servers() servers {
	peers := no.forwarder.Peers()
	mux := http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodConnect {
			no.links.ServeHTTP(wr, req)
			return
		}
		peers.ServeHTTP(wr, req)
	})
	commands := commander.New(commander.Config{
		Token: no.settings.Token, Node: no, Metrics: no.metrics, Log: no.log, Now: no.now,
	})
	return servers{
		peers:     forwarder.NewServer(mux, nil),
		callers:   forwarder.NewServer(no.forwarder.Callers(), nil),
		operators: &http.Server{Handler: commands, ReadTimeout: operatorReadTime},
	}
}

// startParts starts the parts with goroutines of their own and returns the
// channels that report their end.
func (no *Node) startParts(ctx context.Context) []<-chan struct{} {
	ended := []<-chan struct{}{
		no.gossiper.Start(ctx),
		no.aggregator.Start(ctx),
		no.start(func() { _ = no.distributor.Run(ctx) }),
		no.start(func() { no.report("rollout decisions", <-no.promoter.Start(ctx)) }),
		no.start(func() { no.keepTable(ctx) }),
	}
	if no.prober != nil {
		ended = append(ended, no.start(func() { _ = no.prober.Run(ctx) }))
	}
	return ended
}

// start runs work in a goroutine and returns the channel that reports its end.
func (no *Node) start(work func()) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	return done
}

// awaitConfiguration waits until the node has asked peers and the log for the
// newest configuration, or the join time is over.
func (no *Node) awaitConfiguration(ctx context.Context) {
	timer := time.NewTimer(no.settings.JoinTime)
	defer timer.Stop()
	select {
	case <-no.distributor.Ready():
	case <-timer.C:
	case <-ctx.Done():
	}
	if no.distributor.Stale() {
		no.log.Warn("serving with a configuration that may be old: " +
			"neither a peer nor the log confirmed it")
	}
}

// Drain starts the graceful stop of the node.
func (no *Node) Drain() {
	no.drainOnce.Do(func() { close(no.drain) })
}

// stop refuses new work, finishes the calls in flight and leaves the members.
func (no *Node) stop(sv servers) {
	no.draining.Store(true)
	no.log.Info("node drains")
	ctx, cancel := context.WithTimeout(context.Background(), no.settings.DrainTime)
	defer cancel()
	no.gossiper.Drain()
	// Refusals are true and cheap, but a peer that knows of the drain does not
	// need one.
	sleeper.Sleep(ctx, drainNotice)
	leave, stopWaiting := context.WithTimeout(ctx, leaveTime)
	defer stopWaiting()
	stopped := make(chan error, 1)
	go func() { stopped <- forwarder.Stop(ctx, no.forwarder, sv.callers, sv.peers) }()
	no.report("leaving the members", no.gossiper.Leave(leave))
	no.links.Close()
	no.report("calls in flight", <-stopped)
	_ = sv.operators.Shutdown(leave)
}

// report logs an error of a step of the stop.
func (no *Node) report(step string, err error) {
	if err != nil {
		no.log.WithError(err).Warn("graceful stop: " + step)
	}
}

// routes returns the routing table in force, or nil while there is none.
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
