package checker

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "250ms".
type Duration time.Duration

// MarshalJSON encodes the duration in the format of time.Duration.String.
func (du Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(du).String())
}

// UnmarshalJSON decodes a string in the format of time.ParseDuration.
func (du *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration %s is not a string such as \"250ms\"", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("duration %q is not of the form \"250ms\" or \"2s\"", text)
	}
	*du = Duration(parsed)
	return nil
}
