package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a command line that reports success for a missing command.
func TestRun(t *testing.T) {
	var out, errs bytes.Buffer
	require.Equal(t, 0, run([]string{"version"}, &out, &errs))
	require.Contains(t, out.String(), version)
	require.Equal(t, 2, run(nil, &out, &errs))
}
