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
	// maxDepth bounds chained calls. Chains are up to 14 deep; a call that goes
	// round in a loop ends here.
	maxDepth = 64
	// maxReplayBytes bounds the bodies that are held in memory so that another
	// attempt can send them again. Larger bodies are streamed and sent once.
	maxReplayBytes = 64 << 10
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 256
	// graceTime is how long after the deadline the error response may take.
	graceTime = 100 * time.Millisecond
)

// call is one call at one node.
type call struct {
	id      string
	service checker.Service
	key     string
	resend  bool
	depth   int
	// deadline is when the call must be answered.
	deadline time.Time
	// started is when the node got the call.
	started time.Time
	request *http.Request
	// header holds the headers for the next hop. The first attempt sends it,
	// the others send copies.
	header http.Header
	body   callBody
	// values holds the values of single headers, which need a slice each.
	values [8]string
	used   int
}

// value returns a header value of its own slice.
func (ca *call) value(text string) []string {
	if ca.used == len(ca.values) {
		return []string{text}
	}
	ca.values[ca.used] = text
	ca.used++
	return ca.values[ca.used-1 : ca.used : ca.used]
}

// parseCall reads what both roles need from a request. The error has kind
// BadRequest.
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

// serviceOf returns the service that the request names.
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

// cleanPath reports whether the path is absolute and free of dot segments. A
// target could resolve "/lookup/../confirm" to a path of another route, which
// must not be retried like the route that the prefix matched.
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

// limitTimeout shortens the deadline to at most the given time from the start.
func (ca *call) limitTimeout(limit time.Duration) {
	if latest := ca.started.Add(limit); ca.deadline.IsZero() || ca.deadline.After(latest) {
		ca.deadline = latest
	}
}

// setDeadlines bounds reading from and writing to the sender of the call, so
// that a slow or silent sender cannot hold the handler. Writing lasts a little
// longer than the call, for the response that says that its time ran out.
func (ca *call) setDeadlines(w http.ResponseWriter) {
	rc := http.NewResponseController(w)
	latest := ca.deadline
	if latest.Before(ca.started) {
		latest = ca.started
	}
	_ = rc.SetWriteDeadline(latest.Add(graceTime))
	if ca.request.ContentLength != 0 {
		_ = rc.SetReadDeadline(latest)
	}
}

// hop says where an attempt goes.
type hop struct {
	to string
	// id and once are set for an attempt at another node.
	id, once string
	// number counts the attempts of the call at this node, from 1.
	number int
	// shared says that another attempt may be under way at the same time.
	shared bool
}

// outgoing builds the request of an attempt.
//
// http.Transport resends a request by itself if it has no body, or a body that
// can be had again, and a method or header that it takes for idempotent. Here
// GetBody is never set, the key headers are in lower case, and a request of
// such a method without a body gets one that is empty but not nil.
func (ca *call) outgoing(ctx context.Context, ho hop, now time.Time) *http.Request {
	header, value := ca.header, ca.value
	if ho.number > 1 || ho.shared {
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

// callBody is the body of a call: small ones in memory, others as a stream.
type callBody struct {
	data   []byte
	stream *limitedBody
	length int64
}

var errTooLarge = answerer.New(answerer.TooLarge, "the body is over the limit of the service")

// readBody reads a small body into memory and prepares a large one for
// streaming. The error has kind TooLarge, BadRequest, Cancelled or
// DeadlineExceeded.
func (ca *call) readBody(ctx context.Context, w http.ResponseWriter, limit int64) error {
	r := ca.request
	if r.ContentLength > limit {
		return errTooLarge
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxReplayBytes {
		// The target may answer while the body is still under way.
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
	// Reading to the end lets the server watch for the caller's disconnect.
	_, _ = r.Body.Read(make([]byte, 1))
	return nil
}

// repeatable reports whether the body can be sent by another attempt.
func (cb *callBody) repeatable() bool {
	return cb.stream == nil || !cb.stream.used.Load()
}

// attach sets the body of a request.
func (cb *callBody) attach(req *http.Request) {
	switch {
	case cb.stream != nil:
		req.Body, req.ContentLength = cb.stream, cb.length
	case len(cb.data) > 0:
		// A plain reader lets the library send head and body in one write.
		req.Body = io.NopCloser(bytes.NewReader(cb.data))
		req.ContentLength = cb.length
	default:
		switch req.Method {
		case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
			// "identity" keeps the library from probing the body for content.
			req.Body, req.TransferEncoding = emptyBody{}, []string{"identity"}
		}
	}
}

// emptyBody is a body without content that is not http.NoBody.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// limitedBody is a streamed body that fails beyond its limit.
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

// Close does not close the request's body, which the server owns.
func (lb *limitedBody) Close() error { return nil }

// callID checks the ID of a call from another node.
func callID(r *http.Request) (string, error) {
	const maxBytes = 64
	id := r.Header.Get(headerHop)
	if id == "" || len(id) > maxBytes {
		return "", answerer.New(answerer.BadRequest,
			"a call between nodes needs the header Guavastall-Hop")
	}
	return id, nil
}
