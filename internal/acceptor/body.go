package acceptor

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
)

// bodyReader is the body of a request. It signals the connection when it has been read.
type bodyReader struct {
	exchange       *exchange
	from           io.ReadCloser
	expectContinue bool
	// done is closed at the end of the body or an error; err is then io.EOF or that
	// error.
	done chan struct{}
	err  error
	once sync.Once
}

func newBodyReader(ex *exchange, rq *http.Request) *bodyReader {
	return &bodyReader{
		exchange: ex, from: rq.Body, done: make(chan struct{}),
		expectContinue: rq.ProtoAtLeast(1, 1) &&
			strings.EqualFold(rq.Header.Get("Expect"), "100-continue"),
	}
}

// Read implements [io.Reader].
func (br *bodyReader) Read(data []byte) (int, error) {
	switch {
	case br.complete():
		return 0, io.EOF
	case br.ended():
		return 0, io.ErrUnexpectedEOF
	}
	if br.expectContinue && !br.exchange.sent {
		br.expectContinue = false
		if err := br.exchange.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, err
		}
	}
	nn, err := br.from.Read(data)
	if err != nil {
		br.once.Do(func() {
			br.err = err
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
func (br *bodyReader) complete() bool { return br.ended() && errors.Is(br.err, io.EOF) }

// awaitBody waits until the request's body has been read and reports whether the
// connection is then at the next request. If the client has closed the connection
// within the body, the requests in flight are cancelled.
func (ex *exchange) awaitBody() bool {
	if ex.body == nil {
		return true
	}
	select {
	case <-ex.body.done:
	case <-ex.ended:
	case <-ex.conn.ctx.Done():
	}
	if ex.body.ended() && !ex.body.complete() && isClosed(ex.body.err) {
		ex.conn.cancel()
	}
	return ex.body.complete()
}
