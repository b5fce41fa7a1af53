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

// countEvery spaces the counting of waiting jobs, which may be two seconds old.
const countEvery = 500 * time.Millisecond

const (
	// newsTime is how long a question waits for the end of a running job, and for a job
	// that isn't known: what a worker lists, and what another VM stores, is taken in by
	// the leader within 25 ms. So the answer tells of what had happened when the question
	// was sent.
	newsTime = 50 * time.Millisecond
	// storeSoon is how long it waits for an outcome that is being stored: a write takes
	// 10 ms, and the next writes are as late if the store is slow.
	storeSoon = 300 * time.Millisecond
)

// answers is what the leader tells about jobs. The loop writes it; questions are
// answered from it beside the loop, so that any number of them costs the loop nothing.
type answers struct {
	mu      sync.Mutex
	jobs    map[string]view
	changes map[string]chan struct{} // closed when another view of the job is published
	waiting map[string]int
	counted time.Time
	fresh   [intake.Parts]time.Time // when the newest records read of each stream were there
}

// view is what is known of a job.
type view struct {
	state    scheduler.State
	customer string
	// storing: the job's outcome isn't stored yet. Until then the state is that of before.
	storing bool
}

// show publishes what the scheduler knows of a job.
func (a *answers) show(core *scheduler.Core, id string) {
	state, customer, known := core.Owner(id)
	a.mu.Lock()
	defer a.mu.Unlock()
	if changed := a.changes[id]; changed != nil {
		close(changed)
		delete(a.changes, id)
	}
	if !known {
		delete(a.jobs, id)
		return
	}
	a.jobs[id] = view{state: state, customer: customer}
}

// store notes that a job has an outcome that isn't stored yet.
func (a *answers) store(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if v, known := a.jobs[id]; known && !v.state.Final() {
		v.storing = true
		a.jobs[id] = v
	}
}

// read notes that all records that a stream of jobs had at a time are taken in.
func (a *answers) read(part int, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fresh[part] = at
}

// count publishes the numbers of waiting jobs once in a while.
func (a *answers) count(now time.Time, core *scheduler.Core) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.counted) >= countEvery {
		a.waiting, a.counted = core.Waiting(), now
	}
}

// state looks a job up for a customer. A job is unknown for sure only if the streams of
// jobs were read lately.
func (a *answers) state(now time.Time, id, customer string) (view, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v, known := a.jobs[id]
	switch {
	case known && scheduler.MaySee(customer, v.customer):
		return v, nil
	case now.Sub(a.fresh[intake.PartOf(id)]) > feedFresh:
		return view{}, ErrNotSure
	}
	return view{}, scheduler.ErrUnknown
}

// wait returns a channel that is closed when another view of the job is published.
func (a *answers) wait(id string) chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.changes[id] == nil {
		a.changes[id] = make(chan struct{})
	}
	return a.changes[id]
}

// leave drops a channel of wait, unless there is another one by now.
func (a *answers) leave(id string, changed chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.changes[id] == changed {
		delete(a.changes, id)
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
	v, err := t.answers.state(t.cfg.Now(), id, customer)
	if errors.Is(err, scheduler.ErrUnknown) || err == nil && v.state == scheduler.Running && !v.storing {
		v, err = t.next(ctx, id, customer, newsTime)
	}
	if err == nil && v.storing {
		v, err = t.next(ctx, id, customer, storeSoon)
	}
	return v.state, err
}

// next waits until the job has another view than a moment ago, at most for the time
// given, and returns what is known then.
func (t *term) next(ctx context.Context, id, customer string, most time.Duration) (view, error) {
	changed := t.answers.wait(id)
	defer t.answers.leave(id, changed)
	// It may have changed before wait was called.
	if v, err := t.answers.state(t.cfg.Now(), id, customer); err == nil && v.state.Final() {
		return v, nil
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-t.ctx.Done():
	case <-ctx.Done():
	}
	return t.answers.state(t.cfg.Now(), id, customer)
}

// Waiting counts the jobs of a queue of which no task has started.
func (l *Leader) Waiting(_ context.Context, queue string) (int, error) {
	t := l.current.Load()
	if t == nil || t.ctx.Err() != nil {
		return 0, ErrDeposed
	}
	t.answers.mu.Lock()
	defer t.answers.mu.Unlock()
	if t.cfg.Now().Sub(t.answers.counted) > feedFresh {
		return 0, ErrNotSure
	}
	return t.answers.waiting[queue], nil
}

// Cancel ends a job; its end is stored when it returns.
func (l *Leader) Cancel(ctx context.Context, id, customer string) (scheduler.State, error) {
	t := l.current.Load()
	if t == nil {
		return "", ErrDeposed
	}
	c := cancellation{id, customer, make(chan cancelled, 1)}
	select {
	case t.inbox <- c:
	case <-t.ctx.Done():
		return "", ErrDeposed
	case <-ctx.Done():
		return "", ErrNotSure
	}
	select {
	case out := <-c.answer:
		return out.state, out.err
	case <-t.ctx.Done():
		return "", ErrDeposed
	case <-ctx.Done():
		return "", ErrNotSure
	}
}

// cancellation asks the loop to end a job. It is answered once the outcome is stored.
type cancellation struct {
	job, customer string
	answer        chan cancelled
}

type cancelled struct {
	state scheduler.State
	err   error
}

func (cancellation) kind() kind { return kindCancel }

func (c cancellation) apply(t *term, now time.Time) {
	var out cancelled
	out.state, out.err = t.core.Cancel(now, c.job, c.customer)
	t.collect(t.core.Take())
	if errors.Is(out.err, scheduler.ErrUnknown) {
		_, out.err = t.answers.state(now, c.job, c.customer)
	}
	send := func() { c.answer <- out }
	switch {
	case !t.unstored[c.job]:
		send()
	case t.flight != nil && !slices.Contains(t.pending.outcome, c.job):
		t.flight.replies = append(t.flight.replies, send)
	default:
		t.pending.replies = append(t.pending.replies, send)
	}
}

// Leading reports whether this VM schedules at present.
func (l *Leader) Leading() bool { return l.current.Load() != nil }
