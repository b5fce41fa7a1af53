package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// scheduleGang starts a gang if all of its tasks can start together. Otherwise capacity may be
// reserved for it.
func (c *Core) scheduleGang(now time.Time, s *step) {
	for _, t := range s.tasks {
		if !t.mayStart(now) {
			dropReservations(s.tasks)
			return
		}
	}
	if s.tasks[0].reservation != nil {
		if c.startReserved(now, s.tasks) {
			return
		}
		if s.tasks[0].reservation != nil && s.occ.job.level <= levelUrgent {
			c.preemptReserved(now, s.tasks)
		}
	}
	reservations := s.removeReservations()
	s.chosenRack = ""
	if workers := c.fitGangWithQuarantined(now, s); workers != nil {
		number := nextRunNumber(s.tasks)
		s.firstConfirmedAt = time.Time{}
		for i, t := range s.tasks {
			c.startRun(now, t, workers[i], number)
		}
		return
	}
	if reservations != nil {
		s.restoreReservations(reservations)
		if s.occ.job.queue.Priority > 0 {
			c.updateGangReservation(now, s)
		}
		return
	}
	if s.occ.job.queue.Priority == 0 {
		c.reserveByPreemption(now, s.tasks, c.gangRacks(now, s, c.fitsAfterPreemption(s)))
		return
	}
	if now.Sub(s.readySince) > gangReservationDelay {
		c.reserveForGang(now, s)
	}
}

// fitGang finds workers with free capacity for a whole gang. Of several racks it chooses
// the one with the least free accelerators, so that others stay free for large gangs.
func (c *Core) fitGang(now time.Time, s *step) []*worker {
	ft := c.fitTableFor(s)
	n := int64(len(s.tasks))
	if ft.total.fitFree < n {
		return nil
	}
	racks := c.gangRacks(now, s, func(f rackFit) bool { return f.fitFree >= n })
	freeByRack := make(map[*rack]int64, len(racks))
	for _, r := range racks {
		if r != nil {
			freeByRack[r] = r.free(s.reservationLevel())
		}
	}
	sortRacks(racks, func(r *rack) int64 { return freeByRack[r] })
	var rejecting []*worker
	for _, r := range racks {
		workers := c.fitAll(s, r)
		if workers != nil && !slices.ContainsFunc(workers, s.rejections.contains) {
			return workers
		}
		if rejecting == nil {
			rejecting = workers
		}
	}
	return rejecting
}

// sortRacks sorts racks by key in ascending order. A nil rack, which stands for any rack,
// comes last.
func sortRacks(racks []*rack, key func(r *rack) int64) {
	slices.SortStableFunc(racks, func(a, b *rack) int {
		if a == nil || b == nil {
			return cmp.Compare(anyRackLast(a), anyRackLast(b))
		}
		return cmp.Compare(key(a), key(b))
	})
}

// anyRackLast is a sort key that puts a nil rack behind all others.
func anyRackLast(r *rack) int {
	if r == nil {
		return 1
	}
	return 0
}

// gangRuns returns the runs that end if the run is stopped: the run itself, or all active
// runs of its gang.
func (r *run) gangRuns() []*run {
	if r.task == nil || !r.task.step.spec.Gang {
		return []*run{r}
	}
	var runs []*run
	for _, m := range r.task.step.tasks {
		if m.activeRun != nil {
			runs = append(runs, m.activeRun)
		}
	}
	return runs
}

// stopGang stops a run and the rest of its gang, except for runs that are already being
// stopped.
func (c *Core) stopGang(now time.Time, r *run, reason string) {
	for _, m := range r.gangRuns() {
		if m.stopOrderedAt.IsZero() {
			c.stopRun(now, m, reason)
		}
	}
}

// free sums the free accelerators on the rack's schedulable workers.
func (r *rack) free(level int) int64 {
	n := int64(0)
	for _, w := range r.workers {
		if w.schedulable {
			n += max(w.free(level).Accelerators, 0)
		}
	}
	return n
}

// removeReservations drops the reservations of a gang's tasks and returns them for
// restoreReservations, or nil if there are none.
func (s *step) removeReservations() []*reservation {
	if s.tasks[0].reservation == nil {
		return nil
	}
	reservations := make([]*reservation, len(s.tasks))
	for i, t := range s.tasks {
		reservations[i] = t.reservation
		t.dropReservation()
	}
	return reservations
}

// restoreReservations reserves again what removeReservations has dropped.
func (s *step) restoreReservations(reservations []*reservation) {
	for i, r := range reservations {
		s.tasks[i].reserve(r.worker, r.expires)
	}
}

// fitsAfterPreemption returns a filter for racks where all of the step's tasks fit once
// less important work has been stopped.
func (c *Core) fitsAfterPreemption(s *step) func(rackFit) bool {
	n := int64(len(s.tasks))
	return func(f rackFit) bool { return f.fitPreempt >= n }
}

// gangRacks returns the racks to try for a gang among those that satisfy enough. A nil
// rack, which stands for any rack, comes last.
func (c *Core) gangRacks(now time.Time, s *step, enough func(rackFit) bool) []*rack {
	ft := c.fitTableFor(s)
	var racks []*rack
	add := func(r *rack) {
		if enough(ft.fitIn(r)) {
			racks = append(racks, r)
		}
	}
	if s.spec.Rack != "" || !s.spec.Tight {
		for _, r := range c.candidateRacks(now, s) {
			add(r)
		}
		return racks
	}
	possible := false
	for _, r := range c.index.racks {
		if ft.fitIn(r).fitEmpty >= int64(len(s.tasks)) {
			possible = true
			add(r)
		}
	}
	if !possible || s.right.anywhere || now.Sub(s.readySince) > c.rackWait(s) {
		add(nil)
	}
	return racks
}

// fitAll chooses a worker with free capacity on a rack, or on any if r is nil, for each task
// of the step. It returns nil unless all tasks fit.
func (c *Core) fitAll(s *step, r *rack) []*worker {
	out := make([]*worker, 0, len(s.tasks))
	for _, t := range s.tasks {
		w := c.chooseWorker(t, r)
		if w == nil {
			break
		}
		out = append(out, w)
		t.reserve(w, time.Time{})
	}
	dropReservations(s.tasks)
	if len(out) < len(s.tasks) {
		return nil
	}
	return out
}
