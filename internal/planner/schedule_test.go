package planner

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// hourly returns a schedule whose first occurrence is due at startMS.
func hourly(repeat int, startMS, intervalMS int64) jobs.Job {
	return jobs.Job{Queue: "q", Repeat: repeat, StartAtMS: startMS, IntervalMS: intervalMS, Steps: []jobs.Step{{Count: 2, CPUMilli: 100}, {Count: 1, CPUMilli: 100, After: []int{0}}}}
}

func (h *harness) submitJob(t *testing.T, id jobs.ID, job jobs.Job) []Effect {
	encoded, err := jobs.EncodeJob(&job)
	qt.New(t).Assert(err, qt.IsNil)
	return slices.Clone(h.step(SubmitRequested{RequestID: 1, ID: id, Encoded: encoded}))
}

// work lets the worker end each run as done, one report after its start, and
// returns the starts.
func (h *harness) work(ms int64, number *int64) []Start {
	var out []Start
	for end := h.now + ms; h.now < end; {
		effects := h.advance(20)
		h.confirmWrites(effects)
		var ended []EndedTask
		for _, e := range effects {
			if s, ok := e.(Start); ok {
				out = append(out, s)
				*number++
				ended = append(ended, EndedTask{Number: *number, Task: s.Task, Run: s.Run, Kind: EndDone})
			}
		}
		h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: h.now, Ended: ended}))
	}
	return out
}

// TestScheduleIsBuiltAsItIsDue guards against leaders that keep all occurrences of a
// schedule in memory: one is built when it is due and dropped when it has ended, each
// runs once, and the job completes with the last.
func TestScheduleIsBuiltAsItIsDue(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	const repeat = 50
	startMS := h.now + 1000
	h.confirmWrites(h.submitJob(t, "j", hourly(repeat, startMS, 200)))
	c.Assert(h.core.jobs["j"].open, qt.HasLen, 0)
	var number int64
	seen := map[jobs.Task]int{}
	for range 12_000 / 100 {
		for _, s := range h.work(100, &number) {
			seen[s.Task]++
			c.Assert(h.now >= startMS+200*int64(s.Task.Occurrence), qt.IsTrue, qt.Commentf("%s", s.Task))
		}
		if j := h.core.jobs["j"]; j != nil {
			c.Assert(len(j.open) <= 3, qt.IsTrue)
		}
	}
	c.Assert(seen, qt.HasLen, 3*repeat)
	for task, n := range seen {
		c.Assert(n, qt.Equals, 1, qt.Commentf("%s", task))
	}
	state, ok := h.core.State("j")
	c.Assert(ok, qt.IsTrue)
	c.Assert(state, qt.Equals, jobs.Completed)
	c.Assert(len(h.core.schedules), qt.Equals, 0)
	c.Assert(h.core.extraBytes, qt.Equals, int64(0))
}

// TestNewLeaderContinuesSchedule guards against occurrences that run again, or never,
// after a change of leader in the middle of a schedule.
func TestNewLeaderContinuesSchedule(t *testing.T) {
	c := qt.New(t)
	first := newHarness(safeguards{})
	first.join(testWorker)
	first.confirmWrites(first.submitJob(t, "j", hourly(20, first.now+100, 300)))
	var number int64
	before := first.work(2000, &number)
	first.confirmWrites(first.advance(100))
	config := first.core.config
	config.FirstTerm = false
	h := &harness{now: first.now}
	h.core = New(config, first.core.stateMachine, 2, h.time())
	h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Stretch: 2, TargetLatencyMS: 1000}}}})
	h.join(testWorker)
	seen := map[jobs.Task]int{}
	for _, s := range append(before, h.work(6000, &number)...) {
		seen[s.Task]++
	}
	c.Assert(seen, qt.HasLen, 60)
	for task, n := range seen {
		c.Assert(n, qt.Equals, 1, qt.Commentf("%s", task))
	}
}

// TestRunOfLaterOccurrenceIsAdopted guards against a second run of a task whose
// occurrence is not due yet by this leader's clock, but was by its predecessor's.
func TestRunOfLaterOccurrenceIsAdopted(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.confirmWrites(h.submitJob(t, "j", hourly(5, h.now+1000, 1000)))
	task := jobs.Task{Job: "j", Occurrence: 2}
	running := Report{StartedMS: 7, ClockMS: h.now, Running: []RunningTask{{Task: task, Run: 4, Percent: 10}}}
	effects := slices.Clone(h.report(testWorker, running))
	_, stopped := findEffect[Stop](effects)
	c.Assert(stopped, qt.IsFalse)
	c.Assert(h.core.workers["w"].runs, qt.HasLen, 1)
	var starts []Start
	for range 200 {
		running.ClockMS = h.now
		running.Running = running.Running[:1]
		for _, s := range starts {
			running.Running = append(running.Running, RunningTask{Task: s.Task, Run: s.Run, Percent: 10})
		}
		effects := append(slices.Clone(h.report(testWorker, running)), h.advance(20)...)
		h.confirmWrites(effects)
		for _, e := range effects {
			if s, ok := e.(Start); ok {
				starts = append(starts, s)
				c.Assert(s.Task, qt.Not(qt.Equals), task)
			}
		}
	}
	c.Assert(starts, qt.HasLen, 7)
}

// TestDueOccurrencesAreBounded guards against a backlog of occurrences that fills the
// memory: beyond the limit they wait their turn, and all of them run.
func TestDueOccurrencesAreBounded(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	job := hourly(300, 1, 1)
	h.core.config.MaxJobBytes = job.Footprint() + 9*job.OccurrenceFootprint()
	h.confirmWrites(h.submitJob(t, "j", job))
	h.confirmWrites(h.advance(1000))
	c.Assert(len(h.core.jobs["j"].open), qt.Equals, 10)
	h.join(testWorker)
	var number int64
	starts := h.work(40_000, &number)
	c.Assert(starts, qt.HasLen, 900)
	state, _ := h.core.State("j")
	c.Assert(state, qt.Equals, jobs.Completed)
}

// TestRecordBoundsOpenOccurrences guards against a record of progress that the log
// rejects because too many occurrences have begun and not ended.
func TestRecordBoundsOpenOccurrences(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.core.config.Log = jobs.Limits{Record: 4000, Request: 100_000}
	job := hourly(140, 1, 1)
	h.confirmWrites(h.submitJob(t, "j", job))
	h.confirmWrites(h.advance(1000))
	j := h.core.jobs["j"]
	c.Assert(len(j.open) > 1, qt.IsTrue)
	c.Assert(len(j.open) < 140, qt.IsTrue)
	for _, o := range j.open {
		j.progress.SetDone(j.spec, jobs.Task{Job: "j", Occurrence: o.number})
	}
	record, err := jobs.ProgressRecord("j", j.progress)
	c.Assert(err, qt.IsNil)
	c.Assert(record.ContentBytes() <= 2000+100, qt.IsTrue, qt.Commentf("%d bytes", record.ContentBytes()))
}

// TestSubmissionsAreBoundedByMemory guards against instances that accept work until
// their memory ends them, one leader after the other: what does not fit is refused
// before anything of it is recorded, and is accepted once other work has ended.
func TestSubmissionsAreBoundedByMemory(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	job := jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 100, CPUMilli: 100}}}
	h.core.config.MaxJobBytes = 10 * job.Footprint()
	accepted := 0
	var unconfirmed []Effect
	for i := range 30 {
		effects := h.submitJob(t, jobs.ID(fmt.Sprint("j", i)), job)
		reply, refused := findEffect[Reply](effects)
		if refused {
			c.Assert(reply.Full && !reply.TooLarge && !reply.Accepted, qt.IsTrue)
			c.Assert(reply.RetryAfterMS >= minRetryAfterMS && reply.RetryAfterMS <= maxRetryAfterMS, qt.IsTrue)
			c.Assert(h.core.jobs[jobs.ID(fmt.Sprint("j", i))], qt.IsNil)
		} else {
			accepted++
		}
		unconfirmed = append(unconfirmed, effects...)
		if i%3 == 0 {
			h.confirmWrites(unconfirmed)
			h.confirmWrites(h.advance(40))
			unconfirmed = nil
		}
		c.Assert(h.core.JobBytes() <= h.core.config.MaxJobBytes+int64(4*job.Footprint()/10), qt.IsTrue)
	}
	c.Assert(accepted >= 7 && accepted <= 10, qt.IsTrue, qt.Commentf("%d", accepted))
	h.confirmWrites(unconfirmed)
	// A repeated submission of an accepted job is not refused.
	reply, ok := findEffect[Reply](h.submitJob(t, "j0", job))
	c.Assert(ok && reply.Accepted, qt.IsTrue)
	h.join(testWorker)
	var number int64
	h.work(5000, &number)
	_, refused := findEffect[Reply](h.submitJob(t, "later", job))
	c.Assert(refused, qt.IsFalse)
	large := jobs.Job{Queue: "q", Steps: manySteps(20, jobs.Step{Count: 200})}
	reply, _ = findEffect[Reply](h.submitJob(t, "large", large))
	c.Assert(reply.Full && reply.TooLarge, qt.IsTrue)
	c.Assert(reply.RetryAfterMS, qt.Equals, int64(0))
}
