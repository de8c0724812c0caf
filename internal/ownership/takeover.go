package ownership

import (
	"time"

	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"
)

// updateOwnership starts a claimed ownership when it may start, and updates the
// lease on the group.
func (c *Core) updateOwnership(now time.Duration, g *group) {
	if g.ownership != nil && !g.superseded() && !g.ownership.started && c.mayStart(now, g.ownership) {
		g.ownership.started = true
		g.startedEpoch = g.ownership.epoch
	}
	c.updateLease(now, g)
}

// firstEpoch is the epoch of the first claim of a group. It has no earlier
// ownership to wait for.
const firstEpoch spec.Epoch = 1

// mayStart reports whether the leases of all earlier ownerships have ended.
func (c *Core) mayStart(now time.Duration, o *ownership) bool {
	if o.previous.Released || o.previousStopped || c.mutations.skipClaimWait {
		return true
	}
	if o.epoch == firstEpoch {
		return true
	}
	wait := c.settings.OwnershipLease + c.staleness()
	if now < o.readBackAt+wait {
		return false
	}
	return c.mutations.skipAckMajority || c.majorityAcknowledged(now, o)
}

// majorityAcknowledged reports whether a majority of the voters has known the
// claim for one ownership lease. The read of the members stream after the claim
// ensures that the voter set is at least as new as the one that the old owner
// knew at its last confirmation.
func (c *Core) majorityAcknowledged(now time.Duration, o *ownership) bool {
	if !c.hasReadMembersTail {
		return false
	}
	if c.membersTailReadAt < o.readBackAt+c.staleness() && !c.mutations.skipVoterSetHistory {
		return false
	}
	return majority(c.members.current().voters, func(id spec.InstanceID) bool {
		return c.acknowledgedForLease(now, o, id)
	})
}

// acknowledgedForLease reports whether the voter has known the claim for one
// ownership lease, so that its promises to earlier owners have expired, or is
// proven gone.
func (c *Core) acknowledgedForLease(now time.Duration, o *ownership, id spec.InstanceID) bool {
	lease := c.settings.OwnershipLease
	if id == c.settings.Instance {
		return c.joined && now >= max(o.readBackAt, c.joinedAt+lease)+lease
	}
	p := c.peers[id]
	if p == nil {
		return false
	}
	given, ok := o.acks[id]
	if ok && given.incarnation == p.incarnation && now >= given.at+lease {
		return true
	}
	return c.provenGone(now, id, o.readBackAt+c.staleness())
}

// minLeaseExtension is the smallest extension of a lease that is emitted, because
// each promise of each voter extends the lease a little.
const minLeaseExtension = 100 * time.Millisecond

// updateLease emits the lease when it was extended or has ended.
func (c *Core) updateLease(now time.Duration, g *group) {
	until := c.leaseEnd(g)
	if until > 0 {
		until = max(until, g.leaseUntil)
	}
	if until <= now {
		until = 0
	}
	if until == g.leaseUntil || (until > 0 && g.leaseUntil > now && until < g.leaseUntil+minLeaseExtension) {
		return
	}
	epoch := g.startedEpoch
	if until > 0 {
		c.checkLease(now, g, until)
		epoch = g.ownership.epoch
	}
	g.leaseUntil = until
	c.emit(Lease{Group: g.id, Epoch: epoch, Until: until})
}

func (c *Core) checkLease(now time.Duration, g *group, until time.Duration) {
	o := g.ownership
	invariant.Check(o.epoch == g.fence.Epoch && o.epoch >= g.maxEpoch, invariant.NeverOvercommitted,
		"group %s: lease in epoch %d, but the log shows epoch %d and the largest known epoch is %d", g.id, o.epoch, g.fence.Epoch, g.maxEpoch)
	invariant.Check(o.started && o.confirmed, invariant.NeverOvercommitted,
		"group %s: lease before the takeover was complete", g.id)
	invariant.Check(until <= now+c.settings.OwnershipLease, invariant.NeverOvercommitted,
		"group %s: lease of %s is longer than the configured ownership lease", g.id, until-now)
}

// leaseEnd returns the end of the log lease or of the peer lease, whichever is
// later, or zero.
func (c *Core) leaseEnd(g *group) time.Duration {
	if !g.mayDecide() || !g.ownership.confirmed {
		return 0
	}
	duration := c.settings.minusClockDrift(c.settings.OwnershipLease)
	return max(g.ownership.confirmedAt+duration, c.peerLease(g))
}

// peerLease returns the time until which a majority of the voters has promised
// that it knows no newer claim, in each voter set since the last confirmation.
func (c *Core) peerLease(g *group) time.Duration {
	sets, ok := c.members.voterSetsSince(c.claimsVisibleThrough(g.ownership))
	if c.mutations.skipVoterSetHistory {
		sets, ok = []voterSet{c.members.current()}, true
	}
	if !ok {
		return 0
	}
	until := time.Duration(1<<63 - 1)
	for _, set := range sets {
		until = min(until, c.majorityPromiseEnd(g, set.voters))
	}
	if until == 1<<63-1 {
		return c.soleVoterLease(g)
	}
	return until
}

// soleVoterLease returns the end of the peer lease of an owner that is a majority
// by itself.
func (c *Core) soleVoterLease(g *group) time.Duration {
	return c.lastStepAt + c.settings.minusClockDrift(c.settings.OwnershipLease)
}

// staleness returns how far a read that reaches the tail may lag behind the log.
func (c *Core) staleness() time.Duration {
	if c.mutations.ignoreStaleness {
		return 0
	}
	return c.settings.LogStaleness
}

// claimsVisibleThrough returns the time up to which the last confirming read has
// shown every claim.
func (c *Core) claimsVisibleThrough(o *ownership) time.Duration {
	return o.confirmedAt - c.staleness()
}

// majorityPromiseEnd returns the end of the promises of a majority: the latest
// time that is covered by the promises of more than half of the voters. It
// returns the largest duration when this instance is a majority by itself, or
// zero when there is no majority.
func (c *Core) majorityPromiseEnd(g *group, voters []spec.InstanceID) time.Duration {
	ends := make([]time.Duration, 0, len(voters))
	for _, id := range voters {
		ends = append(ends, c.promiseEnd(g, id))
	}
	return nthLargest(ends, len(voters)/2+1)
}

func (c *Core) promiseEnd(g *group, id spec.InstanceID) time.Duration {
	if id == c.settings.Instance {
		return 1<<63 - 1
	}
	p := c.peers[id]
	if p == nil || !p.received {
		return 0
	}
	if p.firstReceivedAt > c.claimsVisibleThrough(g.ownership) && !c.mutations.skipFirstMessageCheck {
		return 0
	}
	given, ok := p.promises[g.id]
	if !ok || given.epoch != g.ownership.epoch {
		return 0
	}
	return given.sentAt + c.settings.minusClockDrift(c.settings.OwnershipLease)
}

// nthLargest returns the n-th largest value, counted from 1, or zero if there is
// none. It reorders values.
func nthLargest(values []time.Duration, n int) time.Duration {
	if n < 1 || n > len(values) {
		return 0
	}
	for i := 1; i < len(values); i++ {
		for j := i; j > 0 && values[j] > values[j-1]; j-- {
			values[j], values[j-1] = values[j-1], values[j]
		}
	}
	return values[n-1]
}
