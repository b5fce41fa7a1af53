package placer

import (
	"maps"
	"math"
	"slices"
	"time"

	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/worker"
)

// Parameters of the leadership and of the calls to workers.
const (
	// retryDelay is the delay before a failed call to a worker is repeated, and the
	// minimum time between two rebuilds by recheck.
	retryDelay = 500 * time.Millisecond
	// rebuildTimeout is how long a rebuild waits for all workers to answer. The journal
	// is not read before that.
	rebuildTimeout = time.Second
	// rivalPollDelay is the interval between polls of a worker that another placer
	// has fenced.
	rivalPollDelay = 2 * time.Second
	// avoidTime is how long a worker is avoided for new work after a failure.
	avoidTime = 20 * time.Second
	// minQuarantine and maxQuarantine are the first and the longest quarantine. Each
	// further quarantine of a worker is twice as long as the one before.
	minQuarantine = 30 * time.Second
	maxQuarantine = time.Hour
	// maxFailures is the number of failures in a row after which a worker may be
	// quarantined, and the number of different workers with a failed member at which
	// the job itself has failed.
	maxFailures = 3
)

// workerState is the placer's state of one worker of the zone.
type workerState struct {
	name    string
	client  Worker
	stopper stopBatcher
	// epoch is the highest fence epoch sent to the worker or seen on it.
	epoch uint64
	// fenced is set while this placer's fence is in force on the worker.
	fenced bool
	// down is set while the worker is lost, quarantined or left to another placer.
	down bool
	// calling is set while a fence or a renewal is in flight.
	calling bool
	// unknown is set after a call with an unknown outcome: the worker is fenced again
	// and its lease table read before its leases are renewed.
	unknown bool
	// rival is set while another placer's fence is or may be in force. This placer
	// then reads the fence before it raises its own, and leaves the worker to the
	// other placer as long as that one is alive.
	rival bool
	// avoidedUntil is the time until which the worker is avoided for new work, zero if
	// it isn't avoided.
	avoidedUntil time.Time
	// nextPoll is when the worker is called next.
	nextPoll time.Time
	// dueNanos is when poll may have something to do, in Unix nanoseconds. It is
	// checked for every worker on every tick.
	dueNanos int64
	// lostAt is when the worker is considered lost unless it answers before.
	lostAt time.Time
	// leaseEnd is when the last lease that this placer may have renewed expires.
	leaseEnd time.Time
	// limits are the processor limits of throttled jobs that the worker last
	// confirmed, by job.
	limits map[string]float64
	// limitsConfirmed is set once the worker has confirmed limits.
	limitsConfirmed bool
	// limitsStale is set while the confirmed limits may differ from the current ones.
	limitsStale bool
	// usageRequestedAt is when the worker was last asked for the usage of its jobs.
	usageRequestedAt time.Time
	// failures counts the members that failed on the worker since one last finished.
	failures int
	// quarantines counts the quarantines since a member last finished on the worker.
	quarantines int
	// quarantinedUntil is the end of the latest quarantine.
	quarantinedUntil time.Time
}

func (w *workerState) reset() {
	w.fenced = false
	w.down = true
	w.unknown = false
	w.rival = false
	w.avoidedUntil = time.Time{}
	w.nextPoll, w.dueNanos = time.Time{}, 0
	w.lostAt = time.Time{}
	w.limitsConfirmed = false
}

// startLeading clears all state except the open jobs, and has all workers fenced and
// their lease tables read.
func (p *Placer) startLeading(now time.Time) {
	p.cfg.Logger.Info("placer leads; rebuilding its state from the workers")
	metric.Count("placer_leads_total")
	open := p.openJobs()
	p.reset()
	p.setJournalLeading(true)
	p.rebuildStart = now
	for _, name := range slices.Sorted(maps.Keys(p.workers)) {
		p.tree.SetDown(name, true)
		p.account.SetDown(name, true)
	}
	for _, j := range open {
		p.enqueue(j)
	}
	for _, w := range p.workers {
		w.pollAt(now)
	}
}

// recheck rebuilds the state like startLeading, but leaves a worker to another placer
// that has fenced it in the meantime and still claims the leadership. It runs after
// a pause of this process and on any sign of another placer. It returns false if the
// previous rebuild began less than retryDelay ago.
func (p *Placer) recheck(now time.Time) bool {
	if now.Sub(p.rebuildStart) < retryDelay {
		return false
	}
	metric.Count("placer_rechecks_total")
	p.startLeading(now)
	for _, w := range p.workers {
		w.rival = true
		p.markAlive(w, now)
	}
	return true
}

// stopLeading clears all state. Open jobs are kept until Orphans returns them, to be
// passed to the next placer, which may already know some of them.
func (p *Placer) stopLeading() {
	p.cfg.Logger.Info("placer stops leading")
	for _, j := range p.openJobs() {
		p.orphans = append(p.orphans, j.status)
	}
	p.setJournalLeading(false)
	p.reset()
}

// pollAt sets when the worker is called next.
func (w *workerState) pollAt(at time.Time) {
	w.nextPoll = at
	w.dueNanos = 0
}

// poll makes the call to the worker that is due, a fence or a renewal.
func (p *Placer) poll(w *workerState, now time.Time) {
	p.checkTimeouts(w, now)
	defer w.updateDue()
	if w.calling || now.Before(w.nextPoll) && !p.limitsChanged(w) {
		return
	}
	w.calling = true
	if !w.fenced || w.unknown {
		p.sendFence(w, now)
		return
	}
	p.sendRenew(w, now)
}

// updateDue computes when poll may have something to do next. Any change that makes
// this earlier sets dueNanos to zero.
func (w *workerState) updateDue() {
	w.dueNanos = math.MaxInt64
	earlier := func(at time.Time) {
		if at.IsZero() {
			w.dueNanos = 0
			return
		}
		w.dueNanos = min(w.dueNanos, at.UnixNano())
	}
	if !w.down {
		earlier(w.lostAt)
	}
	if !w.avoidedUntil.IsZero() {
		earlier(w.avoidedUntil)
	}
	if !w.calling {
		earlier(w.nextPoll)
	}
}

func (p *Placer) fenceOf(w *workerState) worker.Fence {
	if p.cfg.Unsafe.NoFence {
		return worker.Fence{Epoch: 1, Holder: p.cfg.Zone}
	}
	return worker.Fence{Epoch: w.epoch, Holder: p.cfg.VM}
}

func (p *Placer) sendFence(w *workerState, now time.Time) {
	f := worker.Fence{}
	if !w.rival {
		p.epoch = max(p.epoch, w.epoch+1)
		w.epoch = max(w.epoch+1, p.epoch)
		f = p.fenceOf(w)
	}
	rebuild := p.rebuildStart
	go func() {
		ctx, cancel := callContext(callTimeout)
		defer cancel()
		t, err := w.client.Fence(ctx, f)
		p.post(func() {
			w.calling = false
			w.dueNanos = 0
			if !p.leading || !rebuild.Equal(p.rebuildStart) {
				return
			}
			p.onFence(w, f, t, err, now)
		})
	}()
}

// onFence reconciles with the worker's lease table, or yields to a higher fence.
func (p *Placer) onFence(w *workerState, f worker.Fence, t worker.Table, err error, sentAt time.Time) {
	now := time.Now()
	if err != nil {
		p.avoid(w, now)
		w.pollAt(now.Add(retryDelay))
		return
	}
	w.epoch = max(w.epoch, t.Fence.Epoch)
	p.epoch = max(p.epoch, w.epoch)
	if w.rival && (t.Fence == worker.Fence{} || t.Fence.Holder == p.cfg.VM) {
		// No other placer has fenced the worker, so raise the fence at once.
		w.rival = false
		w.pollAt(now)
		return
	}
	if f.Less(t.Fence) {
		p.yieldWorker(w, t, now)
		return
	}
	w.fenced = true
	w.limitsConfirmed = false
	w.unknown = false
	p.markAlive(w, sentAt)
	w.pollAt(now)
	p.reconcile(w, t, now)
	p.markUp(w, now)
}

// yieldWorker leaves the worker to the holder of a higher fence as long as that placer
// uses the worker. The first higher fence seen after taking over the leadership is
// the exception: it is the previous placer's and is superseded at once.
func (p *Placer) yieldWorker(w *workerState, t worker.Table, now time.Time) {
	metric.Count("placer_fenced_total")
	w.fenced = false
	if w.lostAt.IsZero() {
		w.pollAt(now)
		p.markAlive(w, now)
		return
	}
	w.rival = true
	w.pollAt(now.Add(rivalPollDelay))
	p.markDown(w)
	silence := time.Duration(t.Silence) * time.Millisecond
	gone := p.cfg.ClaimsLead != nil && t.Fence.Holder != "" && !p.cfg.ClaimsLead(t.Fence.Holder)
	if gone || silence > p.cfg.RenewInterval+p.cfg.WorkerTimeout {
		w.rival = false
		w.pollAt(now)
		p.pollRivals(now)
	}
}

// pollRivals polls all workers that were left to another placer at once, because that
// placer seems to be gone. Whether its gangs are complete is only known when the lease
// tables of all these workers have been read.
func (p *Placer) pollRivals(now time.Time) {
	for _, w := range p.workers {
		if w.rival {
			w.pollAt(now)
		}
	}
}

// avoid excludes a worker from new spare work for avoidTime after a failure and makes it
// the last choice for guaranteed work.
func (p *Placer) avoid(w *workerState, now time.Time) {
	w.avoidedUntil = now.Add(avoidTime)
	w.dueNanos = 0
	p.tree.SetAvoided(w.name, true)
	p.account.SetAvoided(w.name, true)
}

// markUp makes the worker usable unless it is quarantined or left to another placer.
func (p *Placer) markUp(w *workerState, now time.Time) {
	if now.Before(w.quarantinedUntil) || !w.down || w.rival {
		return
	}
	w.down = false
	w.dueNanos = 0
	p.tree.SetDown(w.name, false)
	p.account.SetDown(w.name, false)
	p.dirty = true
	p.restoreFound()
}

// markDown marks the worker as lost and requeues the gangs that have a member on it,
// since none of them can go on.
func (p *Placer) markDown(w *workerState) {
	if w.down {
		return
	}
	w.down = true
	metric.Count("placer_workers_lost_total")
	p.cfg.Logger.Warn("worker lost", "worker", w.name)
	for _, id := range append(p.tree.SetDown(w.name, true), p.account.SetDown(w.name, true)...) {
		if j := p.jobs[id]; j != nil {
			j.notBefore = w.leaseEnd.Add(p.cfg.Drift)
			p.requeue(j, "worker lost")
		}
	}
}

// markAlive records that the worker was alive at that time.
func (p *Placer) markAlive(w *workerState, at time.Time) {
	w.lostAt = at.Add(p.cfg.RenewInterval + p.cfg.WorkerTimeout)
}

// checkTimeouts marks the worker as lost if it has been silent for too long, and
// allows new work on it again once avoidedUntil has passed.
func (p *Placer) checkTimeouts(w *workerState, now time.Time) {
	if !w.avoidedUntil.IsZero() && w.avoidedUntil.Before(now) {
		w.avoidedUntil = time.Time{}
		p.tree.SetAvoided(w.name, false)
		p.account.SetAvoided(w.name, false)
		p.dirty = true
	}
	if w.down || now.Before(w.lostAt) {
		return
	}
	w.fenced = false
	p.markDown(w)
}
