package placer

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/cell"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/worker"
	"rhubarbshore/pkg/api"
)

// firstLook is the time after which a gang's workers are first asked how it
// does.
const firstLook = 500 * time.Millisecond

// errLate is returned by a launch that was too slow to be sure of its holds.
var errLate = errorx.NewType(namespace, "late").New("the holds may have lapsed")

// seat is one worker's part in a gang.
type seat struct {
	name   string
	client Worker
	stops  *stopper
	fence  worker.Fence
	lease  worker.Lease
}

// launch carries a placement out on the workers.
func (p *Placer) launch(j *job, placement cell.Placement, now time.Time) {
	j.status.Class = string(placement.Class)
	j.status.Generation = uint64(now.UnixNano())
	j.refs = p.refs(placement)
	seats := p.seats(j, placement)
	evict := slices.Concat(placement.Evict, p.takeParts(j, seats))
	p.launchSeats(j, seats, evict, now)
}

// launchSeats frees capacity by stopping other jobs and starts the gang.
func (p *Placer) launchSeats(j *job, seats []seat, evict []string, now time.Time) {
	j.status.State = api.Starting
	j.status.Reason = ""
	j.launching = true
	j.members = seatNames(seats)
	j.seats = seats
	j.status.Workers = j.members
	if p.abortStarting(evict) {
		j.launching = false
		j.members = nil
		p.requeue(j, "reclaim")
		j.notBefore = now.Add(firstBackOff)
		return
	}
	victims := p.victims(evict)
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
			if p.leading && began.Equal(p.since) && j.status.Generation == generation {
				j.launching = false
				p.onLaunched(j, loose, err)
			}
		})
	}()
}

// abortStarting tells launches under way that they have to give way. Their
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
		if part.Bound >= 0 {
			bound := p.ref(part.Bound)
			ref.Bound = &bound
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
	names := slices.Sorted(maps.Keys(slots))
	var out []seat
	for _, name := range names {
		l := j.lease(names, j.status.Job.Tasks*len(slots[name])/total)
		l.Parts, l.Accelerators = j.refs, slots[name]
		out = append(out, p.seat(name, l))
	}
	return out
}

// lease is what the job's leases on all its workers have in common, for a worker with
// so many of its tasks.
func (j *job) lease(members []string, tasks int) worker.Lease {
	in := j.status.Job
	return worker.Lease{
		Job: in.ID, Generation: j.status.Generation, Customer: in.Customer, Class: j.status.Class, Wanted: in.Class,
		Durable: j.status.Durable, Worth: in.Worth, Tasks: in.Tasks, Members: members,
		Spec: worker.Spec{Tasks: tasks, Seconds: j.left(), Saved: j.saved, Command: in.Command},
	}
}

func (p *Placer) seat(name string, l worker.Lease) seat {
	w := p.workers[name]
	return seat{name: name, client: w.client, stops: &w.stops, fence: p.fenceOf(w), lease: l}
}

func seatNames(seats []seat) []string {
	var out []string
	for _, s := range seats {
		out = append(out, s.name)
	}
	return out
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
	p.reportUnknown(seats, errs)
	return p.undo(seats, errs), err
}

func (p *Placer) hold(seats []seat) error {
	if p.cfg.Unsafe.NoHold {
		each(seats, p.holdOne)
		return nil
	}
	errs := each(seats, p.holdOne)
	p.reportUnknown(seats, errs)
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

// onFenced rebuilds everything if a worker refused this placer's newest fence,
// and not one that it has raised itself meanwhile. It reports whether it did.
func (p *Placer) onFenced(seats []seat) bool {
	for _, s := range seats {
		if w := p.workers[s.name]; w != nil && w.fenced && !w.unknown && s.fence == p.fenceOf(w) {
			return p.recheck(time.Now())
		}
	}
	return false
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
	if errors.Is(err, worker.ErrFenced) && p.onFenced(j.seats) {
		return
	}
	if err != nil {
		metric.Retry("gang")
		p.cfg.Logger.Info("gang not started", "job", j.status.Job.ID, "error", err, "loose", loose)
		j.members = nil
		p.requeue(j, "not started")
		j.backOff(now)
		if len(loose) > 0 {
			p.awaitLapse(p.haltOf(j.status.Job.ID), loose)
		}
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
		p.observeStart(j, now)
	}
	j.tries = 0
	p.lookSoon(j, now)
	p.cfg.Logger.Info("gang runs", "job", j.status.Job.ID, "customer", j.status.Job.Customer, "class", j.status.Class, "workers", len(j.members))
}

// observeStart notes how long the job waited for its first start.
func (p *Placer) observeStart(j *job, now time.Time) {
	waited := now.Sub(j.status.Submitted)
	metric.Seconds("job_wait_seconds", waited)
	if j.status.Job.Class == string(cell.Guaranteed) {
		metric.Seconds("urgent_start_seconds", waited)
	}
}

// lookSoon has the gang's workers asked early, so that a worker that fails all
// it starts is noticed before the next renewal would be due.
func (p *Placer) lookSoon(j *job, now time.Time) {
	for _, name := range j.members {
		if w := p.workers[name]; w != nil && w.next.After(now.Add(firstLook)) {
			w.visitAt(now.Add(firstLook))
		}
	}
}
