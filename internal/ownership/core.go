// Package ownership determines which instance owns each worker group:
// membership, voters, failure detection, claims, log leases, peer leases,
// planned leave and balancing, as specified in section 5 of docs/design.md.
//
// An owner's lease on a group ends before any other instance's lease on the
// same group starts. The argument, for an old owner O that sent its last
// confirming read at time s, and a claimer C that read its claim back at time
// r, with leases of length L (Settings.OwnershipLease):
//
//   - O's log lease ends before r + L, and C starts after that.
//   - C needs acknowledgements from a majority of its voter set, each at least
//     L old when C starts. A voter that has acknowledged the claim makes no
//     further promise to O, and its earlier promises have expired.
//   - A voter that restarts loses its record of the claim. O therefore counts
//     only promises of incarnations from which it received a message before s,
//     which is before the claim was in the log.
//   - Voter sets change. O therefore needs a majority in each voter set from
//     the one that it knew at s to the current one, and C counts a majority
//     only after it has read the members stream to its tail after r. Sets that
//     differ by more than one change are covered because a change is proposed
//     only after a majority has known the previous version for L and refuses
//     requests of older versions.
//   - A voter that the instance list shows as gone counts as agreeing to claims
//     and to changes of the voter set. It does not count as promising to an
//     owner: if an owner and a claimer both counted it, they would share no
//     voter that could inform either of the other.
package ownership

import (
	"sort"
	"time"

	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// Core is the ownership state machine of one instance. It performs no I/O: Step
// takes an event and returns effects. It is not safe for concurrent use.
type Core struct {
	settings Settings
	members  *membership
	peers    map[spec.InstanceID]*peer
	// orderedPeers holds the peers in the order of the members stream.
	orderedPeers []*peer
	listEntries  map[spec.InstanceID]listEntry
	// groups holds the known groups; sortedGroups holds them ordered by id.
	groups       map[spec.GroupID]*group
	sortedGroups []*group

	// membersTailReadAt is when the last read of the members stream that
	// reached the tail was sent.
	membersTailReadAt  time.Duration
	hasReadMembersTail bool
	// joinedAt is when the join record of this incarnation was read back and
	// applied.
	joined     bool
	joinedAt   time.Duration
	proposedAt map[string]time.Duration
	leaving    bool
	left       bool
	// configOffset is the offset up to which this instance has read the config
	// stream.
	configOffset int64

	nextHeartbeatAt time.Duration
	// suspectCount is the number of members suspected at the last tick.
	suspectCount  int
	lastStepAt    time.Duration
	noQuorumSince time.Duration
	alarms        map[AlarmKind]bool
	plan          plan
	// movingGroup is the group that this instance has been preparing to take
	// over from a healthy owner since moveStartedAt.
	movingGroup   spec.GroupID
	moveStartedAt time.Duration
	// active states that this instance is a voter. Until moveUntil it may take
	// groups over from healthy owners.
	active    bool
	moveUntil time.Duration
	effects   []Effect
	mutations mutations
}

// mutations disables single mechanisms, for tests that check that the
// simulation detects the resulting fault.
type mutations struct {
	skipClaimWait         bool
	skipAckMajority       bool
	skipVersionCheck      bool
	skipFirstMessageCheck bool
	skipVoterSetHistory   bool
	promiseOldEpochs      bool
	skipVersionWait       bool
	ignoreStaleness       bool
}

// New returns the core of an instance that has just started and has no state.
func New(settings Settings) *Core {
	return &Core{
		configOffset: nothingRead,
		settings:     settings,
		members:      newMembership(),
		peers:        make(map[spec.InstanceID]*peer),
		listEntries:  make(map[spec.InstanceID]listEntry),
		groups:       make(map[spec.GroupID]*group),
		proposedAt:   make(map[string]time.Duration),
		alarms:       make(map[AlarmKind]bool),
	}
}

// Step processes one event and returns the resulting effects, in the order in
// which they must be executed. now is the monotonic time since the start of
// the process and never decreases.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	c.effects = nil
	c.compensatePause(now)
	c.handle(now, event)
	if _, ok := event.(Tick); ok {
		c.tick(now)
	}
	c.checkInvariants(now)
	return c.effects
}

func (c *Core) handle(now time.Duration, event Event) {
	switch e := event.(type) {
	case MembersRecord:
		c.onMembersRecord(now, e)
	case MembersRead:
		c.onMembersRead(now, e)
	case GroupFence:
		c.onGroupFence(now, e)
	case StreamRead:
		c.onStreamRead(now, e)
	case HeartbeatReceived:
		c.onHeartbeatReceived(now, e)
	case HeartbeatAnswered:
		c.onHeartbeatAnswered(now, e)
	case InstanceList:
		c.onInstanceList(now, e)
	case GroupsKnown:
		c.onGroupsKnown(now, e)
	case AppendRejected:
		c.onAppendRejected(now, e)
	case GroupAbandoned:
		c.onGroupAbandoned(now, e)
	case ForceRemove:
		c.onForceRemove(e)
	case ConfigRead:
		c.configOffset = max(c.configOffset, e.Offset)
	case LeaveRequested:
		c.leaving = true
		c.nextHeartbeatAt = now
	}
}

// tick performs the time-dependent work.
func (c *Core) tick(now time.Duration) {
	c.expediteHeartbeat(now)
	c.sendHeartbeats(now)
	c.changeMembership(now)
	c.balance(now)
	for _, g := range c.sortedGroups {
		c.updateOwnership(now, g)
	}
	c.finishLeave(now)
	c.updateAlarms(now)
}

// compensatePause keeps a process that was paused from suspecting every peer:
// messages of the peers may still be waiting to be processed.
func (c *Core) compensatePause(now time.Duration) {
	gap := now - c.lastStepAt
	c.lastStepAt = now
	if gap <= c.settings.SuspectAfter/2 {
		return
	}
	for _, p := range c.orderedPeers {
		p.lastReceivedAt = min(now, p.lastReceivedAt+gap)
	}
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

// Members returns the members in the order of the members stream.
func (c *Core) Members() []*recordv1.Member { return c.members.copyMembers() }

// VotersVersion returns the version of the voter set.
func (c *Core) VotersVersion() uint64 { return c.members.version }

// MembersOffset returns the offset of the last applied members record, or -1
// if there is none.
func (c *Core) MembersOffset() int64 { return c.members.lastOffset }

// Owner is the owner of a group according to this instance. Owner is empty when
// the owner is unknown.
type Owner struct {
	Group spec.GroupID
	Owner spec.InstanceID
	Epoch spec.Epoch
}

// Owners returns the owner of each known group, ordered by group id.
func (c *Core) Owners() []Owner {
	out := make([]Owner, 0, len(c.sortedGroups))
	for _, g := range c.sortedGroups {
		out = append(out, Owner{Group: g.id, Owner: g.owner(), Epoch: g.maxEpoch})
	}
	return out
}

// nothingRead is the offset of a reader that has not read any record. Log
// offsets start at 0.
const nothingRead int64 = -1

// ConfigOffset is the offset up to which a member has read the config stream.
type ConfigOffset struct {
	Instance spec.InstanceID
	Offset   int64
}

// ConfigOffsets returns the offsets that the active members have reported, in
// the order of the members stream.
func (c *Core) ConfigOffsets() []ConfigOffset {
	var out []ConfigOffset
	for _, id := range c.members.current().voters {
		offset := c.configOffset
		if p := c.peers[id]; p != nil {
			offset = p.configOffset
		}
		out = append(out, ConfigOffset{Instance: id, Offset: offset})
	}
	return out
}

func (c *Core) onMembersRecord(now time.Duration, e MembersRecord) {
	version := c.members.version
	if !c.members.apply(now, e) {
		return
	}
	if c.members.version != version {
		clear(c.proposedAt)
	}
	c.onMembersChanged(now)
}

func (c *Core) onMembersChanged(now time.Duration) {
	c.syncPeers(now)
	c.plan.stale = true
	self := c.members.find(c.settings.Instance)
	isMember := spec.Incarnation(self.GetIncarnation()) == c.settings.Incarnation
	if isMember && !c.joined {
		c.joined = true
		c.joinedAt = now
		c.nextHeartbeatAt = now
	}
	if !isMember {
		c.joined = false
	}
	active := c.joined && self.GetActive()
	if active && !c.active {
		c.moveUntil = now + c.settings.MoveTime
	}
	c.active = active
	c.emit(OwnersChanged{})
}

func (c *Core) onMembersRead(now time.Duration, e MembersRead) {
	if e.Expired {
		c.members.requireSnapshot()
	}
	if !e.AtTail || c.members.awaitingSnapshot {
		return
	}
	c.membersTailReadAt = max(c.membersTailReadAt, e.SentAt)
	c.hasReadMembersTail = true
	for _, g := range c.sortedGroups {
		c.updateOwnership(now, g)
	}
}

// onGroupsKnown replaces the set of groups. A removed group that this instance
// owns or follows is marked as retired instead of deleted.
func (c *Core) onGroupsKnown(now time.Duration, e GroupsKnown) {
	wanted := make(map[spec.GroupID]bool, len(e.Groups))
	for _, g := range e.Groups {
		wanted[g.ID] = true
		if known := c.groups[g.ID]; known != nil {
			known.dc = g.DataCentre
			known.retired = false
			continue
		}
		c.groups[g.ID] = &group{id: g.ID, dc: g.DataCentre, unownedSince: now}
	}
	for id, g := range c.groups {
		if wanted[id] {
			continue
		}
		g.retired = true
		if g.ownership == nil && !g.following {
			delete(c.groups, id)
		}
	}
	c.sortGroups()
	c.plan.stale = true
	c.emit(OwnersChanged{})
}

func (c *Core) sortGroups() {
	c.sortedGroups = c.sortedGroups[:0]
	for _, g := range c.groups {
		c.sortedGroups = append(c.sortedGroups, g)
	}
	sort.Slice(c.sortedGroups, func(i, j int) bool { return c.sortedGroups[i].id < c.sortedGroups[j].id })
}
