package store

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Log is the store's log of keyed records.
type Log interface {
	Append(ctx context.Context, s Stream, records []Record, o AppendOptions) (int64, error)
	Read(ctx context.Context, s Stream, from int64, wait time.Duration) (Page, error)
	Newest(ctx context.Context, s Stream) ([]Record, int64, error)
}

// unhealthyAfter is how long all calls have to fail until the store is reported as
// unhealthy. A single lost response or refused call does not indicate an outage.
const unhealthyAfter = 400 * time.Millisecond

// HealthTracker wraps a Log and tracks from the results of its calls whether the store is
// healthy.
type HealthTracker struct {
	log          Log
	mu           sync.Mutex
	failingSince time.Time // first failure since the last success; zero if the last call succeeded
}

// NewHealthTracker returns log with health tracking.
func NewHealthTracker(log Log) *HealthTracker { return &HealthTracker{log: log} }

// Healthy reports whether the store counts as healthy: it returns false once all calls
// have been failing for unhealthyAfter.
func (t *HealthTracker) Healthy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failingSince.IsZero() || time.Since(t.failingSince) < unhealthyAfter
}

// FailingFor returns how long all calls have been failing, or 0 if the last one
// succeeded.
func (t *HealthTracker) FailingFor() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failingSince.IsZero() {
		return 0
	}
	return time.Since(t.failingSince)
}

// Note records the result of a call. A failed condition, a fenced append and dropped
// records count as success, because the store has responded. A cancelled call changes
// nothing.
func (t *HealthTracker) Note(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil || errors.Is(err, ErrCondition) || errors.Is(err, ErrFenced) || errors.Is(err, ErrGone) {
		t.failingSince = time.Time{}
	} else if t.failingSince.IsZero() && !errors.Is(err, context.Canceled) {
		t.failingSince = time.Now()
	}
}

// Append implements Log.
func (t *HealthTracker) Append(ctx context.Context, s Stream, records []Record, o AppendOptions) (int64, error) {
	offset, err := t.log.Append(ctx, s, records, o)
	t.Note(err)
	return offset, err
}

// Read implements Log.
func (t *HealthTracker) Read(ctx context.Context, s Stream, from int64, wait time.Duration) (Page, error) {
	page, err := t.log.Read(ctx, s, from, wait)
	t.Note(err)
	return page, err
}

// Newest implements Log.
func (t *HealthTracker) Newest(ctx context.Context, s Stream) ([]Record, int64, error) {
	records, end, err := t.log.Newest(ctx, s)
	t.Note(err)
	return records, end, err
}
