package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A step of the time of day moves no limit of the leader: leases were renewed, and the
// leader counted as stuck, by a time without the reading of the steady clock.
func TestMomentKeepsTheSteadyClock(t *testing.T) {
	var m moment
	assert.Assert(t, m.get().IsZero())
	at := time.Now()
	m.set(at)
	// Equal ignores the steady clock, == does not.
	assert.Assert(t, m.get() == at && at != at.Round(0))
}
