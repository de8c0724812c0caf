package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/jobs"
)

// Guards against a refusal for lack of capacity that is lost on its way from the
// leader to the caller of another instance, that is recorded past the leader
// instead, or that an instance of an earlier release does not understand; and
// against one without the setting.
func TestOverloadRefusalReachesTheCaller(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig()
	config.Overload.Enabled = true
	log, manifest, workers := newMemoryLog(), &fixedManifest{version: 1}, newInstantWorkers()
	a := startInstanceWith(t, "a", log, manifest, workers, config)
	b := startInstanceWith(t, "b", log, manifest, workers, config)
	waitFor(t, "both are ready", func() bool { return a.Ready() && b.Ready() && leaderOf(a, b) != nil })
	leader, follower := a, b
	if b.isLeader() {
		leader, follower = b, a
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	// A job with an objective needs nearly the whole worker, so that none is left for
	// long-running ones.
	wide := &jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 1, CPUMilli: 60_000, EstimateMS: 10}}}
	c.Assert(leader.Submit(ctx, "00000000000000aa", wide).Code, qt.Equals, code.OK)
	serving := func() *jobs.Job {
		return &jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 1, CPUMilli: 1000, EstimateMS: 10, LongRunning: true}}}
	}
	var got Result
	var id, accepted jobs.ID
	n := 0
	waitFor(t, "a long-running job is refused", func() bool {
		n++
		id = jobs.ID(fmt.Sprintf("%016x", n))
		if got = follower.Submit(ctx, id, serving()); got.Code == code.OverloadedQueue {
			return true
		}
		accepted = id
		c.Assert(got.Code, qt.Equals, code.OK)
		c.Assert(follower.Cancel(ctx, id), qt.Equals, code.OK)
		time.Sleep(200 * time.Millisecond)
		return false
	})
	info := code.Lookup(got.Code)
	c.Assert(info.Outcome, qt.Equals, code.NotRun)
	c.Assert(info.Status, qt.Equals, 503)
	c.Assert(got.RetryAfter >= time.Second && got.RetryAfter <= 30*time.Second, qt.IsTrue)
	c.Assert(follower.Submit(ctx, accepted, serving()).Code, qt.Equals, code.OK, qt.Commentf("a recorded job"))
	// The same from an instance of an earlier release.
	encoded, err := jobs.EncodeJob(serving())
	c.Assert(err, qt.IsNil)
	response, err := follower.peerClient(leader.config.PeerAddr).SubmitJob(ctx, connect.NewRequest(&nodev1.SubmitJobRequest{Id: string(id), Job: encoded}))
	c.Assert(err, qt.IsNil)
	c.Assert(code.Code(response.Msg.GetCode()), qt.Equals, code.JobMemoryFull)
	log.mu.Lock()
	defer log.mu.Unlock()
	for _, r := range log.records {
		c.Check(jobs.SubmissionID(r), qt.Not(qt.Equals), id)
	}
}
