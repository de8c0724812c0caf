package planner

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// newSuccessor returns the leader after one that has recorded the given workers and
// accepted the job "j", one task of which may be running on any of them. No worker has
// reported to it.
func newSuccessor(t *testing.T, workers ...WorkerInfo) *harness {
	first := newHarness(safeguards{})
	first.confirmWrites(first.step(WorkersChanged{Workers: workers}))
	first.confirmWrites(first.advance(100))
	first.confirmWrites(first.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 9000}))
	first.confirmWrites(first.advance(100))
	config := first.core.config
	config.FirstTerm, config.PriorLeaseMS = false, config.LeaseMS
	h := &harness{now: first.now + 1000}
	h.core = New(config, first.core.stateMachine, 2, h.time())
	h.step(QueuesChanged{Queues: []Queue{testQueue}})
	return h
}

// Guards against a task that runs twice: the successor begins with a list of workers
// that is older than the log, calls a worker at its former address, where another one
// responds, and does not wait for it at its present one.
func TestOldEntryDoesNotReplaceRecordedIncarnation(t *testing.T) {
	c := qt.New(t)
	moved, other := testWorker, testWorker
	moved.Address, moved.StartedMS = "b", 9
	other.ID = "w2"
	h := newSuccessor(t, moved, other)
	effects := slices.Clone(h.step(WorkersChanged{Workers: []WorkerInfo{testWorker, other}}))
	effects = append(effects, h.advance(20)...)
	for _, e := range effects {
		if hold, ok := e.(Hold); ok && hold.Worker == "w" && hold.Address == testWorker.Address {
			effects = append(effects, h.step(HoldDone{Worker: "w", Address: testWorker.Address, Outcome: WrongWorker})...)
		}
	}
	h.confirmWrites(effects)
	effects = append(effects, h.report(other, Report{StartedMS: 7, ClockMS: 300})...)
	effects = append(effects, h.advance(500)...)
	c.Assert(allStarts(effects), qt.HasLen, 0)

	// The worker reports the run at its present address.
	h.step(WorkersChanged{Workers: []WorkerInfo{moved, other}})
	h.report(moved, Report{StartedMS: 9, ClockMS: 300, Running: []RunningTask{{Task: jobs.Task{Job: "j"}, Run: 1}}})
	c.Assert(h.core.reconciled, qt.IsTrue)
	c.Assert(h.core.workers["w"].runs, qt.HasLen, 1)
}

// Guards against a takeover that waits for a worker in vain: once another worker
// responds at its recorded address, an entry with an earlier start counts.
func TestOldEntryCountsOnceRecordedIncarnationIsGone(t *testing.T) {
	c := qt.New(t)
	moved := testWorker
	moved.Address, moved.StartedMS = "b", 9
	h := newSuccessor(t, moved)
	h.step(WorkersChanged{Workers: []WorkerInfo{testWorker}})
	h.step(HoldDone{Worker: "w", Address: "b", Outcome: WrongWorker})
	hold, ok := findEffect[Hold](append(slices.Clone(h.step(WorkersChanged{Workers: []WorkerInfo{testWorker}})), h.advance(deadHoldIntervalMS)...))
	c.Assert(ok, qt.IsTrue)
	c.Assert(hold.Address, qt.Equals, testWorker.Address)
}

// Guards against a task that runs twice: a successor that handles its events late
// counted the leases of its predecessor as over while a worker's report was waiting to
// be handled.
func TestTakeoverWaitsForWaitingReports(t *testing.T) {
	c := qt.New(t)
	other := testWorker
	other.ID, other.Address = "w2", "b"
	workers := []WorkerInfo{testWorker, other}
	h := newSuccessor(t, workers...)
	h.confirmWrites(h.step(WorkersChanged{Workers: workers}))
	handledMS := h.now
	for range 500 {
		h.now += 20
		effects := append(slices.Clone(h.report(other, Report{StartedMS: 7, ClockMS: h.now})), h.step(Tick{LagMS: h.now - handledMS, HandledMS: handledMS})...)
		c.Assert(allStarts(effects), qt.HasLen, 0, qt.Commentf("started again after %d ms", h.now-handledMS))
	}
	// Everything has been handled: the leases are over.
	effects := append(slices.Clone(h.step(Tick{})), h.advance(40)...)
	c.Assert(allStarts(effects), qt.HasLen, 1)
}

// Guards against a task that runs twice: the lease of a worker with unlisted ends was
// renewed after its report, and the next report is waiting to be handled.
func TestTakeoverWaitsForWaitingEnds(t *testing.T) {
	c := qt.New(t)
	other := testWorker
	other.ID, other.Address = "w2", "b"
	workers := []WorkerInfo{testWorker, other}
	h := newSuccessor(t, workers...)
	h.confirmWrites(h.step(WorkersChanged{Workers: workers}))
	startMS := h.now
	report := Report{StartedMS: 7, MoreEnded: true}
	for h.now < startMS+9000 {
		h.now += 20
		effects := slices.Clone(h.report(other, Report{StartedMS: 7, ClockMS: h.now - startMS + 1}))
		if h.now < startMS+4000 {
			report.ClockMS = h.now - startMS + 1
			effects = append(effects, h.report(testWorker, report)...)
		}
		effects = append(effects, h.step(Tick{HandledMS: min(h.now, startMS+5600)})...)
		c.Assert(allStarts(effects), qt.HasLen, 0, qt.Commentf("started again after %d ms", h.now-startMS))
	}
}

// Guards against a worker that is forgotten, and with it its runs and ends, while its
// report is waiting to be handled.
func TestUnlistedWorkerIsKeptWhileReportsWait(t *testing.T) {
	c := qt.New(t)
	other := testWorker
	other.ID, other.Address = "w2", "b"
	h := newSuccessor(t, testWorker, other)
	h.confirmWrites(h.step(WorkersChanged{Workers: []WorkerInfo{other}}))
	handledMS := h.now
	for range 500 {
		h.now += 20
		effects := append(slices.Clone(h.report(other, Report{StartedMS: 7, ClockMS: h.now})), h.step(Tick{LagMS: h.now - handledMS, HandledMS: handledMS})...)
		c.Assert(allStarts(effects), qt.HasLen, 0, qt.Commentf("started again after %d ms", h.now-handledMS))
	}
	c.Assert(h.core.workers["w"], qt.IsNotNil)
	h.report(testWorker, Report{StartedMS: 7, ClockMS: 300, Ended: []EndedTask{ended(1, 0, 1, EndDone)}})
	c.Assert(h.core.jobs["j"].state, qt.Equals, jobs.Completed)
}

// Guards against a worker that is forgotten although its ends are incomplete: those
// that it has not listed yet may include the task's.
func TestUnlistedWorkerWithMoreEndsIsKept(t *testing.T) {
	c := qt.New(t)
	other := testWorker
	other.ID, other.Address = "w2", "b"
	h := newSuccessor(t, testWorker, other)
	h.confirmWrites(h.step(WorkersChanged{Workers: []WorkerInfo{other}}))
	h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: 300, MoreEnded: true}))
	for range unresponsiveMS/20 + 20 {
		effects := append(slices.Clone(h.report(other, Report{StartedMS: 7, ClockMS: h.now - 1_000_000})), h.advance(20)...)
		h.confirmWrites(effects)
		c.Assert(allStarts(effects), qt.HasLen, 0)
	}
	h.report(testWorker, Report{StartedMS: 7, ClockMS: 300, Ended: []EndedTask{ended(1, 0, 1, EndDone)}})
	c.Assert(h.core.jobs["j"].state, qt.Equals, jobs.Completed)
}

// Guards against a task that runs twice: the job of a run becomes known after the
// worker that listed it has been silent for a while, but before its lease is over.
func TestUnlistedWorkerWithUnknownRunIsKept(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	other := testWorker
	other.ID, other.Address = "w2", "b"
	h.confirmWrites(h.step(WorkersChanged{Workers: []WorkerInfo{testWorker, other}}))
	h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: 100, Running: []RunningTask{{Task: jobs.Task{Job: "j"}, Run: 4}}}))
	overMS := h.core.leaseOverMS(h.core.workers["w"])
	h.confirmWrites(h.step(WorkersChanged{Workers: []WorkerInfo{other}}))
	submitMS := h.now + unresponsiveMS + 200
	for starts := 0; starts == 0; {
		effects := append(slices.Clone(h.report(other, Report{StartedMS: 7, ClockMS: h.now - 1_000_000})), h.advance(20)...)
		if submitMS > 0 && h.now >= submitMS {
			effects = append(effects, h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900})...)
			submitMS = 0
		}
		h.confirmWrites(effects)
		starts = len(allStarts(effects))
		c.Assert(starts == 0 || h.now > overMS, qt.IsTrue, qt.Commentf("started %d ms before the lease is over", overMS-h.now))
		c.Assert(h.now < overMS+1000, qt.IsTrue)
	}
}

// Guards against a task that never runs: a run of an unknown job was taken over when
// the job became known, although another worker had responded at its worker's address.
func TestUnknownRunEndsWithItsWorker(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	other := testWorker
	other.ID, other.Address = "w2", "b"
	h.confirmWrites(h.step(WorkersChanged{Workers: []WorkerInfo{testWorker, other}}))
	h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: 100, Running: []RunningTask{{Task: jobs.Task{Job: "j"}, Run: 4}}}))
	h.step(HoldDone{Worker: "w", Address: testWorker.Address, Outcome: WrongWorker})
	h.confirmWrites(h.report(other, Report{StartedMS: 7, ClockMS: 100}))
	effects := slices.Clone(h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	starts := allStarts(append(effects, h.advance(500)...))
	c.Assert(starts, qt.HasLen, 1)
	c.Assert(starts[0].Worker, qt.Equals, WorkerID("w2"))
}

// Guards against an attempt too many: runs of one task that two leaders have started
// had the same number, and their failures counted as one.
func TestRunNumbersOfTermsDiffer(t *testing.T) {
	c := qt.New(t)
	other := testWorker
	other.ID, other.Address = "w2", "b"
	h := newSuccessor(t, testWorker, other)
	h.confirmWrites(h.step(WorkersChanged{Workers: []WorkerInfo{testWorker, other}}))
	for !h.core.reconciled {
		h.confirmWrites(append(slices.Clone(h.report(other, Report{StartedMS: 7, ClockMS: h.now - 1_000_000})), h.advance(20)...))
	}
	// The predecessor had started run 1 on the silent worker, before the submission was
	// recorded.
	h.confirmWrites(h.submit(t, "k", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	h.confirmWrites(h.advance(100))
	runs := h.core.jobs["k"].open[0].steps[0].tasks[0].runs
	c.Assert(runs, qt.HasLen, 1)
	task := jobs.Task{Job: "k"}
	h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: 9000, Ended: []EndedTask{{Number: 1, Task: task, Run: 1, Kind: EndFailed}}}))
	h.confirmWrites(h.report(other, Report{StartedMS: 7, ClockMS: 9000, Ended: []EndedTask{{Number: 1, Task: task, Run: runs[0].number, Kind: EndFailed}}}))
	c.Assert(h.core.jobs["k"].progress.FailuresOf(task), qt.Equals, 2)
}

// Guards against a start that a successor does not learn of: the address to which it
// was sent was recorded, but the record was about to be replaced.
func TestAddressIsNotRecordedWhileItsRecordIsReplaced(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.confirmWrites(h.advance(100))
	moved, back := testWorker, testWorker
	moved.Address, moved.StartedMS = "b", 8
	back.StartedMS = 9
	outstanding := slices.Clone(append(slices.Clone(h.step(WorkersChanged{Workers: []WorkerInfo{moved}})), h.advance(40)...))
	h.step(WorkersChanged{Workers: []WorkerInfo{back}})
	h.report(back, Report{StartedMS: 9, ClockMS: 100})
	effects := slices.Clone(h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	effects = append(effects, h.advance(100)...)
	c.Assert(allStarts(effects), qt.HasLen, 0)
	// Once the log holds the present address again, the worker is used.
	h.confirmWrites(outstanding)
	h.confirmWrites(h.advance(60))
	h.report(back, Report{StartedMS: 9, ClockMS: 400})
	h.advance(60)
	c.Assert(h.core.workers["w"].runs, qt.HasLen, 1)
}

// Guards against a lease that lasts longer than the leader assumes: a lease end on the
// clock of a worker's former incarnation lies far in the future of the next one.
func TestNothingStartsBeforeRestartedWorkerReports(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.confirmWrites(h.advance(100))
	again := testWorker
	again.StartedMS = 9
	effects := slices.Clone(h.step(WorkersChanged{Workers: []WorkerInfo{again}}))
	effects = append(effects, h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900})...)
	h.step(HoldDone{Worker: "w", Address: testWorker.Address, Outcome: Unreachable})
	effects = append(effects, h.advance(600)...)
	c.Assert(allStarts(effects), qt.HasLen, 0)
	for _, e := range effects {
		if hold, ok := e.(Hold); ok {
			c.Assert(hold.LeaseEndMS, qt.Equals, int64(0))
		}
	}
	h.confirmWrites(effects)
	h.report(again, Report{StartedMS: 9, ClockMS: 20})
	const recordedAfterMS = 60
	h.confirmWrites(h.advance(recordedAfterMS))
	c.Assert(h.core.workers["w"].runs, qt.HasLen, 1)
	c.Assert(h.core.workers["w"].leaseEndMS <= 20+recordedAfterMS+4000, qt.IsTrue)
}

// Guards against a task that runs twice: a worker restarts under its ID, gets a task
// with a lease end on its former clock, and is cut off before it reports. The lease is
// then longer than the leader waits. The directory lists the restart before the start,
// or only later.
func TestRestartedWorkerIsCutOffBeforeItReports(t *testing.T) {
	c := qt.New(t)
	for _, listedMS := range []int64{15, 600} {
		for seed := range uint64(10) {
			sim := newSimulation(seed, faultRates{})
			sim.run(sim.now + 1000)
			f := sim.workers[0]
			f.crash(10)
			sim.at(listedMS, func() { sim.step(sim.leader, WorkersChanged{Workers: sim.directory()}) })
			sim.at(15, func() {
				sim.jobs["j"] = &submittedJob{job: &jobs.Job{Queue: "batch", Payload: "j", Steps: []jobs.Step{{Count: 12, CPUMilli: 8000, MemoryMB: 1000, EstimateMS: 9000}}}}
				sim.ids = append(sim.ids, "j")
				sim.submit("j")
			})
			sim.at(40, func() { f.cutOffUntil = sim.now + 12_000 })
			sim.run(sim.now + 30_000)
			c.Assert(sim.violations, qt.HasLen, 0, qt.Commentf("listed after %d ms", listedMS))
		}
	}
}
