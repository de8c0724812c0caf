// Package ownership decides which instance may decide about which worker
// group: membership, voters, failure detection, claims, log leases, peer
// leases, planned leave and balance, as section 5 of docs/design.md says.
//
// An owner's right ends before any other instance's right to the same group
// starts. The argument, for an old owner O whose last confirming read was
// sent at s, and a claimer C that read its claim back at r:
//
//   - O's log lease ends before r + lease, and C starts after that.
//   - C needs acknowledgements of a majority of its voter set, each at least
//     one lease old when C starts. A voter that acknowledged never promises to
//     O again, and its older promises have run out.
//   - A voter that restarts forgets the claim. So O counts only promises of
//     incarnations that it had heard from before s, which is before the claim
//     was in the log.
//   - Voter sets change. So O needs a majority in each voter set from the one
//     that it knew at s to the current one, and C counts a majority only when
//     it has read the members stream to its tail after r. Sets that differ by
//     more than one change are covered because a change is proposed only after
//     a majority has known the previous version for one lease and refuses
//     requests of older versions.
//   - A voter that the instance list shows as gone counts as agreeing to claims
//     and to changes of the voter set. It does not count as promising to an
//     owner: an owner and a claimer that both count it would share no voter
//     that can tell them of each other.
package ownership

import (
	"sort"
	"time"

	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// Core is the pure core of one instance. It is not safe for concurrent use.
type Core struct {
	settings Settings
	members  *membership
	peers    map[spec.InstanceID]*peer
	// order holds the peers in the order of the members stream.
	order []*peer
	list  map[spec.InstanceID]listed
	// groups holds the known groups; sorted holds them by id.
	groups map[spec.GroupID]*group
	sorted []*group

	// membersTail is when the last read of the members stream that reached
	// the tail was sent.
	membersTail    time.Duration
	hasMembersTail bool
	// joinedAt is when this incarnation's join was read back.
	joined      bool
	joinedAt    time.Duration
	requestedAt map[string]time.Duration
	leaving     bool
	left        bool
	// configOffset is what this instance has read of the config stream.
	configOffset int64

	heartbeatAt time.Duration
	// suspectCount is how many members were suspected at the last tick.
	suspectCount int
	lastStep     time.Duration
	voterless    time.Duration
	alarms       map[AlarmKind]bool
	plan         plan
	// moving is the group that this instance prepares to take over from a
	// healthy owner, since movingAt.
	moving   spec.GroupID
	movingAt time.Duration
	// active states that this instance is a voter. Until moveUntil it takes
	// groups over from healthy owners.
	active    bool
	moveUntil time.Duration
	effects   []Effect
	faults    faults
}

// faults switches single mechanisms off, for tests that prove that the
// mechanism is needed.
type faults struct {
	skipWait          bool
	skipMajority      bool
	skipVersionRule   bool
	skipHeardRule     bool
	skipSetHistory    bool
	promiseRegardless bool
	skipVersionLease  bool
	ignoreStaleness   bool
}

// New returns the core of an instance that has just started and knows nothing.
func New(settings Settings) *Core {
	return &Core{
		configOffset: nothingRead,
		settings:     settings,
		members:      newMembership(),
		peers:        make(map[spec.InstanceID]*peer),
		list:         make(map[spec.InstanceID]listed),
		groups:       make(map[spec.GroupID]*group),
		requestedAt:  make(map[string]time.Duration),
		alarms:       make(map[AlarmKind]bool),
	}
}

// Step takes one event in and returns what is to be done, in order. now is
// the monotonic time since the start of the process and never decreases.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	c.effects = nil
	c.forgivePause(now)
	c.apply(now, event)
	if _, ok := event.(Tick); ok {
		c.tick(now)
	}
	c.check(now)
	return c.effects
}

func (c *Core) apply(now time.Duration, event Event) {
	switch e := event.(type) {
	case MembersRecord:
		c.membersRecord(now, e)
	case MembersRead:
		c.membersRead(now, e)
	case GroupFence:
		c.groupFence(now, e)
	case StreamRead:
		c.streamRead(now, e)
	case HeartbeatReceived:
		c.heartbeatReceived(now, e)
	case HeartbeatAnswered:
		c.heartbeatAnswered(now, e)
	case InstanceList:
		c.instanceList(now, e)
	case GroupsKnown:
		c.groupsKnown(now, e)
	case AppendRejected:
		c.appendRejected(now, e)
	case GroupAbandoned:
		c.groupAbandoned(now, e)
	case ForceRemove:
		c.forceRemove(e)
	case ConfigRead:
		c.configOffset = max(c.configOffset, e.Offset)
	case LeaveRequested:
		c.leaving = true
		c.heartbeatAt = now
	}
}

// tick carries out everything that depends on time.
func (c *Core) tick(now time.Duration) {
	c.hurryHeartbeat(now)
	c.sendHeartbeats(now)
	c.changeMembership(now)
	c.balance(now)
	for _, g := range c.sorted {
		c.advance(now, g)
	}
	c.finishLeave(now)
	c.raiseAlarms(now)
}

// forgivePause keeps a process that was paused from suspecting everyone: the
// messages of the others may still wait to be processed.
func (c *Core) forgivePause(now time.Duration) {
	gap := now - c.lastStep
	c.lastStep = now
	if gap <= c.settings.SuspectAfter/2 {
		return
	}
	for _, p := range c.order {
		p.heardLast = min(now, p.heardLast+gap)
	}
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

// Members returns the members in the order of the members stream.
func (c *Core) Members() []*recordv1.Member { return c.members.copies() }

// VotersVersion returns the version of the voter set.
func (c *Core) VotersVersion() uint64 { return c.members.version }

// MembersOffset returns the offset of the last applied members record, or -1.
func (c *Core) MembersOffset() int64 { return c.members.through }

// Owner is the owner of a group as far as this instance knows.
type Owner struct {
	Group spec.GroupID
	Owner spec.InstanceID
	Epoch spec.Epoch
}

// Owners returns the known owners by group id. An unknown owner is empty.
func (c *Core) Owners() []Owner {
	out := make([]Owner, 0, len(c.sorted))
	for _, g := range c.sorted {
		out = append(out, Owner{Group: g.id, Owner: g.owner(), Epoch: g.known})
	}
	return out
}

// nothingRead is the offset of a reader that has read no record. Offsets of the
// log start at 0.
const nothingRead int64 = -1

// ConfigOffset is how far a member has read the config stream.
type ConfigOffset struct {
	Instance spec.InstanceID
	Offset   int64
}

// ConfigOffsets returns what the active members have reported, in the order of
// the members stream.
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

func (c *Core) membersRecord(now time.Duration, e MembersRecord) {
	version := c.members.version
	if !c.members.apply(now, e) {
		return
	}
	if c.members.version != version {
		clear(c.requestedAt)
	}
	c.membersChanged(now)
}

func (c *Core) membersChanged(now time.Duration) {
	c.syncPeers(now)
	c.plan.stale = true
	self := c.members.find(c.settings.Instance)
	mine := spec.Incarnation(self.GetIncarnation()) == c.settings.Incarnation
	if mine && !c.joined {
		c.joined = true
		c.joinedAt = now
		c.heartbeatAt = now
	}
	if !mine {
		c.joined = false
	}
	active := c.joined && self.GetActive()
	if active && !c.active {
		c.moveUntil = now + c.settings.MoveTime
	}
	c.active = active
	c.emit(OwnersChanged{})
}

func (c *Core) membersRead(now time.Duration, e MembersRead) {
	if e.Expired {
		c.members.expire()
	}
	if !e.AtTail || c.members.awaiting {
		return
	}
	c.membersTail = max(c.membersTail, e.SentAt)
	c.hasMembersTail = true
	for _, g := range c.sorted {
		c.advance(now, g)
	}
}

// groupsKnown replaces the groups. A group that this instance owns or claims
// stays until it does not any more.
func (c *Core) groupsKnown(now time.Duration, e GroupsKnown) {
	wanted := make(map[spec.GroupID]bool, len(e.Groups))
	for _, g := range e.Groups {
		wanted[g.ID] = true
		if known := c.groups[g.ID]; known != nil {
			known.dc = g.DataCentre
			known.retired = false
			continue
		}
		c.groups[g.ID] = &group{id: g.ID, dc: g.DataCentre, vacantAt: now}
	}
	for id, g := range c.groups {
		if wanted[id] {
			continue
		}
		g.retired = true
		if g.take == nil && !g.following {
			delete(c.groups, id)
		}
	}
	c.sortGroups()
	c.plan.stale = true
	c.emit(OwnersChanged{})
}

func (c *Core) sortGroups() {
	c.sorted = c.sorted[:0]
	for _, g := range c.groups {
		c.sorted = append(c.sorted, g)
	}
	sort.Slice(c.sorted, func(i, j int) bool { return c.sorted[i].id < c.sorted[j].id })
}
