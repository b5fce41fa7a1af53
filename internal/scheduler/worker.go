package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// missingRunGrace is how long after an order's answer a run may be missing from
	// its worker's lists before it is taken for gone. Answers on different
	// connections overtake each other by less.
	missingRunGrace = 300 * time.Millisecond
	// stopRetryInterval is how long a stop may take before it is ordered anew.
	stopRetryInterval = time.Second
	// failedStartPause is how long a worker that refused a start, or gave no answer,
	// gets no other.
	failedStartPause = 2 * time.Second
	// quarantineThreshold is how many runs in a row have to fail on a worker before
	// it is left out. A single failure is usually the task's own.
	quarantineThreshold = 2
	// minQuarantine is how long a failing worker gets no work, doubled with each
	// further failure up to maxQuarantine.
	minQuarantine = 6 * time.Second
	maxQuarantine = time.Minute
)

type runKey struct {
	name   string
	number int
}

// worker is a worker as the scheduler knows it.
type worker struct {
	id            string
	listed        bool
	info          Worker
	incarnation   int64
	synced        bool // it has reported under this leader's token
	lastHeard     time.Time
	runs          map[runKey]*run
	used          Resources
	unknownDemand int            // runs of which it isn't known what they take
	reservations  []*reservation // capacity kept for tasks that wait for it
	// failStreak counts runs in a row that failed here.
	failStreak     int
	suspendedUntil time.Time // no new work before

	index          *index
	pos            int            // position in Core.order
	rack           *rack          // nil while it isn't listed
	schedulable    bool           // it may be given new work in this round
	dirty          bool           // the index hasn't counted its last change
	usableCapacity usableCapacity // what it adds to the room of its service
	sortedCache    []*run
}

// worker returns the worker with the ID, which may not be listed (yet).
func (c *Core) worker(id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{id: id, runs: map[runKey]*run{}, index: c.index}
		c.workers[id] = w
		at, _ := slices.BinarySearchFunc(c.sortedWorkers, id, func(o *worker, id string) int { return strings.Compare(o.id, id) })
		c.sortedWorkers = slices.Insert(c.sortedWorkers, at, w)
		c.index.stale = true
	}
	return w
}

func (w *worker) addRun(r *run) {
	w.runs[runKey{r.name, r.number}] = r
	w.used = w.used.plus(r.demand)
	w.sortedCache = nil
	w.markDirty()
}

// reserved is the capacity that work of a level must leave to others: what is planned
// for work at least as important.
func (w *worker) reserved(level int) Resources {
	var sum Resources
	for _, p := range w.reservations {
		if p.level <= level {
			sum = sum.plus(p.demand)
		}
	}
	return sum
}

// free is what new work of a level may use.
func (w *worker) free(level int) Resources {
	return w.info.Capacity.minus(w.used).minus(w.reserved(level))
}

// usable reports whether the worker may be given new work.
func (w *worker) usable(now time.Time, silence time.Duration) bool {
	return w.listed && w.synced && w.unknownDemand == 0 && !w.info.Draining && !now.Before(w.suspendedUntil) && now.Sub(w.lastHeard) < silence
}

// SeeWorker takes in a worker's entry of the registry.
func (c *Core) SeeWorker(now time.Time, info Worker) {
	w := c.worker(info.ID)
	if info.Born != 0 && w.incarnation != 0 && info.Born < w.incarnation {
		return
	}
	if w.listed && info.Draining != w.info.Draining {
		c.cfg.Logger.Info("worker changed state", "worker", w.id, "draining", info.Draining, "runs", len(w.runs))
	}
	startsDraining := w.listed && info.Draining && !w.info.Draining // earlier leaders moved what they saw leave
	if !w.listed || info.Draining != w.info.Draining || info.Capacity != w.info.Capacity {
		c.changed = true
	}
	c.index.stale = c.index.stale || !w.listed || !w.info.sameForPlacement(info)
	w.info, w.listed, w.lastHeard = info, true, now
	if info.Born > w.incarnation {
		c.workerRestarted(now, w, info.Born)
	}
	if startsDraining {
		c.stopRunsBeforeDrain(now, w)
	}
}

// DropWorker takes in that a worker has left the registry. What ran there counts
// until its lease has surely run out.
func (c *Core) DropWorker(id string) {
	if w := c.workers[id]; w != nil {
		w.listed = false
		c.changed, c.index.stale = true, true
		c.cfg.Logger.Info("worker left", "worker", id, "runs", len(w.runs))
		if len(w.runs) == 0 {
			c.forgetWorker(w)
		}
	}
}

// workerRestarted notes a new life of a worker. What ran there before is lost, but starts
// may have reached the new life already; its report tells.
func (c *Core) workerRestarted(now time.Time, w *worker, incarnation int64) {
	if w.incarnation != 0 {
		c.cfg.Logger.Warn("worker has restarted", "worker", w.id, "born", incarnation, "runs", len(w.runs))
		w.synced = false
		for _, r := range w.sortedRuns() {
			if r.confirmedAt.IsZero() {
				// Its start may still come, and the new life knows of no stop.
				c.stopRun(now, r, "its worker restarted before it answered")
			}
		}
	}
	w.incarnation = incarnation
}

// Lapse notes that all leases on a worker have surely run out.
func (c *Core) Lapse(now time.Time, id string) {
	w := c.workers[id]
	if w == nil {
		return
	}
	w.synced = false
	if len(w.runs) > 0 {
		c.cfg.Logger.Warn("leases ran out", "worker", id, "runs_lost", len(w.runs))
		c.loseRuns(now, w)
	}
	if !w.listed {
		c.forgetWorker(w)
	}
}

func (c *Core) forgetWorker(w *worker) {
	delete(c.workers, w.id)
	w.rack, w.schedulable, w.usableCapacity = nil, false, usableCapacity{} // a plan may still name it
	c.sortedWorkers = slices.DeleteFunc(c.sortedWorkers, func(o *worker) bool { return o == w })
	c.index.stale = true
}

func (c *Core) loseRuns(now time.Time, w *worker) {
	for _, r := range w.sortedRuns() {
		c.runEnded(now, r, Vanished, r.checkpoint)
	}
}

// sortedRuns lists the runs in a fixed order, so that histories repeat. The list is
// made anew after a change, so that a caller may end runs while it goes through it.
func (w *worker) sortedRuns() []*run {
	if w.sortedCache == nil {
		w.sortedCache = make([]*run, 0, len(w.runs))
		for _, r := range w.runs {
			w.sortedCache = append(w.sortedCache, r)
		}
		slices.SortFunc(w.sortedCache, func(a, b *run) int { return cmp.Or(strings.Compare(a.name, b.name), cmp.Compare(a.number, b.number)) })
	}
	return w.sortedCache
}

// HasRuns reports whether the worker has to be asked: runs are counted there, or
// it hasn't reported to this leader.
func (c *Core) HasRuns(id string) bool {
	w := c.workers[id]
	return w != nil && (len(w.runs) > 0 || !w.synced)
}

// Suspect notes that a worker did not answer; it gets no new work for a while.
func (c *Core) Suspect(now time.Time, id string) {
	if w := c.workers[id]; w != nil && w.suspendedUntil.Before(now.Add(failedStartPause)) {
		w.suspendedUntil = now.Add(failedStartPause)
	}
}

// WorkerIDs lists the workers that are registered or where something is counted.
func (c *Core) WorkerIDs() []string {
	ids := make([]string, len(c.sortedWorkers))
	for i, w := range c.sortedWorkers {
		ids[i] = w.id
	}
	return ids
}

// Knows reports whether the worker is listed or anything is counted there.
func (c *Core) Knows(id string) bool { return c.workers[id] != nil }

// Report takes in a worker's answer. It reports whether it was current.
func (c *Core) Report(now time.Time, rep Report) bool {
	w := c.worker(rep.Worker)
	if rep.Born != 0 && rep.Born < w.incarnation {
		return false
	}
	if rep.Born > w.incarnation {
		c.workerRestarted(now, w, rep.Born)
	}
	if !w.synced {
		c.changed = true
		c.cfg.Logger.Info("worker reports to this leader", "worker", w.id, "running", len(rep.Running), "ended", len(rep.Ended))
	}
	w.synced, w.lastHeard = true, now
	listed := make(map[runKey]bool, len(rep.Running)+len(rep.Ended))
	for _, e := range rep.Ended {
		key := runKey{e.Task, e.Run}
		listed[key] = true
		if r := w.runs[key]; r != nil {
			c.runEnded(now, r, e.Cause, e.Saved)
		}
	}
	for _, entry := range rep.Running {
		key := runKey{entry.Task, entry.Run}
		listed[key] = true
		c.recordProgress(now, w, key, entry)
	}
	if !rep.Full {
		return true
	}
	for _, r := range w.sortedRuns() {
		if !listed[runKey{r.name, r.number}] && !r.confirmedAt.IsZero() && !rep.Sent.Before(r.confirmedAt) &&
			(r.runningSince.IsZero() || now.Sub(r.confirmedAt) > missingRunGrace) {
			c.runEnded(now, r, Vanished, r.checkpoint)
		}
	}
	return true
}

// recordProgress takes in a row of what runs on a worker.
func (c *Core) recordProgress(now time.Time, w *worker, key runKey, entry RunningTask) {
	r := w.runs[key]
	if r == nil {
		r = &run{name: entry.Task, number: entry.Run, worker: w, confirmedAt: now}
		if t := c.findTask(entry.Task); t != nil {
			r.demand = t.step.spec.demand()
		} else {
			r.unknownDemand = true
			w.unknownDemand++
		}
		w.addRun(r)
		c.stopRun(now, r, "no such run is known")
		return
	}
	if r.runningSince.IsZero() {
		r.runningSince, r.progressAt, r.initialPercent = now, now, entry.Percent
	}
	if entry.Percent > r.percent {
		r.progressAt = now
	}
	r.percent, r.reportedAt = entry.Percent, now
	if entry.Saved != "" {
		r.checkpoint = entry.Saved
	}
}

// StartResult is the worker's answer to a Start.
type StartResult int

// Answers to a Start.
const (
	// Accepted: the run is there.
	Accepted StartResult = iota
	// Rejected: the run isn't there and won't be.
	Rejected
	// RejectedOld: it has ended there, or an older start is refused.
	RejectedOld
	// Uncertain: no answer came, or a later one doesn't exclude an earlier one.
	Uncertain
)

// StartAnswered takes in what became of a Start.
func (c *Core) StartAnswered(now time.Time, id, name string, number int, result StartResult) {
	w := c.workers[id]
	if w == nil {
		return
	}
	r := w.runs[runKey{name, number}]
	if r == nil {
		return
	}
	switch result {
	case Accepted, RejectedOld:
		r.confirm(now)
	case Rejected:
		w.suspendedUntil = now.Add(failedStartPause)
		c.runEnded(now, r, Vanished, "")
	case Uncertain:
		w.suspendedUntil = now.Add(failedStartPause)
		c.stopRun(now, r, "its start got no answer")
		c.abortGang(now, r, "a member's start got no answer")
	}
}

// abortGang stops the other members of a run's gang, which can't become whole.
func (c *Core) abortGang(now time.Time, r *run, why string) {
	if r.task == nil || r.task.activeRun != r || !r.task.step.spec.Gang {
		return
	}
	c.stopGang(now, r, why)
}

// StopAnswered takes in that a worker confirmed a Stop: the run is ending or was
// never there.
func (c *Core) StopAnswered(now time.Time, id, name string, number int) {
	if w := c.workers[id]; w != nil {
		if r := w.runs[runKey{name, number}]; r != nil {
			r.confirm(now)
		}
	}
}

// confirm notes the first answer to an order about the run. From then on the
// worker lists the run until its end is taken note of.
func (r *run) confirm(now time.Time) {
	if !r.confirmedAt.IsZero() {
		return
	}
	r.confirmedAt = now
	if r.task != nil && r.task.step.firstConfirmedAt.IsZero() {
		r.task.step.firstConfirmedAt = now
	}
}

// stopRun orders the end of a run.
func (c *Core) stopRun(now time.Time, r *run, why string) {
	if r.stopOrderedAt.IsZero() {
		c.cfg.Logger.Info("run is stopped", "task", r.name, "run", r.number, "worker", r.worker.id,
			"percent", r.percent, "why", why)
		r.stopReason = why
	}
	r.stopOrderedAt = now
	r.worker.markDirty()
	c.effects.Stops = append(c.effects.Stops, Stop{Worker: r.worker.id, Address: r.worker.info.Address, Task: r.name, Run: r.number})
}

// runEnded takes in that a run is surely over.
func (c *Core) runEnded(now time.Time, r *run, cause Cause, checkpoint string) {
	w := r.worker
	c.changed = true
	delete(w.runs, runKey{r.name, r.number})
	w.used = w.used.minus(r.demand)
	w.sortedCache = nil
	w.markDirty()
	if r.unknownDemand {
		w.unknownDemand--
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
	c.recordRunOutcome(now, r, cause)
	c.cfg.Logger.Info("run ended", "task", r.name, "run", r.number, "worker", w.id, "cause", string(cause),
		"percent", r.percent, "ran_ms", ranMillis(now, r), "why", r.stopReason)
	if j.state.Final() || t.phase == done {
		return
	}
	if cause == Done && !t.step.spec.Lasting {
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

// completeTask records that a task, or with it all of its gang, is done.
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

// requeueTask returns a task whose run ended early to the queue. A gang returns
// as a whole.
func (c *Core) requeueTask(now time.Time, t *task, r *run, cause Cause, checkpoint string) {
	s := t.step
	j := s.occ.job
	t.phase, t.waitingSince = waiting, now
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
		t.failures++
	}
	c.storeTask(t)
	if t.failures >= j.queue.Attempts && !s.spec.Lasting {
		c.endJob(now, j, Failed, "a task has used up its attempts")
	}
}

// requeueGang breaks up a gang of which one member's run ended early. A failed run
// counts once for the whole gang.
func (c *Core) requeueGang(now time.Time, s *step, cause Cause, t *task) {
	if cause == Fault && t.run > s.lastFailedRun {
		s.lastFailedRun = t.run
		for _, m := range s.tasks {
			m.failures++
		}
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
	j := s.occ.job
	s.readySince = time.Time{} // it waits anew
	if t.failures >= j.queue.Attempts && !s.spec.Lasting {
		c.endJob(now, j, Failed, "a gang has used up its attempts")
	}
}

// gangWaitShare of the time that members wait for each other may pass before a gang that is
// not whole is broken up: the rest is for stopping them.
const gangWaitShare = 0.5

// gangWaitExceeded reports whether the others of its gang have waited too long for a run.
func (c *Core) gangWaitExceeded(now time.Time, r *run) bool {
	if r.task == nil || !r.task.step.spec.Gang || !r.confirmedAt.IsZero() || c.cfg.GangWait == 0 {
		return false
	}
	firstConfirmedAt := r.task.step.firstConfirmedAt
	return !firstConfirmedAt.IsZero() && float64(now.Sub(firstConfirmedAt)) > gangWaitShare*float64(c.cfg.GangWait)
}

// checkWorker repeats orders that were lost and moves work off workers where it
// stands still.
func (c *Core) checkWorker(now time.Time, w *worker) {
	for _, r := range w.sortedRuns() {
		switch {
		case !r.stopOrderedAt.IsZero():
			if now.Sub(r.stopOrderedAt) > stopRetryInterval {
				c.stopRun(now, r, r.stopReason)
			}
		case c.gangWaitExceeded(now, r):
			c.abortGang(now, r, "its gang is not whole in time")
		case w.synced:
			c.checkProgress(now, r)
		}
	}
}
