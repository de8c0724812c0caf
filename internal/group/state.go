package group

import (
	"time"

	"redwingvale/internal/fence"
	"redwingvale/internal/journal"
	"redwingvale/internal/record"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// taskState is the state of a task according to the applied records. The numeric
// values are stored in snapshots.
type taskState uint32

const (
	taskWaiting taskState = iota
	// taskStarting has a recorded intent; the attempt may or may not have
	// started.
	taskStarting
	taskRunning
	taskStopping
	taskEnded
)

func (s taskState) String() string {
	return [...]string{"waiting", "starting", "running", "stopping", "ended"}[s]
}

// task is one task of a job. All fields except attemptState are derived from
// applied records.
type task struct {
	job        *job
	index      uint32
	state      taskState
	attempt    spec.Attempt
	worker     spec.WorkerID
	boot       string
	checkpoint string
	progress   float64
	moves      uint32
	failures   uint32
	code       int32
	// ran is set if an attempt may have run.
	ran bool
	// epoch is the epoch in which the current attempt's intent was written.
	epoch spec.Epoch
	// attemptState is the owner's volatile state of a placed task; it is nil on
	// a follower and while the task has neither a pending intent nor an open
	// attempt.
	attemptState *attemptState
}

func (t *task) id() spec.TaskID { return spec.TaskID{Job: t.job.id, Index: t.index} }

func (t *task) active() bool {
	return t.state == taskStarting || t.state == taskRunning || t.state == taskStopping
}

// retryable reports whether another attempt may run after one that ran.
func (t *task) retryable() bool {
	return t.job.spec.GetRestartFromStart() || t.checkpoint != ""
}

// job is one job. The fields before the blank line are derived from applied
// records, the others are volatile state of the owner.
type job struct {
	id          spec.JobID
	spec        *recordv1.JobSpec
	contentHash uint64
	cancelled   bool
	ended       bool
	code        int32
	hop         uint32
	movedTo     spec.GroupID
	handOffDone bool
	fromGroup   spec.GroupID
	tasks       []task
	// active and finished count tasks.
	active   int
	finished int

	// pendingIntents counts intents of this owner that have not been read back.
	pendingIntents int
	// endPending is set while a JobEnded or JobForgotten record has not been
	// read back, handOffPending while a JobHandOff or JobHandOffDone record has
	// not.
	endPending     bool
	handOffPending bool
	// nextCancelTask is the index of the next task to process after a
	// cancellation.
	nextCancelTask int
	// startHorizon is the time after which no start command that was sent for
	// the job can still take effect.
	startHorizon time.Duration
	// phaseSince is when the owner first observed the job in its current phase:
	// without a running task, ended or moved.
	phaseSince time.Duration
	// endedElsewhere is set if the job has ended in the group to which it moved,
	// and forgottenBySource if the group from which it came has forgotten it.
	endedElsewhere    bool
	forgottenBySource bool
	// nextResend is when the HandOff or SendForgetMovedJob is sent again.
	nextResend time.Duration
}

func (j *job) resources() spec.Resources { return record.ToResources(j.spec.GetPerTask()) }

// open reports whether tasks of the job may still run in this group.
func (j *job) open() bool { return !j.ended && !j.cancelled && j.movedTo == "" }

// state is the durable state of a group, built by applying the records of its
// stream.
type state struct {
	opts        Options
	fence       fence.Fence
	filter      *journal.DuplicateFilter
	jobs        map[spec.JobID]*job
	quarantined map[spec.WorkerID]bool
	// jobOrder holds the jobs in log order. removedJobs counts the forgotten
	// ones in it, which are removed when they are more than half.
	jobOrder    []*job
	removedJobs int
	// appliedOffset is the offset of the last record applied.
	appliedOffset int64
}

func newState(opts Options) *state {
	return &state{
		opts:          opts,
		filter:        journal.NewDuplicateFilter(),
		jobs:          make(map[spec.JobID]*job),
		quarantined:   make(map[spec.WorkerID]bool),
		appliedOffset: opts.FirstOffset - 1,
	}
}

func (s *state) addJob(j *job) {
	s.jobs[j.id] = j
	s.jobOrder = append(s.jobOrder, j)
}

func (s *state) removeJob(j *job) {
	delete(s.jobs, j.id)
	s.removedJobs++
	if s.removedJobs*2 <= len(s.jobOrder) {
		return
	}
	kept := s.jobOrder[:0:0]
	for _, other := range s.jobOrder {
		if other != nil && s.jobs[other.id] == other {
			kept = append(kept, other)
		}
	}
	s.jobOrder = kept
	s.removedJobs = 0
}

// eachJob calls f for each job in log order.
func (s *state) eachJob(f func(*job)) {
	for _, j := range s.jobOrder {
		if s.jobs[j.id] == j {
			f(j)
		}
	}
}

func (s *state) task(ref *recordv1.JobRef, index uint32) *task {
	j := s.jobs[jobID(ref)]
	if j == nil || int(index) >= len(j.tasks) {
		return nil
	}
	return &j.tasks[index]
}

func newJob(spec *recordv1.JobSpec, hash uint64) *job {
	j := &job{id: jobID(spec.GetId()), spec: spec, contentHash: hash}
	j.makeTasks()
	return j
}

func (j *job) makeTasks() {
	j.tasks = make([]task, j.spec.GetTasks())
	for i := range j.tasks {
		j.tasks[i].job = j
		j.tasks[i].index = uint32(i)
	}
	j.active = 0
	j.finished = 0
}

func jobID(ref *recordv1.JobRef) spec.JobID {
	return spec.JobID{Team: spec.TeamID(ref.GetTeam()), Name: ref.GetName()}
}

func jobRef(id spec.JobID) *recordv1.JobRef {
	return &recordv1.JobRef{Team: string(id.Team), Name: id.Name}
}
