package leader_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/standin"
)

// cancelJob asks the newest leader to cancel a job, as a VM does for a client.
func (p *pool) cancelJob(id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	_, err := p.newest().leader.Cancel(ctx, id, "")
	return err
}

// Guards against a cancelled job that runs: a cancel that came before the leader had read the job
// was answered as if there were no such job, which is final, and forgotten.
func TestCancelOfAJobThatTheLeaderHasNotReadIsNotFinal(t *testing.T) {
	id := fmt.Sprintf("%016x", 2)
	for name, fault := range map[string]standin.LogFault{"silent": {Silent: true}, "refuses": {Refuse: true}} {
		t.Run(name, func(t *testing.T) {
			violations := run(t, 2, func(p *pool) {
				l := p.elect()
				p.submit(job(1, 1, step(2, 8))) // fills the pool
				time.Sleep(time.Second)
				p.log.SetVMFault(l.vm, &fault)
				time.Sleep(1600 * time.Millisecond) // reads in progress end
				p.submit(job(2, 1, step(1, 8)))
				for range 3 {
					assert.Check(t, is.ErrorIs(p.cancelJob(id), leader.ErrIndeterminate))
					time.Sleep(50 * time.Millisecond)
				}
				p.log.SetVMFault(l.vm, nil)
				assert.NilError(t, p.cancelJob(id))
				time.Sleep(10 * time.Second)
				assert.Check(t, is.Equal(p.state(id), scheduler.Cancelled))
				assert.Check(t, is.Equal(p.fleet.Starts(), 2), "starts")
			})
			assert.DeepEqual(t, violations, []string(nil))
		})
	}
}

// Guards against answers about a job that was accepted while a read of its stream was on the way,
// and against a call to the store for each cancel of an unknown job.
func TestUnknownJobsShareReads(t *testing.T) {
	violations := run(t, 2, func(p *pool) {
		p.elect()
		time.Sleep(time.Second)
		before := p.log.Calls()
		var wg sync.WaitGroup
		for i := range 400 {
			wg.Go(func() {
				time.Sleep(time.Duration(i/40) * time.Millisecond)
				assert.Check(t, is.ErrorIs(p.cancelJob(fmt.Sprintf("%016x", 1000+i)), scheduler.ErrUnknown))
			})
		}
		wg.Wait()
		// Each of the 8 parts is read a few times in these 10 ms.
		calls := p.log.Calls() - before
		assert.Check(t, calls < 100, "%d calls", calls)
	})
	assert.DeepEqual(t, violations, []string(nil))
}
