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

// Guards against a slow request that keeps those behind it from running, also those with
// a body, and against responses in the order of completion.
func TestPipelinedRunSideBySide(t *testing.T) {
	second, third := make(chan struct{}), make(chan struct{})
	fi := start(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/1":
			<-second
		case "/2":
			body, err := io.ReadAll(r.Body)
			assert.NoError(t, err)
			assert.Equal(t, "abc", string(body))
			<-third
			close(second)
		case "/3":
			close(third)
		}
		echo(w, r)
	}, nil)
	cl := fi.dial()
	cl.get("/1")
	cl.send("POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	cl.get("/3")
	for _, path := range []string{"/1", "/2", "/3"} {
		assert.False(t, cl.answer(path))
	}
	assert.Equal(t, int64(2), fi.counted(requestPipelined))
	_ = cl.Close()
	fi.released()
}

// Guards against a request that must run once and runs before its turn, and against a
// connection that handles one request at a time after such a request.
func TestWaitForTurn(t *testing.T) {
	var answered atomic.Bool
	finish, fourth := make(chan struct{}), make(chan struct{})
	fi := start(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/1":
			<-finish
			answered.Store(true)
		case "/once":
			assert.True(t, answered.Load(), "ran while an earlier response was due")
		case "/3":
			<-fourth
		case "/4":
			defer close(fourth)
		}
		echo(w, r)
	}, nil)
	cl := fi.dial()
	cl.get("/1", "/once", "/3", "/4")
	require.Eventually(t, func() bool { return fi.counted(requestPipelined) == 3 },
		generous, time.Millisecond)
	close(finish)
	for _, path := range []string{"/1", "/once", "/3", "/4"} {
		cl.answer(path)
	}
}

// Guards against a request that runs though an earlier response closes the connection,
// after which the client sends it again, and against a connection that is kept because
// the body of that request is never read.
func TestDroppedBehindClose(t *testing.T) {
	finish := make(chan struct{})
	var ran atomic.Int32
	fi := start(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		<-finish
		w.Header().Set("Connection", "close")
		echo(w, r)
	}, nil)
	cl := fi.dial()
	cl.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" +
		"POST /once HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	require.Eventually(t, func() bool { return fi.counted(requestPipelined) == 1 },
		generous, time.Millisecond)
	close(finish)
	assert.True(t, cl.answer("/1"))
	cl.closed()
	fi.released()
	assert.Equal(t, int32(1), ran.Load())
}

// Guards against a response that closes the connection while later requests that have
// been forwarded are unanswered.
func TestCloseOnLastResponse(t *testing.T) {
	second, finish := make(chan struct{}), make(chan struct{})
	fi := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-second
			w.Header().Set("Connection", "close")
		} else {
			close(second)
			<-finish
		}
		echo(w, r)
	}, nil)
	cl := fi.dial()
	cl.get("/1", "/2")
	assert.False(t, cl.answer("/1"))
	cl.get("/3")
	close(finish)
	assert.True(t, cl.answer("/2"))
	cl.closed()
}

// Guards against work that goes on for a client that has closed its connection: behind
// other requests, after a last request, and within the body of a request.
func TestClientCloseCancels(t *testing.T) {
	for name, sent := range map[string]string{
		"one":       "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"last":      "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"full":      strings.Repeat("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 8),
		"malformed": "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET\r\n\r\n",
		"in a body": "GET /a HTTP/1.1\r\nHost: h\r\n\r\n" +
			"POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			started, cancelled := make(chan struct{}, 8), make(chan struct{}, 8)
			fi := start(t, func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/body" {
					_, _ = io.ReadAll(r.Body)
					return
				}
				started <- struct{}{}
				<-r.Context().Done()
				cancelled <- struct{}{}
			}, nil)
			cl := fi.dial()
			cl.send(sent)
			wait(t, started)
			_ = cl.Close()
			wait(t, cancelled)
			fi.released()
		})
	}
}

// Guards against a panic that ends the process or cuts off an earlier response.
func TestHandlerPanics(t *testing.T) {
	for _, cause := range []any{http.ErrAbortHandler, "fault"} {
		panicking := make(chan struct{})
		fi := start(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/panic" {
				defer close(panicking)
				panic(cause)
			}
			<-panicking
			echo(w, r)
		}, nil)
		cl := fi.dial()
		cl.get("/1", "/panic", "/3")
		cl.answer("/1")
		cl.closed()
		fi.released()
		after := fi.dial()
		after.get("/4")
		after.answer("/4")
	}
}

// Guards against slow readers that keep a response in memory for good.
func TestSlowReaderIsDisconnected(t *testing.T) {
	failed := make(chan error, 1)
	fi := start(t, func(w http.ResponseWriter, _ *http.Request) {
		body := make([]byte, 32<<20)
		w.Header().Set("Content-Length", "33554432")
		_, err := w.Write(body)
		failed <- err
	}, func(cf *Config) { cf.WriteTimeout = 50 * time.Millisecond })
	fi.dial().get("/large")
	require.Error(t, wait(t, failed))
	fi.released()
	assert.Equal(t, int64(1), fi.counted(responseNotRead))
}
