package linker

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// ErrClosed is returned by calls on a Pool that has been closed.
var ErrClosed = errors.New("connection pool is closed")

// Pool makes calls to nodes over pooled connections. It is safe for concurrent
// use.
type Pool struct {
	config Config
	// dials is a semaphore that bounds the connections being opened.
	dials chan struct{}
	// ctx ends when the pool is closed, which also aborts dialling.
	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	idempotent map[string]bool
	persistent map[checker.NodeID]*peerConn
	idle       []*peerConn
	// open holds every connection whose reading goroutine may still run.
	open []*peerConn
}

// New returns a Pool without connections.
func New(co Config) *Pool {
	co = co.withDefaults()
	po := &Pool{
		config: co, dials: make(chan struct{}, co.MaxDials),
		idempotent: map[string]bool{}, persistent: map[checker.NodeID]*peerConn{},
	}
	po.ctx, po.cancel = context.WithCancel(context.Background())
	return po
}

// Traffic returns the counters of bytes.
func (po *Pool) Traffic() *Traffic { return po.config.Traffic }

// MarkRepeatable declares methods ("Gossiper.Ping") or all methods of a receiver
// ("Gossiper") as idempotent. Only their calls are retried over a new connection
// after a timeout or a broken connection.
func (po *Pool) MarkRepeatable(names ...string) {
	po.mu.Lock()
	defer po.mu.Unlock()
	for _, name := range names {
		po.idempotent[name] = true
	}
}

func (po *Pool) isIdempotent(method string) bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	receiver, _, _ := strings.Cut(method, ".")
	return po.idempotent[method] || po.idempotent[receiver]
}

// Keep sets the nodes whose connection stays open between calls. The first call
// opens it. Connections to nodes that are no longer named become short-lived.
func (po *Pool) Keep(nodes []checker.NodeID) {
	po.mu.Lock()
	defer po.mu.Unlock()
	next := make(map[checker.NodeID]*peerConn, len(nodes))
	for _, node := range nodes {
		next[node] = po.persistent[node]
	}
	for node, pc := range po.persistent {
		if _, ok := next[node]; !ok && pc != nil && pc.inUse == 0 {
			po.putIdle(pc)
		}
	}
	po.persistent = next
}

// Call calls the method of the node and stores the result in reply, which must
// be a pointer. It ends at the deadline of the context or after
// Config.CallTimeout, whichever is earlier. An error of the method itself is an
// [rpc.ServerError].
func (po *Pool) Call(
	ctx context.Context, node checker.NodeID, method string, args, reply any,
) error {
	ctx, cancel := context.WithTimeout(ctx, po.config.CallTimeout)
	defer cancel()
	pc, reused, err := po.acquire(ctx, node, false)
	if err != nil {
		return err
	}
	mayRetry := reused && po.isIdempotent(method)
	err = po.attempt(ctx, pc, mayRetry, method, args, reply)
	if err == nil || !mayRetry || isServerError(err) || ctx.Err() != nil {
		return wrapError(err, node, method)
	}
	pc, _, err = po.acquire(ctx, node, true)
	if err != nil {
		return err
	}
	return wrapError(po.attempt(ctx, pc, false, method, args, reply), node, method)
}

// attempt makes the call over the connection and then releases the connection.
// An attempt that may be retried uses half of the remaining time.
func (po *Pool) attempt(
	ctx context.Context, pc *peerConn, mayRetry bool, method string, args, reply any,
) error {
	if deadline, ok := ctx.Deadline(); ok && mayRetry {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, time.Now().Add(time.Until(deadline)/2))
		defer cancel()
	}
	err := pc.call(ctx, method, args, reply)
	// Cancellation by the caller does not indicate a broken connection.
	failed := err != nil && !isServerError(err) && !errors.Is(err, context.Canceled)
	po.release(pc, failed)
	return err
}

// isServerError reports whether the error was returned by the peer's method, which
// means that the connection works.
func isServerError(err error) bool {
	var serverErr rpc.ServerError
	return errors.As(err, &serverErr)
}

func wrapError(err error, node checker.NodeID, method string) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("call %s of %v: %w", method, node, err)
}

// acquire returns a connection for one call and whether it was already open.
func (po *Pool) acquire(
	ctx context.Context, node checker.NodeID, forceNew bool,
) (*peerConn, bool, error) {
	if !forceNew {
		if pc := po.getOpen(node); pc != nil {
			return pc, true, nil
		}
	}
	select {
	case po.dials <- struct{}{}:
	case <-ctx.Done():
		return nil, false, fmt.Errorf("wait for a connection to %v: %w", node, ctx.Err())
	case <-po.ctx.Done():
		return nil, false, ErrClosed
	}
	defer func() { <-po.dials }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(po.ctx, cancel)()
	pc, err := dial(ctx, po.config, node)
	switch {
	case po.ctx.Err() != nil && err != nil:
		return nil, false, ErrClosed
	case err != nil:
		return nil, false, err
	}
	return po.register(pc)
}

// getOpen returns an open connection to the node for one call, or nil.
func (po *Pool) getOpen(node checker.NodeID) *peerConn {
	po.mu.Lock()
	defer po.mu.Unlock()
	if pc := po.persistent[node]; pc != nil {
		if !pc.broken() {
			pc.inUse++
			return pc
		}
		po.remove(pc)
	}
	for _, pc := range slices.Backward(po.idle) {
		if pc.node != node {
			continue
		}
		po.idle = slices.DeleteFunc(po.idle, func(other *peerConn) bool { return other == pc })
		if pc.broken() {
			po.remove(pc)
			continue
		}
		pc.inUse++
		if _, ok := po.persistent[node]; ok {
			po.persistent[node] = pc
		}
		return pc
	}
	return nil
}

// register adds a new connection to the pool and marks it as used by one call.
func (po *Pool) register(pc *peerConn) (*peerConn, bool, error) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.ctx.Err() != nil {
		pc.close()
		<-pc.codec.done
		return nil, false, ErrClosed
	}
	pc.inUse++
	po.open = slices.DeleteFunc(po.open, (*peerConn).isDone)
	po.open = append(po.open, pc)
	if old, ok := po.persistent[pc.node]; ok && (old == nil || old.broken()) {
		po.persistent[pc.node] = pc
	}
	return pc, false, nil
}

// release marks a call over the connection as ended.
func (po *Pool) release(pc *peerConn, failed bool) {
	po.mu.Lock()
	defer po.mu.Unlock()
	pc.inUse--
	switch {
	case failed || pc.broken():
		po.remove(pc)
	case pc.inUse == 0 && po.persistent[pc.node] != pc:
		po.putIdle(pc)
	}
}

// putIdle adds an unused connection to the idle pool. If the pool is full, it
// closes the one that has been idle longest.
func (po *Pool) putIdle(pc *peerConn) {
	po.idle = append(po.idle, pc)
	if len(po.idle) > po.config.MaxIdle {
		po.remove(po.idle[0])
	}
}

// remove closes a connection and removes it from use.
func (po *Pool) remove(pc *peerConn) {
	pc.close()
	if po.persistent[pc.node] == pc {
		po.persistent[pc.node] = nil
	}
	po.idle = slices.DeleteFunc(po.idle, func(other *peerConn) bool { return other == pc })
}

// Close closes every connection, which makes the calls in progress fail, and
// waits until the connections' goroutines have ended.
func (po *Pool) Close() {
	po.cancel()
	po.mu.Lock()
	conns := po.open
	po.open, po.idle = nil, nil
	po.mu.Unlock()
	for _, pc := range conns {
		pc.close()
		<-pc.codec.done
	}
}
