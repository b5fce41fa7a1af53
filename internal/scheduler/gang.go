package scheduler

import (
	"math"
	"time"
)

// scheduleGang starts a gang as a whole if it can. It reports whether capacity is
// kept for it until running work ends.
func (c *Core) scheduleGang(now time.Time, s *step, mayReserve bool) bool {
	for _, t := range s.tasks {
		if t.phase != waiting || t.live != nil {
			return false
		}
	}
	if s.tasks[0].plan != nil {
		if c.startPlanned(now, s.tasks) {
			return false
		}
		if s.tasks[0].plan != nil && s.occ.job.level <= levelUrgent {
			c.stopPlanned(now, s.tasks)
		}
	}
	plans := s.takePlans()
	s.rack = ""
	if workers := c.fitGang(now, s); workers != nil {
		number := nextRun(s.tasks)
		for i, t := range s.tasks {
			c.start(now, t, workers[i], number)
		}
		return false
	}
	if plans != nil {
		for i, t := range s.tasks {
			t.setPlan(plans[i].worker, plans[i].until)
		}
		return true
	}
	if s.occ.job.queue.Priority == 0 {
		c.planUrgent(now, s.tasks, "")
		return false
	}
	if mayReserve && now.Sub(s.since) > reserveAfter {
		return c.reserve(now, s)
	}
	return false
}

// fitGang finds workers for a gang in free capacity. Of several racks it takes the one
// with the least capacity left, so that others stay free for large gangs.
func (c *Core) fitGang(now time.Time, s *step) []*worker {
	var best []*worker
	least := int64(math.MaxInt64)
	for _, rack := range c.gangRacks(now, s) {
		if rack == "" && best != nil {
			break
		}
		workers := c.fitAll(now, s, rack)
		if workers == nil {
			continue
		}
		if left := c.rackFree(now, rack, s.occ.job.level); left < least {
			best, least = workers, left
		}
	}
	return best
}

// rackFree sums the free accelerators of a rack, or of all workers.
func (c *Core) rackFree(now time.Time, rack string, level int) int64 {
	n := int64(0)
	for _, w := range c.in(rack) {
		if w.usable(now, c.cfg.Silence) {
			n += max(w.free(level).Accelerators, 0)
		}
	}
	return n
}

// takePlans drops the plans of a gang's tasks and returns them, or nil if there
// are none.
func (s *step) takePlans() []*plan {
	if s.tasks[0].plan == nil {
		return nil
	}
	plans := make([]*plan, len(s.tasks))
	for i, t := range s.tasks {
		plans[i] = t.plan
		t.dropPlan()
	}
	return plans
}

// gangRacks lists the racks to try for a gang, best first; empty stands for any
// workers.
func (c *Core) gangRacks(now time.Time, s *step) []string {
	if s.spec.Rack != "" {
		if now.Sub(s.since) > c.patience(s) || len(c.racks[s.spec.Rack]) == 0 {
			return []string{s.spec.Rack, ""}
		}
		return []string{s.spec.Rack}
	}
	if !s.spec.Tight {
		return []string{""}
	}
	racks := make([]string, 0, len(c.racks)+1)
	possible := false
	for _, rack := range c.rackNames {
		if c.rackHolds(s, rack) {
			possible = true
			racks = append(racks, rack)
		}
	}
	if !possible || now.Sub(s.since) > c.patience(s) {
		racks = append(racks, "")
	}
	return racks
}

// rackHolds reports whether an empty rack would hold all of the step's tasks.
func (c *Core) rackHolds(s *step, rack string) bool {
	n := int64(0)
	for _, w := range c.racks[rack] {
		if s.suits(w) {
			n += times(w.info.Capacity, s.spec.demand())
		}
	}
	return n >= int64(len(s.tasks))
}

// fitAll finds a worker for each task of the step in free capacity, or returns nil.
func (c *Core) fitAll(now time.Time, s *step, rack string) []*worker {
	need := s.spec.demand().Accelerators * int64(len(s.tasks))
	if need > 0 && c.rackFree(now, rack, s.occ.job.level) < need {
		return nil
	}
	// What the gang itself has been given makes nothing full for others.
	c.planning = true
	defer func() { c.planning = false }()
	out := make([]*worker, 0, len(s.tasks))
	for _, t := range s.tasks {
		w := c.choose(now, t, rack)
		if w == nil {
			break
		}
		out = append(out, w)
		t.setPlan(w, now)
	}
	dropPlans(s.tasks)
	if len(out) < len(s.tasks) {
		return nil
	}
	return out
}
