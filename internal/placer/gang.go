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

// firstPollDelay is the time from a gang's start to the first poll of its workers.
const firstPollDelay = 500 * time.Millisecond

// errSlowHolds is returned by a launch whose holds took so long that the first of
// them may have expired.
var errSlowHolds = errorx.NewType(namespace, "late").New("the holds may have lapsed")

// member is a member of a gang: a worker with the lease that it gets.
type member struct {
	name    string
	client  Worker
	stopper *stopBatcher
	fence   worker.Fence
	lease   worker.Lease
}

// launch starts the job on the workers of its placement.
func (p *Placer) launch(j *job, placement cell.Placement, now time.Time) {
	j.status.Class = string(placement.Class)
	j.status.Generation = uint64(now.UnixNano())
	j.refs = p.refs(placement)
	members := p.members(j, placement)
	evict := slices.Concat(placement.Evict, p.claimAccelerators(j, members))
	p.launchGang(j, members, evict, now)
}

// launchGang stops the jobs to evict and then starts the gang, both in the background.
// If a job to evict is itself still being launched, that launch is aborted and the gang
// is requeued.
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
	victims := p.markVictims(evict)
	rebuild := p.rebuildStart
	generation := j.status.Generation
	go func() {
		err := p.reclaim(victims, now.Add(p.cfg.CheckpointTimeout))
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

// abortLaunches marks those of the jobs that are still being launched to be aborted,
// and reports whether there were any. Their calls are still in flight, so only the
// launches themselves can undo them.
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

// refs describes the placement's cells in terms that don't depend on this process's
// cell IDs.
func (p *Placer) refs(placement cell.Placement) []worker.Part {
	var out []worker.Part
	for _, part := range placement.Parts {
		ref := worker.Part{Cell: p.ref(part.Cell)}
		if part.UnitCell >= 0 {
			bound := p.ref(part.UnitCell)
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

// members returns the gang's members, with the placement's accelerators by worker.
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

// lease returns a lease of the job for a worker that runs the given number of its
// tasks, without the capacity that it grants.
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
	for _, m := range members {
		out = append(out, m.name)
	}
	return out
}

// callAll calls f for all members concurrently and returns the errors by member.
func callAll(members []member, f func(m member) error) []error {
	errs := make([]error, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() { errs[i] = f(m) })
	}
	wg.Wait()
	return errs
}

// startGang holds a lease for every member, and starts the members only if all holds
// were granted well before the first of them can expire; otherwise it releases them.
// If it fails, it returns the workers on which a member may still run.
func (p *Placer) startGang(members []member) ([]string, error) {
	start := time.Now()
	err := p.holdMembers(members)
	if err == nil && !p.cfg.Unsafe.NoRecheck && time.Since(start) > p.cfg.HoldTerm/2 {
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

func (p *Placer) holdMember(m member) error {
	ctx, cancel := callContext(callTimeout)
	defer cancel()
	return m.client.Hold(ctx, m.fence, m.lease, p.cfg.HoldTerm)
}

func (p *Placer) startMember(m member) error {
	ctx, cancel := callContext(callTimeout)
	defer cancel()
	return m.client.Start(ctx, m.fence, m.lease.Job, m.lease.Generation, p.cfg.Term)
}

// recheckIfFenced rebuilds the state after a refused call if the fence that the call
// carried is still this placer's latest on a worker. If not, the refusal says nothing
// about another placer, since this one has raised the fence itself. It reports whether
// a rebuild was started.
func (p *Placer) recheckIfFenced(members []member) bool {
	for _, m := range members {
		if w := p.workers[m.name]; w != nil && w.fenced && !w.unknown && m.fence == p.fenceOf(w) {
			return p.recheck(time.Now())
		}
	}
	return false
}

// onLaunched records the result of a launch: the whole gang runs, or the job is
// requeued. Unstopped are the workers on which a member may still run.
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

// observeStart records in the metrics how long the job waited for its first start.
func (p *Placer) observeStart(j *job, now time.Time) {
	waited := now.Sub(j.status.Submitted)
	metric.Seconds("job_wait_seconds", waited)
	if j.status.Job.Class == string(cell.Guaranteed) {
		metric.Seconds("urgent_start_seconds", waited)
	}
}

// pollSoon polls the gang's workers early, so that a worker on which every start
// fails is detected before its next renewal is due.
func (p *Placer) pollSoon(j *job, now time.Time) {
	for _, name := range j.workerNames {
		if w := p.workers[name]; w != nil && w.nextPoll.After(now.Add(firstPollDelay)) {
			w.pollAt(now.Add(firstPollDelay))
		}
	}
}
