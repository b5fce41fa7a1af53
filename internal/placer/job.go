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
	each      capacity.Size
	peak      capacity.Size
	members   []string
	refs      []worker.Part
	seats     []seat
	finished  map[string]bool
	notBefore time.Time
	// first is when the job first ran.
	first time.Time
	// failedOn names the workers on which a member failed: on three different
	// ones, the job is at fault.
	failedOn map[string]bool
	tries    int
	// saved is the run time that checkpoints have saved, in seconds.
	saved float64
	// ends is when the job is expected to end.
	ends     time.Time
	evicting bool
	// launching is set while a launch is under way; abort then says why it has
	// to be undone.
	launching bool
	abort     string
	cancelled bool
	queued    bool
	// kept is when this placer last wrote the job to the log.
	kept time.Time
	// unseen is set for a job that may run without this placer knowing.
	unseen bool
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
		each:     capacity.Size{Cores: in.Cores, Memory: in.Memory},
		status:   api.JobStatus{Job: in, State: api.Queued, Zone: zone, Submitted: time.Now()},
		level:    cell.Level(in.Accelerators),
		finished: map[string]bool{},
		failedOn: map[string]bool{},
	}
}

// placed reports whether the job holds cells of the tree.
func (j *job) placed() bool {
	return !j.over() && (j.evicting || j.status.State == api.Starting || j.status.State == api.Running)
}

func (j *job) over() bool { return !j.status.Ended.IsZero() }

func (j *job) has(worker string) bool { return slices.Contains(j.members, worker) }

// isPlain reports a job without accelerators.
func (j *job) isPlain() bool { return j.status.Job.Accelerators == 0 }

// accelerators is the number of accelerators that the job holds.
func (j *job) accelerators() int { return len(j.refs) * cell.Size(j.level) }

// density orders a customer's jobs of one sort.
func (j *job) density() float64 {
	if j.isPlain() {
		return j.status.Job.Worth / (float64(j.status.Job.Tasks) * max(j.each.Cores, j.each.Memory))
	}
	return j.status.Job.Worth / float64(j.status.Job.Cells*cell.Size(j.level))
}

// enqueue makes the job wait.
func (p *Placer) enqueue(j *job) {
	p.expectSize(j)
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
	if j.isPlain() {
		return p.plain
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
func (p *Placer) unqueue(j *job) {
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
	if j.over() {
		return
	}
	if j.launching {
		j.abort = reason
		return
	}
	p.dirty = true
	placed := j.placed()
	if j.cancelled {
		p.ended(j, api.Cancelled, "caller")
		if placed {
			p.clear(j)
		}
		return
	}
	if placed {
		p.free(j.status.Job.ID)
		p.stopGang(j)
	}
	j.evicting = false
	j.abort = ""
	j.members = nil
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
func (j *job) backOff(now time.Time) {
	pause := min(firstBackOff<<min(j.tries, 10), maxBackOff)
	if at := now.Add(pause); at.After(j.notBefore) {
		j.notBefore = at
	}
}
