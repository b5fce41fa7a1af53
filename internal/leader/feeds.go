package leader

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/store"
)

func decodeStoredJob(value []byte) (scheduler.Job, error) {
	var j scheduler.Job
	err := json.Unmarshal(value, &j)
	return j, err
}

// logEvery thins out lines about a dependency that stays away: the first failure is
// logged, and then one in so many.
const logEvery = 32

// followJobs reads newly accepted jobs of a part from an offset on.
func (t *term) followJobs(ctx context.Context, part int, from int64) {
	stream := intake.Stream(part)
	failures := 0
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, feedWait+callTimeout)
		page, err := t.cfg.Log.Read(call, stream, from, feedWait)
		cancel()
		switch {
		case errors.Is(err, store.ErrGone):
			records, next, err := t.newest(ctx, stream)
			if err == nil {
				from = next
				t.post(ctx, jobsEvent{part, records})
			}
		case err != nil:
			if failures++; failures%logEvery == 1 && ctx.Err() == nil {
				t.cfg.Logger.Warn("new jobs not read", "part", part, "from", from, "failures", failures, "error", err)
			}
			time.Sleep(retryPause * 5)
		default:
			from, failures = page.Next, 0
			t.post(ctx, jobsEvent{part, page.Records})
		}
	}
}

type jobsEvent struct {
	part    int
	records []store.Record
}

func (jobsEvent) kind() kind { return kindJobs }

func (e jobsEvent) apply(t *term, now time.Time) {
	t.fresh[e.part] = now
	t.addJobs(now, e.records)
}

// followRegistry reads changes of the workers' entries from an offset on.
func (t *term) followRegistry(ctx context.Context, from int64) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(registryEvery):
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		reg, err := t.cfg.Registry.MoreWorkers(call, from)
		if errors.Is(err, store.ErrGone) {
			reg, err = t.cfg.Registry.Workers(call)
			reg.Whole = true
		}
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				t.cfg.Logger.Warn("registry not read", "from", from, "error", err)
			}
			continue
		}
		from = reg.Next
		t.post(ctx, registryEvent{reg})
	}
}

type registryEvent struct{ reg fleet.Registry }

func (registryEvent) kind() kind { return kindRegistry }

func (e registryEvent) apply(t *term, now time.Time) {
	if e.reg.Whole {
		listed := make(map[string]bool, len(e.reg.Workers))
		for _, w := range e.reg.Workers {
			listed[w.ID] = true
		}
		for id := range t.links {
			if !listed[id] {
				t.core.DropWorker(id)
			}
		}
	}
	t.seeWorkers(now, e.reg)
}

// question is asked of the loop; answer is called once, perhaps after a change
// is stored.
type question struct {
	job, cancel, queue string
	customer           string
	answer             chan reply
}

type reply struct {
	state   scheduler.State
	waiting int
	err     error
}

func (question) kind() kind { return kindQuestion }

func (q question) apply(t *term, now time.Time) {
	var out reply
	switch {
	case q.job != "":
		out.state, out.err = t.core.JobState(q.job, q.customer)
	case q.cancel != "":
		out.state, out.err = t.core.Cancel(now, q.cancel, q.customer)
		t.collect(t.core.Flush(now))
	default:
		out.waiting = t.core.Waiting(q.queue)
	}
	if errors.Is(out.err, scheduler.ErrUnknown) && now.Sub(t.fresh[intake.PartOf(q.job+q.cancel)]) > feedFresh {
		out.err = ErrNotSure
	}
	send := func() { q.answer <- out }
	id := q.job + q.cancel
	switch {
	case !t.unstored[id]:
		send()
	case t.flight != nil && !slices.Contains(t.pending.outcome, id):
		t.flight.replies = append(t.flight.replies, send)
	default:
		t.pending.replies = append(t.pending.replies, send)
	}
}

// ask puts a question to the loop.
func (l *Leader) ask(ctx context.Context, q question) reply {
	t := l.current.Load()
	if t == nil {
		return reply{err: ErrDeposed}
	}
	q.answer = make(chan reply, 1)
	select {
	case t.inbox <- q:
	case <-ctx.Done():
		return reply{err: ErrNotSure}
	}
	select {
	case out := <-q.answer:
		return out
	case <-ctx.Done():
		return reply{err: ErrNotSure}
	}
}

// State returns the state of a customer's job.
func (l *Leader) State(ctx context.Context, id, customer string) (scheduler.State, error) {
	out := l.ask(ctx, question{job: id, customer: customer})
	return out.state, out.err
}

// Cancel ends a job; its end is stored when it returns.
func (l *Leader) Cancel(ctx context.Context, id, customer string) (scheduler.State, error) {
	out := l.ask(ctx, question{cancel: id, customer: customer})
	return out.state, out.err
}

// Waiting counts the jobs of a queue of which no task has started.
func (l *Leader) Waiting(ctx context.Context, queue string) (int, error) {
	out := l.ask(ctx, question{queue: queue})
	return out.waiting, out.err
}

// Leading reports whether this VM schedules at present.
func (l *Leader) Leading() bool { return l.current.Load() != nil }
