package leader_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/standin"
)

// slowChecks breaks the connection of the first start, and makes renewals without a lease slow from then on.
// The first of them fails.
type slowChecks struct {
	leader.Workers
	starts, checks *atomic.Int64
	started        func() // called for each start
}

func (s slowChecks) Start(ctx context.Context, o scheduler.Start, token, deadline int64) (fleet.OrderAnswer, error) {
	s.started()
	if s.starts.Add(1) == 1 {
		time.Sleep(350 * time.Millisecond)
		return fleet.OrderAnswer{}, fleet.ErrUnanswered
	}
	return s.Workers.Start(ctx, o, token, deadline)
}

func (s slowChecks) Renew(ctx context.Context, id, address string, r fleet.Renewal) (fleet.RenewalAnswer, error) {
	if s.starts.Load() > 0 && r.Deadline == 0 && r.Wait == 0 {
		if s.checks.Add(1) == 1 {
			time.Sleep(300 * time.Millisecond)
			return fleet.RenewalAnswer{}, fleet.ErrUnanswered
		}
		time.Sleep(480 * time.Millisecond)
	}
	return s.Workers.Renew(ctx, id, address, r)
}

// Guards against a start that a deposed leader sends after the time that the next one counts with: the check of
// the worker's process before a repeat took so long that the last write had become too old.
func TestRepeatedStartIsNotSentAfterItsWindow(t *testing.T) {
	// window is how long after its last write a leader may send starts.
	const window = 1100 * time.Millisecond
	violations := run(t, 1, func(p *pool) {
		var starts, checks atomic.Int64
		var l *testLeader
		var lostAt, lastStart time.Time
		p.wrap = func(c leader.Config) leader.Config {
			c.Workers = slowChecks{c.Workers, &starts, &checks, func() {
				lastStart = time.Now()
				if lostAt.IsZero() {
					lostAt = lastStart
					p.log.SetVMFault(l.vm, &standin.LogFault{Silent: true})
				}
			}}
			return c
		}
		l = p.elect()
		time.Sleep(time.Second)
		p.submit(job(1, 1, step(1, 8)))
		time.Sleep(5 * time.Second)
		assert.Check(t, checks.Load() >= 2, "%d checks", checks.Load())
		assert.Check(t, lastStart.Sub(lostAt) <= window, "start sent %v after the last write", lastStart.Sub(lostAt))
		p.log.SetVMFault(l.vm, nil)
	})
	assert.DeepEqual(t, violations, []string(nil))
}
