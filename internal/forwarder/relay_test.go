package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/targetserver"
)

// noCut disables the cut in one direction of a relay.
const noCut = -1

// tcpRelay relays bytes between a client and a server. It closes both directions
// at a byte offset of either, counted from the call of setCuts.
type tcpRelay struct {
	address netip.AddrPort

	mu                sync.Mutex
	request, response int
	conns             map[net.Conn]struct{}
	open              sync.WaitGroup
}

func startRelay(tb testing.TB, to netip.AddrPort) *tcpRelay {
	re := &tcpRelay{request: noCut, response: noCut, conns: map[net.Conn]struct{}{}}
	ln := listen(tb)
	re.address = addrOf(ln)
	re.open.Go(func() {
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", to.String())
			if err != nil {
				_ = client.Close()
				continue
			}
			re.relay(client, server)
		}
	})
	tb.Cleanup(func() {
		_ = ln.Close()
		re.reset()
		re.open.Wait()
	})
	return re
}

// setCuts makes the relay cut after the given number of further bytes of the
// request or the response.
func (re *tcpRelay) setCuts(request, response int) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.request, re.response = request, response
}

// reset closes all connections.
func (re *tcpRelay) reset() {
	re.mu.Lock()
	defer re.mu.Unlock()
	for nc := range re.conns {
		_ = nc.Close()
	}
}

func (re *tcpRelay) relay(client, server net.Conn) {
	re.mu.Lock()
	re.conns[client], re.conns[server] = struct{}{}, struct{}{}
	re.mu.Unlock()
	// Reset the client, but only half-close the server, so that it receives
	// every byte up to the cut.
	end := func() {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		_ = server.(*net.TCPConn).CloseWrite()
	}
	re.open.Go(func() {
		re.copy(server, client, &re.request)
		end()
	})
	re.open.Go(func() {
		re.copy(client, server, &re.response)
		end()
		_, _ = io.Copy(io.Discard, server)
		_ = server.Close()
		re.mu.Lock()
		defer re.mu.Unlock()
		delete(re.conns, client)
		delete(re.conns, server)
	})
}

// copy relays bytes until an error or the cut.
func (re *tcpRelay) copy(to, from net.Conn, left *int) {
	buffer := make([]byte, 4<<10)
	for {
		nn, err := from.Read(buffer)
		re.mu.Lock()
		cut := *left != noCut && nn >= *left
		if cut {
			nn = *left
		} else if *left != noCut {
			*left -= nn
		}
		re.mu.Unlock()
		if _, werr := to.Write(buffer[:nn]); werr != nil || err != nil || cut {
			return
		}
	}
}

// Guards against a call that is not idempotent and is executed twice, the outcome
// "not run" for a call that was executed, and an incomplete response. The
// connection is cut at every byte of a request and of a response: between the
// caller and the first node, between the nodes and before the target, on new and
// on reused connections.
func TestResetAtEveryByte(t *testing.T) {
	target, address := startTarget(t, func(se *targetserver.Settings) { se.ResponseBytes = 64 })
	beforeTarget := startRelay(t, address)
	last := startNode(t, options{target: beforeTarget.address})
	betweenNodes := startRelay(t, last.id)
	first := startNode(t, options{})
	first.setTable(nil, betweenNodes.address)
	beforeFirst := startRelay(t, first.caller)

	stride := 1
	if testing.Short() {
		stride = 11
	}
	// These bounds are larger than a request and a response.
	const requestBytes, responseBytes = 420, 420
	for name, re := range map[string]*tcpRelay{
		"caller": beforeFirst, "nodes": betweenNodes, "target": beforeTarget,
	} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s reused %t", name, reused), func(t *testing.T) {
				cuts := &cutRun{t: t, target: target, to: beforeFirst.address, relay: re, reused: reused}
				for offset := 0; offset < requestBytes; offset += stride {
					cuts.call(offset, noCut)
				}
				for offset := 0; offset < responseBytes; offset += stride {
					cuts.call(noCut, offset)
				}
				cuts.check()
			})
		}
	}
	eventually(t, func() bool { return last.limiter.InFlight() == 0 }, "all slots are free")
}

// warmSuffix is the suffix of the IDs of warm-up calls.
const warmSuffix = "-warm"

// cutRun makes calls through a relay that cuts their connections.
type cutRun struct {
	t       *testing.T
	target  *targetserver.Server
	to      netip.AddrPort
	relay   *tcpRelay
	reused  bool
	results map[string]answer
	// answered says that the previous call was answered.
	answered bool
	// crossed is the number of warm-up calls that failed because of the reset
	// of the previous call.
	crossed int
}

func (cr *cutRun) call(request, response int) {
	if cr.results == nil {
		cr.results = map[string]answer{}
	}
	cr.relay.setCuts(noCut, noCut)
	id := fmt.Sprintf("%s-%d-%d", cr.t.Name(), request, response)
	if cr.reused {
		cr.warm(id)
	} else {
		cr.relay.reset()
	}
	cr.relay.setCuts(request, response)
	req := newRequest(cr.t, http.MethodPost, cr.to, "/confirm", id, []byte("a body of 20 bytes.."))
	req.Header.Set(headerKey, "key")
	cr.results[id] = do(req)
	cr.answered = cr.results[id].status == http.StatusOK
}

// warm makes a call that leaves idle connections in the pools. If the relay cut
// after the last byte of the previous response, it resets a connection that is
// already back in its pool, so this call can fail because of the reset. It is then
// checked like the others, and the call after it must succeed.
func (cr *cutRun) warm(id string) {
	warming := newRequest(cr.t, http.MethodPost, cr.to, "/confirm", id+warmSuffix, []byte("warm"))
	an := do(warming)
	cr.results[id+warmSuffix] = an
	if an.status == http.StatusOK {
		return
	}
	require.True(cr.t, cr.answered, "%s: no response came before the reset: %+v", id, an)
	cr.crossed++
	an = post(cr.t, cr.to, "/confirm", "", []byte("warm"))
	require.Equal(cr.t, http.StatusOK, an.status, "%s: %+v", id, an)
}

// check compares the outcomes reported to the callers with the executions at the
// target.
func (cr *cutRun) check() {
	cr.relay.setCuts(noCut, noCut)
	eventually(cr.t, func() bool { return cr.target.InFlight() == 0 }, "the target is free")
	outcomes := map[string]int{}
	for id, an := range cr.results {
		ran := cr.target.Executions(id)
		require.LessOrEqual(cr.t, ran, 1, id)
		if an.err != nil {
			outcomes["broken"]++
			continue
		}
		if !strings.HasSuffix(id, warmSuffix) {
			outcomes[an.outcome()]++
		}
		switch an.outcome() {
		case "answered":
			require.Equal(cr.t, 1, ran, id)
			require.Equal(cr.t, http.StatusOK, an.status, id)
			require.Equal(cr.t, string(targetserver.Body(id, 64)), an.body, id)
		case "notRun":
			require.Zero(cr.t, ran, id)
		case "unknown":
		default:
			cr.t.Fatalf("%s has no outcome: %d %q", id, an.status, an.body)
		}
	}
	require.Positive(cr.t, outcomes["answered"], "the bounds do not reach the end of a message")
	require.Positive(cr.t, outcomes["unknown"]+outcomes["broken"])
	// In each direction, at most one cut is exactly at the end of a response.
	require.LessOrEqual(cr.t, cr.crossed, 2)
	cr.t.Log(outcomes)
}
