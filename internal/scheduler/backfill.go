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
	// unknownRunTime is how long a run is assumed to take that is being stopped or whose task is
	// unknown.
	unknownRunTime = time.Second
	// neverFree is the expected wait for capacity that no running work will free.
	neverFree = 365 * 24 * time.Hour
)

// gangReservation is the capacity that is reserved for a gang until the work that occupies a part of
// it has ended. Each service has one at most: gangs with reservations for parts of a pool would wait
// for each other.
type gangReservation struct {
	step     *step
	startsAt time.Time // when the gang is expected to start
	round    int64     // last round in which the gang was scheduled
}

// removeStaleGangReservations removes those of gangs that no longer wait for reserved capacity.
func (c *Core) removeStaleGangReservations() {
	for service, h := range c.gangReservations {
		if h.step.tasks[0].reservation == nil {
			delete(c.gangReservations, service)
		}
	}
}

// reserveForGang reserves capacity for a gang on the workers that are expected to be free soonest,
// without stopping anything. The reservation of a gang that comes later in the order ends, unless there
// is no room for this one all the same.
func (c *Core) reserveForGang(now time.Time, s *step) {
	service := s.occ.job.queue.Service
	h := c.gangReservations[service]
	var replaced []*reservation
	if h != nil && h.step != s {
		if h.round == c.index.round {
			return
		}
		replaced = h.step.removeReservations()
		delete(c.gangReservations, service)
	}
	s.backfills = false // its own reservation has the level of its job
	for _, r := range c.gangRacks(now, s, func(rackFit) bool { return true }) {
		if c.reserveForGangOn(now, s, r) {
			c.updateGangReservation(now, s)
			return
		}
	}
	if replaced != nil {
		h.step.restoreReservations(replaced)
		c.gangReservations[service] = h
	}
}

// updateGangReservation updates when a gang with reserved capacity is expected to start. It drops the
// reservations if that takes too long.
func (c *Core) updateGangReservation(now time.Time, s *step) {
	service := s.occ.job.queue.Service
	wait := c.reservedWait(now, s)
	if wait > gangReservationTTL {
		c.cfg.Logger.Info("capacity is no longer kept for a gang", "job", s.occ.job.spec.ID, "expected_ms", wait.Milliseconds())
		dropReservations(s.tasks)
		delete(c.gangReservations, service)
		return
	}
	c.gangReservations[service] = &gangReservation{step: s, startsAt: now.Add(wait), round: c.index.round}
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
		if w.info.Capacity.Minus(w.reserved(level)).Fits(need) {
			if wait := c.estimateWait(now, w, w.free(level), need); wait <= gangReservationTTL {
				candidates = append(candidates, option{w, wait})
			}
		}
	}
	sort.SliceStable(candidates, func(i, k int) bool { return candidates[i].wait < candidates[k].wait })
	i := 0
	for _, t := range s.tasks {
		for i < len(candidates) && (!candidates[i].w.info.Capacity.Minus(candidates[i].w.reserved(level)).Fits(need) || !s.spreadAllows(candidates[i].w)) {
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
		reserved[w] = reserved[w].Plus(t.reservation.demand)
	}
	longest := time.Duration(0)
	for w, demand := range reserved {
		longest = max(longest, c.estimateWait(now, w, w.info.Capacity.Minus(w.used), demand))
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
		free = free.Plus(e.demand)
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
	case r.stopOverdue, r.awaitsJob:
		return neverFree
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

// mayBackfill reports whether the step may use capacity that is reserved for a gang: it is
// expected to end before the gang starts, or it has waited too long.
func (c *Core) mayBackfill(now time.Time, s *step) bool {
	h := c.gangReservations[s.occ.job.queue.Service]
	if h == nil || h.step == s {
		return false
	}
	if s.right.inReserved {
		return true
	}
	expected := max(c.expectedRunTime(s), s.spec.Estimate)
	return !s.spec.LongRunning && !now.Add(expected).After(h.startsAt)
}

// reservationLevel is the level of the step's reservations, and the one up to which it leaves
// reserved capacity alone. Gang reservations never have an urgent level, as urgent gangs have other
// work stopped instead.
func (s *step) reservationLevel() int {
	if s.backfills {
		return min(s.occ.job.level, levelUrgent)
	}
	return s.occ.job.level
}
