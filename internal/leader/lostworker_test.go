package leader_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/standin"
)

// Guards against a task that lasts and has no run for longer than allowed after its worker was lost for
// good, where workers grant leases of up to ten seconds.
func TestLastingTaskRunsAgainAfterItsWorkerIsLost(t *testing.T) {
	// maxWait is the users' limit: 3 s without a run from 6 s after the last one.
	const maxWait = 9 * time.Second
	for _, lease := range []time.Duration{6 * time.Second, 10 * time.Second} {
		t.Run(fmt.Sprint(lease), func(t *testing.T) {
			violations := run(t, 2, func(p *pool) {
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
				p.elect()
				p.submit(job(1, 1, lastingStep(2, 8)))
				time.Sleep(20 * time.Second)
				p.addWorker(2)
				p.fleet.Crash("w00", false)
				lost := time.Now()
				for p.fleet.UsedAccelerators() < 16 && time.Since(lost) < 2*maxWait {
					time.Sleep(50 * time.Millisecond)
				}
				assert.Check(t, time.Since(lost) < maxWait, "no run for %v", time.Since(lost))
				p.cancelLasting()
			})
			assert.DeepEqual(t, violations, []string(nil))
		})
	}
}
