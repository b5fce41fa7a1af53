package leader

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/scheduler"
)

const (
	// waitingCountInterval is the time between counts of waiting jobs, which may be two seconds old.
	waitingCountInterval = 500 * time.Millisecond
	// maxCountAge is how long ago the jobs may have been asked for that a count includes. Jobs must
	// be counted five seconds after they were accepted.
	maxCountAge = 4500 * time.Millisecond
)

const (
	// stateChangeWait is how long State waits for a change if a job is running. The leader
	// receives what a worker lists within 25 ms, so the answer covers all that had happened when
	// the query was sent.
	stateChangeWait = 50 * time.Millisecond
	// outcomeWait is how long State waits for an outcome that is being stored. A write takes 10
	// ms; if the store is slow, the next writes are just as late.
	outcomeWait = 300 * time.Millisecond
	// catchUpTimeout limits the read before a job is reported as unknown. It leaves time for
	// another try within the time that VMs wait for an answer of the leader.
	catchUpTimeout = 400 * time.Millisecond
	// minCancellationRetryAfter is the shortest time after which to try again if the cancelling of an
	// unknown job can't be kept.
	minCancellationRetryAfter = time.Second
	// unreadableRetryAfter is when to ask again for a job that can't be read: VMs of the version that
	// stored it may lead after a rolling update.
	unreadableRetryAfter = 30 * time.Second
)

// statusCache holds the published state of jobs. The loop writes it, and queries are answered
// from it outside the loop, so that any number of them costs the loop nothing.
type statusCache struct {
	mu   sync.Mutex
	jobs map[string]jobStatus
	// unreadable are the jobs whose stored description can't be decoded, unless they are among jobs.
	unreadable map[string]bool
	watchers   map[string]chan struct{} // closed when a new status of the job is published
	waiting    map[string]int           // number of waiting jobs by queue
	countedAt  time.Time
	countAsOf  time.Time // all jobs that were stored before are counted; zero if some may not be
}

// jobStatus is the published status of a job.
type jobStatus struct {
	state    scheduler.State
	customer string
	// unstored is true while the job's outcome is not stored yet. The state stays the previous
	// one until then.
	unstored bool
}

// publish copies a job's status from the scheduler and wakes its watchers.
func (c *statusCache) publish(core *scheduler.Core, id string) {
	state, customer, known := core.Owner(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if changed := c.watchers[id]; changed != nil {
		close(changed)
		delete(c.watchers, id)
	}
	if !known {
		delete(c.jobs, id)
		return
	}
	c.jobs[id] = jobStatus{state: state, customer: customer}
}

// markUnstored notes that the outcome of a job has still to be stored.
func (c *statusCache) markUnstored(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, known := c.jobs[id]; known && !v.state.Final() {
		v.unstored = true
		c.jobs[id] = v
	}
}

// markUnreadable notes that the stored description of a job can't be decoded.
func (c *statusCache) markUnreadable(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreadable[id] = true
}

// updateWaiting publishes the number of waiting jobs once per waitingCountInterval. The times are those
// up to which the jobs of each part are read.
func (c *statusCache) updateWaiting(now time.Time, core *scheduler.Core, readAsOf []time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.countedAt) >= waitingCountInterval {
		c.waiting, c.countedAt, c.countAsOf = core.Waiting(), now, slices.MinFunc(readAsOf, time.Time.Compare)
	}
}

// state looks up a job for a customer. That a job is not found proves nothing: it may be stored and not
// read yet.
func (c *statusCache) state(id, customer string) (jobStatus, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v, known := c.jobs[id]
	if !known && c.unreadable[id] {
		return jobStatus{}, scheduler.ErrUnreadable
	}
	if !known || !scheduler.MaySee(customer, v.customer) {
		return jobStatus{}, scheduler.ErrUnknown
	}
	return v, nil
}

// watch returns a channel that is closed when a new status of the job is published.
func (c *statusCache) watch(id string) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watchers[id] == nil {
		c.watchers[id] = make(chan struct{})
	}
	return c.watchers[id]
}

// unwatch drops a channel returned by watch unless a newer one has replaced it.
func (c *statusCache) unwatch(id string, changed chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watchers[id] == changed {
		delete(c.watchers, id)
	}
}

// State returns the state of a customer's job. It reads newly accepted jobs before it reports one
// as unknown, and waits for changes that are still on their way to this VM or about to be stored:
// clients ask as soon as their job is accepted and as soon as its last task has ended.
func (l *Leader) State(ctx context.Context, id, customer string) (scheduler.State, error) {
	t := l.current.Load()
	if t == nil || !t.active() {
		return "", ErrDeposed
	}
	v, err := t.statusCache.state(id, customer)
	if err == nil && v.state == scheduler.Running && !v.unstored {
		v, err = t.awaitChange(ctx, id, customer, stateChangeWait)
	}
	if errors.Is(err, scheduler.ErrUnknown) {
		if t.catchUp(ctx, intake.PartOf(id)) != nil {
			return "", ErrIndeterminate
		}
		v, err = t.statusCache.state(id, customer)
	}
	if err == nil && v.unstored {
		v, err = t.awaitChange(ctx, id, customer, outcomeWait)
	}
	if errors.Is(err, scheduler.ErrUnknown) && !t.active() {
		return "", ErrDeposed // the jobs of a term that was suspended say nothing
	}
	return v.state, refusal(err)
}

// Owner returns the customer of a job, and whether this VM leads and knows the job.
func (l *Leader) Owner(id string) (customer string, known bool) {
	t := l.current.Load()
	if t == nil || !t.active() {
		return "", false
	}
	t.statusCache.mu.Lock()
	defer t.statusCache.mu.Unlock()
	v, known := t.statusCache.jobs[id]
	return v.customer, known
}

// awaitChange waits up to timeout for a new status of the job and returns the status known then.
func (t *term) awaitChange(ctx context.Context, id, customer string, timeout time.Duration) (jobStatus, error) {
	changed := t.statusCache.watch(id)
	defer t.statusCache.unwatch(id, changed)
	// The status may have changed before watch was called.
	if v, err := t.statusCache.state(id, customer); err == nil && v.state.Final() {
		return v, nil
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-t.ctx.Done():
	case <-ctx.Done():
	}
	return t.statusCache.state(id, customer)
}

// Waiting returns the number of jobs in a queue of which no task has started.
func (l *Leader) Waiting(_ context.Context, queue string) (int, error) {
	t := l.current.Load()
	if t == nil || !t.active() {
		return 0, ErrDeposed
	}
	t.statusCache.mu.Lock()
	defer t.statusCache.mu.Unlock()
	if t.cfg.Now().Sub(t.statusCache.countAsOf) > maxCountAge {
		return 0, ErrIndeterminate
	}
	return t.statusCache.waiting[queue], nil
}

// Cancel cancels a job and returns once its end is stored. A job that is not found is reported as
// unknown only after all jobs that had been accepted before the call were read, and the call is stored:
// the answer is final, but the job may have been accepted by another VM a moment ago, and a write of it
// may be carried out later.
func (l *Leader) Cancel(ctx context.Context, id, customer string) (scheduler.State, error) {
	t := l.current.Load()
	if t == nil || !t.active() {
		return "", ErrDeposed
	}
	state, err := t.cancel(ctx, id, customer, false)
	if !errors.Is(err, scheduler.ErrUnknown) {
		return state, refusal(err)
	}
	if t.catchUp(ctx, intake.PartOf(id)) != nil {
		return "", ErrIndeterminate
	}
	state, err = t.cancel(ctx, id, customer, true)
	if errors.Is(err, scheduler.ErrUnknown) && !t.active() {
		return "", ErrDeposed
	}
	return state, refusal(err)
}

// refusal returns the error of a call that is refused at once, as no repeat of it can succeed before
// another leader is elected, and other errors unchanged.
func refusal(err error) error {
	if errors.Is(err, scheduler.ErrUnreadable) {
		return &intake.BusyError{Reason: err.Error(), RetryAfter: unreadableRetryAfter}
	}
	return err
}

// cancel has the loop cancel a job that it knows, or keep the call for one that it doesn't.
func (t *term) cancel(ctx context.Context, id, customer string, keep bool) (scheduler.State, error) {
	c := cancelEvent{id, customer, keep, make(chan cancelResult, 1)}
	select {
	case t.inbox <- c:
	case <-t.ctx.Done():
		return "", ErrDeposed
	case <-ctx.Done():
		return "", ErrIndeterminate
	}
	select {
	case out := <-c.reply:
		return out.state, out.err
	case <-t.ctx.Done():
		return "", ErrDeposed
	case <-ctx.Done():
		return "", ErrIndeterminate
	}
}

// cancelEvent asks the loop to cancel a job, and to keep the call if it doesn't know the job. The reply is
// sent once the outcome or the call is stored.
type cancelEvent struct {
	job, customer string
	keep          bool
	reply         chan cancelResult
}

type cancelResult struct {
	state scheduler.State
	err   error
}

func (cancelEvent) eventKind() eventKind { return kindCancel }

func (c cancelEvent) apply(t *term, now time.Time) {
	var out cancelResult
	out.state, out.err = t.core.Cancel(now, c.job, c.customer)
	kept := false
	if c.keep && errors.Is(out.err, scheduler.ErrUnknown) {
		if err := t.core.CancelUnknown(now, c.job, c.customer); err != nil {
			out.err = t.refuseCancellation(now, c, err)
		} else {
			kept = true
		}
	}
	t.applyEffects(t.core.TakeEffects())
	send := func() { c.reply <- out }
	switch {
	case kept:
		t.pending.replies = append(t.pending.replies, send)
	case !t.unstoredOutcomes[c.job]:
		send()
	case t.inFlight != nil && !slices.ContainsFunc(t.pending.outcomes, func(d scheduler.Description) bool { return d.Job == c.job }):
		t.inFlight.replies = append(t.inFlight.replies, send)
	default:
		t.pending.replies = append(t.pending.replies, send)
	}
}

// refuseCancellation returns the error of a call that can't be kept until the next cancellation expires.
func (t *term) refuseCancellation(now time.Time, c cancelEvent, reason error) error {
	metric.Count("cancellations_refused_total")
	kept, nextExpiry := t.core.Cancellations()
	retryAfter := max(nextExpiry.Sub(now), minCancellationRetryAfter)
	if t.refusedCancellations++; t.refusedCancellations%logInterval == 1 {
		t.cfg.Logger.Warn("cancelling of an unknown job refused", "job", c.job, "customer", c.customer, "kept", kept,
			"refused", t.refusedCancellations, "retry_after_ms", retryAfter.Milliseconds(), "error", reason)
	}
	return &intake.BusyError{Reason: reason.Error(), RetryAfter: retryAfter}
}

// IsLeader reports whether this VM leads.
func (l *Leader) IsLeader() bool { return l.current.Load() != nil }
