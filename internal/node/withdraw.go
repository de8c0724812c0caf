package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingvale/internal/code"
	"redwingvale/internal/jobs"
)

const (
	// refusalMargin is the time before the end of the caller's wait at which a
	// withdrawn submission is answered: the planner's tick, the way back through
	// another instance and a busy event loop.
	refusalMargin = 200 * time.Millisecond
	// maxCheckTime bounds the time that is kept for reading the log before the
	// answer; an append of a log that was slow for all took 0.2 to 0.6 s.
	maxCheckTime = 600 * time.Millisecond
	// slowLogRetryFactor is the delay after which a withdrawn submission may be
	// repeated, as a multiple of the duration of appends: one may be under way, and
	// the next one records all that wait.
	slowLogRetryFactor = 2
	maxSlowLogRetry    = 10 * time.Second
)

// callerWait returns how long the caller of a submission still waits, or 0 if that is
// not limited. An instance that is stopping answers at the end of its grace time.
func (n *Node) callerWait(ctx context.Context) time.Duration {
	deadline, limited := ctx.Deadline()
	wait := time.Until(deadline)
	if endMS := n.requestsEndMS.Load(); endMS > 0 {
		if left := millisecondsDuration(endMS - n.now().MS); !limited || left < wait {
			wait, limited = left, true
		}
	}
	if !limited {
		return 0
	}
	return max(wait, time.Millisecond)
}

// withdrawAfterMS returns the time after which the planner withdraws a submission
// whose caller waits for some time, so that the refusal can be checked against the log
// and still reaches the caller.
func (n *Node) withdrawAfterMS(wait time.Duration) int64 {
	check := min(2*time.Duration(n.logReadDurationMS.Load())*time.Millisecond, maxCheckTime)
	return max(milliseconds(max(wait-refusalMargin-check, wait/2)), 1)
}

// refuseWithdrawn answers a submission that the planner has withdrawn. An earlier
// attempt may have been recorded by another instance, and a refusal must be true.
func (n *Node) refuseWithdrawn(ctx context.Context, id jobs.ID) Result {
	if _, err := n.catchUp(ctx); err != nil {
		return Result{Code: code.AcceptanceUnsure}
	}
	if n.hasJob(ctx, id) {
		return Result{Code: code.OK}
	}
	n.stats.withdrawn.Inc(1)
	return Result{Code: code.LogSlow, RetryAfter: n.slowLogRetryAfter(id)}
}

// slowLogRetryAfter returns the delay after which a withdrawn submission may be
// repeated. The delays of different jobs are spread over twice the shortest one, so
// that their callers do not return together.
func (n *Node) slowLogRetryAfter(id jobs.ID) time.Duration {
	shortest := min(max(slowLogRetryFactor*n.appendTimer.typical(), retryAfter), maxSlowLogRetry)
	return shortest + time.Duration(xxhash.Sum64String(string(id))%uint64(2*shortest))
}
