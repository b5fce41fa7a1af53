package leader_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/standin"
)

// lateStarts delays starts on one worker, and their answers even longer, as a leader sees it
// that gets too little processor time.
type lateStarts struct {
	leader.Workers
	worker string
	delay  time.Duration

	mu   sync.Mutex
	left int // number of starts still to delay
}

func (l *lateStarts) Start(ctx context.Context, o scheduler.Start, token, deadline int64) (fleet.OrderAnswer, error) {
	l.mu.Lock()
	late := o.Worker == l.worker && l.left > 0
	if late {
		l.left--
	}
	l.mu.Unlock()
	if late {
		time.Sleep(l.delay) // longer than the call may take; the leader notices only afterwards
	}
	return l.Workers.Start(context.WithoutCancel(ctx), o, token, deadline)
}

// A gang must be broken up in time if one of its starts is later than its members wait for each
// other, so that no member ends alone.
func TestGangThatIsNotWholeIsBrokenUp(t *testing.T) {
	for _, delay := range []time.Duration{2 * time.Second, testGangWait, 2 * testGangWait} {
		var alone []string
		violations := run(t, 8, func(p *pool) {
			p.wrap = func(c leader.Config) leader.Config {
				c.Workers = &lateStarts{Workers: c.Workers, worker: "w03", delay: delay, left: 1}
				return c
			}
			p.elect()
			time.Sleep(time.Second)
			gang := step(8, 8)
			gang.Gang = true
			p.submit(job(1, 1, gang))
			if open := p.waitForJobs(40 * time.Second); len(open) > 0 {
				t.Errorf("not finished: %v", open)
			}
			alone = p.fleet.GangTimeouts()
		})
		assert.DeepEqual(t, violations, []string(nil))
		assert.DeepEqual(t, alone, []string(nil))
	}
}

// A leader dies after starting half of a gang, and the next one needs a second to lead, with a
// slow store. It must stop the started members before they end alone.
func TestGangOfADeadLeaderIsBrokenUp(t *testing.T) {
	var alone []string
	violations := run(t, 8, func(p *pool) {
		processor := make(chan struct{}, 1)
		p.wrap = func(c leader.Config) leader.Config {
			c.Workers = &serializedStarts{Workers: c.Workers, processor: processor}
			return c
		}
		first := p.elect()
		time.Sleep(time.Second)
		gang := step(32, 2)
		gang.Gang = true
		before := p.fleet.Starts()
		p.submit(job(1, 1, gang))
		for p.fleet.Starts() < before+10 {
			time.Sleep(time.Millisecond)
		}
		first.cancel()
		p.log.SetFault(standin.LogFault{Slow: 100 * time.Millisecond})
		time.Sleep(time.Second)
		p.elect()
		if open := p.waitForJobs(40 * time.Second); len(open) > 0 {
			t.Errorf("not finished: %v", open)
		}
		alone = p.fleet.GangTimeouts()
	})
	assert.DeepEqual(t, violations, []string(nil))
	assert.DeepEqual(t, alone, []string(nil))
}
