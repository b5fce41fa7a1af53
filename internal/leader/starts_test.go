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
)

// startTime is the processor time of one start. A burst of 300 takes longer than any one of them
// may.
const startTime = 4 * time.Millisecond

// serializedStarts makes all starts share one slow processor.
type serializedStarts struct {
	leader.Workers
	processor chan struct{}

	mu       sync.Mutex
	timedOut int
}

func (s *serializedStarts) Start(ctx context.Context, o scheduler.Start, token, deadline int64) (fleet.OrderAnswer, error) {
	select {
	case s.processor <- struct{}{}:
		time.Sleep(startTime)
		<-s.processor
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.timedOut++
		return fleet.OrderAnswer{}, ctx.Err()
	}
	return s.Workers.Start(ctx, o, token, deadline)
}

// A VM with a fraction of a core starts a burst of wide jobs on an idle pool. No start may time
// out while it waits for the processor.
func TestWaveOfStartsOnASmallVM(t *testing.T) {
	n := &serializedStarts{}
	violations := run(t, 40, func(p *pool) {
		n.processor = make(chan struct{}, 1)
		p.wrap = func(c leader.Config) leader.Config {
			n.Workers = c.Workers
			c.Workers = n
			return c
		}
		p.elect()
		for i := range 3 {
			p.submit(job(i, 1, step(100, 1)))
		}
		if open := p.waitForJobs(60 * time.Second); len(open) > 0 {
			t.Errorf("not finished: %v", open)
		}
	})
	assert.DeepEqual(t, violations, []string(nil))
	assert.Equal(t, n.timedOut, 0, "starts that timed out")
}

// unansweredStarts leaves starts on some workers unanswered and records when the others were
// first asked.
type unansweredStarts struct {
	leader.Workers
	silent func(worker string) bool

	mu         sync.Mutex
	firstAsked map[string]time.Time
}

func (u *unansweredStarts) Start(ctx context.Context, o scheduler.Start, token, deadline int64) (fleet.OrderAnswer, error) {
	u.mu.Lock()
	silent := u.silent(o.Worker)
	u.mu.Unlock()
	if silent {
		<-ctx.Done()
		return fleet.OrderAnswer{}, ctx.Err()
	}
	u.mu.Lock()
	if u.firstAsked[o.Task].IsZero() {
		u.firstAsked[o.Task] = time.Now()
	}
	u.mu.Unlock()
	return u.Workers.Start(ctx, o, token, deadline)
}

// startTarget is the time within which urgent work must have begun, from the specifications of
// the sites.
const startTarget = 2900 * time.Millisecond

// Half of the workers stop answering just as a burst of tasks arrives. The rest of the burst
// must start in time.
func TestSilentWorkersHoldNoOtherStartsUp(t *testing.T) {
	m := &unansweredStarts{firstAsked: map[string]time.Time{}, silent: func(worker string) bool { return worker < "w20" }}
	var start time.Time
	violations := run(t, 40, func(p *pool) {
		p.wrap = func(c leader.Config) leader.Config {
			m.Workers = c.Workers
			c.Workers = m
			return c
		}
		p.elect()
		time.Sleep(time.Second)
		start = time.Now()
		p.submit(job(1, 0, step(320, 1)))
		time.Sleep(startTarget)
		m.mu.Lock()
		defer m.mu.Unlock()
		assert.Assert(t, len(m.firstAsked) >= 160, "%d tasks started on the 160 accelerators that answer", len(m.firstAsked))
		m.silent = func(string) bool { return false }
	})
	assert.DeepEqual(t, violations, []string(nil))
	for task, at := range m.firstAsked {
		assert.Assert(t, at.Sub(start) <= startTarget, "%s was started after %s", task, at.Sub(start))
	}
}
