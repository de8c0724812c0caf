package sched

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"redwingvale/internal/code"
	"redwingvale/internal/group"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// handOffTimeout bounds one attempt to hand a job to another group.
const handOffTimeout = 3 * time.Second

// handOff requests that the owner of another group records a job. The source
// retries until it has a response, and the destination drops duplicates.
func (s *Sched) handOff(ctx context.Context, from spec.GroupID, out group.HandOff, addr string) {
	if addr == "" {
		return
	}
	s.runInBackground(ctx, handOffTimeout, func(limited context.Context) {
		request := &schedv1.ReceiveJobRequest{Group: string(out.Group), Job: out.Job}
		response, err := s.clients.Peer(addr).ReceiveJob(limited, connect.NewRequest(request))
		recorded := err == nil && response.Msg.GetRecorded()
		s.deliver(ctx, groupEvent{group: from, event: group.HandOffAnswered{
			Job:      jobID(out.Job.GetJob().GetId()),
			Hop:      out.Job.GetHop(),
			Recorded: recorded,
		}})
	})
}

// ReceiveJob implements the PeerService.
func (s *Sched) ReceiveJob(ctx context.Context, call *connect.Request[schedv1.ReceiveJobRequest]) (*connect.Response[schedv1.ReceiveJobResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, handOffTimeout)
	defer cancel()
	id := spec.GroupID(call.Msg.GetGroup())
	reply, err := s.sendRequest(ctx, code.AcceptanceUnsure, func(r group.Request) event {
		return groupEvent{group: id, request: r, event: group.ReceiveJob{Request: r, Job: call.Msg.GetJob()}}
	})
	recorded := err == nil && reply.Code == code.OK && reply.Forward == ""
	return connect.NewResponse(&schedv1.ReceiveJobResponse{Recorded: recorded}), nil
}

// sendForgetMovedJob notifies the group from which a job came that the job has
// ended. The core retries until the other group has forgotten the job.
func (s *Sched) sendForgetMovedJob(ctx context.Context, from spec.GroupID, out group.SendForgetMovedJob, addr string) {
	if addr == "" {
		return
	}
	s.runInBackground(ctx, handOffTimeout, func(limited context.Context) {
		request := &schedv1.ForgetMovedJobRequest{
			Group: string(out.Group),
			Job:   &recordv1.JobRef{Team: string(out.Job.Team), Name: out.Job.Name},
			Hop:   out.Hop,
		}
		response, err := s.clients.Peer(addr).ForgetMovedJob(limited, connect.NewRequest(request))
		if err != nil || !response.Msg.GetForgotten() {
			return
		}
		s.deliver(ctx, groupEvent{group: from, event: group.MovedJobForgotten{Job: out.Job, Hop: out.Hop}})
	})
}

// ForgetMovedJob implements the PeerService.
func (s *Sched) ForgetMovedJob(ctx context.Context, call *connect.Request[schedv1.ForgetMovedJobRequest]) (*connect.Response[schedv1.ForgetMovedJobResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, handOffTimeout)
	defer cancel()
	id := spec.GroupID(call.Msg.GetGroup())
	reply, err := s.sendRequest(ctx, code.AcceptanceUnsure, func(r group.Request) event {
		ended := group.ForgetMovedJob{Request: r, Job: jobID(call.Msg.GetJob()), Hop: call.Msg.GetHop()}
		return groupEvent{group: id, request: r, event: ended}
	})
	forgotten := err == nil && reply.Code == code.OK
	return connect.NewResponse(&schedv1.ForgetMovedJobResponse{Forgotten: forgotten}), nil
}
