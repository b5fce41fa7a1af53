package scheduler

import (
	"math"
	"sort"
	"time"
)

// planUrgent keeps capacity for urgent tasks, all or none, and stops work of lower
// priority that is in the way, where that loses least.
func (c *Core) planUrgent(now time.Time, tasks []*task, rack string) {
	racks := []string{rack}
	s := tasks[0].step
	if rack != "" && now.Sub(s.since) > c.patience(s) {
		racks = []string{rack, ""}
	}
	if s.spec.Gang {
		racks = c.gangRacks(now, s)
	}
	best, least := "", math.Inf(1)
	for _, rack := range racks {
		if rack == "" && !math.IsInf(least, 1) {
			break
		}
		_, cost, ok := c.planOn(now, tasks, rack)
		dropPlans(tasks)
		if ok && cost < least {
			best, least = rack, cost
		}
	}
	if math.IsInf(least, 1) {
		return
	}
	victims, _, _ := c.planOn(now, tasks, best)
	if now.Sub(s.since) < c.stopWait(s) {
		return // what ends by itself needs no stop
	}
	for _, r := range victims {
		c.preempt(now, r, tasks[0])
	}
}

func dropPlans(tasks []*task) {
	for _, t := range tasks {
		t.dropPlan()
	}
}

// planOn plans the tasks on the workers of a rack. It returns the runs that stand
// in the way, and what stopping them loses.
func (c *Core) planOn(now time.Time, tasks []*task, rack string) ([]*run, float64, bool) {
	victims := map[*run]bool{}
	var order []*run
	loss := 0.0
	for _, t := range tasks {
		w, stops, cost := c.cheapest(now, t, rack, victims)
		if w == nil {
			dropPlans(tasks)
			return nil, 0, false
		}
		loss += cost
		for _, r := range stops {
			if !victims[r] {
				victims[r] = true
				order = append(order, r)
			}
		}
		t.setPlan(w, now.Add(planLife))
	}
	return order, loss, true
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
	runs := []*run{r}
	if r.task != nil && r.task.step.spec.Gang {
		runs = runs[:0]
		for _, m := range r.task.step.tasks {
			if m.live != nil {
				runs = append(runs, m.live)
			}
		}
	}
	for _, r := range runs {
		if r.stopping.IsZero() {
			c.stop(now, r, "preempted by "+by.step.occ.job.spec.ID)
		}
	}
}

// cheapest finds the worker on which capacity for the task costs least, and the runs
// to stop there.
func (c *Core) cheapest(now time.Time, t *task, rack string, victims map[*run]bool) (*worker, []*run, float64) {
	s := t.step
	need := s.spec.demand()
	level := s.occ.job.level
	var best *worker
	var bestStops []*run
	bestCost := 0.0
	for _, w := range c.in(rack) {
		if !w.usable(now, c.cfg.Silence) || !s.suits(w) || !s.spreadAllows(w) || !w.info.Capacity.minus(w.kept(level)).Fits(need) {
			continue
		}
		stops, cost, ok := c.victimsOn(now, w, need, level, victims)
		if !ok {
			continue
		}
		cost += failCost * float64(w.fails)
		if best == nil || cost < bestCost {
			best, bestStops, bestCost = w, stops, cost
		}
	}
	return best, bestStops, bestCost
}

// victimsOn picks runs of less important work to stop so that need fits on the worker.
func (c *Core) victimsOn(now time.Time, w *worker, need Resources, level int, victims map[*run]bool) ([]*run, float64, bool) {
	free := w.free(level)
	type choice struct {
		r    *run
		loss float64
	}
	var choices []choice
	for _, r := range w.sortedRuns() {
		if !r.stopping.IsZero() || victims[r] {
			free = free.plus(r.demand)
			continue
		}
		if r.task == nil || r.task.step.occ.job.level <= level || r.task.step.occ.job.level == levelUrgent && level > levelGuaranteed {
			continue
		}
		choices = append(choices, choice{r, c.loss(now, r)})
	}
	if free.Fits(need) {
		return nil, 0, true
	}
	sort.SliceStable(choices, func(i, k int) bool { return choices[i].loss < choices[k].loss })
	var stops []*run
	cost := 0.0
	for _, ch := range choices {
		free = free.plus(ch.r.demand)
		stops = append(stops, ch.r)
		cost += ch.loss
		if free.Fits(need) {
			break
		}
	}
	if !free.Fits(need) {
		return nil, 0, false
	}
	// A large run may have made earlier, smaller choices needless.
	for i := len(stops) - 2; i >= 0; i-- {
		if rest := free.minus(stops[i].demand); rest.Fits(need) {
			free = rest
			cost -= c.loss(now, stops[i])
			stops = append(stops[:i], stops[i+1:]...)
		}
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
	racks := c.gangRacks(now, s)
	for _, rack := range racks {
		if c.reserveOn(now, s, rack) {
			return true
		}
	}
	return false
}

func (c *Core) reserveOn(now time.Time, s *step, rack string) bool {
	type option struct {
		w    *worker
		wait time.Duration
	}
	var options []option
	need := s.spec.demand()
	level := s.occ.job.level
	for _, w := range c.in(rack) {
		if !w.usable(now, c.cfg.Silence) || !s.suits(w) {
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
	c.cfg.Logger.Info("capacity is kept for a gang", "job", s.occ.job.spec.ID, "tasks", len(s.tasks), "rack", rack,
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
