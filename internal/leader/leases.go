package leader

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"rhubarbshore/internal/store"
)

const (
	// silenceListedAfter is how long a worker must not have answered for its leases to be stored.
	silenceListedAfter = 500 * time.Millisecond
	// silenceRefresh is the time after which the stored times of silent workers are replaced.
	silenceRefresh = time.Second
	// maxSilentStored limits the silent workers in a term record. For others the next leader
	// waits as long as leases may last at most.
	maxSilentStored = 512
)

// Keys of term records. Leaders of earlier versions store their epoch under oldTermKey.
const (
	oldTermKey    = "leader"
	termKeyPrefix = "leader."
)

// termRecord is what a leader stores about its term. Storing it shows that the epoch is valid.
type termRecord struct {
	// Leader identifies the process that leads, as in Config.Identity.
	Leader string `json:"leader,omitempty"`
	// Earlier are the terms of which leases may be in force on workers that are not in Silent.
	Earlier []earlierTerm `json:"earlier,omitempty"`
	// Silent has, in milliseconds from the write on, when all leases have expired on workers that
	// do not answer. A leader grants none on them until a record without them is stored.
	Silent map[string]int64 `json:"silent,omitempty"`
	// Listed is set once the leader has stored its silent workers. Until then it grants no lease
	// on those of the term before, so that these stay in force.
	Listed bool `json:"listed,omitempty"`
	witnessSet
	// Settled is an offset of the stream. Starts that were stored before it don't prolong leases any more, as in
	// lease.Limits.StartSettled.
	Settled int64 `json:"settled,omitempty"`
}

// isTermKey reports whether a key of the state stream is that of a term record.
func isTermKey(key string) bool { return key == oldTermKey || strings.HasPrefix(key, termKeyPrefix) }

// stored returns the record as the one of this term.
func (r termRecord) stored(epoch int64) store.Record {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // a plain struct can always be encoded
	}
	return store.Record{Key: termKeyPrefix + strconv.FormatInt(epoch, 10), Value: value}
}

// decodeTerm returns the epoch and the record of a term. A term that can't be read and one of an
// earlier version count as one without silent workers.
func decodeTerm(r store.Record) (int64, termRecord, error) {
	number, isCurrent := strings.CutPrefix(r.Key, termKeyPrefix)
	if !isCurrent {
		number = string(r.Value)
	}
	unknown := termRecord{Listed: true}
	epoch, err := strconv.ParseInt(number, 10, 64)
	if err != nil || !isCurrent {
		return epoch, unknown, err
	}
	var rec termRecord
	if err := json.Unmarshal(r.Value, &rec); err != nil {
		return epoch, unknown, err
	}
	return epoch, rec, nil
}

// silentWorkers returns the workers with runs that have not answered for silenceListedAfter, with the
// milliseconds until all leases on them have expired. Workers to which a start may be on its way are
// left out.
func (t *term) silentWorkers(now time.Time) map[string]int64 {
	silent := map[string]int64{}
	for _, id := range t.core.WorkerIDs() { // in a fixed order, so that the limit leaves out the same ones each time
		l := t.links[id]
		if l == nil {
			continue
		}
		answers := l.failures == 0 && (l.leases.Claimed() || l.address != "")
		isNew := now.Sub(later(l.leases.AnsweredAt(), t.startedAt)) < silenceListedAfter
		inherited := l.stored && !l.leases.Claimed()
		if (answers || isNew) && !inherited || len(silent) == maxSilentStored || !t.core.HasOnlyAnsweredRuns(id) {
			continue
		}
		silent[id] = max(l.leases.Expires().Sub(now).Milliseconds(), 0)
	}
	return silent
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// silenceChanged returns the silent workers, and whether the stored ones have to be replaced.
func (t *term) silenceChanged(now time.Time) (map[string]int64, bool) {
	// A start must not be sent to a worker that the stored record names.
	mayWait := len(t.silent) == 0 || len(t.pending.starts) == 0
	if mayWait && !t.earlierChanged && now.Before(t.nextSilenceCheck) {
		return nil, false
	}
	t.nextSilenceCheck = now.Add(tickInterval)
	silent := t.silentWorkers(now)
	changed := t.chooseWitnesses(now) || now.Sub(t.startsStored.writtenAt) > settledRefresh || t.earlierChanged || len(silent) != len(t.silent) || len(silent) > 0 && !now.Before(t.silenceRefreshAt)
	for id := range silent {
		_, stored := t.silent[id]
		changed = changed || !stored
	}
	return silent, changed
}

// addTermRecord puts a term record at the head of the pending batch.
func (t *term) addTermRecord(now time.Time, silent map[string]int64) {
	next := t.witnesses.next()
	own := termRecord{Leader: t.cfg.identity(), Earlier: t.earlier, Silent: silent, Listed: true, witnessSet: next, Settled: t.startsStored.settled(now, t.leaseLimits().StartSettled())}.stored(t.epoch)
	records := append([]store.Record{own}, t.earlierTerms...)
	t.pending.records, t.earlierTerms, t.earlierChanged = append(records, t.pending.records...), nil, false
	t.pending.silent, t.witnesses.sent = silent, &next
	t.startsStored.writtenAt = now
	t.silent, t.silenceRefreshAt = silent, now.Add(silenceRefresh)
	for id := range silent {
		t.links[id].stored = true
	}
}

// silenceStored allows leases again on workers that the stored term record does not name.
func (t *term) silenceStored(silent map[string]int64) {
	for id, l := range t.links {
		if _, stored := silent[id]; l.stored && !stored {
			l.stored = false
			t.renewNow(l)
		}
	}
}
