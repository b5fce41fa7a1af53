package leader

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"rhubarbshore/internal/catalog"
	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/store"
)

// fence makes all further writes of earlier leaders fail.
func (t *term) fence(ctx context.Context) error {
	delay := retryDelay
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := t.cfg.Log.Append(callCtx, Stream, []store.Record{termRecord{Leader: t.cfg.identity(), witnessSet: t.witnesses.stored}.stored(t.epoch)}, store.AppendOptions{Producer: producerName, Epoch: t.epoch, Sequence: 0})
		cancel()
		if err == nil {
			t.fencedAt = t.cfg.Now()
			t.lastWrite.set(t.fencedAt)
			t.fenced.set(t.fencedAt)
			t.loadStats.fenced.Store(true)
			return nil
		}
		t.loadStats.recordFailure(err)
		if errors.Is(err, store.ErrFenced) {
			return ErrDeposed
		}
		if ctx.Err() != nil || time.Since(t.startedAt) > loadTimeout {
			return err
		}
		time.Sleep(delay)
		delay = min(delay*2, maxRetryDelay)
	}
}

// storedState is what a new leader reads: the state stored by earlier leaders, the open jobs and
// the workers, with the offsets from which to continue reading.
type storedState struct {
	state       []store.Record
	jobs        [intake.Parts]partJobs
	unread      [intake.Parts]bool // parts that may have jobs which were not read
	registry    fleet.Registry
	requestedAt time.Time
}

// partLoadTime is how much longer than the other reads that of a part of the jobs may take before the
// term begins without it: two calls.
const partLoadTime = 2 * callTimeout

// load reads all that a new leader needs. Only the scheduler's state must be read after the
// fence; the rest is read concurrently, since every call is slow if the store is. Accepted jobs
// are read again where the state shows that they are out of date. Parts of the jobs that can't be
// read in time are left unread, unless that is all of them.
func (t *term) load(ctx context.Context) (storedState, error) {
	var stored storedState
	stored.requestedAt = t.cfg.Now()
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	t.spawn(func() { t.logLoading(loadCtx) })
	reads := t.readParts(loadCtx, &stored)
	defer reads.end()
	g, ctx := errgroup.WithContext(loadCtx)
	g.Go(func() error {
		if err := t.fence(ctx); err != nil {
			return err
		}
		records, _, err := t.newest(ctx, Stream)
		stored.state = records
		return err
	})
	g.Go(func() error {
		var err error
		stored.registry, _, err = retry(ctx, &t.loadStats, func(ctx context.Context) (fleet.Registry, int64, error) {
			reg, err := t.cfg.Registry.Workers(ctx)
			return reg, 0, err
		})
		return err
	})
	if err := g.Wait(); err != nil {
		return storedState{}, err
	}
	if err := reads.await(loadCtx); err != nil {
		return storedState{}, err
	}
	reads.end()
	t.rereadJobs(loadCtx, &stored)
	for part, unread := range stored.unread {
		if unread {
			metric.Count("parts_left_unread_total")
			t.cfg.Logger.Warn("jobs not read; leading without them", "epoch", t.epoch, "part", part)
		}
	}
	return stored, nil
}

// partReads are reads of all parts of the jobs.
type partReads struct {
	stop context.CancelFunc
	all  sync.WaitGroup
	done chan struct{} // has an entry for each part that was read
}

// readParts begins to read the jobs.
func (t *term) readParts(ctx context.Context, stored *storedState) *partReads {
	ctx, stop := context.WithCancel(ctx)
	reads := &partReads{stop: stop, done: make(chan struct{}, intake.Parts)}
	for part := range intake.Parts {
		stored.unread[part] = true
		reads.all.Go(func() {
			defer t.recoverPanic()
			jobs, err := t.newestJobs(ctx, part)
			if err != nil {
				return // ctx has ended; load logs the part
			}
			stored.jobs[part], stored.unread[part] = jobs, false
			reads.done <- struct{}{}
		})
	}
	return reads
}

// await waits until all parts are read, or until partLoadTime after the first one. It fails if none
// is read before ctx ends.
func (r *partReads) await(ctx context.Context) error {
	var limit <-chan time.Time
	for read := 0; read < intake.Parts; {
		if read > 0 && limit == nil {
			limit = time.After(partLoadTime)
		}
		select {
		case <-r.done:
			read++
		case <-limit:
			return nil
		case <-ctx.Done():
			if read == 0 {
				return ctx.Err()
			}
			return nil
		}
	}
	return nil
}

// end returns once no read is in progress.
func (r *partReads) end() {
	r.stop()
	r.all.Wait()
}

// rereadJobs reads the parts again that lack a job of the stored state. It was accepted after the
// part was read, but an earlier leader may have started it before the state was.
func (t *term) rereadJobs(ctx context.Context, stored *storedState) {
	ctx, cancel := context.WithTimeout(ctx, partLoadTime)
	defer cancel()
	var reads sync.WaitGroup
	defer reads.Wait()
	for part := range stored.missingParts() {
		t.cfg.Logger.Info("accepted jobs are read again", "epoch", t.epoch, "part", part)
		reads.Go(func() {
			defer t.recoverPanic()
			jobs, err := t.newestJobs(ctx, part)
			if err != nil {
				stored.unread[part] = true
				return
			}
			stored.jobs[part] = jobs
		})
	}
}

// missingParts returns the parts, of those that were read, where a job is missing that has stored
// tasks and no outcome.
func (s *storedState) missingParts() map[int]bool {
	known := map[string]bool{}
	for part := range s.jobs {
		for _, r := range s.jobs[part].records {
			known[intake.JobOf(r.Key)] = true
		}
	}
	for _, r := range s.state {
		if id, _, isTask := strings.Cut(r.Key, "."); !isTask {
			known[id] = true
		}
	}
	missing := map[int]bool{}
	for _, r := range s.state {
		id, _, isTask := strings.Cut(r.Key, ".")
		if part := intake.PartOf(id); isTask && !known[id] && !isTermKey(r.Key) && !s.unread[part] {
			missing[part] = true
		}
	}
	return missing
}

func (t *term) newest(ctx context.Context, s store.Stream) ([]store.Record, int64, error) {
	return retry(ctx, &t.loadStats, func(ctx context.Context) ([]store.Record, int64, error) { return t.cfg.Log.Newest(ctx, s) })
}

// restore rebuilds the scheduler's state from the stored state.
func (t *term) restore(stored storedState) {
	now := t.cfg.Now()
	if snap := t.cfg.Catalog(); snap != nil {
		t.setPolicy(snap)
	}
	t.readTerms(stored.state)
	t.core.SetEarlierStartsEnd(t.earlierLeases.StartsEnd())
	for _, r := range stored.state {
		if isTermKey(r.Key) {
			continue
		}
		if err := t.core.Restore(now, r.Key, r.Value); err != nil {
			metric.Count("stored_states_unreadable_total")
			t.cfg.Logger.Error("stored state not readable; calls for its job are refused", "key", r.Key, "epoch", t.epoch, "error", err)
			id := scheduler.JobOf(r.Key)
			t.core.AwaitUnreadableState(id)
			t.statusCache.markUnreadable(id)
		}
	}
	t.applyEffects(t.core.TakeEffects()) // publishes the stored outcomes
	for part := range stored.jobs {
		t.addJobs(now, stored.jobs[part])
		t.jobReads[part].offset.Store(stored.jobs[part].extent.Next)
		t.jobReads[part].unread.Store(stored.unread[part])
		if !stored.unread[part] {
			t.readAsOf[part] = stored.jobs[part].extent.AskedAt
		}
	}
	t.core.AwaitJobs(now, func(id string) time.Time { return t.readAsOf[intake.PartOf(id)] })
	t.updateWorkers(now, stored.registry)
	for id := range t.inherited {
		if t.core.Knows(id) {
			t.link(id, "")
		}
	}
	t.noteUnclaimed()
	t.applyEffects(t.core.TakeEffects())
	t.statusCache.updateWaiting(now, t.core, t.readAsOf[:])
}

// retry calls f until it succeeds or ctx ends. The time limit of a call holds for each page that it reads.
func retry[T any](ctx context.Context, stats *loadStats, f func(ctx context.Context) (T, int64, error)) (T, int64, error) {
	for {
		callCtx, cancel := store.WithIdleTimeout(ctx, callTimeout)
		v, n, err := f(callCtx)
		cancel()
		if err == nil || ctx.Err() != nil {
			return v, n, err
		}
		stats.recordFailure(err)
		time.Sleep(retryDelay)
	}
}

func (t *term) setPolicy(snap *catalog.Snapshot) {
	if snap.Offset() >= t.policyOffset {
		t.policyOffset = snap.Offset()
		t.core.SetPolicy(scheduler.Policy{Offset: snap.Offset(), Queues: snap.Queues(), Guarantees: snap.Guarantees()})
	}
}
