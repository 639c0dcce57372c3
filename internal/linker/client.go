package linker

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// maxHandshakeBytes bounds the response to CONNECT.
const maxHandshakeBytes = 4096

// peerConn is a connection to a node with its net/rpc client.
type peerConn struct {
	node   checker.NodeID
	client *rpc.Client
	codec  *clientCodec
	// inUse counts the calls in progress; guarded by the pool's mutex.
	inUse int
}

// connectRequest returns the CONNECT request.
func connectRequest(host, secret string) string {
	var sb strings.Builder
	sb.WriteString("CONNECT " + Path + " HTTP/1.1\r\nHost: " + host + "\r\n")
	if secret != "" {
		// The secret is hashed because it may contain line breaks.
		sum := sha256.Sum256([]byte(secret))
		sb.WriteString(SecretHeader + ": " + hex.EncodeToString(sum[:]) + "\r\n")
	}
	sb.WriteString("\r\n")
	return sb.String()
}

// dial opens a connection to the node.
func dial(ctx context.Context, co Config, node checker.NodeID) (*peerConn, error) {
	ctx, cancel := context.WithTimeout(ctx, co.DialTimeout)
	defer cancel()
	raw, err := co.Dial(ctx, node)
	if err != nil {
		return nil, fmt.Errorf("dial %v: %w", node, err)
	}
	conn := countingConn{Conn: raw, traffic: co.Traffic}
	// Closing the connection aborts the handshake when the context ends.
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	err = handshake(ctx, conn, node, co.Secret)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("connect to %v: %w", node, err)
	}
	codec := &clientCodec{
		framer: newFramer(conn, conn, co, nil), idle: co.IdleTimeout, done: make(chan struct{}),
	}
	if err := codec.extendReadDeadline(time.Now().Add(co.IdleTimeout)); err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("connect to %v: %w", node, err)
	}
	return &peerConn{node: node, client: rpc.NewClientWithCodec(codec), codec: codec}, nil
}

func handshake(ctx context.Context, conn net.Conn, node checker.NodeID, secret string) error {
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return err
		}
	}
	if _, err := io.WriteString(conn, connectRequest(node.String(), secret)); err != nil {
		return err
	}
	rd := bufio.NewReader(io.LimitReader(conn, maxHandshakeBytes))
	rs, err := http.ReadResponse(rd, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	_ = rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("peer responded with status %q", rs.Status)
	}
	if rd.Buffered() > 0 {
		return fmt.Errorf("%w: bytes before the first call", errMessage)
	}
	return nil
}

// broken reports whether the connection has failed or was closed, so that it
// accepts no more calls.
func (pc *peerConn) broken() bool { return pc.codec.failed.Load() }

// isDone reports whether the reading goroutine has ended.
func (pc *peerConn) isDone() bool {
	select {
	case <-pc.codec.done:
		return true
	default:
		return false
	}
}

// close closes the connection; the reading goroutine of net/rpc then ends.
func (pc *peerConn) close() {
	pc.codec.failed.Store(true)
	_ = pc.client.Close()
}

// call makes one call. The reply is decoded into a separate value, because
// net/rpc may write to it after the context has ended.
func (pc *peerConn) call(ctx context.Context, method string, args, reply any) error {
	deadline, _ := ctx.Deadline()
	result := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan *rpc.Call, 1)
	pc.client.Go(method, outgoingCall{deadline: deadline, body: args}, result.Interface(), done)
	select {
	case ca := <-done:
		if ca.Error == nil {
			reflect.ValueOf(reply).Elem().Set(result.Elem())
		}
		return ca.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

// outgoingCall passes the deadline of a call to the codec.
type outgoingCall struct {
	deadline time.Time
	body     any
}

// clientCodec writes requests and reads responses for net/rpc.
type clientCodec struct {
	*framer
	idle   time.Duration
	failed atomic.Bool
	// done is closed when the reading goroutine of net/rpc ends.
	done     chan struct{}
	doneOnce sync.Once
}

// WriteRequest sends a request; net/rpc calls it from one goroutine at a time.
func (cc *clientCodec) WriteRequest(rq *rpc.Request, body any) error {
	oc := body.(outgoingCall)
	wait := time.Now()
	if oc.deadline.After(wait) {
		wait = oc.deadline
	}
	err := cc.extendReadDeadline(wait.Add(cc.idle))
	if err == nil {
		err = cc.write(oc.deadline, rq, oc.body)
	}
	if err != nil {
		cc.fail()
	}
	return err
}

// ReadResponseHeader waits for the next response and reads its header.
func (cc *clientCodec) ReadResponseHeader(rs *rpc.Response) error {
	_, err := cc.read()
	if err == nil {
		err = cc.dec.Decode(rs)
	}
	if err != nil {
		cc.finish()
	}
	return err
}

// ReadResponseBody reads the reply. net/rpc stops reading after an error.
func (cc *clientCodec) ReadResponseBody(body any) error {
	err := cc.dec.Decode(body)
	if err != nil {
		cc.finish()
	}
	return err
}

// Close closes the connection.
func (cc *clientCodec) Close() error { return cc.conn.Close() }

func (cc *clientCodec) fail() {
	cc.failed.Store(true)
	_ = cc.conn.Close()
}

func (cc *clientCodec) finish() {
	cc.fail()
	cc.doneOnce.Do(func() { close(cc.done) })
}
