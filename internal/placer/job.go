package placer

import (
	"slices"
	"sort"
	"time"

	"rhubarbshore/internal/capacity"
	"rhubarbshore/internal/cell"
	"rhubarbshore/internal/worker"
	"rhubarbshore/pkg/api"
)

// job is the placer's state of a job.
type job struct {
	status api.JobStatus
	level  int
	// size is the amount that is accounted for each task of a CPU job.
	size capacity.Size
	// peak is the highest measured use of a task of a CPU job.
	peak capacity.Size
	// workerNames are the workers that run the gang's members.
	workerNames []string
	// refs are the cells of the job, independent of this process's cell IDs.
	refs []worker.Part
	// members are the members of the latest launch.
	members []member
	// finished are the workers whose member has run to its end.
	finished map[string]bool
	// notBefore is the earliest time of the next start.
	notBefore time.Time
	// firstStart is when the job first ran.
	firstStart time.Time
	// failedOn are the workers on which a member failed. Failures on maxFailures (3)
	// different workers are blamed on the job.
	failedOn map[string]bool
	// tries counts the requeues since the gang last started.
	tries int
	// saved is the run time in seconds whose work is saved in checkpoints.
	saved float64
	// expectedEnd is when the job is expected to end, zero if unknown.
	expectedEnd time.Time
	// evicting is set while the job is being stopped to make room for another.
	evicting bool
	// launching is set while a launch is in flight. If abortReason is set then,
	// the launch is undone when it completes.
	launching   bool
	abortReason string
	cancelled   bool
	queued      bool
	// written is when this placer last wrote the job to the log.
	written time.Time
	// unverified is set for a job known from a former term of leadership or from
	// the journal: it may be running on workers that have not answered yet.
	unverified bool
}

// queue holds one customer's waiting jobs, ordered by density, highest first, and
// then by age, oldest first.
type queue struct {
	customer string
	jobs     []*job
}

// reservation reserves a cell for the large job that has waited longest.
type reservation struct {
	job  *job
	cell cell.ID
	// moved is set once the spare jobs on the cell have been evicted.
	moved bool
}

func newJob(in api.Job, zone string) *job {
	if in.Accelerators > 0 || in.Cores == 0 && in.Memory == 0 {
		in.Cells = max(1, in.Cells)
		in.Accelerators = max(1, in.Accelerators)
	}
	return &job{
		size:     capacity.Size{Cores: in.Cores, Memory: in.Memory},
		status:   api.JobStatus{Job: in, State: api.Queued, Zone: zone, Submitted: time.Now()},
		level:    cell.Level(in.Accelerators),
		finished: map[string]bool{},
		failedOn: map[string]bool{},
	}
}

// placed reports whether the job holds cells or capacity.
func (j *job) placed() bool {
	return !j.ended() && (j.evicting || j.status.State == api.Starting || j.status.State == api.Running)
}

func (j *job) ended() bool { return !j.status.Ended.IsZero() }

func (j *job) runsOn(worker string) bool { return slices.Contains(j.workerNames, worker) }

// isCPUJob reports whether the job uses no accelerators.
func (j *job) isCPUJob() bool { return j.status.Job.Accelerators == 0 }

// accelerators returns the number of accelerators that the job holds.
func (j *job) accelerators() int { return len(j.refs) * cell.Size(j.level) }

// density is the job's worth per accelerator, or for a CPU job per unit of the
// processors or memory it needs, whichever is larger. It orders a queue.
func (j *job) density() float64 {
	if j.isCPUJob() {
		return j.status.Job.Worth / (float64(j.status.Job.Tasks) * max(j.size.Cores, j.size.Memory))
	}
	return j.status.Job.Worth / float64(j.status.Job.Cells*cell.Size(j.level))
}

// enqueue puts the job into its customer's queue.
func (p *Placer) enqueue(j *job) {
	p.estimateSize(j)
	p.jobs[j.status.Job.ID] = j
	if j.queued {
		return
	}
	j.queued = true
	p.dirty = true
	name := j.status.Job.Customer
	queues := p.queuesFor(j)
	if queues[name] == nil {
		queues[name] = &queue{customer: name}
	}
	queues[name].insert(j)
}

// queuesFor returns the queues for jobs of this kind, with or without accelerators.
func (p *Placer) queuesFor(j *job) map[string]*queue {
	if j.isCPUJob() {
		return p.cpuQueues
	}
	return p.queues
}

func (q *queue) insert(j *job) {
	i := sort.Search(len(q.jobs), func(i int) bool {
		o := q.jobs[i]
		if o.density() != j.density() {
			return o.density() < j.density()
		}
		return o.status.Submitted.After(j.status.Submitted)
	})
	q.jobs = slices.Insert(q.jobs, i, j)
}

// dequeue removes the job from its customer's queue.
func (p *Placer) dequeue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	q := p.queuesFor(j)[j.status.Job.Customer]
	q.jobs = slices.DeleteFunc(q.jobs, func(o *job) bool { return o == j })
}

// requeue stops the gang, if it runs, and queues the job again, or ends it if it was
// cancelled. A launch in flight is only marked to be aborted: it undoes itself, since
// only it knows which calls it has sent.
func (p *Placer) requeue(j *job, reason string) {
	if j.ended() {
		return
	}
	if j.launching {
		j.abortReason = reason
		return
	}
	p.dirty = true
	placed := j.placed()
	if j.cancelled {
		p.endJob(j, api.Cancelled, "caller")
		if placed {
			p.stopAndRelease(j)
		}
		return
	}
	if placed {
		p.release(j.status.Job.ID)
		p.stopGang(j)
	}
	j.evicting = false
	j.abortReason = ""
	j.workerNames = nil
	j.refs = nil
	j.finished = map[string]bool{}
	j.status.State = api.Queued
	j.status.Reason = reason
	j.status.Workers = nil
	j.status.Class = ""
	j.tries++
	p.enqueue(j)
	p.cfg.Logger.Info("job requeued", "job", j.status.Job.ID, "customer", j.status.Job.Customer, "reason", reason)
}

// setBackoff delays the next start exponentially with the number of tries.
func (j *job) setBackoff(now time.Time) {
	delay := min(minBackoff<<min(j.tries, 10), maxBackoff)
	if at := now.Add(delay); at.After(j.notBefore) {
		j.notBefore = at
	}
}
