package node

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"redwingvale/internal/code"
	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
	"redwingvale/internal/telemetry"
)

// Result is the answer to a submission.
type Result struct {
	Code       code.Code
	RetryAfter time.Duration
}

// maxRetryPause bounds the pause between two attempts of one request.
const maxRetryPause = 60 * time.Millisecond

// retryAfter is when a caller may try again whose request was not taken in: a
// takeover takes about a second.
const retryAfter = time.Second

// Route returns the queue that a request is for and the rest of its path. The
// code is OK, UnknownResource, or ConfigUnread: a configuration that was not
// read within its bound cannot say that there is no such queue.
func (n *Node) Route(host, path string) (queue, rest string, c code.Code) {
	v := n.view.Load()
	if v == nil {
		return "", "", code.ConfigUnread
	}
	queue, rest, ok := v.route(host, path)
	switch {
	case ok:
		return queue, rest, code.OK
	case !n.manifestFresh():
		return "", "", code.ConfigUnread
	}
	return "", "", code.UnknownResource
}

// Submit takes a job in. It returns OK once the job is in the log.
func (n *Node) Submit(ctx context.Context, id jobs.ID, job *jobs.Job) Result {
	n.stats.submitted.Inc(1)
	begun := time.Now()
	job.SubmittedMS = begun.UnixMilli()
	if v := n.view.Load(); v != nil {
		job.Policy = v.policies[job.Queue]
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
	got := n.submit(ctx, id, encoded)
	n.stats.accept.RecordDuration(time.Since(begun))
	switch code.Lookup(got.Code).Outcome {
	case code.Ran:
		n.stats.accepted.Inc(1)
	case code.NotRun:
		n.stats.refused.Inc(1)
	default:
		n.stats.unsure.Inc(1)
	}
	n.log("job_submitted", zap.String("job", string(id)), zap.String("queue", job.Queue),
		zap.String("code", got.Code.String()), zap.Duration("took", time.Since(begun)), zap.Uint64("epoch", n.leaderEpoch()))
	return got
}

func (n *Node) leaderEpoch() uint64 {
	if l := n.leader.Load(); l != nil {
		return l.epoch
	}
	return 0
}

// submit asks the leader, and records the job itself when the leader cannot
// be reached. Both are idempotent, so an unsure attempt is simply repeated.
func (n *Node) submit(ctx context.Context, id jobs.ID, encoded []byte) Result {
	// unsure is set once the leader or the log may have taken the job in.
	unsure := false
	refused := Result{Code: code.OwnerUnknown, RetryAfter: retryAfter}
	for ctx.Err() == nil {
		got := n.submitToLeader(ctx, id, encoded)
		unsure = unsure || got.Code == code.AcceptanceUnsure
		if got.Code != code.OwnerUnknown && got.Code != code.LogUnavailable && got.Code != code.AcceptanceUnsure {
			return got
		}
		err := n.recordDirectly(ctx, jobs.SubmissionRecord(id, encoded))
		if err == nil {
			n.log("job_recorded_directly", zap.String("job", string(id)), zap.String("reason", got.Code.String()))
			return Result{Code: code.OK}
		}
		if errors.Is(err, ErrRejected) && !unsure {
			return Result{Code: code.RecordRejected}
		}
		unsure = unsure || errors.Is(err, ErrUnknown)
		refused.Code = got.Code
		pause(ctx, maxRetryPause)
	}
	if !unsure {
		return refused
	}
	return Result{Code: code.AcceptanceUnsure}
}

func (n *Node) submitToLeader(ctx context.Context, id jobs.ID, encoded []byte) Result {
	l := n.leader.Load()
	if l == nil {
		return Result{Code: code.OwnerUnknown}
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if l.self {
		return n.submitHere(ctx, id, encoded)
	}
	ctx, sent := traceSent(ctx)
	answer, err := n.peer(l.peer).SubmitJob(ctx, connect.NewRequest(&nodev1.SubmitJobRequest{Id: string(id), Job: encoded}))
	if err != nil && !sent.Load() {
		return Result{Code: code.OwnerUnknown}
	}
	if err != nil {
		return Result{Code: code.AcceptanceUnsure}
	}
	return Result{
		Code:       code.Code(answer.Msg.GetCode()),
		RetryAfter: time.Duration(answer.Msg.GetRetryAfterMs()) * time.Millisecond,
	}
}

// recordDirectly writes a record without the leader.
func (n *Node) recordDirectly(ctx context.Context, r jobs.Record) error {
	if n.logReadMS.Load() == 0 {
		return ErrUnavailable
	}
	_, err := n.deps.Log.Append(ctx, Append{Records: []jobs.Record{r}, At: -1})
	if err != nil {
		n.stats.logErrors.Inc(1)
		n.tele.Log.Warn("direct_append_failed", append(telemetry.ErrorFields(err), zap.String("key", r.Key))...)
	}
	return err
}

// request puts a question with a reply to the planner.
func (n *Node) request(ctx context.Context, event func(ticket uint64) planner.Event) (planner.Reply, code.Code) {
	answer := make(chan planner.Reply, 1)
	posted := n.post(ctx, func() {
		if n.term == nil {
			close(answer)
			return
		}
		n.nextReply++
		ticket := n.nextReply
		n.replies[ticket] = answer
		n.step(event(ticket))
	})
	if !posted {
		return planner.Reply{}, code.AcceptanceUnsure
	}
	select {
	case got, ok := <-answer:
		if !ok {
			return got, code.OwnerUnknown
		}
		return got, code.OK
	case <-ctx.Done():
		return planner.Reply{}, code.AcceptanceUnsure
	}
}

// reply answers a request. It runs in the loop.
func (n *Node) reply(r planner.Reply) {
	answer := n.replies[r.Ticket]
	delete(n.replies, r.Ticket)
	if answer != nil {
		answer <- r
	}
}

// submitHere takes a job in as the leader.
func (n *Node) submitHere(ctx context.Context, id jobs.ID, encoded []byte) Result {
	reply, got := n.request(ctx, func(ticket uint64) planner.Event {
		return planner.SubmitRequested{Ticket: ticket, ID: id, Encoded: encoded}
	})
	if got != code.OK {
		// The planner may have taken the job in before the term ended.
		return Result{Code: code.AcceptanceUnsure}
	}
	switch {
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

// Cancel cancels a job. It returns OK or UnknownJob when that is certain.
func (n *Node) Cancel(ctx context.Context, id jobs.ID) code.Code {
	got := n.cancel(ctx, id)
	n.log("job_cancelled", zap.String("job", string(id)), zap.String("code", got.String()), zap.Uint64("epoch", n.leaderEpoch()))
	return got
}

func (n *Node) cancel(ctx context.Context, id jobs.ID) code.Code {
	for ctx.Err() == nil {
		got := n.cancelAtLeader(ctx, id)
		if got == code.OK || got == code.UnknownJob {
			return got
		}
		if n.knows(ctx, id) && n.recordDirectly(ctx, jobs.CancellationRecord(id)) == nil {
			return code.OK
		}
		pause(ctx, maxRetryPause)
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
		return n.cancelHere(ctx, id)
	}
	answer, err := n.peer(l.peer).CancelJob(ctx, connect.NewRequest(&nodev1.CancelJobRequest{Id: string(id)}))
	if err != nil {
		return code.AcceptanceUnsure
	}
	return code.Code(answer.Msg.GetCode())
}

func (n *Node) cancelHere(ctx context.Context, id jobs.ID) code.Code {
	for range 2 {
		reply, got := n.request(ctx, func(ticket uint64) planner.Event {
			return planner.CancelRequested{Ticket: ticket, ID: id}
		})
		if got != code.OK || reply.Known {
			return got
		}
		// Another instance may have recorded the job a moment ago.
		if _, err := n.catchUp(ctx); err != nil {
			return code.LogUnavailable
		}
	}
	return code.UnknownJob
}

// knows reports whether the book of this instance holds the job.
func (n *Node) knows(ctx context.Context, id jobs.ID) bool {
	known, err := ask(ctx, n, func() bool { return n.book.Known(id) != nil })
	return err == nil && known
}

// State returns the state of a job. UnknownJob is returned only when the log
// has been read to its end.
func (n *Node) State(ctx context.Context, id jobs.ID) (jobs.State, code.Code) {
	for ctx.Err() == nil {
		state, got := n.stateAtLeader(ctx, id)
		if got == code.OK || got == code.UnknownJob {
			return state, got
		}
		state, err := ask(ctx, n, func() jobs.State {
			if entry := n.book.Known(id); entry != nil {
				return entry.State()
			}
			return ""
		})
		if err == nil && state != "" {
			return state, code.OK
		}
		pause(ctx, maxRetryPause)
	}
	return "", code.OwnerUnknown
}

func (n *Node) stateAtLeader(ctx context.Context, id jobs.ID) (jobs.State, code.Code) {
	l := n.leader.Load()
	if l == nil {
		return "", code.OwnerUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if l.self {
		return n.stateHere(ctx, id)
	}
	answer, err := n.peer(l.peer).GetJob(ctx, connect.NewRequest(&nodev1.GetJobRequest{Id: string(id)}))
	if err != nil {
		return "", code.OwnerUnknown
	}
	return jobs.State(answer.Msg.GetState()), code.Code(answer.Msg.GetCode())
}

func (n *Node) stateHere(ctx context.Context, id jobs.ID) (jobs.State, code.Code) {
	for attempt := range 2 {
		type found struct {
			state   jobs.State
			ok      bool
			leading bool
		}
		got, err := ask(ctx, n, func() found {
			if n.term == nil {
				return found{}
			}
			state, ok := n.term.core.State(id)
			return found{state, ok, true}
		})
		switch {
		case err != nil || !got.leading:
			return "", code.NotOwner
		case got.ok:
			return got.state, code.OK
		}
		if attempt == 0 {
			// Another instance may have recorded the job a moment ago.
			if _, err := n.catchUp(ctx); err != nil {
				return "", code.LogUnavailable
			}
		}
	}
	return "", code.UnknownJob
}

// Waiting returns the number of a queue's jobs of which no task has started.
func (n *Node) Waiting(ctx context.Context, queue string) (int, code.Code) {
	for ctx.Err() == nil {
		waiting, got := n.waitingAtLeader(ctx, queue)
		if got == code.OK {
			return waiting, got
		}
		pause(ctx, maxRetryPause)
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
		return n.waitingHere(ctx, queue)
	}
	answer, err := n.peer(l.peer).CountWaiting(ctx, connect.NewRequest(&nodev1.CountWaitingRequest{Queue: queue}))
	if err != nil {
		return 0, code.OwnerUnknown
	}
	return int(answer.Msg.GetWaiting()), code.Code(answer.Msg.GetCode())
}

func (n *Node) waitingHere(ctx context.Context, queue string) (int, code.Code) {
	waiting, err := ask(ctx, n, func() int {
		if n.term == nil {
			return -1
		}
		return n.term.core.Waiting(queue)
	})
	if err != nil || waiting < 0 {
		return 0, code.NotOwner
	}
	return waiting, code.OK
}
