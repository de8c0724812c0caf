package ownership

import (
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
// so that it does not take effect after a long log outage.
func (c *Core) watchClaim(now time.Duration, g *group, wanted bool) {
	if wanted && c.vacant(now, g) {
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
	case c.membersTail < g.fenceAt:
		return ""
	}
	return c.fault(now, f.Owner, f.Incarnation)
}

// fault returns why an owner cannot go on owning, or nothing.
func (c *Core) fault(now time.Duration, owner spec.InstanceID, incarnation spec.Incarnation) string {
	member := c.members.find(owner)
	switch {
	case !member.GetActive():
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
// from a healthy owner. Only a member below its fair share does so, or one
// whose peer is leaving, so that a join moves no other groups.
func (c *Core) chooseMove(now time.Duration, able bool) {
	if g := c.groups[c.moving]; g != nil && able && c.stillMoving(now, g) {
		return
	}
	last := c.moving
	c.moving = ""
	if !able {
		return
	}
	below := c.holding() < c.share()
	for _, g := range c.from(last) {
		if c.movable(now, g, below) {
			c.moving = g.id
			c.movingAt = now
			return
		}
	}
}

// from returns the groups in order, starting after the one with the id.
func (c *Core) from(last spec.GroupID) []*group {
	for i, g := range c.sorted {
		if g.id > last {
			out := append([]*group(nil), c.sorted[i:]...)
			return append(out, c.sorted[:i]...)
		}
	}
	return c.sorted
}

// stillMoving gives up a move that its owner has not agreed to in time.
func (c *Core) stillMoving(now time.Duration, g *group) bool {
	if g.take != nil || c.plan.owner[g.id] != c.settings.Instance {
		return false
	}
	return now-c.movingAt < c.settings.RetryAfter
}

func (c *Core) movable(now time.Duration, g *group, below bool) bool {
	if g.retired || g.take != nil || c.plan.owner[g.id] != c.settings.Instance {
		return false
	}
	owner := c.peers[g.owner()]
	if owner == nil || c.suspect(now, owner) {
		return false
	}
	return below || owner.leaving
}

// releaseOne releases at most one group at a time, to a member that has
// caught up with its stream, and only while the log lease holds, so that a
// log outage does not leave the group without an owner.
func (c *Core) releaseOne(now time.Duration) {
	for _, g := range c.sorted {
		if g.take != nil && g.take.releasing {
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
		return "", c.alone(now)
	}
	for _, id := range c.plan.members {
		p := c.peers[id]
		if p != nil && p.ready[g.id] && (c.leaving || c.plan.owner[g.id] == id) {
			return id, true
		}
	}
	return "", false
}

// alone reports whether no other active member is left.
func (c *Core) alone(now time.Duration) bool {
	for _, p := range c.order {
		if c.members.isVoter(p.id) && !c.proven(now, p.id, 0) {
			return false
		}
	}
	return true
}

// release ends the right before the release record is asked for.
func (c *Core) release(now time.Duration, g *group, next spec.InstanceID) {
	g.take.releasing = true
	g.take.releasedAt = now
	c.updateRight(now, g)
	c.emit(AppendRelease{Group: g.id, Epoch: g.take.epoch, Next: next, Why: c.releaseReason()})
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
	if g.claiming {
		g.claiming = false
		g.rejected = true
		g.rejectedAt = now
	}
	if g.take != nil {
		g.take.releasing = false
		c.advance(now, g)
	}
}
