package operator

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/suspend/suspendtest"
)

// Guards against a VM that was paused or suspended and accepts jobs under a configuration that
// may have been replaced meanwhile, for example with a key that was withdrawn.
func TestConfirmationDoesNotOutliveAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxAge = 1800 * time.Millisecond
		clocks := &suspendtest.Clocks{}
		c := newConfirmation(maxAge, slog.New(slog.DiscardHandler), clocks)
		time.Sleep(time.Second)
		assert.Assert(t, !c.recent(), "nothing is confirmed at the start")
		c.confirm(time.Now())
		assert.Assert(t, c.recent())

		time.Sleep(maxAge)
		assert.Assert(t, !c.recent(), "the process was paused")
		c.confirm(time.Now())
		assert.Assert(t, c.recent())

		askedAt := time.Now()
		clocks.Suspend(3 * time.Second) // the steady clock stands still
		assert.Assert(t, !c.recent(), "the machine was suspended")
		time.Sleep(time.Millisecond)
		c.confirm(askedAt)
		assert.Assert(t, !c.recent(), "the read was sent before the suspension")
		c.confirm(time.Now())
		assert.Assert(t, c.recent())
	})
}
