package placer

import (
	"context"
	"time"

	"rhubarbshore/internal/journal"
	"rhubarbshore/pkg/api"
)

const (
	// readEvery is the time between tries to read the journal.
	readEvery = 2 * time.Second
	// keepBatch is the number of jobs that one try writes to the journal.
	keepBatch = 64
)

// Journal keeps accepted jobs until they have ended.
type Journal interface {
	// Accept records an accepted job and tells where it is safe.
	Accept(ctx context.Context, j api.Job) journal.Kept
	// End records that the job is over.
	End(id string, state api.State)
	// Open reads the jobs that were accepted, and those that are over.
	Open(ctx context.Context) journal.Known
	// News reports, once, that there is more to read than when Open read all.
	News() bool
	// SetLeading tells whether this VM decides for the zone.
	SetLeading(leading bool)
}

// readJournal fetches, once per term of leading and after news, the jobs that no lease tells
// of.
func (p *Placer) readJournal(now time.Time) {
	if p.cfg.Journal == nil {
		return
	}
	p.read = p.read && !p.cfg.Journal.News()
	if p.read || now.Before(p.readAt) || p.reading || !p.ready || now.Sub(p.since) < settleTime {
		return
	}
	p.reading = true
	p.readAt = now.Add(readEvery)
	began := p.since
	go func() {
		ctx, cancel := call(readEvery)
		defer cancel()
		known := p.cfg.Journal.Open(ctx)
		p.post(func() {
			p.reading = false
			if p.leading && began.Equal(p.since) {
				p.onJournal(known)
			}
		})
	}()
}

func (p *Placer) onJournal(known journal.Known) {
	p.read = known.Whole
	for id, state := range known.Over {
		p.endUnseen(id, state)
	}
	for _, in := range known.Jobs {
		if j := p.jobs[in.Job.ID]; j != nil {
			j.status.Durable = j.status.Durable || in.Durable
			continue
		}
		if p.found[in.Job.ID] != nil {
			continue
		}
		j := newJob(in.Job, p.cfg.Zone)
		j.status.Durable = in.Durable
		j.unseen = true
		p.enqueue(j)
	}
}

// endUnseen drops a job that waits here and turns out to be over.
func (p *Placer) endUnseen(id string, state api.State) {
	if j := p.jobs[id]; j != nil && j.queued && j.unseen {
		p.unqueue(j)
		j.status.State = state
		j.status.Ended = time.Now()
	}
}

// keepJobs writes jobs to the journal that the log lacks, and again those that it
// would soon drop.
func (p *Placer) keepJobs(now time.Time) {
	if p.cfg.Journal == nil || !p.read || p.keeping || now.Before(p.keepAt) {
		return
	}
	p.keepAt = now.Add(readEvery)
	var batch []*job
	for _, j := range p.jobs {
		if !j.over() && len(batch) < keepBatch && p.unkept(j, now) {
			batch = append(batch, j)
		}
	}
	if len(batch) == 0 {
		return
	}
	p.keeping = true
	go func() {
		kept := p.keepBatch(batch)
		p.post(func() {
			p.keeping = false
			for i, k := range kept {
				p.onKept(batch[i], k)
			}
		})
	}()
}

// unkept reports whether the log lacks the job or may soon drop it.
func (p *Placer) unkept(j *job, now time.Time) bool {
	if !j.status.Durable {
		return now.Sub(j.status.Submitted) > readEvery
	}
	return p.cfg.Restate > 0 && now.Sub(j.kept) > p.cfg.Restate
}

// keepBatch tells where the jobs are safe by now. It stops after the first one that
// is not in the log, since the next one would most likely not be either.
func (p *Placer) keepBatch(batch []*job) []journal.Kept {
	var out []journal.Kept
	for _, j := range batch {
		ctx, cancel := call(readEvery)
		kept := p.cfg.Journal.Accept(ctx, j.status.Job)
		cancel()
		out = append(out, kept)
		if !kept.Durable {
			break
		}
	}
	return out
}

// onKept notes where the job is safe, under whichever record this placer has of it
// by now.
func (p *Placer) onKept(j *job, kept journal.Kept) {
	if known := p.jobs[j.status.Job.ID]; known != nil {
		j = known
	}
	j.status.Copies = kept.Copies
	if kept.Durable {
		j.status.Durable = true
		j.kept = time.Now()
	}
	if j.over() {
		p.journalEnd(j)
	}
}

// journalEnd records the end of a job.
func (p *Placer) journalEnd(j *job) {
	if p.cfg.Journal != nil {
		p.cfg.Journal.End(j.status.Job.ID, j.status.State)
	}
}

// setJournal tells the journal whether this VM decides for the zone.
func (p *Placer) setJournal(leading bool) {
	if p.cfg.Journal != nil {
		p.cfg.Journal.SetLeading(leading)
	}
}
