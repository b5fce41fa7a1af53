package placer

import (
	"context"
	"time"

	"rhubarbshore/internal/journal"
	"rhubarbshore/pkg/api"
)

const (
	// readEvery is the time between tries to read the journal.
	journalInterval = 2 * time.Second
	// keepBatch is the number of jobs that one try writes to the journal.
	writeBatch = 64
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
	p.journalRead = p.journalRead && !p.cfg.Journal.News()
	if p.journalRead || now.Before(p.nextRead) || p.readingJournal || !p.ready || now.Sub(p.rebuildStart) < rebuildTimeout {
		return
	}
	p.readingJournal = true
	p.nextRead = now.Add(journalInterval)
	rebuild := p.rebuildStart
	go func() {
		ctx, cancel := callContext(journalInterval)
		defer cancel()
		known := p.cfg.Journal.Open(ctx)
		p.post(func() {
			p.readingJournal = false
			if p.leading && rebuild.Equal(p.rebuildStart) {
				p.onJournal(known)
			}
		})
	}()
}

func (p *Placer) onJournal(known journal.Known) {
	p.journalRead = known.Whole
	for id, state := range known.Over {
		p.endUnverified(id, state)
	}
	for _, in := range known.Jobs {
		if j := p.jobs[in.Job.ID]; j != nil {
			j.status.Durable = j.status.Durable || in.Durable
			continue
		}
		if p.foundGangs[in.Job.ID] != nil {
			continue
		}
		j := newJob(in.Job, p.cfg.Zone)
		j.status.Durable = in.Durable
		j.unverified = true
		p.enqueue(j)
	}
}

// endUnseen drops a job that waits here and turns out to be over.
func (p *Placer) endUnverified(id string, state api.State) {
	if j := p.jobs[id]; j != nil && j.queued && j.unverified {
		p.dequeue(j)
		j.status.State = state
		j.status.Ended = time.Now()
	}
}

// keepJobs writes jobs to the journal that the log lacks, and again those that it
// would soon drop.
func (p *Placer) writeJournal(now time.Time) {
	if p.cfg.Journal == nil || !p.journalRead || p.writingJournal || now.Before(p.nextWrite) {
		return
	}
	p.nextWrite = now.Add(journalInterval)
	var batch []*job
	for _, j := range p.jobs {
		if !j.ended() && len(batch) < writeBatch && p.needsWrite(j, now) {
			batch = append(batch, j)
		}
	}
	if len(batch) == 0 {
		return
	}
	p.writingJournal = true
	go func() {
		written := p.writeBatch(batch)
		p.post(func() {
			p.writingJournal = false
			for i, k := range written {
				p.onWritten(batch[i], k)
			}
		})
	}()
}

// unkept reports whether the log lacks the job or may soon drop it.
func (p *Placer) needsWrite(j *job, now time.Time) bool {
	if !j.status.Durable {
		return now.Sub(j.status.Submitted) > journalInterval
	}
	return p.cfg.Restate > 0 && now.Sub(j.written) > p.cfg.Restate
}

// keepBatch tells where the jobs are safe by now. It stops after the first one that
// is not in the log, since the next one would most likely not be either.
func (p *Placer) writeBatch(batch []*job) []journal.Kept {
	var out []journal.Kept
	for _, j := range batch {
		ctx, cancel := callContext(journalInterval)
		written := p.cfg.Journal.Accept(ctx, j.status.Job)
		cancel()
		out = append(out, written)
		if !written.Durable {
			break
		}
	}
	return out
}

// onKept notes where the job is safe, under whichever record this placer has of it
// by now.
func (p *Placer) onWritten(j *job, written journal.Kept) {
	if known := p.jobs[j.status.Job.ID]; known != nil {
		j = known
	}
	j.status.Copies = written.Copies
	if written.Durable {
		j.status.Durable = true
		j.written = time.Now()
	}
	if j.ended() {
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
func (p *Placer) setJournalLeading(leading bool) {
	if p.cfg.Journal != nil {
		p.cfg.Journal.SetLeading(leading)
	}
}
