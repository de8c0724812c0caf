// Package delay waits in a way that a context can end.
package delay

import (
	"context"
	"time"
)

// Wait waits for d, or not at all when d is not positive, until ctx ends. It
// returns the context's error when that came first.
func Wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
