package dedupe

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"redwingvale/internal/spec"
)

// change is one change of the members as this instance learned it.
type change struct {
	at     time.Duration
	wall   time.Time
	before []Member
	after  []Member
	// start marks the first members after the start of the process: nothing
	// is known about any earlier use.
	start bool
}

// SetMembers takes the active members in. wall is the wall clock.
func (c *Core) SetMembers(now time.Duration, wall time.Time, members []Member) {
	active := c.withoutHandedOver(members)
	if c.started && slices.Equal(active, c.members) {
		return
	}
	c.changes = append(c.changes, change{
		at:     now,
		wall:   wall,
		before: c.members,
		after:  active,
		start:  !c.started,
	})
	c.started = true
	c.members = active
	c.dropOldChanges(now)
}

// withoutHandedOver returns the members, sorted, without those that have
// handed their keys over before a stop.
func (c *Core) withoutHandedOver(members []Member) []Member {
	out := make([]Member, 0, len(members))
	for _, m := range members {
		if at, ok := c.handedOver[m.Instance]; ok && at == m.Incarnation {
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

// horizon is the age up to which a takeover matters.
func (c *Core) horizon() time.Duration {
	return max(c.settings.Retention, c.settings.TakeoverWindow)
}

// takeover returns the newest change in which knowledge about the key may have
// been lost. A key's state stays where it was registered until its home asks
// for it, so the loss of any former home counts, not only of the last one.
// Instances that vouch for the key have left but still know what they knew.
func (c *Core) takeover(key Key, vouching ...spec.InstanceID) (change, bool) {
	for i := len(c.changes) - 1; i >= 0; i-- {
		ch := c.changes[i]
		if ch.start {
			return ch, true
		}
		for _, m := range ch.before {
			if c.lostWith(ch, m) && !slices.Contains(vouching, m.Instance) && c.wasHome(key, m.Instance, i) {
				return ch, true
			}
		}
	}
	return change{}, false
}

// lostWith reports whether the member's knowledge may have been lost with the
// change. What this instance knew itself is not lost when it leaves.
func (c *Core) lostWith(ch change, m Member) bool {
	return !slices.Contains(ch.after, m) && !c.clean[m] && m.Instance != c.settings.Self.Instance
}

// lostHomes returns the former homes of the key whose knowledge may have been
// lost and that are not members now.
func (c *Core) lostHomes(key Key) []spec.InstanceID {
	var out []spec.InstanceID
	for i, ch := range c.changes {
		for _, m := range ch.before {
			if c.lostWith(ch, m) && c.wasHome(key, m.Instance, i) && !contains(c.members, m.Instance) && !slices.Contains(out, m.Instance) {
				out = append(out, m.Instance)
			}
		}
	}
	return out
}

// withSelf returns the members and this instance, which may have left.
func (c *Core) withSelf() []Member {
	if contains(c.members, c.settings.Self.Instance) {
		return c.members
	}
	return append(slices.Clone(c.members), c.settings.Self)
}

// wasHome reports whether the instance was the key's home before the i-th
// change, as far as this instance remembers.
func (c *Core) wasHome(key Key, id spec.InstanceID, i int) bool {
	for _, ch := range c.changes[:i+1] {
		if homeOf(key, ch.before) == id {
			return true
		}
	}
	return false
}

// need says what is to be done about a key that is not known here.
type need uint8

const (
	// certain: no earlier use can have happened.
	certain need = iota
	// askFirst: ask; when nobody knows the key, no earlier use has happened.
	askFirst
	// undecidable: ask; when nobody knows the key and its former home did not
	// answer, an earlier use may have run.
	undecidable
	// expired: an earlier use may have been forgotten.
	expired
)

// needOf applies the takeover rule to an unknown key.
func (c *Core) needOf(now time.Duration, wall time.Time, key Key) need {
	if c.faults.ignoreTakeover {
		return certain
	}
	made, ordered := timeOf(key.Key)
	if ordered && made.Add(c.settings.Retention).Before(wall) {
		return expired
	}
	if homeOf(key, c.members) != c.settings.Self.Instance {
		return c.ruleAt(now, now, wall, made, ordered)
	}
	return c.needAfterTakeover(now, key)
}

// needAfterTakeover applies the rule to the newest change in which knowledge
// may have been lost, given the former homes that vouch for theirs.
func (c *Core) needAfterTakeover(now time.Duration, key Key, vouching ...spec.InstanceID) need {
	moved, ok := c.takeover(key, vouching...)
	if !ok {
		return certain
	}
	made, ordered := timeOf(key.Key)
	return c.ruleAt(now, moved.at, moved.wall, made, ordered)
}

// ruleAt is the rule for a takeover at the given monotonic and wall time.
func (c *Core) ruleAt(now, at time.Duration, wallAt, made time.Time, ordered bool) need {
	recent := now-at < c.settings.TakeoverWindow
	if ordered {
		if made.Before(wallAt.Add(c.settings.ClockGuard)) {
			return undecidable
		}
		if recent {
			return askFirst
		}
		return certain
	}
	if recent {
		return undecidable
	}
	return certain
}

// timeOf returns the time of a UUIDv7 key; ordered is false for other keys.
func timeOf(key string) (made time.Time, ordered bool) {
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

// formerHome returns the live instance that was the key's home before this
// one, or "" when the former home is gone.
func (c *Core) formerHome(key Key) spec.InstanceID {
	self := c.settings.Self.Instance
	current := homeOf(key, c.members)
	if current != self {
		return current
	}
	moved, ok := c.takeover(key)
	if ok && moved.start {
		return homeOf(key, c.members, self)
	}
	return ""
}
