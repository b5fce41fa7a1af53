package leader

import (
	"context"
	"errors"
	"time"

	"rhubarbshore/internal/lease"
	"rhubarbshore/internal/metric"
	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/store"
)

// endAck is the number of the last ended run that a worker listed in one of its incarnations.
type endAck struct{ number, incarnation int64 }

// batch is a set of state changes with the actions that wait until they are stored.
type batch struct {
	records  []store.Record
	starts   []scheduler.Start
	ackable  map[string]endAck // ended runs that may be forgotten once the batch is stored, by worker
	replies  []func()
	outcomes []scheduler.Description // of jobs whose outcome is among the records
	sentAt   time.Time
	silent   map[string]int64 // of the term record among the records, nil without one
	partial  bool             // the actions are in a later batch
}

func (b *batch) empty() bool {
	return len(b.records) == 0 && len(b.starts) == 0 && len(b.ackable) == 0 && len(b.replies) == 0 && len(b.outcomes) == 0
}

// storePending appends the pending batch unless an append is in progress. It adds a term record if
// nothing has been written for epochCheckInterval, or for less while starts wait for that, or if the stored one is out of date.
func (t *term) storePending(ctx context.Context, now time.Time) {
	if t.inFlight != nil {
		return
	}
	silent, changed := t.silenceChanged(now)
	interval := epochCheckInterval
	if t.pendingStarts.Load() > 0 {
		interval = startWindow / 4
	}
	if idle := now.Sub(t.lastWrite.get()) > interval && len(t.pending.records) == 0; idle && !changed {
		silent, changed = t.silentWorkers(now), true
	}
	if changed {
		t.addTermRecord(now, silent)
	}
	if t.pending.empty() {
		return
	}
	b := t.nextBatch()
	t.inFlight = &b
	if len(b.records) == 0 {
		t.finishBatch(now)
		return
	}
	t.sequence++
	b.sentAt = now
	b.records = append([]store.Record{t.ageRecord(now)}, b.records...)
	sequence := t.sequence
	t.spawn(func() { t.append(ctx, &b, sequence) })
}

// nextBatch removes and returns the pending batch. If the batch is too large for one append,
// nextBatch returns only its first records, and all actions wait until the rest is stored as
// well.
func (t *term) nextBatch() batch {
	size := ageRecordSize
	for i, r := range t.pending.records {
		size += len(r.Key) + len(r.Value) + recordOverhead
		if i > 0 && t.cfg.MaxBatch > 0 && size > t.cfg.MaxBatch {
			first := batch{records: t.pending.records[:i:i], ackable: map[string]endAck{}, silent: t.pending.silent, partial: true}
			t.pending.records, t.pending.silent = t.pending.records[i:], nil
			return first
		}
	}
	b := t.pending
	t.pending = batch{ackable: map[string]endAck{}}
	return b
}

// append writes a batch and retries until it is stored or this leader is deposed.
func (t *term) append(ctx context.Context, b *batch, sequence int64) {
	delay := retryDelay
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		start := time.Now()
		offset, err := t.cfg.Log.Append(callCtx, Stream, b.records, store.AppendOptions{Producer: producerName, Epoch: t.epoch, Sequence: sequence})
		cancel()
		if err == nil {
			t.lastWrite.set(b.sentAt) // not later than the age in the batch says
			t.failingSince.set(time.Time{})
			metric.Observe("store_seconds", start)
			t.post(ctx, storedEvent{offset + int64(len(b.records))})
			return
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, store.ErrFenced) {
			t.post(ctx, deposedEvent{by: "the store"})
			return
		}
		t.writeFailedAt.set(start)
		if t.failingSince.get().IsZero() {
			t.failingSince.set(start)
		}
		t.cfg.Logger.Warn("state not stored", "epoch", t.epoch, "sequence", sequence, "records", len(b.records), "error", err)
		metric.Count("store_failures_total")
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = min(delay*2, maxRetryDelay)
	}
}

// deposedEvent reports that another VM leads. It ends the term: later events, such as the answer
// to an earlier write, are not applied.
type deposedEvent struct{ by string }

func (deposedEvent) eventKind() eventKind { return kindStored }

func (e deposedEvent) apply(t *term, _ time.Time) {
	t.cfg.Logger.Warn("leader is deposed", "epoch", t.epoch, "by", e.by, "error", ErrDeposed)
	t.endTerm()
}

// storedEvent means that the batch in flight is stored, with its last record before the offset end.
type storedEvent struct{ end int64 }

func (storedEvent) eventKind() eventKind { return kindStored }

func (e storedEvent) apply(t *term, now time.Time) {
	if !t.inFlight.partial {
		t.startsStored.note(now, e.end)
	}
	t.finishBatch(now)
}

// finishBatch performs the actions that waited until the batch in progress was stored.
func (t *term) finishBatch(now time.Time) {
	b := t.inFlight
	t.inFlight = nil
	if b.silent != nil {
		t.silenceStored(b.silent)
		t.witnesses.stored, t.witnesses.sent = *t.witnesses.sent, nil
	}
	for _, s := range b.starts {
		// A run that was lost while its start was being stored may have been replaced.
		l := t.links[s.Worker]
		if l == nil || !t.core.HasRun(s.Worker, s.Task, s.Run) {
			t.pendingStarts.Add(-1)
		} else {
			// However late the start is sent, its lease must end before the next leader stops
			// waiting for the leases that were requested when the batch was sent.
			until := earlier(now.Add(startLease), b.sentAt.Add(t.cfg.Scheduler.MaxLease))
			d := until.Sub(now)
			deadline := l.deadline(now, d)
			t.core.StartSent(s.Worker, s.Task, s.Run, lease.End(now, max(d, 0)))
			to := workerProcess{l.incarnation, l.clock}
			t.spawn(func() { t.start(t.ctx, s, to, deadline, until) })
			l.leases.StartSent(now, d)
			t.renewNow(l)
		}
	}
	for id, n := range b.ackable {
		if l := t.links[id]; l != nil && l.incarnation == n.incarnation {
			l.ackable = max(l.ackable, n.number)
			l.unstoredEnds = false
			t.markForCheck(l)
		}
	}
	for _, d := range b.outcomes {
		delete(t.unstoredOutcomes, d.Job)
		t.statusCache.publish(t.core, d.Job)
	}
	t.droppable = append(t.droppable, b.outcomes...)
	for _, reply := range b.replies {
		reply()
	}
	if len(t.droppable) > 0 && time.Since(t.droppedAt) > jobDropInterval {
		t.droppedAt = time.Now()
		descriptions := t.droppable
		t.spawn(func() { t.dropJobs(t.ctx, descriptions) })
		t.droppable = nil
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
