package acceptor

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
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
	// body is the body of the request; nil if it has none.
	body *bodyReader
	// turn is closed when all earlier responses have been written.
	turn chan struct{}
	// ended is closed when the handler has returned.
	ended chan struct{}

	header http.Header
	status int
	// sent is true once the head of the response has been written, and failed if the
	// response cannot be completed.
	sent, failed bool
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
		ex.body = &bodyReader{
			exchange: ex, from: rq.Body, done: make(chan struct{}),
			expectContinue: strings.EqualFold(rq.Header.Get("Expect"), "100-continue"),
		}
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
// unanswered. A body can be read only when all earlier requests have been read.
func (ex *exchange) mayRunConcurrently() bool {
	if ex.rejection != 0 {
		return true
	}
	concurrent := ex.conn.server.config.Concurrent
	return ex.body == nil && concurrent != nil && concurrent(ex.request)
}

// awaitBody waits until the request's body has been read and reports whether the
// connection is then at the next request.
func (ex *exchange) awaitBody() bool {
	if ex.body == nil {
		return true
	}
	select {
	case <-ex.body.done:
	case <-ex.ended:
	case <-ex.conn.ctx.Done():
	}
	return ex.body.complete()
}

// run handles the request and completes its response.
func (ex *exchange) run() {
	co := ex.conn
	defer co.handlers.Done()
	defer close(ex.ended)
	defer co.server.memory.release(ex.held)
	defer ex.cancel()
	if !ex.handle() || !ex.complete() {
		co.abort()
		return
	}
	co.finish(ex)
}

// handle calls the handler. It returns false if the handler panicked.
func (ex *exchange) handle() (ok bool) {
	if ex.rejection != 0 {
		if ex.rejection == http.StatusServiceUnavailable {
			ex.header.Set("Retry-After", "1")
		}
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
	if ex.failed {
		return false
	}
	if ex.sent {
		return true
	}
	ex.WriteHeader(http.StatusOK)
	body := ex.pending.Bytes()
	if ex.bodyAllowed() && ex.header["Content-Length"] == nil {
		ex.header["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	return ex.send(body) == nil
}

// Header implements [http.ResponseWriter].
func (ex *exchange) Header() http.Header { return ex.header }

// WriteHeader implements [http.ResponseWriter].
func (ex *exchange) WriteHeader(status int) {
	if ex.status == 0 {
		ex.status = status
	}
}

// Write implements [http.ResponseWriter]. It returns when the client's connection has
// taken the data, after all earlier responses. A response without a Content-Length is
// kept until the handler returns.
func (ex *exchange) Write(data []byte) (int, error) {
	ex.WriteHeader(http.StatusOK)
	if !ex.bodyAllowed() {
		return 0, http.ErrBodyNotAllowed
	}
	if ex.header["Content-Length"] == nil {
		return ex.pending.Write(data)
	}
	if err := ex.send(data); err != nil {
		return 0, err
	}
	return len(data), nil
}

func (ex *exchange) bodyAllowed() bool {
	return ex.status >= 200 && ex.status != http.StatusNoContent &&
		ex.status != http.StatusNotModified &&
		(ex.request == nil || ex.request.Method != http.MethodHead)
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
	select {
	case <-ex.turn:
	case <-ex.conn.ctx.Done():
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
		if isTimeout(err) {
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
	_, err := ex.conn.Conn.Write(data)
	return err
}

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
	for name, values := range ex.header {
		if name == "Connection" {
			continue
		}
		for _, value := range values {
			bu.WriteString(name)
			bu.WriteString(": ")
			bu.WriteString(value)
			bu.WriteString("\r\n")
		}
	}
	if ex.rejection != 0 {
		bu.WriteString("Content-Length: 0\r\n")
	}
	if ex.conn.chooseClose(wanted) {
		bu.WriteString("Connection: close\r\n")
	}
	bu.WriteString("\r\n")
}

// bodyReader is the body of a request. It tells the connection when it has been read.
type bodyReader struct {
	exchange       *exchange
	from           io.ReadCloser
	expectContinue bool
	// done is closed at the end of the body or an error; whole is then true if the end
	// was reached.
	done  chan struct{}
	whole bool
	once  sync.Once
}

// Read implements [io.Reader].
func (br *bodyReader) Read(data []byte) (int, error) {
	switch {
	case br.complete():
		return 0, io.EOF
	case br.ended():
		return 0, io.ErrUnexpectedEOF
	}
	if br.expectContinue {
		br.expectContinue = false
		if err := br.exchange.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, err
		}
	}
	nn, err := br.from.Read(data)
	if err != nil {
		br.once.Do(func() {
			br.whole = errors.Is(err, io.EOF)
			close(br.done)
		})
	}
	return nn, err
}

// Close implements [io.Closer]. What has not been read is left to the connection.
func (br *bodyReader) Close() error { return nil }

func (br *bodyReader) ended() bool {
	select {
	case <-br.done:
		return true
	default:
		return false
	}
}

// complete reports whether the body has been read to its end.
func (br *bodyReader) complete() bool { return br.ended() && br.whole }
