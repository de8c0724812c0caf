package planner

import (
	"math"

	"redwingvale/internal/jobs"
	"redwingvale/internal/overload"
)

// Submissions for which there is no capacity in time are refused before anything of
// them is written. The model in internal/overload decides; this file tells it what
// waits, starts and ends, and asks it. The model is nil if the setting is off.

// overloadWarningMS is how long submissions of a queue have been refused when a
// warning asks for more capacity; it is repeated after the same time.
const overloadWarningMS = 600_000

// milliCPUToWork converts processors and a duration to core-milliseconds.
func milliCPUToWork(cpuMilli, ms int) int64 { return int64(cpuMilli) * int64(ms) / 1000 }

func (c *Core) overloadPolicy(q *Queue) overload.Policy {
	return overload.Policy{Service: q.Service, Priority: q.Priority, Objective: q.Stretch > 0 || q.TargetLatencyMS > 0}
}

// setOverloadQueues tells the model of a version of the configuration.
func (c *Core) setOverloadQueues(queues []Queue) {
	if c.overload == nil {
		return
	}
	c.overload.BeginConfiguration()
	for i := range queues {
		c.overload.SetQueue(queues[i].Name, c.overloadPolicy(&queues[i]))
	}
}

// describeSubmission returns what the model needs to know of a job.
func (c *Core) describeSubmission(id jobs.ID, spec *jobs.Job) overload.Submission {
	q := c.queueOf(spec)
	chainMS := longestChain(spec)
	s := overload.Submission{
		ID: string(id), Queue: spec.Queue, Policy: c.overloadPolicy(q),
		ChainMS: chainMS, ObjectiveMS: objective(q, chainMS),
	}
	if spec.SubmittedMS > 0 {
		s.AgeMS = max(0, c.now.UnixMS-spec.SubmittedMS)
	}
	for i := range spec.Steps {
		step := &spec.Steps[i]
		cpu, count := int64(step.CPUMilli), int64(step.Count)
		s.Work += count * milliCPUToWork(step.CPUMilli, step.EstimateMS)
		switch {
		case step.LongRunning && spec.Repeat == 0:
			// A schedule holds the capacity of its occurrences only while they run.
			s.Holds += cpu * count
		case step.LongRunning, step.BestEffort, cpu == 0:
		default:
			if s.NarrowestTask == 0 || cpu < s.NarrowestTask {
				s.NarrowestTask = cpu
			}
			s.WidestTask = max(s.WidestTask, cpu)
			s.WidestStep = max(s.WidestStep, cpu*count)
		}
	}
	return s
}

// noteJob counts an accepted job, noteStep a step that has been built.
func (c *Core) noteJob(j *job) {
	if c.overload == nil {
		return
	}
	s := c.describeSubmission(j.id, j.spec)
	c.overload.AddJob(&j.backlog, &s)
}

func (c *Core) noteStep(s *step) {
	if c.overload == nil {
		return
	}
	kind := overload.Reserved
	switch {
	case s.spec.LongRunning:
		kind = overload.LongRunning
	case s.spec.BestEffort:
		kind = overload.BestEffort
	}
	work := milliCPUToWork(s.spec.CPUMilli, s.spec.EstimateMS)
	c.overload.AddStep(&s.backlog, &s.job.backlog, kind, work, int64(s.spec.CPUMilli), len(s.tasks)-s.done)
}

// noteDeadlines tells the model when the lateness of a step changes, as lateness
// determines it.
func (c *Core) noteDeadlines(s *step) {
	if c.overload == nil {
		return
	}
	inTimeMS, valuableMS := int64(math.MaxInt64), int64(math.MaxInt64)
	if !s.spec.LongRunning && s.job.spec.Repeat == 0 {
		inTimeMS = s.deadlineMS - s.remainingMS
		valuableMS = s.job.arrivedMS + lateFactor*(s.deadlineMS-s.job.arrivedMS) - s.remainingMS
	}
	c.overload.SetDeadlines(&s.backlog, inTimeMS, valuableMS, c.now.MS)
}

func (c *Core) noteWaiting(s *step) {
	if c.overload != nil {
		c.overload.Wait(&s.backlog, c.now.MS)
	}
}

func (c *Core) noteNotWaiting(s *step) {
	if c.overload != nil {
		c.overload.Unwait(&s.backlog, c.now.MS)
	}
}

func (c *Core) noteRunBegins(s *step) {
	if c.overload != nil {
		c.overload.Begin(&s.backlog)
	}
}

func (c *Core) noteRunLeaves(s *step) {
	if c.overload != nil {
		c.overload.End(&s.backlog)
	}
}

func (c *Core) noteTaskDone(s *step) {
	if c.overload != nil {
		c.overload.Done(&s.backlog)
	}
}

func (c *Core) noteJobEnded(j *job) {
	if c.overload != nil {
		c.overload.RemoveJob(&j.backlog)
	}
}

// noteRunEnded notes the end of a run. The duration is known only of a run that this
// leader saw from its start.
func (c *Core) noteRunEnded(r *run, kind EndKind) {
	if c.overload == nil {
		return
	}
	c.overload.NoteEnd(c.now.MS)
	s := r.task.step
	if kind != EndDone || r.task.done {
		return
	}
	ratio := 0.0
	if r.confirmedMS > 0 && !r.adopted && r.task.checkpoint == "" && s.spec.EstimateMS > 0 {
		ratio = float64(c.now.MS-r.confirmedMS) / float64(s.spec.EstimateMS)
	}
	c.overload.Finished(&s.backlog, ratio)
}

// sampleOverload gives the model the usable workers when its next sample is due.
func (c *Core) sampleOverload() {
	if c.overload == nil {
		return
	}
	c.overload.Advance(c.now.MS)
	if !c.overload.SampleDue(c.now.MS) {
		return
	}
	for _, w := range c.sortedWorkers {
		if c.usable(w) {
			c.overload.AddWorker(w.info.Service, int64(w.info.Capacity.CPUMilli), int64(w.longRunning.CPUMilli), int64(w.used.CPUMilli))
		}
	}
	c.overload.EndSample(c.now.MS)
	c.warnOverload()
}

// warnOverload logs that submissions of a queue have been refused for long: then
// waiting does not help, and a person has to add capacity.
func (c *Core) warnOverload() {
	c.statusBuffer = c.overload.Statuses(c.statusBuffer[:0])
	longest := overload.Status{}
	for _, s := range c.statusBuffer {
		if s.RefusingMS > longest.RefusingMS {
			longest = s
		}
	}
	if longest.RefusingMS < overloadWarningMS || c.overloadWarnedMS > 0 && c.now.MS-c.overloadWarnedMS < overloadWarningMS {
		return
	}
	c.overloadWarnedMS = c.now.MS
	c.emit(Decision{Event: "overload_persists", Reason: "capacity has to be added", AgeMS: longest.RefusingMS, Warn: true, Details: []Detail{
		{Name: "queue", Text: longest.Queue}, {Name: "waiting_tasks", Number: longest.Tasks}, {Name: "predicted_wait_ms", Number: longest.WaitMS},
	}})
}

// Backlog appends the backlog of each configured queue to out; nothing if the
// setting is off.
func (c *Core) Backlog(out []overload.Status) []overload.Status {
	if c.overload == nil {
		return out
	}
	return c.overload.Statuses(out)
}

// mayHaveBegun reports whether there is a trace of an earlier submission of a job that
// the log does not hold: a predecessor may have started its tasks, or some caller
// has cancelled it.
func (c *Core) mayHaveBegun(id jobs.ID) bool {
	if !c.reconciled || len(c.earlyEnds[id]) > 0 || c.cancelledUnknown(id) {
		return true
	}
	for _, w := range c.sortedWorkers {
		for i := range w.orphans {
			if w.orphans[i].task.Task.Job == id {
				return true
			}
		}
	}
	return false
}

// admit decides about a submission and reports whether it may be accepted. The
// caller makes sure that neither the log nor this leader holds the job. A refusal
// counts only once the caller has read the log to its end: another instance may have
// recorded the job a moment ago.
func (c *Core) admit(e SubmitRequested, spec *jobs.Job) bool {
	if c.overload == nil || spec.Repeat > 0 {
		return true
	}
	s := c.describeSubmission(e.ID, spec)
	v := c.overload.Check(&s, c.now.MS)
	if !v.Refuse || c.lag.behind || c.commandsWithheld() || c.mayHaveBegun(e.ID) {
		c.overload.Accepted(&s, &v)
		return true
	}
	reply := Reply{RequestID: e.RequestID, Overloaded: true}
	if e.CaughtUp {
		reply.RetryAfterMS = c.overload.Refused(&s, &v, c.now.MS)
		c.emit(Decision{Event: "submission_refused", Job: e.ID, Reason: string(v.Reason), Details: []Detail{
			{Name: "queue", Text: spec.Queue}, {Name: "predicted_ms", Number: v.PredictedMS},
			{Name: "limit_ms", Number: v.LimitMS}, {Name: "retry_after_ms", Number: reply.RetryAfterMS},
		}})
	}
	c.emit(reply)
	return false
}
