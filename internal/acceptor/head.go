package acceptor

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"

	"github.com/guavastall/guavastall/internal/reserver"
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
	// maxEmptyBytes bounds the bytes of empty lines before a request. RFC 9112 asks
	// servers to ignore at least one line.
	maxEmptyBytes = 4
)

// Errors of the head of a request.
var (
	errHeadTooLong = errors.New("the head is over the limit")
	errHeadMemory  = errors.New("no memory left for heads")
	errMalformed   = errors.New("malformed request")
)

// headReader reads from a connection. While a head is read, it counts the bytes against
// the limit of a head and takes memory for them. It is used by one goroutine at a time.
type headReader struct {
	conn    net.Conn
	memory  *reserver.Memory
	limited bool
	// err is the error that ended the head. A later read must not continue behind it:
	// http.ReadRequest takes the part of a line before an error for a line.
	err error
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
	if hr.left <= 0 && hr.err == nil {
		hr.err = errHeadTooLong
	}
	if hr.err != nil {
		return 0, hr.err
	}
	nn, err := hr.conn.Read(data[:min(len(data), hr.left)])
	if hr.err = hr.count(data[:nn]); hr.err != nil {
		return 0, hr.err
	}
	hr.err = err
	return nn, err
}

// count counts bytes of the head and takes memory for them.
func (hr *headReader) count(data []byte) error {
	hr.left -= len(data)
	size := headCost(data)
	if !hr.memory.Take(size) {
		return errHeadMemory
	}
	hr.held += size
	return nil
}

// headCost returns the memory for a part of a head.
func headCost(data []byte) int64 {
	return int64(len(data) + fieldOverheadBytes*bytes.Count(data, []byte{'\n'}))
}

// begin starts to count the bytes of a head. The buffered bytes were read together with
// the previous request.
func (hr *headReader) begin(limit int, buffered []byte) error {
	hr.limited, hr.left = true, limit
	hr.err = hr.count(buffered)
	return hr.err
}

// end stops counting and returns the memory held for the head, without the rest of the
// bytes that follow it. The caller releases it.
func (hr *headReader) end(rest []byte) int64 {
	if !hr.limited {
		return 0
	}
	hr.limited = false
	held := hr.held
	hr.held = 0
	excess := min(headCost(rest), held)
	hr.memory.Release(excess)
	return held - excess
}

// checkRequest returns an error for a request that http.ReadRequest accepts and
// [http.Server] does not.
func checkRequest(r *http.Request) error {
	if r.ProtoMajor != 1 || r.ProtoAtLeast(1, 1) && r.Host == "" || !validHost(r.Host) {
		return errMalformed
	}
	for name, values := range r.Header {
		if !validName(name) {
			return errMalformed
		}
		for _, value := range values {
			if !validValue(value) {
				return errMalformed
			}
		}
	}
	return nil
}

// validName reports whether a header name is a token. http.ReadRequest accepts names
// with spaces, as in "Content-Length : 5", which other servers read as another name.
func validName(name string) bool {
	for nn := range len(name) {
		if !isAlphanumeric(name[nn]) && strings.IndexByte("!#$%&'*+-.^_`|~", name[nn]) < 0 {
			return false
		}
	}
	return name != ""
}

// validHost reports whether a host has only the characters of hosts and ports.
func validHost(host string) bool {
	for nn := range len(host) {
		if !isAlphanumeric(host[nn]) && strings.IndexByte("!$%&'()*+,-.:;=[]_~", host[nn]) < 0 {
			return false
		}
	}
	return true
}

func isAlphanumeric(ch byte) bool {
	return '0' <= ch && ch <= '9' || 'a' <= ch && ch <= 'z' || 'A' <= ch && ch <= 'Z'
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
	switch {
	case errors.Is(err, errHeadTooLong):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errHeadMemory):
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case isClosed(err):
		return 0
	}
	return http.StatusBadRequest
}

// eventOf returns the event of a head that could not be read.
func eventOf(err error) event {
	switch {
	case errors.Is(err, errHeadTooLong):
		return headTooLong
	case errors.Is(err, errHeadMemory):
		return headMemoryFull
	case errors.Is(err, os.ErrDeadlineExceeded):
		return headTimedOut
	}
	return headMalformed
}
