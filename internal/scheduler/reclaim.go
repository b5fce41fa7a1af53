package scheduler

import (
	"slices"
	"sort"
	"time"
)

// maxPreemptRacks bounds the racks that a plan is weighed on: those with most room now, where
// least has to be stopped.
const maxPreemptRacks = 8

// reserveByPreemption keeps capacity for urgent tasks on one of the racks, all or none, and stops
// work of lower priority that is in the way, where that loses least. Any rack, which is
// nil and last, is tried if no other will do.
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
		return // what ends by itself needs no stop
	}
	for _, r := range best.victims {
		c.preempt(now, r, tasks[0])
	}
}

// trailingAnyRack returns the last of the racks if it stands for any.
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

// proposal says where urgent tasks could run, which runs stand in the way, and what
// stopping them loses.
type proposal struct {
	workers []*worker
	victims []*run
	loss    float64
}

// candidate is a worker with the runs to stop there for one more task. It has no worker once
// nothing more fits there.
type candidate struct {
	w      *worker
	toStop []*run
	cost   float64
}

// candidateSet are the workers where urgent tasks of a step could run.
type candidateSet struct {
	step    *step
	list    []candidate
	pos     map[*worker]int // in all
	stopped map[*run]bool   // runs that are stopped for tasks of the step
}

// candidatesOn weighs a task of the step on the workers of a rack, or of any if that is nil.
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

// best is the option that loses least, or false if no worker is left.
func (o *candidateSet) best() (candidate, bool) {
	best := -1
	for i := range o.list {
		if o.list[i].w != nil && (best < 0 || o.list[i].cost < o.list[best].cost) {
			best = i
		}
	}
	if best < 0 {
		return candidate{}, false
	}
	return o.list[best], true
}

// accept stops what an option needs to be stopped. Gangs end as a whole, which frees
// capacity on other workers; these are weighed anew.
func (o *candidateSet) accept(c *Core, now time.Time, chosen candidate) {
	changed := map[*worker]bool{chosen.w: true}
	for _, v := range chosen.toStop {
		for _, m := range v.gangRuns() {
			o.stopped[m] = true
			changed[m.worker] = true
		}
	}
	for w := range changed {
		if i, ok := o.pos[w]; ok {
			updated, fits := c.evaluate(now, o.step, w, o.stopped)
			if !fits {
				updated = candidate{}
				delete(o.pos, w)
			}
			o.list[i] = updated
		}
	}
}

// propose weighs the tasks on the workers of a rack, or of any if that is nil. It returns
// nil if they don't fit there.
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

// evaluate finds the runs to stop on a worker for one more task of the step.
func (c *Core) evaluate(now time.Time, s *step, w *worker, stopped map[*run]bool) (candidate, bool) {
	c.evaluations++
	need, level := s.spec.demand(), s.occ.job.level
	if !s.spreadAllows(w) || !w.info.Capacity.minus(w.reserved(level)).Fits(need) {
		return candidate{}, false
	}
	victims, cost, ok := c.pickVictims(now, w, need, level, stopped)
	return candidate{w, victims, cost + failCost*float64(w.failStreak)}, ok
}

// preemptDelay is how long urgent work waits for others to end by themselves before
// they are stopped: part of what its objective leaves beside the work itself.
func (c *Core) preemptDelay(s *step) time.Duration {
	return min(time.Duration(preemptDelayShare*float64(s.spec.Estimate)), maxPreemptDelay)
}

// preemptReserved stops what still stands in the way of planned urgent work.
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
		// The plans themselves are part of what is kept there, so nothing is
		// needed beside them.
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

// victim is what ends on a worker if a run there is stopped: the run, or those of its
// gang.
type victim struct {
	r      *run
	demand Resources
	loss   float64
}

// pickVictims picks runs of less important work to stop so that need fits on the worker.
// Runs in taken are stopped anyway.
func (c *Core) pickVictims(now time.Time, w *worker, need Resources, level int, stopped map[*run]bool) ([]*run, float64, bool) {
	free := w.free(level)
	var choices []victim
	gangs := map[*step]int{} // in choices
	for _, r := range w.sortedRuns() {
		if !r.stopOrderedAt.IsZero() || stopped[r] {
			free = free.plus(r.demand)
			continue
		}
		if !r.preemptibleBy(level) {
			continue
		}
		if s := r.task.step; s.spec.Gang {
			if i, ok := gangs[s]; ok {
				choices[i].demand = choices[i].demand.plus(r.demand)
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
		free = free.plus(choices[n].demand)
		n++
	}
	if !free.Fits(need) {
		return nil, 0, false
	}
	choices = choices[:n]
	// A large run may have made earlier, smaller choices needless.
	for i := len(choices) - 2; i >= 0; i-- {
		if remaining := free.minus(choices[i].demand); remaining.Fits(need) {
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

// restartLossSeconds is the time in seconds that a stopped run loses besides its work: it
// waits for capacity again, and is ordered and started.
const restartLossSeconds = 1.5

// preemptDelayShare and maxPreemptDelay bound stopWait. Objectives of urgent work leave half
// of its run time, of which stopping takes 0.4 s; it has to begin within 2.9 s.
const (
	preemptDelayShare = 0.15
	maxPreemptDelay   = 700 * time.Millisecond
)

// urgentLossFactor is how many times as much stopping urgent work counts: it can't wait.
const urgentLossFactor = 10

// loss is the work, in core-seconds, that stopping a run throws away.
func (c *Core) loss(now time.Time, r *run) float64 {
	s := r.task.step
	lostSeconds := 0.0
	if !r.runningSince.IsZero() {
		lostSeconds = now.Sub(r.runningSince).Seconds()
	}
	if s.spec.Checkpoints {
		lostSeconds = c.cfg.Restore.Seconds() // a stop makes a checkpoint
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

// reserveForGang keeps capacity for a gang on the workers that are expected to be free
// soonest, without stopping anything.
func (c *Core) reserveForGang(now time.Time, s *step) bool {
	for _, r := range c.gangRacks(now, s, func(rackFit) bool { return true }) {
		if c.reserveForGangOn(now, s, r) {
			return true
		}
	}
	return false
}

func (c *Core) reserveForGangOn(now time.Time, s *step, rack *rack) bool {
	type option struct {
		w    *worker
		wait time.Duration
	}
	var candidates []option
	ft := c.fitTableFor(s)
	need := s.spec.demand()
	level := s.occ.job.level
	for _, w := range c.workersIn(rack) {
		if !w.schedulable || !ft.eligible(w) {
			continue
		}
		if w.info.Capacity.minus(w.reserved(level)).Fits(need) {
			candidates = append(candidates, option{w, c.estimateWait(now, w, need, level)})
		}
	}
	sort.SliceStable(candidates, func(i, k int) bool { return candidates[i].wait < candidates[k].wait })
	i := 0
	for _, t := range s.tasks {
		for i < len(candidates) && (!candidates[i].w.info.Capacity.minus(candidates[i].w.reserved(level)).Fits(need) || !s.spreadAllows(candidates[i].w)) {
			i++
		}
		if i == len(candidates) {
			dropReservations(s.tasks)
			return false
		}
		t.reserve(candidates[i].w, now.Add(gangReservationTTL))
	}
	c.cfg.Logger.Info("capacity is kept for a gang", "job", s.occ.job.spec.ID, "tasks", len(s.tasks), "rack", rack.String(),
		"waited_ms", now.Sub(s.readySince).Milliseconds())
	return true
}

// estimateWait estimates when need is free on the worker.
func (c *Core) estimateWait(now time.Time, w *worker, need Resources, level int) time.Duration {
	free := w.free(level)
	if free.Fits(need) {
		return 0
	}
	type end struct {
		demand Resources
		in     time.Duration
	}
	var ends []end
	for _, r := range w.sortedRuns() {
		in := time.Second
		if r.task != nil {
			in = c.expectedRunTime(r.task.step)
			if !r.runningSince.IsZero() {
				in -= now.Sub(r.runningSince)
			}
		}
		ends = append(ends, end{r.demand, max(in, 0)})
	}
	sort.SliceStable(ends, func(i, k int) bool { return ends[i].in < ends[k].in })
	for _, e := range ends {
		free = free.plus(e.demand)
		if free.Fits(need) {
			return e.in
		}
	}
	return time.Hour
}
