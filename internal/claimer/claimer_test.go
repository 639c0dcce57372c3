package claimer

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/appender"
	"github.com/guavastall/guavastall/internal/logserver"
)

// start starts a log server on the loopback interface and returns it with a
// client.
func start(t *testing.T) (*logserver.Server, *appender.Client) {
	log := logserver.New(logserver.Config{AppendRate: 10_000})
	srv := httptest.NewServer(log.Handler())
	client, err := appender.New(srv.URL, appender.Config{Timeout: time.Second})
	require.NoError(t, err)
	t.Cleanup(func() {
		client.Close()
		log.Close()
		srv.Close()
	})
	return log, client
}

// Guards against two nodes that both act as the owner of a key and both execute
// the call while responses to appends are lost.
func TestOneWinnerPerKey(t *testing.T) {
	log, client := start(t)
	log.SetFaults(logserver.Faults{DropEvery: 3})
	nodes := []*Claimer{New(client), New(client), New(client)}
	const keys = 20
	var wins [keys]atomic.Int32
	var wg sync.WaitGroup
	for nn, cl := range nodes {
		for key := range keys {
			wg.Go(func() {
				first, err := cl.Claim(t.Context(), "tag", fmt.Sprint("key", key), fmt.Sprint("node", nn))
				if err == nil && first {
					wins[key].Add(1)
				}
			})
		}
	}
	wg.Wait()
	for key := range keys {
		require.LessOrEqual(t, wins[key].Load(), int32(1), "key %d ran more than once", key)
	}
}

// Guards against a restarted owner that executes a call again, and against an
// attempt that loses its own claim when Claim is called again.
func TestClaimSurvivesRestart(t *testing.T) {
	log, client := start(t)
	first, err := New(client).Claim(t.Context(), "tag", "a", "one")
	require.NoError(t, err)
	require.True(t, first)
	_, err = log.Append(streamPrefix+"tag", []byte("not a claim"))
	require.NoError(t, err)

	restarted := New(client)
	first, err = restarted.Claim(t.Context(), "tag", "a", "two")
	require.NoError(t, err)
	require.False(t, first)
	first, err = restarted.Claim(t.Context(), "tag", "b", "three")
	require.NoError(t, err)
	require.True(t, first)
	first, err = restarted.Claim(t.Context(), "tag", "b", "three")
	require.NoError(t, err)
	require.True(t, first)
	first, err = restarted.Claim(t.Context(), "grove", "a", "four")
	require.NoError(t, err)
	require.True(t, first)
}

// Guards against a claim that is granted, or that blocks indefinitely, while the
// log is unreachable.
func TestLogUnreachable(t *testing.T) {
	log, client := start(t)
	log.SetFaults(logserver.Faults{Outage: logserver.Refuse})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	cl := New(client)
	first, err := cl.Claim(ctx, "tag", "a", "one")
	require.Error(t, err)
	require.False(t, first)
	log.SetFaults(logserver.Faults{})
	first, err = cl.Claim(t.Context(), "tag", "a", "one")
	require.NoError(t, err)
	require.True(t, first)
}

// Guards against claims that keep failing after the log has trimmed old records.
func TestTrimmedStream(t *testing.T) {
	log, client := start(t)
	for nn := range 10 {
		_, err := New(client).Claim(t.Context(), "tag", fmt.Sprint("old", nn), "one")
		require.NoError(t, err)
	}
	require.NoError(t, log.Trim(streamPrefix+"tag", 8))
	first, err := New(client).Claim(t.Context(), "tag", "new", "two")
	require.NoError(t, err)
	require.True(t, first)
	_, err = New(client).Claim(t.Context(), "tag", string(make([]byte, maxKeyLength+1)), "x")
	require.ErrorContains(t, err, "the limit is 256")
}
