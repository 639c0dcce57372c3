package admitter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against an average pace that includes the cold time of the target, and against
// an old pace that counts as the present one.
func TestPaceMeterCold(t *testing.T) {
	var pm PaceMeter
	now := time.Unix(1_000, 0)
	for nn := range 100 {
		pm.Add(2, nn < 50, now)
		if nn >= 50 {
			pm.Add(1, false, now)
		}
		now = now.Add(20 * time.Millisecond)
	}
	assert.InDelta(t, 1.5, pm.Pace().Average, 0.06)
	pa := Pace{Latest: 3, Average: 1, At: now}
	assert.InDelta(t, 3, pa.Expected(0, now), 1e-9)
	assert.InDelta(t, 1, pa.Expected(0, now.Add(5*time.Second)), 0.01)
	assert.Greater(t, pa.Expected(0, now), pa.Expected(time.Second, now))
}
