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

// failingOperators is a configuration that cannot be read at times.
type failingOperators struct {
	fixedManifest
	fails atomic.Bool
}

func (o *failingOperators) Manifest(ctx context.Context) (*Manifest, int64, error) {
	if o.fails.Load() {
		return nil, 0, errors.New("unavailable")
	}
	return o.fixedManifest.Manifest(ctx)
}

func (o *failingOperators) Await(ctx context.Context, from int64, wait time.Duration) (*Manifest, int64, error) {
	pause(ctx, wait)
	m, _, err := o.Manifest(ctx)
	return m, from, err
}

// Guards against "no such queue" on the word of a configuration that is older
// than its bound: a queue that was added meanwhile would be refused for good.
func TestStaleManifestRefusesNothing(t *testing.T) {
	c := qt.New(t)
	operators := &failingOperators{fixedManifest: fixedManifest{version: 1}}
	a := startInstance(t, "a", newMemoryLog(), operators, newInstantWorkers())
	route := func(path string) code.Code {
		_, _, got := a.Route("h", path)
		return got
	}
	await(t, "the configuration is read", func() bool { return route("/q/1") == code.OK })
	// A configuration that is read again and again stays fresh.
	for begun := time.Now(); time.Since(begun) < 2*a.config.manifestBound(); time.Sleep(10 * time.Millisecond) {
		c.Assert(route("/new/1"), qt.Equals, code.UnknownResource)
	}
	operators.fails.Store(true)
	await(t, "the configuration is too old", func() bool { return route("/new/1") == code.ConfigUnread })
	c.Assert(route("/q/1"), qt.Equals, code.OK)
	operators.fails.Store(false)
	await(t, "the configuration is read again", func() bool { return route("/new/1") == code.UnknownResource })
}

// Guards against a verdict by a bound of a configuration that is too old: a
// job would be shown as failed although its queue allows more attempts by now.
func TestStaleManifestEndsNoJob(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	log, operators := newMemoryLog(), &failingOperators{fixedManifest: fixedManifest{version: 1}}
	a := startInstance(t, "a", log, operators, newInstantWorkers())
	await(t, "the instance leads", func() bool { return a.Ready() && a.leading() })
	operators.fails.Store(true)
	await(t, "the configuration is too old", func() bool {
		_, _, got := a.Route("h", "/new/1")
		return got == code.ConfigUnread
	})
	// The instance leads once more, after another one, and finds a job with as
	// many failures as the old version allows.
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
	_, err = log.of("b").Append(ctx, Append{
		Records: []jobs.Record{{Key: claimKey, Value: rival}, jobs.SubmissionRecord(id, encoded), failures},
		Writer:  &Writer{Epoch: 2, Sequence: firstSequence(2)}, At: -1,
	})
	c.Assert(err, qt.IsNil)
	await(t, "the instance leads again", func() bool {
		epoch, err := ask(ctx, a.Node, func() uint64 {
			if a.term == nil {
				return 0
			}
			return a.term.epoch
		})
		return err == nil && epoch == 3
	})
	for begun := time.Now(); time.Since(begun) < time.Second; time.Sleep(20 * time.Millisecond) {
		state, got := a.State(ctx, id)
		c.Assert(got, qt.Equals, code.OK)
		c.Assert(state, qt.Not(qt.Equals), jobs.Failed)
	}
	operators.mu.Lock()
	operators.version, operators.attempts = 2, 4
	operators.mu.Unlock()
	operators.fails.Store(false)
	await(t, "the job is done", func() bool { return completed(a, []jobs.ID{id}) })
}
