package placer

import (
	"context"
	"errors"
	"sync"
	"time"

	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/worker"
)

// minLeft is the shortest run time that a reclaimed job starts again with, in
// seconds.
const minRemaining = 0.001

// victim is a spare gang that has to give way.
type victim struct {
	id      string
	members []member
	// saved is set if every member saved its work.
	saved bool
}

// victims marks the jobs that give way as on their way out.
func (p *Placer) victims(ids []string) []victim {
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

// seatsOf lists the seats of a generation of a job on those workers that are known.
func (p *Placer) membersOf(id string, generation uint64, workers []string) []member {
	var out []member
	for _, name := range workers {
		if p.workers[name] != nil {
			out = append(out, p.member(name, worker.Lease{Job: id, Generation: generation}))
		}
	}
	return out
}

// evict moves the jobs out in the background. They wait again once they have stopped.
func (p *Placer) evict(ids []string, now time.Time) {
	victims := p.victims(ids)
	rebuild := p.rebuildStart
	go func() {
		err := p.reclaim(victims, now.Add(p.cfg.Checkpoint))
		p.post(func() { p.onReclaimed(victims, err == nil, rebuild) })
	}()
}

// reclaim lets the victims save their work until the deadline and stops them.
// A worker that does not confirm in time fails the launch.
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

// checkpoint reports whether all members saved their work in time.
func (p *Placer) checkpoint(v victim, deadline time.Time) bool {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	errs := callAll(v.members, func(s member) error {
		return s.client.Checkpoint(ctx, s.fence, s.lease.Job, s.lease.Generation)
	})
	return errors.Join(errs...) == nil
}

// stopSeats stops the gang's members, and tells the placer about each worker
// that did not confirm.
func (p *Placer) stopMembers(members []member) error {
	errs := callAll(members, p.stopMember)
	p.reportUnknown(members, errs)
	err := errors.Join(errs...)
	if errors.Is(err, worker.ErrFenced) {
		p.post(func() { p.recheckIfFenced(members) })
	}
	return err
}

func (p *Placer) stopMember(s member) error {
	return s.stopper.submit(s.client, s.fence, worker.Stop{Job: s.lease.Job, Generation: s.lease.Generation})
}

// reportUnknown marks the workers whose state is not known for certain.
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

// refence has the workers fenced again at once, which shuts out calls that are
// still under way, and their tables read.
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

// undo stops all seats after a failed launch. It returns the workers on which a
// member may have started and did not confirm the stop.
func (p *Placer) undoLaunch(members []member, started []error) []string {
	stopped := callAll(members, p.stopMember)
	p.reportUnknown(members, stopped)
	var unstopped []string
	for i, s := range members {
		if len(started) > 0 && mayHaveTakenEffect(started[i]) && stopped[i] != nil {
			unstopped = append(unstopped, s.name)
		}
	}
	return unstopped
}

// onReclaimed lets the victims wait again.
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

// halt is what is known of the former generations of a job: the stops under way
// and, where one was not confirmed, when the last lease has lapsed.
type pendingStop struct {
	calls     int
	leasesEnd time.Time
	// clearing is set if the job is over and its place is to be freed.
	freeOnStop bool
}

// halted reports whether a former generation of the job may still run.
func (p *Placer) mayStillRun(id string, now time.Time) bool {
	h := p.pendingStops[id]
	if h == nil {
		return false
	}
	if h.calls > 0 {
		return true
	}
	if now.Before(h.leasesEnd) {
		p.wakeBy(h.leasesEnd)
		return true
	}
	delete(p.pendingStops, id)
	return false
}

func (p *Placer) pendingStopOf(id string) *pendingStop {
	h := p.pendingStops[id]
	if h == nil {
		h = &pendingStop{}
		p.pendingStops[id] = h
	}
	return h
}

// stopGang stops the job's members in the background. The job does not start
// again before all have confirmed or their leases have lapsed.
func (p *Placer) stopGang(j *job) {
	p.stopGeneration(j.status.Job.ID, j.status.Generation, j.workerNames)
}

// clear stops the members of a job that is over. Others get its place once all have
// confirmed, so that no worker is asked for what it has not released yet.
func (p *Placer) clear(j *job) {
	p.stopGang(j)
	if h := p.pendingStops[j.status.Job.ID]; h != nil && h.calls > 0 {
		h.freeOnStop = true
		return
	}
	p.release(j.status.Job.ID)
}

// stopMembers stops a generation of a job on the workers.
func (p *Placer) stopGeneration(id string, generation uint64, workers []string) {
	members := p.membersOf(id, generation, workers)
	if len(members) == 0 {
		return
	}
	start := time.Now()
	h := p.pendingStopOf(id)
	h.calls++
	go func() {
		err := p.stopMembers(members)
		if err == nil {
			metric.Observe("gang_stop_seconds", start)
		}
		p.post(func() { p.onStopped(id, h, members, err) })
	}()
}

// onStopped lets the job start again, at once or when its leases have lapsed, or
// frees the place of one that is over.
func (p *Placer) onStopped(id string, h *pendingStop, members []member, err error) {
	h.calls--
	p.dirty = true
	if h.freeOnStop && h.calls == 0 && p.pendingStops[id] == h {
		delete(p.pendingStops, id)
		p.release(id)
		return
	}
	if err != nil {
		p.awaitLeaseEnd(h, workersOf(members))
	}
}

// awaitLapse keeps a job from starting until no lease on the workers can last.
func (p *Placer) awaitLeaseEnd(h *pendingStop, workers []string) {
	for _, name := range workers {
		if w := p.workers[name]; w != nil && w.leaseEnd.Add(p.cfg.Drift).After(h.leasesEnd) {
			h.leasesEnd = w.leaseEnd.Add(p.cfg.Drift)
		}
	}
}
