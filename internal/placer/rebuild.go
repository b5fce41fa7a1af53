package placer

import (
	"maps"
	"slices"
	"sort"
	"time"

	"rhubarbshore/internal/capacity"
	"rhubarbshore/internal/cell"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/worker"
	"rhubarbshore/pkg/api"
)

// foundGang is one generation of a job as found in the workers' lease tables.
type foundGang struct {
	// leases are the leases found so far, by worker.
	leases map[string]worker.Lease
	// sample is one of the leases. Those of one gang agree on the job, its members
	// and its cells.
	sample worker.Lease
	// foundAt is when the first lease was found.
	foundAt time.Time
}

// openJobs returns the jobs that have not ended, in the state of jobs that never
// started. The workers' lease tables show which of them run.
func (p *Placer) openJobs() []*job {
	var out []*job
	for _, j := range p.jobsByStart() {
		if j.ended() {
			continue
		}
		fresh := newJob(j.status.Job, p.cfg.Zone)
		fresh.status.Durable = j.status.Durable
		fresh.status.Submitted = j.status.Submitted
		fresh.cancelled = j.cancelled
		fresh.saved = j.saved
		fresh.unverified = true
		out = append(out, fresh)
	}
	return out
}

// mayBeRunning reports whether the complete job could be running on workers that have
// not answered this placer yet, or under another placer.
func (p *Placer) mayBeRunning(j *job, now time.Time) bool {
	if p.foundGangs[j.status.Job.ID] != nil {
		return true
	}
	if !j.unverified {
		return false
	}
	silent := 0
	for _, r := range p.layout.Racks {
		for _, w := range r.Workers {
			if m := p.workers[w.Name]; m != nil && p.mayHoldLeases(m, now) {
				silent += max(1, w.Accelerators)
			}
		}
	}
	if j.isCPUJob() {
		return silent > 0
	}
	return silent >= j.status.Job.Cells*cell.Size(j.level)
}

// mayHoldLeases reports whether the worker may hold leases that this placer does not
// know of: it has not answered yet, and earlier leases may not have expired.
func (p *Placer) mayHoldLeases(w *workerState, now time.Time) bool {
	if w.fenced {
		return false
	}
	last := p.rebuildStart
	if w.leaseEnd.After(last.Add(p.cfg.Term)) {
		last = w.leaseEnd.Add(-p.cfg.Term)
	}
	return w.rival || now.Before(last.Add(p.cfg.Term+p.cfg.Drift))
}

// reconcile compares the worker's lease table with the placer's state.
func (p *Placer) reconcile(w *workerState, t worker.Table, now time.Time) {
	present := map[string]bool{}
	for _, l := range t.Leases {
		if j := p.jobs[l.Job]; j != nil && j.placed() && j.status.Generation == l.Generation {
			present[l.Job] = true
			continue
		}
		p.collectLease(w, l, now)
	}
	for id, j := range p.jobs {
		if j.status.State == api.Running && j.runsOn(w.name) && !present[id] {
			p.requeue(j, "lease lost")
		}
	}
}

// collectLease records a lease of a gang that this placer did not start. Only the
// newest generation is kept; older ones are stopped.
func (p *Placer) collectLease(w *workerState, l worker.Lease, now time.Time) {
	g := p.foundGangs[l.Job]
	if g == nil || g.sample.Generation < l.Generation {
		if g != nil {
			p.stopFound(g)
		}
		g = &foundGang{leases: map[string]worker.Lease{}, sample: l, foundAt: now}
		p.foundGangs[l.Job] = g
	}
	if g.sample.Generation > l.Generation {
		p.stopGeneration(l.Job, l.Generation, []string{w.name})
		return
	}
	g.leases[w.name] = l
}

// stopFound stops the members of a gang that can't go on.
func (p *Placer) stopFound(g *foundGang) {
	p.stopGeneration(g.sample.Job, g.sample.Generation, slices.Sorted(maps.Keys(g.leases)))
}

// finishRebuild allows placement to begin once all workers have answered or
// rebuildTimeout has passed. Gangs that stay incomplete for longer are stopped.
func (p *Placer) finishRebuild(now time.Time) {
	known := len(p.layout.Racks) > 0
	if !p.ready && known && (p.allFenced() || now.Sub(p.rebuildStart) > rebuildTimeout) {
		p.ready = true
		p.dirty = true
		metric.Seconds("placer_takeover_seconds", now.Sub(p.rebuildStart))
	}
	if !p.ready {
		return
	}
	p.restoreFound()
	for id, g := range p.foundGangs {
		if now.Sub(g.foundAt) < rebuildTimeout+retryDelay && now.Sub(p.rebuildStart) < p.cfg.RenewInterval {
			continue
		}
		delete(p.foundGangs, id)
		p.stopFound(g)
		p.adopt(g.sample)
	}
}

func (p *Placer) allFenced() bool {
	for _, w := range p.workers {
		if !w.fenced {
			return false
		}
	}
	return true
}

// restoreFound registers the gangs whose members have all been found running. The
// oldest comes first, so that if two gangs claim the same guarantee, the newer one
// becomes spare.
func (p *Placer) restoreFound() {
	if !p.ready || len(p.foundGangs) == 0 {
		return
	}
	var complete []string
	for id, g := range p.foundGangs {
		if g.complete() && p.membersUp(g) {
			complete = append(complete, id)
		}
	}
	sort.Slice(complete, func(i, j int) bool {
		return p.foundGangs[complete[i]].sample.Since.Before(p.foundGangs[complete[j]].sample.Since)
	})
	for _, id := range complete {
		g := p.foundGangs[id]
		delete(p.foundGangs, id)
		p.restoreGang(g)
	}
}

func (p *Placer) membersUp(g *foundGang) bool {
	for _, name := range g.sample.Members {
		if w := p.workers[name]; w == nil || w.down {
			return false
		}
	}
	return true
}

func (g *foundGang) complete() bool {
	for _, name := range g.sample.Members {
		l, ok := g.leases[name]
		if !ok || l.State == worker.Held {
			return false
		}
	}
	return true
}

// restoreGang registers a complete gang in the tree and the job table.
func (p *Placer) restoreGang(g *foundGang) {
	if len(g.sample.Parts) == 0 {
		p.restoreCPUJob(g)
		return
	}
	r := cell.Request{Job: g.sample.Job, Customer: g.sample.Customer, Class: cell.Class(g.sample.Class), Since: g.sample.Since}
	parts, ok := p.parts(g.sample.Parts)
	if !ok {
		p.stopFound(g)
		p.adopt(g.sample)
		return
	}
	j := p.adopt(g.sample)
	r.ExpectedEnd = p.predictEnd(j, g.sample.Since)
	class, err := p.tree.Restore(r, parts)
	if err != nil {
		p.stopFound(g)
		return
	}
	if class != r.Class {
		metric.Count("placer_demoted_total")
	}
	j.expectedEnd = r.ExpectedEnd
	j.refs = g.sample.Parts
	p.markRunning(j, g, class)
	p.restoreAccelerators(j, parts)
}

// markRunning marks the job as running as the found gang.
func (p *Placer) markRunning(j *job, g *foundGang, class cell.Class) {
	p.dequeue(j)
	j.workerNames = g.sample.Members
	j.status.State = api.Running
	j.status.Class = string(class)
	j.status.Workers = g.sample.Members
	j.status.Generation = g.sample.Generation
	j.status.Started = g.sample.Since
}

// parts resolves refs to cells of the tree. It returns false if a cell does not exist.
func (p *Placer) parts(refs []worker.Part) ([]cell.Part, bool) {
	var out []cell.Part
	for _, ref := range refs {
		id, ok := p.tree.Find(ref.Cell.Level, cell.Slot{Worker: ref.Cell.Worker, Index: ref.Cell.Index})
		if !ok {
			return nil, false
		}
		part := cell.Part{Cell: id, UnitCell: -1}
		if ref.Bound != nil {
			if bound, found := p.tree.Find(ref.Bound.Level, cell.Slot{Worker: ref.Bound.Worker, Index: ref.Bound.Index}); found {
				part.UnitCell, part.UnitLevel = bound, ref.Bound.Level
			}
		}
		out = append(out, part)
	}
	return out, true
}

// adopt returns the job of the lease. A job that is not known yet is recreated from
// the lease and queued.
func (p *Placer) adopt(l worker.Lease) *job {
	if j := p.jobs[l.Job]; j != nil {
		return j
	}
	in := api.Job{
		ID: l.Job, Customer: l.Customer, Zone: p.cfg.Zone, Worth: l.Worth, Cells: len(l.Parts), Tasks: l.Tasks,
		Cores: l.Cores, Memory: l.Memory, Seconds: l.Spec.Seconds + l.Spec.Saved, Command: l.Spec.Command, Class: l.Wanted,
	}
	if len(l.Parts) > 0 {
		in.Accelerators = cell.Size(l.Parts[0].Cell.Level)
	}
	j := newJob(in, p.cfg.Zone)
	j.saved = l.Spec.Saved
	j.status.Durable = l.Durable
	j.status.Submitted = l.Since
	p.enqueue(j)
	return j
}

// rebuildTree rebuilds the tree and the account for a changed layout, and requeues
// jobs whose cells no longer exist.
func (p *Placer) rebuildTree() {
	oldTree, oldAccount := p.tree, p.account
	p.tree = cell.NewTree(p.layout)
	p.account = capacity.New(capacity.Config{Racks: p.layout.Racks, Each: p.size})
	p.reserved = nil
	for name, w := range p.workers {
		if w.down {
			p.tree.SetDown(name, true)
			p.account.SetDown(name, true)
		}
	}
	if !p.leading || oldTree == nil {
		return
	}
	for _, j := range p.jobsByStart() {
		if !j.placed() {
			continue
		}
		if j.isCPUJob() {
			p.registerCPUJob(j, oldAccount.Tasks(j.status.Job.ID))
			continue
		}
		parts, ok := p.parts(j.refs)
		r := cell.Request{Job: j.status.Job.ID, Customer: j.status.Job.Customer, Class: cell.Class(j.status.Class), Since: j.status.Started, ExpectedEnd: j.expectedEnd}
		class, err := cell.Spare, error(nil)
		if ok {
			class, err = p.tree.Restore(r, parts)
		}
		if !ok || err != nil {
			p.requeue(j, "layout")
			continue
		}
		j.status.Class = string(class)
		p.restoreAccelerators(j, parts)
	}
}

// jobsByStart returns all jobs, ordered by the time of their start.
func (p *Placer) jobsByStart() []*job {
	out := make([]*job, 0, len(p.jobs))
	for _, j := range p.jobs {
		out = append(out, j)
	}
	sort.Slice(out, func(i, k int) bool {
		a, b := out[i].status, out[k].status
		if !a.Started.Equal(b.Started) {
			return a.Started.Before(b.Started)
		}
		return a.Job.ID < b.Job.ID
	})
	return out
}
