package scheduler

import (
	"sort"
	"time"
)

const (
	// gangReservationTTL is how long capacity is reserved for a gang that waits for running work
	// to end by itself. Nothing is reserved for a gang that is expected to wait longer.
	gangReservationTTL = 25 * time.Second
	// gangReservationDelay is how long a gang waits before capacity is reserved for it.
	gangReservationDelay = time.Second
	// idleShare is the share of a service's capacity under which it counts as idle, and
	// maxIdleWait how long a job with nothing running is kept from free capacity of an idle
	// service. The users' limit is three seconds.
	idleShare   = 0.5
	maxIdleWait = 2 * time.Second
	// idleLogInterval is the minimum time between two lines about jobs that wait in an idle
	// service.
	idleLogInterval = time.Second
	// unknownRunTime is how long a run is assumed to take that is being stopped or whose task is
	// unknown.
	unknownRunTime = time.Second
	// neverFree is the expected wait for capacity that no running work will free.
	neverFree = 365 * 24 * time.Hour
)

// hold is capacity that is reserved for a gang until the work that occupies the rest of it has
// ended. Each service has one at most: gangs that hold parts of a pool would wait for each other.
type hold struct {
	step     *step
	startsAt time.Time // when the gang is expected to start
	round    int64     // last round in which the gang was scheduled
}

// updateHolds removes holds of gangs that no longer wait for reserved capacity.
func (c *Core) updateHolds() {
	for service, h := range c.holds {
		if h.step.tasks[0].reservation == nil {
			delete(c.holds, service)
		}
	}
}

// holdForGang reserves capacity for a gang on the workers that are expected to be free soonest,
// without stopping anything. The hold of a gang that comes later in the order ends.
func (c *Core) holdForGang(now time.Time, s *step) {
	service := s.occ.job.queue.Service
	if h := c.holds[service]; h != nil && h.step != s {
		if h.round == c.index.round {
			return
		}
		dropReservations(h.step.tasks)
		delete(c.holds, service)
	}
	s.usesHold = false // it is to get one of its own
	for _, r := range c.gangRacks(now, s, func(rackFit) bool { return true }) {
		if c.reserveForGangOn(now, s, r) {
			c.keepHold(now, s)
			return
		}
	}
}

// keepHold updates when a gang with reserved capacity is expected to start. It drops the
// reservations if that takes too long.
func (c *Core) keepHold(now time.Time, s *step) {
	service := s.occ.job.queue.Service
	wait := c.reservedWait(now, s)
	if wait > gangReservationTTL {
		c.cfg.Logger.Info("capacity is no longer kept for a gang", "job", s.occ.job.spec.ID, "expected_ms", wait.Milliseconds())
		dropReservations(s.tasks)
		delete(c.holds, service)
		return
	}
	c.holds[service] = &hold{step: s, startsAt: now.Add(wait), round: c.index.round}
}

// reserveForGangOn reserves capacity for a gang on the workers of a rack, or on any if rack
// is nil. It reports whether all tasks fit and are expected to start in time.
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
			if wait := c.estimateWait(now, w, w.free(level), need); wait <= gangReservationTTL {
				candidates = append(candidates, option{w, wait})
			}
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
	wait := c.reservedWait(now, s)
	if wait > gangReservationTTL {
		dropReservations(s.tasks)
		return false
	}
	c.cfg.Logger.Info("capacity is kept for a gang", "job", s.occ.job.spec.ID, "tasks", len(s.tasks), "rack", rack.String(),
		"waited_ms", now.Sub(s.readySince).Milliseconds(), "expected_ms", wait.Milliseconds())
	return true
}

// reservedWait estimates how long it takes until all capacity that is reserved for a step is
// free.
func (c *Core) reservedWait(now time.Time, s *step) time.Duration {
	reserved := map[*worker]Resources{}
	for _, t := range s.tasks {
		w := t.reservation.worker
		reserved[w] = reserved[w].plus(t.reservation.demand)
	}
	longest := time.Duration(0)
	for w, demand := range reserved {
		longest = max(longest, c.estimateWait(now, w, w.info.Capacity.minus(w.used), demand))
	}
	return longest
}

// estimateWait estimates how long it takes until need is free on a worker that has free at
// present.
func (c *Core) estimateWait(now time.Time, w *worker, free, need Resources) time.Duration {
	if free.Fits(need) {
		return 0
	}
	type end struct {
		demand Resources
		in     time.Duration
	}
	ends := make([]end, 0, len(w.runs))
	for _, r := range w.sortedRuns() {
		ends = append(ends, end{r.demand, c.expectedRemaining(now, r)})
	}
	sort.SliceStable(ends, func(i, k int) bool { return ends[i].in < ends[k].in })
	for _, e := range ends {
		free = free.plus(e.demand)
		if free.Fits(need) {
			return e.in
		}
	}
	return neverFree
}

// expectedRemaining estimates how long a run still takes. A run that has taken longer than
// expected and doesn't report its progress is taken to need as long again as it is late.
func (c *Core) expectedRemaining(now time.Time, r *run) time.Duration {
	switch {
	case r.task == nil || !r.stopOrderedAt.IsZero():
		return unknownRunTime
	case r.task.step.spec.LongRunning:
		return neverFree
	}
	if remaining, ok := r.remaining(now); ok {
		return max(remaining, 0)
	}
	expected := c.expectedRunTime(r.task.step)
	if r.runningSince.IsZero() {
		return expected
	}
	left := expected - now.Sub(r.runningSince)
	return max(left, -left)
}

// mayUseHold reports whether the step may use capacity that is reserved for a gang: it is
// expected to end before the gang starts, or it must start.
func (c *Core) mayUseHold(now time.Time, s *step) bool {
	h := c.holds[s.occ.job.queue.Service]
	if h == nil || h.step == s {
		return false
	}
	if s.mustStart {
		return true
	}
	expected := max(c.expectedRunTime(s), s.spec.Estimate)
	return !s.spec.LongRunning && !now.Add(expected).After(h.startsAt)
}

// reservationLevel is the level of the step's reservations, and the one up to which it leaves
// reserved capacity alone. Capacity is held for gangs of other levels than the urgent ones only.
func (s *step) reservationLevel() int {
	if s.usesHold {
		return min(s.occ.job.level, levelUrgent)
	}
	return s.occ.job.level
}

// updateIdleServices notes since when under idleShare of a service's capacity has been in use.
func (c *Core) updateIdleServices(now time.Time) {
	c.refresh()
	for service, sum := range c.index.totals {
		if !sum.idle() {
			delete(c.idleSince, service)
		} else if c.idleSince[service].IsZero() {
			c.idleSince[service] = now
		}
	}
}

// idle reports whether under idleShare of the registered capacity is in use, whatever the kind
// of resource.
func (u *usableCapacity) idle() bool {
	under := func(used, registered int64) bool {
		return float64(used) < idleShare*float64(registered) || registered == 0
	}
	return under(u.used.CPU, u.registered.CPU) && under(u.used.Memory, u.registered.Memory) && under(u.used.Accelerators, u.registered.Accelerators)
}

// mustStart reports whether the step must start if it fits anywhere: its job has had nothing
// running for maxIdleWait while the service was idle or, whatever the load, the step has a task
// that runs until it is cancelled and has waited as long.
func (c *Core) mustStart(now time.Time, s *step) bool {
	waitedSince := func(since time.Time) bool { return !since.IsZero() && now.Sub(since) >= maxIdleWait }
	if !waitedSince(s.readySince) {
		return false
	}
	if s.spec.LongRunning {
		for _, t := range s.tasks {
			if t.phase == waiting && t.activeRun == nil && now.Sub(t.waitingSince) >= maxIdleWait {
				return true
			}
		}
		return false
	}
	return waitedSince(c.idleSince[s.occ.job.queue.Service]) && !s.occ.job.hasRuns()
}

// logIfIdle logs at intervals what keeps workers from running a step that must start and has not.
func (c *Core) logIfIdle(now time.Time, s *step) {
	if now.Before(c.nextIdleLog) || s.occ.job.hasRuns() {
		return
	}
	c.nextIdleLog = now.Add(idleLogInterval)
	ft := c.fitTableFor(s)
	n := map[string]int{}
	for _, w := range c.sortedWorkers {
		if w.info.Service == ft.service {
			n[w.condition(now, c.cfg.ReportTimeout)]++
		}
	}
	c.cfg.Logger.Info("job waits in an idle service", "job", s.occ.job.spec.ID, "step", s.index, "waited_ms", now.Sub(s.readySince).Milliseconds(),
		"tasks", len(s.tasks)-s.done, "gang", s.spec.Gang, "fits", ft.total.fitFree, "fits_empty", ft.total.fitEmpty, "rack", s.spec.Rack, "label", s.spec.Label,
		"usable", n[workerUsable], "unlisted", n[workerUnlisted], "unsynced", n[workerUnsynced], "draining", n[workerDraining],
		"unknown_runs", n[workerUnknownRuns], "suspended", n[workerSuspended], "quarantined", n[workerQuarantined], "silent", n[workerSilent])
}

// hasRuns reports whether any task of the job has a run.
func (j *job) hasRuns() bool {
	for _, o := range j.occs {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.activeRun != nil {
					return true
				}
			}
		}
	}
	return false
}
