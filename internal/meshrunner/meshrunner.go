// Package meshrunner runs a node on a platform whose store holds all that must
// last.
//
// The node follows two topics of the store: the operator's, which holds the
// configuration, rollouts and evacuations, and the mesh's, in which each node
// publishes its target and the progress of rollouts is agreed on by conditional
// appends. While the store does not answer this node, it asks other nodes.
package meshrunner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/carrier"
	"github.com/guavastall/guavastall/internal/matcher"
	"github.com/guavastall/guavastall/internal/registrar"
	"github.com/guavastall/guavastall/internal/replicator"
	"github.com/guavastall/guavastall/internal/stager"
)

// ErrConflict says that a conditional append found the topic changed.
var ErrConflict = errors.New("the topic has changed")

// Topic is a topic that nodes write.
type Topic interface {
	replicator.Source
	// Append appends a record; a nil value drops the key. With a condition it is
	// appended only if the topic ends there, else the error is ErrConflict. It
	// returns the end of the topic, after a conflict too.
	Append(ctx context.Context, key string, value []byte, condition *uint64) (uint64, error)
}

// Decoder reads the operator's records.
type Decoder interface {
	// ConfigKey is the key of the configuration.
	ConfigKey() string
	// Rollout and Evacuation return what a key is about, if it is of that kind.
	Rollout(key string) (service string, ok bool)
	Evacuation(key string) (dataCentre string, ok bool)
	DecodeConfig(data []byte) (*matcher.Config, error)
	DecodeRollout(data []byte) (stager.Order, error)
	// EncodeStatus returns the record that reports on a rollout.
	EncodeStatus(mo stager.Move) (key string, value []byte, err error)
}

// Parts are what the runner depends on.
type Parts struct {
	Decoder
	// Operator is the topic that operators write, Mesh the nodes' own, Status
	// what operators read.
	Operator     replicator.Source
	Mesh, Status Topic
	Names        carrier.Names
	// Control and Ready return the handlers of the platform's interfaces.
	Control, Ready func(*Runner) http.Handler
	// Reload reads the settings again.
	Reload  func() (*Settings, error)
	Log     *logrus.Logger
	Events  carrier.Log
	Metrics metrics.Registry
	Now     func() time.Time
}

// The names of the topics between nodes and in logs.
const (
	operatorTopic = "operator"
	meshTopic     = "mesh"
)

const (
	// operatorWait is how long a read of the operator's topic waits, at the store
	// or at the reader.
	operatorWait = readerWait
	// operatorPause is the least time between two reads of it, so that changes in
	// quick succession cost few calls; it is a quarter of the time within which a
	// change has to be in force.
	operatorPause = 500 * time.Millisecond
	// meshWait and meshPause are the wait and the least time between two reads
	// of the mesh's topic. A silent connection is noticed by the other read.
	meshWait  = 10 * time.Second
	meshPause = 700 * time.Millisecond
)

// Runner is a running node. Use New and then Run.
type Runner struct {
	Parts
	settings atomic.Pointer[Settings]
	gate     *carrier.Gate
	carrier  *carrier.Carrier
	operator *replicator.Follower
	mesh     *replicator.Follower
	peers    *peers
	zips     zips
	client   *http.Client

	// mu guards what follows; it is held while the view is rebuilt.
	mu        sync.Mutex
	config    *matcher.Config
	orders    map[string]stager.Order
	moves     map[string]seenMove
	published publication

	// publishing is held while the own entry is published.
	publishing sync.Mutex

	// decoded are the entries of the other nodes as of the last change.
	decoded atomic.Pointer[[]*registrar.Entry]

	// storeRead is when this node last read the operator's topic at the store, in
	// Unix nanoseconds; others may rely on it for a while.
	storeRead atomic.Int64

	dirty   chan struct{}
	leaving atomic.Bool
	// down says that the own target fails its health checks.
	down atomic.Bool
	// unverified is the last failed check of the target; only keep uses it.
	unverified failedCheck
}

// New returns a node with checked settings.
func New(se *Settings, pa Parts) *Runner {
	ru := &Runner{
		Parts: pa, orders: map[string]stager.Order{}, moves: map[string]seenMove{},
		dirty: make(chan struct{}, 1),
	}
	ru.settings.Store(se)
	ru.client = &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: peerCallTime}).DialContext,
		MaxIdleConnsPerHost: 2, IdleConnTimeout: peerIdleTime,
	}}
	ru.peers = &peers{runner: ru, heard: map[netip.AddrPort]time.Time{}}
	ru.gate = carrier.NewGate(se.Target, pa.Now)
	ru.carrier = carrier.New(carrier.Config{
		Self: se.Nodes, DataCentre: se.DataCentre, Names: pa.Names,
		Budget: se.Budget, Now: pa.Now,
		Caller: func() string { return ru.settings.Load().Service },
	}, ru.gate, pa.Events, pa.Metrics)
	ru.operator = replicator.New(replicator.Config{
		Topic: operatorTopic, Wait: operatorWait, MinInterval: operatorPause,
		OnChange: ru.operatorChanged, OnUnavailable: func() { ru.mesh.RestartRead() },
		Store: pa.Operator, Log: pa.Log, Now: pa.Now,
	}, &relay{
		Source: pa.Operator, runner: ru, topic: operatorTopic, storeWait: readerWait,
		sourcing: newSourcing(),
	}, ru.peers)
	ru.mesh = replicator.New(replicator.Config{
		Topic: meshTopic, Wait: meshWait, MinInterval: meshPause, OnChange: ru.meshChanged,
		Store: pa.Mesh, Log: pa.Log, Now: pa.Now,
	}, &relay{
		Source: pa.Mesh, runner: ru, topic: meshTopic, storeWait: meshWait,
		sourcing: newSourcing(),
	}, ru.peers)
	return ru
}

// Ready reports whether the node can serve clients.
func (ru *Runner) Ready() bool {
	return !ru.leaving.Load() && ru.carrier.View() != nil
}

const (
	// headerTime bounds the arrival of a request's head.
	headerTime = 5 * time.Second
	// maxHeaderBytes bounds a request's head.
	maxHeaderBytes = 64 << 10
	// idleTime is how long clients' connections may rest. It is above the limits
	// that operators set, so that no request crosses a close.
	idleTime = 2 * time.Minute
)

// serve runs a server on the address until the context ends.
func (ru *Runner) serve(
	ctx context.Context, address netip.AddrPort, ha http.Handler, done chan<- error,
) {
	server := &http.Server{
		Handler: ha, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: nil,
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		done <- err
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	done <- err
}

// Run serves until SIGTERM arrives on the channel or a server fails. SIGHUP
// reloads the settings.
func (ru *Runner) Run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	se := ru.settings.Load()
	ru.Log.WithFields(logrus.Fields{
		"node": se.Name, "dataCentre": se.DataCentre, "service": se.Service,
		"clients": se.Clients.String(), "nodes": se.Nodes.String(), "store": se.Store.String(),
	}).Info("start")

	servers := map[netip.AddrPort]http.Handler{
		se.Nodes: ru.nodesHandler(), se.Clients: ru.carrier.Clients(),
		se.Ready: ru.Parts.Ready(ru), se.Control: ru.Control(ru),
	}
	if se.Metrics.IsValid() {
		servers[se.Metrics] = ru.metricsHandler()
	}
	failed := make(chan error, len(servers))
	for address, ha := range servers {
		go ru.serve(ctx, address, ha, failed)
	}
	loops := []func(context.Context, chan<- struct{}){
		ru.operator.Run, ru.mesh.Run, ru.keep, ru.publish, ru.promote,
	}
	ends := make([]chan struct{}, len(loops))
	for nn, loop := range loops {
		ends[nn] = make(chan struct{})
		go loop(ctx, ends[nn])
	}
	err := ru.wait(ctx, signals, failed)
	cancel()
	for _, end := range ends {
		<-end
	}
	ru.Log.WithError(err).Info("stop")
	return err
}

// wait returns when the node is to end.
func (ru *Runner) wait(
	ctx context.Context, signals <-chan os.Signal, failed <-chan error,
) error {
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	for {
		select {
		case err := <-failed:
			return err
		case sig := <-signals:
			if sig == hangup {
				ru.reload("signal")
				continue
			}
			ru.leave(ctx)
			return nil
		case <-ticker.C:
			ru.reload("period")
		}
	}
}
