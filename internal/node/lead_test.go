package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
)

// awayManifest is a configuration that cannot be read for a while.
type awayManifest struct {
	fixedManifest
	away atomic.Bool
}

func (m *awayManifest) Manifest(ctx context.Context) (*Manifest, int64, error) {
	if m.away.Load() {
		return nil, 0, ErrUnavailable
	}
	return m.fixedManifest.Manifest(ctx)
}

// failingWorkers fail the first run of each task, and list it again until it is
// acknowledged.
type failingWorkers struct {
	*instantWorkers
	// silent keeps ends to themselves.
	silent atomic.Bool
}

func (w *failingWorkers) Start(ctx context.Context, s planner.Start) planner.Outcome {
	outcome := w.instantWorkers.Start(ctx, s)
	w.mu.Lock()
	defer w.mu.Unlock()
	if last := len(w.ended) - 1; outcome == planner.Done && w.runs[s.Task.String()] == 1 {
		w.ended[last].Kind = planner.EndFailed
	}
	return outcome
}

func (w *failingWorkers) Hold(ctx context.Context, h planner.Hold) (planner.Report, planner.Outcome) {
	report, outcome := w.instantWorkers.Hold(ctx, h)
	if w.silent.Load() {
		return planner.Report{}, planner.Unsure
	}
	return report, outcome
}

// Guards against jobs shown as failed after one failed run: the leader falls
// before it has seen the end, and its successor reads the end before it can
// read the configuration.
func TestTakeoverBeforeConfiguration(t *testing.T) {
	c := qt.New(t)
	log, workers := newMemoryLog(), &failingWorkers{instantWorkers: newInstantWorkers()}
	manifest := &awayManifest{fixedManifest: fixedManifest{version: 1}}
	first := startInstance(t, "a", log, manifest, workers)
	await(t, "the first instance leads", func() bool { return first.Ready() && first.leading() })
	// The worker takes tasks once it has answered.
	before := submitAll(t, first, "a", 1)
	await(t, "a first job is done", func() bool { return completed(first, before) })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	workers.silent.Store(true)
	const id = jobs.ID("b000000000000000")
	c.Assert(first.Submit(ctx, id, &jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 1, CPUMilli: 100}}}).Code, qt.Equals, code.OK)
	await(t, "the task has failed", func() bool {
		workers.mu.Lock()
		defer workers.mu.Unlock()
		return workers.runs[string(id)+".0.0.0"] == 1
	})
	manifest.away.Store(true)
	first.stop()
	<-first.done

	second := startInstance(t, "b", log, manifest, workers)
	await(t, "the second instance leads", func() bool { return second.leading() })
	workers.silent.Store(false)
	await(t, "the end is acknowledged", func() bool {
		workers.mu.Lock()
		defer workers.mu.Unlock()
		return len(workers.ended) == 0
	})
	state, got := second.State(ctx, id)
	c.Assert(got, qt.Equals, code.OK)
	c.Assert(state, qt.Not(qt.Equals), jobs.Failed)
	manifest.away.Store(false)
	await(t, "the job is done", func() bool { return completed(second, []jobs.ID{id}) })
}
