package placer

import (
	"errors"
	"maps"
	"slices"
	"time"

	"rhubarbshore/internal/capacity"
	"rhubarbshore/internal/cell"
	"rhubarbshore/internal/estimate"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/worker"
	"rhubarbshore/pkg/api"
)

// Tuning of jobs without accelerators.
const (
	// usageEvery is the time between two questions what a worker's jobs use.
	usageEvery = 5 * time.Minute
	// settledUsage is how long a job has run before it counts for less than it has
	// declared.
	settledUsage = 10 * time.Minute
	// margin is added to the most that was seen to be used.
	margin = 1.25
	// likelySize is the quantile of sizes seen that a waiting job counts for.
	likelySize = 0.9
)

// feasible reports whether the idle zone could hold the job.
func (p *Placer) feasible(j *job) bool {
	if j.isPlain() {
		return j.status.Job.Tasks > 0 && p.account.Feasible(j.status.Job.Tasks, j.each)
	}
	return p.tree.Feasible(j.level, j.status.Job.Cells)
}

// free gives up all that the job holds.
func (p *Placer) free(id string) {
	p.tree.Release(id)
	p.account.Release(id)
}

// plainInOrder lists the customers with waiting jobs without accelerators, the one
// that holds fewest processors in front.
func (p *Placer) plainInOrder() []*queue {
	held := map[string]float64{}
	for _, j := range p.jobs {
		if j.isPlain() && j.placed() {
			held[j.status.Job.Customer] += j.each.Times(j.status.Job.Tasks).Cores
		}
	}
	return leastHeld(p.plain, held)
}

// schedulePlain starts what there is capacity for. Smaller jobs may go before one that
// does not fit.
func (p *Placer) schedulePlain(q *queue, now time.Time) {
	for _, j := range slices.Clone(q.jobs[:min(depth, len(q.jobs))]) {
		if p.may(j, now) {
			p.tryPlain(j, now)
		}
	}
}

func (p *Placer) tryPlain(j *job, now time.Time) {
	begun := time.Now()
	tasks, err := p.account.Place(j.status.Job.ID, j.status.Job.Tasks, j.each)
	metric.Observe("placer_place_seconds", begun)
	if errors.Is(err, capacity.ErrInfeasible) {
		p.unqueue(j)
		p.ended(j, api.Refused, reasonInfeasible)
	}
	if err != nil {
		return
	}
	p.unqueue(j)
	j.status.Class = string(cell.Spare)
	j.status.Generation = uint64(now.UnixNano())
	p.launchSeats(j, p.plainSeats(j, tasks), nil, now)
}

// plainSeats gives each worker its tasks.
func (p *Placer) plainSeats(j *job, tasks map[string]int) []seat {
	in := j.status.Job
	names := slices.Sorted(maps.Keys(tasks))
	var out []seat
	for _, name := range names {
		l := j.lease(names, tasks[name])
		l.Cores, l.Memory, l.Reserve = in.Cores, in.Memory, j.each.Memory
		out = append(out, p.seat(name, l))
	}
	return out
}

// takeParts registers the job's accelerators and returns the jobs without any that
// have to be stopped for their memory.
func (p *Placer) takeParts(j *job, seats []seat) []string {
	taken := map[string]int{}
	for _, s := range seats {
		taken[s.name] = len(s.lease.Accelerators)
	}
	p.account.Take(j.status.Job.ID, taken)
	if p.cfg.Unsafe.NoParts {
		return nil
	}
	return p.account.Evictions(seatNames(seats))
}

// retakeParts registers the accelerators of a job that runs already.
func (p *Placer) retakeParts(j *job, parts []cell.Part) {
	taken := map[string]int{}
	for _, part := range parts {
		for _, s := range p.tree.Slots(part.Cell) {
			taken[s.Worker]++
		}
	}
	p.account.Take(j.status.Job.ID, taken)
	p.evictOver(slices.Sorted(maps.Keys(taken)))
}

// restorePlain registers a gang without accelerators that was found running.
func (p *Placer) restorePlain(g *gang) {
	j := p.adopt(g.first)
	p.resume(j, g, cell.Spare)
	p.holdPlain(j, g.tasks())
}

// tasks are the gang's tasks by worker.
func (g *gang) tasks() map[string]int {
	out := map[string]int{}
	for name, l := range g.leases {
		out[name] = l.Spec.Tasks
	}
	return out
}

// holdPlain registers a job without accelerators that runs already.
func (p *Placer) holdPlain(j *job, tasks map[string]int) {
	p.account.Hold(j.status.Job.ID, tasks, j.each)
	p.evictOver(j.members)
}

// evictOver stops the jobs without accelerators that the workers' memory does not
// suffice for.
func (p *Placer) evictOver(workers []string) {
	evict := p.account.Evictions(workers)
	if len(evict) == 0 || p.abortStarting(evict) {
		return
	}
	p.evict(evict, time.Now())
}

// limitsDiffer reports whether the worker has to be told other limits at once.
func (p *Placer) limitsDiffer(w *member) bool {
	if !w.resized || !w.fenced || !w.limited {
		return false
	}
	w.resized = !maps.Equal(p.account.Limits(w.name), w.limits)
	return w.resized
}

// renewal is what a renewal of the worker's leases carries, and the limits in it.
func (p *Placer) renewal(w *member, now time.Time) (worker.Renew, map[string]float64) {
	limits := p.account.Limits(w.name)
	out := worker.Renew{Term: p.cfg.Term}
	if !w.limited || !maps.Equal(limits, w.limits) {
		out.Limits = &worker.Limits{}
		for _, id := range slices.Sorted(maps.Keys(limits)) {
			if j := p.jobs[id]; j != nil {
				out.Limits.Jobs = append(out.Limits.Jobs, worker.Limit{Job: id, Generation: j.status.Generation, Cores: limits[id]})
			}
		}
	}
	out.Usage = !p.cfg.Unsafe.NoUsage && p.account.Busy(w.name) && now.Sub(w.usage) >= usageEvery
	return out, limits
}

// onUsage takes in what the worker confirmed and what its jobs were seen to use.
func (p *Placer) onUsage(w *member, in worker.Renew, limits map[string]float64, usage []worker.Usage, now time.Time) {
	w.limits = limits
	w.limited = true
	if in.Usage {
		w.usage = now
	}
	for _, u := range usage {
		j := p.jobs[u.Job]
		if j == nil || !j.isPlain() || j.status.State != api.Running || j.status.Generation != u.Generation {
			continue
		}
		if n := p.account.Tasks(u.Job)[w.name]; n > 0 {
			p.resize(j, capacity.Size{Cores: u.Cores / float64(n), Memory: u.Memory / float64(n)}, now)
		}
	}
}

// counted is what a task counts for: what it was seen to use with some margin, but
// not more than was declared unless it uses that, nor less than until now unless it
// has settled.
func counted(peak, declared, now float64, settled bool) float64 {
	out := min(peak*margin, max(peak, declared))
	if !settled {
		out = max(out, now)
	}
	return out
}

// expectSize has a job that waits count for the memory that its customer's jobs were
// seen to use, against what they had declared.
func (p *Placer) expectSize(j *job) {
	if !j.isPlain() || j.peak != (capacity.Size{}) {
		return
	}
	if ratio, ok := p.sizes.Ratio(estimate.Run{Customer: j.status.Job.Customer}, likelySize); ok {
		j.each.Memory = min(p.each.Memory, j.status.Job.Memory*ratio*margin)
	}
}

// observeSize learns from a job that was seen to use memory.
func (p *Placer) observeSize(j *job) {
	if j.isPlain() && j.peak.Memory > 0 && j.status.Job.Memory > 0 {
		p.sizes.ObserveRatio(estimate.Run{Customer: j.status.Job.Customer}, j.peak.Memory/j.status.Job.Memory)
	}
}

// resize has the job count for what a task of it was seen to use. Below what it has
// declared it counts only after it has run for a while.
func (p *Placer) resize(j *job, used capacity.Size, now time.Time) {
	j.peak = capacity.Size{Cores: max(j.peak.Cores, used.Cores), Memory: max(j.peak.Memory, used.Memory)}
	settled := now.Sub(j.status.Started) >= settledUsage
	each := capacity.Size{
		Cores:  min(p.each.Cores, counted(j.peak.Cores, j.status.Job.Cores, j.each.Cores, settled)),
		Memory: min(p.each.Memory, counted(j.peak.Memory, j.status.Job.Memory, j.each.Memory, settled)),
	}
	if each == j.each {
		return
	}
	j.each = each
	metric.Count("placer_resizes_total")
	p.account.Resize(j.status.Job.ID, each)
	p.dirty = true
	p.evictOver(j.members)
}
