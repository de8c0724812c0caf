package dedupe

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/spec"
)

// execution is what this instance has recorded about a key as its executor,
// and the home that queried it.
type execution struct {
	record Record
	// hasRecord is false when the key was queried but not executed here.
	hasRecord bool
	// home is the instance that decides on the key, if it has queried this
	// one.
	home      spec.InstanceID
	queriedAt time.Duration
	expiresAt time.Duration
}

// executionTable holds the keys that this instance has executed or was
// queried about.
type executionTable struct {
	byKey  map[Key]*execution
	timers timers
	limit  int
}

func newExecutionTable(limit int) executionTable {
	return executionTable{byKey: make(map[Key]*execution), limit: limit}
}

// query returns the record of the key, if any, and records the querying
// home.
func (t *executionTable) query(now time.Duration, key Key, home spec.InstanceID, retention time.Duration) *Record {
	e := t.byKey[key]
	if e == nil {
		e = &execution{}
		t.byKey[key] = e
	}
	e.home = home
	e.queriedAt = now
	t.setExpiry(key, e, max(e.expiresAt, now+retention))
	if !e.hasRecord {
		return nil
	}
	found := e.record
	found.Remaining = max(e.expiresAt-now, 0)
	return &found
}

func (t *executionTable) setExpiry(key Key, e *execution, at time.Duration) {
	e.expiresAt = at
	t.timers.add(at, key)
}

func (t *executionTable) removeExpired(now time.Duration) {
	for key, due := t.timers.popDue(now); due; key, due = t.timers.popDue(now) {
		if e := t.byKey[key]; e != nil && now >= e.expiresAt {
			delete(t.byKey, key)
		}
	}
}

// queriedBy returns the instance that has queried the key as its home, or
// "". An instance that has left since is ignored: its keys have other homes.
func (c *Core) queriedBy(now time.Duration, key Key) spec.InstanceID {
	e := c.executions.byKey[key]
	if e == nil || now >= e.expiresAt || c.hasLeft(e.home, e.queriedAt) {
		return ""
	}
	return e.home
}

// hasLeft reports whether the instance stopped being a member after since.
// An instance that is not listed yet has not left.
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

// Home returns the instance that decides on the key, according to this
// instance.
func (c *Core) Home(now time.Duration, key Key) spec.InstanceID {
	if home := c.queriedBy(now, key); home != "" {
		return home
	}
	if c.handedOver {
		return homeOf(key, c.members, c.settings.Self.Instance)
	}
	return homeOf(key, c.members)
}

// BeginExecution records that this instance is about to execute a request
// that home allowed to proceed. The request must not run unless the reply is
// Proceed: another home may have queried the key in the meantime, or this
// instance has already run the key and home has lost the record.
func (c *Core) BeginExecution(now time.Duration, req Request, home spec.InstanceID) Reply {
	if newHome := c.queriedBy(now, req.Key); newHome != "" && newHome != home {
		return Reply{Kind: Moved, Home: newHome}
	}
	e := c.executions.byKey[req.Key]
	if e != nil && e.hasRecord && now < e.expiresAt && !c.mutations.ignoreExecutions {
		return e.duplicateReply()
	}
	e = &execution{hasRecord: true}
	e.record = Record{Key: req.Key, Hash: req.Hash, State: InFlight, Executor: req.Executor}
	c.executions.byKey[req.Key] = e
	c.executions.setExpiry(req.Key, e, now+req.Limit)
	return Reply{Kind: Proceed}
}

// duplicateReply returns the reply for a key that was already executed here.
func (e *execution) duplicateReply() Reply {
	if e.record.State == RanWithoutAnswer {
		return Reply{Kind: AlreadyRan}
	}
	return Reply{Kind: Reject, Code: code.KeyUndecidable, Detail: "an earlier use of the key may have run: this instance carried it out"}
}

// EndExecution records how a request that this instance executed ended.
func (c *Core) EndExecution(now time.Duration, done Completion) {
	e := c.executions.byKey[done.Key]
	if e == nil || !e.hasRecord || e.record.Executor != done.Executor {
		return
	}
	switch done.Outcome {
	case code.NotRun:
		e.hasRecord = false
		c.executions.setExpiry(done.Key, e, now+c.settings.TakeoverWindow)
		return
	case code.Ran:
		e.record.State = RanWithoutAnswer
	default:
		e.record.State = OutcomeUnknown
	}
	if len(c.executions.byKey) > c.executions.limit {
		delete(c.executions.byKey, done.Key)
		return
	}
	c.executions.setExpiry(done.Key, e, now+c.settings.Retention)
}
