package sched

import (
	"context"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	"redwingvale/internal/code"
	"redwingvale/internal/group"
	"redwingvale/internal/record"
	"redwingvale/internal/spec"

	operatorv1 "redwingvale/internal/gen/redwingvale/operator/v1"
	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// explainWorker explains the state of a worker from the instance list and from
// the owner of its group.
func (s *Sched) explainWorker(ctx context.Context, id string) (*operatorv1.ExplainResponse, error) {
	for _, listed := range s.view.current.Load().GetWorkers() {
		if listed.GetId() != id {
			continue
		}
		detail, err := s.queryWorkerOwner(ctx, spec.GroupID(listed.GetGroup()), id)
		out := workerExplanation(listed, detail, err)
		out.Owner = s.ownerName(spec.GroupID(listed.GetGroup()))
		return out, nil
	}
	return nil, code.New(code.UnknownResource, "the instance list has no worker %s", id)
}

// queryWorkerOwner queries the owner of the worker's group, which may be this
// instance.
func (s *Sched) queryWorkerOwner(ctx context.Context, id spec.GroupID, worker string) (*schedv1.ExplainWorkerResponse, error) {
	request := connect.NewRequest(&schedv1.ExplainWorkerRequest{Worker: worker})
	addr, own := s.ownerOf(id)
	var response *connect.Response[schedv1.ExplainWorkerResponse]
	var err error
	switch {
	case own:
		response, err = s.ExplainWorker(ctx, request)
	case addr == "":
		return nil, code.New(code.OwnerUnknown, "group %s has no owner", id)
	default:
		response, err = s.clients.Peer(addr).ExplainWorker(ctx, request)
	}
	if err != nil {
		return nil, code.New(code.OwnerUnknown, "the owner does not answer")
	}
	if !response.Msg.GetOwned() {
		return nil, code.New(code.NotOwner, "the owner does not decide at the moment")
	}
	return response.Msg, nil
}

// ExplainWorker implements the PeerService.
func (s *Sched) ExplainWorker(ctx context.Context, call *connect.Request[schedv1.ExplainWorkerRequest]) (*connect.Response[schedv1.ExplainWorkerResponse], error) {
	out := &schedv1.ExplainWorkerResponse{}
	id := spec.WorkerID(call.Msg.GetWorker())
	err := s.runInLoop(ctx, func(d *decisionLoop) {
		for _, g := range d.sortedGroups() {
			if detail, ok := g.core.Worker(id); ok {
				out = workerResponse(detail)
				out.QuarantineReason = g.quarantineReasons[id]
			}
		}
	})
	return connect.NewResponse(out), err
}

func workerResponse(detail group.WorkerDetail) *schedv1.ExplainWorkerResponse {
	out := &schedv1.ExplainWorkerResponse{
		Owned:       true,
		Quarantined: detail.Quarantined,
		Answering:   detail.Answering,
		Capacity:    record.FromResources(detail.Capacity),
		Reserved:    record.FromResources(detail.Reserved),
		Granted:     record.FromResources(detail.Granted),
	}
	for _, task := range detail.Tasks {
		out.Tasks = append(out.Tasks, &schedv1.WorkerTask{
			Job:             &recordv1.JobRef{Team: string(task.Task.Job.Team), Name: task.Task.Job.Name},
			Index:           task.Task.Index,
			State:           task.State,
			Attempt:         uint32(task.Attempt),
			Moves:           task.Moves,
			Reserved:        record.FromResources(task.Reserved),
			ThrottlePercent: uint32(task.ThrottlePercent),
		})
	}
	return out
}

// workerExplanation combines the list entry with the owner's response. problem
// states why there is no response.
func workerExplanation(listed *schedv1.WorkerView, detail *schedv1.ExplainWorkerResponse, problem error) *operatorv1.ExplainResponse {
	out := &operatorv1.ExplainResponse{
		Subject: listed.GetId(),
		Group:   listed.GetGroup(),
		State:   workerState(listed, detail),
	}
	if problem != nil {
		out.Detail = fmt.Sprintf("capacity %s; reservations are not known: %s", formatResources(listed.GetCapacity()), detailOf(problem))
		return out
	}
	out.Detail = fmt.Sprintf("capacity %s; reserved %s; granted %s",
		formatResources(detail.GetCapacity()), formatResources(detail.GetReserved()), formatResources(detail.GetGranted()))
	if detail.GetQuarantineReason() != "" {
		out.Detail += "; in quarantine because " + detail.GetQuarantineReason()
	}
	for _, task := range detail.GetTasks() {
		out.Items = append(out.Items, explainWorkerTask(listed.GetId(), task))
	}
	return out
}

func workerState(listed *schedv1.WorkerView, detail *schedv1.ExplainWorkerResponse) string {
	switch {
	case listed.GetLeaving():
		return "leaving"
	case detail.GetQuarantined():
		return "quarantined"
	case detail != nil && !detail.GetAnswering():
		return "silent"
	default:
		return "live"
	}
}

func explainWorkerTask(worker string, task *schedv1.WorkerTask) *operatorv1.Explanation {
	out := &operatorv1.Explanation{
		Subject: spec.TaskID{Job: jobID(task.GetJob()), Index: task.GetIndex()}.String(),
		State:   task.GetState(),
		Worker:  worker,
		Attempt: task.GetAttempt(),
		Moves:   task.GetMoves(),
		Reasons: []*operatorv1.ExplainReason{{Dimension: "reserved", Detail: formatResources(task.GetReserved())}},
	}
	if percent := task.GetThrottlePercent(); percent > 0 && percent < 100 {
		detail := fmt.Sprintf("to %d%% of the processors", percent)
		out.Reasons = append(out.Reasons, &operatorv1.ExplainReason{Dimension: "throttled", Detail: detail})
	}
	return out
}

// formatResources lists the dimensions that are not zero.
func formatResources(r *recordv1.Resources) string {
	var parts []string
	for _, each := range []struct {
		dimension spec.Dimension
		amount    int64
	}{
		{spec.MilliCPU, r.GetMilliCpu()},
		{spec.MemoryMiB, r.GetMemoryMib()},
		{spec.Accelerators, r.GetAccelerators()},
		{spec.Slots, r.GetSlots()},
		{spec.Connections, r.GetConnections()},
	} {
		if each.amount != 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", each.dimension, each.amount))
		}
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, " ")
}
