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

// claimTime is how long after its election a leader has claimed the workers. The calls of a deposed one
// that are in progress have not been answered by then.
const claimTime = 13 * time.Millisecond

// lostStarts loses the first attempts of starts for one VM.
type lostStarts struct {
	leader.Workers
	left *atomic.Int64
}

func (l lostStarts) Start(ctx context.Context, o scheduler.Start, token, deadline int64) (fleet.OrderAnswer, error) {
	if l.left.Add(-1) >= 0 {
		<-ctx.Done()
		return fleet.OrderAnswer{}, fleet.ErrUnanswered
	}
	return l.Workers.Start(ctx, o, token, deadline)
}

// lostRenewals loses the renewals of one VM to a worker while set.
type lostRenewals struct {
	leader.Workers
	id  string
	set *atomic.Bool
}

func (l lostRenewals) Renew(ctx context.Context, id, address string, r fleet.Renewal) (fleet.RenewalAnswer, error) {
	if id == l.id && l.set.Load() {
		<-ctx.Done()
		return fleet.RenewalAnswer{}, fleet.ErrUnanswered
	}
	return l.Workers.Renew(ctx, id, address, r)
}

// Guards against a task that runs twice: a deposed leader that is cut off from the store repeats a start
// that got no answer, and the worker has restarted since the next leader claimed it.
func TestDeposedLeaderStartsNothingOnARestartedWorker(t *testing.T) {
	violations := run(t, 1, func(p *pool) {
		p.longTasks(20 * time.Second)
		var starts atomic.Int64
		var cut atomic.Bool
		starts.Store(2)
		p.wrap = func(c leader.Config) leader.Config {
			c.Workers = lostStarts{c.Workers, &starts}
			return c
		}
		first := p.elect()
		time.Sleep(300 * time.Millisecond)
		p.submit(job(1, 1, step(1, 8)))
		time.Sleep(400 * time.Millisecond) // the first attempt of the start is in progress
		p.log.SetVMFault(first.vm, &standin.LogFault{Silent: true})
		p.fleet.SetDraining("w00")
		p.addWorker(1)
		p.wrap = func(c leader.Config) leader.Config {
			c.Workers = lostRenewals{c.Workers, "w00", &cut}
			return c
		}
		p.elect()
		time.Sleep(claimTime) // it has claimed w00, which lists no run
		cut.Store(true)
		p.fleet.Crash("w00", true)
		time.Sleep(1500 * time.Millisecond)
		cut.Store(false)
		time.Sleep(30 * time.Second)
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// lostStops loses all stops of one VM.
type lostStops struct{ leader.Workers }

func (l lostStops) Stop(ctx context.Context, _ scheduler.Stop, _ int64) (fleet.OrderAnswer, error) {
	<-ctx.Done()
	return fleet.OrderAnswer{}, fleet.ErrUnanswered
}

// Guards against a task that runs twice: a worker lists a run that the leader had given up, its stop is
// not confirmed, and the leader starts the task on another worker.
func TestTaskDoesNotStartWhileAWorkerListsAnotherRunOfIt(t *testing.T) {
	violations := run(t, 1, func(p *pool) {
		p.longTasks(20 * time.Second)
		var attempts atomic.Int64
		var cut atomic.Bool
		repeated := make(chan struct{})
		p.wrap = func(c leader.Config) leader.Config {
			c.Workers = delayedRepeat{c.Workers, &attempts, func() { close(repeated) }}
			return c
		}
		first := p.elect()
		time.Sleep(300 * time.Millisecond)
		p.submit(job(1, 1, step(1, 8)))
		<-repeated
		p.log.SetVMFault(first.vm, &standin.LogFault{Silent: true})
		p.fleet.SetDraining("w00")
		p.wrap = func(c leader.Config) leader.Config {
			c.Workers = lostRenewals{lostStops{c.Workers}, "w00", &cut}
			return c
		}
		p.elect()
		time.Sleep(claimTime) // it has claimed w00, which lists no run, and knows no other worker
		cut.Store(true)
		p.fleet.Crash("w00", true)
		time.Sleep(1500 * time.Millisecond) // the second attempt of the deposed leader's start is accepted
		cut.Store(false)
		time.Sleep(1500 * time.Millisecond) // w00 has listed the run
		assert.Check(t, p.fleet.Running(job(1, 1).ID+".0.0.0"))
		p.addWorker(1)
		time.Sleep(30 * time.Second)
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// Guards against a task that runs twice: a start waited for a write during an outage, and its worker, which has
// restarted meanwhile, grants it the longest lease, as the deadline was on the clock of the process before.
// The next leader counts leases from the first attempt of that write.
func TestLeaseOfALateStartOnARestartedWorkerIsWaitedFor(t *testing.T) {
	violations := run(t, 1, func(p *pool) {
		p.limitLeases()
		p.longTasks(40 * time.Second)
		now := time.Now()
		p.wrap = func(c leader.Config) leader.Config {
			c.Log = lateWriteLog{c.Log, now.Add(900 * time.Millisecond), now.Add(9900 * time.Millisecond), &atomic.Bool{}}
			return c
		}
		p.elect()
		time.Sleep(time.Second)
		p.submit(job(1, 1, step(1, 8)))
		time.Sleep(8550 * time.Millisecond)
		p.fleet.Crash("w00", true)
		time.Sleep(700 * time.Millisecond)
		p.addWorker(1)
		p.wrap = func(c leader.Config) leader.Config {
			c.Workers = hiddenWorker{c.Workers, "w00"}
			return c
		}
		p.elect()
		time.Sleep(30 * time.Second)
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// limitLeases makes workers shorten leases to testLease, as the platform's do.
func (p *pool) limitLeases() {
	p.fleet = standin.NewFleet(standin.FleetConfig{
		Seed: 1, MaxLease: testLease, StopTime: 400 * time.Millisecond, GangWait: testGangWait, RemotePenalty: testPenalty,
		CheckpointInterval: 500 * time.Millisecond, RestoreTime: 250 * time.Millisecond, Latency: 2 * time.Millisecond,
		Work: p.work, Spec: p.spec,
	})
	p.fleet.SetStartCheck(p.check)
	for i := range p.workers {
		p.addWorker(i)
	}
}
