package linker

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Echo is the RPC receiver of the tests.
type Echo struct {
	calls atomic.Int64
	block chan struct{}
}

func (ec *Echo) Say(args string, reply *string) error {
	ec.calls.Add(1)
	*reply = args
	return nil
}

func (ec *Echo) Fail(string, *string) error { return errors.New("refused") }

func (ec *Echo) Block(string, *string) error {
	ec.calls.Add(1)
	<-ec.block
	return nil
}

// serve starts a server with an Echo on a loopback port.
func serve(t *testing.T, co Config) (checker.NodeID, *Echo, *Server) {
	ec := &Echo{block: make(chan struct{})}
	sv := NewServer(co)
	require.NoError(t, sv.Register("Echo", ec))
	hs := httptest.NewServer(sv)
	t.Cleanup(func() {
		close(ec.block)
		sv.Close()
		hs.Close()
	})
	return netip.MustParseAddrPort(hs.Listener.Addr().String()), ec, sv
}

func newPool(t *testing.T, co Config) *Pool {
	po := New(co)
	t.Cleanup(po.Close)
	return po
}

// Guards against calls whose reply or error is lost, and against client and
// server counting different numbers of bytes.
func TestCall(t *testing.T) {
	node, _, sv := serve(t, Config{Secret: "one\r\ntwo"})
	po := newPool(t, Config{Secret: "one\r\ntwo", LocalIP: netip.MustParseAddr("127.0.0.1")})
	po.Keep([]checker.NodeID{node})
	for range 3 {
		var reply string
		require.NoError(t, po.Call(t.Context(), node, "Echo.Say", "scan", &reply))
		require.Equal(t, "scan", reply)
	}
	var reply string
	require.ErrorContains(t, po.Call(t.Context(), node, "Echo.Fail", "", &reply), "refused")
	require.ErrorContains(t, po.Call(t.Context(), node, "Echo.None", "", &reply), "find method")
	require.Equal(t, po.Traffic().Out(), sv.Traffic().In())
	// The server counts after its write has returned, which may be after the
	// client has read the response.
	require.Eventually(t, func() bool { return po.Traffic().In() == sv.Traffic().Out() },
		5*time.Second, time.Millisecond)
}

// Guards against a peer without the secret opening a connection.
func TestSecret(t *testing.T) {
	node, ec, _ := serve(t, Config{Secret: "one"})
	for _, secret := range []string{"", "two"} {
		var reply string
		err := newPool(t, Config{Secret: secret}).Call(t.Context(), node, "Echo.Say", "", &reply)
		require.ErrorContains(t, err, "403")
	}
	require.Zero(t, ec.calls.Load())
}

// Guards against the pool holding an unbounded number of connections, and
// against a closed pool that still dials.
func TestPoolBounds(t *testing.T) {
	po := newPool(t, Config{MaxIdle: 2})
	for range 5 {
		node, _, _ := serve(t, Config{})
		var reply string
		require.NoError(t, po.Call(t.Context(), node, "Echo.Say", "", &reply))
		require.LessOrEqual(t, len(po.idle), 2)
	}
	node, _, _ := serve(t, Config{})
	po.Close()
	var reply string
	require.ErrorIs(t, po.Call(t.Context(), node, "Echo.Say", "", &reply), ErrClosed)
}

// Guards against a message over the limit being read or sent.
func TestMessageLimit(t *testing.T) {
	node, ec, _ := serve(t, Config{MaxMessageBytes: 1000})
	var reply string
	long := strings.Repeat("x", 2000)
	require.Error(t, newPool(t, Config{}).Call(t.Context(), node, "Echo.Say", long, &reply))
	err := newPool(t, Config{MaxMessageBytes: 1000}).Call(t.Context(), node, "Echo.Say", long, &reply)
	require.ErrorContains(t, err, "the limit is 1000")
	require.Zero(t, ec.calls.Load())
}

// dialCounter counts the connections it opens.
type dialCounter struct{ count atomic.Int64 }

func (dc *dialCounter) dial(ctx context.Context, node checker.NodeID) (net.Conn, error) {
	dc.count.Add(1)
	var di net.Dialer
	return di.DialContext(ctx, "tcp", node.String())
}

// Guards against opening a connection to a kept node for each call, closing it
// for an idle limit or because a caller cancels, and against a call that fails
// because the peer has closed the connection.
func TestKeep(t *testing.T) {
	node, _, sv := serve(t, Config{})
	var dc dialCounter
	po := newPool(t, Config{Dial: dc.dial, MaxIdle: 1})
	po.MarkRepeatable("Echo.Say")
	po.Keep([]checker.NodeID{node})
	say := func(node checker.NodeID) {
		var reply string
		require.NoError(t, po.Call(t.Context(), node, "Echo.Say", "", &reply))
	}
	say(node)
	for range 3 {
		other, _, _ := serve(t, Config{})
		say(other)
	}
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	var reply string
	require.ErrorIs(t, po.Call(ctx, node, "Echo.Block", "", &reply), context.Canceled)
	say(node)
	require.EqualValues(t, 4, dc.count.Load())

	sv.mu.Lock()
	for conn := range sv.conns {
		require.NoError(t, conn.Close())
	}
	sv.mu.Unlock()
	say(node)
	require.EqualValues(t, 5, dc.count.Load())
	po.Keep(nil)
	say(node)
	require.EqualValues(t, 5, dc.count.Load(), "a connection that is no longer kept was not reused")
	other, _, _ := serve(t, Config{})
	say(other)
	say(node)
	require.EqualValues(t, 7, dc.count.Load(), "a connection that is no longer kept stayed open")
}

// Guards against calls and goroutines that do not end with the pool and the
// server.
func TestClose(t *testing.T) {
	before := runtime.NumGoroutine()
	sv := NewServer(Config{})
	ec := &Echo{block: make(chan struct{})}
	require.NoError(t, sv.Register("Echo", ec))
	hs := httptest.NewServer(sv)
	node := netip.MustParseAddrPort(hs.Listener.Addr().String())
	po := New(Config{})
	done := make(chan error)
	for range 3 {
		go func() {
			var reply string
			done <- po.Call(context.Background(), node, "Echo.Block", "", &reply)
		}()
	}
	require.Eventually(t, func() bool { return ec.calls.Load() == 3 }, 5*time.Second, time.Millisecond)
	po.Close()
	for range 3 {
		require.Error(t, <-done)
	}
	close(ec.block)
	sv.Close()
	hs.Close()
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	for nn := 0; nn < 500 && runtime.NumGoroutine() > before; nn++ {
		time.Sleep(10 * time.Millisecond)
	}
	require.LessOrEqual(t, runtime.NumGoroutine(), before)
}

// blackholeProxy forwards bytes in both directions. After a call of stall it
// discards those of all existing connections without closing them.
func blackholeProxy(t *testing.T, node checker.NodeID) (dial func(context.Context, checker.NodeID) (net.Conn, error), stall func()) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	var generation atomic.Int64
	forward := func(from, to net.Conn, dialed int64) {
		buf := make([]byte, 4096)
		for {
			nn, err := from.Read(buf)
			if err != nil {
				_ = to.Close()
				return
			}
			if generation.Load() == dialed {
				_, _ = to.Write(buf[:nn])
			}
		}
	}
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", node.String())
			if err != nil {
				_ = in.Close()
				continue
			}
			dialed := generation.Load()
			go forward(in, out, dialed)
			go forward(out, in, dialed)
		}
	}()
	dial = func(ctx context.Context, _ checker.NodeID) (net.Conn, error) {
		var di net.Dialer
		return di.DialContext(ctx, "tcp", ln.Addr().String())
	}
	return dial, func() { generation.Add(1) }
}

// Guards against failing calls over a connection that stopped delivering data
// without being closed when a new one would work, and against retrying a method
// that is not marked as idempotent.
func TestUnresponsiveConnection(t *testing.T) {
	node, ec, _ := serve(t, Config{})
	dial, stall := blackholeProxy(t, node)
	po := newPool(t, Config{Dial: dial, CallTimeout: 400 * time.Millisecond})
	po.Keep([]checker.NodeID{node})
	var reply string
	require.NoError(t, po.Call(t.Context(), node, "Echo.Say", "", &reply))

	stall()
	err := po.Call(t.Context(), node, "Echo.Say", "", &reply)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.NoError(t, po.Call(t.Context(), node, "Echo.Say", "", &reply), "the connection was not replaced")

	po.MarkRepeatable("Echo")
	stall()
	require.NoError(t, po.Call(t.Context(), node, "Echo.Say", "again", &reply))
	require.Equal(t, "again", reply)
	require.EqualValues(t, 3, ec.calls.Load())
}

// Guards against malformed, premature or oversized input harming the server.
func TestGarbagePeer(t *testing.T) {
	node, _, sv := serve(t, Config{IOTimeout: 200 * time.Millisecond, ServerIdleTimeout: 300 * time.Millisecond})
	head := connectRequest(node.String(), "")
	for _, tail := range []string{
		"\xff\xff\xff\xff", "\x00\x00\x00\x00", "\x00\x00\x00\x04\xf8\x7f\xff\xff", "\x00\x00\x00\x05\x04\x01\x02\x03\x04",
		"\x00\x00\x10\x00partial", "",
	} {
		conn, err := net.Dial("tcp", node.String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, head)
		require.NoError(t, err)
		buf := make([]byte, len(connectResponse))
		_, err = io.ReadFull(conn, buf)
		require.NoError(t, err)
		_, err = io.WriteString(conn, tail)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, conn)
		require.NoError(t, err, "the server did not close the connection")
		_ = conn.Close()
	}
	var reply string
	require.NoError(t, newPool(t, Config{}).Call(t.Context(), node, "Echo.Say", "", &reply))
	require.Equal(t, sv.config.MaxInboundBytes, sv.budget.available)
}

// Guards against malformed, premature or oversized output of a server harming
// the client.
func TestGarbageServer(t *testing.T) {
	for _, response := range []string{
		"nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 2000), connectResponse + "early",
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			conn, err := ln.Accept()
			if err == nil {
				_, _ = io.WriteString(conn, response)
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			}
		}()
		var reply string
		node := netip.MustParseAddrPort(ln.Addr().String())
		require.Error(t, newPool(t, Config{}).Call(t.Context(), node, "Echo.Say", "", &reply))
		_ = ln.Close()
	}
}

// Guards against the server exceeding its bounds on connections and calls.
func TestServerBounds(t *testing.T) {
	node, _, sv := serve(t, Config{MaxInbound: 1, MaxCallsPerConn: 2})
	po := newPool(t, Config{CallTimeout: 300 * time.Millisecond})
	var reply string
	require.NoError(t, po.Call(t.Context(), node, "Echo.Say", "", &reply))
	require.Error(t, newPool(t, Config{}).Call(t.Context(), node, "Echo.Say", "", &reply))
	po.Keep([]checker.NodeID{node})
	done := make(chan error)
	for range 3 {
		go func() {
			var reply string
			done <- po.Call(t.Context(), node, "Echo.Block", "", &reply)
		}()
	}
	for range 3 {
		require.Error(t, <-done)
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	require.LessOrEqual(t, len(sv.conns), 1)
}

// Guards against a method other than CONNECT taking over the connection.
func TestOtherMethods(t *testing.T) {
	node, _, _ := serve(t, Config{})
	rs, err := http.Get("http://" + node.String() + Path)
	require.NoError(t, err)
	require.Equal(t, http.StatusMethodNotAllowed, rs.StatusCode)
	require.NoError(t, rs.Body.Close())
}

// FuzzFrame guards against input that makes the message reader panic or accept
// lengths beyond the data.
func FuzzFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 4, 3, 4, 0, 7})
	f.Add([]byte{0, 0, 0, 2, 0xf8, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		go func() {
			_, _ = far.Write(data)
			_ = far.Close()
		}()
		fr := newFramer(near, near, Config{MaxMessageBytes: 1 << 12}.withDefaults(), nil)
		for {
			if _, err := fr.read(); err != nil {
				return
			}
			var value struct{ Name string }
			_ = fr.dec.Decode(&value)
		}
	})
}
