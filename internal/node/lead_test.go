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

// unavailableManifestSource is a configuration source that can be made
// unavailable.
type unavailableManifestSource struct {
	fixedManifest
	unavailable atomic.Bool
}

func (m *unavailableManifestSource) Manifest(ctx context.Context) (Change, int64, error) {
	if m.unavailable.Load() {
		return Change{}, 0, ErrUnavailable
	}
	return m.fixedManifest.Manifest(ctx)
}

// failingWorkers fail the first run of each task, and report its end until it is
// acknowledged.
type failingWorkers struct {
	*instantWorkers
	// dropReports drops the reports, so that the leader sees no ends.
	dropReports atomic.Bool
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
	if w.dropReports.Load() {
		return planner.Report{}, planner.OutcomeUnknown
	}
	return report, outcome
}

// Guards against jobs reported as failed after one failed run: the leader stops
// before it has received the run's end, and its successor receives the end
// before it can read the configuration with the attempt limit.
func TestTakeoverBeforeConfiguration(t *testing.T) {
	c := qt.New(t)
	log, workers := newMemoryLog(), &failingWorkers{instantWorkers: newInstantWorkers()}
	manifest := &unavailableManifestSource{fixedManifest: fixedManifest{version: 1}}
	first := startInstance(t, "a", log, manifest, workers)
	waitFor(t, "the first instance leads", func() bool { return first.Ready() && first.isLeader() })
	// The leader starts tasks on the worker once the worker has responded.
	before := submitAll(t, first, "a", 1)
	waitFor(t, "a first job is done", func() bool { return completed(first, before) })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	workers.dropReports.Store(true)
	const id = jobs.ID("b000000000000000")
	c.Assert(first.Submit(ctx, id, &jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 1, CPUMilli: 100}}}).Code, qt.Equals, code.OK)
	waitFor(t, "the task has failed", func() bool {
		workers.mu.Lock()
		defer workers.mu.Unlock()
		return workers.runs[string(id)+".0.0.0"] == 1
	})
	manifest.unavailable.Store(true)
	first.stop()
	<-first.done

	second := startInstance(t, "b", log, manifest, workers)
	waitFor(t, "the second instance leads", func() bool { return second.isLeader() })
	workers.dropReports.Store(false)
	waitFor(t, "the end is acknowledged", func() bool {
		workers.mu.Lock()
		defer workers.mu.Unlock()
		return len(workers.ended) == 0
	})
	state, got := second.State(ctx, id)
	c.Assert(got, qt.Equals, code.OK)
	c.Assert(state, qt.Not(qt.Equals), jobs.Failed)
	manifest.unavailable.Store(false)
	waitFor(t, "the job is done", func() bool { return completed(second, []jobs.ID{id}) })
}
