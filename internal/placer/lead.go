package placer

import (
	"maps"
	"math"
	"slices"
	"time"

	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/worker"
)

// Tuning of taking the lead.
const (
	retryDelay     = 500 * time.Millisecond
	rebuildTimeout = time.Second
	rivalPollDelay = 2 * time.Second
	avoidTime      = 20 * time.Second
	minQuarantine  = 30 * time.Second
	maxQuarantine  = time.Hour
	maxFailures    = 3
)

// member is one worker of the zone.
type workerState struct {
	name    string
	client  Worker
	stopper stopBatcher
	epoch   uint64
	fenced  bool
	down    bool
	// busy is set while a call of visit is under way.
	calling bool
	// unknown is set after a call whose effect is unknown: the worker is fenced
	// again, and its table read, before its leases are renewed.
	unknown bool
	// rival is set while another placer's fence is or may be in force: this one
	// looks before it raises its own, and leaves the worker to a living rival.
	rival        bool
	avoidedUntil time.Time
	nextPoll     time.Time
	// due is when visit may have something to do, in Unix nanoseconds: it is looked
	// at on every tick for every worker.
	dueNanos int64
	// lost is when the worker is given up unless it answers before.
	lostAt time.Time
	// lapse is when the last lease that this placer can have prolonged ends.
	leaseEnd time.Time
	// limits are the processors of throttled jobs as the worker last confirmed them;
	// limited is set once it has, and usage is when it was last asked what jobs use.
	limits          map[string]float64
	limitsConfirmed bool
	// resized is set while the limits due may be others than the confirmed ones.
	limitsStale      bool
	usage            time.Time
	failures         int
	quarantines      int
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

// takeLead forgets everything but the jobs' names and fences all workers.
func (p *Placer) startLeading(now time.Time) {
	p.cfg.Logger.Info("placer starts to lead")
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

// recheck rebuilds everything like takeLead, but leaves each worker to another
// placer that has fenced it meanwhile and still claims the lead. It follows a
// pause of this process and any sign of another placer. It reports false if the
// last rebuilding began only a moment ago.
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

// leaveLead forgets everything. Open jobs are kept aside until Orphans hands
// them to the next placer, which may know some already.
func (p *Placer) stopLeading() {
	p.cfg.Logger.Info("placer stops leading")
	for _, j := range p.openJobs() {
		p.orphans = append(p.orphans, j.status)
	}
	p.setJournalLeading(false)
	p.reset()
}

// visitAt sets when the worker is called next.
func (w *workerState) pollAt(at time.Time) {
	w.nextPoll = at
	w.dueNanos = 0
}

// visit does the call that is due on the worker: a fence or a renewal.
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

// setDue works out when the next visit can have something to do. Whatever changes
// before asks for a visit at once.
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

// onFence takes the worker's table in, or steps back from a higher fence.
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
		// Nobody else has fenced it: raise the fence at once.
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

// stepBack leaves the worker to the holder of a higher fence as long as that
// placer uses it. Only on taking the lead is the first higher fence outbid at
// once: it is then that of the placer before.
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
	gone := p.cfg.Holds != nil && t.Fence.Holder != "" && !p.cfg.Holds(t.Fence.Holder)
	if gone || silence > p.cfg.Renew+p.cfg.Lost {
		w.rival = false
		w.pollAt(now)
		p.pollRivals(now)
	}
}

// lookAtRivals has all workers of a rival looked at together, since that placer
// seems to have gone: its gangs can be told to be whole only if all are read.
func (p *Placer) pollRivals(now time.Time) {
	for _, w := range p.workers {
		if w.rival {
			w.pollAt(now)
		}
	}
}

// avoid keeps new work off a worker that gave trouble, for a while.
func (p *Placer) avoid(w *workerState, now time.Time) {
	w.avoidedUntil = now.Add(avoidTime)
	w.dueNanos = 0
	p.tree.SetAvoided(w.name, true)
	p.account.SetAvoided(w.name, true)
}

// setUp makes the worker's accelerators usable unless it is in quarantine.
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

// setDown gives up the worker: no gang that has a member on it can go on.
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

// hear notes that the worker lived at that time.
func (p *Placer) markAlive(w *workerState, at time.Time) {
	w.lostAt = at.Add(p.cfg.Renew + p.cfg.Lost)
}

// checkLost gives up a worker that has been silent for too long, and ends the
// avoidance of one that gave trouble a while ago.
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
