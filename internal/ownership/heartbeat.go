package ownership

import (
	"time"

	"redwingvale/internal/spec"

	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// expediteHeartbeat makes the next heartbeat due at once when the number of
// suspected members has grown, so that the peers receive the suspicion without
// delay.
func (c *Core) expediteHeartbeat(now time.Duration) {
	count := 0
	for _, p := range c.orderedPeers {
		if c.suspects(now, p) {
			count++
		}
	}
	if count > c.suspectCount {
		c.nextHeartbeatAt = now
	}
	c.suspectCount = count
}

// sendHeartbeats sends a heartbeat to each peer when it is due.
func (c *Core) sendHeartbeats(now time.Duration) {
	if now < c.nextHeartbeatAt || !c.joined {
		return
	}
	c.nextHeartbeatAt = now + c.settings.HeartbeatPeriod
	if len(c.orderedPeers) == 0 {
		return
	}
	request := c.heartbeatRequest(now)
	for _, p := range c.orderedPeers {
		addr := c.members.find(p.id).GetSchedAddr()
		c.emit(SendHeartbeat{To: p.id, Addr: addr, SentAt: now, Request: request})
	}
}

func (c *Core) heartbeatRequest(now time.Duration) *schedv1.HeartbeatRequest {
	r := &schedv1.HeartbeatRequest{
		Instance:      string(c.settings.Instance),
		Incarnation:   uint64(c.settings.Incarnation),
		VotersVersion: c.members.version,
		MembersOffset: c.members.lastOffset,
		ConfigOffset:  c.configOffset,
		Leaving:       c.leaving,
		Suspects:      c.suspectIDs(now),
		LogReadable:   c.logReadable(now),
	}
	for _, g := range c.sortedGroups {
		c.describeGroup(r, g)
	}
	return r
}

func (c *Core) describeGroup(r *schedv1.HeartbeatRequest, g *group) {
	if g.ownership == nil {
		if g.id == c.movingGroup && g.caughtUp {
			r.Ready = append(r.Ready, string(g.id))
		}
		return
	}
	if g.superseded() {
		return
	}
	owned := &schedv1.OwnedGroup{Id: string(g.id), Epoch: uint64(g.ownership.epoch)}
	if !g.ownership.started {
		r.Claims = append(r.Claims, owned)
		return
	}
	if !g.ownership.releasing {
		r.Owned = append(r.Owned, owned)
	}
}

// onHeartbeatReceived responds to a heartbeat as a voter.
func (c *Core) onHeartbeatReceived(now time.Duration, e HeartbeatReceived) {
	request := e.Request
	if p := c.peerOf(request.GetInstance(), request.GetIncarnation()); p != nil {
		c.updatePeer(now, p, request)
	}
	response := c.heartbeatResponse(now)
	c.vote(now, request, response)
	if request.GetVotersVersion() < c.members.version && !c.mutations.skipVersionCheck {
		response.Members = c.members.copyMembers()
	}
	c.emit(Respond{Call: e.Call, Response: response})
}

func (c *Core) heartbeatResponse(now time.Duration) *schedv1.HeartbeatResponse {
	return &schedv1.HeartbeatResponse{
		Instance:      string(c.settings.Instance),
		Incarnation:   uint64(c.settings.Incarnation),
		VotersVersion: c.members.version,
		MembersOffset: c.members.lastOffset,
		ConfigOffset:  c.configOffset,
		LogReadable:   c.logReadable(now),
		Leaving:       c.leaving,
		Suspects:      c.suspectIDs(now),
	}
}

// updatePeer records the state that a member reports about itself in a request.
func (c *Core) updatePeer(now time.Duration, p *peer, r *schedv1.HeartbeatRequest) {
	p.recordMessage(now, r.GetVotersVersion())
	p.lastRequestAt = now
	p.recordLogReadable(now, r.GetLogReadable(), c.logReadable(now))
	p.leaving = p.leaving || r.GetLeaving()
	p.configOffset = max(p.configOffset, r.GetConfigOffset())
	p.suspects = suspectSet(r.GetSuspects())
	p.ready = make(map[spec.GroupID]bool, len(r.GetReady()))
	for _, id := range r.GetReady() {
		p.ready[spec.GroupID(id)] = true
	}
	c.updateReportedOwners(now, p, r)
}

// updateReportedOwners updates the reported owners from a request. A group that
// the member no longer lists has no known owner.
func (c *Core) updateReportedOwners(now time.Duration, p *peer, r *schedv1.HeartbeatRequest) {
	listed := make(map[spec.GroupID]spec.Epoch, len(r.GetOwned())+len(r.GetClaims()))
	for _, list := range [][]*schedv1.OwnedGroup{r.GetOwned(), r.GetClaims()} {
		for _, owned := range list {
			listed[spec.GroupID(owned.GetId())] = spec.Epoch(owned.GetEpoch())
		}
	}
	for _, g := range c.sortedGroups {
		epoch, ok := listed[g.id]
		switch {
		case ok && epoch >= g.maxEpoch && g.reportedOwner != p.id:
			g.reportedOwner = p.id
			c.emit(OwnersChanged{})
		case !ok && g.reportedOwner == p.id:
			g.reportedOwner = ""
			g.unownedSince = now
			c.emit(OwnersChanged{})
		}
	}
}

// vote adds to the response the promises, the acknowledgements and the
// confirmations that this instance has stopped. The epochs in a heartbeat are
// in the log whoever the sender is, so they are recorded even when no vote is
// given.
func (c *Core) vote(now time.Duration, r *schedv1.HeartbeatRequest, out *schedv1.HeartbeatResponse) {
	current := r.GetVotersVersion() >= c.members.version || c.mutations.skipVersionCheck
	allowed := c.mayVote(now) && current
	for _, owned := range r.GetOwned() {
		known := c.observeEpoch(now, owned)
		if allowed && (known == owned.GetEpoch() || c.mutations.promiseOldEpochs) {
			out.Promised = append(out.Promised, owned)
		}
	}
	for _, claim := range r.GetClaims() {
		known := c.observeEpoch(now, claim)
		if known != claim.GetEpoch() {
			continue
		}
		if allowed {
			out.Acknowledged = append(out.Acknowledged, claim)
		}
		if c.hasStopped(claim) {
			out.Stopped = append(out.Stopped, claim)
		}
	}
}

// observeEpoch records an epoch and returns the largest known one. If the epoch
// supersedes this instance's ownership, the lease has ended when the function
// returns.
func (c *Core) observeEpoch(now time.Duration, owned *schedv1.OwnedGroup) uint64 {
	id := spec.GroupID(owned.GetId())
	g := c.groups[id]
	if g == nil {
		g = &group{id: id, retired: true, unownedSince: now}
		c.groups[id] = g
		c.sortGroups()
	}
	g.observeEpoch(spec.Epoch(owned.GetEpoch()))
	c.updateLease(now, g)
	return uint64(g.maxEpoch)
}

// hasStopped reports whether this process held the ownership that the claim
// replaced. Only an ownership that had started counts: one that was still
// waiting for an earlier owner does not prove that the earlier owner stopped.
func (c *Core) hasStopped(claim *schedv1.OwnedGroup) bool {
	g := c.groups[spec.GroupID(claim.GetId())]
	return g.startedEpoch > 0 && uint64(g.startedEpoch)+1 == claim.GetEpoch()
}

// mayVote reports whether this process may vote: one ownership lease after its
// join, when the promises of its previous incarnation have expired.
func (c *Core) mayVote(now time.Duration) bool {
	return c.joined && now >= c.joinedAt+c.settings.OwnershipLease
}

// onHeartbeatAnswered records the promises, the acknowledgements and the other
// state in a heartbeat response.
func (c *Core) onHeartbeatAnswered(now time.Duration, e HeartbeatAnswered) {
	r := e.Response
	p := c.peerOf(r.GetInstance(), r.GetIncarnation())
	if p == nil || p.id != e.To {
		return
	}
	p.recordMessage(now, r.GetVotersVersion())
	p.recordLogReadable(now, r.GetLogReadable(), c.logReadable(now))
	p.leaving = p.leaving || r.GetLeaving()
	p.configOffset = max(p.configOffset, r.GetConfigOffset())
	p.suspects = suspectSet(r.GetSuspects())
	c.adoptMembers(now, r)
	for _, promised := range r.GetPromised() {
		c.recordPromise(p, promised, e.SentAt)
	}
	for _, claim := range r.GetAcknowledged() {
		c.recordAck(now, p, claim)
	}
	for _, claim := range r.GetStopped() {
		c.recordStopped(p, claim)
	}
	for _, g := range c.sortedGroups {
		if g.ownership != nil {
			c.updateOwnership(now, g)
		}
	}
}

// adoptMembers adopts a newer member list from a peer, in case this instance
// cannot read the log.
func (c *Core) adoptMembers(now time.Duration, r *schedv1.HeartbeatResponse) {
	if len(r.GetMembers()) == 0 || r.GetVotersVersion() <= c.members.version {
		return
	}
	if c.members.adopt(now, r.GetMembers(), r.GetVotersVersion(), r.GetMembersOffset()) {
		c.onMembersChanged(now)
	}
}

func (c *Core) recordPromise(p *peer, owned *schedv1.OwnedGroup, sentAt time.Duration) {
	given := promise{epoch: spec.Epoch(owned.GetEpoch()), sentAt: sentAt}
	known := p.promises[spec.GroupID(owned.GetId())]
	if given.epoch < known.epoch || (given.epoch == known.epoch && sentAt <= known.sentAt) {
		return
	}
	p.promises[spec.GroupID(owned.GetId())] = given
}

// recordAck records when an incarnation of a voter first acknowledged the claim.
func (c *Core) recordAck(now time.Duration, p *peer, claim *schedv1.OwnedGroup) {
	o := c.ownershipIn(claim)
	if o == nil {
		return
	}
	if given, ok := o.acks[p.id]; ok && given.incarnation == p.incarnation {
		return
	}
	o.acks[p.id] = ack{incarnation: p.incarnation, at: now}
}

func (c *Core) recordStopped(p *peer, claim *schedv1.OwnedGroup) {
	o := c.ownershipIn(claim)
	if o == nil {
		return
	}
	if o.previous.Owner == p.id && o.previous.Incarnation == p.incarnation {
		o.previousStopped = true
	}
}

// ownershipIn returns this instance's ownership of the group in the given epoch,
// or nil.
func (c *Core) ownershipIn(owned *schedv1.OwnedGroup) *ownership {
	g := c.groups[spec.GroupID(owned.GetId())]
	if g == nil || g.ownership == nil || uint64(g.ownership.epoch) != owned.GetEpoch() {
		return nil
	}
	return g.ownership
}

func suspectSet(list []string) map[spec.InstanceID]bool {
	out := make(map[spec.InstanceID]bool, len(list))
	for _, id := range list {
		out[spec.InstanceID(id)] = true
	}
	return out
}
