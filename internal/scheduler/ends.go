package scheduler

import "time"

// acceptLateResult completes a task by a run that counted as lost before its worker listed it as
// done. A gang needs the results of all members of one run, since a member may have been lost
// while others ended. Runs that replace it are stopped, so that the work is not done again.
func (c *Core) acceptLateResult(now time.Time, w *worker, e EndedTask) {
	t := c.findTask(e.Task)
	if t == nil || t.phase == done || e.Run > t.run || t.step.spec.LongRunning || t.step.occ.job.state.Final() {
		return
	}
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	t.lateDoneRun = e.Run
	for _, m := range members {
		if m.lateDoneRun != e.Run {
			return
		}
	}
	c.changed = true
	c.cfg.Logger.Info("run that counted as lost is done", "task", t.name, "run", e.Run, "worker", w.id, "newest_run", t.run)
	for _, m := range members {
		m.dropReservation()
		if m.activeRun != nil && m.activeRun.stopOrderedAt.IsZero() {
			c.stopRun(now, m.activeRun, "an earlier run is done")
		}
	}
	c.completeTask(t)
}

// acceptLateFailure counts the failure of a run that counted as lost before its worker listed it.
// It has used up an attempt all the same.
func (c *Core) acceptLateFailure(now time.Time, w *worker, e EndedTask) {
	t := c.findTask(e.Task)
	if t == nil || t.phase == done || e.Run > t.run || t.step.spec.LongRunning || t.step.occ.job.state.Final() || !t.countFailure(e.Run) {
		return
	}
	c.changed = true
	c.cfg.Logger.Info("run that counted as lost has failed", "task", t.name, "run", e.Run, "worker", w.id, "newest_run", t.run)
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	for _, m := range members {
		c.storeTask(m)
	}
	c.endJobWithoutAttempts(now, t)
}

// endJobWithoutAttempts ends the job of a task that has used up its attempts as failed.
func (c *Core) endJobWithoutAttempts(now time.Time, t *task) {
	s := t.step
	if len(*t.failures()) < s.occ.job.queue.Attempts || s.spec.LongRunning {
		return
	}
	reason := "a task has used up its attempts"
	if s.spec.Gang {
		reason = "a gang has used up its attempts"
	}
	c.endJob(now, s.occ.job, Failed, reason)
}

// endSpentJob ends a restored job of which a task has used up its attempts. The leader that noted the last failure
// may have been lost before it stored the outcome.
func (c *Core) endSpentJob(now time.Time, j *job) {
	attempts := max(j.spec.Queue.Attempts, j.queue.Attempts) // a configuration may have changed them since
	if attempts == 0 {
		return
	}
	for _, o := range j.occs {
		for _, s := range o.steps {
			if s.spec.LongRunning {
				continue
			}
			for _, t := range s.tasks {
				if t.phase != done && len(*t.failures()) >= attempts {
					c.endJob(now, j, Failed, "a task had used up its attempts under an earlier leader")
					return
				}
			}
		}
	}
}

// runEnded removes a run that has certainly ended from its worker, and completes or
// requeues its task.
func (c *Core) runEnded(now time.Time, r *run, cause Cause, checkpoint string) {
	w := r.worker
	c.changed = true
	delete(w.runs, runKey{r.name, r.number})
	w.used = w.used.Minus(r.demand)
	w.sortedCache = nil
	w.markDirty()
	if r.unknownDemand {
		w.unknownDemand--
	}
	if r.blocks != nil {
		r.blocks.strayRuns--
	}
	t := r.task
	if t == nil || t.activeRun != r {
		return
	}
	t.activeRun = nil
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	j := t.step.occ.job
	h := t.history()
	h.lastEnd, h.endReason = cause, r.stopReason
	if cause != Vanished && !r.runningSince.IsZero() {
		j.history.listedAt, h.listedAt = now, now
	}
	c.recordRunOutcome(now, r, cause)
	c.cfg.Logger.Info("run ended", "task", r.name, "run", r.number, "worker", w.id, "cause", string(cause),
		"percent", r.percent, "ran_ms", ranMillis(now, r), "why", r.stopReason)
	if j.state.Final() || t.phase == done {
		return
	}
	if cause == Done && !t.step.spec.LongRunning {
		c.completeTask(t)
		return
	}
	c.requeueTask(now, t, r, cause, checkpoint)
}

func ranMillis(now time.Time, r *run) int64 {
	if r.runningSince.IsZero() {
		return 0
	}
	return now.Sub(r.runningSince).Milliseconds()
}

// completeTask marks a task, or all tasks of its gang, as done and stores their state.
func (c *Core) completeTask(t *task) {
	tasks := []*task{t}
	if t.step.spec.Gang {
		tasks = t.step.tasks
	}
	for _, member := range tasks {
		if member.phase != done {
			c.markDone(member)
			c.storeTask(member)
		}
	}
}

// requeueTask returns a task whose run ended early to the queue. A gang is requeued as a
// whole.
func (c *Core) requeueTask(now time.Time, t *task, r *run, cause Cause, checkpoint string) {
	s := t.step
	t.phase = waiting
	t.begun = t.begun || cause == Fault // no report may have listed its run
	t.delayRetry(now, r, cause)
	if checkpoint != "" && s.spec.Checkpoints {
		t.checkpoint = checkpoint
	}
	if cause != Stopped || r.stopReason == reasonNoProgress {
		t.avoidWorker = r.worker.id
	}
	if s.spec.Gang {
		c.requeueGang(now, s, cause, t)
		return
	}
	if cause == Fault {
		t.countFailure(r.number)
	}
	c.storeTask(t)
	c.endJobWithoutAttempts(now, t)
}

const (
	// earlyFailure is how long a run of a task that lasts must have been on its worker for its failure
	// not to delay the next one.
	earlyFailure = 5 * time.Second
	// minFailedBackoff and maxFailedBackoff are the first and the longest such delay. The longest is
	// less than a task may have no run.
	minFailedBackoff = 50 * time.Millisecond
	maxFailedBackoff = 2 * time.Second
	// maxFailedDoublings limits how often the delay doubles.
	maxFailedDoublings = 6
)

// mayStart reports whether the task may run and its next run is not delayed.
func (t *task) mayStart(now time.Time) bool { return t.mayRun() && !now.Before(t.retryAt) }

// delayRetry delays the next run of a task whose runs fail early again and again. It is for tasks that
// run until they are cancelled, as the others run out of attempts.
func (t *task) delayRetry(now time.Time, r *run, cause Cause) {
	if !t.step.spec.LongRunning {
		return
	}
	if !r.confirmedAt.IsZero() && now.Sub(r.confirmedAt) >= earlyFailure {
		t.earlyFailures = 0
		return
	}
	if cause == Fault {
		t.retryAt = now.Add(min(minFailedBackoff<<min(t.earlyFailures, maxFailedDoublings), maxFailedBackoff))
		t.earlyFailures++
	}
}

// requeueGang requeues a gang after the run of one member ended early, and stops the other
// members. A failed run counts once for the whole gang.
func (c *Core) requeueGang(now time.Time, s *step, cause Cause, t *task) {
	if cause == Fault {
		t.countFailure(t.run)
	}
	for _, m := range s.tasks {
		if m.activeRun != nil && m.activeRun.stopOrderedAt.IsZero() {
			c.stopRun(now, m.activeRun, "its gang is broken up")
		}
		if t.checkpoint != "" {
			m.checkpoint = t.checkpoint
		}
		c.storeTask(m)
	}
	s.readySince = time.Time{} // restart its waiting time
	c.endJobWithoutAttempts(now, t)
}
