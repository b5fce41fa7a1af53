package leader

import (
	"sync/atomic"
	"time"
)

// atomicTime is a time that goroutines share. It keeps the monotonic clock reading, which steps
// of the wall clock do not affect.
type atomicTime struct{ at atomic.Pointer[time.Time] }

func (t *atomicTime) set(at time.Time) { t.at.Store(&at) }

// advance sets the time unless it is later already.
func (t *atomicTime) advance(at time.Time) {
	for {
		old := t.at.Load()
		if old != nil && !at.After(*old) || t.at.CompareAndSwap(old, &at) {
			return
		}
	}
}

// get returns the zero time if set was never called.
func (t *atomicTime) get() time.Time {
	if at := t.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
