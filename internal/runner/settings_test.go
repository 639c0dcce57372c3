package runner

import (
	"testing"

	"github.com/alexflint/go-arg"
	"github.com/stretchr/testify/require"
)

func parseSettings(t *testing.T, args ...string) *Settings {
	var se Settings
	parser, err := arg.NewParser(arg.Config{}, &se)
	require.NoError(t, err)
	require.NoError(t, parser.Parse(args))
	return &se
}

// Guards against faults in the settings that are reported one at a time, or only
// after the node has started to listen.
func TestSettingsCheck(t *testing.T) {
	good := []string{"--data-centre", "lahore", "--platform-log", "127.0.0.1:9000"}
	require.NoError(t, parseSettings(t, good...).Check())

	err := parseSettings(t, "--slots", "0", "--join-time=-1s", "--log-level", "loud",
		"--target", "127.0.0.1:1", "--listen", "0.0.0.0:7001", "--memory-limit", "64").Check()
	for _, want := range []string{
		"settings have 8 faults", "--slots: 0 is not between", "--join-time", "--log-level",
		"--service: is missing", "--advertise", "--data-centre", "--platform-log", "--memory-limit",
	} {
		require.ErrorContains(t, err, want)
	}

	t.Setenv("GUAVASTALL_DATA_CENTRE", "lahore")
	t.Setenv("GUAVASTALL_SEEDS", "127.0.0.1:7001,127.0.0.1:7002")
	se := parseSettings(t)
	require.NoError(t, se.Check())
	require.Len(t, se.Seeds, 2)
	require.Equal(t, se.Listen, se.Self())
}
