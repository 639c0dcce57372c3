package answerer

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a kind that was added without an entry in the answers table.
func TestEveryKindHasAnAnswer(t *testing.T) {
	seen := map[string]bool{}
	for ki := range kindCount {
		an := ki.Answer()
		require.NotEmpty(t, an.Name)
		require.NotZero(t, an.Status)
		require.False(t, seen[an.Name], "kind %q is listed twice", an.Name)
		seen[an.Name] = true
		parsed, ok := ParseKind(an.Name)
		require.True(t, ok)
		require.Equal(t, ki, parsed)
	}
}

// Guards against losing the kind of an error that is wrapped.
func TestKindSurvivesWrapping(t *testing.T) {
	err := fmt.Errorf("forward: %w", New(Overloaded, "limit of 4 reached"))
	require.Equal(t, Overloaded, KindOf(err))
	require.Equal(t, Draining, KindOf(Wrap(err, Draining, "admit")))
	require.Equal(t, Internal, KindOf(errors.New("plain")))
	require.NoError(t, Wrap(nil, Draining, "admit"))
}
