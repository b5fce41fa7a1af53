package scheduler

import (
	"slices"
	"sort"
	"time"
)

// planRacks bounds the racks that a plan is weighed on: those with most room now, where
// least has to be stopped.
const planRacks = 8

// planUrgent keeps capacity for urgent tasks on one of the racks, all or none, and stops
// work of lower priority that is in the way, where that loses least. Any rack, which is
// nil and last, is tried if no other will do.
func (c *Core) planUrgent(now time.Time, tasks []*task, racks []*rack) {
	s := tasks[0].step
	if len(racks) > planRacks {
		sh := c.shapeOf(s)
		sortRacks(racks, func(r *rack) int64 { return -sh.in(r).fit })
		racks = append(racks[:planRacks:planRacks], lastIfAny(racks[planRacks:])...)
	}
	var best *proposal
	for _, r := range racks {
		if r == nil && best != nil {
			break
		}
		if p := c.planOn(now, tasks, r); p != nil && (best == nil || p.loss < best.loss) {
			best = p
		}
	}
	if best == nil {
		return
	}
	for i, t := range tasks {
		t.setPlan(best.workers[i], now.Add(planLife))
	}
	if now.Sub(s.since) < c.stopWait(s) {
		return // what ends by itself needs no stop
	}
	for _, r := range best.victims {
		c.preempt(now, r, tasks[0])
	}
}

// lastIfAny returns the last of the racks if it stands for any.
func lastIfAny(racks []*rack) []*rack {
	if n := len(racks); n > 0 && racks[n-1] == nil {
		return racks[n-1:]
	}
	return nil
}

func dropPlans(tasks []*task) {
	for _, t := range tasks {
		t.dropPlan()
	}
}

// proposal says where urgent tasks could run, which runs stand in the way, and what
// stopping them loses.
type proposal struct {
	workers []*worker
	victims []*run
	loss    float64
}

// option is a worker with the runs to stop there for one more task. It has no worker once
// nothing more fits there.
type option struct {
	w     *worker
	stops []*run
	cost  float64
}

// offers are the workers where urgent tasks of a step could run.
type offers struct {
	step  *step
	all   []option
	at    map[*worker]int // in all
	taken map[*run]bool   // runs that are stopped for tasks of the step
}

// offersOn weighs a task of the step on the workers of a rack, or of any if that is nil.
func (c *Core) offersOn(now time.Time, s *step, sh *shape, r *rack) *offers {
	o := &offers{step: s, at: map[*worker]int{}, taken: map[*run]bool{}}
	for _, w := range c.in(r) {
		if sh.reach[w.at] == 0 {
			continue
		}
		if one, ok := c.weigh(now, s, w, o.taken); ok {
			o.at[w] = len(o.all)
			o.all = append(o.all, one)
		}
	}
	return o
}

// best is the option that loses least, or false if no worker is left.
func (o *offers) best() (option, bool) {
	best := -1
	for i := range o.all {
		if o.all[i].w != nil && (best < 0 || o.all[i].cost < o.all[best].cost) {
			best = i
		}
	}
	if best < 0 {
		return option{}, false
	}
	return o.all[best], true
}

// take stops what an option needs to be stopped. Gangs end as a whole, which frees
// capacity on other workers; these are weighed anew.
func (o *offers) take(c *Core, now time.Time, chosen option) {
	changed := map[*worker]bool{chosen.w: true}
	for _, v := range chosen.stops {
		for _, m := range v.gang() {
			o.taken[m] = true
			changed[m.worker] = true
		}
	}
	for w := range changed {
		if i, ok := o.at[w]; ok {
			again, fits := c.weigh(now, o.step, w, o.taken)
			if !fits {
				again = option{}
				delete(o.at, w)
			}
			o.all[i] = again
		}
	}
}

// planOn weighs the tasks on the workers of a rack, or of any if that is nil. It returns
// nil if they don't fit there.
func (c *Core) planOn(now time.Time, tasks []*task, r *rack) *proposal {
	s := tasks[0].step
	sh := c.shapeOf(s)
	if sh.in(r).reach < int64(len(tasks)) {
		return nil
	}
	defer dropPlans(tasks)
	o := c.offersOn(now, s, sh, r)
	p := &proposal{}
	for _, t := range tasks {
		best, ok := o.best()
		if !ok {
			return nil
		}
		p.workers = append(p.workers, best.w)
		p.victims = append(p.victims, best.stops...)
		p.loss += best.cost
		t.setPlan(best.w, now.Add(planLife))
		o.take(c, now, best)
	}
	return p
}

// weigh finds the runs to stop on a worker for one more task of the step.
func (c *Core) weigh(now time.Time, s *step, w *worker, taken map[*run]bool) (option, bool) {
	c.looks++
	need, level := s.spec.demand(), s.occ.job.level
	if !s.spreadAllows(w) || !w.info.Capacity.minus(w.kept(level)).Fits(need) {
		return option{}, false
	}
	stops, cost, ok := c.victimsOn(now, w, need, level, taken)
	return option{w, stops, cost + failCost*float64(w.fails)}, ok
}

// stopWait is how long urgent work waits for others to end by themselves before
// they are stopped: part of what its objective leaves beside the work itself.
func (c *Core) stopWait(s *step) time.Duration {
	return min(time.Duration(waitShare*float64(s.spec.Estimate)), maxStopWait)
}

// stopPlanned stops what still stands in the way of planned urgent work.
func (c *Core) stopPlanned(now time.Time, tasks []*task) {
	s := tasks[0].step
	if now.Sub(s.since) < c.stopWait(s) {
		return
	}
	done := map[*worker]bool{}
	for _, t := range tasks {
		w := t.plan.worker
		if done[w] {
			continue
		}
		done[w] = true
		// The plans themselves are part of what is kept there, so nothing is
		// needed beside them.
		stops, _, ok := c.victimsOn(now, w, Resources{}, s.occ.job.level, nil)
		if !ok {
			dropPlans(tasks)
			return
		}
		for _, r := range stops {
			c.preempt(now, r, tasks[0])
		}
	}
}

// preempt stops a run, and with it its gang, for a more important task.
func (c *Core) preempt(now time.Time, r *run, by *task) {
	c.stopGang(now, r, "preempted by "+by.step.occ.job.spec.ID)
}

// victim is what ends on a worker if a run there is stopped: the run, or those of its
// gang.
type victim struct {
	r      *run
	demand Resources
	loss   float64
}

// victimsOn picks runs of less important work to stop so that need fits on the worker.
// Runs in taken are stopped anyway.
func (c *Core) victimsOn(now time.Time, w *worker, need Resources, level int, taken map[*run]bool) ([]*run, float64, bool) {
	free := w.free(level)
	var choices []victim
	gangs := map[*step]int{} // in choices
	for _, r := range w.sortedRuns() {
		if !r.stopping.IsZero() || taken[r] {
			free = free.plus(r.demand)
			continue
		}
		if !r.yieldsTo(level) {
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
		if rest := free.minus(choices[i].demand); rest.Fits(need) {
			free = rest
			choices = slices.Delete(choices, i, i+1)
		}
	}
	var stops []*run
	cost := 0.0
	for _, v := range choices {
		stops = append(stops, v.r)
		cost += v.loss
	}
	return stops, cost, true
}

// restartLoss is the time in seconds that a stopped run loses besides its work: it
// waits for capacity again, and is ordered and started.
const restartLoss = 1.5

// waitShare and maxStopWait bound stopWait. Objectives of urgent work leave half
// of its run time, of which stopping takes 0.4 s; it has to begin within 2.9 s.
const (
	waitShare   = 0.15
	maxStopWait = 700 * time.Millisecond
)

// urgentLoss is how many times as much stopping urgent work counts: it can't wait.
const urgentLoss = 10

// loss is the work, in core-seconds, that stopping a run throws away.
func (c *Core) loss(now time.Time, r *run) float64 {
	s := r.task.step
	ran := 0.0
	if !r.begun.IsZero() {
		ran = now.Sub(r.begun).Seconds()
	}
	if s.spec.Checkpoints {
		ran = c.cfg.Restore.Seconds() // a stop makes a checkpoint
	}
	width := 1.0
	if s.spec.Gang {
		width = float64(len(s.tasks))
	}
	loss := (restartLoss + ran) * s.spec.Need.weight() * width
	if s.occ.job.level == levelUrgent {
		loss *= urgentLoss
	}
	return loss
}

// reserve keeps capacity for a gang on the workers that are expected to be free
// soonest, without stopping anything.
func (c *Core) reserve(now time.Time, s *step) bool {
	for _, r := range c.gangRacks(now, s, func(rackFit) bool { return true }) {
		if c.reserveOn(now, s, r) {
			return true
		}
	}
	return false
}

func (c *Core) reserveOn(now time.Time, s *step, rack *rack) bool {
	type option struct {
		w    *worker
		wait time.Duration
	}
	var options []option
	sh := c.shapeOf(s)
	need := s.spec.demand()
	level := s.occ.job.level
	for _, w := range c.in(rack) {
		if !w.open || !sh.suits(w) {
			continue
		}
		if w.info.Capacity.minus(w.kept(level)).Fits(need) {
			options = append(options, option{w, c.waitFor(now, w, need, level)})
		}
	}
	sort.SliceStable(options, func(i, k int) bool { return options[i].wait < options[k].wait })
	i := 0
	for _, t := range s.tasks {
		for i < len(options) && (!options[i].w.info.Capacity.minus(options[i].w.kept(level)).Fits(need) || !s.spreadAllows(options[i].w)) {
			i++
		}
		if i == len(options) {
			dropPlans(s.tasks)
			return false
		}
		t.setPlan(options[i].w, now.Add(reserveLife))
	}
	c.cfg.Logger.Info("capacity is kept for a gang", "job", s.occ.job.spec.ID, "tasks", len(s.tasks), "rack", rack.String(),
		"waited_ms", now.Sub(s.since).Milliseconds())
	return true
}

// waitFor estimates when need is free on the worker.
func (c *Core) waitFor(now time.Time, w *worker, need Resources, level int) time.Duration {
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
			in = c.expected(r.task.step)
			if !r.begun.IsZero() {
				in -= now.Sub(r.begun)
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
