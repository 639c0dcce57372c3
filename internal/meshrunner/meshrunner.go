// Package meshrunner runs a node on a platform whose store holds all persistent
// state.
//
// The node follows two topics of the store: the operator's topic, which holds the
// configuration, rollouts and evacuations, and the mesh's topic, in which each
// node publishes its target and the nodes agree on the progress of rollouts by
// conditional appends. While the store does not respond to this node, it asks
// other nodes.
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

// ErrConflict is returned by a conditional append if the topic has changed.
var ErrConflict = errors.New("the topic has changed")

// Topic is a topic that nodes write to.
type Topic interface {
	replicator.Source
	// Append appends a record; a nil value deletes the key. With a condition, the
	// record is appended only if the topic ends there; otherwise the error is
	// ErrConflict. Append returns the end of the topic, also after a conflict.
	Append(ctx context.Context, key string, value []byte, condition *uint64) (uint64, error)
}

// Decoder decodes the operator's records.
type Decoder interface {
	// ConfigKey is the key of the configuration.
	ConfigKey() string
	// Rollout and Evacuation return the subject of a key, if the key is of that
	// kind.
	Rollout(key string) (service string, ok bool)
	Evacuation(key string) (dataCentre string, ok bool)
	DecodeConfig(data []byte) (*matcher.Config, error)
	DecodeRollout(data []byte) (stager.Order, error)
	// EncodeStatus returns the record that reports on a rollout.
	EncodeStatus(mo stager.Move) (key string, value []byte, err error)
}

// Parts are the dependencies of a runner.
type Parts struct {
	Decoder
	// Operator is the topic that operators write, Mesh the topic that nodes
	// write, and Status the topic that operators read.
	Operator     replicator.Source
	Mesh, Status Topic
	Names        carrier.Names
	// Pace decodes the pace in a target's load header.
	Pace func(string) (float64, bool)
	// Control and Ready return the handlers of the platform's interfaces.
	Control, Ready func(*Runner) http.Handler
	// Reload reads the settings again.
	Reload  func() (*Settings, error)
	Log     *logrus.Logger
	Events  carrier.Log
	Metrics metrics.Registry
	Now     func() time.Time
}

// The names of the topics, as used between nodes and in logs.
const (
	operatorTopic = "operator"
	meshTopic     = "mesh"
)

const (
	// operatorWait is how long a read of the operator's topic waits, at the store
	// or at the reader.
	operatorWait = readerWait
	// operatorMinInterval is the minimum time between two reads of that topic,
	// so that changes in quick succession cost few calls. It is a quarter of the
	// time within which a change has to take effect.
	operatorMinInterval = 500 * time.Millisecond
	// meshWait is how long a read of the mesh's topic waits, and meshMinInterval
	// the minimum time between two reads. An unresponsive connection is detected
	// by the reads of the operator's topic.
	meshWait        = 10 * time.Second
	meshMinInterval = 700 * time.Millisecond
)

// Runner is a running node. Create it with New and start it with Run.
type Runner struct {
	Parts
	settings  atomic.Pointer[Settings]
	gate      *carrier.Gate
	carrier   *carrier.Carrier
	operator  *replicator.Follower
	mesh      *replicator.Follower
	peers     *peers
	gzipCache gzipCache
	client    *http.Client

	// mu guards the fields from config to directory. It is held while the view is
	// rebuilt.
	mu        sync.Mutex
	config    *matcher.Config
	orders    map[string]stager.Order
	moves     map[string]observedMove
	published publication
	directory registrar.Directory

	// publishing is held while the node's entry is published.
	publishing sync.Mutex

	// otherEntries are the entries of the other nodes as of the last change.
	otherEntries atomic.Pointer[[]*registrar.Entry]

	// lastStoreRead is when this node last read the operator's topic from the
	// store, in Unix nanoseconds. Other nodes may rely on that for
	// maxStoreReadAge.
	lastStoreRead atomic.Int64

	publishRequested chan struct{}
	draining         atomic.Bool
	// down is true if the local target fails its health checks.
	down atomic.Bool
	// lastFailedCheck is the last failed check of the target. Only maintain uses
	// it.
	lastFailedCheck failedCheck
}

// New returns a node. The settings must have been checked.
func New(se *Settings, pa Parts) *Runner {
	ru := &Runner{
		Parts: pa, orders: map[string]stager.Order{}, moves: map[string]observedMove{},
		publishRequested: make(chan struct{}, 1),
	}
	ru.settings.Store(se)
	ru.client = &http.Client{Transport: &http.Transport{
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext:            (&net.Dialer{Timeout: peerCallTimeout}).DialContext,
		MaxIdleConnsPerHost:    2, IdleConnTimeout: peerIdleTimeout,
	}}
	ru.peers = &peers{runner: ru, lastHello: map[netip.AddrPort]time.Time{}}
	ru.gate = carrier.NewGate(se.Target, pa.Now)
	ru.carrier = carrier.New(carrier.Config{
		Self: se.Nodes, DataCentre: se.DataCentre, Names: pa.Names, Pace: pa.Pace,
		Budget: se.Budget, LinkRate: se.LinkRate, Memory: se.Memory, Now: pa.Now,
		Caller: func() string { return ru.settings.Load().Service },
	}, ru.gate, pa.Events, pa.Metrics)
	ru.operator = replicator.New(replicator.Config{
		Topic: operatorTopic, Wait: operatorWait, MinInterval: operatorMinInterval,
		OnChange: ru.operatorChanged, OnUnavailable: func() { ru.mesh.RestartRead() },
		Store: pa.Operator, Log: pa.Log, Now: pa.Now,
	}, &relay{
		Source: pa.Operator, runner: ru, topic: operatorTopic, storeWait: readerWait,
		sourceSelector: newSourceSelector(),
	}, ru.peers)
	ru.mesh = replicator.New(replicator.Config{
		Topic: meshTopic, Wait: meshWait, MinInterval: meshMinInterval, OnChange: ru.meshChanged,
		Store: pa.Mesh, Log: pa.Log, Now: pa.Now,
	}, &relay{
		Source: pa.Mesh, runner: ru, topic: meshTopic, storeWait: meshWait,
		sourceSelector: newSourceSelector(),
	}, ru.peers)
	return ru
}

// Ready reports whether the node can serve clients.
func (ru *Runner) Ready() bool {
	return !ru.draining.Load() && ru.carrier.View() != nil
}

// Run runs the node until SIGTERM arrives on the channel or a server fails.
// SIGHUP reloads the settings.
func (ru *Runner) Run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	se := ru.settings.Load()
	ru.Log.WithFields(logrus.Fields{
		"node": se.Name, "dataCentre": se.DataCentre, "service": se.Service,
		"clients": se.Clients.String(), "nodes": se.Nodes.String(), "store": se.Store.String(),
	}).Info("start")

	failed, serving := ru.startServers(ctx)
	loops := []func(context.Context, chan<- struct{}){
		ru.operator.Run, ru.mesh.Run, ru.maintain, ru.publish, ru.runRollouts,
	}
	ends := make([]chan struct{}, len(loops))
	for nn, loop := range loops {
		ends[nn] = make(chan struct{})
		go loop(ctx, ends[nn])
	}
	err := ru.waitForStop(ctx, signals, failed)
	cancel()
	for _, end := range ends {
		<-end
	}
	// The addresses are free for the node's next process only when the servers
	// have closed their listeners.
	if err != nil {
		serving-- // its end has been received
	}
	for range serving {
		if ended := <-failed; err == nil {
			err = ended
		}
	}
	ru.Log.WithError(err).Info("stop")
	return err
}

// waitForStop returns when the node has to stop. Until then it reloads the
// settings.
func (ru *Runner) waitForStop(
	ctx context.Context, signals <-chan os.Signal, failed <-chan error,
) error {
	ticker := time.NewTicker(settingsReloadInterval)
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
			ru.drain(ctx)
			return nil
		case <-ticker.C:
			ru.reload("period")
		}
	}
}
