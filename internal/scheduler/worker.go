package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// vanishGrace is how long after an order's answer a run may be missing from
	// its worker's lists before it is taken for gone. Answers on different
	// connections overtake each other by less.
	vanishGrace = 300 * time.Millisecond
	// stopAgain is how long a stop may take before it is ordered anew.
	stopAgain = time.Second
	// refusalPause is how long a worker that refused a start, or gave no answer,
	// gets no other.
	refusalPause = 2 * time.Second
	// quarantineFails is how many runs in a row have to fail on a worker before
	// it is left out. A single failure is usually the task's own.
	quarantineFails = 2
	// quarantine is how long a failing worker gets no work, doubled with each
	// further failure up to maxQuarantine.
	quarantine    = 6 * time.Second
	maxQuarantine = time.Minute
)

type runKey struct {
	name   string
	number int
}

// worker is a worker as the scheduler knows it.
type worker struct {
	id     string
	listed bool
	info   Worker
	born   int64
	synced bool // it has reported under this leader's token
	heard  time.Time
	runs   map[runKey]*run
	used   Resources
	blind  int     // runs of which it isn't known what they take
	plans  []*plan // capacity kept for tasks that wait for it
	// fails counts runs in a row that failed here.
	fails     int
	suspended time.Time // no new work before

	index  *index
	at     int   // position in Core.order
	rack   *rack // nil while it isn't listed
	open   bool  // it may be given new work in this round
	dirty  bool  // the index hasn't counted its last change
	room   room  // what it adds to the room of its service
	sorted []*run
}

// worker returns the worker with the ID, which may not be listed (yet).
func (c *Core) worker(id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{id: id, runs: map[runKey]*run{}, index: c.index}
		c.workers[id] = w
		at, _ := slices.BinarySearchFunc(c.order, id, func(o *worker, id string) int { return strings.Compare(o.id, id) })
		c.order = slices.Insert(c.order, at, w)
		c.index.stale = true
	}
	return w
}

func (w *worker) add(r *run) {
	w.runs[runKey{r.name, r.number}] = r
	w.used = w.used.plus(r.demand)
	w.sorted = nil
	w.touch()
}

// kept is the capacity that work of a level must leave to others: what is planned
// for work at least as important.
func (w *worker) kept(level int) Resources {
	var sum Resources
	for _, p := range w.plans {
		if p.level <= level {
			sum = sum.plus(p.demand)
		}
	}
	return sum
}

// free is what new work of a level may use.
func (w *worker) free(level int) Resources { return w.info.Capacity.minus(w.used).minus(w.kept(level)) }

// usable reports whether the worker may be given new work.
func (w *worker) usable(now time.Time, silence time.Duration) bool {
	return w.listed && w.synced && w.blind == 0 && !w.info.Draining && !now.Before(w.suspended) && now.Sub(w.heard) < silence
}

// SeeWorker takes in a worker's entry of the registry.
func (c *Core) SeeWorker(now time.Time, info Worker) {
	w := c.worker(info.ID)
	if info.Born != 0 && w.born != 0 && info.Born < w.born {
		return
	}
	if w.listed && info.Draining != w.info.Draining {
		c.cfg.Logger.Info("worker changed state", "worker", w.id, "draining", info.Draining, "runs", len(w.runs))
	}
	leaves := w.listed && info.Draining && !w.info.Draining // earlier leaders moved what they saw leave
	if !w.listed || info.Draining != w.info.Draining || info.Capacity != w.info.Capacity {
		c.changed = true
	}
	c.index.stale = c.index.stale || !w.listed || !w.info.fitsSame(info)
	w.info, w.listed, w.heard = info, true, now
	if info.Born > w.born {
		c.reborn(now, w, info.Born)
	}
	if leaves {
		c.moveAway(now, w)
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

// reborn notes a new life of a worker. What ran there before is lost, but starts
// may have reached the new life already; its report tells.
func (c *Core) reborn(now time.Time, w *worker, born int64) {
	if w.born != 0 {
		c.cfg.Logger.Warn("worker has restarted", "worker", w.id, "born", born, "runs", len(w.runs))
		w.synced = false
		for _, r := range w.sortedRuns() {
			if r.answered.IsZero() {
				// Its start may still come, and the new life knows of no stop.
				c.stop(now, r, "its worker restarted before it answered")
			}
		}
	}
	w.born = born
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
	w.rack, w.open, w.room = nil, false, room{} // a plan may still name it
	c.order = slices.DeleteFunc(c.order, func(o *worker) bool { return o == w })
	c.index.stale = true
}

func (c *Core) loseRuns(now time.Time, w *worker) {
	for _, r := range w.sortedRuns() {
		c.ended(now, r, Vanished, r.saved)
	}
}

// sortedRuns lists the runs in a fixed order, so that histories repeat. The list is
// made anew after a change, so that a caller may end runs while it goes through it.
func (w *worker) sortedRuns() []*run {
	if w.sorted == nil {
		w.sorted = make([]*run, 0, len(w.runs))
		for _, r := range w.runs {
			w.sorted = append(w.sorted, r)
		}
		slices.SortFunc(w.sorted, func(a, b *run) int { return cmp.Or(strings.Compare(a.name, b.name), cmp.Compare(a.number, b.number)) })
	}
	return w.sorted
}

// HasRuns reports whether the worker has to be asked: runs are counted there, or
// it hasn't reported to this leader.
func (c *Core) HasRuns(id string) bool {
	w := c.workers[id]
	return w != nil && (len(w.runs) > 0 || !w.synced)
}

// Suspect notes that a worker did not answer; it gets no new work for a while.
func (c *Core) Suspect(now time.Time, id string) {
	if w := c.workers[id]; w != nil && w.suspended.Before(now.Add(refusalPause)) {
		w.suspended = now.Add(refusalPause)
	}
}

// WorkerIDs lists the workers that are registered or where something is counted.
func (c *Core) WorkerIDs() []string {
	ids := make([]string, len(c.order))
	for i, w := range c.order {
		ids[i] = w.id
	}
	return ids
}

// Knows reports whether the worker is listed or anything is counted there.
func (c *Core) Knows(id string) bool { return c.workers[id] != nil }

// Report takes in a worker's answer. It reports whether it was current.
func (c *Core) Report(now time.Time, rep Report) bool {
	w := c.worker(rep.Worker)
	if rep.Born != 0 && rep.Born < w.born {
		return false
	}
	if rep.Born > w.born {
		c.reborn(now, w, rep.Born)
	}
	if !w.synced {
		c.changed = true
		c.cfg.Logger.Info("worker reports to this leader", "worker", w.id, "running", len(rep.Running), "ended", len(rep.Ended))
	}
	w.synced, w.heard = true, now
	listed := make(map[runKey]bool, len(rep.Running)+len(rep.Ended))
	for _, e := range rep.Ended {
		key := runKey{e.Task, e.Run}
		listed[key] = true
		if r := w.runs[key]; r != nil {
			c.ended(now, r, e.Cause, e.Saved)
		}
	}
	for _, row := range rep.Running {
		key := runKey{row.Task, row.Run}
		listed[key] = true
		c.progress(now, w, key, row)
	}
	if !rep.Full {
		return true
	}
	for _, r := range w.sortedRuns() {
		if !listed[runKey{r.name, r.number}] && !r.answered.IsZero() && !rep.Sent.Before(r.answered) &&
			(r.begun.IsZero() || now.Sub(r.answered) > vanishGrace) {
			c.ended(now, r, Vanished, r.saved)
		}
	}
	return true
}

// progress takes in a row of what runs on a worker.
func (c *Core) progress(now time.Time, w *worker, key runKey, row RunningTask) {
	r := w.runs[key]
	if r == nil {
		r = &run{name: row.Task, number: row.Run, worker: w, answered: now}
		if t := c.find(row.Task); t != nil {
			r.demand = t.step.spec.demand()
		} else {
			r.blind = true
			w.blind++
		}
		w.add(r)
		c.stop(now, r, "no such run is known")
		return
	}
	if r.begun.IsZero() {
		r.begun, r.moved, r.first = now, now, row.Percent
	}
	if row.Percent > r.percent {
		r.moved = now
	}
	r.percent, r.listed = row.Percent, now
	if row.Saved != "" {
		r.saved = row.Saved
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
		w.suspended = now.Add(refusalPause)
		c.ended(now, r, Vanished, "")
	case Uncertain:
		w.suspended = now.Add(refusalPause)
		c.stop(now, r, "its start got no answer")
		c.breakUp(now, r, "a member's start got no answer")
	}
}

// breakUp stops the other members of a run's gang, which can't become whole.
func (c *Core) breakUp(now time.Time, r *run, why string) {
	if r.task == nil || r.task.live != r || !r.task.step.spec.Gang {
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
	if !r.answered.IsZero() {
		return
	}
	r.answered = now
	if r.task != nil && r.task.step.joined.IsZero() {
		r.task.step.joined = now
	}
}

// stop orders the end of a run.
func (c *Core) stop(now time.Time, r *run, why string) {
	if r.stopping.IsZero() {
		c.cfg.Logger.Info("run is stopped", "task", r.name, "run", r.number, "worker", r.worker.id,
			"percent", r.percent, "why", why)
		r.reason = why
	}
	r.stopping = now
	r.worker.touch()
	c.out.Stops = append(c.out.Stops, Stop{Worker: r.worker.id, Address: r.worker.info.Address, Task: r.name, Run: r.number})
}

// ended takes in that a run is surely over.
func (c *Core) ended(now time.Time, r *run, cause Cause, saved string) {
	w := r.worker
	c.changed = true
	delete(w.runs, runKey{r.name, r.number})
	w.used = w.used.minus(r.demand)
	w.sorted = nil
	w.touch()
	if r.blind {
		w.blind--
	}
	t := r.task
	if t == nil || t.live != r {
		return
	}
	t.live = nil
	if saved == "" {
		saved = r.saved
	}
	j := t.step.occ.job
	c.learn(now, r, cause)
	c.cfg.Logger.Info("run ended", "task", r.name, "run", r.number, "worker", w.id, "cause", string(cause),
		"percent", r.percent, "ran_ms", ranMillis(now, r), "why", r.reason)
	if j.state.Final() || t.phase == done {
		return
	}
	if cause == Done && !t.step.spec.Lasting {
		c.taskDone(t)
		return
	}
	c.taskBack(now, t, r, cause, saved)
}

func ranMillis(now time.Time, r *run) int64 {
	if r.begun.IsZero() {
		return 0
	}
	return now.Sub(r.begun).Milliseconds()
}

// taskDone records that a task, or with it all of its gang, is done.
func (c *Core) taskDone(t *task) {
	tasks := []*task{t}
	if t.step.spec.Gang {
		tasks = t.step.tasks
	}
	for _, member := range tasks {
		if member.phase != done {
			c.finish(member)
			c.record(member)
		}
	}
}

// taskBack returns a task whose run ended early to the queue. A gang returns
// as a whole.
func (c *Core) taskBack(now time.Time, t *task, r *run, cause Cause, saved string) {
	s := t.step
	j := s.occ.job
	t.phase, t.since = waiting, now
	if saved != "" && s.spec.Checkpoints {
		t.saved = saved
	}
	if cause != Stopped || r.reason == reasonSlow {
		t.avoid = r.worker.id
	}
	if s.spec.Gang {
		c.gangBack(now, s, cause, t)
		return
	}
	if cause == Fault {
		t.fails++
	}
	c.record(t)
	if t.fails >= j.queue.Attempts && !s.spec.Lasting {
		c.end(now, j, Failed, "a task has used up its attempts")
	}
}

// gangBack breaks up a gang of which one member's run ended early. A failed run
// counts once for the whole gang.
func (c *Core) gangBack(now time.Time, s *step, cause Cause, t *task) {
	if cause == Fault && t.run > s.failed {
		s.failed = t.run
		for _, m := range s.tasks {
			m.fails++
		}
	}
	for _, m := range s.tasks {
		if m.live != nil && m.live.stopping.IsZero() {
			c.stop(now, m.live, "its gang is broken up")
		}
		if t.saved != "" {
			m.saved = t.saved
		}
		c.record(m)
	}
	j := s.occ.job
	s.since = time.Time{} // it waits anew
	if t.fails >= j.queue.Attempts && !s.spec.Lasting {
		c.end(now, j, Failed, "a gang has used up its attempts")
	}
}

// gangShare of the time that members wait for each other may pass before a gang that is
// not whole is broken up: the rest is for stopping them.
const gangShare = 0.5

// lateMember reports whether the others of its gang have waited too long for a run.
func (c *Core) lateMember(now time.Time, r *run) bool {
	if r.task == nil || !r.task.step.spec.Gang || !r.answered.IsZero() || c.cfg.GangWait == 0 {
		return false
	}
	joined := r.task.step.joined
	return !joined.IsZero() && float64(now.Sub(joined)) > gangShare*float64(c.cfg.GangWait)
}

// watch repeats orders that were lost and moves work off workers where it
// stands still.
func (c *Core) watch(now time.Time, w *worker) {
	for _, r := range w.sortedRuns() {
		switch {
		case !r.stopping.IsZero():
			if now.Sub(r.stopping) > stopAgain {
				c.stop(now, r, r.reason)
			}
		case c.lateMember(now, r):
			c.breakUp(now, r, "its gang is not whole in time")
		case w.synced:
			c.watchRun(now, r)
		}
	}
}
