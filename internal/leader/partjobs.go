package leader

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/store"
)

// partJobs are submissions that were read from a part of the jobs.
type partJobs struct {
	records []store.Record // in the order in which they were stored
	orphans []string       // keys of copies whose job was dropped
	extent  store.Extent   // of the read
}

// newPartJobs returns the submissions among the newest records of a part, up to the extent of the read.
// Later records are left out: they were not read at one time, and an earlier submission may be missing.
func newPartJobs(records []store.Record, extent store.Extent) partJobs {
	exists := map[string]bool{}
	for _, r := range records {
		if r.Key == intake.JobOf(r.Key) {
			exists[r.Key] = true
		}
	}
	jobs := partJobs{extent: extent}
	for _, r := range records {
		switch {
		case r.Offset >= extent.Next:
		case exists[intake.JobOf(r.Key)]:
			jobs.records = append(jobs.records, r)
		default:
			jobs.orphans = append(jobs.orphans, r.Key)
		}
	}
	slices.SortFunc(jobs.records, func(a, b store.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return jobs
}

// newestJobs reads all submissions of a part.
func (t *term) newestJobs(ctx context.Context, part int) (partJobs, error) {
	askedAt := t.cfg.Now()
	records, end, err := t.newest(ctx, intake.Stream(part))
	return newPartJobs(records, store.NewestExtent(askedAt, end)), err
}

// addJobs adds the submissions to the scheduler. Copies whose job was dropped, by a leader of an
// earlier version that doesn't know them, are dropped as well.
func (t *term) addJobs(now time.Time, jobs partJobs) {
	for _, r := range jobs.records {
		if len(r.Value) > 0 {
			t.addJob(now, r)
		}
	}
	for _, key := range jobs.orphans {
		t.cfg.Logger.Info("copy of a job that was dropped", "key", key)
		t.droppable = append(t.droppable, scheduler.Description{Key: key})
	}
}

func (t *term) addJob(now time.Time, r store.Record) {
	id := intake.JobOf(r.Key)
	if r.Key == id && t.core.HasJob(id) {
		t.core.AddJob(now, scheduler.Job{ID: id, Key: id}) // its copy was added before
		return
	}
	j, err := decodeStoredJob(r.Value)
	if err == nil && j.ID != id {
		err = fmt.Errorf("the record names the job %.40q: %w", j.ID, scheduler.ErrUnreadable)
	}
	if err != nil {
		metric.Count("stored_jobs_unreadable_total")
		t.cfg.Logger.Error("stored job not readable; calls for it are refused", "key", r.Key, "epoch", t.epoch, "error", err)
		t.core.AwaitUnreadable(id)
		t.statusCache.markUnreadable(id)
		return
	}
	j.Key = r.Key
	var cut bool
	if j.Queue, cut = j.Queue.Limited(); cut { // a VM of an earlier version accepted the job
		metric.Count("stored_queues_cut_total")
		t.cfg.Logger.Info("figures of a stored job's queue cut to the limits of jobs", "job", j.ID, "queue", j.Queue.Name)
	}
	if err := j.Check(); err != nil {
		metric.Count("stored_jobs_rejected_total")
		t.core.FailInvalidJob(now, j, err)
		return
	}
	t.core.AddJob(now, j)
}
