// Package connlimiter bounds the open connections of a listener and the memory for
// unfinished request heads on them, so that clients that nobody controls cannot
// exhaust the descriptors or the memory of the process.
package connlimiter

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

const (
	// lineBytes and byteFactor estimate the memory of a head that is being read: each
	// line becomes an entry of a map with a key and a value, and buffers for long
	// lines grow by doubling.
	lineBytes  = 200
	byteFactor = 4
	// logInterval is the minimum time between two log lines of a listener.
	logInterval = 10 * time.Second
)

// Config holds the settings and dependencies of a [Listener].
type Config struct {
	// Name is the prefix of the metrics and names the listener in the log.
	Name string
	// MaxConns bounds the open connections.
	MaxConns int
	// MaxHeadMemory bounds the estimated memory of all unfinished heads in bytes. A
	// single head is not bounded by it.
	MaxHeadMemory int64
	Log           logrus.FieldLogger
	Metrics       metrics.Registry
	Now           func() time.Time
}

// Listener is a [net.Listener] with bounds. At a bound, it closes connections in this
// order: those without any complete request, the oldest first, then those that have
// been idle for longest. It never closes one with a request in flight; if there are
// only such, it closes the new one.
type Listener struct {
	net.Listener
	config Config
	// closedConns counts the connections closed at the bound, and refusedConns those of
	// them that were new ones.
	closedConns, refusedConns, closedHeads metrics.Counter

	mu    sync.Mutex
	conns int
	// fresh holds the connections without a complete request and idle the others
	// that have no request in flight, both with the longest wait first.
	fresh, idle *list.List
	// heads holds the connections with an unfinished head, the oldest head first.
	heads      *list.List
	headMemory int64
	loggedAt   time.Time
}

// New returns a listener that bounds the connections of ln.
func New(ln net.Listener, cf Config) *Listener {
	li := &Listener{
		Listener: ln, config: cf, fresh: list.New(), idle: list.New(), heads: list.New(),
		closedConns: metrics.GetOrRegisterCounter(cf.Name+".closedConnections", cf.Metrics),
		closedHeads: metrics.GetOrRegisterCounter(cf.Name+".closedHeads", cf.Metrics),
		refusedConns: metrics.GetOrRegisterCounter(
			cf.Name+".refusedConnections", cf.Metrics),
	}
	// Registering fails only if another listener has the same name.
	_ = cf.Metrics.Register(cf.Name+".connections", metrics.NewFunctionalGauge(li.count))
	return li
}

func (li *Listener) count() int64 {
	li.mu.Lock()
	defer li.mu.Unlock()
	return int64(li.conns)
}

// Accept implements [net.Listener]. The connections are of type *[Conn]. If it fails,
// for example for lack of a descriptor, it closes a connection to make room.
func (li *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := li.Listener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				li.makeRoom(li.config.Now())
			}
			return nil, err
		}
		if co := li.admit(nc, li.config.Now()); co != nil {
			return co, nil
		}
	}
}

// admit adds the connection, if necessary in place of another. It returns nil if all
// connections have a request in flight.
func (li *Listener) admit(nc net.Conn, now time.Time) *Conn {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.conns >= li.config.MaxConns {
		li.closedConns.Inc(1)
		li.report("too many connections", now)
		if !li.evictWaiting() {
			li.refusedConns.Inc(1)
			_ = nc.Close()
			return nil
		}
	}
	co := &Conn{Conn: nc, listener: li}
	co.waiting, co.waitingIn = li.fresh.PushBack(co), li.fresh
	li.conns++
	return co
}

// makeRoom closes a connection that has no request in flight, if there is one.
func (li *Listener) makeRoom(now time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.evictWaiting() {
		li.closedConns.Inc(1)
		li.report("no connection can be accepted", now)
	}
}

// evictWaiting closes the connection that has waited for longest for a request and
// reports whether there was one. The caller must hold li.mu.
func (li *Listener) evictWaiting() bool {
	victim := li.fresh.Front()
	if victim == nil {
		victim = li.idle.Front()
	}
	if victim == nil {
		return false
	}
	li.evict(victim.Value.(*Conn))
	return true
}

// addHead adds to the memory of the connection's unfinished head.
func (li *Listener) addHead(co *Conn, memory int64, now time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if co.closed || co.inFlight.Load() {
		return
	}
	if co.head == nil {
		co.head = li.heads.PushBack(co)
	}
	co.headMemory += memory
	li.headMemory += memory
	for li.headMemory > li.config.MaxHeadMemory && li.heads.Len() > 1 {
		li.closedHeads.Inc(1)
		li.report("too much memory for unfinished heads", now)
		li.evict(li.heads.Front().Value.(*Conn))
	}
}

// report logs why a connection is closed, at most once in logInterval. The caller must
// hold li.mu.
func (li *Listener) report(reason string, now time.Time) {
	if now.Sub(li.loggedAt) < logInterval {
		return
	}
	li.loggedAt = now
	li.config.Log.WithFields(logrus.Fields{
		"server": li.config.Name, "reason": reason, "connections": li.conns,
		"headBytes": li.headMemory, "closedConnections": li.closedConns.Count(),
		"closedHeads": li.closedHeads.Count(),
	}).Warn("connection closed")
}

// evict closes a connection. The caller must hold li.mu.
func (li *Listener) evict(co *Conn) {
	li.remove(co)
	_ = co.Conn.Close()
}

// remove forgets a connection. The caller must hold li.mu.
func (li *Listener) remove(co *Conn) {
	if co.closed {
		return
	}
	co.closed = true
	li.conns--
	li.clear(co)
}

// clear removes a connection from the lists. The caller must hold li.mu.
func (li *Listener) clear(co *Conn) {
	if co.waiting != nil {
		co.waitingIn.Remove(co.waiting)
		co.waiting = nil
	}
	if co.head != nil {
		li.heads.Remove(co.head)
		co.head = nil
	}
	li.headMemory -= co.headMemory
	co.headMemory = 0
}

// BeginRequest records that the head of a request on the connection is complete. It
// returns false if the connection has been closed; the request must not run then. A
// connection that is not from a [Listener] is ignored.
func BeginRequest(nc net.Conn) bool {
	co, ok := nc.(*Conn)
	return !ok || co.BeginRequest()
}

// EndRequest records that no request is in flight on the connection any more. A
// connection that is not from a [Listener] is ignored.
func EndRequest(nc net.Conn) {
	if co, ok := nc.(*Conn); ok {
		co.EndRequest()
	}
}

// Conn is a connection of a [Listener]. Its server calls BeginRequest and EndRequest.
type Conn struct {
	net.Conn
	listener *Listener
	inFlight atomic.Bool

	// The listener's mu guards the fields below. waiting is nil while a request is in
	// flight, and head while no byte of a head has arrived.
	waiting, head *list.Element
	waitingIn     *list.List
	headMemory    int64
	closed        bool
}

// Read implements [net.Conn].
func (co *Conn) Read(data []byte) (int, error) {
	nn, err := co.Conn.Read(data)
	if nn > 0 && !co.inFlight.Load() {
		lines := bytes.Count(data[:nn], []byte{'\n'})
		memory := int64(byteFactor*nn + lineBytes*lines)
		co.listener.addHead(co, memory, co.listener.config.Now())
	}
	return nn, err
}

// Close implements [net.Conn].
func (co *Conn) Close() error {
	co.listener.mu.Lock()
	co.listener.remove(co)
	co.listener.mu.Unlock()
	return co.Conn.Close()
}

// CloseWrite closes the write side of the connection. http.Server uses it after an
// error response.
func (co *Conn) CloseWrite() error {
	if cw, ok := co.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// BeginRequest records that a head is complete. It returns false if the connection has
// been closed; the request must not run then.
func (co *Conn) BeginRequest() bool {
	co.listener.mu.Lock()
	defer co.listener.mu.Unlock()
	if co.closed {
		return false
	}
	co.inFlight.Store(true)
	co.listener.clear(co)
	return true
}

// EndRequest records that the response to a request has been written.
func (co *Conn) EndRequest() {
	co.listener.mu.Lock()
	defer co.listener.mu.Unlock()
	if co.closed || co.waiting != nil {
		return
	}
	co.waitingIn = co.listener.idle
	co.waiting = co.waitingIn.PushBack(co)
	co.inFlight.Store(false)
}

type connKey struct{}

// Attach makes the server report its requests to the connections of a [Listener]. It
// replaces the server's ConnContext and ConnState.
func Attach(server *http.Server) {
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if nc, ok := r.Context().Value(connKey{}).(net.Conn); ok && !BeginRequest(nc) {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, nc)
	}
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			EndRequest(nc)
		}
	}
}
