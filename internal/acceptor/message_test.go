package acceptor

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against bodies that are read as the next request, or the other way round.
func TestBodies(t *testing.T) {
	fi := start(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.NoError(t, err)
		_, _ = io.WriteString(w, r.URL.Path+" "+string(body))
	}, nil)
	cl := fi.dial()
	cl.send("\r\nPOST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" +
		"POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"2\r\nde\r\n1\r\nf\r\n0\r\nX: trailer\r\n\r\n" +
		"POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\nGET /4 HTTP/1.1\r\nHost: h\r\n\r\n" +
		"POST /5 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
	for _, want := range []string{"/1 abc", "/2 def", "/3 ", "/4 "} {
		assert.False(t, cl.answer(want))
	}
	rs, err := http.ReadResponse(cl.reader, nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusContinue, rs.StatusCode)
	cl.send("ghi")
	cl.answer("/5 ghi")
	_ = cl.Close()
	fi.released()
}

// Guards against the rest of an unread body that is run as a request, and against an
// interim response after the final one.
func TestUnreadBodyCloses(t *testing.T) {
	var ran atomic.Int32
	fi := start(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "no")
		_, _ = r.Body.Read(make([]byte, 1))
	}, nil)
	for _, field := range []string{"X: y", "Expect: 100-continue"} {
		cl := fi.dial()
		cl.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n" + field + "\r\n\r\n" +
			"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.True(t, cl.answer("no"))
		cl.closed()
	}
	fi.released()
	assert.Equal(t, int32(2), ran.Load())
}

// Guards against responses whose framing the client reads differently.
func TestFraming(t *testing.T) {
	fi := start(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Transfer-Encoding", "chunked")
		w.Header()["X-Split"] = []string{"a\r\nInjected: b"}
		switch r.URL.Path {
		case "/204":
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusNoContent)
		case "/head":
			w.Header().Set("Content-Length", "5")
			w.WriteHeader(http.StatusOK)
		case "/short":
			w.Header().Set("Content-Length", "5")
		case "/long":
			w.Header().Set("Content-Length", "1")
		}
		_, err := io.WriteString(w, "body"[:4])
		assert.Equal(t, r.URL.Path == "/204" || r.URL.Path == "/long", err != nil, r.URL.Path)
	}, nil)
	cl := fi.dial()
	cl.send("GET /204 HTTP/1.1\r\nHost: h\r\n\r\nHEAD /head HTTP/1.1\r\nHost: h\r\n\r\n")
	cl.get("/plain")
	rs, _ := cl.read(http.MethodGet)
	assert.Equal(t, http.StatusNoContent, rs.StatusCode)
	assert.Empty(t, rs.Header["Content-Length"])
	rs, _ = cl.read(http.MethodHead)
	assert.Equal(t, int64(5), rs.ContentLength)
	rs, body := cl.read(http.MethodGet)
	assert.Equal(t, "body", body)
	assert.Empty(t, rs.TransferEncoding)
	assert.Empty(t, rs.Header["Injected"])
	for _, path := range []string{"/short", "/long"} {
		cl = fi.dial()
		cl.get(path, "/plain")
		rest, _ := io.ReadAll(cl.reader)
		assert.NotContains(t, string(rest), "\r\n\r\nbodyHTTP", path)
		assert.LessOrEqual(t, strings.Count(string(rest), "HTTP/1.1"), 1, path)
	}
}

// Guards against heads that exhaust the memory, and against requests that other servers
// on the path read differently. None of them runs.
func TestRejectedHeads(t *testing.T) {
	const line, host = "GET / HTTP/1.1\r\n", "Host: h\r\n"
	long := strings.Repeat("x", 20<<10)
	for name, tc := range map[string]struct {
		sent   string
		status int
	}{
		"long value":         {line + host + "A: " + long + "\r\n\r\n", 431},
		"endless line":       {"GET /" + long, 431},
		"endless fields":     {line + strings.Repeat("A: b\r\n", 4<<10), 431},
		"endless lines":      {strings.Repeat("\r\n", 4<<10), 400},
		"endless returns":    {strings.Repeat("\r", 4<<10), 400},
		"no request line":    {"GET\r\n\r\n", 400},
		"no host":            {line + "\r\n", 400},
		"two hosts":          {line + host + host + "\r\n", 400},
		"bad host":           {line + "Host: a b\r\n\r\n", 400},
		"control character":  {line + host + "A: b\x01c\r\n\r\n", 400},
		"carriage return":    {line + host + "A: b\rB: c\r\n\r\n", 400},
		"space in a name":    {line + host + "Content-Length : 5\r\n\r\nGET /", 400},
		"no colon":           {line + host + "A\r\n\r\n", 400},
		"two lengths":        {line + host + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 400},
		"unknown encoding":   {line + host + "Transfer-Encoding: gzip\r\n\r\n", 400},
		"unknown version":    {"GET / HTTP/2.0\r\n" + host + "\r\n", 400},
		"within a head":      {line + "Ho", 408},
		"after the first":    {line + host + "\r\nGET\r\n\r\n", 400},
		"chunked and length": {line + host + "Transfer-Encoding: chunked, chunked\r\n\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fi := start(t, func(w http.ResponseWriter, r *http.Request) {
				assert.Equal(t, "after the first", name, "the request ran")
				echo(w, r)
			}, func(cf *Config) {
				if tc.status == http.StatusRequestTimeout {
					cf.HeadTimeout = 50 * time.Millisecond
				}
			})
			cl := fi.dial()
			cl.send(tc.sent)
			if name == "after the first" {
				assert.False(t, cl.answer("/"))
			}
			rs, _ := cl.read(http.MethodGet)
			assert.Equal(t, tc.status, rs.StatusCode)
			assert.True(t, rs.Close)
			cl.closed()
			fi.released()
		})
	}
}

// Guards against heads of many short fields, which take far more memory than they have
// bytes.
func TestHeadMemory(t *testing.T) {
	fi := start(t, echo, func(cf *Config) { cf.HeadMemory = 256 << 10 })
	cl := fi.dial()
	cl.send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A:\r\n", 3<<10))
	rs, _ := cl.read(http.MethodGet)
	assert.Equal(t, http.StatusServiceUnavailable, rs.StatusCode)
	assert.NotEmpty(t, rs.Header.Get("Retry-After"))
	cl.closed()
	fi.released()
}

// Guards against incomplete heads that take all memory, so that ordinary requests are
// refused.
func TestHeadMemoryIsFreed(t *testing.T) {
	fi := startLimited(t, echo, func(cf *Config) { cf.HeadMemory = 32 << 10 }, 100, 100<<10)
	hostile := []*client{fi.dial(), fi.dial()}
	for _, cl := range hostile {
		cl.send("GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 14<<10))
	}
	require.Eventually(t, func() bool { return fi.limited("closedHeads") == 1 },
		generous, time.Millisecond)
	cl := fi.dial()
	cl.get("/ordinary")
	cl.answer("/ordinary")
	for _, other := range append(hostile, cl) {
		_ = other.Close()
	}
	fi.released()
	assert.Equal(t, int64(1), fi.limited("closedHeads"))
	assert.Zero(t, fi.counted(headMemoryFull), "nobody is refused")
}
