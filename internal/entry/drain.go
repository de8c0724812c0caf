package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"

	"redwingvale/internal/delay"
)

// drainPoll is the period at which a stopping entry looks for work in flight.
const drainPollInterval = 10 * time.Millisecond

// Drain stops the entry without cutting a request: readiness is withdrawn, the
// listener stays open for the balancer wait, requests in flight end, grants
// and idempotency keys are given back, and the servers stop. It returns nil
// when all of that was done before ctx ended. A second call waits for the
// first.
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
	moved, unreachable := e.keys.HandOver(ctx)
	for _, id := range unreachable {
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

// stopInstanceLimit bounds the wait for the own rwsched to leave.
const stopInstanceTimeout = 15 * time.Second

// stopInstance lets the own rwsched hand its groups over and leave. Until that
// has happened, other entries may still take this one for the home of their
// keys, so the peer interface has to go on answering.
func (e *Entry) stopInstance(ctx context.Context) {
	if e.deps.OwnSched == nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, stopInstanceTimeout)
	defer cancel()
	request := connect.NewRequest(&schedv1.StopInstanceRequest{Instance: e.config.Instance})
	if _, err := e.deps.OwnSched.StopInstance(limited, request); err != nil {
		e.deps.Log.Warn("own rwsched did not leave", zap.String("error", err.Error()))
		return
	}
	_ = delay.Wait(ctx, ms(e.config.ViewSpreadMS))
}

// awaitIdle returns when no request is in flight.
func (e *Entry) awaitIdle(ctx context.Context) error {
	for e.inFlight.Load() > 0 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		_ = delay.Wait(ctx, drainPollInterval)
	}
	return nil
}
