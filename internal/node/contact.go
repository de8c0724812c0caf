package node

import (
	"context"
	"sync"

	"connectrpc.com/connect"

	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
)

// leaderContact holds the signs of life of the newest leader, for submissions, which
// wait for a leader that is alive and are appended without one that is gone.
type leaderContact struct {
	mu    sync.Mutex
	epoch uint64
	// heardMS is when the leader was last known to run.
	heardMS int64
	// failedMS is when it was last found unreachable, or gave no answer to a call
	// of CheckLeader.
	failedMS int64
	checking bool
	// cutOff is set while the leader reports that the log does not serve it.
	cutOff bool
}

// noteHeartbeat notes a heartbeat of the leader of an epoch.
func (c *leaderContact) noteHeartbeat(epoch uint64, logAvailable bool, atMS int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(epoch, atMS)
	if epoch == c.epoch {
		c.heardMS, c.cutOff = max(c.heardMS, atMS), !logAvailable
	}
}

// isCutOff reports whether the leader of an epoch reports that the log does not serve it.
func (c *leaderContact) isCutOff(epoch uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return epoch == c.epoch && c.cutOff
}

// beginCheck reports whether the leader of an epoch is to be called now: no other goroutine
// does.
func (c *leaderContact) beginCheck(epoch uint64, nowMS int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(epoch, nowMS)
	if epoch != c.epoch || c.checking {
		return false
	}
	c.checking = true
	return true
}

// unreachable notes that no connection to the leader of an epoch could be made.
func (c *leaderContact) unreachable(epoch uint64, atMS int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(epoch, atMS)
	if epoch == c.epoch {
		c.failedMS = atMS
	}
}

// advance begins anew for the leader of a newer epoch, which counts as seen when it
// becomes known. The caller holds the lock.
func (c *leaderContact) advance(epoch uint64, atMS int64) {
	if epoch > c.epoch {
		c.epoch, c.heardMS, c.failedMS, c.cutOff = epoch, atMS, 0, false
	}
}

// state reports whether the leader of an epoch counts as alive. check is set if that
// has to be found out by a call, for which it counts as alive.
func (c *leaderContact) state(epoch uint64, nowMS int64) (alive, check bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(epoch, nowMS)
	switch {
	case epoch < c.epoch, c.failedMS > c.heardMS:
		return false, false
	case nowMS-c.heardMS <= milliseconds(electionTimeout), c.checking:
		return true, false
	}
	c.checking = true
	return true, true
}

func (c *leaderContact) checked(epoch uint64, alive bool, sentMS, nowMS int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checking = false
	switch {
	case epoch != c.epoch:
	case alive:
		c.heardMS = max(c.heardMS, sentMS)
	default:
		c.failedMS = nowMS
	}
}

// leaderAlive reports whether a leader is alive: a heartbeat of it has been received
// within the election timeout, and it has not been unreachable since. Members that
// are not standbys get fewer heartbeats, so without one the leader is called. A leader
// that the log does not serve counts as gone for an instance that the log serves.
func (n *Node) leaderAlive(l *leaderInfo) bool {
	switch {
	case l == nil:
		return false
	case l.self:
		return true
	case n.contact.isCutOff(l.epoch) && n.logResponsive():
		return false
	}
	alive, check := n.contact.state(l.epoch, n.now().MS)
	if check {
		go n.checkContact(l)
	}
	return alive
}

// suspectLeader finds out whether the leader still runs, after a connection to it has
// broken.
func (n *Node) suspectLeader(l *leaderInfo) {
	if n.contact.beginCheck(l.epoch, n.now().MS) {
		n.checkContact(l)
	}
}

// checkContact calls the leader to find out whether it leads.
func (n *Node) checkContact(l *leaderInfo) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	sentMS := n.now().MS
	response, err := n.peerClient(l.peer).CheckLeader(ctx, connect.NewRequest(&nodev1.CheckLeaderRequest{Epoch: l.epoch}))
	alive := err == nil && response.Msg.GetLeaderAlive() && response.Msg.GetEpoch() == l.epoch
	n.contact.checked(l.epoch, alive, sentMS, n.now().MS)
}
