package placer

import (
	"sort"
	"time"

	"rhubarbshore/internal/cell"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/worker"
	"rhubarbshore/pkg/api"
)

// Tuning of taking office.
const (
	retryFence    = 500 * time.Millisecond
	settleTime    = time.Second
	watchRival    = 2 * time.Second
	avoidFor      = 20 * time.Second
	quarantine    = 30 * time.Second
	maxQuarantine = time.Hour
	maxFailures   = 3
)

// member is one worker of the zone.
type member struct {
	name   string
	client Worker
	epoch  uint64
	fenced bool
	down   bool
	// busy is set while a call of visit is under way.
	busy bool
	// doubt is set after a call whose effect is unknown: the worker is fenced
	// again, and its table read, before its leases are renewed.
	doubt bool
	// rival is set while another placer's fence is in force: this one watches
	// until that placer has been silent for long enough.
	rival bool
	shy   time.Time
	next  time.Time
	heard time.Time
	// lapse is when the last lease that this placer can have prolonged ends.
	lapse  time.Time
	failed int
	times  int
	banned time.Time
}

func (w *member) reset() {
	w.fenced = false
	w.down = true
	w.doubt = false
	w.rival = false
	w.shy = time.Time{}
	w.next = time.Time{}
	w.heard = time.Time{}
}

// gang is one generation of a job as found in the workers' lease tables.
type gang struct {
	leases map[string]worker.Lease
	first  worker.Lease
	seen   time.Time
}

// takeOffice forgets everything but the jobs' names and fences all workers.
func (p *Placer) takeOffice(now time.Time) {
	p.cfg.Logger.Info("placer takes office", "zone", p.cfg.Zone)
	metric.Count("placer_offices_total")
	open := p.openJobs()
	p.reset()
	p.since = now
	for _, name := range sortedNames(p.workers) {
		p.tree.SetDown(name, true)
	}
	for _, j := range open {
		p.enqueue(j)
	}
	for _, w := range p.workers {
		w.next = now
	}
}

// recheck rebuilds everything like takeOffice, but leaves each worker to another
// placer that has fenced it meanwhile and still claims the office. It follows a
// pause of this process and any sign of another placer.
func (p *Placer) recheck(now time.Time) {
	if now.Sub(p.since) < retryFence {
		return
	}
	metric.Count("placer_rechecks_total")
	p.takeOffice(now)
	for _, w := range p.workers {
		w.rival = true
		w.heard = now
	}
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
		fresh.left = j.left
		fresh.unseen = true
		out = append(out, fresh)
	}
	return out
}

// leaveOffice forgets everything. Open jobs are kept aside until Stray hands
// them to the next placer, which may know some already.
func (p *Placer) leaveOffice() {
	p.cfg.Logger.Info("placer leaves office", "zone", p.cfg.Zone)
	for _, j := range p.openJobs() {
		p.stray = append(p.stray, j.status.Job)
	}
	p.reset()
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
				silent += w.Accelerators
			}
		}
	}
	return silent >= j.status.Job.Cells*cell.Size(j.level)
}

// visit does the call that is due on the worker: a fence or a renewal.
func (p *Placer) visit(w *member, now time.Time) {
	p.checkLost(w, now)
	if w.busy || now.Before(w.next) {
		return
	}
	w.busy = true
	if !w.fenced || w.doubt {
		p.sendFence(w, now)
		return
	}
	p.sendRenew(w, now)
}

func (p *Placer) fenceOf(w *member) worker.Fence {
	if p.cfg.Unsafe.NoFence {
		return worker.Fence{Epoch: 1, Holder: p.cfg.Zone}
	}
	return worker.Fence{Epoch: w.epoch, Holder: p.cfg.VM}
}

func (p *Placer) sendFence(w *member, now time.Time) {
	f := worker.Fence{}
	if !w.rival {
		p.epoch = max(p.epoch, w.epoch+1)
		w.epoch = max(w.epoch+1, p.epoch)
		f = p.fenceOf(w)
	}
	began := p.since
	go func() {
		ctx, cancel := call(callTimeout)
		defer cancel()
		t, err := w.client.Fence(ctx, f)
		p.post(func() {
			w.busy = false
			if !p.office || !began.Equal(p.since) {
				return
			}
			p.onFence(w, f, t, err, now)
		})
	}()
}

// onFence takes the worker's table in, or steps back from a higher fence.
func (p *Placer) onFence(w *member, f worker.Fence, t worker.Table, err error, asked time.Time) {
	now := time.Now()
	if err != nil {
		p.avoid(w, now)
		w.next = now.Add(retryFence)
		return
	}
	w.epoch = max(w.epoch, t.Fence.Epoch)
	p.epoch = max(p.epoch, w.epoch)
	if f.Less(t.Fence) {
		p.stepBack(w, t, now)
		return
	}
	if w.rival {
		// The worker has lost its fence: take it properly.
		w.rival = false
		w.next = now
		return
	}
	w.fenced = true
	w.doubt = false
	w.heard = asked
	w.next = now
	p.takeTable(w, t, now)
	p.setUp(w, now)
}

// stepBack leaves the worker to the holder of a higher fence as long as that
// placer uses it. Only on taking office is the first higher fence outbid at
// once: it is then that of the placer before.
func (p *Placer) stepBack(w *member, t worker.Table, now time.Time) {
	metric.Count("placer_fenced_total")
	w.fenced = false
	if w.heard.IsZero() {
		w.next = now
		w.heard = now
		return
	}
	w.rival = true
	w.next = now.Add(watchRival)
	p.setDown(w)
	silence := time.Duration(t.Silence) * time.Millisecond
	mine := t.Fence.Holder == p.cfg.VM
	gone := p.cfg.Holds != nil && t.Fence.Holder != "" && !p.cfg.Holds(t.Fence.Holder)
	if mine || gone || silence > p.cfg.Renew+p.cfg.Lost {
		w.rival = false
		w.next = now
	}
}

// avoid keeps new work off a worker that gave trouble, for a while.
func (p *Placer) avoid(w *member, now time.Time) {
	w.shy = now.Add(avoidFor)
	p.tree.SetShy(w.name, true)
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

// setUp makes the worker's accelerators usable unless it is in quarantine.
func (p *Placer) setUp(w *member, now time.Time) {
	if now.Before(w.banned) || !w.down || w.rival {
		return
	}
	w.down = false
	p.tree.SetDown(w.name, false)
	p.dirty = true
	p.restoreFound()
}

// setDown gives up the worker: no gang that has a member on it can go on.
func (p *Placer) setDown(w *member) {
	if w.down {
		return
	}
	w.down = true
	metric.Count("placer_workers_lost_total")
	p.cfg.Logger.Warn("worker lost", "worker", w.name)
	for _, id := range p.tree.SetDown(w.name, true) {
		if j := p.jobs[id]; j != nil {
			j.notBefore = w.lapse.Add(p.cfg.Drift)
			p.requeue(j, "worker lost")
		}
	}
}

// checkLost gives up a worker that has been silent for too long, and ends the
// avoidance of one that gave trouble a while ago.
func (p *Placer) checkLost(w *member, now time.Time) {
	if w.shy.Before(now) && !w.shy.IsZero() {
		w.shy = time.Time{}
		p.tree.SetShy(w.name, false)
		p.dirty = true
	}
	if w.down || now.Sub(w.heard) < p.cfg.Renew+p.cfg.Lost {
		return
	}
	w.fenced = false
	p.setDown(w)
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
		p.stopOn(w.name, l.Job, l.Generation)
		return
	}
	g.leases[w.name] = l
}

// dismiss stops the members of a gang that is not whole.
func (p *Placer) dismiss(g *gang) {
	for name, l := range g.leases {
		p.stopOn(name, l.Job, l.Generation)
	}
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
	r := cell.Request{Job: g.first.Job, Customer: g.first.Customer, Class: cell.Class(g.first.Class), Since: g.first.Since}
	parts, ok := p.parts(g.first.Parts)
	if !ok {
		p.dismiss(g)
		p.adopt(g.first)
		return
	}
	class, err := p.tree.Restore(r, parts)
	if err != nil {
		p.dismiss(g)
		p.adopt(g.first)
		return
	}
	if class != r.Class {
		metric.Count("placer_demoted_total")
	}
	j := p.adopt(g.first)
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
		part := cell.Part{Cell: id, Home: -1}
		if ref.Home != nil {
			if home, found := p.tree.Find(ref.Home.Level, cell.Slot{Worker: ref.Home.Worker, Index: ref.Home.Index}); found {
				part.Home, part.Unit = home, ref.Home.Level
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
	j := newJob(api.Job{
		ID: l.Job, Customer: l.Customer, Zone: p.cfg.Zone, Worth: l.Worth, Cells: len(l.Parts),
		Accelerators: cell.Size(l.Parts[0].Cell.Level), Tasks: l.Tasks, Seconds: l.Spec.Seconds, Command: l.Spec.Command, Class: l.Wanted,
	}, p.cfg.Zone)
	j.status.Durable = l.Durable
	j.status.Submitted = l.Since
	p.enqueue(j)
	return j
}

// replant builds the tree anew for a changed layout.
func (p *Placer) replant() {
	old := p.tree
	p.tree = cell.NewTree(p.layout)
	p.kept = nil
	for name, w := range p.workers {
		if w.down {
			p.tree.SetDown(name, true)
		}
	}
	if !p.office || old == nil {
		return
	}
	for _, j := range p.byAge() {
		if !j.placed() {
			continue
		}
		parts, ok := p.parts(j.refs)
		r := cell.Request{Job: j.status.Job.ID, Customer: j.status.Job.Customer, Class: cell.Class(j.status.Class), Since: j.status.Started}
		class, err := cell.Spare, error(nil)
		if ok {
			class, err = p.tree.Restore(r, parts)
		}
		if !ok || err != nil {
			p.requeue(j, "layout")
			continue
		}
		j.status.Class = string(class)
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

func sortedNames[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
