package asserter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against violations that are neither counted nor passed to the handler.
func TestThat(t *testing.T) {
	var got []Violation
	SetHandler(func(vi Violation) { got = append(got, vi) })
	t.Cleanup(func() { SetHandler(nil) })

	before := Violations()
	require.True(t, That(true, "revision", "unused"))
	require.False(t, That(false, "revision", "%d after %d", 3, 4))
	require.Equal(t, before+1, Violations())
	require.Equal(t, []Violation{{Invariant: "revision", Detail: "3 after 4"}}, got)
}
