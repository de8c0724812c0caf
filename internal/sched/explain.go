package sched

import (
	"redwingvale/internal/spec"

	operatorv1 "redwingvale/internal/gen/redwingvale/operator/v1"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

func explainTask(job spec.JobID, task *schedv1.TaskView) *operatorv1.Explanation {
	out := &operatorv1.Explanation{
		Subject: spec.TaskID{Job: job, Index: task.GetIndex()}.String(),
		State:   task.GetState(),
		Worker:  task.GetWorker(),
		Attempt: task.GetAttempt(),
		Moves:   task.GetMoves(),
	}
	for _, reason := range task.GetExplanations() {
		out.Reasons = append(out.Reasons, &operatorv1.ExplainReason{
			Dimension: reason.GetDimension(),
			Workers:   reason.GetWorkers(),
			Detail:    reason.GetDetail(),
		})
	}
	return out
}

func (s *Sched) ownerName(id spec.GroupID) string {
	for _, g := range s.view.current.Load().GetGroups() {
		if g.GetId() == string(id) {
			return g.GetOwner()
		}
	}
	return ""
}
