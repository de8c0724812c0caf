package sched

import (
	"context"
	"sync"

	"redwingvale/internal/spec"
)

// changeNotifier lets handlers wait for the next change of a key.
type changeNotifier[K comparable] struct {
	mu      sync.Mutex
	waiting map[K]chan struct{}
}

func newChangeNotifier[K comparable]() *changeNotifier[K] {
	return &changeNotifier[K]{waiting: make(map[K]chan struct{})}
}

// next returns a channel that is closed at the next change of key.
func (c *changeNotifier[K]) next(key K) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	signal, ok := c.waiting[key]
	if !ok {
		signal = make(chan struct{})
		c.waiting[key] = signal
	}
	return signal
}

// notify unblocks all handlers that wait for a change of key.
func (c *changeNotifier[K]) notify(key K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if signal, ok := c.waiting[key]; ok {
		close(signal)
		delete(c.waiting, key)
	}
}

// wait blocks until signal is closed or ctx ends, and reports whether it was
// signal.
func wait(ctx context.Context, signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	case <-ctx.Done():
		return false
	}
}

type jobChanges = changeNotifier[spec.JobID]
