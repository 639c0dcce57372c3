package forwarder

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/guavastall/guavastall/internal/asserter"
)

// errWritesBlocked is returned by writes to a connection whose call was abandoned.
var errWritesBlocked = errors.New("the call on this connection was given up")

// writesBlocked is the bit of conn.state that rejects further writes. The other
// bits count the writes that have sent, or may have sent, at least one byte.
const writesBlocked = 1 << 63

// conn is a client connection that tracks whether a call has written to it.
type conn struct {
	net.Conn
	state atomic.Uint64
	// awaitingResponse says that the next byte read is the first of a response.
	awaitingResponse atomic.Bool
	// closeNotice says that the peer's server has announced that it closes the
	// connection: a call sent on it without a response was not executed and will
	// not be.
	closeNotice atomic.Bool
}

// Read detects a close notice. http.Transport does not report a notice that
// arrives just before it associates a new call with the connection.
func (co *conn) Read(data []byte) (int, error) {
	nn, err := co.Conn.Read(data)
	if nn > 0 && co.awaitingResponse.Swap(false) && bytes.HasPrefix(data[:nn], closeNoticeText) {
		co.closeNotice.Store(true)
	}
	return nn, err
}

// Write counts the write before it begins, so that a call abandoned during the
// write is treated as possibly sent.
func (co *conn) Write(data []byte) (int, error) {
	if co.state.Add(1)&writesBlocked != 0 {
		co.state.Add(^uint64(0))
		return 0, errWritesBlocked
	}
	nn, err := co.Conn.Write(data)
	if nn == 0 {
		co.state.Add(^uint64(0))
	}
	return nn, err
}

// writes returns the number of writes that may have sent a byte.
func (co *conn) writes() uint64 {
	return co.state.Load() &^ writesBlocked
}

// blockWrites rejects further writes and reports whether a byte may have been sent
// since the count was start. The connection cannot be used for another call.
func (co *conn) blockWrites(start uint64) bool {
	return co.state.Or(writesBlocked)&^writesBlocked != start
}

// connTracker records which connection an attempt uses and whether a byte of the
// attempt may have been sent.
type connTracker struct {
	trace httptrace.ClientTrace
	conn  *conn
	start uint64
	wrote bool
}

func (ct *connTracker) gotConn(info httptrace.GotConnInfo) {
	if ct.conn != nil {
		// net/http moved the request to another connection on its own. This is
		// allowed only if nothing was written to the first one.
		ct.wrote = ct.wrote || ct.conn.writes() != ct.start
		asserter.That(!ct.wrote, "atMostOnce", "the HTTP library resent a call")
	}
	ct.conn, _ = info.Conn.(*conn)
	if ct.conn != nil {
		ct.start = ct.conn.writes()
		ct.conn.awaitingResponse.Store(true)
	}
}

// responseRead records that the response was read to its end.
func (ct *connTracker) responseRead() {
	if ct.conn != nil {
		ct.conn.awaitingResponse.Store(true)
	}
}

// peerClosed reports whether the peer's server closed the connection without
// executing the call.
func (ct *connTracker) peerClosed() bool {
	return ct.conn != nil && ct.conn.closeNotice.Load()
}

// end ends the attempt and reports whether a byte of it may have been sent. It
// prevents further writes and closes the connection.
func (ct *connTracker) end() bool {
	if ct.conn == nil {
		return ct.wrote
	}
	wrote := ct.conn.blockWrites(ct.start) || ct.wrote
	_ = ct.conn.Close()
	return wrote
}

// Settings of the connections to peers and to the target.
const (
	// idleTimeout is shorter than the idle timeout of Server, so that the
	// client closes an idle connection first and no call is sent on a
	// connection that the server is closing.
	idleTimeout            = 30 * time.Second
	maxResponseHeaderBytes = 32 << 10
	keepAlivePeriod        = 15 * time.Second
)

// pool is a connection pool for one address.
type pool struct {
	*http.Transport
	address string
}

func newPool(
	to netip.AddrPort, dialTimeout time.Duration, localAddr net.Addr, conns int,
) *pool {
	dialer := &net.Dialer{
		Timeout: dialTimeout, KeepAlive: keepAlivePeriod, LocalAddr: localAddr,
	}
	tr := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: nc}, nil
		},
		MaxConnsPerHost:        conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
	return &pool{tr, to.String()}
}
