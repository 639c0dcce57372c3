// Package linker connects nodes for control messages: it implements a client
// and a server of net/rpc over HTTP CONNECT on the peer port, which calls also
// use.
//
// A [Pool] keeps one connection open to each node named by [Pool.Keep] and uses
// short-lived connections with a small idle pool for all others. A call that
// times out closes its connection, because a connection can stop delivering data
// without being closed. An idempotent call is then retried once over a new
// connection. A [Server] bounds the number of connections, calls and bytes that
// peers can make it hold.
//
// A message is a frame: four bytes of length, big endian, then gob messages.
// The gob streams last as long as the connection, so type information is sent
// once.
package linker

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

const (
	// Path is the path of the CONNECT request.
	Path = "/guavastall/rpc"
	// SecretHeader carries the SHA-256 hash of the nodes' shared secret in hex.
	SecretHeader = "Guavastall-Secret"
)

// Config holds the settings of a Pool or Server. Zero fields take the defaults.
type Config struct {
	// LocalIP is the local address that the default dialer uses; if it is the
	// zero Addr, the system chooses one.
	LocalIP netip.Addr
	// Dial opens a connection to a node; nil dials TCP from LocalIP.
	Dial func(ctx context.Context, node checker.NodeID) (net.Conn, error)
	// Secret must be equal on all nodes. If it is empty, none is sent or checked.
	Secret string

	// DialTimeout bounds dialling and the CONNECT handshake; default 1 s.
	DialTimeout time.Duration
	// CallTimeout bounds a call whose context has no earlier deadline;
	// default 2 s.
	CallTimeout time.Duration
	// IOTimeout bounds each write and the rest of a message after its length has
	// been read; default 2 s.
	IOTimeout time.Duration
	// IdleTimeout is the time without traffic after which the client closes a
	// connection; default 10 s.
	IdleTimeout time.Duration
	// ServerIdleTimeout is the time without traffic after which the server closes
	// a connection. It must exceed IdleTimeout, so that the client closes first;
	// default 30 s.
	ServerIdleTimeout time.Duration

	// MaxMessageBytes bounds a message in either direction; default 4 MiB.
	MaxMessageBytes int
	// MaxInboundBytes bounds the bytes of all inbound messages that are
	// being read at the same time; default 16 MiB.
	MaxInboundBytes int
	// MaxInbound bounds the inbound connections; default 256.
	MaxInbound int
	// MaxDials bounds the connections being opened concurrently; default 32.
	MaxDials int
	// MaxIdle bounds the idle short-lived connections; default 8.
	MaxIdle int
	// MaxCallsPerConn bounds the concurrent calls on an inbound connection;
	// default 32.
	MaxCallsPerConn int

	// Traffic counts the bytes; a Pool and a Server may share one. If it is nil,
	// a new one is created.
	Traffic *Traffic
}

// Traffic counts the bytes of control messages on the sockets, excluding TCP and
// IP headers.
type Traffic struct {
	in, out atomic.Int64
}

// In returns the number of bytes read.
func (tr *Traffic) In() int64 { return tr.in.Load() }

// Out returns the number of bytes written.
func (tr *Traffic) Out() int64 { return tr.out.Load() }

// withDefaults returns a copy with defaults in the zero fields.
func (co Config) withDefaults() Config {
	setDefault(&co.DialTimeout, time.Second)
	setDefault(&co.CallTimeout, 2*time.Second)
	setDefault(&co.IOTimeout, 2*time.Second)
	setDefault(&co.IdleTimeout, 10*time.Second)
	setDefault(&co.ServerIdleTimeout, 30*time.Second)
	setDefault(&co.MaxMessageBytes, 4<<20)
	setDefault(&co.MaxInboundBytes, 16<<20)
	setDefault(&co.MaxInbound, 256)
	setDefault(&co.MaxDials, 32)
	setDefault(&co.MaxIdle, 8)
	setDefault(&co.MaxCallsPerConn, 32)
	if co.Traffic == nil {
		co.Traffic = &Traffic{}
	}
	if co.Dial == nil {
		co.Dial = dialFrom(co.LocalIP)
	}
	return co
}

func setDefault[T ~int | ~int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// dialFrom returns a dial function that uses the local IP.
func dialFrom(ip netip.Addr) func(context.Context, checker.NodeID) (net.Conn, error) {
	var di net.Dialer
	if ip.IsValid() && !ip.IsUnspecified() {
		di.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0))
	}
	return func(ctx context.Context, node checker.NodeID) (net.Conn, error) {
		return di.DialContext(ctx, "tcp", node.String())
	}
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (cc countingConn) Read(buf []byte) (int, error) {
	nn, err := cc.Conn.Read(buf)
	cc.traffic.in.Add(int64(nn))
	return nn, err
}

func (cc countingConn) Write(buf []byte) (int, error) {
	nn, err := cc.Conn.Write(buf)
	cc.traffic.out.Add(int64(nn))
	return nn, err
}
