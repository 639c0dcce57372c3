package operator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newTestClient(t *testing.T, status int, body string) *Client {
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		wr.WriteHeader(status)
		_, _ = wr.Write([]byte(body))
	}))
	t.Cleanup(srv.Close)
	return New(netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")), "", time.Second)
}

// Guards against treating an error response that is not an operator error, such as
// that of another server, as success.
func TestErrors(t *testing.T) {
	for _, tt := range []struct {
		name, body, kind string
		status           int
	}{
		{"typed", `{"error":"staleRevision","message":"read again"}`, "staleRevision", 409},
		{"other server", `<html>`, "internal", 502},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := newTestClient(t, tt.status, tt.body).Status(t.Context())
			var oe *Error
			require.ErrorAs(t, err, &oe)
			require.Equal(t, tt.kind, oe.Kind)
		})
	}
}

// Guards against Wait reporting success when its context ends.
func TestWaitEnds(t *testing.T) {
	cl := newTestClient(t, 200, `{"revision":3,"everywhere":false,"dataCentres":[{"dataCentre":"lahore"}]}`)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	co, err := cl.Wait(ctx, 3)
	require.ErrorIs(t, err, ErrNotEverywhere)
	require.Len(t, co.DataCentres, 1)
}

// Guards against reporting a stopped node with any error but ErrUnreachable.
func TestUnreachable(t *testing.T) {
	cl := New(netip.MustParseAddrPort("127.0.0.1:1"), "", time.Second)
	_, err := cl.Moves(t.Context())
	require.ErrorIs(t, err, ErrUnreachable)
}
