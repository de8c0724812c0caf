package node

import (
	"context"
	"encoding/json"
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
	"redwingvale/internal/ring"
	"redwingvale/internal/telemetry"
)

// leaderInfo is where requests for the leader go.
type leaderInfo struct {
	epoch uint64
	peer  string
	self  bool
}

// stand watches the leader and claims its place when it is gone.
func (n *Node) stand(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, tickInterval*5)
		if !n.caughtUp.Load() || n.stopping.Load() || n.leading() {
			continue
		}
		due, err := ask(ctx, n, n.electionDue)
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
	// check asks the other members first.
	check  bool
	epoch  uint64
	others []string
	reason string
}

// electionDue decides whether this instance should claim now. It runs in the
// loop.
func (n *Node) electionDue() election {
	out := election{epoch: n.claim.Epoch, check: true}
	names := make([]string, 0, len(n.members))
	for name := range n.members {
		names = append(names, name)
	}
	// The instance that started last goes first: in a rolling restart it is the
	// one whose turn is farthest away.
	sort.Slice(names, func(i, j int) bool {
		a, b := n.members[names[i]], n.members[names[j]]
		return a.StartedMS > b.StartedMS || a.StartedMS == b.StartedMS && names[i] < names[j]
	})
	rank := 0
	for i, name := range names {
		if name == n.config.Instance {
			rank = i
		} else if name != n.claim.Instance {
			out.others = append(out.others, n.members[name].Peer)
		}
	}
	silent := n.now().MS - n.heard.atMS
	stagger := int64(rank) * milliseconds(electStagger)
	switch {
	case n.claim.Epoch == 0 && n.config.FirstStart:
		out.now, out.check, out.reason = true, false, "first start"
	case silent > milliseconds(electAfter)+stagger:
		out.now, out.reason = true, "leader silent"
	case n.heard.epoch == n.claim.Epoch && n.heard.stopping && silent > stagger/2:
		out.now, out.check, out.reason = true, false, "leader stopping"
	case n.heard.epoch == n.claim.Epoch && !n.heard.logAvailable && n.logServes():
		// The log serves this instance but not the leader.
		out.now, out.check, out.reason = true, false, "leader cut off from the log"
	}
	return out
}

// logServes reports whether the log has answered this instance lately, and
// fast: while it is slow for everybody, a new leader would fare no better.
func (n *Node) logServes() bool {
	read := n.logReadMS.Load()
	return read > 0 && n.now().MS-read < milliseconds(2*followInterval) && n.logTookMS.Load() < milliseconds(logFast)
}

// othersHearLeader asks the members whether the leader is alive: an instance
// that alone has lost it must not claim.
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

// claimTerm claims the next epoch. The claim fences the predecessor's writes,
// so that what this instance reads afterwards is all that the predecessor has
// recorded. Of two claims of one epoch the log takes the first: the second is
// a repeat of the same sequence number and gets the first one's answer.
func (n *Node) claimTerm(ctx context.Context, e election) error {
	if _, err := n.catchUp(ctx); err != nil {
		return err
	}
	c := claim{Epoch: e.epoch + 1, Instance: n.config.Instance, Peer: n.config.PeerAddr, Nonce: uuid.NewString()}
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	n.log("claim_sent", zap.Uint64("epoch", c.Epoch), zap.String("reason", e.reason))
	_, err = n.deps.Log.Append(ctx, Append{
		Records: []jobs.Record{{Key: claimKey, Value: value}},
		Writer:  &Writer{Epoch: c.Epoch, Sequence: firstSequence(c.Epoch)}, At: -1,
	})
	if err != nil && !errors.Is(err, ErrUnknown) {
		return err
	}
	// The log says who has won: two claims of one epoch differ in their nonce.
	if _, readErr := n.catchUp(ctx); readErr != nil {
		return errors.CombineErrors(readErr, err)
	}
	infos, from, err := n.deps.Directory.Workers(ctx)
	if err != nil {
		return err
	}
	won, err := ask(ctx, n, func() bool {
		if n.claim != c || n.term != nil {
			return false
		}
		n.lead(ctx, c, infos, from)
		return true
	})
	if err == nil && !won {
		return errors.Newf("epoch %d is %s's", n.claimedEpoch(ctx), "another instance")
	}
	return err
}

func (n *Node) claimedEpoch(ctx context.Context) uint64 {
	epoch, err := ask(ctx, n, func() uint64 { return n.claim.Epoch })
	if err != nil {
		return 0
	}
	return epoch
}

// lead begins a term. It runs in the loop.
func (n *Node) lead(ctx context.Context, c claim, infos []planner.WorkerInfo, from int64) {
	termCtx, stop := context.WithCancel(ctx)
	first := c.Epoch == 1
	t := &term{
		epoch:  c.Epoch,
		core:   planner.New(n.config.planner(first), n.book, c.Epoch, n.now()),
		ctx:    termCtx,
		stop:   stop,
		writes: ring.New[planner.Write](1),
		// The claim has been read back, so every append of the term is later.
		wroteTo: n.claimedAt,
	}
	n.term = t
	n.stats.elections.Inc(1)
	n.leader.Store(&leaderInfo{epoch: c.Epoch, peer: c.Peer, self: true})
	n.log("term_begins", zap.Uint64("epoch", c.Epoch), zap.Int("workers", len(infos)), zap.Int("jobs", len(n.book.Jobs)))
	if n.manifest != nil {
		n.step(planner.QueuesChanged{Queues: n.manifest.queues()})
	}
	n.step(planner.WorkersChanged{Workers: infos})
	go n.write(t)
	go n.sendHeartbeats(t)
	go n.followDirectory(t, from)
}

// resign ends the term of this instance. It runs in the loop.
func (n *Node) resign(reason string) {
	if n.term == nil {
		return
	}
	n.log("term_ends", zap.Uint64("epoch", n.term.epoch), zap.String("reason", reason))
	n.term.stop()
	n.term = nil
	n.heard.atMS = n.now().MS
	if l := n.leader.Load(); l != nil && l.self {
		n.leader.Store(&leaderInfo{epoch: n.claim.Epoch, peer: n.claim.Peer})
	}
	for ticket, answer := range n.replies {
		delete(n.replies, ticket)
		close(answer)
	}
}

// leading reports whether this instance leads.
func (n *Node) leading() bool {
	l := n.leader.Load()
	return l != nil && l.self
}

// followDirectory keeps the planner's list of workers up to date.
func (n *Node) followDirectory(t *term, from int64) {
	for t.ctx.Err() == nil {
		pause(t.ctx, directoryInterval)
		infos, next, err := n.deps.Directory.Changes(t.ctx, from)
		if err != nil {
			n.stats.logErrors.Inc(1)
			continue
		}
		if next != from {
			n.event(t, planner.WorkersChanged{Workers: infos})
		}
		from = next
	}
}
