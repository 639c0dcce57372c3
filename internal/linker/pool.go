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
var ErrClosed = errors.New("the pool of links is closed")

// Pool makes calls to nodes. It is safe for concurrent use.
type Pool struct {
	config Config
	// dials bounds the links being opened.
	dials chan struct{}
	// ctx ends when the pool closes, so that dialling ends too.
	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	repeatable map[string]bool
	kept       map[checker.NodeID]*link
	idle       []*link
	// all holds every link whose reading goroutine may still run.
	all []*link
}

// New returns a Pool without links.
func New(co Config) *Pool {
	co = co.withDefaults()
	po := &Pool{
		config: co, dials: make(chan struct{}, co.MaxDials),
		repeatable: map[string]bool{}, kept: map[checker.NodeID]*link{},
	}
	po.ctx, po.cancel = context.WithCancel(context.Background())
	return po
}

// Traffic returns the counters of bytes.
func (po *Pool) Traffic() *Traffic { return po.config.Traffic }

// MarkRepeatable declares methods ("Gossiper.Ping") or all methods of a
// receiver ("Gossiper") as safe to run twice. Only their calls are repeated
// over a fresh link after a time-out or a broken link.
func (po *Pool) MarkRepeatable(names ...string) {
	po.mu.Lock()
	defer po.mu.Unlock()
	for _, name := range names {
		po.repeatable[name] = true
	}
}

func (po *Pool) isRepeatable(method string) bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	receiver, _, _ := strings.Cut(method, ".")
	return po.repeatable[method] || po.repeatable[receiver]
}

// Keep names the nodes whose link stays open between calls. The link is opened
// by the first call. Links to nodes no longer named become short-lived.
func (po *Pool) Keep(nodes []checker.NodeID) {
	po.mu.Lock()
	defer po.mu.Unlock()
	next := make(map[checker.NodeID]*link, len(nodes))
	for _, node := range nodes {
		next[node] = po.kept[node]
	}
	for node, li := range po.kept {
		if _, ok := next[node]; !ok && li != nil && li.inUse == 0 {
			po.park(li)
		}
	}
	po.kept = next
}

// Call calls the method of the node and stores the result in reply, which must
// be a pointer. Without an earlier deadline in the context it ends after the
// call time-out. An error of the method itself is an [rpc.ServerError].
func (po *Pool) Call(
	ctx context.Context, node checker.NodeID, method string, args, reply any,
) error {
	ctx, cancel := context.WithTimeout(ctx, po.config.CallTimeout)
	defer cancel()
	li, reused, err := po.acquire(ctx, node, false)
	if err != nil {
		return err
	}
	repeat := reused && po.isRepeatable(method)
	err = po.attempt(ctx, li, repeat, method, args, reply)
	if err == nil || !repeat || isAnswer(err) || ctx.Err() != nil {
		return describe(err, node, method)
	}
	li, _, err = po.acquire(ctx, node, true)
	if err != nil {
		return err
	}
	return describe(po.attempt(ctx, li, false, method, args, reply), node, method)
}

// attempt makes the call over the link and gives the link back. An attempt
// that may be repeated uses half of the time that is left.
func (po *Pool) attempt(
	ctx context.Context, li *link, repeat bool, method string, args, reply any,
) error {
	if deadline, ok := ctx.Deadline(); ok && repeat {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, time.Now().Add(time.Until(deadline)/2))
		defer cancel()
	}
	err := li.call(ctx, method, args, reply)
	// A caller that cancels says nothing about the link.
	fault := err != nil && !isAnswer(err) && !errors.Is(err, context.Canceled)
	po.release(li, fault)
	return err
}

// isAnswer reports whether the error came from the peer's method, over a link
// that works.
func isAnswer(err error) bool {
	var answer rpc.ServerError
	return errors.As(err, &answer)
}

func describe(err error, node checker.NodeID, method string) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("call %s of %v: %w", method, node, err)
}

// acquire returns a link for one call and whether it was open before.
func (po *Pool) acquire(
	ctx context.Context, node checker.NodeID, fresh bool,
) (*link, bool, error) {
	if !fresh {
		if li := po.reuse(node); li != nil {
			return li, true, nil
		}
	}
	select {
	case po.dials <- struct{}{}:
	case <-ctx.Done():
		return nil, false, fmt.Errorf("wait for a link to %v: %w", node, ctx.Err())
	case <-po.ctx.Done():
		return nil, false, ErrClosed
	}
	defer func() { <-po.dials }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(po.ctx, cancel)()
	li, err := dial(ctx, po.config, node)
	switch {
	case po.ctx.Err() != nil && err != nil:
		return nil, false, ErrClosed
	case err != nil:
		return nil, false, err
	}
	return po.admit(li)
}

// reuse returns an open link to the node, or nil.
func (po *Pool) reuse(node checker.NodeID) *link {
	po.mu.Lock()
	defer po.mu.Unlock()
	if li := po.kept[node]; li != nil {
		if !li.broken() {
			li.inUse++
			return li
		}
		po.drop(li)
	}
	for _, li := range slices.Backward(po.idle) {
		if li.node != node {
			continue
		}
		po.idle = slices.DeleteFunc(po.idle, func(other *link) bool { return other == li })
		if li.broken() {
			po.drop(li)
			continue
		}
		li.inUse++
		if _, ok := po.kept[node]; ok {
			po.kept[node] = li
		}
		return li
	}
	return nil
}

// admit counts a new link in.
func (po *Pool) admit(li *link) (*link, bool, error) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.ctx.Err() != nil {
		li.close()
		<-li.codec.ended
		return nil, false, ErrClosed
	}
	li.inUse++
	po.all = slices.DeleteFunc(po.all, (*link).hasEnded)
	po.all = append(po.all, li)
	if old, ok := po.kept[li.node]; ok && (old == nil || old.broken()) {
		po.kept[li.node] = li
	}
	return li, false, nil
}

// release ends a call over the link.
func (po *Pool) release(li *link, fault bool) {
	po.mu.Lock()
	defer po.mu.Unlock()
	li.inUse--
	switch {
	case fault || li.broken():
		po.drop(li)
	case li.inUse == 0 && po.kept[li.node] != li:
		po.park(li)
	}
}

// park puts an unused link into the idle pool and closes the one that has been
// there longest if the pool is full.
func (po *Pool) park(li *link) {
	po.idle = append(po.idle, li)
	if len(po.idle) > po.config.MaxIdle {
		po.drop(po.idle[0])
	}
}

// drop closes a link and takes it out of use.
func (po *Pool) drop(li *link) {
	li.close()
	if po.kept[li.node] == li {
		po.kept[li.node] = nil
	}
	po.idle = slices.DeleteFunc(po.idle, func(other *link) bool { return other == li })
}

// Close closes every link, fails the calls in progress and waits until the
// goroutines of the links have ended.
func (po *Pool) Close() {
	po.cancel()
	po.mu.Lock()
	links := po.all
	po.all, po.idle = nil, nil
	po.mu.Unlock()
	for _, li := range links {
		li.close()
		<-li.codec.ended
	}
}
