package dedupe

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/spec"
)

// execution is what this instance knows about a key as its executor, or about
// who has asked for it.
type execution struct {
	record Record
	// known is false when the key was only asked about.
	known bool
	// home is the instance that decides on the key, when it has asked.
	home    spec.InstanceID
	askedAt time.Duration
	ends    time.Duration
}

// localMemory is what this instance has executed or was asked about.
type localMemory struct {
	entries map[Key]*execution
	timers  timers
	max     int
}

func newLocalMemory(limit int) localMemory {
	return localMemory{entries: make(map[Key]*execution), max: limit}
}

// ask returns what is known and remembers the asking home.
func (m *localMemory) ask(now time.Duration, key Key, home spec.InstanceID, keep time.Duration) *Record {
	e := m.entries[key]
	if e == nil {
		e = &execution{}
		m.entries[key] = e
	}
	e.home = home
	e.askedAt = now
	m.setEnd(key, e, max(e.ends, now+keep))
	if !e.known {
		return nil
	}
	found := e.record
	found.Remaining = max(e.ends-now, 0)
	return &found
}

func (m *localMemory) setEnd(key Key, e *execution, at time.Duration) {
	e.ends = at
	m.timers.add(at, key)
}

func (m *localMemory) tick(now time.Duration) {
	for key, due := m.timers.due(now); due; key, due = m.timers.due(now) {
		if e := m.entries[key]; e != nil && now >= e.ends {
			delete(m.entries, key)
		}
	}
}

// askedBy returns the instance that has asked for the key as its home, or "".
// One that has left since has no say any more: its keys have other homes.
func (c *Core) askedBy(now time.Duration, key Key) spec.InstanceID {
	e := c.local.entries[key]
	if e == nil || now >= e.ends || c.hasLeft(e.home, e.askedAt) {
		return ""
	}
	return e.home
}

// hasLeft reports whether the instance stopped being a member after since. An
// instance that is not known yet has not left.
func (c *Core) hasLeft(id spec.InstanceID, since time.Duration) bool {
	for _, ch := range c.changes {
		if ch.at >= since && contains(ch.before, id) && !contains(ch.after, id) {
			return true
		}
	}
	return false
}

func contains(members []Member, id spec.InstanceID) bool {
	for _, m := range members {
		if m.Instance == id {
			return true
		}
	}
	return false
}

// Home returns the instance that decides on the key, as this instance knows.
func (c *Core) Home(now time.Duration, key Key) spec.InstanceID {
	if home := c.askedBy(now, key); home != "" {
		return home
	}
	if c.stopped {
		return homeOf(key, c.members, c.settings.Self.Instance)
	}
	return homeOf(key, c.members)
}

// Executing notes that this instance is about to carry a use out that home let
// proceed. The use must not run unless the reply is Proceed: another home may
// have asked for the key in the meantime, or this instance has run the key
// before and home has lost that knowledge.
func (c *Core) Executing(now time.Duration, u Use, home spec.InstanceID) Reply {
	if asked := c.askedBy(now, u.Key); asked != "" && asked != home {
		return Reply{Kind: Moved, Home: asked}
	}
	e := c.local.entries[u.Key]
	if e != nil && e.known && now < e.ends && !c.faults.ignoreLocal {
		return e.earlier()
	}
	e = &execution{known: true}
	e.record = Record{Key: u.Key, Hash: u.Hash, State: InFlight, Executor: u.Executor}
	c.local.entries[u.Key] = e
	c.local.setEnd(u.Key, e, now+u.Limit)
	return Reply{Kind: Proceed}
}

// earlier returns the reply for a key that was carried out here before.
func (e *execution) earlier() Reply {
	if e.record.State == RanOnly {
		return Reply{Kind: AlreadyRan}
	}
	return Reply{Kind: Refuse, Code: code.KeyUndecidable, Detail: "an earlier use of the key may have run: this instance carried it out"}
}

// Executed notes how a use ended that this instance carried out.
func (c *Core) Executed(now time.Duration, done Completion) {
	e := c.local.entries[done.Key]
	if e == nil || !e.known || e.record.Executor != done.Executor {
		return
	}
	switch done.Outcome {
	case code.NotRun:
		e.known = false
		c.local.setEnd(done.Key, e, now+c.settings.TakeoverWindow)
		return
	case code.Ran:
		e.record.State = RanOnly
	default:
		e.record.State = Unsure
	}
	if len(c.local.entries) > c.local.max {
		delete(c.local.entries, done.Key)
		return
	}
	c.local.setEnd(done.Key, e, now+c.settings.Retention)
}
