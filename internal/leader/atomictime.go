package leader

import (
	"sync/atomic"
	"time"
)

// atomicTime is a time that goroutines share. It keeps the monotonic clock reading, which steps
// of the wall clock do not affect.
type atomicTime struct{ at atomic.Pointer[time.Time] }

func (m *atomicTime) set(at time.Time) { m.at.Store(&at) }

// get returns the zero time if set was never called.
func (m *atomicTime) get() time.Time {
	if at := m.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
