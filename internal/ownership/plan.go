package ownership

import (
	"slices"
	"time"

	"redwingvale/internal/spec"
)

// plan is the desired assignment of the groups to one set of eligible members.
type plan struct {
	stale   bool
	members []spec.InstanceID
	owner   map[spec.GroupID]spec.InstanceID
}

// refreshPlan recomputes the assignment when its input has changed.
func (c *Core) refreshPlan(now time.Duration) {
	eligible := c.eligibleMembers(now)
	if !c.plan.stale && slices.Equal(eligible, c.plan.members) {
		return
	}
	var assignees []assignee
	for _, id := range eligible {
		dc := spec.DataCentre(c.members.find(id).GetDataCentre())
		assignees = append(assignees, assignee{id: id, dc: dc})
	}
	var groups []Group
	for _, g := range c.sortedGroups {
		if !g.retired {
			groups = append(groups, Group{ID: g.id, DataCentre: g.dc})
		}
	}
	c.plan = plan{members: eligible, owner: assign(groups, assignees)}
}

// fairShare returns the number of groups up to which a member may take groups
// over from healthy owners: the fair share, rounded down.
func (c *Core) fairShare() int {
	if len(c.plan.members) == 0 {
		return 0
	}
	return len(c.plan.owner) / len(c.plan.members)
}

// countOwnedOrClaimed returns the number of groups that this instance owns or has
// claimed.
func (c *Core) countOwnedOrClaimed() int {
	count := 0
	for _, g := range c.sortedGroups {
		if g.ownership != nil || g.claimPending {
			count++
		}
	}
	return count
}
