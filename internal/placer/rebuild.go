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

// gang is one generation of a job as found in the workers' lease tables.
type gang struct {
	leases map[string]worker.Lease
	first  worker.Lease
	seen   time.Time
}

// openJobs lists the jobs that are not over, each as if it had never started:
// the workers' tables tell which of them run.
func (p *Placer) openJobs() []*job {
	var out []*job
	for _, j := range p.byAge() {
		if j.over() {
			continue
		}
		fresh := newJob(j.status.Job, p.cfg.Zone)
		fresh.status.Durable = j.status.Durable
		fresh.status.Submitted = j.status.Submitted
		fresh.cancelled = j.cancelled
		fresh.saved = j.saved
		fresh.unseen = true
		out = append(out, fresh)
	}
	return out
}

// mayRunUnseen reports whether the job could be running whole on workers that
// have not answered this placer yet, or under another placer.
func (p *Placer) mayRunUnseen(j *job, now time.Time) bool {
	if p.found[j.status.Job.ID] != nil {
		return true
	}
	if !j.unseen {
		return false
	}
	silent := 0
	for _, r := range p.layout.Racks {
		for _, w := range r.Workers {
			if m := p.workers[w.Name]; m != nil && p.mayHoldUnseen(m, now) {
				silent += max(1, w.Accelerators)
			}
		}
	}
	if j.isPlain() {
		return silent > 0
	}
	return silent >= j.status.Job.Cells*cell.Size(j.level)
}

// mayHoldUnseen reports whether the worker may run leases that this placer does
// not know: it has not answered, and leases of the time before may still last.
func (p *Placer) mayHoldUnseen(w *member, now time.Time) bool {
	if w.fenced {
		return false
	}
	last := p.since
	if w.lapse.After(last.Add(p.cfg.Term)) {
		last = w.lapse.Add(-p.cfg.Term)
	}
	return w.rival || now.Before(last.Add(p.cfg.Term+p.cfg.Drift))
}

// takeTable compares the worker's leases with what the placer knows.
func (p *Placer) takeTable(w *member, t worker.Table, now time.Time) {
	present := map[string]bool{}
	for _, l := range t.Leases {
		if j := p.jobs[l.Job]; j != nil && j.placed() && j.status.Generation == l.Generation {
			present[l.Job] = true
			continue
		}
		p.remember(w, l, now)
	}
	for id, j := range p.jobs {
		if j.status.State == api.Running && j.has(w.name) && !present[id] {
			p.requeue(j, "lease lost")
		}
	}
}

// remember collects a lease of a gang that this placer did not start.
func (p *Placer) remember(w *member, l worker.Lease, now time.Time) {
	g := p.found[l.Job]
	if g == nil || g.first.Generation < l.Generation {
		if g != nil {
			p.dismiss(g)
		}
		g = &gang{leases: map[string]worker.Lease{}, first: l, seen: now}
		p.found[l.Job] = g
	}
	if g.first.Generation > l.Generation {
		p.stopMembers(l.Job, l.Generation, []string{w.name})
		return
	}
	g.leases[w.name] = l
}

// dismiss stops the members of a gang that is not whole.
func (p *Placer) dismiss(g *gang) {
	p.stopMembers(g.first.Job, g.first.Generation, slices.Sorted(maps.Keys(g.leases)))
}

// settle ends the rebuilding: once all workers have answered, or a moment has
// passed, placing may begin; gangs that are not whole by then are stopped.
func (p *Placer) settle(now time.Time) {
	known := len(p.layout.Racks) > 0
	if !p.ready && known && (p.allFenced() || now.Sub(p.since) > settleTime) {
		p.ready = true
		p.dirty = true
		metric.Seconds("placer_takeover_seconds", now.Sub(p.since))
	}
	if !p.ready {
		return
	}
	p.restoreFound()
	for id, g := range p.found {
		if now.Sub(g.seen) < settleTime+retryFence && now.Sub(p.since) < p.cfg.Renew {
			continue
		}
		delete(p.found, id)
		p.dismiss(g)
		p.adopt(g.first)
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

// restoreFound registers the gangs whose members have all been found running,
// the oldest first, so that of two claims to one guarantee the newer becomes
// spare.
func (p *Placer) restoreFound() {
	if !p.ready || len(p.found) == 0 {
		return
	}
	var whole []string
	for id, g := range p.found {
		if g.whole() && p.membersUp(g) {
			whole = append(whole, id)
		}
	}
	sort.Slice(whole, func(i, j int) bool {
		return p.found[whole[i]].first.Since.Before(p.found[whole[j]].first.Since)
	})
	for _, id := range whole {
		g := p.found[id]
		delete(p.found, id)
		p.restore(g)
	}
}

func (p *Placer) membersUp(g *gang) bool {
	for _, name := range g.first.Members {
		if w := p.workers[name]; w == nil || w.down {
			return false
		}
	}
	return true
}

func (g *gang) whole() bool {
	for _, name := range g.first.Members {
		l, ok := g.leases[name]
		if !ok || l.State == worker.Held {
			return false
		}
	}
	return true
}

// restore puts a whole gang back into the tree and the job table.
func (p *Placer) restore(g *gang) {
	if len(g.first.Parts) == 0 {
		p.restorePlain(g)
		return
	}
	r := cell.Request{Job: g.first.Job, Customer: g.first.Customer, Class: cell.Class(g.first.Class), Since: g.first.Since}
	parts, ok := p.parts(g.first.Parts)
	if !ok {
		p.dismiss(g)
		p.adopt(g.first)
		return
	}
	j := p.adopt(g.first)
	r.Ends = p.expect(j, g.first.Since)
	class, err := p.tree.Restore(r, parts)
	if err != nil {
		p.dismiss(g)
		return
	}
	if class != r.Class {
		metric.Count("placer_demoted_total")
	}
	j.ends = r.Ends
	j.refs = g.first.Parts
	p.resume(j, g, class)
	p.retakeParts(j, parts)
}

// resume marks the job as running as it was found.
func (p *Placer) resume(j *job, g *gang, class cell.Class) {
	p.unqueue(j)
	j.members = g.first.Members
	j.status.State = api.Running
	j.status.Class = string(class)
	j.status.Workers = g.first.Members
	j.status.Generation = g.first.Generation
	j.status.Started = g.first.Since
}

func (p *Placer) parts(refs []worker.Part) ([]cell.Part, bool) {
	var out []cell.Part
	for _, ref := range refs {
		id, ok := p.tree.Find(ref.Cell.Level, cell.Slot{Worker: ref.Cell.Worker, Index: ref.Cell.Index})
		if !ok {
			return nil, false
		}
		part := cell.Part{Cell: id, Bound: -1}
		if ref.Bound != nil {
			if bound, found := p.tree.Find(ref.Bound.Level, cell.Slot{Worker: ref.Bound.Worker, Index: ref.Bound.Index}); found {
				part.Bound, part.Unit = bound, ref.Bound.Level
			}
		}
		out = append(out, part)
	}
	return out, true
}

// adopt makes a job known from its lease and queues it unless it is known.
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

// replant builds the tree anew for a changed layout.
func (p *Placer) replant() {
	old, book := p.tree, p.account
	p.tree = cell.NewTree(p.layout)
	p.account = capacity.New(capacity.Config{Racks: p.layout.Racks, Each: p.each})
	p.kept = nil
	for name, w := range p.workers {
		if w.down {
			p.tree.SetDown(name, true)
			p.account.SetDown(name, true)
		}
	}
	if !p.leading || old == nil {
		return
	}
	for _, j := range p.byAge() {
		if !j.placed() {
			continue
		}
		if j.isPlain() {
			p.holdPlain(j, book.Tasks(j.status.Job.ID))
			continue
		}
		parts, ok := p.parts(j.refs)
		r := cell.Request{Job: j.status.Job.ID, Customer: j.status.Job.Customer, Class: cell.Class(j.status.Class), Since: j.status.Started, Ends: j.ends}
		class, err := cell.Spare, error(nil)
		if ok {
			class, err = p.tree.Restore(r, parts)
		}
		if !ok || err != nil {
			p.requeue(j, "layout")
			continue
		}
		j.status.Class = string(class)
		p.retakeParts(j, parts)
	}
}

// byAge lists the jobs, those that started first in front.
func (p *Placer) byAge() []*job {
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
