package ownership

import (
	"slices"
	"time"

	"redwingvale/internal/spec"
)

// plan is the wanted assignment for one set of fit members.
type plan struct {
	stale   bool
	members []spec.InstanceID
	owner   map[spec.GroupID]spec.InstanceID
}

// refreshPlan computes the assignment again when its input has changed.
func (c *Core) refreshPlan(now time.Duration) {
	fit := c.fit(now)
	if !c.plan.stale && slices.Equal(fit, c.plan.members) {
		return
	}
	var places []place
	for _, id := range fit {
		dc := spec.DataCentre(c.members.find(id).GetDataCentre())
		places = append(places, place{id: id, dc: dc})
	}
	var groups []Group
	for _, g := range c.sorted {
		if !g.retired {
			groups = append(groups, Group{ID: g.id, DataCentre: g.dc})
		}
	}
	c.plan = plan{members: fit, owner: assign(groups, places)}
}

// share is the number of groups that a member may take over from healthy
// owners: the fair share, rounded down.
func (c *Core) share() int {
	if len(c.plan.members) == 0 {
		return 0
	}
	return len(c.plan.owner) / len(c.plan.members)
}

// holding counts the groups that this instance owns or claims.
func (c *Core) holding() int {
	count := 0
	for _, g := range c.sorted {
		if g.take != nil || g.claiming {
			count++
		}
	}
	return count
}
