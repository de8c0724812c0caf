package node

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/planner"
)

// The planner acts on evidence that no successor has begun its term; see
// planner.LeadershipAsOf. There are two kinds:
//
//   - a read of the log to its end, or an append of this term, that was sent at
//     that time: the log held no newer claim;
//   - heartbeats sent since that time that a majority of the members has
//     answered without knowing a newer claim. It replaces the log while that is
//     down: a claimant begins its term only once a majority knows the claim, or
//     announceTimeout later if that cannot be reached.
const (
	// leadershipLease is how long the planner may act after the last evidence. It
	// is shorter than planner.DeposedLeaderMS by the time that a call takes to be
	// sent.
	leadershipLease = time.Second
	// announceTimeout limits how long a claimant waits for a majority of the
	// members to acknowledge its claim: two round trips to the farthest members
	// and a busy event loop.
	announceTimeout = 300 * time.Millisecond
	// memberInactiveAfter is the time without a response from which on a member
	// does not count towards the majority, as long as the log serves the leader:
	// records of members that were replaced stay in the log.
	memberInactiveAfter = 10 * time.Second
)

// noteLogEvidence passes evidence from the log to the planner: at the given time
// it held no newer claim than the newest one that this instance has read. It runs
// in the event loop.
func (n *Node) noteLogEvidence(sentMS int64) {
	if sentMS <= n.logEvidenceMS.Load() {
		return
	}
	n.logEvidenceMS.Store(sentMS)
	if t := n.term; t != nil {
		t.refreshInactive(n)
		n.step(planner.LeadershipAsOf{MS: sentMS})
	}
}

// noteHeartbeatResponse notes that a member has answered a heartbeat without
// knowing a newer claim. It runs in the event loop.
func (n *Node) noteHeartbeatResponse(t *term, peer string, sentMS int64) {
	t.heartbeatsAnswered[peer] = max(t.heartbeatsAnswered[peer], sentMS)
	n.noteMajority(t)
}

// noteMajority passes the evidence of the heartbeats to the planner. It runs in
// the event loop.
func (n *Node) noteMajority(t *term) {
	if sinceMS, ok := n.majorityAnsweredSince(t); ok {
		n.step(planner.LeadershipAsOf{MS: sinceMS})
	}
}

// majorityAnsweredSince returns the latest time since which a majority of the
// members, including this instance, has answered a heartbeat.
func (n *Node) majorityAnsweredSince(t *term) (sinceMS int64, ok bool) {
	var answered []int64
	others := 0
	for name, m := range n.members {
		if name == n.config.Instance || t.inactive[m.Peer] {
			continue
		}
		others++
		if sentMS := t.heartbeatsAnswered[m.Peer]; sentMS > 0 {
			answered = append(answered, sentMS)
		}
	}
	needed := majorityOfOthers(others)
	switch {
	case needed == 0:
		return n.now().MS, true
	case len(answered) < needed:
		return 0, false
	}
	slices.SortFunc(answered, func(a, b int64) int { return int(b - a) })
	return answered[needed-1], true
}

// majorityOfOthers returns how many of the other members make a majority together
// with this instance.
func majorityOfOthers(others int) int { return (others + 1) / 2 }

// refreshInactive updates the members that do not count towards the majority. It
// is called only when the log has served the leader, so that members from which
// the leader is cut off together with the log keep counting.
func (t *term) refreshInactive(n *Node) {
	now := n.now().MS
	if now-t.inactiveCheckedMS < milliseconds(time.Second) {
		return
	}
	t.inactiveCheckedMS = now
	clear(t.inactive)
	for _, m := range n.members {
		if now-max(t.heartbeatsAnswered[m.Peer], t.startedMS) > milliseconds(memberInactiveAfter) {
			t.inactive[m.Peer] = true
		}
	}
}

// announceClaim tells the members of a claim that the log holds and waits until a
// majority has acknowledged it: from then on none of them confirms the
// predecessor's leadership. It gives up waiting after announceTimeout, so that any
// number of instances may be lost. It returns an error if a member knows a newer
// claim.
func (n *Node) announceClaim(ctx context.Context, c claim) error {
	if c.Epoch == 1 {
		return nil
	}
	members, err := runInLoop(ctx, n, dutyMembers, func() []candidate { return n.candidates(n.config.Instance) })
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	responses := make(chan uint64, len(members))
	for _, m := range members {
		go func() { responses <- n.announceTo(ctx, m.Peer, c) }()
	}
	acknowledged, needed := 0, majorityOfOthers(len(members))
	for range members {
		if acknowledged >= needed {
			break
		}
		switch epoch := <-responses; {
		case epoch > c.Epoch:
			return errors.Newf("a member knows a claim for epoch %d", epoch)
		case epoch == c.Epoch:
			acknowledged++
		}
	}
	n.log("claim_announced", zap.Uint64("epoch", c.Epoch), zap.Int("acknowledged", acknowledged), zap.Int("members", len(members)))
	return nil
}

// announceTo sends the first heartbeat of a claim and returns the highest epoch
// that the member knows, or 0 without a response.
func (n *Node) announceTo(ctx context.Context, peer string, c claim) uint64 {
	response, err := n.peerClient(peer).Heartbeat(ctx, connect.NewRequest(&nodev1.HeartbeatRequest{
		Epoch: c.Epoch, Leader: c.Instance, PeerAddress: c.Peer, LogAvailable: true, Stopping: n.stopping.Load(),
	}))
	if err != nil {
		return 0
	}
	return response.Msg.GetEpoch()
}
