package sched

import (
	"context"
	"sort"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"redwingvale/internal/code"
	"redwingvale/internal/group"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// Limits of calls about jobs.
const (
	// maxCandidateGroups is how many groups are queried for a job, in the order
	// of preference. Each added group moves the home group of a job by at most
	// one place in that order.
	maxCandidateGroups = 3
	// maxForwards bounds how often a call follows a job that was handed off.
	maxForwards = 6
	// jobCallTimeout bounds one call about a job.
	jobCallTimeout = 5 * time.Second
	// maxJobWait bounds how long a call may wait for a change of a job.
	maxJobWait = 60 * time.Second
)

// candidateGroups returns the groups that may hold a job, the home group first
// (rendezvous hashing). Each group's weight is a hash of group and job, so
// adding a group moves only the jobs for which the new group has the largest
// weight.
func (s *Sched) candidateGroups(id spec.JobID) []spec.GroupID {
	type weighted struct {
		group  spec.GroupID
		weight uint64
	}
	var all []weighted
	for _, g := range s.view.current.Load().GetGroups() {
		weight := xxhash.Sum64String(g.GetId() + "\x00" + id.String())
		all = append(all, weighted{group: spec.GroupID(g.GetId()), weight: weight})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].weight != all[j].weight {
			return all[i].weight > all[j].weight
		}
		return all[i].group < all[j].group
	})
	out := make([]spec.GroupID, 0, maxCandidateGroups)
	for _, w := range all[:min(len(all), maxCandidateGroups)] {
		out = append(out, w.group)
	}
	return out
}

func jobID(ref *recordv1.JobRef) spec.JobID {
	return spec.JobID{Team: spec.TeamID(ref.GetTeam()), Name: ref.GetName()}
}

// SubmitJob implements the SchedService. A large job is submitted in parts.
func (s *Sched) SubmitJob(ctx context.Context, call *connect.Request[schedv1.SubmitJobRequest]) (*connect.Response[schedv1.JobResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, jobCallTimeout)
	defer cancel()
	request := call.Msg
	if request.GetForwarded() {
		return s.respondJob(s.submitLocal(ctx, spec.GroupID(request.GetGroup()), request))
	}
	return s.respondJob(s.submitParts(ctx, request.GetJob()))
}

// submitOne submits an undivided job or one part of a job. It first queries the
// other groups that may have been its home, so that a resubmission
// cannot start it twice. filled is the job as recorded, or nil if the owner is
// to apply the defaults.
func (s *Sched) submitOne(ctx context.Context, job, filled *recordv1.JobSpec) (*schedv1.JobResponse, error) {
	request := &schedv1.SubmitJobRequest{Job: job, Filled: filled}
	homes := s.candidateGroups(jobID(job.GetId()))
	if len(homes) == 0 {
		return nil, code.New(code.OwnerUnknown, "no worker group is known yet")
	}
	for _, candidate := range homes[1:] {
		_, err := s.getFollowingHandOffs(ctx, candidate, job.GetId())
		if err == nil {
			return s.submitToGroup(ctx, candidate, request)
		}
		if code.Of(err) != code.UnknownJob {
			return nil, notSubmittedError(err)
		}
	}
	return s.submitToGroup(ctx, homes[0], request)
}

// notSubmittedError turns the error of a failed lookup into one whose outcome
// is NotRun, because nothing was submitted.
func notSubmittedError(err error) error {
	if code.Lookup(code.Of(err)).Outcome == code.NotRun {
		return err
	}
	return code.New(code.OwnerUnknown, "a group that may know the job does not answer")
}

func (s *Sched) submitToGroup(ctx context.Context, id spec.GroupID, request *schedv1.SubmitJobRequest) (*schedv1.JobResponse, error) {
	addr, own := s.ownerOf(id)
	switch {
	case own:
		return s.submitLocal(ctx, id, request)
	case addr == "":
		return nil, code.New(code.OwnerUnknown, "group %s", id)
	}
	forwarded := &schedv1.SubmitJobRequest{
		Job:       request.GetJob(),
		Filled:    request.GetFilled(),
		Forwarded: true,
		Group:     string(id),
	}
	response, err := s.clients.Sched(addr).SubmitJob(ctx, connect.NewRequest(forwarded))
	return s.unpackForwarded(response, err, code.AcceptanceUnsure)
}

func (s *Sched) submitLocal(ctx context.Context, id spec.GroupID, request *schedv1.SubmitJobRequest) (*schedv1.JobResponse, error) {
	submit := group.Submit{
		Job:    request.GetJob(),
		Filled: request.GetFilled(),
		Actor:  request.GetJob().GetId().GetTeam(),
	}
	if submit.Filled == nil {
		submit.Filled, submit.Refusal = s.applyDefaults(submit.Job)
	}
	reply, err := s.sendRequest(ctx, code.AcceptanceUnsure, func(r group.Request) event {
		submit.Request = r
		return groupEvent{group: id, request: r, event: submit}
	})
	return reply.Response, replyError(reply, err)
}

// GetJob implements the SchedService.
func (s *Sched) GetJob(ctx context.Context, call *connect.Request[schedv1.GetJobRequest]) (*connect.Response[schedv1.JobResponse], error) {
	request := call.Msg
	if request.GetForwarded() {
		ctx, cancel := context.WithTimeout(ctx, jobCallTimeout)
		defer cancel()
		return s.respondJob(s.getLocal(ctx, spec.GroupID(request.GetGroup()), request.GetJob()))
	}
	return s.respondJob(s.waitForJob(ctx, request))
}

// waitForJob returns the state of a job when it differs from the known state in
// the request, or after the requested wait. It polls, because changes in other
// instances are not announced here.
func (s *Sched) waitForJob(ctx context.Context, request *schedv1.GetJobRequest) (*schedv1.JobResponse, error) {
	until := time.Now().Add(min(milliseconds(int64(request.GetWaitMs())), maxJobWait))
	for {
		changed := s.jobChanges.next(jobID(request.GetJob()))
		response, err := s.findJob(ctx, request.GetJob())
		left := time.Until(until)
		if err != nil || response.GetState() != request.GetKnownState() || left <= 0 {
			return response, err
		}
		limited, cancel := context.WithTimeout(ctx, min(left, jobPollPeriod))
		wait(limited, changed)
		cancel()
	}
}

// jobPollPeriod is the period at which a waiting call polls a job that another
// instance owns.
const jobPollPeriod = 250 * time.Millisecond

func (s *Sched) findPart(ctx context.Context, ref *recordv1.JobRef) (*schedv1.JobResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, jobCallTimeout)
	defer cancel()
	err := code.New(code.OwnerUnknown, "no worker group is known yet")
	for _, candidate := range s.candidateGroups(jobID(ref)) {
		var response *schedv1.JobResponse
		response, err = s.getFollowingHandOffs(ctx, candidate, ref)
		if code.Of(err) != code.UnknownJob {
			return response, err
		}
	}
	return nil, err
}

// getFollowingHandOffs queries the owner of a group, and the next groups if the
// job was handed off.
func (s *Sched) getFollowingHandOffs(ctx context.Context, id spec.GroupID, ref *recordv1.JobRef) (*schedv1.JobResponse, error) {
	for range maxForwards {
		response, err := s.getFromGroup(ctx, id, ref)
		if err != nil || response.GetState() != stateMoved {
			return response, err
		}
		id = spec.GroupID(response.GetGroup())
	}
	return nil, code.New(code.OwnerUnknown, "job %s was handed off more than %d times", jobID(ref), maxForwards)
}

// stateMoved is the state of a job in a group that has handed it off; the
// response then names the next group.
const stateMoved = "moved"

func (s *Sched) getFromGroup(ctx context.Context, id spec.GroupID, ref *recordv1.JobRef) (*schedv1.JobResponse, error) {
	addr, own := s.ownerOf(id)
	switch {
	case own:
		return s.getLocal(ctx, id, ref)
	case addr == "":
		return nil, code.New(code.OwnerUnknown, "group %s", id)
	}
	forwarded := &schedv1.GetJobRequest{Job: ref, Forwarded: true, Group: string(id)}
	response, err := s.clients.Sched(addr).GetJob(ctx, connect.NewRequest(forwarded))
	return s.unpackForwarded(response, err, code.OwnerUnknown)
}

func (s *Sched) getLocal(ctx context.Context, id spec.GroupID, ref *recordv1.JobRef) (*schedv1.JobResponse, error) {
	reply, err := s.sendRequest(ctx, code.OwnerUnknown, func(r group.Request) event {
		return groupEvent{group: id, request: r, event: group.QueryJob{Request: r, Job: jobID(ref)}}
	})
	return responseOrMoved(reply), replyError(reply, err)
}

// CancelJob implements the SchedService.
func (s *Sched) CancelJob(ctx context.Context, call *connect.Request[schedv1.CancelJobRequest]) (*connect.Response[schedv1.JobResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, jobCallTimeout)
	defer cancel()
	request := call.Msg
	if request.GetForwarded() {
		return s.respondJob(s.cancelLocal(ctx, spec.GroupID(request.GetGroup()), request))
	}
	return s.respondJob(s.cancelParts(ctx, request))
}

// cancelOne cancels an undivided job or one part of a job.
func (s *Sched) cancelOne(ctx context.Context, request *schedv1.CancelJobRequest) (*schedv1.JobResponse, error) {
	err := code.New(code.OwnerUnknown, "no worker group is known yet")
	for _, candidate := range s.candidateGroups(jobID(request.GetJob())) {
		var response *schedv1.JobResponse
		response, err = s.cancelFollowingHandOffs(ctx, candidate, request)
		if code.Of(err) != code.UnknownJob {
			return response, err
		}
	}
	return nil, err
}

func (s *Sched) cancelFollowingHandOffs(ctx context.Context, id spec.GroupID, request *schedv1.CancelJobRequest) (*schedv1.JobResponse, error) {
	for range maxForwards {
		response, err := s.cancelInGroup(ctx, id, request)
		if err != nil || response.GetState() != stateMoved {
			return response, err
		}
		id = spec.GroupID(response.GetGroup())
	}
	return nil, code.New(code.OwnerUnknown, "job %s was handed off more than %d times", jobID(request.GetJob()), maxForwards)
}

func (s *Sched) cancelInGroup(ctx context.Context, id spec.GroupID, request *schedv1.CancelJobRequest) (*schedv1.JobResponse, error) {
	addr, own := s.ownerOf(id)
	switch {
	case own:
		return s.cancelLocal(ctx, id, request)
	case addr == "":
		return nil, code.New(code.OwnerUnknown, "group %s", id)
	}
	forwarded := &schedv1.CancelJobRequest{
		Job:       request.GetJob(),
		Actor:     request.GetActor(),
		Forwarded: true,
		Group:     string(id),
	}
	response, err := s.clients.Sched(addr).CancelJob(ctx, connect.NewRequest(forwarded))
	return s.unpackForwarded(response, err, code.AcceptanceUnsure)
}

func (s *Sched) cancelLocal(ctx context.Context, id spec.GroupID, request *schedv1.CancelJobRequest) (*schedv1.JobResponse, error) {
	reply, err := s.sendRequest(ctx, code.AcceptanceUnsure, func(r group.Request) event {
		cancel := group.Cancel{Request: r, Job: jobID(request.GetJob()), Actor: request.GetActor()}
		return groupEvent{group: id, request: r, event: cancel}
	})
	return responseOrMoved(reply), replyError(reply, err)
}

// responseOrMoved returns the response of a reply. For a reply that names
// another group this is a response with stateMoved, which is also sent to a
// peer that forwarded the call.
func responseOrMoved(reply group.Reply) *schedv1.JobResponse {
	if reply.Forward == "" {
		return reply.Response
	}
	return &schedv1.JobResponse{State: stateMoved, Group: string(reply.Forward)}
}

func replyError(reply group.Reply, err error) error {
	if err != nil || reply.Forward != "" || reply.Code == code.OK {
		return err
	}
	if reply.Response != nil {
		return code.New(reply.Code, "%s", reply.Response.GetDetail())
	}
	return code.New(reply.Code, "")
}

// codeHeader carries the result code between instances.
const codeHeader = "Redwingvale-Code"

// respondJob turns an error into a response with its code, so that the caller
// receives the code and the detail unchanged.
func (s *Sched) respondJob(response *schedv1.JobResponse, err error) (*connect.Response[schedv1.JobResponse], error) {
	if err != nil {
		response = &schedv1.JobResponse{Code: int32(code.Of(err)), Detail: detailOf(err)}
	}
	out := connect.NewResponse(response)
	if err != nil {
		out.Header().Set(codeHeader, strconv.Itoa(int(code.Of(err))))
	}
	return out, nil
}

// unpackForwarded returns the response of a peer, or the error that it carries.
// onFailure is the code of a failed call, because the peer may or may not have
// executed it.
func (s *Sched) unpackForwarded(response *connect.Response[schedv1.JobResponse], err error, onFailure code.Code) (*schedv1.JobResponse, error) {
	if err != nil {
		return nil, code.New(onFailure, "the owner does not answer")
	}
	if number, bad := strconv.Atoi(response.Header().Get(codeHeader)); bad == nil {
		return nil, code.New(code.Code(number), "%s", response.Msg.GetDetail())
	}
	return response.Msg, nil
}
