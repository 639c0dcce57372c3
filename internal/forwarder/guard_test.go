package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/targetserver"
	"github.com/guavastall/guavastall/pkg/checker"
)

// rawServer starts a TCP server that calls handle with each accepted connection
// and its number.
func rawServer(tb testing.TB, handle func(nc net.Conn, number int)) netip.AddrPort {
	ln := listen(tb)
	var open sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	open.Go(func() {
		for number := 0; ; number++ {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, nc)
			mu.Unlock()
			open.Go(func() {
				handle(nc, number)
				_ = nc.Close()
			})
		}
	})
	tb.Cleanup(func() {
		_ = ln.Close()
		mu.Lock()
		for _, nc := range conns {
			_ = nc.Close()
		}
		mu.Unlock()
		open.Wait()
	})
	return addrOf(ln)
}

const plainResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against http.Transport resending a call on its own when a reused
// connection breaks after the request was written. By default, it does so for
// requests without a body that have an idempotency key or an idempotent method.
func TestLibraryNeverResends(t *testing.T) {
	for _, tt := range []struct {
		name, method, header string
		body                 []byte
	}{
		{"get", http.MethodGet, "", nil},
		{"get with body", http.MethodGet, "", []byte("x")},
		{"head", http.MethodHead, "", nil},
		{"options", http.MethodOptions, "", nil},
		{"trace", http.MethodTrace, "", nil},
		{"key without body", http.MethodPost, headerKey, nil},
		{"other key without body", http.MethodPost, headerXKey, nil},
		{"key with body", http.MethodPost, headerKey, []byte("x")},
		{"put", http.MethodPut, "", []byte("x")},
		{"delete", http.MethodDelete, headerKey, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var seen atomic.Int64
			address := rawServer(t, func(nc net.Conn, _ int) {
				rd := bufio.NewReader(nc)
				for first := true; ; first = false {
					req, err := http.ReadRequest(rd)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if req.Header.Get(targetserver.HeaderID) == "b" {
						seen.Add(1)
						if !first {
							return // closes the connection without a response
						}
					}
					_, _ = io.WriteString(nc, plainResponse)
				}
			})
			no := startNode(t, options{target: address})
			no.setTable(nil, no.id)
			require.Equal(t, "ok", post(t, no.caller, "/confirm", "a", []byte("x")).body)
			req := newRequest(t, tt.method, no.caller, "/confirm", "b", tt.body)
			if tt.header != "" {
				req.Header.Set(tt.header, "k")
			}
			an := do(req)
			require.Equal(t, "unknown", an.outcome(), an.body)
			require.Equal(t, int64(1), seen.Load())
		})
	}
}

// Guards against the outcome "not run" for a call of which a byte was sent, and
// the outcome "unknown" for a call without a connection.
func TestOutcomeFollowsBytes(t *testing.T) {
	ln := listen(t)
	closed := addrOf(ln)
	require.NoError(t, ln.Close())
	oneByte := rawServer(t, func(nc net.Conn, _ int) { _, _ = nc.Read(make([]byte, 1)) })
	for _, tt := range []struct {
		name    string
		target  netip.AddrPort
		kind    answerer.Kind
		outcome string
	}{
		{"refused", closed, answerer.NoTarget, "notRun"},
		{"one byte read", oneByte, answerer.OutcomeUnknown, "unknown"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			no := startNode(t, options{target: tt.target})
			no.setTable(nil, no.id)
			post(t, no.caller, "/confirm", "a", []byte("x")).requireError(t, tt.kind, tt.outcome)
			first := startNode(t, options{})
			first.setTable(nil, no.id)
			post(t, first.caller, "/confirm", "a", []byte("x")).requireError(t, tt.kind, tt.outcome)
			first.setTable(nil, tt.target)
			post(t, first.caller, "/confirm", "a", []byte("x")).requireError(t, tt.kind, tt.outcome)
		})
	}
}

// Guards against a write that is sent after its call was reported as not run, and
// against counting a failed write of zero bytes as sent.
func TestBlockWrites(t *testing.T) {
	near, far := net.Pipe()
	co := &conn{Conn: near}
	start := co.writes()
	require.False(t, co.blockWrites(start))
	_, err := co.Write([]byte("late"))
	require.ErrorIs(t, err, errWritesBlocked)
	require.False(t, co.blockWrites(start))

	co = &conn{Conn: near}
	begun := make(chan error, 1)
	go func() {
		_, err := co.Write([]byte("x"))
		begun <- err
	}()
	eventually(t, func() bool { return co.writes() == 1 }, "the write has started")
	require.True(t, co.blockWrites(0), "a write in progress may send its bytes")
	_, err = far.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, <-begun)

	co = &conn{Conn: near}
	require.NoError(t, far.Close())
	_, err = co.Write([]byte("x"))
	require.Error(t, err)
	require.False(t, co.blockWrites(0))
}

// Guards against reusing a connection whose response was abandoned. The next call
// would get the rest of that response.
func TestAbandonedConnectionIsNotReused(t *testing.T) {
	ended := make(chan struct{}, 4)
	address := rawServer(t, func(nc net.Conn, number int) {
		rd := bufio.NewReader(nc)
		for {
			req, err := http.ReadRequest(rd)
			if err != nil {
				ended <- struct{}{}
				return
			}
			if req.Header.Get(targetserver.HeaderID) == "slow" {
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\npart")
				continue
			}
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", number)
		}
	})
	no := startNode(t, options{target: address})
	no.setTable(nil, no.id)
	require.Equal(t, "0", post(t, no.caller, "/confirm", "a", nil).body)
	req := newRequest(t, http.MethodPost, no.caller, "/confirm", "slow", nil)
	req.Header.Set(headerTimeout, "50ms")
	do(req).requireError(t, answerer.DeadlineExceeded, "unknown")
	<-ended
	require.Equal(t, "1", post(t, no.caller, "/confirm", "b", nil).body)
}

// Guards against a truncated response that looks complete to the caller, with
// each kind of framing and through one and two nodes.
func TestTruncatedResponse(t *testing.T) {
	responses := map[string]string{
		"length":       "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\npart",
		"large length": "HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat("x", 80_000),
		"chunks":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"torn chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\npart",
		"no last line": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			address := rawServer(t, func(nc net.Conn, _ int) {
				if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
					_, _ = io.WriteString(nc, response)
				}
			})
			last := startNode(t, options{target: address})
			last.setTable(nil, last.id)
			first := startNode(t, options{})
			first.setTable(nil, last.id)
			for _, to := range []netip.AddrPort{last.caller, first.caller} {
				an := post(t, to, "/confirm", "a", nil)
				if an.err == nil {
					an.requireError(t, answerer.OutcomeUnknown, "unknown")
				}
			}
			eventually(t, func() bool { return len(first.observer.list()) == 1 }, "one observation")
			require.True(t, first.observer.list()[0].Failed)
		})
	}
}

// Guards against accepting responses whose end cannot be distinguished from a
// broken connection, and against rejecting responses without a body.
func TestFraming(t *testing.T) {
	for response, want := range map[string]int{
		"HTTP/1.1 200 OK\r\n\r\nuntil the end":             http.StatusBadGateway,
		"HTTP/1.0 200 OK\r\n\r\nuntil the end":             http.StatusBadGateway,
		"HTTP/1.1 101 Switching Protocols\r\n\r\n":         http.StatusBadGateway,
		"HTTP/1.1 204 No Content\r\n\r\n":                  http.StatusNoContent,
		"HTTP/1.1 304 Not Modified\r\n\r\n":                http.StatusNotModified,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":     http.StatusOK,
		"HTTP/1.1 100 Continue\r\n\r\n" + plainResponse:    http.StatusOK,
		"HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\nok": http.StatusBadGateway,
	} {
		address := rawServer(t, func(nc net.Conn, _ int) {
			if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
				_, _ = io.WriteString(nc, response)
			}
		})
		no := startNode(t, options{target: address})
		no.setTable(nil, no.id)
		require.Equal(t, want, post(t, no.caller, "/confirm", "a", nil).status, response)
	}
}

// Guards against a call that continues at the target after its caller has
// disconnected.
func TestDisconnectCancels(t *testing.T) {
	target, address := startTarget(t, func(se *targetserver.Settings) {
		se.Faults = []targetserver.Fault{{Kind: targetserver.FaultHang}}
	})
	last := startNode(t, options{target: address})
	first := startNode(t, options{})
	first.setTable(nil, last.id)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan answer, 1)
	go func() {
		done <- do(newRequest(t, http.MethodPost, first.caller, "/confirm", "a", []byte("x")).WithContext(ctx))
	}()
	eventually(t, func() bool { return target.InFlight() == 1 }, "the call runs")
	began := time.Now()
	cancel()
	require.Error(t, (<-done).err)
	eventually(t, func() bool { return target.InFlight() == 0 }, "the call is cancelled")
	require.Less(t, time.Since(began), 1500*time.Millisecond, "the deadline ended the call instead")
	eventually(t, func() bool { return last.limiter.InFlight() == 0 }, "the slot is free")
	eventually(t, func() bool { return len(first.observer.list()) == 1 }, "one observation")
	require.True(t, first.observer.list()[0].Cancelled)
}

// Guards against a call that has no response 100 ms after its deadline when the
// target or the peer accepts connections but does not respond. The test subtracts
// the delay of a timer, because the machine may be busy.
func TestSilentPeer(t *testing.T) {
	silent := rawServer(t, func(nc net.Conn, _ int) { _, _ = io.Copy(io.Discard, nc) })
	last := startNode(t, options{target: silent})
	last.setTable(nil, last.id)
	first := startNode(t, options{})
	first.setTable(nil, last.id)
	lost := startNode(t, options{})
	lost.setTable(nil, silent)
	const timeout = 200 * time.Millisecond
	for name, to := range map[string]netip.AddrPort{
		"silent target": last.caller, "two hops": first.caller, "silent peer": lost.caller,
	} {
		t.Run(name, func(t *testing.T) {
			req := newRequest(t, http.MethodPost, to, "/confirm", "a", []byte("x"))
			req.Header.Set(headerTimeout, timeout.String())
			late := make(chan time.Duration, 1)
			began := time.Now()
			time.AfterFunc(timeout, func() { late <- time.Since(began) - timeout })
			an := do(req)
			took := time.Since(began)
			an.requireError(t, answerer.DeadlineExceeded, "unknown")
			require.Equal(t, http.StatusGatewayTimeout, an.status)
			require.Less(t, took-<-late, timeout+errorWriteTime)
		})
	}
}

// Guards against forwarding a response that belongs to another call or does not
// come from a node, and against reusing its connection.
func TestForeignResponse(t *testing.T) {
	for name, tt := range map[string]struct{ echo, body string }{
		"other call": {"other", "not yours"}, "no node": {"", "not yours"}, "no body": {"other", ""},
	} {
		t.Run(name, func(t *testing.T) {
			var conns atomic.Int64
			peer := rawServer(t, func(nc net.Conn, _ int) {
				conns.Add(1)
				rd := bufio.NewReader(nc)
				for {
					if _, err := http.ReadRequest(rd); err != nil {
						return
					}
					_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: answered\r\n"+
						"Content-Length: %d\r\n\r\n%s", headerHop, tt.echo, headerOutcome, len(tt.body), tt.body)
				}
			})
			first := startNode(t, options{})
			first.setTable(nil, peer)
			for nn := range int64(2) {
				if tt.echo != "" {
					expectedViolations.Add(1)
				}
				an := post(t, first.caller, "/confirm", "a", nil)
				an.requireError(t, answerer.OutcomeUnknown, "unknown")
				require.NotContains(t, an.body, "not yours")
				require.Equal(t, nn+1, conns.Load())
			}
		})
	}
}

// Guards against reporting a call that may have been executed as not run, because
// a later attempt was not run.
func TestUnknownOutcomeIsKept(t *testing.T) {
	target, address := startTarget(t, func(se *targetserver.Settings) {
		se.Faults = []targetserver.Fault{{Kind: targetserver.FaultReset}}
	})
	reset, full := startNode(t, options{target: address}), startNode(t, options{target: address, limit: 1})
	require.True(t, full.limiter.TryAcquire(time.Now()))
	first := startNode(t, options{})
	first.setTable(nil, reset.id, full.id)
	an := get(t, first.caller, "/scan", "a")
	an.requireError(t, answerer.OutcomeUnknown, "unknown")
	require.Equal(t, 1, target.Executions("a"))
}

// Guards against calls that use one unresponsive pooled connection after another
// although new connections to the same peer work.
func TestSilentConnections(t *testing.T) {
	const pooled = 4
	var silent atomic.Bool
	var together sync.WaitGroup
	together.Add(pooled)
	address := rawServer(t, func(nc net.Conn, number int) {
		rd := bufio.NewReader(nc)
		for {
			req, err := http.ReadRequest(rd)
			if err != nil {
				return
			}
			if number < pooled && !silent.Load() {
				together.Done()
				together.Wait()
			}
			if silent.Load() && number < pooled {
				continue
			}
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: answered\r\nContent-Length: 2\r\n\r\nok",
				headerHop, req.Header.Get(headerHop), headerOutcome)
		}
	})
	first := startNode(t, options{})
	first.setTable(nil, address)
	answers := make(chan answer, pooled)
	for range pooled {
		go func() { answers <- post(t, first.caller, "/confirm", "a", nil) }()
	}
	for range pooled {
		require.Equal(t, "ok", (<-answers).body)
	}
	silent.Store(true)
	req := newRequest(t, http.MethodPost, first.caller, "/confirm", "b", nil)
	req.Header.Set(headerTimeout, "50ms")
	do(req).requireError(t, answerer.DeadlineExceeded, "unknown")
	require.Equal(t, "ok", post(t, first.caller, "/confirm", "c", nil).body)
}

// Guards against a limiter that attributes a pause of the node's process to the
// latency of the target.
func TestLatenessOfTheNode(t *testing.T) {
	const stop = 5 * time.Second
	var stopped atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(stopped.Load())) }
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		stopped.Add(int64(stop))
		w.WriteHeader(http.StatusOK)
	}))
	node := startNode(t, options{target: address, now: now})
	node.setTable(func(ta *testTable) {
		ta.routes[0].Timeout = checker.Duration(time.Minute)
	}, node.id)
	require.Equal(t, http.StatusOK, get(t, node.caller, "/scan", "late").status)
	eventually(t, func() bool { return node.limiter.InFlight() == 0 }, "the slot is free")
	node.limiter.mu.Lock()
	defer node.limiter.mu.Unlock()
	require.Len(t, node.limiter.results, 1)
	re := node.limiter.last
	require.GreaterOrEqual(t, re.Latency, stop)
	require.Less(t, re.Latency-re.Late, stop/2)
}
