package leader

import (
	"context"
	"sync/atomic"
	"time"

	"rhubarbshore/internal/metric"
)

// eventKind is the kind of an event in logs and metrics.
type eventKind int

const (
	kindRenewal eventKind = iota
	kindStart
	kindStop
	kindStored
	kindJobs
	kindRegistry
	kindCancel
	kindEarlierEnded
	kindCount // number of kinds
)

// String returns the kind's name in logs and metrics.
func (k eventKind) String() string {
	return [...]string{"renewal", "start", "stop", "stored", "jobs", "registry", "cancel", "earlier_ended"}[k]
}

// statsLogInterval is the time between log lines about the loop's progress.
const statsLogInterval = time.Second

// loopStats counts the rounds of the loop and their events. Other goroutines read it, even
// during a round that does not end.
type loopStats struct {
	rounds       atomic.Int64
	checks       atomic.Int64 // workers checked for a due renewal
	events       [kindCount]atomic.Int64
	longestRound atomic.Int64 // nanoseconds, since the last log line
	ended        atomicTime   // when the last round ended
	// Nanoseconds spent on applying events, on scheduling, and on storing and renewing.
	applying, scheduling, sending atomic.Int64
}

// countEvent counts an event of the given kind.
func (s *loopStats) countEvent(k eventKind) { s.events[k].Add(1) }

// recordRound records a round of the loop from the times between its phases.
func (s *loopStats) recordRound(began, applied, scheduled, ended time.Time) {
	s.rounds.Add(1)
	s.applying.Add(int64(applied.Sub(began)))
	s.scheduling.Add(int64(scheduled.Sub(applied)))
	s.sending.Add(int64(ended.Sub(scheduled)))
	s.longestRound.Store(max(s.longestRound.Load(), int64(ended.Sub(began))))
	s.ended.set(ended)
	metric.Seconds("leader_round_seconds", ended.Sub(began))
}

// logStats logs at intervals what the loop has done since the last line.
func (t *term) logStats(ctx context.Context) {
	ticker := time.NewTicker(statsLogInterval)
	defer ticker.Stop()
	var lastEvents [kindCount]int64
	var rounds, checks, applying, scheduling, sending int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		stats := &t.loopStats
		args := []any{"epoch", t.epoch, "rounds", delta(&stats.rounds, &rounds), "looks", delta(&stats.checks, &checks), "queued", len(t.inbox)}
		for k := range kindCount {
			n := delta(&stats.events[k], &lastEvents[k])
			metric.Add(`leader_events_total{kind="`+k.String()+`"}`, float64(n))
			args = append(args, k.String(), n)
		}
		args = append(args, "apply_ms", delta(&stats.applying, &applying)/int64(time.Millisecond),
			"schedule_ms", delta(&stats.scheduling, &scheduling)/int64(time.Millisecond),
			"send_ms", delta(&stats.sending, &sending)/int64(time.Millisecond),
			"longest_ms", stats.longestRound.Swap(0)/int64(time.Millisecond),
			"round_age_ms", t.cfg.Now().Sub(stats.ended.get()).Milliseconds())
		t.cfg.Logger.Info("leader's rounds", args...)
	}
}

// delta returns the growth of a counter since the last value and updates that value.
func delta(counter interface{ Load() int64 }, last *int64) int64 {
	n := counter.Load()
	diff := n - *last
	*last = n
	return diff
}
