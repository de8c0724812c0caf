package node

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/jobs"
)

// Guards against a leader that answers every look at a job: each costs it an HTTP
// exchange, and callers decide how many there are.
func TestLooksDoNotReachTheLeader(t *testing.T) {
	c := qt.New(t)
	leader, all, _ := delegatingInstances(t, 3)
	waiting := jobs.ID("000000000000beef")
	result := all[leader].Submit(context.Background(), waiting, &jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 1, CPUMilli: 1 << 30}}})
	c.Assert(result.Code, qt.Equals, code.OK)
	for i, in := range all {
		if i == leader {
			continue
		}
		waitFor(t, "the instance answers for the leader", func() bool {
			ok, err := runInLoop(context.Background(), in.Node, dutyRequests, func() bool { return in.mirrors() })
			return err == nil && ok
		})
	}
	ids := submitAll(t, all[leader], "a", 3)
	for i, in := range all {
		if i == leader {
			continue
		}
		before := in.leaderLooks.Load()
		for range 100 {
			state, status := in.State(context.Background(), waiting)
			c.Assert(status, qt.Equals, code.OK)
			c.Assert(state, qt.Equals, jobs.Queued)
		}
		waitFor(t, "the jobs are done", func() bool { return completed(in, ids) })
		c.Assert(in.leaderLooks.Load()-before < 10, qt.IsTrue, qt.Commentf("%d looks", in.leaderLooks.Load()-before))
	}
	// Only the leader says that a job is unknown.
	_, status := all[(leader+1)%3].State(context.Background(), "000000000000dead")
	c.Assert(status, qt.Equals, code.UnknownJob)
}

// recordJob applies the records of a job in a state.
func recordJob(t *testing.T, n *Node, id jobs.ID, state jobs.State) {
	t.Helper()
	job := &jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 1}}}
	encoded, err := jobs.EncodeJob(job)
	qt.Assert(t, err, qt.IsNil)
	progress := jobs.NewProgress(job)
	progress.State = state
	record, err := jobs.ProgressRecord(id, progress)
	qt.Assert(t, err, qt.IsNil)
	for _, r := range []jobs.Record{jobs.SubmissionRecord(id, encoded), record} {
		_, err = n.stateMachine.Apply(r)
		qt.Assert(t, err, qt.IsNil)
	}
}

// Guards against a delegate that goes on answering from states that it no longer
// gets, and against states that go back.
func TestDelegateAnswersOnlyWhileItIsUpToDate(t *testing.T) {
	n := startLoop(t, newMemoryLog().forInstance("a"))
	n.runCtx = context.Background()
	recordJob(t, n, "recorded", jobs.Queued)
	recordJob(t, n, "active", jobs.Active)
	recordJob(t, n, "final", jobs.Completed)
	for _, test := range []struct {
		name  string
		fault func(now int64)
		id    jobs.ID
		want  jobs.State
	}{
		{"passed on", nil, "recorded", jobs.Completed},
		{"no step back", nil, "active", jobs.Active},
		{"not in the log yet", nil, "pushed", jobs.Queued},
		{"unknown", nil, "unknown", ""},
		{"final without a leader", func(int64) { n.delegated = nil }, "final", jobs.Completed},
		{"no delegate", func(int64) { n.delegated = nil }, "active", ""},
		{"leader silent", func(int64) { n.delegated.mirror.updatedMS -= 2 * milliseconds(mirrorMaxAge) }, "recorded", ""},
		{"newer claim", func(int64) { n.claim.Epoch = 4 }, "recorded", ""},
		{"newer heartbeat", func(int64) { n.lastHeartbeat.epoch = 4 }, "recorded", ""},
		{"log lost", func(int64) { n.lastLogReadMS.Store(0) }, "recorded", ""},
		{"log read before", func(now int64) { n.lastLogReadMS.Store(now - 200) }, "recorded", ""},
		{"log read long ago", func(now int64) {
			n.delegated.mirror.sinceMS -= 20_000
			n.lastLogReadMS.Store(now - 2*milliseconds(mirrorLogMaxAge))
		}, "recorded", ""},
	} {
		_, err := runInLoop(context.Background(), n, dutyRequests, func() bool {
			now := n.now().MS
			n.delegated, n.claim.Epoch, n.lastHeartbeat.epoch = nil, 3, 3
			delegated, _ := n.delegatedTermOf(3, "127.0.0.1:1")
			delegated.mirror.update(now, []*nodev1.JobState{
				{Id: "recorded", State: string(jobs.Completed)}, {Id: "active", State: string(jobs.Queued)}, {Id: "pushed", State: string(jobs.Queued)},
			})
			delegated.mirror.sinceMS = now - 100
			n.lastLogReadMS.Store(now)
			if test.fault != nil {
				test.fault(now)
			}
			state, ok := n.knownState(test.id)
			qt.Check(t, state, qt.Equals, test.want, qt.Commentf("%s", test.name))
			qt.Check(t, ok, qt.Equals, test.want != "", qt.Commentf("%s", test.name))
			delegated.stop()
			return true
		})
		qt.Assert(t, err, qt.IsNil)
	}
}

// Guards against a mirror that grows for as long as a term lasts, and against
// states that are dropped before the log is sure to have them.
func TestMirrorForgetsOldStates(t *testing.T) {
	c := qt.New(t)
	m := newStateMirror(0)
	m.update(1, []*nodev1.JobState{{Id: "a", State: string(jobs.Completed)}})
	for now := int64(1); now < milliseconds(mirrorRetention); now += 1000 {
		m.update(now, nil)
		_, ok := m.state("a")
		c.Assert(ok, qt.IsTrue)
	}
	m.update(milliseconds(mirrorRetention), nil)
	m.update(2*milliseconds(mirrorRetention), nil)
	_, ok := m.state("a")
	c.Assert(ok, qt.IsFalse)
}

// Guards against looks that keep waiting for a delegate that does not answer.
func TestSilentDelegateIsLeftOut(t *testing.T) {
	c := qt.New(t)
	var l lookups
	c.Assert(l.delegate(1), qt.Equals, "")
	l.setDelegates([]string{"a:1", "b:1"})
	c.Assert(l.delegate(1), qt.Equals, "a:1")
	l.failed("a:1", 1)
	c.Assert(l.delegate(2), qt.Equals, "b:1")
	l.failed("b:1", 2)
	c.Assert(l.delegate(3), qt.Equals, "")
	c.Assert(l.delegate(3+milliseconds(delegatePause+time.Second)), qt.Equals, "a:1")
}
