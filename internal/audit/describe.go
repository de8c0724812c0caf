package audit

import (
	"fmt"
	"strings"
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// describe returns the entry of an envelope. A snapshot, which repeats the
// content of earlier records, becomes one entry of kind snapshot.
func describe(env *recordv1.Envelope) Entry {
	e := Entry{
		When:     time.UnixMilli(env.GetUnixMs()).UTC(),
		Actor:    env.GetActor(),
		Instance: env.GetInstance(),
		Why:      env.GetWhy(),
		Kind:     "unknown",
		What:     "a record of a newer version of the program",
	}
	if e.Actor == "" {
		e.Actor = env.GetInstance()
	}
	switch body := env.GetBody().(type) {
	case *recordv1.Envelope_Config:
		describeConfig(&e, body.Config)
	case *recordv1.Envelope_Members:
		describeMembers(&e, body.Members)
	case *recordv1.Envelope_Group:
		describeGroup(&e, body.Group)
	}
	return e
}

func (e *Entry) setKindAndWhat(kind, format string, args ...any) {
	e.Kind = kind
	e.What = fmt.Sprintf(format, args...)
}

func describeConfig(e *Entry, record *recordv1.ConfigRecord) {
	if apply := record.GetApply(); apply != nil {
		e.Actor = apply.GetAuthor()
		e.Team = apply.GetTeam()
		e.Service = apply.GetService()
		e.Why = apply.GetReason()
		e.setKindAndWhat("apply", "change of %s/%s on revision %d, apply id %s", apply.GetTeam(), apply.GetService(), apply.GetBaseRevision(), apply.GetApplyId())
	}
	if s := record.GetSnapshot(); s != nil {
		e.setKindAndWhat("snapshot", "%d services repeated, part %d of %d", len(s.GetServices()), s.GetPart()+1, max(s.GetParts(), 1))
	}
}

func describeMembers(e *Entry, record *recordv1.MembersRecord) {
	switch kind := record.GetKind().(type) {
	case *recordv1.MembersRecord_Join:
		m := kind.Join.GetMember()
		e.setKindAndWhat("join", "%s joined in %s, incarnation %d", m.GetInstance(), m.GetDataCentre(), m.GetIncarnation())
	case *recordv1.MembersRecord_Activate:
		e.setKindAndWhat("activate", "%s became voters after version %d", strings.Join(kind.Activate.GetInstances(), ", "), kind.Activate.GetBaseVersion())
	case *recordv1.MembersRecord_Remove:
		how := ""
		if kind.Remove.GetForced() {
			how = ", confirmed by a person"
		}
		e.setKindAndWhat("remove", "%s was removed, incarnation %d%s", kind.Remove.GetInstance(), kind.Remove.GetIncarnation(), how)
	case *recordv1.MembersRecord_Leave:
		e.setKindAndWhat("leave", "%s left after a planned stop", kind.Leave.GetInstance())
	case *recordv1.MembersRecord_Snapshot:
		e.setKindAndWhat("snapshot", "%d members repeated", len(kind.Snapshot.GetMembers()))
	}
}

func describeGroup(e *Entry, record *recordv1.GroupRecord) {
	switch kind := record.GetKind().(type) {
	case *recordv1.GroupRecord_Claim:
		e.setKindAndWhat("claim", "%s took the group over, epoch %d", kind.Claim.GetOwner(), kind.Claim.GetReplacesEpoch()+1)
	case *recordv1.GroupRecord_Release:
		e.setKindAndWhat("release", "the owner released the group to %s", nextOwnerText(kind.Release.GetNextOwner()))
	case *recordv1.GroupRecord_WorkerVerdict:
		describeWorkerVerdict(e, kind.WorkerVerdict)
	case *recordv1.GroupRecord_Snapshot:
		e.setKindAndWhat("snapshot", "%d jobs repeated", len(kind.Snapshot.GetJobs()))
	default:
		describeJob(e, record)
		describeTask(e, record)
	}
}

func describeWorkerVerdict(e *Entry, verdict *recordv1.WorkerVerdict) {
	e.Worker = verdict.GetWorker()
	what := "worker %s returned to service"
	if verdict.GetQuarantined() {
		what = "worker %s put in quarantine"
	}
	e.setKindAndWhat("worker_verdict", what, e.Worker)
}

func describeJob(e *Entry, record *recordv1.GroupRecord) {
	switch kind := record.GetKind().(type) {
	case *recordv1.GroupRecord_JobSubmitted:
		job := kind.JobSubmitted.GetJob()
		e.setJob(job.GetId())
		e.Service = job.GetService()
		e.setKindAndWhat("job_submitted", "job %s of kind %s accepted, %d tasks", e.Job, job.GetKind(), job.GetTasks())
	case *recordv1.GroupRecord_JobCancelled:
		e.setJob(kind.JobCancelled.GetJob())
		e.setKindAndWhat("job_cancelled", "job %s cancelled", e.Job)
	case *recordv1.GroupRecord_JobEnded:
		e.setJob(kind.JobEnded.GetJob())
		e.setKindAndWhat("job_ended", "job %s ended with %s", e.Job, code.Code(kind.JobEnded.GetCode()))
	case *recordv1.GroupRecord_JobForgotten:
		e.setJob(kind.JobForgotten.GetJob())
		e.setKindAndWhat("job_forgotten", "job %s forgotten after its keeping time", e.Job)
	case *recordv1.GroupRecord_JobHandOff:
		e.setJob(kind.JobHandOff.GetJob())
		e.setKindAndWhat("job_hand_off", "job %s handed over to group %s, hop %d", e.Job, kind.JobHandOff.GetToGroup(), kind.JobHandOff.GetHop())
	case *recordv1.GroupRecord_JobReceived:
		e.setJob(kind.JobReceived.GetJob().GetId())
		e.setKindAndWhat("job_received", "job %s received from group %s, hop %d", e.Job, kind.JobReceived.GetFromGroup(), kind.JobReceived.GetHop())
	case *recordv1.GroupRecord_JobHandOffDone:
		e.setJob(kind.JobHandOffDone.GetJob())
		e.setKindAndWhat("job_hand_off_done", "hand-over of job %s confirmed, hop %d", e.Job, kind.JobHandOffDone.GetHop())
	}
}

func describeTask(e *Entry, record *recordv1.GroupRecord) {
	switch kind := record.GetKind().(type) {
	case *recordv1.GroupRecord_TaskIntent:
		e.setTask(kind.TaskIntent.GetJob(), kind.TaskIntent.GetIndex())
		e.Worker = kind.TaskIntent.GetWorker()
		e.setKindAndWhat("task_intent", "attempt %d of task %d may start on worker %s", kind.TaskIntent.GetAttempt(), *e.Task, e.Worker)
	case *recordv1.GroupRecord_TaskStarted:
		e.setTask(kind.TaskStarted.GetJob(), kind.TaskStarted.GetIndex())
		e.setKindAndWhat("task_started", "attempt %d of task %d started", kind.TaskStarted.GetAttempt(), *e.Task)
	case *recordv1.GroupRecord_TaskStopping:
		e.setTask(kind.TaskStopping.GetJob(), kind.TaskStopping.GetIndex())
		e.setDefaultWhy(kind.TaskStopping.GetReason())
		e.setKindAndWhat("task_stopping", "attempt %d of task %d is asked to stop", kind.TaskStopping.GetAttempt(), *e.Task)
	case *recordv1.GroupRecord_TaskStopped:
		e.setTask(kind.TaskStopped.GetJob(), kind.TaskStopped.GetIndex())
		e.setDefaultWhy(kind.TaskStopped.GetReason())
		e.setKindAndWhat("task_stopped", "attempt %d of task %d no longer runs%s", kind.TaskStopped.GetAttempt(), *e.Task, lostWorkerText(kind.TaskStopped))
	case *recordv1.GroupRecord_TaskEnded:
		e.setTask(kind.TaskEnded.GetJob(), kind.TaskEnded.GetIndex())
		e.setDefaultWhy(kind.TaskEnded.GetDetail())
		e.setKindAndWhat("task_ended", "task %d ended in attempt %d with %s", *e.Task, kind.TaskEnded.GetAttempt(), code.Code(kind.TaskEnded.GetCode()))
	}
}

func (e *Entry) setJob(ref *recordv1.JobRef) {
	e.Team = ref.GetTeam()
	e.Job = ref.GetName()
}

func (e *Entry) setTask(ref *recordv1.JobRef, index uint32) {
	e.setJob(ref)
	e.Task = &index
}

// setDefaultWhy sets the record's own reason when the envelope has none.
func (e *Entry) setDefaultWhy(reason string) {
	if e.Why == "" {
		e.Why = reason
	}
}

func lostWorkerText(stopped *recordv1.TaskStopped) string {
	if stopped.GetLost() {
		return ", its worker was lost"
	}
	return ""
}

func nextOwnerText(instance string) spec.InstanceID {
	if instance == "" {
		return "nobody"
	}
	return spec.InstanceID(instance)
}
