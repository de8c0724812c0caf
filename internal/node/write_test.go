package node

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	"redwingvale/internal/jobs"
)

func submitOne(in *instance, id jobs.ID, job *jobs.Job) code.Code {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return in.Submit(ctx, id, job).Code
}

// Guards against a single record of all workers that exceeds the log's record
// limit: all later appends of the leader were permanently refused.
func TestManyWorkersFitLogLimits(t *testing.T) {
	c := qt.New(t)
	log, workers := newMemoryLog(), newInstantWorkers()
	workers.idleWorkers = 3000
	in := startInstance(t, "n", log, &fixedManifest{version: 1}, workers)
	waitFor(t, "the instance is ready", in.Ready)
	c.Assert(submitOne(in, "a000000000000001", job(3)), qt.Equals, code.OK)
	waitFor(t, "the job is done", func() bool { return completed(in, []jobs.ID{"a000000000000001"}) })
	waitFor(t, "every worker is recorded", func() bool {
		recorded, err := runInLoop(context.Background(), in.Node, dutyRequests, func() int { return len(in.stateMachine.Workers) })
		return err == nil && recorded == workers.idleWorkers+1
	})
}

// Guards against a record that the log rejects and that is retried forever: its
// caller must get an error, and the other records of the append must be recorded.
func TestRejectedRecordDoesNotBlockOthers(t *testing.T) {
	c := qt.New(t)
	log := newMemoryLog()
	log.rejectedKey = "s/a000000000000002"
	in := startInstance(t, "n", log, &fixedManifest{version: 1}, newInstantWorkers())
	waitFor(t, "the instance is ready", in.Ready)
	results := make(chan code.Code, 5)
	for i := range cap(results) {
		go func() {
			id := jobs.ID(fmt.Sprintf("a%015d", i))
			got := submitOne(in, id, job(3))
			if id == "a000000000000002" {
				if got != code.RecordRejected && got != code.Internal {
					t.Errorf("rejected submission: %s", got)
				}
				got = code.OK
			}
			results <- got
		}()
	}
	for range cap(results) {
		c.Check(<-results, qt.Equals, code.OK)
	}
	_, got := in.State(context.Background(), "a000000000000002")
	c.Assert(got, qt.Equals, code.UnknownJob)
}

// Guards against accepting a submission that exceeds the log's limits: it must be
// refused before any of it is recorded or started.
func TestOversizeSubmissionIsRefused(t *testing.T) {
	c := qt.New(t)
	log, workers := newMemoryLog(), newInstantWorkers()
	in := startInstance(t, "n", log, &fixedManifest{version: 1}, workers)
	waitFor(t, "the instance is ready", in.Ready)
	large := job(1)
	large.Steps[0].Image = strings.Repeat("x", 256<<10)
	c.Assert(submitOne(in, "a000000000000001", large), qt.Equals, code.BodyTooLarge)
	often := job(8000)
	often.Repeat = 1 << 30
	c.Assert(submitOne(in, "a000000000000002", often), qt.Equals, code.BodyTooLarge)
	log.mu.Lock()
	defer log.mu.Unlock()
	for _, r := range log.records {
		c.Check(jobs.SubmissionID(r), qt.Equals, jobs.ID(""))
	}
	workers.mu.Lock()
	defer workers.mu.Unlock()
	c.Assert(workers.runs, qt.HasLen, 0)
}

// Guards against other records under the sequence number of an append that may
// have taken effect: the log would repeat the first response and not write them.
func TestRejectedRetryEndsTerm(t *testing.T) {
	log := newMemoryLog()
	in := startInstance(t, "n", log, &fixedManifest{version: 1}, newInstantWorkers())
	waitFor(t, "the instance is ready", in.Ready)
	log.mu.Lock()
	log.loseResponses, log.rejectRetry = 1, true
	log.mu.Unlock()
	got := submitOne(in, "a000000000000001", job(3))
	qt.New(t).Assert(got, qt.Equals, code.OK)
	waitFor(t, "the next term has begun", func() bool {
		epoch, err := runInLoop(context.Background(), in.Node, dutyRequests, func() uint64 { return in.claim.Epoch })
		return err == nil && epoch > 1 && in.isLeader()
	})
	waitFor(t, "the job is done", func() bool { return completed(in, []jobs.ID{"a000000000000001"}) })
}
