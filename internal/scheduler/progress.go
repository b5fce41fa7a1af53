package scheduler

import "time"

const (
	// smoothing weighs the newest run time against those before it.
	smoothing = 0.2
	// reasonSlow marks runs that are moved because their worker is slow.
	reasonSlow = "no progress on this worker"
	// hangFactor is how many times its expected run time a run may go without
	// progress before it is taken for hung; hangFloor is the least such time.
	// Workers report whole percents with each renewal, every two seconds.
	hangFactor = 0.3
	hangFloor  = 4 * time.Second
	// slowWindow is how long a run must have been seen before its speed counts.
	slowWindow = 1500 * time.Millisecond
	// minSamples is how many runs have to have ended before their mean counts.
	minSamples = 3
	// slowGain is how many times as fast elsewhere a run must be expected to
	// finish, from its start, for it to be moved.
	slowGain = 2.0
)

// runTime is what is known of the run times of a queue's tasks.
type runTime struct {
	mean    time.Duration // of runs that ended done
	samples int
}

// learn takes in how long a run took.
func (c *Core) learn(now time.Time, r *run, cause Cause) {
	w := r.worker
	switch cause {
	case Fault:
		w.fails++
		if w.fails >= quarantineFails {
			length := min(quarantine<<min(w.fails-quarantineFails, 4), maxQuarantine)
			w.suspended = now.Add(length)
			c.cfg.Logger.Warn("worker is left out", "worker", w.id, "failed_runs", w.fails, "for_ms", length.Milliseconds())
		}
	case Done:
		w.fails = 0
	default:
	}
	if cause != Done || r.begun.IsZero() || r.first > 0 || r.task.saved != "" || r.task.step.spec.Lasting {
		return
	}
	name := r.task.step.occ.job.queue.Name
	rt := c.rates[name]
	if rt == nil {
		rt = &runTime{mean: now.Sub(r.begun)}
		c.rates[name] = rt
	}
	rt.samples++
	rt.mean += time.Duration(smoothing * float64(now.Sub(r.begun)-rt.mean))
}

// expected is how long a task of the step runs on a sound worker near its data.
func (c *Core) expected(s *step) time.Duration {
	if rt := c.rates[s.occ.job.queue.Name]; rt != nil && rt.samples >= minSamples {
		return max(rt.mean, s.spec.Estimate/2)
	}
	return s.spec.Estimate
}

// watchRun stops a run that stands still, or that would be done sooner if it
// began anew elsewhere.
func (c *Core) watchRun(now time.Time, r *run) {
	if r.task == nil || r.begun.IsZero() || r.task.step.spec.Lasting || r.task.step.spec.Gang {
		return
	}
	s := r.task.step
	expect := c.expected(s)
	if r.listed.Sub(r.moved) > max(time.Duration(hangFactor*float64(expect)), hangFloor) {
		c.moveOff(now, r)
		return
	}
	rest, ok := r.rest(now)
	rt := c.rates[s.occ.job.queue.Name]
	if !ok || c.away(r) || rt == nil || rt.samples < minSamples {
		return // declared run times alone are too often wrong
	}
	anew := max(rt.mean, s.spec.Estimate)
	if s.spec.Checkpoints {
		anew = time.Duration(float64(anew)*(100-r.percent)/100) + c.cfg.Restore
	}
	if float64(rest) > slowGain*float64(anew) && rest-anew > hangFloor/2 {
		c.moveOff(now, r)
	}
}

// moveOff stops a run that does badly, and leaves its worker out for a while.
func (c *Core) moveOff(now time.Time, r *run) {
	r.worker.suspended = now.Add(quarantine)
	c.stop(now, r, reasonSlow)
}

// moveAway stops what a leaving worker has no time to finish. It would be lost when
// the worker goes, and start elsewhere only after its lease.
func (c *Core) moveAway(now time.Time, w *worker) {
	for _, r := range w.sortedRuns() {
		if r.task == nil || !r.stopping.IsZero() || r.task.step.spec.Lasting {
			continue
		}
		rest, ok := r.rest(now)
		if !ok {
			rest = c.expected(r.task.step)
			if !r.begun.IsZero() {
				rest -= now.Sub(r.begun)
			}
		}
		if rest > w.info.Remaining {
			c.stop(now, r, "its worker leaves")
		}
	}
}

// rest estimates how long a run still takes, from what it has reported.
func (r *run) rest(now time.Time) (time.Duration, bool) {
	seen, did := r.listed.Sub(r.begun), r.percent-r.first
	if seen < slowWindow || did <= 0 {
		return 0, false
	}
	return time.Duration(float64(seen)*(100-r.percent)/did) - now.Sub(r.listed), true
}

// away reports whether a run is slow because of where it runs.
func (c *Core) away(r *run) bool {
	s := r.task.step.spec
	return s.Tight || (s.Rack != "" && s.Rack != r.worker.info.Rack)
}
