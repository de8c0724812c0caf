package dedupe

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"redwingvale/internal/spec"
)

// membershipChange is one change of the members as this instance observed
// it.
type membershipChange struct {
	at     time.Duration
	wall   time.Time
	before []Member
	after  []Member
	// initial marks the first list of members after the start of the process:
	// this instance has no records of earlier requests.
	initial bool
}

// SetMembers sets the active members. wall is the wall clock.
func (c *Core) SetMembers(now time.Duration, wall time.Time, members []Member) {
	c.resolveHandOvers(members)
	active := c.withoutHandedOver(members)
	if c.membersKnown && slices.Equal(active, c.members) {
		return
	}
	c.changes = append(c.changes, membershipChange{
		at:      now,
		wall:    wall,
		before:  c.members,
		after:   active,
		initial: !c.membersKnown,
	})
	c.membersKnown = true
	c.members = active
	c.dropOldChanges(now)
}

// withoutHandedOver returns the sorted members without those that handed
// over their keys before they stopped.
func (c *Core) withoutHandedOver(members []Member) []Member {
	out := make([]Member, 0, len(members))
	for _, m := range members {
		if at, ok := c.handedOverIncarnations[m.Instance]; ok && at == m.Incarnation {
			continue
		}
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return out
}

func (c *Core) dropOldChanges(now time.Duration) {
	for len(c.changes) > 1 && now-c.changes[0].at > c.horizon() {
		c.changes = c.changes[1:]
	}
}

// horizon is the age beyond which membership changes are irrelevant.
func (c *Core) horizon() time.Duration {
	return max(c.settings.Retention, c.settings.TakeoverWindow)
}

// lastPossibleLoss returns the newest change in which state of the key may
// have been lost. A key's state stays where it was registered until its home
// queries it, so the loss of any former home counts, not only of the last
// one. The authoritative instances have left the members but kept their
// state.
func (c *Core) lastPossibleLoss(key Key, authoritative ...spec.InstanceID) (membershipChange, bool) {
	for i := len(c.changes) - 1; i >= 0; i-- {
		ch := c.changes[i]
		if ch.initial {
			return ch, true
		}
		for _, m := range ch.before {
			if c.mayHaveLostState(ch, m) && !slices.Contains(authoritative, m.Instance) && c.wasHome(key, m.Instance, i) {
				return ch, true
			}
		}
	}
	return membershipChange{}, false
}

// mayHaveLostState reports whether the member's state may have been lost
// with the change. The state of this instance is not lost when it leaves.
func (c *Core) mayHaveLostState(ch membershipChange, m Member) bool {
	return !slices.Contains(ch.after, m) && !c.handedOverMembers[m] && m.Instance != c.settings.Self.Instance
}

// lostFormerHomes returns the former homes of the key that are not members
// now and whose state may have been lost.
func (c *Core) lostFormerHomes(key Key) []spec.InstanceID {
	var out []spec.InstanceID
	for i, ch := range c.changes {
		for _, m := range ch.before {
			if c.mayHaveLostState(ch, m) && c.wasHome(key, m.Instance, i) && !contains(c.members, m.Instance) && !slices.Contains(out, m.Instance) {
				out = append(out, m.Instance)
			}
		}
	}
	return out
}

// membersWithSelf returns the members including this instance, which may
// have left.
func (c *Core) membersWithSelf() []Member {
	if contains(c.members, c.settings.Self.Instance) {
		return c.members
	}
	return append(slices.Clone(c.members), c.settings.Self)
}

// wasHome reports whether the instance was the key's home before the i-th
// change, according to the changes that are still kept.
func (c *Core) wasHome(key Key, id spec.InstanceID, i int) bool {
	for _, ch := range c.changes[:i+1] {
		if homeOf(key, ch.before) == id {
			return true
		}
	}
	return false
}

// check is what must be established before a request with an unknown key may
// run.
type check uint8

const (
	// checkNone: no earlier request can have run.
	checkNone check = iota
	// checkPeers: query the peers; if none has a record, no earlier request
	// has run.
	checkPeers
	// checkFormerHome: query the peers; if none has a record and the former
	// home did not answer, an earlier request may have run.
	checkFormerHome
	// keyExpired: the record of an earlier request may have expired.
	keyExpired
)

// requiredCheck applies the takeover rule to a key without a record.
func (c *Core) requiredCheck(now time.Duration, wall time.Time, key Key) check {
	if c.mutations.ignoreTakeover {
		return checkNone
	}
	created, timeOrdered := keyTime(key.Key)
	if timeOrdered && created.Add(c.settings.Retention).Before(wall) {
		return keyExpired
	}
	if homeOf(key, c.members) != c.settings.Self.Instance {
		return c.checkForTakeoverAt(now, now, wall, created, timeOrdered)
	}
	return c.checkAfterTakeover(now, key)
}

// checkAfterTakeover applies the takeover rule to the newest change in which
// state may have been lost, given the departed homes that are authoritative.
func (c *Core) checkAfterTakeover(now time.Duration, key Key, authoritative ...spec.InstanceID) check {
	loss, ok := c.lastPossibleLoss(key, authoritative...)
	if !ok {
		return checkNone
	}
	created, timeOrdered := keyTime(key.Key)
	return c.checkForTakeoverAt(now, loss.at, loss.wall, created, timeOrdered)
}

// checkForTakeoverAt applies the takeover rule to a takeover at the given
// monotonic and wall-clock time.
func (c *Core) checkForTakeoverAt(now, at time.Duration, wallAt, created time.Time, timeOrdered bool) check {
	recent := now-at < c.settings.TakeoverWindow
	if timeOrdered {
		if created.Before(wallAt.Add(c.settings.MaxClockSkew)) {
			return checkFormerHome
		}
		if recent {
			return checkPeers
		}
		return checkNone
	}
	if recent {
		return checkFormerHome
	}
	return checkNone
}

// keyTime returns the timestamp of a UUIDv7 key; timeOrdered is false for
// other keys.
func keyTime(key string) (created time.Time, timeOrdered bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis), true
}

// formerHome returns the member that was the key's home before this one, or
// "" when the former home has left.
func (c *Core) formerHome(key Key) spec.InstanceID {
	self := c.settings.Self.Instance
	current := homeOf(key, c.members)
	if current != self {
		return current
	}
	loss, ok := c.lastPossibleLoss(key)
	if ok && loss.initial {
		return homeOf(key, c.members, self)
	}
	return ""
}
