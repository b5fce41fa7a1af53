package leader_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/scheduler"
)

// startRecorder records which workers get starts.
type startRecorder struct {
	leader.Workers
	mu      sync.Mutex
	workers []string
}

// Start implements leader.Workers.
func (r *startRecorder) Start(ctx context.Context, o scheduler.Start, token, deadline int64) (fleet.OrderAnswer, error) {
	r.mu.Lock()
	r.workers = append(r.workers, o.Worker)
	r.mu.Unlock()
	return r.Workers.Start(ctx, o, token, deadline)
}

// Guards against work that is given up because its worker is silent for a while: as long as its
// leases may run, under this leader or the next one, it must run on and its result must count.
func TestSilentWorkerKeepsItsWork(t *testing.T) {
	for name, takeover := range map[string]bool{"same leader": false, "next leader": true} {
		violations := run(t, 2, func(p *pool) {
			first := p.elect()
			p.submit(job(1, 1, step(8, 2)))
			time.Sleep(500 * time.Millisecond)
			p.fleet.SetUnreachable("w00", true)
			time.Sleep(testLease / 3)
			if takeover {
				first.cancel()
				p.elect()
			}
			time.Sleep(testLease / 3)
			p.fleet.SetUnreachable("w00", false)
			if open := p.waitForJobs(20 * time.Second); len(open) > 0 {
				t.Errorf("%s: not finished: %v", name, open)
			}
			assert.Equal(t, p.fleet.Starts(), 8, "%s: work was started again", name)
		})
		assert.DeepEqual(t, violations, []string(nil))
	}
}

// Guards against a leader that starts work, after it was elected or restarted, on a worker that
// is leaving or has left.
func TestNextLeaderStartsNothingOnLeavingWorkers(t *testing.T) {
	violations := run(t, 3, func(p *pool) {
		first := p.elect()
		p.submit(job(1, 1, step(12, 2)))
		time.Sleep(500 * time.Millisecond)
		p.fleet.SetDraining("w00")
		p.fleet.Crash("w01", false)
		first.cancel()
		var recorder *startRecorder
		p.wrap = func(c leader.Config) leader.Config {
			recorder = &startRecorder{Workers: c.Workers}
			c.Workers = recorder
			return c
		}
		p.elect()
		p.submit(job(2, 1, step(12, 2)))
		if open := p.waitForJobs(60 * time.Second); len(open) > 0 {
			t.Errorf("not finished: %v", open)
		}
		recorder.mu.Lock()
		defer recorder.mu.Unlock()
		assert.Assert(t, len(recorder.workers) > 0)
		for _, id := range recorder.workers {
			assert.Assert(t, id == "w02", "a start was sent to %s", id)
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// Guards against work that waits too long after a change of leader: a run was lost with a worker
// that left, and the next leader waited for its lease beyond the time at which clients ask for
// their jobs.
func TestWorkLostAtATakeoverStartsAgainInTime(t *testing.T) {
	const (
		longestLease = 10 * time.Second // of the sites
		finishTime   = 14 * time.Second
	)
	violations := run(t, 2, func(p *pool) {
		p.wrap = func(c leader.Config) leader.Config {
			c.Scheduler.MaxLease = longestLease
			return c
		}
		first := p.elect()
		p.submit(job(1, 1, step(8, 2)))
		time.Sleep(300 * time.Millisecond)
		p.fleet.Crash("w00", false)
		first.cancel()
		p.elect()
		time.Sleep(finishTime - 500*time.Millisecond)
		assert.Assert(t, p.fleet.Starts() > 8, "the lost work has not been started again")
		if open := p.waitForJobs(20 * time.Second); len(open) > 0 {
			t.Errorf("not finished: %v", open)
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
}
