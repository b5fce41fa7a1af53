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
const firstPollDelay = 500 * time.Millisecond

// errLate is returned by a launch that was too slow to be sure of its holds.
var errSlowHolds = errorx.NewType(namespace, "late").New("the holds may have lapsed")

// seat is one worker's part in a gang.
type member struct {
	name    string
	client  Worker
	stopper *stopBatcher
	fence   worker.Fence
	lease   worker.Lease
}

// launch carries a placement out on the workers.
func (p *Placer) launch(j *job, placement cell.Placement, now time.Time) {
	j.status.Class = string(placement.Class)
	j.status.Generation = uint64(now.UnixNano())
	j.refs = p.refs(placement)
	members := p.members(j, placement)
	evict := slices.Concat(placement.Evict, p.claimAccelerators(j, members))
	p.launchGang(j, members, evict, now)
}

// launchSeats frees capacity by stopping other jobs and starts the gang.
func (p *Placer) launchGang(j *job, members []member, evict []string, now time.Time) {
	j.status.State = api.Starting
	j.status.Reason = ""
	j.launching = true
	j.workerNames = workersOf(members)
	j.members = members
	j.status.Workers = j.workerNames
	if p.abortLaunches(evict) {
		j.launching = false
		j.workerNames = nil
		p.requeue(j, "reclaim")
		j.notBefore = now.Add(minBackoff)
		return
	}
	victims := p.victims(evict)
	rebuild := p.rebuildStart
	generation := j.status.Generation
	go func() {
		err := p.reclaim(victims, now.Add(p.cfg.Checkpoint))
		stopped := err == nil
		p.post(func() { p.onReclaimed(victims, stopped, rebuild) })
		var unstopped []string
		if err == nil {
			unstopped, err = p.startGang(members)
		}
		p.post(func() {
			if p.leading && rebuild.Equal(p.rebuildStart) && j.status.Generation == generation {
				j.launching = false
				p.onLaunched(j, unstopped, err)
			}
		})
	}()
}

// abortStarting tells launches under way that they have to give way. Their
// calls are still on their way to the workers, so that only they can end them.
func (p *Placer) abortLaunches(ids []string) bool {
	found := false
	for _, id := range ids {
		if j := p.jobs[id]; j != nil && j.launching {
			j.abortReason = "reclaimed"
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
func (p *Placer) members(j *job, placement cell.Placement) []member {
	slots := map[string][]int{}
	total := 0
	for _, part := range placement.Parts {
		for _, s := range p.tree.Slots(part.Cell) {
			slots[s.Worker] = append(slots[s.Worker], s.Index)
			total++
		}
	}
	names := slices.Sorted(maps.Keys(slots))
	var out []member
	for _, name := range names {
		l := j.lease(names, j.status.Job.Tasks*len(slots[name])/total)
		l.Parts, l.Accelerators = j.refs, slots[name]
		out = append(out, p.member(name, l))
	}
	return out
}

// lease is what the job's leases on all its workers have in common, for a worker with
// so many of its tasks.
func (j *job) lease(workerNames []string, tasks int) worker.Lease {
	in := j.status.Job
	return worker.Lease{
		Job: in.ID, Generation: j.status.Generation, Customer: in.Customer, Class: j.status.Class, Wanted: in.Class,
		Durable: j.status.Durable, Worth: in.Worth, Tasks: in.Tasks, Members: workerNames,
		Spec: worker.Spec{Tasks: tasks, Seconds: j.remaining(), Saved: j.saved, Command: in.Command},
	}
}

func (p *Placer) member(name string, l worker.Lease) member {
	w := p.workers[name]
	return member{name: name, client: w.client, stopper: &w.stopper, fence: p.fenceOf(w), lease: l}
}

func workersOf(members []member) []string {
	var out []string
	for _, s := range members {
		out = append(out, s.name)
	}
	return out
}

// each calls f for all seats at once and returns their errors by seat.
func callAll(members []member, f func(s member) error) []error {
	errs := make([]error, len(members))
	var wg sync.WaitGroup
	for i, s := range members {
		wg.Go(func() { errs[i] = f(s) })
	}
	wg.Wait()
	return errs
}

// startGang holds all seats, and starts them only if every hold was granted
// with time to spare; else it releases all. With an error it returns the workers
// on which a member may run all the same.
func (p *Placer) startGang(members []member) ([]string, error) {
	start := time.Now()
	err := p.holdMembers(members)
	if err == nil && !p.cfg.Unsafe.NoRecheck && time.Since(start) > p.cfg.Hold/2 {
		err = errSlowHolds
	}
	var errs []error
	if err == nil {
		errs = callAll(members, p.startMember)
		err = errors.Join(errs...)
	}
	if err == nil {
		metric.Observe("gang_start_seconds", start)
		return nil, nil
	}
	p.reportUnknown(members, errs)
	return p.undoLaunch(members, errs), err
}

func (p *Placer) holdMembers(members []member) error {
	if p.cfg.Unsafe.NoHold {
		callAll(members, p.holdMember)
		return nil
	}
	errs := callAll(members, p.holdMember)
	p.reportUnknown(members, errs)
	return errors.Join(errs...)
}

func (p *Placer) holdMember(s member) error {
	ctx, cancel := callContext(callTimeout)
	defer cancel()
	return s.client.Hold(ctx, s.fence, s.lease, p.cfg.Hold)
}

func (p *Placer) startMember(s member) error {
	ctx, cancel := callContext(callTimeout)
	defer cancel()
	return s.client.Start(ctx, s.fence, s.lease.Job, s.lease.Generation, p.cfg.Term)
}

// onFenced rebuilds everything if a worker refused this placer's newest fence,
// and not one that it has raised itself meanwhile. It reports whether it did.
func (p *Placer) recheckIfFenced(members []member) bool {
	for _, s := range members {
		if w := p.workers[s.name]; w != nil && w.fenced && !w.unknown && s.fence == p.fenceOf(w) {
			return p.recheck(time.Now())
		}
	}
	return false
}

// onLaunched records that the gang runs whole, or that it does not run.
func (p *Placer) onLaunched(j *job, unstopped []string, err error) {
	now := time.Now()
	for _, name := range j.workerNames {
		if w := p.workers[name]; w != nil {
			w.leaseEnd = now.Add(p.cfg.Term)
		}
	}
	p.dirty = true
	if errors.Is(err, worker.ErrFenced) && p.recheckIfFenced(j.members) {
		return
	}
	if err != nil {
		metric.Retry("gang")
		p.cfg.Logger.Info("gang not started", "job", j.status.Job.ID, "error", err, "loose", unstopped)
		j.workerNames = nil
		p.requeue(j, "not started")
		j.setBackoff(now)
		if len(unstopped) > 0 {
			p.awaitLeaseEnd(p.pendingStopOf(j.status.Job.ID), unstopped)
		}
		return
	}
	if j.cancelled || j.abortReason != "" {
		p.requeue(j, j.abortReason)
		return
	}
	j.status.State = api.Running
	j.status.Started = now
	if j.firstStart.IsZero() {
		j.firstStart = now
		p.observeStart(j, now)
	}
	j.tries = 0
	p.pollSoon(j, now)
	p.cfg.Logger.Info("gang runs", "job", j.status.Job.ID, "customer", j.status.Job.Customer, "class", j.status.Class, "workers", len(j.workerNames))
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
func (p *Placer) pollSoon(j *job, now time.Time) {
	for _, name := range j.workerNames {
		if w := p.workers[name]; w != nil && w.nextPoll.After(now.Add(firstPollDelay)) {
			w.pollAt(now.Add(firstPollDelay))
		}
	}
}
