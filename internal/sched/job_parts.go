package sched

import (
	"context"
	"fmt"
	"regexp"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"redwingvale/internal/code"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// Sizes of the parts of a job. A worker group holds eight workers, so a job of
// many tasks would wait in one group while others are idle. The division
// depends on the number of tasks alone, so a resubmission makes the same
// parts.
const (
	// tasksPerPart is the number of tasks up to which a job is not divided.
	tasksPerPart = 8
	// maxParts bounds the parts of one job; larger jobs have larger parts.
	maxParts = 256
	// partCalls is the number of parts that are queried or submitted at a time.
	partCalls = 16
)

// partName matches the names of parts, which callers may not use.
var partName = regexp.MustCompile(`\.part-[0-9]+$`)

// partRef names a part. The first part has the job's own name.
func partRef(ref *recordv1.JobRef, index int) *recordv1.JobRef {
	if index == 0 {
		return ref
	}
	return &recordv1.JobRef{Team: ref.GetTeam(), Name: fmt.Sprintf("%s.part-%d", ref.GetName(), index)}
}

// divide returns the parts of a job, in the order of their tasks.
func divide(job *recordv1.JobSpec) []*recordv1.JobSpec {
	total := job.GetTasks()
	size := max(tasksPerPart, (total+maxParts-1)/maxParts)
	if total <= size {
		return []*recordv1.JobSpec{job}
	}
	count := (total + size - 1) / size
	var parts []*recordv1.JobSpec
	for first := uint32(0); first < total; first += size {
		part := proto.CloneOf(job)
		part.Id = partRef(job.GetId(), len(parts))
		part.Tasks = min(size, total-first)
		part.Parts = count
		part.FirstIndex = first
		part.TotalTasks = total
		parts = append(parts, part)
	}
	return parts
}

// submitParts submits the first part, which distinguishes a resubmission from
// a conflict, and then the others. When a later part fails, the job is accepted
// in part and the error asks the caller to repeat the submission.
func (s *Sched) submitParts(ctx context.Context, job *recordv1.JobSpec) (*schedv1.JobResponse, error) {
	if partName.MatchString(job.GetId().GetName()) {
		return nil, code.New(code.BadID, "names that end in .part-N are reserved")
	}
	parts := divide(job)
	responses := make([]*schedv1.JobResponse, len(parts))
	first, err := s.submitOne(ctx, parts[0], nil)
	if err != nil {
		return nil, err
	}
	responses[0] = first
	if len(parts) == 1 {
		return first, nil
	}
	recorded, err := s.recordedSpec(ctx, first, parts[0])
	if err != nil {
		return nil, code.New(code.AcceptanceUnsure, "accepted in part, repeat with the same id: %s", detailOf(err))
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(partCalls)
	for i := 1; i < len(parts); i++ {
		group.Go(func() error {
			response, err := s.submitOne(ctx, parts[i], fillFrom(recorded, parts[i]))
			responses[i] = response
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, code.New(code.AcceptanceUnsure, "accepted in part, repeat with the same id: %s", detailOf(err))
	}
	return joinResponses(responses), nil
}

// recordedSpec returns the recorded job of an accepted first part. A group that
// has handed the part off may no longer have it; the next group is queried
// then.
func (s *Sched) recordedSpec(ctx context.Context, first *schedv1.JobResponse, part *recordv1.JobSpec) (*recordv1.JobSpec, error) {
	if first.GetJob().GetTasks() > 0 {
		return first.GetJob(), nil
	}
	found, err := s.findPart(ctx, part.GetId())
	return found.GetJob(), err
}

// findJob returns the combined state of all parts of a job.
func (s *Sched) findJob(ctx context.Context, ref *recordv1.JobRef) (*schedv1.JobResponse, error) {
	first, err := s.findPart(ctx, ref)
	if err != nil {
		return nil, err
	}
	responses := make([]*schedv1.JobResponse, max(1, int(first.GetJob().GetParts())))
	responses[0] = first
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(partCalls)
	for i := 1; i < len(responses); i++ {
		group.Go(func() error {
			response, err := s.findPart(ctx, partRef(ref, i))
			if code.Of(err) == code.UnknownJob {
				response = &schedv1.JobResponse{State: stateAccepted, Detail: "a part is not recorded; repeat the submission"}
				err = nil
			}
			responses[i] = response
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return joinResponses(responses), nil
}

// cancelParts cancels every part. The first part is cancelled last, so that a
// cancellation that fails half-way can be repeated.
func (s *Sched) cancelParts(ctx context.Context, request *schedv1.CancelJobRequest) (*schedv1.JobResponse, error) {
	first, err := s.findPart(ctx, request.GetJob())
	if err != nil {
		return nil, err
	}
	responses := make([]*schedv1.JobResponse, max(1, int(first.GetJob().GetParts())))
	for i := len(responses) - 1; i >= 0; i-- {
		part := proto.CloneOf(request)
		part.Job = partRef(request.GetJob(), i)
		responses[i], err = s.cancelOne(ctx, part)
		if err != nil && code.Of(err) != code.UnknownJob {
			return nil, err
		}
	}
	return joinResponses(responses), nil
}

// The states of a job, from the least to the most advanced.
const (
	stateAccepted  = "accepted"
	stateWaiting   = "waiting"
	stateRunning   = "running"
	stateDone      = "done"
	stateFailed    = "failed"
	stateCancelled = "cancelled"
)

// joinResponses combines the responses of a job's parts.
func joinResponses(parts []*schedv1.JobResponse) *schedv1.JobResponse {
	if len(parts) == 1 {
		return parts[0]
	}
	out := &schedv1.JobResponse{Job: proto.CloneOf(parts[0].GetJob()), Group: parts[0].GetGroup()}
	out.Job.Tasks = out.Job.GetTotalTasks()
	states := make(map[string]int)
	for _, part := range parts {
		states[part.GetState()]++
		if part.GetCode() != 0 && out.GetCode() == 0 {
			out.Code = part.GetCode()
			out.Detail = part.GetDetail()
		}
		for _, task := range part.GetTasks() {
			shifted := proto.CloneOf(task)
			shifted.Index += part.GetJob().GetFirstIndex()
			out.Tasks = append(out.Tasks, shifted)
		}
	}
	out.State = joinedState(states, len(parts))
	return out
}

// joinedState returns the state of a job from the number of its parts in each
// state. A job is done when all of its parts are; it has failed or is cancelled
// when one part is and no part is accepted, waiting or running.
func joinedState(states map[string]int, parts int) string {
	switch {
	case states[stateDone] == parts:
		return stateDone
	case states[stateRunning] > 0:
		return stateRunning
	case states[stateWaiting]+states[stateAccepted] > 0 && states[stateDone] > 0:
		return stateWaiting
	case states[stateWaiting] > 0:
		return stateWaiting
	case states[stateAccepted] > 0:
		return stateAccepted
	case states[stateCancelled] > 0:
		return stateCancelled
	default:
		return stateFailed
	}
}
