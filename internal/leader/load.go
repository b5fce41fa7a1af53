package leader

import (
	"context"
	"errors"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"rhubarbshore/internal/catalog"
	"rhubarbshore/internal/fleet"
	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/store"
)

// fence shuts out earlier leaders: from now on their writes fail.
func (t *term) fence(ctx context.Context) error {
	pause := retryPause
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := t.cfg.Log.Append(call, Stream, []store.Record{t.mark()}, store.AppendOptions{Producer: producer, Epoch: t.epoch, Sequence: 0})
		cancel()
		if err == nil {
			t.lastWrite.set(time.Now())
			return nil
		}
		if errors.Is(err, store.ErrFenced) {
			return ErrDeposed
		}
		if ctx.Err() != nil || time.Since(t.begun) > loadTimeout {
			return err
		}
		time.Sleep(pause)
		pause = min(pause*2, maxRetryPause)
	}
}

// mark is a record that changes nothing. Storing it shows that the epoch stands.
func (t *term) mark() store.Record {
	return store.Record{Key: markKey, Value: strconv.AppendInt(nil, t.epoch, 10)}
}

// loaded is what a new leader reads: the state its predecessors stored, the open
// jobs and the workers, with the offsets to read on from.
type loaded struct {
	state     []store.Record
	jobs      [intake.Parts][]store.Record
	jobsNext  [intake.Parts]int64
	registry  fleet.Registry
	requested time.Time
}

// load reads all that the leader has to know. Only the state has to be read after
// the fence; the rest is read beside it, as every call is slow if the store is.
func (t *term) load(ctx context.Context) (loaded, error) {
	var in loaded
	in.requested = t.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := t.fence(ctx); err != nil {
			return err
		}
		records, _, err := t.newest(ctx, Stream)
		in.state = records
		return err
	})
	for part := range intake.Parts {
		g.Go(func() error {
			var err error
			in.jobs[part], in.jobsNext[part], err = t.newest(ctx, intake.Stream(part))
			return err
		})
	}
	g.Go(func() error {
		var err error
		in.registry, _, err = retry(ctx, func(ctx context.Context) (fleet.Registry, int64, error) {
			reg, err := t.cfg.Registry.Workers(ctx)
			return reg, 0, err
		})
		return err
	})
	return in, g.Wait()
}

func (t *term) newest(ctx context.Context, s store.Stream) ([]store.Record, int64, error) {
	return retry(ctx, func(ctx context.Context) ([]store.Record, int64, error) { return t.cfg.Log.Newest(ctx, s) })
}

// adopt builds the scheduler's state from what was read.
func (t *term) adopt(in loaded) {
	now := t.cfg.Now()
	if snap := t.cfg.Catalog(); snap != nil {
		t.setPolicy(snap)
	}
	for _, r := range in.state {
		if r.Key == markKey {
			continue
		}
		if err := t.core.Restore(now, r.Key, r.Value); err != nil {
			t.cfg.Logger.Error("stored state not readable", "key", r.Key, "error", err)
		}
	}
	t.collect(t.core.Take()) // outcomes that are stored show from now on
	for part := range in.jobs {
		t.addJobs(now, in.jobs[part])
	}
	t.seeWorkers(now, in.registry)
	t.collect(t.core.Take())
	for part := range in.jobs {
		t.answers.read(part, in.requested)
	}
	t.answers.count(now, t.core)
}

// retry repeats a reading until it succeeds or ctx ends.
func retry[T any](ctx context.Context, f func(ctx context.Context) (T, int64, error)) (T, int64, error) {
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		v, n, err := f(call)
		cancel()
		if err == nil || ctx.Err() != nil {
			return v, n, err
		}
		time.Sleep(retryPause)
	}
}

func (t *term) setPolicy(snap *catalog.Snapshot) {
	if snap.Offset() >= t.version {
		t.version = snap.Offset()
		t.core.SetPolicy(snap.Queues(), snap.Guarantees())
	}
}

func (t *term) addJobs(now time.Time, records []store.Record) {
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		j, err := decodeStoredJob(r.Value)
		if err != nil || j.ID != r.Key {
			t.cfg.Logger.Error("stored job not readable", "job", r.Key, "error", err)
			continue
		}
		t.core.AddJob(now, j)
	}
}
