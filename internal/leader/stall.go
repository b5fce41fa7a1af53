package leader

import (
	"context"
	"sync/atomic"
	"time"

	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/scheduler"
)

// loadStats counts the failed calls while a term loads the stored state.
type loadStats struct {
	failures  atomic.Int64
	lastError atomic.Pointer[string]
	fenced    atomic.Bool // earlier leaders can't write any more
}

// recordFailure records a failed call.
func (s *loadStats) recordFailure(err error) {
	text := err.Error()
	s.failures.Add(1)
	s.lastError.Store(&text)
}

// logLoading logs at intervals, until ctx ends, that the state is not loaded yet.
func (t *term) logLoading(ctx context.Context) {
	ticker := time.NewTicker(statsLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		text := ""
		if last := t.loadStats.lastError.Load(); last != nil {
			text = *last
		}
		age := t.cfg.Now().Sub(t.startedAt)
		metric.Set("leader_term_seconds", age.Seconds())
		t.cfg.Logger.Warn("state is not loaded yet", "epoch", t.epoch, "term_ms", age.Milliseconds(), "fenced", t.loadStats.fenced.Load(),
			"failures", t.loadStats.failures.Load(), "error", text)
	}
}

// checkStalls publishes how many jobs have nothing running although they could, and logs one of
// them with the state of the leader's writes: nothing starts while a write is in progress.
func (t *term) checkStalls(now time.Time) {
	stalls := t.core.CheckStalls(now)
	if stalls == nil {
		return
	}
	age := now.Sub(t.startedAt)
	publishStalls(stalls, age)
	if stalls.Job == nil {
		return
	}
	write := time.Duration(0)
	if t.inFlight != nil {
		write = now.Sub(t.inFlight.sentAt)
	}
	t.cfg.Logger.Info("job has nothing running", append(stalls.Job.Attrs(),
		"stalled_jobs", stalls.Jobs, "epoch", t.epoch, "term_ms", age.Milliseconds(), "writing", t.inFlight != nil, "write_ms", write.Milliseconds(),
		"written_ms", now.Sub(t.lastWrite.get()).Milliseconds(), "writes_failing", !t.failingSince.get().IsZero(),
		"paused", now.Before(t.pausedUntil.get()), "pending_starts", t.pendingStarts.Load())...)
}

// publishStalls sets the gauges of a leader's term.
func publishStalls(s *scheduler.Stalls, age time.Duration) {
	metric.Set("leader_term_seconds", age.Seconds())
	metric.Set("jobs_stalled", float64(s.Jobs))
	for condition, n := range s.Runs {
		metric.Set(`leader_runs{condition="`+condition+`"}`, float64(n))
	}
	for condition, n := range s.Workers {
		metric.Set(`leader_workers{condition="`+condition+`"}`, float64(n))
	}
}
