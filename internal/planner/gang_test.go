package planner

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// newGang returns a leader with two workers of which the first has room for two
// members of a gang of three, and the starts of the gang's first run.
func newGang(t *testing.T) (h *harness, first, second WorkerInfo, starts []Start) {
	h = newHarness(safeguards{})
	first, second = testWorker, testWorker
	first.Capacity.CPUMilli, second.Capacity.CPUMilli = 20_000, 10_000
	second.ID, second.Address = "v", "b"
	h.join(first)
	h.confirmWrites(h.step(WorkersChanged{Workers: []WorkerInfo{first, second}}))
	h.confirmWrites(h.advance(40))
	h.confirmWrites(h.report(second, Report{StartedMS: 7, ClockMS: 100}))
	effects := slices.Clone(h.submit(t, "j", jobs.Step{Count: 3, CPUMilli: 10_000, EstimateMS: 900, Gang: true, Checkpointing: true}))
	h.confirmWrites(effects)
	effects = append(effects, h.advance(40)...)
	h.confirmWrites(effects)
	starts = allStarts(effects)
	qt.New(t).Assert(starts, qt.HasLen, 3)
	return h, first, second, starts
}

// TestGangRunThatFailedGetsNoMembers guards against members that start again under
// the number of a run that has failed, with its checkpoint: the ends of two members
// are listed before that of the third, which is on another worker.
func TestGangRunThatFailedGetsNoMembers(t *testing.T) {
	c := qt.New(t)
	h, first, second, starts := newGang(t)
	running := map[WorkerID][]Start{}
	for _, s := range starts {
		h.step(StartDone{Worker: s.Worker, Task: s.Task, Run: s.Run, Token: s.Token, Outcome: Done})
		running[s.Worker] = append(running[s.Worker], s)
	}
	c.Assert(running["w"], qt.HasLen, 2)
	h.now += 100
	report := Report{StartedMS: 7, ClockMS: 300}
	for i, kind := range []EndKind{EndFailed, EndBroken} {
		report.Ended = append(report.Ended, EndedTask{Number: int64(i + 1), Task: running["w"][i].Task, Run: 1, Kind: kind, Checkpoint: "x"})
	}
	effects := slices.Clone(h.report(first, report))
	effects = append(effects, h.advance(200)...)
	h.confirmWrites(effects)
	c.Assert(allStarts(effects), qt.HasLen, 0)
	last := running["v"][0]
	stop, stopped := findEffect[Stop](effects)
	c.Assert(stopped, qt.IsTrue)
	c.Assert(stop.Task, qt.Equals, last.Task)

	effects = slices.Clone(h.report(second, Report{StartedMS: 7, ClockMS: 500, Ended: []EndedTask{{Number: 1, Task: last.Task, Run: 1, Kind: EndStopped}}}))
	h.confirmWrites(h.report(first, Report{StartedMS: 7, ClockMS: 520}))
	effects = append(effects, h.advance(200)...)
	again := allStarts(effects)
	c.Assert(again, qt.HasLen, 3)
	for _, s := range again {
		c.Check(s.Run, qt.Equals, 2)
		c.Check(s.Checkpoint, qt.Equals, "x")
	}
}

// TestLostGangMemberEndsRun guards against the same after the loss of a member that
// its worker no longer lists.
func TestLostGangMemberEndsRun(t *testing.T) {
	c := qt.New(t)
	h, first, _, starts := newGang(t)
	report := Report{StartedMS: 7, ClockMS: 300}
	for _, s := range starts {
		h.step(StartDone{Worker: s.Worker, Task: s.Task, Run: s.Run, Token: s.Token, Outcome: Done})
		if s.Worker == "w" && len(report.Running) == 0 {
			report.Running = append(report.Running, RunningTask{Task: s.Task, Run: 1})
		}
	}
	h.now += 100
	effects := append(slices.Clone(h.report(first, report)), h.advance(200)...)
	c.Assert(allStarts(effects), qt.HasLen, 0)
	stops := 0
	for _, e := range effects {
		if _, ok := e.(Stop); ok {
			stops++
		}
	}
	c.Assert(stops, qt.Equals, 2)
}

// TestRejectedGangMemberIsPlacedAgain guards against a gang that is stopped and
// started again as a whole because one start was rejected.
func TestRejectedGangMemberIsPlacedAgain(t *testing.T) {
	c := qt.New(t)
	h, _, _, starts := newGang(t)
	for _, s := range starts[1:] {
		h.step(StartDone{Worker: s.Worker, Task: s.Task, Run: s.Run, Token: s.Token, Outcome: Done})
	}
	s := starts[0]
	effects := slices.Clone(h.step(StartDone{Worker: s.Worker, Task: s.Task, Run: s.Run, Token: s.Token, Outcome: NoTicket}))
	effects = append(effects, h.advance(200)...)
	again := allStarts(effects)
	c.Assert(again, qt.HasLen, 1)
	c.Assert(again[0].Task, qt.Equals, s.Task)
	c.Assert(again[0].Run, qt.Equals, s.Run)
	_, stopped := findEffect[Stop](effects)
	c.Assert(stopped, qt.IsFalse)
}
