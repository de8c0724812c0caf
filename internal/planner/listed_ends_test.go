package planner

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// allStarts returns the starts among the effects.
func allStarts(effects []Effect) []Start {
	var out []Start
	for _, e := range effects {
		if s, ok := e.(Start); ok {
			out = append(out, s)
		}
	}
	return out
}

func ended(number int64, index, run int, kind EndKind) EndedTask {
	return EndedTask{Number: number, Task: jobs.Task{Job: "j", Index: index}, Run: run, Kind: kind}
}

// TestUnlistedEndIsNoLostRun guards against a task that starts again after it
// has ended as done: while nothing can be acknowledged, a worker lists only its
// first ends, and a run among the others is neither running nor listed.
func TestUnlistedEndIsNoLostRun(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	effects := slices.Clone(h.submit(t, "j", jobs.Step{Count: 3, CPUMilli: 16_000, EstimateMS: 900}))
	h.confirmWrites(effects)
	starts := allStarts(effects)
	c.Assert(starts, qt.HasLen, 2)
	for _, s := range starts {
		h.step(StartDone{Worker: "w", Task: s.Task, Run: s.Run, Token: s.Token, Outcome: Done})
	}
	h.now += 100
	effects = h.report(testWorker, Report{StartedMS: 7, ClockMS: 300, Ended: []EndedTask{ended(1, 0, 1, EndDone)}, MoreEnded: true})
	started := allStarts(slices.Concat(slices.Clone(effects), h.advance(100)))
	// The room of both runs is free again, but only the third task may use it.
	c.Assert(started, qt.HasLen, 1)
	c.Assert(started[0].Task.Index, qt.Equals, 2)
	h.step(StartDone{Worker: "w", Task: started[0].Task, Run: started[0].Run, Token: started[0].Token, Outcome: Done})

	h.now += 100
	effects = h.report(testWorker, Report{StartedMS: 7, ClockMS: 500, Ended: []EndedTask{
		ended(1, 0, 1, EndDone), ended(2, 1, 1, EndDone), ended(3, 2, 1, EndDone),
	}})
	c.Assert(allStarts(slices.Concat(slices.Clone(effects), h.advance(100))), qt.HasLen, 0)
	h.confirmWrites(h.advance(100))
	c.Assert(h.core.workers["w"].used, qt.Equals, Resources{})
}

// TestRunWithoutEndStartsAgain guards against a task that never starts again
// after its run has vanished: once the worker lists all of its ends, a run that
// is among neither list is lost.
func TestRunWithoutEndStartsAgain(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	s, _ := findEffect[Start](h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	h.step(StartDone{Worker: "w", Task: s.Task, Run: s.Run, Token: s.Token, Outcome: Done})
	for i, more := range []bool{true, true, false} {
		h.now += 100
		report := Report{StartedMS: 7, ClockMS: 300 + int64(i)*100, MoreEnded: more}
		starts := allStarts(slices.Concat(slices.Clone(h.report(testWorker, report)), h.advance(40)))
		c.Assert(len(starts) > 0, qt.Equals, !more)
	}
}

// TestNewLeaderReadsEveryEnd guards against a new leader that starts tasks again
// after the first page of a worker's ends, however long the others take.
func TestNewLeaderReadsEveryEnd(t *testing.T) {
	c := qt.New(t)
	first := newHarness(safeguards{})
	first.step(QueuesChanged{Queues: []Queue{testQueue}})
	first.join(testWorker)
	first.confirmWrites(first.submit(t, "j", jobs.Step{Count: 2, CPUMilli: 100, EstimateMS: 900}))
	first.confirmWrites(first.advance(100))

	h := first.nextLeader()
	h.step(QueuesChanged{Queues: []Queue{testQueue}})
	var starts []Start
	for range 75 {
		starts = append(starts, allStarts(h.report(testWorker, Report{StartedMS: 7, ClockMS: h.now, Ended: []EndedTask{ended(1, 0, 1, EndDone)}, MoreEnded: true}))...)
		// Hold calls renew the lease.
		starts = append(starts, allStarts(h.advance(200))...)
	}
	c.Assert(starts, qt.HasLen, 0)
	// The second page lists the end of the other task.
	starts = allStarts(h.report(testWorker, Report{StartedMS: 7, ClockMS: h.now, Ended: []EndedTask{ended(2, 1, 1, EndFailed)}}))
	c.Assert(starts, qt.HasLen, 1)
	c.Assert(starts[0].Task.Index, qt.Equals, 1)
}

// TestOrphanWithUnlistedEnd guards against a task that starts again although it
// has ended: its submission is repeated after the run of the unknown job has
// ended and before the worker lists that end.
func TestOrphanWithUnlistedEnd(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.report(testWorker, Report{StartedMS: 7, ClockMS: 200, Running: []RunningTask{{Task: jobs.Task{Job: "j"}, Run: 1}}})
	h.now += 100
	h.report(testWorker, Report{StartedMS: 7, ClockMS: 300, MoreEnded: true})
	effects := slices.Clone(h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	h.confirmWrites(effects)
	later := h.advance(100)
	h.confirmWrites(later)
	c.Assert(allStarts(slices.Concat(effects, later)), qt.HasLen, 0)
	h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: 500, Ended: []EndedTask{ended(1, 0, 1, EndDone)}}))
	state, _ := h.core.State("j")
	c.Assert(state, qt.Equals, jobs.Completed)
}

// TestRandomRunsWithPagedEnds guards against tasks that run twice or are lost
// when workers list two ends at a time and the log is often down.
func TestRandomRunsWithPagedEnds(t *testing.T) {
	c := qt.New(t)
	for i := range *seedCount / 3 {
		sim := runSeed(*firstSeed+uint64(i), func(sim *simulation) {
			sim.endsPerReport = 2
			for range 4 {
				at := sim.rng.Int64N(faultsSeconds * 1000)
				sim.at(at, func() { sim.logDownUntil = max(sim.logDownUntil, sim.now+1000+sim.rng.Int64N(5000)) })
			}
		})
		c.Assert(sim.violations, qt.HasLen, 0)
	}
}
