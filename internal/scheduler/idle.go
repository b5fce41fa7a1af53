package scheduler

import "time"

const (
	// idleShare is the share of a service's capacity under which it counts as idle, and
	// maxIdleWait how long a job with nothing running is kept from free capacity of an idle
	// service. The users' limit is three seconds.
	idleShare   = 0.5
	maxIdleWait = 2 * time.Second
	// idleLogInterval is the minimum time between two lines about jobs that wait in an idle
	// service.
	idleLogInterval = time.Second
)

// idleTimes is since when a service has been idle, zero if it is not: by each kind of resource, and by
// all kinds together, weighed as in core-seconds of work.
type idleTimes struct{ cpu, memory, accelerators, together time.Time }

// eachKind returns since when the service has been idle whatever the kind of resource.
func (t idleTimes) eachKind() time.Time {
	if t.cpu.IsZero() || t.memory.IsZero() || t.accelerators.IsZero() {
		return time.Time{}
	}
	return later(later(t.cpu, t.memory), t.accelerators)
}

// forNeed returns since when the service has been idle by the kind of resource that makes up the largest
// part of the need in core equivalents.
func (t idleTimes) forNeed(need Resources) time.Time {
	if (Resources{Accelerators: need.Accelerators}).coreEquivalents() > (Resources{CPU: need.CPU}).coreEquivalents() {
		return t.accelerators
	}
	return t.cpu
}

// updateIdleServices notes since when services have been idle.
func (c *Core) updateIdleServices(now time.Time) {
	c.refresh()
	for service, sum := range c.index.totals {
		idle, used, all := c.idleSince[service], sum.used, sum.registered
		next := idleTimes{
			cpu:          continued(idle.cpu, isIdle(used.CPU, all.CPU), now),
			memory:       continued(idle.memory, isIdle(used.Memory, all.Memory), now),
			accelerators: continued(idle.accelerators, isIdle(used.Accelerators, all.Accelerators), now),
		}
		together := used.coreEquivalents() < idleShare*all.coreEquivalents() || !next.eachKind().IsZero()
		next.together = continued(idle.together, together, now)
		c.idleSince[service] = next
	}
}

// isIdle reports whether under idleShare of an amount is in use, or there is nothing.
func isIdle(used, all int64) bool { return float64(used) < idleShare*float64(all) || all == 0 }

// continued returns since when a condition has held that held since the given time, zero if it did
// not, and that now holds or not.
func continued(since time.Time, holds bool, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case since.IsZero():
		return now
	}
	return since
}

// startRight tells what a step that has waited too long may do to start.
type startRight struct {
	anywhere    bool // disregards the preferred rack and headroom
	inReserved  bool // uses capacity that is reserved for gangs
	quarantined bool // uses workers in quarantine, but prefers others
}

// startRightOf returns what the step may do to start. Its job must have had nothing running for
// maxIdleWait, whatever the scheduler counts as running, while the service was idle. A task that runs
// until it is cancelled counts by itself, whatever the load.
func (c *Core) startRightOf(now time.Time, s *step) startRight {
	waitedSince := func(since time.Time) bool { return !since.IsZero() && now.Sub(since) >= maxIdleWait }
	if !waitedSince(s.turnAt) {
		return startRight{}
	}
	if s.spec.LongRunning {
		for _, t := range s.tasks {
			if t.mayRun() && now.Sub(t.history().listedAt) >= maxIdleWait {
				return startRight{anywhere: true, inReserved: true}
			}
		}
		return startRight{}
	}
	idle := c.idleSince[s.occ.job.queue.Service]
	if now.Sub(s.occ.job.history.listedAt) < maxIdleWait || !waitedSince(idle.together) {
		return startRight{}
	}
	if waitedSince(idle.eachKind()) {
		return startRight{anywhere: true, inReserved: true}
	}
	if c.hasAmpleRoom(s) {
		return startRight{anywhere: true}
	}
	// A service that is short of another kind of resource may leave what is reserved idle. One that is
	// short of what the step needs most would give it away each time a part becomes free.
	if !waitedSince(idle.forNeed(s.spec.demand())) {
		return startRight{}
	}
	s.backfills = true
	defer func() { s.backfills = false }()
	ample := c.hasAmpleRoom(s)
	return startRight{anywhere: ample, inReserved: ample}
}

// ampleRoomFactor is how many times a task, or all tasks of a gang, must fit into free capacity for
// its step to have ample room.
const ampleRoomFactor = 2

// hasAmpleRoom reports whether there is room several times over for what the step starts together.
// Workers in quarantine count, as the limit on how long a job may wait does not except them, and so
// does what is reserved for the step itself.
func (c *Core) hasAmpleRoom(s *step) bool {
	together := 1
	if s.spec.Gang {
		together = len(s.tasks)
	}
	s.inQuarantined = c.index.quarantined > 0
	var own []*reservation
	if s.spec.Gang {
		own = s.removeReservations()
	}
	defer func() {
		s.inQuarantined = false
		s.restoreReservations(own)
	}()
	return c.fitTableFor(s).total.fitFree >= int64(ampleRoomFactor*together)
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
		"usable", n[workerUsable], "unlisted", n[workerUnlisted], "unsynced", n[workerUnsynced], "outdated", n[workerOutdated], "draining", n[workerDraining],
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
