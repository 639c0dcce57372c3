package carrier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Requests that return after a refusal have less time than usual. Neither they
// nor single clients that ask for hours change what is usual.
func TestUsualTime(t *testing.T) {
	const full, back = 1500 * time.Millisecond, 1000 * time.Millisecond
	usual := time.Duration(0)
	for nn := range 2000 {
		left := full
		switch {
		case nn%100 == 50:
			left = 24 * time.Hour
		case nn%3 == 0:
			left = back
		}
		usual = follow(usual, left)
		if nn < 10 {
			continue
		}
		assert.Less(t, float64(back), returningPart*float64(usual), "request %d", nn)
		assert.GreaterOrEqual(t, float64(full), returningPart*float64(usual), "request %d", nn)
	}
}

// An operator who changes clients' times is followed.
func TestUsualTimeFollows(t *testing.T) {
	usual := 1500 * time.Millisecond
	for range 500 {
		usual = follow(usual, 600*time.Millisecond)
	}
	assert.Equal(t, 600*time.Millisecond, usual)
	for range 500 {
		usual = follow(usual, 1500*time.Millisecond)
	}
	assert.Equal(t, 1500*time.Millisecond, usual)
}
