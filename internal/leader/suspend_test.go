package leader_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/suspend/suspendtest"
)

// electWithClocks elects a leader whose machine has the given clocks.
func (p *pool) electWithClocks(c *suspendtest.Clocks) *testLeader {
	p.wrap = func(cfg leader.Config) leader.Config {
		cfg.Clocks = c
		return cfg
	}
	defer func() { p.wrap = nil }()
	return p.elect()
}

// Guards against a leader that acts on a permission that ran out while its machine was suspended:
// it would send starts and renewals, and tell callers that a job is unknown that another VM
// accepted meanwhile.
func TestSuspendedLeaderActsNoMore(t *testing.T) {
	violations := run(t, 2, func(p *pool) {
		clocks := &suspendtest.Clocks{}
		suspended := p.electWithClocks(clocks)
		time.Sleep(2 * time.Second)
		starts := p.fleet.Starts()
		p.submit(job(1, 1, step(2, 2)))
		clocks.Suspend(20 * time.Second)
		_, err := suspended.leader.State(context.Background(), fmt.Sprintf("%016x", 9), "")
		assert.ErrorIs(t, err, leader.ErrDeposed)
		<-suspended.done
		assert.Equal(t, p.fleet.Starts(), starts, "a start was sent after the suspension")
		p.elect()
		if open := p.waitForJobs(20 * time.Second); len(open) > 0 {
			t.Errorf("not finished: %v", open)
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// Guards against a term that ends because the time of day was set.
func TestSetTimeOfDayDoesNotEndATerm(t *testing.T) {
	violations := run(t, 2, func(p *pool) {
		clocks := &suspendtest.Clocks{}
		first := p.electWithClocks(clocks)
		p.submit(job(1, 1, step(2, 2)))
		clocks.SetDay(3 * time.Second)
		time.Sleep(time.Second)
		clocks.SetDay(-6 * time.Second)
		if open := p.waitForJobs(20 * time.Second); len(open) > 0 {
			t.Errorf("not finished: %v", open)
		}
		assert.Equal(t, p.state(job(1, 1).ID), scheduler.Completed)
		assert.Assert(t, first.leader.IsLeader())
	})
	assert.DeepEqual(t, violations, []string(nil))
}
