package carrier

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// serveConns accepts connections and calls serve for each one.
func serveConns(t *testing.T, serve func(conn net.Conn, requests *bufio.Reader)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn, bufio.NewReader(conn))
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func exchangeOf(id string) *exchange {
	return &exchange{
		id: id, idHeader: "X-Id", method: http.MethodGet, uri: "/a?b=c", host: "h",
		extra: [][2]string{{"X-Id", id}}, deadline: time.Now().Add(10 * time.Second),
	}
}

func response200(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " +
		string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// readRequestID reads a request and returns its ID.
func readRequestID(requests *bufio.Reader) (string, bool) {
	rq, err := http.ReadRequest(requests)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, rq.Body)
	return rq.Header.Get("X-Id"), true
}

// beforeSend is called after a connection has been opened, which may take long,
// and only if that succeeded.
func TestBeforeSendRunsAfterConnect(t *testing.T) {
	opened := false
	to := serveConns(t, func(conn net.Conn, requests *bufio.Reader) {
		id, _ := readRequestID(requests)
		_, _ = conn.Write([]byte(response200(id, "a")))
	})
	po := newPool(to, time.Second)
	po.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		opened = true
		return nil
	}
	ex := exchangeOf("1")
	sends := 0
	ex.beforeSend = func() {
		assert.True(t, opened)
		sends++
	}
	_, _, err := po.send(t.Context(), ex, time.Now)
	require.NoError(t, err)
	assert.Equal(t, 1, sends)

	po.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		return errors.New("no connection")
	}
	po.closeIdle()
	_, sent, err := po.send(t.Context(), ex, time.Now)
	require.Error(t, err)
	assert.False(t, sent)
	assert.Equal(t, 1, sends)
}

func TestSendReusesConnections(t *testing.T) {
	conns := make(chan struct{}, 10)
	to := serveConns(t, func(conn net.Conn, requests *bufio.Reader) {
		conns <- struct{}{}
		for {
			id, ok := readRequestID(requests)
			if !ok {
				return
			}
			_, _ = io.WriteString(conn, response200(id, "ok"))
		}
	})
	po := newPool(to, time.Second)
	for _, id := range []string{"1", "2", "3"} {
		re, sent, err := po.send(context.Background(), exchangeOf(id), time.Now)
		require.NoError(t, err)
		assert.True(t, sent)
		assert.Equal(t, "ok", string(re.body))
	}
	assert.Len(t, conns, 1)
}

// A late response to an earlier request is skipped, and the response to the
// current request is returned.
func TestSendSkipsMismatchedResponses(t *testing.T) {
	to := serveConns(t, func(conn net.Conn, requests *bufio.Reader) {
		for {
			id, ok := readRequestID(requests)
			if !ok {
				return
			}
			_, _ = io.WriteString(conn, response200("earlier", "no")+response200(id, "yes"))
		}
	})
	po := newPool(to, time.Second)
	re, _, err := po.send(context.Background(), exchangeOf("1"), time.Now)
	require.NoError(t, err)
	assert.Equal(t, "yes", string(re.body))
	assert.Empty(t, po.idle, "a connection with a mismatched response is not reused")
}

// Guards against an earlier refusal that a faulty target writes once more on a kept
// connection: it must not pass for the answer to the next request, which may run.
func TestSendSkipsRepeatedRefusals(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 Full\r\nX-Id: " + id + "\r\nX-Not: 1\r\nContent-Length: 0\r\n\r\n"
	}
	const noID = "HTTP/1.1 503 Full\r\nX-Not: 1\r\nContent-Length: 0\r\n\r\n"
	for name, tc := range map[string]struct {
		// idle is written after the refusal, running after the next request, and last
		// some time later.
		idle, running, last string
		answered            bool
	}{
		"while idle":            {refusal("1"), "", response200("2", "ok"), true},
		"partly while idle":     {refusal("1")[:9], refusal("1")[9:], response200("2", "ok"), true},
		"while running":         {"", refusal("1"), response200("2", "ok"), true},
		"with the answer":       {"", "", refusal("1") + response200("2", "ok"), true},
		"after the answer":      {"", "", response200("2", "ok") + refusal("1"), true},
		"several":               {"", refusal("1") + refusal("1"), response200("2", "ok"), true},
		"without an ID":         {"", noID, response200("2", "ok"), true},
		"and then the end":      {"", refusal("1"), "", false},
		"without end":           {"", strings.Repeat(refusal("1"), 50), "", false},
		"in place of an answer": {"", refusal("1"), refusal("1"), false},
	} {
		t.Run(name, func(t *testing.T) {
			to := serveConns(t, func(conn net.Conn, requests *bufio.Reader) {
				defer func() { _ = conn.Close() }()
				id, ok := readRequestID(requests)
				if id == "1" {
					_, _ = io.WriteString(conn, refusal(id)+tc.idle)
					if _, ok = readRequestID(requests); ok {
						_, _ = io.WriteString(conn, tc.running)
					}
				}
				if !ok {
					return
				}
				time.Sleep(10 * time.Millisecond)
				_, _ = io.WriteString(conn, tc.last)
			})
			po := newPool(to, time.Second)
			re, _, err := po.send(context.Background(), exchangeOf("1"), time.Now)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, re.status)
			re, sent, err := po.send(context.Background(), exchangeOf("2"), time.Now)
			assert.True(t, sent)
			if !tc.answered {
				require.Error(t, err, "the outcome is unknown")
				return
			}
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, re.status)
			assert.Equal(t, "ok", string(re.body))
		})
	}
}

func TestSendRejectsIncompleteResponses(t *testing.T) {
	for name, text := range map[string]string{
		"cut in the head":      "HTTP/1.1 200 OK\r\nX-Id: 1\r\n",
		"cut in the body":      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nhalf",
		"cut in a chunk":       "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
		"not HTTP":             "hello\r\n\r\n",
		"for other requests":   strings.Repeat(response200("2", "no"), maxMismatchedResponses+1),
		"no response":          "",
		"without a request ID": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
	} {
		to := serveConns(t, func(conn net.Conn, requests *bufio.Reader) {
			readRequestID(requests)
			_, _ = io.WriteString(conn, text)
			_ = conn.Close()
		})
		_, sent, err := newPool(to, time.Second).send(context.Background(), exchangeOf("1"), time.Now)
		assert.Error(t, err, name)
		assert.True(t, sent, name)
	}
}

// A response without a length ends when its connection is closed.
func TestSendUnframed(t *testing.T) {
	to := serveConns(t, func(conn net.Conn, requests *bufio.Reader) {
		readRequestID(requests)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwhole")
		_ = conn.Close()
	})
	po := newPool(to, time.Second)
	re, _, err := po.send(context.Background(), exchangeOf("1"), time.Now)
	require.NoError(t, err)
	assert.Equal(t, "whole", string(re.body))
	assert.Empty(t, po.idle)
}

// A connection on which data or EOF arrived while it was idle is not reused.
func TestIdleConnectionWithPendingData(t *testing.T) {
	extra := make(chan struct{})
	to := serveConns(t, func(conn net.Conn, requests *bufio.Reader) {
		for {
			id, ok := readRequestID(requests)
			if !ok {
				return
			}
			_, _ = io.WriteString(conn, response200(id, "ok"))
			if id == "1" {
				_, _ = io.WriteString(conn, response200("1", "no"))
				close(extra)
			}
		}
	})
	po := newPool(to, time.Second)
	_, _, err := po.send(context.Background(), exchangeOf("1"), time.Now)
	require.NoError(t, err)
	<-extra
	re, _, err := po.send(context.Background(), exchangeOf("2"), time.Now)
	require.NoError(t, err)
	assert.Equal(t, "ok", string(re.body))
}

func TestNothingSentWithoutConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	to := netip.MustParseAddrPort(listener.Addr().String())
	require.NoError(t, listener.Close())
	_, sent, err := newPool(to, time.Second).send(context.Background(), exchangeOf("1"), time.Now)
	require.ErrorIs(t, err, errDial)
	assert.False(t, sent)
}

func TestCancelEndsExchange(t *testing.T) {
	ended := make(chan struct{})
	to := serveConns(t, func(_ net.Conn, requests *bufio.Reader) {
		readRequestID(requests)
		_, _ = requests.ReadByte() // until the connection ends
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, sent, err := newPool(to, time.Second).send(ctx, exchangeOf("1"), time.Now)
	require.Error(t, err)
	assert.True(t, sent)
	<-ended
}

func TestEncodeKeepsRequest(t *testing.T) {
	ex := exchangeOf("1")
	ex.method, ex.body = http.MethodPost, []byte("body")
	ex.header = http.Header{"X-Other": {"a", "b"}}
	to := make(chan *http.Request, 1)
	address := serveConns(t, func(conn net.Conn, requests *bufio.Reader) {
		rq, err := http.ReadRequest(requests)
		if err == nil {
			to <- rq
		}
		_ = conn.Close()
	})
	_, _, err := newPool(address, time.Second).send(context.Background(), ex, time.Now)
	require.Error(t, err)
	rq := <-to
	assert.Equal(t, "/a?b=c", rq.RequestURI)
	assert.Equal(t, "h", rq.Host)
	assert.Equal(t, int64(4), rq.ContentLength)
	assert.Equal(t, []string{"a", "b"}, rq.Header["X-Other"])
}
