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
	// homeCandidates is how many groups are asked for a job, in the order of
	// preference. When groups are added, the home of a job moves by at most
	// one place in that order for each added group.
	homeCandidates = 3
	// maxForwards bounds how often a call follows a job that was handed off.
	maxForwards = 6
	// jobCallTimeout bounds one call about a job.
	jobCallTimeout = 5 * time.Second
	// maxJobWait bounds how long a call may wait for a change of a job.
	maxJobWait = 60 * time.Second
)

// homes returns the groups that may know a job, the home group first. Each
// group's weight is a hash of group and job, so adding a group moves only the
// jobs that the new group wins.
func (s *Sched) homes(id spec.JobID) []spec.GroupID {
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
	out := make([]spec.GroupID, 0, homeCandidates)
	for _, w := range all[:min(len(all), homeCandidates)] {
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
		return s.respondJob(s.submitHere(ctx, spec.GroupID(request.GetGroup()), request))
	}
	return s.respondJob(s.submitParts(ctx, request.GetJob()))
}

// submitOne submits a job that is kept as one part. It first looks for it in
// every group that may have been its home, so that a repeat cannot start it
// twice. filled is what is recorded, or nil for the owner to fill in.
func (s *Sched) submitOne(ctx context.Context, job, filled *recordv1.JobSpec) (*schedv1.JobResponse, error) {
	request := &schedv1.SubmitJobRequest{Job: job, Filled: filled}
	homes := s.homes(jobID(job.GetId()))
	if len(homes) == 0 {
		return nil, code.New(code.OwnerUnknown, "no worker group is known yet")
	}
	for _, candidate := range homes[1:] {
		_, err := s.getIn(ctx, candidate, job.GetId())
		if err == nil {
			return s.submitIn(ctx, candidate, request)
		}
		if code.Of(err) != code.UnknownJob {
			return nil, refusedUnsent(err)
		}
	}
	return s.submitIn(ctx, homes[0], request)
}

// refusedUnsent turns a failed lookup into a refusal: nothing was submitted.
func refusedUnsent(err error) error {
	if code.Lookup(code.Of(err)).Outcome == code.NotRun {
		return err
	}
	return code.New(code.OwnerUnknown, "a group that may know the job does not answer")
}

func (s *Sched) submitIn(ctx context.Context, id spec.GroupID, request *schedv1.SubmitJobRequest) (*schedv1.JobResponse, error) {
	addr, own := s.ownerOf(id)
	switch {
	case own:
		return s.submitHere(ctx, id, request)
	case addr == "":
		return nil, code.New(code.OwnerUnknown, "group %s", id)
	}
	forwarded := &schedv1.SubmitJobRequest{
		Job:       request.GetJob(),
		Filled:    request.GetFilled(),
		Forwarded: true,
		Group:     string(id),
	}
	answer, err := s.clients.Sched(addr).SubmitJob(ctx, connect.NewRequest(forwarded))
	return s.forwarded(answer, err, code.AcceptanceUnsure)
}

func (s *Sched) submitHere(ctx context.Context, id spec.GroupID, request *schedv1.SubmitJobRequest) (*schedv1.JobResponse, error) {
	submit := group.Submit{
		Job:    request.GetJob(),
		Filled: request.GetFilled(),
		Actor:  request.GetJob().GetId().GetTeam(),
	}
	if submit.Filled == nil {
		submit.Filled, submit.Refusal = s.complete(submit.Job)
	}
	reply, err := s.ask(ctx, code.AcceptanceUnsure, func(r group.Request) event {
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
		return s.respondJob(s.getHere(ctx, spec.GroupID(request.GetGroup()), request.GetJob()))
	}
	return s.respondJob(s.waitForJob(ctx, request))
}

// waitForJob returns the state of a job when it differs from the known one,
// or after the wait. Changes in other instances are seen by asking again.
func (s *Sched) waitForJob(ctx context.Context, request *schedv1.GetJobRequest) (*schedv1.JobResponse, error) {
	until := time.Now().Add(min(milliseconds(int64(request.GetWaitMs())), maxJobWait))
	for {
		changed := s.jobChanges.next(jobID(request.GetJob()))
		response, err := s.findWhole(ctx, request.GetJob())
		left := time.Until(until)
		if err != nil || response.GetState() != request.GetKnownState() || left <= 0 {
			return response, err
		}
		limited, cancel := context.WithTimeout(ctx, min(left, jobPollPeriod))
		wait(limited, changed)
		cancel()
	}
}

// jobPollPeriod is how often a waiting call asks again for a job that another
// instance owns.
const jobPollPeriod = 250 * time.Millisecond

func (s *Sched) find(ctx context.Context, ref *recordv1.JobRef) (*schedv1.JobResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, jobCallTimeout)
	defer cancel()
	err := code.New(code.OwnerUnknown, "no worker group is known yet")
	for _, candidate := range s.homes(jobID(ref)) {
		var response *schedv1.JobResponse
		response, err = s.getIn(ctx, candidate, ref)
		if code.Of(err) != code.UnknownJob {
			return response, err
		}
	}
	return nil, err
}

// getIn asks the owner of a group and follows the job when it was handed off.
func (s *Sched) getIn(ctx context.Context, id spec.GroupID, ref *recordv1.JobRef) (*schedv1.JobResponse, error) {
	for range maxForwards {
		response, err := s.getAt(ctx, id, ref)
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

func (s *Sched) getAt(ctx context.Context, id spec.GroupID, ref *recordv1.JobRef) (*schedv1.JobResponse, error) {
	addr, own := s.ownerOf(id)
	switch {
	case own:
		return s.getHere(ctx, id, ref)
	case addr == "":
		return nil, code.New(code.OwnerUnknown, "group %s", id)
	}
	forwarded := &schedv1.GetJobRequest{Job: ref, Forwarded: true, Group: string(id)}
	answer, err := s.clients.Sched(addr).GetJob(ctx, connect.NewRequest(forwarded))
	return s.forwarded(answer, err, code.OwnerUnknown)
}

func (s *Sched) getHere(ctx context.Context, id spec.GroupID, ref *recordv1.JobRef) (*schedv1.JobResponse, error) {
	reply, err := s.ask(ctx, code.OwnerUnknown, func(r group.Request) event {
		return groupEvent{group: id, request: r, event: group.QueryJob{Request: r, Job: jobID(ref)}}
	})
	return movedOr(reply), replyError(reply, err)
}

// CancelJob implements the SchedService.
func (s *Sched) CancelJob(ctx context.Context, call *connect.Request[schedv1.CancelJobRequest]) (*connect.Response[schedv1.JobResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, jobCallTimeout)
	defer cancel()
	request := call.Msg
	if request.GetForwarded() {
		return s.respondJob(s.cancelHere(ctx, spec.GroupID(request.GetGroup()), request))
	}
	return s.respondJob(s.cancelParts(ctx, request))
}

// cancelOne cancels a job that is kept as one part.
func (s *Sched) cancelOne(ctx context.Context, request *schedv1.CancelJobRequest) (*schedv1.JobResponse, error) {
	err := code.New(code.OwnerUnknown, "no worker group is known yet")
	for _, candidate := range s.homes(jobID(request.GetJob())) {
		var response *schedv1.JobResponse
		response, err = s.cancelIn(ctx, candidate, request)
		if code.Of(err) != code.UnknownJob {
			return response, err
		}
	}
	return nil, err
}

func (s *Sched) cancelIn(ctx context.Context, id spec.GroupID, request *schedv1.CancelJobRequest) (*schedv1.JobResponse, error) {
	for range maxForwards {
		response, err := s.cancelAt(ctx, id, request)
		if err != nil || response.GetState() != stateMoved {
			return response, err
		}
		id = spec.GroupID(response.GetGroup())
	}
	return nil, code.New(code.OwnerUnknown, "job %s was handed off more than %d times", jobID(request.GetJob()), maxForwards)
}

func (s *Sched) cancelAt(ctx context.Context, id spec.GroupID, request *schedv1.CancelJobRequest) (*schedv1.JobResponse, error) {
	addr, own := s.ownerOf(id)
	switch {
	case own:
		return s.cancelHere(ctx, id, request)
	case addr == "":
		return nil, code.New(code.OwnerUnknown, "group %s", id)
	}
	forwarded := &schedv1.CancelJobRequest{
		Job:       request.GetJob(),
		Actor:     request.GetActor(),
		Forwarded: true,
		Group:     string(id),
	}
	answer, err := s.clients.Sched(addr).CancelJob(ctx, connect.NewRequest(forwarded))
	return s.forwarded(answer, err, code.AcceptanceUnsure)
}

func (s *Sched) cancelHere(ctx context.Context, id spec.GroupID, request *schedv1.CancelJobRequest) (*schedv1.JobResponse, error) {
	reply, err := s.ask(ctx, code.AcceptanceUnsure, func(r group.Request) event {
		cancel := group.Cancel{Request: r, Job: jobID(request.GetJob()), Actor: request.GetActor()}
		return groupEvent{group: id, request: r, event: cancel}
	})
	return movedOr(reply), replyError(reply, err)
}

// movedOr turns a reply that names another group into a response with
// stateMoved, which also travels to a peer that forwarded the call.
func movedOr(reply group.Reply) *schedv1.JobResponse {
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

// respondJob turns an error into a response with its code, so that the code
// and the detail travel unchanged.
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

// forwarded unpacks the response of a peer. onFailure is the code when the
// call failed, because then nobody knows whether the peer carried it out.
func (s *Sched) forwarded(answer *connect.Response[schedv1.JobResponse], err error, onFailure code.Code) (*schedv1.JobResponse, error) {
	if err != nil {
		return nil, code.New(onFailure, "the owner does not answer")
	}
	if number, bad := strconv.Atoi(answer.Header().Get(codeHeader)); bad == nil {
		return nil, code.New(code.Code(number), "%s", answer.Msg.GetDetail())
	}
	return answer.Msg, nil
}
