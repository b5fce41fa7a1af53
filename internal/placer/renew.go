package placer

import (
	"errors"
	"time"

	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/worker"
	"rhubarbshore/pkg/api"
)

// sendRenew prolongs all leases of the worker in one call.
func (p *Placer) sendRenew(w *member, now time.Time) {
	f := p.fenceOf(w)
	began := p.since
	in, limits := p.renewal(w, now)
	go func() {
		ctx, cancel := call(callTimeout)
		defer cancel()
		r, err := w.client.Renew(ctx, f, in)
		p.post(func() {
			w.busy = false
			w.due = 0
			if !p.leading || !began.Equal(p.since) {
				return
			}
			if err == nil {
				p.onUsage(w, in, limits, r.Usage, now)
			}
			p.onRenew(w, f, r, err, now)
		})
	}()
}

// onRenew learns from a renewal. The lease counts from before the call.
func (p *Placer) onRenew(w *member, f worker.Fence, r worker.Renewal, err error, asked time.Time) {
	now := time.Now()
	if !errors.Is(err, worker.ErrUnsent) {
		w.lapse = now.Add(p.cfg.Term)
	}
	if errors.Is(err, worker.ErrFenced) && f == p.fenceOf(w) {
		p.recheck(now)
		return
	}
	if err != nil {
		p.avoid(w, now)
		metric.Retry("renew")
		w.visitAt(now.Add(retryFence))
		return
	}
	p.hear(w, asked)
	w.visitAt(asked.Add(p.cfg.Renew))
	if w.down {
		p.setUp(w, now)
	}
	for _, c := range r.Changes {
		p.onChange(w, c, now)
	}
	if r.Running > p.runningOn(w) || r.Running+len(r.Changes) < p.settledOn(w, asked) {
		// An old call came late, or the worker has lost its table.
		w.unknown = true
		w.rival = true
		w.visitAt(now)
	}
}

// settledOn counts the jobs that ran on the worker when it was asked and still
// do.
func (p *Placer) settledOn(w *member, asked time.Time) int {
	n := 0
	for _, j := range p.jobs {
		if j.status.State == api.Running && !j.evicting && j.has(w.name) && j.status.Started.Before(asked) {
			n++
		}
	}
	return n
}

// runningOn counts the jobs that should have tasks on the worker.
func (p *Placer) runningOn(w *member) int {
	n := 0
	for _, j := range p.jobs {
		if j.placed() && j.has(w.name) {
			n++
		}
	}
	for _, g := range p.found {
		if _, ok := g.leases[w.name]; ok {
			n++
		}
	}
	return n
}

// onChange takes a finished or failed member in.
func (p *Placer) onChange(w *member, c worker.Change, now time.Time) {
	j := p.jobs[c.Job]
	if j == nil || j.status.Generation != c.Generation || j.status.State != api.Running {
		if j == nil || !j.placed() {
			p.stopMembers(c.Job, c.Generation, []string{w.name})
		}
		return
	}
	if c.State == worker.Failed {
		p.memberFailed(w, j, now)
		return
	}
	w.failed = 0
	w.times = 0
	j.finished[w.name] = true
	if len(j.finished) == len(j.members) {
		p.finish(j)
	}
}

// finish ends a job all of whose members ran to their end.
func (p *Placer) finish(j *job) {
	p.observe(j, time.Now())
	p.ended(j, api.Finished, "")
	p.clear(j)
}

// memberFailed stops the gang and, if the worker fails all it starts, keeps new
// work from it for a while, longer each time.
func (p *Placer) memberFailed(w *member, j *job, now time.Time) {
	w.failed++
	j.failedOn[w.name] = true
	p.avoid(w, now)
	alone := p.runningOn(w) <= 1
	if alone && (w.failed >= maxFailures || w.times > 0) {
		pause := min(quarantine<<min(w.times, 10), maxQuarantine)
		w.times++
		w.banned = now.Add(pause)
		metric.Count("placer_quarantines_total")
	}
	if len(j.failedOn) >= maxFailures {
		p.ended(j, api.JobFailed, "failed")
		p.clear(j)
		return
	}
	p.requeue(j, "member failed")
	if now.Before(w.banned) {
		p.setDown(w)
	}
}
