package sched

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"redwingvale/internal/group"
	"redwingvale/internal/platform"
	"redwingvale/internal/ring"
	"redwingvale/internal/spec"
)

// Limits of the calls to workers.
const (
	// workerTimeout bounds one exchange with a worker.
	workerTimeout = 900 * time.Millisecond
	// workerCallers is the number of exchanges that run at a time.
	workerCallers = 64
	// workerRingSize is the number of batches that may wait.
	workerRingSize = 4096
)

// workerCall is a batch to be sent to a worker.
type workerCall struct {
	group spec.GroupID
	send  group.Send
}

// workerCalled is the event that an exchange with a worker has ended.
type workerCalled struct {
	call   workerCall
	report platform.WorkerReport
	err    error
	// sentAt and receivedAt are on this process's monotonic clock.
	sentAt     time.Duration
	receivedAt time.Duration
}

// workerCalls exchanges batches with workers in a pool of goroutines. The group
// core keeps at most one exchange open with each worker, so an unresponsive
// worker blocks at most one goroutine.
type workerCalls struct {
	workers platform.Workers
	clock   func() time.Duration
	deliver func(context.Context, event)
	queue   *ring.Ring[workerCall]
}

func newWorkerCalls(workers platform.Workers, clock func() time.Duration, deliver func(context.Context, event)) *workerCalls {
	return &workerCalls{
		workers: workers,
		clock:   clock,
		deliver: deliver,
		queue:   ring.New[workerCall](workerRingSize),
	}
}

// run executes calls until ctx ends.
func (w *workerCalls) run(ctx context.Context) error {
	callers, ctx := errgroup.WithContext(ctx)
	for range workerCallers {
		callers.Go(func() error {
			w.serve(ctx)
			return nil
		})
	}
	return callers.Wait()
}

func (w *workerCalls) serve(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-w.queue.Receive():
			w.exchange(ctx, call)
		}
	}
}

func (w *workerCalls) exchange(ctx context.Context, call workerCall) {
	sentAt := w.clock()
	limited, cancel := context.WithTimeout(ctx, workerTimeout)
	report, err := w.workers.Do(limited, call.send.Worker, call.send.Batch)
	cancel()
	w.deliver(ctx, workerCalled{
		call:       call,
		report:     report,
		err:        err,
		sentAt:     sentAt,
		receivedAt: w.clock(),
	})
}
