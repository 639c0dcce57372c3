package acceptor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// lingerTimeout and maxLingerBytes bound what is read from a client after the last
	// response. Closing a connection with unread bytes resets it, and the client would
	// lose the response.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
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
	// lastHead is when the last head was complete, or when the connection began, and
	// heads the number of heads.
	lastHead time.Time
	heads    int
	// stopping is true if the connection is to be closed after the response to the
	// last request that has started, and closing if that response has been chosen. No
	// further request is accepted then.
	stopping, closing bool
}

func newConn(sv *Server, nc net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	co := &conn{
		server: sv, Conn: nc, ctx: ctx, cancel: cancel,
		head:     headReader{conn: nc, memory: &sv.memory},
		answered: make(chan struct{}, 1), lastHead: sv.config.Now(),
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
	co.handlers.Wait()
	co.mu.Lock()
	co.dropQueue()
	co.mu.Unlock()
	co.linger()
}

// abort closes the connection and cancels its requests.
func (co *conn) abort() {
	co.cancel()
	_ = co.Close()
}

// linger waits for the client to close the connection after the last response.
func (co *conn) linger() {
	co.mu.Lock()
	closing := co.closing
	co.mu.Unlock()
	if !closing || co.ctx.Err() != nil {
		return
	}
	_ = co.SetReadDeadline(co.server.config.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, co.Conn, maxLingerBytes)
}

// evictable reports whether the connection has no request in flight, and since when it
// has not completed a head.
func (co *conn) evictable() (time.Time, bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.lastHead, len(co.queue) == 0
}

// stop closes the connection after its last response; at once if it is idle. A
// connection that has had no request yet may have one.
func (co *conn) stop() {
	co.mu.Lock()
	co.stopping = true
	idle := len(co.queue) == 0 && co.awaiting && co.heads > 0
	co.mu.Unlock()
	if idle {
		co.abort()
	}
}

// readNext reads a request and starts or queues it. It reports whether another one may
// follow.
func (co *conn) readNext() bool {
	if !co.awaitRoom() || !co.awaitFirstByte() {
		co.server.memory.release(co.head.end())
		return false
	}
	_ = co.SetReadDeadline(co.server.config.Now().Add(co.server.config.HeadTimeout))
	rq, err := co.readHead()
	held := co.head.end()
	_ = co.SetReadDeadline(time.Time{})
	if err == nil && !co.server.memory.take(requestOverheadBytes) {
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
		co.server.memory.release(held)
		return false
	}
	return ex.awaitBody() && !ex.last
}

// awaitRoom waits until the connection may have another request.
func (co *conn) awaitRoom() bool {
	for {
		co.mu.Lock()
		count := len(co.queue)
		co.mu.Unlock()
		if count < max(co.server.config.MaxPipelined, 1) {
			return true
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
	co.head.begin(co.server.config.MaxHeadBytes)
	co.mu.Lock()
	co.awaiting = true
	co.setIdleDeadline()
	co.mu.Unlock()
	err := co.skipEmptyLines()
	co.mu.Lock()
	co.awaiting = false
	closing, idle := co.closing, len(co.queue) == 0
	co.mu.Unlock()
	switch {
	case closing:
		return false
	case err == nil:
		return true
	case isTimeout(err) && idle:
		return false
	case isClosed(err) || isTimeout(err):
		co.cancel()
		return false
	}
	held := co.head.end()
	co.reject(err, held)
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

func (co *conn) skipEmptyLines() error {
	for lines := 0; ; {
		next, err := co.reader.Peek(1)
		if err != nil {
			return err
		}
		switch next[0] {
		case '\n':
			if lines++; lines > maxEmptyLines {
				return errMalformed
			}
		case '\r':
			if lines == maxEmptyLines {
				return errMalformed
			}
		default:
			return nil
		}
		_, _ = co.reader.Discard(1)
	}
}

// readHead reads the head of a request.
func (co *conn) readHead() (*http.Request, error) {
	rq, err := http.ReadRequest(co.reader)
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
	co.server.memory.release(held)
	status := statusOf(err)
	if status == 0 {
		co.cancel()
		return
	}
	co.server.events.record(eventOf(err))
	co.enqueue(newRejection(co, status))
}

// enqueue adds a request to the queue and starts it if it may run now. It returns false
// if the connection accepts no further request.
func (co *conn) enqueue(ex *exchange) bool {
	concurrent := ex.mayRunConcurrently()
	now := co.server.config.Now()
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.closing || co.stopping && len(co.queue) > 0 {
		return false // the client sends the request again
	}
	co.lastHead = now
	co.heads++
	co.queue = append(co.queue, ex)
	if len(co.queue) > 1 {
		co.server.events.record(requestPipelined)
	}
	// Requests run in the order of the queue, so that all that have started can be
	// answered even if those behind them are dropped.
	if len(co.queue) == 1 || concurrent && co.started == len(co.queue)-1 {
		co.startLocked(ex)
	}
	return true
}

func (co *conn) startLocked(ex *exchange) {
	co.started++
	co.handlers.Add(1)
	if co.queue[0] == ex {
		close(ex.turn)
	}
	go ex.run()
}

// finish removes the first request, whose response has been written, and lets the next
// one go ahead.
func (co *conn) finish(ex *exchange) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.ctx.Err() != nil || len(co.queue) == 0 || co.queue[0] != ex {
		return
	}
	co.queue = co.queue[1:]
	co.started--
	select {
	case co.answered <- struct{}{}:
	default:
	}
	switch {
	case co.closing:
		co.dropQueue()
		_ = co.SetReadDeadline(co.server.config.Now().Add(lingerTimeout))
		if tc, ok := co.Conn.(interface{ CloseWrite() error }); ok {
			_ = tc.CloseWrite()
		}
	case len(co.queue) == 0 && co.stopping && co.awaiting:
		co.abort()
	case len(co.queue) == 0:
		co.setIdleDeadline()
	case co.started == 0:
		co.startLocked(co.queue[0])
	default:
		close(co.queue[0].turn)
	}
}

// dropQueue forgets the requests that have not started. The caller must hold co.mu.
func (co *conn) dropQueue() {
	for _, ex := range co.queue[co.started:] {
		co.server.memory.release(ex.held)
	}
	co.queue, co.started = nil, 0
}

// chooseClose decides whether the connection closes after the response to the first
// request. It does so if the connection is to be closed and no other request has
// started.
func (co *conn) chooseClose(wanted bool) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.stopping = co.stopping || wanted
	co.closing = co.closing || co.stopping && co.started == 1
	return co.closing
}

func isTimeout(err error) bool {
	var te interface{ Timeout() bool }
	return errors.As(err, &te) && te.Timeout()
}

// isClosed reports whether the client has closed the connection.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}

// eventOf returns the event of a head that could not be read.
func eventOf(err error) event {
	switch {
	case errors.Is(err, errHeadTooLong):
		return headTooLong
	case errors.Is(err, errHeadMemory):
		return headMemoryFull
	case isTimeout(err):
		return headTimedOut
	}
	return headMalformed
}
