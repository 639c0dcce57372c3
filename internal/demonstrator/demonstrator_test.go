package demonstrator

import (
	"bytes"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Guards against a document that the configuration check rejects.
func TestDocument(t *testing.T) {
	require.Empty(t, checker.Check(document()))
}

// Guards against a failed check that does not fail the demonstration. The whole
// demonstration depends on timing, so .ci/run runs it separately.
func TestCheck(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var out bytes.Buffer
	de := New(&out, log)
	de.check(true, "first")
	require.False(t, de.failed)
	de.check(false, "second")
	de.check(true, "third")
	require.True(t, de.failed)
	require.Contains(t, out.String(), "FAILED second")
}
