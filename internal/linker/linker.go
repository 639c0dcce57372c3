// Package linker connects nodes for control messages: client and server of
// net/rpc over HTTP CONNECT on the peer port that calls use too.
//
// A [Pool] keeps one link open to each node named by [Pool.Keep] and uses
// short-lived links with a small idle pool for all others. A call that times
// out closes its link, because a link can go silent without being closed; a
// repeatable call is then tried once more over a fresh link. A [Server] bounds
// the number of links, calls and bytes that peers can make it hold.
//
// A message is a frame: four bytes of length, big endian, then gob messages.
// The gob streams last as long as the link, so type information is sent once.
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
	// LocalIP is the IP the default dialer dials from; the zero Addr leaves
	// the choice to the system.
	LocalIP netip.Addr
	// Dial opens a connection to a node; nil dials TCP from LocalIP.
	Dial func(ctx context.Context, node checker.NodeID) (net.Conn, error)
	// Secret must be equal on all nodes; empty sends and checks none.
	Secret string

	// DialTimeout bounds dialling and the CONNECT exchange; default 1 s.
	DialTimeout time.Duration
	// CallTimeout bounds a call whose context has no earlier deadline;
	// default 2 s.
	CallTimeout time.Duration
	// IOTimeout bounds each write and the arrival of a message whose first
	// bytes have been read; default 2 s.
	IOTimeout time.Duration
	// IdleTimeout closes client links without traffic; default 10 s.
	IdleTimeout time.Duration
	// ServerIdleTimeout closes inbound links without traffic. It must exceed
	// IdleTimeout, so that the client closes first; default 30 s.
	ServerIdleTimeout time.Duration

	// MaxMessageBytes bounds a message in either direction; default 4 MiB.
	MaxMessageBytes int
	// MaxInboundBytes bounds the bytes of all inbound messages that are
	// being read at the same time; default 16 MiB.
	MaxInboundBytes int
	// MaxInbound bounds the inbound links; default 256.
	MaxInbound int
	// MaxDials bounds the links being opened at once; default 32.
	MaxDials int
	// MaxIdle bounds the idle short-lived links; default 8.
	MaxIdle int
	// MaxCallsPerLink bounds the calls an inbound link runs at once; default 32.
	MaxCallsPerLink int

	// Traffic counts the bytes; a Pool and a Server may share one. Nil
	// makes a new one.
	Traffic *Traffic
}

// Traffic counts the bytes of control messages on the sockets, without the
// headers of TCP and IP.
type Traffic struct {
	in, out atomic.Int64
}

// In returns the number of bytes read.
func (tr *Traffic) In() int64 { return tr.in.Load() }

// Out returns the number of bytes written.
func (tr *Traffic) Out() int64 { return tr.out.Load() }

// withDefaults fills the zero fields.
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
	setDefault(&co.MaxCallsPerLink, 32)
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

// dialFrom returns a dialer that uses the local IP.
func dialFrom(ip netip.Addr) func(context.Context, checker.NodeID) (net.Conn, error) {
	var di net.Dialer
	if ip.IsValid() && !ip.IsUnspecified() {
		di.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0))
	}
	return func(ctx context.Context, node checker.NodeID) (net.Conn, error) {
		return di.DialContext(ctx, "tcp", node.String())
	}
}

// countedConn counts the bytes that pass a connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (cc countedConn) Read(buf []byte) (int, error) {
	nn, err := cc.Conn.Read(buf)
	cc.traffic.in.Add(int64(nn))
	return nn, err
}

func (cc countedConn) Write(buf []byte) (int, error) {
	nn, err := cc.Conn.Write(buf)
	cc.traffic.out.Add(int64(nn))
	return nn, err
}
