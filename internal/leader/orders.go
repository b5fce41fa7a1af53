package leader

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/lease"
	"rhubarbshore/internal/metric"
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
	carriedOut time.Time // when a process that is not known carried out the last attempt at the latest, zero if none did
}

func (startedEvent) eventKind() eventKind { return kindStart }

func (e startedEvent) apply(t *term, now time.Time) {
	t.core.StartAnswered(now, e.start.Worker, e.start.Task, e.start.Run, e.result)
	l := t.links[e.start.Worker]
	if l != nil {
		l.leases.StartOver(now, e.carriedOut)
	}
	t.renewNow(l)
}

// awaitStartWindow waits until a batch is stored that was sent within startWindow. It returns false once
// the start's lease would have ended.
func (t *term) awaitStartWindow(ctx context.Context, until time.Time) bool {
	for ctx.Err() == nil && t.cfg.Now().Before(until) {
		if t.cfg.Now().Sub(t.lastWrite.get()) <= startWindow {
			return true
		}
		time.Sleep(retryDelay)
	}
	return false
}

// Errors of a check of a worker's process.
var (
	// errRestarted means that another process answers than the one that an order is for.
	errRestarted = errorx.NewType(namespace, "restarted").New("the worker has restarted")
	// errFenced means that the worker has obeyed a later leader.
	errFenced = errorx.NewType(namespace, "fenced").New("the worker obeys a later leader")
)

// workerProcess is the process of a worker that a start is meant for, as it was when the worker last answered.
type workerProcess struct {
	incarnation int64
	clock       lease.Clock
}

// runCheck is the result of asking a worker for the run of a start that got no answer.
type runCheck struct {
	begun bool // the worker lists the run
	err   error
}

// definite reports whether the worker answered.
func (c runCheck) definite() bool {
	return c.err == nil || errors.Is(c.err, errRestarted) || errors.Is(c.err, errFenced)
}

// findRun asks the process of a worker with the incarnation for the run of a start. It sends runChecks calls
// at intervals unless one is answered, and waits for all of them: answers may take longer than orderTimeout.
func (t *term) findRun(ctx context.Context, s scheduler.Start, incarnation int64) runCheck {
	ctx, cancel := context.WithTimeout(ctx, runChecks*runCheckInterval)
	defer cancel()
	answers := make(chan runCheck, runChecks)
	last := runCheck{err: fleet.ErrUnanswered}
	for sent := 0; sent < runChecks; sent++ {
		t.spawn(func() { answers <- t.checkRun(ctx, s, incarnation) })
		next := time.NewTimer(runCheckInterval)
		for waiting := true; waiting; {
			select {
			case last = <-answers:
				if last.definite() {
					next.Stop()
					return last
				}
				next.Reset(orderRetryDelay)
			case <-next.C:
				waiting = false
			}
		}
	}
	return last
}

// checkRun asks a worker once.
func (t *term) checkRun(ctx context.Context, s scheduler.Start, incarnation int64) runCheck {
	answer, err := t.cfg.Workers.Renew(ctx, s.Worker, s.Address, fleet.Renewal{Token: t.epoch})
	switch {
	case err != nil:
		return runCheck{err: err}
	case answer.Verdict == fleet.Fenced:
		return runCheck{err: errFenced}
	case answer.Verdict != fleet.Accepted || answer.Report.Incarnation != incarnation:
		return runCheck{err: errRestarted}
	}
	return runCheck{begun: answer.Report.Lists(s.Task, s.Run)}
}

// start sends a start, with a lease until the given time, to its worker and posts the result. If it gets no
// answer, it is repeated only to the process that it is meant for, as a restarted worker may be of another kind
// and smaller, and only if that process does not list the run.
func (t *term) start(ctx context.Context, s scheduler.Start, to workerProcess, deadline int64, until time.Time) {
	defer t.pendingStarts.Add(-1)
	if t.startSlots.Acquire(ctx, 1) != nil {
		return // deposed in the meantime
	}
	release := sync.OnceFunc(func() { t.startSlots.Release(1) })
	defer release()
	defer time.AfterFunc(maxStartSlotTime, release).Stop()
	began := time.Now()
	unanswered := false
	result := scheduler.Uncertain
	lastVerdict := fleet.Malformed
	var lastErr error
	var carriedOut time.Time
	sent := false
	for range orderAttempts {
		if unanswered {
			check := t.findRun(ctx, s, to.incarnation)
			if lastErr = check.err; lastErr != nil {
				break
			}
			if check.begun {
				result, lastVerdict, carriedOut = scheduler.Accepted, fleet.Accepted, t.cfg.Now()
				break
			}
		}
		// The check may have taken long, so the window is awaited after it.
		if !t.awaitStartWindow(ctx, until) {
			break
		}
		if !t.active() {
			return // a restarted worker would obey a deposed leader
		}
		sent = true
		t.grants.note(s.Worker, t.cfg.Now())
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		answer, err := t.cfg.Workers.Start(callCtx, s, t.epoch, deadline)
		cancel()
		lastErr, lastVerdict = err, answer.Verdict
		unreached := errors.Is(err, fleet.ErrUnreached)
		if !unreached {
			carriedOut = t.cfg.Now()
		}
		if err != nil {
			unanswered = unanswered || !unreached
			time.Sleep(orderRetryDelay)
			continue
		}
		result = startResult(answer.Verdict, unanswered)
		if !unanswered && to.clock.IsSameProcess(lease.Clock{MS: answer.Clock, ReadAt: carriedOut}) {
			carriedOut = time.Time{}
		}
		break
	}
	t.finishStart(ctx, s, startOutcome{
		result: result, verdict: lastVerdict, err: lastErr, sent: sent, unanswered: unanswered, carriedOut: carriedOut,
	}, began)
}

// startOutcome is what became of the attempts of a start.
type startOutcome struct {
	result           scheduler.StartResult
	verdict          fleet.Verdict // of the last attempt
	err              error         // of the last attempt or of the check before it
	sent, unanswered bool          // an attempt was sent, or got no answer
	carriedOut       time.Time     // as in startedEvent
}

// finishStart logs, counts and posts what became of a start.
func (t *term) finishStart(ctx context.Context, s scheduler.Start, o startOutcome, began time.Time) {
	switch {
	case !o.sent:
		o.result = scheduler.NotSent
	case o.err != nil && !o.unanswered:
		o.result = scheduler.Rejected
	}
	metric.Observe("start_seconds", began)
	if o.sent {
		metric.StartVerdict(startVerdict(o.verdict, o.err, o.unanswered))
	}
	if o.result != scheduler.Accepted {
		t.cfg.Logger.Warn("start not taken", "task", s.Task, "run", s.Run, "worker", s.Worker, "verdict", o.verdict.String(),
			"sent", o.sent, "unanswered", o.unanswered, "error", o.err, "took_ms", time.Since(began).Milliseconds())
	}
	if o.verdict == fleet.Fenced && o.err == nil || errors.Is(o.err, errFenced) {
		t.post(ctx, deposedEvent{by: "worker " + s.Worker})
		return
	}
	t.post(ctx, startedEvent{s, o.result, o.carriedOut})
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
