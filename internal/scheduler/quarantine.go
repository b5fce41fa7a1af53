package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// quarantineThreshold is the number of failures attributed to a worker at which it is
	// quarantined. A single failure is usually caused by the task itself.
	quarantineThreshold = 2
	// minQuarantine is how long a failing or slow worker gets no new work. For a failing one
	// the time doubles with each further failure, maxQuarantineDoublings times and up to
	// maxQuarantine.
	minQuarantine          = 6 * time.Second
	maxQuarantine          = time.Minute
	maxQuarantineDoublings = 4
	// maxQuarantineShare limits the share of the workers of a service, and of those of them
	// with a label, that are quarantined at a time. Work that there is room for twice over must
	// start, so half of the workers must be left to it. Workers with quarantineThreshold
	// failures of tasks that others completed count for the service only.
	maxQuarantineShare = 0.5
	// maxBadRuns and maxBadWorkers limit what is remembered of a worker, and of a task or a
	// step.
	maxBadRuns    = 16
	maxBadWorkers = 64
	// healthyAgeFactor is how many times as long as a failed run of the same step a run must have
	// lasted to count as healthy before it has ended.
	healthyAgeFactor = 2
)

// badRun is a run that failed or was too slow on a worker.
type badRun struct {
	task *task
	slow bool
	at   time.Time
}

// recordBadRun notes that a run failed or was too slow.
func (c *Core) recordBadRun(now time.Time, r *run, slow bool) {
	w, t := r.worker, r.task
	t.badWorkers = appendUnique(t.badWorkers, w.id)
	t.step.badWorkers = appendUnique(t.step.badWorkers, w.id)
	if !r.runningSince.IsZero() {
		t.step.badRunAge = max(t.step.badRunAge, now.Sub(r.runningSince))
	}
	if len(w.badRuns) == maxBadRuns {
		w.badRuns = slices.Delete(w.badRuns, 0, 1)
	}
	w.badRuns = append(w.badRuns, badRun{t, slow, now})
	c.withBadRuns[w] = true
}

// appendUnique appends an ID unless the list contains it or is full.
func appendUnique(ids []string, id string) []string {
	if len(ids) == maxBadWorkers || slices.Contains(ids, id) {
		return ids
	}
	return append(ids, id)
}

// recordGoodRun notes that a run of a worker ended as Done: the worker doesn't fail all runs. It
// may still be slow.
func (w *worker) recordGoodRun() {
	w.badRuns = slices.DeleteFunc(w.badRuns, func(b badRun) bool { return !b.slow })
}

// causedByWork reports whether a bad run is attributed to its task instead of its worker: the task
// had a bad run on another worker as well, or most of its step's tasks have bad runs on several
// workers.
func (c *Core) causedByWork(now time.Time, b *badRun) bool {
	if b.task.phase == done {
		return false
	}
	s := b.task.step
	return len(b.task.badWorkers) > 1 || len(s.badWorkers) > 1 && len(s.badWorkers) > c.healthyTasks(now, s, b.slow)
}

// healthyTasks counts the step's tasks that are done or run well: much longer than those that failed
// or, compared with slow ones, as fast as expected.
func (c *Core) healthyTasks(now time.Time, s *step, slow bool) int {
	count := &s.healthyToFailed
	if slow {
		count = &s.healthyToSlow
	}
	if count.round != c.index.round {
		*count = healthyCount{round: c.index.round}
		expected := time.Duration(minSpeedup * float64(c.expectedRunTime(s)))
		for _, t := range s.tasks {
			r := t.activeRun
			if r == nil || r.runningSince.IsZero() || !r.stopOrderedAt.IsZero() {
				continue
			}
			age := now.Sub(r.runningSince)
			remaining, observed := r.remaining(now)
			if slow && observed && age+remaining < expected || !slow && age > healthyAgeFactor*s.badRunAge {
				count.tasks++
			}
		}
	}
	return s.done + count.tasks
}

// healthyCount is a number of running tasks, counted in one scheduling round.
type healthyCount struct {
	round int64
	tasks int
}

// attribution holds what is attributed to a worker and not to its work.
type attribution struct {
	failures int       // each step counts once unless other tasks of it are healthy: its runs may fail by one cause
	proven   int       // failures of tasks that other workers completed
	until    time.Time // until when failures and slow runs keep it in quarantine
}

// attributeFailures decides which bad runs of a worker are attributed to it.
func (c *Core) attributeFailures(now time.Time, w *worker) attribution {
	var a attribution
	counted := map[*step]bool{}
	var lastFailure, slowUntil time.Time
	for i := range w.badRuns {
		b := &w.badRuns[i]
		if c.causedByWork(now, b) {
			continue
		}
		if b.slow {
			slowUntil = b.at.Add(minQuarantine)
			continue
		}
		s := b.task.step
		if !counted[s] || c.healthyTasks(now, s, false) > 0 {
			a.failures++
		}
		if b.task.phase == done {
			a.proven++
		}
		counted[s], lastFailure = true, b.at
	}
	if a.failures >= quarantineThreshold {
		a.until = lastFailure.Add(min(minQuarantine<<min(a.failures-quarantineThreshold, maxQuarantineDoublings), maxQuarantine))
	}
	if slowUntil.After(a.until) {
		a.until = slowUntil
	}
	return a
}

// updateQuarantines decides again which workers are quarantined. Runs on other workers may show
// that the work was the cause, which ends a quarantine.
func (c *Core) updateQuarantines(now time.Time) {
	if len(c.withBadRuns) == 0 {
		return
	}
	var due []*worker
	for w := range c.withBadRuns {
		w.badRuns = slices.DeleteFunc(w.badRuns, func(b badRun) bool { return b.slow && now.Sub(b.at) > minQuarantine })
		if len(w.badRuns) == 0 {
			delete(c.withBadRuns, w)
		}
		a := c.attributeFailures(now, w)
		if a.failures != w.attributed.failures {
			w.markDirty()
		}
		w.attributed = a
		if a.until.After(now) {
			due = append(due, w)
		} else {
			if w.quarantinedUntil.After(now) {
				c.cfg.Logger.Info("quarantine ends early", "worker", w.id, "failures", w.attributed.failures, "bad_runs", len(w.badRuns), "early_ms", w.quarantinedUntil.Sub(now).Milliseconds())
			}
			w.quarantinedUntil = time.Time{}
		}
	}
	c.quarantine(now, due)
}

// quarantine quarantines the workers for which it is due, those with the most failures first, up to
// maxQuarantineShare of each group.
func (c *Core) quarantine(now time.Time, due []*worker) {
	if len(due) == 0 {
		return
	}
	c.refresh() // groupSizes may be out of date
	slices.SortFunc(due, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.attributed.failures, a.attributed.failures), strings.Compare(a.id, b.id))
	})
	quarantined := map[workerGroup]int{}
	for _, w := range due {
		groups := w.groups()
		if w.attributed.proven >= quarantineThreshold {
			groups = groups[:1]
		}
		if slices.ContainsFunc(groups, func(g workerGroup) bool {
			return float64(quarantined[g]+1) > maxQuarantineShare*float64(c.index.groupSizes[g])
		}) {
			w.quarantinedUntil = time.Time{}
			continue
		}
		for _, g := range groups {
			quarantined[g]++
		}
		if w.attributed.until.After(w.quarantinedUntil) {
			c.cfg.Logger.Warn("worker is quarantined", "worker", w.id, "failures", w.attributed.failures, "bad_runs", len(w.badRuns), "for_ms", w.attributed.until.Sub(now).Milliseconds())
		}
		w.quarantinedUntil = w.attributed.until
	}
}

// mustReclaim reports whether the step has not begun by its customer's guarantee for so long that workers in
// quarantine count as well: the others have no room, even once less important work has been stopped.
func (c *Core) mustReclaim(now time.Time, s *step) bool {
	return c.index.quarantined > 0 && s.occ.job.level == levelGuaranteed && now.Sub(s.turnAt) > urgentRackWait &&
		slices.ContainsFunc(s.tasks, func(t *task) bool { return t.phase == waiting && !t.begun })
}

// mayUseQuarantined reports whether the step, which fits on no other workers, may start on those in
// quarantine: it must start, and they may have the only room for it.
func (c *Core) mayUseQuarantined(now time.Time, s *step, h *runHistory) bool {
	return s.right.anywhere && c.index.quarantined > 0 && now.Sub(h.listedAt) >= maxIdleWait && c.hasAmpleRoom(s)
}

// fitGangWithQuarantined finds workers for a whole gang, if need be with those in quarantine.
func (c *Core) fitGangWithQuarantined(now time.Time, s *step) []*worker {
	workers := c.fitGang(now, s)
	if workers != nil || !c.mayUseQuarantined(now, s, s.tasks[0].history()) {
		return workers
	}
	s.inQuarantined = true
	defer func() { s.inQuarantined = false }()
	return c.fitGang(now, s)
}

// chooseWithQuarantined chooses a worker for a task, if need be one in quarantine. Of a step that
// ends, one task runs there at a time: its job has something running then.
func (c *Core) chooseWithQuarantined(now time.Time, t *task, racks []*rack) *worker {
	w, s := c.chooseOnRacks(t, racks), t.step
	if w != nil || !c.mayUseQuarantined(now, s, t.history()) || !s.spec.LongRunning && s.runsInQuarantine() {
		return w
	}
	s.inQuarantined = true
	defer func() { s.inQuarantined = false }()
	return c.chooseOnRacks(t, racks)
}

// runsInQuarantine reports whether a run of the step counts on a worker in quarantine.
func (s *step) runsInQuarantine() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.activeRun != nil && t.activeRun.worker.quarantined })
}

// workerGroup identifies the workers of a service or, with a label, those of them that have it.
type workerGroup struct{ service, label string }

// groups returns the groups that the worker belongs to, that of its whole service first.
func (w *worker) groups() []workerGroup {
	groups := []workerGroup{{service: w.info.Service}}
	for _, label := range w.info.Labels {
		if label != "" {
			groups = append(groups, workerGroup{w.info.Service, label})
		}
	}
	return groups
}
