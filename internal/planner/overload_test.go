package planner

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// overloadedHarness returns a leader whose only worker is full and whose queue has
// far more work than it can do in time.
func overloadedHarness(t *testing.T) *harness {
	h := newHarness(safeguards{})
	h.core.config.Overload = true
	h.core = New(h.core.config, jobs.NewStateMachine(), 1, h.time())
	h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Stretch: 2, TargetLatencyMS: 1000}}}})
	h.join(testWorker)
	h.confirmWrites(h.submit(t, "first", jobs.Step{Count: 8, CPUMilli: 4000, MemoryMB: 1, EstimateMS: 1000}))
	w := h.core.workers["w"]
	report := Report{StartedMS: 7, ClockMS: 100}
	for i := range 7 {
		report.Running = append(report.Running, RunningTask{Task: jobs.Task{Job: "first", Index: i}, Run: 1, Percent: 10})
	}
	qt.Assert(t, w.runs, qt.HasLen, 8)
	report.Ended = []EndedTask{{Number: 1, Task: jobs.Task{Job: "first", Index: 7}, Run: 1, Kind: EndDone}}
	for range 10 {
		h.confirmWrites(h.advance(400))
		report.ClockMS += 400
		h.confirmWrites(h.report(testWorker, report))
	}
	for i := range 30 {
		h.confirmWrites(h.submit(t, jobs.ID(fmt.Sprint("load", i)), jobs.Step{Count: 8, CPUMilli: 4000, MemoryMB: 1, EstimateMS: 1000}))
	}
	h.confirmWrites(h.advance(400))
	h.confirmWrites(h.report(testWorker, report))
	return h
}

func (h *harness) submitOverloaded(t *testing.T, id jobs.ID, caughtUp bool, job *jobs.Job) []Effect {
	encoded, err := jobs.EncodeJob(job)
	qt.Assert(t, err, qt.IsNil)
	return slices.Clone(h.step(SubmitRequested{RequestID: 7, ID: id, Encoded: encoded, CaughtUp: caughtUp}))
}

// Guards against a refusal that leaves a trace of the job, against one that counts
// before the log was read, and against refusals of jobs that may have begun, that
// have a schedule, or that a leader in doubt or behind decides about.
func TestRefusalUnderOverload(t *testing.T) {
	c := qt.New(t)
	job := &jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 8, CPUMilli: 4000, MemoryMB: 1, EstimateMS: 1000}}}
	refused := func(effects []Effect) bool {
		reply, _ := findEffect[Reply](effects)
		return reply.Overloaded
	}

	h := overloadedHarness(t)
	effects := h.submitOverloaded(t, "new", false, job)
	_, logged := findEffect[Decision](effects)
	c.Assert(refused(effects) && !logged, qt.IsTrue, qt.Commentf("provisional refusal"))
	bytes := h.core.JobBytes()
	effects = h.submitOverloaded(t, "new", true, job)
	reply, _ := findEffect[Reply](effects)
	c.Assert(reply.Overloaded && !reply.Accepted, qt.IsTrue)
	c.Assert(reply.RetryAfterMS >= 1000 && reply.RetryAfterMS <= 30_000, qt.IsTrue)
	d, _ := findEffect[Decision](effects)
	c.Assert(d.Event, qt.Equals, "submission_refused")
	c.Assert(h.core.jobs["new"], qt.IsNil)
	c.Assert(h.core.JobBytes(), qt.Equals, bytes)
	effects = append(effects, h.advance(100)...)
	for _, e := range effects {
		if w, ok := e.(Write); ok {
			for _, r := range w.Records {
				c.Check(jobs.SubmissionID(r), qt.Not(qt.Equals), jobs.ID("new"))
			}
		}
	}
	c.Assert(refused(h.submitOverloaded(t, "load3", true, job)), qt.IsFalse, qt.Commentf("recorded"))
	scheduled := &jobs.Job{Queue: "q", Steps: job.Steps, Repeat: 2, IntervalMS: 1000, StartAtMS: h.now}
	c.Assert(refused(h.submitOverloaded(t, "scheduled", true, scheduled)), qt.IsFalse)

	for name, change := range map[string]func(){
		"behind":              func() { h.core.lag.behind = true },
		"in doubt":            func() { h.core.config.LeadershipLeaseMS = 1; h.core.leadershipMS = h.now - 2 },
		"suspended":           func() { h.core.suspended = true },
		"during a takeover":   func() { h.core.reconciled = false },
		"an end is known":     func() { h.core.earlyEnds["new"] = []jobs.EarlyEnd{{}} },
		"a run is known":      func() { h.core.workers["w"].orphans = []orphan{{task: RunningTask{Task: jobs.Task{Job: "new"}}}} },
		"no worker is usable": func() { h.core.workers["w"].info.Draining = true; h.advance(400) },
	} {
		h = overloadedHarness(t)
		change()
		c.Check(refused(h.submitOverloaded(t, "new", true, job)), qt.IsFalse, qt.Commentf("%s", name))
	}
}

// Guards against sums of the model that drift from what the planner holds, over all
// the ways in which tasks wait, start and end.
func TestModelAgreesWithThePlanner(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		sim := runSeed(seed+1, func(sim *simulation) {
			sim.injectOverload()
			if seed%2 == 1 {
				sim.injectTakeoverFaults()
			}
			if seed%3 == 0 {
				sim.slowLog()
			}
			for i := range int64(80) {
				sim.at(500*i, func() {
					if differs := sim.leader.core.modelDifference(); differs != "" {
						sim.violate("MODEL", "%s", differs)
					}
				})
			}
		})
		c.Assert(sim.violations, qt.HasLen, 0)
	}
}

// modelDifference compares the jobs and waiting tasks of the model with the planner's.
func (c *Core) modelDifference() string {
	tasks, work, open := map[string]int64{}, map[string]int64{}, map[string]int{}
	for _, id := range c.jobIDs() {
		j := c.jobs[id]
		if !j.state.Final() {
			open[j.spec.Queue]++
		}
		for s := range j.steps() {
			n := int64(len(s.pending))
			tasks[j.spec.Queue] += n
			work[j.spec.Queue] += n * milliCPUToWork(s.spec.CPUMilli, s.spec.EstimateMS)
		}
	}
	for _, s := range c.Backlog(nil) {
		if s.Jobs != open[s.Queue] {
			return fmt.Sprintf("queue %s: %d jobs in the model, %d are open", s.Queue, s.Jobs, open[s.Queue])
		}
		if s.Tasks != tasks[s.Queue] || s.Work != work[s.Queue] {
			return fmt.Sprintf("queue %s: %d tasks and work %d in the model, %d and %d wait", s.Queue, s.Tasks, s.Work, tasks[s.Queue], work[s.Queue])
		}
	}
	return ""
}
