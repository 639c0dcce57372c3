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
	"github.com/guavastall/guavastall/internal/retrier"
)

// Bounds of a server's connections.
const (
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 32 << 10
	// readHeaderTimeout bounds the time that a slow client may take for it.
	readHeaderTimeout = 5 * time.Second
	// serverIdleTimeout is twice the idle timeout of the client side, which
	// therefore closes first.
	serverIdleTimeout = 2 * idleTimeout
	// farewellTime bounds the wait for clients to close after a farewell.
	farewellTime = time.Second
	// lingerTime is how long a connection must be idle before its farewell.
	// A busy client sends its next call before that, and its response closes
	// the connection without any crossing.
	lingerTime = 500 * time.Millisecond
)

// Server is an http.Server that can stop without losing a call.
//
// http.Server.Shutdown closes idle connections while a request may be on its
// way to them; its sender cannot know whether it ran. Drain instead closes
// each connection with its next response, sends a "not run" response on those
// that stay idle, and never runs a request that crosses it.
type Server struct {
	server *http.Server
	linger time.Duration

	leaving atomic.Bool

	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	listener net.Listener
}

// NewServer returns a server for the handler. Errors of connections go to the
// logger; nil discards them.
func NewServer(handler http.Handler, lo *log.Logger) *Server {
	if lo == nil {
		lo = log.New(io.Discard, "", 0)
	}
	sv := &Server{conns: map[*serverConn]struct{}{}, linger: lingerTime}
	sv.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			sc, ok := r.Context().Value(connKey{}).(*serverConn)
			if ok && !sc.begin() {
				// The connection got its farewell, which says "not run".
				panic(http.ErrAbortHandler)
			}
			if sv.leaving.Load() {
				w.Header()[headerClose] = []string{"close"}
			}
			handler.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          lo,
		ConnState:         sv.changed,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, nc)
		},
	}
	return sv
}

type connKey struct{}

// Serve accepts connections until Drain or Close. It returns nil after those.
func (sv *Server) Serve(ln net.Listener) error {
	sv.mu.Lock()
	sv.listener = ln
	leaving := sv.leaving.Load()
	sv.mu.Unlock()
	if leaving {
		return ln.Close()
	}
	err := sv.server.Serve(listener{ln})
	if sv.leaving.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Drain stops accepting, lets the calls in flight finish and ends every
// connection. It returns when all are closed, or closes them when the context
// ends and returns its error.
//
// Closing the listener resets connections that the system has opened but Serve
// has not accepted yet, some microseconds after their opening. Peers should
// know that the node is leaving before Drain, so that they open none.
func (sv *Server) Drain(ctx context.Context) error {
	sv.leave()
	began := time.Now()
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for sv.sayFarewell(began) > 0 {
		select {
		case <-ctx.Done():
			_ = sv.Close()
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return sv.Close()
}

// sayFarewell ends the connections that have been idle long enough and returns
// the number of those open.
func (sv *Server) sayFarewell(began time.Time) int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for sc := range sv.conns {
		sc.farewell(began, sv.linger)
	}
	return len(sv.conns)
}

// leave closes the listener.
func (sv *Server) leave() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.leaving.Store(true)
	if sv.listener != nil {
		_ = sv.listener.Close()
	}
}

// Close closes the listener and all connections at once.
func (sv *Server) Close() error {
	sv.leave()
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

// changed follows the state of the connections.
func (sv *Server) changed(nc net.Conn, state http.ConnState) {
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

// serverConn is a connection of a Server. A request on it either begins or
// gets the farewell, never both.
type serverConn struct {
	net.Conn

	mu   sync.Mutex
	busy bool
	left bool
	// idleSince is when the last response ended; zero before the first.
	idleSince time.Time
}

// begin marks the start of a handler; it reports false after a farewell.
func (sc *serverConn) begin() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.left {
		return false
	}
	sc.busy = true
	return true
}

func (sc *serverConn) end() {
	sc.mu.Lock()
	sc.busy, sc.idleSince = false, time.Now()
	sc.mu.Unlock()
}

// farewellText is understood by HTTP clients on an idle connection too: the
// status 408 there means that the server closes it.
var farewellText = []byte("HTTP/1.1 408 Request Timeout\r\n" +
	headerOutcome + ": " + retrier.NotRun.String() + "\r\n" +
	headerError + ": " + answerer.Draining.String() + "\r\n" +
	"Connection: close\r\nContent-Length: 0\r\n\r\n")

// farewell ends an idle connection: it answers a request that may be on its
// way, and leaves the closing to the client, because closing with unread bytes
// would reset the connection before the client has read the answer.
func (sc *serverConn) farewell(began time.Time, linger time.Duration) {
	now := time.Now()
	sc.mu.Lock()
	since := began
	if sc.idleSince.After(began) {
		since = sc.idleSince
	}
	if sc.busy || sc.left || now.Sub(since) < linger {
		sc.mu.Unlock()
		return
	}
	sc.left = true
	sc.mu.Unlock()
	end := now.Add(farewellTime)
	_ = sc.SetWriteDeadline(end)
	_, _ = sc.Conn.Write(farewellText)
	_ = sc.CloseWrite()
	_ = sc.Conn.SetReadDeadline(end)
}

// SetReadDeadline keeps the server from extending the time after a farewell.
func (sc *serverConn) SetReadDeadline(at time.Time) error {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.left {
		return nil
	}
	return sc.Conn.SetReadDeadline(at)
}

// CloseWrite closes the sending side; http.Server uses it too.
func (sc *serverConn) CloseWrite() error {
	if cw, ok := sc.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// plainError is how http.Server ends the head of the error responses that it
// writes by itself, outside any handler.
const plainError = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// Write turns the server's own error responses, to requests that no handler
// has seen, into the form of all others.
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

// errorResponse returns the response in the form of all others, and whether
// the data is an error response of http.Server.
func errorResponse(data string) (string, bool) {
	head, message, ok := strings.Cut(data, plainError)
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
