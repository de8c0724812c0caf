package ownership

import (
	"time"

	"redwingvale/internal/fence"
	"redwingvale/internal/spec"
)

// group is what this instance knows of one worker group.
type group struct {
	id spec.GroupID
	dc spec.DataCentre
	// retired groups are no longer in the known set.
	retired bool

	// following states that the group's stream is read; caughtUp that a read
	// has reached the tail since, so that fence is complete.
	following bool
	caughtUp  bool
	// tailAt is when the last read that reached the tail was sent.
	tailAt     time.Duration
	fence      fence.Fence
	fenceAt    time.Duration
	releasedAt time.Duration

	// known is the largest epoch that this instance has heard of, and heard
	// the member that said that it owns or claims it.
	known    spec.Epoch
	heard    spec.InstanceID
	vacantAt time.Duration

	// claiming states that a claim was asked for since claimedAt and was
	// neither read back nor rejected.
	claiming  bool
	claimedAt time.Duration
	// rejectedAt is when the journal last rejected a claim.
	rejected   bool
	rejectedAt time.Duration

	// take is the ownership of this instance, or nil.
	take *take
	// startedEpoch is the newest epoch in which this process had a right.
	startedEpoch spec.Epoch
	// until is the right as it was last emitted.
	until time.Duration
}

// take is an ownership of this instance from the moment when its claim was
// read back.
type take struct {
	epoch      spec.Epoch
	readBackAt time.Duration
	previous   fence.Previous
	// acks holds the voters that know the claim.
	acks map[spec.InstanceID]ack
	// stopped states that the previous owner has confirmed that it stopped.
	stopped bool
	// started states that no earlier ownership has a right any more.
	started bool
	// abandoned states that the group's core decides nothing more in the epoch.
	abandoned bool
	// releasing states that a release to next was asked for at releasedAt.
	releasing  bool
	releasedAt time.Duration
	next       spec.InstanceID
	// confirmed states that a read of the stream sent at confirmedAt reached
	// the tail and showed no newer claim.
	confirmed   bool
	confirmedAt time.Duration
}

// ack is a voter's statement that it knows a claim, and when it arrived.
type ack struct {
	incarnation spec.Incarnation
	at          time.Duration
}

// superseded reports whether a newer claim than this instance's is known.
func (g *group) superseded() bool { return g.take != nil && g.known > g.take.epoch }

// deciding reports whether this instance may have a right to the group.
func (g *group) deciding() bool {
	return g.take != nil && g.take.started && !g.take.releasing && !g.take.abandoned && !g.superseded()
}

// owner returns the owner as far as it is known.
func (g *group) owner() spec.InstanceID {
	if g.following && g.caughtUp && g.fence.Epoch >= g.known {
		if g.fence.Released {
			return ""
		}
		return g.fence.Owner
	}
	return g.heard
}

// learn takes in that an epoch exists.
func (g *group) learn(epoch spec.Epoch) {
	g.known = max(g.known, epoch)
}

// groupFence takes the ownership in as the group's stream shows it.
func (c *Core) groupFence(now time.Duration, e GroupFence) {
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
		g.fenceAt = now
		g.claiming = false
		c.emit(OwnersChanged{})
	}
	g.learn(e.Fence.Epoch)
	if e.Fence.OwnedBy(c.settings.Instance, c.settings.Incarnation) {
		c.begin(now, g)
	} else if g.take != nil {
		g.take = nil
	}
	c.advance(now, g)
	if changed && g.take == nil && c.reserved(now, g) {
		c.pursue(now, g, c.mayClaim(now))
	}
}

// begin starts the takeover of a claim that was read back.
func (c *Core) begin(now time.Duration, g *group) {
	if g.take != nil && g.take.epoch == g.fence.Epoch {
		return
	}
	g.take = &take{
		epoch:      g.fence.Epoch,
		readBackAt: now,
		previous:   g.fence.Previous,
		acks:       make(map[spec.InstanceID]ack),
	}
	c.heartbeatAt = now
	if g.id == c.moving {
		c.moveUntil = now + c.settings.MoveTime
	}
}

// streamRead counts the log lease.
func (c *Core) streamRead(now time.Duration, e StreamRead) {
	g := c.groups[e.Group]
	if g == nil || !g.following || !e.AtTail {
		return
	}
	g.caughtUp = true
	g.tailAt = max(g.tailAt, e.SentAt)
	if t := g.take; t != nil && (!t.confirmed || e.SentAt > t.confirmedAt) {
		t.confirmed = true
		t.confirmedAt = e.SentAt
	}
	c.advance(now, g)
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

// groupAbandoned ends the right to a group whose core has lost records.
func (c *Core) groupAbandoned(now time.Duration, e GroupAbandoned) {
	g := c.groups[e.Group]
	if g == nil || g.take == nil || g.take.epoch != e.Epoch {
		return
	}
	g.take.abandoned = true
	c.advance(now, g)
}
