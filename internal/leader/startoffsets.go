package leader

import (
	"time"

	"rhubarbshore/internal/scheduler"
	"rhubarbshore/internal/store"
)

const (
	// settledRefresh is the time after which a term record is replaced by one with a later settled offset. The
	// next leader counts starts as recent for as much longer.
	settledRefresh = 2 * time.Second
	// offsetInterval is the time between two offsets that are kept.
	offsetInterval = 500 * time.Millisecond
)

// startOffsets has when records of a term were stored.
type startOffsets struct {
	stored    []storedOffset // in the order of time
	writtenAt time.Time      // when a term record with an offset was last written
}

// storedOffset means that all records before an offset were stored, and the starts among them sent or queued, by a time.
type storedOffset struct {
	at  time.Time
	end int64
}

// note records that a batch that ends at an offset was stored.
func (s *startOffsets) note(now time.Time, end int64) {
	last := len(s.stored) - 1
	if last > 0 && now.Sub(s.stored[last-1].at) < offsetInterval {
		s.stored[last] = storedOffset{now, end}
		return
	}
	s.stored = append(s.stored, storedOffset{now, end})
}

// settled returns the largest offset before which all records were stored for at least a time.
func (s *startOffsets) settled(now time.Time, d time.Duration) (end int64) {
	for len(s.stored) > 1 && now.Sub(s.stored[1].at) >= d {
		s.stored = s.stored[1:]
	}
	if len(s.stored) > 0 && now.Sub(s.stored[0].at) >= d {
		return s.stored[0].end
	}
	return 0
}

// startedWorkers returns the workers with runs that were stored at or after an offset.
func startedWorkers(records []store.Record, from int64) map[string]bool {
	started := map[string]bool{}
	for _, r := range records {
		if r.Offset < from || isTermKey(r.Key) {
			continue
		}
		// Restore logs a record that can't be read; its run is on no worker that is known.
		if id, err := scheduler.StoredWorker(r.Value); err == nil && id != "" {
			started[id] = true
		}
	}
	return started
}
