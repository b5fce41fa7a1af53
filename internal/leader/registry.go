package leader

import (
	"context"
	"errors"
	"time"

	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/store"
)

const (
	// registryPollInterval is the time between reads of the registry. Workers renew their entries every 1.5 s,
	// and a draining worker must get no new work later than 2 s after it announced the drain.
	registryPollInterval = 500 * time.Millisecond
	// maxRegistryReads limits the reads in progress.
	maxRegistryReads = 3
)

// registryRead is a read of changes of the registry. Reads are numbered in the order in which they are sent.
type registryRead struct {
	number   int
	from     int64
	registry fleet.Registry
	err      error
}

// followRegistry reads changes of the workers' registry entries, starting at an offset. It sends the next
// read without waiting for the answer to the one before, which may be lost.
func (t *term) followRegistry(ctx context.Context, from int64) {
	ticker := time.NewTicker(registryPollInterval)
	defer ticker.Stop()
	answers := make(chan registryRead, maxRegistryReads)
	sent, inProgress, newest := 0, 0, 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if inProgress < maxRegistryReads {
				sent++
				inProgress++
				r := registryRead{number: sent, from: from}
				t.spawn(func() { answers <- t.readRegistry(ctx, r) })
			}
		case r := <-answers:
			inProgress--
			switch {
			case r.err != nil && ctx.Err() == nil:
				t.cfg.Logger.Warn("registry not read", "from", r.from, "error", r.err)
			case r.err == nil && r.number > newest: // the answer to an earlier read may be older than what is known
				newest, from = r.number, r.registry.Next
				t.post(ctx, registryEvent{r.registry})
			}
		}
	}
}

func (t *term) readRegistry(ctx context.Context, r registryRead) registryRead {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.registry, r.err = t.cfg.Registry.WorkerChanges(ctx, r.from)
	if errors.Is(r.err, store.ErrGone) {
		r.registry, r.err = t.cfg.Registry.Workers(ctx)
		r.registry.Complete = true
	}
	return r
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
