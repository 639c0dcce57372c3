package acceptor

import "github.com/guavastall/guavastall/internal/connlimiter"

// enqueue adds a request to the queue and starts it if it may run now. It returns false
// if the connection accepts no further request; the client sends it again.
func (co *conn) enqueue(ex *exchange) bool {
	ex.concurrent = ex.mayRunConcurrently()
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.closing || co.ctx.Err() != nil || co.stopping && len(co.queue) > 0 {
		return false
	}
	if len(co.queue) == 0 && !connlimiter.BeginRequest(co.Conn) {
		return false
	}
	co.heads++
	co.queue = append(co.queue, ex)
	if len(co.queue) > 1 && ex.rejection == 0 {
		co.server.events.record(requestPipelined)
	}
	co.startLocked()
	return true
}

// startLocked starts the requests that may run now. They start in the order of the
// queue, so that all that have started can be answered even if those behind them are
// dropped. The caller must hold co.mu.
func (co *conn) startLocked() {
	for co.started < len(co.queue) {
		ex := co.queue[co.started]
		if co.started > 0 && (!ex.concurrent || co.stopping) {
			return
		}
		co.started++
		co.handlers.Add(1)
		if co.started == 1 {
			close(ex.turn)
		}
		go ex.run()
	}
}

// finish removes the first request, whose response has been written, and lets the next
// one go ahead.
func (co *conn) finish(ex *exchange) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.ctx.Err() != nil || len(co.queue) == 0 || co.queue[0] != ex {
		return
	}
	co.queue[0] = nil
	co.queue = co.queue[1:]
	co.started--
	select {
	case co.answered <- struct{}{}:
	default:
	}
	switch {
	case co.closing, co.draining && len(co.queue) == 0:
		co.endLocked()
	case len(co.queue) == 0 && co.stopping && co.awaiting:
		co.closing = true
		co.abort()
	case len(co.queue) == 0:
		co.setIdleDeadline()
	default:
		if co.started > 0 {
			close(co.queue[0].turn)
		}
		co.startLocked()
	}
	if len(co.queue) == 0 {
		connlimiter.EndRequest(co.Conn)
	}
}

// endLocked ends the connection after its last response. The caller must hold co.mu.
func (co *conn) endLocked() {
	co.closing = true
	co.dropQueue()
	_ = co.SetReadDeadline(co.server.config.Now().Add(lingerTimeout))
	if tc, ok := co.Conn.(interface{ CloseWrite() error }); ok {
		_ = tc.CloseWrite()
	}
}

// dropQueue forgets the requests that have not started. The caller must hold co.mu.
func (co *conn) dropQueue() {
	for _, ex := range co.queue[co.started:] {
		co.server.memory.Release(ex.held)
		ex.cancel()
		close(ex.ended)
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
