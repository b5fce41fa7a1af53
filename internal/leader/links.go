package leader

import (
	"context"
	"errors"
	"sync"
	"time"

	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/scheduler"
)

const (
	// renewWait is the longest time that a renewal waits for an end.
	renewWait = time.Second
	// renewMargin is how much longer than it waits a renewal may take.
	renewMargin = 600 * time.Millisecond
	// startLease is the lease that a start asks for; the next renewal, at once,
	// asks for the longest. If neither is answered, the task may start elsewhere
	// that much sooner.
	startLease = 3 * time.Second
	// claimTimeout bounds a renewal that doesn't wait.
	claimTimeout = 700 * time.Millisecond
	// noteWithin is how recently a worker must have answered to be told to forget
	// ends: less than it takes to restart and to end a run.
	noteWithin = 150 * time.Millisecond
	// linkPause and maxLinkPause space renewals that got no answer.
	linkPause    = 100 * time.Millisecond
	maxLinkPause = 700 * time.Millisecond
	// orderTimeout and orderTries bound a start or stop. Orders are safe to
	// repeat: a worker knows the run's number.
	orderTimeout = 500 * time.Millisecond
	orderTries   = 3
	orderPause   = 50 * time.Millisecond
	// maxStarts bounds the starts under way, so that a wave leaves time for pings
	// and renewals, and the first gangs are whole before the last begin. On VMs
	// with 0.19 cores no start ran into its deadline with it in eight waves;
	// without a bound some hundred did in three of them.
	maxStarts = 32
	// startHold is how long a start counts among them: workers that don't answer
	// must not keep others from starting.
	startHold = 100 * time.Millisecond
)

// link is the leader's tie to one worker. The loop owns it.
type link struct {
	id, address string
	clock       int64     // the worker's clock in milliseconds
	clockAt     time.Time // when the answer with it came
	expires     time.Time // when all leases on the worker have surely run out
	seen        int64     // number of the last end whose record is stored
	noted       int64     // number of the last end that the worker was told to forget
	heard       time.Time // when it last answered a renewal
	born        int64
	busy        bool // a renewal is under way
	uncommitted bool // ends were listed whose records aren't stored yet
	next        time.Time
	renewed     time.Time
	failures    int
	claimed     bool // it has answered this leader, so it obeys no earlier one
	awake       bool // it is among the links that the next round looks at
}

// now estimates the worker's clock, never ahead of it.
func (l *link) now(at time.Time) int64 {
	if l.clockAt.IsZero() {
		return 0
	}
	return l.clock + int64(float64(at.Sub(l.clockAt).Milliseconds())/drift)
}

// deadline is the end of a lease that is granted at a time, by the worker's clock.
func (l *link) deadline(at time.Time, lease time.Duration) int64 {
	if l.clockAt.IsZero() {
		return 0
	}
	return l.now(at) + lease.Milliseconds()
}

// granted notes that a lease may have been granted.
func (l *link) granted(at time.Time, lease time.Duration) {
	end := at.Add(time.Duration(float64(lease)*drift) + lapseSlack)
	if end.After(l.expires) {
		l.expires = end
	}
}

// wake has this round look whether a renewal to the worker is due.
func (t *term) wake(l *link) {
	if !l.awake {
		l.awake = true
		t.awake = append(t.awake, l)
	}
}

// wakeAll has this round look at all workers: a renewal may be due by time alone.
func (t *term) wakeAll() {
	for _, l := range t.links {
		t.wake(l)
	}
}

// poke lets the next renewal to a worker go at once. A worker without a tie is passed over.
func (t *term) poke(l *link) {
	if l != nil {
		l.next = time.Time{}
		t.wake(l)
	}
}

// link returns the tie to a worker. Under a new leader, leases that its
// predecessor granted may last a while.
func (t *term) link(id, address string) *link {
	l := t.links[id]
	if l == nil {
		l = &link{id: id}
		l.granted(t.begun, t.cfg.Scheduler.MaxLease+storeAway)
		t.links[id] = l
	}
	if address != "" {
		l.address = address
	}
	return l
}

func (t *term) seeWorkers(now time.Time, reg fleet.Registry) {
	for _, w := range reg.Workers {
		t.core.SeeWorker(now, w)
		l := t.link(w.ID, w.Address)
		if w.Born > l.born {
			l.reborn(w.Born)
		}
	}
	for _, id := range reg.Gone {
		t.core.DropWorker(id)
	}
}

// reborn notes that the worker has restarted: its clock and the numbers of its
// ends begin anew.
func (l *link) reborn(born int64) {
	if l.born != 0 {
		l.clockAt, l.seen, l.noted, l.uncommitted = time.Time{}, 0, 0, false
	}
	l.born = born
}

// maintain sends the renewals that are due to the workers that were woken.
func (t *term) maintain(ctx context.Context, now time.Time) {
	// Leases are not renewed for longer than the next leader waits for them.
	limit := t.lastWrite.get().Add(t.cfg.Scheduler.MaxLease + storeAway)
	t.progress.looks.Add(int64(len(t.awake)))
	for _, l := range t.awake {
		l.awake = false
		if t.links[l.id] == l {
			t.renew(ctx, now, l, limit)
		}
	}
	clear(t.awake)
	t.awake = t.awake[:0]
}

// renew sends a renewal if one is due.
func (t *term) renew(ctx context.Context, now time.Time, l *link, limit time.Time) {
	lease := t.cfg.Scheduler.MaxLease
	if l.busy || now.Before(l.next) || l.address == "" {
		return
	}
	runs := t.core.HasRuns(l.id)
	if (!runs && l.seen <= l.noted) || (l.uncommitted && now.Sub(l.renewed) < lease/4) {
		return
	}
	r := l.renewal(now, t.epoch, runs)
	// A worker that doesn't answer is asked for no lease, so that the last one
	// can run out.
	if grant := min(lease, limit.Sub(now)); grant > 0 && !l.clockAt.IsZero() && l.failures == 0 {
		r.Deadline = l.deadline(now, grant)
		l.granted(now, grant)
	}
	l.busy, l.renewed = true, now
	id, address := l.id, l.address
	t.spawn(func() { t.hold(ctx, id, address, r) })
}

// renewal makes a renewal without a lease.
func (l *link) renewal(now time.Time, token int64, runs bool) fleet.Renewal {
	r := fleet.Renewal{Token: token, Wait: renewWait}
	if l.clockAt.IsZero() || !runs || l.uncommitted || l.failures > 0 {
		r.Wait = 0
	}
	if l.seen > l.noted {
		// A worker that has restarted numbers its ends anew, and would forget
		// some that were never listed; so its life is looked at first.
		if l.failures == 0 && now.Sub(l.heard) < noteWithin {
			r.Seen = l.seen
		} else {
			r.Wait = 0
		}
	}
	return r
}

func (t *term) hold(ctx context.Context, id, address string, r fleet.Renewal) {
	timeout := claimTimeout
	if r.Wait > 0 {
		timeout = r.Wait + renewMargin
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	held, err := t.cfg.Workers.Hold(call, id, address, r)
	cancel()
	t.post(ctx, heldEvent{id: id, held: held, err: err, asked: r})
}

type heldEvent struct {
	id    string
	held  fleet.Held
	err   error
	asked fleet.Renewal
}

func (heldEvent) kind() kind { return kindRenewal }

func (e heldEvent) apply(t *term, now time.Time) {
	l := t.links[e.id]
	if l == nil {
		return
	}
	l.busy = false
	t.wake(l)
	switch {
	case e.err == nil && e.held.Verdict == fleet.Fenced:
		deposedEvent{by: "worker " + e.id}.apply(t, now)
		return
	case e.err != nil || e.held.Verdict != fleet.Taken:
		e.failed(t, l, now)
		return
	}
	if l.failures > 0 {
		t.cfg.Logger.Info("worker renews again", "worker", e.id, "failures", l.failures)
	}
	l.failures, l.heard = 0, now
	again := e.held.Report.Born > l.born
	if again {
		l.reborn(e.held.Report.Born)
	}
	if !t.core.Report(now, e.held.Report) {
		return
	}
	if !l.claimed {
		// Earlier leaders can renew no more, and no lease is longer than this.
		l.claimed = true
		l.expires = time.Time{}
		l.granted(now, t.cfg.Scheduler.MaxLease)
	}
	if e.held.Clock > 0 {
		l.clock, l.clockAt = e.held.Clock, now
	}
	if !again {
		l.noted = max(l.noted, e.asked.Seen)
	}
	if e.held.Last > l.seen {
		l.uncommitted = true
		t.pending.seen[e.id] = note{e.held.Last, l.born}
	}
	l.next = now
}

// failed notes a renewal that got no useful answer.
func (e heldEvent) failed(t *term, l *link, now time.Time) {
	l.failures++
	t.core.Suspect(now, e.id)
	l.next = now.Add(min(linkPause<<min(l.failures-1, 4), maxLinkPause))
	if l.failures == 1 || l.failures%16 == 0 {
		t.cfg.Logger.Warn("worker did not renew", "worker", e.id, "verdict", e.held.Verdict.String(), "failures", l.failures, "error", e.err)
	}
	metric.Count("renewal_failures_total")
}

// lapse tells the scheduler of workers whose leases have surely run out.
func (t *term) lapse(now time.Time) {
	// A worker may be known from the stored state only, and have left since.
	for _, id := range t.core.WorkerIDs() {
		t.link(id, "")
	}
	for id, l := range t.links {
		if !t.core.Knows(id) {
			delete(t.links, id)
			continue
		}
		if (l.failures > 0 || l.address == "") && now.After(l.expires) {
			t.core.Lapse(now, id)
			l.expires = now.Add(t.cfg.Scheduler.MaxLease)
		}
	}
}

// start carries a start to its worker.
func (t *term) start(ctx context.Context, s scheduler.Start, deadline int64) {
	defer t.starting.Add(-1)
	if t.starts.Acquire(ctx, 1) != nil {
		return // deposed meanwhile
	}
	release := sync.OnceFunc(func() { t.starts.Release(1) })
	defer release()
	defer time.AfterFunc(startHold, release).Stop()
	begun := time.Now()
	unanswered := false
	result := scheduler.Uncertain
	last := fleet.Malformed
	var lastErr error
	for range orderTries {
		if ctx.Err() != nil {
			return // a worker that has restarted would obey a deposed leader
		}
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		a, err := t.cfg.Workers.Start(call, s, t.epoch, deadline)
		cancel()
		lastErr, last = err, a.Verdict
		if err != nil {
			unanswered = unanswered || !errors.Is(err, fleet.ErrUnreached)
			time.Sleep(orderPause)
			continue
		}
		result = startResult(a.Verdict, unanswered)
		break
	}
	if lastErr != nil && !unanswered {
		result = scheduler.Rejected
	}
	metric.Observe("start_seconds", begun)
	if result != scheduler.Accepted {
		t.cfg.Logger.Warn("start not taken", "task", s.Task, "run", s.Run, "worker", s.Worker, "verdict", last.String(),
			"unanswered", unanswered, "error", lastErr, "took_ms", time.Since(begun).Milliseconds())
	}
	if last == fleet.Fenced && lastErr == nil {
		t.post(ctx, deposedEvent{by: "worker " + s.Worker})
		return
	}
	t.post(ctx, startedEvent{s, result})
}

func startResult(v fleet.Verdict, unanswered bool) scheduler.StartResult {
	switch v {
	case fleet.Taken:
		return scheduler.Accepted
	case fleet.Old:
		return scheduler.RejectedOld
	case fleet.Fenced, fleet.Late, fleet.Full, fleet.OtherLife, fleet.Unhealthy, fleet.Malformed:
	}
	if unanswered {
		return scheduler.Uncertain
	}
	return scheduler.Rejected
}

type startedEvent struct {
	start  scheduler.Start
	result scheduler.StartResult
}

func (startedEvent) kind() kind { return kindStart }

func (e startedEvent) apply(t *term, now time.Time) {
	t.core.StartAnswered(now, e.start.Worker, e.start.Task, e.start.Run, e.result)
	t.poke(t.links[e.start.Worker])
}

// stop carries a stop to its worker.
func (t *term) stop(ctx context.Context, s scheduler.Stop) {
	for range orderTries {
		if ctx.Err() != nil {
			return
		}
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		a, err := t.cfg.Workers.Stop(call, s, t.epoch)
		cancel()
		if err == nil {
			if a.Verdict == fleet.Fenced {
				t.post(ctx, deposedEvent{by: "worker " + s.Worker})
				return
			}
			if a.Verdict == fleet.Taken || a.Verdict == fleet.Old {
				t.post(ctx, stoppedEvent{s})
				return
			}
			t.cfg.Logger.Warn("stop not taken", "task", s.Task, "run", s.Run, "worker", s.Worker, "verdict", a.Verdict.String())
		}
		time.Sleep(orderPause)
	}
}

type stoppedEvent struct{ stop scheduler.Stop }

func (stoppedEvent) kind() kind { return kindStop }

func (e stoppedEvent) apply(t *term, now time.Time) {
	t.core.StopAnswered(now, e.stop.Worker, e.stop.Task, e.stop.Run)
	t.poke(t.links[e.stop.Worker])
}
