package ownership

import (
	"slices"
	"time"

	"redwingvale/internal/platform"
	"redwingvale/internal/spec"
)

const stateGone = platform.InstanceGone

// majority reports whether more than half of the voters satisfy test. It is
// false for an empty set.
func majority(voters []spec.InstanceID, test func(spec.InstanceID) bool) bool {
	count := 0
	for _, id := range voters {
		if test(id) {
			count++
		}
	}
	return count >= len(voters)/2+1 && len(voters) > 0
}

// provenGone reports whether the instance list proves that the voter has stopped
// or crashed: the list has shown it as gone for ListLag, and a read of the
// members stream sent at or after time at shows no newer incarnation. A newer
// incarnation that joins later has not voted yet, and no owner counts its
// promises before that owner has read its group's stream again.
func (c *Core) provenGone(now time.Duration, id spec.InstanceID, at time.Duration) bool {
	p := c.peers[id]
	if p == nil || !c.hasReadMembersTail || c.membersTailReadAt < at {
		return false
	}
	return p.goneFor(now, c.settings.ListLag)
}

// hasQuorum reports whether a majority of the voters has recently sent a message
// or is proven gone. Without a quorum this instance may itself be partitioned
// from the others.
func (c *Core) hasQuorum(now time.Duration) bool {
	return majority(c.members.current().voters, func(id spec.InstanceID) bool {
		if id == c.settings.Instance {
			return true
		}
		p := c.peers[id]
		return !p.unresponsiveFor(now, c.settings.SuspectAfter) || c.provenGone(now, id, 0)
	})
}

// suspects reports whether this instance itself suspects the peer: no message
// has arrived, or the peer has been unable to read the log, for longer than
// SuspectAfter.
func (c *Core) suspects(now time.Duration, p *peer) bool {
	if p.unresponsiveFor(now, c.settings.SuspectAfter) {
		return true
	}
	return p.logUnreadable && now-p.logUnreadableSince > c.settings.SuspectAfter
}

// suspectedByMajority reports whether this instance and a majority of the voters
// that still send messages suspect the instance. A broken link between two
// members must not make them claim each other's groups in turn.
func (c *Core) suspectedByMajority(now time.Duration, id spec.InstanceID) bool {
	subject := c.peers[id]
	if subject == nil || !c.suspects(now, subject) {
		return false
	}
	voters, suspecting := 0, 0
	for _, voter := range c.members.current().voters {
		if voter == id {
			continue
		}
		if voter == c.settings.Instance {
			voters++
			suspecting++
			continue
		}
		p := c.peers[voter]
		if p.unresponsiveFor(now, c.settings.SuspectAfter) {
			continue
		}
		voters++
		if p.suspects[id] {
			suspecting++
		}
	}
	return suspecting*2 > voters
}

// eligibleMembers returns the active members that may own groups, in the order
// of the members stream.
func (c *Core) eligibleMembers(now time.Duration) []spec.InstanceID {
	var out []spec.InstanceID
	for _, id := range c.members.current().voters {
		if c.isEligible(now, id) {
			out = append(out, id)
		}
	}
	return out
}

func (c *Core) isEligible(now time.Duration, id spec.InstanceID) bool {
	if id == c.settings.Instance {
		return c.members.isVoter(id) && !c.leaving && c.logUsable(now)
	}
	p := c.peers[id]
	return p != nil && c.members.isVoter(id) && !p.leaving && !c.suspects(now, p)
}

// logReadable reports whether this instance has recently read the members
// stream up to its tail.
func (c *Core) logReadable(now time.Duration) bool {
	return c.hasReadMembersTail && now-c.membersTailReadAt <= c.settings.LogReadableFor
}

// logUsable reports whether writes to the log are still worth an attempt. A log
// that is only slow stays usable.
func (c *Core) logUsable(now time.Duration) bool {
	return c.hasReadMembersTail && now-c.membersTailReadAt <= c.settings.LogUsableFor
}

// suspectIDs returns the members that this instance suspects, sorted by id.
func (c *Core) suspectIDs(now time.Duration) []string {
	var out []string
	for _, p := range c.orderedPeers {
		if c.suspects(now, p) {
			out = append(out, string(p.id))
		}
	}
	slices.Sort(out)
	return out
}
