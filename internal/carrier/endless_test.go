package carrier

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a target, or another node, whose bytes never end: in the status
// line, in a header, in informational responses or in a body. The exchange fails at
// once, long before its deadline, and allocates little.
func TestEndlessResponses(t *testing.T) {
	const perExchange = 2*maxResponseBytes + 8<<20 // a body, a copy of it, the server
	line := strings.Repeat("x", 1000)
	for name, tc := range map[string]struct{ start, more string }{
		"status line":   {"HTTP/1.1 200 ", line},
		"no answer":     {"", line},
		"header":        {"HTTP/1.1 200 OK\r\n", "X-More: " + line + "\r\n"},
		"header line":   {"HTTP/1.1 200 OK\r\nX-More: ", line},
		"informational": {"", "HTTP/1.1 103 Early Hints\r\nX-More: " + line + "\r\n\r\n"},
		"body":          {"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n", line},
		"chunks": {
			"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n",
			"3e8\r\n" + line + "\r\n",
		},
		"chunk extension": {
			"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n1;", line,
		},
		"trailer": {
			"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
			"X-More: " + line + "\r\n",
		},
		"length too great": {"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 99999999999\r\n\r\n", line},
	} {
		t.Run(name, func(t *testing.T) {
			address := serveConns(t, func(conn net.Conn, requests *bufio.Reader) {
				defer func() { _ = conn.Close() }()
				if _, ok := readRequestID(requests); !ok {
					return
				}
				_, err := conn.Write([]byte(tc.start))
				for err == nil {
					_, err = conn.Write([]byte(tc.more))
				}
			})
			po := newPool(address, time.Second)
			ex := exchangeOf("a")
			ex.deadline = time.Now().Add(time.Hour)
			ex.lease = &lease{memory: newBodyMemory(0)}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, sent, err := po.send(context.Background(), ex, time.Now)
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			assert.True(t, sent, "the request may have run")
			assert.Empty(t, po.idle, "the connection is not used again")
			assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(perExchange))
			assert.LessOrEqual(t, ex.lease.held, int64(maxResponseBytes+bodyChunkBytes))
		})
	}
}

// Guards against large bodies that together exceed the memory of the process.
func TestBodiesShareMemory(t *testing.T) {
	const size, exchanges = 1 << 20, 40
	memory := newBodyMemory(40 << 20) // room for ten of them
	address := serveConns(t, func(conn net.Conn, requests *bufio.Reader) {
		defer func() { _ = conn.Close() }()
		for {
			id, ok := readRequestID(requests) // connections are used again
			if !ok {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
				id, size, strings.Repeat("x", size))
		}
	})
	po := newPool(address, time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	served, refused := 0, 0
	var leases []*lease
	for range exchanges {
		group.Go(func() {
			ex := exchangeOf("a")
			ex.lease = &lease{memory: memory}
			_, _, err := po.send(context.Background(), ex, time.Now)
			mu.Lock()
			defer mu.Unlock()
			leases = append(leases, ex.lease)
			if err == nil {
				served++
				return
			}
			assert.ErrorIs(t, err, errBodyMemory)
			refused++
		})
	}
	group.Wait()
	assert.Equal(t, 10, served)
	assert.Equal(t, exchanges-10, refused)
	for _, le := range leases {
		le.release()
	}
	assert.Zero(t, memory.Used())
}
