package node

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
	"redwingvale/internal/ring"
	"redwingvale/internal/telemetry"
)

// operatorRecords is a source of operators' records that keeps all changes.
type operatorRecords struct {
	fixedManifest
	mu      sync.Mutex
	changes []Change
	changed chan struct{}
	// unreadable makes all reads fail.
	unreadable atomic.Bool
}

func newOperatorRecords() *operatorRecords {
	return &operatorRecords{fixedManifest: fixedManifest{version: 1}, changed: make(chan struct{})}
}

func (s *operatorRecords) put(change Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *operatorRecords) evacuate(dataCentre string) { s.put(Change{Begun: []string{dataCentre}}) }
func (s *operatorRecords) withdraw(dataCentre string) { s.put(Change{Ended: []string{dataCentre}}) }

func (s *operatorRecords) Manifest(ctx context.Context) (Change, int64, error) {
	if s.unreadable.Load() {
		return Change{}, 0, ErrUnavailable
	}
	out, _, err := s.fixedManifest.Manifest(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range s.changes {
		out.Begun = append(out.Begun, change.Begun...)
		out.Begun = slices.DeleteFunc(out.Begun, func(d string) bool { return slices.Contains(change.Ended, d) })
	}
	return out, int64(len(s.changes)), err
}

func (s *operatorRecords) AwaitChange(ctx context.Context, from int64, wait time.Duration) (Change, int64, error) {
	timeout := time.After(wait)
	for {
		if s.unreadable.Load() {
			return Change{}, from, ErrUnavailable
		}
		s.mu.Lock()
		changed := s.changed
		if from < int64(len(s.changes)) {
			defer s.mu.Unlock()
			return s.changes[from], from + 1, nil
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			return Change{}, from, nil
		case <-ctx.Done():
			return Change{}, from, ctx.Err()
		}
	}
}

func evacuatingConfig() Config {
	config := DefaultConfig()
	config.Bounds.EvacuateInForceMS = 5000
	return config
}

func (in *instance) inForce(dataCentre string) bool {
	current := in.evacuations.Load()
	if current == nil {
		return false
	}
	_, ok := current.since[dataCentre]
	return ok
}

func submitTask(t *testing.T, in *instance, id jobs.ID) {
	t.Helper()
	waitFor(t, "the submission is accepted", func() bool {
		encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 1, CPUMilli: 100, EstimateMS: 50}}})
		qt.Assert(t, err, qt.IsNil)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		return in.submitLocal(ctx, id, encoded, 0).Code == 0
	})
}

func (w *instantWorkers) startCount() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}

// Guards against a start in a data centre under evacuation by the leader, by its
// successor, and after a restart of all instances; and against a withdrawal that
// does not end the evacuation.
func TestEvacuationSurvivesLeaders(t *testing.T) {
	c := qt.New(t)
	log, source, workers := newMemoryLog(), newOperatorRecords(), newInstantWorkers()
	workers.dataCentre = "z"
	a := startInstanceWith(t, "a", log, source, workers, evacuatingConfig())
	b := startInstanceWith(t, "b", log, source, workers, evacuatingConfig())
	waitFor(t, "both are ready", func() bool { return a.Ready() && b.Ready() && leaderOf(a, b) != nil })
	submitTask(t, leaderOf(a, b), "0000000000000001")
	waitFor(t, "the first job is done", func() bool { return completed(a, []jobs.ID{"0000000000000001"}) })
	source.evacuate("z")
	waitFor(t, "the request is in force", func() bool { return a.inForce("z") && b.inForce("z") })
	before := workers.startCount()
	leader, other := leaderOf(a, b), b
	if leader == b {
		other = a
	}
	submitTask(t, leader, "0000000000000002")
	leader.stop()
	<-leader.done
	waitFor(t, "the other leads", other.isLeader)
	time.Sleep(300 * time.Millisecond)
	other.stop()
	<-other.done
	again := startInstanceWith(t, "c", log, source, workers, evacuatingConfig())
	waitFor(t, "a new instance leads", func() bool { return again.Ready() && again.isLeader() })
	c.Assert(again.inForce("z"), qt.IsTrue)
	time.Sleep(300 * time.Millisecond)
	c.Assert(workers.startCount(), qt.Equals, before)
	source.withdraw("z")
	waitFor(t, "the second job is done", func() bool { return completed(again, []jobs.ID{"0000000000000002"}) })
}

// Guards against a leader that starts tasks before it has read the operators'
// records, and against one that waits for them without end.
func TestFirstPlacementAwaitsOperatorRecords(t *testing.T) {
	c := qt.New(t)
	log, source, workers := newMemoryLog(), newOperatorRecords(), newInstantWorkers()
	config := evacuatingConfig()
	config.Bounds.EvacuateInForceMS = 2000
	a := startInstanceWith(t, "a", log, source, workers, config)
	waitFor(t, "the instance is ready", func() bool { return a.Ready() && a.isLeader() })
	submitTask(t, a, "0000000000000001")
	waitFor(t, "the job is done", func() bool { return completed(a, []jobs.ID{"0000000000000001"}) })
	a.stop()
	<-a.done
	// The next instance reads a job of the log, and no operators' records.
	spec := &jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 1, CPUMilli: 100}}, Policy: &jobs.Policy{Service: "s"}}
	encoded, err := jobs.EncodeJob(spec)
	c.Assert(err, qt.IsNil)
	_, err = log.forInstance("x").Append(context.Background(), Append{Records: []jobs.Record{jobs.SubmissionRecord("0000000000000002", encoded)}, ExpectedEnd: -1})
	c.Assert(err, qt.IsNil)
	source.unreadable.Store(true)
	before := workers.startCount()
	b := startInstanceWith(t, "b", log, source, workers, config)
	waitFor(t, "the next instance leads", b.isLeader)
	began := time.Now()
	waitFor(t, "the job starts", func() bool { return workers.startCount() > before })
	c.Assert(time.Since(began) > 1500*time.Millisecond, qt.IsTrue, qt.Commentf("after %s", time.Since(began)))
}

// Guards against starts that were planned before the evacuation: a delegate
// declines them by its own reading, also if the leader cannot read, and a call of
// an earlier release, which names no data centre, is made.
func TestDelegateDeclinesEvacuatedStart(t *testing.T) {
	c := qt.New(t)
	workers := newInstantWorkers()
	tele := telemetry.New("rwnode", "a", &bytes.Buffer{})
	defer tele.Close()
	n := New(evacuatingConfig(), Deps{Workers: workers}, tele)
	term := &delegatedTerm{epoch: 1, ctx: context.Background(), outcomes: ring.New[queuedOutcome](outcomeRingSize), reports: newReportBases()}
	call := func(dataCentre string) planner.Outcome {
		n.makeDelegatedCall(term, encodeCall(1, planner.Start{Worker: "w", Task: jobs.Task{Job: "j"}, Run: 1, DataCentre: dataCentre}, 0))
		outcome, ok := decodeOutcome((<-term.outcomes.Receive()).outcome)
		c.Assert(ok, qt.IsTrue)
		return outcome
	}
	c.Assert(call("z"), qt.Equals, planner.Done)
	n.applyEvacuations(&Change{Complete: true, Begun: []string{"z"}})
	c.Assert(call("z"), qt.Equals, planner.Evacuated)
	c.Assert(call("other"), qt.Equals, planner.Done)
	c.Assert(call(""), qt.Equals, planner.Done)
	n.applyEvacuations(&Change{Ended: []string{"z"}})
	c.Assert(call("z"), qt.Equals, planner.Done)
	c.Assert(workers.count, qt.Equals, int64(4))
}

// Guards against a queued start that the leader sends after the evacuation is in
// force at it, but before its planner knows.
func TestLeaderDeclinesQueuedStart(t *testing.T) {
	s, _ := newLateSite(t)
	s.n.config.Bounds.EvacuateInForceMS = 5000
	s.n.applyEvacuations(&Change{Complete: true, Begun: []string{"z"}})
	sent := len(s.starts)
	s.n.dispatch(s.n.term, workerCall{command: planner.Start{Worker: "w1", Task: jobs.Task{Job: "x"}, Run: 1, DataCentre: "z"}, sentMS: s.n.now().MS})
	event := <-s.n.ring.Receive()
	event.run()
	s.advance(100)
	s.Assert(s.starts, qt.HasLen, sent)
}

// Guards against requests that are lost, kept or invented when records are read
// again, dropped from the history, or malformed.
func TestEvacuationsFollowTheRecords(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	tele := telemetry.New("rwnode", "a", &out)
	defer tele.Close()
	n := New(evacuatingConfig(), Deps{}, tele)
	check := func(change Change, want ...string) {
		t.Helper()
		n.applyEvacuations(&change)
		var got []string
		if current := n.evacuations.Load(); current != nil {
			for d := range current.since {
				got = append(got, d)
			}
		}
		slices.Sort(got)
		c.Assert(got, qt.DeepEquals, want)
	}
	lines := func(event string) int { return strings.Count(out.String(), "event="+event+" ") }
	check(Change{})
	c.Assert(n.evacuations.Load(), qt.IsNil)
	check(Change{Complete: true, Begun: []string{"a"}}, "a")
	since := n.evacuations.Load().since["a"]
	check(Change{Begun: []string{"a", "b"}}, "a", "b")
	c.Assert(n.evacuations.Load().since["a"], qt.Equals, since)
	check(Change{}, "a", "b")
	check(Change{Ended: []string{"a", "never"}}, "b")
	check(Change{Begun: []string{"a"}}, "a", "b")
	check(Change{Complete: true, Begun: []string{"a"}}, "a")
	for range 3 {
		check(Change{Begun: []string{"a"}, Invalid: []InvalidRecord{{"evacuate/", "empty"}}}, "a")
	}
	check(Change{Complete: true})
	c.Assert(lines("evacuation_begins"), qt.Equals, 3)
	c.Assert(lines("evacuation_ends"), qt.Equals, 3)
	c.Assert(lines("evacuation_invalid"), qt.Equals, 1)
}

// Guards against a deployment whose settings do not ask for evacuations and whose
// instances still stop using a data centre.
func TestEvacuationsAreOffByDefault(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	tele := telemetry.New("rwnode", "a", &out)
	defer tele.Close()
	n := New(DefaultConfig(), Deps{}, tele)
	n.applyEvacuations(&Change{Complete: true, Begun: []string{"a"}})
	n.applyEvacuations(&Change{Begun: []string{"a"}})
	c.Assert(n.declines(planner.Start{DataCentre: "a"}), qt.IsFalse)
	c.Assert(strings.Count(out.String(), "event=evacuation_ignored"), qt.Equals, 1)
	c.Assert(out.String(), qt.Contains, "level=warn")
}

// Guards against a request for a misspelt data centre that stays unnoticed, and
// against a list for operators that does not match what is in force.
func TestListEvacuations(t *testing.T) {
	c := qt.New(t)
	source, workers := newOperatorRecords(), newInstantWorkers()
	workers.dataCentre = "z"
	a := startInstanceWith(t, "a", newMemoryLog(), source, workers, evacuatingConfig())
	waitFor(t, "the instance is ready", func() bool { return a.Ready() && a.isLeader() })
	source.put(Change{Begun: []string{"nowhere", "z"}})
	waitFor(t, "the request is in force", func() bool { return a.inForce("z") })
	list := func() *nodev1.ListEvacuationsResponse {
		response, err := (&peerServer{a.Node}).ListEvacuations(context.Background(), connect.NewRequest(&nodev1.ListEvacuationsRequest{}))
		c.Assert(err, qt.IsNil)
		return response.Msg
	}
	waitFor(t, "the planner knows", func() bool {
		m := list()
		return len(m.GetEvacuations()) == 2 && m.GetEvacuations()[1].GetWorkers() == 1
	})
	m := list()
	c.Assert(m.GetLeading() && m.GetEnabled() && m.GetRecordsRead(), qt.IsTrue)
	c.Assert(m.GetEvacuations()[0].GetDataCentre(), qt.Equals, "nowhere")
	c.Assert(m.GetEvacuations()[1].GetSinceUnixMs() > 0, qt.IsTrue)
	lookedUp, err := runInLoop(context.Background(), a.Node, dutyRequests, func() []bool {
		return []bool{a.term.core.HasWorkersIn("z"), a.term.core.HasWorkersIn("nowhere")}
	})
	c.Assert(err, qt.IsNil)
	c.Assert(lookedUp, qt.DeepEquals, []bool{true, false})
}
