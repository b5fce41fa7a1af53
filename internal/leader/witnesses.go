package leader

import (
	"context"
	"slices"
	"time"

	"rhubarbshore/internal/lease"
	"rhubarbshore/internal/metric"
)

const (
	// witnessChoiceInterval is the time between checks whether other VMs should be witnesses.
	witnessChoiceInterval = 500 * time.Millisecond
	// confirmAfter is how long a leader goes without a write before it asks its witnesses. It is above the time
	// between writes of an idle leader.
	confirmAfter = epochCheckInterval + 500*time.Millisecond
	// confirmInterval is the time between such questions, and confirmTimeout limits each.
	confirmInterval = time.Second
	confirmTimeout  = 500 * time.Millisecond
	// earlierWitnessInterval is the time between questions to the witnesses of earlier leaders.
	earlierWitnessInterval = 200 * time.Millisecond
)

// Witnesses are other VMs that confirm to a leader which can't write that they know of no later one, and tell
// later ones when they last did. The next leader needs only one witness of an earlier one to know how long leases
// may last there, even if that leader is lost. VMs are named by identities, as in Config.Identity.
type Witnesses interface {
	// Choose returns the VMs that should be witnesses of this one. It prefers the current ones.
	Choose(current []string) []string
	// Confirm asks a witness to confirm the leader of an epoch.
	Confirm(ctx context.Context, witness string, epoch int64) bool
	// LastConfirmed returns how long ago, at least, a witness last confirmed the leader of an epoch, false if
	// that is unknown. It keeps the witness from confirming leaders before the one of the epoch next.
	LastConfirmed(ctx context.Context, witness string, epoch, next int64) (since time.Duration, known bool)
}

// witnessSet is what a term record says about witnesses.
type witnessSet struct {
	// Limited is set if the leader grants leases by lease.Limits.GrantLimit. Without it, they may last as long as
	// after a write.
	Limited bool `json:"limited,omitempty"`
	// Witnesses confirm the leader if all of them do. Without any, it is not confirmed.
	Witnesses []string `json:"witnesses,omitempty"`
}

// witnesses are those of this term. The next leader reads those of the newest stored term record, which may be the
// one in flight.
type witnesses struct {
	chosen     []string
	stored     witnessSet  // in the newest term record that is stored
	sent       *witnessSet // in the term record in flight, nil without one
	nextChoice time.Time

	confirmed    time.Time // when the witnesses were last asked with the result that all confirmed this leader, or zero
	asking       bool
	nextQuestion time.Time
	failures     int // questions in a row that not all witnesses have confirmed
}

// firstWitnesses returns what the first record of a term says, which is stored before other VMs are known.
func (c *Config) firstWitnesses() witnessSet { return witnessSet{Limited: c.Witnesses != nil} }

// next returns what the next term record is to say. A leader that knows of no other VM can't be confirmed, so its leases are
// not limited.
func (w *witnesses) next() witnessSet {
	return witnessSet{Limited: len(w.chosen) > 0, Witnesses: w.chosen}
}

// needed returns the witnesses without which this leader is not confirmed, none if it can't be, and whether its leases
// are limited.
func (w *witnesses) needed() (ids []string, limited bool) {
	sets := []witnessSet{w.stored}
	if w.sent != nil {
		sets = append(sets, *w.sent)
	}
	for _, set := range sets {
		if set.Limited && len(set.Witnesses) == 0 {
			return nil, true
		}
		limited = limited || set.Limited
		ids = append(ids, set.Witnesses...)
	}
	slices.Sort(ids)
	return slices.Compact(ids), limited
}

// chooseWitnesses reports whether the stored witnesses are not those that should be.
func (t *term) chooseWitnesses(now time.Time) (changed bool) {
	if t.cfg.Witnesses == nil {
		return false
	}
	if !now.Before(t.witnesses.nextChoice) {
		t.witnesses.nextChoice = now.Add(witnessChoiceInterval)
		t.witnesses.chosen = t.cfg.Witnesses.Choose(t.witnesses.stored.Witnesses)
	}
	return !slices.Equal(t.witnesses.chosen, t.witnesses.stored.Witnesses)
}

// grantLimit returns when the leases must end at the latest that this leader grants.
func (t *term) grantLimit() time.Time {
	limits, lastWrite := t.leaseLimits(), t.lastWrite.get()
	if _, limited := t.witnesses.needed(); !limited {
		return lastWrite.Add(limits.AfterWrite())
	}
	return limits.GrantLimit(lastWrite, t.witnesses.confirmed)
}

// confirm asks the witnesses at intervals to confirm this leader while it can't write.
func (t *term) confirm(ctx context.Context, now time.Time) {
	needed, _ := t.witnesses.needed()
	if len(needed) == 0 || t.witnesses.asking || now.Before(t.witnesses.nextQuestion) || now.Sub(t.lastWrite.get()) < confirmAfter {
		return
	}
	t.witnesses.asking, t.witnesses.nextQuestion = true, now.Add(confirmInterval)
	t.spawn(func() { t.post(ctx, confirmedEvent{askedAt: now, by: t.confirmedBy(ctx, needed)}) })
}

// confirmedBy returns the witnesses that confirm this leader.
func (t *term) confirmedBy(ctx context.Context, ids []string) []string {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	answers := make(chan string, len(ids))
	for _, id := range ids {
		t.spawn(func() {
			if !t.cfg.Witnesses.Confirm(ctx, id, t.epoch) {
				id = ""
			}
			answers <- id
		})
	}
	var by []string
	for range ids {
		if id := <-answers; id != "" {
			by = append(by, id)
		}
	}
	return by
}

// confirmedEvent has the witnesses that have confirmed this leader.
type confirmedEvent struct {
	askedAt time.Time
	by      []string
}

func (confirmedEvent) eventKind() eventKind { return kindStored }

func (e confirmedEvent) apply(t *term, now time.Time) {
	w := &t.witnesses
	w.asking = false
	needed, _ := w.needed()
	for _, id := range needed {
		if !slices.Contains(e.by, id) {
			if w.failures++; w.failures%logInterval == 1 {
				t.cfg.Logger.Warn("leader is not confirmed by a witness", "epoch", t.epoch, "witness", id, "witnesses", len(needed), "confirmed", len(e.by),
					"written_ms", now.Sub(t.lastWrite.get()).Milliseconds(), "failures", w.failures)
			}
			metric.Count("confirmations_missing_total")
			return
		}
	}
	if w.failures > 0 || w.confirmed.Before(t.lastWrite.get()) {
		t.cfg.Logger.Info("leader is confirmed by its witnesses", "epoch", t.epoch, "witnesses", len(needed), "written_ms", now.Sub(t.lastWrite.get()).Milliseconds())
	}
	w.failures = 0
	w.confirmed = later(w.confirmed, e.askedAt)
	metric.Count("confirmations_total")
}

// askEarlierWitnesses asks a witness of each earlier term when it last confirmed the leader, and posts that once one
// of each has answered. It gives up when the leases of those terms have expired in any case.
func (t *term) askEarlierWitnesses(ctx context.Context, open []earlierTerm, limit time.Time) {
	if t.cfg.Witnesses == nil || len(open) == 0 || slices.ContainsFunc(open, func(e earlierTerm) bool { return !e.Limited }) {
		return
	}
	open = slices.Clone(open)
	var confirmed time.Time
	for t.cfg.Now().Before(limit) {
		open = slices.DeleteFunc(open, func(e earlierTerm) bool {
			at, known := t.lastConfirmed(ctx, e)
			confirmed = later(confirmed, at)
			return known
		})
		if len(open) == 0 {
			t.post(ctx, earlierConfirmedEvent{confirmed})
			return
		}
		if !sleep(ctx, earlierWitnessInterval) {
			return
		}
	}
	t.cfg.Logger.Info("no witness of an earlier leader answers", "epoch", t.epoch, "terms", len(open))
}

// lastConfirmed returns when a witness last confirmed the leader of an earlier term, at the latest.
func (t *term) lastConfirmed(ctx context.Context, e earlierTerm) (at time.Time, known bool) {
	if len(e.Witnesses) == 0 {
		return t.remoteTime(maxTermAge), true // it can't be confirmed
	}
	for _, id := range e.Witnesses {
		callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
		since, known := t.cfg.Witnesses.LastConfirmed(callCtx, id, e.Epoch, t.epoch)
		cancel()
		if known {
			return t.remoteTime(since), true
		}
	}
	return time.Time{}, false
}

// remoteTime returns the time a duration ago on another machine's clock, at the latest.
func (t *term) remoteTime(since time.Duration) time.Time {
	return t.cfg.Now().Add(-time.Duration(float64(since) / lease.MaxClockDrift))
}

// earlierConfirmedEvent has when witnesses of all earlier terms last confirmed their leader, at the latest.
type earlierConfirmedEvent struct{ at time.Time }

func (earlierConfirmedEvent) eventKind() eventKind { return kindEarlierEnded }

func (e earlierConfirmedEvent) apply(t *term, now time.Time) {
	t.earlierLeases.Confirmed(e.at)
	_, sooner := t.learnEarlierLeases()
	t.cfg.Logger.Info("witnesses of earlier leaders have answered", "epoch", t.epoch, "after_ms", now.Sub(t.fencedAt).Milliseconds(),
		"confirmed_ms", now.Sub(e.at).Milliseconds(), "end_sooner", sooner, "leases_end_ms", t.earlierLeases.End().Sub(now).Milliseconds())
}
