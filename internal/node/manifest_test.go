package node

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	"redwingvale/internal/jobs"
)

// failingManifestSource is a configuration source whose reads can be made to
// fail.
type failingManifestSource struct {
	fixedManifest
	fails atomic.Bool
}

func (s *failingManifestSource) Manifest(ctx context.Context) (Change, int64, error) {
	if s.fails.Load() {
		return Change{}, 0, errors.New("unavailable")
	}
	return s.fixedManifest.Manifest(ctx)
}

func (s *failingManifestSource) AwaitChange(ctx context.Context, from int64, wait time.Duration) (Change, int64, error) {
	pause(ctx, wait)
	m, _, err := s.Manifest(ctx)
	return m, from, err
}

// Guards against "no such queue" based on a configuration that is older than its
// maximum age: requests for a queue added in the meantime would be refused for
// good.
func TestStaleManifestRejectsNoRequest(t *testing.T) {
	c := qt.New(t)
	manifests := &failingManifestSource{fixedManifest: fixedManifest{version: 1}}
	a := startInstance(t, "a", newMemoryLog(), manifests, newInstantWorkers())
	route := func(path string) code.Code {
		_, _, got := a.Route("h", path)
		return got
	}
	waitFor(t, "the configuration is read", func() bool { return route("/q/1") == code.OK })
	// Its routes are in use a moment before it counts as the newest one.
	waitFor(t, "the configuration is fresh", func() bool { return route("/new/1") == code.UnknownResource })
	// A configuration that is read repeatedly stays fresh.
	for start := time.Now(); time.Since(start) < 2*a.config.manifestMaxAge(); time.Sleep(10 * time.Millisecond) {
		c.Assert(route("/new/1"), qt.Equals, code.UnknownResource)
	}
	manifests.fails.Store(true)
	waitFor(t, "the configuration is too old", func() bool { return route("/new/1") == code.ConfigUnread })
	c.Assert(route("/q/1"), qt.Equals, code.OK)
	manifests.fails.Store(false)
	waitFor(t, "the configuration is read again", func() bool { return route("/new/1") == code.UnknownResource })
}

// Guards against a job that fails by the attempt limit of a configuration that is
// too old: its queue may allow more attempts by now.
func TestStaleManifestFailsNoJob(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	log, manifests := newMemoryLog(), &failingManifestSource{fixedManifest: fixedManifest{version: 1}}
	a := startInstance(t, "a", log, manifests, newInstantWorkers())
	waitFor(t, "the instance leads", func() bool { return a.Ready() && a.isLeader() })
	manifests.fails.Store(true)
	waitFor(t, "the configuration is too old", func() bool {
		_, _, got := a.Route("h", "/new/1")
		return got == code.ConfigUnread
	})
	// The instance leads again, after another one, and reads a job with as many
	// failures as the old version allows.
	id := jobs.ID("0000000000000001")
	spec := &jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 1, CPUMilli: 100}}, Policy: &jobs.Policy{Service: "s", MaxAttempts: 2}}
	encoded, err := jobs.EncodeJob(spec)
	c.Assert(err, qt.IsNil)
	progress := jobs.NewProgress(spec)
	progress.State = jobs.Active
	progress.AddFailure(jobs.Task{Job: id}, 1)
	progress.AddFailure(jobs.Task{Job: id}, 2)
	failures, err := jobs.ProgressRecord(id, progress)
	c.Assert(err, qt.IsNil)
	rival, err := json.Marshal(claim{Epoch: 2, Instance: "b", Peer: "127.0.0.1:1", Nonce: "b"})
	c.Assert(err, qt.IsNil)
	_, err = log.forInstance("b").Append(ctx, Append{
		Records: []jobs.Record{{Key: claimKey, Value: rival}, jobs.SubmissionRecord(id, encoded), failures},
		Writer:  &Writer{Epoch: 2, Sequence: firstSequence(2)}, ExpectedEnd: -1,
	})
	c.Assert(err, qt.IsNil)
	waitFor(t, "the instance leads again", func() bool {
		epoch, err := runInLoop(ctx, a.Node, dutyRequests, func() uint64 {
			if a.term == nil {
				return 0
			}
			return a.term.epoch
		})
		return err == nil && epoch == 3
	})
	for start := time.Now(); time.Since(start) < time.Second; time.Sleep(20 * time.Millisecond) {
		state, got := a.State(ctx, id)
		c.Assert(got, qt.Equals, code.OK)
		c.Assert(state, qt.Not(qt.Equals), jobs.Failed)
	}
	manifests.mu.Lock()
	manifests.version, manifests.attempts = 2, 4
	manifests.mu.Unlock()
	manifests.fails.Store(false)
	waitFor(t, "the job is done", func() bool { return completed(a, []jobs.ID{id}) })
}
