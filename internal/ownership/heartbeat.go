package ownership

import (
	"time"

	"redwingvale/internal/spec"

	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// hurryHeartbeat sends the next heartbeat at once when a member is suspected
// for the first time, so that the others learn it without delay.
func (c *Core) hurryHeartbeat(now time.Duration) {
	count := 0
	for _, p := range c.order {
		if c.suspect(now, p) {
			count++
		}
	}
	if count > c.suspectCount {
		c.heartbeatAt = now
	}
	c.suspectCount = count
}

// sendHeartbeats sends a heartbeat to each other member when it is time.
func (c *Core) sendHeartbeats(now time.Duration) {
	if now < c.heartbeatAt || !c.joined {
		return
	}
	c.heartbeatAt = now + c.settings.HeartbeatPeriod
	if len(c.order) == 0 {
		return
	}
	request := c.request(now)
	for _, p := range c.order {
		addr := c.members.find(p.id).GetSchedAddr()
		c.emit(SendHeartbeat{To: p.id, Addr: addr, SentAt: now, Request: request})
	}
}

func (c *Core) request(now time.Duration) *schedv1.HeartbeatRequest {
	r := &schedv1.HeartbeatRequest{
		Instance:      string(c.settings.Instance),
		Incarnation:   uint64(c.settings.Incarnation),
		VotersVersion: c.members.version,
		MembersOffset: c.members.through,
		ConfigOffset:  c.configOffset,
		Leaving:       c.leaving,
		Suspects:      c.suspects(now),
		LogReadable:   c.logReadable(now),
	}
	for _, g := range c.sorted {
		c.describe(r, g)
	}
	return r
}

func (c *Core) describe(r *schedv1.HeartbeatRequest, g *group) {
	if g.take == nil {
		if g.id == c.moving && g.caughtUp {
			r.Ready = append(r.Ready, string(g.id))
		}
		return
	}
	if g.superseded() {
		return
	}
	owned := &schedv1.OwnedGroup{Id: string(g.id), Epoch: uint64(g.take.epoch)}
	if !g.take.started {
		r.Claims = append(r.Claims, owned)
		return
	}
	if !g.take.releasing {
		r.Owned = append(r.Owned, owned)
	}
}

// heartbeatReceived answers a heartbeat as a voter.
func (c *Core) heartbeatReceived(now time.Duration, e HeartbeatReceived) {
	request := e.Request
	if p := c.peerOf(request.GetInstance(), request.GetIncarnation()); p != nil {
		c.hear(now, p, request)
	}
	response := c.response(now)
	c.vote(now, request, response)
	if request.GetVotersVersion() < c.members.version && !c.faults.skipVersionRule {
		response.Members = c.members.copies()
	}
	c.emit(Respond{Call: e.Call, Response: response})
}

func (c *Core) response(now time.Duration) *schedv1.HeartbeatResponse {
	return &schedv1.HeartbeatResponse{
		Instance:      string(c.settings.Instance),
		Incarnation:   uint64(c.settings.Incarnation),
		VotersVersion: c.members.version,
		MembersOffset: c.members.through,
		ConfigOffset:  c.configOffset,
		LogReadable:   c.logReadable(now),
		Leaving:       c.leaving,
		Suspects:      c.suspects(now),
	}
}

// hear takes in what a member says about itself in a request.
func (c *Core) hear(now time.Duration, p *peer, r *schedv1.HeartbeatRequest) {
	p.arrived(now, r.GetVotersVersion())
	p.listedAt = now
	p.readable(now, r.GetLogReadable(), c.logReadable(now))
	p.leaving = p.leaving || r.GetLeaving()
	p.configOffset = max(p.configOffset, r.GetConfigOffset())
	p.suspects = suspectSet(r.GetSuspects())
	p.ready = make(map[spec.GroupID]bool, len(r.GetReady()))
	for _, id := range r.GetReady() {
		p.ready[spec.GroupID(id)] = true
	}
	c.hearOwned(now, p, r)
}

// hearOwned keeps the view of the owners. A group that the member does not
// list any more has no known owner.
func (c *Core) hearOwned(now time.Duration, p *peer, r *schedv1.HeartbeatRequest) {
	listed := make(map[spec.GroupID]spec.Epoch, len(r.GetOwned())+len(r.GetClaims()))
	for _, list := range [][]*schedv1.OwnedGroup{r.GetOwned(), r.GetClaims()} {
		for _, owned := range list {
			listed[spec.GroupID(owned.GetId())] = spec.Epoch(owned.GetEpoch())
		}
	}
	for _, g := range c.sorted {
		epoch, ok := listed[g.id]
		switch {
		case ok && epoch >= g.known && g.heard != p.id:
			g.heard = p.id
			c.emit(OwnersChanged{})
		case !ok && g.heard == p.id:
			g.heard = ""
			g.vacantAt = now
			c.emit(OwnersChanged{})
		}
	}
}

// vote promises, acknowledges, and confirms that this instance has stopped.
// Epochs in a heartbeat are in the log, whoever asks, so they are learned
// even when no vote is given.
func (c *Core) vote(now time.Duration, r *schedv1.HeartbeatRequest, out *schedv1.HeartbeatResponse) {
	current := r.GetVotersVersion() >= c.members.version || c.faults.skipVersionRule
	allowed := c.mayVote(now) && current
	for _, owned := range r.GetOwned() {
		known := c.learn(now, owned)
		if allowed && (known == owned.GetEpoch() || c.faults.promiseRegardless) {
			out.Promised = append(out.Promised, owned)
		}
	}
	for _, claim := range r.GetClaims() {
		known := c.learn(now, claim)
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

// learn takes an epoch in and returns the largest one known. An owner that
// learns of a newer epoch has stopped when this returns.
func (c *Core) learn(now time.Duration, owned *schedv1.OwnedGroup) uint64 {
	id := spec.GroupID(owned.GetId())
	g := c.groups[id]
	if g == nil {
		g = &group{id: id, retired: true, vacantAt: now}
		c.groups[id] = g
		c.sortGroups()
	}
	g.learn(spec.Epoch(owned.GetEpoch()))
	c.updateRight(now, g)
	return uint64(g.known)
}

// hasStopped reports whether this process held the ownership that the claim
// replaced. Only an ownership that had started counts: one that was still
// waiting cannot speak for the owner before it.
func (c *Core) hasStopped(claim *schedv1.OwnedGroup) bool {
	g := c.groups[spec.GroupID(claim.GetId())]
	return g.startedEpoch > 0 && uint64(g.startedEpoch)+1 == claim.GetEpoch()
}

// mayVote reports whether this process can vote: one lease after its join,
// so that the promises of its predecessor have run out.
func (c *Core) mayVote(now time.Duration) bool {
	return c.joined && now >= c.joinedAt+c.settings.OwnershipLease
}

// heartbeatAnswered counts promises and acknowledgements.
func (c *Core) heartbeatAnswered(now time.Duration, e HeartbeatAnswered) {
	r := e.Response
	p := c.peerOf(r.GetInstance(), r.GetIncarnation())
	if p == nil || p.id != e.To {
		return
	}
	p.arrived(now, r.GetVotersVersion())
	p.readable(now, r.GetLogReadable(), c.logReadable(now))
	p.leaving = p.leaving || r.GetLeaving()
	p.configOffset = max(p.configOffset, r.GetConfigOffset())
	p.suspects = suspectSet(r.GetSuspects())
	c.adopt(now, r)
	for _, promised := range r.GetPromised() {
		c.promised(p, promised, e.SentAt)
	}
	for _, claim := range r.GetAcknowledged() {
		c.acknowledged(now, p, claim)
	}
	for _, claim := range r.GetStopped() {
		c.stopped(p, claim)
	}
	for _, g := range c.sorted {
		if g.take != nil {
			c.advance(now, g)
		}
	}
}

// adopt takes a newer member list over from a peer, for the case that this
// instance cannot read the log.
func (c *Core) adopt(now time.Duration, r *schedv1.HeartbeatResponse) {
	if len(r.GetMembers()) == 0 || r.GetVotersVersion() <= c.members.version {
		return
	}
	if c.members.adopt(now, r.GetMembers(), r.GetVotersVersion(), r.GetMembersOffset()) {
		c.membersChanged(now)
	}
}

func (c *Core) promised(p *peer, owned *schedv1.OwnedGroup, sentAt time.Duration) {
	given := promise{epoch: spec.Epoch(owned.GetEpoch()), sentAt: sentAt}
	known := p.promises[spec.GroupID(owned.GetId())]
	if given.epoch < known.epoch || (given.epoch == known.epoch && sentAt <= known.sentAt) {
		return
	}
	p.promises[spec.GroupID(owned.GetId())] = given
}

// acknowledged notes when a voter's incarnation first said that it knows the
// claim.
func (c *Core) acknowledged(now time.Duration, p *peer, claim *schedv1.OwnedGroup) {
	t := c.takeOf(claim)
	if t == nil {
		return
	}
	if given, ok := t.acks[p.id]; ok && given.incarnation == p.incarnation {
		return
	}
	t.acks[p.id] = ack{incarnation: p.incarnation, at: now}
}

func (c *Core) stopped(p *peer, claim *schedv1.OwnedGroup) {
	t := c.takeOf(claim)
	if t == nil {
		return
	}
	if t.previous.Owner == p.id && t.previous.Incarnation == p.incarnation {
		t.stopped = true
	}
}

// takeOf returns this instance's ownership in the epoch, or nil.
func (c *Core) takeOf(owned *schedv1.OwnedGroup) *take {
	g := c.groups[spec.GroupID(owned.GetId())]
	if g == nil || g.take == nil || uint64(g.take.epoch) != owned.GetEpoch() {
		return nil
	}
	return g.take
}

func suspectSet(list []string) map[spec.InstanceID]bool {
	out := make(map[spec.InstanceID]bool, len(list))
	for _, id := range list {
		out[spec.InstanceID(id)] = true
	}
	return out
}
