package planner

import (
	"slices"

	"redwingvale/internal/jobs"
	"redwingvale/internal/overload"
)

// job is a job that is not final, or whose final state has not been recorded
// yet.
type job struct {
	id       jobs.ID
	spec     *jobs.Job
	progress *jobs.Progress
	queue    *Queue
	// open are the occurrences that have been built and have not ended, by number.
	// A job without a schedule has one, number 0.
	open []*occurrence
	// next is the first occurrence of a schedule that may not have been built yet.
	next int
	// nextMS is the Unix time at which it is to be built, queuedAt the job's index in
	// the queue of schedules, or -1.
	nextMS   int64
	queuedAt int
	// baseRun is an upper bound of the run numbers that the job's tasks had used
	// when this leader took it in.
	baseRun int
	state   jobs.State
	// recorded is set once the submission is in the log.
	recorded bool
	// startSent is set once a start has been sent for one of its tasks, which may
	// have been carried out; started once one is known to have been.
	startSent, started bool
	dirty              bool
	// submitRequests and cancelRequests are the ids of the requests that get
	// a Reply after the next write.
	submitRequests []uint64
	cancelRequests []uint64
	encoded        []byte
	// withdrawMS is when a submission that is not recorded is withdrawn if nothing of
	// it has been sent or started; 0: never.
	withdrawMS int64
	// inherited is set for a job whose tasks a predecessor may have started.
	inherited bool
	// source, earlyEnds and orphans say how the leader learned of the job and how
	// many ends and runs of it were reported before.
	source             jobSource
	earlyEnds, orphans int
	arrivedMS          int64
	// lastStartMS is when a start of one of its tasks was last sent in this term; 0
	// if none was.
	lastStartMS int64
	// progressVersion counts the changes of the tasks that are done or running and of
	// the objective.
	progressVersion int64
	// endOnly is set if only the final state of the job is to be recorded.
	endOnly bool
	// shortened is set once parts of the progress have been left out of the
	// record.
	shortened bool
	// unrecordedBytes is the memory that the job takes while its submission is not
	// in the log.
	unrecordedBytes int64
	// backlog is the job's part of the overload model.
	backlog overload.Job
}

// step is one step of one occurrence.
type step struct {
	job        *job
	occurrence *occurrence
	index      int
	spec       *jobs.Step
	tasks      []task
	done       int
	// pending holds the tasks that wait for a worker.
	pending []*task
	// pendingSinceMS is when the first of them started to wait.
	pendingSinceMS int64
	// queued is set once the predecessors are done, released once the
	// occurrence is also due.
	queued, released bool
	// activeRuns is the number of runs that are attached to a worker.
	activeRuns int
	gang       gangState
	advice     adviceState
	// deadlineMS is when the job's objective ends; remainingMS is how long the
	// job still needs from the start of the step.
	deadlineMS, remainingMS int64
	// rank is the step's place among the waiting steps in the last pass.
	rank stepRank
	// duration is the mean duration of the step's finished tasks.
	duration estimate
	// modelColumn and tail locate the step's container image in the
	// interference model, once they have been looked up.
	modelColumn int
	tail        *tailModel
	// baseline is the tail latency of the step's serving tasks without
	// interference.
	baseline baselineTail
	// noFitPass is the last pass in which no worker fitted the step's tasks; 0
	// if some may fit. fullScanMS is when all workers were last considered.
	noFitPass  int64
	fullScanMS int64
	// crowdedMS is when a search for another worker for one of the step's runs
	// last found none, or 0.
	crowdedMS int64
	// explainAtMS is how long the step has to wait until the log states why again.
	explainAtMS int64
	// reservedWorkers are the workers that the step reserved in its last full
	// scan.
	reservedWorkers []*worker
	// backlog is the step's part of the overload model.
	backlog overload.Step
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	runs  []*run
	done  bool
	// last is the run that completed the task, else the last one that is over, or
	// nil.
	last *run
	// lastRun is an upper bound of the task's run numbers so far.
	lastRun    int
	checkpoint string
	waiting    bool
	// unreconciled is set while a run that a predecessor started may still
	// exist on some worker.
	unreconciled bool
	// replaced counts the runs that were replaced because they were slow.
	replaced int
	// stalls counts the runs that were stopped because they made no progress.
	stalls int
	// stopped is set from a stop that the planner made, to run the task elsewhere,
	// until its next start; stops are these stops, one for each reason.
	stopped bool
	stops   []taskStop
	// avoided are the workers on which a run of the task failed or stalled.
	avoided []WorkerID
	// notBeforeMS is the earliest time of the next start.
	notBeforeMS int64
}

// avoid ranks a worker behind all others for the task.
func (t *task) avoid(w *worker) {
	if !t.avoids(w) {
		t.avoided = append(t.avoided, w.info.ID)
	}
}

func (t *task) avoids(w *worker) bool { return slices.Contains(t.avoided, w.info.ID) }

func (s *step) id() StepID { return StepID{s.job.id, s.occurrence.number, s.index} }

func (t *task) ref() jobs.Task {
	return jobs.Task{Job: t.step.job.id, Occurrence: t.step.occurrence.number, Step: t.step.index, Index: t.index}
}

func (s *step) resources() Resources {
	r := Resources{CPUMilli: s.spec.CPUMilli, MemoryMB: s.spec.MemoryMB, GPU: s.spec.GPU}
	if s.spec.BestEffort {
		r.CPUMilli = 0
	}
	return r
}

// submit accepts a submission: it is recorded with the next write and gets its
// Reply when it is in the log.
func (c *Core) submit(e SubmitRequested) {
	if c.disabled.refuseUnknown {
		if spec, err := jobs.DecodeJob(e.Encoded); err == nil && !c.admit(e, spec) {
			return
		}
	}
	if c.stateMachine.SubmittedEntry(e.ID) != nil {
		c.emit(Reply{RequestID: e.RequestID, Accepted: true, Known: true})
		return
	}
	if j := c.jobs[e.ID]; j != nil {
		c.noteWait(j, e.WaitMS)
		j.submitRequests = append(j.submitRequests, e.RequestID)
		return
	}
	spec, err := jobs.DecodeJob(e.Encoded)
	if err != nil {
		c.emit(Reply{RequestID: e.RequestID})
		return
	}
	if err := c.config.Log.CheckRecords(e.ID, spec, e.Encoded); err != nil {
		c.emit(Decision{Event: "submission_too_large", Job: e.ID, Reason: err.Error()})
		c.emit(Reply{RequestID: e.RequestID, TooLarge: true})
		return
	}
	if !c.Fits(spec.Footprint()) {
		c.refuseFull(e, spec)
		return
	}
	if !c.admit(e, spec) {
		return
	}
	j := c.newJob(e.ID, spec, jobs.NewProgress(spec), !c.reconciled)
	j.source = sourceSubmission
	c.noteWait(j, e.WaitMS)
	j.submitRequests = []uint64{e.RequestID}
	j.encoded = e.Encoded
	c.noteUnrecorded(j)
	c.journal.submissions = append(c.journal.submissions, j)
	if c.cancelledUnknown(e.ID) {
		c.endJob(j, jobs.Cancelled, "cancelled before its submission was recorded")
		return
	}
	c.adoptOrphans(e.ID)
	if c.config.OptimisticStart {
		c.openSteps(j)
	}
	c.applyHistory(j)
}

// applyHistory completes or fails a job if its earlier runs already decide
// that.
func (c *Core) applyHistory(j *job) {
	c.completeIfDone(j)
	if !j.state.Final() {
		c.recheckAttempts(j)
	}
}

// cancel stops a job and records its cancellation.
func (c *Core) cancel(e CancelRequested) {
	j := c.jobs[e.ID]
	known := c.stateMachine.SubmittedEntry(e.ID) != nil
	switch {
	case j != nil:
	case !known && e.RecordUnknown:
		c.cancelUnknown(e)
		return
	default:
		c.emit(Reply{RequestID: e.RequestID, Accepted: true, Known: known})
		return
	}
	if !j.state.Final() {
		c.endJob(j, jobs.Cancelled, "cancelled by the caller")
	}
	j.cancelRequests = append(j.cancelRequests, e.RequestID)
}

// recordRead updates a job after another instance has written a record of it.
func (c *Core) recordRead(id jobs.ID) {
	entry := c.stateMachine.SubmittedEntry(id)
	j := c.jobs[id]
	switch {
	case entry == nil:
	case j == nil:
		c.adoptJob(id, !c.reconciled)
		if j = c.jobs[id]; j == nil {
			return
		}
		j.source = sourceRecord
		if !j.state.Final() && c.cancelledUnknown(id) {
			c.endJob(j, jobs.Cancelled, "cancelled before its submission was recorded")
		}
	case entry.Cancelled && !j.state.Final():
		c.endJob(j, jobs.Cancelled, "cancelled through another instance")
	}
}

// adoptJob starts to manage a job of the state machine.
func (c *Core) adoptJob(id jobs.ID, inherited bool) {
	entry := c.stateMachine.Jobs[id]
	if entry == nil || entry.Job == nil || entry.State().Final() {
		if entry != nil && entry.Job != nil && entry.Cancelled && (entry.Progress == nil || !entry.Progress.State.Final()) {
			// Another instance recorded the cancellation; record the final
			// state.
			j := c.newJob(id, entry.Job, progressOf(entry), inherited)
			j.recorded = true
			c.endJob(j, jobs.Cancelled, "cancelled through another instance")
		}
		return
	}
	j := c.newJob(id, entry.Job, progressOf(entry), inherited)
	j.recorded = true
	j.state = entry.State()
	j.started = j.started || j.state == jobs.Active
	c.adoptOrphans(id)
	c.openSteps(j)
	c.applyHistory(j)
}

func progressOf(entry *jobs.Entry) *jobs.Progress {
	if entry.Progress == nil {
		return jobs.NewProgress(entry.Job)
	}
	progress := entry.Progress.Clone()
	progress.Fit(entry.Job)
	return progress
}

func (c *Core) newJob(id jobs.ID, spec *jobs.Job, progress *jobs.Progress, inherited bool) *job {
	j := &job{
		id: id, spec: spec, progress: progress, queue: c.queueOf(spec),
		state: jobs.Queued, inherited: inherited, arrivedMS: c.now.MS, queuedAt: -1,
	}
	if spec.SubmittedMS > 0 {
		// The age of a job counts from its submission, also across leaders.
		j.arrivedMS -= max(0, c.now.UnixMS-spec.SubmittedMS)
	}
	c.applyEarlyEnds(j)
	// A predecessor may have started tasks of any job, also of one that is recorded
	// only now.
	j.baseRun = max(progress.LastRun, int(c.epoch-1)*runsPerTerm)
	c.jobs[id] = j
	c.noteJob(j)
	if spec.Repeat == 0 {
		c.buildOccurrence(j, 0)
	}
	return j
}

// openSteps queues each step whose predecessors are done, of the occurrences that
// are due.
func (c *Core) openSteps(j *job) {
	for s := range j.steps() {
		c.openStep(s)
	}
	if j.spec.Repeat > 0 {
		c.scheduleNext(j)
		c.openDue()
	}
}

func (c *Core) openStep(s *step) {
	if s.queued || s.done == len(s.tasks) || !s.predecessorsDone() && !c.disabled.stepOrder {
		return
	}
	s.queued = true
	if due := s.job.spec.DueMS(s.occurrence.number); due > c.now.UnixMS {
		c.scheduled = append(c.scheduled, s)
		return
	}
	c.queueTasks(s)
}

func (s *step) predecessorsDone() bool {
	for _, before := range s.spec.After {
		if b := s.occurrence.steps[before]; b.done < len(b.tasks) {
			return false
		}
	}
	return true
}

func (c *Core) queueTasks(s *step) {
	s.released = true
	s.deadlineMS, s.remainingMS = c.deadline(s.job), c.remainingWork(s)
	c.noteDeadlines(s)
	for i := range s.tasks {
		if t := &s.tasks[i]; !t.done && len(t.runs) == 0 {
			c.requeue(t)
		}
	}
}

// requeue adds a task to those that wait for a worker.
func (c *Core) requeue(t *task) {
	s := t.step
	if t.waiting || t.done || s.job.state.Final() || !s.released || c.exhausted(t) {
		return
	}
	t.waiting = true
	c.noteWaiting(s)
	if len(s.pending) == 0 {
		c.ready = append(c.ready, s)
		s.pendingSinceMS = c.now.MS
	}
	s.pending = slices.Insert(s.pending, s.queuePosition(t), t)
	c.placementDue = true
}

// finishTask marks a task as done and queues the steps that depended on it.
func (c *Core) finishTask(t *task) {
	if t.done {
		return
	}
	s, j := t.step, t.step.job
	t.done = true
	s.done++
	c.noteTaskDone(s)
	j.progressVersion++
	j.progress.SetDone(j.spec, t.ref())
	j.dirty = true
	c.unqueue(t)
	if s.done < len(s.tasks) {
		return
	}
	s.occurrence.unfinished--
	for _, next := range s.occurrence.steps {
		c.openStep(next)
	}
	c.dropEnded(s.occurrence)
	c.completeIfDone(j)
}

func (c *Core) completeIfDone(j *job) {
	if j.spec.Repeat > 0 && j.progress.Ended.Len() == j.spec.Occurrences() || j.spec.Repeat == 0 && j.open[0].unfinished == 0 {
		c.endJob(j, jobs.Completed, "all tasks are done")
	}
}

// endJob makes a job final: none of its tasks starts again and its active runs
// are stopped.
func (c *Core) endJob(j *job, state jobs.State, reason string) {
	j.state = state
	j.progress.State = state
	j.progress.EndedMS = c.now.UnixMS
	j.dirty = true
	c.markDirty(j)
	c.schedules.remove(j)
	c.emit(Decision{Event: "job_ended", Job: j.id, Reason: reason, AgeMS: c.now.MS - j.arrivedMS})
	c.endTasks(j, "job ended")
}

// endTasks lets no task of a final job start again and stops its active runs.
func (c *Core) endTasks(j *job, reason string) {
	c.noteJobEnded(j)
	for s := range j.steps() {
		s.pending = nil
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.waiting {
				c.noteNotWaiting(s)
			}
			t.waiting = false
			for _, r := range t.runs {
				c.stopRun(r, reason)
			}
		}
	}
}

func (c *Core) unqueue(t *task) {
	if !t.waiting {
		return
	}
	t.waiting = false
	s := t.step
	c.noteNotWaiting(s)
	for i, other := range s.pending {
		if other == t {
			s.pending = append(s.pending[:i], s.pending[i+1:]...)
			return
		}
	}
}
