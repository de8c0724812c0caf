// Package delay provides a delay that a context can cancel.
package delay

import (
	"context"
	"time"
)

// Wait blocks until d has passed or ctx is done, and returns ctx.Err() if ctx
// was done first. If d is not positive, it returns ctx.Err() without blocking.
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
