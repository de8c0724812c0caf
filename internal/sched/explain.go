package sched

import (
	"context"

	"redwingvale/internal/code"
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
	for _, reason := range task.GetReasons() {
		out.Reasons = append(out.Reasons, &operatorv1.ExplainReason{Detail: reason})
	}
	return out
}

// explainWorker states what is known of a worker: its group, owner, capacity
// and whether it is leaving.
func (s *Sched) explainWorker(_ context.Context, id string) (*operatorv1.ExplainResponse, error) {
	for _, w := range s.view.current.Load().GetWorkers() {
		if w.GetId() != id {
			continue
		}
		state := "live"
		if w.GetLeaving() {
			state = "leaving"
		}
		return &operatorv1.ExplainResponse{
			Subject: id,
			State:   state,
			Group:   w.GetGroup(),
			Owner:   s.ownerName(spec.GroupID(w.GetGroup())),
			Detail:  w.GetCapacity().String(),
		}, nil
	}
	return nil, code.New(code.UnknownResource, "the instance list has no worker %s", id)
}

func (s *Sched) ownerName(id spec.GroupID) string {
	for _, g := range s.view.current.Load().GetGroups() {
		if g.GetId() == string(id) {
			return g.GetOwner()
		}
	}
	return ""
}
