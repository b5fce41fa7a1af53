package placer

import (
	"errors"
	"sort"
	"time"

	"rhubarbshore/internal/cell"
	"rhubarbshore/internal/metric"
	"rhubarbshore/pkg/api"
)

// Tuning of the schedule.
const (
	depth        = 32
	firstBackOff = 50 * time.Millisecond
	maxBackOff   = 5 * time.Second
)

// schedule starts what can be started: first work inside guaranteed shapes,
// then spare work on what is idle.
func (p *Placer) schedule(now time.Time) {
	for _, q := range p.inOrder() {
		p.scheduleQueue(q, cell.Guaranteed, now)
	}
	for _, q := range p.inOrder() {
		p.scheduleQueue(q, cell.Spare, now)
	}
	p.reserve(now)
}

// inOrder lists the customers with waiting jobs, the one that holds fewest
// accelerators in front.
func (p *Placer) inOrder() []*queue {
	held := map[string]int{}
	for _, j := range p.jobs {
		if j.placed() {
			held[j.status.Job.Customer] += len(j.refs) * cell.Size(j.level)
		}
	}
	var out []*queue
	for _, name := range sortedNames(p.queues) {
		if len(p.queues[name].jobs) > 0 {
			out = append(out, p.queues[name])
		}
	}
	sort.SliceStable(out, func(i, k int) bool { return held[out[i].customer] < held[out[k].customer] })
	return out
}

// scheduleQueue tries the customer's first jobs in turn; smaller ones behind a
// job that does not fit may go before it.
func (p *Placer) scheduleQueue(q *queue, class cell.Class, now time.Time) {
	for _, j := range append([]*job(nil), q.jobs[:min(depth, len(q.jobs))]...) {
		if now.Before(j.notBefore) || !j.wants(class) || p.mayRunUnseen(j, now) {
			continue
		}
		p.try(j, class, now)
	}
}

// wants reports whether the job may run in the class.
func (j *job) wants(class cell.Class) bool {
	wanted := j.status.Job.Class
	return wanted == "" || wanted == string(class)
}

// try places the job and starts its launch.
func (p *Placer) try(j *job, class cell.Class, now time.Time) {
	mine := p.kept != nil && p.kept.job == j && class == cell.Spare
	if mine {
		p.tree.Unkeep(p.kept.cell)
	}
	r := cell.Request{Job: j.status.Job.ID, Customer: j.status.Job.Customer, Level: j.level, Count: j.status.Job.Cells, Class: class, Since: now}
	begun := time.Now()
	placement, err := p.tree.Place(r, now)
	metric.Observe("placer_decision_seconds", begun)
	if err != nil {
		if mine {
			p.tree.Keep(p.kept.cell)
		}
		if errors.Is(err, cell.ErrInfeasible) {
			p.unqueue(j)
			p.ended(j, api.Refused, "infeasible")
		}
		return
	}
	if mine {
		p.kept = nil
	}
	p.unqueue(j)
	p.launch(j, placement, now)
}

// reserve keeps a cell for the spare job that has waited longest, so that
// smaller jobs don't take every place that becomes free before it.
func (p *Placer) reserve(now time.Time) {
	if p.kept != nil {
		if p.kept.job.queued && p.jobs[p.kept.job.status.Job.ID] == p.kept.job {
			return
		}
		p.tree.Unkeep(p.kept.cell)
		p.kept = nil
	}
	var oldest *job
	for _, q := range p.queues {
		for _, j := range q.jobs {
			if j.level == 0 || !j.wants(cell.Spare) || now.Before(j.notBefore) {
				continue
			}
			if oldest == nil || j.status.Submitted.Before(oldest.status.Submitted) {
				oldest = j
			}
		}
	}
	if oldest == nil {
		return
	}
	if id, ok := p.tree.Nearest(oldest.level); ok {
		p.tree.Keep(id)
		p.kept = &reservation{job: oldest, cell: id}
	}
}
