package jobs

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
)

// TestCheck guards against accepting jobs that the planner cannot process.
func TestCheck(t *testing.T) {
	step := Step{Count: 1}
	for _, test := range []struct {
		name string
		job  Job
		want code.Code
	}{
		{"valid", Job{Steps: []Step{step, {Count: 2, After: []int{0}}}}, code.OK},
		{"no steps", Job{}, code.BadRequest},
		{"payload too large", Job{Payload: string(make([]byte, MaxPayloadBytes+1)), Steps: []Step{step}}, code.BodyTooLarge},
		{"no tasks", Job{Steps: []Step{{}}}, code.BadRequest},
		{"depends on itself", Job{Steps: []Step{{Count: 1, After: []int{0}}}}, code.BadRequest},
		{"depends on a later step", Job{Steps: []Step{{Count: 1, After: []int{1}}, step}}, code.BadRequest},
		{"negative amount", Job{Steps: []Step{{Count: 1, CPUMilli: -1}}}, code.BadResources},
		{"too many occurrences", Job{Repeat: math.MaxInt, Steps: []Step{step}}, code.BadRequest},
		{"too many tasks in all", Job{Repeat: 11, Steps: []Step{{Count: 10_000}}}, code.BadRequest},
		{"maximum number of tasks", Job{Repeat: 10, Steps: []Step{{Count: 10_000}}}, code.OK},
		{"negative schedule", Job{Repeat: -1, Steps: []Step{step}}, code.BadRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.New(t).Assert(code.Of(test.job.Check()), qt.Equals, test.want)
		})
	}
}

// TestDueTimes guards against occurrences that start before they are due because
// their time overflows.
func TestDueTimes(t *testing.T) {
	for _, test := range []struct {
		job        Job
		occurrence int
		want       int64
	}{
		{Job{}, 0, 0},
		{Job{Repeat: 3, StartAtMS: 1000, IntervalMS: 50}, 2, 1100},
		{Job{Repeat: 3, StartAtMS: 1000}, 2, 1000},
		{Job{Repeat: 3, StartAtMS: 1000, IntervalMS: 1 << 62}, 1, 1000 + 1<<62},
		{Job{Repeat: 3, StartAtMS: 1000, IntervalMS: 1 << 62}, 2, math.MaxInt64},
		{Job{Repeat: 3, StartAtMS: math.MaxInt64, IntervalMS: 1}, 2, math.MaxInt64},
	} {
		qt.New(t).Check(test.job.DueMS(test.occurrence), qt.Equals, test.want, qt.Commentf("%+v, occurrence %d", test.job, test.occurrence))
	}
}

// TestTaskNames guards the round trip of a task's name and the rejection of names
// in any other format.
func TestTaskNames(t *testing.T) {
	c := qt.New(t)
	task := Task{Job: "5c0e7a21d94b36f8", Occurrence: 2, Step: 1, Index: 17}
	c.Assert(task.String(), qt.Equals, "5c0e7a21d94b36f8.2.1.17")
	c.Assert(task.StepName(), qt.Equals, "5c0e7a21d94b36f8.2.1")
	got, ok := ParseTask(task.String())
	c.Assert(ok, qt.IsTrue)
	c.Assert(got, qt.Equals, task)
	for _, bad := range []string{"", "a.b", "a.0.0", "a.0.0.x", "a.0.0.-1", "a.0.0.0.0", "a.4294967296.0.0", "a.0.0.9223372036854775807"} {
		_, ok := ParseTask(bad)
		c.Check(ok, qt.IsFalse, qt.Commentf("%s", bad))
	}
}

// TestProgress guards the progress record and its encoding: a failure that is
// reported twice counts once, and a checkpoint is removed when its task is done.
func TestProgress(t *testing.T) {
	c := qt.New(t)
	job := &Job{Repeat: 2, Steps: []Step{{Count: 9}, {Count: 1}}}
	p := NewProgress(job)
	task := Task{Job: "j", Occurrence: 1, Step: 0, Index: 8}
	p.AddFailure(task, 3)
	p.AddFailure(task, 3)
	p.AddFailure(task, 4)
	p.SetCheckpoint(task, "cp")
	c.Assert(p.FailuresOf(task), qt.Equals, 2)
	c.Assert(p.CheckpointOf(task), qt.Equals, "cp")
	clone := p.Clone()
	p.SetDone(job, task)
	c.Assert(p.IsDone(job, task), qt.IsTrue)
	c.Assert(p.DoneCount(job, 1, 0), qt.Equals, 1)
	c.Assert(p.CheckpointOf(task), qt.Equals, "")
	c.Assert(clone.IsDone(job, task), qt.IsFalse)
	c.Assert(clone.CheckpointOf(task), qt.Equals, "cp")
	record, err := ProgressRecord("j", p)
	c.Assert(err, qt.IsNil)
	m := NewStateMachine()
	_, err = m.Apply(record)
	c.Assert(err, qt.IsNil)
	c.Assert(m.Jobs["j"].Progress.IsDone(job, task), qt.IsTrue)
	c.Assert(m.Jobs["j"].Progress.FailuresOf(task), qt.Equals, 2)
}

// TestRecordPrecedence guards the rules for several records of one job: the first
// submission wins, a cancellation applies until the job is final by its progress,
// a cancellation alone does not count as a submission, and deleted records leave
// no entry.
func TestRecordPrecedence(t *testing.T) {
	c := qt.New(t)
	encode := func(payload string) []byte {
		value, err := EncodeJob(&Job{Payload: payload, Steps: []Step{{Count: 1}}})
		c.Assert(err, qt.IsNil)
		return value
	}
	apply := func(m *StateMachine, records ...Record) {
		for _, r := range records {
			_, err := m.Apply(r)
			c.Assert(err, qt.IsNil)
		}
	}
	m := NewStateMachine()
	apply(m, SubmissionRecord("j", encode("first")), SubmissionRecord("j", encode("second")))
	c.Assert(m.Jobs["j"].Job.Payload, qt.Equals, "first")
	c.Assert(m.Jobs["j"].State(), qt.Equals, Queued)
	apply(m, CancellationRecord("j"))
	c.Assert(m.Jobs["j"].State(), qt.Equals, Cancelled)
	done, err := ProgressRecord("j", &Progress{State: Completed})
	c.Assert(err, qt.IsNil)
	apply(m, done)
	c.Assert(m.Jobs["j"].State(), qt.Equals, Completed)
	apply(m, CancellationRecord("other"))
	c.Assert(m.SubmittedEntry("other"), qt.IsNil)
	apply(m, DropRecords("j")...)
	c.Assert(m.SubmittedEntry("j"), qt.IsNil)
	_, err = m.Apply(Record{Key: "s/bad", Value: []byte("{")})
	c.Assert(err, qt.IsNotNil)
}
