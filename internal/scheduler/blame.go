package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// quarantineThreshold is the number of strikes at which a worker is quarantined. A single
	// failure is usually caused by the task itself.
	quarantineThreshold = 2
	// minQuarantine is how long a failing or slow worker gets no new work. For a failing one
	// the time doubles with each further strike, maxQuarantineDoublings times and up to
	// maxQuarantine.
	minQuarantine          = 6 * time.Second
	maxQuarantine          = time.Minute
	maxQuarantineDoublings = 4
	// maxQuarantineShare limits the share of the workers of a service, and of those of them
	// with a label, that are quarantined at a time. Work that there is room for twice over must
	// start, so half of the workers must be left to it.
	maxQuarantineShare = 0.5
	// maxBadRuns and maxBadWorkers limit what is remembered of a worker, and of a task or a
	// step.
	maxBadRuns    = 16
	maxBadWorkers = 64
	// soundAgeFactor is how many times as long as a bad run of the same step a run must have
	// lasted to count as sound before it has ended.
	soundAgeFactor = 2
)

// badRun is a run that failed or was too slow on a worker.
type badRun struct {
	task   *task
	number int
	slow   bool
	at     time.Time
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
	w.badRuns = append(w.badRuns, badRun{t, r.number, slow, now})
	c.suspects[w] = true
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

// causedByWork reports whether the task and not its worker is to blame for a bad run: the task
// also went wrong on another worker, or most of its step's tasks go wrong wherever they run.
func (c *Core) causedByWork(now time.Time, b *badRun) bool {
	if b.task.phase == done {
		return false
	}
	s := b.task.step
	return len(b.task.badWorkers) > 1 || len(s.badWorkers) > 1 && len(s.badWorkers) > c.soundTasks(now, s, b.slow)
}

// soundTasks counts the step's tasks that are done or run well: much longer than those that failed
// or, compared with slow ones, as fast as expected.
func (c *Core) soundTasks(now time.Time, s *step, slow bool) int {
	count := &s.soundToFailed
	if slow {
		count = &s.soundToSlow
	}
	if count.round != c.index.round {
		*count = soundCount{round: c.index.round}
		expected := time.Duration(minSpeedup * float64(c.expectedRunTime(s)))
		for _, t := range s.tasks {
			r := t.activeRun
			if r == nil || r.runningSince.IsZero() || !r.stopOrderedAt.IsZero() {
				continue
			}
			age := now.Sub(r.runningSince)
			remaining, observed := r.remaining(now)
			if slow && observed && age+remaining < expected || !slow && age > soundAgeFactor*s.badRunAge {
				count.tasks++
			}
		}
	}
	return s.done + count.tasks
}

// soundCount is a number of running tasks, counted in one scheduling round.
type soundCount struct {
	round int64
	tasks int
}

// attempt identifies the runs of a step's tasks that were started together, as a rule: their
// failures have one cause.
type attempt struct {
	step   *step
	number int
}

// judge counts the strikes against a worker and returns until when they keep it in quarantine.
// Failures of one attempt at a step count once unless other tasks of the step succeed.
func (c *Core) judge(now time.Time, w *worker) (strikes int, until time.Time) {
	counted := map[attempt]bool{}
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
		key := attempt{b.task.step, b.number}
		if !counted[key] || c.soundTasks(now, b.task.step, false) > 0 {
			strikes++
		}
		counted[key], lastFailure = true, b.at
	}
	if strikes >= quarantineThreshold {
		until = lastFailure.Add(min(minQuarantine<<min(strikes-quarantineThreshold, maxQuarantineDoublings), maxQuarantine))
	}
	if slowUntil.After(until) {
		until = slowUntil
	}
	return strikes, until
}

// updateQuarantines decides anew which workers are quarantined. What happens elsewhere may show
// that a worker is not to blame, which ends its quarantine.
func (c *Core) updateQuarantines(now time.Time) {
	if len(c.suspects) == 0 {
		return
	}
	var due []*worker
	for w := range c.suspects {
		w.badRuns = slices.DeleteFunc(w.badRuns, func(b badRun) bool { return b.slow && now.Sub(b.at) > minQuarantine })
		if len(w.badRuns) == 0 {
			delete(c.suspects, w)
		}
		strikes, until := c.judge(now, w)
		if strikes != w.strikes {
			w.strikes = strikes
			w.markDirty()
		}
		if until.After(now) {
			due = append(due, w)
		} else {
			if w.quarantinedUntil.After(now) {
				c.cfg.Logger.Info("quarantine ends early", "worker", w.id, "failed_runs", w.strikes, "early_ms", w.quarantinedUntil.Sub(now).Milliseconds())
			}
			w.quarantinedUntil = time.Time{}
		}
		w.judgedUntil = until
	}
	c.quarantine(now, due)
}

// quarantine quarantines the workers for which it is due, those with the most strikes first, up
// to maxQuarantineShare of similar workers.
func (c *Core) quarantine(now time.Time, due []*worker) {
	if len(due) == 0 {
		return
	}
	c.refresh() // counts the workers by label
	slices.SortFunc(due, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.strikes, a.strikes), strings.Compare(a.id, b.id))
	})
	quarantined := map[workerGroup]int{}
	for _, w := range due {
		groups := w.groups()
		if slices.ContainsFunc(groups, func(g workerGroup) bool {
			return float64(quarantined[g]+1) > maxQuarantineShare*float64(c.index.groupSizes[g])
		}) {
			w.quarantinedUntil = time.Time{}
			continue
		}
		for _, g := range groups {
			quarantined[g]++
		}
		if w.judgedUntil.After(w.quarantinedUntil) {
			c.cfg.Logger.Warn("worker is quarantined", "worker", w.id, "failed_runs", w.strikes, "for_ms", w.judgedUntil.Sub(now).Milliseconds())
		}
		w.quarantinedUntil = w.judgedUntil
	}
}

// workerGroup identifies the workers of a service or, with a label, those of them that have it.
type workerGroup struct{ service, label string }

// groups returns the groups that the worker belongs to.
func (w *worker) groups() []workerGroup {
	groups := []workerGroup{{service: w.info.Service}}
	for _, label := range w.info.Labels {
		if label != "" {
			groups = append(groups, workerGroup{w.info.Service, label})
		}
	}
	return groups
}
