package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/targetserver"
)

// Guards against a slow body that blocks a handler beyond the call's deadline.
func TestSlowBody(t *testing.T) {
	target, address := startTarget(t, nil)
	no := startNode(t, options{target: address})
	no.setTable(nil, no.id)
	for name, length := range map[string]int{"in memory": 10, "streamed": maxReplayBytes + 1} {
		t.Run(name, func(t *testing.T) {
			nc, err := net.Dial("tcp", no.caller.String())
			require.NoError(t, err)
			defer func() { _ = nc.Close() }()
			_, err = fmt.Fprintf(nc, "POST /confirm HTTP/1.1\r\nHost: tag\r\n%s: 50ms\r\n"+
				"Content-Length: %d\r\n\r\nx", headerTimeout, length)
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
			eventually(t, func() bool { nn, _ := no.fw.InFlight(); return nn == 0 }, "the handler ends")
		})
	}
	eventually(t, func() bool { return target.InFlight() == 0 }, "the target is free")
}

// Guards against http.Server closing a streamed body at the start of the response
// while http.Transport is still reading it to EOF. The Transport then aborts the
// response.
func TestStreamedBodyAndEarlyResponse(t *testing.T) {
	_, address := startTarget(t, func(se *targetserver.Settings) { se.ResponseBytes = 100_000 })
	last, first := startNode(t, options{target: address}), startNode(t, options{})
	last.setTable(nil, last.id)
	first.setTable(nil, last.id)
	answers := make(chan answer, 8)
	rounds := 100
	if testing.Short() {
		rounds = 20
	}
	for range rounds {
		for range cap(answers) {
			go func() {
				req := newRequest(t, http.MethodPost, first.caller, "/confirm", "a", nil)
				req.Body = io.NopCloser(io.LimitReader(zeros{}, maxReplayBytes+1))
				req.ContentLength = maxReplayBytes + 1
				answers <- do(req)
			}()
		}
		for range cap(answers) {
			an := <-answers
			require.NoError(t, an.err)
			require.Equal(t, "answered", an.outcome(), an.body)
		}
	}
}

// Guards against a response that is held until the end of the request. The caller
// may not send the end before it has received the start of the response.
func TestResponseBeforeEndOfRequest(t *testing.T) {
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rc := http.NewResponseController(w)
		_ = rc.EnableFullDuplex()
		_, _ = io.WriteString(w, "first")
		_ = rc.Flush()
		_, _ = io.Copy(w, r.Body)
	}))
	last, first := startNode(t, options{target: address}), startNode(t, options{})
	first.setTable(nil, last.id)
	body, more := io.Pipe()
	req := newRequest(t, http.MethodPost, first.caller, "/confirm", "a", nil)
	req.Body, req.ContentLength = body, -1
	resp, err := caller.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	part := make([]byte, 5)
	_, err = io.ReadFull(resp.Body, part)
	require.NoError(t, err)
	_, err = io.WriteString(more, "second")
	require.NoError(t, err)
	require.NoError(t, more.Close())
	rest, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "firstsecond", string(part)+string(rest))
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(data []byte) (int, error) { return len(data), nil }

// Guards against buffering large bodies in memory.
func TestLargeBodiesAreStreamed(t *testing.T) {
	const size = 64 << 20
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		nn, err := io.Copy(io.Discard, r.Body)
		if err != nil || nn != size {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.CopyN(w, zeros{}, size)
	}))
	last := startNode(t, options{target: address})
	first := startNode(t, options{})
	first.setTable(func(ta *testTable) {
		ta.profile.Limits.MaxBodyBytes = size
		ta.routes[len(ta.routes)-1].Timeout *= 30
	}, last.id)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	req := newRequest(t, http.MethodPost, first.caller, "/confirm", "a", nil)
	req.Body, req.ContentLength = io.NopCloser(io.LimitReader(zeros{}, size)), -1
	resp, err := caller.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	nn, err := io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.Equal(t, int64(size), nn)
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(size/4))
}

// Guards against buffering a response of unknown length until its end.
func TestChunksArePassedOnAtOnce(t *testing.T) {
	more := make(chan struct{})
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		<-more
		_, _ = io.WriteString(w, "second")
	}))
	last := startNode(t, options{target: address})
	first := startNode(t, options{})
	first.setTable(nil, last.id)
	resp, err := caller.Do(newRequest(t, http.MethodGet, first.caller, "/scan", "a", nil))
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	part := make([]byte, 5)
	_, err = io.ReadFull(resp.Body, part)
	require.NoError(t, err)
	require.Equal(t, "first", string(part))
	close(more)
	rest, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "second", string(rest))
}

// Guards against malformed or oversized request headers that are answered without
// a kind and an outcome, or not at all.
func TestMalformedRequests(t *testing.T) {
	target, address := startTarget(t, nil)
	no := startNode(t, options{target: address})
	no.setTable(nil, no.id)
	for name, tt := range map[string]struct {
		text string
		kind answerer.Kind
	}{
		"no HTTP":       {"hello\r\n\r\n", answerer.BadRequest},
		"no host":       {"GET /scan HTTP/1.1\r\n\r\n", answerer.BadRequest},
		"header":        {"GET /scan HTTP/1.1\r\nHost: tag\r\nbad header\r\n\r\n", answerer.BadRequest},
		"two lengths":   {"POST / HTTP/1.1\r\nHost: tag\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", answerer.BadRequest},
		"encoding":      {"POST / HTTP/1.1\r\nHost: tag\r\nTransfer-Encoding: zip\r\n\r\n", answerer.BadRequest},
		"connect":       {"CONNECT tag:80 HTTP/1.1\r\nHost: tag\r\n\r\n", answerer.BadRequest},
		"relative path": {"GET scan HTTP/1.1\r\nHost: tag\r\n\r\n", answerer.BadRequest},
		"large header": {
			"GET /scan HTTP/1.1\r\nHost: tag\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", answerer.TooLarge,
		},
	} {
		t.Run(name, func(t *testing.T) {
			nc, err := net.Dial("tcp", no.caller.String())
			require.NoError(t, err)
			defer func() { _ = nc.Close() }()
			_, _ = io.WriteString(nc, tt.text)
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			answer{resp.StatusCode, resp.Header, string(body), nil}.requireError(t, tt.kind, "notRun")
		})
	}
	require.Zero(t, target.Calls())
}

// Guards against a client that keeps a connection open by sending its header
// slowly.
func TestSlowHead(t *testing.T) {
	sv := NewServer(http.NotFoundHandler(), nil)
	require.Equal(t, readHeaderTimeout, sv.server.ReadHeaderTimeout)
	sv.server.ReadHeaderTimeout = 20 * time.Millisecond
	ln := listen(t)
	done := make(chan error, 1)
	go func() { done <- sv.Serve(ln) }()
	nc, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(nc, "GET / HTTP/1.1\r\nHost:")
	require.NoError(t, err)
	_, err = nc.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, sv.Close())
	require.NoError(t, <-done)
}
