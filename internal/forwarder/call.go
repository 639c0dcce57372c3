package forwarder

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/pkg/checker"
)

const (
	// maxDepth is the maximum depth of nested calls. Legitimate chains are up
	// to 14 deep; the limit stops calls that form a loop.
	maxDepth = 64
	// maxReplayBytes is the maximum size of a body that is buffered so that a
	// further attempt can send it again. Larger bodies are streamed and sent
	// once.
	maxReplayBytes = 64 << 10
	// maxKeyBytes is the maximum size of an idempotency key.
	maxKeyBytes = 256
	// errorWriteTime is the time after the deadline in which the error response
	// must be written.
	errorWriteTime = 100 * time.Millisecond
)

// call is a call as received by one node.
type call struct {
	id      string
	service checker.Service
	key     string
	resend  bool
	depth   int
	// deadline is the time by which the call must be answered.
	deadline time.Time
	// started is when the node received the call.
	started time.Time
	request *http.Request
	// header holds the headers for the next hop. The first attempt uses it
	// directly; later attempts use copies.
	header http.Header
	body   callBody
	// values is the backing storage for single-value headers, which avoids an
	// allocation for each.
	values     [8]string
	usedValues int
}

// value returns a slice that holds the header value, from ca.values if possible.
func (ca *call) value(text string) []string {
	if ca.usedValues == len(ca.values) {
		return []string{text}
	}
	ca.values[ca.usedValues] = text
	ca.usedValues++
	return ca.values[ca.usedValues-1 : ca.usedValues : ca.usedValues]
}

// parseCall parses the parts of a request that the first and the last node both
// need. The error has kind BadRequest.
func parseCall(r *http.Request, now time.Time) (*call, error) {
	if r.Method == http.MethodConnect {
		return nil, answerer.New(answerer.BadRequest, "method CONNECT is not supported")
	}
	if !cleanPath(r.URL.Path) {
		return nil, answerer.New(answerer.BadRequest,
			"the path must begin with \"/\" and have no \".\" or \"..\" segments")
	}
	ca := &call{service: serviceOf(r), started: now, request: r}
	if ca.key = r.Header.Get(headerKey); len(ca.key) > maxKeyBytes {
		return nil, answerer.New(answerer.BadRequest, "the idempotency key is over 256 bytes")
	}
	ca.resend = r.Header.Get(headerResend) == "true"
	if text := r.Header.Get(headerDepth); text != "" {
		depth, err := strconv.Atoi(text)
		if err != nil || depth < 0 || depth >= maxDepth {
			return nil, answerer.New(answerer.BadRequest,
				"the call depth is malformed or above its limit of 64")
		}
		ca.depth = depth
	}
	if text := r.Header.Get(headerTimeout); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil {
			return nil, answerer.New(answerer.BadRequest,
				"the header Guavastall-Timeout is not a duration such as \"250ms\"")
		}
		ca.deadline = now.Add(timeout)
	}
	ca.header = requestHeader(r.Header)
	return ca, nil
}

// serviceOf returns the service that the request is addressed to.
func serviceOf(r *http.Request) checker.Service {
	if name := r.Header.Get(headerService); name != "" {
		return checker.Service(name)
	}
	name := r.Host
	if end := strings.IndexAny(name, ".:"); end >= 0 {
		name = name[:end]
	}
	return checker.Service(name)
}

// cleanPath reports whether the path is absolute and has no dot segments. A
// target could resolve "/lookup/../confirm" to the path of another route, to
// which the retry rules of the matched route must not apply.
func cleanPath(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	if !strings.Contains(path, "/.") {
		return true
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

// limitTimeout limits the deadline to at most the given time after the start.
func (ca *call) limitTimeout(limit time.Duration) {
	if latest := ca.started.Add(limit); ca.deadline.IsZero() || ca.deadline.After(latest) {
		ca.deadline = latest
	}
}

// setDeadlines sets read and write deadlines on the connection to the sender, so
// that a slow or silent sender cannot block the handler. The write deadline is
// later than that of the call to leave time for the error response.
func (ca *call) setDeadlines(w http.ResponseWriter) {
	rc := http.NewResponseController(w)
	latest := ca.deadline
	if latest.Before(ca.started) {
		latest = ca.started
	}
	_ = rc.SetWriteDeadline(latest.Add(errorWriteTime))
	if ca.request.ContentLength != 0 {
		_ = rc.SetReadDeadline(latest)
	}
}

// hop describes the destination of an attempt.
type hop struct {
	to string
	// id and once are set for an attempt at another node.
	id, once string
	// number is the number of the attempt at this node, starting at 1.
	number int
	// concurrent says that another attempt may be running at the same time.
	concurrent bool
}

// outgoing builds the request of an attempt.
//
// http.Transport resends a request on its own if its body is empty or can be
// obtained again, and its method or headers mark it as idempotent. To prevent
// that, GetBody is never set, the idempotency key headers are in lower case, and
// a request of such a method without a body gets an empty, non-nil body.
func (ca *call) outgoing(ctx context.Context, ho hop, now time.Time) *http.Request {
	header, value := ca.header, ca.value
	if ho.number > 1 || ho.concurrent {
		header = maps.Clone(header)
		value = func(text string) []string { return []string{text} }
	}
	remaining := ca.deadline.Sub(now).Round(time.Microsecond)
	header[headerTimeout] = value(remaining.String())
	header[headerDepth] = value(strconv.Itoa(ca.depth))
	if ho.id != "" {
		header[headerHop] = value(ho.id)
		header[headerService] = value(string(ca.service))
	}
	if ho.once != "" {
		header[headerOnce] = value(ho.once)
	}
	address := *ca.request.URL
	address.Scheme, address.Host, address.User = "http", ho.to, nil
	req := &http.Request{
		Method: ca.request.Method, URL: &address, Host: ca.request.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header,
	}
	ca.body.attach(req)
	return req.WithContext(ctx)
}

// callBody is the body of a call. Small bodies are buffered, others streamed.
type callBody struct {
	data   []byte
	stream *limitedBody
	length int64
}

var errTooLarge = answerer.New(answerer.TooLarge, "the body is over the limit of the service")

// readBody buffers a small body and prepares a large one for streaming. The
// error has kind TooLarge, BadRequest, Cancelled or DeadlineExceeded.
func (ca *call) readBody(ctx context.Context, w http.ResponseWriter, limit int64) error {
	r := ca.request
	if r.ContentLength > limit {
		return errTooLarge
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxReplayBytes {
		// The target may respond while the body is still being sent.
		_ = http.NewResponseController(w).EnableFullDuplex()
		ca.body.stream = &limitedBody{body: r.Body, left: limit}
		ca.body.length = r.ContentLength
		return nil
	}
	ca.body.data = make([]byte, r.ContentLength)
	ca.body.length = r.ContentLength
	if _, err := io.ReadFull(r.Body, ca.body.data); err != nil {
		if ended(ctx) {
			return contextError(ctx)
		}
		return answerer.Wrap(err, answerer.BadRequest, "read the body")
	}
	// Reading up to EOF lets the server detect a disconnect of the caller.
	_, _ = r.Body.Read(make([]byte, 1))
	return nil
}

// replayable reports whether another attempt can send the body.
func (cb *callBody) replayable() bool {
	return cb.stream == nil || !cb.stream.used.Load()
}

// attach sets the body and the length of the request.
func (cb *callBody) attach(req *http.Request) {
	switch {
	case cb.stream != nil:
		req.Body, req.ContentLength = cb.stream, cb.length
	case len(cb.data) > 0:
		// With a bytes.Reader, net/http sends header and body in one write.
		req.Body = io.NopCloser(bytes.NewReader(cb.data))
		req.ContentLength = cb.length
	default:
		switch req.Method {
		case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
			// "identity" prevents net/http from probing the body for content.
			req.Body, req.TransferEncoding = emptyBody{}, []string{"identity"}
		}
	}
}

// emptyBody is an empty body other than http.NoBody.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// limitedBody is a streamed body that fails with errTooLarge beyond its limit.
type limitedBody struct {
	body io.ReadCloser
	left int64
	used atomic.Bool
	over atomic.Bool
}

func (lb *limitedBody) Read(data []byte) (int, error) {
	lb.used.Store(true)
	nn, err := lb.body.Read(data)
	if lb.left -= int64(nn); lb.left < 0 {
		lb.over.Store(true)
		return 0, errTooLarge
	}
	return nn, err
}

// Close does nothing, because the server owns and closes the request body.
func (lb *limitedBody) Close() error { return nil }

// callID returns the ID of a call from another node. The error has kind
// BadRequest.
func callID(r *http.Request) (string, error) {
	const maxBytes = 64
	id := r.Header.Get(headerHop)
	if id == "" || len(id) > maxBytes {
		return "", answerer.New(answerer.BadRequest,
			"a call between nodes needs the header Guavastall-Hop")
	}
	return id, nil
}
