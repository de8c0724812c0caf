package ownership

import (
	"sort"
	"time"

	"redwingvale/internal/spec"
)

// balance follows, claims and releases groups so that each has the owner that
// the plan names.
func (c *Core) balance(now time.Duration) {
	c.refreshPlan(now)
	able := c.mayClaim(now)
	c.chooseMove(now, able)
	for _, g := range c.sorted {
		c.pursue(now, g, able)
	}
	c.releaseOne(now)
}

// mayClaim reports whether this instance may claim groups at all.
func (c *Core) mayClaim(now time.Duration) bool {
	return c.joined && c.isFit(now, c.settings.Instance) && c.heardMajority(now)
}

// pursue decides about one group that this instance does not own.
func (c *Core) pursue(now time.Duration, g *group, able bool) {
	if g.take != nil {
		return
	}
	wanted := able && !g.retired && c.wants(now, g)
	if g.claiming {
		c.watchClaim(now, g, wanted)
		return
	}
	if !wanted {
		c.dropInterest(now, g)
		return
	}
	c.follow(g)
	if g.caughtUp && c.vacant(now, g) && !c.recentlyRejected(now, g) {
		c.claim(now, g)
	}
}

func (c *Core) recentlyRejected(now time.Duration, g *group) bool {
	return g.rejected && now-g.rejectedAt < c.settings.RetryAfter/5
}

func (c *Core) claim(now time.Duration, g *group) {
	g.claiming = true
	g.claimedAt = now
	c.emit(AppendClaim{Group: g.id, Replaces: g.fence.Epoch, Why: c.vacancy(now, g)})
}

// watchClaim withdraws a claim whose reason has gone before it was read back,
// so that it does not take effect after a long log outage. A claim that the
// stream does not show although it can be read is made again.
func (c *Core) watchClaim(now time.Duration, g *group, wanted bool) {
	if wanted && c.vacant(now, g) {
		g.claiming = g.tailAt < g.claimedAt+c.settings.RetryAfter
		return
	}
	if now-g.claimedAt < c.settings.SuspectAfter {
		return
	}
	g.claiming = false
	c.emit(WithdrawClaim{Group: g.id})
}

// dropInterest stops following a group, but not right after a claim or a
// release whose outcome may still appear in the stream.
func (c *Core) dropInterest(now time.Duration, g *group) {
	recent := now-max(g.claimedAt, g.releasedAt, g.fenceAt) < c.settings.RetryAfter
	if g.following && !recent && g.id != c.moving {
		c.unfollow(g)
	}
}

// wants reports whether this instance should look into the group's stream.
func (c *Core) wants(now time.Duration, g *group) bool {
	if g.following && g.caughtUp && c.reserved(now, g) {
		return g.fence.NextOwner == c.settings.Instance
	}
	if g.id == c.moving {
		return true
	}
	if c.plan.owner[g.id] != c.settings.Instance {
		return false
	}
	owner := g.owner()
	if owner == "" {
		return now-g.vacantAt >= c.settings.SettleTime || g.following
	}
	return !c.healthy(now, owner, g)
}

// reserved reports whether the group was just released to a fit member.
func (c *Core) reserved(now time.Duration, g *group) bool {
	next := g.fence.NextOwner
	if !g.fence.Released || next == "" || !c.isFit(now, next) {
		return false
	}
	return now-g.releasedAt < c.settings.SettleTime
}

// vacant reports whether the group, as its stream shows it, needs an owner.
func (c *Core) vacant(now time.Duration, g *group) bool { return c.vacancy(now, g) != "" }

// vacancy returns why the group needs an owner, or nothing.
func (c *Core) vacancy(now time.Duration, g *group) string {
	f := &g.fence
	switch {
	case g.known > f.Epoch:
		return ""
	case f.Owner == "":
		return "the group has no owner"
	case f.Released && (f.NextOwner == c.settings.Instance || !c.reserved(now, g)):
		return "the owner released the group"
	case f.Released:
		return ""
	}
	if c.unaware(now, g) {
		return "the owner " + string(f.Owner) + " does not act as the owner"
	}
	return c.fault(now, g.fenceAt, f.Owner, f.Incarnation)
}

// unaware reports whether the owner is heard from and has not listed the group
// for a while: a claim that it withdrew took effect late, or its release got
// lost.
func (c *Core) unaware(now time.Duration, g *group) bool {
	p := c.peers[g.fence.Owner]
	if p == nil || g.heard == p.id || now-p.listedAt > c.settings.SuspectAfter {
		return false
	}
	return now-max(g.fenceAt, g.vacantAt, p.seenAt) >= c.settings.RetryAfter
}

// fault returns why an owner cannot go on owning, or nothing. An owner that is
// no member may have joined later than the last read of the members stream,
// so that read must have been sent after the ownership was seen at time at.
func (c *Core) fault(now, at time.Duration, owner spec.InstanceID, incarnation spec.Incarnation) string {
	member := c.members.find(owner)
	switch {
	case !member.GetActive() && c.membersTail >= at:
		return "the owner " + string(owner) + " is no active member"
	case spec.Incarnation(member.GetIncarnation()) > incarnation:
		return "the owner " + string(owner) + " was restarted"
	case c.suspected(now, owner):
		return "the owner " + string(owner) + " is suspected"
	}
	return ""
}

// healthy reports whether the owner that was heard of can go on owning.
func (c *Core) healthy(now time.Duration, owner spec.InstanceID, g *group) bool {
	if g.following && g.caughtUp {
		return !c.vacant(now, g)
	}
	if owner == c.settings.Instance {
		return false
	}
	return c.members.isVoter(owner) && !c.suspected(now, owner)
}

// chooseMove picks the one group that this instance prepares to take over
// from a healthy owner. Groups move only from a member above its fair share to
// one below it that became active lately, or from one that is leaving, so that
// a join moves no group between older members.
func (c *Core) chooseMove(now time.Duration, able bool) {
	if g := c.groups[c.moving]; g != nil && able && c.stillMoving(now, g) {
		return
	}
	last := c.moving
	c.moving = ""
	if !able {
		return
	}
	below := now < c.moveUntil && c.holding() < c.share()
	held := c.heldByPeers()
	first := c.after(last)
	for i := range c.sorted {
		g := c.sorted[(first+i)%len(c.sorted)]
		if c.movable(now, g, below, held) {
			c.moving = g.id
			c.movingAt = now
			return
		}
	}
}

// after returns the index of the first group after the one with the id.
func (c *Core) after(last spec.GroupID) int {
	return sort.Search(len(c.sorted), func(i int) bool { return c.sorted[i].id > last })
}

// stillMoving gives up a move that its owner has not agreed to in time.
func (c *Core) stillMoving(now time.Duration, g *group) bool {
	if g.take != nil || c.plan.owner[g.id] != c.settings.Instance {
		return false
	}
	return now-c.movingAt < c.settings.RetryAfter
}

// heldByPeers counts the groups that each other member is known to own.
func (c *Core) heldByPeers() map[spec.InstanceID]int {
	held := make(map[spec.InstanceID]int, len(c.order))
	for _, g := range c.sorted {
		held[g.owner()]++
	}
	return held
}

func (c *Core) movable(now time.Duration, g *group, below bool, held map[spec.InstanceID]int) bool {
	if g.retired || g.take != nil || c.plan.owner[g.id] != c.settings.Instance {
		return false
	}
	owner := c.peers[g.owner()]
	if owner == nil || c.suspect(now, owner) {
		return false
	}
	return owner.leaving || (below && held[owner.id] > c.share())
}

// releaseOne releases at most one group at a time, to a member that has
// caught up with its stream, and only while the log lease holds, so that a
// log outage does not leave the group without an owner.
func (c *Core) releaseOne(now time.Duration) {
	for _, g := range c.sorted {
		if g.take != nil && g.take.releasing {
			c.watchRelease(now, g)
			return
		}
	}
	for _, g := range c.sorted {
		next, ok := c.successor(now, g)
		if ok {
			c.release(now, g, next)
			return
		}
	}
}

// successor returns to whom the group can be released now.
func (c *Core) successor(now time.Duration, g *group) (next spec.InstanceID, ok bool) {
	if !g.deciding() || !g.take.confirmed {
		return "", false
	}
	if now >= g.take.confirmedAt+c.settings.held(c.settings.OwnershipLease) {
		return "", false
	}
	if c.leaving && len(c.plan.members) == 0 {
		return "", true
	}
	if !c.leaving && c.holding() <= c.share() {
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

// release ends the right before the release record is asked for.
func (c *Core) release(now time.Duration, g *group, next spec.InstanceID) {
	g.take.releasing = true
	g.take.next = next
	c.updateRight(now, g)
	c.appendRelease(now, g)
}

// watchRelease asks again for a release that the stream does not show although
// it can be read. The right stays ended, because the first one may be late.
func (c *Core) watchRelease(now time.Duration, g *group) {
	if g.tailAt >= g.take.releasedAt+c.settings.RetryAfter {
		c.appendRelease(now, g)
	}
}

func (c *Core) appendRelease(now time.Duration, g *group) {
	g.take.releasedAt = now
	c.emit(AppendRelease{Group: g.id, Epoch: g.take.epoch, Next: g.take.next, Why: c.releaseReason()})
}

func (c *Core) releaseReason() string {
	if c.leaving {
		return "planned leave"
	}
	return "balance"
}

// appendRejected undoes a claim or a release that has no effect.
func (c *Core) appendRejected(now time.Duration, e AppendRejected) {
	g := c.groups[e.Group]
	if g == nil {
		return
	}
	if !e.Release {
		g.rejected = true
		g.rejectedAt = now
		g.claiming = false
		return
	}
	if g.take != nil && g.take.epoch == e.Epoch {
		g.take.releasing = false
		c.advance(now, g)
	}
}
