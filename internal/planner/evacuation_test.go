package planner

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// evacuationSite is a core with workers in data centres a and b that carry out
// every call at once and report each 100 ms.
type evacuationSite struct {
	*harness
	*qt.C
	infos  []WorkerInfo
	starts []Start
	stops  []stopAt
	// decline lists the data centres in which starts are declined.
	decline map[string]bool
	// ending holds the ends that workers have not reported.
	ending    map[WorkerID][]EndedTask
	lastEnd   int64
	decisions []Decision
	asked     []WorkerID
	// stopTakesMS is how long a stop takes.
	stopTakesMS int64
}

type stopAt struct {
	atMS int64
	task jobs.Task
	run  int
}

func newEvacuationSite(t *testing.T, workers ...string) *evacuationSite {
	s := &evacuationSite{harness: newHarness(safeguards{}), C: qt.New(t), decline: map[string]bool{}, ending: map[WorkerID][]EndedTask{}}
	s.core.config.EvacuateMS, s.core.config.StopTimeoutMS, s.core.config.RestoreMS = 5000, 500, 500
	for _, id := range workers {
		s.infos = append(s.infos, WorkerInfo{
			ID: WorkerID(id), Address: id, Service: "s", DataCentre: id[:1], Labels: []string{"only-" + id[:1]},
			Capacity: Resources{CPUMilli: 16_000, MemoryMB: 64_000}, StartedMS: 1,
		})
	}
	s.handle(s.step(QueuesChanged{Queues: []Queue{testQueue}}))
	s.handle(s.step(WorkersChanged{Workers: s.infos}))
	s.run(200)
	return s
}

func (s *evacuationSite) handle(effects []Effect) {
	effects = slices.Clone(effects)
	s.confirmWrites(slices.DeleteFunc(slices.Clone(effects), func(e Effect) bool { _, ok := e.(Write); return !ok }))
	for _, e := range effects {
		switch e := e.(type) {
		case Start:
			outcome := Done
			if s.decline[e.DataCentre] {
				outcome = Evacuated
			} else {
				s.starts = append(s.starts, e)
			}
			s.handle(s.step(StartDone{Worker: e.Worker, Address: e.Address, Task: e.Task, Run: e.Run, Token: e.Token, Outcome: outcome}))
		case Stop:
			if slices.ContainsFunc(s.stops, func(stop stopAt) bool { return stop.task == e.Task && stop.run == e.Run }) {
				// Sent again.
				continue
			}
			s.stops = append(s.stops, stopAt{s.now, e.Task, e.Run})
			s.lastEnd++
			s.ending[e.Worker] = append(s.ending[e.Worker], EndedTask{Number: s.lastEnd, Task: e.Task, Run: e.Run, Kind: EndStopped, Checkpoint: "c"})
			s.handle(s.step(StopDone{Worker: e.Worker, Address: e.Address, Task: e.Task, Run: e.Run, Outcome: Done}))
		case Decision:
			s.decisions = append(s.decisions, e)
		case Advise:
			s.asked = append(s.asked, e.Workers...)
		}
	}
}

// run lets time pass.
func (s *evacuationSite) run(ms int64) {
	for end := s.now + ms; s.now < end; {
		s.now += 20
		s.handle(s.step(Tick{}))
		if s.now%100 > 0 {
			continue
		}
		for _, info := range s.infos {
			report := Report{StartedMS: 1, ClockMS: s.now - 900_000}
			for _, r := range s.core.workers[info.ID].runs {
				if i := slices.IndexFunc(s.stops, func(stop stopAt) bool { return stop.task == r.ref && stop.run == r.number }); i >= 0 && s.now-s.stops[i].atMS >= s.stopTakesMS {
					continue
				}
				report.Running = append(report.Running, RunningTask{Task: r.task.ref(), Run: r.number, Percent: s.percent(r), Checkpoint: "c"})
			}
			for _, end := range s.ending[info.ID] {
				if !slices.ContainsFunc(report.Running, func(r RunningTask) bool { return r.Task == end.Task }) {
					report.Ended = append(report.Ended, end)
				}
			}
			s.handle(s.report(info, report))
		}
	}
}

// percent returns what a worker reports of a run, which takes as long as estimated.
func (s *evacuationSite) percent(r *run) int {
	if r.task.step.spec.LongRunning {
		return 100
	}
	return int(min(99, 100*(s.now-r.sentMS)/int64(r.task.step.spec.EstimateMS)))
}

func (s *evacuationSite) evacuate(dataCentres ...string) {
	s.handle(s.step(EvacuationsChanged{DataCentres: dataCentres}))
}

func (s *evacuationSite) submitSteps(t *testing.T, id jobs.ID, steps ...jobs.Step) {
	s.handle(s.submit(t, id, steps...))
}

// startsIn counts the starts in a data centre.
func (s *evacuationSite) startsIn(dataCentre string) (n int) {
	for _, start := range s.starts {
		if start.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

func (s *evacuationSite) events(name string) (out []Decision) {
	for _, d := range s.decisions {
		if d.Event == name {
			out = append(out, d)
		}
	}
	return out
}

// Guards against a start in a data centre under evacuation, against running tasks
// there that are stopped or lose their leases, and against a data centre that stays
// unused after the withdrawal.
func TestNothingStartsInEvacuatedDataCentre(t *testing.T) {
	s := newEvacuationSite(t, "a1", "b1")
	s.evacuate("a")
	s.submitSteps(t, "one", jobs.Step{Count: 12, CPUMilli: 2000, EstimateMS: 60_000})
	s.run(3000)
	s.Assert(s.startsIn("a"), qt.Equals, 0)
	s.Assert(s.startsIn("b"), qt.Equals, 8)
	s.evacuate()
	s.run(300)
	s.Assert(s.startsIn("a"), qt.Equals, 4)
	s.evacuate("a", "b")
	s.submitSteps(t, "two", jobs.Step{Count: 2, CPUMilli: 100, EstimateMS: 60_000})
	s.run(5000)
	s.Assert(s.starts, qt.HasLen, 12)
	s.Assert(s.stops, qt.HasLen, 0)
	for _, id := range []WorkerID{"a1", "b1"} {
		w := s.core.workers[id]
		s.Assert(len(w.runs) > 0, qt.IsTrue)
		s.Assert(w.leaseEndMS > w.clockMS+2000, qt.IsTrue)
	}
	s.evacuate("b")
	s.run(300)
	s.Assert(s.startsIn("a"), qt.Equals, 6)
}

// Guards against a worker that joins an evacuated data centre, or returns to it
// after a restart, and gets tasks.
func TestWorkerJoinsEvacuatedDataCentre(t *testing.T) {
	s := newEvacuationSite(t, "b1")
	s.evacuate("a")
	joined := s.infos[0]
	joined.ID, joined.Address, joined.DataCentre = "a1", "a1", "a"
	s.infos = append(s.infos, joined)
	s.handle(s.step(WorkersChanged{Workers: s.infos}))
	s.run(500)
	s.submitSteps(t, "one", jobs.Step{Count: 12, CPUMilli: 2000, EstimateMS: 60_000})
	s.run(500)
	s.Assert(s.startsIn("a"), qt.Equals, 0)
	s.Assert(s.startsIn("b"), qt.Equals, 8)
}

// Guards against a declined start that counts as a failure, makes the worker
// suspect or is repeated at once: the leader may not know of the evacuation yet.
func TestDeclinedStart(t *testing.T) {
	s := newEvacuationSite(t, "a1", "b1")
	s.evacuate()
	s.decline["a"] = true
	s.submitSteps(t, "one", jobs.Step{Count: 10, CPUMilli: 2000, EstimateMS: 60_000})
	s.run(900)
	s.Assert(s.startsIn("b"), qt.Equals, 8)
	declined := s.events("start_failed")
	s.Assert(len(declined) > 0 && len(declined) <= 10, qt.IsTrue, qt.Commentf("%d", len(declined)))
	s.Assert(declined[0].Reason, qt.Equals, "evacuated")
	w := s.core.workers["a1"]
	s.Assert(w.health.suspect, qt.IsFalse)
	s.Assert(w.runs, qt.HasLen, 0)
	s.Assert(w.used, qt.Equals, Resources{})
	for _, task := range s.core.jobs["one"].open[0].steps[0].tasks {
		s.Assert(task.avoided, qt.HasLen, 0)
	}
	s.Assert(s.core.jobs["one"].progress.Failures, qt.HasLen, 0)
	// Withdrawn: the data centre is used again at the next pass.
	s.decline["a"] = false
	s.evacuate()
	s.run(300)
	s.Assert(s.startsIn("a"), qt.Equals, 2)
}

// Guards against a leader that places tasks before it knows the evacuations, and
// against one that waits for them without end.
func TestPlacementAwaitsEvacuations(t *testing.T) {
	s := newEvacuationSite(t, "a1", "b1")
	s.submitSteps(t, "one", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 60_000})
	s.run(4000)
	s.Assert(s.starts, qt.HasLen, 0)
	s.Assert(s.events("evacuations_unread"), qt.HasLen, 0)
	s.run(2000)
	s.Assert(s.starts, qt.HasLen, 1)
	s.Assert(s.events("evacuations_unread"), qt.HasLen, 1)
	s = newEvacuationSite(t, "a1", "b1")
	s.submitSteps(t, "one", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 60_000})
	s.evacuate("a")
	s.run(200)
	s.Assert(s.startsIn("b"), qt.Equals, 1)
}

// Guards against a wait for a label that only the evacuated data centre has and
// that the log does not explain, and against a preference for a rack there, or for
// one rack, that keeps tasks from starting elsewhere.
func TestBoundToEvacuatedDataCentre(t *testing.T) {
	s := newEvacuationSite(t, "a1", "b1", "b2")
	s.evacuate("a")
	s.submitSteps(t, "bound", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 1000, Label: "only-a"})
	s.submitSteps(t, "rack", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 1000, Rack: "only-a"})
	s.submitSteps(t, "gang", jobs.Step{Count: 3, CPUMilli: 100, EstimateMS: 1000, Gang: true, SameRack: true})
	s.run(3000)
	s.Assert(s.startsIn("b"), qt.Equals, 4)
	s.Assert(s.core.racks(), qt.DeepEquals, []string{"only-b"})
	waits := s.events("step_waits")
	s.Assert(waits, qt.HasLen, 1)
	s.Assert(waits[0].Job, qt.Equals, jobs.ID("bound"))
	s.Assert(waits[0].Reason, qt.Contains, "evacuated:1,label:2")
	s.evacuate()
	s.run(300)
	s.Assert(s.startsIn("a"), qt.Equals, 1)
}

// Guards against a complete gang that is broken up, and against an incomplete one
// that waits for a data centre that it cannot use.
func TestGangDuringEvacuation(t *testing.T) {
	s := newEvacuationSite(t, "a1", "b1")
	s.evacuate()
	gang := jobs.Step{Count: 2, CPUMilli: 9000, EstimateMS: 60_000, Gang: true, Checkpointing: true}
	s.submitSteps(t, "complete", gang)
	s.run(300)
	s.Assert(s.starts, qt.HasLen, 2)
	s.evacuate("a")
	s.run(6000)
	s.Assert(s.stops, qt.HasLen, 0)
	s.Assert(s.core.Evacuations()[0].Gang, qt.Equals, 1)

	// A member whose start is declined is placed again with the same run number.
	s = newEvacuationSite(t, "a1", "b1")
	s.evacuate()
	s.decline["a"] = true
	small := gang
	small.CPUMilli = 7000
	s.submitSteps(t, "filled", jobs.Step{Count: 1, CPUMilli: 8000, EstimateMS: 60_000})
	s.run(300)
	s.submitSteps(t, "incomplete", small)
	s.run(4000)
	for _, start := range s.starts {
		s.Assert(start.DataCentre, qt.Equals, "b")
	}
}

// Guards against moves that take capacity from waiting tasks, exceed the budget of
// unavailable tasks, lose work, or come faster than allowed; and checks their order.
func TestMovesOffEvacuatedDataCentre(t *testing.T) {
	s := newEvacuationSite(t, "a1", "a2", "b1", "b2")
	s.evacuate("b")
	s.stopTakesMS = 1500
	s.submitSteps(t, "lax", jobs.Step{Count: 6, CPUMilli: 500, EstimateMS: 16_000, Checkpointing: true})
	s.submitSteps(t, "tight", jobs.Step{Count: 6, CPUMilli: 500, EstimateMS: 8000, Checkpointing: true})
	s.submitSteps(t, "plain", jobs.Step{Count: 2, CPUMilli: 500, EstimateMS: 12_000})
	s.submitSteps(t, "gang", jobs.Step{Count: 2, CPUMilli: 500, EstimateMS: 12_000, Gang: true, Checkpointing: true})
	s.run(500)
	s.Assert(s.startsIn("a"), qt.Equals, 16)
	s.evacuate("a")
	s.run(1400)
	s.Assert(s.stops, qt.HasLen, evacuationMovesAtOnce)
	for i, stop := range s.stops {
		if i > 0 {
			s.Assert(stop.atMS-s.stops[i-1].atMS >= evacuationMoveIntervalMS, qt.IsTrue)
		}
		want := jobs.ID("lax")
		if i < 6 {
			want = "tight"
		}
		s.Assert(stop.task.Job, qt.Equals, want)
	}
	s.run(8000)
	s.Assert(s.stops, qt.HasLen, 12)
	s.Assert(s.startsIn("b"), qt.Equals, 12)
	state := s.core.Evacuations()[0]
	s.Assert(state, qt.Equals, EvacuationState{DataCentre: "a", Workers: 2, Gang: 2, Other: 2, Moved: 12})
	s.Assert(s.core.EvacuatedRuns(), qt.Equals, 4)
	progress := s.events("evacuation_progress")
	s.Assert(len(progress) == 2 || len(progress) == 3, qt.IsTrue, qt.Commentf("%d", len(progress)))
}

// Guards against long-running tasks that are stopped beyond their budget.
func TestMovesOfLongRunningTasks(t *testing.T) {
	s := newEvacuationSite(t, "a1", "b1")
	s.evacuate("b")
	s.stopTakesMS = 300
	s.submitSteps(t, "budget", jobs.Step{Count: 4, CPUMilli: 500, EstimateMS: 300, LongRunning: true, MaxUnavailable: 1})
	s.submitSteps(t, "none", jobs.Step{Count: 2, CPUMilli: 500, EstimateMS: 300, LongRunning: true})
	s.run(500)
	s.Assert(s.startsIn("a"), qt.Equals, 6)
	s.evacuate("a")
	for range 100 {
		s.run(100)
		stopped := 0
		for _, w := range s.core.workers {
			for _, r := range w.runs {
				if r.phase == stopping {
					stopped++
				}
			}
		}
		s.Assert(stopped <= 1, qt.IsTrue)
	}
	s.Assert(s.startsIn("b"), qt.Equals, 4)
	s.Assert(s.core.Evacuations()[0].LongRunning, qt.Equals, 2)
}

// Guards against moves while tasks of the service wait for capacity or no other
// worker has room, and against a step that waits for the evacuated data centre and
// keeps all moves from being made.
func TestMovesWaitForCapacity(t *testing.T) {
	s := newEvacuationSite(t, "a1", "b1")
	s.evacuate("b")
	movable := jobs.Step{Count: 1, CPUMilli: 6000, EstimateMS: 30_000, Checkpointing: true}
	s.submitSteps(t, "movable", movable)
	s.run(300)
	s.evacuate("a")
	s.submitSteps(t, "filler", jobs.Step{Count: 1, CPUMilli: 11_000, EstimateMS: 60_000})
	s.run(1000)
	s.Assert(s.startsIn("b"), qt.Equals, 1)
	s.Assert(s.stops, qt.HasLen, 0)
	s.evacuate()
	s.run(200)
	s = newEvacuationSite(t, "a1", "b1")
	s.evacuate("b")
	s.submitSteps(t, "movable", movable)
	s.run(300)
	s.evacuate("a")
	s.submitSteps(t, "wide", jobs.Step{Count: 2, CPUMilli: 9000, EstimateMS: 60_000})
	s.run(2000)
	s.Assert(s.stops, qt.HasLen, 0)
	s.handle(s.step(CancelRequested{RequestID: 9, ID: "wide"}))
	stopped := len(s.stops)
	s.submitSteps(t, "bound", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 1000, Label: "only-a"})
	s.run(2000)
	moved := slices.ContainsFunc(s.stops[stopped:], func(stop stopAt) bool { return stop.task.Job == "movable" })
	s.Assert(moved, qt.IsTrue)
	s.Assert(s.startsIn("b") >= 2, qt.IsTrue)
}

// Guards against questions to the adviser about workers that nothing may start on.
func TestAdviserIsNotAskedAboutEvacuatedWorkers(t *testing.T) {
	s := newEvacuationSite(t, "a1", "a2", "b1", "b2")
	queue := testQueue
	queue.Advised, queue.Advice = true, jobs.Advice{DecisionMS: 100, WorkerMS: 10, ValidityMS: 5000}
	s.handle(s.step(QueuesChanged{Queues: []Queue{queue}}))
	s.evacuate("a")
	s.submitSteps(t, "one", jobs.Step{Count: 4, CPUMilli: 100, EstimateMS: 1000})
	s.run(500)
	s.Assert(len(s.asked) > 0, qt.IsTrue)
	for _, id := range s.asked {
		s.Assert(strings.HasPrefix(string(id), "b"), qt.IsTrue)
	}
}

// Guards against a worker that returns cold and gets most of the waiting tasks at
// once because it has the most room.
func TestColdWorkerIsFilledSlowly(t *testing.T) {
	for _, test := range []struct {
		overage, slack float64
		gang           bool
		want           int
	}{{1.5, 5, false, 8}, {0, 5, false, 20}, {1.5, 0, false, 20}, {1.5, 5, true, 8}} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			s := newEvacuationSite(t, "a1", "a2", "b1")
			s.core.config.ColdOverage, s.core.config.ColdSlack = test.overage, test.slack
			s.evacuate("b")
			s.submitSteps(t, "before", jobs.Step{Count: 4, CPUMilli: 6000, EstimateMS: 60_000})
			s.run(300)
			s.Assert(s.startsIn("a"), qt.Equals, 4)
			s.infos[2].ColdRemainingMS = 3000
			s.handle(s.step(WorkersChanged{Workers: s.infos}))
			s.evacuate()
			// The mean of the others is 2 runs, so 2 x 1.5 + 5 are allowed.
			many := jobs.Step{Count: 20, CPUMilli: 700, EstimateMS: 60_000, Label: "only-b"}
			if test.gang {
				many.Gang, many.Count = true, 8
				s.submitSteps(t, "wider", jobs.Step{Count: 9, CPUMilli: 700, EstimateMS: 60_000, Gang: true, Label: "only-b"})
			}
			s.submitSteps(t, "after", many)
			s.run(1000)
			s.Assert(s.startsIn("b"), qt.Equals, test.want)
			s.run(3000)
			if !test.gang {
				s.Assert(s.startsIn("b"), qt.Equals, 20)
			}
		})
	}
}

// Guards against an evacuation that moves nothing as long as a task waits that may run
// on no worker: every other one runs a task of its step already.
func TestUnplaceableTaskDelaysNoMove(t *testing.T) {
	s := newEvacuationSite(t, "a1", "b1", "b2")
	s.evacuate()
	s.submitSteps(t, "spread", jobs.Step{Count: 4, CPUMilli: 1000, EstimateMS: 300, LongRunning: true, MaxPerWorker: 1})
	s.submitSteps(t, "moved", jobs.Step{Count: 3, CPUMilli: 5000, EstimateMS: 9000, Checkpointing: true})
	s.run(1000)
	s.Assert(s.startsIn("a"), qt.Equals, 2)
	s.evacuate("a")
	s.run(3000)
	s.Assert(s.stops, qt.HasLen, 1)
	s.Assert(s.stops[0].task.Job, qt.Equals, jobs.ID("moved"))
	s.Assert(s.startsIn("b"), qt.Equals, 5)
}
