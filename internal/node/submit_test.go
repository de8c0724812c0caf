package node

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	"redwingvale/internal/jobs"
	"redwingvale/internal/telemetry"
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

// Guards against an unknown outcome of a submission that a busy leader has not looked
// at, and against one that it takes later although it was refused.
func TestSubmissionBehindBusyLoopIsNotRun(t *testing.T) {
	c := qt.New(t)
	n := New(DefaultConfig(), Deps{}, telemetry.New("rwnode", "a", io.Discard))
	t.Cleanup(n.tele.Close)
	n.leader.Store(&leaderInfo{epoch: 1, self: true})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	got := n.Submit(ctx, "0000000000000001", job(1))
	c.Assert(got, qt.Equals, Result{Code: code.OwnerUnknown, RetryAfter: retryAfter})
	event := <-n.ring.Receive()
	event.run()
	c.Assert(n.replies, qt.HasLen, 0)
}

// Guards against work that is accepted beyond an instance's memory, through the leader
// or past it: the refusal is certain, and a repeated submission of a recorded job is
// still accepted.
func TestSubmissionBeyondMemoryIsRefused(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig()
	config.MemoryMB = minMemoryMB
	log, workers := newMemoryLog(), newInstantWorkers()
	workers.withoutCapacity = true
	in := startInstanceWith(t, "n", log, &fixedManifest{version: 1}, workers, config)
	waitFor(t, "the instance leads", func() bool { return in.Ready() && in.isLeader() })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	large := func() *jobs.Job { return job(jobs.MaxTasksPerStep) }
	accepted := 0
	var refusal Result
	for accepted < 100 {
		refusal = in.Submit(ctx, jobs.ID(fmt.Sprintf("%016x", accepted)), large())
		if refusal.Code != code.OK {
			break
		}
		accepted++
	}
	c.Assert(refusal.Code, qt.Equals, code.JobMemoryFull)
	c.Assert(refusal.RetryAfter > 0, qt.IsTrue)
	c.Assert(int64(accepted), qt.Equals, maxJobBytes(minMemoryMB)/large().Footprint())
	// Past the leader, too.
	in.leader.Store(&leaderInfo{epoch: 9, peer: "127.0.0.1:1"})
	c.Assert(in.Submit(ctx, "00000000000000ff", large()).Code, qt.Equals, code.JobMemoryFull)
	c.Assert(in.Submit(ctx, "0000000000000000", large()).Code, qt.Equals, code.OK)
	log.mu.Lock()
	defer log.mu.Unlock()
	for _, r := range log.records {
		c.Check(jobs.SubmissionID(r), qt.Not(qt.Equals), jobs.ID("00000000000000ff"))
	}
}

// Guards against work that the smallest instance cannot hold when it has to lead: its
// memory bounds what the others accept, also once it has joined during a term.
func TestSmallestInstanceBoundsJobs(t *testing.T) {
	c := qt.New(t)
	log, workers := newMemoryLog(), newInstantWorkers()
	config := DefaultConfig()
	config.MemoryMB, config.CPUShare = 536, 0.8
	large := startInstanceWith(t, "large", log, &fixedManifest{version: 1}, workers, config)
	waitFor(t, "the large instance leads", func() bool { return large.Ready() && large.isLeader() })
	c.Assert(large.jobLimit.Load(), qt.Equals, maxJobBytes(536))
	config.MemoryMB, config.CPUShare = 184, 0.1
	small := startInstanceWith(t, "small", log, &fixedManifest{version: 1}, workers, config)
	waitFor(t, "the small instance's memory is known", func() bool {
		return large.jobLimit.Load() == maxJobBytes(184) && small.jobLimit.Load() == maxJobBytes(184)
	})
	limit, err := runInLoop(context.Background(), large.Node, dutyRequests, func() bool { return large.term.core.Fits(maxJobBytes(184) + 1) })
	c.Assert(err, qt.IsNil)
	c.Assert(limit, qt.IsFalse)
}
