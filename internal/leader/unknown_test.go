package leader_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/standin"
	"rhubarbshore/internal/store"
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

// lateReads delays the answers of reads that do not wait for records beyond the time that their caller
// allows, and refuses the others.
type lateReads struct {
	leader.Log
	enabled *atomic.Bool
}

func (l lateReads) Read(ctx context.Context, s store.Stream, from int64, wait time.Duration) (store.Page, error) {
	if !l.enabled.Load() {
		return l.Log.Read(ctx, s, from, wait)
	}
	if wait > 0 {
		return store.Page{}, store.ErrRefused
	}
	page, err := l.Log.Read(context.Background(), s, from, wait)
	<-ctx.Done()
	return page, err
}

// Guards against jobs that are never started: a read for a question about an unknown job was
// answered just as its time ran out, and the jobs of its answer were passed over.
func TestJobsOfALateReadAreStarted(t *testing.T) {
	violations := run(t, 8, func(p *pool) {
		enabled := &atomic.Bool{}
		p.wrap = func(c leader.Config) leader.Config {
			c.Log = lateReads{c.Log, enabled}
			return c
		}
		l := p.elect()
		time.Sleep(time.Second)
		enabled.Store(true)
		time.Sleep(2 * time.Second) // reads in progress end
		for i := range 16 {
			p.submit(job(i, 1, step(1, 1)))
			_, _ = l.leader.State(context.Background(), job(i, 1).ID, "") // may not be definite
		}
		enabled.Store(false)
		assert.Check(t, is.Len(p.waitForJobs(30*time.Second), 0))
		assert.Check(t, is.Equal(p.fleet.Starts(), 16), "starts")
	})
	assert.DeepEqual(t, violations, []string(nil))
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
