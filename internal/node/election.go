package node

import (
	"cmp"
	"context"
	"slices"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"redwingvale/internal/telemetry"
)

// ranked is a member in the order in which members stand for leader.
type ranked struct {
	name string
	member
}

// candidates returns the members other than the leader in the order in which
// they stand: the strongest first, since the leader plans and calls for all.
// Of equals the one that started last goes first: in a rolling restart it is
// the one whose turn is farthest away. It runs in the loop.
func (n *Node) candidates(leader string) []ranked {
	out := make([]ranked, 0, len(n.members))
	for name, m := range n.members {
		if name != leader {
			out = append(out, ranked{name, m})
		}
	}
	slices.SortFunc(out, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(b.StartedMS, a.StartedMS), cmp.Compare(a.name, b.name))
	})
	return out
}

// stand watches the leader and claims its place when it is gone.
func (n *Node) stand(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, tickInterval*5)
		if !n.caughtUp.Load() || n.stopping.Load() || n.leading() {
			continue
		}
		due, err := ask(ctx, n, n.electionDue)
		if err == nil && due.now && due.epoch == 0 {
			// The other instances of a new deployment may just have registered.
			if _, err = n.catchUp(ctx); err == nil {
				due, err = ask(ctx, n, n.electionDue)
			}
		}
		if err != nil || !due.now {
			continue
		}
		if due.check && n.othersHearLeader(ctx, due) {
			continue
		}
		if err := n.claimTerm(ctx, due); err != nil {
			n.tele.Log.Warn("claim_failed", append(telemetry.ErrorFields(err), zap.Uint64("epoch", due.epoch+1))...)
			pause(ctx, retryPause)
		}
	}
}

// election is the state in which an instance may claim.
type election struct {
	now bool
	// check asks some other members first.
	check  bool
	epoch  uint64
	others []string
	reason string
}

// electionDue decides whether this instance should claim now. It runs in the
// loop.
func (n *Node) electionDue() election {
	out := election{epoch: n.claim.Epoch, check: true}
	rank := 0
	for i, m := range n.candidates(n.claim.Instance) {
		switch {
		case m.name == n.config.Instance:
			rank = i
		case len(out.others) < standbys:
			out.others = append(out.others, m.Peer)
		}
	}
	now := n.now().MS
	silent := now - n.signOfLife()
	stagger := int64(min(rank, maxStaggered)) * milliseconds(electStagger)
	limit := milliseconds(electAfter)
	if rank >= standbys {
		limit = milliseconds(distantElectAfter)
	}
	// A leader that wants to be replaced says so in its heartbeats.
	asked := n.heard.epoch == n.claim.Epoch && n.heard.askedMS > 0 && now-n.heard.askedMS >= stagger
	switch {
	case n.ownClaim():
		// Its answer, or what was to be read after it, was lost.
		out.now, out.check, out.reason = true, false, "own claim"
	case n.claim.Epoch == 0 && n.config.FirstStart:
		out.now, out.check, out.reason = now-n.bootMS >= milliseconds(firstClaimAfter)+stagger, false, "first start"
	case silent > limit+stagger:
		out.now, out.reason = true, "leader silent"
	case asked && n.heard.stopping:
		out.now, out.check, out.reason = true, false, "leader stopping"
	case asked && !n.heard.logAvailable && n.logServes() && now-n.logSinceMS.Load() >= milliseconds(logBackAfter)+stagger:
		// The log serves this instance but not the leader.
		out.now, out.check, out.reason = true, false, "leader cut off from the log"
	}
	return out
}

// signOfLife is when the leader was last known to live. A claimant is taken to
// live until its first heartbeat is due. It runs in the loop.
func (n *Node) signOfLife() int64 {
	if n.claimReadMS == 0 || n.heard.epoch >= n.claim.Epoch {
		return n.heard.atMS
	}
	return max(n.heard.atMS, n.claimReadMS+milliseconds(claimGrace-electAfter))
}

// logServes reports whether the log has answered this instance lately, and
// fast: while it is slow for everybody, a new leader would fare no better.
func (n *Node) logServes() bool {
	read := n.logReadMS.Load()
	return read > 0 && n.now().MS-read < milliseconds(2*followInterval) && n.logTookMS.Load() < milliseconds(logFast)
}

// othersHearLeader asks the members that hear the leader most often whether it
// is alive: an instance that alone has lost it must not claim.
func (n *Node) othersHearLeader(ctx context.Context, e election) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	alive := make(chan bool, len(e.others))
	group := errgroup.Group{}
	for _, peer := range e.others {
		group.Go(func() error {
			alive <- n.checkLeader(ctx, peer, e.epoch)
			return nil
		})
	}
	for range e.others {
		if <-alive {
			return true
		}
	}
	return false
}
