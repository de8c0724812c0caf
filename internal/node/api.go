package node

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"redwingvale/internal/code"
	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
	"redwingvale/internal/telemetry"
)

// Result is the response to a submission.
type Result struct {
	Code       code.Code
	RetryAfter time.Duration
}

// requestRetryPause is the pause between two attempts of one request.
const requestRetryPause = 60 * time.Millisecond

// retryAfter is the delay after which the caller of a refused request may retry:
// a takeover takes about a second.
const retryAfter = time.Second

// Route returns the queue that a request addresses and the rest of its path. The
// code is OK, UnknownResource, or ConfigUnread: a configuration that has not been
// read within its maximum age does not show that there is no such queue.
func (n *Node) Route(host, path string) (queue, rest string, c code.Code) {
	table := n.routing.Load()
	if table == nil {
		return "", "", code.ConfigUnread
	}
	queue, rest, ok := table.route(host, path)
	switch {
	case ok:
		return queue, rest, code.OK
	case !n.manifestFresh():
		return "", "", code.ConfigUnread
	}
	return "", "", code.UnknownResource
}

// Submit accepts a job. It returns OK once the log holds the job.
func (n *Node) Submit(ctx context.Context, id jobs.ID, job *jobs.Job) Result {
	n.stats.submitted.Inc(1)
	start := time.Now()
	job.SubmittedMS = start.UnixMilli()
	if table := n.routing.Load(); table != nil {
		job.Policy = table.policies[job.Queue]
	}
	encoded, err := jobs.EncodeJob(job)
	if err != nil {
		return Result{Code: code.Internal}
	}
	if err := n.config.limits().CheckRecords(id, job, encoded); err != nil {
		n.stats.refused.Inc(1)
		n.log("job_refused", append(telemetry.ErrorFields(err), zap.String("job", string(id)), zap.String("queue", job.Queue))...)
		return Result{Code: code.Of(err)}
	}
	result := n.submit(ctx, id, encoded)
	n.stats.acceptTime.RecordDuration(time.Since(start))
	if result.Code == code.OverloadedQueue {
		n.stats.overload.refused.Inc(1)
	}
	switch code.Lookup(result.Code).Outcome {
	case code.Ran:
		n.stats.accepted.Inc(1)
	case code.NotRun:
		n.stats.refused.Inc(1)
	default:
		n.stats.outcomeUnknown.Inc(1)
	}
	n.log("job_submitted", zap.String("job", string(id)), zap.String("queue", job.Queue),
		zap.String("code", result.Code.String()), zap.Duration("took", time.Since(start)), zap.Uint64("epoch", n.leaderEpoch()))
	return result
}

func (n *Node) leaderEpoch() uint64 {
	if l := n.leader.Load(); l != nil {
		return l.epoch
	}
	return 0
}

// jobMemoryFull reports whether the jobs that the log holds leave no memory for
// another one, and whether the log holds that one already.
func (n *Node) jobMemoryFull(ctx context.Context, id jobs.ID, encoded []byte) (full, known bool, err error) {
	limit := n.jobLimit.Load()
	job, err := jobs.DecodeJob(encoded)
	if err != nil || limit <= 0 || n.jobBytes.Load()+job.Footprint() <= limit {
		return false, false, err
	}
	if _, err := n.catchUp(ctx); err != nil {
		return false, false, err
	}
	if n.hasJob(ctx, id) {
		return false, true, nil
	}
	return n.jobBytes.Load()+job.Footprint() > limit, false, nil
}

// requestPlanner posts the event for a new request ID to the planner and waits
// for its reply. A request that the event loop has not taken when ctx ends is taken
// back.
func (n *Node) requestPlanner(ctx context.Context, event func(requestID uint64) planner.Event) (planner.Reply, code.Code) {
	result := make(chan planner.Reply, 1)
	var taken atomic.Bool
	posted := n.post(ctx, dutyRequests, func() {
		if !taken.CompareAndSwap(false, true) {
			return
		}
		if n.term == nil {
			result <- planner.Reply{Unsent: true}
			return
		}
		n.lastRequestID++
		requestID := n.lastRequestID
		n.replies[requestID] = result
		n.step(event(requestID))
	})
	if !posted {
		return planner.Reply{Unsent: true}, code.OK
	}
	select {
	case reply, ok := <-result:
		if !ok {
			return reply, code.OwnerUnknown
		}
		return reply, code.OK
	case <-ctx.Done():
		if taken.CompareAndSwap(false, true) {
			return planner.Reply{Unsent: true}, code.OK
		}
		return planner.Reply{}, code.AcceptanceUnsure
	}
}

// deliverReply passes the planner's reply to the request that waits for it. It
// runs in the event loop.
func (n *Node) deliverReply(r planner.Reply) {
	result := n.replies[r.RequestID]
	delete(n.replies, r.RequestID)
	if result != nil {
		result <- r
	}
}

// submitLocal accepts a job as the leader. The caller waits for the given time; 0 if
// that is unknown.
func (n *Node) submitLocal(ctx context.Context, id jobs.ID, encoded []byte, wait time.Duration) Result {
	end := time.Now().Add(wait)
	caughtUp := false
	request := func(requestID uint64) planner.Event {
		e := planner.SubmitRequested{RequestID: requestID, ID: id, Encoded: encoded, CaughtUp: caughtUp}
		if wait > 0 {
			e.WaitMS = n.withdrawAfterMS(time.Until(end))
		}
		return e
	}
	reply, status := n.requestPlanner(ctx, request)
	if status == code.OK && (reply.Full || reply.Overloaded) {
		// Another instance may have recorded the job a moment ago, and a refusal must
		// be true.
		if _, err := n.catchUp(ctx); err != nil {
			return Result{Code: code.LogUnavailable}
		}
		caughtUp = true
		reply, status = n.requestPlanner(ctx, request)
	}
	switch {
	case status != code.OK:
		// The planner may have accepted the job before the term ended.
		return Result{Code: code.AcceptanceUnsure}
	case reply.Unsent:
		return Result{Code: code.OwnerUnknown}
	case reply.Withdrawn:
		return n.refuseWithdrawn(ctx, id)
	case reply.Full && !reply.TooLarge:
		return Result{Code: code.JobMemoryFull, RetryAfter: time.Duration(reply.RetryAfterMS) * time.Millisecond}
	case reply.Overloaded:
		return Result{Code: code.OverloadedQueue, RetryAfter: time.Duration(reply.RetryAfterMS) * time.Millisecond}
	case reply.TooLarge:
		return Result{Code: code.BodyTooLarge}
	case reply.Rejected && reply.Started:
		return Result{Code: code.Internal}
	case reply.Rejected:
		return Result{Code: code.RecordRejected}
	case !reply.Accepted:
		return Result{Code: code.CannotMeetTime, RetryAfter: time.Duration(reply.RetryAfterMS) * time.Millisecond}
	}
	return Result{Code: code.OK}
}

// Cancel cancels a job. It returns OK or UnknownJob only if that is certain, and
// AcceptanceUnsure otherwise.
func (n *Node) Cancel(ctx context.Context, id jobs.ID) code.Code {
	status := n.cancel(ctx, id)
	n.log("job_cancelled", zap.String("job", string(id)), zap.String("code", status.String()), zap.Uint64("epoch", n.leaderEpoch()))
	return status
}

func (n *Node) cancel(ctx context.Context, id jobs.ID) code.Code {
	for ctx.Err() == nil {
		status := n.cancelAtLeader(ctx, id)
		if status == code.OK || status == code.UnknownJob {
			return status
		}
		if status != code.OwnerUnknown && n.leaderAlive(n.leader.Load()) {
			pause(ctx, requestRetryPause)
			continue
		}
		if n.hasJob(ctx, id) && n.recordDirectly(ctx, jobs.CancellationRecord(id)) == nil {
			return code.OK
		}
		pause(ctx, requestRetryPause)
	}
	return code.AcceptanceUnsure
}

func (n *Node) cancelAtLeader(ctx context.Context, id jobs.ID) code.Code {
	l := n.leader.Load()
	if l == nil {
		return code.OwnerUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if l.self {
		return n.cancelLocal(ctx, id)
	}
	ctx, sent := traceConnection(ctx)
	response, err := n.peerClient(l.peer).CancelJob(ctx, connect.NewRequest(&nodev1.CancelJobRequest{Id: string(id)}))
	if err != nil && !sent.Load() {
		return code.OwnerUnknown
	}
	if err != nil {
		return code.AcceptanceUnsure
	}
	return code.Code(response.Msg.GetCode())
}

func (n *Node) cancelLocal(ctx context.Context, id jobs.ID) code.Code {
	for _, caughtUp := range []bool{false, true} {
		reply, status := n.requestPlanner(ctx, func(requestID uint64) planner.Event {
			return planner.CancelRequested{RequestID: requestID, ID: id, RecordUnknown: caughtUp}
		})
		switch {
		case status != code.OK:
			return status
		case reply.Unsent:
			return code.OwnerUnknown
		case reply.Known:
			return status
		}
		if caughtUp {
			break
		}
		// Another instance may have recorded the job a moment ago.
		if _, err := n.catchUp(ctx); err != nil {
			return code.LogUnavailable
		}
	}
	return code.UnknownJob
}

// hasJob reports whether this instance's state machine holds the job.
func (n *Node) hasJob(ctx context.Context, id jobs.ID) bool {
	known, err := runInLoop(ctx, n, dutyRequests, func() bool { return n.stateMachine.SubmittedEntry(id) != nil })
	return err == nil && known
}

// WaitingJobs returns the number of a queue's jobs of which no task has started.
func (n *Node) WaitingJobs(ctx context.Context, queue string) (int, code.Code) {
	for ctx.Err() == nil {
		waiting, status := n.waitingAtLeader(ctx, queue)
		if status == code.OK {
			return waiting, status
		}
		pause(ctx, requestRetryPause)
	}
	return 0, code.OwnerUnknown
}

func (n *Node) waitingAtLeader(ctx context.Context, queue string) (int, code.Code) {
	l := n.leader.Load()
	if l == nil {
		return 0, code.OwnerUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if l.self {
		return n.waitingLocal(ctx, queue)
	}
	response, err := n.peerClient(l.peer).CountWaiting(ctx, connect.NewRequest(&nodev1.CountWaitingRequest{Queue: queue}))
	if err != nil {
		return 0, code.OwnerUnknown
	}
	return int(response.Msg.GetWaiting()), code.Code(response.Msg.GetCode())
}

func (n *Node) waitingLocal(ctx context.Context, queue string) (int, code.Code) {
	waiting, err := runInLoop(ctx, n, dutyRequests, func() int {
		if n.term == nil {
			return -1
		}
		return n.term.core.WaitingJobs(queue)
	})
	if err != nil || waiting < 0 {
		return 0, code.NotOwner
	}
	return waiting, code.OK
}
