package placer

import (
	"context"
	"time"

	"rhubarbshore/internal/metric"
	"rhubarbshore/pkg/api"
)

// readEvery is the time between tries to read the journal.
const readEvery = 2 * time.Second

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
