package placer

import (
	"context"
	"time"

	"rhubarbshore/internal/journal"
	"rhubarbshore/pkg/api"
)

const (
	// journalInterval is the time between attempts to read or write the journal, and
	// the timeout of each call to it.
	journalInterval = 2 * time.Second
	// maxWriteBatch is the maximum number of jobs that one attempt writes to the journal.
	maxWriteBatch = 64
)

// Journal persists accepted jobs in the platform's log until they have ended.
type Journal interface {
	// Accept records an accepted job and returns where it is stored.
	Accept(ctx context.Context, j api.Job) journal.AcceptResult
	// End records that the job has ended.
	End(id string, state api.State)
	// Open reads the accepted jobs that are still open, and those that have ended.
	Open(ctx context.Context) journal.Snapshot
	// HasNewRecords reports whether there are new records since the last call, which the
	// result of an earlier Open may lack.
	HasNewRecords() bool
	// SetLeading sets whether this VM leads the zone.
	SetLeading(leading bool)
}

// readJournal reads the open jobs that no worker holds a lease for. It does so once
// after each rebuild and whenever the journal has new records.
func (p *Placer) readJournal(now time.Time) {
	if p.cfg.Journal == nil {
		return
	}
	p.journalRead = p.journalRead && !p.cfg.Journal.HasNewRecords()
	if p.journalRead || now.Before(p.nextRead) || p.readingJournal || !p.ready || now.Sub(p.rebuildStart) < rebuildTimeout {
		return
	}
	p.readingJournal = true
	p.nextRead = now.Add(journalInterval)
	rebuild := p.rebuildStart
	go func() {
		ctx, cancel := callContext(journalInterval)
		defer cancel()
		snapshot := p.cfg.Journal.Open(ctx)
		p.post(func() {
			p.readingJournal = false
			if p.leading && rebuild.Equal(p.rebuildStart) {
				p.onJournal(snapshot)
			}
		})
	}()
}

// onJournal queues the open jobs read from the journal that are not known yet.
func (p *Placer) onJournal(snapshot journal.Snapshot) {
	p.journalRead = snapshot.Complete
	for id, state := range snapshot.Ended {
		p.endUnverified(id, state)
	}
	for _, in := range snapshot.Jobs {
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

// endUnverified ends a waiting job that has already ended according to the journal.
func (p *Placer) endUnverified(id string, state api.State) {
	if j := p.jobs[id]; j != nil && j.queued && j.unverified {
		p.dequeue(j)
		j.status.State = state
		j.status.Ended = time.Now()
	}
}

// writeJournal writes open jobs to the journal that the log lacks or will soon drop.
func (p *Placer) writeJournal(now time.Time) {
	if p.cfg.Journal == nil || !p.journalRead || p.writingJournal || now.Before(p.nextWrite) {
		return
	}
	p.nextWrite = now.Add(journalInterval)
	var batch []*job
	for _, j := range p.jobs {
		if !j.ended() && len(batch) < maxWriteBatch && p.needsWrite(j, now) {
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

// needsWrite reports whether the log lacks the job or may soon drop its record.
func (p *Placer) needsWrite(j *job, now time.Time) bool {
	if !j.status.Durable {
		return now.Sub(j.status.Submitted) > journalInterval
	}
	return p.cfg.RewriteInterval > 0 && now.Sub(j.written) > p.cfg.RewriteInterval
}

// writeBatch writes the jobs to the journal and returns where they are stored. It stops
// after the first job that does not reach the log, since the next one would most
// likely fail as well.
func (p *Placer) writeBatch(batch []*job) []journal.AcceptResult {
	var out []journal.AcceptResult
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

// onWritten records where the job is stored. The job may have been replaced by a new
// record since it was written, for example by a rebuild.
func (p *Placer) onWritten(j *job, written journal.AcceptResult) {
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

// journalEnd records the end of a job in the journal.
func (p *Placer) journalEnd(j *job) {
	if p.cfg.Journal != nil {
		p.cfg.Journal.End(j.status.Job.ID, j.status.State)
	}
}

// setJournalLeading tells the journal whether this VM leads the zone.
func (p *Placer) setJournalLeading(leading bool) {
	if p.cfg.Journal != nil {
		p.cfg.Journal.SetLeading(leading)
	}
}
