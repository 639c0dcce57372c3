package carrier

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// peerDialTimeout bounds opening a connection to another node, which takes
	// some milliseconds.
	peerDialTimeout = 400 * time.Millisecond
	// targetDialTimeout bounds opening a connection on the same VM.
	targetDialTimeout = 250 * time.Millisecond
	// maxIdle is how long a connection may rest before it is used again. Targets
	// forget connections after as little as 300 ms; a new one takes about 1 ms.
	maxIdle = 200 * time.Millisecond
	// peerMaxIdle is the same for other nodes, which keep connections longer.
	peerMaxIdle = 20 * time.Second
	// unackedTimeout is how long sent bytes may stay without acknowledgement.
	unackedTimeout = 700 * time.Millisecond
	// maxStrays bounds the responses to earlier requests that are skipped.
	maxStrays = 3
	// maxResponseBytes bounds a response's body, which is held in memory so that
	// an incomplete one is never passed on.
	maxResponseBytes = 16 << 20
	// readBufferBytes holds the head of a usual response.
	readBufferBytes = 4 << 10
)

// link is a connection to a target or a node.
type link struct {
	net.Conn
	reader *bufio.Reader
	used   time.Time
	fresh  bool
}

// pool keeps the idle connections to one address. The last one used is used
// first. It is safe for concurrent use.
type pool struct {
	address string
	dialer  net.Dialer
	maxIdle time.Duration

	mu   sync.Mutex
	idle []*link
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

// errDial marks a connection that could not be opened.
var errDial = errors.New("connect")

// get returns an idle connection or opens one.
func (po *pool) get(ctx context.Context, now time.Time) (*link, error) {
	for {
		li := po.pop()
		if li == nil {
			break
		}
		if now.Sub(li.used) <= po.maxIdle && li.quiet() {
			li.fresh = false
			return li, nil
		}
		_ = li.Close()
	}
	nc, err := po.dialer.DialContext(ctx, "tcp", po.address)
	if err != nil {
		return nil, errors.Join(errDial, err)
	}
	return &link{Conn: nc, reader: bufio.NewReaderSize(nc, readBufferBytes), fresh: true}, nil
}

func (po *pool) pop() *link {
	po.mu.Lock()
	defer po.mu.Unlock()
	if len(po.idle) == 0 {
		return nil
	}
	li := po.idle[len(po.idle)-1]
	po.idle = po.idle[:len(po.idle)-1]
	return li
}

func (po *pool) put(li *link, now time.Time) {
	li.used = now
	po.mu.Lock()
	po.idle = append(po.idle, li)
	po.mu.Unlock()
}

// sweep closes the connections that would not be used again.
func (po *pool) sweep(now time.Time) {
	po.mu.Lock()
	defer po.mu.Unlock()
	kept := po.idle[:0]
	for _, li := range po.idle {
		if now.Sub(li.used) > po.maxIdle {
			_ = li.Close()
			continue
		}
		kept = append(kept, li)
	}
	clear(po.idle[len(kept):])
	po.idle = kept
}

// drop closes all idle connections.
func (po *pool) drop() {
	po.mu.Lock()
	defer po.mu.Unlock()
	for _, li := range po.idle {
		_ = li.Close()
	}
	po.idle = nil
}

// quiet reports whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no request.
func (li *link) quiet() bool {
	if li.reader.Buffered() > 0 {
		return false
	}
	sc, ok := li.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var room [1]byte
	err = rc.Read(func(fd uintptr) bool {
		_, _, rerr := unix.Recvfrom(int(fd), room[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(rerr, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// response is a complete response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// exchange is one request on one connection.
type exchange struct {
	id     string
	method string
	uri    string
	host   string
	header http.Header
	extra  [][2]string
	body   []byte
	// idName is the header that a response repeats the ID in.
	idName string
	// sending, if set, is called just before the request is sent.
	sending func()
	// until bounds the wait for the response.
	until time.Time
}

// errStray is returned for a response that belongs to another request.
var errStray = errors.New("the response belongs to another request")

// send makes the exchange. The second result says whether a byte may have been
// sent; if not, the request cannot run.
func (po *pool) send(ctx context.Context, ex *exchange, now func() time.Time) (
	*response, bool, error,
) {
	li, err := po.get(ctx, now())
	if err != nil {
		return nil, false, err
	}
	_ = li.SetDeadline(ex.until)
	stop := context.AfterFunc(ctx, func() { _ = li.SetDeadline(time.Unix(1, 0)) })
	re, reusable, sent, err := li.exchange(ex)
	if !stop() || !reusable || err != nil {
		_ = li.Close()
	} else {
		po.put(li, now())
	}
	return re, sent, err
}

var writeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func (li *link) exchange(ex *exchange) (re *response, reusable, sent bool, err error) {
	bu := writeBuffers.Get().(*bytes.Buffer)
	defer writeBuffers.Put(bu)
	bu.Reset()
	ex.encode(bu)
	if ex.sending != nil {
		ex.sending()
	}
	nn, err := li.Write(bu.Bytes())
	if err != nil {
		return nil, false, nn > 0, fmt.Errorf("send the request: %w", err)
	}
	for stray := 0; ; stray++ {
		re, reusable, err = li.receive(ex)
		if !errors.Is(err, errStray) || stray == maxStrays {
			return re, reusable && stray == 0, true, err
		}
	}
}

// receive reads one response.
func (li *link) receive(ex *exchange) (*response, bool, error) {
	hr, err := li.readHead(ex.method)
	if err != nil {
		return nil, false, fmt.Errorf("read the response: %w", err)
	}
	defer func() { _ = hr.Body.Close() }() // the connection decides on its reuse
	body, err := readBody(hr)
	if err != nil {
		return nil, false, fmt.Errorf("read the response's body: %w", err)
	}
	if hr.Header.Get(ex.idName) != ex.id {
		return nil, false, errStray
	}
	framed := hr.ContentLength >= 0 || len(hr.TransferEncoding) > 0
	reusable := framed && !hr.Close && li.reader.Buffered() == 0
	return &response{status: hr.StatusCode, header: hr.Header, body: body}, reusable, nil
}

// readHead reads the head of the final response; informational ones are skipped.
func (li *link) readHead(method string) (*http.Response, error) {
	for {
		hr, err := http.ReadResponse(li.reader, &http.Request{Method: method})
		if err != nil || hr.StatusCode >= http.StatusOK {
			return hr, err
		}
		_ = hr.Body.Close()
	}
}

func readBody(hr *http.Response) ([]byte, error) {
	if hr.ContentLength == 0 {
		return nil, nil
	}
	if hr.ContentLength > maxResponseBytes {
		return nil, errors.New("the body is over 16 MiB")
	}
	if hr.ContentLength > 0 && hr.Request.Method != http.MethodHead {
		body := make([]byte, hr.ContentLength)
		_, err := io.ReadFull(hr.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(hr.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errors.New("the body is over 16 MiB")
	}
	return body, err
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
