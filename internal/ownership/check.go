package ownership

import (
	"time"

	"redwingvale/internal/invariant"
)

// check asserts what must hold after each step.
func (c *Core) check(now time.Duration) {
	releasing := 0
	for _, g := range c.sorted {
		c.checkGroup(now, g)
		if g.take != nil && g.take.releasing {
			releasing++
		}
	}
	invariant.Check(releasing <= 1, invariant.InternalConsistency, "%d groups are being released at a time", releasing)
	sets := c.members.sets
	for i := 1; i < len(sets); i++ {
		invariant.Check(sets[i].version == sets[i-1].version+1, invariant.NeverOvercommitted,
			"voter set version %d follows %d", sets[i].version, sets[i-1].version)
	}
}

func (c *Core) checkGroup(now time.Duration, g *group) {
	invariant.Check(g.known >= g.fence.Epoch, invariant.NeverOvercommitted,
		"group %s: epoch %d is in the log, %d is known", g.id, g.fence.Epoch, g.known)
	invariant.Check(g.take == nil || g.following, invariant.InternalConsistency,
		"group %s: owned but not followed", g.id)
	if g.until <= now {
		return
	}
	invariant.Check(g.deciding(), invariant.NeverOvercommitted,
		"group %s: right until %s without an ownership", g.id, g.until)
}
