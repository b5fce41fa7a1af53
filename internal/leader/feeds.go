package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/metric"
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

// jobReadRetryDelay is the pause after a read of new jobs that failed.
const jobReadRetryDelay = 100 * time.Millisecond

// jobReads coordinates the reads of a part's new jobs.
type jobReads struct {
	offset atomic.Int64 // records before it have been posted to the loop
	unread atomic.Bool  // so have none at all or not all of them: the newest ones are read first

	mu   sync.Mutex
	next *jobRead // read that has not begun; all callers share it
	// newestDone is closed once the newest read that callers asked for has ended.
	newestDone chan struct{}
}

// jobRead is a read of a part's new jobs that callers wait for.
type jobRead struct {
	done chan struct{} // closed once the jobs are applied or the read has failed
	err  error
}

// followJobs reads newly accepted jobs of a part.
func (t *term) followJobs(ctx context.Context, part int) {
	failures := 0
	for ctx.Err() == nil {
		_, err := t.readJobs(ctx, part, jobPollWait, nil)
		if err == nil {
			failures = 0
			continue
		}
		if failures++; failures%logInterval == 1 && ctx.Err() == nil {
			t.cfg.Logger.Warn("new jobs not read", "part", part, "from", t.jobReads[part].offset.Load(), "failures", failures, "error", err)
		}
		time.Sleep(jobReadRetryDelay)
	}
}

// readJobs reads a page of the jobs of a part that have not been read yet, waits up to wait for one, and
// posts them to the loop. The loop calls applied, unless it is nil, once they are applied.
func (t *term) readJobs(ctx context.Context, part int, wait time.Duration, applied func()) (store.Extent, error) {
	reads := &t.jobReads[part]
	from := reads.offset.Load()
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	read, err := t.readPage(callCtx, part, wait)
	cancel()
	if errors.Is(err, store.ErrGone) {
		read, err = t.newestJobs(ctx, part)
	}
	if err != nil {
		return store.Extent{}, err
	}
	// The offset moves on, so the jobs must reach the loop even if ctx ends now.
	t.post(t.ctx, jobsEvent{part, read, applied})
	// Another read may have been faster and further.
	for last := from; last < read.extent.Next && !reads.offset.CompareAndSwap(last, read.extent.Next); {
		last = reads.offset.Load()
	}
	reads.unread.Store(false)
	return read.extent, nil
}

// readJobsToEnd reads what a part holds when it is called and returns once it is applied. A read that
// stops before the end, at the limit of a page, says nothing about the jobs behind it.
func (t *term) readJobsToEnd(ctx context.Context, part int) error {
	for end, last := int64(-1), int64(-1); ; {
		applied := make(chan struct{})
		extent, err := t.readJobs(ctx, part, 0, func() { close(applied) })
		if err != nil {
			return err
		}
		if end < 0 {
			end = extent.End
		}
		if extent.Next < end {
			if extent.Next <= last {
				return fmt.Errorf("part %d ends at %d, but nothing is returned from %d on: %w", part, extent.End, last, ErrIndeterminate)
			}
			last = extent.Next
			continue
		}
		select {
		case <-applied: // after the pages before it
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// readPage reads the records of a part that follow, or the newest ones if the term began without them.
func (t *term) readPage(ctx context.Context, part int, wait time.Duration) (partJobs, error) {
	stream, reads := intake.Stream(part), &t.jobReads[part]
	if !reads.unread.Load() {
		page, err := t.cfg.Log.Read(ctx, stream, reads.offset.Load(), wait)
		return partJobs{records: page.Records, extent: page.Extent}, err
	}
	askedAt := t.cfg.Now()
	records, end, err := t.cfg.Log.Newest(ctx, stream)
	return newPartJobs(records, store.NewestExtent(askedAt, end)), err
}

// catchUp returns once all jobs of a part that had been accepted when it was called are applied.
// Calls that come during a read share the next one.
func (t *term) catchUp(ctx context.Context, part int) error {
	reads := &t.jobReads[part]
	reads.mu.Lock()
	r := reads.next
	if r == nil {
		r = &jobRead{done: make(chan struct{})}
		previous := reads.newestDone
		reads.next, reads.newestDone = r, r.done
		t.spawn(func() { t.runJobRead(part, r, previous) })
	}
	reads.mu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runJobRead carries out a read that callers wait for once the previous one, if there was one, has
// closed its channel.
func (t *term) runJobRead(part int, r *jobRead, previous chan struct{}) {
	if previous != nil {
		<-previous
	}
	reads := &t.jobReads[part]
	reads.mu.Lock()
	reads.next = nil
	reads.mu.Unlock()
	defer close(r.done)
	ctx, cancel := context.WithTimeout(t.ctx, catchUpTimeout)
	defer cancel()
	r.err = t.readJobsToEnd(ctx, part)
	if r.err != nil && t.ctx.Err() == nil {
		metric.Count("job_read_failures_total")
		t.cfg.Logger.Info("no definite answer about an unknown job: new jobs not read", "part", part, "timeout_ms", catchUpTimeout.Milliseconds(), "error", r.err)
	}
}

type jobsEvent struct {
	part    int
	jobs    partJobs
	applied func()
}

func (jobsEvent) eventKind() eventKind { return kindJobs }

func (e jobsEvent) apply(t *term, now time.Time) {
	t.addJobs(now, e.jobs)
	if extent := e.jobs.extent; extent.Complete() {
		first := t.readAsOf[e.part].IsZero()
		if extent.AskedAt.After(t.readAsOf[e.part]) {
			t.readAsOf[e.part] = extent.AskedAt
		}
		if first {
			t.core.JobsRead(now)
			t.cfg.Logger.Info("jobs read that the term began without", "epoch", t.epoch, "part", e.part, "records", len(e.jobs.records))
		}
	}
	t.applyEffects(t.core.TakeEffects())
	if e.applied != nil {
		e.applied()
	}
}
