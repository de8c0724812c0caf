package ownership

import (
	"sort"
	"time"

	"redwingvale/internal/spec"
)

// balance follows, claims and releases groups so that each group gets the owner
// that the plan assigns.
func (c *Core) balance(now time.Duration) {
	c.refreshPlan(now)
	mayClaim := c.mayClaim(now)
	c.chooseMove(now, mayClaim)
	for _, g := range c.sortedGroups {
		c.considerClaim(now, g, mayClaim)
	}
	c.releaseGroup(now)
}

// mayClaim reports whether this instance may claim groups at all.
func (c *Core) mayClaim(now time.Duration) bool {
	return c.joined && c.isEligible(now, c.settings.Instance) && c.hasQuorum(now)
}

// considerClaim follows, claims or stops following one group that this instance
// does not own.
func (c *Core) considerClaim(now time.Duration, g *group, mayClaim bool) {
	if g.ownership != nil {
		return
	}
	wanted := mayClaim && !g.retired && c.shouldFollow(now, g)
	if g.claimPending {
		c.checkPendingClaim(now, g, wanted)
		return
	}
	if !wanted {
		c.unfollowIfUnneeded(now, g)
		return
	}
	c.follow(g)
	if g.caughtUp && c.needsOwner(now, g) && !c.recentlyRejected(now, g) {
		c.claim(now, g)
	}
}

func (c *Core) recentlyRejected(now time.Duration, g *group) bool {
	return g.claimRejected && now-g.claimRejectedAt < c.settings.RetryAfter/5
}

func (c *Core) claim(now time.Duration, g *group) {
	g.claimPending = true
	g.claimRequestedAt = now
	c.emit(AppendClaim{Group: g.id, Replaces: g.fence.Epoch, Why: c.claimReason(now, g)})
}

// checkPendingClaim withdraws a claim whose reason no longer holds before it was
// read back, so that it does not take effect after a long log outage. A claim
// that a readable stream does not show is made again.
func (c *Core) checkPendingClaim(now time.Duration, g *group, wanted bool) {
	if wanted && c.needsOwner(now, g) {
		g.claimPending = g.tailReadAt < g.claimRequestedAt+c.settings.RetryAfter
		return
	}
	if now-g.claimRequestedAt < c.settings.SuspectAfter {
		return
	}
	g.claimPending = false
	c.emit(WithdrawClaim{Group: g.id})
}

// unfollowIfUnneeded stops following a group, except shortly after a claim or a
// release whose outcome may still appear in the stream.
func (c *Core) unfollowIfUnneeded(now time.Duration, g *group) {
	recent := now-max(g.claimRequestedAt, g.releasedAt, g.fenceChangedAt) < c.settings.RetryAfter
	if g.following && !recent && g.id != c.movingGroup {
		c.unfollow(g)
	}
}

// shouldFollow reports whether this instance should read the group's stream in
// order to claim the group.
func (c *Core) shouldFollow(now time.Duration, g *group) bool {
	if g.following && g.caughtUp && c.reserved(now, g) {
		return g.fence.NextOwner == c.settings.Instance
	}
	if g.id == c.movingGroup {
		return true
	}
	if c.plan.owner[g.id] != c.settings.Instance {
		return false
	}
	owner := g.owner()
	if owner == "" {
		return now-g.unownedSince >= c.settings.SettleTime || g.following
	}
	return !c.ownerHealthy(now, owner, g)
}

// reserved reports whether the group was recently released to a member that is
// still eligible.
func (c *Core) reserved(now time.Duration, g *group) bool {
	next := g.fence.NextOwner
	if !g.fence.Released || next == "" || !c.isEligible(now, next) {
		return false
	}
	return now-g.releasedAt < c.settings.SettleTime
}

// needsOwner reports whether the group needs an owner according to its stream.
func (c *Core) needsOwner(now time.Duration, g *group) bool { return c.claimReason(now, g) != "" }

// claimReason returns why the group needs an owner, or an empty string.
func (c *Core) claimReason(now time.Duration, g *group) string {
	f := &g.fence
	switch {
	case g.maxEpoch > f.Epoch:
		return ""
	case f.Owner == "":
		return "the group has no owner"
	case f.Released && (f.NextOwner == c.settings.Instance || !c.reserved(now, g)):
		return "the owner released the group"
	case f.Released:
		return ""
	}
	if c.omittedByOwner(now, g) {
		return "the owner " + string(f.Owner) + " does not act as the owner"
	}
	return c.ownerFailure(now, g.fenceChangedAt, f.Owner, f.Incarnation)
}

// omittedByOwner reports whether the owner sends heartbeats that have not listed
// the group for RetryAfter: a claim that it withdrew took effect late, or its
// release was lost.
func (c *Core) omittedByOwner(now time.Duration, g *group) bool {
	p := c.peers[g.fence.Owner]
	if p == nil || g.reportedOwner == p.id || now-p.lastRequestAt > c.settings.SuspectAfter {
		return false
	}
	return now-max(g.fenceChangedAt, g.unownedSince, p.addedAt) >= c.settings.RetryAfter
}

// ownerFailure returns why an owner cannot keep the group, or an empty string. An
// owner that is not a member may have joined after the last read of the members
// stream, so that read counts only if it was sent after the ownership was seen at
// time at.
func (c *Core) ownerFailure(now, at time.Duration, owner spec.InstanceID, incarnation spec.Incarnation) string {
	member := c.members.find(owner)
	switch {
	case !member.GetActive() && c.membersTailReadAt >= at:
		return "the owner " + string(owner) + " is no active member"
	case spec.Incarnation(member.GetIncarnation()) > incarnation:
		return "the owner " + string(owner) + " was restarted"
	case c.suspectedByMajority(now, owner):
		return "the owner " + string(owner) + " is suspected"
	}
	return ""
}

// ownerHealthy reports whether the known owner can keep the group.
func (c *Core) ownerHealthy(now time.Duration, owner spec.InstanceID, g *group) bool {
	if g.following && g.caughtUp {
		return !c.needsOwner(now, g)
	}
	if owner == c.settings.Instance {
		return false
	}
	return c.members.isVoter(owner) && !c.suspectedByMajority(now, owner)
}

// chooseMove selects the one group that this instance prepares to take over from
// a healthy owner. Groups move only from a member above its fair share to one
// below it that became active recently, or from a member that is leaving, so that
// a join moves no group between older members.
func (c *Core) chooseMove(now time.Duration, mayClaim bool) {
	if g := c.groups[c.movingGroup]; g != nil && mayClaim && c.stillMoving(now, g) {
		return
	}
	last := c.movingGroup
	c.movingGroup = ""
	if !mayClaim {
		return
	}
	belowShare := now < c.moveUntil && c.countOwnedOrClaimed() < c.fairShare()
	ownedCounts := c.countOwnedGroups()
	first := c.indexAfter(last)
	for i := range c.sortedGroups {
		g := c.sortedGroups[(first+i)%len(c.sortedGroups)]
		if c.movable(now, g, belowShare, ownedCounts) {
			c.movingGroup = g.id
			c.moveStartedAt = now
			return
		}
	}
}

// indexAfter returns the index of the first group with an id greater than last.
func (c *Core) indexAfter(last spec.GroupID) int {
	return sort.Search(len(c.sortedGroups), func(i int) bool { return c.sortedGroups[i].id > last })
}

// stillMoving reports whether the move should be kept. It ends when the owner has
// not released the group within RetryAfter.
func (c *Core) stillMoving(now time.Duration, g *group) bool {
	if g.ownership != nil || c.plan.owner[g.id] != c.settings.Instance {
		return false
	}
	return now-c.moveStartedAt < c.settings.RetryAfter
}

// countOwnedGroups returns the number of groups that each member is known to own.
func (c *Core) countOwnedGroups() map[spec.InstanceID]int {
	counts := make(map[spec.InstanceID]int, len(c.orderedPeers))
	for _, g := range c.sortedGroups {
		counts[g.owner()]++
	}
	return counts
}

func (c *Core) movable(now time.Duration, g *group, belowShare bool, ownedCounts map[spec.InstanceID]int) bool {
	if g.retired || g.ownership != nil || c.plan.owner[g.id] != c.settings.Instance {
		return false
	}
	owner := c.peers[g.owner()]
	if owner == nil || c.suspects(now, owner) {
		return false
	}
	return owner.leaving || (belowShare && ownedCounts[owner.id] > c.fairShare())
}

// releaseGroup releases at most one group at a time, to a member that has caught
// up with its stream, and only while the log lease is valid, so that a log outage
// does not leave the group without an owner.
func (c *Core) releaseGroup(now time.Duration) {
	for _, g := range c.sortedGroups {
		if g.ownership != nil && g.ownership.releasing {
			c.retryRelease(now, g)
			return
		}
	}
	for _, g := range c.sortedGroups {
		next, ok := c.successor(now, g)
		if ok {
			c.release(now, g, next)
			return
		}
	}
}

// successor returns the member to which the group can be released now. It is
// empty when this instance is leaving and no member is eligible.
func (c *Core) successor(now time.Duration, g *group) (next spec.InstanceID, ok bool) {
	if !g.mayDecide() || !g.ownership.confirmed {
		return "", false
	}
	if now >= g.ownership.confirmedAt+c.settings.minusClockDrift(c.settings.OwnershipLease) {
		return "", false
	}
	if c.leaving && len(c.plan.members) == 0 {
		return "", true
	}
	if !c.leaving && c.countOwnedOrClaimed() <= c.fairShare() {
		return "", false
	}
	for _, id := range c.plan.members {
		p := c.peers[id]
		if p != nil && p.ready[g.id] && (c.leaving || c.plan.owner[g.id] == id) {
			return id, true
		}
	}
	return "", false
}

// release ends the lease before it requests the release record.
func (c *Core) release(now time.Duration, g *group, next spec.InstanceID) {
	g.ownership.releasing = true
	g.ownership.nextOwner = next
	c.updateLease(now, g)
	c.appendRelease(now, g)
}

// retryRelease requests the release again if a readable stream does not show it.
// The lease remains ended, because the first release may still take effect.
func (c *Core) retryRelease(now time.Duration, g *group) {
	if g.tailReadAt >= g.ownership.releasedAt+c.settings.RetryAfter {
		c.appendRelease(now, g)
	}
}

func (c *Core) appendRelease(now time.Duration, g *group) {
	g.ownership.releasedAt = now
	c.emit(AppendRelease{Group: g.id, Epoch: g.ownership.epoch, Next: g.ownership.nextOwner, Why: c.releaseReason()})
}

func (c *Core) releaseReason() string {
	if c.leaving {
		return "planned leave"
	}
	return "balance"
}

// onAppendRejected cancels a claim or a release that has no effect.
func (c *Core) onAppendRejected(now time.Duration, e AppendRejected) {
	g := c.groups[e.Group]
	if g == nil {
		return
	}
	if !e.Release {
		g.claimRejected = true
		g.claimRejectedAt = now
		g.claimPending = false
		return
	}
	if g.ownership != nil && g.ownership.epoch == e.Epoch {
		g.ownership.releasing = false
		c.updateOwnership(now, g)
	}
}
