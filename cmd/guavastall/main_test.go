package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against wrong exit codes, which operators' scripts rely on, and against
// errors that do not say which value is expected.
func TestExitCodes(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.json")
	require.NoError(t, os.WriteFile(broken, []byte(`{"profiles": {"a": {"ruoting": {}}}}`), 0o600))
	for _, tt := range []struct {
		name, args, want string
		code             int
	}{
		{"version", "version", version, 0},
		{"help", "--help", "Usage", 0},
		{"no command", "", "Usage", 2},
		{"unknown command", "publishh", "invalid subcommand", 2},
		{"valid document", "check ../../examples/yaadgar.json", "2 profiles, 2 services", 0},
		{"valid document of Magnolia", "check ../../examples/magnolia.json", "is valid", 0},
		{"missing file", "check none.json", "none.json", 2},
		{"unknown field", "check " + broken, `unknown field "ruoting"`, 2},
		{"bad output", "moves --output xml", "write text or json", 2},
		{"bad change", "datacentre up lahore", "write out or in", 2},
		{"deadline in the past", "choose tag --by=-3m", "lies in the past", 2},
		{"no node", "status --node 127.0.0.1:1 --timeout 1s", "127.0.0.1:1", 6},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			code := run(t.Context(), strings.Fields(tt.args), &out, &out)
			require.Contains(t, out.String(), tt.want)
			require.Equal(t, tt.code, code)
		})
	}
}

// Guards against deadlines that are parsed with the wrong unit or sign.
func TestParseDeadline(t *testing.T) {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	got, err := parseDeadline("30m", now)
	require.NoError(t, err)
	require.Equal(t, now.Add(30*time.Minute), got)
	got, err = parseDeadline("2026-12-04T12:00:00Z", now)
	require.NoError(t, err)
	require.Equal(t, now.Add(3*time.Hour), got)
	_, err = parseDeadline("noon", now)
	require.ErrorContains(t, err, "write a duration such as 30m")
}
