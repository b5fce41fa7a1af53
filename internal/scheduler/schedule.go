package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// lateFactor is how many times its objective a job may take and still earn
	// something; from the users' rules.
	lateFactor = 3
	// maxPatience bounds how long a task waits for the rack that suits it.
	maxPatience = 20 * time.Second
	// urgentPatience is the same for jobs of priority 0. They have to begin 2.9 s
	// after their acceptance, and stopping others takes up to half a second.
	urgentPatience = 1800 * time.Millisecond
	// planLife is how long capacity is kept for a task before the plan is made anew.
	planLife = 1500 * time.Millisecond
	// reserveLife is the same for a gang that waits for work to end by itself:
	// twice the longest run on the sites.
	reserveLife = 25 * time.Second
	// reserveAfter is how long a gang waits before capacity is kept for it.
	reserveAfter = time.Second
)

// plan is capacity that is kept for a task until it is free.
type plan struct {
	worker *worker
	demand Resources
	level  int
	until  time.Time
}

func (t *task) setPlan(w *worker, until time.Time) {
	t.plan = &plan{worker: w, demand: t.step.spec.demand(), level: t.step.occ.job.level, until: until}
	w.plans = append(w.plans, t.plan)
	w.touch()
}

func (t *task) dropPlan() {
	if t.plan == nil {
		return
	}
	w := t.plan.worker
	for i, p := range w.plans {
		if p == t.plan {
			w.plans = append(w.plans[:i], w.plans[i+1:]...)
			break
		}
	}
	t.plan = nil
	w.touch()
}

// Levels of importance. Work may be stopped for work of a lower level, if that is
// urgent.
const (
	// levelGuaranteed: priority 0, and all such work of its customer fits in what
	// the customer is guaranteed.
	levelGuaranteed = iota
	// levelUrgent: other work of priority 0.
	levelUrgent
	// levelOther is that of priority 1; lower priorities follow.
	levelOther
)

// setLevels finds the level of each job.
func (c *Core) setLevels() {
	need := map[string]int64{}
	for _, j := range c.active {
		if j.queue.Priority == 0 {
			need[j.spec.Customer] += j.spec.accelerators()
		}
	}
	for _, j := range c.active {
		level := levelUrgent
		switch {
		case j.queue.Priority > 0:
			level = levelOther + j.queue.Priority - 1
		case need[j.spec.Customer] <= c.guaranteed[j.spec.Customer]:
			level = levelGuaranteed
		}
		if level != j.level {
			j.level = level
			j.touchWorkers()
		}
	}
}

// touchWorkers notes that what the job's runs yield to has changed.
func (j *job) touchWorkers() {
	if !j.started {
		return
	}
	for _, o := range j.occs {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.live != nil {
					t.live.worker.touch()
				}
			}
		}
	}
}

// accelerators is the most that the job uses at a time, if its steps follow each
// other.
func (j *Job) accelerators() int64 {
	most := int64(0)
	for i := range j.Steps {
		most = max(most, int64(j.Steps[i].Count)*j.Steps[i].Need.Accelerators)
	}
	return most
}

// schedule starts what can be started, in order of importance.
func (c *Core) schedule(now time.Time) {
	c.setLevels()
	c.sortActive(now)
	c.index.round++
	c.open(now)
	c.refresh()
	for _, d := range c.urgent {
		d.decay(now)
	}
	reserved := false
	for _, j := range c.active {
		for _, o := range j.occs {
			if now.Before(o.due) && j.spec.Repeat > 0 {
				continue
			}
			for _, s := range o.steps {
				if !s.ready() {
					continue
				}
				if s.since.IsZero() {
					s.since = now
				}
				if c.yields(s) {
					continue
				}
				if s.spec.Gang {
					reserved = c.scheduleGang(now, s, !reserved) || reserved
				} else {
					c.scheduleTasks(now, s)
				}
			}
		}
	}
}

// ready reports whether the step's turn has come and it isn't done.
func (s *step) ready() bool {
	if s.done == len(s.tasks) {
		return false
	}
	for _, before := range s.spec.After {
		if before >= 0 && before < len(s.occ.steps) {
			if b := s.occ.steps[before]; b.done < len(b.tasks) {
				return false
			}
		}
	}
	return true
}

// sortActive orders jobs by level, then by what they can still earn, then by
// the deadline up to which they earn it.
func (c *Core) sortActive(now time.Time) {
	for _, j := range c.active {
		j.rank = j.credit(now)
	}
	slices.SortStableFunc(c.active, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.rank, b.rank), a.deadline.Compare(b.deadline), strings.Compare(a.spec.ID, b.spec.ID))
	})
}

// credit is 0 if the job can still be done within its objective, 1 if it can
// still earn something, and 2 otherwise.
func (j *job) credit(now time.Time) int {
	if j.spec.Repeat > 0 || j.started {
		return 0
	}
	objective := j.deadline.Sub(j.accepted)
	left := j.deadline.Sub(now) - j.estimate
	switch {
	case left >= 0:
		return 0
	case left+(lateFactor-1)*objective >= 0:
		return 1
	}
	return 2
}

// spreadAllows reports whether one more task of the step may run on the worker.
func (s *step) spreadAllows(w *worker) bool {
	if s.spec.Spread == 0 {
		return true
	}
	n := 0
	for _, r := range w.runs {
		if t := r.task; t != nil && t.step == s {
			n++
		} else if t == nil {
			if id, at, ok := parseTask(r.name); ok && id == s.occ.job.spec.ID && at[0] == s.occ.k && at[1] == s.index {
				n++
			}
		}
	}
	for _, t := range s.tasks {
		if t.plan != nil && t.plan.worker == w {
			n++
		}
	}
	return n < s.spec.Spread
}

// patience is how long the step's tasks wait for the rack that suits them:
// less than the time they would lose elsewhere.
func (c *Core) patience(s *step) time.Duration {
	if s.occ.job.queue.Priority == 0 {
		return urgentPatience
	}
	return min(time.Duration((c.cfg.Penalty-1)*float64(c.expected(s))), maxPatience)
}

// homeRack is the rack that the step's tasks should run on, or empty.
func (s *step) homeRack() string {
	if s.spec.Rack != "" {
		return s.spec.Rack
	}
	if s.spec.Tight {
		return s.rack
	}
	return ""
}

// scheduleTasks starts the waiting tasks of a step that is no gang.
func (c *Core) scheduleTasks(now time.Time, s *step) {
	for _, t := range s.tasks {
		if t.phase != waiting || t.live != nil || c.awaitsPlan(now, t) {
			continue
		}
		if s.spec.Tight && s.rack == "" {
			s.rack = c.freestRack(s)
		}
		racks := c.homes(now, s)
		if w := c.chooseIn(t, racks); w != nil {
			c.start(now, t, w, t.run+1)
			continue
		}
		if s.occ.job.queue.Priority == 0 {
			c.planUrgent(now, []*task{t}, racks)
		}
		if t.plan == nil && !s.mixed() {
			return // its siblings are equal and won't fit either
		}
	}
}

// homes lists the racks that the step's tasks may run on, best first; nil stands for any.
func (c *Core) homes(now time.Time, s *step) []*rack {
	name := s.homeRack()
	r := c.index.byName[name]
	switch {
	case name == "" || r == nil:
		return []*rack{nil}
	case now.Sub(s.since) > c.patience(s):
		return []*rack{r, nil}
	}
	return []*rack{r}
}

// chooseIn picks the worker for a task on the first of some racks that has room.
func (c *Core) chooseIn(t *task, racks []*rack) *worker {
	for _, r := range racks {
		if w := c.choose(t, r); w != nil {
			return w
		}
	}
	return nil
}

// awaitsPlan starts a task whose planned capacity is free, and reports whether there
// is nothing else to do for it now.
func (c *Core) awaitsPlan(now time.Time, t *task) bool {
	if t.plan == nil {
		return false
	}
	tasks := []*task{t}
	if c.startPlanned(now, tasks) {
		return true
	}
	if t.plan != nil && t.step.occ.job.level <= levelUrgent {
		c.stopPlanned(now, tasks)
	}
	return t.plan != nil
}

// mixed reports whether the step's tasks differ in where they may run.
func (s *step) mixed() bool {
	for _, t := range s.tasks {
		if t.phase == waiting && t.avoid != "" {
			return true
		}
	}
	return false
}

// freestRack is the rack with capacity for most of the step's tasks.
func (c *Core) freestRack(s *step) string {
	sh := c.shapeOf(s)
	best, most := "", int64(0)
	for _, r := range c.index.racks {
		if fit := sh.in(r).fit; fit > most {
			best, most = r.name, fit
		}
	}
	return best
}

// times is how often need fits into free.
func times(free, need Resources) int64 {
	n := int64(math.MaxInt32)
	for _, d := range [][2]int64{{free.CPU, need.CPU}, {free.Memory, need.Memory}, {free.Accelerators, need.Accelerators}} {
		if d[1] > 0 {
			n = min(n, max(d[0], 0)/d[1])
		}
	}
	return n
}

// chooseLooks bounds the workers that a task is weighed on of those where it leaves as
// many accelerators free; they differ in little else.
const chooseLooks = 16

// pick is the best worker found for a task so far.
type pick struct {
	w    *worker
	cost float64
}

// consider weighs a worker, and reports whether the task may start there.
func (p *pick) consider(c *Core, t *task, sh *shape, w *worker) bool {
	c.looks++
	// The index preselects; what a worker can take is for the worker to say.
	s, free := t.step, w.free(sh.level)
	if !free.Fits(sh.need) || s.leaves(free.Accelerators) || !s.spreadAllows(w) {
		return false
	}
	if cost := c.placeCost(t, w, sh.need); p.w == nil || cost < p.cost {
		p.w, p.cost = w, cost
	}
	return true
}

// choose picks the worker for a task on a rack, or anywhere if that is nil: the one with
// the least capacity left afterwards, so that whole workers stay free for large tasks.
func (c *Core) choose(t *task, r *rack) *worker {
	sh := c.shapeOf(t.step)
	if sh.in(r).fit == 0 {
		return nil
	}
	var best pick
	if r != nil {
		for _, w := range r.workers {
			if sh.fit[w.at] > 0 {
				best.consider(c, t, sh, w)
			}
		}
		return best.w
	}
	for rest, set := range sh.setsFor(t.step) {
		if best.w != nil && best.cost <= float64(rest) {
			break // no cost is below the accelerators left
		}
		looks := 0
		for at := range set.all {
			if best.consider(c, t, sh, c.order[at]) {
				looks++
			}
			if looks == chooseLooks {
				break
			}
		}
	}
	return best.w
}

// Weights of placeCost, in accelerators left over.
const (
	avoidCost = 1000 // the task has just done badly there
	failCost  = 30   // for each run in a row that failed there
)

func (c *Core) placeCost(t *task, w *worker, need Resources) float64 {
	left := w.free(t.step.occ.job.level).minus(need)
	cost := float64(left.Accelerators) + float64(left.CPU)/math.Max(1, float64(w.info.Capacity.CPU))
	if t.avoid == w.id {
		cost += avoidCost
	}
	return cost + failCost*float64(w.fails)
}

// start orders a run of a task.
func (c *Core) start(now time.Time, t *task, w *worker, number int) {
	t.dropPlan()
	s := t.step
	j := s.occ.job
	t.phase, t.run = placed, number
	t.live = &run{task: t, name: t.name, number: number, worker: w, demand: s.spec.demand(), saved: t.saved}
	w.add(t.live)
	if !j.started {
		j.started = true
		j.state = Running
		c.out.Changed = append(c.out.Changed, j.spec.ID)
	}
	s.occ.started = true
	if s.spec.Tight && s.rack == "" {
		s.rack = w.info.Rack
	}
	c.record(t)
	c.out.Starts = append(c.out.Starts, Start{
		Worker: w.id, Address: w.info.Address, Task: t.name, Run: number, Text: j.spec.Text, Saved: t.saved,
	})
	c.cfg.Logger.Info("run is started", "task", t.name, "run", number, "worker", w.id, "rack", w.info.Rack,
		"home_rack", s.homeRack(), "waited_ms", now.Sub(s.since).Milliseconds(), "free_before", w.info.Capacity.minus(w.used).plus(t.live.demand).Accelerators,
		"rank", j.rank, "saved", t.saved != "")
}

// startPlanned starts tasks whose planned capacity has become free, all or none. It
// drops plans that can't be kept.
func (c *Core) startPlanned(now time.Time, tasks []*task) bool {
	sum := map[*worker]Resources{}
	for _, t := range tasks {
		w := t.plan.worker
		if !w.usable(now, c.cfg.Silence) || now.After(t.plan.until) {
			dropPlans(tasks)
			return false
		}
		sum[w] = sum[w].plus(t.plan.demand)
	}
	for w, demand := range sum {
		if !w.info.Capacity.minus(w.used).Fits(demand) {
			return false
		}
	}
	number := nextRun(tasks)
	tasks[0].step.joined = time.Time{}
	for _, t := range tasks {
		c.start(now, t, t.plan.worker, number)
	}
	return true
}

// nextRun numbers the next run; members of a gang share it.
func nextRun(tasks []*task) int {
	n := 0
	for _, t := range tasks {
		n = max(n, t.run)
	}
	return n + 1
}
