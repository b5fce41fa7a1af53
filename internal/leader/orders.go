package leader

import (
	"context"
	"time"

	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/scheduler"
)

// startVerdict returns how a start ended, for metrics.
func startVerdict(v fleet.Verdict, err error, unanswered bool) string {
	switch {
	case err == nil:
		return v.String()
	case unanswered:
		return "unanswered"
	}
	return "unreached"
}

func startResult(v fleet.Verdict, unanswered bool) scheduler.StartResult {
	switch v {
	case fleet.Accepted:
		return scheduler.Accepted
	case fleet.RunEnded:
		return scheduler.RejectedOutdated
	case fleet.Fenced, fleet.DeadlinePassed, fleet.Full, fleet.WorkerRestarted, fleet.Unhealthy, fleet.Malformed:
	}
	if unanswered {
		return scheduler.Uncertain
	}
	return scheduler.Rejected
}

type startedEvent struct {
	start      scheduler.Start
	result     scheduler.StartResult
	carriedOut time.Time // when the last attempt was carried out at the latest, zero if none was
}

func (startedEvent) eventKind() eventKind { return kindStart }

func (e startedEvent) apply(t *term, now time.Time) {
	t.core.StartAnswered(now, e.start.Worker, e.start.Task, e.start.Run, e.result)
	l := t.links[e.start.Worker]
	if l != nil {
		l.starting = max(l.starting-1, 0) // the link may be newer than the start
		l.startedAt = now
		if !e.carriedOut.IsZero() {
			// A worker that has restarted unnoticed grants the longest lease, whatever the deadline.
			l.recordGrant(e.carriedOut, t.cfg.Scheduler.MaxLease)
		}
	}
	t.renewNow(l)
}

// stop sends a stop to its worker and posts its confirmation.
func (t *term) stop(ctx context.Context, s scheduler.Stop) {
	for range orderAttempts {
		if !t.active() {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		answer, err := t.cfg.Workers.Stop(callCtx, s, t.epoch)
		cancel()
		if err == nil {
			if answer.Verdict == fleet.Fenced {
				t.post(ctx, deposedEvent{by: "worker " + s.Worker})
				return
			}
			if answer.Verdict == fleet.Accepted || answer.Verdict == fleet.RunEnded {
				t.post(ctx, stoppedEvent{s})
				return
			}
			t.cfg.Logger.Warn("stop not taken", "task", s.Task, "run", s.Run, "worker", s.Worker, "verdict", answer.Verdict.String())
		}
		time.Sleep(orderRetryDelay)
	}
}

type stoppedEvent struct{ stop scheduler.Stop }

func (stoppedEvent) eventKind() eventKind { return kindStop }

func (e stoppedEvent) apply(t *term, now time.Time) {
	t.core.StopAnswered(now, e.stop.Worker, e.stop.Task, e.stop.Run)
	t.renewNow(t.links[e.stop.Worker])
}
