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

// job is a job as the placer knows it.
type job struct {
	status api.JobStatus
	level  int
	// each is what a task of a job without accelerators counts for, and peak the most
	// that one was seen to use.
	size        capacity.Size
	peak        capacity.Size
	workerNames []string
	refs        []worker.Part
	members     []member
	finished    map[string]bool
	notBefore   time.Time
	// first is when the job first ran.
	firstStart time.Time
	// failedOn names the workers on which a member failed: on three different
	// ones, the job is at fault.
	failedOn map[string]bool
	tries    int
	// saved is the run time that checkpoints have saved, in seconds.
	saved float64
	// ends is when the job is expected to end.
	expectedEnd time.Time
	evicting    bool
	// launching is set while a launch is under way; abort then says why it has
	// to be undone.
	launching   bool
	abortReason string
	cancelled   bool
	queued      bool
	// kept is when this placer last wrote the job to the log.
	written time.Time
	// unseen is set for a job that may run without this placer knowing.
	unverified bool
}

// queue holds one customer's waiting jobs, the most worth per accelerator and
// then the oldest in front.
type queue struct {
	customer string
	jobs     []*job
}

// reservation keeps a cell for the large job that has waited longest.
type reservation struct {
	job  *job
	cell cell.ID
	// moved is set once spare jobs were moved out of the cell.
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

// placed reports whether the job holds cells of the tree.
func (j *job) placed() bool {
	return !j.ended() && (j.evicting || j.status.State == api.Starting || j.status.State == api.Running)
}

func (j *job) ended() bool { return !j.status.Ended.IsZero() }

func (j *job) runsOn(worker string) bool { return slices.Contains(j.workerNames, worker) }

// isPlain reports a job without accelerators.
func (j *job) isCPUJob() bool { return j.status.Job.Accelerators == 0 }

// accelerators is the number of accelerators that the job holds.
func (j *job) accelerators() int { return len(j.refs) * cell.Size(j.level) }

// density orders a customer's jobs of one sort.
func (j *job) density() float64 {
	if j.isCPUJob() {
		return j.status.Job.Worth / (float64(j.status.Job.Tasks) * max(j.size.Cores, j.size.Memory))
	}
	return j.status.Job.Worth / float64(j.status.Job.Cells*cell.Size(j.level))
}

// enqueue makes the job wait.
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

// queuesFor returns the queues of the job's sort.
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

// unqueue takes the job out of its customer's queue.
func (p *Placer) dequeue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	q := p.queuesFor(j)[j.status.Job.Customer]
	q.jobs = slices.DeleteFunc(q.jobs, func(o *job) bool { return o == j })
}

// requeue stops the gang, if it runs, and makes the job wait again. A launch
// under way is left to undo itself: only it knows which calls it has sent.
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
			p.clear(j)
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
	p.cfg.Logger.Info("job waits again", "job", j.status.Job.ID, "customer", j.status.Job.Customer, "reason", reason)
}

// backOff sets the earliest time of the next try.
func (j *job) setBackoff(now time.Time) {
	delay := min(minBackoff<<min(j.tries, 10), maxBackoff)
	if at := now.Add(delay); at.After(j.notBefore) {
		j.notBefore = at
	}
}
