package acceptor

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
)

const (
	// readBufferBytes is the size of a connection's read buffer. It holds a typical
	// head.
	readBufferBytes = 4 << 10
	// fieldOverheadBytes is the memory of a header field beyond its bytes: the map
	// entry, the slice of values and the string headers.
	fieldOverheadBytes = 128
	// requestOverheadBytes is the memory of a request in flight beyond its head: the
	// stack of its goroutine and the state of its handler.
	requestOverheadBytes = 8 << 10
	// maxEmptyLines bounds the empty lines before a request. RFC 9112 asks servers to
	// ignore at least one.
	maxEmptyLines = 2
)

// Errors of the head of a request.
var (
	errHeadTooLong = errors.New("the head is over the limit")
	errHeadMemory  = errors.New("no memory left for heads")
	errMalformed   = errors.New("malformed request")
)

// headMemory bounds the memory for the heads of all connections. It is safe for
// concurrent use.
type headMemory struct {
	limit int64
	used  atomic.Int64
}

// take takes memory and reports whether it was available.
func (hm *headMemory) take(size int64) bool {
	if hm.used.Add(size) > hm.limit && hm.limit > 0 {
		hm.used.Add(-size)
		return false
	}
	return true
}

func (hm *headMemory) release(size int64) { hm.used.Add(-size) }

// headReader reads from a connection. While a head is read, it counts the bytes against
// the limit of a head and takes memory for them. It is used by one goroutine at a time.
type headReader struct {
	conn    net.Conn
	memory  *headMemory
	limited bool
	// left is the number of bytes that the head may still have.
	left int
	// held is the memory taken for the current head.
	held int64
}

// Read implements [io.Reader].
func (hr *headReader) Read(data []byte) (int, error) {
	if !hr.limited {
		return hr.conn.Read(data)
	}
	if hr.left <= 0 {
		return 0, errHeadTooLong
	}
	nn, err := hr.conn.Read(data[:min(len(data), hr.left)])
	hr.left -= nn
	size := int64(nn + fieldOverheadBytes*bytes.Count(data[:nn], []byte{'\n'}))
	if !hr.memory.take(size) {
		return 0, errHeadMemory
	}
	hr.held += size
	return nn, err
}

// begin starts to count the bytes of a head.
func (hr *headReader) begin(limit int) { hr.limited, hr.left = true, limit }

// end stops counting and returns the memory held for the head. The caller releases it.
func (hr *headReader) end() int64 {
	held := hr.held
	hr.limited, hr.held = false, 0
	return held
}

// checkRequest returns an error for a request that http.ReadRequest accepts and
// [http.Server] does not.
func checkRequest(r *http.Request) error {
	if r.ProtoMajor != 1 || r.ProtoAtLeast(1, 1) && r.Host == "" {
		return errMalformed
	}
	if !validValue(r.Host) {
		return errMalformed
	}
	for _, values := range r.Header {
		for _, value := range values {
			if !validValue(value) {
				return errMalformed
			}
		}
	}
	return nil
}

// validValue reports whether a header value has no control characters but tabs.
func validValue(value string) bool {
	for nn := range len(value) {
		if ch := value[nn]; ch < ' ' && ch != '\t' || ch == 0x7f {
			return false
		}
	}
	return true
}

// statusOf returns the status of the response to a head that could not be read, or zero
// if there is none to send. All of them say that the request has not run.
func statusOf(err error) int {
	var te interface{ Timeout() bool }
	switch {
	case errors.Is(err, errHeadTooLong):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errHeadMemory):
		return http.StatusServiceUnavailable
	case errors.As(err, &te) && te.Timeout():
		return http.StatusRequestTimeout
	case isClosed(err):
		return 0
	}
	return http.StatusBadRequest
}
