package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an exit code of 0 for an invalid command line.
func TestUsage(t *testing.T) {
	for _, args := range []string{"", "logg", "load", "target --slots many"} {
		var out bytes.Buffer
		require.Equal(t, 2, run(t.Context(), strings.Fields(args), &out, &out), args)
	}
}

// Guards against a load run without a report, and against servers that keep
// running after their context is done.
func TestRuns(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(srv.Close)
	var out, errs bytes.Buffer
	node := strings.TrimPrefix(srv.URL, "http://")
	code := run(t.Context(), []string{"load", "--node", node, "--service", "tag", "--duration", "100ms"},
		&out, &errs)
	require.Zero(t, code, errs.String())
	require.Contains(t, out.String(), `"due": 10`)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	for _, args := range []string{"log --listen 127.0.0.1:0", "target --listen 127.0.0.1:0"} {
		require.Zero(t, run(ctx, strings.Fields(args), &out, &errs), errs.String())
	}
}
