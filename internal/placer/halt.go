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
const minLeft = 0.001

// victim is a spare gang that has to give way.
type victim struct {
	id    string
	seats []seat
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
		out = append(out, victim{id: id, seats: p.seatsOf(id, j.status.Generation, j.members)})
		p.reclaims++
		metric.Count("placer_reclaims_total")
	}
	return out
}

// seatsOf lists the seats of a generation of a job on those workers that are known.
func (p *Placer) seatsOf(id string, generation uint64, workers []string) []seat {
	var out []seat
	for _, name := range workers {
		if p.workers[name] != nil {
			out = append(out, p.seat(name, worker.Lease{Job: id, Generation: generation}))
		}
	}
	return out
}

// evict moves the jobs out in the background. They wait again once they have stopped.
func (p *Placer) evict(ids []string, now time.Time) {
	victims := p.victims(ids)
	began := p.since
	go func() {
		err := p.reclaim(victims, now.Add(p.cfg.Checkpoint))
		p.post(func() { p.onReclaimed(victims, err == nil, began) })
	}()
}

// reclaim lets the victims save their work until the deadline and stops them.
// A worker that does not confirm in time fails the launch.
func (p *Placer) reclaim(victims []victim, deadline time.Time) error {
	begun := time.Now()
	errs := make([]error, len(victims))
	var wg sync.WaitGroup
	for i, v := range victims {
		wg.Go(func() {
			victims[i].saved = p.checkpoint(v, deadline)
			errs[i] = p.stopSeats(v.seats)
		})
	}
	wg.Wait()
	if len(victims) > 0 {
		metric.Observe("placer_reclaim_seconds", begun)
	}
	return errors.Join(errs...)
}

// checkpoint reports whether all members saved their work in time.
func (p *Placer) checkpoint(v victim, deadline time.Time) bool {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	errs := each(v.seats, func(s seat) error {
		return s.client.Checkpoint(ctx, s.fence, s.lease.Job, s.lease.Generation)
	})
	return errors.Join(errs...) == nil
}

// stopSeats stops the gang's members, and tells the placer about each worker
// that did not confirm.
func (p *Placer) stopSeats(seats []seat) error {
	errs := each(seats, p.stop)
	p.reportUnknown(seats, errs)
	err := errors.Join(errs...)
	if errors.Is(err, worker.ErrFenced) {
		p.post(func() { p.onFenced(seats) })
	}
	return err
}

func (p *Placer) stop(s seat) error {
	return s.stops.do(s.client, s.fence, worker.Stop{Job: s.lease.Job, Generation: s.lease.Generation})
}

// reportUnknown marks the workers whose state is not known for certain.
func (p *Placer) reportUnknown(seats []seat, errs []error) {
	var names []string
	for i, err := range errs {
		if troubled(err) {
			names = append(names, seats[i].name)
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
			w.visitAt(time.Now())
			p.avoid(w, time.Now())
		}
	}
}

// undo stops all seats after a failed launch. It returns the workers on which a
// member may have started and did not confirm the stop.
func (p *Placer) undo(seats []seat, started []error) []string {
	stopped := each(seats, p.stop)
	p.reportUnknown(seats, stopped)
	var loose []string
	for i, s := range seats {
		if len(started) > 0 && mayHaveActed(started[i]) && stopped[i] != nil {
			loose = append(loose, s.name)
		}
	}
	return loose
}

// onReclaimed lets the victims wait again.
func (p *Placer) onReclaimed(victims []victim, stopped bool, began time.Time) {
	now := time.Now()
	if !p.leading || !began.Equal(p.since) {
		return
	}
	for _, v := range victims {
		j := p.jobs[v.id]
		if j == nil || !j.evicting {
			continue
		}
		ran := now.Sub(j.status.Started).Seconds()
		if v.saved {
			j.saved += ran
		} else {
			metric.Add("placer_work_lost_accelerator_seconds_total", ran*float64(j.accelerators()))
		}
		if stopped {
			p.free(v.id)
			j.members = nil
		}
		p.requeue(j, "reclaimed")
	}
}

// halt is what is known of the former generations of a job: the stops under way
// and, where one was not confirmed, when the last lease has lapsed.
type halt struct {
	stops int
	until time.Time
	// clearing is set if the job is over and its place is to be freed.
	clearing bool
}

// halted reports whether a former generation of the job may still run.
func (p *Placer) halted(id string, now time.Time) bool {
	h := p.halts[id]
	if h == nil {
		return false
	}
	if h.stops > 0 {
		return true
	}
	if now.Before(h.until) {
		p.pauseUntil(h.until)
		return true
	}
	delete(p.halts, id)
	return false
}

func (p *Placer) haltOf(id string) *halt {
	h := p.halts[id]
	if h == nil {
		h = &halt{}
		p.halts[id] = h
	}
	return h
}

// stopGang stops the job's members in the background. The job does not start
// again before all have confirmed or their leases have lapsed.
func (p *Placer) stopGang(j *job) {
	p.stopMembers(j.status.Job.ID, j.status.Generation, j.members)
}

// clear stops the members of a job that is over. Others get its place once all have
// confirmed, so that no worker is asked for what it has not released yet.
func (p *Placer) clear(j *job) {
	p.stopGang(j)
	if h := p.halts[j.status.Job.ID]; h != nil && h.stops > 0 {
		h.clearing = true
		return
	}
	p.free(j.status.Job.ID)
}

// stopMembers stops a generation of a job on the workers.
func (p *Placer) stopMembers(id string, generation uint64, workers []string) {
	seats := p.seatsOf(id, generation, workers)
	if len(seats) == 0 {
		return
	}
	begun := time.Now()
	h := p.haltOf(id)
	h.stops++
	go func() {
		err := p.stopSeats(seats)
		if err == nil {
			metric.Observe("gang_stop_seconds", begun)
		}
		p.post(func() { p.onStopped(id, h, seats, err) })
	}()
}

// onStopped lets the job start again, at once or when its leases have lapsed, or
// frees the place of one that is over.
func (p *Placer) onStopped(id string, h *halt, seats []seat, err error) {
	h.stops--
	p.dirty = true
	if h.clearing && h.stops == 0 && p.halts[id] == h {
		delete(p.halts, id)
		p.free(id)
		return
	}
	if err != nil {
		p.awaitLapse(h, seatNames(seats))
	}
}

// awaitLapse keeps a job from starting until no lease on the workers can last.
func (p *Placer) awaitLapse(h *halt, workers []string) {
	for _, name := range workers {
		if w := p.workers[name]; w != nil && w.lapse.Add(p.cfg.Drift).After(h.until) {
			h.until = w.lapse.Add(p.cfg.Drift)
		}
	}
}
