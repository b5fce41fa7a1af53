package leader

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A step of the time of day moves no limit of the leader: leases were renewed, and the
// leader counted as stuck, by a time without the reading of the steady clock.
func TestAtomicTimeKeepsMonotonicReading(t *testing.T) {
	var m atomicTime
	assert.Assert(t, m.get().IsZero())
	at := time.Now()
	m.set(at)
	assert.Equal(t, m.get().String(), at.String())
	assert.Assert(t, strings.Contains(m.get().String(), " m="), "%s has no reading of the steady clock", m.get())
}
