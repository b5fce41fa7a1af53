package leader

import (
	"sync/atomic"
	"time"
)

// atomicTime is a point in time that several goroutines share. It keeps the reading of the
// steady clock, which steps of the time of day leave alone.
type atomicTime struct{ at atomic.Pointer[time.Time] }

func (m *atomicTime) set(at time.Time) { m.at.Store(&at) }

// get returns the zero time if the moment was never set.
func (m *atomicTime) get() time.Time {
	if at := m.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
