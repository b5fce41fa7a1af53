// Package ring provides bounded queues between the goroutines of a pipeline.
package ring

import (
	"context"

	"github.com/joomcode/errorx"
)

// ErrFull is returned by Put if the ring is at capacity.
var ErrFull = errorx.NewType(errorx.NewNamespace("ring"), "full").New("the queue is full")

// Ring is a bounded queue between goroutines. It never blocks a producer.
type Ring[T any] struct {
	items chan T
}

// New returns a ring that holds at most size items.
func New[T any](size int) *Ring[T] { return &Ring[T]{items: make(chan T, size)} }

// Put adds the item, or returns ErrFull without waiting.
func (r *Ring[T]) Put(item T) error {
	select {
	case r.items <- item:
		return nil
	default:
		return ErrFull
	}
}

// Get returns the next item. It waits until one is available or ctx ends.
func (r *Ring[T]) Get(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Items returns the channel to receive from, for use in a select.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int { return len(r.items) }
