package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	"redwingvale/internal/jobs"
	"redwingvale/internal/settings"
)

// peerTestServer serves peers on a listener until its context ends.
type peerTestServer struct {
	listener net.Listener
	handler  http.Handler
}

func (s *peerTestServer) run(ctx context.Context) {
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	_ = server.Serve(s.listener)
}

func job(tasks int) *jobs.Job {
	return &jobs.Job{Queue: "q", Payload: "p", Steps: []jobs.Step{{Count: tasks, CPUMilli: 100}, {Count: 1, After: []int{0}}}}
}

func submitAll(t *testing.T, in *instance, prefix string, count int) []jobs.ID {
	t.Helper()
	var ids []jobs.ID
	for i := range count {
		id := jobs.ID(fmt.Sprintf("%s%015d", prefix, i))
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		got := in.Submit(ctx, id, job(3))
		cancel()
		if got.Code != code.OK {
			t.Fatalf("submit %s: %s", id, got.Code)
		}
		ids = append(ids, id)
	}
	return ids
}

func completed(in *instance, ids []jobs.ID) bool {
	for _, id := range ids {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		state, got := in.State(ctx, id)
		cancel()
		if got != code.OK || state != jobs.Completed {
			return false
		}
	}
	return true
}

// TestTakeover guards against jobs that are lost, or tasks that run twice, when
// the leader fails: jobs accepted before and after complete.
func TestTakeover(t *testing.T) {
	c := qt.New(t)
	log, manifest, workers := newMemoryLog(), &fixedManifest{version: 1}, newInstantWorkers()
	var all []*instance
	for i := range 3 {
		all = append(all, startInstance(t, fmt.Sprint("n", i), log, manifest, workers))
	}
	waitFor(t, "every instance is ready", func() bool { return all[0].Ready() && all[1].Ready() && all[2].Ready() })
	waitFor(t, "every instance is a member", func() bool {
		members, err := runInLoop(context.Background(), all[0].Node, dutyRequests, func() int { return len(all[0].members) })
		return err == nil && members == 3
	})
	// Instances are ready once the claim is read, which is before the term begins.
	var first *instance
	waitFor(t, "an instance leads", func() bool { first = leaderOf(all...); return first != nil })
	var rest []*instance
	for _, in := range all {
		if in != first {
			rest = append(rest, in)
		}
	}
	before := submitAll(t, rest[0], "a", 5)
	waitFor(t, "the first jobs are done", func() bool { return completed(rest[0], before) })
	first.stop()
	<-first.done
	after := submitAll(t, rest[1], "b", 5)
	waitFor(t, "the jobs after the loss are done", func() bool { return completed(rest[0], after) && completed(rest[1], before) })
	c.Assert(leaderOf(rest...), qt.IsNotNil)
	workers.mu.Lock()
	defer workers.mu.Unlock()
	for task, runs := range workers.runs {
		c.Check(runs, qt.Equals, 1, qt.Commentf("%s", task))
	}
	c.Assert(workers.runs, qt.HasLen, 10*4)
}

// TestLeaderWithoutLog guards against a leader that stays although the log
// serves only the other instances: one of them must take over.
func TestLeaderWithoutLog(t *testing.T) {
	log, first, other := leaderAndFollower(t)
	log.setUnavailable(first.config.Instance, true)
	ids := submitAll(t, first, "a", 1)
	waitFor(t, "the other instance leads and has done the job", func() bool { return other.isLeader() && !first.isLeader() && completed(other, ids) })
}

// TestLostResponses guards against records that are lost or written twice when an
// append takes effect but its response is lost.
func TestLostResponses(t *testing.T) {
	c := qt.New(t)
	log, manifest, workers := newMemoryLog(), &fixedManifest{version: 1}, newInstantWorkers()
	a := startInstance(t, "a", log, manifest, workers)
	waitFor(t, "the instance leads", func() bool { return a.Ready() && a.isLeader() })
	for i := range 5 {
		log.mu.Lock()
		log.loseResponses = 1
		log.mu.Unlock()
		ids := submitAll(t, a, fmt.Sprint(i), 1)
		waitFor(t, "the job is done", func() bool { return completed(a, ids) })
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	seen := map[jobs.ID]int{}
	for _, r := range log.records {
		if id := jobs.SubmissionID(r); id != "" {
			seen[id]++
		}
	}
	for id, times := range seen {
		c.Check(times, qt.Equals, 1, qt.Commentf("%s", id))
	}
}

// TestUnknownJobs guards against UnknownJob for a job that another instance has
// recorded and the leader has not read yet.
func TestUnknownJobs(t *testing.T) {
	c := qt.New(t)
	log, manifest, workers := newMemoryLog(), &fixedManifest{version: 1}, newInstantWorkers()
	a := startInstance(t, "a", log, manifest, workers)
	waitFor(t, "the instance leads", func() bool { return a.Ready() && a.isLeader() })
	ctx := context.Background()
	_, got := a.State(ctx, "0000000000000001")
	c.Assert(got, qt.Equals, code.UnknownJob)
	c.Assert(a.Cancel(ctx, "0000000000000001"), qt.Equals, code.UnknownJob)
	// Another instance records the job directly; the leader has not read it yet.
	encoded, err := jobs.EncodeJob(job(1))
	c.Assert(err, qt.IsNil)
	_, err = log.forInstance("b").Append(ctx, Append{Records: []jobs.Record{jobs.SubmissionRecord("0000000000000002", encoded)}, ExpectedEnd: -1})
	c.Assert(err, qt.IsNil)
	_, got = a.State(ctx, "0000000000000002")
	c.Assert(got, qt.Equals, code.OK)
	c.Assert(a.Cancel(ctx, "0000000000000002"), qt.Equals, code.OK)
}

// TestManifestNeverReverts guards against an older version of the manifest that
// arrives late and replaces a newer one.
func TestManifestNeverReverts(t *testing.T) {
	c := qt.New(t)
	log, workers := newMemoryLog(), newInstantWorkers()
	a := startInstance(t, "a", log, &fixedManifest{version: 5}, workers)
	waitFor(t, "the manifest is in force", func() bool { return a.routing.Load() != nil })
	a.applyManifest(context.Background(), &Manifest{Version: 4})
	_, _, got := a.Route("h", "/q/1")
	c.Assert(got, qt.Equals, code.OK)
	a.applyManifest(context.Background(), &Manifest{Version: 6})
	_, _, got = a.Route("h", "/q/1")
	c.Assert(got, qt.Equals, code.UnknownResource)
}

// TestRoute guards against a route that is not the one with the longest prefix.
func TestRoute(t *testing.T) {
	c := qt.New(t)
	v := newRoutingTable(&Manifest{Queues: []QueueRoute{
		{Host: "h", Prefix: "/a/"}, {Host: "h", Prefix: "/a/b/"}, {Host: "g", Prefix: "/"},
	}}, nil)
	for _, test := range []struct {
		host, path, rest string
		ok               bool
	}{
		{"h", "/a/x", "x", true}, {"h", "/a/b/x", "x", true}, {"h", "/c", "", false}, {"g", "/c", "c", true}, {"i", "/", "", false},
	} {
		_, rest, ok := v.route(test.host, test.path)
		c.Check(ok, qt.Equals, test.ok)
		c.Check(rest, qt.Equals, test.rest)
	}
}

// TestConfigCheck guards against invalid settings that are accepted at the start
// and fail later.
func TestConfigCheck(t *testing.T) {
	c := qt.New(t)
	good := DefaultConfig()
	good.Instance, good.CallersAddr, good.ReadinessAddr, good.PeerAddr, good.StoreAddr = "a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"
	var problems settings.Problems
	good.Check(&problems)
	c.Assert(problems.Err(), qt.IsNil)
	bad := good
	bad.PeerAddr, bad.LeaseMS = "host", 1
	bad.Check(&problems)
	c.Assert(problems.Err(), qt.ErrorMatches, `(?s).*peer_addr.*lease_ms.*`)
}

// TestClaimDuringConcurrentWrites guards against a hand-over that never succeeds
// because the leader continues to write: a claim must not require that the log is
// unchanged.
func TestClaimDuringConcurrentWrites(t *testing.T) {
	c := qt.New(t)
	log, first, other := leaderAndFollower(t)
	log.writeBeforeAppendsOf(other.config.Instance)
	first.stopping.Store(true)
	waitFor(t, "the other instance leads", other.isLeader)
	ids := submitAll(t, other, "a", 3)
	waitFor(t, "the jobs are done", func() bool { return completed(other, ids) })
	c.Assert(first.isLeader(), qt.IsFalse)
}

// TestBusyLeaderStays guards against the replacement of a leader whose event loop
// is busy for a second, as after a restart of all instances on the large site:
// each successor would be as busy. A leader whose event loop has stopped must
// still be replaced.
func TestBusyLeaderStays(t *testing.T) {
	c := qt.New(t)
	_, first, other := leaderAndFollower(t)
	heard := func() int64 {
		receivedMS, err := runInLoop(context.Background(), other.Node, dutyRequests, func() int64 { return other.lastHeartbeat.receivedMS })
		c.Assert(err, qt.IsNil)
		return receivedMS
	}
	waitFor(t, "the other instance hears the leader", func() bool { return heard() > 0 && other.leader.Load().epoch == 1 })
	release := make(chan struct{})
	unblock := sync.OnceFunc(func() { close(release) })
	defer unblock()
	first.post(context.Background(), dutyMembers, func() { <-release })
	blockedMS := first.now().MS
	waitFor(t, "heartbeats go on beyond the election timeout", func() bool { return heard() > blockedMS+milliseconds(electionTimeout) })
	c.Assert(other.leader.Load().epoch, qt.Equals, uint64(1))
	waitFor(t, "a leader whose event loop has stopped is replaced", func() bool { return other.isLeader() })
}
