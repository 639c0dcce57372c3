package meshrunner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/guavastall/guavastall/internal/connlimiter"
)

const (
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 64 << 10
	// idleTimeout is how long clients' connections may be idle. It is above the
	// limits that operators set, so that no request is in transit when a
	// connection is closed.
	idleTimeout = 2 * time.Minute
)

const (
	// nodesConnShare is the share of the descriptors and of the memory that
	// connections of other nodes may use. The rest is for clients and for connections
	// that the node opens to its target and to other nodes.
	nodesConnShare = 0.5
	// maxLocalConns, maxLocalHeaderBytes and localTimeout bound the servers that only
	// the platform and the target of the same VM call: their connections, the size of
	// a request's header, and the time to read a request and to write its response.
	maxLocalConns       = 32
	maxLocalHeaderBytes = 8 << 10
	localTimeout        = 5 * time.Second
)

// shutdownTimeout bounds the time in which a server completes the requests that
// it has already accepted when it is stopped.
const shutdownTimeout = 400 * time.Millisecond

// shutDown stops the server without cutting off requests that it has just accepted.
func shutDown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}

// newServer returns a server with the limits of heads.
func newServer(ha http.Handler) *http.Server {
	return &http.Server{
		Handler: ha, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: nil,
	}
}

// newLocalServer returns a server that only programs of the same VM call.
func newLocalServer(ha http.Handler) *http.Server {
	server := newServer(ha)
	server.MaxHeaderBytes = maxLocalHeaderBytes
	server.ReadTimeout, server.WriteTimeout = localTimeout, localTimeout
	return server
}

// serveLimited runs a server with at most the given number of connections at the
// address until ctx is done, and reports its end on done. The metrics and log lines of
// the limits have the name.
func (ru *Runner) serveLimited(
	ctx context.Context, name string, address netip.AddrPort, server *http.Server,
	maxConns int, done chan<- error,
) {
	listener, err := ru.listen(name, address, maxConns)
	if err != nil {
		done <- err
		return
	}
	connlimiter.Attach(server)
	serveUntil(ctx, server, listener, done)
}

// listen listens at the address for at most the given number of connections. The metrics
// and log lines of the limits have the name.
func (ru *Runner) listen(
	name string, address netip.AddrPort, maxConns int,
) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	return connlimiter.New(listener, connlimiter.Config{
		Name: name, MaxConns: maxConns, MaxHeadMemory: ru.settings.Load().budget().HeadMemory(),
		Log: ru.Log, Metrics: ru.Metrics, Now: ru.Now,
	}), nil
}

// serveUntil runs a server until ctx is done, and reports its end on done.
func serveUntil(
	ctx context.Context, server *http.Server, listener net.Listener, done chan<- error,
) {
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutDown(server)
	})
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	if !stop() {
		<-stopped
	}
	done <- err
}

// startServers starts the node's servers, which run until ctx is done. Each reports
// its end on the channel. It also returns the number of servers.
func (ru *Runner) startServers(ctx context.Context) (ended <-chan error, count int) {
	se := ru.settings.Load()
	count = 4
	if se.Metrics.IsValid() {
		count++
	}
	done := make(chan error, count)
	nodesConns := se.budget().Conns(nodesConnShare)
	go ru.serveClients(ctx, done)
	go ru.serveLimited(ctx, "nodes", se.Nodes, newServer(ru.nodesHandler(ctx)), nodesConns, done)
	go ru.serveLimited(ctx, "ready", se.Ready, newLocalServer(ru.Parts.Ready(ru)),
		maxLocalConns, done)
	go ru.serveLimited(ctx, "control", se.Control, newLocalServer(ru.Control(ru)),
		maxLocalConns, done)
	if se.Metrics.IsValid() {
		go ru.serveLimited(ctx, "metrics", se.Metrics, newLocalServer(ru.metricsHandler()),
			maxLocalConns, done)
	}
	return done, count
}
