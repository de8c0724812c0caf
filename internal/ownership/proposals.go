package ownership

import (
	"time"

	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// changeMembership proposes the records of the members stream that are due: a
// join, the initial voters, a removal, an activation or a snapshot.
func (c *Core) changeMembership(now time.Duration) {
	if !c.logUsable(now) || c.left {
		return
	}
	if !c.joined {
		c.proposeJoin(now)
		return
	}
	if c.proposer(now) != c.settings.Instance {
		return
	}
	c.proposeSnapshot(now)
	if len(c.members.current().voters) == 0 {
		c.proposeInitialVoters(now)
		return
	}
	if c.proposeRemoval(now) {
		return
	}
	c.proposeActivation(now)
}

// propose emits a members record unless one with the same key was proposed within
// RetryAfter.
func (c *Core) propose(now time.Duration, key string, record *recordv1.MembersRecord, why string) {
	at, proposed := c.proposedAt[key]
	if proposed && now-at < c.settings.RetryAfter {
		return
	}
	c.proposedAt[key] = now
	c.emit(AppendMembers{Record: record, Why: why})
}

func (c *Core) proposeJoin(now time.Duration) {
	if c.leaving {
		return
	}
	member := &recordv1.Member{
		Instance:    string(c.settings.Instance),
		Incarnation: uint64(c.settings.Incarnation),
		DataCentre:  string(c.settings.DataCentre),
		SchedAddr:   c.settings.SchedAddr,
		EntryAddr:   c.settings.EntryAddr,
	}
	record := &recordv1.MembersRecord{Kind: &recordv1.MembersRecord_Join{Join: &recordv1.Join{Member: member}}}
	c.propose(now, "join", record, "the instance has started")
}

// proposer returns the member that proposes changes: the first eligible voter or,
// if there is none, the first joined member that is neither suspected nor leaving.
func (c *Core) proposer(now time.Duration) spec.InstanceID {
	if eligible := c.eligibleMembers(now); len(eligible) > 0 {
		return eligible[0]
	}
	for _, member := range c.members.members {
		id := spec.InstanceID(member.GetInstance())
		if id == c.settings.Instance {
			return id
		}
		if p := c.peers[id]; !c.suspects(now, p) && !p.leaving {
			return id
		}
	}
	return ""
}

// proposeInitialVoters proposes all joined members that send messages as voters,
// in one record.
func (c *Core) proposeInitialVoters(now time.Duration) {
	if now < c.joinedAt+c.settings.SettleTime || c.leaving {
		return
	}
	var ids []string
	for _, member := range c.members.members {
		p := c.peers[spec.InstanceID(member.GetInstance())]
		if p == nil || (p.received && !c.suspects(now, p) && !p.leaving) {
			ids = append(ids, member.GetInstance())
		}
	}
	c.proposeActivate(now, ids, "there are no voters")
}

// proposeActivation proposes one joined member as a voter.
func (c *Core) proposeActivation(now time.Duration) {
	for _, member := range c.members.members {
		if member.GetActive() {
			continue
		}
		p := c.peers[spec.InstanceID(member.GetInstance())]
		eligible := p == nil || (p.received && !c.suspects(now, p) && !p.leaving)
		if eligible && c.mayChangeVoters(now) {
			c.proposeActivate(now, []string{member.GetInstance()}, "the member has joined")
			return
		}
	}
}

func (c *Core) proposeActivate(now time.Duration, ids []string, why string) {
	activate := &recordv1.Activate{Instances: ids, BaseVersion: c.members.version}
	record := &recordv1.MembersRecord{Kind: &recordv1.MembersRecord_Activate{Activate: activate}}
	c.propose(now, c.proposalKey("activate", ids[0]), record, why)
}

// proposeRemoval proposes the removal of a member that is gone or unresponsive,
// and reports whether a removal is due.
func (c *Core) proposeRemoval(now time.Duration) bool {
	for _, p := range c.orderedPeers {
		if !c.removable(now, p) {
			continue
		}
		if c.members.isVoter(p.id) && !c.mayChangeVoters(now) {
			return true
		}
		c.proposeRemove(now, p, false, "the member is silent")
		return true
	}
	return false
}

func (c *Core) removable(now time.Duration, p *peer) bool {
	if c.provenGone(now, p.id, 0) && p.unresponsiveFor(now, c.settings.SuspectAfter) {
		return true
	}
	return p.unresponsiveFor(now, c.settings.RemoveAfter) && c.suspectedByMajority(now, p.id)
}

func (c *Core) proposeRemove(now time.Duration, p *peer, forced bool, why string) {
	remove := &recordv1.Remove{
		Instance:    string(p.id),
		Incarnation: uint64(p.incarnation),
		Forced:      forced,
		BaseVersion: c.members.version,
	}
	record := &recordv1.MembersRecord{Kind: &recordv1.MembersRecord_Remove{Remove: remove}}
	c.propose(now, c.proposalKey("remove", string(p.id)), record, why)
}

// onForceRemove proposes a removal without a majority, as confirmed by an
// operator.
func (c *Core) onForceRemove(e ForceRemove) {
	p := c.peers[e.Instance]
	if p == nil {
		return
	}
	c.proposeRemove(c.lastStepAt, p, true, "an operator confirmed that the member is dead")
}

// proposeSnapshot proposes a snapshot of the membership before the log's retention
// expires older records.
func (c *Core) proposeSnapshot(now time.Duration) {
	period := c.settings.SnapshotPeriod
	if period == 0 || now-max(c.members.snapshotAt, c.joinedAt) < period {
		return
	}
	record := &recordv1.MembersRecord{Kind: &recordv1.MembersRecord_Snapshot{Snapshot: c.members.snapshot()}}
	c.propose(now, "snapshot", record, "the last snapshot is old")
}

// mayChangeVoters reports whether a majority of the voters has known the current
// version for one ownership lease, so that none of them has since made a promise
// to an owner with an older version.
func (c *Core) mayChangeVoters(now time.Duration) bool {
	if c.mutations.skipVersionWait {
		return true
	}
	set := c.members.current()
	lease := c.settings.OwnershipLease
	return majority(set.voters, func(id spec.InstanceID) bool {
		if id == c.settings.Instance {
			return now >= set.knownAt+lease
		}
		p := c.peers[id]
		if p.received && p.votersVersion >= set.version && now >= p.votersVersionAt+lease {
			return true
		}
		return c.provenGone(now, id, set.knownAt+c.staleness())
	})
}

// finishLeave proposes the leave record once this instance owns no groups, and
// reports the end of the leave once the record has been applied.
func (c *Core) finishLeave(now time.Duration) {
	if !c.leaving || c.left {
		return
	}
	member := c.members.find(c.settings.Instance)
	isMember := spec.Incarnation(member.GetIncarnation()) == c.settings.Incarnation
	if !isMember {
		c.left = true
		c.emit(LeaveDone{})
		return
	}
	if c.countOwnedOrClaimed() > 0 || (member.GetActive() && !c.mayChangeVoters(now)) {
		return
	}
	leave := &recordv1.Leave{
		Instance:    string(c.settings.Instance),
		Incarnation: uint64(c.settings.Incarnation),
		BaseVersion: c.members.version,
	}
	record := &recordv1.MembersRecord{Kind: &recordv1.MembersRecord_Leave{Leave: leave}}
	c.propose(now, c.proposalKey("leave", ""), record, "planned leave")
}
