package journal

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"redwingvale/internal/platform"
	"redwingvale/internal/ring"
)

// ErrAppenderFull is the error of an append that was not sent because too
// many wait.
var ErrAppenderFull = errors.New("too many appends wait for the log")

// Appender is the duty that carries out Append effects.
type Appender struct {
	log     platform.Log
	waiting *ring.Ring[Append]
	workers int
	limit   time.Duration
	deliver func(context.Context, AppendDone) error
}

// NewAppender returns an appender with workers parallel calls of at most
// limit each and room for waiting appends. deliver hands an event to the
// duty that runs the Writer; it may block until its context ends.
func NewAppender(log platform.Log, workers, waiting int, limit time.Duration,
	deliver func(context.Context, AppendDone) error,
) *Appender {
	return &Appender{
		log:     log,
		waiting: ring.New[Append](waiting),
		workers: workers,
		limit:   limit,
		deliver: deliver,
	}
}

// Offer takes an effect over without waiting. False means that it is full;
// the Writer appends the batch again later.
func (a *Appender) Offer(effect Append) bool { return a.waiting.Offer(effect) }

// Run carries out appends until ctx ends. It returns the context's error.
func (a *Appender) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range a.workers {
		group.Go(func() error { return a.work(ctx) })
	}
	return group.Wait()
}

func (a *Appender) work(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case effect := <-a.waiting.Out():
			if err := a.deliver(ctx, a.append(ctx, effect)); err != nil {
				return err
			}
		}
	}
}

func (a *Appender) append(ctx context.Context, effect Append) AppendDone {
	limited, cancel := context.WithTimeout(ctx, a.limit)
	defer cancel()
	err := a.log.Append(limited, effect.Stream, effect.Records)
	return AppendDone{Stream: effect.Stream, Number: effect.Number, Err: err}
}
