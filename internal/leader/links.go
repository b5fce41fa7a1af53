package leader

import (
	"context"
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/lease"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/scheduler"
)

const (
	// renewalWait is the longest time that a renewal waits for a run to end.
	renewalWait = time.Second
	// renewalMargin is the time that a renewal may take beyond its wait.
	renewalMargin = 600 * time.Millisecond
	// startLease is the lease that a start requests. The next renewal, sent at once, requests
	// the longest one. If neither is answered, the short lease lets the task start elsewhere
	// that much sooner.
	startLease = 3 * time.Second
	// maxRenewedLease is the longest lease that a renewal requests. A lasting task must run again
	// nine seconds after it was lost with its worker, of which a slow clock takes 2% and the
	// expiry, the write and the start the rest.
	maxRenewedLease = 7500 * time.Millisecond
	// leaseAfterWrite is how long after a write, or a confirmation by witnesses, renewals request leases. A lasting task
	// must run again nine seconds after it was lost with its worker and the leader; see maxRenewedLease.
	leaseAfterWrite = 7900 * time.Millisecond
	// shortRenewalTimeout limits a renewal that does not wait.
	shortRenewalTimeout = 700 * time.Millisecond
	// ackWindow is how recently a worker must have answered to be asked to forget ended runs. It
	// is shorter than a worker takes to restart and to end a run.
	ackWindow = 150 * time.Millisecond
	// renewalRetryDelay and maxRenewalRetryDelay are the first and the longest delay after a
	// renewal that got no answer.
	renewalRetryDelay    = 100 * time.Millisecond
	maxRenewalRetryDelay = 700 * time.Millisecond
	// heldEndsInterval is the time between renewals to a worker that has to keep ended runs.
	heldEndsInterval = 250 * time.Millisecond
	// orderTimeout and orderAttempts limit a start or stop. Orders are safe to repeat, since a
	// worker recognizes the run's number.
	orderTimeout    = 500 * time.Millisecond
	orderAttempts   = 3
	orderRetryDelay = 50 * time.Millisecond
	// runChecks and runCheckInterval limit the calls that ask for the run of a start without an answer.
	// Together they wait longer than one order, as links may be slow.
	runChecks        = 2
	runCheckInterval = orderTimeout + orderRetryDelay
	// maxConcurrentStarts limits the starts in progress, so that a burst of them leaves
	// processor time for pings and renewals, and the first gangs are complete before the last
	// ones begin. With this limit, no start reached its deadline in eight bursts on VMs with
	// 0.19 cores; without one, some hundred did in three of them.
	maxConcurrentStarts = 32
	// maxStartSlotTime is how long a start counts against maxConcurrentStarts. Workers that do
	// not answer must not keep others from starting.
	maxStartSlotTime = 100 * time.Millisecond
)

// link is the leader's state of the leases and renewals of one worker. The loop owns it.
type link struct {
	id, address  string
	clock        lease.Clock // in the worker's last answer
	leases       lease.Worker
	ackable      int64 // number of the last ended run whose record is stored
	ackedEnd     int64 // number of the last ended run that the worker was asked to forget
	incarnation  int64
	renewing     bool // a renewal is in progress
	checked      bool // the last renewal only learned the worker's process, and was answered
	unstoredEnds bool // ended runs were listed whose records are not stored yet
	nextRenewal  time.Time
	renewedAt    time.Time
	failures     int
	marked       bool // the link is in term.marked
	stored       bool // the stored term record may name the worker as silent, so no lease is granted
}

// estimateClock returns an estimate of the worker's clock that is never ahead of it.
func (l *link) estimateClock(at time.Time) int64 {
	if l.clock.ReadAt.IsZero() {
		return 0
	}
	return l.clock.MS + int64(float64(at.Sub(l.clock.ReadAt).Milliseconds())/lease.MaxClockDrift)
}

// deadline returns, on the worker's clock, the end of a lease granted at the given time, or 0 if
// the clock is unknown.
func (l *link) deadline(at time.Time, d time.Duration) int64 {
	if l.clock.ReadAt.IsZero() {
		return 0
	}
	return l.estimateClock(at) + d.Milliseconds()
}

// markForCheck makes this round check whether a renewal to the worker is due.
func (t *term) markForCheck(l *link) {
	if !l.marked {
		l.marked = true
		t.marked = append(t.marked, l)
	}
}

// markAllForCheck makes this round check all workers, since a renewal may become due by time
// alone.
func (t *term) markAllForCheck() {
	for _, l := range t.links {
		t.markForCheck(l)
	}
}

// renewNow makes the next renewal to a worker due at once. It ignores a nil link.
func (t *term) renewNow(l *link) {
	if l != nil {
		l.nextRenewal = time.Time{}
		t.markForCheck(l)
	}
}

// link returns the link to a worker and creates it if it is missing. Under a new leader, leases
// granted by the previous one may be valid for a while.
func (t *term) link(id, address string) *link {
	l := t.links[id]
	if l == nil {
		_, stored := t.silent[id]
		l = &link{id: id, leases: lease.NewWorker(id, t.earlierLeases), stored: stored}
		t.links[id] = l
	}
	if address != "" {
		l.address = address
	}
	return l
}

// errUnknownService means that a registry entry names a service that the configuration does not have.
var errUnknownService = errorx.NewType(namespace, "service").New("no such service is configured")

// rejectsService reports whether a worker's entry is of no service of the configuration. An entry of the worker's known
// service holds in any case.
func (t *term) rejectsService(w scheduler.Worker) bool {
	snap := t.cfg.Catalog()
	return snap != nil && !snap.NamesService(w.Service) && t.core.Service(w.ID) != w.Service
}

func (t *term) updateWorkers(now time.Time, reg fleet.Registry) {
	for _, w := range reg.Workers {
		if t.rejectsService(w) {
			t.logRejected(fleet.Rejected{ID: w.ID, Err: fmt.Errorf("service %.60q: %w", w.Service, errUnknownService)})
			continue
		}
		t.core.UpdateWorker(now, w)
		l := t.link(w.ID, "")
		if w.Incarnation == 0 || w.Incarnation >= l.incarnation {
			l.address = w.Address
		}
		if w.Incarnation > l.incarnation {
			l.setIncarnation(w.Incarnation)
		}
	}
	for _, id := range reg.Gone {
		t.core.RemoveWorker(id)
	}
	for _, r := range reg.Rejected {
		t.logRejected(r)
	}
}

// maxLoggedRejections limits the workers of which a rejected registry entry is logged in a term.
const maxLoggedRejections = 64

// logRejected logs and counts a registry entry that cannot be used. An entry that is repeated
// with each heartbeat is logged once.
func (t *term) logRejected(r fleet.Rejected) {
	metric.Count("registry_entries_rejected_total")
	if t.rejected[r.ID] || len(t.rejected) >= maxLoggedRejections {
		return
	}
	t.rejected[r.ID] = true
	id := r.ID[:min(len(r.ID), maxLoggedIDBytes)]
	t.cfg.Logger.Warn("registry entry rejected", "worker", id, "known", t.core.Knows(r.ID), "workers_logged", len(t.rejected), "most", maxLoggedRejections, "error", r.Err)
}

// maxLoggedIDBytes limits the length of an ID of another writer in the log.
const maxLoggedIDBytes = 64

// setIncarnation notes that the worker has restarted: its clock and the numbers of its ended
// runs start again.
func (l *link) setIncarnation(incarnation int64) {
	if l.incarnation != 0 {
		l.clock, l.ackable, l.ackedEnd, l.unstoredEnds = lease.Clock{}, 0, 0, false
	}
	l.incarnation = incarnation
}

// sendRenewals sends the due renewals to the marked workers.
func (t *term) sendRenewals(ctx context.Context, now time.Time) {
	// Leases must not be renewed for longer than the next leader waits for them to expire.
	limit := t.grantLimit()
	t.loopStats.checks.Add(int64(len(t.marked)))
	for _, l := range t.marked {
		l.marked = false
		if t.links[l.id] == l {
			t.renewIfDue(ctx, now, l, limit)
		}
	}
	clear(t.marked)
	t.marked = t.marked[:0]
}

// renewalDue reports whether a renewal to a worker is due.
func (t *term) renewalDue(now time.Time, l *link) bool {
	if l.renewing || now.Before(l.nextRenewal) || l.address == "" {
		return false
	}
	if l.unstoredEnds && now.Sub(l.renewedAt) < t.cfg.Scheduler.MaxLease/4 {
		return false
	}
	return t.core.NeedsPolling(l.id) || l.ackable > l.ackedEnd
}

// renewIfDue sends a renewal to a worker if one is due.
func (t *term) renewIfDue(ctx context.Context, now time.Time, l *link, limit time.Time) {
	if !t.renewalDue(now, l) {
		l.checked = false // by the next renewal the worker may have restarted again
		return
	}
	r := l.newRenewal(now, t.epoch, t.core.NeedsPolling(l.id))
	check := false
	// No lease is requested from a worker that does not answer, so that its last one can expire.
	if grant := min(t.cfg.Scheduler.MaxLease, maxRenewedLease, limit.Sub(now)); grant > 0 && !l.clock.ReadAt.IsZero() && l.failures == 0 && !l.stored && t.mayGrant() {
		// A restarted worker grants the longest lease whenever it carries the renewal out, so its
		// incarnation is checked first.
		if check = !l.checked && now.Sub(l.leases.AnsweredAt()) >= ackWindow; check {
			r.Wait = 0
		} else {
			r.Deadline = l.deadline(now, grant)
			l.leases.Grant(now, grant)
			t.grants.note(l.id, now)
		}
	}
	l.renewing, l.checked = true, false
	if !check {
		l.renewedAt = now
	}
	e := renewalEvent{id: l.id, address: l.address, request: r, check: check, incarnation: l.incarnation}
	t.spawn(func() { t.sendRenewal(ctx, e) })
}

// newRenewal returns a renewal that requests no lease.
func (l *link) newRenewal(now time.Time, token int64, needsPolling bool) fleet.Renewal {
	r := fleet.Renewal{Token: token, Wait: renewalWait}
	if l.clock.ReadAt.IsZero() || !needsPolling || l.unstoredEnds || l.failures > 0 || l.stored {
		r.Wait = 0
	}
	if l.ackable > l.ackedEnd {
		// A restarted worker numbers its ended runs from the start and would forget some that
		// were never listed, so its incarnation is checked first.
		if l.failures == 0 && now.Sub(l.leases.AnsweredAt()) < ackWindow {
			r.ForgetUpTo = l.ackable
		} else {
			r.Wait = 0
		}
	}
	return r
}

// sendRenewal sends the request of e and posts e with the answer.
func (t *term) sendRenewal(ctx context.Context, e renewalEvent) {
	if !t.active() {
		return
	}
	timeout := shortRenewalTimeout
	if e.request.Wait > 0 {
		timeout = e.request.Wait + renewalMargin
	}
	e.sentAt = t.cfg.Now()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	e.answer, e.err = t.cfg.Workers.Renew(callCtx, e.id, e.address, e.request)
	cancel()
	t.post(ctx, e)
}

type renewalEvent struct {
	id      string
	address string
	sentAt  time.Time
	answer  fleet.RenewalAnswer
	err     error
	request fleet.Renewal
	check   bool // no lease was requested, since the worker may have restarted
	// incarnation is the process of the worker that the request was meant for.
	incarnation int64
}

// answeredByNext reports whether another process answered than the one that the request was meant for. Ends of
// the former one that the request acknowledged say nothing about it.
func (e renewalEvent) answeredByNext() bool { return e.answer.Report.Incarnation != e.incarnation }

func (renewalEvent) eventKind() eventKind { return kindRenewal }

func (e renewalEvent) apply(t *term, now time.Time) {
	l := t.links[e.id]
	if l == nil {
		return
	}
	l.renewing = false
	t.markForCheck(l)
	switch {
	case e.err == nil && e.answer.Verdict == fleet.Fenced:
		deposedEvent{by: "worker " + e.id}.apply(t, now)
		return
	case e.err != nil || e.answer.Verdict != fleet.Accepted:
		e.recordFailure(t, l, now)
		if e.provesEnd(t, l) {
			t.cfg.Logger.Info("worker's process has ended", "worker", l.id, "address", e.address, "leases_end_ms", l.leases.Expires().Sub(now).Milliseconds())
			t.endLeases(now, l)
		}
		return
	}
	if !t.core.Report(now, e.answer.Report) {
		e.recordFailure(t, l, now) // the time of day at the worker may have been set back before it restarted
		return
	}
	e.noteAnswer(t, l, now)
	if e.answer.Report.Incarnation > l.incarnation {
		l.setIncarnation(e.answer.Report.Incarnation)
	}
	if e.answer.Clock > 0 {
		l.clock = lease.Clock{MS: e.answer.Clock, ReadAt: now}
	}
	if e.answeredByNext() {
		e.answer.LastEnded = lastListed(e.answer.Report)
	} else {
		l.ackedEnd = max(l.ackedEnd, e.request.ForgetUpTo)
	}
	l.nextRenewal = now
	l.checked = e.check
	if t.noteEnds(l, e.answer) && !e.check {
		l.nextRenewal = now.Add(heldEndsInterval) // renewals don't wait as long as ends are listed
	}
	if l.stored {
		l.nextRenewal = now.Add(renewalRetryDelay) // the next one asks for a lease once that is allowed
	}
}

// noteAnswer notes that a worker has answered a renewal.
func (e renewalEvent) noteAnswer(t *term, l *link, now time.Time) {
	if l.failures > 0 {
		t.cfg.Logger.Info("worker answers renewals again", "worker", l.id, "failures", l.failures)
	}
	l.failures = 0
	if l.stored {
		t.nextSilenceCheck = now
	}
	if l.leases.Answered(e.sentAt, now, e.address) {
		t.grants.note(l.id, now) // the next leader may not ask the earlier ones
		t.resolveEarlier(l.id)
	}
}

// lastListed returns the largest number of an ended run in a report.
func lastListed(r scheduler.Report) (last int64) {
	for _, end := range r.Ended {
		last = max(last, end.Number)
	}
	return last
}

// noteEnds notes which ended runs the worker may forget once the effects of its report are stored. It
// reports whether the worker has to keep some, as their jobs can't be read yet.
func (t *term) noteEnds(l *link, answer fleet.RenewalAnswer) (held bool) {
	last := answer.LastEnded
	for _, end := range answer.Report.Ended {
		if end.Number <= last && t.core.AwaitsJobOf(end.Task) {
			last = end.Number - 1
		}
	}
	if last > l.ackable {
		l.unstoredEnds = true
		t.pending.ackable[l.id] = endAck{last, l.incarnation}
	}
	return last < answer.LastEnded
}

// recordFailure handles a renewal that got no usable answer.
func (e renewalEvent) recordFailure(t *term, l *link, now time.Time) {
	l.failures++
	t.core.SuspendWorker(now, e.id)
	l.nextRenewal = now.Add(min(renewalRetryDelay<<min(l.failures-1, 4), maxRenewalRetryDelay))
	if l.failures == 1 || l.failures%16 == 0 {
		t.cfg.Logger.Warn("worker did not renew", "worker", e.id, "verdict", e.answer.Verdict.String(), "failures", l.failures, "error", e.err)
	}
	metric.Count("renewal_failures_total")
}

// expireLeases reports to the scheduler the workers whose leases have certainly expired.
func (t *term) expireLeases(now time.Time) {
	// A worker may be known from the stored state only and may have left since.
	for _, id := range t.core.WorkerIDs() {
		t.link(id, "")
	}
	for id, l := range t.links {
		if !t.core.Knows(id) {
			delete(t.links, id)
			t.resolveEarlier(id)
			if now.After(l.leases.Expires()) {
				t.grants.forget(id)
			}
			continue
		}
		if (l.failures > 0 || l.address == "") && !l.leases.MayRun(now) {
			t.endLeases(now, l)
		}
	}
}

// endLeases reports to the scheduler that nothing runs on a worker any more.
func (t *term) endLeases(now time.Time, l *link) {
	t.core.ExpireLeases(now, l.id)
	t.resolveEarlier(l.id)
	l.setIncarnation(0)
	l.leases.Reset(now)
}

// provesEnd reports whether the answer to a renewal proves that the worker's process has ended, and its runs
// with it: another process answered at its address. A start that is stored but not answered has to wait for
// its lease.
func (e renewalEvent) provesEnd(t *term, l *link) bool {
	return e.err == nil && e.answer.Verdict == fleet.WorkerRestarted && e.address == l.address &&
		l.leases.Replaced(e.address, e.sentAt) && t.core.HasOnlyAnsweredRuns(l.id)
}
