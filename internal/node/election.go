package node

import (
	"cmp"
	"context"
	"slices"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"redwingvale/internal/telemetry"
)

// candidate is a member that may be elected as the leader.
type candidate struct {
	name string
	member
}

// candidates returns the members other than the leader in the order in which
// they claim leadership. The one with the most processor capacity comes first,
// since the leader schedules and calls all workers for the whole deployment. Of
// equals the one that started last comes first: in a rolling restart it is the
// one that restarts last. It runs in the event loop.
func (n *Node) candidates(leader string) []candidate {
	out := make([]candidate, 0, len(n.members))
	for name, m := range n.members {
		if name != leader {
			out = append(out, candidate{name, m})
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.MilliCPU, a.MilliCPU), cmp.Compare(b.StartedMS, a.StartedMS), cmp.Compare(a.name, b.name))
	})
	return out
}

// campaign monitors the leader and claims leadership when the leader has
// failed or is to be replaced.
func (n *Node) campaign(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, tickInterval*5)
		if !n.caughtUp.Load() || n.stopping.Load() || n.isLeader() {
			continue
		}
		decision, err := runInLoop(ctx, n, dutyMembers, n.evaluateElection)
		if err == nil && decision.due && decision.epoch == 0 {
			// Other instances of a new deployment may have registered since the
			// last read.
			if _, err = n.catchUp(ctx); err == nil {
				decision, err = runInLoop(ctx, n, dutyMembers, n.evaluateElection)
			}
		}
		if err != nil || !decision.due {
			continue
		}
		if decision.confirm && n.peersSeeLeader(ctx, decision) {
			continue
		}
		if err := n.claimTerm(ctx, decision); err != nil {
			n.tele.Log.Warn("claim_failed", append(telemetry.ErrorFields(err), zap.Uint64("epoch", decision.epoch+1))...)
			pause(ctx, retryPause)
		}
	}
}

// election is the decision whether an instance claims leadership.
type election struct {
	due bool
	// confirm is set when the members at confirmPeers are queried first: this
	// instance makes no claim if one of them sees a running leader.
	confirm      bool
	epoch        uint64
	confirmPeers []string
	reason       string
}

// evaluateElection decides whether this instance claims leadership now. It runs
// in the event loop.
func (n *Node) evaluateElection() election {
	decision := election{epoch: n.claim.Epoch, confirm: true}
	rank := 0
	candidates := n.candidates(n.claim.Instance)
	for i, m := range candidates {
		switch {
		case m.name == n.config.Instance:
			rank = i
		case len(decision.confirmPeers) < standbyCount:
			decision.confirmPeers = append(decision.confirmPeers, m.Peer)
		}
	}
	now := n.now().MS
	lastSeenMS := n.leaderLastSeenMS()
	stagger := int64(min(rank, maxStaggerRank)) * milliseconds(electionStagger)
	limit := milliseconds(electionTimeout)
	if rank >= standbyCount {
		limit = milliseconds(nonStandbyElectionTimeout)
		// After a restart of all instances the strongest reach the log first. The
		// others learn of the leader only then, and it of them.
		lastSeenMS = max(lastSeenMS, n.caughtUpMS)
	}
	// A leader that is to be replaced reports so in its heartbeats.
	handOverDue := n.lastHeartbeat.epoch == n.claim.Epoch && n.lastHeartbeat.replaceableSinceMS > 0 && now-n.lastHeartbeat.replaceableSinceMS >= stagger
	switch {
	case n.ownClaimPending():
		// The response to the claim was lost, or a read after it failed.
		decision.due, decision.confirm, decision.reason = true, false, "own claim"
	case n.claim.Epoch == 0 && n.config.FirstStart:
		decision.due, decision.confirm, decision.reason = now-n.startedMS >= milliseconds(firstClaimDelay)+stagger, false, "first start"
	case now-lastSeenMS > limit+stagger:
		decision.due, decision.reason = true, "leader unresponsive"
	case handOverDue && n.lastHeartbeat.stopping && now-n.lastHeartbeat.replaceableSinceMS >= stagger+n.handOverWait(candidates[:min(rank+1, len(candidates))]):
		decision.due, decision.confirm, decision.reason = true, false, "leader stopping"
	case handOverDue && !n.lastHeartbeat.logAvailable && n.logResponsive() && now-n.logResponsiveSinceMS.Load() >= milliseconds(logRecoveryDelay)+stagger:
		// This instance can access the log; the leader cannot.
		decision.due, decision.confirm, decision.reason = true, false, "leader cut off from the log"
	}
	return decision
}

// handOverWait returns how long a member waits longer than its turn before it takes
// over from a leader that is stopping. If the leader has changed a short time ago, the
// instances are probably being restarted one after the other. A member that has not
// restarted since may be the next, so it lets those that are about to return go
// first. candidates are the members whose turn comes before this one's, and this one.
// It runs in the event loop.
func (n *Node) handOverWait(candidates []candidate) int64 {
	now := n.now()
	if n.claimReadMS == 0 || now.MS-n.claimReadMS > milliseconds(rollingWindow) {
		return 0
	}
	changedUnixMS := now.UnixMS - (now.MS - n.claimReadMS)
	for _, m := range candidates {
		if m.StartedMS < changedUnixMS {
			return milliseconds(returnWait)
		}
	}
	return 0
}

// leaderLastSeenMS returns when the leader was last known to be running. A
// claimant counts as running until its first heartbeat is due. It runs in the
// event loop.
func (n *Node) leaderLastSeenMS() int64 {
	if n.claimReadMS == 0 || n.lastHeartbeat.epoch >= n.claim.Epoch {
		return n.lastHeartbeat.receivedMS
	}
	return max(n.lastHeartbeat.receivedMS, n.claimReadMS+milliseconds(claimGracePeriod-electionTimeout))
}

// logResponsive reports whether the log has served this instance recently and
// without delay: while the log is slow for all instances, a new leader would be
// no better off.
func (n *Node) logResponsive() bool {
	readMS := n.lastLogReadMS.Load()
	return readMS > 0 && n.now().MS-readMS < milliseconds(2*followInterval) && n.logResponsiveSinceMS.Load() > 0
}

// peersSeeLeader queries the members that get the most frequent heartbeats and
// reports whether one of them sees a running leader: an instance that alone has
// lost contact with the leader must not claim.
func (n *Node) peersSeeLeader(ctx context.Context, e election) bool {
	ctx, cancel := context.WithTimeout(ctx, checkLeaderTimeout)
	defer cancel()
	alive := make(chan bool, len(e.confirmPeers))
	group := errgroup.Group{}
	for _, peer := range e.confirmPeers {
		group.Go(func() error {
			alive <- n.checkLeader(ctx, peer, e.epoch)
			return nil
		})
	}
	for range e.confirmPeers {
		if <-alive {
			return true
		}
	}
	return false
}
