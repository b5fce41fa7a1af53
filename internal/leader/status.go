package leader

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/scheduler"
)

// waitingCountInterval spaces the counting of waiting jobs, which may be two seconds old.
const waitingCountInterval = 500 * time.Millisecond

const (
	// stateChangeWait is how long a question waits for the end of a running job, and for a job
	// that isn't known: what a worker lists, and what another VM stores, is taken in by
	// the leader within 25 ms. So the answer tells of what had happened when the question
	// was sent.
	stateChangeWait = 50 * time.Millisecond
	// outcomeWait is how long it waits for an outcome that is being stored: a write takes
	// 10 ms, and the next writes are as late if the store is slow.
	outcomeWait = 300 * time.Millisecond
)

// statusCache is what the leader tells about jobs. The loop writes it; questions are
// answered from it beside the loop, so that any number of them costs the loop nothing.
type statusCache struct {
	mu        sync.Mutex
	jobs      map[string]jobStatus
	watchers  map[string]chan struct{} // closed when another view of the job is published
	waiting   map[string]int
	countedAt time.Time
	readAt    [intake.Parts]time.Time // when the newest records read of each stream were there
}

// jobStatus is what is known of a job.
type jobStatus struct {
	state    scheduler.State
	customer string
	// unstored: the job's outcome isn't stored yet. Until then the state is that of before.
	unstored bool
}

// publish publishes what the scheduler knows of a job.
func (a *statusCache) publish(core *scheduler.Core, id string) {
	state, customer, known := core.Owner(id)
	a.mu.Lock()
	defer a.mu.Unlock()
	if changed := a.watchers[id]; changed != nil {
		close(changed)
		delete(a.watchers, id)
	}
	if !known {
		delete(a.jobs, id)
		return
	}
	a.jobs[id] = jobStatus{state: state, customer: customer}
}

// store notes that a job has an outcome that isn't stored yet.
func (a *statusCache) store(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if v, known := a.jobs[id]; known && !v.state.Final() {
		v.unstored = true
		a.jobs[id] = v
	}
}

// read notes that all records that a stream of jobs had at a time are taken in.
func (a *statusCache) read(part int, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readAt[part] = at
}

// updateWaiting publishes the numbers of waiting jobs once in a while.
func (a *statusCache) updateWaiting(now time.Time, core *scheduler.Core) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.countedAt) >= waitingCountInterval {
		a.waiting, a.countedAt = core.Waiting(), now
	}
}

// state looks a job up for a customer. A job is unknown for sure only if the streams of
// jobs were read lately.
func (a *statusCache) state(now time.Time, id, customer string) (jobStatus, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v, known := a.jobs[id]
	switch {
	case known && scheduler.MaySee(customer, v.customer):
		return v, nil
	case now.Sub(a.readAt[intake.PartOf(id)]) > maxJobFeedAge:
		return jobStatus{}, ErrIndeterminate
	}
	return jobStatus{}, scheduler.ErrUnknown
}

// watch returns a channel that is closed when another view of the job is published.
func (a *statusCache) watch(id string) chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.watchers[id] == nil {
		a.watchers[id] = make(chan struct{})
	}
	return a.watchers[id]
}

// unwatch drops a channel of wait, unless there is another one by now.
func (a *statusCache) unwatch(id string, changed chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.watchers[id] == changed {
		delete(a.watchers, id)
	}
}

// State returns the state of a customer's job. What is on its way to this VM, or about to
// be stored, is waited for: clients ask when the last task has ended, and as soon as
// their job is accepted.
func (l *Leader) State(ctx context.Context, id, customer string) (scheduler.State, error) {
	t := l.current.Load()
	if t == nil || t.ctx.Err() != nil {
		return "", ErrDeposed
	}
	v, err := t.statusCache.state(t.cfg.Now(), id, customer)
	if errors.Is(err, scheduler.ErrUnknown) || err == nil && v.state == scheduler.Running && !v.unstored {
		v, err = t.awaitChange(ctx, id, customer, stateChangeWait)
	}
	if err == nil && v.unstored {
		v, err = t.awaitChange(ctx, id, customer, outcomeWait)
	}
	return v.state, err
}

// awaitChange waits until the job has another view than a moment ago, at most for the time
// given, and returns what is known then.
func (t *term) awaitChange(ctx context.Context, id, customer string, timeout time.Duration) (jobStatus, error) {
	changed := t.statusCache.watch(id)
	defer t.statusCache.unwatch(id, changed)
	// It may have changed before wait was called.
	if v, err := t.statusCache.state(t.cfg.Now(), id, customer); err == nil && v.state.Final() {
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
	return t.statusCache.state(t.cfg.Now(), id, customer)
}

// Waiting counts the jobs of a queue of which no task has started.
func (l *Leader) Waiting(_ context.Context, queue string) (int, error) {
	t := l.current.Load()
	if t == nil || t.ctx.Err() != nil {
		return 0, ErrDeposed
	}
	t.statusCache.mu.Lock()
	defer t.statusCache.mu.Unlock()
	if t.cfg.Now().Sub(t.statusCache.countedAt) > maxJobFeedAge {
		return 0, ErrIndeterminate
	}
	return t.statusCache.waiting[queue], nil
}

// Cancel ends a job; its end is stored when it returns.
func (l *Leader) Cancel(ctx context.Context, id, customer string) (scheduler.State, error) {
	t := l.current.Load()
	if t == nil {
		return "", ErrDeposed
	}
	c := cancelEvent{id, customer, make(chan cancelResult, 1)}
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

// cancelEvent asks the loop to end a job. It is answered once the outcome is stored.
type cancelEvent struct {
	job, customer string
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
	t.applyEffects(t.core.Take())
	if errors.Is(out.err, scheduler.ErrUnknown) {
		_, out.err = t.statusCache.state(now, c.job, c.customer)
	}
	send := func() { c.reply <- out }
	switch {
	case !t.unstoredOutcomes[c.job]:
		send()
	case t.inFlight != nil && !slices.Contains(t.pending.outcomes, c.job):
		t.inFlight.replies = append(t.inFlight.replies, send)
	default:
		t.pending.replies = append(t.pending.replies, send)
	}
}

// Leading reports whether this VM schedules at present.
func (l *Leader) Leading() bool { return l.current.Load() != nil }
