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

// Parameters of CPU jobs.
const (
	// usageInterval is the time between requests to a worker to report usage.
	usageInterval = 5 * time.Minute
	// usageSettleTime is how long a job must have run before the amount accounted for
	// its tasks may shrink.
	usageSettleTime = 10 * time.Minute
	// usageMargin is the factor applied to the observed peak use.
	usageMargin = 1.25
	// sizeQuantile is the quantile of the observed ratios of used to declared memory
	// from which the memory of a waiting job is estimated.
	sizeQuantile = 0.9
)

// feasible reports whether the job would fit if the zone were idle.
func (p *Placer) feasible(j *job) bool {
	if j.isCPUJob() {
		return j.status.Job.Tasks > 0 && p.account.Feasible(j.status.Job.Tasks, j.size)
	}
	return p.tree.Feasible(j.level, j.status.Job.Cells)
}

// release frees all cells and capacity that the job holds.
func (p *Placer) release(id string) {
	p.tree.Release(id)
	p.account.Release(id)
}

// orderedCPUQueues returns the non-empty queues of CPU jobs, starting with the
// customer that holds the fewest processors.
func (p *Placer) orderedCPUQueues() []*queue {
	held := map[string]float64{}
	for _, j := range p.jobs {
		if j.isCPUJob() && j.placed() {
			held[j.status.Job.Customer] += j.size.Times(j.status.Job.Tasks).Cores
		}
	}
	return orderByHeld(p.cpuQueues, held)
}

// scheduleCPUJobs starts the queue's jobs that fit. Smaller jobs may overtake one
// that does not fit.
func (p *Placer) scheduleCPUJobs(q *queue, now time.Time) {
	for _, j := range slices.Clone(q.jobs[:min(lookahead, len(q.jobs))]) {
		if p.canStart(j, now) {
			p.tryCPUJob(j, now)
		}
	}
}

// tryCPUJob places the job and starts its launch, if there is capacity.
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

// cpuMembers returns the members of a CPU job for its tasks by worker.
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

// claimAccelerators accounts for the accelerators that the job is given and returns
// the CPU jobs that have to be stopped because they use the accelerators' memory.
func (p *Placer) claimAccelerators(j *job, members []member) []string {
	counts := map[string]int{}
	for _, m := range members {
		counts[m.name] = len(m.lease.Accelerators)
	}
	p.account.HoldAccelerators(j.status.Job.ID, counts)
	if p.cfg.Unsafe.NoCPUEviction {
		return nil
	}
	return p.account.Evictions(workersOf(members))
}

// restoreAccelerators accounts for the accelerators of a job that already runs, and
// evicts CPU jobs that use their memory.
func (p *Placer) restoreAccelerators(j *job, parts []cell.Part) {
	counts := map[string]int{}
	for _, part := range parts {
		for _, s := range p.tree.Slots(part.Cell) {
			counts[s.Worker]++
		}
	}
	p.account.HoldAccelerators(j.status.Job.ID, counts)
	p.evictOvercommitted(slices.Sorted(maps.Keys(counts)))
}

// restoreCPUJob registers a CPU job that was found running.
func (p *Placer) restoreCPUJob(g *foundGang) {
	j := p.adopt(g.sample)
	p.markRunning(j, g, cell.Spare)
	p.registerCPUJob(j, g.tasksByWorker())
}

// tasksByWorker returns the number of the gang's tasks on each worker.
func (g *foundGang) tasksByWorker() map[string]int {
	out := map[string]int{}
	for name, l := range g.leases {
		out[name] = l.Spec.Tasks
	}
	return out
}

// registerCPUJob accounts for a CPU job that already runs, even where it exceeds
// the capacity, and evicts jobs as needed.
func (p *Placer) registerCPUJob(j *job, tasks map[string]int) {
	p.account.HoldTasks(j.status.Job.ID, tasks, j.size)
	p.evictOvercommitted(j.workerNames)
}

// evictOvercommitted stops CPU jobs on the workers whose memory is overcommitted.
// If any of these jobs is still being launched, only such launches are aborted.
func (p *Placer) evictOvercommitted(workers []string) {
	evict := p.account.Evictions(workers)
	if len(evict) == 0 || p.abortLaunches(evict) {
		return
	}
	p.evict(evict, time.Now())
}

// limitsChanged reports whether the worker's processor limits changed since it last
// confirmed them, so that they have to be sent at once.
func (p *Placer) limitsChanged(w *workerState) bool {
	if !w.limitsStale || !w.fenced || !w.limitsConfirmed {
		return false
	}
	w.limitsStale = !maps.Equal(p.account.Limits(w.name), w.limits)
	return w.limitsStale
}

// renewRequest returns the next renewal of the worker's leases, and the processor
// limits that are in force once the worker has confirmed it.
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
	out.Usage = !p.cfg.Unsafe.NoUsage && p.account.Busy(w.name) && now.Sub(w.usageRequestedAt) >= usageInterval
	return out, limits
}

// onUsage records the limits that the worker confirmed, and adjusts the size of its
// CPU jobs to their measured use.
func (p *Placer) onUsage(w *workerState, req worker.Renew, limits map[string]float64, usage []worker.Usage, now time.Time) {
	w.limits = limits
	w.limitsConfirmed = true
	if req.Usage {
		w.usageRequestedAt = now
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

// effectiveUse returns the amount to account for a task: its peak use plus a margin, but
// no more than declared unless its peak exceeds that. Until the job has settled, the
// amount does not drop below the current one.
func effectiveUse(peak, declared, current float64, settled bool) float64 {
	out := min(peak*usageMargin, max(peak, declared))
	if !settled {
		out = max(out, current)
	}
	return out
}

// estimateSize estimates the memory of a waiting CPU job's tasks from the ratio of used
// to declared memory of its customer's earlier jobs, unless its own use has been measured.
func (p *Placer) estimateSize(j *job) {
	if !j.isCPUJob() || j.peak != (capacity.Size{}) {
		return
	}
	if ratio, ok := p.memoryRatios.Ratio(estimate.Run{Customer: j.status.Job.Customer}, sizeQuantile); ok {
		j.size.Memory = min(p.size.Memory, j.status.Job.Memory*ratio*usageMargin)
	}
}

// observeMemory records the ratio of used to declared memory of a finished job.
func (p *Placer) observeMemory(j *job) {
	if j.isCPUJob() && j.peak.Memory > 0 && j.status.Job.Memory > 0 {
		p.memoryRatios.ObserveRatio(estimate.Run{Customer: j.status.Job.Customer}, j.peak.Memory/j.status.Job.Memory)
	}
}

// resize adjusts the amount accounted for each of the job's tasks to the measured use of
// one task. The amount shrinks only after the job has run for usageSettleTime.
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
