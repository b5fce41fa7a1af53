package leader_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/store"
)

// lostReads gives no answer to a number of reads of the registry.
type lostReads struct {
	leader.Registry
	left *atomic.Int64
}

// WorkerChanges implements leader.Registry.
func (l lostReads) WorkerChanges(ctx context.Context, from int64) (fleet.Registry, error) {
	if l.left.Add(-1) >= 0 {
		<-ctx.Done()
		return fleet.Registry{}, store.ErrUncertain
	}
	return l.Registry.WorkerChanges(ctx, from)
}

// Guards against new work for a worker that has announced its end: two reads of the registry in a row got no
// answer, and the next one was sent only after both had been given up.
func TestDrainIsNoticedAlthoughTwoReadsAreLost(t *testing.T) {
	// drainBound is how long after its announcement a draining worker may get work, by the users' rules.
	const drainBound = 2 * time.Second
	violations := run(t, 1, func(p *pool) {
		var lost atomic.Int64
		p.wrap = func(c leader.Config) leader.Config {
			c.Registry = lostReads{c.Registry, &lost}
			return c
		}
		p.elect()
		time.Sleep(5 * time.Second)
		for offset := range 6 {
			before := p.fleet.Starts()
			time.Sleep(time.Duration(offset) * 90 * time.Millisecond) // of the time between two reads
			lost.Store(2)
			p.fleet.SetDraining("w00")
			time.Sleep(drainBound)
			p.submit(job(offset, 1, step(1, 1)))
			time.Sleep(2 * time.Second)
			assert.Check(t, is.Equal(p.fleet.Starts(), before), "starts on a draining worker")
			p.fleet.Crash("w00", true) // the next process does not drain
			time.Sleep(5 * time.Second)
			assert.Check(t, is.Equal(p.fleet.Starts(), before+1), "starts on the next process")
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// heldReads holds the answer of a read of the registry until the test lets it go.
type heldReads struct {
	leader.Registry
	hold    *atomic.Bool
	release chan struct{}
}

// WorkerChanges implements leader.Registry.
func (h heldReads) WorkerChanges(ctx context.Context, from int64) (fleet.Registry, error) {
	reg, err := h.Registry.WorkerChanges(ctx, from)
	if h.hold.CompareAndSwap(true, false) {
		<-h.release
	}
	return reg, err
}

// Guards against an answer that is late and older than what is known: a worker that drains would get work again.
func TestLateReadOfTheRegistryChangesNothing(t *testing.T) {
	violations := run(t, 1, func(p *pool) {
		h := heldReads{hold: &atomic.Bool{}, release: make(chan struct{})}
		p.wrap = func(c leader.Config) leader.Config {
			h.Registry = c.Registry
			c.Registry = h
			return c
		}
		p.elect()
		time.Sleep(5 * time.Second)
		h.hold.Store(true)
		for h.hold.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		p.fleet.SetDraining("w00")
		time.Sleep(700 * time.Millisecond) // a later read
		close(h.release)
		time.Sleep(10 * time.Millisecond)
		p.submit(job(1, 1, step(1, 1)))
		time.Sleep(400 * time.Millisecond) // before the next one
		assert.Check(t, is.Equal(p.fleet.Starts(), 0), "starts on a draining worker")
	})
	assert.DeepEqual(t, violations, []string(nil))
}
