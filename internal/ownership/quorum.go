package ownership

import (
	"slices"
	"time"

	"redwingvale/internal/platform"
	"redwingvale/internal/spec"
)

const stateGone = platform.InstanceGone

// majority reports whether more than half of the voters satisfy the test. An
// empty set has no majority.
func majority(voters []spec.InstanceID, test func(spec.InstanceID) bool) bool {
	count := 0
	for _, id := range voters {
		if test(id) {
			count++
		}
	}
	return count >= len(voters)/2+1 && len(voters) > 0
}

// proven reports whether the instance list proves that the voter is dead: it
// was shown as gone for ListLag, and a read of the members stream sent at or
// after time at shows no newer incarnation. A newer incarnation that joins
// later has not voted yet, and no owner counts its promises before it has
// read its own group's stream again.
func (c *Core) proven(now time.Duration, id spec.InstanceID, at time.Duration) bool {
	p := c.peers[id]
	if p == nil || !c.hasMembersTail || c.membersTail < at {
		return false
	}
	return p.goneFor(now, c.settings.ListLag)
}

// heardMajority reports whether a majority of the voters is heard from, or
// proven dead. Without it this instance may be the one that is cut off.
func (c *Core) heardMajority(now time.Duration) bool {
	return majority(c.members.current().voters, func(id spec.InstanceID) bool {
		if id == c.settings.Instance {
			return true
		}
		p := c.peers[id]
		return !p.silent(now, c.settings.SuspectAfter) || c.proven(now, id, 0)
	})
}

// suspect reports whether this instance itself suspects the peer.
func (c *Core) suspect(now time.Duration, p *peer) bool {
	if p.silent(now, c.settings.SuspectAfter) {
		return true
	}
	return p.unreadable && now-p.unreadableAt > c.settings.SuspectAfter
}

// suspected reports whether this instance and a majority of the voters that
// it hears from suspect the instance. One broken link between two members
// must not make them claim each other's groups in turn.
func (c *Core) suspected(now time.Duration, id spec.InstanceID) bool {
	target := c.peers[id]
	if target == nil || !c.suspect(now, target) {
		return false
	}
	voters, against := 0, 0
	for _, voter := range c.members.current().voters {
		if voter == id {
			continue
		}
		if voter == c.settings.Instance {
			voters++
			against++
			continue
		}
		p := c.peers[voter]
		if p.silent(now, c.settings.SuspectAfter) {
			continue
		}
		voters++
		if p.suspects[id] {
			against++
		}
	}
	return against*2 > voters
}

// fit returns the active members that may own groups, in the order of the
// members stream.
func (c *Core) fit(now time.Duration) []spec.InstanceID {
	var out []spec.InstanceID
	for _, id := range c.members.current().voters {
		if c.isFit(now, id) {
			out = append(out, id)
		}
	}
	return out
}

func (c *Core) isFit(now time.Duration, id spec.InstanceID) bool {
	if id == c.settings.Instance {
		return c.members.isVoter(id) && !c.leaving && c.logReadable(now)
	}
	p := c.peers[id]
	return p != nil && c.members.isVoter(id) && !p.leaving && !c.suspect(now, p)
}

// logReadable reports whether this instance has recently read the members
// stream up to its tail.
func (c *Core) logReadable(now time.Duration) bool {
	return c.hasMembersTail && now-c.membersTail <= c.settings.LogReadableFor
}

// suspects lists whom this instance suspects, in a fixed order.
func (c *Core) suspects(now time.Duration) []string {
	var out []string
	for _, p := range c.order {
		if c.suspect(now, p) {
			out = append(out, string(p.id))
		}
	}
	slices.Sort(out)
	return out
}
