package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// missingRunGrace is how long after the answer to an order a run may be missing from
	// its worker's lists before it counts as lost. Answers on different connections
	// overtake each other by less than that.
	missingRunGrace = 300 * time.Millisecond
	// stopRetryInterval is how long a stop may take before it is ordered again.
	stopRetryInterval = time.Second
	// unansweredPause is how long a worker gets no new work after it did not answer a renewal,
	// unless it answers the next one.
	unansweredPause = 2 * time.Second
	// stopOverdueDelay is how long beyond Config.StopTime a run may be stopping and still count
	// as capacity that is about to become free. A stop that was lost once is over by then.
	stopOverdueDelay = 2 * time.Second
	// failedStartPause is how long a worker gets no new work after it rejected a start or
	// did not answer it. It grows with each further failed start in a row, up to
	// maxFailedStartPause: all workers may have been out of reach, and have to be used again
	// soon after that.
	failedStartPause    = 2 * time.Second
	maxFailedStartPause = 4 * time.Second
)

type runKey struct {
	name   string
	number int
}

// worker is the scheduler's state of a worker.
type worker struct {
	id               string
	listed           bool // in the registry
	info             Worker
	incarnation      int64     // start time of its current process in Unix milliseconds
	synced           bool      // has reported under this leader's fencing token
	lastHeard        time.Time // last registry entry or report
	reportedAt       time.Time // last report
	runs             map[runKey]*run
	used             Resources
	unknownDemand    int            // number of runs whose demand is unknown
	reservations     []*reservation // capacity reserved for waiting tasks
	badRuns          []badRun       // runs that failed since one ended as Done, and recent slow runs
	attributed       attribution    // bad runs that are attributed to the worker, as of the last round
	quarantinedUntil time.Time      // no new work before this time, as runs went wrong here
	lastStartFailed  bool           // it rejected its last start or left it unanswered
	failedStarts     int            // such starts in a row that are not attributed to the work
	suspendedUntil   time.Time      // no new work before this time, as it rejected a start or did not answer it
	unansweredUntil  time.Time      // no new work before this time or its next report, as it did not answer a renewal
	leavesAt         time.Time      // a draining worker stays available until then
	drainPending     bool           // it drains, and its runs have not been checked for that yet

	index          *index
	pos            int            // position in Core.sortedWorkers
	rack           *rack          // nil while the worker isn't listed
	schedulable    bool           // may be given new work in this round
	quarantined    bool           // would be schedulable but for its quarantine
	dirty          bool           // changed since the index last counted it
	usableCapacity usableCapacity // its part in the totals of its service
	sortedCache    []*run         // result of sortedRuns, nil after a change
}

// worker returns the worker with the ID, and adds it if it is unknown. It need not be in
// the registry.
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
	w.used = w.used.Plus(r.demand)
	w.sortedCache = nil
	w.markDirty()
}

// reserved returns the capacity that work of a level must leave alone: what is reserved for
// work that is at least as important.
func (w *worker) reserved(level int) Resources {
	var sum Resources
	for _, r := range w.reservations {
		if r.level <= level {
			sum = sum.Plus(r.demand)
		}
	}
	return sum
}

// free returns the capacity that new work of a level may use.
func (w *worker) free(level int) Resources {
	return w.info.Capacity.Minus(w.used).Minus(w.reserved(level))
}

// Conditions of a worker, in logs. Only a usable one may be given new work.
const (
	workerUsable      = "usable"
	workerUnlisted    = "unlisted" // not in the registry
	workerUnsynced    = "unsynced" // has not reported to this leader yet
	workerOutdated    = "outdated" // its registry entry is of another process than its reports
	workerUnknownRuns = "unknown runs"
	workerDraining    = "draining"
	workerSuspended   = "suspended" // did not answer, or rejected a start
	workerQuarantined = "quarantined"
	workerSilent      = "silent" // neither report nor registry entry for too long
)

// condition returns what keeps the worker from being given new work, if anything does.
func (w *worker) condition(now time.Time, reportTimeout time.Duration) string {
	switch {
	case !w.listed:
		return workerUnlisted
	case !w.synced:
		return workerUnsynced
	case w.entryOutdated():
		return workerOutdated
	case w.unknownDemand > 0:
		return workerUnknownRuns
	case w.info.Draining:
		return workerDraining
	case now.Before(w.suspendedUntil), now.Before(w.unansweredUntil):
		return workerSuspended
	case now.Sub(w.lastHeard) >= reportTimeout:
		return workerSilent
	case now.Before(w.quarantinedUntil):
		return workerQuarantined
	}
	return workerUsable
}

// entryOutdated reports whether the registry entry is of another process than the one that is known to
// run. A worker may come back as another kind, so the entry does not tell what fits there.
func (w *worker) entryOutdated() bool {
	return w.info.Incarnation != 0 && w.incarnation != 0 && w.info.Incarnation != w.incarnation
}

// changesUse reports whether a registry entry changes what the worker may be given.
func (w *worker) changesUse(info Worker) bool {
	return !w.listed || info.Draining != w.info.Draining || info.Capacity != w.info.Capacity || info.Incarnation != w.info.Incarnation
}

// UpdateWorker applies a worker's entry in the registry.
func (c *Core) UpdateWorker(now time.Time, info Worker) {
	w := c.worker(info.ID)
	if info.Incarnation != 0 && info.Incarnation < w.incarnation {
		w.synced = false // its report tells which process it has now
		return
	}
	if w.listed && info.Draining != w.info.Draining {
		c.cfg.Logger.Info("worker changed state", "worker", w.id, "draining", info.Draining, "remaining_ms", info.Remaining.Milliseconds(), "runs", len(w.runs))
	}
	w.drainPending = info.Draining && (w.drainPending || !w.listed || !w.info.Draining)
	if w.changesUse(info) {
		c.changed = true
	}
	if now.Sub(w.lastHeard) >= c.cfg.ReportTimeout {
		w.synced = false // the entry may be as old, and the worker may have restarted since
	}
	c.index.stale = c.index.stale || !w.listed || !w.info.sameForPlacement(info)
	w.info, w.listed, w.lastHeard, w.leavesAt = info, true, now, now.Add(info.Remaining-c.cfg.RegistryDelay)
	if info.Incarnation > w.incarnation {
		c.workerRestarted(now, w, info.Incarnation)
	}
	c.stopRunsForDrain(now, w)
}

// RemoveWorker records that a worker has left the registry. Its runs count until its leases
// have certainly expired.
func (c *Core) RemoveWorker(id string) {
	if w := c.workers[id]; w != nil {
		w.listed = false
		c.changed, c.index.stale = true, true
		c.cfg.Logger.Info("worker left", "worker", id, "runs", len(w.runs))
		if len(w.runs) == 0 {
			c.forgetWorker(w)
		}
	}
}

// workerRestarted records a new process of a worker. Its earlier runs are lost, but some
// starts may already have reached the new process; its report tells which.
func (c *Core) workerRestarted(now time.Time, w *worker, incarnation int64) {
	if w.incarnation != 0 {
		c.cfg.Logger.Warn("worker has restarted", "worker", w.id, "born", incarnation, "runs", len(w.runs))
		w.synced = false
		for _, r := range w.sortedRuns() {
			r.startExpires = time.Time{} // the deadline was on the clock of the earlier process
			if r.confirmedAt.IsZero() || !r.startAnswered || now.Before(r.confirmedAt) {
				// The start may still arrive, and the new process knows of no earlier stop.
				r.confirmedAt = time.Time{}
				c.stopRun(now, r, "its worker restarted before it answered")
			}
		}
	}
	w.incarnation = incarnation
}

// ExpireLeases records that all leases on a worker have certainly expired. Its process is learned
// anew then, as the start time of a new one may be earlier.
func (c *Core) ExpireLeases(now time.Time, id string) {
	w := c.workers[id]
	if w == nil {
		return
	}
	w.synced, w.incarnation = false, 0
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
	delete(c.withBadRuns, w)
	w.rack, w.schedulable, w.quarantined, w.usableCapacity = nil, false, false, usableCapacity{} // a reservation may still refer to it
	c.sortedWorkers = slices.DeleteFunc(c.sortedWorkers, func(o *worker) bool { return o == w })
	c.index.stale = true
}

func (c *Core) loseRuns(now time.Time, w *worker) {
	for _, r := range w.sortedRuns() {
		c.runEnded(now, r, Vanished, r.checkpoint)
	}
}

// sortedRuns returns the runs in a fixed order, so that the same events lead to the same
// decisions. The list is rebuilt after a change, so a caller may end runs while it
// iterates.
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

// NeedsPolling reports whether the worker has to be polled: it has runs, or it hasn't reported
// to this leader yet.
func (c *Core) NeedsPolling(id string) bool {
	w := c.workers[id]
	return w != nil && (len(w.runs) > 0 || !w.synced)
}

// HasRun reports whether a run counts on the worker.
func (c *Core) HasRun(id, name string, number int) bool {
	w := c.workers[id]
	return w != nil && w.runs[runKey{name, number}] != nil
}

// HasRuns reports whether a run counts on the worker.
func (c *Core) HasRuns(id string) bool {
	w := c.workers[id]
	return w != nil && len(w.runs) > 0
}

// HasOnlyAnsweredRuns reports whether the worker has runs and no start of one is in progress.
func (c *Core) HasOnlyAnsweredRuns(id string) bool {
	w := c.workers[id]
	if w == nil || len(w.runs) == 0 {
		return false
	}
	for _, r := range w.runs {
		if !r.startAnswered {
			return false
		}
	}
	return true
}

// SuspendWorker records that a worker did not answer a renewal. It gets no new work for
// unansweredPause or until it reports.
func (c *Core) SuspendWorker(now time.Time, id string) {
	if w := c.workers[id]; w != nil {
		w.unansweredUntil = now.Add(unansweredPause)
	}
}

// WorkerIDs returns the IDs of the workers that are registered or have runs.
func (c *Core) WorkerIDs() []string {
	ids := make([]string, len(c.sortedWorkers))
	for i, w := range c.sortedWorkers {
		ids[i] = w.id
	}
	return ids
}

// Service returns the service of a registered worker, or an empty string if it is not registered.
func (c *Core) Service(id string) string {
	if w := c.workers[id]; w != nil && w.listed {
		return w.info.Service
	}
	return ""
}

// Knows reports whether the worker is registered or has runs.
func (c *Core) Knows(id string) bool { return c.workers[id] != nil }

// Report applies a worker's report. It returns false if the report is from an earlier
// process of the worker.
func (c *Core) Report(now time.Time, rep Report) bool {
	w := c.worker(rep.Worker)
	if rep.Incarnation != 0 && rep.Incarnation < w.incarnation {
		return false
	}
	if rep.Incarnation > w.incarnation {
		c.workerRestarted(now, w, rep.Incarnation)
	}
	if !w.synced {
		c.changed = true
		c.cfg.Logger.Info("worker reports to this leader", "worker", w.id, "running", len(rep.Running), "ended", len(rep.Ended))
	}
	w.synced, w.lastHeard, w.reportedAt, w.unansweredUntil = true, now, now, time.Time{}
	listed := c.applyLists(now, w, rep)
	if rep.Full {
		c.loseMissingRuns(now, w, rep, listed)
	}
	c.stopRunsForDrain(now, w)
	return true
}

// loseMissingRuns ends the runs that a full report of their worker does not list.
func (c *Core) loseMissingRuns(now time.Time, w *worker, rep Report, listed map[runKey]bool) {
	for _, r := range w.sortedRuns() {
		if !listed[runKey{r.name, r.number}] && (r.missing(now, rep.Sent) || rep.Incarnation == w.incarnation && r.startExpired(rep.Sent)) {
			c.runEnded(now, r, Vanished, r.checkpoint)
		} else if !listed[runKey{r.name, r.number}] && now.Before(r.confirmedAt) && r.stopOrderedAt.IsZero() {
			// An earlier leader may still start it if the worker restarts, so it can't run elsewhere yet.
			c.stopRun(now, r, "its worker does not list it")
			c.abortGang(now, r, "a member is not on its worker")
		}
	}
}

// missing reports whether a run that a full report does not list is not on its worker, as the
// worker confirmed an order about it before the report was sent for.
func (r *run) missing(now, sent time.Time) bool {
	return r.startAnswered && !r.confirmedAt.IsZero() && !sent.Before(r.confirmedAt) &&
		(r.runningSince.IsZero() || now.Sub(r.confirmedAt) > missingRunGrace)
}

// startExpired reports whether a run that a full report does not list never began: no attempt of
// its start can be accepted after the report was sent for.
func (r *run) startExpired(sent time.Time) bool {
	return r.startAnswered && r.runningSince.IsZero() && !r.startExpires.IsZero() && sent.After(r.startExpires)
}

// applyLists applies the ended and running runs of a report and returns which runs it lists.
func (c *Core) applyLists(now time.Time, w *worker, rep Report) map[runKey]bool {
	listed := make(map[runKey]bool, len(rep.Running)+len(rep.Ended))
	for _, e := range rep.Ended {
		key := runKey{e.Task, e.Run}
		listed[key] = true
		r := w.runs[key]
		if r != nil && r.awaitsJob {
			c.holdEnd(r)
		} else if r != nil {
			r.noteBegun()
			c.runEnded(now, r, e.Cause, e.Checkpoint)
		}
		switch {
		case r != nil && r.task != nil:
		case e.Cause == Done:
			c.acceptLateResult(now, w, e)
		case e.Cause == Fault:
			c.acceptLateFailure(now, w, e)
		}
	}
	for _, entry := range rep.Running {
		key := runKey{entry.Task, entry.Run}
		listed[key] = true
		c.recordProgress(now, w, key, entry)
	}
	return listed
}

// recordProgress applies an entry of a worker's list of running tasks. A run that isn't
// known is counted on the worker and stopped.
func (c *Core) recordProgress(now time.Time, w *worker, key runKey, entry RunningTask) {
	r := w.runs[key]
	if r == nil {
		r = &run{name: entry.Task, number: entry.Run, worker: w, startAnswered: true, confirmedAt: now}
		if t := c.findTask(entry.Task); t != nil {
			r.demand, r.blocks = t.step.spec.demand(), t
			t.strayRuns++
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
	r.noteBegun()
	if r.task != nil {
		r.task.listed(now)
	}
	if entry.Checkpoint != "" {
		r.checkpoint = entry.Checkpoint
	}
}

// noteBegun records that a worker has started the run.
func (r *run) noteBegun() {
	if r.task != nil {
		r.task.step.occ.job.begun = true
	}
}

// StartResult is the worker's answer to a Start.
type StartResult int

// Answers to a Start.
const (
	// Accepted: the worker has the run.
	Accepted StartResult = iota
	// Rejected: the worker doesn't have the run and won't start it.
	Rejected
	// NotSent: no attempt was made.
	NotSent
	// RejectedOutdated: the run has already ended there, or the start is refused as outdated.
	RejectedOutdated
	// Uncertain: no answer came, or the answer to a retry doesn't rule out that an earlier
	// attempt succeeded.
	Uncertain
)

// String returns the result's name in logs and metrics.
func (r StartResult) String() string {
	return [...]string{"accepted", "rejected", "not sent", "outdated", "unanswered"}[r]
}

// StartSent records that a start is being sent and when the worker's present process certainly
// rejects it as late.
func (c *Core) StartSent(id, name string, number int, expires time.Time) {
	w := c.workers[id]
	if w == nil || w.incarnation == 0 {
		return // a restart of the worker could not be told
	}
	if r := w.runs[runKey{name, number}]; r != nil {
		r.startExpires = expires
	}
}

// StartAnswered applies the result of a Start.
func (c *Core) StartAnswered(now time.Time, id, name string, number int, result StartResult) {
	w := c.workers[id]
	if w == nil {
		return
	}
	r := w.runs[runKey{name, number}]
	if r == nil {
		return
	}
	r.startAnswered = true
	if r.task != nil {
		r.task.history().lastStart = result.String()
	}
	switch result {
	case Accepted:
		r.noteBegun()
		w.failedStarts, w.lastStartFailed = 0, false
		if r.task != nil {
			r.task.step.rejections = rejections{}
		}
		r.confirm(now)
	case RejectedOutdated:
		r.confirm(now)
	case Rejected:
		w.lastStartFailed = true
		if r.task == nil || !r.task.step.recordRejection(now, w) {
			w.recordFailedStart(now)
		}
		c.runEnded(now, r, Vanished, "")
	case NotSent:
		c.runEnded(now, r, Vanished, "")
	case Uncertain:
		w.lastStartFailed = true
		w.recordFailedStart(now)
		r.confirmedAt = time.Time{} // a stop that was confirmed earlier may have been for another process
		c.stopRun(now, r, "its start got no answer")
		c.abortGang(now, r, "a member's start got no answer")
	}
}

// recordFailedStart suspends a worker that rejected a start or left it unanswered. Starts that fail
// while it is suspended were sent before that and count once.
func (w *worker) recordFailedStart(now time.Time) {
	if w.failedStarts == 0 || !now.Before(w.suspendedUntil) {
		w.failedStarts++
	}
	pause := min(time.Duration(w.failedStarts)*failedStartPause, maxFailedStartPause)
	w.suspendedUntil = later(w.suspendedUntil, now.Add(pause))
}

// abortGang stops the members of a run's gang, which can no longer become complete. It does
// nothing if the run has no gang or isn't the active run of its task.
func (c *Core) abortGang(now time.Time, r *run, reason string) {
	if r.task == nil || r.task.activeRun != r || !r.task.step.spec.Gang {
		return
	}
	c.stopGang(now, r, reason)
}

// StopAnswered records that a worker confirmed a Stop: the run is ending or was never
// there.
func (c *Core) StopAnswered(now time.Time, id, name string, number int) {
	if w := c.workers[id]; w != nil {
		if r := w.runs[runKey{name, number}]; r != nil {
			r.confirm(now)
		}
	}
}

// confirm records the first answer to an order about the run. From then on the worker lists
// the run until the scheduler has acknowledged its end.
func (r *run) confirm(now time.Time) {
	if !r.confirmedAt.IsZero() {
		return
	}
	r.confirmedAt = now
	if r.task != nil && r.task.step.firstConfirmedAt.IsZero() {
		r.task.step.firstConfirmedAt = now
	}
}

// stopRun orders the stop of a run.
func (c *Core) stopRun(now time.Time, r *run, reason string) {
	if r.stopOrderedAt.IsZero() {
		c.cfg.Logger.Info("run is stopped", "task", r.name, "run", r.number, "worker", r.worker.id,
			"percent", r.percent, "why", reason)
		r.stopReason, r.stoppingSince = reason, now
	}
	r.stopOrderedAt = now
	r.worker.markDirty()
	c.effects.Stops = append(c.effects.Stops, Stop{Worker: r.worker.id, Address: r.worker.info.Address, Task: r.name, Run: r.number})
}

// gangWaitShare is the share of Config.GangWait after which an incomplete gang is stopped.
// The rest of that time is left for stopping its members.
const gangWaitShare = 0.5

// gangWaitExceeded reports whether the other members of a run's gang have waited too long
// for the run to be confirmed.
func (c *Core) gangWaitExceeded(now time.Time, r *run) bool {
	if r.task == nil || !r.task.step.spec.Gang || !r.confirmedAt.IsZero() || c.cfg.GangWait == 0 {
		return false
	}
	firstConfirmedAt := r.task.step.firstConfirmedAt
	return !firstConfirmedAt.IsZero() && float64(now.Sub(firstConfirmedAt)) > gangWaitShare*float64(c.cfg.GangWait)
}

// checkWorker repeats stops that were lost, stops gangs that don't become complete in time,
// and moves work off workers where it makes no progress.
func (c *Core) checkWorker(now time.Time, w *worker) {
	for _, r := range w.sortedRuns() {
		switch {
		case !r.stopOrderedAt.IsZero():
			if !r.stopOverdue && now.Sub(r.stoppingSince) > c.cfg.StopTime+stopOverdueDelay {
				r.stopOverdue = true
				w.markDirty()
			}
			if now.Sub(r.stopOrderedAt) > stopRetryInterval {
				c.stopRun(now, r, r.stopReason)
			}
		case c.mustLeave(now, r):
			c.stopRun(now, r, reasonWorkerLeaves)
		case c.gangWaitExceeded(now, r):
			c.abortGang(now, r, "its gang is not whole in time")
		case w.synced:
			c.checkProgress(now, r)
		}
	}
}
