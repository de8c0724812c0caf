package sched

import (
	"context"
	"sync"

	"redwingvale/internal/spec"
)

// changes lets handlers wait until something with the given key has changed.
type changes[K comparable] struct {
	mu      sync.Mutex
	waiting map[K]chan struct{}
}

func newChanges[K comparable]() *changes[K] {
	return &changes[K]{waiting: make(map[K]chan struct{})}
}

// next returns a channel that is closed at the next change of key.
func (c *changes[K]) next(key K) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	signal, ok := c.waiting[key]
	if !ok {
		signal = make(chan struct{})
		c.waiting[key] = signal
	}
	return signal
}

// notify wakes everyone who waits for a change of key.
func (c *changes[K]) notify(key K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if signal, ok := c.waiting[key]; ok {
		close(signal)
		delete(c.waiting, key)
	}
}

// wait blocks until signal or ctx ends, and reports whether it was signal.
func wait(ctx context.Context, signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	case <-ctx.Done():
		return false
	}
}

type jobChanges = changes[spec.JobID]
