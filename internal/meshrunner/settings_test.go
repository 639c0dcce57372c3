package meshrunner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/guavastall/guavastall/internal/connlimiter"
)

func TestColdRate(t *testing.T) {
	se := &Settings{ColdFactor: 1.5, ColdSlack: 8}
	assert.Equal(t, 1.5*13+4, se.coldRate(13))
	assert.Zero(t, se.coldRate(0), "no rate is no limit")
	se.ColdSlack = 0
	assert.Equal(t, 1.5*13, se.coldRate(13))
}

// Guards against clients that take the descriptors of connections to targets and nodes,
// or the memory of requests.
func TestClientConns(t *testing.T) {
	for name, tc := range map[string]struct {
		budget connlimiter.Budget
		want   int
	}{
		"descriptors":  {connlimiter.Budget{Memory: 284 << 20, Descriptors: 4200}, 1200},
		"memory":       {connlimiter.Budget{Memory: 32 << 20, Descriptors: 8192}, 491},
		"at least few": {connlimiter.Budget{Memory: 1 << 20, Descriptors: 64}, 16},
	} {
		assert.Equal(t, tc.want, tc.budget.Conns(clientConnShare), name)
	}
	assert.LessOrEqual(t, clientConnShare+nodesConnShare, 0.8, "room for connections out")
}

// Guards against limits that ordinary clients reach: operators allow heads of 16 KiB in
// 3 s and connections that are idle for 15 s.
func TestClientLimitsAboveOperators(t *testing.T) {
	assert.GreaterOrEqual(t, maxHeaderBytes, 16384)
	assert.GreaterOrEqual(t, headerTimeout, 3*time.Second)
	assert.GreaterOrEqual(t, idleTimeout, 15*time.Second)
}
