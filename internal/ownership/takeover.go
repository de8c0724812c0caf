package ownership

import (
	"time"

	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"
)

// advance brings a takeover and the right to the group up to date.
func (c *Core) advance(now time.Duration, g *group) {
	if g.take != nil && !g.superseded() && !g.take.started && c.mayStart(now, g.take) {
		g.take.started = true
		g.startedEpoch = g.take.epoch
	}
	c.updateRight(now, g)
}

// firstEpoch is the epoch of the first claim of a group. No ownership comes
// before it, so there is none to wait for.
const firstEpoch spec.Epoch = 1

// mayStart reports whether no earlier ownership can have a right any more.
func (c *Core) mayStart(now time.Duration, t *take) bool {
	if t.previous.Released || t.stopped || c.faults.skipWait {
		return true
	}
	if t.epoch == firstEpoch {
		return true
	}
	wait := c.settings.OwnershipLease + c.staleness()
	if now < t.readBackAt+wait {
		return false
	}
	return c.faults.skipMajority || c.majorityKnows(now, t)
}

// majorityKnows reports whether a majority of the voters has known the claim
// for one lease. The read of the members stream after the claim makes sure
// that the voter set is at least as new as the one that the old owner knew at
// its last confirmation.
func (c *Core) majorityKnows(now time.Duration, t *take) bool {
	if !c.hasMembersTail {
		return false
	}
	if c.membersTail < t.readBackAt+c.staleness() && !c.faults.skipSetHistory {
		return false
	}
	return majority(c.members.current().voters, func(id spec.InstanceID) bool {
		return c.knowsClaim(now, t, id)
	})
}

// knowsClaim reports whether the voter has known the claim for one lease, so
// that its promises to older owners have run out, or is proven dead.
func (c *Core) knowsClaim(now time.Duration, t *take, id spec.InstanceID) bool {
	lease := c.settings.OwnershipLease
	if id == c.settings.Instance {
		return c.joined && now >= max(t.readBackAt, c.joinedAt+lease)+lease
	}
	p := c.peers[id]
	if p == nil {
		return false
	}
	given, ok := t.acks[id]
	if ok && given.incarnation == p.incarnation && now >= given.at+lease {
		return true
	}
	return c.proven(now, id, t.readBackAt+c.staleness())
}

// rightStep is the least extension of a right that is worth an effect: each
// promise of each voter extends it a little.
const rightStep = 100 * time.Millisecond

// updateRight emits the right when it was extended or lost.
func (c *Core) updateRight(now time.Duration, g *group) {
	until := c.rightUntil(g)
	if until > 0 {
		until = max(until, g.until)
	}
	if until <= now {
		until = 0
	}
	if until == g.until || (until > 0 && g.until > now && until < g.until+rightStep) {
		return
	}
	epoch := g.startedEpoch
	if until > 0 {
		c.checkRight(now, g, until)
		epoch = g.take.epoch
	}
	g.until = until
	c.emit(Right{Group: g.id, Epoch: epoch, Until: until})
}

func (c *Core) checkRight(now time.Duration, g *group, until time.Duration) {
	t := g.take
	invariant.Check(t.epoch == g.fence.Epoch && t.epoch >= g.known, invariant.NeverOvercommitted,
		"group %s: right in epoch %d, the log shows %d, %d is known", g.id, t.epoch, g.fence.Epoch, g.known)
	invariant.Check(t.started && t.confirmed, invariant.NeverOvercommitted,
		"group %s: right before the takeover was complete", g.id)
	invariant.Check(until <= now+c.settings.OwnershipLease, invariant.NeverOvercommitted,
		"group %s: right of %s, longer than the ownership lease", g.id, until-now)
}

// rightUntil returns the end of the right by the log lease or the peer lease,
// whichever is later, or zero.
func (c *Core) rightUntil(g *group) time.Duration {
	if !g.deciding() || !g.take.confirmed {
		return 0
	}
	held := c.settings.held(c.settings.OwnershipLease)
	return max(g.take.confirmedAt+held, c.peerLease(g))
}

// peerLease returns until when a majority of the voters has promised that it
// knows no newer claim, in each voter set since the last confirmation.
func (c *Core) peerLease(g *group) time.Duration {
	sets, ok := c.members.setsSince(c.certainAt(g.take))
	if c.faults.skipSetHistory {
		sets, ok = []voterSet{c.members.current()}, true
	}
	if !ok {
		return 0
	}
	until := time.Duration(1<<63 - 1)
	for _, set := range sets {
		until = min(until, c.majorityPromise(g, set.voters))
	}
	if until == 1<<63-1 {
		return c.soleVoterLease(g)
	}
	return until
}

// soleVoterLease is the lease of an owner that is a majority by itself.
func (c *Core) soleVoterLease(g *group) time.Duration {
	return c.lastStep + c.settings.held(c.settings.OwnershipLease)
}

// staleness is how far a read that reaches the tail may lag behind.
func (c *Core) staleness() time.Duration {
	if c.faults.ignoreStaleness {
		return 0
	}
	return c.settings.LogStaleness
}

// certainAt returns the time up to which the last confirming read has shown
// every claim.
func (c *Core) certainAt(t *take) time.Duration {
	return t.confirmedAt - c.staleness()
}

// majorityPromise returns the end of the promise that the last voter needed
// for a majority has given, the largest duration when this instance is a
// majority by itself, or zero when there is none.
func (c *Core) majorityPromise(g *group, voters []spec.InstanceID) time.Duration {
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
	if p == nil || !p.heard {
		return 0
	}
	if p.heardFirst > c.certainAt(g.take) && !c.faults.skipHeardRule {
		return 0
	}
	given, ok := p.promises[g.id]
	if !ok || given.epoch != g.take.epoch {
		return 0
	}
	return given.sentAt + c.settings.held(c.settings.OwnershipLease)
}

// nthLargest returns the n-th largest value, counted from 1, or zero.
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
