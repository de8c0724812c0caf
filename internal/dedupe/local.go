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
	home spec.InstanceID
	ends time.Duration
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

// homeOf returns the instance that has asked for the key, or "".
func (m *localMemory) homeOf(now time.Duration, key Key) spec.InstanceID {
	e := m.entries[key]
	if e == nil || now >= e.ends {
		return ""
	}
	return e.home
}

// ask returns what is known and remembers the asking home.
func (m *localMemory) ask(now time.Duration, key Key, home spec.InstanceID, keep time.Duration) *Record {
	e := m.entries[key]
	if e == nil {
		e = &execution{}
		m.entries[key] = e
	}
	e.home = home
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

// Home returns the instance that decides on the key, as this instance knows.
func (c *Core) Home(now time.Duration, key Key) spec.InstanceID {
	if home := c.local.homeOf(now, key); home != "" {
		return home
	}
	if c.stopped {
		return homeOf(key, c.members, c.settings.Self.Instance)
	}
	return homeOf(key, c.members)
}

// Executing notes that this instance is about to carry a use out that home let
// proceed. It returns another home when that one has asked for the key in the
// meantime; the use must then be registered there and must not run.
func (c *Core) Executing(now time.Duration, u Use, home spec.InstanceID) (otherHome spec.InstanceID) {
	e := c.local.entries[u.Key]
	if e != nil && e.home != "" && e.home != home && now < e.ends {
		return e.home
	}
	e = &execution{known: true, home: ""}
	e.record = Record{Key: u.Key, Hash: u.Hash, State: InFlight, Executor: u.Executor}
	c.local.entries[u.Key] = e
	c.local.setEnd(u.Key, e, now+u.Limit)
	return ""
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
