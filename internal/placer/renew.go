package placer

import (
	"errors"
	"time"

	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/worker"
	"rhubarbshore/pkg/api"
)

// sendRenew renews all leases of the worker in one call.
func (p *Placer) sendRenew(w *workerState, now time.Time) {
	f := p.fenceOf(w)
	rebuild := p.rebuildStart
	req, limits := p.renewRequest(w, now)
	go func() {
		ctx, cancel := callContext(callTimeout)
		defer cancel()
		r, err := w.client.Renew(ctx, f, req)
		p.post(func() {
			w.calling = false
			w.dueNanos = 0
			if !p.leading || !rebuild.Equal(p.rebuildStart) {
				return
			}
			if err == nil {
				p.onUsage(w, req, limits, r.Usage, now)
			}
			p.onRenew(w, f, r, err, now)
		})
	}()
}

// onRenew handles the result of a renewal. The worker's timeout and the next renewal
// count from when the call was sent, since the renewed leases may last only from then.
func (p *Placer) onRenew(w *workerState, f worker.Fence, r worker.Renewal, err error, sentAt time.Time) {
	now := time.Now()
	if !errors.Is(err, worker.ErrUnsent) {
		w.leaseEnd = now.Add(p.cfg.Term)
	}
	if errors.Is(err, worker.ErrFenced) && f == p.fenceOf(w) {
		p.recheck(now)
		return
	}
	if err != nil {
		p.avoid(w, now)
		metric.Retry("renew")
		w.pollAt(now.Add(retryDelay))
		return
	}
	p.markAlive(w, sentAt)
	w.pollAt(sentAt.Add(p.cfg.RenewInterval))
	if w.down {
		p.markUp(w, now)
	}
	for _, c := range r.Changes {
		p.onChange(w, c, now)
	}
	if r.Running > p.expectedOn(w) || r.Running+len(r.Changes) < p.runningSince(w, sentAt) {
		// A delayed call took effect, or the worker has lost its lease table.
		w.unknown = true
		w.rival = true
		w.pollAt(now)
	}
}

// runningSince returns the number of jobs that ran on the worker when the call was
// sent and still do.
func (p *Placer) runningSince(w *workerState, sentAt time.Time) int {
	n := 0
	for _, j := range p.jobs {
		if j.status.State == api.Running && !j.evicting && j.runsOn(w.name) && j.status.Started.Before(sentAt) {
			n++
		}
	}
	return n
}

// expectedOn returns the number of jobs that should have tasks on the worker.
func (p *Placer) expectedOn(w *workerState) int {
	n := 0
	for _, j := range p.jobs {
		if j.placed() && j.runsOn(w.name) {
			n++
		}
	}
	for _, g := range p.foundGangs {
		if _, ok := g.leases[w.name]; ok {
			n++
		}
	}
	return n
}

// onChange handles a member that finished or failed.
func (p *Placer) onChange(w *workerState, c worker.Change, now time.Time) {
	j := p.jobs[c.Job]
	if j == nil || j.status.Generation != c.Generation || j.status.State != api.Running {
		if j == nil || !j.placed() {
			p.stopGeneration(c.Job, c.Generation, []string{w.name})
		}
		return
	}
	if c.State == worker.Failed {
		p.onMemberFailed(w, j, now)
		return
	}
	w.failures = 0
	w.quarantines = 0
	j.finished[w.name] = true
	if len(j.finished) == len(j.workerNames) {
		p.finishJob(j)
	}
}

// finishJob ends a job whose members have all run to their end.
func (p *Placer) finishJob(j *job) {
	p.observeRunTime(j, time.Now())
	p.endJob(j, api.Finished, "")
	p.stopAndRelease(j)
}

// onMemberFailed requeues the job, or ends it if it failed on maxFailures workers. A
// worker on which every start fails is quarantined, each time for longer.
func (p *Placer) onMemberFailed(w *workerState, j *job, now time.Time) {
	w.failures++
	j.failedOn[w.name] = true
	p.avoid(w, now)
	onlyJob := p.expectedOn(w) <= 1
	if onlyJob && (w.failures >= maxFailures || w.quarantines > 0) {
		delay := min(minQuarantine<<min(w.quarantines, 10), maxQuarantine)
		w.quarantines++
		w.quarantinedUntil = now.Add(delay)
		metric.Count("placer_quarantines_total")
	}
	if len(j.failedOn) >= maxFailures {
		p.endJob(j, api.JobFailed, "failed")
		p.stopAndRelease(j)
		return
	}
	p.requeue(j, "member failed")
	if now.Before(w.quarantinedUntil) {
		p.markDown(w)
	}
}
