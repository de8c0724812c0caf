package node

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	"redwingvale/internal/jobs"
)

// submitWithin submits a job whose caller waits for some time.
func submitWithin(in *instance, id jobs.ID, wait time.Duration) chan Result {
	result := make(chan Result, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		result <- in.Submit(ctx, id, job(1))
	}()
	return result
}

// withSilentAppend starts a leader and a follower. The leader's append of a first job
// has had no response for so long that tasks of other submissions do not start.
func withSilentAppend(t *testing.T, wait time.Duration) (leader, follower *instance, log *memoryLog, first chan Result) {
	t.Helper()
	instances, logs := withTrouble(t, "leader", "follower")
	logs[0].set(func(Append) appendTrouble { return appendTrouble{silent: true} })
	first = submitWithin(instances[0], "a000000000000001", wait)
	waitFor(t, "the append is old", func() bool {
		since, err := runInLoop(context.Background(), instances[0].Node, dutyRequests, func() int64 { return instances[0].term.pendingSinceMS.Load() })
		return err == nil && since > 0 && instances[0].now().MS-since > 350
	})
	return instances[0], instances[1], logs[0].Log.(*instanceLog).log, first
}

// Guards against callers that learn nothing of a submission which the leader has not
// sent to a log that does not answer: they get a refusal, in time and through another
// instance, and the refused job does not run. What may have been sent stays unknown.
func TestUnsentSubmissionIsRefusedInTime(t *testing.T) {
	c := qt.New(t)
	const wait = 1200 * time.Millisecond
	leader, follower, log, first := withSilentAppend(t, wait)
	start := time.Now()
	second, third := submitWithin(leader, "a000000000000002", wait), submitWithin(follower, "a000000000000003", wait)
	for _, waiting := range []chan Result{second, third} {
		got := <-waiting
		c.Check(got.Code, qt.Equals, code.LogSlow, qt.Commentf("%s", time.Since(start)))
		c.Check(got.RetryAfter >= retryAfter, qt.IsTrue)
		c.Check(time.Since(start) < wait, qt.IsTrue)
	}
	c.Assert((<-first).Code, qt.Equals, code.AcceptanceUnsure)
	log.mu.Lock()
	defer log.mu.Unlock()
	for _, r := range log.records {
		c.Check(jobs.SubmissionID(r) == "" || jobs.SubmissionID(r) == "a000000000000001", qt.IsTrue)
	}
}

// Guards against the refusal of a submission that another instance has appended for an
// earlier attempt.
func TestAppendedSubmissionIsNotRefused(t *testing.T) {
	c := qt.New(t)
	leader, _, log, _ := withSilentAppend(t, 1200*time.Millisecond)
	second := submitWithin(leader, "a000000000000002", 1200*time.Millisecond)
	encoded, err := jobs.EncodeJob(job(1))
	c.Assert(err, qt.IsNil)
	_, err = (&instanceLog{log, "other"}).Append(context.Background(), Append{Records: []jobs.Record{jobs.SubmissionRecord("a000000000000002", encoded)}, ExpectedEnd: -1})
	c.Assert(err, qt.IsNil)
	c.Assert((<-second).Code, qt.Equals, code.OK)
}

// Guards against an unknown outcome of a submission that a leader which is replaced has
// never sent, and against a refusal of one that it may have sent.
func TestReplacedLeaderAnswersWaitingSubmissions(t *testing.T) {
	c := qt.New(t)
	const wait = 20 * time.Second
	leader, _, _, _ := withSilentAppend(t, wait)
	results := map[jobs.ID]chan Result{"a000000000000001": make(chan Result, 1), "a000000000000002": make(chan Result, 1)}
	for id, result := range results {
		encoded, err := jobs.EncodeJob(job(1))
		c.Assert(err, qt.IsNil)
		go func() { result <- leader.submitLocal(context.Background(), id, encoded, wait) }()
	}
	waitFor(t, "the requests wait and the leader is replaced", func() bool {
		replaced, err := runInLoop(context.Background(), leader.Node, dutyRequests, func() bool {
			if len(leader.replies) < 3 {
				return leader.term == nil
			}
			leader.resign("replaced")
			return true
		})
		return err == nil && replaced
	})
	c.Assert((<-results["a000000000000001"]).Code, qt.Equals, code.AcceptanceUnsure)
	c.Assert((<-results["a000000000000002"]).Code, qt.Equals, code.OwnerUnknown)
}
