package forwarder

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/connlimiter"
	"github.com/guavastall/guavastall/internal/retrier"
)

// Limits of a server's connections.
const (
	// maxHeaderBytes is the maximum size of the header of a request.
	maxHeaderBytes = 32 << 10
	// readHeaderTimeout is the time in which a client must send the header.
	readHeaderTimeout = 5 * time.Second
	// serverIdleTimeout is twice the idle timeout of the client, so that the
	// client closes an idle connection first.
	serverIdleTimeout = 2 * idleTimeout
	// closeNoticeTimeout is the time that a client has to close the connection
	// after a close notice.
	closeNoticeTimeout = time.Second
	// minIdleTime is how long a connection must be idle before a close notice is
	// sent on it. A busy client sends its next call before that, and the
	// response closes the connection without a race.
	minIdleTime = 500 * time.Millisecond
)

// Server is an HTTP server that can be stopped without losing a call.
//
// http.Server.Shutdown closes idle connections even though a request may be in
// transit on them; the sender then cannot know whether it was executed. Drain
// instead closes each connection with its next response, and on connections
// that stay idle it sends a close notice, which is a "not run" response. A
// request that arrives after the close notice is never executed.
type Server struct {
	server  *http.Server
	minIdle time.Duration

	draining atomic.Bool

	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	listener net.Listener
}

// NewServer returns a server for the handler. It logs connection errors to the
// logger, or discards them if it is nil.
func NewServer(handler http.Handler, lo *log.Logger) *Server {
	if lo == nil {
		lo = log.New(io.Discard, "", 0)
	}
	sv := &Server{conns: map[*serverConn]struct{}{}, minIdle: minIdleTime}
	sv.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			sc, ok := r.Context().Value(connKey{}).(*serverConn)
			if ok && !sc.begin() {
				// The close notice already told the client "not run", or the connection
				// has been closed.
				panic(http.ErrAbortHandler)
			}
			if sv.draining.Load() {
				w.Header()[headerConnection] = []string{"close"}
			}
			handler.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          lo,
		ConnState:         sv.connStateChanged,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, nc)
		},
	}
	return sv
}

type connKey struct{}

// Serve accepts connections until Drain or Close is called, and then returns nil.
func (sv *Server) Serve(ln net.Listener) error {
	sv.mu.Lock()
	sv.listener = ln
	draining := sv.draining.Load()
	sv.mu.Unlock()
	if draining {
		return ln.Close()
	}
	err := sv.server.Serve(listener{ln})
	if sv.draining.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Drain stops accepting connections, waits for the calls in flight, and closes
// every connection. If the context ends first, it closes the remaining
// connections and returns the context's error.
//
// Closing the listener resets connections that the kernel has established but
// Serve has not accepted yet, which takes a few microseconds. Peers should be
// told before Drain that the node is shutting down, so that they open none.
func (sv *Server) Drain(ctx context.Context) error {
	sv.closeListener()
	began := time.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for sv.sendCloseNotices(began) > 0 {
		select {
		case <-ctx.Done():
			_ = sv.Close()
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return sv.Close()
}

// sendCloseNotices sends a close notice on each connection that has been idle for
// long enough. It returns the number of open connections.
func (sv *Server) sendCloseNotices(began time.Time) int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for sc := range sv.conns {
		sc.sendCloseNotice(began, sv.minIdle)
	}
	return len(sv.conns)
}

// closeListener closes the listener and marks the server as draining.
func (sv *Server) closeListener() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.draining.Store(true)
	if sv.listener != nil {
		_ = sv.listener.Close()
	}
}

// Close immediately closes the listener and all connections.
func (sv *Server) Close() error {
	sv.closeListener()
	if err := sv.server.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil // the listener was closed before
}

// Conns returns the number of open connections.
func (sv *Server) Conns() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return len(sv.conns)
}

// connStateChanged tracks the state of the connections.
func (sv *Server) connStateChanged(nc net.Conn, state http.ConnState) {
	sc, ok := nc.(*serverConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		sv.mu.Lock()
		sv.conns[sc] = struct{}{}
		sv.mu.Unlock()
	case http.StateIdle:
		sc.end()
	case http.StateClosed, http.StateHijacked:
		sv.mu.Lock()
		delete(sv.conns, sc)
		sv.mu.Unlock()
	case http.StateActive:
	}
}

// listener wraps the accepted connections.
type listener struct {
	net.Listener
}

func (ln listener) Accept() (net.Conn, error) {
	nc, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: nc}, nil
}

// serverConn is a connection of a Server. A request on it is either executed or
// answered by the close notice, never both.
type serverConn struct {
	net.Conn

	mu         sync.Mutex
	busy       bool
	noticeSent bool
	// idleSince is when the last response ended; zero before the first.
	idleSince time.Time
}

// begin records the start of a handler. It returns false after a close notice.
func (sc *serverConn) begin() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.noticeSent {
		return false
	}
	if !connlimiter.BeginRequest(sc.Conn) {
		return false
	}
	sc.busy = true
	return true
}

func (sc *serverConn) end() {
	sc.mu.Lock()
	sc.busy, sc.idleSince = false, time.Now()
	sc.mu.Unlock()
	connlimiter.EndRequest(sc.Conn)
}

// closeNoticeText is the close notice. HTTP clients also understand it on an idle
// connection, where status 408 means that the server closes the connection.
var closeNoticeText = []byte("HTTP/1.1 408 Request Timeout\r\n" +
	headerOutcome + ": " + retrier.NotRun.String() + "\r\n" +
	headerError + ": " + answerer.Draining.String() + "\r\n" +
	"Connection: close\r\nContent-Length: 0\r\n\r\n")

// sendCloseNotice sends the close notice on an idle connection, which also answers
// a request that may be in transit. The client closes the connection, because
// closing it here with unread bytes would reset it before the client has read
// the notice.
func (sc *serverConn) sendCloseNotice(began time.Time, minIdle time.Duration) {
	now := time.Now()
	sc.mu.Lock()
	since := began
	if sc.idleSince.After(began) {
		since = sc.idleSince
	}
	if sc.busy || sc.noticeSent || now.Sub(since) < minIdle {
		sc.mu.Unlock()
		return
	}
	sc.noticeSent = true
	sc.mu.Unlock()
	end := now.Add(closeNoticeTimeout)
	_ = sc.SetWriteDeadline(end)
	_, _ = sc.Conn.Write(closeNoticeText)
	_ = sc.CloseWrite()
	_ = sc.Conn.SetReadDeadline(end)
}

// SetReadDeadline ignores deadlines that http.Server sets after a close notice.
func (sc *serverConn) SetReadDeadline(at time.Time) error {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.noticeSent {
		return nil
	}
	return sc.Conn.SetReadDeadline(at)
}

// CloseWrite closes the write side of the connection. http.Server uses it too.
func (sc *serverConn) CloseWrite() error {
	if cw, ok := sc.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// stdlibErrorHead is the end of the header of the error responses that http.Server
// writes outside any handler.
const stdlibErrorHead = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// Write converts the error responses that http.Server writes outside any handler
// into the format of the forwarder's error responses.
func (sc *serverConn) Write(data []byte) (int, error) {
	sc.mu.Lock()
	outside := !sc.busy
	sc.mu.Unlock()
	if outside {
		if text, ok := errorResponse(string(data)); ok {
			if _, err := sc.Conn.Write([]byte(text)); err != nil {
				return 0, err
			}
			return len(data), nil
		}
	}
	return sc.Conn.Write(data)
}

// errorResponse converts an error response of http.Server into the format of the
// forwarder's error responses. It reports whether data is such a response.
func errorResponse(data string) (string, bool) {
	head, message, ok := strings.Cut(data, stdlibErrorHead)
	if !ok || !strings.HasPrefix(head, "HTTP/1.1 ") {
		return "", false
	}
	status, _, _ := strings.Cut(strings.TrimPrefix(head, "HTTP/1.1 "), " ")
	code, err := strconv.Atoi(status)
	if err != nil || code < http.StatusBadRequest {
		return "", false
	}
	ki := answerer.BadRequest
	if code == http.StatusRequestHeaderFieldsTooLarge {
		ki = answerer.TooLarge
	}
	body := encodeError(ki, "malformed request: "+message)
	return "HTTP/1.1 " + status + " " + http.StatusText(code) + "\r\n" +
		headerError + ": " + ki.String() + "\r\n" +
		headerOutcome + ": " + retrier.NotRun.String() + "\r\n" +
		"Content-Type: application/json\r\nConnection: close\r\n" +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + string(body), true
}
