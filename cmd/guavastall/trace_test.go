package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against entries that are missing, out of order or of other requests, and
// against lines that are skipped without notice.
func TestTrace(t *testing.T) {
	folder := t.TempDir()
	first, last := filepath.Join(folder, "first.log"), filepath.Join(folder, "last.log")
	require.NoError(t, os.WriteFile(first, []byte(
		`{"msg":"request","request":"a1","time":"2026-12-04T10:00:00.3Z","status":503}
not json a1
{"msg":"request","request":"a1.c","time":"2026-12-04T10:00:00.1Z"}
{"msg":"request","request":"b2","time":"2026-12-04T10:00:00.1Z"}
`), 0o600))
	require.NoError(t, os.WriteFile(last, []byte(
		`collector: {"msg":"refuse","request":"a1","time":"2026-12-04T10:00:00.2Z","kind":"overloaded"}
`), 0o600))
	var out, errs bytes.Buffer
	tc := traceCmd{ID: "a1", Files: []string{first, last}}
	require.NoError(t, tc.run(context.Background(), &out, &errs))
	assert.Equal(t, "10:00:00.200 "+last+" refuse kind=overloaded\n"+
		"10:00:00.300 "+first+" request status=503\n", out.String())
	assert.Contains(t, errs.String(), "1 lines are not JSON")

	out.Reset()
	tc.Calls = true
	require.NoError(t, tc.run(context.Background(), &out, &errs))
	assert.Contains(t, out.String(), "request=a1.c")

	tc.ID = "none"
	assert.Error(t, tc.run(context.Background(), &out, &errs))
	tc.Files = []string{filepath.Join(folder, "missing")}
	assert.Error(t, tc.run(context.Background(), &out, &errs))
}
