package node

import (
	"context"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"redwingvale/internal/planner"
)

// delayedClaimLog is a log that executes the first claim only when the next
// append arrives, and reports the claim's outcome as unknown.
type delayedClaimLog struct {
	Log
	mu      sync.Mutex
	delayed *Append
	done    bool
}

func (l *delayedClaimLog) Append(ctx context.Context, a Append) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Writer != nil && !l.done {
		l.done, l.delayed = true, &a
		return 0, ErrUnknown
	}
	if delayed := l.delayed; delayed != nil {
		l.delayed = nil
		if _, err := l.Log.Append(ctx, *delayed); err != nil {
			return 0, err
		}
	}
	return l.Log.Append(ctx, a)
}

// failingDirectory is a directory whose first reads fail.
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

// Guards against a claim that the log holds but whose claimant begins no term:
// it fences the predecessor, and all instances wait for the next election. It
// happens when the claim takes effect late or a read after the claim fails.
func TestTermBeginsOnOwnClaim(t *testing.T) {
	for _, test := range []struct {
		name  string
		late  bool
		fails int
	}{
		{"claim executed at once", false, 0},
		{"claim executed late", true, 0},
		{"the workers' entries cannot be read", false, 2},
		{"both", true, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			log, workers := newMemoryLog(), newInstantWorkers()
			n := startLoop(t, &delayedClaimLog{Log: log.forInstance("a"), done: !test.late})
			n.deps.Directory = &failingDirectory{instantWorkers: workers, fails: test.fails}
			n.deps.Workers, n.deps.Adviser = workers, workers
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			waitFor(t, "the instance leads", func() bool {
				decision, err := runInLoop(ctx, n, dutyRequests, n.evaluateElection)
				c.Assert(err, qt.IsNil)
				_ = n.claimTerm(ctx, decision)
				return n.isLeader()
			})
			epoch, err := runInLoop(ctx, n, dutyRequests, func() uint64 { return n.term.epoch })
			c.Assert(err, qt.IsNil)
			c.Assert(epoch, qt.Equals, uint64(1))
		})
	}
}
