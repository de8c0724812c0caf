// Package ring provides a bounded queue that connects two goroutines.
package ring

import "context"

// Ring is a bounded FIFO queue between goroutines. It never grows, so that
// memory stays bounded: when it is full, Offer fails and Put blocks.
type Ring[T any] struct {
	items chan T
}

// New returns a Ring with a capacity of size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds item if the ring is not full and reports whether it did. It never
// blocks.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Put adds item. While the ring is full, it blocks until ctx is done.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Receive returns the channel from which items are received.
func (r *Ring[T]) Receive() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap returns the capacity of the ring.
func (r *Ring[T]) Cap() int { return cap(r.items) }
