package connlimiter

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func newListener(maxConns int, maxHeadMemory int64) *Listener {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(nil, Config{
		Name: "test", MaxConns: maxConns, MaxHeadMemory: maxHeadMemory, Log: log,
		Metrics: metrics.NewRegistry(), Now: func() time.Time { return start },
	})
}

// open returns an admitted connection and its client's end.
func open(t *testing.T, li *Listener) (*Conn, net.Conn) {
	server, client := net.Pipe()
	t.Cleanup(func() {
		_ = server.Close()
		_ = client.Close()
	})
	return li.admit(server, start), client
}

// Guards against a crowd that takes the connections of ordinary clients, and against
// closing a connection whose request is in flight.
func TestTooManyConnections(t *testing.T) {
	li := newListener(3, 1<<20)
	idle, _ := open(t, li)
	require.True(t, idle.BeginRequest())
	idle.EndRequest()
	busy, _ := open(t, li)
	require.True(t, busy.BeginRequest())
	silent, _ := open(t, li)

	next, _ := open(t, li)
	assert.True(t, silent.closed, "a connection without a request is closed first")
	assert.False(t, silent.BeginRequest(), "a request on a closed connection does not run")
	require.True(t, next.BeginRequest())
	last, _ := open(t, li)
	assert.True(t, idle.closed, "then the idle one")
	require.True(t, last.BeginRequest())
	refused, _ := open(t, li)
	assert.Nil(t, refused, "all others have a request in flight")
	assert.False(t, busy.closed || next.closed || last.closed)
	assert.EqualValues(t, 3, li.closedConns.Count())

	require.NoError(t, busy.Close())
	require.NoError(t, busy.Close())
	assert.EqualValues(t, 2, li.count())
}

// Guards against memory exhausted by heads that are never finished, and against bytes
// of bodies that count as heads.
func TestUnfinishedHeads(t *testing.T) {
	const maxMemory = 100 * (lineBytes + 3*byteFactor)
	li := newListener(10, maxMemory)
	send := func(co *Conn, client net.Conn, lines int) {
		text := strings.Repeat("a\r\n", lines)
		go func() { _, _ = io.WriteString(client, text) }()
		_, err := io.ReadFull(co, make([]byte, len(text)))
		require.NoError(t, err)
	}
	first, firstEnd := open(t, li)
	send(first, firstEnd, 200)
	assert.False(t, first.closed, "a single head is bounded by the server only")
	second, secondEnd := open(t, li)
	send(second, secondEnd, 60)
	assert.True(t, first.closed, "the oldest head is closed first")
	require.True(t, second.BeginRequest())
	assert.Zero(t, li.headMemory)
	send(second, secondEnd, 200)
	assert.Zero(t, li.headMemory, "a body is no head")
	second.EndRequest()
	send(second, secondEnd, 60)
	third, thirdEnd := open(t, li)
	send(third, thirdEnd, 41)
	assert.True(t, second.closed)
	assert.False(t, third.closed)
	require.NoError(t, third.Close())
	assert.Zero(t, li.headMemory)
	assert.Zero(t, li.heads.Len()+li.fresh.Len()+li.idle.Len())
}

// Guards against limits that ordinary nodes meet on the smallest machine of a large
// deployment, and with the default settings of `guavastall node`: two connections of
// each of 750 nodes.
func TestBudget(t *testing.T) {
	smallest := Budget{Descriptors: 4100, Memory: 184 << 20}
	assert.GreaterOrEqual(t, smallest.Conns(0.5), 750*2)
	byDefault := Budget{Descriptors: 3000, Memory: 58720256}
	assert.GreaterOrEqual(t, byDefault.Conns(0.55), 750*2)
	assert.Equal(t, minConns, Budget{Descriptors: 100, Memory: 1 << 30}.Conns(0.5))
	bu := NewBudget(0, 0)
	assert.Positive(t, bu.Descriptors)
	assert.EqualValues(t, defaultMemory, bu.Memory)
	assert.Equal(t, 10, NewBudget(10, 1).Descriptors)
}
