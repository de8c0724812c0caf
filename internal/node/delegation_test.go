package node

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/gen/redwingvale/node/v1/nodev1connect"
	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
	"redwingvale/internal/ring"
)

// countedWorkers counts the calls that one instance makes.
type countedWorkers struct {
	*instantWorkers
	starts atomic.Int64
	// holds counts the hold calls whose token is at least minToken.
	holds    atomic.Int64
	minToken atomic.Uint64
}

func (w *countedWorkers) Hold(ctx context.Context, h planner.Hold) (planner.Report, planner.Outcome) {
	if h.Token >= w.minToken.Load() {
		w.holds.Add(1)
	}
	return w.instantWorkers.Hold(ctx, h)
}

func (w *countedWorkers) Start(ctx context.Context, s planner.Start) planner.Outcome {
	w.starts.Add(1)
	return w.instantWorkers.Start(ctx, s)
}

// delegatingInstances starts instances that delegate calls from one worker on
// and waits until the leader has delegates.
func delegatingInstances(t *testing.T, count int) (leader int, all []*instance, workers []*countedWorkers) {
	t.Helper()
	log, manifest, shared := newMemoryLog(), &fixedManifest{version: 1}, newInstantWorkers()
	config := DefaultConfig()
	config.DelegationMinWorkers = 1
	for i := range count {
		w := &countedWorkers{instantWorkers: shared}
		workers = append(workers, w)
		all = append(all, startInstanceWith(t, fmt.Sprint("n", i), log, manifest, w, config))
	}
	waitFor(t, "the leader has delegates", func() bool {
		leader = slices.IndexFunc(all, func(in *instance) bool { return in.isLeader() })
		return leader >= 0 && activeDelegates(all[leader]) == count-1
	})
	return leader, all, workers
}

func activeDelegates(in *instance) int {
	n, err := runInLoop(context.Background(), in.Node, dutyRequests, func() int {
		if in.term == nil {
			return 0
		}
		return len(in.term.delegation.active)
	})
	if err != nil {
		return 0
	}
	return n
}

// TestDelegatesCallTheWorkers guards against a leader that calls every worker
// itself, which is what binds it at a thousand workers and three thousand
// starts a second.
func TestDelegatesCallTheWorkers(t *testing.T) {
	c := qt.New(t)
	leader, all, workers := delegatingInstances(t, 3)
	ids := submitAll(t, all[leader], "a", 5)
	waitFor(t, "the jobs are done", func() bool { return completed(all[leader], ids) })
	c.Assert(workers[leader].starts.Load(), qt.Equals, int64(0))
	total := int64(0)
	for _, w := range workers {
		total += w.starts.Load()
	}
	c.Assert(total, qt.Equals, int64(5*4))
}

// TestDelegateLoss guards against tasks that run twice or not at all when a
// delegate fails with calls whose outcomes are unknown.
func TestDelegateLoss(t *testing.T) {
	c := qt.New(t)
	leader, all, workers := delegatingInstances(t, 3)
	first := submitAll(t, all[leader], "a", 3)
	for i, in := range all {
		if i != leader {
			in.stop()
		}
	}
	second := submitAll(t, all[leader], "b", 5)
	waitFor(t, "the jobs are done", func() bool { return completed(all[leader], first) && completed(all[leader], second) })
	shared := workers[0].instantWorkers
	shared.mu.Lock()
	defer shared.mu.Unlock()
	for task, runs := range shared.runs {
		c.Check(runs, qt.Equals, 1, qt.Commentf("%s", task))
	}
	c.Assert(shared.runs, qt.HasLen, 8*4)
}

// TestTakeoverCallsThroughDelegates guards against a new leader that begins with
// a call of its own to every worker, which takes it a second at a thousand
// workers.
func TestTakeoverCallsThroughDelegates(t *testing.T) {
	c := qt.New(t)
	leader, all, workers := delegatingInstances(t, 3)
	ids := submitAll(t, all[leader], "a", 3)
	waitFor(t, "the first jobs are done", func() bool { return completed(all[leader], ids) })
	shared := workers[0].instantWorkers
	shared.mu.Lock()
	nextToken := shared.token + 1
	shared.mu.Unlock()
	for _, w := range workers {
		w.minToken.Store(nextToken)
		w.holds.Store(0)
	}
	all[leader].stop()
	next := -1
	waitFor(t, "another instance leads", func() bool {
		next = slices.IndexFunc(all, func(in *instance) bool { return in != all[leader] && in.isLeader() })
		return next >= 0
	})
	ids = append(ids, submitAll(t, all[next], "b", 3)...)
	waitFor(t, "the jobs are done", func() bool { return completed(all[next], ids) })
	other := 3 - leader - next
	c.Assert(workers[other].holds.Load() > 0, qt.IsTrue)
	c.Assert(workers[next].holds.Load(), qt.Equals, int64(0))
}

// TestDelegateDeclines guards against calls that are made on a permission that
// has run out: those of a deposed leader, those that have waited in a
// connection while the delegate was suspended, and those that reach a stopping
// instance.
func TestDelegateDeclines(t *testing.T) {
	c := qt.New(t)
	leader, all, _ := delegatingInstances(t, 2)
	in := all[1-leader]
	type result struct {
		accepted bool
		highest  uint64
	}
	ask := func(epoch uint64, prepare func()) result {
		got, err := runInLoop(context.Background(), in.Node, dutyRequests, func() result {
			prepare()
			term, highest := in.delegatedTermOf(epoch, "127.0.0.1:1")
			return result{term != nil, highest}
		})
		c.Assert(err, qt.IsNil)
		return got
	}
	epoch := ask(0, func() {}).highest
	c.Assert(epoch > 0, qt.IsTrue)
	c.Assert(ask(epoch, func() {}), qt.Equals, result{true, epoch})
	c.Assert(ask(epoch-1, func() {}), qt.Equals, result{false, epoch})
	c.Assert(ask(epoch, func() { in.resumedMS = in.now().MS }), qt.Equals, result{false, epoch})
	c.Assert(ask(epoch, func() { in.resumedMS = in.now().MS - milliseconds(resumeQuarantine) }), qt.Equals, result{true, epoch})
	c.Assert(ask(epoch, func() { in.stopping.Store(true) }), qt.Equals, result{false, epoch})
	waitFor(t, "the leader makes its calls itself", func() bool { return activeDelegates(all[leader]) == 0 })
	in.stopping.Store(false)
	// The calls of an abandoned term end.
	old, err := runInLoop(context.Background(), in.Node, dutyRequests, func() *delegatedTerm { return in.delegated })
	c.Assert(err, qt.IsNil)
	c.Assert(ask(epoch+1, func() {}), qt.Equals, result{true, epoch + 1})
	c.Assert(old.ctx.Err(), qt.IsNotNil)
}

// TestQueuedCallsExpire guards against a leader that was suspended and then
// sends calls that it had queued before: it may have been deposed meanwhile.
func TestQueuedCallsExpire(t *testing.T) {
	c := qt.New(t)
	leader, all, workers := delegatingInstances(t, 2)
	in := all[leader]
	d := in.term.delegation
	call := workerCall{command: planner.Start{Worker: "w", Task: jobs.Task{Job: "stale"}, Run: 1, Token: 1 << 60}, sentMS: in.now().MS - milliseconds(delegateQueueLimit) - 1}
	_, err := runInLoop(context.Background(), in.Node, dutyRequests, func() bool { return d.offer(call) })
	c.Assert(err, qt.IsNil)
	waitFor(t, "the delegate is out of use", func() bool { return activeDelegates(in) == 0 })
	time.Sleep(5 * callBatchInterval)
	for _, w := range workers {
		c.Assert(w.starts.Load(), qt.Equals, int64(0))
	}
}

// TestCallsSurviveEncoding guards against fields that are lost between the
// leader and its delegate.
func TestCallsSurviveEncoding(t *testing.T) {
	c := qt.New(t)
	task := jobs.Task{Job: "j", Occurrence: 1, Step: 2, Index: 3}
	for _, command := range []planner.Effect{
		planner.Hold{Worker: "w", Address: "a", Token: 9, AckNumber: 4, LeaseEndMS: 5, WaitMS: 6},
		planner.Start{Worker: "w", Address: "a", Token: 9, Task: task, Run: 7, Payload: "p", LeaseEndMS: 5, Checkpoint: "c", Ticket: "t", DataCentre: "z"},
		planner.Stop{Worker: "w", Address: "a", Token: 9, Task: task, Run: 7},
		planner.Pace{Worker: "w", Address: "a", Token: 9, Task: task, Run: 7, Percent: 40},
	} {
		got, ok := decodeCall(encodeCall(1, command, 0))
		c.Assert(ok, qt.IsTrue)
		c.Assert(got, qt.Equals, command)
	}
	report := planner.Report{StartedMS: 1, ClockMS: 2,
		Running:   []planner.RunningTask{{Task: task, Run: 3, Checkpoint: "c", Percent: 50, Usage: 60}},
		Ended:     []planner.EndedTask{{Number: 4, Task: task, Run: 3, Kind: planner.EndLapsed, Checkpoint: "d"}},
		MoreEnded: true,
	}
	outcome, ok := decodeOutcome(encodeOutcome(1, planner.Done))
	c.Assert(ok, qt.IsTrue)
	c.Assert(outcome, qt.Equals, planner.Done)
	got, ok := new(heldReport).decode(1, new(reportBase).encode(1, 0, report))
	c.Assert(ok, qt.IsTrue)
	c.Assert(got, qt.DeepEquals, report)
	_, ok = decodeOutcome(encodeOutcome(1, planner.Outcome(200)))
	c.Assert(ok, qt.IsFalse)
	_, ok = decodeCall(nil)
	c.Assert(ok, qt.IsFalse)
}

// Guards against outcomes that a delegate drops while the leader does not confirm
// them: those that follow would tell the leader that it has all earlier ones.
func TestOutcomesAreSentUntilConfirmed(t *testing.T) {
	c := qt.New(t)
	n := startLoop(t, nil)
	var refuse atomic.Int64
	refuse.Store(2)
	got := make(chan uint64, 10)
	_, handler := nodev1connect.NewNodeServiceHandler(&confirmingLeader{refuse: &refuse, got: got})
	server := httptest.NewServer(handler)
	defer server.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	term := &delegatedTerm{epoch: 1, leader: strings.TrimPrefix(server.URL, "http://"), ctx: ctx, outcomes: ring.New[queuedOutcome](outcomeRingSize)}
	go n.reportOutcomes(term)
	n.queueOutcome(term, encodeOutcome(1, planner.Done))
	waitFor(t, "the batch is refused twice", func() bool { return refuse.Load() <= 0 })
	n.queueOutcome(term, encodeOutcome(2, planner.Done))
	c.Assert(<-got, qt.Equals, uint64(1))
	c.Assert(<-got, qt.Equals, uint64(2))
	waitFor(t, "the wait is measured", func() bool { return n.load.maxOutcomeWaitMS.Load() >= 2*milliseconds(retryPause) })
}

// confirmingLeader is a leader that refuses the first batches.
type confirmingLeader struct {
	nodev1connect.UnimplementedNodeServiceHandler
	refuse *atomic.Int64
	got    chan uint64
}

func (l *confirmingLeader) ReportCalls(_ context.Context, r *connect.Request[nodev1.ReportCallsRequest]) (*connect.Response[nodev1.ReportCallsResponse], error) {
	if l.refuse.Add(-1) >= 0 {
		return nil, connect.NewError(connect.CodeUnavailable, context.DeadlineExceeded)
	}
	for _, o := range r.Msg.GetOutcomes() {
		l.got <- o.GetId()
	}
	return connect.NewResponse(&nodev1.ReportCallsResponse{}), nil
}
