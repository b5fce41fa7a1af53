package leader_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/scheduler"
)

// Guards against jobs that are not counted as waiting although no task of theirs has started: all of their
// starts were rejected, under one leader or under several.
func TestJobsWhoseStartsAreRejectedAreWaiting(t *testing.T) {
	const jobs = 4
	violations := run(t, 8, func(p *pool) {
		var reject atomic.Bool
		reject.Store(true)
		p.rejectStarts(10*time.Millisecond, func(scheduler.Start) fleet.Verdict {
			if reject.Load() {
				return fleet.Malformed
			}
			return fleet.Accepted
		})
		waiting := func() int {
			n, err := p.newest().leader.Waiting(context.Background(), job(1, 1).Queue.Name)
			assert.Check(t, err)
			return n
		}
		p.elect()
		for i := range jobs {
			p.submit(job(i, 1, step(2, 1)))
		}
		for range 8 {
			time.Sleep(time.Second)
			assert.Check(t, is.Equal(waiting(), jobs))
		}
		p.takeOver(time.Second)
		time.Sleep(4 * time.Second)
		assert.Check(t, is.Equal(waiting(), jobs), "next leader")
		reject.Store(false)
		time.Sleep(10 * time.Second)
		assert.Check(t, is.Equal(waiting(), 0), "all have begun")
		p.takeOver(time.Second)
		assert.Check(t, is.Len(p.waitForJobs(30*time.Second), 0))
	})
	assert.DeepEqual(t, violations, []string(nil))
}
