package sched

import (
	"time"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/code"
	"redwingvale/internal/config"
	"redwingvale/internal/document"
	"redwingvale/internal/record"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// maxRunTimeMS is the bound of run_time_s in a document, in milliseconds.
const maxRunTimeMS = 2_592_000 * 1000

// documentIndex holds the documents in force, for the handlers of the connect
// servers. A nil index means that the configuration has not been read yet.
type documentIndex map[config.Key]*document.Document

// publishDocuments replaces the index that submissions use.
func (d *decisionLoop) publishDocuments() {
	index := make(documentIndex)
	for _, service := range d.config.State().Services() {
		index[service.Key] = service.Document
	}
	d.sched.documents.Store(&index)
}

// applyDefaults returns the job that is recorded for a submission: the job as
// sent, with absent fields filled in from the document in force.
func (s *Sched) applyDefaults(sent *recordv1.JobSpec) (*recordv1.JobSpec, error) {
	index := s.documents.Load()
	if index == nil {
		return nil, code.New(code.ConfigUnread, "the configuration is not read yet")
	}
	key := config.Key{
		Team:    spec.TeamID(sent.GetId().GetTeam()),
		Service: spec.ServiceID(sent.GetService()),
	}
	doc := (*index)[key]
	if doc == nil {
		return nil, code.New(code.UnknownService, "team %s has no service %s", key.Team, key.Service)
	}
	return applyDocumentDefaults(doc, sent, time.Now().UnixMilli())
}

// applyDocumentDefaults fills in the absent fields of a job from its service's
// document. A later document does not change the job, because the result is
// recorded.
func applyDocumentDefaults(doc *document.Document, sent *recordv1.JobSpec, nowUnixMS int64) (*recordv1.JobSpec, error) {
	kind, ok := doc.Kind(spec.Class(sent.GetClass()), sent.GetKind())
	if !ok {
		return nil, code.New(code.BadRequest, "kind %s is not declared by the document of %s/%s",
			sent.GetKind(), doc.Team, doc.Service)
	}
	job := proto.CloneOf(sent)
	if record.ToResources(job.GetPerTask()).IsZero() {
		job.PerTask = record.FromResources(kind.PerTask)
	}
	if job.GetRunTimeMs() == 0 {
		job.RunTimeMs = kind.RunTime.Milliseconds()
	}
	if job.GetDeadlineUnixMs() == 0 {
		job.DeadlineUnixMs = doc.NextPosting(job.GetKind(), nowUnixMS)
	}
	if job.GetRestart() == "" && !job.GetRestartFromStart() {
		job.RestartFromStart = kind.RestartFromStart
	}
	return job, checkBounds(doc, job)
}

// checkBounds rejects a job that exceeds the limits of its document.
func checkBounds(doc *document.Document, job *recordv1.JobSpec) error {
	limit := doc.Quota.Ceiling()
	if dimension := exceeded(record.ToResources(job.GetPerTask()), limit); dimension != "" {
		return code.New(code.NeverRunnable, "%s: a task needs more than the quota of team %s with borrowing", dimension, doc.Team)
	}
	if job.GetRunTimeMs() > maxRunTimeMS {
		return code.New(code.BadRequest, "run_time_s must be at most %d", maxRunTimeMS/1000)
	}
	return nil
}

// exceeded returns the first dimension in which need is above a limit that is
// not zero, or nothing.
func exceeded(need, limit spec.Resources) spec.Dimension {
	unlimited := func(limit, need int64) int64 {
		if limit == 0 {
			return need
		}
		return limit
	}
	return need.FirstExceeded(spec.Resources{
		MilliCPU:     unlimited(limit.MilliCPU, need.MilliCPU),
		MemoryMiB:    unlimited(limit.MemoryMiB, need.MemoryMiB),
		Accelerators: unlimited(limit.Accelerators, need.Accelerators),
		Slots:        unlimited(limit.Slots, need.Slots),
		Connections:  unlimited(limit.Connections, need.Connections),
	})
}

// fillFrom returns a later part of a job with the recorded values of its first
// part, so that all parts are alike whatever document is in force when a part
// is submitted again.
func fillFrom(recorded, part *recordv1.JobSpec) *recordv1.JobSpec {
	out := proto.CloneOf(part)
	out.PerTask = recorded.GetPerTask()
	out.RunTimeMs = recorded.GetRunTimeMs()
	out.DeadlineUnixMs = recorded.GetDeadlineUnixMs()
	out.RestartFromStart = recorded.GetRestartFromStart()
	return out
}
