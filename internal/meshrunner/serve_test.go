package meshrunner

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against requests that are cut off without a response because the server
// had accepted them just before it was stopped.
func TestStopCompletesAcceptedRequest(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(free.Addr().String())
	require.NoError(t, free.Close())

	accepted, finish := make(chan struct{}), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		accepted <- struct{}{}
		<-finish
		_, _ = fmt.Fprint(w, "whole")
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	listener, err := net.Listen("tcp", address.String())
	require.NoError(t, err)
	go serveUntil(ctx, newServer(handler), listener, done)
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", address.String())
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	}, shutdownTimeout*10, shutdownTimeout/100)

	answered := make(chan error, 1)
	go func() {
		rs, err := http.Get("http://" + address.String())
		if err == nil {
			_ = rs.Body.Close()
			assert.Equal(t, http.StatusOK, rs.StatusCode)
		}
		answered <- err
	}()
	<-accepted
	cancel()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", address.String())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, shutdownTimeout*10, shutdownTimeout/100, "the listener closes at once")
	close(finish)
	require.NoError(t, <-answered)
	require.NoError(t, <-done)
}
