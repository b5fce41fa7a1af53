package leader

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A step of the wall clock must not move the leader's time limits. Lease renewals and the check
// for a stuck leader once used a time without a monotonic clock reading.
func TestAtomicTimeKeepsMonotonicReading(t *testing.T) {
	var m atomicTime
	assert.Assert(t, m.get().IsZero())
	at := time.Now()
	m.set(at)
	assert.Equal(t, m.get().String(), at.String())
	assert.Assert(t, strings.Contains(m.get().String(), " m="), "%s has no monotonic clock reading", m.get())
}
