package scheduler

import (
	"slices"
	"sort"
	"time"
)

// maxPreemptRacks limits the racks that are evaluated for preemption to those with the most
// free capacity, where the least work has to be stopped.
const maxPreemptRacks = 8

// reserveByPreemption reserves capacity for urgent tasks, for all or none, on the rack where
// stopping less important work for them loses the least, and stops that work once
// preemptDelay has passed. A nil rack, which stands for any rack and comes last, is tried
// only if no other rack will do.
func (c *Core) reserveByPreemption(now time.Time, tasks []*task, racks []*rack) {
	s := tasks[0].step
	if len(racks) > maxPreemptRacks {
		ft := c.fitTableFor(s)
		sortRacks(racks, func(r *rack) int64 { return -ft.fitIn(r).fitFree })
		racks = append(racks[:maxPreemptRacks:maxPreemptRacks], trailingAnyRack(racks[maxPreemptRacks:])...)
	}
	var best *proposal
	for _, r := range racks {
		if r == nil && best != nil {
			break
		}
		if p := c.propose(now, tasks, r); p != nil && (best == nil || p.loss < best.loss) {
			best = p
		}
	}
	if best == nil {
		return
	}
	for i, t := range tasks {
		t.reserve(best.workers[i], now.Add(preemptReservationTTL))
	}
	if now.Sub(s.readySince) < c.preemptDelay(s) {
		return // work that ends by itself in this time needn't be stopped
	}
	for _, r := range best.victims {
		c.preempt(now, r, tasks[0])
	}
}

// trailingAnyRack returns the last of the racks if it is nil, which stands for any rack.
func trailingAnyRack(racks []*rack) []*rack {
	if n := len(racks); n > 0 && racks[n-1] == nil {
		return racks[n-1:]
	}
	return nil
}

func dropReservations(tasks []*task) {
	for _, t := range tasks {
		t.dropReservation()
	}
}

// proposal is a placement of urgent tasks, with the runs that have to be stopped for it and
// the work that is lost by stopping them.
type proposal struct {
	workers []*worker
	victims []*run
	loss    float64
}

// candidate is a worker for one more task, with the runs to stop there. Its worker is nil
// once no further task fits.
type candidate struct {
	w      *worker
	toStop []*run
	cost   float64
}

// candidateSet has the workers where urgent tasks of a step could run.
type candidateSet struct {
	step    *step
	list    []candidate
	pos     map[*worker]int // index in list
	stopped map[*run]bool   // runs to stop for the tasks placed so far
}

// candidatesOn evaluates the workers of a rack, or all workers if r is nil, for a task of
// the step.
func (c *Core) candidatesOn(now time.Time, s *step, ft *fitTable, r *rack) *candidateSet {
	set := &candidateSet{step: s, pos: map[*worker]int{}, stopped: map[*run]bool{}}
	for _, w := range c.workersIn(r) {
		if ft.fitPreempt[w.pos] == 0 {
			continue
		}
		if cand, ok := c.evaluate(now, s, w, set.stopped); ok {
			set.pos[w] = len(set.list)
			set.list = append(set.list, cand)
		}
	}
	return set
}

// best returns the candidate with the lowest cost, or false if none is left.
func (set *candidateSet) best() (candidate, bool) {
	best := -1
	for i := range set.list {
		if set.list[i].w != nil && (best < 0 || set.list[i].cost < set.list[best].cost) {
			best = i
		}
	}
	if best < 0 {
		return candidate{}, false
	}
	return set.list[best], true
}

// accept marks the runs of a candidate as stopped. Gangs end as a whole, which also frees
// capacity on other workers; all workers concerned are evaluated again.
func (set *candidateSet) accept(c *Core, now time.Time, chosen candidate) {
	changed := map[*worker]bool{chosen.w: true}
	for _, v := range chosen.toStop {
		for _, m := range v.gangRuns() {
			set.stopped[m] = true
			changed[m.worker] = true
		}
	}
	for w := range changed {
		if i, ok := set.pos[w]; ok {
			updated, fits := c.evaluate(now, set.step, w, set.stopped)
			if !fits {
				updated = candidate{}
				delete(set.pos, w)
			}
			set.list[i] = updated
		}
	}
}

// propose places the tasks on the workers of a rack, or on any if r is nil. It returns nil
// unless all of them fit.
func (c *Core) propose(now time.Time, tasks []*task, r *rack) *proposal {
	s := tasks[0].step
	ft := c.fitTableFor(s)
	if ft.fitIn(r).fitPreempt < int64(len(tasks)) {
		return nil
	}
	defer dropReservations(tasks)
	candidates := c.candidatesOn(now, s, ft, r)
	p := &proposal{}
	for _, t := range tasks {
		best, ok := candidates.best()
		if !ok {
			return nil
		}
		p.workers = append(p.workers, best.w)
		p.victims = append(p.victims, best.toStop...)
		p.loss += best.cost
		t.reserve(best.w, now.Add(preemptReservationTTL))
		candidates.accept(c, now, best)
	}
	return p
}

// evaluate finds the runs to stop on a worker for one more task of the step. It returns
// false if the task doesn't fit there.
func (c *Core) evaluate(now time.Time, s *step, w *worker, stopped map[*run]bool) (candidate, bool) {
	c.evaluations++
	need, level := s.spec.demand(), s.occ.job.level
	if !s.spreadAllows(w) || !w.info.Capacity.Minus(w.reserved(level)).Fits(need) {
		return candidate{}, false
	}
	victims, cost, ok := c.pickVictims(now, w, need, level, stopped)
	return candidate{w, victims, cost + failCost*float64(w.attributed.failures)}, ok
}

// preemptDelay returns how long urgent work waits for other work to end by itself before it
// has that work stopped: part of the time that its objective leaves beyond its own run time.
func (c *Core) preemptDelay(s *step) time.Duration {
	return min(time.Duration(preemptDelayShare*float64(s.spec.Estimate)), maxPreemptDelay)
}

// preemptReserved stops the work that still occupies capacity reserved for urgent tasks.
func (c *Core) preemptReserved(now time.Time, tasks []*task) {
	s := tasks[0].step
	if now.Sub(s.readySince) < c.preemptDelay(s) {
		return
	}
	checked := map[*worker]bool{}
	for _, t := range tasks {
		w := t.reservation.worker
		if checked[w] {
			continue
		}
		checked[w] = true
		// The reservations are already subtracted from the free capacity there, so nothing
		// is needed in addition.
		victims, _, ok := c.pickVictims(now, w, Resources{}, s.occ.job.level, nil)
		if !ok {
			dropReservations(tasks)
			return
		}
		for _, r := range victims {
			c.preempt(now, r, tasks[0])
		}
	}
}

// preempt stops a run, and with it its gang, for a more important task.
func (c *Core) preempt(now time.Time, r *run, beneficiary *task) {
	c.stopGang(now, r, "preempted by "+beneficiary.step.occ.job.spec.ID)
}

// victim is a run that may be stopped on a worker. Its demand includes the other runs of
// its gang there, which end with it.
type victim struct {
	r      *run
	demand Resources
	loss   float64
}

// pickVictims selects runs of less important work to stop so that need fits on the worker,
// and returns them with the work lost. Runs in stopped count as ended, and so do runs that are
// being stopped unless their stop is overdue. The last result is false if need doesn't fit.
func (c *Core) pickVictims(now time.Time, w *worker, need Resources, level int, stopped map[*run]bool) ([]*run, float64, bool) {
	free := w.free(level)
	var choices []victim
	gangs := map[*step]int{} // index in choices
	for _, r := range w.sortedRuns() {
		if r.stopOverdue {
			continue
		}
		if !r.stopOrderedAt.IsZero() || stopped[r] {
			free = free.Plus(r.demand)
			continue
		}
		if !r.preemptibleBy(level) {
			continue
		}
		if s := r.task.step; s.spec.Gang {
			if i, ok := gangs[s]; ok {
				choices[i].demand = choices[i].demand.Plus(r.demand)
				continue
			}
			gangs[s] = len(choices)
		}
		choices = append(choices, victim{r, r.demand, c.loss(now, r)})
	}
	if free.Fits(need) {
		return nil, 0, true
	}
	sort.SliceStable(choices, func(i, k int) bool { return choices[i].loss < choices[k].loss })
	n := 0
	for n < len(choices) && !free.Fits(need) {
		free = free.Plus(choices[n].demand)
		n++
	}
	if !free.Fits(need) {
		return nil, 0, false
	}
	choices = choices[:n]
	// Drop earlier, smaller choices that a later, larger one has made unnecessary.
	for i := len(choices) - 2; i >= 0; i-- {
		if remaining := free.Minus(choices[i].demand); remaining.Fits(need) {
			free = remaining
			choices = slices.Delete(choices, i, i+1)
		}
	}
	var victims []*run
	cost := 0.0
	for _, v := range choices {
		victims = append(victims, v.r)
		cost += v.loss
	}
	return victims, cost, true
}

// restartLossSeconds is the time that a stopped run loses besides its work: it has to wait
// for capacity, and to be ordered and started again.
const restartLossSeconds = 1.5

// preemptDelayShare and maxPreemptDelay limit preemptDelay. Objectives of urgent work leave
// half of its run time beyond the run itself, of which stopping others takes 0.4 s; it has
// to begin within 2.9 s.
const (
	preemptDelayShare = 0.15
	maxPreemptDelay   = 700 * time.Millisecond
)

// urgentLossFactor multiplies the loss of stopping urgent work, which can't wait.
const urgentLossFactor = 10

// loss returns the work, in core-seconds, that is lost by stopping a run.
func (c *Core) loss(now time.Time, r *run) float64 {
	s := r.task.step
	lostSeconds := 0.0
	if !r.runningSince.IsZero() {
		lostSeconds = now.Sub(r.runningSince).Seconds()
	}
	if s.spec.Checkpoints {
		lostSeconds = c.cfg.RestoreTime.Seconds() // stopping makes a checkpoint; only its restoring is lost
	}
	width := 1.0
	if s.spec.Gang {
		width = float64(len(s.tasks))
	}
	loss := (restartLossSeconds + lostSeconds) * s.spec.Need.coreEquivalents() * width
	if s.occ.job.level == levelUrgent {
		loss *= urgentLossFactor
	}
	return loss
}
