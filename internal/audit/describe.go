package audit

import (
	"fmt"
	"strings"
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// describe fills in an entry from an envelope. Snapshots repeat what earlier
// records said and yield an entry of kind snapshot.
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

func (e *Entry) say(kind, format string, args ...any) {
	e.Kind = kind
	e.What = fmt.Sprintf(format, args...)
}

func describeConfig(e *Entry, record *recordv1.ConfigRecord) {
	if apply := record.GetApply(); apply != nil {
		e.Actor = apply.GetAuthor()
		e.Team = apply.GetTeam()
		e.Service = apply.GetService()
		e.Why = apply.GetReason()
		e.say("apply", "change of %s/%s on revision %d, apply id %s", apply.GetTeam(), apply.GetService(), apply.GetBaseRevision(), apply.GetApplyId())
	}
	if s := record.GetSnapshot(); s != nil {
		e.say("snapshot", "%d services repeated, part %d of %d", len(s.GetServices()), s.GetPart()+1, max(s.GetParts(), 1))
	}
}

func describeMembers(e *Entry, record *recordv1.MembersRecord) {
	switch kind := record.GetKind().(type) {
	case *recordv1.MembersRecord_Join:
		m := kind.Join.GetMember()
		e.say("join", "%s joined in %s, incarnation %d", m.GetInstance(), m.GetDataCentre(), m.GetIncarnation())
	case *recordv1.MembersRecord_Activate:
		e.say("activate", "%s became voters after version %d", strings.Join(kind.Activate.GetInstances(), ", "), kind.Activate.GetBaseVersion())
	case *recordv1.MembersRecord_Remove:
		how := ""
		if kind.Remove.GetForced() {
			how = ", confirmed by a person"
		}
		e.say("remove", "%s was removed, incarnation %d%s", kind.Remove.GetInstance(), kind.Remove.GetIncarnation(), how)
	case *recordv1.MembersRecord_Leave:
		e.say("leave", "%s left after a planned stop", kind.Leave.GetInstance())
	case *recordv1.MembersRecord_Snapshot:
		e.say("snapshot", "%d members repeated", len(kind.Snapshot.GetMembers()))
	}
}

func describeGroup(e *Entry, record *recordv1.GroupRecord) {
	switch kind := record.GetKind().(type) {
	case *recordv1.GroupRecord_Claim:
		e.say("claim", "%s took the group over, epoch %d", kind.Claim.GetOwner(), kind.Claim.GetReplacesEpoch()+1)
	case *recordv1.GroupRecord_Release:
		e.say("release", "the owner released the group to %s", orNobody(kind.Release.GetNextOwner()))
	case *recordv1.GroupRecord_WorkerVerdict:
		describeVerdict(e, kind.WorkerVerdict)
	case *recordv1.GroupRecord_Snapshot:
		e.say("snapshot", "%d jobs repeated", len(kind.Snapshot.GetJobs()))
	default:
		describeJob(e, record)
		describeTask(e, record)
	}
}

func describeVerdict(e *Entry, verdict *recordv1.WorkerVerdict) {
	e.Worker = verdict.GetWorker()
	what := "worker %s returned to service"
	if verdict.GetQuarantined() {
		what = "worker %s put in quarantine"
	}
	e.say("worker_verdict", what, e.Worker)
}

func describeJob(e *Entry, record *recordv1.GroupRecord) {
	switch kind := record.GetKind().(type) {
	case *recordv1.GroupRecord_JobSubmitted:
		job := kind.JobSubmitted.GetJob()
		e.job(job.GetId())
		e.Service = job.GetService()
		e.say("job_submitted", "job %s of kind %s accepted, %d tasks", e.Job, job.GetKind(), job.GetTasks())
	case *recordv1.GroupRecord_JobCancelled:
		e.job(kind.JobCancelled.GetJob())
		e.say("job_cancelled", "job %s cancelled", e.Job)
	case *recordv1.GroupRecord_JobEnded:
		e.job(kind.JobEnded.GetJob())
		e.say("job_ended", "job %s ended with %s", e.Job, code.Code(kind.JobEnded.GetCode()))
	case *recordv1.GroupRecord_JobForgotten:
		e.job(kind.JobForgotten.GetJob())
		e.say("job_forgotten", "job %s forgotten after its keeping time", e.Job)
	case *recordv1.GroupRecord_JobHandOff:
		e.job(kind.JobHandOff.GetJob())
		e.say("job_hand_off", "job %s handed over to group %s, hop %d", e.Job, kind.JobHandOff.GetToGroup(), kind.JobHandOff.GetHop())
	case *recordv1.GroupRecord_JobReceived:
		e.job(kind.JobReceived.GetJob().GetId())
		e.say("job_received", "job %s received from group %s, hop %d", e.Job, kind.JobReceived.GetFromGroup(), kind.JobReceived.GetHop())
	case *recordv1.GroupRecord_JobHandOffDone:
		e.job(kind.JobHandOffDone.GetJob())
		e.say("job_hand_off_done", "hand-over of job %s confirmed, hop %d", e.Job, kind.JobHandOffDone.GetHop())
	}
}

func describeTask(e *Entry, record *recordv1.GroupRecord) {
	switch kind := record.GetKind().(type) {
	case *recordv1.GroupRecord_TaskIntent:
		e.task(kind.TaskIntent.GetJob(), kind.TaskIntent.GetIndex())
		e.Worker = kind.TaskIntent.GetWorker()
		e.say("task_intent", "attempt %d of task %d may start on worker %s", kind.TaskIntent.GetAttempt(), *e.Task, e.Worker)
	case *recordv1.GroupRecord_TaskStarted:
		e.task(kind.TaskStarted.GetJob(), kind.TaskStarted.GetIndex())
		e.say("task_started", "attempt %d of task %d started", kind.TaskStarted.GetAttempt(), *e.Task)
	case *recordv1.GroupRecord_TaskStopping:
		e.task(kind.TaskStopping.GetJob(), kind.TaskStopping.GetIndex())
		e.because(kind.TaskStopping.GetReason())
		e.say("task_stopping", "attempt %d of task %d is asked to stop", kind.TaskStopping.GetAttempt(), *e.Task)
	case *recordv1.GroupRecord_TaskStopped:
		e.task(kind.TaskStopped.GetJob(), kind.TaskStopped.GetIndex())
		e.because(kind.TaskStopped.GetReason())
		e.say("task_stopped", "attempt %d of task %d no longer runs%s", kind.TaskStopped.GetAttempt(), *e.Task, lostText(kind.TaskStopped))
	case *recordv1.GroupRecord_TaskEnded:
		e.task(kind.TaskEnded.GetJob(), kind.TaskEnded.GetIndex())
		e.because(kind.TaskEnded.GetDetail())
		e.say("task_ended", "task %d ended in attempt %d with %s", *e.Task, kind.TaskEnded.GetAttempt(), code.Code(kind.TaskEnded.GetCode()))
	}
}

func (e *Entry) job(ref *recordv1.JobRef) {
	e.Team = ref.GetTeam()
	e.Job = ref.GetName()
}

func (e *Entry) task(ref *recordv1.JobRef, index uint32) {
	e.job(ref)
	e.Task = &index
}

// because uses the record's own reason when the envelope gives none.
func (e *Entry) because(reason string) {
	if e.Why == "" {
		e.Why = reason
	}
}

func lostText(stopped *recordv1.TaskStopped) string {
	if stopped.GetLost() {
		return ", its worker was lost"
	}
	return ""
}

func orNobody(instance string) spec.InstanceID {
	if instance == "" {
		return "nobody"
	}
	return spec.InstanceID(instance)
}
