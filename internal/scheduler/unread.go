package scheduler

import "time"

// AwaitJobs takes over the stored runs of jobs that can't be read yet, those for which readAsOf
// returns the zero time. For others it returns the time up to which all descriptions that were stored
// are added. The runs count on their workers and go on until the job is added or JobsRead finds
// that there is none. It is called after the records and the jobs that could be read were loaded.
func (c *Core) AwaitJobs(now time.Time, readAsOf func(id string) time.Time) {
	c.readAsOf = readAsOf
	for id, tasks := range c.restored {
		if !c.awaits(id) {
			continue
		}
		for _, t := range tasks {
			if t.value.Done || t.value.Worker == "" {
				continue
			}
			w := c.worker(t.value.Worker)
			r := c.storedRun(now, w, t.name, t.value.Run)
			r.awaitsJob = true
			if t.value.Need != nil {
				r.demand = *t.value.Need
			} else { // a leader of an earlier version stored it
				r.unknownDemand = true
				w.unknownDemand++
			}
			w.addRun(r)
		}
	}
}

// storedRun returns a run of an earlier leader. Whether its start was accepted is known only when no such
// start can arrive any more.
func (c *Core) storedRun(now time.Time, w *worker, name string, number int) *run {
	return &run{name: name, number: number, worker: w, startAnswered: true, confirmedAt: later(now, c.earlierStartsEnd), progressAt: now}
}

// JobsRead stops the runs whose jobs are not awaited any longer and don't exist, and has tasks wait for
// runs of theirs that are being stopped as unknown ones. It is called after jobs that could not be read
// before were added.
func (c *Core) JobsRead(now time.Time) {
	c.changed = true
	for _, w := range c.sortedWorkers {
		for _, r := range w.sortedRuns() {
			if r.awaitsJob && !c.AwaitsJobOf(r.name) {
				r.awaitsJob = false
				c.stopRun(now, r, "no such run is known")
			}
			if t := c.findTask(r.name); t != nil && r.task == nil && r.blocks == nil {
				r.blocks = t
				t.strayRuns++
				r.setDemand(t.step.spec.demand())
			}
		}
	}
}

// AwaitsJobOf reports whether the job of a task may exist but can't be read yet. Ends of its runs
// have no effect until then, so their worker has to keep them.
func (c *Core) AwaitsJobOf(task string) bool {
	id, _, ok := parseTaskName(task)
	return ok && c.awaits(id)
}

func (c *Core) awaits(id string) bool {
	return c.jobs[id] == nil && (c.unreadable[id] || c.readAsOf != nil && c.readAsOf(id).IsZero())
}

// AwaitUnreadableState notes that a job has a stored state that can't be decoded, as a later version may have
// stored it. Unless its outcome is known, it is awaited for the whole term, even if its description is added: a
// task of it may be running or done.
func (c *Core) AwaitUnreadableState(id string) {
	if c.jobs[id] == nil {
		c.unreadable[id], c.undecodedState[id] = true, true
	}
}

// AwaitUnreadable notes that a job exists whose description can't be decoded, as a later version may have
// stored it. It is awaited until a readable description of it is added.
func (c *Core) AwaitUnreadable(id string) {
	if c.jobs[id] == nil {
		c.unreadable[id] = true
	}
}

// mayBeStored reports whether a description of the job that was stored at the given time may not be
// added yet.
func (c *Core) mayBeStored(id string, at time.Time) bool {
	return c.readAsOf != nil && !c.readAsOf(id).After(at)
}

// restoreRun returns the run of a task as it is stored. The run is there already if its job was
// awaited.
func (c *Core) restoreRun(now time.Time, w *worker, t *task) *run {
	r := w.runs[runKey{t.name, t.run}]
	if r == nil {
		r = c.storedRun(now, w, t.name, t.run)
		r.task, r.demand = t, t.step.spec.demand()
		w.addRun(r)
		return r
	}
	r.task, r.awaitsJob = t, false
	if !r.heldEnd {
		r.setDemand(t.step.spec.demand())
	}
	w.drainPending = w.info.Draining // the run was passed over
	return r
}

// holdEnd notes the end of a run whose job can't be read yet. The worker lists it until the job is
// known, and the run stays until then, so that its worker isn't forgotten.
func (c *Core) holdEnd(r *run) {
	if !r.heldEnd {
		c.changed, r.heldEnd = true, true
		r.setDemand(Resources{})
	}
}

// setDemand replaces what the run counts for on its worker.
func (r *run) setDemand(demand Resources) {
	w := r.worker
	if r.unknownDemand {
		r.unknownDemand = false
		w.unknownDemand--
	}
	w.used = w.used.Minus(r.demand).Plus(demand)
	r.demand = demand
	w.markDirty()
}
