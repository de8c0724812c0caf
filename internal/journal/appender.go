package journal

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"redwingvale/internal/platform"
	"redwingvale/internal/ring"
)

// ErrAppenderFull is the error of an append that was not sent because the
// appender's queue is full.
var ErrAppenderFull = errors.New("too many appends wait for the log")

// Appender executes Append effects in a fixed number of goroutines.
type Appender struct {
	log     platform.Log
	waiting *ring.Ring[Append]
	workers int
	timeout time.Duration
	deliver func(context.Context, AppendDone) error
}

// NewAppender returns an appender with the given number of parallel calls
// (workers), queue length (waiting) and timeout per call. deliver hands an
// event to the goroutine that runs the Writer; it may block until its context
// ends.
func NewAppender(log platform.Log, workers, waiting int, timeout time.Duration,
	deliver func(context.Context, AppendDone) error,
) *Appender {
	return &Appender{
		log:     log,
		waiting: ring.New[Append](waiting),
		workers: workers,
		timeout: timeout,
		deliver: deliver,
	}
}

// Offer queues an effect without blocking. It returns false when the queue is
// full; the Writer then retries the append later.
func (a *Appender) Offer(effect Append) bool { return a.waiting.Offer(effect) }

// Run executes appends until ctx ends. It returns the context's error.
func (a *Appender) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range a.workers {
		group.Go(func() error { return a.runWorker(ctx) })
	}
	return group.Wait()
}

func (a *Appender) runWorker(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case effect := <-a.waiting.Receive():
			if err := a.deliver(ctx, a.append(ctx, effect)); err != nil {
				return err
			}
		}
	}
}

func (a *Appender) append(ctx context.Context, effect Append) AppendDone {
	limited, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	err := a.log.Append(limited, effect.Stream, effect.Records)
	return AppendDone{Stream: effect.Stream, Number: effect.Number, Err: err}
}
