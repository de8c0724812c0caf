package node

import (
	"context"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"redwingvale/internal/planner"
)

// lateLog is a log that carries out the first claim only when the next append
// comes, and answers neither.
type lateLog struct {
	Log
	mu   sync.Mutex
	held *Append
	late bool
}

func (l *lateLog) Append(ctx context.Context, a Append) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Writer != nil && !l.late {
		l.late, l.held = true, &a
		return 0, ErrUnknown
	}
	if held := l.held; held != nil {
		l.held = nil
		if _, err := l.Log.Append(ctx, *held); err != nil {
			return 0, err
		}
	}
	return l.Log.Append(ctx, a)
}

// failingDirectory fails at first.
type failingDirectory struct {
	*instantWorkers
	mu    sync.Mutex
	fails int
}

func (d *failingDirectory) Workers(ctx context.Context) ([]planner.WorkerInfo, int64, error) {
	d.mu.Lock()
	fails := d.fails > 0
	d.fails--
	d.mu.Unlock()
	if fails {
		return nil, 0, errors.New("unavailable")
	}
	return d.instantWorkers.Workers(ctx)
}

// Guards against an own claim that the log holds and nobody leads on: it fences
// the predecessor, and all wait for the next election.
func TestOwnClaimIsLedOn(t *testing.T) {
	for _, test := range []struct {
		name  string
		late  bool
		fails int
	}{
		{"at once", false, 0},
		{"carried out late", true, 0},
		{"the workers' entries cannot be read", false, 2},
		{"both", true, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			log, workers := newMemoryLog(), newInstantWorkers()
			n := looping(t, &lateLog{Log: log.of("a"), late: !test.late})
			n.deps.Directory = &failingDirectory{instantWorkers: workers, fails: test.fails}
			n.deps.Workers, n.deps.Adviser = workers, workers
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			await(t, "the instance leads", func() bool {
				due, err := ask(ctx, n, n.electionDue)
				c.Assert(err, qt.IsNil)
				_ = n.claimTerm(ctx, due)
				return n.leading()
			})
			epoch, err := ask(ctx, n, func() uint64 { return n.term.epoch })
			c.Assert(err, qt.IsNil)
			c.Assert(epoch, qt.Equals, uint64(1))
		})
	}
}
