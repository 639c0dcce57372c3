package checker

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against durations that change when they are encoded and decoded.
func TestDurationRoundTrip(t *testing.T) {
	for _, tt := range []struct {
		name string
		give Duration
	}{
		{"zero", 0},
		{"milliseconds", Duration(250 * time.Millisecond)},
		{"mixed", Duration(90*time.Minute + 1500*time.Millisecond)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			data, err := json.Marshal(tt.give)
			require.NoError(t, err)
			var got Duration
			require.NoError(t, json.Unmarshal(data, &got))
			require.Equal(t, tt.give, got)
		})
	}
}

// Guards against decoding a number without a unit as nanoseconds.
func TestDurationRefusesNumber(t *testing.T) {
	var got Duration
	require.ErrorContains(t, json.Unmarshal([]byte("250"), &got), "250ms")
}
