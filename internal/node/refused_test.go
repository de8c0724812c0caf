package node

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
)

// Guards callers against "unknown" for a submission that was never sent
// anywhere: they may not repeat it, although nothing can have run.
func TestSubmissionThatWasNeverSentIsRefused(t *testing.T) {
	c := qt.New(t)
	log, workers := newMemoryLog(), newInstantWorkers()
	a := startInstance(t, "a", log, &fixedManifest{version: 1}, workers)
	await(t, "the instance leads", func() bool { return a.Ready() && a.leading() })
	log.refuse("a", true)
	// The leader is another instance, which is gone.
	a.leader.Store(&leaderInfo{epoch: 9, peer: "127.0.0.1:1"})
	await(t, "the log is away", func() bool { return a.logReadMS.Load() == 0 })
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	got := a.Submit(ctx, "0000000000000001", job(1))
	c.Assert(code.Lookup(got.Code).Outcome, qt.Equals, code.NotRun, qt.Commentf("%s", got.Code))
	c.Assert(got.RetryAfter > 0, qt.IsTrue)
}
