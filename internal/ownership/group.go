package ownership

import (
	"time"

	"redwingvale/internal/fence"
	"redwingvale/internal/spec"
)

// group is the state of one worker group according to this instance.
type group struct {
	id spec.GroupID
	dc spec.DataCentre
	// retired states that the group is no longer in the set of the last
	// GroupsKnown event.
	retired bool

	// following states that the group's stream is being read; caughtUp states
	// that a read has reached the tail since then, so that fence is complete.
	following bool
	caughtUp  bool
	// tailReadAt is when the last read that reached the tail was sent.
	tailReadAt     time.Duration
	fence          fence.Fence
	fenceChangedAt time.Duration
	releasedAt     time.Duration

	// maxEpoch is the largest epoch seen in the stream or in a heartbeat.
	// reportedOwner is the member whose heartbeat lists the group as owned or
	// claimed; unownedSince is when the group last became one without it.
	maxEpoch      spec.Epoch
	reportedOwner spec.InstanceID
	unownedSince  time.Duration

	// claimPending states that the claim requested at claimRequestedAt has been
	// neither read back nor rejected.
	claimPending     bool
	claimRequestedAt time.Duration
	// claimRejectedAt is when the journal last rejected a claim.
	claimRejected   bool
	claimRejectedAt time.Duration

	// ownership is the ownership of this instance, or nil.
	ownership *ownership
	// startedEpoch is the newest epoch in which this process started as owner.
	startedEpoch spec.Epoch
	// leaseUntil is the end of the lease as last emitted, or zero.
	leaseUntil time.Duration
}

// ownership is this instance's ownership of a group in one epoch, from the
// moment when the claim was read back.
type ownership struct {
	epoch      spec.Epoch
	readBackAt time.Duration
	previous   fence.Previous
	// acks holds the acknowledgements of the claim by voter.
	acks map[spec.InstanceID]ack
	// previousStopped states that the previous owner has confirmed that it
	// stopped.
	previousStopped bool
	// started states that the leases of all earlier ownerships have ended.
	started bool
	// abandoned states that the group's core takes no further decisions in the
	// epoch.
	abandoned bool
	// releasing states that a release to nextOwner was requested at releasedAt.
	releasing  bool
	releasedAt time.Duration
	nextOwner  spec.InstanceID
	// confirmed states that a read of the stream that was sent at confirmedAt
	// reached the tail and showed no newer claim.
	confirmed   bool
	confirmedAt time.Duration
}

// ack is a voter's acknowledgement of a claim and its time of arrival.
type ack struct {
	incarnation spec.Incarnation
	at          time.Duration
}

// superseded reports whether a newer claim than this instance's is known.
func (g *group) superseded() bool { return g.ownership != nil && g.maxEpoch > g.ownership.epoch }

// mayDecide reports whether this instance may hold a lease on the group.
func (g *group) mayDecide() bool {
	return g.ownership != nil && g.ownership.started && !g.ownership.releasing && !g.ownership.abandoned && !g.superseded()
}

// owner returns the owner, or an empty id if it is unknown. The group's stream
// takes precedence over the heartbeats once it has been read to an epoch that
// is not older.
func (g *group) owner() spec.InstanceID {
	if g.following && g.caughtUp && g.fence.Epoch >= g.maxEpoch {
		if g.fence.Released {
			return ""
		}
		return g.fence.Owner
	}
	return g.reportedOwner
}

// observeEpoch records that an epoch exists.
func (g *group) observeEpoch(epoch spec.Epoch) {
	g.maxEpoch = max(g.maxEpoch, epoch)
}

// onGroupFence applies the ownership that the group's stream shows.
func (c *Core) onGroupFence(now time.Duration, e GroupFence) {
	g := c.groups[e.Group]
	if g == nil || !g.following {
		return
	}
	if e.Fence.Released && !g.fence.Released {
		g.releasedAt = now
	}
	changed := e.Fence.Epoch != g.fence.Epoch || e.Fence.Released != g.fence.Released
	g.fence = e.Fence
	if changed {
		g.fenceChangedAt = now
		g.claimPending = false
		c.emit(OwnersChanged{})
	}
	g.observeEpoch(e.Fence.Epoch)
	if e.Fence.OwnedBy(c.settings.Instance, c.settings.Incarnation) {
		c.beginTakeover(now, g)
	} else if g.ownership != nil {
		g.ownership = nil
	}
	c.updateOwnership(now, g)
	if changed && g.ownership == nil && c.reserved(now, g) {
		c.considerClaim(now, g, c.mayClaim(now))
	}
}

// beginTakeover starts the takeover after the claim was read back.
func (c *Core) beginTakeover(now time.Duration, g *group) {
	if g.ownership != nil && g.ownership.epoch == g.fence.Epoch {
		return
	}
	g.ownership = &ownership{
		epoch:      g.fence.Epoch,
		readBackAt: now,
		previous:   g.fence.Previous,
		acks:       make(map[spec.InstanceID]ack),
	}
	c.nextHeartbeatAt = now
	if g.id == c.movingGroup {
		c.moveUntil = now + c.settings.MoveTime
	}
}

// onStreamRead extends the log lease.
func (c *Core) onStreamRead(now time.Duration, e StreamRead) {
	g := c.groups[e.Group]
	if g == nil || !g.following || !e.AtTail {
		return
	}
	g.caughtUp = true
	g.tailReadAt = max(g.tailReadAt, e.SentAt)
	if o := g.ownership; o != nil && (!o.confirmed || e.SentAt > o.confirmedAt) {
		o.confirmed = true
		o.confirmedAt = e.SentAt
	}
	c.updateOwnership(now, g)
}

func (c *Core) follow(g *group) {
	if g.following {
		return
	}
	g.following = true
	g.caughtUp = false
	g.fence = fence.Fence{}
	c.emit(Follow{Group: g.id})
}

func (c *Core) unfollow(g *group) {
	if !g.following {
		return
	}
	g.following = false
	g.caughtUp = false
	c.emit(Unfollow{Group: g.id})
}

// onGroupAbandoned ends the lease on a group whose core has lost records.
func (c *Core) onGroupAbandoned(now time.Duration, e GroupAbandoned) {
	g := c.groups[e.Group]
	if g == nil || g.ownership == nil || g.ownership.epoch != e.Epoch {
		return
	}
	g.ownership.abandoned = true
	c.updateOwnership(now, g)
}
