package store

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Log is a log of keyed topics.
type Log interface {
	Append(ctx context.Context, s Stream, records []Record, o AppendOptions) (int64, error)
	Read(ctx context.Context, s Stream, from int64, wait time.Duration) (Page, error)
	Newest(ctx context.Context, s Stream) ([]Record, int64, error)
}

// unhealthyAfter is how long calls have to fail before the store counts as away:
// a single lost answer or refusal says little.
const unhealthyAfter = 400 * time.Millisecond

// Watched is a Log that notes whether the store answers.
type Watched struct {
	log    Log
	mu     sync.Mutex
	failed time.Time // since when all calls fail; zero if the last one didn't
}

// Watch returns log with its answers noted.
func Watch(log Log) *Watched { return &Watched{log: log} }

// Healthy reports whether the store has answered lately.
func (w *Watched) Healthy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed.IsZero() || time.Since(w.failed) < unhealthyAfter
}

// FailingFor returns for how long all calls have failed, or 0.
func (w *Watched) FailingFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed.IsZero() {
		return 0
	}
	return time.Since(w.failed)
}

// Note takes in how a call ended. Answers that deny a condition are answers.
func (w *Watched) Note(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil || errors.Is(err, ErrCondition) || errors.Is(err, ErrFenced) || errors.Is(err, ErrGone) {
		w.failed = time.Time{}
	} else if w.failed.IsZero() && !errors.Is(err, context.Canceled) {
		w.failed = time.Now()
	}
}

// Append implements Log.
func (w *Watched) Append(ctx context.Context, s Stream, records []Record, o AppendOptions) (int64, error) {
	offset, err := w.log.Append(ctx, s, records, o)
	w.Note(err)
	return offset, err
}

// Read implements Log.
func (w *Watched) Read(ctx context.Context, s Stream, from int64, wait time.Duration) (Page, error) {
	page, err := w.log.Read(ctx, s, from, wait)
	w.Note(err)
	return page, err
}

// Newest implements Log.
func (w *Watched) Newest(ctx context.Context, s Stream) ([]Record, int64, error) {
	records, end, err := w.log.Newest(ctx, s)
	w.Note(err)
	return records, end, err
}
