package ownership

import (
	"time"

	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// changeMembership proposes the next record of the members stream, if any is
// due: a join, the first voters, a removal, an activation or a snapshot.
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
		c.proposeFirst(now)
		return
	}
	if c.proposeRemoval(now) {
		return
	}
	c.proposeActivation(now)
}

// propose emits a members record unless the same one was asked for within
// RetryAfter.
func (c *Core) propose(now time.Duration, key string, record *recordv1.MembersRecord, why string) {
	at, asked := c.requestedAt[key]
	if asked && now-at < c.settings.RetryAfter {
		return
	}
	c.requestedAt[key] = now
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

// proposer returns the member whose duty a change is: the first voter that is
// fit, or the first joined member that is heard from when no voter is.
func (c *Core) proposer(now time.Duration) spec.InstanceID {
	if fit := c.fit(now); len(fit) > 0 {
		return fit[0]
	}
	for _, member := range c.members.members {
		id := spec.InstanceID(member.GetInstance())
		if id == c.settings.Instance {
			return id
		}
		if p := c.peers[id]; !c.suspect(now, p) && !p.leaving {
			return id
		}
	}
	return ""
}

// proposeFirst makes all joined members that are heard from voters at once.
func (c *Core) proposeFirst(now time.Duration) {
	if now < c.joinedAt+c.settings.SettleTime || c.leaving {
		return
	}
	var ids []string
	for _, member := range c.members.members {
		p := c.peers[spec.InstanceID(member.GetInstance())]
		if p == nil || (p.heard && !c.suspect(now, p) && !p.leaving) {
			ids = append(ids, member.GetInstance())
		}
	}
	c.proposeActivate(now, ids, "there are no voters")
}

// proposeActivation makes one joined member a voter.
func (c *Core) proposeActivation(now time.Duration) {
	for _, member := range c.members.members {
		if member.GetActive() {
			continue
		}
		p := c.peers[spec.InstanceID(member.GetInstance())]
		able := p == nil || (p.heard && !c.suspect(now, p) && !p.leaving)
		if able && c.mayChangeVoters(now) {
			c.proposeActivate(now, []string{member.GetInstance()}, "the member has joined")
			return
		}
	}
}

func (c *Core) proposeActivate(now time.Duration, ids []string, why string) {
	activate := &recordv1.Activate{Instances: ids, BaseVersion: c.members.version}
	record := &recordv1.MembersRecord{Kind: &recordv1.MembersRecord_Activate{Activate: activate}}
	c.propose(now, c.versionKey("activate", ids[0]), record, why)
}

// proposeRemoval removes a member that is dead or silent, and reports whether
// one is due.
func (c *Core) proposeRemoval(now time.Duration) bool {
	for _, p := range c.order {
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
	if c.proven(now, p.id, 0) && p.silent(now, c.settings.SuspectAfter) {
		return true
	}
	return p.silent(now, c.settings.RemoveAfter) && c.suspected(now, p.id)
}

func (c *Core) proposeRemove(now time.Duration, p *peer, forced bool, why string) {
	remove := &recordv1.Remove{
		Instance:    string(p.id),
		Incarnation: uint64(p.incarnation),
		Forced:      forced,
		BaseVersion: c.members.version,
	}
	record := &recordv1.MembersRecord{Kind: &recordv1.MembersRecord_Remove{Remove: remove}}
	c.propose(now, c.versionKey("remove", string(p.id)), record, why)
}

// forceRemove proposes a removal without a majority, on an operator's word.
func (c *Core) forceRemove(e ForceRemove) {
	p := c.peers[e.Instance]
	if p == nil {
		return
	}
	c.proposeRemove(c.lastStep, p, true, "an operator confirmed that the member is dead")
}

// proposeSnapshot repeats the membership ahead of the log's retention.
func (c *Core) proposeSnapshot(now time.Duration) {
	period := c.settings.SnapshotPeriod
	if period == 0 || now-max(c.members.snapshotAt, c.joinedAt) < period {
		return
	}
	record := &recordv1.MembersRecord{Kind: &recordv1.MembersRecord_Snapshot{Snapshot: c.members.snapshot()}}
	c.propose(now, "snapshot", record, "the last snapshot is old")
}

// mayChangeVoters reports whether a majority of the voters has known the
// current version for one ownership lease, so that none of them has promised
// anything to an owner with an older version since.
func (c *Core) mayChangeVoters(now time.Duration) bool {
	if c.faults.skipVersionLease {
		return true
	}
	set := c.members.current()
	lease := c.settings.OwnershipLease
	return majority(set.voters, func(id spec.InstanceID) bool {
		if id == c.settings.Instance {
			return now >= set.knownAt+lease
		}
		p := c.peers[id]
		if p.heard && p.version >= set.version && now >= p.versionAt+lease {
			return true
		}
		return c.proven(now, id, set.knownAt+c.staleness())
	})
}

// finishLeave writes the leave record when nothing is owned any more.
func (c *Core) finishLeave(now time.Duration) {
	if !c.leaving || c.left {
		return
	}
	member := c.members.find(c.settings.Instance)
	mine := spec.Incarnation(member.GetIncarnation()) == c.settings.Incarnation
	if !mine {
		c.left = true
		c.emit(LeaveDone{})
		return
	}
	if c.holding() > 0 || (member.GetActive() && !c.mayChangeVoters(now)) {
		return
	}
	leave := &recordv1.Leave{
		Instance:    string(c.settings.Instance),
		Incarnation: uint64(c.settings.Incarnation),
		BaseVersion: c.members.version,
	}
	record := &recordv1.MembersRecord{Kind: &recordv1.MembersRecord_Leave{Leave: leave}}
	c.propose(now, c.versionKey("leave", ""), record, "planned leave")
}
