package store

import (
	"context"
	"time"
)

type progressKey struct{}

// WithIdleTimeout returns a context that ends when Progress has not been called on it for the timeout. A
// call that reads many pages may then take as long as it gets pages. Its cause is then
// context.DeadlineExceeded.
func WithIdleTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	progress := func() { timer.Reset(timeout) }
	return context.WithValue(ctx, progressKey{}, progress), func() {
		timer.Stop()
		cancel(nil)
	}
}

// Progress notes that a part of a call was answered.
func Progress(ctx context.Context) {
	if progress, ok := ctx.Value(progressKey{}).(func()); ok {
		progress()
	}
}
