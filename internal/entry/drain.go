package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"

	"redwingvale/internal/delay"
)

// drainPollInterval is the interval at which a draining entry checks for
// requests in flight.
const drainPollInterval = 10 * time.Millisecond

// Drain stops the entry gracefully, without interrupting a request. It withdraws
// readiness, keeps accepting requests for the balancer wait, waits for the
// requests in flight, releases the grants, hands over the idempotency keys and
// stops the servers. It returns nil if all steps completed before ctx ended. A
// second call waits for the first.
func (e *Entry) Drain(ctx context.Context) error {
	first := false
	e.drainOnce.Do(func() { first = true })
	if !first {
		select {
		case <-e.drained:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	defer close(e.drained)
	return e.drain(ctx)
}

func (e *Entry) drain(ctx context.Context) error {
	began := time.Now()
	e.phase.Store(draining)
	e.views.renewAllNow()
	_ = delay.Wait(ctx, ms(e.config.BalancerWaitMS))
	e.phase.Store(closing)
	e.views.renewAllNow()
	if err := e.awaitIdle(ctx); err != nil {
		return err
	}
	moved, unreached := e.keys.HandOver(ctx)
	for _, id := range unreached {
		e.deps.Log.Warn("keys not handed over", zap.String("to", string(id)))
	}
	e.stopInstance(ctx)
	e.views.renewAllNow()
	if err := e.callerServer.Shutdown(ctx); err != nil {
		return err
	}
	e.keys.Wait()
	if err := e.peerServer.Shutdown(ctx); err != nil {
		return err
	}
	e.halt()
	e.background.Wait()
	e.deps.Log.Info("entry drained", zap.Duration("took", time.Since(began)), zap.Int("keys_handed_over", moved))
	return nil
}

// stopInstanceTimeout limits the wait until the instance's rwsched has left.
const stopInstanceTimeout = 15 * time.Second

// stopInstance makes the instance's rwsched hand over its groups and leave the
// membership. Until then other entries may still use this one as the home of
// their keys, so the peer API has to remain available.
func (e *Entry) stopInstance(ctx context.Context) {
	if e.deps.OwnSched == nil {
		return
	}
	stopCtx, cancel := context.WithTimeout(ctx, stopInstanceTimeout)
	defer cancel()
	request := connect.NewRequest(&schedv1.StopInstanceRequest{Instance: e.config.Instance})
	if _, err := e.deps.OwnSched.StopInstance(stopCtx, request); err != nil {
		e.deps.Log.Warn("own rwsched did not leave", zap.String("error", err.Error()))
		return
	}
	_ = delay.Wait(ctx, ms(e.config.ViewSpreadMS))
}

// awaitIdle waits until no request is in flight.
func (e *Entry) awaitIdle(ctx context.Context) error {
	for e.inFlight.Load() > 0 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		_ = delay.Wait(ctx, drainPollInterval)
	}
	return nil
}
