package placer

import (
	"context"
	"time"

	"rhubarbshore/internal/metric"
	"rhubarbshore/pkg/api"
)

const (
	// readEvery is the time between tries to read the journal.
	readEvery = 2 * time.Second
	// keepBatch is the number of jobs that one try writes to the journal.
	keepBatch = 64
)

// Journal keeps accepted jobs in the platform's log until they have ended.
type Journal interface {
	// Accept records an accepted job.
	Accept(ctx context.Context, j api.Job) error
	// End records that the job is over.
	End(ctx context.Context, id string, state api.State) error
	// Open reads the jobs that were accepted and are not over.
	Open(ctx context.Context) ([]api.Job, error)
}

// readJournal fetches, once per office, the jobs that no lease tells of.
func (p *Placer) readJournal(now time.Time) {
	if p.cfg.Journal == nil || p.read || p.reading || !p.ready || now.Sub(p.since) < settleTime {
		return
	}
	p.reading = true
	began := p.since
	go func() {
		ctx, cancel := call(readEvery)
		defer cancel()
		jobs, err := p.cfg.Journal.Open(ctx)
		if err != nil {
			time.Sleep(readEvery)
		}
		p.post(func() {
			p.reading = false
			if err == nil && p.office && began.Equal(p.since) {
				p.onJournal(jobs)
			}
		})
	}()
}

func (p *Placer) onJournal(jobs []api.Job) {
	p.read = true
	for _, in := range jobs {
		if j := p.jobs[in.ID]; j != nil {
			j.status.Durable = true
			continue
		}
		if p.found[in.ID] != nil {
			continue
		}
		j := newJob(in, p.cfg.Zone)
		j.status.Durable = true
		j.unseen = true
		p.enqueue(j)
	}
}

// keepJobs writes jobs to the journal that were accepted while it was out of reach.
func (p *Placer) keepJobs(now time.Time) {
	if p.cfg.Journal == nil || !p.read || p.keeping || now.Before(p.keepAt) {
		return
	}
	p.keepAt = now.Add(readEvery)
	var batch []*job
	for _, j := range p.jobs {
		if !j.status.Durable && !j.over() && now.Sub(j.status.Submitted) > readEvery && len(batch) < keepBatch {
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
			for _, j := range batch[:kept] {
				p.onKept(j)
			}
		})
	}()
}

// keepBatch returns how many of the jobs are in the journal. It stops at the first
// failure, since the next one would most likely fail too.
func (p *Placer) keepBatch(batch []*job) int {
	for i, j := range batch {
		ctx, cancel := call(readEvery)
		err := p.cfg.Journal.Accept(ctx, j.status.Job)
		cancel()
		if err != nil {
			metric.Retry("journal")
			return i
		}
	}
	return len(batch)
}

// onKept marks the job as safe in the log, under whichever record this placer has
// of it by now.
func (p *Placer) onKept(j *job) {
	if known := p.jobs[j.status.Job.ID]; known != nil {
		j = known
	}
	j.status.Durable = true
	if j.over() {
		p.journalEnd(j)
	}
}

// journalEnd records the end of a durable job in the background.
func (p *Placer) journalEnd(j *job) {
	if p.cfg.Journal == nil || !j.status.Durable {
		return
	}
	id, state := j.status.Job.ID, j.status.State
	go func() {
		for pause := readEvery; ; pause = min(2*pause, time.Minute) {
			ctx, cancel := call(readEvery)
			err := p.cfg.Journal.End(ctx, id, state)
			cancel()
			if err == nil {
				return
			}
			metric.Retry("journal")
			time.Sleep(pause)
		}
	}()
}
