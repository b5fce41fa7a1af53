package leader

import (
	"context"
	"encoding/json"
	"errors"
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

// logInterval thins out log lines about a dependency that stays unavailable: the first failure
// is logged and then one in logInterval.
const logInterval = 32

// followJobs reads newly accepted jobs of a part, starting at an offset.
func (t *term) followJobs(ctx context.Context, part int, from int64) {
	stream := intake.Stream(part)
	failures := 0
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, jobPollWait+callTimeout)
		page, err := t.cfg.Log.Read(callCtx, stream, from, jobPollWait)
		cancel()
		switch {
		case errors.Is(err, store.ErrGone):
			records, next, err := t.newest(ctx, stream)
			if err == nil {
				from = next
				t.post(ctx, jobsEvent{part, records, t.cfg.Now()})
			}
		case err != nil:
			if failures++; failures%logInterval == 1 && ctx.Err() == nil {
				t.cfg.Logger.Warn("new jobs not read", "part", part, "from", from, "failures", failures, "error", err)
			}
			time.Sleep(retryDelay * 5)
		default:
			from, failures = page.Next, 0
			t.post(ctx, jobsEvent{part, page.Records, t.cfg.Now()})
		}
	}
}

type jobsEvent struct {
	part    int
	records []store.Record
	read    time.Time
}

func (jobsEvent) eventKind() eventKind { return kindJobs }

func (e jobsEvent) apply(t *term, now time.Time) {
	t.addJobs(now, e.records)
	t.applyEffects(t.core.TakeEffects())
	t.statusCache.markRead(e.part, e.read)
}

// followRegistry reads changes of the workers' registry entries, starting at an offset.
func (t *term) followRegistry(ctx context.Context, from int64) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(registryPollInterval):
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		reg, err := t.cfg.Registry.WorkerChanges(callCtx, from)
		if errors.Is(err, store.ErrGone) {
			reg, err = t.cfg.Registry.Workers(callCtx)
			reg.Complete = true
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

func (registryEvent) eventKind() eventKind { return kindRegistry }

func (e registryEvent) apply(t *term, now time.Time) {
	if e.reg.Complete {
		listed := make(map[string]bool, len(e.reg.Workers))
		for _, w := range e.reg.Workers {
			listed[w.ID] = true
		}
		for _, r := range e.reg.Rejected {
			listed[r.ID] = true
		}
		for id := range t.links {
			if !listed[id] {
				t.core.RemoveWorker(id)
			}
		}
	}
	t.updateWorkers(now, e.reg)
}
