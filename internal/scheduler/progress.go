package scheduler

import "time"

const (
	// runTimeSmoothing is the weight of the newest run time in the moving average.
	runTimeSmoothing = 0.2
	// reasonNoProgress is the stop reason of runs that are moved because their worker is
	// slow.
	reasonNoProgress = "no progress on this worker"
	// hangShare is the share of its expected run time for which a run may make no progress
	// before it counts as hung; minHangTime is the minimum of that time. Workers report
	// whole percents with each renewal, every two seconds.
	hangShare   = 0.3
	minHangTime = 4 * time.Second
	// minObservation is how long a run must have been observed before its speed is used.
	minObservation = 1500 * time.Millisecond
	// minSamples is how many runs must have ended before their mean is used.
	minSamples = 3
	// minSpeedup is the ratio of a run's expected remaining time to that of a restart
	// elsewhere above which the run is moved.
	minSpeedup = 2.0
	// maxSlowMoves is how often a task is moved because its runs are slow. After that, the task
	// and not its workers is slow.
	maxSlowMoves = 2
	// maxHangDoublings limits how often the time without progress after which a run counts as
	// hung doubles.
	maxHangDoublings = 8
)

// runTimeStats has the observed run times of a queue's tasks.
type runTimeStats struct {
	mean    time.Duration // moving average over runs that ended as Done
	samples int
}

// recordRunOutcome updates the failures of a run's worker and the run times of its queue.
func (c *Core) recordRunOutcome(now time.Time, r *run, cause Cause) {
	switch cause {
	case Fault:
		c.recordBadRun(now, r, false)
	case Done:
		r.worker.recordGoodRun()
	default:
	}
	if cause != Done || r.runningSince.IsZero() || r.initialPercent > 0 || r.task.checkpoint != "" || r.task.step.spec.LongRunning {
		return
	}
	name := r.task.step.occ.job.queue.Name
	rt := c.runTimes[name]
	if rt == nil {
		rt = &runTimeStats{mean: now.Sub(r.runningSince)}
		c.runTimes[name] = rt
	}
	rt.samples++
	rt.mean += time.Duration(runTimeSmoothing * float64(now.Sub(r.runningSince)-rt.mean))
}

// expectedRunTime returns how long a task of the step takes on a healthy worker near its
// data.
func (c *Core) expectedRunTime(s *step) time.Duration {
	if rt := c.runTimes[s.occ.job.queue.Name]; rt != nil && rt.samples >= minSamples {
		return max(rt.mean, s.spec.Estimate/2)
	}
	return s.spec.Estimate
}

// checkProgress stops a run that makes no progress, or that would finish sooner if it were
// restarted elsewhere.
func (c *Core) checkProgress(now time.Time, r *run) {
	if r.task == nil || r.runningSince.IsZero() || r.task.step.spec.LongRunning || r.task.step.spec.Gang {
		return
	}
	if r.reportedAt.Sub(r.progressAt) > c.hangTime(r.task) || c.isFasterElsewhere(now, r) {
		c.moveSlowRun(now, r)
	}
}

// hangTime returns how long a run of the task may make no progress. It doubles each time that the
// task is moved: it may be one whose progress is seldom reported.
func (c *Core) hangTime(t *task) time.Duration {
	hang := max(time.Duration(hangShare*float64(c.expectedRunTime(t.step))), minHangTime)
	return hang << min(t.moves, maxHangDoublings)
}

// isFasterElsewhere reports whether a run would finish sooner if it were restarted on another
// worker. What the task showed on earlier workers counts as well as the runs of its queue.
func (c *Core) isFasterElsewhere(now time.Time, r *run) bool {
	t, s := r.task, r.task.step
	remaining, ok := r.remaining(now)
	rt := c.runTimes[s.occ.job.queue.Name]
	if !ok || t.moves >= maxSlowMoves || c.slowedByPlacement(r) || rt == nil || rt.samples < minSamples {
		return false // declared run times are too often wrong to rely on them alone
	}
	restarted := max(rt.mean, s.spec.Estimate, t.bestRunTime)
	if s.spec.Checkpoints {
		restarted = time.Duration(float64(restarted)*(100-r.percent)/100) + c.cfg.RestoreTime
	}
	return float64(remaining) > minSpeedup*float64(restarted) && remaining-restarted > minHangTime/2
}

// moveSlowRun stops a slow run so that it restarts elsewhere.
func (c *Core) moveSlowRun(now time.Time, r *run) {
	t := r.task
	t.moves++
	if remaining, ok := r.remaining(now); ok {
		// A run that resumed a checkpoint has done part of the work before.
		share := 100 / max(100-r.initialPercent, 1)
		runTime := time.Duration(share * float64(now.Sub(r.runningSince)+remaining))
		if t.bestRunTime == 0 || runTime < t.bestRunTime {
			t.bestRunTime = runTime
		}
	}
	c.recordBadRun(now, r, true)
	c.stopRun(now, r, reasonNoProgress)
}

// drainReportTime is how long before a draining worker leaves its runs must have ended. An end just before it leaves may
// not be reported any more, and the task would run again after the worker's lease. It covers the time between
// checks, an order and a report.
const drainReportTime = 150 * time.Millisecond

// reasonWorkerLeaves is why runs on a draining worker are stopped.
const reasonWorkerLeaves = "its worker leaves"

// stopRunsForDrain stops the runs that a draining worker has no time to finish, among them all
// that last until they are cancelled. Otherwise they would be lost when the worker goes, and
// restart elsewhere only after its lease has expired. The runs are checked when the drain begins, and only
// when the worker has reported, as a new leader does not know their progress before.
func (c *Core) stopRunsForDrain(now time.Time, w *worker) {
	if !w.drainPending || !w.synced {
		return
	}
	w.drainPending = false
	for _, r := range w.sortedRuns() {
		if r.task == nil || !r.stopOrderedAt.IsZero() {
			continue
		}
		if r.task.step.spec.LongRunning || c.expectedEnd(now, r).After(w.leavesAt.Add(-drainReportTime)) {
			c.stopRun(now, r, reasonWorkerLeaves)
		}
	}
}

// mustLeave reports whether a run has to be stopped now, as its worker leaves: it takes longer than it seemed when
// the drain began.
func (c *Core) mustLeave(now time.Time, r *run) bool {
	w := r.worker
	if r.task == nil || !w.info.Draining || !w.listed || w.drainPending {
		return false
	}
	latestEnd := w.leavesAt.Add(-drainReportTime)
	if now.Before(latestEnd.Add(-c.cfg.StopTime)) {
		return false
	}
	return !now.Before(latestEnd) || c.expectedEnd(now, r).After(latestEnd)
}

// expectedEnd estimates when a run ends.
func (c *Core) expectedEnd(now time.Time, r *run) time.Time {
	remaining, ok := r.remaining(now)
	if !ok {
		remaining = time.Duration(float64(c.expectedRunTime(r.task.step)) * (100 - r.initialPercent) / 100)
		if !r.runningSince.IsZero() {
			remaining -= now.Sub(r.runningSince)
		}
	}
	return now.Add(remaining)
}

// remaining estimates from its reported progress how long a run still takes. It returns
// false if too little progress was observed.
func (r *run) remaining(now time.Time) (time.Duration, bool) {
	observed, gained := r.reportedAt.Sub(r.runningSince), r.percent-r.initialPercent
	if observed < minObservation || gained <= 0 {
		return 0, false
	}
	return time.Duration(min(float64(observed)*(100-r.percent)/gained, float64(maxObjective))) - now.Sub(r.reportedAt), true
}

// slowedByPlacement reports whether a run may be slow because of the rack that it runs on.
func (c *Core) slowedByPlacement(r *run) bool {
	s := r.task.step.spec
	return s.Tight || (s.Rack != "" && s.Rack != r.worker.info.Rack)
}
