// Package ring provides the bounded queue that joins two duties.
package ring

import "context"

// Ring is a bounded first-in, first-out queue between goroutines. It never
// grows: a full ring refuses or blocks, so that memory stays bounded.
type Ring[T any] struct {
	items chan T
}

// New returns a ring that holds at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds item without waiting and reports whether there was room.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Put adds item, waiting for room until ctx ends.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Out returns the receiving side of the ring.
func (r *Ring[T]) Out() <-chan T { return r.items }

// Len returns the number of items that wait.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap returns the number of items that fit.
func (r *Ring[T]) Cap() int { return cap(r.items) }
