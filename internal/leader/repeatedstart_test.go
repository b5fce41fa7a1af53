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
	"rhubarbshore/internal/store"
)

// delayedRepeat loses the first attempt of a start. The second one, which is sent once the worker's process
// was checked, arrives after repeatDelay; repeated is called when it leaves.
type delayedRepeat struct {
	leader.Workers
	attempts *atomic.Int64
	repeated func()
}

// repeatDelay is longer than a worker takes to restart, and within the limit of an order.
const repeatDelay = 400 * time.Millisecond

func (d delayedRepeat) Start(ctx context.Context, o scheduler.Start, token, deadline int64) (fleet.OrderAnswer, error) {
	switch d.attempts.Add(1) {
	case 1:
		<-ctx.Done()
		return fleet.OrderAnswer{}, fleet.ErrUnanswered
	case 2:
		d.repeated()
		time.Sleep(repeatDelay)
	}
	return d.Workers.Start(ctx, o, token, deadline)
}

// Guards against a task that runs twice: a worker that has restarted unnoticed accepts a repeated start, whose
// deadline was on the clock of the process before, and answers nothing after that.
func TestRepeatedStartOnARestartedWorkerRunsNothingTwice(t *testing.T) {
	violations := run(t, 1, func(p *pool) {
		p.limitLeases()
		p.longTasks(40 * time.Second)
		var cut atomic.Bool
		var attempts atomic.Int64
		restart := func() {
			p.fleet.Crash("w00", true)
			cut.Store(true)
		}
		p.wrap = func(c leader.Config) leader.Config {
			c.Workers = lostRenewals{delayedRepeat{c.Workers, &attempts, restart}, "w00", &cut}
			return c
		}
		p.elect()
		time.Sleep(10 * time.Second)
		p.log.SetStreamFault(store.Stream{Topic: "workers"}, &standin.LogFault{Silent: true})
		p.submit(job(1, 1, step(1, 8)))
		time.Sleep(1500 * time.Millisecond)
		assert.Check(t, p.fleet.Running(job(1, 1).ID+".0.0.0"))
		p.addWorker(1)
		p.log.SetStreamFault(store.Stream{Topic: "workers"}, nil)
		time.Sleep(30 * time.Second)
	})
	assert.DeepEqual(t, violations, []string(nil))
}

// lostAnswers loses the answers to all starts but carries these out.
type lostAnswers struct{ leader.Workers }

func (l lostAnswers) Start(ctx context.Context, o scheduler.Start, token, deadline int64) (fleet.OrderAnswer, error) {
	if _, err := l.Workers.Start(ctx, o, token, deadline); err != nil {
		return fleet.OrderAnswer{}, err
	}
	<-ctx.Done()
	return fleet.OrderAnswer{}, fleet.ErrUnanswered
}

// Guards against a task that runs twice: a worker that has restarted unnoticed carries out all attempts of a
// start, whose deadline was on the clock of the process before, and answers nothing.
func TestUnansweredStartOnARestartedWorkerRunsNothingTwice(t *testing.T) {
	violations := run(t, 1, func(p *pool) {
		p.limitLeases()
		p.longTasks(40 * time.Second)
		var cut atomic.Bool
		p.wrap = func(c leader.Config) leader.Config {
			c.Workers = lostRenewals{lostStops{lostAnswers{c.Workers}}, "w00", &cut}
			return c
		}
		p.elect()
		time.Sleep(10 * time.Second)
		p.fleet.Crash("w00", true)
		time.Sleep(310 * time.Millisecond)
		cut.Store(true)
		p.submit(job(1, 1, step(1, 8)))
		time.Sleep(1500 * time.Millisecond)
		assert.Check(t, p.fleet.Running(job(1, 1).ID+".0.0.0"))
		p.addWorker(1)
		time.Sleep(30 * time.Second)
	})
	assert.DeepEqual(t, violations, []string(nil))
}
