package group

import (
	"time"

	"redwingvale/internal/fence"
	"redwingvale/internal/journal"
	"redwingvale/internal/record"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// taskState is the state of a task as the log states it. The numbers stand in
// snapshots.
type taskState uint32

const (
	taskWaiting taskState = iota
	// taskStarting has an intent; its start may or may not have happened.
	taskStarting
	taskRunning
	taskStopping
	taskEnded
)

func (s taskState) String() string {
	return [...]string{"waiting", "starting", "running", "stopping", "ended"}[s]
}

// task is one task of a job. All fields but live come from applied records.
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
	// ran states that an attempt may have run.
	ran bool
	// epoch is the one in which the current attempt's intent was written.
	epoch spec.Epoch
	// live is what the owner knows beyond the log; nil for a follower and for
	// a task without an open attempt.
	live *live
}

func (t *task) id() spec.TaskID { return spec.TaskID{Job: t.job.id, Index: t.index} }

func (t *task) active() bool {
	return t.state == taskStarting || t.state == taskRunning || t.state == taskStopping
}

// repeatable reports whether another attempt may run after one that ran.
func (t *task) repeatable() bool {
	return t.job.spec.GetRestartFromStart() || t.checkpoint != ""
}

// job is one job. All fields but those after the blank line come from applied
// records.
type job struct {
	id        spec.JobID
	spec      *recordv1.JobSpec
	hash      uint64
	cancelled bool
	ended     bool
	code      int32
	hop       uint32
	movedTo   spec.GroupID
	moveDone  bool
	from      spec.GroupID
	tasks     []task
	// active and finished count tasks.
	active   int
	finished int

	// pendingIntents counts intents of this owner that are not read back.
	pendingIntents int
	// endPending and movePending state that such a record is not read back.
	endPending  bool
	movePending bool
	// cancelNext is the next task to handle after a cancellation.
	cancelNext int
	// startHorizon is the time after which no start of the job that was sent
	// can take effect any more.
	startHorizon time.Duration
	// since is when the owner first saw the job in its present phase: without
	// a running task, ended or moved.
	since time.Duration
	// endedElsewhere states that the group to which the job moved has seen its
	// end, and released that the group from which it came has forgotten it.
	endedElsewhere bool
	released       bool
	// nextOffer is when the hand-off is sent again.
	nextOffer time.Duration
}

func (j *job) resources() spec.Resources { return record.ToResources(j.spec.GetPerTask()) }

// open reports whether tasks of the job can run in this group.
func (j *job) open() bool { return !j.ended && !j.cancelled && j.movedTo == "" }

// state is what the applied records of a group's stream state.
type state struct {
	opts        Options
	fence       fence.Fence
	filter      *journal.Filter
	jobs        map[spec.JobID]*job
	quarantined map[spec.WorkerID]bool
	// order holds the jobs in log order; forgotten ones are nil.
	order     []*job
	forgotten int
	// applied is the offset of the last record taken in.
	applied int64
}

func newState(opts Options) *state {
	return &state{
		opts:        opts,
		filter:      journal.NewFilter(),
		jobs:        make(map[spec.JobID]*job),
		quarantined: make(map[spec.WorkerID]bool),
		applied:     opts.FirstOffset - 1,
	}
}

func (s *state) addJob(j *job) {
	s.jobs[j.id] = j
	s.order = append(s.order, j)
}

func (s *state) forget(j *job) {
	delete(s.jobs, j.id)
	s.forgotten++
	if s.forgotten*2 <= len(s.order) {
		return
	}
	kept := s.order[:0:0]
	for _, known := range s.order {
		if known != nil && s.jobs[known.id] == known {
			kept = append(kept, known)
		}
	}
	s.order = kept
	s.forgotten = 0
}

// eachJob calls f for each job in log order.
func (s *state) eachJob(f func(*job)) {
	for _, j := range s.order {
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
	j := &job{id: jobID(spec.GetId()), spec: spec, hash: hash}
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
