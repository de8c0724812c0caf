package group

import (
	"redwingvale/internal/code"
	"redwingvale/internal/fence"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// change is the result of applying a record. For a void or duplicate record,
// which changes nothing, valid is false.
type change struct {
	valid         bool
	fenceResult   fence.Result
	job           *job
	task          *task
	previousState taskState
}

// apply applies one record. Records of older epochs and duplicate records have
// no effect.
func (s *state) apply(offset int64, env *recordv1.Envelope) change {
	s.appliedOffset = offset
	if !s.filter.Accept(env) {
		return change{}
	}
	result := s.fence.Apply(env)
	if result == fence.Void && s.opts.mutations.noRecordFence && env.GetGroup().GetClaim() == nil {
		result = fence.Valid
	}
	if result == fence.Claimed {
		s.pruneWriters()
	}
	if result != fence.Valid {
		return change{fenceResult: result}
	}
	out := s.applyRecord(env)
	out.fenceResult = result
	return out
}

// pruneWriters removes all writers but the new owner from the filter. The fence
// voids the other writers' records of earlier epochs, duplicate or not, so the
// filter need not grow with every process that ever owned the group.
func (s *state) pruneWriters() {
	var kept []*recordv1.WriterState
	for _, w := range s.filter.State() {
		sameOwner := spec.InstanceID(w.GetInstance()) == s.fence.Owner
		if sameOwner && spec.Incarnation(w.GetIncarnation()) == s.fence.Incarnation {
			kept = append(kept, w)
		}
	}
	s.filter.Restore(kept)
}

func (s *state) applyRecord(env *recordv1.Envelope) change {
	switch k := env.GetGroup().GetKind().(type) {
	case *recordv1.GroupRecord_JobSubmitted:
		return s.applySubmitted(k.JobSubmitted)
	case *recordv1.GroupRecord_JobCancelled:
		return s.applyCancelled(k.JobCancelled)
	case *recordv1.GroupRecord_TaskIntent:
		return s.applyIntent(k.TaskIntent, spec.Epoch(env.GetEpoch()))
	case *recordv1.GroupRecord_TaskStarted:
		return s.applyStarted(k.TaskStarted)
	case *recordv1.GroupRecord_TaskStopping:
		return s.applyStopping(k.TaskStopping)
	case *recordv1.GroupRecord_TaskStopped:
		return s.applyStopped(k.TaskStopped)
	case *recordv1.GroupRecord_TaskEnded:
		return s.applyEnded(k.TaskEnded)
	case *recordv1.GroupRecord_JobHandOff:
		return s.applyHandOff(k.JobHandOff)
	case *recordv1.GroupRecord_JobReceived:
		return s.applyReceived(k.JobReceived)
	case *recordv1.GroupRecord_JobHandOffDone:
		return s.applyHandOffDone(k.JobHandOffDone)
	case *recordv1.GroupRecord_JobEnded:
		return s.applyJobEnded(k.JobEnded)
	case *recordv1.GroupRecord_JobForgotten:
		return s.applyForgotten(k.JobForgotten)
	case *recordv1.GroupRecord_WorkerVerdict:
		return s.applyWorkerVerdict(k.WorkerVerdict)
	default:
		return change{}
	}
}

func (s *state) applySubmitted(r *recordv1.JobSubmitted) change {
	if s.jobs[jobID(r.GetJob().GetId())] != nil {
		return change{}
	}
	j := newJob(r.GetJob(), r.GetContentHash())
	s.addJob(j)
	return change{valid: true, job: j}
}

func (s *state) applyCancelled(r *recordv1.JobCancelled) change {
	j := s.jobs[jobID(r.GetJob())]
	if j == nil || !j.open() {
		return change{}
	}
	j.cancelled = true
	return change{valid: true, job: j}
}

func (s *state) applyIntent(r *recordv1.TaskIntent, epoch spec.Epoch) change {
	t := s.task(r.GetJob(), r.GetIndex())
	if t == nil || t.state != taskWaiting || !t.job.open() {
		return change{}
	}
	attempt := spec.Attempt(r.GetAttempt())
	if attempt != t.attempt+1 && !s.opts.mutations.reuseAttempt {
		return change{}
	}
	before := t.state
	t.state = taskStarting
	t.attempt = attempt
	t.worker = spec.WorkerID(r.GetWorker())
	t.boot = r.GetBoot()
	t.epoch = epoch
	t.job.active++
	return change{valid: true, job: t.job, task: t, previousState: before}
}

func (s *state) applyStarted(r *recordv1.TaskStarted) change {
	t := s.taskWithOpenAttempt(r.GetJob(), r.GetIndex(), r.GetAttempt())
	if t == nil || t.state != taskStarting {
		return change{}
	}
	t.state = taskRunning
	t.ran = true
	return change{valid: true, job: t.job, task: t, previousState: taskStarting}
}

func (s *state) applyStopping(r *recordv1.TaskStopping) change {
	t := s.taskWithOpenAttempt(r.GetJob(), r.GetIndex(), r.GetAttempt())
	if t == nil || t.state == taskStopping {
		return change{}
	}
	before := t.state
	t.state = taskStopping
	if r.GetReason() != reasonCancel {
		t.moves++
	}
	return change{valid: true, job: t.job, task: t, previousState: before}
}

func (s *state) applyStopped(r *recordv1.TaskStopped) change {
	t := s.taskWithOpenAttempt(r.GetJob(), r.GetIndex(), r.GetAttempt())
	if t == nil {
		return change{}
	}
	before := t.state
	t.job.active--
	if r.GetCheckpoint() != "" {
		t.checkpoint = r.GetCheckpoint()
	}
	t.progress = max(t.progress, r.GetProgress())
	t.ran = t.ran || r.GetRan()
	if r.GetReason() == reasonFailed {
		t.failures++
	}
	t.state = taskWaiting
	switch {
	case t.job.cancelled:
		t.finish(code.JobCancelled)
	case r.GetRan() && !t.retryable():
		t.finish(code.JobOutcomeUnknown)
	}
	return change{valid: true, job: t.job, task: t, previousState: before}
}

func (s *state) applyEnded(r *recordv1.TaskEnded) change {
	t := s.taskWithOpenAttempt(r.GetJob(), r.GetIndex(), r.GetAttempt())
	if t == nil {
		return change{}
	}
	before := t.state
	t.job.active--
	if r.GetCode() == int32(code.OK) {
		t.progress = 1
	}
	t.ran = true
	t.finish(code.Code(r.GetCode()))
	return change{valid: true, job: t.job, task: t, previousState: before}
}

func (t *task) finish(c code.Code) {
	t.state = taskEnded
	t.code = int32(c)
	t.job.finished++
}

func (s *state) applyHandOff(r *recordv1.JobHandOff) change {
	j := s.jobs[jobID(r.GetJob())]
	if j == nil || !j.open() || j.active > 0 || r.GetHop() != j.hop+1 {
		return change{}
	}
	j.movedTo = spec.GroupID(r.GetToGroup())
	j.hop = r.GetHop()
	j.handOffDone = false
	return change{valid: true, job: j}
}

func (s *state) applyReceived(r *recordv1.JobReceived) change {
	j := s.jobs[jobID(r.GetJob().GetId())]
	if j != nil && (j.movedTo == "" || r.GetHop() <= j.hop) {
		return change{}
	}
	if j == nil {
		j = newJob(r.GetJob(), r.GetContentHash())
		s.addJob(j)
	}
	j.spec = r.GetJob()
	j.hop = r.GetHop()
	j.movedTo = ""
	j.handOffDone = false
	j.fromGroup = spec.GroupID(r.GetFromGroup())
	j.makeTasks()
	for _, saved := range r.GetTasks() {
		j.restoreTask(saved)
	}
	return change{valid: true, job: j}
}

func (s *state) applyHandOffDone(r *recordv1.JobHandOffDone) change {
	j := s.jobs[jobID(r.GetJob())]
	if j == nil || j.movedTo == "" || j.handOffDone || j.hop != r.GetHop() {
		return change{}
	}
	j.handOffDone = true
	j.tasks = nil
	j.finished = 0
	j.spec = &recordv1.JobSpec{Id: j.spec.GetId()}
	return change{valid: true, job: j}
}

func (s *state) applyJobEnded(r *recordv1.JobEnded) change {
	j := s.jobs[jobID(r.GetJob())]
	if j == nil || j.ended || j.movedTo != "" || j.active > 0 {
		return change{}
	}
	if !j.cancelled && j.finished != len(j.tasks) {
		return change{}
	}
	for i := range j.tasks {
		if j.tasks[i].state != taskEnded {
			j.tasks[i].finish(code.JobCancelled)
		}
	}
	j.ended = true
	j.code = r.GetCode()
	return change{valid: true, job: j}
}

func (s *state) applyForgotten(r *recordv1.JobForgotten) change {
	j := s.jobs[jobID(r.GetJob())]
	if j == nil || !(j.ended || j.movedTo != "") {
		return change{}
	}
	s.removeJob(j)
	return change{valid: true, job: j}
}

func (s *state) applyWorkerVerdict(r *recordv1.WorkerVerdict) change {
	id := spec.WorkerID(r.GetWorker())
	if r.GetQuarantined() {
		s.quarantined[id] = true
	} else {
		delete(s.quarantined, id)
	}
	return change{valid: true}
}

// taskWithOpenAttempt returns the task if attempt is its open attempt, and nil
// otherwise.
func (s *state) taskWithOpenAttempt(ref *recordv1.JobRef, index, attempt uint32) *task {
	t := s.task(ref, index)
	if t == nil || !t.active() || uint32(t.attempt) != attempt {
		return nil
	}
	return t
}
