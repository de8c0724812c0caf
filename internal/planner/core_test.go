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
	config := Config{LeaseMS: 4000, MaxLeaseMS: 6000, GangTimeoutMS: 3000, InterferenceMS: 4000, StatusMS: 120_000, FirstTerm: true, OptimisticStart: true}
	d := &harness{now: 1_000_000}
	d.core = New(config, jobs.NewBook(), 1, d.time())
	d.core.disabled = disabled
	d.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Stretch: 2, TargetLatencyMS: 1000}}}})
	return d
}

func (d *harness) time() Time { return Time{MS: d.now, UnixMS: d.now} }

func (d *harness) step(e Event) []Effect { return d.core.Step(d.time(), e) }

// join adds a worker that has reported once.
func (d *harness) join(info WorkerInfo) {
	d.confirmWrites(d.step(WorkersChanged{Workers: []WorkerInfo{info}}))
	d.confirmWrites(d.report(info, Report{BornMS: info.BornMS, ClockMS: 100}))
}

// confirmWrites records the writes among the effects.
func (d *harness) confirmWrites(effects []Effect) {
	for _, e := range slices.Clone(effects) {
		w, ok := e.(Write)
		if !ok {
			continue
		}
		for _, r := range w.Records {
			if _, err := d.core.stateMachine.Apply(r); err != nil {
				panic(err)
			}
		}
		d.confirmWrites(d.step(WriteDone{Seq: w.Seq}))
	}
}

func (d *harness) report(info WorkerInfo, r Report) []Effect {
	w := d.core.workers[info.ID]
	return d.step(HoldDone{Worker: info.ID, Token: w.token, SentMS: d.now - 5, Outcome: Done, Report: r})
}

// advance advances the time in steps of 20 ms and returns the effects.
func (d *harness) advance(ms int64) []Effect {
	var out []Effect
	for end := d.now + ms; d.now < end; {
		d.now += 20
		out = append(out, d.step(Tick{})...)
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

func (d *harness) submit(t *testing.T, id jobs.ID, steps ...jobs.Step) []Effect {
	encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Steps: steps})
	qt.New(t).Assert(err, qt.IsNil)
	return d.step(SubmitRequested{Ticket: 1, ID: id, Encoded: encoded})
}

var testWorker = WorkerInfo{ID: "w", Address: "a", Service: "s", Capacity: Room{CPUMilli: 32_000, MemoryMB: 64_000}, BornMS: 7}

// TestNothingAcknowledgedToNewIncarnation guards against lost ends of a
// restarted worker. After a hold call without a response the next one must
// acknowledge nothing, because a restarted worker numbers its ends from the
// beginning. Without the safeguard it acknowledges the old number.
func TestNothingAcknowledgedToNewIncarnation(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		c := qt.New(t)
		d := newHarness(safeguards{verifyIncarnation: disabled})
		d.join(testWorker)
		d.report(testWorker, Report{BornMS: 7, ClockMS: 200, Ended: []EndedTask{{Number: 9, Kind: EndStopped, Task: jobs.Task{Job: "gone"}}}})
		d.advance(200)
		c.Assert(d.core.workers["w"].acked, qt.Equals, int64(9))
		d.step(HoldDone{Worker: "w", Outcome: Unsure})
		hold, ok := findEffect[Hold](d.advance(600))
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
	d := newHarness(safeguards{})
	d.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 9000})
	d.step(WorkersChanged{Workers: []WorkerInfo{testWorker}})
	d.report(testWorker, Report{BornMS: 7, ClockMS: 100, Running: []RunningTask{{Task: jobs.Task{Job: "j"}, Run: 3, Percent: 10}}})
	c.Assert(d.core.workers["w"].runs, qt.HasLen, 1)
	d.step(HoldDone{Worker: "w", Outcome: Unsure})
	d.advance(5800)
	c.Assert(d.core.workers["w"].runs, qt.HasLen, 1)
	d.advance(1000)
	c.Assert(d.core.workers["w"].runs, qt.HasLen, 0)
}

// TestDeposedLeaderSendsNothing guards against a leader that continues after a
// worker has seen a newer token.
func TestDeposedLeaderSendsNothing(t *testing.T) {
	c := qt.New(t)
	d := newHarness(safeguards{})
	d.join(testWorker)
	effects := d.step(HoldDone{Worker: "w", Token: d.core.workers["w"].token, Outcome: Fenced})
	_, deposed := findEffect[Deposed](effects)
	c.Assert(deposed, qt.IsTrue)
	effects = append(d.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100}), d.advance(2000)...)
	_, started := findEffect[Start](effects)
	_, held := findEffect[Hold](effects)
	c.Assert(started || held, qt.IsFalse)
	d.step(LeadershipConfirmed{})
	_, started = findEffect[Start](append(d.report(testWorker, Report{BornMS: 7, ClockMS: 3000}), d.advance(300)...))
	c.Assert(started, qt.IsTrue)
}

// TestUnhealthyWorkerGetsNoTasks guards against a worker on which all tasks
// fail and that uses up the attempts of jobs: after failures of several jobs it
// gets no tasks for a while, and then one at a time.
func TestUnhealthyWorkerGetsNoTasks(t *testing.T) {
	c := qt.New(t)
	d := newHarness(safeguards{})
	d.join(testWorker)
	w := d.core.workers["w"]
	for i, id := range []jobs.ID{"a", "b", "c"} {
		d.submit(t, id, jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 100})
		d.advance(40)
		d.report(testWorker, Report{BornMS: 7, ClockMS: 200 + int64(i), Ended: []EndedTask{{Number: int64(i + 1), Task: jobs.Task{Job: id}, Run: 1, Kind: EndFailed}}})
	}
	c.Assert(w.health.suspect, qt.IsTrue)
	c.Assert(w.health.admits(d.now+100, nil), qt.IsFalse)
	c.Assert(w.health.admits(d.now+suspectMS+100, nil), qt.IsTrue)
	c.Assert(w.health.admits(d.now+suspectMS+200, []*run{{sentMS: d.now + suspectMS + 100}}), qt.IsFalse)
	w.health.success()
	c.Assert(w.health.admits(d.now, nil), qt.IsTrue)
}

// TestInterferenceIsLearned checks that the model distinguishes a harmful pair
// of images from a harmless one and that its record preserves this.
func TestInterferenceIsLearned(t *testing.T) {
	c := qt.New(t)
	d := newInterferenceModel()
	d.column("loud")
	d.column("quiet")
	m := d.model("serve")
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
	c.Assert(d.model("serve").coefficient(d.column("loud")) > 4, qt.IsTrue)
	c.Assert(d.model("serve").coefficient(d.column("quiet")) < 0.6, qt.IsTrue)
	value, err := d.record()
	c.Assert(err, qt.IsNil)
	next := newInterferenceModel()
	c.Assert(next.restore(value), qt.IsNil)
	c.Assert(next.model("serve").coefficient(next.column("loud")) > 2*next.model("serve").coefficient(next.column("quiet")), qt.IsTrue)
	c.Assert(next.restore([]byte("{")), qt.IsNotNil)
}

// TestPaceProtectsServing checks that a best-effort task that interferes with a
// serving task is slowed and one that does not keeps its pace.
func TestPaceProtectsServing(t *testing.T) {
	c := qt.New(t)
	d := newHarness(safeguards{})
	d.join(testWorker)
	d.submit(t, "serve", jobs.Step{Count: 1, CPUMilli: 8000, LongRunning: true, Image: "serve", TailTargetMS: 20})
	d.submit(t, "loud", jobs.Step{Count: 1, CPUMilli: 6000, Fills: true, Image: "loud", EstimateMS: 60_000})
	d.now += 20
	d.submit(t, "quiet", jobs.Step{Count: 1, CPUMilli: 6000, Fills: true, Image: "quiet", EstimateMS: 60_000})
	d.advance(100)
	d.core.interference.column("loud")
	d.core.interference.column("quiet")
	for range 300 {
		d.core.interference.model("serve").observe(bestEffortUse{0, 0.2, 0}, math.Log(3))
		d.core.interference.model("serve").observe(bestEffortUse{0, 0, 0.2}, 0)
	}
	var paces []Pace
	for i := range 5 {
		d.now += 500
		effects := d.report(testWorker, Report{BornMS: 7, ClockMS: int64(2000 + i), Running: []RunningTask{
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
	d := newHarness(safeguards{})
	small := testWorker
	small.Capacity = Room{CPUMilli: 1000, MemoryMB: 64_000}
	d.submit(t, "old", jobs.Step{Count: 1, CPUMilli: 1000, EstimateMS: 1000})
	d.now += 2500
	d.submit(t, "new", jobs.Step{Count: 1, CPUMilli: 1000, EstimateMS: 1000})
	d.step(WorkersChanged{Workers: []WorkerInfo{small}})
	start, ok := findEffect[Start](append(d.report(small, Report{BornMS: 7, ClockMS: 100}), d.advance(300)...))
	c.Assert(ok, qt.IsTrue)
	c.Assert(start.Task.Job, qt.Equals, jobs.ID("new"))
}

// TestRoomIsReservedForWideTask guards against a wide task that never starts
// because of a stream of small tasks: room that becomes free is kept for it if
// it comes first.
func TestRoomIsReservedForWideTask(t *testing.T) {
	c := qt.New(t)
	d := newHarness(safeguards{})
	d.step(QueuesChanged{Queues: []Queue{
		{Name: "q", Policy: jobs.Policy{Service: "s", Priority: 0, MaxAttempts: 2, Stretch: 9, TargetLatencyMS: 1000}},
		{Name: "batch", Policy: jobs.Policy{Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 9, TargetLatencyMS: 1000}},
	}})
	small := testWorker
	small.Capacity = Room{CPUMilli: 10_000, MemoryMB: 64_000}
	d.join(small)
	batch := func(id jobs.ID) {
		encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "batch", Steps: []jobs.Step{{Count: 1, CPUMilli: 5000, EstimateMS: 1000}}})
		c.Assert(err, qt.IsNil)
		d.step(SubmitRequested{ID: id, Encoded: encoded})
		d.advance(40)
	}
	batch("b1")
	batch("b2")
	c.Assert(d.core.workers["w"].runs, qt.HasLen, 2)
	d.submit(t, "wide", jobs.Step{Count: 1, CPUMilli: 8000, EstimateMS: 1000})
	d.advance(40)
	batch("b3")
	end := func(number int64, id jobs.ID) {
		d.report(small, Report{BornMS: 7, ClockMS: 1000 + number, Ended: []EndedTask{{Number: number, Task: jobs.Task{Job: id}, Run: 1, Kind: EndDone}}})
		d.advance(40)
	}
	end(1, "b1")
	c.Assert(d.core.jobs["b3"].started, qt.IsFalse)
	end(2, "b2")
	c.Assert(d.core.jobs["wide"].started, qt.IsTrue)
	c.Assert(d.core.jobs["b3"].started, qt.IsFalse)
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
	recordWrites(first.report(testWorker, Report{BornMS: 7, ClockMS: 100}))
	recordWrites(first.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 9000}))
	recordWrites(first.advance(200))
	c.Assert(first.core.jobs["j"].started, qt.IsTrue)

	book := jobs.NewBook()
	for _, r := range records {
		_, err := book.Apply(r)
		c.Assert(err, qt.IsNil)
	}
	config := first.core.config
	config.FirstTerm = false
	second := &harness{now: first.now + 1000}
	second.core = New(config, book, 2, second.time())
	second.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Stretch: 2, TargetLatencyMS: 1000}}}})
	second.step(WorkersChanged{Workers: []WorkerInfo{other}})
	effects := append(second.report(other, Report{BornMS: 7, ClockMS: 100}), second.advance(1000)...)
	_, started := findEffect[Start](effects)
	c.Assert(started, qt.IsFalse)
	second.report(testWorker, Report{BornMS: 7, ClockMS: 2000, Running: []RunningTask{{Task: jobs.Task{Job: "j"}, Run: 1, Percent: 20}}})
	c.Assert(second.core.workers["w"].runs, qt.HasLen, 1)
	_, started = findEffect[Start](second.advance(1000))
	c.Assert(started, qt.IsFalse)
}

// TestUnresponsiveWorkerLosesItsTasks guards against tasks that are lost with a
// worker that is gone permanently: hold calls without a response must not
// extend its lease forever.
func TestUnresponsiveWorkerLosesItsTasks(t *testing.T) {
	c := qt.New(t)
	d := newHarness(safeguards{})
	other := testWorker
	other.ID, other.Address = "other", "b"
	d.step(WorkersChanged{Workers: []WorkerInfo{testWorker, other}})
	d.confirmWrites(d.report(testWorker, Report{BornMS: 7, ClockMS: 100}))
	d.confirmWrites(d.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, LongRunning: true}))
	d.advance(100)
	d.report(testWorker, Report{BornMS: 7, ClockMS: 300, Running: []RunningTask{{Task: jobs.Task{Job: "j"}, Run: 1, Percent: 100}}})
	startMS := d.now
	// There is no predecessor.
	d.core.workers["w"].inheritedLeaseEndMS = 0
	// The last hold call that may have been carried out, its lease on a slow
	// clock, and the next hold call to the other worker.
	bound := int64(unresponsiveMS+float64(d.core.config.LeaseMS)*clockSlack) + leaseMarginMS + 1000
	for d.now < startMS+20_000 {
		var effects []Effect
		if d.core.workers["w"] != nil && d.core.workers["w"].holdsInFlight > 0 {
			effects = append(effects, d.step(HoldDone{Worker: "w", SentMS: d.now, Outcome: Unsure})...)
		}
		effects = append(effects, d.step(Tick{})...)
		effects = append(effects, d.report(other, Report{BornMS: 7, ClockMS: d.now})...)
		if start, ok := findEffect[Start](effects); ok {
			c.Assert(start.Worker, qt.Equals, WorkerID("other"))
			c.Assert(d.now-startMS <= bound, qt.IsTrue, qt.Commentf("%d ms", d.now-startMS))
			return
		}
		d.now += 20
	}
	c.Fatal("the task was not started again")
}

// TestBestEffortStopsBesideTaskOverTarget guards against serving tasks that
// stay slightly over their target because the model predicts them just under
// it: best-effort tasks beside them have to stop within the required 4 s.
func TestBestEffortStopsBesideTaskOverTarget(t *testing.T) {
	c := qt.New(t)
	d := newHarness(safeguards{})
	d.join(testWorker)
	d.submit(t, "serve", jobs.Step{Count: 1, CPUMilli: 8000, LongRunning: true, Image: "serve", TailTargetMS: 100})
	d.submit(t, "fill", jobs.Step{Count: 1, CPUMilli: 6000, Fills: true, Image: "fill", EstimateMS: 60_000})
	d.advance(100)
	for range 300 {
		d.core.interference.model("serve").observe(bestEffortUse{0, 0.2}, 0)
	}
	startMS := d.now
	for i := 0; d.now-startMS < 4000; i++ {
		effects := d.report(testWorker, Report{BornMS: 7, ClockMS: d.now - startMS + 2000, Running: []RunningTask{
			{Task: jobs.Task{Job: "serve"}, Run: 1, Percent: 100, Usage: 104},
			{Task: jobs.Task{Job: "fill"}, Run: 1, Percent: i + 1, Usage: 6000},
		}})
		if p, ok := findEffect[Pace](effects); ok {
			c.Assert(p.Task.Job, qt.Equals, jobs.ID("fill"))
			if p.Percent == 0 {
				return
			}
			d.step(PaceDone{Worker: "w", Task: p.Task, Run: p.Run, Percent: p.Percent, Outcome: Done})
		}
		d.now += nearTargetHoldWaitMS
	}
	c.Fatal("the best-effort task keeps running beside a serving task over its target")
}

// TestWaitIsExplained guards against an unexplained wait: the log states once
// which reasons rule the workers out.
func TestWaitIsExplained(t *testing.T) {
	c := qt.New(t)
	d := newHarness(safeguards{})
	d.join(testWorker)
	d.submit(t, "wide", jobs.Step{Count: 2, CPUMilli: 40_000, MemoryMB: 10})
	d.submit(t, "labelled", jobs.Step{Count: 1, CPUMilli: 10, Label: "gold"})
	reasons := map[jobs.ID]string{}
	for range 30 {
		d.report(testWorker, Report{BornMS: 7, ClockMS: d.now})
		for _, e := range d.advance(200) {
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
	second := &harness{now: first.now + 1000}
	second.core = New(config, first.core.stateMachine, 2, second.time())
	second.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Stretch: 2, TargetLatencyMS: 1000}}}})
	other := testWorker
	other.ID, other.Address = "other", "b"
	second.step(WorkersChanged{Workers: []WorkerInfo{testWorker, other}})
	startMS, bound := second.now, int64(float64(4000+deposedLeaderMS)*clockSlack)+leaseMarginMS
	for second.now-startMS < 2*bound {
		second.report(other, Report{BornMS: 7, ClockMS: second.now})
		effects := second.advance(20)
		if start, ok := findEffect[Start](effects); ok {
			c.Assert(start.Worker, qt.Equals, WorkerID("other"))
			c.Assert(second.now-startMS > 4000, qt.IsTrue, qt.Commentf("%d ms", second.now-startMS))
			c.Assert(second.now-startMS <= bound+300, qt.IsTrue, qt.Commentf("%d ms", second.now-startMS))
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
		d := newHarness(safeguards{})
		infos := d.joinMany(3)
		start, ok := findEffect[Start](d.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900, Speculative: true}))
		c.Assert(ok, qt.IsTrue)
		if suspended {
			d.step(Suspended{})
		}
		copies := 0
		for i := range 15 {
			effects := slices.Clone(d.advance(100))
			for _, info := range infos {
				report := Report{BornMS: 7, ClockMS: int64(2100 + 100*i)}
				if info.ID == start.Worker {
					report.Running = []RunningTask{{Task: start.Task, Run: start.Run, Percent: 1 + i/5}}
				}
				effects = append(effects, d.report(info, report)...)
			}
			if _, started := findEffect[Start](effects); started {
				copies++
			}
		}
		c.Assert(copies > 0, qt.Equals, !suspended)
	}
}
