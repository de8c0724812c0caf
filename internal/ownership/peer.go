package ownership

import (
	"time"

	"redwingvale/internal/spec"
)

// promise is a voter's statement that it knows no newer claim.
type promise struct {
	epoch  spec.Epoch
	sentAt time.Duration
}

// peer is what this instance knows of one other member. It describes one
// incarnation; a newer one starts with a fresh peer.
type peer struct {
	id          spec.InstanceID
	incarnation spec.Incarnation
	// seenAt is when the incarnation appeared in the membership.
	seenAt time.Duration
	// heard states that a message of this incarnation has arrived; heardFirst
	// and heardLast are the times of arrival.
	heard      bool
	heardFirst time.Duration
	heardLast  time.Duration
	// listedAt is when a request of the member last listed what it owns.
	listedAt time.Duration
	// version is the newest voter version that the member is known to know,
	// since versionAt.
	version   uint64
	versionAt time.Duration
	leaving   bool
	// configOffset is how far the member has read the config stream.
	configOffset int64
	// unreadable states that the member cannot read the log while this
	// instance can, since unreadableAt.
	unreadable   bool
	unreadableAt time.Duration
	suspects     map[spec.InstanceID]bool
	ready        map[spec.GroupID]bool
	promises     map[spec.GroupID]promise
	// gone states that the instance list shows the instance as gone, for this
	// incarnation since goneAt.
	gone   bool
	goneAt time.Duration
}

func newPeer(id spec.InstanceID, incarnation spec.Incarnation, now time.Duration) *peer {
	return &peer{
		configOffset: nothingRead,
		id:           id,
		incarnation:  incarnation,
		seenAt:       now,
		heardLast:    now,
		promises:     make(map[spec.GroupID]promise),
	}
}

// arrived records that a message of the member's incarnation has arrived.
func (p *peer) arrived(now time.Duration, version uint64) {
	if !p.heard {
		p.heard = true
		p.heardFirst = now
	}
	p.heardLast = now
	if version > p.version || p.versionAt == 0 {
		p.version = version
		p.versionAt = now
	}
}

// readable takes in whether the member and this instance can read the log.
func (p *peer) readable(now time.Duration, theirs, mine bool) {
	if theirs || !mine {
		p.unreadable = false
		return
	}
	if !p.unreadable {
		p.unreadable = true
		p.unreadableAt = now
	}
}

// silent reports whether nothing has arrived for d.
func (p *peer) silent(now, d time.Duration) bool { return now-p.heardLast > d }

// goneFor reports whether the instance list has shown this incarnation as
// gone for d.
func (p *peer) goneFor(now, d time.Duration) bool { return p.gone && now-p.goneAt > d }

// syncPeers makes the peers match the membership.
func (c *Core) syncPeers(now time.Duration) {
	present := make(map[spec.InstanceID]bool)
	c.order = c.order[:0]
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
			p.gone = c.list[id].gone
			p.goneAt = now
			c.peers[id] = p
		}
		c.order = append(c.order, p)
	}
	for id := range c.peers {
		if !present[id] {
			delete(c.peers, id)
		}
	}
}

// peerOf returns the peer when the incarnation is the one that the members
// stream shows, else nil. Messages of other incarnations carry no weight.
func (c *Core) peerOf(id string, incarnation uint64) *peer {
	p := c.peers[spec.InstanceID(id)]
	if p == nil || p.incarnation != spec.Incarnation(incarnation) {
		return nil
	}
	return p
}

// listed is the newest state of the instance list for one instance.
type listed struct {
	stamp uint64
	gone  bool
}

// instanceList takes the list in; entries with an older stamp are ignored.
func (c *Core) instanceList(now time.Duration, e InstanceList) {
	for _, entry := range e.Entries {
		id := spec.InstanceID(entry.ID)
		known, seen := c.list[id]
		if seen && entry.Stamp <= known.stamp {
			continue
		}
		gone := entry.State == stateGone
		c.list[id] = listed{stamp: entry.Stamp, gone: gone}
		p := c.peers[id]
		if p == nil || p.gone == gone {
			continue
		}
		p.gone = gone
		p.goneAt = now
	}
}
