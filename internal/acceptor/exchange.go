package acceptor

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// joinBytes is the size up to which a body is written together with its head.
	joinBytes = 16 << 10
	// partBytes is the size of the parts of a longer body. A client has WriteTimeout
	// to accept each.
	partBytes = 64 << 10
)

// exchange is a request and its response. It is the http.ResponseWriter of its handler.
type exchange struct {
	conn    *conn
	request *http.Request
	cancel  context.CancelFunc
	// held is the memory taken for the head.
	held int64
	// rejection is the status of the response to a head that could not be read.
	rejection int
	// last is true if no request may follow.
	last bool
	// concurrent is true if the request may run while an earlier one is unanswered.
	concurrent bool
	// body is the body of the request; nil if it has none.
	body *bodyReader
	// turn is closed when all earlier responses have been written.
	turn chan struct{}
	// ended is closed when the handler has returned, or will not be called.
	ended chan struct{}

	header http.Header
	status int
	// sent is true once the head of the response has been written, and failed if the
	// response cannot be completed.
	sent, failed bool
	// length is the length of the body, or negative if the handler has not set it, and
	// written the number of its bytes that have been written.
	length, written int64
	// pending holds a body whose length the handler has not set.
	pending bytes.Buffer
}

func newExchange(co *conn, rq *http.Request, held int64) *exchange {
	ctx, cancel := context.WithCancel(co.ctx)
	ex := &exchange{
		conn: co, cancel: cancel, held: held, turn: make(chan struct{}),
		ended: make(chan struct{}), header: http.Header{},
		last: rq.Close || !rq.ProtoAtLeast(1, 1),
	}
	ex.request = rq.WithContext(ctx)
	if rq.Body != nil && rq.Body != http.NoBody {
		ex.body = newBodyReader(ex, rq)
		ex.request.Body = ex.body
	}
	return ex
}

// newRejection returns the exchange of a head that could not be read.
func newRejection(co *conn, status int) *exchange {
	return &exchange{
		conn: co, cancel: func() {}, rejection: status, last: true,
		turn: make(chan struct{}), ended: make(chan struct{}), header: http.Header{},
	}
}

// mayRunConcurrently reports whether the request may run while an earlier one is
// unanswered. A request that expects 100 Continue waits for its turn to write it.
func (ex *exchange) mayRunConcurrently() bool {
	if ex.rejection != 0 {
		return true
	}
	if ex.body != nil && ex.body.expectContinue {
		return false
	}
	concurrent := ex.conn.server.config.Concurrent
	return concurrent != nil && concurrent(ex.request)
}

// run handles the request and completes its response.
func (ex *exchange) run() {
	co := ex.conn
	defer co.handlers.Done()
	defer co.server.memory.Release(ex.held)
	defer ex.cancel()
	ok := ex.handle()
	close(ex.ended)
	if ok && ex.complete() {
		co.finish(ex)
		return
	}
	ex.awaitTurn() // the responses to earlier requests are completed
	co.abort()
}

// awaitTurn waits until all earlier responses have been written and returns false if
// the connection ends before. A client that has only closed its side still gets the
// response.
func (ex *exchange) awaitTurn() bool {
	select {
	case <-ex.turn:
		return true
	default:
	}
	select {
	case <-ex.turn:
		return true
	case <-ex.conn.ctx.Done():
		return false
	}
}

// handle calls the handler. It returns false if the handler panicked.
func (ex *exchange) handle() (ok bool) {
	if ex.rejection != 0 {
		if ex.rejection == http.StatusServiceUnavailable {
			ex.header.Set("Retry-After", "1")
		}
		ex.header.Set("Content-Length", "0")
		ex.WriteHeader(ex.rejection)
		return true
	}
	defer func() {
		if cause := recover(); cause != nil {
			ok = false
			if cause != http.ErrAbortHandler { //nolint:errorlint // the value itself is thrown
				ex.conn.server.config.Log.WithField("panic", cause).
					WithField("stack", string(debug.Stack())).Error("handler")
			}
		}
	}()
	ex.conn.server.handler.ServeHTTP(ex, ex.request)
	return true
}

// complete sends what the handler has not sent. It returns false if the response is not
// complete.
func (ex *exchange) complete() bool {
	ex.WriteHeader(http.StatusOK)
	if !ex.failed && !ex.sent {
		body := ex.pending.Bytes()
		if ex.bodyAllowed() && ex.length < 0 {
			ex.length = int64(len(body))
			ex.header["Content-Length"] = []string{strconv.Itoa(len(body))}
		}
		ex.written += int64(len(body))
		_ = ex.send(body)
	}
	return !ex.failed && (ex.written == ex.length || !ex.bodyAllowed())
}

// Header implements [http.ResponseWriter].
func (ex *exchange) Header() http.Header { return ex.header }

// WriteHeader implements [http.ResponseWriter]. It ignores interim responses.
func (ex *exchange) WriteHeader(status int) {
	if ex.status != 0 || status < http.StatusOK {
		return
	}
	ex.status = status
	values := ex.header["Content-Length"]
	length, err := int64(-1), error(nil)
	if len(values) == 1 {
		length, err = strconv.ParseInt(values[0], 10, 64)
	}
	if len(values) > 1 || err != nil || len(values) == 1 && length < 0 {
		delete(ex.header, "Content-Length")
		length = -1
	}
	ex.length = length
}

// Write implements [http.ResponseWriter]. It returns when the client's connection has
// taken the data, after all earlier responses. A response without a Content-Length is
// kept until the handler returns.
func (ex *exchange) Write(data []byte) (int, error) {
	ex.WriteHeader(http.StatusOK)
	switch {
	case !statusAllowsBody(ex.status):
		return 0, http.ErrBodyNotAllowed
	case !ex.bodyAllowed():
		return len(data), nil // the body of the response to a HEAD request
	case ex.length < 0:
		return ex.pending.Write(data)
	case ex.written+int64(len(data)) > ex.length:
		return 0, http.ErrContentLength
	}
	ex.written += int64(len(data))
	if err := ex.send(data); err != nil {
		return 0, err
	}
	return len(data), nil
}

func (ex *exchange) bodyAllowed() bool {
	return statusAllowsBody(ex.status) &&
		(ex.request == nil || ex.request.Method != http.MethodHead)
}

func statusAllowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// SetReadDeadline bounds the time to read the request's body. It is called through
// [http.ResponseController].
func (ex *exchange) SetReadDeadline(at time.Time) error {
	if ex.body == nil || ex.body.ended() {
		return nil // the connection is waiting for the next request
	}
	return ex.conn.SetReadDeadline(at)
}

var errConnEnded = errors.New("the connection has ended")

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// send writes data, and before the first data the head of the response.
func (ex *exchange) send(data []byte) error {
	if ex.failed {
		return errConnEnded
	}
	if !ex.awaitTurn() {
		ex.failed = true
		return errConnEnded
	}
	bu := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(bu)
	bu.Reset()
	if !ex.sent {
		ex.sent = true
		ex.encodeHead(bu)
		if len(data) <= joinBytes {
			bu.Write(data)
			data = nil
		}
	}
	err := ex.write(bu.Bytes())
	for len(data) > 0 && err == nil {
		part := data[:min(len(data), partBytes)]
		data = data[len(part):]
		err = ex.write(part)
	}
	if err != nil {
		ex.failed = true
		if errors.Is(err, os.ErrDeadlineExceeded) {
			ex.conn.server.events.record(responseNotRead)
		}
	}
	return err
}

func (ex *exchange) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	cf := &ex.conn.server.config
	_ = ex.conn.SetWriteDeadline(cf.Now().Add(cf.WriteTimeout))
	_, err := ex.conn.Write(data)
	return err
}

// The headers that are not taken from the handler, in responses with and without a body.
// The server itself frames the messages of the connection.
var (
	bodyExcluded = map[string]bool{
		"Connection": true, "Transfer-Encoding": true, "Trailer": true,
	}
	noBodyExcluded = map[string]bool{
		"Connection": true, "Transfer-Encoding": true, "Trailer": true,
		"Content-Length": true, "Content-Type": true,
	}
)

// encodeHead encodes the head of the response. The last response of a connection, and
// no other, closes it.
func (ex *exchange) encodeHead(bu *bytes.Buffer) {
	wanted := ex.last || ex.body != nil && !ex.body.complete()
	for _, value := range ex.header["Connection"] {
		wanted = wanted || strings.EqualFold(value, "close")
	}
	bu.WriteString("HTTP/1.1 ")
	bu.WriteString(strconv.Itoa(ex.status))
	bu.WriteByte(' ')
	bu.WriteString(http.StatusText(ex.status))
	bu.WriteString("\r\n")
	excluded := bodyExcluded
	if !statusAllowsBody(ex.status) {
		excluded = noBodyExcluded
	}
	_ = ex.header.WriteSubset(bu, excluded)
	if ex.conn.chooseClose(wanted) {
		bu.WriteString("Connection: close\r\n")
	}
	bu.WriteString("\r\n")
}
