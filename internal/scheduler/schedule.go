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
	// something, by the users' rules.
	maxLateFactor = 3
	// maxRackWait limits how long a task waits for its preferred rack.
	maxRackWait = 20 * time.Second
	// urgentRackWait is the same limit for jobs of priority 0. They have to begin within
	// 2.9 s of their acceptance, and stopping others takes up to half a second.
	urgentRackWait = 1800 * time.Millisecond
	// preemptReservationTTL is how long capacity is reserved for an urgent task before the
	// task is placed again.
	preemptReservationTTL = 1500 * time.Millisecond
)

// reservation is capacity on a worker that is kept for a task that waits for it to become
// free.
type reservation struct {
	worker  *worker
	demand  Resources
	level   int
	expires time.Time
}

func (t *task) reserve(w *worker, expires time.Time) {
	t.reservation = &reservation{worker: w, demand: t.step.spec.demand(), level: t.step.reservationLevel(), expires: expires}
	w.reservations = append(w.reservations, t.reservation)
	w.markDirty()
}

func (t *task) dropReservation() {
	if t.reservation == nil {
		return
	}
	w := t.reservation.worker
	for i, r := range w.reservations {
		if r == t.reservation {
			w.reservations = append(w.reservations[:i], w.reservations[i+1:]...)
			break
		}
	}
	t.reservation = nil
	w.markDirty()
}

// Levels of importance, the most important first. Work may be stopped for work with a
// numerically lower level if that is urgent.
const (
	// levelGuaranteed is work of priority 0 if all such work of its customer is within the
	// customer's guarantee.
	levelGuaranteed = iota
	// levelUrgent is other work of priority 0.
	levelUrgent
	// levelOther is work of priority 1; lower priorities follow.
	levelOther
)

// setLevels updates the level of each job.
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
		case need[j.spec.Customer] <= c.policy.Guarantees[j.spec.Customer]:
			level = levelGuaranteed
		}
		if level != j.level {
			j.level = level
			j.markWorkersDirty()
		}
	}
}

// markWorkersDirty marks the workers of the job's runs for recounting, after a change of
// the work that may preempt these runs.
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

// peakAccelerators returns the most accelerators that the job uses at a time if its steps
// run one after the other.
func (j *Job) peakAccelerators() int64 {
	most := int64(0)
	for i := range j.Steps {
		most = max(most, int64(j.Steps[i].Count)*j.Steps[i].Need.Accelerators)
	}
	return most
}

// schedule starts all work that can be started, in order of importance.
func (c *Core) schedule(now time.Time) {
	c.setLevels()
	c.sortActive(now)
	c.index.round++
	c.updateQuarantines(now)
	c.updateSchedulable(now)
	c.refresh()
	for _, d := range c.urgentDemand {
		d.decay(now)
	}
	c.updateIdleServices(now)
	c.removeStaleGangReservations()
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
				if s.turnAt.IsZero() {
					s.turnAt = now
				}
				if now.Before(s.rejections.retryAt) {
					continue
				}
				s.backfills = false // so that what is reserved counts as taken
				s.right = c.startRightOf(now, s)
				s.right.quarantined = c.mustReclaim(now, s)
				s.backfills = c.mayBackfill(now, s)
				if s.headroomBlocks = c.blockedByHeadroom(s); s.headroomBlocks {
					continue
				}
				if s.spec.Gang {
					c.scheduleGang(now, s)
				} else {
					c.scheduleTasks(now, s)
				}
				if s.right.anywhere {
					c.logIfIdle(now, s)
				}
			}
		}
	}
}

// ready reports whether the step isn't done but all steps before it are.
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

// sortActive sorts jobs by level, then by what they can still earn, then by deadline.
func (c *Core) sortActive(now time.Time) {
	for _, j := range c.active {
		j.rank = j.latenessRank(now)
	}
	slices.SortStableFunc(c.active, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.rank, b.rank), a.deadline.Compare(b.deadline), strings.Compare(a.spec.ID, b.spec.ID))
	})
}

// latenessRank returns 0 if the job can still be done within its objective, has started or
// is repeated, 1 if it can still earn something, and 2 otherwise.
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
	if s.spec.MaxPerWorker == 0 {
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
	return n < s.spec.MaxPerWorker
}

// rackWait returns how long the step's tasks wait for their preferred rack: less than the
// time that they would lose elsewhere.
func (c *Core) rackWait(s *step) time.Duration {
	if s.occ.job.queue.Priority == 0 {
		return urgentRackWait
	}
	return min(time.Duration((c.cfg.RemotePenalty-1)*float64(c.expectedRunTime(s))), maxRackWait)
}

// homeRack returns the name of the rack that the step's tasks should run on, or an empty
// string if they may run on any.
func (s *step) homeRack() string {
	if s.spec.Rack != "" {
		return s.spec.Rack
	}
	if s.spec.Tight {
		return s.chosenRack
	}
	return ""
}

// scheduleTasks starts the waiting tasks of a step that isn't a gang. Of a step whose starts workers
// reject, it starts one at a time.
func (c *Core) scheduleTasks(now time.Time, s *step) {
	single := s.rejections.byWork()
	if single && s.awaitsAnswer() {
		return
	}
	tried, full := false, false
	for _, t := range s.tasks {
		if !t.mayStart(now) {
			t.dropReservation()
			continue
		}
		if single && tried {
			t.dropReservation()
			continue
		}
		tried = true
		if !c.scheduleTask(now, t, full) {
			full = true // the reservations of other tasks may still be free
		}
	}
}

// scheduleTask starts a waiting task if it can be started; once an identical one did not fit, only if
// it has a reservation. It returns false if no identical task without a reservation will fit.
func (c *Core) scheduleTask(now time.Time, t *task, full bool) bool {
	reserved := t.reservation != nil
	if c.tryReservation(now, t) {
		return true
	}
	if full && !reserved {
		return false
	}
	s := t.step
	if s.spec.Tight && s.chosenRack == "" {
		s.chosenRack = c.freestRack(s)
	}
	racks := c.candidateRacks(now, s)
	if w := c.chooseWithQuarantined(now, t, racks); w != nil {
		c.startRun(now, t, w, t.run+1)
		return true
	}
	if s.occ.job.queue.Priority == 0 {
		c.reserveByPreemption(now, []*task{t}, racks)
	}
	return t.reservation != nil || s.avoidsWorkers()
}

// candidateRacks returns the racks that the step's tasks may run on, the preferred one
// first. A nil rack stands for any rack.
func (c *Core) candidateRacks(now time.Time, s *step) []*rack {
	name := s.homeRack()
	r := c.index.racksByName[name]
	switch {
	case name == "" || r == nil:
		return []*rack{nil}
	case s.right.anywhere || now.Sub(s.readySince) > c.rackWait(s):
		return []*rack{r, nil}
	}
	return []*rack{r}
}

// chooseOnRacks chooses a worker for a task on the first rack where the task fits, on workers that
// haven't rejected its step if possible.
func (c *Core) chooseOnRacks(t *task, racks []*rack) *worker {
	var rejecting *worker
	for _, r := range racks {
		w := c.chooseWorker(t, r)
		if w != nil && !t.step.rejections.contains(w) {
			return w
		}
		rejecting = cmp.Or(rejecting, w)
	}
	return rejecting
}

// tryReservation starts a task whose reserved capacity is free. It reports whether nothing
// else has to be done for the task in this round.
func (c *Core) tryReservation(now time.Time, t *task) bool {
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

// avoidsWorkers reports whether any waiting task of the step avoids a worker, so that the
// tasks differ in where they may run.
func (s *step) avoidsWorkers() bool {
	for _, t := range s.tasks {
		if t.phase == waiting && t.avoidWorker != "" {
			return true
		}
	}
	return false
}

// freestRack returns the name of the rack where the largest number of the step's tasks fit.
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

// fitCount returns how many times need fits into free.
func fitCount(free, need Resources) int64 {
	n := int64(math.MaxInt32)
	for _, d := range [][2]int64{{free.CPU, need.CPU}, {free.Memory, need.Memory}, {free.Accelerators, need.Accelerators}} {
		if d[1] > 0 {
			n = min(n, max(d[0], 0)/d[1])
		}
	}
	return n
}

// maxCandidates limits the workers that are evaluated for a task among those where it
// leaves the same number of accelerators free. They differ in little else.
const maxCandidates = 16

// selection is the best worker found for a task so far.
type selection struct {
	w    *worker
	cost float64
}

// consider evaluates a worker, and reports whether the task may start there and the worker hasn't
// rejected its step.
func (sel *selection) consider(c *Core, t *task, ft *fitTable, w *worker) bool {
	c.evaluations++
	// The index only preselects workers; the worker's own state decides what fits.
	s, free := t.step, w.free(ft.level)
	if !free.Fits(ft.need) || s.exceedsFreeLimit(free.Accelerators) || !s.spreadAllows(w) {
		return false
	}
	if cost := c.placementCost(t, w, ft.need); sel.w == nil || cost < sel.cost {
		sel.w, sel.cost = w, cost
	}
	return !s.rejections.contains(w) && !w.quarantined
}

// chooseWorker chooses the worker for a task on a rack, or on any if r is nil: the one with
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
			break // no cost is below the number of accelerators left over
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

// Costs added by placementCost, in accelerators left over.
const (
	avoidCost = 1000 // the task's last run went badly on the worker, or the worker rejected its step or is in quarantine
	failCost  = 30   // for each failure attributed to the worker, and if its last start failed
)

func (c *Core) placementCost(t *task, w *worker, need Resources) float64 {
	left := w.free(t.step.reservationLevel()).Minus(need)
	cost := float64(left.Accelerators) + float64(left.CPU)/math.Max(1, float64(w.info.Capacity.CPU))
	if t.avoidWorker == w.id || t.step.rejections.contains(w) || w.quarantined {
		cost += avoidCost
	}
	if w.lastStartFailed {
		cost += failCost
	}
	return cost + failCost*float64(w.attributed.failures)
}

// startRun orders a run of a task on a worker.
func (c *Core) startRun(now time.Time, t *task, w *worker, number int) {
	t.dropReservation()
	s := t.step
	j := s.occ.job
	t.phase, t.run = placed, number
	s.rejections.again = s.rejections.again || s.rejections.contains(w)
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
	t.history().started()
	c.storeTask(t)
	c.effects.Starts = append(c.effects.Starts, Start{
		Worker: w.id, Address: w.info.Address, Task: t.name, Run: number, Text: j.spec.Text, Checkpoint: t.checkpoint,
	})
	c.cfg.Logger.Info("run is started", "task", t.name, "run", number, "worker", w.id, "rack", w.info.Rack,
		"home_rack", s.homeRack(), "waited_ms", now.Sub(s.readySince).Milliseconds(), "free_before", w.info.Capacity.Minus(w.used).Plus(t.activeRun.demand).Accelerators,
		"rank", j.rank, "saved", t.checkpoint != "", "quarantined", w.quarantined)
}

// startReserved starts tasks whose reserved capacity has become free, all of them or none.
// It drops the reservations if one has expired or its worker can't be given the task, as it may have come back
// as another kind.
func (c *Core) startReserved(now time.Time, tasks []*task) bool {
	reserved := map[*worker]Resources{}
	for _, t := range tasks {
		w := t.reservation.worker
		condition := w.condition(now, c.cfg.ReportTimeout)
		mayUse := condition == workerUsable || condition == workerQuarantined && t.step.right.quarantined
		if !mayUse || !w.info.serves(t.step.occ.job.queue.Service, t.step.spec.Label) || now.After(t.reservation.expires) {
			dropReservations(tasks)
			return false
		}
		reserved[w] = reserved[w].Plus(t.reservation.demand)
	}
	for w, demand := range reserved {
		if !w.info.Capacity.Minus(w.used).Fits(demand) {
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

// nextRunNumber returns the number of the next run, which the members of a gang share.
func nextRunNumber(tasks []*task) int {
	n := 0
	for _, t := range tasks {
		n = max(n, t.run)
	}
	return n + 1
}
