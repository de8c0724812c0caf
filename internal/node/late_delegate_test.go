package node

import (
	"context"
	"io"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"

	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
	"redwingvale/internal/ring"
	"redwingvale/internal/telemetry"
)

// lateSite is a leader without an event loop, on a clock that the test advances. It
// has the workers w1 and w2, and delegates that answer when the test lets them.
type lateSite struct {
	*qt.C
	n         *Node
	d         *delegation
	delegates []*delegate
	queues    []planner.Queue
	// late are the delegates that have stopped to report, with their outcomes.
	late map[*delegate][]*nodev1.CallOutcome
	// owner names the delegates to which a worker's calls go, in order of preference.
	owner  map[planner.WorkerID][]*delegate
	starts []planner.Start
	// unreachable is set once w1 responds to no call, except by those that it got before.
	unreachable bool
	ended       []planner.EndedTask
	running     map[planner.WorkerID][]planner.RunningTask
	unanswered  []unansweredCall
}

// unansweredCall is a call that ends without a response.
type unansweredCall struct {
	delegate *delegate
	id       uint64
	endMS    int64
}

const (
	stepMS = 20
	// silentCallMS is how long a delegate waits for a worker that does not respond.
	silentCallMS = 900
)

// newLateSite returns a site whose w1 runs a task. w2 is called by the last delegate.
func newLateSite(t *testing.T) (s *lateSite, delegates []*delegate) {
	t.Helper()
	tele := telemetry.New("rwnode", "a", io.Discard)
	t.Cleanup(func() { tele.Close() })
	config := DefaultConfig()
	config.Instance, config.DelegationMinWorkers = "a", 1
	n := New(config, Deps{}, tele)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	n.term = &term{epoch: 1, core: planner.New(config.plannerConfig(true), n.stateMachine, 1, n.now()), ctx: ctx, stop: stop, writes: ring.New[planner.Write](1)}
	d := newDelegation(n, n.term)
	n.term.delegation = d
	s = &lateSite{C: qt.New(t), n: n, d: d, late: map[*delegate][]*nodev1.CallOutcome{}, running: map[planner.WorkerID][]planner.RunningTask{}}
	for _, name := range []string{"g1", "g2", "g3", "g4", "g5"} {
		g := &delegate{name: name, calls: ring.New[queuedCall](ringSize), states: ring.New[planner.JobStateChanged](ringSize)}
		d.delegates[name] = g
		delegates = append(delegates, g)
	}
	s.delegates = delegates
	s.owner = map[planner.WorkerID][]*delegate{"w1": delegates, "w2": delegates[len(delegates)-1:]}
	infos := []planner.WorkerInfo{s.info("w1"), s.info("w2")}
	d.setWorkers(infos)
	d.startedMS -= milliseconds(gatherTime)
	d.setActive(slices.Clone(delegates))
	s.assign()
	change, _, err := (&fixedManifest{version: 1}).Manifest(ctx)
	s.Assert(err, qt.IsNil)
	s.queues = []planner.Queue{change.Manifest.Queues[0].Queue}
	n.step(planner.QueuesChanged{Queues: s.queues})
	n.step(planner.WorkersChanged{Workers: infos})
	// A lease of a predecessor would be over by now.
	s.advance(int64(config.Bounds.MaxLeaseMS))
	encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 1, CPUMilli: 3000, EstimateMS: 900}}})
	s.Assert(err, qt.IsNil)
	n.step(planner.SubmitRequested{RequestID: 1, ID: "j", Encoded: encoded})
	s.advance(500)
	s.Assert(s.starts, qt.HasLen, 1)
	s.Assert(s.starts[0].Worker, qt.Equals, planner.WorkerID("w1"))
	return s, delegates
}

// info describes a worker. The task fits on w2 only while w1 is not used.
func (s *lateSite) info(id planner.WorkerID) planner.WorkerInfo {
	room := planner.Resources{CPUMilli: 64_000, MemoryMB: 64_000}
	if id == "w2" {
		room.CPUMilli = 3000
	}
	return planner.WorkerInfo{ID: id, Address: string(id), Service: "s", Capacity: room, StartedMS: 1}
}

// assign gives each worker its first delegate that is active.
func (s *lateSite) assign() {
	for id, owners := range s.owner {
		for _, g := range owners {
			if slices.Contains(s.d.active, g) {
				s.d.release(id)
				s.d.byWorker[id] = g
				g.workers++
				break
			}
		}
	}
}

// moveClock moves the leader's clock.
func (s *lateSite) moveClock(ms int64) {
	k := *s.n.clock.calibration.Load()
	k.boot += millisecondsDuration(ms)
	s.n.clock.calibration.Store(&k)
}

// advance lets time pass.
func (s *lateSite) advance(ms int64) {
	for ; ms > 0; ms -= stepMS {
		s.moveClock(stepMS)
		now := s.n.now().MS
		s.n.step(planner.LeadershipAsOf{MS: now})
		for s.n.term.writes.Len() > 0 {
			w := <-s.n.term.writes.Receive()
			s.n.apply(Batch{From: s.n.appliedEnd, Records: w.Records, End: s.n.appliedEnd + int64(len(w.Records))})
			s.n.step(planner.WriteDone{Seq: w.Seq})
		}
		for _, g := range s.delegates {
			for range g.calls.Len() {
				s.answer(g, <-g.calls.Receive())
			}
		}
		s.unanswered = slices.DeleteFunc(s.unanswered, func(u unansweredCall) bool {
			if u.endMS <= now {
				s.deliver(u.delegate, encodeOutcome(u.id, planner.OutcomeUnknown))
			}
			return u.endMS <= now
		})
		s.n.tick(now)
		s.assign()
	}
}

// answer carries a call out and passes its outcome on.
func (s *lateSite) answer(g *delegate, q queuedCall) {
	command, ok := decodeCall(encodeCall(q.id, q.call.command, q.knownReport))
	if !ok {
		s.deliver(g, encodeOutcome(q.id, planner.Invalid))
		return
	}
	if s.unreachable && q.call.worker() == "w1" {
		s.unanswered = append(s.unanswered, unansweredCall{g, q.id, s.n.now().MS + silentCallMS})
		return
	}
	outcome := encodeOutcome(q.id, planner.Done)
	switch e := command.(type) {
	case planner.Start:
		s.starts = append(s.starts, e)
		s.running[e.Worker] = []planner.RunningTask{{Task: e.Task, Run: e.Run}}
	case planner.Hold:
		report := planner.Report{StartedMS: 1, ClockMS: s.n.now().MS, Running: s.running[e.Worker]}
		if e.Worker == "w1" {
			report.Ended = s.ended
		}
		outcome.Report = new(reportBase).encode(q.id, 0, report)
	}
	s.deliver(g, outcome)
}

// deliver passes an outcome to the leader, unless the delegate is late.
func (s *lateSite) deliver(g *delegate, outcome *nodev1.CallOutcome) {
	if held, late := s.late[g]; late {
		s.late[g] = append(held, outcome)
		return
	}
	s.d.outcomeArrived(outcome, s.n.now().MS)
}

// makeLate stops a delegate's reports, catchUp sends those that have waited.
func (s *lateSite) makeLate(g *delegate) { s.late[g] = nil }

func (s *lateSite) catchUp(g *delegate) {
	held := s.late[g]
	delete(s.late, g)
	for _, outcome := range held {
		s.deliver(g, outcome)
	}
}

// endTask ends the task that w1 runs as done.
func (s *lateSite) endTask() {
	delete(s.running, "w1")
	s.ended = []planner.EndedTask{{Number: 1, Task: s.starts[0].Task, Run: s.starts[0].Run, Kind: planner.EndDone}}
}

func (s *lateSite) state() jobs.State {
	state, _ := s.n.term.core.State("j")
	return state
}

// Guards against a task that starts again although its run has ended as done: the
// report with the end waited at one late delegate after the other, while the leader
// took the worker for silent and its lease for over.
func TestLeaseIsNotOverWhileAReportWaitsAtADelegate(t *testing.T) {
	s, delegates := newLateSite(t)
	for _, g := range delegates[:len(delegates)-1] {
		s.makeLate(g)
	}
	s.endTask()
	s.advance(10_000)
	s.Check(s.starts, qt.HasLen, 1)
	s.Check(s.state(), qt.Equals, jobs.Completed)
}

// Guards against a report that is thrown away because its delegate is late: the end
// in it was the last that the worker could tell.
func TestLateReportCounts(t *testing.T) {
	s, delegates := newLateSite(t)
	s.makeLate(delegates[0])
	s.endTask()
	s.advance(100)
	s.unreachable = true
	s.advance(3000)
	s.Assert(slices.Contains(s.d.active, delegates[0]), qt.IsFalse)
	s.catchUp(delegates[0])
	s.advance(8000)
	s.Check(s.starts, qt.HasLen, 1)
	s.Check(s.state(), qt.Equals, jobs.Completed)
}

// Guards against a lost worker whose tasks wait longer than its lease, because
// delegates are in between, or because its delegate was lost with it.
func TestLostWorkerIsNoticedThroughDelegates(t *testing.T) {
	for _, delegateLost := range []bool{false, true} {
		s, delegates := newLateSite(t)
		if delegateLost {
			s.makeLate(delegates[0])
		}
		s.unreachable = true
		leaseMS := s.n.config.LeaseMS
		s.advance(leaseMS)
		s.Check(s.starts, qt.HasLen, 1)
		// The planner renews a lease for 1.6 s after the last report, and allows for
		// clocks that differ by 3%.
		s.advance(1600 + leaseMS*3/100 + 2*milliseconds(delegateCheckInterval))
		s.Check(s.starts, qt.HasLen, 2, qt.Commentf("delegate lost: %v", delegateLost))
	}
}

// Guards against a leader that is late and fails every delegate for it: their
// outcomes wait in its own queue.
func TestLateLeaderFailsNoDelegate(t *testing.T) {
	s, delegates := newLateSite(t)
	for _, g := range delegates {
		s.makeLate(g)
	}
	s.advance(stepMS)
	s.n.lastPostedMS = s.n.now().MS
	s.n.post(context.Background(), dutyReports, func() {
		for _, g := range delegates {
			s.catchUp(g)
		}
	})
	s.moveClock(2 * milliseconds(outcomeTimeout+delegateSilence))
	s.d.tick()
	s.Check(s.d.active, qt.HasLen, len(delegates))
	event := <-s.n.ring.Receive()
	event.run()
	s.d.tick()
	s.Check(s.d.active, qt.HasLen, len(delegates))

	// Outcomes that do not wait here are overdue.
	s.makeLate(delegates[0])
	s.advance(2 * milliseconds(outcomeTimeout))
	s.Check(s.d.active, qt.HasLen, len(delegates)-1)
}

// Guards against a delegate that is late without a trace, on the leader and where it
// runs.
func TestLoadNamesLateDelegates(t *testing.T) {
	s, delegates := newLateSite(t)
	core, logs := observer.New(zap.InfoLevel)
	s.n.tele.Log = zap.New(core)
	s.n.reportLoad(s.n.now().MS)
	const late = 1000
	s.makeLate(delegates[0])
	s.advance(late + milliseconds(delegateCheckInterval))
	s.catchUp(delegates[0])
	s.n.reportLoad(s.n.now().MS)
	lines := logs.FilterMessage("load").All()
	fields := fieldsOf(lines[len(lines)-1])
	s.Check(fields["delegate_lag_max_ms"] >= late, qt.IsTrue, qt.Commentf("%v", fields))

	s.n.term = nil
	s.n.load.reported(milliseconds(lagWarning))
	s.n.load.reported(1)
	s.n.reportLoad(s.n.now().MS)
	s.n.reportLoad(s.n.now().MS)
	rest := logs.FilterMessage("load").All()[len(lines):]
	s.Assert(rest, qt.HasLen, 1)
	s.Check(fieldsOf(rest[0])["outcome_wait_max_ms"], qt.Equals, milliseconds(lagWarning))
}

// Guards against an order of late delegates in which a task whose worker responds
// starts again, and against calls that never leave the delegates' books: then no
// lease would ever count as over.
func TestLateDelegatesStartNothingAgain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, delegates := newLateSite(t)
		endsAt := rapid.IntRange(0, 40).Draw(rt, "ends at")
		for i := range 50 {
			if i == endsAt {
				s.endTask()
			}
			for _, g := range delegates[:len(delegates)-1] {
				_, late := s.late[g]
				switch rapid.IntRange(0, 19).Draw(rt, "change") {
				case 0, 1, 2:
					if !late {
						s.makeLate(g)
					}
				case 3:
					s.catchUp(g)
				}
			}
			s.advance(int64(stepMS * rapid.IntRange(1, 30).Draw(rt, "steps")))
			if len(s.starts) > 1 {
				rt.Fatalf("started again, last on %s", s.starts[len(s.starts)-1].Worker)
			}
			s.checkHolds(rt)
		}
		for _, g := range delegates {
			s.catchUp(g)
		}
		s.advance(s.n.config.LeaseMS + milliseconds(2*outcomeTimeout))
		if s.state() != jobs.Completed {
			rt.Fatalf("the job is %s", s.state())
		}
		if behind := s.n.now().MS - s.d.handledMS(); behind > 2*milliseconds(delegateCheckInterval) {
			rt.Fatalf("handled up to %d ms ago", behind)
		}
	})
}

// checkHolds compares the numbers of hold calls with the calls themselves.
func (s *lateSite) checkHolds(rt *rapid.T) {
	counted, given := map[*delegate]int{}, 0
	for _, call := range s.d.pending {
		if call.counted {
			counted[call.delegate]++
		}
		if call.counted && call.givenUpMS > 0 {
			given++
		}
	}
	for _, ids := range s.d.givenUp {
		given -= len(ids)
	}
	if given != 0 {
		rt.Fatalf("%d calls that were given up are not listed", given)
	}
	for _, g := range s.delegates {
		if g.holds != counted[g] {
			rt.Fatalf("%s has %d hold calls, counted as %d", g.name, counted[g], g.holds)
		}
	}
}

// Guards against a new leader that starts a task again whose run has ended as done:
// the worker's first report waited at a delegate for longer than the leases of the
// predecessor could last.
func TestTakeoverWaitsForReportsAtDelegates(t *testing.T) {
	s, delegates := newLateSite(t)
	s.endTask()
	s.takeOver()
	for _, g := range delegates[:len(delegates)-1] {
		s.makeLate(g)
	}
	s.advance(10_000)
	s.Check(s.starts, qt.HasLen, 1)
	s.Check(s.state(), qt.Equals, jobs.Completed)
}

// takeOver begins another term on the same log. Its delegates have no calls of it.
func (s *lateSite) takeOver() {
	n := s.n
	config := n.config.plannerConfig(false)
	config.PriorLeaseMS = config.LeaseMS
	old := n.term
	n.term = &term{epoch: 2, core: planner.New(config, n.stateMachine, 2, n.now()), ctx: old.ctx, stop: old.stop, writes: ring.New[planner.Write](1)}
	s.d = newDelegation(n, n.term)
	n.term.delegation = s.d
	infos := []planner.WorkerInfo{s.info("w1"), s.info("w2")}
	s.d.setWorkers(infos)
	s.d.startedMS -= milliseconds(gatherTime)
	for _, g := range s.delegates {
		*g = delegate{name: g.name, calls: ring.New[queuedCall](ringSize), states: g.states}
		s.d.delegates[g.name] = g
	}
	s.d.setActive(slices.Clone(s.delegates))
	s.assign()
	n.step(planner.QueuesChanged{Queues: s.queues})
	n.step(planner.WorkersChanged{Workers: infos})
}
