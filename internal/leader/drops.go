package leader

import (
	"context"
	"time"

	"rhubarbshore/internal/intake"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/store"
)

// dropJobs drops descriptions that are not needed any more, and posts which drops succeeded.
func (t *term) dropJobs(ctx context.Context, descriptions []scheduler.Description) {
	var byPart [intake.Parts][]scheduler.Description
	for _, d := range descriptions {
		part := intake.PartOf(intake.JobOf(d.Key))
		byPart[part] = append(byPart[part], d)
	}
	for part, rest := range byPart {
		for len(rest) > 0 {
			n := t.dropBatch(rest)
			t.dropJobsInPart(ctx, part, rest[:n])
			rest = rest[n:]
		}
	}
}

// dropBatch returns how many of the descriptions can be dropped in one append, at least one.
func (t *term) dropBatch(descriptions []scheduler.Description) int {
	size := 0
	for i, d := range descriptions {
		size += len(d.Key) + recordOverhead
		if i > 0 && t.cfg.MaxBatch > 0 && size > t.cfg.MaxBatch {
			return i
		}
	}
	return len(descriptions)
}

// dropJobsInPart drops descriptions of jobs of one part in one append.
func (t *term) dropJobsInPart(ctx context.Context, part int, descriptions []scheduler.Description) {
	if !t.active() {
		return // the next leader drops them, or serves a new job with the same ID by now
	}
	records := make([]store.Record, len(descriptions))
	for i, d := range descriptions {
		records[i].Key = d.Key
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := t.cfg.Log.Append(callCtx, intake.Stream(part), records, store.AppendOptions{})
	if err != nil {
		metric.Count("job_drop_failures_total")
		t.cfg.Logger.Warn("descriptions of jobs not dropped; trying again", "part", part, "jobs", len(descriptions), "error", err)
	}
	t.post(ctx, droppedEvent{descriptions: descriptions, err: err})
}

// droppedEvent reports whether descriptions of jobs were dropped.
type droppedEvent struct {
	descriptions []scheduler.Description
	err          error
}

func (droppedEvent) eventKind() eventKind { return kindStored }

func (e droppedEvent) apply(t *term, now time.Time) {
	if e.err != nil {
		t.droppable = append(t.droppable, e.descriptions...)
		return
	}
	for _, d := range e.descriptions {
		t.core.DescriptionDropped(now, d.Job)
	}
}
