package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/targetserver"
	"github.com/guavastall/guavastall/pkg/checker"
)

// Guards against a draining node that accepts new calls, or that does not wait
// for the calls in flight.
func TestDrain(t *testing.T) {
	target, address := startTarget(t, func(se *targetserver.Settings) {
		se.WorkTime = checker.Duration(50 * time.Millisecond)
	})
	no := startNode(t, options{target: address, limit: 1, queue: true})
	no.setTable(nil, no.id)
	first := startNode(t, options{})
	first.setTable(nil, no.id)
	running, waiting := make(chan answer, 1), make(chan answer, 1)
	go func() { running <- post(t, first.caller, "/confirm", "running", nil) }()
	eventually(t, func() bool { return target.InFlight() == 1 }, "one call runs")
	go func() { waiting <- post(t, first.caller, "/confirm", "waiting", nil) }()
	eventually(t, func() bool { _, nn := no.fw.InFlight(); return nn == 2 }, "one call waits")

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, no.fw.Drain(ctx))
	require.Equal(t, "answered", (<-running).outcome())
	(<-waiting).requireError(t, answerer.Draining, "notRun")
	an := post(t, first.caller, "/confirm", "late", nil)
	an.requireError(t, answerer.Draining, "notRun")
	require.Zero(t, target.Executions("waiting")+target.Executions("late"))

	gone, stop := context.WithCancel(ctx)
	stop()
	no.fw.remote.count.Add(1)
	require.ErrorIs(t, no.fw.Drain(gone), context.Canceled)
	require.ErrorIs(t, Stop(gone, no.fw, no.callers, no.peers), context.Canceled)
	no.fw.remote.count.Add(-1)
}

// Guards against executing a request that was in transit on an idle connection
// when the server sent its close notice, and against its sender not being told
// that it was not executed.
func TestRequestCrossesCloseNotice(t *testing.T) {
	var ran atomic.Int64
	sv := NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }), nil)
	ln := listen(t)
	done := make(chan error, 1)
	go func() { done <- sv.Serve(ln) }()
	nc, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	const head = "POST / HTTP/1.1\r\nHost: tag\r\nContent-Length: 0\r\n"
	_, err = io.WriteString(nc, head+"\r\n"+head)
	require.NoError(t, err)
	rd := bufio.NewReader(nc)
	resp, err := http.ReadResponse(rd, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	drained := make(chan error, 1)
	go func() { drained <- sv.Drain(context.Background()) }()
	resp, err = http.ReadResponse(rd, nil)
	require.NoError(t, err)
	require.Equal(t, "notRun", resp.Header.Get(headerOutcome))
	require.Equal(t, "draining", resp.Header.Get(headerError))
	require.True(t, resp.Close)
	_, err = io.WriteString(nc, "\r\n") // the request is complete only now
	require.NoError(t, err)
	_, err = rd.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, nc.Close())
	require.NoError(t, <-drained)
	require.NoError(t, <-done)
	require.Equal(t, int64(1), ran.Load())
}

// Guards against reporting a call as unknown whose connection was closed by a
// close notice. This happened when http.Transport read the notice before it had
// associated the call with the connection.
func TestCloseNoticeIsDetected(t *testing.T) {
	near, far := net.Pipe()
	co := &conn{Conn: near}
	send := func(text string) {
		go func() { _, _ = io.WriteString(far, text) }()
		_, err := io.ReadAtLeast(co, make([]byte, len(text)), len(text))
		require.NoError(t, err)
	}
	send(string(closeNoticeText))
	require.False(t, co.closeNotice.Load(), "the text inside a response is not a close notice")
	ct := connTracker{}
	ct.gotConn(httptrace.GotConnInfo{Conn: co})
	send("HTTP/1.1 200 OK\r\n")
	send(string(closeNoticeText))
	require.False(t, ct.peerClosed())
	ct.responseRead()
	send(string(closeNoticeText))
	require.True(t, ct.peerClosed())

	peer := rawServer(t, func(nc net.Conn, _ int) { _, _ = nc.Read(make([]byte, 1)) })
	first := startNode(t, options{})
	first.setTable(nil, peer)
	post(t, first.caller, "/confirm", "a", nil).requireError(t, answerer.OutcomeUnknown, "unknown")
	po := first.fw.peer(peer)
	dial := po.DialContext
	po.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err == nil {
			nc.(*conn).closeNotice.Store(true)
		}
		return nc, err
	}
	post(t, first.caller, "/confirm", "a", nil).requireError(t, answerer.Draining, "notRun")
}

// workers make calls until they are stopped. Each worker has its own connections.
type workers struct {
	t        *testing.T
	open     sync.WaitGroup
	stopped  atomic.Bool
	calls    atomic.Int64
	failures chan string
}

// start starts workers that call the first address. A worker switches to the
// second address if the first refuses the connection or responds "not run".
func (wo *workers) start(count int, first, second netip.AddrPort) {
	for worker := range count {
		client := &http.Client{Transport: &http.Transport{}}
		wo.open.Go(func() {
			defer client.CloseIdleConnections()
			to := first
			for nn := 0; !wo.stopped.Load(); nn++ {
				id := fmt.Sprintf("%s-%d-%d", wo.t.Name(), worker, nn)
				if wo.call(client, to, id) {
					continue
				}
				if to == second {
					wo.failures <- id + ": the second address failed too"
					return
				}
				to = second
				nn--
			}
		})
	}
}

// call makes one call. It returns false if the call was not run.
func (wo *workers) call(client *http.Client, to netip.AddrPort, id string) bool {
	req := newRequest(wo.t, http.MethodPost, to, "/confirm", id, nil)
	// A body without GetBody prevents the client from resending on its own.
	req.Body, req.ContentLength = io.NopCloser(bytes.NewReader([]byte("x"))), 1
	resp, err := client.Do(req)
	if err != nil {
		var op *net.OpError
		if asError(err, &op) && op.Op == "dial" {
			return false
		}
		wo.failures <- id + ": " + err.Error()
		return true
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	switch outcome := resp.Header.Get(headerOutcome); {
	case err != nil:
		wo.failures <- id + ": " + err.Error()
	case outcome == "notRun":
		return false
	case outcome != "answered" || !bytes.Equal(body, targetserver.Body(id, 1024)):
		wo.failures <- fmt.Sprintf("%s: %s %d %s", id, outcome, resp.StatusCode, body)
	default:
		wo.calls.Add(1)
	}
	return true
}

// finish stops the workers and returns their failures.
func (wo *workers) finish() []string {
	wo.stopped.Store(true)
	wo.open.Wait()
	close(wo.failures)
	var bad []string
	for text := range wo.failures {
		bad = append(bad, text)
	}
	return bad
}

// Guards against a planned stop that loses a call, both when the stopping node is
// the last node and when it is the first node of calls in flight.
func TestPlannedStopLosesNoCall(t *testing.T) {
	for _, role := range []string{"last node", "last node without linger", "first node"} {
		t.Run(role, func(t *testing.T) {
			target, address := startTarget(t, func(se *targetserver.Settings) {
				se.WorkTime = checker.Duration(time.Millisecond)
			})
			leaving := startNode(t, options{target: address})
			staying := startNode(t, options{target: address})
			first := startNode(t, options{})
			first.setTable(nil, leaving.id, staying.id)
			leaving.setTable(nil, leaving.id, staying.id)
			staying.setTable(nil, staying.id)
			wo := &workers{t: t, failures: make(chan string, 1000)}
			if role != "first node" {
				if role != "last node" {
					// Close notices race with calls in flight.
					leaving.peers.minIdle = 0
				}
				wo.start(16, first.caller, staying.caller)
			} else {
				wo.start(16, leaving.caller, staying.caller)
			}
			eventually(t, func() bool { return wo.calls.Load() >= 200 }, "200 calls before")
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			require.NoError(t, Stop(ctx, leaving.fw, leaving.callers, leaving.peers))
			before := wo.calls.Load()
			eventually(t, func() bool { return wo.calls.Load() >= before+200 }, "200 calls after")
			require.Empty(t, wo.finish())
			require.Equal(t, uint64(wo.calls.Load()), target.Calls(), "each call ran once")
		})
	}
}
