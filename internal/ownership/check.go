package ownership

import (
	"time"

	"redwingvale/internal/invariant"
)

// checkInvariants asserts the invariants that must hold after each step.
func (c *Core) checkInvariants(now time.Duration) {
	releasing := 0
	for _, g := range c.sortedGroups {
		c.checkGroup(now, g)
		if g.ownership != nil && g.ownership.releasing {
			releasing++
		}
	}
	if releasing > 1 {
		invariant.Check(false, invariant.InternalConsistency, "%d groups are being released at the same time", releasing)
	}
	sets := c.members.voterSets
	for i := 1; i < len(sets); i++ {
		if sets[i].version != sets[i-1].version+1 {
			invariant.Check(false, invariant.NeverOvercommitted,
				"voter set version %d directly follows version %d", sets[i].version, sets[i-1].version)
		}
	}
}

// checkGroup asserts the invariants of one group. It builds the arguments of a
// message only when a check fails, because it runs for each group after each step.
func (c *Core) checkGroup(now time.Duration, g *group) {
	if g.maxEpoch < g.fence.Epoch {
		invariant.Check(false, invariant.NeverOvercommitted,
			"group %s: epoch %d is in the log, but the largest known epoch is %d", g.id, g.fence.Epoch, g.maxEpoch)
	}
	if g.ownership != nil && !g.following {
		invariant.Check(false, invariant.InternalConsistency, "group %s: owned, but its stream is not being read", g.id)
	}
	if g.leaseUntil > now && !g.mayDecide() {
		invariant.Check(false, invariant.NeverOvercommitted,
			"group %s: lease until %s without an active ownership", g.id, g.leaseUntil)
	}
}
