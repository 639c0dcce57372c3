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

// errSealed is returned by a connection after its call was given up.
var errSealed = errors.New("the call on this connection was given up")

// sealed is the bit of conn.state that forbids further writes. The other bits
// count the writes that have sent, or may have sent, at least one byte.
const sealed = 1 << 63

// conn is a client connection that knows whether a call has written to it.
type conn struct {
	net.Conn
	state atomic.Uint64
	// begins says that the next byte read begins a response.
	begins atomic.Bool
	// farewell says that the peer's server has ended the connection: a call
	// sent on it without a response has not run, and will not.
	farewell atomic.Bool
}

// Read notices a farewell. http.Transport does not report one that it reads
// just before it knows of the call that crosses it.
func (co *conn) Read(data []byte) (int, error) {
	nn, err := co.Conn.Read(data)
	if nn > 0 && co.begins.Swap(false) && bytes.HasPrefix(data[:nn], farewellText) {
		co.farewell.Store(true)
	}
	return nn, err
}

// Write counts the write before it begins, so that a call sealed in the
// meantime is seen as possibly sent.
func (co *conn) Write(data []byte) (int, error) {
	if co.state.Add(1)&sealed != 0 {
		co.state.Add(^uint64(0))
		return 0, errSealed
	}
	nn, err := co.Conn.Write(data)
	if nn == 0 {
		co.state.Add(^uint64(0))
	}
	return nn, err
}

// writes returns the number of writes that may have sent a byte.
func (co *conn) writes() uint64 {
	return co.state.Load() &^ sealed
}

// seal forbids further writes and reports whether a byte may have been sent
// since the count was start. The connection carries no other call afterwards.
func (co *conn) seal(start uint64) bool {
	return co.state.Or(sealed)&^sealed != start
}

// watch records which connection an attempt uses. It tells for certain whether
// a byte of the attempt has left this node.
type watch struct {
	trace httptrace.ClientTrace
	conn  *conn
	start uint64
	wrote bool
}

func (wa *watch) gotConn(info httptrace.GotConnInfo) {
	if wa.conn != nil {
		// The library moved the request to another connection by itself. It
		// may do so only while nothing was written.
		wa.wrote = wa.wrote || wa.conn.writes() != wa.start
		asserter.That(!wa.wrote, "atMostOnce", "the HTTP library resent a call")
	}
	wa.conn, _ = info.Conn.(*conn)
	if wa.conn != nil {
		wa.start = wa.conn.writes()
		wa.conn.begins.Store(true)
	}
}

// read notes that the response was read to its end.
func (wa *watch) read() {
	if wa.conn != nil {
		wa.conn.begins.Store(true)
	}
}

// left reports whether the peer's server has ended the connection without
// running the call.
func (wa *watch) left() bool {
	return wa.conn != nil && wa.conn.farewell.Load()
}

// seal ends the attempt and reports whether a byte of it may have been sent.
// No byte is sent afterwards, and the connection is not used again.
func (wa *watch) seal() bool {
	if wa.conn == nil {
		return wa.wrote
	}
	wrote := wa.conn.seal(wa.start) || wa.wrote
	_ = wa.conn.Close()
	return wrote
}

// Settings of the connections to peers and to the target.
const (
	// idleTimeout is shorter than the idle timeout of Server, so that the
	// client side closes an idle connection and no call crosses the close.
	idleTimeout            = 30 * time.Second
	maxResponseHeaderBytes = 32 << 10
	keepAlivePeriod        = 15 * time.Second
)

// pool is the connection pool to one address.
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
