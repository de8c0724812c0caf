package planner

import (
	"math"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// harness is a core for which the test carries out the effects itself.
type harness struct {
	core *Core
	now  int64
}

func newHarness(disabled safeguards) *harness {
	config := Config{LeaseMS: 4000, MaxLeaseMS: 6000, GangTimeoutMS: 3000, InterferenceMS: 4000, StatusRetentionMS: 120_000, FirstTerm: true, OptimisticStart: true}
	h := &harness{now: 1_000_000}
	h.core = New(config, jobs.NewStateMachine(), 1, h.time())
	h.core.disabled = disabled
	h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Stretch: 2, TargetLatencyMS: 1000}}}})
	return h
}

func (h *harness) time() Time { return Time{MS: h.now, UnixMS: h.now} }

func (h *harness) step(e Event) []Effect { return h.core.Step(h.time(), e) }

// join adds a worker that has reported once.
func (h *harness) join(info WorkerInfo) {
	h.confirmWrites(h.step(WorkersChanged{Workers: []WorkerInfo{info}}))
	h.confirmWrites(h.report(info, Report{StartedMS: info.StartedMS, ClockMS: 100}))
}

// confirmWrites records the writes among the effects.
func (h *harness) confirmWrites(effects []Effect) {
	for _, e := range slices.Clone(effects) {
		w, ok := e.(Write)
		if !ok {
			continue
		}
		for _, r := range w.Records {
			if _, err := h.core.stateMachine.Apply(r); err != nil {
				panic(err)
			}
		}
		h.confirmWrites(h.step(WriteDone{Seq: w.Seq}))
	}
}

func (h *harness) report(info WorkerInfo, r Report) []Effect {
	w := h.core.workers[info.ID]
	return h.step(HoldDone{Worker: info.ID, Token: w.token, SentMS: h.now - 5, Outcome: Done, Report: r})
}

// advance advances the time in steps of 20 ms and returns the effects.
func (h *harness) advance(ms int64) []Effect {
	var out []Effect
	for end := h.now + ms; h.now < end; {
		h.now += 20
		out = append(out, h.step(Tick{})...)
	}
	return out
}

func findEffect[T Effect](effects []Effect) (T, bool) {
	var none T
	for _, e := range effects {
		if found, ok := e.(T); ok {
			return found, true
		}
	}
	return none, false
}

func (h *harness) submit(t *testing.T, id jobs.ID, steps ...jobs.Step) []Effect {
	encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Steps: steps})
	qt.New(t).Assert(err, qt.IsNil)
	return h.step(SubmitRequested{RequestID: 1, ID: id, Encoded: encoded})
}

var testWorker = WorkerInfo{ID: "w", Address: "a", Service: "s", Capacity: Resources{CPUMilli: 32_000, MemoryMB: 64_000}, StartedMS: 7}

// TestNothingAcknowledgedToNewIncarnation guards against lost ends of a
// restarted worker. After a hold call without a response the next one must
// acknowledge nothing, because a restarted worker numbers its ends from the
// beginning. Without the safeguard it acknowledges the old number.
func TestNothingAcknowledgedToNewIncarnation(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		c := qt.New(t)
		h := newHarness(safeguards{verifyIncarnation: disabled})
		h.join(testWorker)
		h.report(testWorker, Report{StartedMS: 7, ClockMS: 200, Ended: []EndedTask{{Number: 9, Kind: EndStopped, Task: jobs.Task{Job: "gone"}}}})
		h.advance(200)
		c.Assert(h.core.workers["w"].ackableEnd, qt.Equals, int64(9))
		h.step(HoldDone{Worker: "w", Outcome: OutcomeUnknown})
		hold, ok := findEffect[Hold](h.advance(600))
		c.Assert(ok, qt.IsTrue)
		want := int64(0)
		if disabled {
			want = 9
		}
		c.Assert(hold.AckNumber, qt.Equals, want)
	}
}

// TestAdoptedRunsKeepTheirLease guards against runs that a new leader takes as
// lost too early: it does not know how long the predecessor's lease lasts, so
// it must wait for the longest possible lease.
func TestAdoptedRunsKeepTheirLease(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 9000})
	h.step(WorkersChanged{Workers: []WorkerInfo{testWorker}})
	h.report(testWorker, Report{StartedMS: 7, ClockMS: 100, Running: []RunningTask{{Task: jobs.Task{Job: "j"}, Run: 3, Percent: 10}}})
	c.Assert(h.core.workers["w"].runs, qt.HasLen, 1)
	h.step(HoldDone{Worker: "w", Outcome: OutcomeUnknown})
	h.advance(5800)
	c.Assert(h.core.workers["w"].runs, qt.HasLen, 1)
	h.advance(1000)
	c.Assert(h.core.workers["w"].runs, qt.HasLen, 0)
}

// TestDeposedLeaderSendsNothing guards against a leader that continues after a
// worker has seen a newer token.
func TestDeposedLeaderSendsNothing(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	effects := h.step(HoldDone{Worker: "w", Token: h.core.workers["w"].token, Outcome: Fenced})
	_, deposed := findEffect[Deposed](effects)
	c.Assert(deposed, qt.IsTrue)
	effects = append(h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100}), h.advance(2000)...)
	_, started := findEffect[Start](effects)
	_, held := findEffect[Hold](effects)
	c.Assert(started || held, qt.IsFalse)
	h.step(LeadershipConfirmed{})
	_, started = findEffect[Start](append(h.report(testWorker, Report{StartedMS: 7, ClockMS: 3000}), h.advance(300)...))
	c.Assert(started, qt.IsTrue)
}

// TestUnhealthyWorkerGetsNoTasks guards against a worker on which all tasks
// fail and that uses up the attempts of jobs: after failures of several jobs it
// gets no tasks for a while, and then one at a time.
func TestUnhealthyWorkerGetsNoTasks(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	w := h.core.workers["w"]
	for i, id := range []jobs.ID{"a", "b", "c"} {
		h.submit(t, id, jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 100})
		h.advance(40)
		h.report(testWorker, Report{StartedMS: 7, ClockMS: 200 + int64(i), Ended: []EndedTask{{Number: int64(i + 1), Task: jobs.Task{Job: id}, Run: 1, Kind: EndFailed}}})
	}
	c.Assert(w.health.suspect, qt.IsTrue)
	c.Assert(w.health.admits(h.now+100, nil), qt.IsFalse)
	c.Assert(w.health.admits(h.now+suspectMS+100, nil), qt.IsTrue)
	c.Assert(w.health.admits(h.now+suspectMS+200, []*run{{sentMS: h.now + suspectMS + 100}}), qt.IsFalse)
	w.health.success()
	c.Assert(w.health.admits(h.now, nil), qt.IsTrue)
}

// TestInterferenceIsLearned checks that the model distinguishes a harmful pair
// of images from a harmless one and that its record preserves this.
func TestInterferenceIsLearned(t *testing.T) {
	c := qt.New(t)
	im := newInterferenceModel()
	im.column("loud")
	im.column("quiet")
	m := im.model("serve")
	baseline := &baselineTail{}
	for i := range 400 {
		// The baseline of the step varies between 0.25 and 0.55 of the target.
		want := 0.4 + 0.15*math.Sin(float64(i)/40)
		loud, quiet := float64(i%4)/10, float64(i%3)/10
		u := bestEffortUse{0, loud, quiet}
		ratio := want * (1 + 6*loud)
		if baseline.known {
			m.observe(u, math.Log(ratio/baseline.current(int64(i*100))))
		}
		baseline.observe(ratio, m.predictedRise(u), 6, int64(i*100))
		if i > 200 {
			c.Assert(math.Abs(baseline.current(int64(i*100))-want) < 0.1, qt.IsTrue, qt.Commentf("baseline tail %.2f, want %.2f", baseline.current(int64(i*100)), want))
		}
	}
	c.Assert(im.model("serve").coefficient(im.column("loud")) > 4, qt.IsTrue)
	c.Assert(im.model("serve").coefficient(im.column("quiet")) < 0.6, qt.IsTrue)
	value, err := im.record()
	c.Assert(err, qt.IsNil)
	restored := newInterferenceModel()
	c.Assert(restored.restore(value), qt.IsNil)
	c.Assert(restored.model("serve").coefficient(restored.column("loud")) > 2*restored.model("serve").coefficient(restored.column("quiet")), qt.IsTrue)
	c.Assert(restored.restore([]byte("{")), qt.IsNotNil)
}

// TestPaceProtectsServing checks that a best-effort task that interferes with a
// serving task is slowed and one that does not keeps its pace.
func TestPaceProtectsServing(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.submit(t, "serve", jobs.Step{Count: 1, CPUMilli: 8000, LongRunning: true, Image: "serve", TailTargetMS: 20})
	h.submit(t, "loud", jobs.Step{Count: 1, CPUMilli: 6000, BestEffort: true, Image: "loud", EstimateMS: 60_000})
	h.now += 20
	h.submit(t, "quiet", jobs.Step{Count: 1, CPUMilli: 6000, BestEffort: true, Image: "quiet", EstimateMS: 60_000})
	h.advance(100)
	h.core.interference.column("loud")
	h.core.interference.column("quiet")
	for range 300 {
		h.core.interference.model("serve").observe(bestEffortUse{0, 0.2, 0}, math.Log(3))
		h.core.interference.model("serve").observe(bestEffortUse{0, 0, 0.2}, 0)
	}
	var paces []Pace
	for i := range 5 {
		h.now += 500
		effects := h.report(testWorker, Report{StartedMS: 7, ClockMS: int64(2000 + i), Running: []RunningTask{
			{Task: jobs.Task{Job: "serve"}, Run: 1, Percent: 100, Usage: 25},
			{Task: jobs.Task{Job: "loud"}, Run: 1, Percent: i + 1, Usage: 6000},
			{Task: jobs.Task{Job: "quiet"}, Run: 1, Percent: i + 1, Usage: 6000},
		}})
		for _, e := range effects {
			if p, ok := e.(Pace); ok {
				paces = append(paces, p)
			}
		}
	}
	slowed := false
	for _, p := range paces {
		slowed = slowed || p.Task.Job == "loud" && p.Percent < 80
		c.Check(p.Task.Job == "loud" || p.Percent == 100, qt.IsTrue, qt.Commentf("%+v", p))
	}
	c.Assert(slowed, qt.IsTrue)
}

// TestOverloadPrefersJobsThatCanMeetObjective checks a burst of jobs: under
// overload, jobs that can still meet their objective go before those that
// cannot.
func TestOverloadPrefersJobsThatCanMeetObjective(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	small := testWorker
	small.Capacity = Resources{CPUMilli: 1000, MemoryMB: 64_000}
	h.join(small)
	// It gets no task before its next report.
	h.now += unresponsiveMS + 100
	h.submit(t, "old", jobs.Step{Count: 1, CPUMilli: 1000, EstimateMS: 1000})
	h.now += 2500
	h.submit(t, "new", jobs.Step{Count: 1, CPUMilli: 1000, EstimateMS: 1000})
	start, ok := findEffect[Start](append(h.report(small, Report{StartedMS: 7, ClockMS: 100}), h.advance(300)...))
	c.Assert(ok, qt.IsTrue)
	c.Assert(start.Task.Job, qt.Equals, jobs.ID("new"))
}

// TestRoomIsReservedForWideTask guards against a wide task that never starts
// because of a stream of small tasks: room that becomes free is kept for it if
// it comes first.
func TestRoomIsReservedForWideTask(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.step(QueuesChanged{Queues: []Queue{
		{Name: "q", Policy: jobs.Policy{Service: "s", Priority: 0, MaxAttempts: 2, Stretch: 9, TargetLatencyMS: 1000}},
		{Name: "batch", Policy: jobs.Policy{Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 9, TargetLatencyMS: 1000}},
	}})
	small := testWorker
	small.Capacity = Resources{CPUMilli: 10_000, MemoryMB: 64_000}
	h.join(small)
	batch := func(id jobs.ID) {
		encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "batch", Steps: []jobs.Step{{Count: 1, CPUMilli: 5000, EstimateMS: 1000}}})
		c.Assert(err, qt.IsNil)
		h.step(SubmitRequested{ID: id, Encoded: encoded})
		h.advance(40)
	}
	batch("b1")
	batch("b2")
	c.Assert(h.core.workers["w"].runs, qt.HasLen, 2)
	h.submit(t, "wide", jobs.Step{Count: 1, CPUMilli: 8000, EstimateMS: 1000})
	h.advance(40)
	batch("b3")
	end := func(number int64, id jobs.ID) {
		h.report(small, Report{StartedMS: 7, ClockMS: 1000 + number, Ended: []EndedTask{{Number: number, Task: jobs.Task{Job: id}, Run: 1, Kind: EndDone}}})
		h.advance(40)
	}
	end(1, "b1")
	c.Assert(h.core.jobs["b3"].startSent, qt.IsFalse)
	end(2, "b2")
	c.Assert(h.core.jobs["wide"].startSent, qt.IsTrue)
	c.Assert(h.core.jobs["b3"].startSent, qt.IsFalse)
}

// TestTakeoverQueriesUnlistedWorker guards against a second start of a task
// during a takeover: the directory has lost the entry of the worker that still
// runs it.
func TestTakeoverQueriesUnlistedWorker(t *testing.T) {
	c := qt.New(t)
	first := newHarness(safeguards{})
	other := testWorker
	other.ID, other.Address = "v", "b"
	var records []jobs.Record
	recordWrites := func(effects []Effect) {
		for _, e := range effects {
			if w, ok := e.(Write); ok {
				for _, r := range w.Records {
					_, err := first.core.stateMachine.Apply(r)
					c.Assert(err, qt.IsNil)
				}
				records = append(records, w.Records...)
				first.step(WriteDone{Seq: w.Seq})
			}
		}
	}
	recordWrites(first.step(WorkersChanged{Workers: []WorkerInfo{testWorker, other}}))
	recordWrites(first.report(testWorker, Report{StartedMS: 7, ClockMS: 100}))
	recordWrites(first.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 9000}))
	recordWrites(first.advance(200))
	c.Assert(first.core.jobs["j"].startSent, qt.IsTrue)

	stateMachine := jobs.NewStateMachine()
	for _, r := range records {
		_, err := stateMachine.Apply(r)
		c.Assert(err, qt.IsNil)
	}
	config := first.core.config
	config.FirstTerm = false
	h := &harness{now: first.now + 1000}
	h.core = New(config, stateMachine, 2, h.time())
	h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Stretch: 2, TargetLatencyMS: 1000}}}})
	h.step(WorkersChanged{Workers: []WorkerInfo{other}})
	effects := append(h.report(other, Report{StartedMS: 7, ClockMS: 100}), h.advance(1000)...)
	_, started := findEffect[Start](effects)
	c.Assert(started, qt.IsFalse)
	h.report(testWorker, Report{StartedMS: 7, ClockMS: 2000, Running: []RunningTask{{Task: jobs.Task{Job: "j"}, Run: 1, Percent: 20}}})
	c.Assert(h.core.workers["w"].runs, qt.HasLen, 1)
	_, started = findEffect[Start](h.advance(1000))
	c.Assert(started, qt.IsFalse)
}

// TestUnresponsiveWorkerLosesItsTasks guards against tasks that are lost with a
// worker that is gone permanently: hold calls without a response must not
// extend its lease forever.
func TestUnresponsiveWorkerLosesItsTasks(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	other := testWorker
	other.ID, other.Address = "other", "b"
	h.confirmWrites(h.step(WorkersChanged{Workers: []WorkerInfo{testWorker, other}}))
	h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: 100}))
	h.confirmWrites(h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, LongRunning: true}))
	h.advance(100)
	h.report(testWorker, Report{StartedMS: 7, ClockMS: 300, Running: []RunningTask{{Task: jobs.Task{Job: "j"}, Run: 1, Percent: 100}}})
	startMS := h.now
	// There is no predecessor.
	h.core.workers["w"].inheritedLeaseEndMS = 0
	// The last hold call that may have been carried out, its lease on a slow
	// clock, and the next hold call to the other worker.
	limitMS := int64(unresponsiveMS+float64(h.core.config.LeaseMS)*clockSlack) + leaseMarginMS + 1000
	for h.now < startMS+20_000 {
		var effects []Effect
		if h.core.workers["w"] != nil && h.core.workers["w"].holdsInFlight > 0 {
			effects = append(effects, h.step(HoldDone{Worker: "w", SentMS: h.now, Outcome: OutcomeUnknown})...)
		}
		effects = append(effects, h.step(Tick{})...)
		effects = append(effects, h.report(other, Report{StartedMS: 7, ClockMS: h.now})...)
		if start, ok := findEffect[Start](effects); ok {
			c.Assert(start.Worker, qt.Equals, WorkerID("other"))
			c.Assert(h.now-startMS <= limitMS, qt.IsTrue, qt.Commentf("%d ms", h.now-startMS))
			return
		}
		h.now += 20
	}
	c.Fatal("the task was not started again")
}

// TestBestEffortStopsBesideTaskOverTarget guards against serving tasks that
// stay slightly over their target because the model predicts them just under
// it: best-effort tasks beside them have to stop within the required 4 s.
func TestBestEffortStopsBesideTaskOverTarget(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.submit(t, "serve", jobs.Step{Count: 1, CPUMilli: 8000, LongRunning: true, Image: "serve", TailTargetMS: 100})
	h.submit(t, "fill", jobs.Step{Count: 1, CPUMilli: 6000, BestEffort: true, Image: "fill", EstimateMS: 60_000})
	h.advance(100)
	for range 300 {
		h.core.interference.model("serve").observe(bestEffortUse{0, 0.2}, 0)
	}
	startMS := h.now
	for i := 0; h.now-startMS < 4000; i++ {
		effects := h.report(testWorker, Report{StartedMS: 7, ClockMS: h.now - startMS + 2000, Running: []RunningTask{
			{Task: jobs.Task{Job: "serve"}, Run: 1, Percent: 100, Usage: 104},
			{Task: jobs.Task{Job: "fill"}, Run: 1, Percent: i + 1, Usage: 6000},
		}})
		if p, ok := findEffect[Pace](effects); ok {
			c.Assert(p.Task.Job, qt.Equals, jobs.ID("fill"))
			if p.Percent == 0 {
				return
			}
			h.step(PaceDone{Worker: "w", Task: p.Task, Run: p.Run, Percent: p.Percent, Outcome: Done})
		}
		h.now += nearTargetHoldWaitMS
	}
	c.Fatal("the best-effort task keeps running beside a serving task over its target")
}

// TestWaitIsExplained guards against an unexplained wait: the log states once
// which reasons rule the workers out.
func TestWaitIsExplained(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.submit(t, "wide", jobs.Step{Count: 2, CPUMilli: 40_000, MemoryMB: 10})
	h.submit(t, "labelled", jobs.Step{Count: 1, CPUMilli: 10, Label: "gold"})
	reasons := map[jobs.ID]string{}
	for range 30 {
		h.report(testWorker, Report{StartedMS: 7, ClockMS: h.now})
		for _, e := range h.advance(200) {
			if decision, ok := e.(Decision); ok && decision.Event == "step_waits" {
				c.Assert(reasons[decision.Job], qt.Equals, "")
				c.Assert(decision.AgeMS >= explainAfterMS, qt.IsTrue)
				reasons[decision.Job] = decision.Reason
			}
		}
	}
	c.Assert(reasons["wide"], qt.Equals, "tasks=2 cpu=40000 mem=10 ruled_out=processors:1")
	c.Assert(reasons["labelled"], qt.Equals, "tasks=1 cpu=10 mem=0 ruled_out=label:1")
}

// TestTakeoverWaitsForPriorLease guards against a takeover that delays all
// tasks for the longest lease that workers grant because one worker has crashed
// with the leader: the longest lease that the predecessor requested bounds what
// may still run there.
func TestTakeoverWaitsForPriorLease(t *testing.T) {
	c := qt.New(t)
	first := newHarness(safeguards{})
	first.join(testWorker)
	first.confirmWrites(first.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 9000}))
	first.confirmWrites(first.advance(200))
	config := first.core.config
	config.FirstTerm, config.PriorLeaseMS, config.MaxLeaseMS = false, 4000, 60_000
	h := &harness{now: first.now + 1000}
	h.core = New(config, first.core.stateMachine, 2, h.time())
	h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Stretch: 2, TargetLatencyMS: 1000}}}})
	other := testWorker
	other.ID, other.Address = "other", "b"
	h.confirmWrites(h.step(WorkersChanged{Workers: []WorkerInfo{testWorker, other}}))
	startMS, limitMS := h.now, int64(float64(4000+DeposedLeaderMS)*clockSlack)+leaseMarginMS
	for h.now-startMS < 2*limitMS {
		h.report(other, Report{StartedMS: 7, ClockMS: h.now})
		effects := h.advance(20)
		if start, ok := findEffect[Start](effects); ok {
			c.Assert(start.Worker, qt.Equals, WorkerID("other"))
			c.Assert(h.now-startMS > 4000, qt.IsTrue, qt.Commentf("%d ms", h.now-startMS))
			c.Assert(h.now-startMS <= limitMS+300, qt.IsTrue, qt.Commentf("%d ms", h.now-startMS))
			return
		}
	}
	c.Fatal("the task was not started")
}

// TestNoSpeculativeCopyWhileSuspended guards against a start by a leader whose
// leadership is unconfirmed: the speculative copy of a slow run has to wait
// like every other start.
func TestNoSpeculativeCopyWhileSuspended(t *testing.T) {
	for _, suspended := range []bool{false, true} {
		c := qt.New(t)
		h := newHarness(safeguards{})
		infos := h.joinMany(3)
		start, ok := findEffect[Start](h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900, Speculative: true}))
		c.Assert(ok, qt.IsTrue)
		if suspended {
			h.step(Suspended{})
		}
		copies := 0
		for i := range 15 {
			effects := slices.Clone(h.advance(100))
			for _, info := range infos {
				report := Report{StartedMS: 7, ClockMS: int64(2100 + 100*i)}
				if info.ID == start.Worker {
					report.Running = []RunningTask{{Task: start.Task, Run: start.Run, Percent: 1 + i/5}}
				}
				effects = append(effects, h.report(info, report)...)
			}
			if _, started := findEffect[Start](effects); started {
				copies++
			}
		}
		c.Assert(copies > 0, qt.Equals, !suspended)
	}
}
