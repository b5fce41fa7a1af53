package leader_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/leader"
	"rhubarbshore/internal/scheduler"
)

// slowLogHandler is a log handler that delays each line, as happens in a process that gets too
// little processor time.
type slowLogHandler struct {
	slog.Handler
	line int
}

// Enabled implements slog.Handler.
func (*slowLogHandler) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (s *slowLogHandler) Handle(_ context.Context, r slog.Record) error {
	s.line++
	time.Sleep(time.Duration(hash(fmt.Sprint(r.Message, s.line))%100) * time.Millisecond)
	return nil
}

// delayedCalls delays calls and their answers, as happens in a process that gets too little
// processor time.
type delayedCalls struct {
	leader.Workers
	calls *atomic.Int64
}

func (d delayedCalls) pause(maxMS int) {
	time.Sleep(time.Duration(hash(fmt.Sprint(d.calls.Add(1)))%uint64(maxMS)) * time.Millisecond)
}

func (d delayedCalls) Renew(ctx context.Context, id, address string, r fleet.Renewal) (fleet.RenewalAnswer, error) {
	d.pause(100)
	r.Wait = min(r.Wait, 50*time.Millisecond)
	defer d.pause(100)
	return d.Workers.Renew(ctx, id, address, r)
}

func (d delayedCalls) Start(ctx context.Context, o scheduler.Start, token, deadline int64) (fleet.OrderAnswer, error) {
	d.pause(100)
	return d.Workers.Start(ctx, o, token, deadline)
}

// A leader that gets too little processor time handles answers long after they arrived. It must
// not count a run as lost that a worker began in the meantime.
func TestStarvedLeaderLosesNoRun(t *testing.T) {
	for seed := range 40 {
		var open []string
		violations := run(t, 8, func(p *pool) {
			p.wrap = func(c leader.Config) leader.Config {
				c.Scheduler.Logger = slog.New(&slowLogHandler{Handler: slog.DiscardHandler, line: seed})
				c.Workers = delayedCalls{c.Workers, &atomic.Int64{}}
				return c
			}
			p.elect()
			for i := range 20 {
				p.submit(job(i, 1+i%2, step(8+(i+seed)%17, 1)))
				time.Sleep(time.Duration(hash(fmt.Sprint(seed, i))%400) * time.Millisecond)
			}
			open = p.waitForJobs(3 * time.Minute)
		})
		assert.DeepEqual(t, violations, []string(nil))
		assert.DeepEqual(t, open, []string(nil))
	}
}
