package node

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
	"redwingvale/internal/ring"
	"redwingvale/internal/telemetry"
)

// leaderInfo identifies the leader and the address for requests to it.
type leaderInfo struct {
	epoch uint64
	peer  string
	self  bool
}

// claimTerm claims the next epoch and begins its term. The claim fences the
// predecessor's writes, so a read of the log after the claim returns all that
// the predecessor has recorded. Of two claims of one epoch the log accepts the
// first: the second has the same sequence number and gets the first one's
// response.
func (n *Node) claimTerm(ctx context.Context, e election) error {
	if _, err := n.catchUp(ctx); err != nil {
		return err
	}
	c, err := runInLoop(ctx, n, dutyMembers, func() claim { return n.nextClaim(e.epoch) })
	if err != nil {
		return err
	}
	if c.Epoch == 0 {
		return n.claimLostError(ctx)
	}
	if err := n.sendClaim(ctx, c, e.reason); err != nil {
		return err
	}
	if claimed, err := runInLoop(ctx, n, dutyMembers, n.ownClaimPending); err != nil || !claimed {
		return errors.CombineErrors(err, n.claimLostError(ctx))
	}
	if err := n.announceClaim(ctx, c); err != nil {
		return err
	}
	readMS := n.now().MS
	infos, from, err := n.deps.Directory.Workers(ctx)
	if err != nil {
		return err
	}
	won, err := runInLoop(ctx, n, dutyMembers, func() bool {
		if n.claim != c || n.term != nil {
			return false
		}
		n.sentClaim = claim{}
		n.beginTerm(ctx, c, infos, from, readMS)
		return true
	})
	if err == nil && !won {
		return n.claimLostError(ctx)
	}
	return err
}

// nextClaim returns the claim to send for the epoch after the given one, or the
// zero claim if the log's newest claim has another epoch. A claim whose outcome
// is unknown is sent again unchanged, so that this instance recognizes it as its
// own whichever attempt the log has accepted. It runs in the event loop.
func (n *Node) nextClaim(epoch uint64) claim {
	switch {
	case n.ownClaimPending():
		return n.sentClaim
	case n.claim.Epoch != epoch:
		return claim{}
	case n.sentClaim.Epoch != epoch+1:
		n.sentClaim = claim{
			Epoch: epoch + 1, Instance: n.config.Instance, Peer: n.config.advertisedPeerAddr(),
			LeaseMS: n.config.plannerConfig(false).LeaseMS, Nonce: uuid.NewString(),
		}
	}
	return n.sentClaim
}

// ownClaimPending reports whether the log's newest claim is this instance's and
// its term has not begun yet. It runs in the event loop.
func (n *Node) ownClaimPending() bool { return n.sentClaim.Epoch > 0 && n.claim == n.sentClaim }

// sendClaim appends the claim unless the log holds it already, and reads the
// log. The log decides which claim has won; two claims of one epoch differ in
// their nonce.
func (n *Node) sendClaim(ctx context.Context, c claim, reason string) error {
	held, err := runInLoop(ctx, n, dutyMembers, n.ownClaimPending)
	if err != nil || held {
		return err
	}
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	n.log("claim_sent", zap.Uint64("epoch", c.Epoch), zap.String("reason", reason))
	_, err = n.deps.Log.Append(ctx, Append{
		Records: []jobs.Record{{Key: claimKey, Value: value}},
		Writer:  &Writer{Epoch: c.Epoch, Sequence: firstSequence(c.Epoch)}, ExpectedEnd: -1,
	})
	if err != nil && !errors.Is(err, ErrUnknown) {
		return err
	}
	_, readErr := n.catchUp(ctx)
	if readErr != nil {
		return errors.CombineErrors(readErr, err)
	}
	return nil
}

// claimLostError returns an error that names what the log holds instead of this
// instance's claim.
func (n *Node) claimLostError(ctx context.Context) error {
	type claims struct{ held, sent claim }
	c, err := runInLoop(ctx, n, dutyMembers, func() claims { return claims{n.claim, n.sentClaim} })
	switch {
	case err != nil:
		return err
	case c.held.Epoch < c.sent.Epoch:
		return errors.Newf("the claim for epoch %d is not in the log yet", c.sent.Epoch)
	default:
		return errors.Newf("the log holds the claim of %q for epoch %d", c.held.Instance, c.held.Epoch)
	}
}

// beginTerm makes this instance the leader for the epoch of the claim. It runs
// in the event loop. The workers are those that the directory listed at readMS.
func (n *Node) beginTerm(ctx context.Context, c claim, infos []planner.WorkerInfo, from, readMS int64) {
	termCtx, stop := context.WithCancel(ctx)
	config := n.config.plannerConfig(c.Epoch == 1)
	config.MaxJobBytes = n.jobLimit.Load()
	if n.priorLeaseMS > 0 {
		config.PriorLeaseMS = min(max(n.priorLeaseMS, config.LeaseMS), config.MaxLeaseMS)
	}
	t := &term{
		epoch:  c.Epoch,
		core:   planner.New(config, n.stateMachine, c.Epoch, n.now()),
		ctx:    termCtx,
		stop:   stop,
		writes: ring.New[planner.Write](1),
		// The claim has been read back, so every append of the term comes after it.
		lastAppendEnd: n.claimEndOffset,

		startedMS:          n.now().MS,
		heartbeatsAnswered: map[string]int64{},
		inactive:           map[string]bool{},
	}
	t.delegation = newDelegation(n, t)
	t.delegation.setWorkers(infos)
	n.term = t
	n.load.lastWork = planner.Work{}
	n.stats.elections.Inc(1)
	n.leader.Store(&leaderInfo{epoch: c.Epoch, peer: c.Peer, self: true})
	version := int64(0)
	if n.manifest != nil {
		version = n.manifest.Version
	}
	n.log("term_begins", zap.Uint64("epoch", c.Epoch), zap.Int64("version", version), zap.Int("workers", len(infos)), zap.Int("jobs", len(n.stateMachine.Jobs)))
	n.passEvacuations(t)
	n.configureTerm()
	if !t.configured {
		n.log("configuration_awaited", zap.Uint64("epoch", c.Epoch), zap.Int64("version", version))
	}
	n.step(planner.LeadershipAsOf{MS: n.logEvidenceMS.Load()})
	n.step(planner.WorkersChanged{Workers: infos, ReadMS: readMS})
	n.checkDataCentres(t)
	go n.runLogWriter(t)
	go n.sendHeartbeats(t)
	go n.followDirectory(t, from)
}

// resign ends the term of this instance, if it leads. It runs in the event loop.
func (n *Node) resign(reason string) {
	if n.term == nil {
		return
	}
	n.log("term_ends", zap.Uint64("epoch", n.term.epoch), zap.String("reason", reason))
	for _, requestID := range n.term.core.UnsentRequests() {
		n.deliverReply(planner.Reply{RequestID: requestID, Unsent: true})
	}
	n.term.stop()
	n.term = nil
	n.stats.evacuatedRuns.Update(0)
	n.lastHeartbeat.receivedMS = n.now().MS
	if l := n.leader.Load(); l != nil && l.self {
		n.leader.Store(&leaderInfo{epoch: n.claim.Epoch, peer: n.claim.Peer})
	}
	for requestID, result := range n.replies {
		delete(n.replies, requestID)
		close(result)
	}
}

func (n *Node) isLeader() bool {
	l := n.leader.Load()
	return l != nil && l.self
}

// followDirectory keeps the planner's list of workers current until the term
// ends.
func (n *Node) followDirectory(t *term, from int64) {
	for t.ctx.Err() == nil {
		pause(t.ctx, directoryInterval)
		infos, next, err := n.deps.Directory.Changes(t.ctx, from)
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			n.stats.logErrors.Inc(1)
			n.tele.Log.Warn("workers_unavailable", telemetry.ErrorFields(err)...)
			continue
		}
		if next != from {
			n.post(t.ctx, dutyMembers, func() {
				if n.term == t {
					t.delegation.setWorkers(infos)
					n.step(planner.WorkersChanged{Workers: infos})
				}
			})
		}
		from = next
	}
}
