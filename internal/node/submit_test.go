package node

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
)

// Guards against an unknown outcome for a submission that was never sent: callers
// must not retry such a submission, although nothing can have run.
func TestUnsentSubmissionIsNotRun(t *testing.T) {
	c := qt.New(t)
	log, workers := newMemoryLog(), newInstantWorkers()
	a := startInstance(t, "a", log, &fixedManifest{version: 1}, workers)
	waitFor(t, "the instance leads", func() bool { return a.Ready() && a.isLeader() })
	log.setUnavailable("a", true)
	// The leader is another instance, which no longer runs.
	a.leader.Store(&leaderInfo{epoch: 9, peer: "127.0.0.1:1"})
	waitFor(t, "the log is unavailable", func() bool { return a.lastLogReadMS.Load() == 0 })
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	got := a.Submit(ctx, "0000000000000001", job(1))
	c.Assert(code.Lookup(got.Code).Outcome, qt.Equals, code.NotRun, qt.Commentf("%s", got.Code))
	c.Assert(got.RetryAfter > 0, qt.IsTrue)
}
