package leader

import (
	"sync/atomic"
	"time"
)

// atomicTime is a time that goroutines share. It keeps the monotonic clock reading, which steps
// of the wall clock do not affect.
type atomicTime struct{ at atomic.Pointer[time.Time] }

func (t *atomicTime) set(at time.Time) { t.at.Store(&at) }

// get returns the zero time if set was never called.
func (t *atomicTime) get() time.Time {
	if at := t.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
