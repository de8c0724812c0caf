package node

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"redwingvale/internal/code"
	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/gen/redwingvale/node/v1/nodev1connect"
	"redwingvale/internal/jobs"
)

const (
	// maxSubmitConns limits the connections for submissions to the leader. Each
	// submission keeps one as long as it waits.
	maxSubmitConns = 64
	// settleTime is how long a submission waits for the answers to its other
	// attempts once it has one, or once the leader has been replaced: the planner
	// answers all requests for a job at the same time, and a leader that is
	// replaced answers those that wait for it.
	settleTime = 150 * time.Millisecond
)

// submission is a submission that an instance passes to the leader.
type submission struct {
	n       *Node
	id      jobs.ID
	encoded []byte
	// unresolved is set once the leader or the log may have accepted the job
	// without an answer.
	unresolved bool
}

// submit forwards the job to the leader and waits for it as long as the leader is
// alive. It appends the submission to the log itself when the leader is gone. Both
// are idempotent, so an attempt with an unknown outcome is repeated.
func (n *Node) submit(ctx context.Context, id jobs.ID, encoded []byte) Result {
	s := &submission{n: n, id: id, encoded: encoded}
	refusal := Result{Code: code.OwnerUnknown, RetryAfter: retryAfter}
	for ctx.Err() == nil {
		l := n.leader.Load()
		result, reached := s.sendToLeader(ctx, l)
		switch result.Code {
		case code.OwnerUnknown, code.LogUnavailable:
			refusal.Code = result.Code
		case code.AcceptanceUnsure:
		case code.JobMemoryFull, code.OverloadedQueue, code.LogSlow:
			if !s.unresolved {
				return result
			}
			// An earlier attempt may still be recorded.
			pause(ctx, requestRetryPause)
			continue
		default:
			return result
		}
		// A member that has claimed leadership and has not begun its term answers
		// OwnerUnknown. A log that is slow has no room for direct appends meanwhile.
		wait := reached && n.leaderAlive(l) && !(result.Code == code.OwnerUnknown && n.logResponsive())
		if wait {
			pause(ctx, requestRetryPause)
			continue
		}
		if final, ok := s.recordDirectly(ctx, result.Code); ok {
			return final
		}
		pause(ctx, requestRetryPause)
	}
	if !s.unresolved {
		return refusal
	}
	return Result{Code: code.AcceptanceUnsure}
}

// recordDirectly appends the submission without the leader. ok is false if it is to
// be tried again.
func (s *submission) recordDirectly(ctx context.Context, reason code.Code) (result Result, ok bool) {
	n := s.n
	full, known, err := n.jobMemoryFull(ctx, s.id, s.encoded)
	switch {
	case known:
		return Result{Code: code.OK}, true
	case full && !s.unresolved:
		return Result{Code: code.JobMemoryFull, RetryAfter: retryAfter}, true
	case full || err != nil:
		return Result{}, false
	}
	err = n.recordDirectly(ctx, jobs.SubmissionRecord(s.id, s.encoded))
	switch {
	case err == nil:
		n.log("job_recorded_directly", zap.String("job", string(s.id)), zap.String("reason", reason.String()))
		return Result{Code: code.OK}, true
	case errors.Is(err, ErrRejected) && !s.unresolved:
		return Result{Code: code.RecordRejected}, true
	}
	s.unresolved = s.unresolved || errors.Is(err, ErrUnknown)
	return Result{}, false
}

// attempt is the outcome of one call to the leader.
type attempt struct {
	Result
	// sent is set if the leader may have received the call, answered if its answer
	// was received.
	sent, answered bool
}

// sendToLeader passes the submission to the leader and waits for the answer until
// ctx ends or the leader has been replaced or is gone. reached is false if there is
// no connection to the leader. A call that has no answer after peerTimeout is
// repeated on a new connection, and again after twice the time each: its connection
// may be silent permanently although the leader runs.
func (s *submission) sendToLeader(ctx context.Context, l *leaderInfo) (result Result, reached bool) {
	n := s.n
	if l == nil {
		return Result{Code: code.OwnerUnknown}, false
	}
	if l.self {
		result := n.submitLocal(ctx, s.id, s.encoded, n.callerWait(ctx))
		s.unresolved = s.unresolved || result.Code == code.AcceptanceUnsure
		return result, true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempts := make(chan attempt)
	open := 0
	send := func(client *http.Client) {
		open++
		go func() { attempts <- s.callLeader(ctx, client, l) }()
	}
	send(n.submitHTTP)
	repeatAfter := peerTimeout
	repeat, settled := time.NewTimer(repeatAfter), time.NewTimer(0)
	defer repeat.Stop()
	defer settled.Stop()
	<-settled.C
	settling := false
	settle := func() {
		if !settling {
			settling = true
			settled.Reset(settleTime)
		}
	}
	watch := time.NewTicker(leaveInterval)
	defer watch.Stop()
	result = Result{Code: code.OwnerUnknown}
	for open > 0 {
		select {
		case a := <-attempts:
			open--
			reached = reached || a.sent
			switch {
			case a.Code == code.OK:
				cancel()
				go discard(attempts, open)
				return a.Result, true
			case a.answered && a.Code != code.AcceptanceUnsure:
				result = a.Result
				settle()
			case a.sent:
				s.unresolved = true
				if !settling {
					result.Code = code.AcceptanceUnsure
				}
			}
		case <-repeat.C:
			if !settling {
				send(n.submitFreshHTTP)
				repeatAfter *= 2
				repeat.Reset(repeatAfter)
			}
		case <-watch.C:
			if current := n.leader.Load(); current == nil || current.epoch != l.epoch || !n.leaderAlive(l) {
				settle()
			}
		case <-settled.C:
			cancel()
		}
	}
	return result, reached
}

// discard receives the outcomes of calls that no longer matter.
func discard(attempts <-chan attempt, open int) {
	for range open {
		<-attempts
	}
}

// callLeader makes one call. It returns soon after ctx has ended.
func (s *submission) callLeader(ctx context.Context, client *http.Client, l *leaderInfo) attempt {
	ctx, sent := traceConnection(ctx)
	request := connect.NewRequest(&nodev1.SubmitJobRequest{
		Id: string(s.id), Job: s.encoded, WaitMs: uint32(s.n.callerWait(ctx).Milliseconds()),
	})
	request.Header().Set(knowsOverloadHeader, "1")
	response, err := nodev1connect.NewNodeServiceClient(client, "http://"+l.peer).SubmitJob(ctx, request)
	switch {
	case err != nil && !sent.Load():
		if ctx.Err() == nil {
			s.n.contact.unreachable(l.epoch, s.n.now().MS)
		}
		return attempt{Result: Result{Code: code.OwnerUnknown}}
	case err != nil:
		if ctx.Err() == nil {
			s.n.suspectLeader(l)
		}
		return attempt{Result: Result{Code: code.AcceptanceUnsure}, sent: true}
	}
	result := Result{
		Code:       code.Code(response.Msg.GetCode()),
		RetryAfter: time.Duration(response.Msg.GetRetryAfterMs()) * time.Millisecond,
	}
	return attempt{Result: result, sent: true, answered: true}
}
