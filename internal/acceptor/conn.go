package acceptor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// lingerTimeout and maxDrainBytes bound what is read from a client after its last
	// request. Closing a connection with unread bytes resets it, and the client would
	// lose the response.
	lingerTimeout = 500 * time.Millisecond
	maxDrainBytes = 256 << 10
)

// conn is a connection of a client. One goroutine reads requests; each request is
// handled by a goroutine of its own, which writes the response once all earlier
// responses have been written.
type conn struct {
	server *Server
	net.Conn
	head     headReader
	reader   *bufio.Reader
	ctx      context.Context
	cancel   context.CancelFunc
	handlers sync.WaitGroup
	// answered receives a value when a response has been written.
	answered chan struct{}

	mu sync.Mutex
	// queue holds the unanswered requests in the order of arrival. The first started
	// of them run.
	queue   []*exchange
	started int
	// awaiting is true while no byte of the next request has been read.
	awaiting bool
	// heads is the number of heads that were complete.
	heads int
	// stopping is true if the connection is to be closed after the response to the
	// last request that has started, and closing if that response has been chosen or
	// none is due. No further request is accepted then.
	stopping, closing bool
	// draining is true once no further request is read.
	draining bool
}

func newConn(sv *Server, nc net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	co := &conn{
		server: sv, Conn: nc, ctx: ctx, cancel: cancel,
		answered: make(chan struct{}, 1), head: headReader{conn: nc, memory: sv.memory},
	}
	co.reader = bufio.NewReaderSize(&co.head, readBufferBytes)
	return co
}

// serve reads requests until the connection ends.
func (co *conn) serve() {
	defer co.server.remove(co)
	defer co.abort()
	for co.readNext() {
	}
	co.drain()
	co.handlers.Wait()
	co.mu.Lock()
	defer co.mu.Unlock()
	co.dropQueue()
}

// abort closes the connection and cancels its requests. It cancels them last, so that
// no handler writes a response to its cancellation.
func (co *conn) abort() {
	_ = co.Close()
	co.cancel()
}

// drain discards what the client sends after its last request, until it closes the
// connection or lingerTimeout after the last response. If the client closes the
// connection earlier, the requests in flight are cancelled.
func (co *conn) drain() {
	if co.ctx.Err() != nil {
		return
	}
	co.mu.Lock()
	co.draining = true
	var deadline time.Time
	if len(co.queue) == 0 {
		deadline = co.server.config.Now().Add(lingerTimeout)
	}
	_ = co.SetReadDeadline(deadline)
	co.mu.Unlock()
	_, err := io.CopyN(io.Discard, co.Conn, maxDrainBytes)
	if isClosed(err) {
		co.cancel()
		return
	}
	co.handlers.Wait()
	if err != nil {
		return
	}
	// The rest stays unread, so that the client stops sending and has time to read
	// the response.
	select {
	case <-time.After(lingerTimeout):
	case <-co.ctx.Done():
	}
}

// stop makes the connection close after its last response and reports whether it is
// idle, so that it can be closed at once. A connection that has had no request yet may
// have one.
func (co *conn) stop() (idle bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.stopping = true
	idle = len(co.queue) == 0 && co.awaiting && co.heads > 0
	co.closing = co.closing || idle
	return idle
}

// readNext reads a request and starts or queues it. It reports whether another one may
// follow.
func (co *conn) readNext() bool {
	if !co.awaitFirstByte() || !co.awaitRoom() {
		co.server.memory.Release(co.endHead())
		return false
	}
	_ = co.SetReadDeadline(co.server.config.Now().Add(co.server.config.HeadTimeout))
	rq, err := co.readHead()
	held := co.endHead()
	_ = co.SetReadDeadline(time.Time{})
	if err == nil && !co.server.memory.Take(requestOverheadBytes) {
		err = errHeadMemory
	} else if err == nil {
		held += requestOverheadBytes
	}
	if err != nil {
		co.reject(err, held)
		return false
	}
	ex := newExchange(co, rq, held)
	if !co.enqueue(ex) {
		ex.cancel()
		co.server.memory.Release(held)
		return false
	}
	return ex.awaitBody() && !ex.last
}

// endHead returns the memory that is held for the head that has been read.
func (co *conn) endHead() int64 {
	rest, _ := co.reader.Peek(co.reader.Buffered())
	return co.head.end(rest)
}

// awaitRoom waits until the connection may have another request. It returns false if
// the connection ends before.
func (co *conn) awaitRoom() bool {
	for {
		co.mu.Lock()
		count, closing := len(co.queue), co.closing
		co.mu.Unlock()
		if closing || count < max(co.server.config.MaxPipelined, 1) {
			return !closing
		}
		select {
		case <-co.answered:
		case <-co.ctx.Done():
			return false
		}
	}
}

// awaitFirstByte waits for the next request and skips empty lines before it. If the
// client has closed the connection, it cancels the requests in flight.
func (co *conn) awaitFirstByte() bool {
	co.mu.Lock()
	co.awaiting = true
	co.setIdleDeadline()
	co.mu.Unlock()
	buffered, _ := co.reader.Peek(co.reader.Buffered())
	err := co.head.begin(co.server.config.MaxHeadBytes, buffered)
	if err == nil {
		err = co.skipEmptyLines()
	}
	co.mu.Lock()
	co.awaiting = false
	closing, idle := co.closing, len(co.queue) == 0
	co.mu.Unlock()
	switch {
	case closing:
		return false
	case err == nil:
		return true
	case errors.Is(err, os.ErrDeadlineExceeded) && idle, isClosed(err):
		co.cancel()
		return false
	}
	co.reject(err, co.endHead())
	return false
}

// setIdleDeadline bounds the wait for a request if none is in flight. The caller must
// hold co.mu.
func (co *conn) setIdleDeadline() {
	if !co.awaiting || co.closing {
		return
	}
	var deadline time.Time
	if len(co.queue) == 0 {
		deadline = co.server.config.Now().Add(co.server.config.IdleTimeout)
	}
	_ = co.SetReadDeadline(deadline)
}

// skipEmptyLines skips carriage returns and line feeds, up to maxEmptyBytes.
func (co *conn) skipEmptyLines() error {
	for range maxEmptyBytes + 1 {
		next, err := co.reader.Peek(1)
		if err != nil {
			return err
		}
		if next[0] != '\r' && next[0] != '\n' {
			return nil
		}
		_, _ = co.reader.Discard(1)
	}
	return errMalformed
}

// readHead reads the head of a request.
func (co *conn) readHead() (*http.Request, error) {
	rq, err := http.ReadRequest(co.reader)
	if co.head.err != nil {
		return nil, co.head.err
	}
	if err != nil {
		return nil, err
	}
	if err := checkRequest(rq); err != nil {
		return nil, err
	}
	rq.RemoteAddr = co.RemoteAddr().String()
	return rq, nil
}

// reject queues the response to a head that could not be read. It is the last one of
// the connection. A client that has left gets none, and its requests are cancelled.
func (co *conn) reject(err error, held int64) {
	co.server.memory.Release(held)
	status := statusOf(err)
	if status == 0 {
		co.cancel()
		return
	}
	if co.enqueue(newRejection(co, status)) {
		co.server.events.record(eventOf(err))
	}
}

// isClosed reports whether the client has closed the connection or cannot be reached any
// more.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ETIMEDOUT)
}
