package carrier

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// peerDialTimeout bounds the dial of another node, which normally takes a few
	// milliseconds.
	peerDialTimeout = 400 * time.Millisecond
	// targetDialTimeout bounds the dial of the target, which is on the same VM.
	targetDialTimeout = 250 * time.Millisecond
	// targetMaxIdle is how long a connection to the target may be idle and still
	// be reused. Targets drop idle connections after as little as 300 ms; a new
	// one takes about 1 ms to open.
	targetMaxIdle = 200 * time.Millisecond
	// peerMaxIdle is the same limit for other nodes, which keep connections
	// longer.
	peerMaxIdle = 20 * time.Second
	// unackedTimeout bounds how long sent data may remain unacknowledged.
	unackedTimeout = 700 * time.Millisecond
	// maxMismatchedResponses bounds the responses to earlier requests that are
	// skipped in one exchange.
	maxMismatchedResponses = 3
	// maxResponseBytes bounds a response body. Bodies are held in memory so that
	// an incomplete one is never forwarded.
	maxResponseBytes = 16 << 20
	// maxResponseHeadBytes bounds the header of a response together with the
	// informational responses before it.
	maxResponseHeadBytes = 64 << 10
	// readBufferBytes is large enough for a typical response header.
	readBufferBytes = 4 << 10
)

// persistConn is a connection to the target or to another node.
type persistConn struct {
	net.Conn
	head     headLimiter
	reader   *bufio.Reader
	lastUsed time.Time
	fresh    bool
}

// pool keeps the idle connections to one address and reuses the most recently
// used one first. It is safe for concurrent use.
type pool struct {
	address string
	dialer  net.Dialer
	maxIdle time.Duration
	// count, if set, is called with the bytes of each request.
	count func(bytes int)

	mu   sync.Mutex
	idle []*persistConn
}

func newPool(to netip.AddrPort, dialTimeout time.Duration) *pool {
	return &pool{
		address: to.String(), maxIdle: peerMaxIdle,
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2,
			},
			Control: func(_, _ string, rc syscall.RawConn) error {
				var err error
				cerr := rc.Control(func(fd uintptr) {
					err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP,
						unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
				})
				return errors.Join(cerr, err)
			},
		},
	}
}

// errDial marks a failure to open a connection.
var errDial = errors.New("connect")

// get returns an idle connection or dials a new one.
func (po *pool) get(ctx context.Context, now time.Time) (*persistConn, error) {
	for {
		pc := po.pop()
		if pc == nil {
			break
		}
		if now.Sub(pc.lastUsed) <= po.maxIdle && pc.hasNoPendingData() {
			pc.fresh = false
			return pc, nil
		}
		_ = pc.Close()
	}
	nc, err := po.dialer.DialContext(ctx, "tcp", po.address)
	if err != nil {
		return nil, errors.Join(errDial, err)
	}
	pc := &persistConn{Conn: nc, head: headLimiter{conn: nc}, fresh: true}
	pc.reader = bufio.NewReaderSize(&pc.head, readBufferBytes)
	return pc, nil
}

// errHeadTooLong is returned if a response's header exceeds maxResponseHeadBytes.
var errHeadTooLong = errors.New("the response header is too long")

// headLimiter reads from a connection. While a header is read, it fails after
// maxResponseHeadBytes, because a faulty target may send header bytes without end.
type headLimiter struct {
	conn    net.Conn
	limited bool
	left    int
}

// Read implements [io.Reader].
func (hl *headLimiter) Read(data []byte) (int, error) {
	if !hl.limited {
		return hl.conn.Read(data)
	}
	if hl.left <= 0 {
		return 0, errHeadTooLong
	}
	nn, err := hl.conn.Read(data[:min(len(data), hl.left)])
	hl.left -= nn
	return nn, err
}

func (po *pool) pop() *persistConn {
	po.mu.Lock()
	defer po.mu.Unlock()
	if len(po.idle) == 0 {
		return nil
	}
	pc := po.idle[len(po.idle)-1]
	po.idle = po.idle[:len(po.idle)-1]
	return pc
}

func (po *pool) put(pc *persistConn, now time.Time) {
	pc.lastUsed = now
	po.mu.Lock()
	po.idle = append(po.idle, pc)
	po.mu.Unlock()
}

// closeExpired closes the connections that have been idle for longer than
// maxIdle.
func (po *pool) closeExpired(now time.Time) {
	po.mu.Lock()
	defer po.mu.Unlock()
	kept := po.idle[:0]
	for _, pc := range po.idle {
		if now.Sub(pc.lastUsed) > po.maxIdle {
			_ = pc.Close()
			continue
		}
		kept = append(kept, pc)
	}
	clear(po.idle[len(kept):])
	po.idle = kept
}

// closeIdle closes all idle connections.
func (po *pool) closeIdle() {
	po.mu.Lock()
	defer po.mu.Unlock()
	for _, pc := range po.idle {
		_ = pc.Close()
	}
	po.idle = nil
}

// hasNoPendingData reports whether nothing has arrived on an idle connection,
// neither EOF nor data. Such data would belong to no request.
func (pc *persistConn) hasNoPendingData() bool {
	if pc.reader.Buffered() > 0 {
		return false
	}
	sc, ok := pc.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	var buf [1]byte
	err = rc.Read(func(fd uintptr) bool {
		_, _, rerr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = errors.Is(rerr, unix.EAGAIN)
		return true
	})
	return err == nil && noData
}

// response is a complete response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// exchange is one request and its response on one connection.
type exchange struct {
	id     string
	method string
	uri    string
	host   string
	header http.Header
	extra  [][2]string
	body   []byte
	// idHeader is the header in which a response repeats the ID.
	idHeader string
	// beforeSend, if set, is called just before the request is written.
	beforeSend func()
	// deadline bounds the wait for the response.
	deadline time.Time
	// lease bounds the memory for the response's body.
	lease *lease
}

// errMismatchedResponse is returned for a response that belongs to another
// request.
var errMismatchedResponse = errors.New("the response belongs to another request")

// send performs the exchange. The boolean result reports whether any byte may
// have been sent; if not, the request cannot have run.
func (po *pool) send(ctx context.Context, ex *exchange, now func() time.Time) (
	*response, bool, error,
) {
	pc, err := po.get(ctx, now())
	if err != nil {
		return nil, false, err
	}
	_ = pc.SetDeadline(ex.deadline)
	stop := context.AfterFunc(ctx, func() { _ = pc.SetDeadline(time.Unix(1, 0)) })
	re, reusable, sent, err := pc.exchange(ex, po.count)
	if !stop() || !reusable || err != nil {
		_ = pc.Close()
	} else {
		po.put(pc, now())
	}
	return re, sent, err
}

var writeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func (pc *persistConn) exchange(
	ex *exchange, count func(bytes int),
) (re *response, reusable, sent bool, err error) {
	bu := writeBuffers.Get().(*bytes.Buffer)
	defer writeBuffers.Put(bu)
	bu.Reset()
	ex.encode(bu)
	if ex.beforeSend != nil {
		ex.beforeSend()
	}
	if count != nil {
		count(bu.Len())
	}
	nn, err := pc.Write(bu.Bytes())
	if err != nil {
		return nil, false, nn > 0, fmt.Errorf("write request: %w", err)
	}
	for mismatched := 0; ; mismatched++ {
		re, reusable, err = pc.receive(ex)
		if !errors.Is(err, errMismatchedResponse) || mismatched == maxMismatchedResponses {
			return re, reusable && mismatched == 0, true, err
		}
	}
}

// receive reads one response and reports whether the connection can be reused.
func (pc *persistConn) receive(ex *exchange) (*response, bool, error) {
	hr, err := pc.readHead(ex.method) //nolint:bodyclose // see below
	if err != nil {
		return nil, false, fmt.Errorf("read response header: %w", err)
	}
	// The body is not closed, because Close reads it to its end, which may never
	// come. It holds no resource but the connection.
	body, err := readBody(hr, ex.lease)
	if err != nil {
		return nil, false, fmt.Errorf("read response body: %w", err)
	}
	if hr.Header.Get(ex.idHeader) != ex.id {
		return nil, false, errMismatchedResponse
	}
	framed := hr.ContentLength >= 0 || len(hr.TransferEncoding) > 0
	reusable := framed && !hr.Close && pc.reader.Buffered() == 0
	return &response{status: hr.StatusCode, header: hr.Header, body: body}, reusable, nil
}

// readHead reads the header of the final response. It skips informational
// responses.
func (pc *persistConn) readHead(method string) (*http.Response, error) {
	pc.head.limited, pc.head.left = true, maxResponseHeadBytes
	defer func() { pc.head.limited = false }()
	for {
		hr, err := http.ReadResponse(pc.reader, &http.Request{Method: method})
		if err != nil || hr.StatusCode >= http.StatusOK {
			return hr, err
		}
		_ = hr.Body.Close()
	}
}

var errBodyTooLong = errors.New("response body exceeds 16 MiB")

func readBody(hr *http.Response, le *lease) ([]byte, error) {
	switch {
	case hr.ContentLength == 0:
		return nil, nil
	case hr.ContentLength > maxResponseBytes:
		return nil, errBodyTooLong
	case hr.ContentLength > 0 && hr.Request.Method != http.MethodHead:
		return le.readExact(hr.Body, hr.ContentLength)
	}
	return le.readBounded(hr.Body, maxResponseBytes, errBodyTooLong)
}

func (ex *exchange) encode(bu *bytes.Buffer) {
	bu.WriteString(ex.method)
	bu.WriteByte(' ')
	bu.WriteString(ex.uri)
	bu.WriteString(" HTTP/1.1\r\nHost: ")
	bu.WriteString(ex.host)
	bu.WriteString("\r\n")
	for name, values := range ex.header {
		for _, value := range values {
			writeHeader(bu, name, value)
		}
	}
	for _, pair := range ex.extra {
		writeHeader(bu, pair[0], pair[1])
	}
	if len(ex.body) > 0 || ex.method == http.MethodPost || ex.method == http.MethodPut {
		fmt.Fprintf(bu, "Content-Length: %d\r\n", len(ex.body))
	}
	bu.WriteString("\r\n")
	bu.Write(ex.body)
}

func writeHeader(bu *bytes.Buffer, name, value string) {
	bu.WriteString(name)
	bu.WriteString(": ")
	bu.WriteString(value)
	bu.WriteString("\r\n")
}
