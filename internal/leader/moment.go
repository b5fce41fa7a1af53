package leader

import (
	"sync/atomic"
	"time"
)

// moment is a point in time that several goroutines share. It keeps the reading of the
// steady clock, which steps of the time of day leave alone.
type moment struct{ at atomic.Pointer[time.Time] }

func (m *moment) set(at time.Time) { m.at.Store(&at) }

// get returns the zero time if the moment was never set.
func (m *moment) get() time.Time {
	if at := m.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
