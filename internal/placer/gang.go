package placer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/cell"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/worker"
	"rhubarbshore/pkg/api"
)

// minLeft is the shortest run time that a reclaimed job starts again with, in
// seconds.
const minLeft = 0.001

// firstLook is the time after which a gang's workers are first asked how it
// does.
const firstLook = 500 * time.Millisecond

// errLate is returned by a launch that was too slow to be sure of its holds.
var errLate = errorx.NewType(namespace, "late").New("the holds may have lapsed")

// seat is one worker's part in a gang.
type seat struct {
	name   string
	client Worker
	fence  worker.Fence
	lease  worker.Lease
}

// victim is a spare gang that has to make room.
type victim struct {
	id    string
	seats []seat
	// saved is set if every member saved its work.
	saved bool
}

// launch carries a placement out on the workers.
func (p *Placer) launch(j *job, placement cell.Placement, now time.Time) {
	j.status.State = api.Starting
	j.status.Reason = ""
	j.launching = true
	j.status.Class = string(placement.Class)
	j.status.Generation = uint64(now.UnixNano())
	j.refs = p.refs(placement)
	seats := p.seats(j, placement)
	j.members = seatNames(seats)
	j.seats = seats
	j.status.Workers = j.members
	if p.abortStarting(placement.Evict) {
		j.launching = false
		j.members = nil
		p.requeue(j, "reclaim")
		j.notBefore = now.Add(firstBackOff)
		return
	}
	victims := p.victims(placement.Evict)
	began := p.since
	generation := j.status.Generation
	go func() {
		err := p.reclaim(victims, now.Add(p.cfg.Checkpoint))
		stopped := err == nil
		p.post(func() { p.onReclaimed(victims, stopped, began) })
		var loose []string
		if err == nil {
			loose, err = p.startGang(seats)
		}
		p.post(func() {
			if p.office && began.Equal(p.since) && j.status.Generation == generation {
				j.launching = false
				p.onLaunched(j, loose, err)
			}
		})
	}()
}

// abortStarting tells launches under way that they have to make room. Their
// calls are still on their way to the workers, so that only they can end them.
func (p *Placer) abortStarting(ids []string) bool {
	found := false
	for _, id := range ids {
		if j := p.jobs[id]; j != nil && j.launching {
			j.abort = "reclaimed"
			found = true
		}
	}
	return found
}

// refs names the placement's cells independently of this process.
func (p *Placer) refs(placement cell.Placement) []worker.Part {
	var out []worker.Part
	for _, part := range placement.Parts {
		ref := worker.Part{Cell: p.ref(part.Cell)}
		if part.Home >= 0 {
			home := p.ref(part.Home)
			ref.Home = &home
		}
		out = append(out, ref)
	}
	return out
}

func (p *Placer) ref(id cell.ID) worker.Ref {
	s := p.tree.First(id)
	return worker.Ref{Level: p.tree.LevelOf(id), Worker: s.Worker, Index: s.Index}
}

// seats groups the placement's accelerators by worker.
func (p *Placer) seats(j *job, placement cell.Placement) []seat {
	slots := map[string][]int{}
	total := 0
	for _, part := range placement.Parts {
		for _, s := range p.tree.Slots(part.Cell) {
			slots[s.Worker] = append(slots[s.Worker], s.Index)
			total++
		}
	}
	names := sortedNames(slots)
	var out []seat
	for _, name := range names {
		l := worker.Lease{
			Job: j.status.Job.ID, Generation: j.status.Generation, Customer: j.status.Job.Customer,
			Class: j.status.Class, Wanted: j.status.Job.Class, Durable: j.status.Durable, Worth: j.status.Job.Worth, Tasks: j.status.Job.Tasks,
			Parts: j.refs, Members: names, Accelerators: slots[name],
			Spec: worker.Spec{Tasks: j.status.Job.Tasks * len(slots[name]) / total, Seconds: j.left, Command: j.status.Job.Command},
		}
		out = append(out, p.seat(name, l))
	}
	return out
}

func (p *Placer) seat(name string, l worker.Lease) seat {
	w := p.workers[name]
	return seat{name: name, client: w.client, fence: p.fenceOf(w), lease: l}
}

func seatNames(seats []seat) []string {
	var out []string
	for _, s := range seats {
		out = append(out, s.name)
	}
	return out
}

// victims marks the jobs that make room as on their way out.
func (p *Placer) victims(ids []string) []victim {
	var out []victim
	for _, id := range ids {
		j := p.jobs[id]
		if j == nil || j.evicting {
			continue
		}
		j.evicting = true
		v := victim{id: id}
		for _, name := range j.members {
			if p.workers[name] != nil {
				v.seats = append(v.seats, p.seat(name, worker.Lease{Job: id, Generation: j.status.Generation}))
			}
		}
		out = append(out, v)
		p.reclaims++
		metric.Count("placer_reclaims_total")
	}
	return out
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

// each calls f for all seats at once and returns their errors by seat.
func each(seats []seat, f func(s seat) error) []error {
	errs := make([]error, len(seats))
	var wg sync.WaitGroup
	for i, s := range seats {
		wg.Go(func() { errs[i] = f(s) })
	}
	wg.Wait()
	return errs
}

// stopSeats stops the gang's members, and tells the placer about each worker
// that did not confirm.
func (p *Placer) stopSeats(seats []seat) error {
	errs := each(seats, p.stop)
	p.reportDoubt(seats, errs, func(err error) bool { return err != nil })
	return errors.Join(errs...)
}

func (p *Placer) stop(s seat) error {
	ctx, cancel := call(callTimeout)
	defer cancel()
	return s.client.Stop(ctx, s.fence, s.lease.Job, s.lease.Generation)
}

// reportDoubt marks the workers whose state is not known for certain.
func (p *Placer) reportDoubt(seats []seat, errs []error, matters func(err error) bool) {
	var names []string
	for i, err := range errs {
		if matters(err) {
			names = append(names, seats[i].name)
		}
	}
	if len(names) > 0 {
		p.post(func() { p.doubt(names) })
	}
}

// doubt has the workers fenced again at once, which shuts out calls that are
// still under way, and their tables read.
func (p *Placer) doubt(names []string) {
	for _, name := range names {
		if w := p.workers[name]; w != nil && p.office {
			metric.Count("placer_doubts_total")
			w.doubt = true
			w.next = time.Now()
			p.avoid(w, time.Now())
		}
	}
}

// startGang holds all seats, and starts them only if every hold was granted
// with time to spare; else it releases all. With an error it returns the workers
// on which a member may run all the same.
func (p *Placer) startGang(seats []seat) ([]string, error) {
	begun := time.Now()
	err := p.hold(seats)
	if err == nil && !p.cfg.Unsafe.NoRecheck && time.Since(begun) > p.cfg.Hold/2 {
		err = errLate
	}
	var errs []error
	if err == nil {
		errs = each(seats, p.start)
		err = errors.Join(errs...)
	}
	if err == nil {
		metric.Observe("gang_start_seconds", begun)
		return nil, nil
	}
	p.reportDoubt(seats, errs, troubled)
	return p.undo(seats, errs), err
}

// undo stops all seats after a failed launch. It returns the workers on which a
// member may have started and did not confirm the stop.
func (p *Placer) undo(seats []seat, started []error) []string {
	stopped := each(seats, p.stop)
	p.reportDoubt(seats, stopped, func(err error) bool { return err != nil })
	var loose []string
	for i, s := range seats {
		begun := len(started) > 0 && !errors.Is(started[i], worker.ErrUnsent) && !errors.Is(started[i], worker.ErrRefused) && !errors.Is(started[i], worker.ErrFenced)
		if begun && stopped[i] != nil {
			loose = append(loose, s.name)
		}
	}
	return loose
}

func (p *Placer) hold(seats []seat) error {
	if p.cfg.Unsafe.NoHold {
		each(seats, p.holdOne)
		return nil
	}
	errs := each(seats, p.holdOne)
	p.reportDoubt(seats, errs, troubled)
	return errors.Join(errs...)
}

func (p *Placer) holdOne(s seat) error {
	ctx, cancel := call(callTimeout)
	defer cancel()
	return s.client.Hold(ctx, s.fence, s.lease, p.cfg.Hold)
}

func (p *Placer) start(s seat) error {
	ctx, cancel := call(callTimeout)
	defer cancel()
	return s.client.Start(ctx, s.fence, s.lease.Job, s.lease.Generation, p.cfg.Term)
}

// fencedByOther reports whether a worker of the gang refused this placer's
// newest fence, and not one that it has raised itself meanwhile.
func (p *Placer) fencedByOther(j *job) bool {
	for _, s := range j.seats {
		if w := p.workers[s.name]; w != nil && w.fenced && !w.doubt && s.fence == p.fenceOf(w) {
			return true
		}
	}
	return false
}

// onReclaimed lets the victims wait again.
func (p *Placer) onReclaimed(victims []victim, stopped bool, began time.Time) {
	now := time.Now()
	if !p.office || !began.Equal(p.since) {
		return
	}
	for _, v := range victims {
		j := p.jobs[v.id]
		if j == nil || !j.evicting {
			continue
		}
		ran := now.Sub(j.status.Started).Seconds()
		if v.saved {
			j.left = max(minLeft, j.left-ran)
		} else {
			metric.Add("placer_work_lost_accelerator_seconds_total", ran*float64(len(j.refs)*cell.Size(j.level)))
		}
		if stopped {
			p.tree.Release(v.id)
			j.members = nil
		}
		p.requeue(j, "reclaimed")
	}
}

// onLaunched records that the gang runs whole, or that it does not run.
func (p *Placer) onLaunched(j *job, loose []string, err error) {
	now := time.Now()
	for _, name := range j.members {
		if w := p.workers[name]; w != nil {
			w.lapse = now.Add(p.cfg.Term)
		}
	}
	p.dirty = true
	if errors.Is(err, worker.ErrFenced) && p.fencedByOther(j) {
		p.recheck(now)
		return
	}
	if err != nil {
		metric.Retry("gang")
		p.cfg.Logger.Info("gang not started", "job", j.status.Job.ID, "error", err, "loose", loose)
		j.members = nil
		p.requeue(j, "not started")
		j.backOff(now)
		p.awaitLapse(j, loose)
		return
	}
	if j.cancelled || j.abort != "" {
		p.requeue(j, j.abort)
		return
	}
	j.status.State = api.Running
	j.status.Started = now
	if j.first.IsZero() {
		j.first = now
	}
	j.tries = 0
	p.lookSoon(j, now)
	metric.Seconds("job_wait_seconds", now.Sub(j.status.Submitted))
	p.cfg.Logger.Info("gang runs", "job", j.status.Job.ID, "customer", j.status.Job.Customer, "class", j.status.Class, "workers", len(j.members))
}

// lookSoon has the gang's workers asked early, so that a worker that fails all
// it starts is noticed before the next renewal would be due.
func (p *Placer) lookSoon(j *job, now time.Time) {
	for _, name := range j.members {
		if w := p.workers[name]; w != nil && w.next.After(now.Add(firstLook)) {
			w.next = now.Add(firstLook)
		}
	}
}

// stopGang stops the job's members in the background. The job does not start
// again before all have confirmed or their leases have lapsed.
func (p *Placer) stopGang(j *job) {
	var seats []seat
	for _, name := range j.members {
		if p.workers[name] != nil {
			seats = append(seats, p.seat(name, worker.Lease{Job: j.status.Job.ID, Generation: j.status.Generation}))
		}
	}
	if len(seats) == 0 {
		return
	}
	begun := time.Now()
	j.stops++
	go func() {
		err := p.stopSeats(seats)
		if err == nil {
			metric.Observe("gang_stop_seconds", begun)
		}
		p.post(func() { p.onStopped(j, seats, err) })
	}()
}

// onStopped lets the job start again, at once or when its leases have lapsed.
func (p *Placer) onStopped(j *job, seats []seat, err error) {
	j.stops--
	p.dirty = true
	if err == nil {
		return
	}
	p.awaitLapse(j, seatNames(seats))
}

// awaitLapse keeps the job from starting until no lease on the workers can last.
func (p *Placer) awaitLapse(j *job, workers []string) {
	for _, name := range workers {
		if w := p.workers[name]; w != nil && w.lapse.Add(p.cfg.Drift).After(j.notBefore) {
			j.notBefore = w.lapse.Add(p.cfg.Drift)
		}
	}
}

// stopOn stops one member of a gang that should not run.
func (p *Placer) stopOn(name, id string, generation uint64) {
	w := p.workers[name]
	if w == nil {
		return
	}
	s := p.seat(name, worker.Lease{Job: id, Generation: generation})
	go func() { _ = p.stopSeats([]seat{s}) }()
}
