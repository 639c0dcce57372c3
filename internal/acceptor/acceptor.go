// Package acceptor serves HTTP/1.1 to clients that are not trusted.
//
// In contrast to [http.Server] it continues to read a connection while requests of
// that connection are in flight. Pipelined requests run concurrently, so that a slow
// request does not keep the node from reading those behind it, and their responses are
// written in the order of the requests.
//
// What clients can make a [Server] hold is bounded: the size of a request's head, the
// memory for the heads of all requests, the pipelined requests of a connection, and the
// times to send a head and to read a response. Clients that exceed a bound are refused or
// disconnected; the others are served. Connections, and heads that are never finished, are
// bounded by a listener of package connlimiter, to which the server reports the requests
// on its connections.
//
// Messages are parsed by [http.ReadRequest].
package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/reserver"
)

// Config holds the settings of a [Server].
type Config struct {
	// Concurrent reports whether a request may run while an earlier request of its
	// connection is unanswered. It must be false for requests that must not run
	// twice: if an earlier response closes the connection, the client sends them
	// again. It may set the context that the handler gets.
	Concurrent func(*http.Request) bool
	// MaxPipelined bounds the unanswered requests of a connection.
	MaxPipelined int
	// MaxHeadBytes bounds the request line and the header of a request.
	MaxHeadBytes int
	// HeadMemory bounds the memory, in bytes, for the heads of all requests that are
	// being read or in flight.
	HeadMemory int64
	// HeadTimeout bounds the time from the first byte of a head to its end, and
	// IdleTimeout the time for which a connection without requests stays open.
	HeadTimeout, IdleTimeout time.Duration
	// WriteTimeout bounds the time in which a client must accept a part of a
	// response.
	WriteTimeout time.Duration
	// StopTimeout bounds the time in which accepted requests complete after the
	// context of [Server.Serve] is done.
	StopTimeout time.Duration
	Log         *logrus.Logger
	Metrics     metrics.Registry
	// Now returns the current time.
	Now func() time.Time
}

// Server serves a handler on the connections of a listener. Create it with New. It is
// safe for concurrent use.
type Server struct {
	config  Config
	handler http.Handler
	memory  *reserver.Memory
	events  *events

	mu       sync.Mutex
	conns    map[*conn]struct{}
	stopping bool
	// empty is closed when the server is stopping and has no connections.
	empty chan struct{}
}

// New returns a server for the handler.
func New(cf Config, handler http.Handler) *Server {
	sv := &Server{
		config: cf, handler: handler, conns: map[*conn]struct{}{},
		empty: make(chan struct{}), memory: reserver.New(cf.HeadMemory),
	}
	sv.events = newEvents(cf.Log, cf.Metrics, cf.Now)
	return sv
}

const (
	// minAcceptDelay and maxAcceptDelay bound the pause after a failure to accept a
	// connection; it doubles with each failure in a row.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// Serve accepts connections until ctx is done. It then closes the listener, completes
// the requests that it has read, within the stop timeout, and returns nil. A failure to
// accept a connection, such as a lack of descriptors, does not end it.
func (sv *Server) Serve(ctx context.Context, listener net.Listener) error {
	closed := make(chan struct{})
	stopClose := context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = listener.Close()
	})
	// The address is free when the first call of Close has returned; Accept may fail
	// before.
	defer func() {
		if !stopClose() {
			<-closed
		}
	}()
	defer sv.stop()
	delay := time.Duration(0)
	for {
		nc, err := listener.Accept()
		switch {
		case err == nil:
			delay = 0
			sv.start(nc)
			continue
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		}
		sv.events.record(acceptFailed)
		delay = min(max(2*delay, minAcceptDelay), maxAcceptDelay)
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// start serves a new connection.
func (sv *Server) start(nc net.Conn) {
	co := newConn(sv, nc)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.conns[co] = struct{}{}
	go co.serve()
}

// remove forgets a connection that has ended.
func (sv *Server) remove(co *conn) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.removeLocked(co)
}

func (sv *Server) removeLocked(co *conn) {
	if _, ok := sv.conns[co]; !ok {
		return
	}
	delete(sv.conns, co)
	if sv.stopping && len(sv.conns) == 0 {
		close(sv.empty)
	}
}

// stop ends all connections: idle ones at once, the others after their last response
// or the stop timeout.
func (sv *Server) stop() {
	sv.mu.Lock()
	sv.stopping = true
	if len(sv.conns) == 0 {
		close(sv.empty)
	}
	all := make([]*conn, 0, len(sv.conns))
	for co := range sv.conns {
		all = append(all, co)
	}
	sv.mu.Unlock()
	// All responses close their connection before the first client learns of the end.
	var idle []*conn
	for _, co := range all {
		if co.stop() {
			idle = append(idle, co)
		}
	}
	for _, co := range idle {
		co.abort()
	}
	select {
	case <-sv.empty:
		return
	case <-time.After(sv.config.StopTimeout):
	}
	for _, co := range all {
		co.abort()
	}
}
