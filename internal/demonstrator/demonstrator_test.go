package demonstrator

import (
	"bytes"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// Guards against a first command of the README that fails: every check of the
// demonstration must hold.
func TestDemonstration(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var out bytes.Buffer
	err := New(&out, log).Run(t.Context())
	require.NoError(t, err, out.String())
	require.Contains(t, out.String(), "every check held")
	require.NotContains(t, out.String(), "FAILED")
}
