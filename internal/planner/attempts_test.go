package planner

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// TestFailuresOfLongRunningTasksAreNotListed guards against a progress record
// that grows until the log rejects it: failures of long-running tasks count
// towards no limit and are not listed.
func TestFailuresOfLongRunningTasksAreNotListed(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.confirmWrites(h.submit(t, "watch", jobs.Step{Count: 1, CPUMilli: 100, LongRunning: true}))
	h.confirmWrites(h.advance(100))
	for i := range 50 {
		j := h.core.jobs["watch"]
		run := j.open[0].steps[0].tasks[0].lastRun
		h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: h.now, Ended: []EndedTask{
			{Number: int64(i + 1), Task: jobs.Task{Job: "watch"}, Run: run, Kind: EndFailed},
		}}))
		h.confirmWrites(h.advance(300))
	}
	c.Assert(h.core.jobs["watch"].open[0].steps[0].tasks[0].lastRun > 5, qt.IsTrue)
	c.Assert(h.core.stateMachine.Jobs["watch"].Progress.Failures, qt.HasLen, 0)
}

// newTerm returns the second term of a log that holds the given job, with two
// workers that have not reported yet.
func newTerm(t *testing.T, disabled safeguards, step jobs.Step) (h *harness, first, second WorkerInfo) {
	c := qt.New(t)
	first, second = testWorker, testWorker
	second.ID, second.Address = "v", "b"
	before := newHarness(safeguards{})
	before.join(first)
	before.confirmWrites(before.step(WorkersChanged{Workers: []WorkerInfo{first, second}}))
	before.confirmWrites(before.submit(t, "j", step))
	before.confirmWrites(before.advance(100))
	c.Assert(before.core.stateMachine.Workers, qt.HasLen, 2)
	config := before.core.config
	config.FirstTerm = false
	h = &harness{now: before.now + 1000}
	h.core = New(config, before.core.stateMachine, 2, h.time())
	h.core.disabled = disabled
	h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Stretch: 2, TargetLatencyMS: 1000}}}})
	h.step(WorkersChanged{Workers: []WorkerInfo{first, second}})
	return h, first, second
}

// TestRetryAwaitsFailuresOfFormerTerm guards against a run too many after a change
// of leader: the run that the new leader has adopted fails before another worker has
// listed an earlier failure. Without the safeguard the task starts a third time.
func TestRetryAwaitsFailuresOfFormerTerm(t *testing.T) {
	task := jobs.Task{Job: "j"}
	for _, disabled := range []bool{false, true} {
		c := qt.New(t)
		h, first, second := newTerm(t, safeguards{awaitFailures: disabled}, jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 500})
		h.report(first, Report{StartedMS: 7, ClockMS: 100, Running: []RunningTask{{Task: task, Run: 2, Percent: 50}}})
		effects := h.report(first, Report{StartedMS: 7, ClockMS: 200, Ended: []EndedTask{{Number: 1, Task: task, Run: 2, Kind: EndFailed}}})
		effects = append(slices.Clone(effects), h.advance(400)...)
		_, started := findEffect[Start](effects)
		c.Assert(started, qt.Equals, disabled)
		if disabled {
			continue
		}
		effects = h.report(second, Report{StartedMS: 7, ClockMS: 300, Ended: []EndedTask{{Number: 1, Task: task, Run: 1, Kind: EndFailed}}})
		effects = append(slices.Clone(effects), h.advance(400)...)
		_, started = findEffect[Start](effects)
		c.Assert(started, qt.IsFalse)
		c.Assert(h.core.jobs["j"].state, qt.Equals, jobs.Failed)
	}
}

// TestRetryFollowsLastReport guards against a task that stays held back once all
// workers have reported, or the leases of the silent ones are over.
func TestRetryFollowsLastReport(t *testing.T) {
	task := jobs.Task{Job: "j"}
	for _, silent := range []bool{false, true} {
		c := qt.New(t)
		h, first, second := newTerm(t, safeguards{}, jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 500})
		h.report(first, Report{StartedMS: 7, ClockMS: 100, Running: []RunningTask{{Task: task, Run: 2, Percent: 50}}})
		h.report(first, Report{StartedMS: 7, ClockMS: 200, Ended: []EndedTask{{Number: 1, Task: task, Run: 2, Kind: EndFailed}}})
		h.advance(400)
		var effects []Effect
		if silent {
			for range 100 {
				effects = append(slices.Clone(effects), h.report(first, Report{StartedMS: 7, ClockMS: h.now})...)
				effects = append(effects, h.advance(100)...)
			}
		} else {
			effects = append(slices.Clone(h.report(second, Report{StartedMS: 7, ClockMS: 300})), h.advance(400)...)
		}
		start, started := findEffect[Start](effects)
		c.Assert(started, qt.IsTrue)
		c.Assert(start.Run > 2, qt.IsTrue)
	}
}

// TestGangRetryAwaitsFailuresOfFormerTerm guards against the same run too many of a
// gang, all of whose members the new leader has adopted.
func TestGangRetryAwaitsFailuresOfFormerTerm(t *testing.T) {
	c := qt.New(t)
	h, first, _ := newTerm(t, safeguards{}, jobs.Step{Count: 2, CPUMilli: 100, EstimateMS: 500, Gang: true})
	members := []jobs.Task{{Job: "j"}, {Job: "j", Index: 1}}
	h.report(first, Report{StartedMS: 7, ClockMS: 100, Running: []RunningTask{{Task: members[0], Run: 2}, {Task: members[1], Run: 2}}})
	effects := h.report(first, Report{StartedMS: 7, ClockMS: 200, Ended: []EndedTask{
		{Number: 1, Task: members[0], Run: 2, Kind: EndFailed}, {Number: 2, Task: members[1], Run: 2, Kind: EndBroken},
	}})
	_, started := findEffect[Start](append(slices.Clone(effects), h.advance(400)...))
	c.Assert(started, qt.IsFalse)
}

// TestNoCopyBeforeFailuresAreKnown guards against a second copy of a slow task whose
// failures of a former term may already have used up its attempts.
func TestNoCopyBeforeFailuresAreKnown(t *testing.T) {
	task := jobs.Task{Job: "j"}
	for _, disabled := range []bool{false, true} {
		c := qt.New(t)
		h, first, second := newTerm(t, safeguards{awaitFailures: disabled}, jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 300, Speculative: true})
		third := second
		third.ID, third.Address = "u", "c"
		h.confirmWrites(h.step(WorkersChanged{Workers: []WorkerInfo{first, second, third}}))
		h.report(third, Report{StartedMS: 7, ClockMS: 100})
		var effects []Effect
		for i := range 12 {
			report := Report{StartedMS: 7, ClockMS: 100 + int64(i), Running: []RunningTask{{Task: task, Run: 2, Percent: 1 + i/4}}}
			effects = append(slices.Clone(effects), h.report(first, report)...)
			effects = append(effects, h.advance(100)...)
		}
		_, started := findEffect[Start](effects)
		c.Assert(started, qt.Equals, disabled)
	}
}

// TestLongRunningRetryAwaitsNoReport guards against an outage of a long-running task
// after a change of leader: its attempts are not limited, so nothing has to be known
// of its failures.
func TestLongRunningRetryAwaitsNoReport(t *testing.T) {
	c := qt.New(t)
	h, first, _ := newTerm(t, safeguards{}, jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 500, LongRunning: true})
	task := jobs.Task{Job: "j"}
	h.report(first, Report{StartedMS: 7, ClockMS: 100, Running: []RunningTask{{Task: task, Run: 2, Percent: 100}}})
	effects := h.report(first, Report{StartedMS: 7, ClockMS: 200, Ended: []EndedTask{{Number: 1, Task: task, Run: 2, Kind: EndFailed}}})
	_, started := findEffect[Start](append(slices.Clone(effects), h.advance(400)...))
	c.Assert(started, qt.IsTrue)
}
