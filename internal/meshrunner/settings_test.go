package meshrunner

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestColdRate(t *testing.T) {
	se := &Settings{ColdFactor: 1.5, ColdSlack: 8}
	assert.Equal(t, 1.5*13+4, se.coldRate(13))
	assert.Zero(t, se.coldRate(0), "no rate is no limit")
	se.ColdSlack = 0
	assert.Equal(t, 1.5*13, se.coldRate(13))
}
