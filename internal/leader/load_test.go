package leader_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/store"
)

// slowFence delays writes to the leader's stream.
type slowFence struct {
	leader.Log
	delay time.Duration
}

func (s slowFence) Append(ctx context.Context, stream store.Stream, records []store.Record, o store.AppendOptions) (int64, error) {
	if stream == leader.Stream {
		time.Sleep(s.delay)
	}
	return s.Log.Append(ctx, stream, records, o)
}

// Guards against work that runs twice after a change of the leader: the next one read the jobs while
// its fence was still on the way, and the state after it. Results of a job that was accepted and
// started in between were acknowledged as those of an unknown job.
func TestNextLeaderKnowsAllJobsOfTheStoredState(t *testing.T) {
	violations := run(t, 4, func(p *pool) {
		p.workOf = func(string) (time.Duration, bool) { return 500 * time.Millisecond, false }
		first := p.elect()
		time.Sleep(time.Second)
		p.wrap = func(c leader.Config) leader.Config {
			c.Log = slowFence{c.Log, 800 * time.Millisecond}
			return c
		}
		p.elect()
		time.Sleep(20 * time.Millisecond)
		p.submit(job(1, 1, step(8, 1)))
		time.Sleep(280 * time.Millisecond)
		first.cancel()
		open := p.waitForJobs(30 * time.Second)
		assert.Check(t, is.Len(open, 0))
		assert.Check(t, is.Equal(p.fleet.Starts(), 8), "starts")
	})
	assert.DeepEqual(t, violations, []string(nil))
}
