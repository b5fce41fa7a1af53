package leader

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"rhubarbshore/internal/lease"
	"rhubarbshore/internal/store"
)

const (
	// endCheckInterval is the time between questions whether the leaders of earlier terms have ended,
	// and endCheckTimeout limits each.
	endCheckInterval = 300 * time.Millisecond
	endCheckTimeout  = 500 * time.Millisecond
	// maxEarlierTerms limits the earlier terms in a term record.
	maxEarlierTerms = 32
	// termAgeSuffix ends the keys of records with the age of a term in milliseconds. Each batch has one,
	// so that the next leader can tell when the last one was sent.
	termAgeSuffix = ".age"
	// ageRecordSize is the largest size of such a record, in bytes.
	ageRecordSize = 64
	// maxTermAge is longer than any term.
	maxTermAge = 100 * 365 * 24 * time.Hour
)

// earlierTerm is a term before the current one, with the identity of the process that led.
type earlierTerm struct {
	Epoch  int64  `json:"epoch"`
	Leader string `json:"leader,omitempty"` // empty if unknown
	witnessSet
}

// identity returns what the next leaders know this process by.
func (c *Config) identity() string {
	if c.Identity == nil {
		return ""
	}
	return c.Identity()
}

// ageRecord returns a record with the age of this term.
func (t *term) ageRecord(now time.Time) store.Record {
	return store.Record{
		Key:   termKeyPrefix + strconv.FormatInt(t.epoch, 10) + termAgeSuffix,
		Value: strconv.AppendInt(nil, now.Sub(t.fencedAt).Milliseconds(), 10),
	}
}

// readTerms takes over, from the newest earlier term that has stored them, the silent workers and the
// terms of which leases may be in force.
func (t *term) readTerms(records []store.Record) {
	type storedTerm struct {
		termRecord
		epoch int64
	}
	var terms []storedTerm
	ages := map[string]time.Duration{} // by key without suffix
	for _, r := range records {
		if !isTermKey(r.Key) {
			continue
		}
		if key, isAge := strings.CutSuffix(r.Key, termAgeSuffix); isAge {
			ages[key] = t.readAge(r)
			t.earlierTerms = append(t.earlierTerms, store.Record{Key: r.Key})
			continue
		}
		epoch, rec, err := decodeTerm(r)
		if err != nil {
			t.cfg.Logger.Error("stored term not readable", "key", r.Key, "error", err)
		}
		if epoch < t.epoch {
			terms = append(terms, storedTerm{rec, epoch})
			t.earlierTerms = append(t.earlierTerms, store.Record{Key: r.Key})
		}
	}
	var settled int64
	slices.SortFunc(terms, func(a, b storedTerm) int { return cmp.Compare(a.epoch, b.epoch) })
	listed := int64(0)
	for _, stored := range terms {
		if stored.Listed {
			listed, t.inherited, t.earlier, settled = stored.epoch, stored.Silent, stored.Earlier, stored.Settled
		}
		t.earlier = append(t.earlier, earlierTerm{stored.epoch, stored.Leader, stored.witnessSet})
	}
	if len(t.earlier) > maxEarlierTerms {
		t.earlier = []earlierTerm{{}}
	}
	writtenAt := t.fencedAt
	if len(terms) > 0 {
		newest := terms[len(terms)-1].epoch
		writtenAt = earlier(t.fencedAt, t.reachedAge(newest, ages[termKeyPrefix+strconv.FormatInt(newest, 10)]))
	}
	t.silent = t.inherited
	silent := make(map[string]time.Duration, len(t.inherited))
	for id, ms := range t.inherited {
		silent[id] = time.Duration(ms) * time.Millisecond
	}
	started := startedWorkers(records, settled)
	t.earlierLeases = lease.NewEarlier(lease.EarlierConfig{
		Limits: t.leaseLimits(), WrittenAt: writtenAt, First: len(t.earlier) == 0, Silent: silent,
		Started: func(id string) bool { return started[id] },
	})
	t.cfg.Logger.Info("leases of earlier terms", "epoch", t.epoch, "listed", listed, "silent", len(t.inherited), "terms", len(t.earlier),
		"written_ms", t.fencedAt.Sub(writtenAt).Milliseconds(), "settled", settled, "started", len(started))
}

// readAge returns the age in a record of ageRecord. One that can't be read counts as the end of the term.
func (t *term) readAge(r store.Record) time.Duration {
	ms, err := strconv.ParseInt(string(r.Value), 10, 64)
	if err != nil {
		t.cfg.Logger.Error("stored age of a term not readable", "key", r.Key, "error", err)
		return maxTermAge
	}
	return time.Duration(ms) * time.Millisecond
}

// reachedAge returns when an earlier term had reached an age at the latest.
func (t *term) reachedAge(epoch int64, age time.Duration) time.Time {
	if t.cfg.LastSeen == nil {
		return t.fencedAt
	}
	seenAt, seenAge, known := t.cfg.LastSeen(epoch)
	if !known || age >= maxTermAge {
		return t.fencedAt
	}
	if diff := age - seenAge; diff > 0 {
		return seenAt.Add(time.Duration(float64(diff) * lease.MaxClockDrift))
	}
	return seenAt.Add(-time.Duration(float64(seenAge-age) / lease.MaxClockDrift))
}

// awaitEarlierEnds returns once all leaders of earlier terms certainly have ended, and posts that. It
// gives up when their leases have expired in any case.
func (t *term) awaitEarlierEnds(ctx context.Context, open []earlierTerm, limit time.Time) {
	if t.cfg.EndedFor == nil || len(open) == 0 || slices.ContainsFunc(open, func(e earlierTerm) bool { return e.Leader == "" }) {
		return
	}
	open = slices.Clone(open)
	var lastGrant time.Time
	var over []endedTerm
	for t.cfg.Now().Before(limit) && ctx.Err() == nil {
		open = slices.DeleteFunc(open, func(e earlierTerm) bool {
			callCtx, cancel := context.WithTimeout(ctx, endCheckTimeout)
			defer cancel()
			since, _, ended := t.cfg.EndedFor(callCtx, e.Leader, e.Epoch, nil)
			if ended {
				over = append(over, endedTerm{e, t.remoteTime(since)})
				lastGrant = later(lastGrant, over[len(over)-1].lastGrant)
			}
			return ended
		})
		if len(open) == 0 {
			t.post(ctx, earlierEndedEvent{lastGrant})
			t.askForGrants(ctx, over, limit)
			return
		}
		sleep(ctx, endCheckInterval)
	}
	if ctx.Err() != nil {
		return
	}
	t.cfg.Logger.Info("leaders of earlier terms may not have ended", "epoch", t.epoch, "terms", len(open))
}

// earlierEndedEvent means that the leaders of all earlier terms have ended and requested no lease after a
// time.
type earlierEndedEvent struct{ lastGrant time.Time }

func (earlierEndedEvent) eventKind() eventKind { return kindEarlierEnded }

func (e earlierEndedEvent) apply(t *term, now time.Time) {
	t.earlierLeases.Ended(e.lastGrant)
	unclaimed, _ := t.learnEarlierLeases()
	t.cfg.Logger.Info("leaders of earlier terms have ended", "epoch", t.epoch, "after_ms", now.Sub(t.fencedAt).Milliseconds(),
		"workers_unclaimed", unclaimed, "leases_end_ms", t.earlierLeases.End().Sub(now).Milliseconds())
}

// learnEarlierLeases applies what has become known of the leases of earlier terms. It returns on how many
// workers only such leases may be in force, and on how many they end sooner.
func (t *term) learnEarlierLeases() (inherited, sooner int) {
	for id, l := range t.links {
		isInherited, isSooner := l.leases.LearnEarlier(id, t.earlierLeases)
		if isInherited {
			inherited++
		}
		if isSooner {
			sooner++
		}
	}
	return inherited, sooner
}

// noteUnclaimed notes the workers on which leases of earlier terms may be in force.
func (t *term) noteUnclaimed() {
	t.unclaimed = map[string]bool{}
	for _, id := range t.core.WorkerIDs() {
		if t.core.HasRuns(id) {
			t.unclaimed[id] = true
		}
	}
	t.resolveEarlier("")
}

// resolveEarlier notes that no lease of an earlier term is in force on a worker.
func (t *term) resolveEarlier(id string) {
	delete(t.unclaimed, id)
	if len(t.unclaimed) == 0 && len(t.earlier) > 0 {
		t.earlier, t.earlierChanged = nil, true
	}
}
