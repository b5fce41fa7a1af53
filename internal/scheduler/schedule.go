package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// maxLateFactor is how many times its objective a job may take and still earn
	// something; from the users' rules.
	maxLateFactor = 3
	// maxRackWait bounds how long a task waits for the rack that suits it.
	maxRackWait = 20 * time.Second
	// urgentRackWait is the same for jobs of priority 0. They have to begin 2.9 s
	// after their acceptance, and stopping others takes up to half a second.
	urgentRackWait = 1800 * time.Millisecond
	// preemptReservationTTL is how long capacity is kept for a task before the plan is made anew.
	preemptReservationTTL = 1500 * time.Millisecond
	// gangReservationTTL is the same for a gang that waits for work to end by itself:
	// twice the longest run on the sites.
	gangReservationTTL = 25 * time.Second
	// gangReservationDelay is how long a gang waits before capacity is kept for it.
	gangReservationDelay = time.Second
)

// reservation is capacity that is kept for a task until it is free.
type reservation struct {
	worker  *worker
	demand  Resources
	level   int
	expires time.Time
}

func (t *task) reserve(w *worker, expires time.Time) {
	t.reservation = &reservation{worker: w, demand: t.step.spec.demand(), level: t.step.occ.job.level, expires: expires}
	w.reservations = append(w.reservations, t.reservation)
	w.markDirty()
}

func (t *task) dropReservation() {
	if t.reservation == nil {
		return
	}
	w := t.reservation.worker
	for i, p := range w.reservations {
		if p == t.reservation {
			w.reservations = append(w.reservations[:i], w.reservations[i+1:]...)
			break
		}
	}
	t.reservation = nil
	w.markDirty()
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
			need[j.spec.Customer] += j.spec.peakAccelerators()
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
			j.markWorkersDirty()
		}
	}
}

// markWorkersDirty notes that what the job's runs yield to has changed.
func (j *job) markWorkersDirty() {
	if !j.started {
		return
	}
	for _, o := range j.occs {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.activeRun != nil {
					t.activeRun.worker.markDirty()
				}
			}
		}
	}
}

// peakAccelerators is the most that the job uses at a time, if its steps follow each
// other.
func (j *Job) peakAccelerators() int64 {
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
	c.schedulable(now)
	c.refresh()
	for _, d := range c.urgentDemand {
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
				if s.readySince.IsZero() {
					s.readySince = now
				}
				if c.blockedByHeadroom(s) {
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
		j.rank = j.latenessRank(now)
	}
	slices.SortStableFunc(c.active, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.rank, b.rank), a.deadline.Compare(b.deadline), strings.Compare(a.spec.ID, b.spec.ID))
	})
}

// latenessRank is 0 if the job can still be done within its objective, 1 if it can
// still earn something, and 2 otherwise.
func (j *job) latenessRank(now time.Time) int {
	if j.spec.Repeat > 0 || j.started {
		return 0
	}
	objective := j.deadline.Sub(j.accepted)
	left := j.deadline.Sub(now) - j.estimate
	switch {
	case left >= 0:
		return 0
	case left+(maxLateFactor-1)*objective >= 0:
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
			if id, indices, ok := parseTaskName(r.name); ok && id == s.occ.job.spec.ID && indices[0] == s.occ.number && indices[1] == s.index {
				n++
			}
		}
	}
	for _, t := range s.tasks {
		if t.reservation != nil && t.reservation.worker == w {
			n++
		}
	}
	return n < s.spec.Spread
}

// rackWait is how long the step's tasks wait for the rack that suits them:
// less than the time they would lose elsewhere.
func (c *Core) rackWait(s *step) time.Duration {
	if s.occ.job.queue.Priority == 0 {
		return urgentRackWait
	}
	return min(time.Duration((c.cfg.Penalty-1)*float64(c.expectedRunTime(s))), maxRackWait)
}

// homeRack is the rack that the step's tasks should run on, or empty.
func (s *step) homeRack() string {
	if s.spec.Rack != "" {
		return s.spec.Rack
	}
	if s.spec.Tight {
		return s.chosenRack
	}
	return ""
}

// scheduleTasks starts the waiting tasks of a step that is no gang.
func (c *Core) scheduleTasks(now time.Time, s *step) {
	for _, t := range s.tasks {
		if t.phase != waiting || t.activeRun != nil || c.awaitsReservation(now, t) {
			continue
		}
		if s.spec.Tight && s.chosenRack == "" {
			s.chosenRack = c.freestRack(s)
		}
		racks := c.candidateRacks(now, s)
		if w := c.chooseOnRacks(t, racks); w != nil {
			c.startRun(now, t, w, t.run+1)
			continue
		}
		if s.occ.job.queue.Priority == 0 {
			c.reserveByPreemption(now, []*task{t}, racks)
		}
		if t.reservation == nil && !s.avoidsWorkers() {
			return // its siblings are equal and won't fit either
		}
	}
}

// candidateRacks lists the racks that the step's tasks may run on, best first; nil stands for any.
func (c *Core) candidateRacks(now time.Time, s *step) []*rack {
	name := s.homeRack()
	r := c.index.racksByName[name]
	switch {
	case name == "" || r == nil:
		return []*rack{nil}
	case now.Sub(s.readySince) > c.rackWait(s):
		return []*rack{r, nil}
	}
	return []*rack{r}
}

// chooseOnRacks picks the worker for a task on the first of some racks that has room.
func (c *Core) chooseOnRacks(t *task, racks []*rack) *worker {
	for _, r := range racks {
		if w := c.chooseWorker(t, r); w != nil {
			return w
		}
	}
	return nil
}

// awaitsReservation starts a task whose planned capacity is free, and reports whether there
// is nothing else to do for it now.
func (c *Core) awaitsReservation(now time.Time, t *task) bool {
	if t.reservation == nil {
		return false
	}
	tasks := []*task{t}
	if c.startReserved(now, tasks) {
		return true
	}
	if t.reservation != nil && t.step.occ.job.level <= levelUrgent {
		c.preemptReserved(now, tasks)
	}
	return t.reservation != nil
}

// avoidsWorkers reports whether the step's tasks differ in where they may run.
func (s *step) avoidsWorkers() bool {
	for _, t := range s.tasks {
		if t.phase == waiting && t.avoidWorker != "" {
			return true
		}
	}
	return false
}

// freestRack is the rack with capacity for most of the step's tasks.
func (c *Core) freestRack(s *step) string {
	ft := c.fitTableFor(s)
	best, most := "", int64(0)
	for _, r := range c.index.racks {
		if fitFree := ft.fitIn(r).fitFree; fitFree > most {
			best, most = r.name, fitFree
		}
	}
	return best
}

// fitCount is how often need fits into free.
func fitCount(free, need Resources) int64 {
	n := int64(math.MaxInt32)
	for _, d := range [][2]int64{{free.CPU, need.CPU}, {free.Memory, need.Memory}, {free.Accelerators, need.Accelerators}} {
		if d[1] > 0 {
			n = min(n, max(d[0], 0)/d[1])
		}
	}
	return n
}

// maxCandidates bounds the workers that a task is weighed on of those where it leaves as
// many accelerators free; they differ in little else.
const maxCandidates = 16

// selection is the best worker found for a task so far.
type selection struct {
	w    *worker
	cost float64
}

// consider weighs a worker, and reports whether the task may start there.
func (p *selection) consider(c *Core, t *task, ft *fitTable, w *worker) bool {
	c.evaluations++
	// The index preselects; what a worker can take is for the worker to say.
	s, free := t.step, w.free(ft.level)
	if !free.Fits(ft.need) || s.exceedsFreeLimit(free.Accelerators) || !s.spreadAllows(w) {
		return false
	}
	if cost := c.placementCost(t, w, ft.need); p.w == nil || cost < p.cost {
		p.w, p.cost = w, cost
	}
	return true
}

// chooseWorker picks the worker for a task on a rack, or anywhere if that is nil: the one with
// the least capacity left afterwards, so that whole workers stay free for large tasks.
func (c *Core) chooseWorker(t *task, r *rack) *worker {
	ft := c.fitTableFor(t.step)
	if ft.fitIn(r).fitFree == 0 {
		return nil
	}
	var best selection
	if r != nil {
		for _, w := range r.workers {
			if ft.fitFree[w.pos] > 0 {
				best.consider(c, t, ft, w)
			}
		}
		return best.w
	}
	for leftover, bucket := range ft.bucketsFor(t.step) {
		if best.w != nil && best.cost <= float64(leftover) {
			break // no cost is below the accelerators left
		}
		considered := 0
		for pos := range bucket.all {
			if best.consider(c, t, ft, c.sortedWorkers[pos]) {
				considered++
			}
			if considered == maxCandidates {
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

func (c *Core) placementCost(t *task, w *worker, need Resources) float64 {
	left := w.free(t.step.occ.job.level).minus(need)
	cost := float64(left.Accelerators) + float64(left.CPU)/math.Max(1, float64(w.info.Capacity.CPU))
	if t.avoidWorker == w.id {
		cost += avoidCost
	}
	return cost + failCost*float64(w.failStreak)
}

// startRun orders a run of a task.
func (c *Core) startRun(now time.Time, t *task, w *worker, number int) {
	t.dropReservation()
	s := t.step
	j := s.occ.job
	t.phase, t.run = placed, number
	t.activeRun = &run{task: t, name: t.name, number: number, worker: w, demand: s.spec.demand(), checkpoint: t.checkpoint}
	w.addRun(t.activeRun)
	if !j.started {
		j.started = true
		j.state = Running
		c.effects.Changed = append(c.effects.Changed, j.spec.ID)
	}
	s.occ.started = true
	if s.spec.Tight && s.chosenRack == "" {
		s.chosenRack = w.info.Rack
	}
	c.storeTask(t)
	c.effects.Starts = append(c.effects.Starts, Start{
		Worker: w.id, Address: w.info.Address, Task: t.name, Run: number, Text: j.spec.Text, Saved: t.checkpoint,
	})
	c.cfg.Logger.Info("run is started", "task", t.name, "run", number, "worker", w.id, "rack", w.info.Rack,
		"home_rack", s.homeRack(), "waited_ms", now.Sub(s.readySince).Milliseconds(), "free_before", w.info.Capacity.minus(w.used).plus(t.activeRun.demand).Accelerators,
		"rank", j.rank, "saved", t.checkpoint != "")
}

// startReserved starts tasks whose planned capacity has become free, all or none. It
// drops plans that can't be kept.
func (c *Core) startReserved(now time.Time, tasks []*task) bool {
	reserved := map[*worker]Resources{}
	for _, t := range tasks {
		w := t.reservation.worker
		if !w.usable(now, c.cfg.Silence) || now.After(t.reservation.expires) {
			dropReservations(tasks)
			return false
		}
		reserved[w] = reserved[w].plus(t.reservation.demand)
	}
	for w, demand := range reserved {
		if !w.info.Capacity.minus(w.used).Fits(demand) {
			return false
		}
	}
	number := nextRunNumber(tasks)
	tasks[0].step.firstConfirmedAt = time.Time{}
	for _, t := range tasks {
		c.startRun(now, t, t.reservation.worker, number)
	}
	return true
}

// nextRunNumber numbers the next run; members of a gang share it.
func nextRunNumber(tasks []*task) int {
	n := 0
	for _, t := range tasks {
		n = max(n, t.run)
	}
	return n + 1
}
