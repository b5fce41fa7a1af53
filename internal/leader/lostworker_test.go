package leader_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/standin"
)

// useLeases replaces the workers by ones that grant leases of a length, and has leaders know it.
func (p *pool) useLeases(lease time.Duration) {
	p.fleet = standin.NewFleet(standin.FleetConfig{
		Seed: 1, MaxLease: lease, StopTime: 400 * time.Millisecond, GangWait: testGangWait, RemotePenalty: testPenalty,
		CheckpointInterval: 500 * time.Millisecond, RestoreTime: 250 * time.Millisecond, Latency: 2 * time.Millisecond,
		Work: p.work, Spec: p.spec,
	})
	p.fleet.SetStartCheck(p.check)
	for i := range p.workers {
		p.addWorker(i)
	}
	p.wrap = func(c leader.Config) leader.Config {
		c.Scheduler.MaxLease = lease
		return c
	}
}

// maxWaitAfterLoss is the users' limit for a lasting task: 3 s without a run from 6 s after the last one.
const maxWaitAfterLoss = 9 * time.Second

// checkLoss loses a worker for good and checks that the lasting tasks run again in time, on two workers.
func (p *pool) checkLoss(t *testing.T, worker string) {
	t.Helper()
	p.fleet.Crash(worker, false)
	lost := time.Now()
	for p.fleet.UsedAccelerators() < 16 && time.Since(lost) < 2*maxWaitAfterLoss {
		time.Sleep(50 * time.Millisecond)
	}
	assert.Check(t, time.Since(lost) < maxWaitAfterLoss, "no run for %v", time.Since(lost))
	p.cancelLasting()
}

// Guards against a task that lasts and has no run for longer than allowed after its worker was lost for
// good, where workers grant leases of up to ten seconds.
func TestLastingTaskRunsAgainAfterItsWorkerIsLost(t *testing.T) {
	for _, lease := range []time.Duration{6 * time.Second, 10 * time.Second} {
		t.Run(fmt.Sprint(lease), func(t *testing.T) {
			violations := run(t, 2, func(p *pool) {
				p.useLeases(lease)
				p.elect()
				p.submit(job(1, 1, lastingStep(2, 8)))
				time.Sleep(20 * time.Second)
				p.addWorker(2)
				p.checkLoss(t, "w00")
			})
			assert.DeepEqual(t, violations, []string(nil))
		})
	}
}

// Guards against the same if the worker is lost soon after the start: the answer counted like a start on a process that
// nothing is known of, with the longest lease.
func TestLastingTaskRunsAgainAfterItsWorkerIsLostSoon(t *testing.T) {
	for _, lease := range []time.Duration{6 * time.Second, 10 * time.Second} {
		for _, after := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprint(lease, after), func(t *testing.T) {
				violations := run(t, 2, func(p *pool) {
					p.useLeases(lease)
					p.elect()
					time.Sleep(20 * time.Second)
					p.submit(job(1, 1, lastingStep(2, 8)))
					for p.fleet.UsedAccelerators() < 16 {
						time.Sleep(time.Millisecond)
					}
					time.Sleep(after)
					p.addWorker(2)
					p.checkLoss(t, "w00")
				})
				assert.DeepEqual(t, violations, []string(nil))
			})
		}
	}
}
