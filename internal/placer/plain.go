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
	usageInterval = 5 * time.Minute
	// settledUsage is how long a job has run before it counts for less than it has
	// declared.
	usageSettleTime = 10 * time.Minute
	// margin is added to the most that was seen to be used.
	usageMargin = 1.25
	// likelySize is the quantile of sizes seen that a waiting job counts for.
	sizeQuantile = 0.9
)

// feasible reports whether the idle zone could hold the job.
func (p *Placer) feasible(j *job) bool {
	if j.isCPUJob() {
		return j.status.Job.Tasks > 0 && p.account.Feasible(j.status.Job.Tasks, j.size)
	}
	return p.tree.Feasible(j.level, j.status.Job.Cells)
}

// free gives up all that the job holds.
func (p *Placer) release(id string) {
	p.tree.Release(id)
	p.account.Release(id)
}

// plainInOrder lists the customers with waiting jobs without accelerators, the one
// that holds fewest processors in front.
func (p *Placer) orderedCPUQueues() []*queue {
	held := map[string]float64{}
	for _, j := range p.jobs {
		if j.isCPUJob() && j.placed() {
			held[j.status.Job.Customer] += j.size.Times(j.status.Job.Tasks).Cores
		}
	}
	return orderByHeld(p.cpuQueues, held)
}

// schedulePlain starts what there is capacity for. Smaller jobs may go before one that
// does not fit.
func (p *Placer) scheduleCPUJobs(q *queue, now time.Time) {
	for _, j := range slices.Clone(q.jobs[:min(lookahead, len(q.jobs))]) {
		if p.canStart(j, now) {
			p.tryCPUJob(j, now)
		}
	}
}

func (p *Placer) tryCPUJob(j *job, now time.Time) {
	start := time.Now()
	tasks, err := p.account.Place(j.status.Job.ID, j.status.Job.Tasks, j.size)
	metric.Observe("placer_place_seconds", start)
	if errors.Is(err, capacity.ErrInfeasible) {
		p.dequeue(j)
		p.endJob(j, api.Refused, reasonInfeasible)
	}
	if err != nil {
		return
	}
	p.dequeue(j)
	j.status.Class = string(cell.Spare)
	j.status.Generation = uint64(now.UnixNano())
	p.launchGang(j, p.cpuMembers(j, tasks), nil, now)
}

// plainSeats gives each worker its tasks.
func (p *Placer) cpuMembers(j *job, tasks map[string]int) []member {
	in := j.status.Job
	names := slices.Sorted(maps.Keys(tasks))
	var out []member
	for _, name := range names {
		l := j.lease(names, tasks[name])
		l.Cores, l.Memory, l.Reserve = in.Cores, in.Memory, j.size.Memory
		out = append(out, p.member(name, l))
	}
	return out
}

// takeParts registers the job's accelerators and returns the jobs without any that
// have to be stopped for their memory.
func (p *Placer) claimAccelerators(j *job, members []member) []string {
	counts := map[string]int{}
	for _, s := range members {
		counts[s.name] = len(s.lease.Accelerators)
	}
	p.account.Take(j.status.Job.ID, counts)
	if p.cfg.Unsafe.NoCPUEviction {
		return nil
	}
	return p.account.Evictions(workersOf(members))
}

// retakeParts registers the accelerators of a job that runs already.
func (p *Placer) restoreAccelerators(j *job, parts []cell.Part) {
	counts := map[string]int{}
	for _, part := range parts {
		for _, s := range p.tree.Slots(part.Cell) {
			counts[s.Worker]++
		}
	}
	p.account.Take(j.status.Job.ID, counts)
	p.evictOvercommitted(slices.Sorted(maps.Keys(counts)))
}

// restorePlain registers a gang without accelerators that was found running.
func (p *Placer) restoreCPUJob(g *foundGang) {
	j := p.adopt(g.sample)
	p.markRunning(j, g, cell.Spare)
	p.registerCPUJob(j, g.tasksByWorker())
}

// tasks are the gang's tasks by worker.
func (g *foundGang) tasksByWorker() map[string]int {
	out := map[string]int{}
	for name, l := range g.leases {
		out[name] = l.Spec.Tasks
	}
	return out
}

// holdPlain registers a job without accelerators that runs already.
func (p *Placer) registerCPUJob(j *job, tasks map[string]int) {
	p.account.Hold(j.status.Job.ID, tasks, j.size)
	p.evictOvercommitted(j.workerNames)
}

// evictOver stops the jobs without accelerators that the workers' memory does not
// suffice for.
func (p *Placer) evictOvercommitted(workers []string) {
	evict := p.account.Evictions(workers)
	if len(evict) == 0 || p.abortLaunches(evict) {
		return
	}
	p.evict(evict, time.Now())
}

// limitsDiffer reports whether the worker has to be told other limits at once.
func (p *Placer) limitsChanged(w *workerState) bool {
	if !w.limitsStale || !w.fenced || !w.limitsConfirmed {
		return false
	}
	w.limitsStale = !maps.Equal(p.account.Limits(w.name), w.limits)
	return w.limitsStale
}

// renewal is what a renewal of the worker's leases carries, and the limits in it.
func (p *Placer) renewRequest(w *workerState, now time.Time) (worker.Renew, map[string]float64) {
	limits := p.account.Limits(w.name)
	out := worker.Renew{Term: p.cfg.Term}
	if !w.limitsConfirmed || !maps.Equal(limits, w.limits) {
		out.Limits = &worker.Limits{}
		for _, id := range slices.Sorted(maps.Keys(limits)) {
			if j := p.jobs[id]; j != nil {
				out.Limits.Jobs = append(out.Limits.Jobs, worker.Limit{Job: id, Generation: j.status.Generation, Cores: limits[id]})
			}
		}
	}
	out.Usage = !p.cfg.Unsafe.NoUsage && p.account.Busy(w.name) && now.Sub(w.usage) >= usageInterval
	return out, limits
}

// onUsage takes in what the worker confirmed and what its jobs were seen to use.
func (p *Placer) onUsage(w *workerState, req worker.Renew, limits map[string]float64, usage []worker.Usage, now time.Time) {
	w.limits = limits
	w.limitsConfirmed = true
	if req.Usage {
		w.usage = now
	}
	for _, u := range usage {
		j := p.jobs[u.Job]
		if j == nil || !j.isCPUJob() || j.status.State != api.Running || j.status.Generation != u.Generation {
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
func effectiveUse(peak, declared, current float64, settled bool) float64 {
	out := min(peak*usageMargin, max(peak, declared))
	if !settled {
		out = max(out, current)
	}
	return out
}

// expectSize has a job that waits count for the memory that its customer's jobs were
// seen to use, against what they had declared.
func (p *Placer) estimateSize(j *job) {
	if !j.isCPUJob() || j.peak != (capacity.Size{}) {
		return
	}
	if ratio, ok := p.memoryRatios.Ratio(estimate.Run{Customer: j.status.Job.Customer}, sizeQuantile); ok {
		j.size.Memory = min(p.size.Memory, j.status.Job.Memory*ratio*usageMargin)
	}
}

// observeSize learns from a job that was seen to use memory.
func (p *Placer) observeMemory(j *job) {
	if j.isCPUJob() && j.peak.Memory > 0 && j.status.Job.Memory > 0 {
		p.memoryRatios.ObserveRatio(estimate.Run{Customer: j.status.Job.Customer}, j.peak.Memory/j.status.Job.Memory)
	}
}

// resize has the job count for what a task of it was seen to use. Below what it has
// declared it counts only after it has run for a while.
func (p *Placer) resize(j *job, used capacity.Size, now time.Time) {
	j.peak = capacity.Size{Cores: max(j.peak.Cores, used.Cores), Memory: max(j.peak.Memory, used.Memory)}
	settled := now.Sub(j.status.Started) >= usageSettleTime
	size := capacity.Size{
		Cores:  min(p.size.Cores, effectiveUse(j.peak.Cores, j.status.Job.Cores, j.size.Cores, settled)),
		Memory: min(p.size.Memory, effectiveUse(j.peak.Memory, j.status.Job.Memory, j.size.Memory, settled)),
	}
	if size == j.size {
		return
	}
	j.size = size
	metric.Count("placer_resizes_total")
	p.account.Resize(j.status.Job.ID, size)
	p.dirty = true
	p.evictOvercommitted(j.workerNames)
}
