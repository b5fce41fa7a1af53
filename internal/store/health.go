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
	failedSentAt time.Time // when the newest call that failed was sent; zero if the last call succeeded
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

// FailedSentAt returns when the newest call that failed was sent, or zero if the last call
// succeeded.
func (t *HealthTracker) FailedSentAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failedSentAt
}

// Note records the result of a call that was sent at the given time. A failed condition, a fenced append and dropped
// records count as success, because the store has responded. A cancelled call changes
// nothing.
func (t *HealthTracker) Note(sent time.Time, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil || errors.Is(err, ErrCondition) || errors.Is(err, ErrFenced) || errors.Is(err, ErrGone):
		t.failingSince, t.failedSentAt = time.Time{}, time.Time{}
	case errors.Is(err, context.Canceled):
	default:
		if t.failingSince.IsZero() {
			t.failingSince = time.Now()
		}
		if sent.After(t.failedSentAt) {
			t.failedSentAt = sent
		}
	}
}

// Append implements Log.
func (t *HealthTracker) Append(ctx context.Context, s Stream, records []Record, o AppendOptions) (int64, error) {
	sent := time.Now()
	offset, err := t.log.Append(ctx, s, records, o)
	t.Note(sent, err)
	return offset, err
}

// Read implements Log.
func (t *HealthTracker) Read(ctx context.Context, s Stream, from int64, wait time.Duration) (Page, error) {
	sent := time.Now()
	page, err := t.log.Read(ctx, s, from, wait)
	t.Note(sent, err)
	return page, err
}

// Newest implements Log.
func (t *HealthTracker) Newest(ctx context.Context, s Stream) ([]Record, int64, error) {
	sent := time.Now()
	records, end, err := t.log.Newest(ctx, s)
	t.Note(sent, err)
	return records, end, err
}
