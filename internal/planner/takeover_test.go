package planner

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

var testQueue = Queue{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 4, Stretch: 2, TargetLatencyMS: 1000}}

// nextLeader returns the leader of the next term on the same log, before it has
// read the configuration.
func (h *harness) nextLeader() *harness {
	config := h.core.config
	config.FirstTerm, config.PriorLeaseMS = false, config.LeaseMS
	next := &harness{now: h.now + 1000}
	next.core = New(config, h.core.stateMachine, h.core.epoch+1, next.time())
	next.confirmWrites(next.step(WorkersChanged{Workers: []WorkerInfo{testWorker}}))
	return next
}

// TestFailureBeforeConfigurationEndsNoJob guards against jobs that end as
// failed after one failed run: a leader that has not read the configuration yet
// does not know the attempt limit of a queue.
func TestFailureBeforeConfigurationEndsNoJob(t *testing.T) {
	c := qt.New(t)
	first := newHarness(safeguards{})
	first.step(QueuesChanged{Queues: []Queue{testQueue}})
	first.join(testWorker)
	first.confirmWrites(first.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	first.confirmWrites(first.advance(200))

	h := first.nextLeader()
	failed := Report{StartedMS: 7, ClockMS: 2000, Ended: []EndedTask{{Number: 1, Task: jobs.Task{Job: "j"}, Run: 1, Kind: EndFailed}}}
	h.confirmWrites(h.report(testWorker, failed))
	h.confirmWrites(h.advance(500))
	state, _ := h.core.State("j")
	c.Assert(state, qt.Equals, jobs.Active)

	effects := h.step(QueuesChanged{Queues: []Queue{testQueue}})
	_, started := findEffect[Start](append(effects, h.advance(500)...))
	c.Assert(started, qt.IsTrue)
}

// TestAttemptLimitThatEndsJob guards against failing a job by the wrong attempt
// limit. The newest configuration that has been read decides, then the policy
// under which the job was accepted; nothing is decided before the configuration
// is read.
func TestAttemptLimitThatEndsJob(t *testing.T) {
	recorded := &jobs.Policy{Service: "s", MaxAttempts: 2}
	with := func(attempts int) []Queue {
		return []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: attempts}}}
	}
	for _, test := range []struct {
		name     string
		policy   *jobs.Policy
		failures int
		queues   []Queue
		// The job's state, and whether the task starts again, before and after
		// the configuration is read.
		before, after             jobs.State
		startsBefore, startsAfter bool
	}{
		{"not known at all", nil, 3, []Queue{}, jobs.Active, jobs.Active, false, false},
		{"queue dropped, attempts left", recorded, 1, []Queue{}, jobs.Active, jobs.Active, false, true},
		{"queue dropped, attempts used up", recorded, 2, []Queue{}, jobs.Active, jobs.Failed, false, false},
		{"limit raised", recorded, 2, with(3), jobs.Active, jobs.Active, false, true},
		{"limit lowered", recorded, 1, with(1), jobs.Active, jobs.Failed, false, false},
		{"no limit", recorded, 9, with(0), jobs.Active, jobs.Active, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			first := newHarness(safeguards{})
			encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Policy: test.policy, Steps: []jobs.Step{{Count: 2, CPUMilli: 100, EstimateMS: 900}}})
			c.Assert(err, qt.IsNil)
			first.confirmWrites(first.step(SubmitRequested{ID: "j", Encoded: encoded}))
			first.confirmWrites(first.advance(100))
			h := first.nextLeader()
			report := Report{StartedMS: 7, ClockMS: 2000}
			for i := range test.failures {
				report.Ended = append(report.Ended, EndedTask{Number: int64(i + 1), Task: jobs.Task{Job: "j"}, Run: i + 1, Kind: EndFailed})
			}
			starts := func(effects []Effect) (n int) {
				for _, e := range effects {
					if s, ok := e.(Start); ok && s.Task.Index == 0 {
						n++
					}
				}
				return n
			}
			h.confirmWrites(h.report(testWorker, report))
			effectsBefore := h.advance(200)
			h.confirmWrites(effectsBefore)
			state, _ := h.core.State("j")
			c.Check(state, qt.Equals, test.before)
			c.Check(starts(effectsBefore) > 0, qt.Equals, test.startsBefore)
			effects := h.step(QueuesChanged{Queues: test.queues})
			h.confirmWrites(effects)
			effects = append(slices.Clone(effects), h.advance(8000)...)
			state, _ = h.core.State("j")
			c.Check(state, qt.Equals, test.after)
			c.Check(starts(effects) > 0, qt.Equals, test.startsAfter)
		})
	}
}

// TestDeadlineFollowsConfiguration guards the order of waiting steps after a
// takeover: a deadline that was computed before the configuration was read is
// computed again.
func TestDeadlineFollowsConfiguration(t *testing.T) {
	c := qt.New(t)
	first := newHarness(safeguards{})
	first.confirmWrites(first.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	first.confirmWrites(first.advance(100))
	want := first.core.jobs["j"].open[0].steps[0].deadlineMS
	h := first.nextLeader()
	h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Stretch: 2, TargetLatencyMS: 1000}}}})
	j := h.core.jobs["j"]
	c.Assert(j.open[0].steps[0].deadlineMS-j.arrivedMS, qt.Equals, want-first.core.jobs["j"].arrivedMS)
}

// ackLimitMS is the time limit for the acknowledgement of an end once there are
// no faults.
const ackLimitMS = 4000

// TestEndOfUnknownJobDelaysNoOther guards against ends that are not
// acknowledged within ackBoundMS: the end of a job whose submission never
// reached the log delays every later end of its worker.
func TestEndOfUnknownJobDelaysNoOther(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.confirmWrites(h.submit(t, "known", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	h.confirmWrites(h.advance(100))
	h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: 300, Ended: []EndedTask{
		{Number: 1, Task: jobs.Task{Job: "unknown"}, Run: 1, Kind: EndDone},
		{Number: 2, Task: jobs.Task{Job: "known"}, Run: 1, Kind: EndDone},
	}}))
	startMS := h.now
	for h.core.workers["w"].ackableEnd < 2 {
		h.confirmWrites(h.advance(20))
		c.Assert(h.now-startMS <= ackLimitMS, qt.IsTrue, qt.Commentf("acknowledged up to %d after %d ms", h.core.workers["w"].ackableEnd, h.now-startMS))
	}
}

// TestEarlyEndCountsOnceTheJobIsSubmitted guards against a task that runs twice
// and against failures that do not count: the end of a run was acknowledged
// before its job was submitted, and a later leader must still have it when the
// caller repeats the submission.
func TestEarlyEndCountsOnceTheJobIsSubmitted(t *testing.T) {
	for _, test := range []struct {
		name     string
		takeover bool
		// direct is set if another instance records the submission.
		direct bool
	}{{"same leader", false, false}, {"next leader", true, false}, {"recorded by another instance", true, true}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(safeguards{})
			h.join(testWorker)
			end := func(number int64, index, run int, kind EndKind) EndedTask {
				return EndedTask{Number: number, Task: jobs.Task{Job: "late", Index: index}, Run: run, Kind: kind}
			}
			h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: 300, Ended: []EndedTask{
				end(1, 0, 1, EndDone), end(2, 1, 1, EndFailed), end(3, 2, 1, EndFailed), end(4, 2, 2, EndFailed),
			}}))
			h.confirmWrites(h.advance(200))
			c.Assert(h.core.workers["w"].ackableEnd, qt.Equals, int64(4))
			_, known := h.core.State("late")
			c.Assert(known, qt.IsFalse)
			if test.takeover {
				h = h.nextLeader()
				h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 3, Stretch: 2, TargetLatencyMS: 1000}}}})
				h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: 2000}))
			} else {
				h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 3, Stretch: 2, TargetLatencyMS: 1000}}}})
			}
			step := jobs.Step{Count: 3, CPUMilli: 100, EstimateMS: 900}
			var effects []Effect
			if test.direct {
				encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Steps: []jobs.Step{step}})
				c.Assert(err, qt.IsNil)
				_, err = h.core.stateMachine.Apply(jobs.SubmissionRecord("late", encoded))
				c.Assert(err, qt.IsNil)
				effects = slices.Clone(h.step(RecordsRead{Jobs: []jobs.ID{"late"}}))
			} else {
				effects = slices.Clone(h.submit(t, "late", step))
			}
			h.confirmWrites(effects)
			effects = append(effects, h.advance(100)...)
			h.confirmWrites(effects)
			started := map[int]bool{}
			for _, e := range effects {
				if s, ok := e.(Start); ok {
					started[s.Task.Index] = true
				}
			}
			c.Assert(started, qt.DeepEquals, map[int]bool{1: true, 2: true})
			j := h.core.jobs["late"]
			c.Assert(j.progress.FailuresOf(jobs.Task{Job: "late", Index: 2}), qt.Equals, 2)
			h.confirmWrites(h.advance(100))
			c.Assert(h.core.stateMachine.Jobs["late"].EarlyEnds, qt.HasLen, 0)
			c.Assert(h.core.stateMachine.Jobs["late"].Progress.IsDone(j.spec, jobs.Task{Job: "late"}), qt.IsTrue)
		})
	}
}

// TestEarlyEndsArePurged guards against records of ends that are never removed
// because the job is never submitted, and against a job that is removed too
// early because its ends were older.
func TestEarlyEndsArePurged(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: 300, Ended: []EndedTask{
		{Number: 1, Task: jobs.Task{Job: "never"}, Run: 1, Kind: EndDone},
		{Number: 2, Task: jobs.Task{Job: "late"}, Run: 1, Kind: EndFailed},
	}}))
	h.confirmWrites(h.advance(100))
	c.Assert(h.core.stateMachine.Jobs["never"], qt.IsNotNil)
	retentionMS := h.core.config.StatusRetentionMS + purgeMarginMS
	h.confirmWrites(h.advance(retentionMS - 5000))
	h.confirmWrites(h.submit(t, "late", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	h.confirmWrites(h.step(CancelRequested{RequestID: 2, ID: "late"}))
	h.confirmWrites(h.advance(10_000))
	c.Assert(h.core.stateMachine.Jobs["never"], qt.IsNil)
	state, known := h.core.State("late")
	c.Assert(known, qt.IsTrue)
	c.Assert(state, qt.Equals, jobs.Cancelled)
	h.confirmWrites(h.advance(retentionMS + 10_000))
	_, known = h.core.State("late")
	c.Assert(known, qt.IsFalse)
}

// TestStaleRunNumberIsSkippedAtOnce guards against a task that a worker rejects a
// thousand times: the previous leader used a higher run number there that was
// never recorded.
func TestStaleRunNumberIsSkippedAtOnce(t *testing.T) {
	c := qt.New(t)
	first := newHarness(safeguards{})
	first.join(testWorker)
	first.confirmWrites(first.advance(100))
	h := first.nextLeader()
	h.step(QueuesChanged{Queues: []Queue{testQueue}})
	h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: 2000}))
	effects := slices.Clone(h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	rejected := 0
	for range 100 {
		if s, ok := findEffect[Start](effects); ok {
			if s.Run > 700 {
				return
			}
			rejected++
			c.Assert(rejected <= 2, qt.IsTrue, qt.Commentf("run %d is rejected", s.Run))
			effects = slices.Clone(h.step(StartDone{Worker: "w", Task: s.Task, Run: s.Run, Token: s.Token, Outcome: StaleRun}))
			continue
		}
		effects = append(slices.Clone(h.report(testWorker, Report{StartedMS: 7, ClockMS: 2000 + h.now})), h.advance(40)...)
	}
	c.Fatal("the task was not started")
}

// TestRestartedWorkerIsCalledAgain guards against a worker that stays marked as
// dead: a different one responded at its address, and the worker has restarted
// with the same ID.
func TestRestartedWorkerIsCalledAgain(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.step(HoldDone{Worker: "w", Address: testWorker.Address, Outcome: WrongWorker})
	_, held := findEffect[Hold](h.advance(500))
	c.Assert(held, qt.IsFalse)
	again := testWorker
	again.StartedMS++
	effects := slices.Clone(h.step(WorkersChanged{Workers: []WorkerInfo{again}}))
	_, held = findEffect[Hold](append(effects, h.advance(500)...))
	c.Assert(held, qt.IsTrue)
}

// newPurgingHarness returns a leader that is about to remove the early end of
// the job "late", and the effects with the write that is outstanding meanwhile.
func newPurgingHarness(t *testing.T) (*harness, []Effect) {
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: 300, Ended: []EndedTask{lateJobEnd(1, 0)}}))
	h.confirmWrites(h.advance(100))
	h.now += h.core.config.StatusRetentionMS + purgeMarginMS
	outstanding := slices.Clone(h.submit(t, "other", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	outstanding = append(outstanding, h.advance(100)...)
	qt.New(t).Assert(h.core.journal.drops, qt.DeepEquals, []jobs.ID{"late"})
	return h, outstanding
}

func lateJobEnd(number int64, index int) EndedTask {
	return EndedTask{Number: number, Task: jobs.Task{Job: "late", Index: index}, Run: 1, Kind: EndDone}
}

func encodeLateJob(t *testing.T) []byte {
	encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 2, CPUMilli: 100, EstimateMS: 900}}})
	qt.New(t).Assert(err, qt.IsNil)
	return encoded
}

// TestSubmissionDuringPurgeIsKept guards against the loss of an accepted job:
// its submission arrives while the removal of its early ends waits for the
// previous write.
func TestSubmissionDuringPurgeIsKept(t *testing.T) {
	c := qt.New(t)
	h, outstanding := newPurgingHarness(t)
	h.step(SubmitRequested{ID: "late", Encoded: encodeLateJob(t)})
	h.report(testWorker, Report{StartedMS: 7, ClockMS: 400, Ended: []EndedTask{lateJobEnd(2, 1)}})
	h.confirmWrites(outstanding)
	h.confirmWrites(h.advance(100))
	c.Assert(h.core.stateMachine.SubmittedEntry("late"), qt.IsNotNil)
	state, _ := h.core.State("late")
	c.Assert(state, qt.Equals, jobs.Completed)
}

// TestDirectSubmissionDuringPurgeIsKept guards against the loss of an accepted
// job: another instance records its submission just before the leader removes
// its early ends.
func TestDirectSubmissionDuringPurgeIsKept(t *testing.T) {
	c := qt.New(t)
	h, outstanding := newPurgingHarness(t)
	first, _ := findEffect[Write](outstanding)
	for _, r := range first.Records {
		_, err := h.core.stateMachine.Apply(r)
		c.Assert(err, qt.IsNil)
	}
	removal := append(slices.Clone(h.step(WriteDone{Seq: first.Seq})), h.advance(100)...)
	_, err := h.core.stateMachine.Apply(jobs.SubmissionRecord("late", encodeLateJob(t)))
	c.Assert(err, qt.IsNil)
	h.step(RecordsRead{Jobs: []jobs.ID{"late"}})
	h.confirmWrites(removal)
	h.confirmWrites(h.advance(100))
	c.Assert(h.core.stateMachine.Jobs["late"], qt.IsNotNil)
	c.Assert(h.core.stateMachine.Jobs["late"].Job, qt.IsNotNil)
}

// TestEarlyEndDuringPurgeIsKept guards against an end that is acknowledged and
// lost: it arrives while the removal of earlier ends of the same unknown job
// waits for the previous write.
func TestEarlyEndDuringPurgeIsKept(t *testing.T) {
	c := qt.New(t)
	h, outstanding := newPurgingHarness(t)
	h.report(testWorker, Report{StartedMS: 7, ClockMS: 400, Ended: []EndedTask{lateJobEnd(2, 1)}})
	h.confirmWrites(outstanding)
	h.confirmWrites(h.advance(100))
	c.Assert(h.core.workers["w"].ackableEnd, qt.Equals, int64(2))
	entry := h.core.stateMachine.Jobs["late"]
	c.Assert(entry, qt.IsNotNil)
	c.Assert(slices.ContainsFunc(entry.EarlyEnds, func(e jobs.EarlyEnd) bool { return e.Index == 1 }), qt.IsTrue)
}

// TestNoSpeculativeCopyBeforeConfiguration guards against a run beyond the
// attempt limit of a queue: a slow copy of a task whose failures use up the
// known limit gets no speculative copy while the configuration has not been
// read.
func TestNoSpeculativeCopyBeforeConfiguration(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	infos := h.joinMany(3)
	encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Policy: &jobs.Policy{Service: "s", MaxAttempts: 1}, Steps: []jobs.Step{{Count: 1, CPUMilli: 100, EstimateMS: 900, Speculative: true}}})
	c.Assert(err, qt.IsNil)
	h.confirmWrites(h.step(SubmitRequested{ID: "j", Encoded: encoded}))
	h.confirmWrites(h.advance(100))
	next := h.nextLeader()
	next.confirmWrites(next.step(WorkersChanged{Workers: infos}))
	copyOf := func(percent int) []RunningTask {
		return []RunningTask{{Task: jobs.Task{Job: "j"}, Run: 2, Percent: percent}}
	}
	next.confirmWrites(next.report(infos[0], Report{StartedMS: 7, ClockMS: 2000, Running: copyOf(1)}))
	next.confirmWrites(next.report(infos[1], Report{StartedMS: 7, ClockMS: 2000, Ended: []EndedTask{{Number: 1, Task: jobs.Task{Job: "j"}, Run: 1, Kind: EndFailed}}}))
	next.confirmWrites(next.report(infos[2], Report{StartedMS: 7, ClockMS: 2000}))
	for i := range 15 {
		effects := slices.Clone(next.advance(100))
		for w := range infos {
			report := Report{StartedMS: 7, ClockMS: int64(2100 + 100*i)}
			if w == 0 {
				report.Running = copyOf(1 + i/5)
			}
			effects = append(effects, next.report(infos[w], report)...)
		}
		next.confirmWrites(effects)
		s, started := findEffect[Start](effects)
		c.Assert(started, qt.IsFalse, qt.Commentf("run %d starts after %d ms", s.Run, 100*i))
	}
}

// TestJobWithEarlyEndsHasStarted guards against a job that counts as waiting
// although its tasks have run: another instance recorded the submission after
// the ends.
func TestJobWithEarlyEndsHasStarted(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: 300, Ended: []EndedTask{
		{Number: 1, Task: jobs.Task{Job: "late"}, Run: 1, Kind: EndDone},
	}}))
	h.confirmWrites(h.advance(100))
	encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 2, CPUMilli: 900_000, EstimateMS: 900}}})
	c.Assert(err, qt.IsNil)
	_, err = h.core.stateMachine.Apply(jobs.SubmissionRecord("late", encoded))
	c.Assert(err, qt.IsNil)
	h.confirmWrites(h.step(RecordsRead{Jobs: []jobs.ID{"late"}}))
	h.confirmWrites(h.advance(100))
	c.Assert(h.core.WaitingJobs("q"), qt.Equals, 0)
	state, _ := h.core.State("late")
	c.Assert(state, qt.Equals, jobs.Active)
}

// TestResponseFromFormerAddressKeepsWorker guards against a worker that is marked
// as dead by mistake: a response by a different worker at its former address
// arrives after its new address is known.
func TestResponseFromFormerAddressKeepsWorker(t *testing.T) {
	moved := testWorker
	moved.Address = "b"
	for _, test := range []struct {
		name     string
		response func(s Start) Event
	}{
		{"look", func(Start) Event { return HoldDone{Worker: "w", Address: "a", Outcome: WrongWorker} }},
		{"start", func(s Start) Event {
			return StartDone{Worker: "w", Address: "a", Task: s.Task, Run: s.Run, Token: s.Token, Outcome: WrongWorker}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(safeguards{})
			h.join(testWorker)
			start, ok := findEffect[Start](append(slices.Clone(h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900})), h.advance(40)...))
			c.Assert(ok, qt.IsTrue)
			h.step(WorkersChanged{Workers: []WorkerInfo{moved}})
			effects := slices.Clone(h.step(test.response(start)))
			// All other outstanding calls return.
			effects = append(effects, h.step(HoldDone{Worker: "w", Address: "a", Outcome: Unreachable})...)
			hold, held := findEffect[Hold](append(effects, h.advance(500)...))
			c.Assert(held, qt.IsTrue)
			c.Assert(hold.Address, qt.Equals, "b")
		})
	}
}

// TestListedWorkerIsCalledAgainAfterStrayResponse guards against a worker that
// stays marked as dead after one stray response: while the directory lists it,
// it gets a hold call every deadHoldIntervalMS.
func TestListedWorkerIsCalledAgainAfterStrayResponse(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.step(HoldDone{Worker: "w", Address: testWorker.Address, Outcome: WrongWorker})
	holds := 0
	for range 50 {
		if _, held := findEffect[Hold](h.advance(100)); held {
			holds++
			h.step(HoldDone{Worker: "w", Address: testWorker.Address, Outcome: WrongWorker})
		}
	}
	c.Assert(holds, qt.Equals, 2)
	h.advance(deadHoldIntervalMS)
	h.report(testWorker, Report{StartedMS: 7, ClockMS: 9000})
	effects := slices.Clone(h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	_, started := findEffect[Start](append(effects, h.advance(300)...))
	c.Assert(started, qt.IsTrue)
}
