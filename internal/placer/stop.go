package placer

import (
	"context"
	"errors"
	"sync"
	"time"

	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/worker"
)

// minRemaining is the shortest remaining run time, in seconds, with which a
// reclaimed job is started again.
const minRemaining = 0.001

// victim is a spare gang that is stopped to make room for another job.
type victim struct {
	id      string
	members []member
	// saved is set if every member wrote a checkpoint in time.
	saved bool
}

// markVictims marks the jobs as being evicted and returns their gangs. Jobs that are
// already being evicted are left out.
func (p *Placer) markVictims(ids []string) []victim {
	var out []victim
	for _, id := range ids {
		j := p.jobs[id]
		if j == nil || j.evicting {
			continue
		}
		j.evicting = true
		out = append(out, victim{id: id, members: p.membersOf(id, j.status.Generation, j.workerNames)})
		p.reclaims++
		metric.Count("placer_reclaims_total")
	}
	return out
}

// membersOf returns the members of a generation of a job on the workers, leaving out
// unknown workers.
func (p *Placer) membersOf(id string, generation uint64, workers []string) []member {
	var out []member
	for _, name := range workers {
		if p.workers[name] != nil {
			out = append(out, p.member(name, worker.Lease{Job: id, Generation: generation}))
		}
	}
	return out
}

// evict stops the jobs in the background and then requeues them.
func (p *Placer) evict(ids []string, now time.Time) {
	victims := p.markVictims(ids)
	rebuild := p.rebuildStart
	go func() {
		err := p.reclaim(victims, now.Add(p.cfg.CheckpointTimeout))
		p.post(func() { p.onReclaimed(victims, err == nil, rebuild) })
	}()
}

// reclaim gives the victims until the deadline to save their work and stops them. It
// returns an error if a worker does not confirm its stop, which fails the launch that
// needs the capacity.
func (p *Placer) reclaim(victims []victim, deadline time.Time) error {
	start := time.Now()
	errs := make([]error, len(victims))
	var wg sync.WaitGroup
	for i, v := range victims {
		wg.Go(func() {
			victims[i].saved = p.checkpoint(v, deadline)
			errs[i] = p.stopMembers(v.members)
		})
	}
	wg.Wait()
	if len(victims) > 0 {
		metric.Observe("placer_reclaim_seconds", start)
	}
	return errors.Join(errs...)
}

// checkpoint asks all members to save their work, and reports whether all did so
// before the deadline.
func (p *Placer) checkpoint(v victim, deadline time.Time) bool {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	errs := callAll(v.members, func(m member) error {
		return m.client.Checkpoint(ctx, m.fence, m.lease.Job, m.lease.Generation)
	})
	return errors.Join(errs...) == nil
}

// stopMembers stops the members. Workers that did not answer are reported to the
// placer's goroutine.
func (p *Placer) stopMembers(members []member) error {
	errs := callAll(members, p.stopMember)
	p.reportUnknown(members, errs)
	err := errors.Join(errs...)
	if errors.Is(err, worker.ErrFenced) {
		p.post(func() { p.recheckIfFenced(members) })
	}
	return err
}

func (p *Placer) stopMember(m member) error {
	return m.stopper.submit(m.client, m.fence, worker.Stop{Job: m.lease.Job, Generation: m.lease.Generation})
}

// reportUnknown has the workers fenced again whose calls got no answer, since their
// state is unknown.
func (p *Placer) reportUnknown(members []member, errs []error) {
	var names []string
	for i, err := range errs {
		if unanswered(err) {
			names = append(names, members[i].name)
		}
	}
	if len(names) > 0 {
		p.post(func() { p.refence(names) })
	}
}

// refence has the workers fenced again at once, which blocks calls that are still in
// flight, and their lease tables read.
func (p *Placer) refence(names []string) {
	for _, name := range names {
		if w := p.workers[name]; w != nil && p.leading {
			metric.Count("placer_unknown_outcomes_total")
			w.unknown = true
			w.rival = true
			w.pollAt(time.Now())
			p.avoid(w, time.Now())
		}
	}
}

// undoLaunch stops all members after a failed launch. It returns the workers on which
// a member may have started and that did not confirm the stop.
func (p *Placer) undoLaunch(members []member, started []error) []string {
	stopped := callAll(members, p.stopMember)
	p.reportUnknown(members, stopped)
	var unstopped []string
	for i, m := range members {
		if len(started) > 0 && mayHaveTakenEffect(started[i]) && stopped[i] != nil {
			unstopped = append(unstopped, m.name)
		}
	}
	return unstopped
}

// onReclaimed requeues the victims.
func (p *Placer) onReclaimed(victims []victim, stopped bool, rebuild time.Time) {
	now := time.Now()
	if !p.leading || !rebuild.Equal(p.rebuildStart) {
		return
	}
	for _, v := range victims {
		j := p.jobs[v.id]
		if j == nil || !j.evicting {
			continue
		}
		runTime := now.Sub(j.status.Started).Seconds()
		if v.saved {
			j.saved += runTime
		} else {
			metric.Add("placer_work_lost_accelerator_seconds_total", runTime*float64(j.accelerators()))
		}
		if stopped {
			p.release(v.id)
			j.workerNames = nil
		}
		p.requeue(j, "reclaimed")
	}
}

// pendingStop tracks former generations of a job that may still run: the stops in
// flight and, if a stop was not confirmed, when the last lease has expired.
type pendingStop struct {
	// calls is the number of stops in flight.
	calls int
	// leasesEnd is when all leases that may not have been released have expired.
	leasesEnd time.Time
	// freeOnStop is set if the job has ended and its capacity is freed once it has
	// stopped.
	freeOnStop bool
}

// hasPendingStop reports whether a former generation of the job may still run.
func (p *Placer) hasPendingStop(id string, now time.Time) bool {
	s := p.pendingStops[id]
	if s == nil {
		return false
	}
	if s.calls > 0 {
		return true
	}
	if now.Before(s.leasesEnd) {
		p.wakeBy(s.leasesEnd)
		return true
	}
	delete(p.pendingStops, id)
	return false
}

func (p *Placer) pendingStopOf(id string) *pendingStop {
	s := p.pendingStops[id]
	if s == nil {
		s = &pendingStop{}
		p.pendingStops[id] = s
	}
	return s
}

// stopGang stops the job's members in the background. The job does not start again
// before all workers have confirmed the stop or the leases have expired.
func (p *Placer) stopGang(j *job) {
	p.stopGeneration(j.status.Job.ID, j.status.Generation, j.workerNames)
}

// stopAndRelease stops the members of a job that has ended. Its capacity is freed only after
// the stop calls have completed, so that no worker is asked for accelerators that it
// has not released yet.
func (p *Placer) stopAndRelease(j *job) {
	p.stopGang(j)
	if s := p.pendingStops[j.status.Job.ID]; s != nil && s.calls > 0 {
		s.freeOnStop = true
		return
	}
	p.release(j.status.Job.ID)
}

// stopGeneration stops one generation of a job on the workers in the background.
func (p *Placer) stopGeneration(id string, generation uint64, workers []string) {
	members := p.membersOf(id, generation, workers)
	if len(members) == 0 {
		return
	}
	start := time.Now()
	s := p.pendingStopOf(id)
	s.calls++
	go func() {
		err := p.stopMembers(members)
		if err == nil {
			metric.Observe("gang_stop_seconds", start)
		}
		p.post(func() { p.onStopped(id, s, members, err) })
	}()
}

// onStopped lets the job start again, either at once or when its leases have expired.
// If the job has ended, its capacity is freed instead.
func (p *Placer) onStopped(id string, s *pendingStop, members []member, err error) {
	s.calls--
	p.dirty = true
	if s.freeOnStop && s.calls == 0 && p.pendingStops[id] == s {
		delete(p.pendingStops, id)
		p.release(id)
		return
	}
	if err != nil {
		p.awaitLeaseEnd(s, workersOf(members))
	}
}

// awaitLeaseEnd keeps the job from starting until no lease on the workers can still
// be valid.
func (p *Placer) awaitLeaseEnd(s *pendingStop, workers []string) {
	for _, name := range workers {
		if w := p.workers[name]; w != nil && w.leaseEnd.Add(p.cfg.Drift).After(s.leasesEnd) {
			s.leasesEnd = w.leaseEnd.Add(p.cfg.Drift)
		}
	}
}
