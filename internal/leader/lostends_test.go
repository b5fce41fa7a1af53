package leader_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/scheduler"
)

// restartsOnAck restarts a worker while the first renewal that acknowledges ends is on its way, and records what
// the next process lists and is asked to forget.
type restartsOnAck struct {
	leader.Workers
	restart func()

	mu        *sync.Mutex
	restarted *bool
	listed    map[int64]int64 // largest number of an end, by process
	forgotten map[int64]int64 // the same of those to forget
}

// Renew implements leader.Workers.
func (r restartsOnAck) Renew(ctx context.Context, id, address string, req fleet.Renewal) (fleet.RenewalAnswer, error) {
	r.mu.Lock()
	restarts := req.ForgetUpTo > 0 && !*r.restarted
	*r.restarted = *r.restarted || restarts
	r.mu.Unlock()
	if restarts {
		r.restart()
		time.Sleep(400 * time.Millisecond) // until the next process answers
	}
	answer, err := r.Workers.Renew(ctx, id, address, req)
	r.mu.Lock()
	defer r.mu.Unlock()
	if born := answer.Report.Incarnation; err == nil {
		for _, e := range answer.Report.Ended {
			r.listed[born] = max(r.listed[born], e.Number)
		}
		if !restarts {
			r.forgotten[born] = max(r.forgotten[born], req.ForgetUpTo)
		}
	}
	return answer, err
}

// Guards against ends that are never acknowledged, or too early: a renewal acknowledged ends of a process that had ended
// before it arrived, and the next process counted as if it had listed them.
func TestEndsAcknowledgedToTheNextProcessDoNotCount(t *testing.T) {
	violations := run(t, 1, func(p *pool) {
		r := restartsOnAck{mu: &sync.Mutex{}, restarted: new(bool), listed: map[int64]int64{}, forgotten: map[int64]int64{}}
		r.restart = func() { p.fleet.Crash("w00", true) }
		p.wrap = func(c leader.Config) leader.Config {
			r.Workers = c.Workers
			c.Workers = r
			return c
		}
		p.workOf = func(string) (time.Duration, bool) { return 300 * time.Millisecond, false }
		p.elect()
		time.Sleep(time.Second)
		p.submit(job(1, 1, step(8, 1)))
		assert.Check(t, is.Len(p.waitForJobs(20*time.Second), 0))
		time.Sleep(3 * time.Second)
		for i := range 3 {
			p.submit(job(2+i, 1, step(1, 1)))
			assert.Check(t, is.Len(p.waitForJobs(20*time.Second), 0))
			assert.Check(t, is.Equal(p.state(job(2+i, 1).ID), scheduler.Completed))
		}
		time.Sleep(2 * time.Second)
		r.mu.Lock()
		defer r.mu.Unlock()
		assert.Check(t, *r.restarted)
		newest := int64(0)
		for born := range r.listed {
			newest = max(newest, born)
		}
		assert.Check(t, is.Equal(r.listed[newest], int64(3)), "ends of the last process")
		assert.Check(t, is.Equal(r.forgotten[newest], int64(3)), "the last that it was asked to forget")
	})
	assert.DeepEqual(t, violations, []string(nil))
}
