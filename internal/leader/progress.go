package leader

import (
	"context"
	"sync/atomic"
	"time"

	"rhubarbshore/internal/metric"
)

// kind tells events apart in logs and metrics.
type kind int

const (
	kindRenewal kind = iota
	kindStart
	kindStop
	kindStored
	kindJobs
	kindRegistry
	kindCancel
	kinds // their number
)

// String names the kind in logs and metrics.
func (k kind) String() string {
	return [...]string{"renewal", "start", "stop", "stored", "jobs", "registry", "cancel"}[k]
}

// reportEvery spaces the lines about the loop's progress.
const reportEvery = time.Second

// progress is what the loop tells about its rounds. Other goroutines read it, also
// while a round goes on and on.
type progress struct {
	rounds  atomic.Int64
	looks   atomic.Int64 // at workers, whether a renewal is due
	events  [kinds]atomic.Int64
	longest atomic.Int64 // nanoseconds of the longest round since the last report
	ended   moment       // of the last round
	// Nanoseconds spent on taking in events, on scheduling, and on storing and
	// renewing.
	applying, scheduling, sending atomic.Int64
}

// took notes an event.
func (p *progress) took(k kind) { p.events[k].Add(1) }

// round notes a round of the loop by the times at which its parts began and ended.
func (p *progress) round(begun, applied, scheduled, ended time.Time) {
	p.rounds.Add(1)
	p.applying.Add(int64(applied.Sub(begun)))
	p.scheduling.Add(int64(scheduled.Sub(applied)))
	p.sending.Add(int64(ended.Sub(scheduled)))
	p.longest.Store(max(p.longest.Load(), int64(ended.Sub(begun))))
	p.ended.set(ended)
	metric.Seconds("leader_round_seconds", ended.Sub(begun))
}

// report logs once in a while what the loop has done since the last line.
func (t *term) report(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	var before [kinds]int64
	var rounds, looks, applying, scheduling, sending int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p := &t.progress
		args := []any{"epoch", t.epoch, "rounds", since(&p.rounds, &rounds), "looks", since(&p.looks, &looks), "queued", len(t.inbox)}
		for k := range kinds {
			n := since(&p.events[k], &before[k])
			metric.Add(`leader_events_total{kind="`+k.String()+`"}`, float64(n))
			args = append(args, k.String(), n)
		}
		args = append(args, "apply_ms", since(&p.applying, &applying)/int64(time.Millisecond),
			"schedule_ms", since(&p.scheduling, &scheduling)/int64(time.Millisecond),
			"send_ms", since(&p.sending, &sending)/int64(time.Millisecond),
			"longest_ms", p.longest.Swap(0)/int64(time.Millisecond),
			"round_age_ms", t.cfg.Now().Sub(p.ended.get()).Milliseconds())
		t.cfg.Logger.Info("leader's rounds", args...)
	}
}

// since returns by how much a counter has grown, and notes its value.
func since(counter interface{ Load() int64 }, before *int64) int64 {
	n := counter.Load()
	grown := n - *before
	*before = n
	return grown
}
