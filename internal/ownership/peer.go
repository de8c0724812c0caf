package ownership

import (
	"time"

	"redwingvale/internal/spec"
)

// promise is a voter's promise to the owner in the epoch: the voter knew of no
// newer epoch when it responded to the heartbeat sent at sentAt.
type promise struct {
	epoch  spec.Epoch
	sentAt time.Duration
}

// peer is the state of one incarnation of another member according to this
// instance. A newer incarnation starts with a new peer.
type peer struct {
	id          spec.InstanceID
	incarnation spec.Incarnation
	// addedAt is when the incarnation appeared in the membership.
	addedAt time.Duration
	// received states that a message of this incarnation has arrived;
	// firstReceivedAt and lastReceivedAt are the times of the first and the last
	// arrival.
	received        bool
	firstReceivedAt time.Duration
	lastReceivedAt  time.Duration
	// lastRequestAt is when the last request of the member arrived. Requests
	// list the groups that the member owns or claims.
	lastRequestAt time.Duration
	// votersVersion is the newest version of the voter set that the member has
	// reported, and votersVersionAt is when it first did so.
	votersVersion   uint64
	votersVersionAt time.Duration
	leaving         bool
	// configOffset is the offset up to which the member has read the config
	// stream.
	configOffset int64
	// logUnreadable states that, since logUnreadableSince, the member cannot
	// read the log while this instance can.
	logUnreadable      bool
	logUnreadableSince time.Duration
	suspects           map[spec.InstanceID]bool
	ready              map[spec.GroupID]bool
	promises           map[spec.GroupID]promise
	// gone states that the instance list shows the instance as gone, and has
	// done so for this incarnation since goneAt.
	gone   bool
	goneAt time.Duration
}

func newPeer(id spec.InstanceID, incarnation spec.Incarnation, now time.Duration) *peer {
	return &peer{
		configOffset:   nothingRead,
		id:             id,
		incarnation:    incarnation,
		addedAt:        now,
		lastReceivedAt: now,
		promises:       make(map[spec.GroupID]promise),
	}
}

// recordMessage records the arrival of a message of the member's incarnation.
func (p *peer) recordMessage(now time.Duration, version uint64) {
	if !p.received {
		p.received = true
		p.firstReceivedAt = now
	}
	p.lastReceivedAt = now
	if version > p.votersVersion || p.votersVersionAt == 0 {
		p.votersVersion = version
		p.votersVersionAt = now
	}
}

// recordLogReadable records whether the member and this instance can read the
// log.
func (p *peer) recordLogReadable(now time.Duration, peerCanRead, selfCanRead bool) {
	if peerCanRead || !selfCanRead {
		p.logUnreadable = false
		return
	}
	if !p.logUnreadable {
		p.logUnreadable = true
		p.logUnreadableSince = now
	}
}

// unresponsiveFor reports whether no message has arrived for longer than d.
func (p *peer) unresponsiveFor(now, d time.Duration) bool { return now-p.lastReceivedAt > d }

// goneFor reports whether the instance list has shown this incarnation as gone
// for longer than d.
func (p *peer) goneFor(now, d time.Duration) bool { return p.gone && now-p.goneAt > d }

// syncPeers makes the peers match the membership.
func (c *Core) syncPeers(now time.Duration) {
	present := make(map[spec.InstanceID]bool)
	c.orderedPeers = c.orderedPeers[:0]
	for _, member := range c.members.members {
		id := spec.InstanceID(member.GetInstance())
		present[id] = true
		if id == c.settings.Instance {
			continue
		}
		incarnation := spec.Incarnation(member.GetIncarnation())
		p := c.peers[id]
		if p == nil || p.incarnation != incarnation {
			p = newPeer(id, incarnation, now)
			p.gone = c.listEntries[id].gone
			p.goneAt = now
			c.peers[id] = p
		}
		c.orderedPeers = append(c.orderedPeers, p)
	}
	for id := range c.peers {
		if !present[id] {
			delete(c.peers, id)
		}
	}
}

// peerOf returns the peer if the incarnation is the one that the members stream
// shows, or nil. Messages of other incarnations are not counted.
func (c *Core) peerOf(id string, incarnation uint64) *peer {
	p := c.peers[spec.InstanceID(id)]
	if p == nil || p.incarnation != spec.Incarnation(incarnation) {
		return nil
	}
	return p
}

// listEntry is the newest state of one instance in the instance list.
type listEntry struct {
	stamp uint64
	gone  bool
}

// onInstanceList applies the instance list. Entries whose stamp is not newer are
// ignored.
func (c *Core) onInstanceList(now time.Duration, e InstanceList) {
	for _, entry := range e.Entries {
		id := spec.InstanceID(entry.ID)
		known, seen := c.listEntries[id]
		if seen && entry.Stamp <= known.stamp {
			continue
		}
		gone := entry.State == stateGone
		c.listEntries[id] = listEntry{stamp: entry.Stamp, gone: gone}
		p := c.peers[id]
		if p == nil || p.gone == gone {
			continue
		}
		p.gone = gone
		p.goneAt = now
	}
}
