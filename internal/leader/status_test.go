package leader_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/standin"
)

// A new leader must know the outcomes stored by earlier leaders from its first answer on. It
// once reported a completed job as unknown until its loop had begun.
func TestNewLeaderKnowsStoredOutcomesAtOnce(t *testing.T) {
	violations := run(t, 4, func(p *pool) {
		first := p.elect()
		for i := range 3 { // descriptions are dropped at intervals, the first one at once
			p.submit(job(i, 1, step(4, 1)))
			time.Sleep(time.Second)
		}
		if open := p.waitForJobs(20 * time.Second); len(open) > 0 {
			t.Errorf("not finished: %v", open)
		}
		first.cancel()
		p.wrap = func(c leader.Config) leader.Config {
			c.Now = func() time.Time { time.Sleep(eventCost); return time.Now() }
			return c
		}
		second := p.elect()
		for range 3000 {
			state, err := second.leader.State(context.Background(), job(2, 1).ID, "")
			if !errors.Is(err, leader.ErrDeposed) && (err != nil || state != scheduler.Completed) {
				t.Errorf("state %q, error %v", state, err)
				break
			}
			time.Sleep(time.Millisecond / 10)
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// A query that arrives while a job's outcome is being stored must return that outcome. Clients
// ask just after the last task has ended; if they are told that the job is running, they ask
// again much later.
func TestQueryWaitsForAnOutcomeThatIsBeingStored(t *testing.T) {
	violations := run(t, 4, func(p *pool) {
		l := p.elect()
		p.submit(job(1, 1, step(1, 1)))
		time.Sleep(300 * time.Millisecond)
		p.log.SetFault(standin.LogFault{Slow: 200 * time.Millisecond})
		for p.fleet.UsedAccelerators() > 0 {
			time.Sleep(time.Millisecond)
			p.fleet.Settle()
		}
		time.Sleep(50 * time.Millisecond) // the worker has listed its end
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if state, err := l.leader.State(ctx, job(1, 1).ID, ""); err != nil || state != scheduler.Completed {
			t.Errorf("state %q, error %v", state, err)
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// A query right after a job's last task has ended must report the end, although the leader
// learns of it a moment later. When it reported the job as running, half of the clients asked
// again a quarter of a second later.
func TestQueryRightAfterTheEndReportsIt(t *testing.T) {
	violations := run(t, 4, func(p *pool) {
		l := p.elect()
		for i := range 20 {
			p.submit(job(i, 1, step(1, 1)))
			for p.fleet.UsedAccelerators() == 0 {
				time.Sleep(time.Millisecond)
			}
			for p.fleet.UsedAccelerators() > 0 {
				time.Sleep(time.Millisecond)
				p.fleet.Settle()
			}
			if state, err := l.leader.State(context.Background(), job(i, 1).ID, ""); err != nil || state != scheduler.Completed {
				t.Errorf("state %q, error %v", state, err)
			}
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// A query about a job that keeps running must be answered soon.
func TestQueryAboutARunningJobIsAnsweredSoon(t *testing.T) {
	violations := run(t, 4, func(p *pool) {
		l := p.elect()
		p.submit(job(1, 1, step(1, 1)))
		for p.fleet.UsedAccelerators() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		state, err := l.leader.State(context.Background(), job(1, 1).ID, "")
		if took := time.Since(start); err != nil || state != scheduler.Running || took > 60*time.Millisecond {
			t.Errorf("state %q, error %v after %v", state, err, took)
		}
		if open := p.waitForJobs(20 * time.Second); len(open) > 0 {
			t.Errorf("not finished: %v", open)
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// A job must be known as soon as it is accepted. Clients that asked at once were told that there
// is no such job until the leader had read it.
func TestAcceptedJobIsKnownAtOnce(t *testing.T) {
	violations := run(t, 4, func(p *pool) {
		p.wrap = func(c leader.Config) leader.Config {
			c.Now = func() time.Time { time.Sleep(5 * eventCost); return time.Now() }
			return c
		}
		l := p.elect()
		time.Sleep(300 * time.Millisecond) // until it leads
		for i := range 20 {
			p.submit(job(i, 1, step(1, 1)))
			if state, err := l.leader.State(context.Background(), job(i, 1).ID, ""); err != nil {
				t.Errorf("state %q, error %v", state, err)
			}
		}
		start := time.Now()
		if _, err := l.leader.State(context.Background(), job(99, 1).ID, ""); !errors.Is(err, scheduler.ErrUnknown) || time.Since(start) > 100*time.Millisecond {
			t.Errorf("error %v after %v", err, time.Since(start))
		}
		if open := p.waitForJobs(20 * time.Second); len(open) > 0 {
			t.Errorf("not finished: %v", open)
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
}
